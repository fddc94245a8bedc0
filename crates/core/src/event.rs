//! Events: everything that is reported to the core of a node.

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

/// Pipeline or service that a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Goal {
    /// All stages of a pipeline.
    Pipeline(PipelineName),
    /// A single service.
    Service(ServiceName),
}

/// Priority of a request. The derived order puts the most urgent first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Priority {
    /// Priority of requests whose answer a person waits for.
    Interactive,
    /// Default priority.
    #[default]
    Normal,
    /// Priority of requests that can wait. They are shed first.
    Batch,
}

/// Request from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id of the open call by which the caller waits for the answer.
    pub call: CallId,
    /// Organisation and request id.
    pub key: RequestKey,
    /// Pipeline or service to run.
    pub goal: Goal,
    /// JSON body, passed to the first stage.
    pub body: Arc<str>,
    /// Time from the arrival of the request until its deadline.
    pub deadline: Duration,
    /// Priority of the request.
    pub priority: Priority,
}

/// Reason for which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum FailureKind {
    /// No connection to the target was established.
    Unreachable,
    /// The connection broke before the answer was complete.
    Broken,
    /// No data arrived within the timeout.
    Silent,
    /// The target reported that it is full and ran nothing.
    Full,
    /// The target answered with an error.
    Faulted,
    /// The target refused the content.
    Rejected,
    /// The answer could not be parsed.
    Malformed,
    /// The call exceeded its stage's share of the request's deadline.
    Late,
}

/// Progress or end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// A token arrived.
    Token {
        /// Position in the answer, from 0.
        index: u32,
        /// Text of the token.
        text: Arc<str>,
    },
    /// The answer is complete.
    Finished {
        /// Answer; for a stream, all of the text that this attempt produced.
        body: Arc<str>,
        /// Usage as the target counted it.
        usage: Usage,
        /// Load and state that the target reports.
        report: LoadReport,
    },
    /// The attempt failed.
    Failed {
        /// Reason of the failure.
        kind: FailureKind,
        /// Whether a byte of the request may have left for the target.
        sent: bool,
    },
}

/// Result of an order to a target to load a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The target has carried out the order or is carrying it out.
    Accepted,
    /// The target refused the order, since it has seen a higher fencing number.
    Stale,
    /// The result is not known, since no answer arrived.
    Lost,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Node that runs on the VM.
    pub node: NodeName,
    /// Data centre of the VM.
    pub dc: DcName,
    /// Address for callers, by IP number.
    pub caller_address: std::net::SocketAddr,
    /// Address for peers, by IP number.
    pub peer_address: std::net::SocketAddr,
    /// State of the VM.
    pub state: VmState,
}

/// Changes of a target's prompt cache since its previous report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheReport {
    /// Instance id of the target's process, new with each start.
    pub instance: InstanceId,
    /// Number of the report, which increases by one with each. A gap means that reports were lost.
    pub sequence: u64,
    /// Age of the report in milliseconds when it arrived.
    pub age_ms: u32,
    /// Prefixes that were added to the cache.
    pub stored: Vec<PrefixKey>,
    /// Prefixes that were evicted from the cache.
    pub evicted: Vec<PrefixKey>,
}

/// An occurrence that the core of a node handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request.
    Asked(Box<CallerRequest>),
    /// A caller's connection is closed.
    CallerGone(CallId),
    /// An attempt progressed or ended.
    Attempt(AttemptId, AttemptEvent),
    /// A peer sent a message.
    Peer(NodeName, Box<PeerMessage>),
    /// The table service replied.
    Store(StoreTicket, Box<StoreReply>),
    /// A target reported its load.
    LoadReported(TargetName, LoadReport),
    /// The platform's VM list was read.
    VmsListed(Vec<VmEntry>),
    /// A target reported what it has loaded; `None` if it did not answer.
    Inspected(TargetName, Option<LoadSpec>),
    /// A target answered a load order.
    OrderAnswered(TargetName, OrderReply),
    /// The text of a document was parsed.
    DocumentParsed(Arc<AcceptedDocument>),
    /// An operator requested the promotion of a document. Its revision is one more than the revision that the operator
    /// saw.
    PromoteRequested(CallId, Arc<AcceptedDocument>),
    /// A graceful stop of the process was requested.
    StopRequested,
    /// A periodic tick, at which timeouts and intervals are checked.
    Tick,
    /// A target reported changes of its prompt cache.
    Cached(TargetName, CacheReport),
}
