//! Calls between nodes: one `h2` stream each, with `bincode` bodies.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use spdlog::{debug, warn};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::timeout;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::{DcName, Fingerprint, NodeName, ServiceName, TargetName};
use wasabipier_core::relay::fleet::FleetReport;
use wasabipier_core::relay::members::RelayHeartbeat;
use wasabipier_core::relay::pieces::PieceJob;
use wasabipier_wire::frame::{FrameError, MAX_FRAME_BYTES};
use wasabipier_wire::relay::{
    WireCall, WireReply, WireRow, decode, encode, jobs_from_wire, outcome_to_wire, table_from_number,
};

use crate::clock;
use crate::gather;
use crate::part::PEERS;
use crate::sockets;
use crate::state::SharedNode;
use crate::store;
use crate::work;

/// Time for a connection to a peer.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);
/// Interval of pings on a connection in use, and time for their answers: a silent one is replaced within both.
const PING_EVERY: Duration = Duration::from_millis(700);
const PONG_WITHIN: Duration = Duration::from_millis(700);
/// Calls on one connection at a time.
const MOST_STREAMS: u32 = 1_000;

/// Why a call brought no reply.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No connection.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Http(#[from] hyper::Error),
    /// The reply cannot be read.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The body of the reply broke off or is too long.
    #[error("the reply broke off: {0}")]
    Body(String),
    /// No reply in time.
    #[error("no reply in time")]
    Silent,
    /// The peer refused.
    #[error("the peer refused with status {0}")]
    Refused(StatusCode),
}

/// Runs tasks of `h2` on this thread.
#[derive(Clone, Copy, Debug)]
struct LocalTasks;

impl<F> hyper::rt::Executor<F> for LocalTasks
where
    F: Future + 'static,
{
    fn execute(&self, fut: F) {
        spawn_local(async move {
            fut.await;
        });
    }
}

/// Connections to peers.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<SocketAddr, SendRequest<Full<Bytes>>>>,
}

impl PeerLinks {
    /// Calls a peer.
    ///
    /// # Errors
    ///
    /// Why there is no reply; the call may have been carried out.
    pub async fn call(&self, address: SocketAddr, call: &WireCall, within: Duration) -> Result<WireReply, PeerError> {
        let bytes = Bytes::from(encode(call));
        let reply = timeout(within, self.exchange(address, bytes)).await.unwrap_or(Err(PeerError::Silent));
        if matches!(reply, Err(PeerError::Http(_))) {
            self.links.borrow_mut().remove(&address);
        }
        reply
    }

    async fn exchange(&self, address: SocketAddr, bytes: Bytes) -> Result<WireReply, PeerError> {
        let mut link = self.link(address).await?;
        link.ready().await?;
        let request = Request::post(format!("http://{address}/")).body(Full::new(bytes));
        let request = request.map_err(|error| PeerError::Body(error.to_string()))?;
        let response = link.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(PeerError::Refused(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_FRAME_BYTES).collect().await;
        let body = body.map_err(|error| PeerError::Body(error.to_string()))?.to_bytes();
        Ok(decode(&body)?)
    }

    async fn link(&self, address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, PeerError> {
        let known = self.links.borrow().get(&address).filter(|link| !link.is_closed()).cloned();
        if let Some(link) = known {
            return Ok(link);
        }
        let stream = sockets::connect(address, CONNECT_WITHIN).await?;
        let builder = &mut hyper::client::conn::http2::Builder::new(LocalTasks);
        let builder = builder.timer(TokioTimer::new()).keep_alive_interval(PING_EVERY).keep_alive_timeout(PONG_WITHIN);
        let (link, connection) = builder.handshake(TokioIo::new(stream)).await?;
        spawn_local(async move {
            if let Err(error) = connection.await {
                debug!("{PEERS} the connection to {address} ended: {error}.");
            }
        });
        self.links.borrow_mut().insert(address, link.clone());
        Ok(link)
    }
}

/// Serves peers until the node ends.
pub async fn listen(node: SharedNode, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = sockets::watch(&stream) {
                    debug!("{PEERS} a connection was gone before it was served: {error}.");
                }
                spawn_local(serve(node.clone(), stream));
            }
            Err(error) => {
                warn!("{PEERS} cannot accept: {error}; check the VM's limit on open files.");
                tokio::time::sleep(CONNECT_WITHIN).await;
            }
        }
    }
}

async fn serve(node: SharedNode, stream: tokio::net::TcpStream) {
    let service = service_fn(move |request| answer(node.clone(), request));
    let builder = &mut hyper::server::conn::http2::Builder::new(LocalTasks);
    let builder = builder.timer(TokioTimer::new()).max_concurrent_streams(MOST_STREAMS);
    let builder = builder.keep_alive_interval(PING_EVERY * 4).keep_alive_timeout(PONG_WITHIN * 2);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        debug!("{PEERS} a peer's connection ended: {error}.");
    }
}

async fn answer(
    node: SharedNode,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::convert::Infallible> {
    let body = Limited::new(request.into_body(), MAX_FRAME_BYTES).collect().await;
    let call = body.ok().and_then(|body| decode::<WireCall>(&body.to_bytes()).ok());
    let Some(call) = call else {
        warn!("{PEERS} a call could not be read; run the same release on all nodes.");
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return Ok(response);
    };
    let reply = handle(&node, call).await;
    Ok(Response::new(Full::new(Bytes::from(encode(&reply)))))
}

async fn handle(node: &SharedNode, call: WireCall) -> WireReply {
    let now = clock::now();
    match call {
        WireCall::Heartbeat(heartbeat, news) => {
            let heartbeat = RelayHeartbeat::from(*heartbeat);
            let (peer, dc, proofs) = (heartbeat.node.clone(), heartbeat.dc.clone(), heartbeat.proofs.clone());
            let address = heartbeat.peer_address;
            hear(node, heartbeat, news.into(), now);
            store::follow_proofs(node, address, &proofs, None);
            heartbeat_reply(node, &peer, &dc)
        }
        WireCall::Work(work) => WireReply::Work(work::answer(node, work)),
        WireCall::Rows { table, have } => rows_reply(node, table, have),
        WireCall::Pieces { service, jobs } => {
            let jobs: Vec<PieceJob> = jobs.into_iter().flat_map(|jobs| jobs_from_wire(jobs, now)).collect();
            let ends = gather::make_here(node, &ServiceName::new(service), jobs).await;
            WireReply::Pieces(ends.iter().map(outcome_to_wire).collect())
        }
        WireCall::Free { service, handles } => {
            let handles: Vec<_> = handles.into_iter().map(std::sync::Arc::from).collect();
            gather::free_here(node, &ServiceName::new(service), &handles);
            WireReply::Done
        }
        WireCall::Harmful { content, target } => {
            node.board.borrow_mut().harmful.record_crash(Fingerprint(content), TargetName::new(target));
            WireReply::Done
        }
    }
}

/// Notes that a peer did not answer: its duties pass to others until it is heard again.
pub fn suspect(node: &SharedNode, address: SocketAddr, error: &PeerError) {
    let mut board = node.board.borrow_mut();
    let peer = board
        .members
        .known()
        .find(|view| view.heartbeat.peer_address == address)
        .map(|view| view.heartbeat.node.clone());
    let Some(peer) = peer else { return };
    if board.members.mark_suspected(&peer, clock::now()) {
        drop(board);
        let error = error.to_string();
        warn!("{PEERS} a peer did not answer; others take over.", kv: { peer = peer.as_str(), error = error.as_str() });
    }
}

/// Takes a peer's heartbeat and its news of others in.
pub fn hear(node: &SharedNode, heartbeat: RelayHeartbeat, news: FleetReport, asked: Moment) {
    let (peer, state, instance) = (heartbeat.node.clone(), heartbeat.state, heartbeat.instance);
    if node.board.borrow_mut().handle_heartbeat_reply(heartbeat, news, asked, clock::now()) {
        let (peer, state, instance) = (peer.as_str(), state.to_string(), instance.to_string());
        spdlog::info!("{PEERS} met a peer.", kv: { peer, state = state.as_str(), instance = instance.as_str() });
    }
}

fn heartbeat_reply(node: &SharedNode, peer: &NodeName, dc: &DcName) -> WireReply {
    let now = clock::now();
    let mut board = node.board.borrow_mut();
    let known = board.members.alive(now).map(|view| view.heartbeat.peer_address).collect();
    let news = board.fleet_report(peer, dc, now);
    WireReply::Heartbeat(Box::new((&board.heartbeat(now)).into()), known, (&news).into())
}

fn rows_reply(node: &SharedNode, table: u8, have: u64) -> WireReply {
    let board = node.board.borrow();
    let copy = table_from_number(table).and_then(|table| board.copies.get(&table));
    let known = copy.and_then(|copy| Some((copy, copy.confirmed_at()?)));
    let Some((copy, asked)) = known else { return WireReply::Done };
    let batch = copy.changes_after(have);
    let age_ms = clock::now().since(asked).as_millis() as u32;
    let rows = batch.rows.iter().map(WireRow::from).collect();
    WireReply::Rows { rows, whole: batch.whole, version: batch.version, age_ms }
}
