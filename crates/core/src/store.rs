//! The core's view of the platform's table service: typed rows with versions and conditional writes.

use std::sync::Arc;

use crate::document::{AcceptedDocument, Revision};
use crate::names::{Fingerprint, InstanceId, NodeName, Nonce, RequestKey, ServiceName};
use crate::outcome::FinalAnswer;
use crate::versions::CandidateKey;

/// Version of a row, incremented by the table service with each write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowVersion(pub u64);

/// Key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// Claim: the right of one node to run a request that must not run twice.
    Claim(RequestKey),
    /// Seat: the right of one node to a fixed share of every target's limit.
    Seat(u32),
    /// Lease: the right of one node, for a limited time, to do the work of [`LeaseKind`].
    Lease(LeaseKind),
    /// Document: the environment's configuration, as promoted by operators.
    Document,
    /// Rollout progress of a service's candidate version.
    Rollout(ServiceName),
}

/// Kind of a lease, named after what its holder may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum LeaseKind {
    /// The holder records verdicts on candidate versions.
    Rollout,
    /// The holder sends orders to targets.
    Orders,
}

/// State of the request that a claim is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The owner of the claim may be running the request.
    Running,
    /// The request ended with this answer.
    Ended(Box<FinalAnswer>),
}

/// Row of a claim, which gives one node the right to run a request that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRow {
    /// Random number that distinguishes this claim from other claims of the same request.
    pub nonce: Nonce,
    /// Node that made the claim.
    pub owner: NodeName,
    /// Instance of the owner.
    pub instance: InstanceId,
    /// Hash of the request's content.
    pub content: Fingerprint,
    /// Whether the request may be running or has ended.
    pub state: ClaimState,
}

/// Row of a seat, which gives one node the right to a fixed share of every target's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeatRow {
    /// Node that holds the seat; empty if none does.
    pub owner: NodeName,
    /// Instance of the owner.
    pub instance: InstanceId,
    /// Number incremented with each new holder. Of two nodes that announce the seat, the one with the higher epoch has
    /// it.
    pub epoch: u64,
    /// Whether all calls of earlier holders had certainly ended when the row was written.
    pub is_drained: bool,
}

/// Row of a lease, which gives one node the right to act until it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// Node that holds the lease; empty if none does.
    pub owner: NodeName,
    /// Instance of the owner.
    pub instance: InstanceId,
    /// Fencing number, incremented with each new holder and carried by orders.
    pub fencing: u64,
    /// Number incremented with each renewal. A reader that sees no change for the lease's length knows that the lease
    /// expired, without comparing clocks.
    pub renewals: u64,
}

/// State of the rollout of a candidate version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RolloutState {
    /// The candidate is being compared with the version in use.
    #[default]
    Comparing,
    /// The candidate passed its trial and gets no traffic until it is promoted.
    Proved,
    /// The candidate carries all traffic.
    Finished,
    /// The candidate gets no traffic any more.
    #[strum(serialize = "taken-back")]
    RolledBack,
}

/// Row of the rollout of a candidate version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutRow {
    /// Candidate version and the attempt to roll it out.
    pub candidate: CandidateKey,
    /// Revision of the document that started this rollout.
    pub revision: Revision,
    /// Whether the candidate is only on trial: after it passes, it gets no traffic until it is promoted.
    pub trial: bool,
    /// State of the rollout.
    pub state: RolloutState,
    /// Index of the current step of the candidate's traffic share, from 0.
    pub step: u32,
    /// Reason for which the candidate was rolled back, or what its trial showed; empty until then.
    pub reason: Arc<str>,
    /// Time for which the candidate has been compared, in milliseconds.
    pub elapsed_ms: u64,
}

/// Value of a row.
#[derive(Clone, Debug, PartialEq)]
pub enum RowValue {
    /// Value of a claim's row.
    Claim(ClaimRow),
    /// Value of a seat's row.
    Seat(SeatRow),
    /// Value of a lease's row.
    Lease(LeaseRow),
    /// Value of the document's row.
    Document(Arc<AcceptedDocument>),
    /// Value of a rollout's row.
    Rollout(RolloutRow),
}

/// A row with its version, as read from the table service.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Version of the row.
    pub version: RowVersion,
    /// Value of the row.
    pub value: RowValue,
}

/// An operation on the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOp {
    /// Writes a row if its version is still `expected`. `None` requires that the row does not exist.
    Write {
        /// Key of the row.
        key: RowKey,
        /// Version that the row must have.
        expected: Option<RowVersion>,
        /// New value of the row.
        value: RowValue,
    },
    /// Reads a row.
    Read {
        /// Key of the row.
        key: RowKey,
    },
}

/// Reply of the table service to an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The write took effect, and the row has this version.
    Written(RowVersion),
    /// The row did not have the expected version. Holds the current row, if it exists.
    Conflict(Option<Row>),
    /// The read succeeded. Holds the row, if it exists.
    Read(Option<Row>),
    /// No reply arrived. A write may or may not have taken effect.
    Lost,
    /// The operation was never sent.
    NotSent,
}
