//! Where calls go: cached prompts, slow targets, and those that may take nothing.

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

const DEADLINE: Duration = Duration::from_secs(5);
const KEPT: Duration = Duration::from_mins(1);
const KEY: PrefixKey = PrefixKey(1);

fn engines(targets: usize) -> NodeFixture {
    let pool = PoolSpec { service: "coachmodel", kind: ServiceKind::Generate, targets, ..PoolSpec::default() };
    NodeFixture::serving(document(&[pool], 3), Tuning::default())
}

fn ask(node: &mut NodeFixture, request: &str, prompt: &str) -> SendOrder {
    let body = Arc::from(format!("{}{request}", prompt.repeat(100)));
    node.ask_with(request, "coachmodel", body, DEADLINE, Priority::Normal);
    node.orders.last().expect("an order").clone()
}

fn holders(table: &PrefixTable, now: Moment) -> Vec<&str> {
    table.holders(&[KEY], KEPT, now).map(TargetName::as_str).collect()
}

#[test]
fn prompts_share_the_keys_of_the_beginning_that_they_share() {
    let beginning = "season ".repeat(50);
    let keys = |end: &str| prefix_keys(&"coachmodel".into(), "", &format!("{beginning}{}", end.repeat(50)));

    let (one, other) = (keys("under-13 "), keys("under-15 "));

    assert_eq!(one[..2], other[..2]);
    assert!(one[2..].iter().all(|key| !other.contains(key)), "{one:?} {other:?}");
}

#[test]
fn a_prompt_goes_where_its_beginning_went_until_that_target_is_much_busier() {
    let mut node = engines(12);
    let first = ask(&mut node, "plan-0", "season ");

    let targets: Vec<TargetName> =
        (1..12).map(|number| ask(&mut node, &format!("plan-{number}"), "season ").target).collect();

    let followed = targets.iter().take_while(|target| **target == first.target).count();
    assert!((2..=5).contains(&followed), "{targets:?}");
    assert!(targets.iter().collect::<BTreeSet<_>>().len() > 1);
}

#[test]
fn a_cache_event_that_was_missed_puts_older_hints_in_doubt() {
    let target = TargetName::new("engine-1");
    let mut table = PrefixTable::default();
    let report = |sequence| CacheReport { instance: InstanceId(1), sequence, ..CacheReport::default() };
    table.learn_report(&target, &CacheReport { stored: vec![KEY], ..report(1) }, Moment(0));
    let later = Moment(0) + KEPT / 2;
    let before = holders(&table, later).len();

    table.learn_report(&target, &report(3), later);

    assert_eq!((before, holders(&table, later).len()), (1, 0));
}

#[test]
fn a_late_eviction_does_not_undo_a_newer_hint_and_a_new_instance_voids_all() {
    let target = TargetName::new("engine-1");
    let mut table = PrefixTable::default();
    let report = CacheReport { instance: InstanceId(1), sequence: 1, ..CacheReport::default() };
    table.learn(KEY, &target, Moment(1_000));
    table.learn_report(&target, &CacheReport { age_ms: 500, evicted: vec![KEY], ..report.clone() }, Moment(1_100));
    let after_eviction = holders(&table, Moment(1_200)).len();

    table.learn_report(&target, &CacheReport { instance: InstanceId(2), ..report }, Moment(1_300));

    assert_eq!((after_eviction, holders(&table, Moment(1_400)).len()), (1, 0));
}

#[test]
fn a_target_that_failed_gets_nothing_while_it_rests_and_work_again_after() {
    let mut node = engines(2);
    let failed = ask(&mut node, "plan-0", "season ");
    node.fail(failed.attempt, FailureKind::Unreachable, false);
    node.orders.clear();

    for number in 0..8 {
        ask(&mut node, &format!("rest-{number}"), &number.to_string());
    }
    let while_resting: BTreeSet<TargetName> = node.orders.drain(..).map(|order| order.target).collect();
    node.advance(Duration::from_secs(1));
    for number in 0..8 {
        ask(&mut node, &format!("after-{number}"), &number.to_string());
    }

    assert!(!while_resting.contains(&failed.target));
    assert!(node.orders.iter().any(|order| order.target == failed.target));
}
