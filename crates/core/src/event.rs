//! What happens to a node: everything that the core is told.

use std::sync::Arc;
use std::time::Duration;

use crate::document::{AcceptedDocument, LoadSpec};
use crate::message::PeerMessage;
use crate::names::{
    AttemptId, CallId, DcName, InstanceId, NodeName, PipelineName, PrefixKey, RequestKey, ServiceName, StoreTicket,
    TargetName,
};
use crate::outcome::{LoadReport, Usage};
use crate::store::StoreReply;

/// What a caller wants to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Goal {
    /// A pipeline.
    Pipeline(PipelineName),
    /// One plain service.
    Service(ServiceName),
}

/// How urgent a request is; the derived order puts the most urgent first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Priority {
    /// A person waits.
    Interactive,
    /// The default.
    #[default]
    Normal,
    /// Can wait, and is shed first.
    Batch,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The open call to answer.
    pub call: CallId,
    /// Organisation and request id.
    pub key: RequestKey,
    /// What to run.
    pub goal: Goal,
    /// JSON body, passed to the first stage.
    pub body: Arc<str>,
    /// Time that the caller gives, from now.
    pub deadline: Duration,
    /// Urgency.
    pub priority: Priority,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum FailureKind {
    /// No connection was made.
    Unreachable,
    /// The connection broke.
    Broken,
    /// Nothing came within the bound.
    Silent,
    /// The target says that it is full and ran nothing.
    Full,
    /// The target failed.
    Faulted,
    /// The target refuses the content.
    Rejected,
    /// The answer could not be read.
    Malformed,
    /// The call ran past its share of the deadline.
    Late,
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// A token came.
    Token {
        /// Position in the answer, from 0.
        index: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// The answer is whole.
    Finished {
        /// The answer; for a stream all of its text that this attempt made.
        body: Arc<str>,
        /// What the target counted.
        usage: Usage,
        /// What the target says of itself.
        report: LoadReport,
    },
    /// It failed.
    Failed {
        /// How.
        kind: FailureKind,
        /// Whether a byte of the order can have left for the target.
        sent: bool,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Carried out, or being carried out.
    Accepted,
    /// Refused: the target has seen a higher fencing number.
    Stale,
    /// Not known.
    Lost,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum VmState {
    /// Running.
    Live,
    /// Will be stopped soon.
    Leaving,
}

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Node that runs on it.
    pub node: NodeName,
    /// Data centre.
    pub dc: DcName,
    /// Address for callers, by IP number.
    pub caller_address: std::net::SocketAddr,
    /// Address for peers, by IP number.
    pub peer_address: std::net::SocketAddr,
    /// State.
    pub state: VmState,
}

/// What a target says of its prompt cache since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheReport {
    /// Run of the target's process.
    pub instance: InstanceId,
    /// Counts up with each report; a gap means that some were lost.
    pub sequence: u64,
    /// Age in milliseconds when it arrived.
    pub age_ms: u32,
    /// Prefixes that came in.
    pub stored: Vec<PrefixKey>,
    /// Prefixes that went out.
    pub evicted: Vec<PrefixKey>,
}

/// Everything that can happen to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asked.
    Asked(Box<Ask>),
    /// A caller's connection is gone.
    CallerGone(CallId),
    /// An attempt moved on.
    Attempt(AttemptId, AttemptEvent),
    /// A peer sent a message.
    Peer(NodeName, Box<PeerMessage>),
    /// The table service replied.
    Store(StoreTicket, Box<StoreReply>),
    /// A target reported its load.
    Reported(TargetName, LoadReport),
    /// The platform's VM list was read.
    VmsListed(Vec<VmEntry>),
    /// A target told what it has loaded; none: it did not answer.
    Inspected(TargetName, Option<LoadSpec>),
    /// A target answered an order.
    OrderAnswered(TargetName, OrderReply),
    /// A document's text was parsed.
    DocumentParsed(Arc<AcceptedDocument>),
    /// An operator promotes a document; its revision is one more than the one that the operator saw.
    PromoteAsked(CallId, Arc<AcceptedDocument>),
    /// The process shall stop gracefully.
    StopAsked,
    /// Time passed.
    Tick,
    /// A target reported what its prompt cache holds.
    Cached(TargetName, CacheReport),
}
