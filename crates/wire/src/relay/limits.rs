//! Encoded forms of limits on the requests of targets, and of permits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wasabipier_core::names::{ServiceName, TargetName};
use wasabipier_core::relay::rate_limits::{LimitReport, PermitAnswer, PermitRequest, RequestRate};

use super::WireReply;

/// Encoded form of [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WirePermitRequest {
    service: String,
    rank: u8,
    /// Names of targets and thousandths of a request per second.
    targets: Vec<(String, u32)>,
}

impl From<&PermitRequest> for WirePermitRequest {
    fn from(request: &PermitRequest) -> Self {
        let targets = request.targets.iter().map(|(target, rate)| (target.to_string(), rate.0)).collect();
        Self { service: request.service.to_string(), rank: request.rank, targets }
    }
}

impl From<WirePermitRequest> for PermitRequest {
    fn from(request: WirePermitRequest) -> Self {
        let targets = request.targets.into_iter();
        let targets = targets.map(|(target, rate)| (TargetName::new(target), RequestRate(rate))).collect();
        Self { service: ServiceName::new(request.service), rank: request.rank, targets }
    }
}

/// Returns the encoded form of an answer to a request for a permit.
#[must_use]
pub fn permit_to_wire(answer: &PermitAnswer) -> WireReply {
    WireReply::Permit(match answer {
        PermitAnswer::Granted(target) => Ok(target.to_string()),
        PermitAnswer::Denied(pause) => Err(pause.as_millis() as u32),
    })
}

/// Decodes an answer to a request for a permit.
#[must_use]
pub fn permit_from_wire(answer: Result<String, u32>) -> PermitAnswer {
    match answer {
        Ok(target) => PermitAnswer::Granted(TargetName::new(target)),
        Err(pause_ms) => PermitAnswer::Denied(Duration::from_millis(u64::from(pause_ms))),
    }
}

/// Returns the encoded form of reports on limits.
pub(super) fn limits_to_wire(limits: &[LimitReport]) -> Vec<(String, Option<u32>, u32)> {
    let limits = limits.iter();
    limits
        .map(|report| (report.target.to_string(), report.rate.map(|rate| rate.0), report.age.as_millis() as u32))
        .collect()
}

/// Decodes reports on limits.
pub(super) fn limits_from_wire(limits: Vec<(String, Option<u32>, u32)>) -> Vec<LimitReport> {
    let limits = limits.into_iter();
    limits
        .map(|(target, rate, age_ms)| LimitReport {
            target: TargetName::new(target),
            rate: rate.map(RequestRate),
            age: Duration::from_millis(u64::from(age_ms)),
        })
        .collect()
}
