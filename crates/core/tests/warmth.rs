//! Tests of the limit of a target: it rises in steps and falls at once.

use std::time::Duration;

use wasabipier_core::prelude::*;
use wasabipier_core::targets::TargetView;
use wasabipier_core::warmth::{ServedCall, WarmthState};

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, document};

const BASELINE_LATENCY: Duration = Duration::from_millis(100);
const WARM_REPORT: LoadReport = LoadReport { instance: InstanceId(7), in_flight: 0, age_ms: 0, warm: true };

/// Records `calls` successful calls of duration `took`, one after another from `now`, and moves `now` past them.
fn record_successes(state: &mut WarmthState, now: &mut Moment, calls: u32, took: Duration) {
    for _ in 0..calls {
        let started = *now;
        *now = *now + took;
        state.record_success(ServedCall { started, took }, &Tuning::default(), *now);
    }
}

/// Returns the state of a target of instance 7 at its warm limit of 8, and the moment at which it got there.
fn warm_state() -> (WarmthState, Moment) {
    let mut now = Moment(10_000);
    let mut state = WarmthState::new((2, 8), now);
    state.record_load_report(&WARM_REPORT, now);
    record_successes(&mut state, &mut now, 40, BASELINE_LATENCY);
    assert_eq!(state.limit(), 8);
    (state, now)
}

/// Guards against calls of a lower step counting for the next one: each step needs calls sent at that step.
#[test]
fn a_limit_rises_only_after_calls_that_were_sent_at_its_current_step() {
    let mut state = WarmthState::new((2, 8), Moment(0));
    let slow_call = ServedCall { started: Moment(0), took: Duration::from_secs(2) };
    for _ in 0..3 {
        state.record_success(slow_call, &Tuning::default(), Moment(2_000));
    }
    let limit_after_first_step = state.limit();

    for _ in 0..9 {
        state.record_success(slow_call, &Tuning::default(), Moment(4_000));
    }

    assert_eq!((limit_after_first_step, state.limit()), (4, 4));
}

/// Guards against a late report of the old instance that undoes the restart or counts as another one.
#[test]
fn a_new_instance_is_cold_and_late_reports_of_the_old_one_are_ignored() {
    let (mut state, now) = warm_state();
    let new_report = LoadReport { instance: InstanceId(8), warm: false, ..WARM_REPORT };
    let is_cooled_by_restart = state.record_load_report(&new_report, now);

    let is_cooled_by_late_report = state.record_load_report(&WARM_REPORT, now + BASELINE_LATENCY);
    let is_cooled_by_repeat = state.record_load_report(&new_report, now + BASELINE_LATENCY * 2);

    assert_eq!((is_cooled_by_restart, is_cooled_by_late_report, is_cooled_by_repeat), (true, false, false));
    assert_eq!((state.limit(), state.instance()), (2, InstanceId(8)));
}

/// Guards against a target that keeps its warm limit after reporting that it is cold.
#[test]
fn a_report_of_being_cold_resets_the_limit() {
    let (mut state, now) = warm_state();

    state.record_load_report(&LoadReport { warm: false, ..WARM_REPORT }, now);

    assert_eq!(state.limit(), 2);
}

/// Guards against a limit that falls after too few slow calls, or stays after enough of them.
#[test]
fn three_consecutive_slow_calls_reset_the_limit() {
    let (mut state, mut now) = warm_state();
    record_successes(&mut state, &mut now, 2, BASELINE_LATENCY * 5);
    let limit_after_two = state.limit();

    record_successes(&mut state, &mut now, 1, BASELINE_LATENCY * 5);

    assert_eq!((limit_after_two, state.limit()), (8, 2));
}

/// Guards against the use of a stale limit before the next tick resets it.
#[test]
fn an_unconfirmed_limit_falls_back_to_the_cold_limit_without_a_tick() {
    let (state, now) = warm_state();

    let limit = state.limit_at(&Tuning::default(), now + Duration::from_secs(6));

    assert_eq!(limit, 2);
}

/// Guards against a peer's mistaken report that makes this node send more calls to the target.
#[test]
fn a_cold_report_from_a_peer_never_raises_the_limit() {
    let (mut state, now) = warm_state();

    state.apply_peer_cold_report(InstanceId(7), now);

    assert_eq!(state.limit(), 2);
}

/// Guards against a ramp that stalls below the warm limit at saturating demand.
#[test]
fn a_node_reaches_the_warm_limit_of_a_cold_target_after_a_few_steps() {
    let pool = PoolSpec { targets: 1, limits: (2, 32), ..PoolSpec::default() };
    let mut node = NodeFixture::serving(document(&[pool], 3), Tuning::default());
    let mut max_running = 0;
    for round in 0..60 {
        for number in 0..32 {
            node.ask(&format!("{round}-{number}"), "clubs", Duration::from_secs(2), Priority::Normal);
        }
        let running: Vec<AttemptId> = node.sent_attempts.drain(..).map(|request| request.attempt).collect();
        max_running = max_running.max(running.len());
        node.advance(BASELINE_LATENCY);
        for attempt in running {
            node.finish(attempt);
        }
    }

    let view: &TargetView = node.core.board().targets.get(&"clubs-0000".into()).expect("the target is unknown");

    assert_eq!((view.warmth.limit(), max_running), (32, 32));
}
