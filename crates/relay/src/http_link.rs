//! A connection to an interface of the platform, one call at a time.

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

use crate::clock;
use crate::sockets;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum pause between two parts of an answer. A link that is slow for the size of a table still delivers some.
const ANSWER_PAUSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for which an answer that has begun may arrive.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(30);
/// Maximum size of an answer in bytes. All changes of a table come in one: 10,000 targets at some 400 bytes take 4 MB.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Reasons why a call returned no answer.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection could not be opened, so that the call was not sent.
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
}

/// A connection to an HTTP interface, reopened when needed.
pub struct HttpLink {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    /// When a part of an answer last arrived on this link or another one that shares the time.
    last_arrival_at: Rc<Cell<Moment>>,
}

impl HttpLink {
    /// Creates a link that connects on first use.
    #[must_use]
    pub fn new(address: SocketAddr, last_arrival_at: Rc<Cell<Moment>>) -> Self {
        Self { address, sender: None, last_arrival_at }
    }

    /// Opens the connection unless it is open.
    ///
    /// # Errors
    ///
    /// Returns why there is no connection.
    pub async fn open(&mut self) -> Result<(), LinkError> {
        let sender = ready_sender(self.address, self.sender.take()).await?;
        self.sender = Some(sender);
        Ok(())
    }

    /// Sends a request, over a new connection if none is open, and returns the answer with its body if the answer begins
    /// within `answer_timeout`. After a failure the connection is discarded, since data that still arrives on it may belong
    /// to the failed call.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer. Except after [`LinkError::Connect`], the call may have been carried out.
    pub async fn exchange(
        &mut self,
        request: Request<Bytes>,
        answer_timeout: Duration,
    ) -> Result<Response<Bytes>, LinkError> {
        let begin_answer = async {
            self.open().await?;
            self.begin_answer(request).await
        };
        let begun = timeout(answer_timeout, begin_answer).await.map_err(|_| LinkError::Timeout)??;
        self.finish_answer(begun).await
    }

    /// Does the same as [`Self::exchange`] at once over the connection that [`Self::open`] opened, without waiting for
    /// another one.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn exchange_at_once(
        &mut self,
        request: Request<Bytes>,
        answer_timeout: Duration,
    ) -> Result<Response<Bytes>, LinkError> {
        let begun = timeout(answer_timeout, self.begin_answer(request)).await.map_err(|_| LinkError::Timeout)??;
        self.finish_answer(begun).await
    }

    async fn begin_answer(&mut self, request: Request<Bytes>) -> Result<BegunAnswer, LinkError> {
        let mut sender = self.sender.take().ok_or(std::io::ErrorKind::NotConnected).map_err(std::io::Error::from)?;
        let response = sender.send_request(request.map(Full::new)).await?;
        Ok(BegunAnswer { sender, response })
    }

    async fn finish_answer(&mut self, begun: BegunAnswer) -> Result<Response<Bytes>, LinkError> {
        self.last_arrival_at.set(clock::now());
        let (head, body) = begun.response.into_parts();
        let body = timeout(MAX_ANSWER_TIME, collect_body(body, &self.last_arrival_at)).await;
        let body = body.unwrap_or(Err(LinkError::Timeout))?;
        self.sender = Some(begun.sender);
        Ok(Response::from_parts(head, body))
    }
}

/// An answer whose body has not been read, and the connection on which it arrives.
struct BegunAnswer {
    sender: SendRequest<Full<Bytes>>,
    response: Response<Incoming>,
}

/// Returns a sender that takes a request, over an open connection if there is one.
async fn ready_sender(
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
) -> Result<SendRequest<Full<Bytes>>, LinkError> {
    let mut sender = match sender.filter(|sender| !sender.is_closed()) {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    sender.ready().await?;
    Ok(sender)
}

/// Reads a body whose parts arrive within `ANSWER_PAUSE_TIMEOUT` of each other, and sets the time of the last arrival.
async fn collect_body(body: Incoming, last_arrival_at: &Cell<Moment>) -> Result<Bytes, LinkError> {
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    let mut bytes = BytesMut::new();
    while let Some(frame) = timeout(ANSWER_PAUSE_TIMEOUT, body.frame()).await.map_err(|_| LinkError::Timeout)? {
        let frame = frame.map_err(|error| LinkError::Body(error.to_string()))?;
        last_arrival_at.set(clock::now());
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, LinkError> {
    let stream = sockets::connect(address, CONNECT_TIMEOUT).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        // Errors are reported by the call that uses the connection.
        let _ = connection.await;
    });
    Ok(sender)
}
