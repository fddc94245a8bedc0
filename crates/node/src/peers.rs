//! The peers' edge: `h2` streams of `bincode` frames, on a `tokio` runtime of its own thread.

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

use crate::input::{InputSender, NodeInput};
use crate::part::PEERS;
use crate::ports::PeerPort;
use crate::run::StartError;
use crate::settings::{NodeSettings, SecretKey};

/// Messages that may wait for one peer; more are dropped, as all of them are repeated or may be lost.
const MOST_WAITING: usize = 1024;
/// Time for a connection and its handshake.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// Interval of pings, and time for their answers: a silent connection is replaced within both.
const PING_EVERY: Duration = Duration::from_millis(500);
const PONG_WITHIN: Duration = Duration::from_secs(1);
/// Time without a frame after which an accepted stream is dropped; its node opens a new one if it lives.
const SILENT_AFTER: Duration = Duration::from_mins(1);
/// Pause before a new connection.
const RECONNECT_AFTER: Duration = Duration::from_millis(200);
/// Most bytes read of a peer's words on why it ends a stream.
const LONGEST_REFUSAL_BYTES: usize = 2048;
/// Header with the name of the node that connects.
const NODE_HEADER: &str = "x-node";

/// Why a connection to or from a peer ended.
#[derive(Debug, thiserror::Error)]
enum PeerError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    H2(#[from] h2::Error),
    #[error("{0}")]
    Http(#[from] http::Error),
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("it did not answer in time")]
    Silent,
    #[error("the key of {0:?} is missing or wrong: use the same peers' key in all settings")]
    WrongKey(String),
    #[error("it refused this node: {0}")]
    Refused(String),
    #[error("it closed the stream")]
    Closed,
}

/// Talks to peers.
#[derive(Debug)]
pub struct PeerEdge {
    runtime: tokio::runtime::Handle,
    own: NodeName,
    key: SecretKey,
    peers: BTreeMap<NodeName, mpsc::Sender<WireFrame>>,
}

impl PeerEdge {
    /// Starts to listen for peers.
    ///
    /// # Errors
    ///
    /// The address cannot be bound or the thread is refused.
    pub fn start(settings: &NodeSettings, inputs: InputSender) -> Result<Self, StartError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let address = settings.peer_listen.unwrap_or(settings.identity.peer_address);
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .map_err(|error| StartError::Listen { address, detail: error.to_string() })?;
        let key = settings.peer_key.clone();
        thread::Builder::new().name("peers".to_owned()).spawn(move || {
            runtime.block_on(listen(listener, key, inputs));
        })?;
        info!("{PEERS} listening at {address}.");
        Ok(Self {
            runtime: handle,
            own: settings.identity.node.clone(),
            key: settings.peer_key.clone(),
            peers: BTreeMap::new(),
        })
    }
}

impl PeerPort for PeerEdge {
    fn connect(&mut self, node: NodeName, address: SocketAddr) {
        let (sender, receiver) = mpsc::channel(MOST_WAITING);
        let dialer = PeerDialer { own: self.own.clone(), peer: node.clone(), address, key: self.key.clone() };
        self.runtime.spawn(dialer.run(receiver));
        // The task of an earlier address ends as its channel closes.
        self.peers.insert(node, sender);
    }

    fn disconnect(&mut self, node: &NodeName) {
        self.peers.remove(node);
    }

    fn tell(&mut self, node: &NodeName, message: PeerMessage) {
        if let Some(sender) = self.peers.get(node) {
            let _ = sender.try_send(WireFrame::from(&message));
        }
    }
}

/// Keeps one outgoing connection.
struct PeerDialer {
    own: NodeName,
    peer: NodeName,
    address: SocketAddr,
    key: SecretKey,
}

impl PeerDialer {
    async fn run(self, mut receiver: mpsc::Receiver<WireFrame>) {
        let mut quiet = false;
        loop {
            match self.serve(&mut receiver).await {
                Ok(()) => return,
                Err(error) if !quiet => {
                    warn!("{PEERS} the connection to {} ended: {error}.", self.peer);
                    quiet = !matches!(error, PeerError::Silent | PeerError::Closed);
                }
                Err(_) => {}
            }
            sleep(RECONNECT_AFTER).await;
            // What waited is old by now; heartbeats bring the rest up to date.
            while receiver.try_recv().is_ok() {}
            if receiver.is_closed() {
                return;
            }
        }
    }

    /// Sends frames until the channel closes or the connection fails.
    async fn serve(&self, receiver: &mut mpsc::Receiver<WireFrame>) -> Result<(), PeerError> {
        let socket =
            timeout(CONNECT_WITHIN, TcpStream::connect(self.address)).await.map_err(|_| PeerError::Silent)??;
        socket.set_nodelay(true)?;
        let handshake = timeout(CONNECT_WITHIN, h2::client::handshake(socket));
        let (client, mut connection) = handshake.await.map_err(|_| PeerError::Silent)??;
        let pings = connection.ping_pong();
        let driver = tokio::spawn(connection);
        let result = self.stream(client, pings, receiver).await;
        driver.abort();
        result
    }

    async fn stream(
        &self,
        client: h2::client::SendRequest<Bytes>,
        pings: Option<h2::PingPong>,
        receiver: &mut mpsc::Receiver<WireFrame>,
    ) -> Result<(), PeerError> {
        let mut client = timeout(CONNECT_WITHIN, client.ready()).await.map_err(|_| PeerError::Silent)??;
        let request = Request::post(format!("http://{}/peer", self.address))
            .header("authorization", self.key.bearer())
            .header(NODE_HEADER, self.own.as_str())
            .body(())?;
        let (response, mut stream) = client.send_request(request, false)?;
        let response = timeout(CONNECT_WITHIN, response).await.map_err(|_| PeerError::Silent)??;
        // The peer says nothing unless it refuses this node or one of its frames.
        let mut refusal = Box::pin(refusal(response.into_body()));
        let mut beating = Box::pin(beat(pings));
        loop {
            tokio::select! {
                error = &mut beating => return Err(error),
                error = &mut refusal => return Err(error),
                frame = receiver.recv() => match frame {
                    Some(frame) => send(&mut stream, &frame).await?,
                    None => return Ok(()),
                },
            }
        }
    }
}

/// Reads why the peer ends the stream.
async fn refusal(mut body: RecvStream) -> PeerError {
    let mut text = Vec::new();
    while let Some(Ok(part)) = body.data().await {
        let _ = body.flow_control().release_capacity(part.len());
        text.extend_from_slice(&part);
        if text.len() > LONGEST_REFUSAL_BYTES {
            break;
        }
    }
    if text.is_empty() { PeerError::Closed } else { PeerError::Refused(String::from_utf8_lossy(&text).into_owned()) }
}

/// Pings until an answer does not come.
async fn beat(pings: Option<h2::PingPong>) -> PeerError {
    let Some(mut pings) = pings else { return PeerError::Closed };
    loop {
        sleep(PING_EVERY).await;
        match timeout(PONG_WITHIN, pings.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return PeerError::H2(error),
            Err(_) => return PeerError::Silent,
        }
    }
}

async fn send(stream: &mut SendStream<Bytes>, frame: &WireFrame) -> Result<(), PeerError> {
    let body = frame.encode();
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend(body);
    let mut rest = Bytes::from(bytes);
    while !rest.is_empty() {
        stream.reserve_capacity(rest.len());
        let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx));
        let capacity = timeout(PONG_WITHIN, capacity).await.map_err(|_| PeerError::Silent)?;
        let capacity = capacity.ok_or(PeerError::Closed)??;
        let part = rest.split_to(capacity.min(rest.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}

async fn listen(listener: TcpListener, key: SecretKey, inputs: InputSender) {
    loop {
        match listener.accept().await {
            Ok((socket, address)) => {
                let (key, inputs) = (key.clone(), inputs.clone());
                tokio::spawn(async move {
                    if let Err(error) = accept(socket, &key, &inputs).await {
                        warn!("{PEERS} a connection from {address} ended: {error}.");
                    }
                });
            }
            Err(error) => {
                warn!("{PEERS} no connection can be accepted: {error}.");
                sleep(RECONNECT_AFTER).await;
            }
        }
    }
}

async fn accept(socket: TcpStream, key: &SecretKey, inputs: &InputSender) -> Result<(), PeerError> {
    socket.set_nodelay(true)?;
    let handshake = timeout(CONNECT_WITHIN, h2::server::handshake(socket));
    let mut connection = handshake.await.map_err(|_| PeerError::Silent)??;
    while let Some(accepted) = connection.accept().await {
        let (request, mut respond) = accepted?;
        let given = header(&request, "authorization");
        let node = header(&request, NODE_HEADER);
        if !key.matches(given.trim_start_matches("Bearer ")) || node.is_empty() {
            let error = PeerError::WrongKey(node);
            warn!("{PEERS} a stream was refused: {error}.");
            let stream = respond.send_response(Response::builder().status(401).body(())?, false)?;
            tell_refusal(stream, &error);
            continue;
        }
        let stream = respond.send_response(Response::builder().status(200).body(())?, false)?;
        let inputs = inputs.clone();
        let node = NodeName::new(node);
        tokio::spawn(async move {
            // The open half keeps the stream alive for as long as frames come.
            if let Err(error) = receive(request.into_body(), &node, &inputs).await {
                warn!("{PEERS} the stream from {node} ended: {error}.");
                tell_refusal(stream, &error);
            }
        });
    }
    Ok(())
}

/// Tells the peer why its stream ends; a peer that is gone needs no word.
fn tell_refusal(mut stream: SendStream<Bytes>, error: &PeerError) {
    let _ = stream.send_data(Bytes::from(error.to_string()), true);
}

fn header<T>(request: &Request<T>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn receive(mut body: RecvStream, node: &NodeName, inputs: &InputSender) -> Result<(), PeerError> {
    let mut buffer = BytesMut::new();
    // The node that dialled drops a silent connection by its pings; this end must not keep it for good.
    while let Some(part) = timeout(SILENT_AFTER, body.data()).await.map_err(|_| PeerError::Silent)? {
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

/// Takes one whole frame off the buffer, if there is one.
fn take_frame(buffer: &mut BytesMut) -> Result<Option<Bytes>, FrameError> {
    const HEAD: usize = 4;
    if buffer.len() < HEAD {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(length));
    }
    if buffer.len() < HEAD + length {
        return Ok(None);
    }
    buffer.advance(HEAD);
    Ok(Some(buffer.split_to(length).freeze()))
}
