//! Tests of the attempts to read the store, against stores that are away for a while or slow.

use std::time::Duration;

use proptest::prelude::*;
use wasabipier_core::clock::Moment;
use wasabipier_core::relay::read_attempts::ReadAttempts;

use crate::fixtures::{at, config, millis};

const USUAL_ANSWER_TIME: Duration = Duration::from_millis(800);
const WAIT: Duration = Duration::from_millis(1_500);

/// What becomes of a call during an outage.
#[derive(Clone, Copy, Debug)]
enum LostCall {
    /// It gets no answer.
    Silent,
    /// It fails after a time.
    Fails(Duration),
}

/// A store that answers after `latency`, except to calls that are under way in an outage.
#[derive(Clone, Copy, Debug)]
struct StoreModel {
    outage: (Moment, Moment),
    lost_call: LostCall,
    latency: Duration,
}

impl StoreModel {
    /// Returns when and how a call that starts at `start` and is held for `wait` ends, if it does.
    fn end_of_call(&self, start: Moment, wait: Duration) -> Option<(Moment, bool)> {
        let answered_at = start + wait + self.latency;
        if answered_at < self.outage.0 || start >= self.outage.1 {
            return Some((answered_at, true));
        }
        match self.lost_call {
            LostCall::Silent => None,
            LostCall::Fails(after) => Some((start + after, false)),
        }
    }
}

/// Reads the store from time 0 to `end`. Returns the starts of all calls, and when each answer arrived.
fn run_reader(store: &StoreModel, end: Moment) -> (Vec<Moment>, Vec<Moment>) {
    let mut attempts = ReadAttempts::new(USUAL_ANSWER_TIME);
    let (mut starts, mut answers) = (Vec::new(), Vec::new());
    let mut open: Vec<(Moment, bool)> = Vec::new();
    let mut now = at(0);
    while now < end {
        open.sort_by_key(|(ends_at, _)| *ends_at);
        let first_end = open.first().copied();
        if let Some((ends_at, is_answer)) = first_end.filter(|(ends_at, _)| *ends_at <= attempts.next_start()) {
            now = ends_at;
            if is_answer {
                answers.push(now);
                open.clear();
                attempts.record_answer();
            } else {
                open.remove(0);
                attempts.record_failure(1, 1.0);
            }
            continue;
        }
        now = now.max(attempts.next_start());
        let wait = attempts.next_wait(WAIT);
        let given_up_at = now + attempts.record_start(wait, now);
        starts.push(now);
        let ending = store.end_of_call(now, wait).filter(|(ends_at, _)| *ends_at < given_up_at);
        open.push(ending.unwrap_or((given_up_at, false)));
    }
    (starts, answers)
}

fn lost_calls() -> impl Strategy<Value = LostCall> {
    prop_oneof![Just(LostCall::Silent), (1_u64..900).prop_map(|ms| LostCall::Fails(millis(ms)))]
}

proptest! {
    #![proptest_config(config(300))]

    /// Guards against a store that is back and not asked: a call that was lost in the outage was waited for.
    #[test]
    fn a_store_is_asked_soon_after_each_outage(
        begin in 0_u64..10_000,
        duration in 100_u64..40_000,
        lost_call in lost_calls(),
        latency in 1_u64..300,
    ) {
        let returned_at = at(begin + duration);
        let store = StoreModel { outage: (at(begin), returned_at), lost_call, latency: millis(latency) };

        let (_, answers) = run_reader(&store, returned_at + Duration::from_secs(10));

        let first = answers.iter().find(|answer| **answer >= returned_at).expect("the store answers again");
        // A call that was open at the beginning of the outage may still be held, with the usual time for its answer.
        let bound = if duration < (WAIT + USUAL_ANSWER_TIME).as_millis() as u64 { WAIT } else { Duration::ZERO };
        prop_assert!(
            first.since(returned_at) <= bound + USUAL_ANSWER_TIME + millis(latency + 1),
            "asked again after {:?}", first.since(returned_at)
        );
    }

    /// Guards against a store that is away or slow and gets ever more calls.
    #[test]
    fn calls_to_a_store_that_does_not_answer_are_few(lost_call in lost_calls()) {
        let outage = (at(0), at(100_000));
        let store = StoreModel { outage, lost_call, latency: millis(4) };

        let (starts, answers) = run_reader(&store, at(60_000));

        prop_assert!(answers.is_empty());
        prop_assert!(starts.len() <= 60_000 / 800 + 8, "{} calls in a minute", starts.len());
    }
}

/// Guards against nodes that never read a slow store: each call was given up too soon and made again.
#[test]
fn a_store_that_is_slower_than_usual_is_read_by_each_first_call() {
    let store = StoreModel { outage: (at(0), at(0)), lost_call: LostCall::Silent, latency: millis(2_400) };

    let (starts, answers) = run_reader(&store, at(20_000));

    assert_eq!(answers.first(), Some(&at(2_400)));
    assert!(answers.len() >= 4, "{answers:?}");
    assert!(starts.len() <= answers.len() * 4, "{starts:?}");
}

/// Guards against a large table that never arrives over a slow link, because others of its reads take the link.
#[test]
fn no_attempt_starts_while_an_answer_arrives() {
    let mut attempts = ReadAttempts::new(USUAL_ANSWER_TIME);
    attempts.record_start(WAIT, at(0));

    attempts.record_arrival(at(2_200));
    assert_eq!((attempts.next_start(), attempts.is_overdue(at(2_999))), (at(3_000), false));
    attempts.record_arrival(at(2_900));
    assert_eq!((attempts.next_start(), attempts.is_overdue(at(3_700))), (at(3_700), true));
}
