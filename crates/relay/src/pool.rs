//! Connections to targets: one request at a time on each, kept for the next.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::{AbortHandle, spawn_local};
use wasabipier_core::clock::Moment;
use wasabipier_core::names::TargetName;
use wasabipier_core::relay::targets::TargetEntry;

use crate::clock;
use crate::metering;
use crate::sockets;

/// Idleness after which a connection is not used again, if its target does not say how long it keeps one.
const UNSTATED_IDLE: Duration = Duration::from_millis(800);
/// Part of the stated time for which a connection is used: the target must not close it as a request leaves.
const IDLE_PART: f64 = 0.6;
/// Longest head of a target's answer in bytes; servers send a few hundred.
const MOST_HEAD_BYTES: usize = 32 * 1024;

/// Whose connection it is: an address can pass to another target.
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

/// Ends its connection when dropped.
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
    usable_until: Moment,
}

/// A connection in use. Dropped, it is closed, which tells the target to stop.
#[derive(Debug)]
pub struct PoolLease {
    /// Sends the request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it was used before.
    pub is_reused: bool,
    task: ConnectionTask,
    key: ConnectionKey,
}

/// Idle connections by target.
#[derive(Clone, Debug, Default)]
pub struct TargetPool {
    idle: Rc<RefCell<HashMap<ConnectionKey, Vec<IdleConnection>>>>,
}

impl TargetPool {
    /// A connection to a target: a kept one unless `fresh`, else a new one.
    ///
    /// # Errors
    ///
    /// The target refuses or does not answer.
    pub async fn take(&self, entry: &TargetEntry, within: Duration, fresh: bool) -> std::io::Result<PoolLease> {
        let key = ConnectionKey::from(entry);
        if !fresh && let Some(lease) = self.take_idle(&key) {
            return Ok(lease);
        }
        let stream = sockets::connect(entry.address, within).await?;
        metering::connected(entry.service.as_str());
        let handshake = http1::Builder::new().max_buf_size(MOST_HEAD_BYTES).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(std::io::Error::other)?;
        let task = spawn_local(async move {
            // How it ended shows at the request that used it.
            let _ = connection.await;
        });
        Ok(PoolLease { sender, is_reused: false, task: ConnectionTask(task.abort_handle()), key })
    }

    fn take_idle(&self, key: &ConnectionKey) -> Option<PoolLease> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(key)?;
        let now = clock::now();
        while let Some(connection) = list.pop() {
            if !connection.sender.is_closed() && connection.sender.is_ready() && connection.usable_until > now {
                let IdleConnection { sender, task, .. } = connection;
                return Some(PoolLease { sender, is_reused: true, task, key: key.clone() });
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end; `idle_for` is what its target says.
    pub fn give_back(&self, lease: PoolLease, idle_for: Option<Duration>) {
        if lease.sender.is_closed() {
            return;
        }
        let usable_for = idle_for.map_or(UNSTATED_IDLE, |idle| idle.mul_f64(IDLE_PART));
        let PoolLease { sender, task, key, .. } = lease;
        let connection = IdleConnection { sender, task, usable_until: clock::now() + usable_for };
        self.idle.borrow_mut().entry(key).or_default().push(connection);
    }

    /// Closes connections that are not used again.
    pub fn sweep(&self) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|connection| connection.usable_until > now && !connection.sender.is_closed());
            !list.is_empty()
        });
    }

    /// Closes the idle connections to a target that is gone or went silent.
    pub fn forget(&self, target: &TargetName) {
        self.idle.borrow_mut().retain(|key, _| key.target != *target);
    }
}
