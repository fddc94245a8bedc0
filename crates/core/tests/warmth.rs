//! The limit of a target: earned in steps, lost at once.

use std::time::Duration;

use wasabipier_core::prelude::*;
use wasabipier_core::targets::TargetView;
use wasabipier_core::warmth::{ServedCall, WarmthState};

#[path = "support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, document};

const USUAL: Duration = Duration::from_millis(100);
const WARM: LoadReport = LoadReport { instance: InstanceId(7), in_flight: 0, age_ms: 0, warm: true };

fn serve(state: &mut WarmthState, now: &mut Moment, calls: u32, took: Duration) {
    for _ in 0..calls {
        let started = *now;
        *now = *now + took;
        state.learn_success(ServedCall { started, took }, &Tuning::default(), *now);
    }
}

/// A target of instance 7 at its warm limit of 8.
fn warm() -> (WarmthState, Moment) {
    let mut now = Moment(10_000);
    let mut state = WarmthState::new((2, 8), now);
    state.learn_report(&WARM, now);
    serve(&mut state, &mut now, 40, USUAL);
    assert_eq!(state.limit(), 8);
    (state, now)
}

#[test]
fn a_limit_rises_only_by_calls_that_were_sent_at_its_step() {
    let mut state = WarmthState::new((2, 8), Moment(0));
    let late = ServedCall { started: Moment(0), took: Duration::from_secs(2) };
    for _ in 0..3 {
        state.learn_success(late, &Tuning::default(), Moment(2_000));
    }
    let first_step = state.limit();

    for _ in 0..9 {
        state.learn_success(late, &Tuning::default(), Moment(4_000));
    }

    assert_eq!((first_step, state.limit()), (4, 4));
}

#[test]
fn a_new_instance_is_cold_and_late_reports_of_the_old_one_are_ignored() {
    let (mut state, now) = warm();
    let newer = LoadReport { instance: InstanceId(8), warm: false, ..WARM };
    let restarted = state.learn_report(&newer, now);

    let late = state.learn_report(&WARM, now + USUAL);
    let again = state.learn_report(&newer, now + USUAL * 2);

    assert_eq!((restarted, late, again), (true, false, false));
    assert_eq!((state.limit(), state.instance()), (2, InstanceId(8)));
}

#[test]
fn a_target_that_calls_itself_cold_again_is_cold() {
    let (mut state, now) = warm();

    state.learn_report(&LoadReport { warm: false, ..WARM }, now);

    assert_eq!(state.limit(), 2);
}

#[test]
fn slow_calls_in_a_row_make_a_target_cold() {
    let (mut state, mut now) = warm();
    serve(&mut state, &mut now, 2, USUAL * 5);
    let after_two = state.limit();

    serve(&mut state, &mut now, 1, USUAL * 5);

    assert_eq!((after_two, state.limit()), (8, 2));
}

#[test]
fn a_belief_without_confirmation_falls_back_even_if_no_tick_came() {
    let (state, now) = warm();

    let limit = state.limit_at(&Tuning::default(), now + Duration::from_secs(6));

    assert_eq!(limit, 2);
}

#[test]
fn news_of_peers_never_raises_a_limit() {
    let (mut state, now) = warm();

    state.hear_cold(InstanceId(7), now);

    assert_eq!(state.limit(), 2);
}

#[test]
fn a_node_uses_the_whole_of_a_warm_target_a_few_steps_after_it_was_cold() {
    let pool = PoolSpec { targets: 1, limits: (2, 32), ..PoolSpec::default() };
    let mut node = NodeFixture::serving(document(&[pool], 3), Tuning::default());
    let mut most_running = 0;
    for round in 0..60 {
        for number in 0..32 {
            node.ask(&format!("{round}-{number}"), "clubs", Duration::from_secs(2), Priority::Normal);
        }
        let running: Vec<AttemptId> = node.orders.drain(..).map(|order| order.attempt).collect();
        most_running = most_running.max(running.len());
        node.advance(USUAL);
        for attempt in running {
            node.finish(attempt);
        }
    }

    let view: &TargetView = node.core.board().targets.get(&"clubs-0000".into()).expect("the target");

    assert_eq!((view.warmth.limit(), most_running), (32, 32));
}
