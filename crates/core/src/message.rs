//! What nodes tell each other.

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
    /// Starting, without a document or a way to reach others.
    #[default]
    Starting,
    /// Serving.
    Serving,
    /// Stopping gracefully: ends what it has, and is not handed out to callers.
    Leaving,
}

/// How a node introduces itself with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Run of the process.
    pub instance: InstanceId,
    /// Counts up with each heartbeat.
    pub sequence: u64,
    /// Data centre.
    pub dc: DcName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// State.
    pub state: NodeState,
    /// Highest document that it has.
    pub revision: Revision,
    /// Seats that it holds, with their epochs.
    pub seats: Vec<SeatClaim>,
}

/// A seat and the epoch under which a node holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeatClaim {
    /// The seat, from 0.
    pub seat: u32,
    /// Epoch of its row.
    pub epoch: u64,
}

/// Running counts of one version on one route at one node; they only grow within an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionCounts {
    /// What was counted.
    pub key: CountKey,
    /// The counts.
    pub tally: RouteTally,
}

/// A document as a difference from one that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentChange {
    /// Revision that the receiver has.
    pub base: Revision,
    /// Revision that it gets.
    pub revision: Revision,
    /// Marks the promotion.
    pub nonce: Nonce,
    /// Who promoted it.
    pub author: Arc<str>,
    /// The difference of the texts.
    pub delta: TextDelta,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Sent to every peer at a fixed interval.
    Heartbeat(Heartbeat),
    /// Asks for the document that the peer announced.
    DocumentWanted {
        /// The revision announced.
        wanted: Revision,
        /// The one in force at the sender, from which a difference can be made.
        have: Revision,
    },
    /// Gives it whole.
    DocumentGiven(Arc<AcceptedDocument>),
    /// Gives it as a difference.
    DocumentChanged(Box<DocumentChange>),
    /// A target turned cold or came back as a new instance.
    TargetCold {
        /// The target.
        target: TargetName,
        /// Its instance as far as known.
        instance: InstanceId,
    },
    /// Asks to borrow the right to one call at a target.
    PermitWanted {
        /// The target.
        target: TargetName,
        /// Ties the grant to this question.
        ticket: u64,
    },
    /// Lends it, or not.
    PermitLent {
        /// The question.
        ticket: u64,
        /// The target.
        target: TargetName,
        /// Milliseconds within which the call must start; none: not lent.
        start_within_ms: Option<u32>,
    },
    /// Gives a borrowed permit back early.
    PermitReturned {
        /// The question that it was lent for.
        ticket: u64,
        /// The target.
        target: TargetName,
    },
    /// Asks what became of a claim that the peer holds.
    OutcomeWanted(RequestKey),
    /// Tells it; none: this node does not hold it as running or ended.
    OutcomeTold {
        /// The request.
        key: RequestKey,
        /// Whether it is running there.
        running: bool,
        /// Its end, if it ended.
        answer: Option<Box<FinalAnswer>>,
    },
    /// Content that brought down targets, with how many.
    Harmful {
        /// The content.
        content: Fingerprint,
        /// The targets.
        targets: Vec<TargetName>,
    },
    /// Running counts of versions at the sender.
    Counts {
        /// Instance of the node that counted.
        instance: InstanceId,
        /// Its counts.
        counts: Vec<VersionCounts>,
    },
    /// A version that must get no traffic any more.
    VersionBad {
        /// The version.
        candidate: CandidateKey,
        /// Why.
        reason: Arc<str>,
    },
    /// A share of a candidate that was accepted.
    RolloutStep {
        /// The service.
        service: ServiceName,
        /// The row, newest known.
        row: Box<crate::store::RolloutRow>,
        /// Node that tells.
        from: NodeName,
    },
}
