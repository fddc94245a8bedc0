//! Encoded forms of answers and charges, in JSON and in frames.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wasabipier_core::names::{OrgName, RequestId, RequestKey, ServiceName, TargetName, VersionName};
use wasabipier_core::outcome::{ChargeLine, FinalAnswer, Outcome, RefusalKind, Usage};

/// Encoded form of [`ChargeLine`], the charge for one attempt of one stage of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireCharge {
    /// Organisation that is charged.
    pub organisation: String,
    /// Id of the request.
    pub request: String,
    /// Position of the stage in the pipeline, from 0.
    pub stage: u32,
    /// Number of the attempt within the request, from 1.
    pub attempt: u32,
    /// Name of the service.
    pub service: String,
    /// Name of the target.
    pub target: String,
    /// Version of the service that the target runs.
    pub version: String,
    /// Number of tokens or items that the target read.
    pub input_units: u64,
    /// Number of tokens or items that the target produced.
    pub output_units: u64,
}

/// Line of the charge ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLine {
    /// Wall-clock time of the charge, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Node that made the charge.
    pub node: String,
    /// Charge, whose fields are fields of the line.
    #[serde(flatten)]
    pub charge: WireCharge,
}

impl From<&ChargeLine> for WireCharge {
    fn from(line: &ChargeLine) -> Self {
        Self {
            organisation: line.key.org.to_string(),
            request: line.key.request.to_string(),
            stage: line.stage,
            attempt: line.attempt,
            service: line.service.to_string(),
            target: line.target.to_string(),
            version: line.version.to_string(),
            input_units: line.usage.input_units,
            output_units: line.usage.output_units,
        }
    }
}

impl From<WireCharge> for ChargeLine {
    fn from(wire: WireCharge) -> Self {
        Self {
            key: RequestKey { org: OrgName::new(wire.organisation), request: RequestId::new(wire.request) },
            stage: wire.stage,
            attempt: wire.attempt,
            service: ServiceName::new(wire.service),
            target: TargetName::new(wire.target),
            version: VersionName::new(wire.version),
            usage: Usage { input_units: wire.input_units, output_units: wire.output_units },
        }
    }
}

/// Encoded form of [`FinalAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireAnswer {
    /// `done`, `not-run` or `unknown`.
    pub outcome: String,
    /// Kind of the refusal, or `None` if the request is done.
    pub refusal: Option<String>,
    /// Answer of the last stage.
    pub body: String,
    /// Charges for the request.
    pub charges: Vec<WireCharge>,
}

impl From<&FinalAnswer> for WireAnswer {
    fn from(answer: &FinalAnswer) -> Self {
        Self {
            outcome: answer.outcome.to_string(),
            refusal: answer.refusal.map(|refusal| <&str>::from(refusal).to_owned()),
            body: answer.body.to_string(),
            charges: answer.charges.iter().map(WireCharge::from).collect(),
        }
    }
}

impl From<WireAnswer> for FinalAnswer {
    /// Converts the answer. An outcome that this release does not know becomes [`Outcome::Unknown`], which is never
    /// wrong, and an unknown kind of refusal becomes [`RefusalKind::Unsettled`].
    fn from(wire: WireAnswer) -> Self {
        Self {
            outcome: wire.outcome.parse().unwrap_or(Outcome::Unknown),
            refusal: wire.refusal.map(|kind| kind.parse().unwrap_or(RefusalKind::Unsettled)),
            body: Arc::from(wire.body),
            charges: wire.charges.into_iter().map(ChargeLine::from).collect(),
        }
    }
}
