//! The tables of a node, which controllers read and write.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::budget::RetryBudget;
use crate::burn::BurnTable;
use crate::clock::{Moment, WallTime};
use crate::counters::Counters;
use crate::deadlines::StageTable;
use crate::document::AcceptedDocument;
use crate::harmful::HarmfulTable;
use crate::leases::LeaseTable;
use crate::members::MemberTable;
use crate::message::NodeState;
use crate::names::{AttemptId, DcName, InstanceId, NodeName, Nonce};
use crate::permits::PermitTable;
use crate::prefixes::PrefixTable;
use crate::queue::QueueTable;
use crate::ready::ReadyTable;
use crate::requests::RequestTable;
use crate::retries::RetryTable;
use crate::store_table::StoreTable;
use crate::targets::TargetTable;
use crate::tuning::Tuning;
use crate::versions::VersionTable;
use crate::watches::WatchTable;

/// Who this node is, from its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name.
    pub node: NodeName,
    /// This run of it.
    pub instance: InstanceId,
    /// Its data centre.
    pub dc: DcName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
}

/// All that a node knows.
#[derive(Debug)]
pub struct Blackboard {
    /// Time of the event being handled.
    pub now: Moment,
    /// Wall time of the event being handled, for records.
    pub wall: WallTime,
    /// Who this node is.
    pub identity: Identity,
    /// Times and bounds.
    pub tuning: Tuning,
    /// Seeded randomness.
    pub random: fastrand::Rng,
    /// Whether this node takes new work.
    pub state: NodeState,
    /// Whether callers that still come are turned away: answers with this node's address have lapsed.
    pub closed: bool,
    /// The document in force here; revision 0 until there is one.
    pub document: Arc<AcceptedDocument>,
    /// Peers.
    pub members: MemberTable,
    /// Targets and what is known of their load.
    pub targets: TargetTable,
    /// Index of targets that may take a call.
    pub ready: ReadyTable,
    /// Which targets are likely to hold which prompt prefixes.
    pub prefixes: PrefixTable,
    /// Rights to call targets.
    pub permits: PermitTable,
    /// Requests at this node.
    pub requests: RequestTable,
    /// Requests that wait for a target.
    pub queues: QueueTable,
    /// What is usual for the calls of each service.
    pub stage_times: StageTable,
    /// Requests that wait before they are queued again.
    pub retries: RetryTable,
    /// When to look at running attempts again.
    pub watches: WatchTable,
    /// What retries and hedges may spend.
    pub budget: RetryBudget,
    /// Content that brings down targets.
    pub harmful: HarmfulTable,
    /// Leases that this node holds.
    pub leases: LeaseTable,
    /// Candidate versions.
    pub versions: VersionTable,
    /// Open operations at the table service, and its health.
    pub store: StoreTable,
    /// Good and bad events for the service-level report.
    pub burn: BurnTable,
    /// Counts for metrics.
    pub counters: Counters,
    last_attempt: u64,
}

impl Blackboard {
    /// A board with nothing on it yet.
    #[must_use]
    pub fn new(identity: Identity, tuning: Tuning, seed: u64) -> Self {
        Self {
            now: Moment::default(),
            wall: WallTime::default(),
            identity,
            random: fastrand::Rng::with_seed(seed),
            state: NodeState::Starting,
            closed: false,
            document: Arc::default(),
            members: MemberTable::default(),
            targets: TargetTable::default(),
            ready: ReadyTable::default(),
            prefixes: PrefixTable::default(),
            permits: PermitTable::default(),
            requests: RequestTable::default(),
            queues: QueueTable::default(),
            stage_times: StageTable::default(),
            retries: RetryTable::default(),
            watches: WatchTable::default(),
            budget: RetryBudget::new(tuning.retry_share, tuning.retry_burst),
            harmful: HarmfulTable::default(),
            leases: LeaseTable::default(),
            versions: VersionTable::default(),
            store: StoreTable::default(),
            burn: BurnTable::default(),
            counters: Counters::default(),
            last_attempt: 0,
            tuning,
        }
    }

    /// An attempt id that this instance has not used.
    pub fn next_attempt(&mut self) -> AttemptId {
        self.last_attempt += 1;
        AttemptId(self.last_attempt)
    }

    /// A random number to mark a claim with.
    pub fn nonce(&mut self) -> Nonce {
        Nonce(self.random.u64(1..))
    }
}
