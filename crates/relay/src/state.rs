//! State that is shared by the tasks of a node, all of which run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::Notify;
use wasabipier_core::message::NodeState;
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::rows::TableId;

use crate::batching::PieceWaiters;
use crate::heartbeats::PeerContacts;
use crate::logging::LogLimiter;
use crate::peers::PeerLinks;
use crate::pool::TargetPool;
use crate::ports::PlatformPort;
use crate::settings::{RelayAddresses, RelayTimes};

/// The state of a node, its connections and its settings.
pub struct RelayNode {
    /// State that decisions are based on. It must not be borrowed across an `await`.
    pub board: RefCell<RelayBoard>,
    /// Translation to the names and formats of the platform.
    pub port: Box<dyn PlatformPort>,
    /// Connections to targets.
    pub pool: TargetPool,
    /// Connections to peers.
    pub peers: PeerLinks,
    /// Addresses of peers.
    pub contacts: PeerContacts,
    /// Requests that wait for pieces batched by this node.
    pub piece_waiters: PieceWaiters,
    /// Timeouts and intervals of connections.
    pub times: RelayTimes,
    /// Addresses that the node listens at or connects to.
    pub addresses: RelayAddresses,
    /// Tables that are being read from a peer.
    pub pending_tables: RefCell<BTreeSet<TableId>>,
    /// Number of requests being served.
    pub open_requests: Cell<usize>,
    /// Notified when heartbeats should be sent at once.
    pub heartbeat_now: Notify,
    /// Notified when a load has changed that peers should know.
    pub load_changed: Notify,
    /// Limits the number of log lines about requests.
    pub log_limiter: LogLimiter,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
}

/// A reference to a node that is shared by its tasks.
pub type SharedNode = Rc<RelayNode>;

impl RelayNode {
    /// Returns whether the node is stopping.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.board.borrow().state == NodeState::Leaving
    }
}

/// Counts a request as open until dropped.
pub struct OpenRequest(SharedNode);

impl OpenRequest {
    /// Counts a new open request.
    #[must_use]
    pub fn new(node: &SharedNode) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        Self(node.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get().saturating_sub(1));
    }
}
