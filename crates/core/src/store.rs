//! The platform's table service as the core sees it: typed rows with versions, written on condition.

use std::sync::Arc;

use crate::document::{AcceptedDocument, Revision};
use crate::names::{Fingerprint, InstanceId, NodeName, Nonce, RequestKey, ServiceName};
use crate::outcome::FinalAnswer;
use crate::versions::CandidateKey;

/// Version of a row: the table service counts it up with each write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowVersion(pub u64);

/// Key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// The claim of a request that must not run twice.
    Claim(RequestKey),
    /// A seat: the right to one share of every target's limit.
    Seat(u32),
    /// A controller's lease.
    Lease(LeaseKind),
    /// The environment's document.
    Document,
    /// How far a candidate version has come.
    Rollout(ServiceName),
}

/// What a lease gives the right to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum LeaseKind {
    /// Record verdicts on candidate versions.
    Rollout,
    /// Send orders to targets.
    Orders,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// Its owner may be running it.
    Running,
    /// It ended.
    Ended(Box<FinalAnswer>),
}

/// Row of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRow {
    /// Marks this claim among others for the same request.
    pub nonce: Nonce,
    /// Node that claimed.
    pub owner: NodeName,
    /// Its instance.
    pub instance: InstanceId,
    /// Content of the request.
    pub content: Fingerprint,
    /// State.
    pub state: ClaimState,
}

/// Row of a seat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeatRow {
    /// Node that holds the seat.
    pub owner: NodeName,
    /// Its instance.
    pub instance: InstanceId,
    /// Counts up with each new holder.
    pub epoch: u64,
    /// Whether calls of earlier holders had surely ended when the row was written.
    pub rested: bool,
}

/// Row of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// Holder.
    pub owner: NodeName,
    /// Its instance.
    pub instance: InstanceId,
    /// Counts up with each new holder; orders carry it.
    pub fencing: u64,
    /// Counts up with each renewal: a reader that sees it stand still for the lease's length knows
    /// that it lapsed, whatever the clocks say.
    pub renewals: u64,
}

/// State of a candidate version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RolloutState {
    /// Being compared.
    #[default]
    Comparing,
    /// Passed its trial; gets no traffic until it is promoted.
    Proved,
    /// Carries all traffic.
    Finished,
    /// Gets no traffic any more.
    TakenBack,
}

/// Row of a candidate version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutRow {
    /// The version and the attempt to move to it.
    pub candidate: CandidateKey,
    /// Revision of the document by which this row was begun.
    pub revision: Revision,
    /// Whether it is on trial only.
    pub trial: bool,
    /// State.
    pub state: RolloutState,
    /// Step of the share, from 0.
    pub step: u32,
    /// Why it was taken back, or what was proved; empty until then.
    pub reason: Arc<str>,
    /// Milliseconds that the candidate has been compared.
    pub elapsed_ms: u64,
}

/// Value of a row.
#[derive(Clone, Debug, PartialEq)]
pub enum RowValue {
    /// A claim.
    Claim(ClaimRow),
    /// A seat.
    Seat(SeatRow),
    /// A lease.
    Lease(LeaseRow),
    /// A document.
    Document(Arc<AcceptedDocument>),
    /// A candidate version.
    Rollout(RolloutRow),
}

/// A row as read.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Its version.
    pub version: RowVersion,
    /// Its value.
    pub value: RowValue,
}

/// An operation at the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOp {
    /// Write, if the row's version is still `expected`; `None` means that there must be no row.
    Write {
        /// The row.
        key: RowKey,
        /// The condition.
        expected: Option<RowVersion>,
        /// The new value.
        value: RowValue,
    },
    /// Read a row.
    Read {
        /// The row.
        key: RowKey,
    },
}

/// Reply of the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The write took effect.
    Written(RowVersion),
    /// The condition did not hold; this is the row now.
    Conflict(Option<Row>),
    /// The row as read.
    Read(Option<Row>),
    /// No answer: a write may or may not have taken effect.
    Lost,
    /// The operation was never sent.
    NotSent,
}
