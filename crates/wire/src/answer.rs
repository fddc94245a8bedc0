//! Answers and charges, as they stand in JSON and in frames.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wasabipier_core::names::{OrgName, RequestId, RequestKey, ServiceName, TargetName, VersionName};
use wasabipier_core::outcome::{ChargeLine, FinalAnswer, Outcome, RefusalKind, Usage};

/// One invoice line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireCharge {
    /// Organisation.
    pub organisation: String,
    /// Request id.
    pub request: String,
    /// Position of the stage, from 0.
    pub stage: u32,
    /// Attempt within the request, from 1.
    pub attempt: u32,
    /// Service.
    pub service: String,
    /// Target.
    pub target: String,
    /// Version.
    pub version: String,
    /// Tokens or items read.
    pub input_units: u64,
    /// Tokens or items made.
    pub output_units: u64,
}

/// One line of the charge ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLine {
    /// Wall time at which the charge was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Node that made it.
    pub node: String,
    /// The charge.
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

/// The end of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireAnswer {
    /// `done`, `not-run` or `unknown`.
    pub outcome: String,
    /// Kind of refusal, or none.
    pub refusal: Option<String>,
    /// Answer of the last stage.
    pub body: String,
    /// Charges.
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
    /// A word that this version does not know counts as *unknown*, which is never wrong.
    fn from(wire: WireAnswer) -> Self {
        Self {
            outcome: wire.outcome.parse().unwrap_or(Outcome::Unknown),
            refusal: wire.refusal.map(|word| word.parse().unwrap_or(RefusalKind::Unsettled)),
            body: Arc::from(wire.body),
            charges: wire.charges.into_iter().map(ChargeLine::from).collect(),
        }
    }
}
