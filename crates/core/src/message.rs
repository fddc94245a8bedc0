//! Messages between nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::delta::TextDelta;
use crate::document::{AcceptedDocument, Revision};
use crate::names::{DcName, Fingerprint, InstanceId, NodeName, Nonce, RequestKey, ServiceName, TargetName};
use crate::outcome::FinalAnswer;
use crate::tally::RouteTally;
use crate::versions::{CandidateKey, CountKey};

/// Whether a node takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NodeState {
    /// The node has no document yet, or can reach neither the table service nor peers.
    #[default]
    Starting,
    /// The node takes new work.
    Serving,
    /// The node stops gracefully: it finishes its open requests, and its address is not given to callers any more.
    Leaving,
}

/// State that a node announces at an interval and when its state or document changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the run of the sender's process.
    pub instance: InstanceId,
    /// Number of the heartbeat, incremented with each one of the instance.
    pub sequence: u64,
    /// Data centre of the sender.
    pub dc: DcName,
    /// Address that the sender accepts calls on.
    pub caller_address: SocketAddr,
    /// Address that the sender accepts connections from peers on.
    pub peer_address: SocketAddr,
    /// State of the sender.
    pub state: NodeState,
    /// Highest document revision that the sender has; 0 if it has none.
    pub revision: Revision,
    /// Seats whose rows name the sender, including ones that the sender does not use yet or any more.
    pub seats: Vec<SeatClaim>,
}

/// A seat (the right to a fixed share of every target's limit) and the epoch under which a node holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeatClaim {
    /// Number of the seat, from 0.
    pub seat: u32,
    /// Epoch in the seat's row, incremented with each new holder.
    pub epoch: u64,
}

/// Counts of one version on one route, accumulated by one node since the start of its instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionCounts {
    /// Version and route that the counts belong to.
    pub key: CountKey,
    /// Counts since the start of the instance.
    pub tally: RouteTally,
}

/// A document encoded as a difference from a revision that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentChange {
    /// Revision that the receiver has.
    pub base: Revision,
    /// Revision of the new document.
    pub revision: Revision,
    /// Random number that identifies the promotion.
    pub nonce: Nonce,
    /// Operator who promoted the document.
    pub author: Arc<str>,
    /// Difference between the texts of the two revisions.
    pub delta: TextDelta,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Announces the sender's state to connected peers, at an interval and at once when it changes.
    Heartbeat(Heartbeat),
    /// Asks for the document that the receiver announced.
    DocumentWanted {
        /// Announced revision.
        wanted: Revision,
        /// Revision in force at the sender, which the reply may be a difference from.
        have: Revision,
    },
    /// Replies to [`PeerMessage::DocumentWanted`] with the whole document.
    DocumentGiven(Arc<AcceptedDocument>),
    /// Replies to [`PeerMessage::DocumentWanted`] with a difference from the revision that the receiver has.
    DocumentChanged(Box<DocumentChange>),
    /// Announces that a target appears to be cold again or runs as a new instance.
    TargetCold {
        /// Name of the target.
        target: TargetName,
        /// Instance of the target; 0 if the sender does not know it.
        instance: InstanceId,
    },
    /// Asks to borrow a permit for one call to a target.
    PermitWanted {
        /// Name of the target.
        target: TargetName,
        /// Number by which the borrower matches the reply with this request.
        ticket: u64,
    },
    /// Replies to [`PeerMessage::PermitWanted`].
    PermitLent {
        /// Ticket of the request.
        ticket: u64,
        /// Name of the target.
        target: TargetName,
        /// Time in milliseconds, from the sending of the request, within which the call must start; `None` if no permit
        /// is lent.
        start_within_ms: Option<u32>,
    },
    /// Returns a borrowed permit before it expires.
    PermitReturned {
        /// Ticket of the request that the permit was lent for.
        ticket: u64,
        /// Name of the target.
        target: TargetName,
    },
    /// Asks for the outcome of a request that the receiver has claimed: the receiver alone may run it.
    OutcomeWanted(RequestKey),
    /// Replies to [`PeerMessage::OutcomeWanted`]. If `running` is false and `answer` is `None`, the sender does not
    /// know the request, or did not run it under a claim.
    OutcomeTold {
        /// Key of the request.
        key: RequestKey,
        /// Whether the request has not ended at the sender.
        running: bool,
        /// Final answer, if the request ended under a claim of the sender.
        answer: Option<Box<FinalAnswer>>,
    },
    /// Announces a request content that crashed targets, or that was cleared if `targets` is empty.
    Harmful {
        /// Hash of the content.
        content: Fingerprint,
        /// Targets that crashed while they ran the content; empty if the content was cleared.
        targets: Vec<TargetName>,
    },
    /// Announces the sender's counts of versions.
    Counts {
        /// Instance of the node that counted.
        instance: InstanceId,
        /// Counts by version and route.
        counts: Vec<VersionCounts>,
    },
    /// Announces a version that must get no traffic any more.
    VersionBad {
        /// Version and rollout attempt.
        candidate: CandidateKey,
        /// Reason for which the version gets no traffic.
        reason: Arc<str>,
    },
    /// Announces the recorded state of a rollout.
    RolloutStep {
        /// Service that is rolled out.
        service: ServiceName,
        /// Newest row that the sender knows.
        row: Box<crate::store::RolloutRow>,
        /// Node that sends the message.
        from: NodeName,
    },
}
