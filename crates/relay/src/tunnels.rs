//! Tunnels: connections to targets through a peer, for a node that does not reach a target itself.
//!
//! The peer connects to the target and passes the bytes of both sides on. It passes an orderly end on as such, and
//! resets the connection of its caller in any other case, also when its process ends, so that a cut answer never looks
//! like one that has ended.

#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use spdlog::{debug, info};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy, sink};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{NodeName, TargetName};
use wasabipier_core::relay::targets::TargetEntry;
use wasabipier_wire::tunnel::{MAX_TUNNEL_REQUEST_BYTES, TunnelReply, TunnelRequest};

use crate::clock;
use crate::log_prefixes::{PEERS, TARGETS};
use crate::metering;
use crate::paths;
use crate::restarts;
use crate::sockets::{self, PAUSED_READER_TIMEOUT};
use crate::state::SharedNode;

/// Time within which a peer sends its request after it has connected.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a peer's answer beyond the timeout of its own attempt to connect.
const REPLY_MARGIN: Duration = Duration::from_millis(150);
/// Maximum number of peers that are asked whether they reach a target.
const MAX_WITNESSES: usize = 2;
/// Maximum number of other targets for which a peer is asked that does not reach one, and the timeout of its answers.
const MAX_CONTROLS: usize = 2;
const CONTROL_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of tunnels that a node holds open for its peers.
const MAX_TUNNELS: usize = 1_000;

/// Opens a connection to a target through one of up to `max_peers` peers. Returns it with the name of the peer.
///
/// # Errors
///
/// Returns an error if no peer that was asked reaches the target. Nothing has been sent to the target.
pub async fn open(node: &SharedNode, entry: &TargetEntry, max_peers: usize) -> io::Result<(TcpStream, NodeName)> {
    let peers = node.board.borrow_mut().tunnel_peers(&entry.service, max_peers, clock::now());
    let mut missing = Vec::new();
    for peer in peers {
        let (name, started) = (peer.node, clock::now());
        let (stream, outcome) = match request(node, peer.peer_address, entry).await {
            Ok((stream, TunnelReply::Open)) => (Some(stream), TunnelReply::Open.to_string()),
            Ok((_, reply)) => {
                if reply == TunnelReply::Unreached {
                    node.board.borrow_mut().paths.record_miss(&name, clock::now());
                    missing.push(peer.peer_address);
                }
                (None, reply.to_string())
            }
            Err(error) => (None, error.to_string()),
        };
        let now = clock::now();
        metering::record_tunnel(entry.service.as_str(), stream.is_some());
        if node.log_limiter.allows(now) {
            let (target, peer, took_ms) = (entry.target.as_str(), name.as_str(), now.since(started).as_millis() as u64);
            info!("{TARGETS} peer asked for a tunnel.", kv: { target, peer, outcome = outcome.as_str(), took_ms });
        }
        if let Some(stream) = stream {
            let change = node.board.borrow_mut().record_relayed(&entry.target, now);
            paths::handle_change(node, change);
            restarts::handle_accepting(node, entry);
            return Ok((stream, name));
        }
    }
    if !missing.is_empty() {
        check_down(node, entry, missing);
    }
    Err(io::ErrorKind::HostUnreachable.into())
}

/// Checks whether one of the peers at `missing`, which do not reach a target, reaches another one. If so, the target counts
/// as down.
fn check_down(node: &SharedNode, entry: &TargetEntry, missing: Vec<SocketAddr>) {
    let controls = {
        let (mut board, now) = (node.board.borrow_mut(), clock::now());
        if !board.paths.begin_down_check(&entry.target, now) {
            return;
        }
        board.path_controls(entry, MAX_CONTROLS, now)
    };
    let (node, target) = (node.clone(), entry.target.clone());
    spawn_local(async move {
        let pairs = missing.iter().flat_map(|address| controls.iter().map(move |control| (*address, control)));
        let asked = pairs.map(|(address, control)| reaches(&node, address, control, CONTROL_TIMEOUT));
        let reaches_others = join_all(asked).await.contains(&Some(true));
        node.board.borrow_mut().paths.finish_down_check(&target, reaches_others, clock::now());
    });
}

/// What peers tell of a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerReport {
    /// Whether one of them reaches the target; `None` if none tells.
    pub is_reached: Option<bool>,
    /// Whether one of them does not reach it, but another target.
    pub is_missed_by_witness: bool,
}

/// Asks peers whether they reach a target, and those that do not whether they reach one of `controls`. Each answer takes
/// `limit` at most.
pub async fn ask_peers(
    node: &SharedNode,
    entry: &TargetEntry,
    controls: &[TargetEntry],
    limit: Duration,
) -> PeerReport {
    let peers = node.board.borrow_mut().tunnel_peers(&entry.service, MAX_WITNESSES, clock::now());
    let asked = peers.iter().map(|peer| ask_peer(node, peer.peer_address, entry, controls, limit));
    join_all(asked).await.into_iter().fold(PeerReport::default(), |all, one| PeerReport {
        is_reached: all.is_reached.into_iter().chain(one.is_reached).reduce(|one, other| one || other),
        is_missed_by_witness: all.is_missed_by_witness || one.is_missed_by_witness,
    })
}

async fn ask_peer(
    node: &SharedNode,
    address: SocketAddr,
    entry: &TargetEntry,
    controls: &[TargetEntry],
    limit: Duration,
) -> PeerReport {
    let is_reached = reaches(node, address, entry, limit).await;
    if is_reached == Some(false) {
        // Asked afterwards: a partition of the peer that has begun in between must not look like a crash.
        for control in controls {
            if reaches(node, address, control, limit).await == Some(true) {
                return PeerReport { is_reached, is_missed_by_witness: true };
            }
        }
    }
    PeerReport { is_reached, is_missed_by_witness: false }
}

/// Returns whether the peer at `address` reaches a target, or `None` if it does not tell within `limit`.
async fn reaches(node: &SharedNode, address: SocketAddr, entry: &TargetEntry, limit: Duration) -> Option<bool> {
    match timeout(limit, request(node, address, entry)).await {
        Ok(Ok((_, TunnelReply::Open))) => Some(true),
        Ok(Ok((_, TunnelReply::Unreached))) => Some(false),
        _ => None,
    }
}

/// Asks the peer at `address` for a tunnel.
async fn request(node: &SharedNode, address: SocketAddr, entry: &TargetEntry) -> io::Result<(TcpStream, TunnelReply)> {
    let connect_timeout = node.times.connect_timeout;
    let exchange = async {
        let mut stream = sockets::connect(address, connect_timeout).await?;
        stream.write_all(&TunnelRequest::new(&entry.target, entry.incarnation).to_bytes()).await?;
        let reply = TunnelReply::from_repr(stream.read_u8().await?).ok_or(io::ErrorKind::InvalidData)?;
        Ok((stream, reply))
    };
    timeout(connect_timeout + REPLY_MARGIN, exchange).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}

/// Counts a tunnel that this node holds open for a peer until dropped.
struct OpenTunnel(SharedNode);

impl OpenTunnel {
    /// Counts a new tunnel, unless there are as many as there may be.
    fn try_new(node: &SharedNode) -> Option<Self> {
        let count = node.open_tunnels.get();
        (count < MAX_TUNNELS).then(|| {
            node.open_tunnels.set(count + 1);
            Self(node.clone())
        })
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.0.open_tunnels.set(self.0.open_tunnels.get().saturating_sub(1));
    }
}

/// Serves a connection on which a peer asks for a tunnel, from its first byte to its end.
pub async fn serve(node: SharedNode, mut caller: TcpStream) {
    let request =
        timeout(REQUEST_TIMEOUT, read_request(&mut caller)).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()));
    let request = match request {
        Ok(request) => request,
        Err(error) => return debug!("{PEERS} request for a tunnel not read: {error}."),
    };
    let opened = match OpenTunnel::try_new(&node) {
        Some(guard) => connect(&node, request).await.map(|target| (guard, target)),
        None => Err(TunnelReply::Busy),
    };
    let (reply, tunnel) = match opened {
        Ok(tunnel) => (TunnelReply::Open, Some(tunnel)),
        Err(reply) => (reply, None),
    };
    metering::record_served_tunnel(reply.into());
    if caller.write_u8(reply as u8).await.is_err() {
        return;
    }
    if let Some((_guard, (target, stream))) = tunnel
        && let Err(error) = pass_bytes(caller, stream).await
    {
        // This node may be partitioned from the target, too, by a partition that lets connections open.
        node.board.borrow_mut().paths.record_doubt(&target);
        if node.log_limiter.allows(clock::now()) {
            let error = error.to_string();
            info!("{PEERS} tunnel broke.", kv: { target = target.as_str(), error = error.as_str() });
        }
    }
}

async fn read_request(caller: &mut TcpStream) -> io::Result<TunnelRequest> {
    let _mark = caller.read_u8().await?;
    let length = usize::from(caller.read_u16().await?);
    if length > MAX_TUNNEL_REQUEST_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    caller.read_exact(&mut body).await?;
    TunnelRequest::from_body(&body).map_err(io::Error::other)
}

/// Connects to the target of a request, which this node looks up by itself. A tunnel never leads through a second peer.
async fn connect(node: &SharedNode, request: TunnelRequest) -> Result<(TargetName, TcpStream), TunnelReply> {
    let (target, incarnation) = request.into_parts();
    let entry = {
        let board = node.board.borrow();
        if board.state == NodeState::Leaving {
            return Err(TunnelReply::Busy);
        }
        let view = board.targets.get(&target).filter(|view| view.entry.incarnation == incarnation);
        let view = view.filter(|view| !view.entry.leaving && !board.closed_dcs.contains(&view.entry.dc));
        let entry = view.map(|view| view.entry.clone()).ok_or(TunnelReply::UnknownTarget)?;
        if board.paths.is_cut_off() {
            return Err(TunnelReply::CutOff);
        }
        if board.paths.has_failed(&target) {
            return Err(TunnelReply::Unreached);
        }
        entry
    };
    let connected = paths::connect(node, &entry).await.map_err(|_| TunnelReply::Unreached)?;
    metering::record_connection(entry.service.as_str());
    Ok((target, connected))
}

/// Passes bytes in both directions until one side ends its connection, and ends the other.
///
/// # Errors
///
/// Returns an error if a connection breaks, or if the target ends its connection without an answer.
async fn pass_bytes(mut caller: TcpStream, mut target: TcpStream) -> io::Result<()> {
    sockets::reset_on_close(&caller)?;
    // The caller of the tunnel stops reading while its own caller does.
    sockets::allow_paused_reader(&caller)?;
    let (mut from_caller, mut to_caller) = caller.split();
    let (mut from_target, mut to_target) = target.split();
    tokio::select! {
        answers = copy(&mut from_target, &mut to_caller) => {
            let answer_bytes = answers?;
            to_caller.shutdown().await?;
            // The connection is reset when it is dropped, which would discard bytes that the caller has not read.
            let _ = timeout(PAUSED_READER_TIMEOUT, copy(&mut from_caller, &mut sink())).await;
            if answer_bytes == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        requests = copy(&mut from_caller, &mut to_target) => drop(requests?),
    }
    Ok(())
}
