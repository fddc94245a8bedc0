//! Shared state of a node, which controllers read and write.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::budget::RetryBudget;
use crate::burn::BurnTable;
use crate::clock::{Moment, WallTime};
use crate::counters::Counters;
use crate::deadlines::StageLatencies;
use crate::document::AcceptedDocument;
use crate::harmful::HarmfulTable;
use crate::leases::LeaseTable;
use crate::members::MemberTable;
use crate::message::NodeState;
use crate::names::{AttemptId, DcName, InstanceId, NodeName, Nonce};
use crate::permits::PermitTable;
use crate::prefixes::PrefixTable;
use crate::queue::QueueTable;
use crate::ready_targets::ReadyTable;
use crate::requests::RequestTable;
use crate::retries::RetryTable;
use crate::store_table::StoreTable;
use crate::targets::TargetTable;
use crate::tuning::Tuning;
use crate::versions::VersionTable;
use crate::watches::WatchTable;

/// Identity of a node, from its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the node.
    pub node: NodeName,
    /// Id of this run of the node's process.
    pub instance: InstanceId,
    /// Data centre of the node.
    pub dc: DcName,
    /// Address that the node accepts calls on.
    pub caller_address: SocketAddr,
    /// Address that the node accepts connections from peers on.
    pub peer_address: SocketAddr,
}

/// Shared state of a node: one table per subject, and the time of the current event.
#[derive(Debug)]
pub struct Blackboard {
    /// Time of the event being handled.
    pub now: Moment,
    /// Wall-clock time of the event being handled, for records only.
    pub wall_time: WallTime,
    /// Identity of this node.
    pub identity: Identity,
    /// Time spans and limits of the node's decisions.
    pub tuning: Tuning,
    /// Seeded random number generator.
    pub random: fastrand::Rng,
    /// Whether this node takes new work.
    pub state: NodeState,
    /// Whether a leaving node refuses new requests, because all address lists that name it have expired or it was not
    /// serving before.
    pub is_refusing_requests: bool,
    /// Document (the configuration that operators promote) in force at this node; revision 0 until there is one.
    pub document: Arc<AcceptedDocument>,
    /// Peers of this node.
    pub members: MemberTable,
    /// Targets with their load and warmth as known to this node.
    pub targets: TargetTable,
    /// Index of targets that can take a call.
    pub ready: ReadyTable,
    /// Prompt prefixes that each target is likely to have cached.
    pub prefixes: PrefixTable,
    /// Permits, each of which allows one call in flight to a target, and the seats that they come from.
    pub permits: PermitTable,
    /// Requests of this node, open and recently ended, and their attempts.
    pub requests: RequestTable,
    /// Requests that wait for a target.
    pub queues: QueueTable,
    /// Usual latency of the calls of each service, and the number of calls that this node may have in flight.
    pub stage_times: StageLatencies,
    /// Requests that wait for their retry delay before they are queued again.
    pub retries: RetryTable,
    /// Times at which running attempts are checked again.
    pub watches: WatchTable,
    /// Budget that limits retries and hedges to a share of requests.
    pub budget: RetryBudget,
    /// Request contents that crash targets.
    pub harmful: HarmfulTable,
    /// Leases that this node holds.
    pub leases: LeaseTable,
    /// Counts and verdicts of the versions of services that have a candidate.
    pub versions: VersionTable,
    /// Open operations on the table service, and its health.
    pub store: StoreTable,
    /// Counts of good and bad events, by which burn rates of the error budgets are computed.
    pub burn: BurnTable,
    /// Counters for metrics.
    pub counters: Counters,
    last_attempt_id: u64,
}

impl Blackboard {
    /// Creates the state of a node that starts, with empty tables and a random number generator seeded with `seed`.
    #[must_use]
    pub fn new(identity: Identity, tuning: Tuning, seed: u64) -> Self {
        Self {
            now: Moment::default(),
            wall_time: WallTime::default(),
            identity,
            random: fastrand::Rng::with_seed(seed),
            state: NodeState::Starting,
            is_refusing_requests: false,
            document: Arc::default(),
            members: MemberTable::default(),
            targets: TargetTable::default(),
            ready: ReadyTable::default(),
            prefixes: PrefixTable::default(),
            permits: PermitTable::default(),
            requests: RequestTable::default(),
            queues: QueueTable::default(),
            stage_times: StageLatencies::default(),
            retries: RetryTable::default(),
            watches: WatchTable::default(),
            budget: RetryBudget::new(tuning.retry_ratio, tuning.retry_burst),
            harmful: HarmfulTable::default(),
            leases: LeaseTable::default(),
            versions: VersionTable::default(),
            store: StoreTable::default(),
            burn: BurnTable::default(),
            counters: Counters::default(),
            last_attempt_id: 0,
            tuning,
        }
    }

    /// Returns an attempt id that this instance has not used before.
    pub fn next_attempt_id(&mut self) -> AttemptId {
        self.last_attempt_id += 1;
        AttemptId(self.last_attempt_id)
    }

    /// Returns a random non-zero number that identifies a claim.
    pub fn generate_nonce(&mut self) -> Nonce {
        Nonce(self.random.u64(1..))
    }
}
