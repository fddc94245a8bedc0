//! Calls between nodes. Each call is one `h2` stream with `bincode` bodies.

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
use wasabipier_core::names::ServiceName;
use wasabipier_core::relay::fleet::{FleetCaller, FleetReport};
use wasabipier_core::relay::members::{CallVersion, RelayHeartbeat};
use wasabipier_core::relay::pieces::PieceJob;
use wasabipier_wire::frame::{FrameError, MAX_FRAME_BYTES};
use wasabipier_wire::relay::current::{
    CallKind, CurrentCall, CurrentReply, decode_current, encode_current, is_current, reported_to_wire,
};
use wasabipier_wire::relay::extension::{
    HeartbeatExtension, decode_extended, encode_heartbeat, encode_heartbeat_reply,
};
use wasabipier_wire::relay::{
    WireCall, WireFleetReport, WireHeartbeat, WireReply, decode, encode, jobs_from_wire, outcome_to_wire,
    permit_to_wire, version_from_wire,
};
use wasabipier_wire::tunnel::TUNNEL_MARK;

use crate::batching;
use crate::blame;
use crate::clock;
use crate::limits;
use crate::load_exchange;
use crate::log_prefixes::PEERS;
use crate::metering;
use crate::placement;
use crate::sockets;
use crate::state::SharedNode;
use crate::store;
use crate::table_transfers;
use crate::tunnels;
use crate::usage;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time within which a peer sends the first byte on a new connection.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of pings on a connection while it has calls, and timeout of their answers. An unresponsive connection is
/// closed after at most the sum of both. Sound peers may be silent for more than a second.
const PING_INTERVAL: Duration = Duration::from_millis(700);
const PING_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Maximum number of concurrent calls on one connection.
const MAX_STREAMS: u32 = 1_000;

/// Errors of a call to a peer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection could not be opened.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed during the call.
    #[error("connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The reply is not a frame that this release can decode.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The request could not be built, or the body of the reply broke off or is longer than `MAX_FRAME_BYTES`.
    #[error("reply incomplete: {0}")]
    Body(String),
    /// The reply did not arrive in time.
    #[error("timed out waiting for the reply")]
    Timeout,
    /// The peer replied with an HTTP status other than 200.
    #[error("the peer refused with status {0}")]
    Refused(StatusCode),
}

/// Runs the tasks of `h2` connections on the node's thread.
#[derive(Clone, Copy, Debug)]
struct LocalExecutor;

impl<F> hyper::rt::Executor<F> for LocalExecutor
where
    F: Future + 'static,
{
    fn execute(&self, fut: F) {
        spawn_local(async move {
            fut.await;
        });
    }
}

/// Connections to peers by address.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<SocketAddr, SendRequest<Full<Bytes>>>>,
}

impl PeerLinks {
    /// Sends a call to a peer and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply. The peer may have carried out the call.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &WireCall,
        time_limit: Duration,
    ) -> Result<WireReply, PeerError> {
        let reply = self.exchange(address, call.into(), encode(call), time_limit).await?;
        Ok(decode(&reply)?)
    }

    /// Sends a heartbeat with its extension to a peer, and returns the reply with its extension.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply. The peer may have carried out the call.
    pub async fn call_heartbeat(
        &self,
        address: SocketAddr,
        call: &WireCall,
        extension: &HeartbeatExtension,
        time_limit: Duration,
    ) -> Result<(WireReply, HeartbeatExtension), PeerError> {
        let reply = self.exchange(address, call.into(), encode_heartbeat(call, extension), time_limit).await?;
        Ok(decode_extended(&reply)?)
    }

    /// Sends a call of version 7 to a peer that reads it, and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply. The peer may have carried out the call.
    pub async fn call_current(
        &self,
        address: SocketAddr,
        call: CallKind,
        time_limit: Duration,
    ) -> Result<CurrentReply, PeerError> {
        let kind: &'static str = (&call).into();
        let bytes = encode_current(&CurrentCall { kind: Some(call) });
        let reply = self.exchange(address, kind, bytes, time_limit).await?;
        Ok(decode_current(&reply)?)
    }

    /// Sends an encoded call of a `kind` that is counted, and returns the encoded reply.
    async fn exchange(
        &self,
        address: SocketAddr,
        kind: &'static str,
        call: Vec<u8>,
        time_limit: Duration,
    ) -> Result<Bytes, PeerError> {
        let call_bytes = call.len();
        let reply = timeout(time_limit, self.send_call(address, Bytes::from(call))).await;
        let reply = reply.unwrap_or(Err(PeerError::Timeout));
        if matches!(reply, Err(PeerError::Http(_))) {
            self.links.borrow_mut().remove(&address);
        }
        metering::record_peer_call("sent", kind, call_bytes, reply.as_ref().map_or(0, Bytes::len));
        reply
    }

    async fn send_call(&self, address: SocketAddr, bytes: Bytes) -> Result<Bytes, PeerError> {
        let mut link = self.connect(address).await?;
        link.ready().await?;
        let request = Request::post(format!("http://{address}/")).body(Full::new(bytes));
        let request = request.map_err(|error| PeerError::Body(error.to_string()))?;
        let response = link.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(PeerError::Refused(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_FRAME_BYTES).collect().await;
        Ok(body.map_err(|error| PeerError::Body(error.to_string()))?.to_bytes())
    }

    /// Has later calls to a silent peer open a new connection. Calls on the present one go on.
    fn replace_link(&self, address: SocketAddr) {
        self.links.borrow_mut().remove(&address);
    }

    /// Returns the open connection to a peer, or opens one.
    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, PeerError> {
        let known = self.links.borrow().get(&address).filter(|link| !link.is_closed()).cloned();
        if let Some(link) = known {
            return Ok(link);
        }
        let stream = sockets::connect(address, CONNECT_TIMEOUT).await?;
        let builder = &mut hyper::client::conn::http2::Builder::new(LocalExecutor);
        let builder =
            builder.timer(TokioTimer::new()).keep_alive_interval(PING_INTERVAL).keep_alive_timeout(PING_TIMEOUT);
        let (link, connection) = builder.handshake(TokioIo::new(stream)).await?;
        spawn_local(async move {
            if let Err(error) = connection.await {
                debug!("{PEERS} connection to {address} failed: {error}.");
            }
        });
        self.links.borrow_mut().insert(address, link.clone());
        Ok(link)
    }
}

/// Serves calls of peers until the node ends.
pub async fn serve_listener(node: SharedNode, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = sockets::detect_silent_peer(&stream) {
                    debug!("{PEERS} connection closed before it was served: {error}.");
                }
                spawn_local(serve_stream(node.clone(), stream));
            }
            Err(error) => {
                warn!("{PEERS} connection could not be accepted: {error}; check the VM's limit on open files.");
                tokio::time::sleep(CONNECT_TIMEOUT).await;
            }
        }
    }
}

/// Serves a connection of a peer: calls, or a tunnel if its first byte says so.
async fn serve_stream(node: SharedNode, stream: tokio::net::TcpStream) {
    let mut first = [0; 1];
    match timeout(FIRST_BYTE_TIMEOUT, stream.peek(&mut first)).await {
        Ok(Ok(1)) if first == [TUNNEL_MARK] => tunnels::serve(node, stream).await,
        Ok(Ok(1)) => serve_connection(node, stream).await,
        _ => debug!("{PEERS} connection ended before its first byte."),
    }
}

async fn serve_connection(node: SharedNode, stream: tokio::net::TcpStream) {
    let service = service_fn(move |request| answer_call(node.clone(), request));
    let builder = &mut hyper::server::conn::http2::Builder::new(LocalExecutor);
    let builder = builder.timer(TokioTimer::new()).max_concurrent_streams(MAX_STREAMS);
    let builder = builder.keep_alive_interval(PING_INTERVAL * 4).keep_alive_timeout(PING_TIMEOUT * 2);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        debug!("{PEERS} connection failed: {error}.");
    }
}

async fn answer_call(
    node: SharedNode,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::convert::Infallible> {
    let body = Limited::new(request.into_body(), MAX_FRAME_BYTES).collect().await;
    let call = body.map_or_else(|_| Bytes::new(), http_body_util::Collected::to_bytes);
    let Some((kind, reply)) = answer_bytes(&node, &call).await else {
        warn!("{PEERS} call could not be decoded; run releases on all nodes that read each other's calls.");
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return Ok(response);
    };
    metering::record_peer_call("answered", kind, call.len(), reply.len());
    Ok(Response::new(Full::new(Bytes::from(reply))))
}

/// Handles an encoded call. Returns its kind and the encoded reply, or `None` if the call cannot be decoded.
async fn answer_bytes(node: &SharedNode, bytes: &[u8]) -> Option<(&'static str, Vec<u8>)> {
    if is_current(bytes) {
        let call: CurrentCall = decode_current(bytes).ok()?;
        let call = call.kind?;
        return Some(((&call).into(), encode_current(&handle_current_call(node, call))));
    }
    let (call, extension) = decode_extended::<WireCall>(bytes).ok()?;
    let kind = (&call).into();
    let reply = match call {
        WireCall::Heartbeat(heartbeat, report) => {
            let (reply, extension) = answer_heartbeat(node, *heartbeat, report, &extension);
            encode_heartbeat_reply(&reply, &extension)
        }
        call => encode(&handle_call(node, call).await),
    };
    Some((kind, reply))
}

fn handle_current_call(node: &SharedNode, call: CallKind) -> CurrentReply {
    match call {
        CallKind::Place(request) => {
            let grant = placement::grant(node, &request.into()).as_ref().map(Into::into);
            CurrentReply { grant, ..CurrentReply::default() }
        }
        CallKind::GrantEvents(events) => {
            for (id, event) in events.into_events() {
                placement::handle_event(node, id, event);
            }
            CurrentReply::default()
        }
        CallKind::GrantLoads(loads) => {
            let (hub, loads) = loads.into_parts();
            node.board.borrow_mut().targets.set_peer_grants(&hub, loads);
            CurrentReply::default()
        }
        CallKind::Usage(update) => {
            let reported = usage::apply_update(node, update.into());
            CurrentReply { reported_end: reported_to_wire(reported), ..CurrentReply::default() }
        }
    }
}

/// Handles a peer's heartbeat, and returns the reply.
fn answer_heartbeat(
    node: &SharedNode,
    heartbeat: WireHeartbeat,
    report: WireFleetReport,
    extension: &HeartbeatExtension,
) -> (WireReply, HeartbeatExtension) {
    let now = clock::now();
    let heartbeat = extension.complete(heartbeat);
    let caller = FleetCaller {
        node: heartbeat.node.clone(),
        instance: heartbeat.instance,
        dc: heartbeat.dc.clone(),
        call_version: heartbeat.call_version,
        known: extension.known(),
    };
    let (proofs, address) = (heartbeat.proofs.clone(), heartbeat.peer_address);
    handle_heartbeat(node, heartbeat, report.into(), now);
    table_transfers::handle_proofs(node, address, &proofs, None);
    build_heartbeat_reply(node, &caller)
}

async fn handle_call(node: &SharedNode, call: WireCall) -> WireReply {
    let now = clock::now();
    match call {
        WireCall::Heartbeat(heartbeat, report) => {
            answer_heartbeat(node, *heartbeat, report, &HeartbeatExtension::default()).0
        }
        WireCall::Work(loads) => WireReply::Work(load_exchange::answer_exchange(node, loads)),
        WireCall::Rows { table, have } => table_transfers::rows_reply(node, table, version_from_wire(have)),
        WireCall::Chunks { table, hashes } => table_transfers::chunks_reply(node, table, &hashes),
        WireCall::Permit(request) => permit_to_wire(&node.board.borrow_mut().take_permit(&request.into(), now)),
        WireCall::LeaseEnds(ends) => {
            for end in ends {
                limits::record_lease_end(node, &end.into());
            }
            WireReply::Done
        }
        WireCall::Pieces { service, jobs } => {
            let jobs: Vec<PieceJob> = jobs.into_iter().flat_map(|jobs| jobs_from_wire(jobs, now)).collect();
            let outcomes = batching::make_pieces_locally(node, &ServiceName::new(service), jobs).await;
            WireReply::Pieces(outcomes.iter().map(outcome_to_wire).collect())
        }
        WireCall::Free { service, handles } => {
            let handles: Vec<_> = handles.into_iter().map(std::sync::Arc::from).collect();
            batching::free_results_locally(node, &ServiceName::new(service), &handles);
            WireReply::Done
        }
    }
}

/// Marks the peer at `address` as suspected after an unanswered call. Other nodes take over its roles, such as hub or
/// batching node, until its next heartbeat. Has no effect if no known peer has this address.
pub fn record_unreachable(node: &SharedNode, address: SocketAddr, error: &PeerError) {
    if matches!(error, PeerError::Timeout) {
        node.peers.replace_link(address);
    }
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
        warn!("{PEERS} peer did not answer; others take over.", kv: { peer = peer.as_str(), error = error.as_str() });
    }
}

/// Handles a peer's heartbeat and its report of other nodes. `called_at` is the time at which this node sent the call
/// that the heartbeat replies to, or at which the peer's own call arrived.
pub fn handle_heartbeat(node: &SharedNode, heartbeat: RelayHeartbeat, report: FleetReport, called_at: Moment) {
    let (peer, state, instance) = (heartbeat.node.clone(), heartbeat.state, heartbeat.instance);
    blame::learn_suspects(node, &peer, &heartbeat.suspects);
    if node.board.borrow_mut().handle_heartbeat_reply(heartbeat, report, called_at, clock::now()) {
        let (peer, state, instance) = (peer.as_str(), state.to_string(), instance.to_string());
        spdlog::info!("{PEERS} peer discovered.", kv: { peer, state = state.as_str(), instance = instance.as_str() });
    }
    store::start_serving_if_ready(node);
}

fn build_heartbeat_reply(node: &SharedNode, caller: &FleetCaller) -> (WireReply, HeartbeatExtension) {
    let now = clock::now();
    let mut board = node.board.borrow_mut();
    let mut report = board.report_to(caller, now);
    let reads_rosters = caller.call_version >= CallVersion::ROSTERS;
    // Rosters and members hold the addresses.
    let names_addresses = !reads_rosters || board.is_small_fleet();
    let known = board.members.alive(now).filter(|_| names_addresses);
    let known_addresses = known.map(|view| view.heartbeat.peer_address).collect();
    let members = if reads_rosters { std::mem::take(&mut report.members) } else { Vec::new() };
    let extension = HeartbeatExtension::of_reply(CallVersion::CURRENT, &report.rosters, &members);
    let heartbeat = board.next_heartbeat_to(&caller.node, &caller.dc, now);
    let extension = extension.with_suspects(&heartbeat.suspects).with_settled_era(heartbeat.settled_from);
    (WireReply::Heartbeat(Box::new((&heartbeat).into()), known_addresses, (&report).into()), extension)
}
