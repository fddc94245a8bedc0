//! Calls to the store, over connections that are opened when needed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use wasabipier_core::clock::Moment;
use wasabipier_core::relay::answer_timeout::AnswerTimeout;

use crate::clock;
use crate::http_link::{HttpLink, LinkError};
use crate::metering;
use crate::ports::StoreFault;
use crate::state::RelayNode;

/// Reasons why a call to the store returned no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No complete answer arrived.
    #[error("{0}")]
    Link(#[from] LinkError),
    /// The store answered with an error, or the answer cannot be decoded.
    #[error("{0}")]
    Fault(#[from] StoreFault),
}

/// A connection to the store, reopened when needed.
pub struct StoreLink {
    link: HttpLink,
    answer_timeout: AnswerTimeout,
}

impl StoreLink {
    /// Creates a link to the store of `node` that connects on first use.
    #[must_use]
    pub fn new(node: &RelayNode) -> Self {
        Self::with_arrival_time(node, Rc::default())
    }

    /// Does the same as [`Self::new`], with a time of the last arrival that several links share.
    #[must_use]
    pub fn with_arrival_time(node: &RelayNode, last_arrival_at: Rc<Cell<Moment>>) -> Self {
        let answer_timeout = AnswerTimeout::new(node.times.store_answer_timeout);
        Self { link: HttpLink::new(node.addresses.store, last_arrival_at), answer_timeout }
    }

    /// Sends a request, and returns the answer with its body. An answer that has begun in time may go on for as long as
    /// some of it arrives. After a failure the connection is discarded, since data that still arrives on it may belong to
    /// the failed call.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer. The store may have carried out a write.
    pub async fn call(&mut self, request: Request<Bytes>) -> Result<Response<Bytes>, StoreError> {
        let called_at = clock::now();
        let answer = self.call_within(request, self.answer_timeout.current()).await;
        match &answer {
            Err(StoreError::Link(LinkError::Timeout)) => self.answer_timeout.record_timeout(),
            Err(_) => {}
            Ok(_) => self.answer_timeout.record_answer(clock::now().since(called_at)),
        }
        answer
    }

    /// Does the same as [`Self::call`] for a request whose answer must begin within `answer_timeout`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn call_within(
        &mut self,
        request: Request<Bytes>,
        answer_timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let answer = self.link.exchange(request, answer_timeout).await.map_err(StoreError::Link);
        metering::record_store_call(if answer.is_ok() { "answered" } else { "failed" });
        answer
    }
}
