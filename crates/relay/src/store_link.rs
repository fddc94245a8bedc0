//! Calls to the store, over connections that are opened when needed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::spawn_local;
use tokio::time::timeout;
use wasabipier_core::clock::Moment;
use wasabipier_core::relay::answer_timeout::AnswerTimeout;

use crate::clock;
use crate::metering;
use crate::ports::StoreFault;
use crate::sockets;
use crate::state::RelayNode;

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum pause between two parts of an answer. A link that is slow for the size of a table still delivers some.
const ANSWER_PAUSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for which an answer that has begun may arrive.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(30);
/// Maximum size of an answer in bytes. All changes of a table come in one: 10,000 targets at some 400 bytes take 4 MB.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Reasons why a call to the store returned no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The connection could not be opened.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed during the call.
    #[error("connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The body of the answer broke off or is longer than `MAX_ANSWER_BYTES`.
    #[error("answer incomplete: {0}")]
    Body(String),
    /// The answer did not arrive in time.
    #[error("timed out waiting for the answer")]
    Timeout,
    /// The store answered with an error, or the answer cannot be decoded.
    #[error("{0}")]
    Fault(#[from] StoreFault),
}

/// A connection to the store, reopened when needed.
pub struct StoreLink {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    answer_timeout: AnswerTimeout,
    /// When a part of an answer last arrived on this link or another one that shares the time.
    last_arrival_at: Rc<Cell<Moment>>,
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
        Self { address: node.addresses.store, sender: None, answer_timeout, last_arrival_at }
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
            Err(StoreError::Timeout) => self.answer_timeout.record_timeout(),
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
        let answer = self.exchange(request, answer_timeout).await;
        metering::record_store_call(if answer.is_ok() { "answered" } else { "failed" });
        answer
    }

    async fn exchange(
        &mut self,
        request: Request<Bytes>,
        answer_timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let begin_answer = begin_answer(self.address, self.sender.take(), request);
        let (sender, response) = timeout(answer_timeout, begin_answer).await.map_err(|_| StoreError::Timeout)??;
        self.last_arrival_at.set(clock::now());
        let (head, body) = response.into_parts();
        let body = timeout(MAX_ANSWER_TIME, collect_body(body, &self.last_arrival_at)).await;
        let body = body.unwrap_or(Err(StoreError::Timeout))?;
        self.sender = Some(sender);
        Ok(Response::from_parts(head, body))
    }
}

async fn begin_answer(
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    request: Request<Bytes>,
) -> Result<(SendRequest<Full<Bytes>>, Response<Incoming>), StoreError> {
    let mut sender = match sender.filter(|sender| !sender.is_closed()) {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    sender.ready().await?;
    let response = sender.send_request(request.map(Full::new)).await?;
    Ok((sender, response))
}

/// Reads a body whose parts arrive within `ANSWER_PAUSE_TIMEOUT` of each other, and sets the time of the last arrival.
async fn collect_body(body: Incoming, last_arrival_at: &Cell<Moment>) -> Result<Bytes, StoreError> {
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    let mut bytes = BytesMut::new();
    while let Some(frame) = timeout(ANSWER_PAUSE_TIMEOUT, body.frame()).await.map_err(|_| StoreError::Timeout)? {
        let frame = frame.map_err(|error| StoreError::Body(error.to_string()))?;
        last_arrival_at.set(clock::now());
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, StoreError> {
    let stream = sockets::connect(address, CONNECT_TIMEOUT).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        // Errors are reported by the call that uses the connection.
        let _ = connection.await;
    });
    Ok(sender)
}
