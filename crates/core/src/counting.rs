//! Counts the results of calls by version and route, for services that have a candidate version.

use std::sync::Arc;
use std::time::Duration;

use crate::blackboard::Blackboard;
use crate::names::{InstanceId, RequestKey, ServiceName, VersionName};
use crate::outcome::LoadReport;
use crate::requests::{AttemptRecord, TargetPhase};
use crate::versions::{CountKey, candidate_key};

/// Counts a successful call. Also counts the earlier crashes of its request as faults of the versions that ran it,
/// because the success shows that the request's content is not their cause.
pub fn count_success(board: &mut Blackboard, attempt: &AttemptRecord, report: &LoadReport) {
    // A target that turned cold without notice reports that with its answer. A report without an instance carries no
    // information.
    let is_reported_cold = report.instance != InstanceId::default() && !report.warm;
    let phase = if is_reported_cold { TargetPhase::Cold } else { attempt.phase };
    let attempt = &AttemptRecord { phase, ..attempt.clone() };
    let Some(key) = attempt_key(board, attempt) else { return };
    let took = board.now.since(attempt.started);
    let crashed_versions =
        board.requests.get_mut(&attempt.key).map(|record| std::mem::take(&mut record.crashed_versions));
    for version in crashed_versions.unwrap_or_default() {
        if let Some(crash_key) = count_key(board, &attempt.service, &version, &key.route) {
            let tally = board.versions.own_tally_mut(crash_key);
            tally.calls += 1;
            tally.faults += 1;
        }
    }
    let tally = board.versions.own_tally_mut(key.clone());
    tally.calls += 1;
    tally.cold_calls += u64::from(attempt.is_cold());
    count_duration(board, attempt, &key, took);
}

/// Counts a call that failed because of the version.
pub fn count_fault(board: &mut Blackboard, attempt: &AttemptRecord) {
    let Some(key) = attempt_key(board, attempt) else { return };
    let tally = board.versions.own_tally_mut(key);
    if attempt.is_cold() {
        tally.cold_calls += 1;
        tally.cold_faults += 1;
    } else {
        tally.calls += 1;
        tally.faults += 1;
    }
}

/// Counts a call during which the target broke off.
///
/// The crash is attributed to the request's content, until a later success shows that the content is not the cause.
/// Only the first crash of a content is counted, for which `is_first` is set.
pub fn count_crash(board: &mut Blackboard, attempt: &AttemptRecord, is_first: bool) {
    let Some(key) = attempt_key(board, attempt) else { return };
    if let Some(record) = board.requests.get_mut(&attempt.key) {
        record.crashed_versions.push(attempt.version.clone());
    }
    if is_first {
        board.versions.own_tally_mut(key).crashes += 1;
    }
}

/// Counts a call that was stopped before its end, if its duration is already in the tail of the stable version.
pub fn count_stopped(board: &mut Blackboard, attempt: &AttemptRecord) {
    let Some(key) = attempt_key(board, attempt) else { return };
    let took = board.now.since(attempt.started);
    // It is unknown how long a call that was stopped earlier would have taken.
    if is_slow(board, attempt, &key, took) == Some(true) {
        count_duration(board, attempt, &key, took);
    }
}

/// Counts a call's duration as slow or not, if the tail of the stable version is known. The duration of a call of the
/// stable version is also recorded for that tail.
fn count_duration(board: &mut Blackboard, attempt: &AttemptRecord, key: &CountKey, took: Duration) {
    if let Some(is_slow_call) = is_slow(board, attempt, key, took) {
        let tally = board.versions.own_tally_mut(key.clone());
        // Slow calls at a cold target are excluded, but fast ones count in favour of the version.
        tally.timed += u64::from(!(is_slow_call && attempt.is_cold()));
        tally.slow += u64::from(is_slow_call && !attempt.is_cold());
        tally.cold_timed += u64::from(attempt.is_cold());
        tally.cold_slow += u64::from(is_slow_call && attempt.is_cold());
    }
    // Keys of versions other than the candidate have attempt number 0.
    if key.candidate.attempt == 0 {
        board.versions.latency_tail_mut(key.clone()).record(took);
    }
}

/// Returns whether a call's duration is in the tail of the stable version's durations on the same route, or `None`
/// while the tail is unknown.
fn is_slow(board: &mut Blackboard, attempt: &AttemptRecord, key: &CountKey, took: Duration) -> Option<bool> {
    let stable = board.document.content.services.get(&attempt.service)?.stable.clone();
    let stable_key = count_key(board, &attempt.service, &stable, &key.route)?;
    board.versions.latency_tail_mut(stable_key).is_slow(took)
}

/// Returns the key under which an attempt is counted, or `None` if its request has ended or its service has no
/// candidate.
fn attempt_key(board: &Blackboard, attempt: &AttemptRecord) -> Option<CountKey> {
    let route = route_of(board, &attempt.key)?;
    count_key(board, &attempt.service, &attempt.version, &route)
}

fn route_of(board: &Blackboard, key: &RequestKey) -> Option<Arc<str>> {
    board.requests.get(key).map(|record| record.route.clone())
}

/// Returns the key under which calls are counted, or `None` if the service has no candidate to compare.
fn count_key(board: &Blackboard, service: &ServiceName, version: &VersionName, route: &Arc<str>) -> Option<CountKey> {
    let spec = board.document.content.services.get(service)?;
    spec.candidate.as_ref()?;
    Some(CountKey { candidate: candidate_key(service, spec, version), route: route.clone() })
}
