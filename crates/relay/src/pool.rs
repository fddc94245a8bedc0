//! Pool of HTTP/1 connections to targets. A connection serves one request at a time and is then kept for reuse.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::{NodeName, TargetName};
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::paths::PathChoice;
use wasabipier_core::relay::targets::TargetEntry;

use crate::clock;
use crate::metering;
use crate::paths;
use crate::read_budget::BudgetedStream;
use crate::state::SharedNode;
use crate::tunnels;

/// Idle time after which a connection is not reused if its target does not state an idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Fraction of the stated idle timeout for which an idle connection is reused. The margin keeps the target from closing
/// the connection while a request is being sent.
const IDLE_TIMEOUT_RATIO: f64 = 0.6;
/// Maximum size of the head of a target's answer in bytes. Targets send a few hundred bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Time after which a peer is asked for a tunnel beside an attempt to connect. Targets accept within some milliseconds.
const USUAL_CONNECT_TIME: Duration = Duration::from_millis(60);
/// Maximum number of peers that are asked for a tunnel to a target that this node does not reach.
const MAX_TUNNEL_PEERS: usize = 2;

/// Identifies the target of a connection. The address alone is not enough, since another target can take it over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ConnectionKey {
    target: TargetName,
    incarnation: Option<u64>,
    address: SocketAddr,
}

impl From<&TargetEntry> for ConnectionKey {
    fn from(entry: &TargetEntry) -> Self {
        Self { target: entry.target.clone(), incarnation: entry.incarnation, address: entry.address }
    }
}

/// The task that drives a connection. The connection is closed when this is dropped.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
    /// Peer through which the connection leads; `None` if it is direct.
    peer: Option<NodeName>,
    usable_until: Moment,
}

/// A connection in use by one request. Dropping it closes the connection, which tells the target to stop its work.
#[derive(Debug)]
pub struct PooledConnection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has served a request before.
    pub is_reused: bool,
    task: ConnectionTask,
    key: ConnectionKey,
    peer: Option<NodeName>,
}

/// Pool of idle connections by target.
#[derive(Clone, Debug, Default)]
pub struct TargetPool {
    idle: Rc<RefCell<HashMap<ConnectionKey, Vec<IdleConnection>>>>,
}

impl TargetPool {
    /// Returns an idle connection to the target, or a new one if there is none or `needs_new` is set. A target that this
    /// node does not reach is connected to through a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if neither this node nor a peer connects to the target in time.
    pub async fn acquire(
        &self,
        node: &SharedNode,
        entry: &TargetEntry,
        needs_new: bool,
    ) -> std::io::Result<PooledConnection> {
        let key = ConnectionKey::from(entry);
        if !needs_new && let Some(connection) = self.take_idle(node, &key) {
            return Ok(connection);
        }
        let (stream, peer) = open_stream(node, entry).await?;
        if peer.is_none() {
            metering::record_connection(entry.service.as_str());
        }
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(BudgetedStream::new(stream)));
        let (sender, connection) = handshake.await.map_err(std::io::Error::other)?;
        let task = spawn_local(async move {
            // Errors are reported by the request that uses the connection.
            let _ = connection.await;
        });
        Ok(PooledConnection { sender, is_reused: false, task: ConnectionTask(task.abort_handle()), key, peer })
    }

    fn take_idle(&self, node: &SharedNode, key: &ConnectionKey) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(key)?;
        let now = clock::now();
        let board = node.board.borrow();
        let is_doubtful = board.paths.is_doubtful(&key.target);
        while let Some(connection) = connections.pop() {
            let is_passable = match &connection.peer {
                None => !is_doubtful,
                Some(peer) => is_doubtful && board.is_tunnel_usable(peer, now),
            };
            let is_open = !connection.sender.is_closed() && connection.sender.is_ready();
            if is_passable && is_open && connection.usable_until > now {
                let IdleConnection { sender, task, peer, .. } = connection;
                return Some(PooledConnection { sender, is_reused: true, task, key: key.clone(), peer });
            }
        }
        None
    }

    /// Returns a connection to the pool after its answer was read to the end. `idle_timeout` is the time for which the
    /// target says that it keeps idle connections.
    pub fn release(&self, connection: PooledConnection, idle_timeout: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let usable_for = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |idle| idle.mul_f64(IDLE_TIMEOUT_RATIO));
        let PooledConnection { sender, task, key, peer, .. } = connection;
        let idle_connection = IdleConnection { sender, task, peer, usable_until: clock::now() + usable_for };
        self.idle.borrow_mut().entry(key).or_default().push(idle_connection);
    }

    /// Removes idle connections whose idle time is over, that the target has closed, or whose peer is leaving.
    pub fn close_expired(&self, board: &RelayBoard) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| {
                let is_passable = connection.peer.as_ref().is_none_or(|peer| board.is_tunnel_usable(peer, now));
                is_passable && connection.usable_until > now && !connection.sender.is_closed()
            });
            !connections.is_empty()
        });
    }

    /// Closes all idle connections that lead through no peer.
    pub fn close_direct(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.peer.is_some());
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to a target that no longer exists or does not respond.
    pub fn close_idle(&self, target: &TargetName) {
        self.idle.borrow_mut().retain(|key, _| key.target != *target);
    }
}

/// Opens a stream to a target, directly or through a peer. Returns it with the peer's name.
async fn open_stream(node: &SharedNode, entry: &TargetEntry) -> std::io::Result<(TcpStream, Option<NodeName>)> {
    let choice = node.board.borrow().choose_path(&entry.target, clock::now());
    match choice {
        PathChoice::Direct => open_either(node, entry).await,
        PathChoice::Tunnel => open_tunnel(node, entry, MAX_TUNNEL_PEERS).await,
        PathChoice::Closed => Err(std::io::ErrorKind::HostUnreachable.into()),
    }
}

/// Connects to a target directly, and through a peer if that fails or takes longer than usual.
async fn open_either(node: &SharedNode, entry: &TargetEntry) -> std::io::Result<(TcpStream, Option<NodeName>)> {
    let (connecting, target) = (node.clone(), entry.clone());
    // The attempt goes on after a tunnel has been opened, since it shows whether the path works.
    let mut direct = spawn_local(async move { paths::connect(&connecting, &target).await });
    match timeout(USUAL_CONNECT_TIME, &mut direct).await {
        Ok(Ok(Ok(stream))) => return Ok((stream, None)),
        Ok(_) => return open_tunnel(node, entry, 1).await,
        Err(_) => {}
    }
    let mut tunnel = std::pin::pin!(open_tunnel(node, entry, 1));
    tokio::select! {
        connected = &mut direct => match connected {
            Ok(Ok(stream)) => Ok((stream, None)),
            _ => tunnel.await,
        },
        opened = &mut tunnel => match opened {
            Ok(opened) => Ok(opened),
            Err(_) => Ok((direct.await.map_err(std::io::Error::other)??, None)),
        },
    }
}

async fn open_tunnel(
    node: &SharedNode,
    entry: &TargetEntry,
    max_peers: usize,
) -> std::io::Result<(TcpStream, Option<NodeName>)> {
    let (stream, peer) = tunnels::open(node, entry, max_peers).await?;
    Ok((stream, Some(peer)))
}
