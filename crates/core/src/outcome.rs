//! Final answers to callers, charges for attempts, and load reports of targets.

use std::sync::Arc;

use crate::names::{InstanceId, RequestKey, ServiceName, TargetName, VersionName};

/// How a request ended, as told to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// Every stage ran, and the whole answer is known.
    Done,
    /// No target can have run any part of the request: nothing was sent, or each target answered that it ran nothing.
    NotRun,
    /// A target may have run the request or a part of it, and the request is not started again.
    Unknown,
}

/// Reason for which a request was refused or ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error, strum::IntoStaticStr, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalKind {
    /// The node has no document yet, is stopping, or has lost contact with the table service and all peers.
    #[error("this node takes no new work: ask another address")]
    NotReady,
    /// The document does not name the organisation.
    #[error("unknown organisation: add it to the environment's document")]
    UnknownOrg,
    /// The document does not name the pipeline or service.
    #[error("unknown pipeline or service: check the path against the environment's document")]
    UnknownGoal,
    /// Operators admit new work to no target of one of the stages.
    #[error("no target of one of its services takes work: bring a target or data centre back")]
    NoTarget,
    /// The request is not expected to finish within its deadline, or did not.
    #[error("cannot finish in time: ask with a longer deadline or when load is lower")]
    TooLate,
    /// The queue is full, and the request takes no precedence over another one in it.
    #[error("overloaded: ask again after a pause")]
    Overloaded,
    /// The request must not run twice, and its claim, the row by which one node gets the right to run it, could not be
    /// written to the table service.
    #[error("the claim could not be recorded: ask again later with a new request id")]
    ClaimUnavailable,
    /// All attempts that the limit of attempts and the retry budget allow have failed.
    #[error("every attempt failed: ask again after a pause")]
    AttemptsFailed,
    /// As many targets as the limit allows have crashed while they ran the same content.
    #[error("this content stopped the targets that ran it: change it before asking again")]
    Harmful,
    /// The same request id was used for other content.
    #[error("this request id was used before for other content: choose a new id")]
    IdReused,
    /// The request was claimed, and whether it ran cannot be known.
    #[error("this request may have run: look it up before asking with a new id")]
    Unsettled,
    /// The target refused the content.
    #[error("the service refused the content: correct the body and choose a new id")]
    Rejected,
}

/// Work that one attempt did at its target, in units that the target counts: tokens or items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of tokens or items read.
    pub input_units: u64,
    /// Number of tokens or items produced.
    pub output_units: u64,
}

/// One invoice line, for exactly one attempt of one stage of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChargeLine {
    /// Organisation and request id.
    pub key: RequestKey,
    /// Index of the stage in its pipeline, from 0.
    pub stage: u32,
    /// Number of the attempt within its request, from 1.
    pub attempt: u32,
    /// Service that ran.
    pub service: ServiceName,
    /// Target that ran it.
    pub target: TargetName,
    /// Version that the target ran.
    pub version: VersionName,
    /// Units that the attempt used.
    pub usage: Usage,
}

/// End of a request, as it is sent to the caller and recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalAnswer {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason for which the request is not done; `None` if it is done.
    pub refusal: Option<RefusalKind>,
    /// Answer of the last stage, empty unless the request is done.
    pub body: Arc<str>,
    /// Charge lines of the attempts that finished; a request that is not done can have some.
    pub charges: Vec<ChargeLine>,
}

impl FinalAnswer {
    /// Returns an answer with the given outcome and refusal, without a body or charges.
    #[must_use]
    pub fn refused(outcome: Outcome, refusal: RefusalKind) -> Self {
        Self { outcome, refusal: Some(refusal), body: Arc::from(""), charges: Vec::new() }
    }
}

/// Load and state of a target, sent with an answer or a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Instance id of the target's process, new with each start.
    pub instance: InstanceId,
    /// Number of calls from all nodes that the target was running.
    pub in_flight: u32,
    /// Age of the report in milliseconds when it arrived.
    pub age_ms: u32,
    /// Whether the target reports itself as warm.
    pub warm: bool,
}
