//! What the tasks of a node share. All run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::Notify;
use wasabipier_core::message::NodeState;
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::rows::SharedTable;

use crate::announce::ContactBook;
use crate::gather::GatherWaits;
use crate::logging::LinePace;
use crate::peers::PeerLinks;
use crate::pool::TargetPool;
use crate::ports::PlatformPort;
use crate::settings::{RelayAddresses, RelayTimes};

/// A node's state and its edges.
pub struct RelayNode {
    /// What it knows. Never borrowed across a wait.
    pub board: RefCell<RelayBoard>,
    /// Names and formats of the platform.
    pub port: Box<dyn PlatformPort>,
    /// Connections to targets.
    pub pool: TargetPool,
    /// Connections to peers.
    pub peers: PeerLinks,
    /// Addresses of peers.
    pub contacts: ContactBook,
    /// Requests that wait for pieces gathered here.
    pub waits: GatherWaits,
    /// Times of the edges.
    pub times: RelayTimes,
    /// Addresses.
    pub addresses: RelayAddresses,
    /// Tables that a peer is being asked for.
    pub asking: RefCell<BTreeSet<SharedTable>>,
    /// Requests being served.
    pub open: Cell<usize>,
    /// Told when heartbeats shall leave at once.
    pub heartbeat_now: Notify,
    /// Told when work in flight has changed that peers should know of.
    pub work_news: Notify,
    /// Bounds the lines about requests.
    pub pace: LinePace,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
}

/// A node, shared by its tasks.
pub type SharedNode = Rc<RelayNode>;

impl RelayNode {
    /// Whether the node is stopping.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.board.borrow().state == NodeState::Leaving
    }
}

/// Counts a request as open while it lives.
pub struct OpenRequest(SharedNode);

impl OpenRequest {
    /// Starts to count.
    #[must_use]
    pub fn new(node: &SharedNode) -> Self {
        node.open.set(node.open.get() + 1);
        Self(node.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}
