//! Final answers to callers, and the charges for them.

use std::sync::Arc;

use crate::names::{InstanceId, RequestKey, ServiceName, TargetName, VersionName};

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// Every stage ran, and the caller has the whole answer or can have it.
    Done,
    /// No byte of an attempt that has an effect can have left for a target.
    NotRun,
    /// The request may or may not have run, and it is not started again.
    Unknown,
}

/// Reason for which a request was refused or ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error, strum::IntoStaticStr, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalKind {
    /// The node has no document yet, or is stopping.
    #[error("this node takes no new work: ask another address")]
    NotReady,
    /// The document does not name the organisation.
    #[error("unknown organisation: add it to the environment's document")]
    UnknownOrg,
    /// The document does not name the pipeline or service.
    #[error("unknown pipeline or service: check the path against the environment's document")]
    UnknownGoal,
    /// Operators have taken all targets of a stage out of service.
    #[error("no target of one of its services takes work: bring a target or data centre back")]
    NoTarget,
    /// The work cannot finish within the deadline.
    #[error("cannot finish in time: ask with a longer deadline or when load is lower")]
    TooLate,
    /// The queues are full.
    #[error("overloaded: ask again after a pause")]
    Overloaded,
    /// The claim could not be written to the table service.
    #[error("the claim could not be recorded: ask again later with a new request id")]
    ClaimUnavailable,
    /// No target could be reached, or all attempts failed.
    #[error("every attempt failed: ask again after a pause")]
    AttemptsFailed,
    /// The same content has crashed targets before.
    #[error("this content stopped the targets that ran it: change it before asking again")]
    Harmful,
    /// The same request id was used for other content.
    #[error("this request id was used before for other content: choose a new id")]
    IdReused,
    /// A claim exists whose outcome cannot be known.
    #[error("this request may have run: look it up before asking with a new id")]
    Unsettled,
    /// The target refused the content.
    #[error("the service refused the content: correct the body and choose a new id")]
    Rejected,
}

/// Units that one attempt used at its target, as the target counted them.
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
    /// Reason for which the request is not done, or none if it is done.
    pub refusal: Option<RefusalKind>,
    /// Answer of the last stage, empty unless the request is done.
    pub body: Arc<str>,
    /// Charge lines of the request.
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
    /// Number of calls that the target was running.
    pub in_flight: u32,
    /// Age of the report in milliseconds when it arrived.
    pub age_ms: u32,
    /// Whether the target reports itself as warm.
    pub warm: bool,
}
