//! Encoded forms of limits on the requests of targets, and of permits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wasabipier_core::names::{ServiceName, TargetName};
use wasabipier_core::relay::brittle::{LeaseEnd, LeaseId, RejectTolerance, RoomLimit};
use wasabipier_core::relay::rate_limits::{LimitReport, LimitedTarget, PermitAnswer, PermitRequest, RequestRate};

use super::WireReply;

/// Encoded form of [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WirePermitRequest {
    service: String,
    rank: u8,
    targets: Vec<WireLimitedTarget>,
    /// Identifier of the lease.
    lease: u64,
    /// Time in milliseconds after which the call has ended.
    hold_ms: u32,
}

/// Encoded form of [`LimitedTarget`]: name of the target, its limit in thousandths of a request per second, and its
/// number of slots and of tolerated rejections.
type WireLimitedTarget = (String, Option<u32>, Option<(u32, u32)>);

/// Encoded form of [`LeaseEnd`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLeaseEnd {
    lease: u64,
    target: String,
    is_rejected: bool,
}

impl From<&LeaseEnd> for WireLeaseEnd {
    fn from(end: &LeaseEnd) -> Self {
        Self { lease: end.lease.0, target: end.target.to_string(), is_rejected: end.is_rejected }
    }
}

impl From<WireLeaseEnd> for LeaseEnd {
    fn from(end: WireLeaseEnd) -> Self {
        Self { lease: LeaseId(end.lease), target: TargetName::new(end.target), is_rejected: end.is_rejected }
    }
}

impl From<&PermitRequest> for WirePermitRequest {
    fn from(request: &PermitRequest) -> Self {
        let targets = request.targets.iter().map(|limited| {
            let room = limited.room.map(|room| (room.slots, room.tolerance.0));
            (limited.target.to_string(), limited.rate.map(|rate| rate.0), room)
        });
        Self {
            service: request.service.to_string(),
            rank: request.rank,
            targets: targets.collect(),
            lease: request.lease.0,
            hold_ms: request.hold_time.as_millis() as u32,
        }
    }
}

impl From<WirePermitRequest> for PermitRequest {
    fn from(request: WirePermitRequest) -> Self {
        let targets = request.targets.into_iter().map(|(target, rate, room)| LimitedTarget {
            target: TargetName::new(target),
            rate: rate.map(RequestRate),
            room: room.map(|(slots, tolerance)| RoomLimit { slots, tolerance: RejectTolerance(tolerance) }),
        });
        Self {
            service: ServiceName::new(request.service),
            rank: request.rank,
            targets: targets.collect(),
            lease: LeaseId(request.lease),
            hold_time: Duration::from_millis(u64::from(request.hold_ms)),
        }
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

/// Returns the encoded form of reports on limits, whose values `encode` turns into numbers.
pub(super) fn limits_to_wire<T: Copy>(
    limits: &[LimitReport<T>],
    encode: impl Fn(T) -> u32,
) -> Vec<(String, Option<u32>, u32)> {
    let limits = limits.iter();
    limits.map(|report| (report.target.to_string(), report.limit.map(&encode), report.age.as_millis() as u32)).collect()
}

/// Decodes reports on limits.
pub(super) fn limits_from_wire<T>(
    limits: Vec<(String, Option<u32>, u32)>,
    decode: impl Fn(u32) -> T,
) -> Vec<LimitReport<T>> {
    let limits = limits.into_iter();
    limits
        .map(|(target, limit, age_ms)| LimitReport {
            target: TargetName::new(target),
            limit: limit.map(&decode),
            age: Duration::from_millis(u64::from(age_ms)),
        })
        .collect()
}
