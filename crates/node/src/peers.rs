//! The peers' edge: `h2` streams of `bincode` frames, on a thread with a `tokio` runtime of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use http::{Request, Response};
use spdlog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use wasabipier_core::prelude::*;
use wasabipier_wire::frame::{FrameError, MAX_FRAME_BYTES, WireFrame};

use crate::log_prefix::PEERS;
use crate::node_input::{InputSender, NodeInput};
use crate::ports::PeerPort;
use crate::run::StartError;
use crate::settings::{NodeSettings, SecretKey};

/// Most messages that wait for one peer. Further ones are dropped, since each message is either sent again later or may
/// be lost.
const MAX_PENDING_MESSAGES: usize = 1024;
/// Time allowed for each of connecting, the handshake and the answer to a request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between pings. A silent connection is replaced within this interval and `PONG_TIMEOUT` together.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which a peer must answer a ping or accept more bytes.
const PONG_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a frame after which an accepted stream is dropped. A live peer opens a new one.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Pause before a new connection is tried or accepted.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Bytes of a refusal text after which no more of it is read.
const MAX_REFUSAL_BYTES: usize = 2048;
/// Header with the name of the connecting node.
const NODE_HEADER: &str = "x-node";

/// Errors that end a connection to or from a peer.
#[derive(Debug, thiserror::Error)]
enum PeerError {
    /// Error of the operating system.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Error of the HTTP/2 connection or stream.
    #[error("{0}")]
    H2(#[from] h2::Error),
    /// The request or response could not be built.
    #[error("{0}")]
    Http(#[from] http::Error),
    /// The peer sent a frame that is not valid.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The peer did not answer, send or accept bytes in time.
    #[error("it did not answer in time")]
    Timeout,
    /// The connecting node sent a wrong key or no name. Holds the name that it gave.
    #[error("the key of {0:?} is missing or wrong: use the same peers' key in all settings")]
    WrongKey(String),
    /// The peer refused this node or one of its frames. Holds the peer's reason.
    #[error("it refused this node: {0}")]
    Refused(String),
    /// The peer closed the stream without a reason, or the connection has no pings.
    #[error("it closed the stream")]
    Closed,
}

/// Sends messages to peers and receives theirs.
#[derive(Debug)]
pub struct PeerEdge {
    runtime: tokio::runtime::Handle,
    own_name: NodeName,
    key: SecretKey,
    /// Channel to the task that keeps the connection to each peer.
    frame_senders: BTreeMap<NodeName, mpsc::Sender<WireFrame>>,
}

impl PeerEdge {
    /// Starts the thread that listens for peers.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the operating system refuses the thread.
    pub fn start(settings: &NodeSettings, inputs: InputSender) -> Result<Self, StartError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let address = settings.peer_listen.unwrap_or(settings.identity.peer_address);
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .map_err(|error| StartError::Listen { address, detail: error.to_string() })?;
        let key = settings.peer_key.clone();
        thread::Builder::new().name("peers".to_owned()).spawn(move || {
            runtime.block_on(accept_connections(listener, key, inputs));
        })?;
        info!("{PEERS} listening at {address}.");
        Ok(Self {
            runtime: handle,
            own_name: settings.identity.node.clone(),
            key: settings.peer_key.clone(),
            frame_senders: BTreeMap::new(),
        })
    }
}

impl PeerPort for PeerEdge {
    fn connect(&mut self, node: NodeName, address: SocketAddr) {
        let (sender, receiver) = mpsc::channel(MAX_PENDING_MESSAGES);
        let dialer = PeerDialer {
            own_name: self.own_name.clone(),
            peer: node.clone(),
            address,
            key: self.key.clone(),
            is_log_suppressed: false,
        };
        self.runtime.spawn(dialer.run(receiver));
        // Replacing the sender closes the channel of an earlier address, which ends its task.
        self.frame_senders.insert(node, sender);
    }

    fn disconnect(&mut self, node: &NodeName) {
        self.frame_senders.remove(node);
    }

    fn send(&mut self, node: &NodeName, message: PeerMessage) {
        if let Some(sender) = self.frame_senders.get(node) {
            let _ = sender.try_send(WireFrame::from(&message));
        }
    }
}

/// Keeps one outgoing connection open, in a task of its own.
struct PeerDialer {
    own_name: NodeName,
    peer: NodeName,
    address: SocketAddr,
    key: SecretKey,
    /// Whether a failure was logged since the last connection that worked, so that its repetitions are not.
    is_log_suppressed: bool,
}

impl PeerDialer {
    /// Connects and sends messages until the channel closes. Connects again after each failure.
    async fn run(mut self, mut receiver: mpsc::Receiver<WireFrame>) {
        loop {
            match self.run_connection(&mut receiver).await {
                Ok(()) => return,
                Err(error) if !self.is_log_suppressed => {
                    warn!("{PEERS} the connection to {} ended: {error}.", self.peer);
                    self.is_log_suppressed = !matches!(error, PeerError::Timeout | PeerError::Closed);
                }
                Err(_) => {}
            }
            sleep(RECONNECT_DELAY).await;
            // Messages that waited are outdated. Heartbeats bring the peer up to date.
            while receiver.try_recv().is_ok() {}
            if receiver.is_closed() {
                return;
            }
        }
    }

    /// Sends frames until the channel closes or the connection fails.
    async fn run_connection(&mut self, receiver: &mut mpsc::Receiver<WireFrame>) -> Result<(), PeerError> {
        let socket =
            timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await.map_err(|_| PeerError::Timeout)??;
        socket.set_nodelay(true)?;
        let handshake = timeout(CONNECT_TIMEOUT, h2::client::handshake(socket));
        let (client, mut connection) = handshake.await.map_err(|_| PeerError::Timeout)??;
        let pings = connection.ping_pong();
        let driver = tokio::spawn(connection);
        let result = self.run_stream(client, pings, receiver).await;
        driver.abort();
        result
    }

    /// Opens the stream and sends frames until the channel closes or the stream fails.
    async fn run_stream(
        &mut self,
        client: h2::client::SendRequest<Bytes>,
        pings: Option<h2::PingPong>,
        receiver: &mut mpsc::Receiver<WireFrame>,
    ) -> Result<(), PeerError> {
        let mut client = timeout(CONNECT_TIMEOUT, client.ready()).await.map_err(|_| PeerError::Timeout)??;
        let request = Request::post(format!("http://{}/peer", self.address))
            .header("authorization", self.key.bearer())
            .header(NODE_HEADER, self.own_name.as_str())
            .body(())?;
        let (response, mut stream) = client.send_request(request, false)?;
        let response = timeout(CONNECT_TIMEOUT, response).await.map_err(|_| PeerError::Timeout)??;
        self.is_log_suppressed &= !response.status().is_success();
        // The peer sends a body only if it refuses this node or one of its frames.
        let mut refusal = Box::pin(read_refusal(response.into_body()));
        let mut ping_failure = Box::pin(ping_until_failure(pings));
        loop {
            tokio::select! {
                error = &mut ping_failure => return Err(error),
                error = &mut refusal => return Err(error),
                frame = receiver.recv() => match frame {
                    Some(frame) => send_frame(&mut stream, &frame).await?,
                    None => return Ok(()),
                },
            }
        }
    }
}

/// Waits until the peer ends the stream and returns the reason that the peer sent, if any, as an error.
async fn read_refusal(mut body: RecvStream) -> PeerError {
    let mut text = Vec::new();
    while let Some(Ok(part)) = body.data().await {
        let _ = body.flow_control().release_capacity(part.len());
        text.extend_from_slice(&part);
        if text.len() > MAX_REFUSAL_BYTES {
            break;
        }
    }
    if text.is_empty() { PeerError::Closed } else { PeerError::Refused(String::from_utf8_lossy(&text).into_owned()) }
}

/// Sends pings until one fails or is not answered in time.
async fn ping_until_failure(pings: Option<h2::PingPong>) -> PeerError {
    let Some(mut pings) = pings else { return PeerError::Closed };
    loop {
        sleep(PING_INTERVAL).await;
        match timeout(PONG_TIMEOUT, pings.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return PeerError::H2(error),
            Err(_) => return PeerError::Timeout,
        }
    }
}

/// Sends one frame, preceded by its length as four bytes, big endian.
async fn send_frame(stream: &mut SendStream<Bytes>, frame: &WireFrame) -> Result<(), PeerError> {
    let body = frame.encode();
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend(body);
    let mut rest = Bytes::from(bytes);
    while !rest.is_empty() {
        stream.reserve_capacity(rest.len());
        let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx));
        let capacity = timeout(PONG_TIMEOUT, capacity).await.map_err(|_| PeerError::Timeout)?;
        let capacity = capacity.ok_or(PeerError::Closed)??;
        let part = rest.split_to(capacity.min(rest.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}

/// Accepts connections of peers and serves each in a task of its own.
async fn accept_connections(listener: TcpListener, key: SecretKey, inputs: InputSender) {
    loop {
        match listener.accept().await {
            Ok((socket, address)) => {
                let (key, inputs) = (key.clone(), inputs.clone());
                tokio::spawn(async move {
                    if let Err(error) = serve_connection(socket, &key, &inputs).await {
                        warn!("{PEERS} the connection from {address} ended: {error}.");
                    }
                });
            }
            Err(error) => {
                warn!("{PEERS} connection could not be accepted: {error}.");
                sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Checks the key of each stream of a connection and receives its frames.
async fn serve_connection(socket: TcpStream, key: &SecretKey, inputs: &InputSender) -> Result<(), PeerError> {
    socket.set_nodelay(true)?;
    let handshake = timeout(CONNECT_TIMEOUT, h2::server::handshake(socket));
    let mut connection = handshake.await.map_err(|_| PeerError::Timeout)??;
    while let Some(accepted) = connection.accept().await {
        let (request, mut respond) = accepted?;
        let authorization = header_value(&request, "authorization");
        let node = header_value(&request, NODE_HEADER);
        if !key.matches(authorization.trim_start_matches("Bearer ")) || node.is_empty() {
            let error = PeerError::WrongKey(node);
            warn!("{PEERS} stream was refused: {error}.");
            let stream = respond.send_response(Response::builder().status(401).body(())?, false)?;
            send_refusal(stream, &error);
            continue;
        }
        let stream = respond.send_response(Response::builder().status(200).body(())?, false)?;
        let inputs = inputs.clone();
        let node = NodeName::new(node);
        tokio::spawn(async move {
            // Holding the sending half keeps the stream open while frames come.
            if let Err(error) = receive_frames(request.into_body(), &node, &inputs).await {
                warn!("{PEERS} the stream from {node} ended: {error}.");
                send_refusal(stream, &error);
            }
        });
    }
    Ok(())
}

/// Sends the peer the reason for which its stream ends. A failed send is ignored, since the peer is gone then.
fn send_refusal(mut stream: SendStream<Bytes>, error: &PeerError) {
    let _ = stream.send_data(Bytes::from(error.to_string()), true);
}

/// Returns the value of a header, or an empty text if it is missing or not visible ASCII.
fn header_value<T>(request: &Request<T>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Passes the frames of a stream to the core until the stream ends.
async fn receive_frames(mut body: RecvStream, node: &NodeName, inputs: &InputSender) -> Result<(), PeerError> {
    let mut buffer = BytesMut::new();
    // The connecting node notices a silent connection by its pings. The timeout keeps this end from holding it forever.
    while let Some(part) = timeout(STREAM_IDLE_TIMEOUT, body.data()).await.map_err(|_| PeerError::Timeout)? {
        let part = part?;
        body.flow_control().release_capacity(part.len())?;
        buffer.extend_from_slice(&part);
        while let Some(frame) = take_frame(&mut buffer)? {
            let message = PeerMessage::try_from(WireFrame::decode(&frame)?)?;
            let event = Event::Peer(node.clone(), Box::new(message));
            if inputs.send(NodeInput::Core(event)).is_err() {
                return Ok(());
            }
        }
    }
    if buffer.is_empty() {
        return Ok(());
    }
    Err(FrameError::Malformed(format!("the stream ended within a frame, after {} bytes of it", buffer.len())).into())
}

/// Removes one complete frame from the buffer. Returns `None` if there is none yet.
fn take_frame(buffer: &mut BytesMut) -> Result<Option<Bytes>, FrameError> {
    const LENGTH_BYTES: usize = 4;
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(length));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    Ok(Some(buffer.split_to(length).freeze()))
}
