//! State that is shared by the tasks of a node, all of which run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::{Notify, watch};
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::ServiceName;
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::brittle::RejectTolerance;
use wasabipier_core::relay::chunks::{BlobAssembly, BlobCache};
use wasabipier_core::relay::rows::TableId;

use crate::batching::PieceWaiters;
use crate::buffer_memory::BufferMemory;
use crate::clock;
use crate::heartbeats::PeerContacts;
use crate::limits::LeaseEndQueue;
use crate::logging::LogLimiter;
use crate::peers::PeerLinks;
use crate::placement::GrantEventQueue;
use crate::pool::TargetPool;
use crate::ports::PlatformPort;
use crate::settings::{DutySettings, RelayAddresses, RelayTimes};
use crate::unwritten::UnwrittenAnswers;

/// The state of a node, its connections and its settings.
pub struct RelayNode {
    /// State that decisions are based on: configuration, peers, targets and queues. It must not be borrowed across an
    /// `await`.
    pub board: RefCell<RelayBoard>,
    /// Translation to the names and formats of the platform.
    pub platform: Box<dyn PlatformPort>,
    /// Idle connections to targets.
    pub pool: TargetPool,
    /// Memory of the answers that are read completely.
    pub answer_memory: BufferMemory,
    /// Memory of the bodies that callers have sent.
    pub request_memory: BufferMemory,
    /// Connections to peers.
    pub peers: PeerLinks,
    /// Addresses of peers that heartbeats are sent to, with the state of the calls.
    pub contacts: PeerContacts,
    /// Requests, also of other nodes, that wait for pieces batched by this node.
    pub piece_waiters: PieceWaiters,
    /// Ends of calls to brittle targets that are still to be reported to keepers.
    pub lease_ends: LeaseEndQueue,
    /// Events of granted calls that are still to be told to hubs.
    pub grant_events: GrantEventQueue,
    /// Brittle services, as they were logged last, with the rejections that each of their targets withstands.
    pub brittle_services: RefCell<BTreeMap<ServiceName, RejectTolerance>>,
    /// Timeouts, intervals and the cache time of addresses.
    pub times: RelayTimes,
    /// Duties of the nodes; `None` if the platform asks for none.
    pub duties: Option<DutySettings>,
    /// Addresses that the node listens at or connects to.
    pub addresses: RelayAddresses,
    /// Tables that are being read from a peer.
    pub pending_tables: RefCell<BTreeSet<TableId>>,
    /// Large copies of tables that have arrived in part.
    pub assemblies: RefCell<BTreeMap<TableId, BlobAssembly>>,
    /// Large copies of tables that peers are reading from this node.
    pub served_blobs: RefCell<BlobCache>,
    /// Number of callers' requests whose answer has not ended, including streams.
    pub open_requests: Cell<usize>,
    /// Number of tunnels that are open for peers.
    pub open_tunnels: Cell<usize>,
    /// Connections of callers whose answers wait to be written.
    pub unwritten_answers: UnwrittenAnswers,
    /// Time of the SIGTERM, once the node stops.
    pub stop_started: Cell<Option<Moment>>,
    /// When the node started.
    pub started_at: Moment,
    /// Becomes `true` when the process is about to end, whatever is still open.
    pub process_end: watch::Sender<bool>,
    /// Number of streams that the end of the process cut.
    pub cut_streams: Cell<usize>,
    /// Notified when heartbeats should be sent at once.
    pub heartbeat_now: Notify,
    /// Notified when the store has been restored from an older copy.
    pub store_restored: Notify,
    /// Notified when content has become harmful or has been cleared.
    pub verdicts_changed: Notify,
    /// Notified when a target load has changed that a hub should report to other hubs.
    pub load_changed: Notify,
    /// Notified when a grant of this node has been given, or its call has gone on or ended.
    pub grants_changed: Notify,
    /// Limits the number of log lines about requests, stages and target calls.
    pub log_limiter: LogLimiter,
    /// Handle that renders the metrics of the process as Prometheus text.
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

    /// Waits until the process is about to end.
    pub async fn wait_for_process_end(&self) {
        // The sender is part of the node and lives as long as it, so that waiting cannot fail.
        let _ = self.process_end.subscribe().wait_for(|is_near| *is_near).await;
    }
}

/// Counts a request as open until dropped.
pub struct OpenRequest {
    node: SharedNode,
    /// Route and time of arrival, once the request is admitted.
    admitted: Option<(Arc<str>, Moment)>,
    is_answered: bool,
}

impl OpenRequest {
    /// Counts a new open request.
    #[must_use]
    pub fn new(node: &SharedNode) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        Self { node: node.clone(), admitted: None, is_answered: false }
    }

    /// Records that the request was admitted to `route`. `started` is the time at which it arrived.
    pub fn set_admitted(&mut self, route: &Arc<str>, started: Moment) {
        self.node.board.borrow_mut().departure.record_start(route, started);
        self.admitted = Some((route.clone(), started));
    }

    /// Records that the request has a complete answer of a target.
    pub fn set_answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.node.open_requests.set(self.node.open_requests.get().saturating_sub(1));
        if let Some((route, started)) = self.admitted.take() {
            let mut board = self.node.board.borrow_mut();
            board.departure.record_end(&route, started, self.is_answered, clock::now());
        }
    }
}
