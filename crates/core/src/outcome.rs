//! What a caller is told in the end, and what it is charged.

use std::sync::Arc;

use crate::names::{InstanceId, RequestKey, ServiceName, TargetName, VersionName};

/// The three outcomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// Every stage ran and the caller has, or can have, the whole answer.
    Done,
    /// No byte of an order that has an effect can have left for a target.
    NotRun,
    /// It may or may not have run; it is not started again.
    Unknown,
}

/// Why a request was refused or ended without an answer.
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
    /// All targets of a stage are taken out.
    #[error("no target of one of its services takes work: bring a target or data centre back")]
    NoTarget,
    /// The work cannot finish within the deadline.
    #[error("cannot finish in time: ask with a longer deadline or when load is lower")]
    TooLate,
    /// Queues are full.
    #[error("overloaded: ask again after a pause")]
    Overloaded,
    /// The table service gave no claim.
    #[error("the claim could not be recorded: ask again later with a new request id")]
    ClaimUnavailable,
    /// No target could be reached or all attempts failed.
    #[error("every attempt failed: ask again after a pause")]
    AttemptsFailed,
    /// The same content has brought down targets before.
    #[error("this content stopped the targets that ran it: change it before asking again")]
    Harmful,
    /// The same id was used for other content.
    #[error("this request id was used before for other content: choose a new id")]
    IdReused,
    /// A claim stands, and its outcome cannot be known.
    #[error("this request may have run: look it up before asking with a new id")]
    Unsettled,
    /// The target refused the content.
    #[error("the service refused the content: correct the body and choose a new id")]
    Rejected,
}

/// What one attempt used at its target, as the target counted it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens or items read.
    pub input_units: u64,
    /// Tokens or items made.
    pub output_units: u64,
}

/// One invoice line: exactly one attempt of one stage of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChargeLine {
    /// Organisation and request.
    pub key: RequestKey,
    /// Position of the stage in its pipeline, from 0.
    pub stage: u32,
    /// Attempt within the request, from 1.
    pub attempt: u32,
    /// Service that ran.
    pub service: ServiceName,
    /// Target that ran it.
    pub target: TargetName,
    /// Version that ran it.
    pub version: VersionName,
    /// What it used.
    pub usage: Usage,
}

/// The end of a request, as told to its caller and recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalAnswer {
    /// The outcome.
    pub outcome: Outcome,
    /// Why it was not done, if so.
    pub refusal: Option<RefusalKind>,
    /// Answer of the last stage, empty unless done.
    pub body: Arc<str>,
    /// What was charged.
    pub charges: Vec<ChargeLine>,
}

impl FinalAnswer {
    /// An answer without content.
    #[must_use]
    pub fn refused(outcome: Outcome, refusal: RefusalKind) -> Self {
        Self { outcome, refusal: Some(refusal), body: Arc::from(""), charges: Vec::new() }
    }
}

/// What a target says of itself with an answer or a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Run of the target's process.
    pub instance: InstanceId,
    /// Calls that it was running.
    pub in_flight: u32,
    /// Age of the figures in milliseconds when they arrived.
    pub age_ms: u32,
    /// Whether it calls itself warm.
    pub warm: bool,
}
