//! Tests of the choice of targets: cached prompt prefixes, busy targets and targets in backoff.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::document::ServiceKind;
use wasabipier_core::event::CacheReport;
use wasabipier_core::prefixes::{PrefixTable, prefix_keys};
use wasabipier_core::prelude::*;

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, document};

/// Time from a request's start to its deadline.
const DEADLINE: Duration = Duration::from_secs(5);
const HINT_LIFETIME: Duration = Duration::from_mins(1);
/// Key of the prefix that all hints in these tests are about.
const PREFIX: PrefixKey = PrefixKey(1);

/// Returns a serving node whose only service has this number of engines.
fn serving_engines(targets: usize) -> NodeFixture {
    let pool = PoolSpec { service: "coachmodel", kind: ServiceKind::Generate, targets, ..PoolSpec::default() };
    NodeFixture::serving(document(&[pool], 3), Tuning::default())
}

/// Asks for a prompt repeated 100 times and ended by the request's id, and returns the attempt that was sent.
fn send_prompt(node: &mut NodeFixture, request: &str, prompt: &str) -> AttemptRequest {
    let body = Arc::from(format!("{}{request}", prompt.repeat(100)));
    node.ask_with(request, "coachmodel", body, DEADLINE, Priority::Normal);
    node.sent_attempts.last().expect("no call was sent").clone()
}

/// Returns the names of the targets that may hold [`PREFIX`] at `now`.
fn holder_names(table: &PrefixTable, now: Moment) -> Vec<&str> {
    table.holders(&[PREFIX], HINT_LIFETIME, now).map(TargetName::as_str).collect()
}

/// Guards against keys that miss a common beginning, or that match beyond it.
#[test]
fn prompts_with_a_common_beginning_share_only_the_keys_of_that_beginning() {
    let beginning = "season ".repeat(50);
    let keys = |end: &str| prefix_keys(&"coachmodel".into(), "", &format!("{beginning}{}", end.repeat(50)));

    let (under_13, under_15) = (keys("under-13 "), keys("under-15 "));

    assert_eq!(under_13[..2], under_15[..2]);
    assert!(under_13[2..].iter().all(|key| !under_15.contains(key)), "{under_13:?} {under_15:?}");
}

/// Guards against routing that ignores cached prefixes, and against one that overloads the target that caches them.
#[test]
fn a_prompt_follows_its_cached_beginning_until_that_target_is_much_busier() {
    let mut node = serving_engines(12);
    let first = send_prompt(&mut node, "plan-0", "season ");

    let targets: Vec<TargetName> =
        (1..12).map(|number| send_prompt(&mut node, &format!("plan-{number}"), "season ").target).collect();

    let sent_to_first = targets.iter().take_while(|target| **target == first.target).count();
    assert!((2..=5).contains(&sent_to_first), "{targets:?}");
    assert!(targets.iter().collect::<BTreeSet<_>>().len() > 1);
}

/// Guards against hints that keep their full lifetime although an event about their eviction may have been lost.
/// Reports 1 and 3 arrive, and report 2 is missing.
#[test]
fn a_gap_in_cache_events_makes_older_hints_uncertain() {
    let target = TargetName::new("engine-1");
    let mut table = PrefixTable::default();
    let report = |sequence| CacheReport { instance: InstanceId(1), sequence, ..CacheReport::default() };
    table.record_cache_report(&target, &CacheReport { stored: vec![PREFIX], ..report(1) }, Moment(0));
    let mid_lifetime = Moment(0) + HINT_LIFETIME / 2;
    let count_before = holder_names(&table, mid_lifetime).len();

    table.record_cache_report(&target, &report(3), mid_lifetime);

    assert_eq!((count_before, holder_names(&table, mid_lifetime).len()), (1, 0));
}

/// Guards against an old eviction that removes a newer hint, and against hints that survive the loss of a cache.
#[test]
fn a_late_eviction_keeps_a_newer_hint_and_a_new_instance_invalidates_all() {
    let target = TargetName::new("engine-1");
    let mut table = PrefixTable::default();
    let report = CacheReport { instance: InstanceId(1), sequence: 1, ..CacheReport::default() };
    table.record_prefix(PREFIX, &target, Moment(1_000));
    table.record_cache_report(
        &target,
        &CacheReport { age_ms: 500, evicted: vec![PREFIX], ..report.clone() },
        Moment(1_100),
    );
    let count_after_eviction = holder_names(&table, Moment(1_200)).len();

    table.record_cache_report(&target, &CacheReport { instance: InstanceId(2), ..report }, Moment(1_300));

    assert_eq!((count_after_eviction, holder_names(&table, Moment(1_400)).len()), (1, 0));
}

/// Guards against calls to a target in backoff, and against a target that gets no calls after its backoff.
#[test]
fn a_failed_target_gets_no_calls_during_its_backoff_and_calls_again_after_it() {
    let mut node = serving_engines(2);
    let failed = send_prompt(&mut node, "plan-0", "season ");
    node.fail(failed.attempt, FailureKind::Unreachable, false);
    node.sent_attempts.clear();

    for number in 0..8 {
        send_prompt(&mut node, &format!("rest-{number}"), &number.to_string());
    }
    let called_during_backoff: BTreeSet<TargetName> =
        node.sent_attempts.drain(..).map(|request| request.target).collect();
    node.advance(Duration::from_secs(1));
    for number in 0..8 {
        send_prompt(&mut node, &format!("after-{number}"), &number.to_string());
    }

    assert!(!called_during_backoff.contains(&failed.target));
    assert!(node.sent_attempts.iter().any(|request| request.target == failed.target));
}
