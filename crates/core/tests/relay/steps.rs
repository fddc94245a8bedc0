//! What comes after an attempt: at most once, true refusals, bounded repeats.

use proptest::prelude::*;
use wasabipier_core::relay::document::RetryPolicy;
use wasabipier_core::relay::steps::{AttemptEnd, AttemptTally, NextStep};

use crate::fixtures::config;

fn kinds() -> impl Strategy<Value = RetryPolicy> {
    prop::sample::select(vec![
        RetryPolicy::Idempotent,
        RetryPolicy::AtMostOnce,
        RetryPolicy::Stream,
        RetryPolicy::ResumableStream,
    ])
}

fn ends() -> impl Strategy<Value = AttemptEnd> {
    prop::sample::select(vec![
        AttemptEnd::NotSent,
        AttemptEnd::NotRun,
        AttemptEnd::InputsGone,
        AttemptEnd::Lost,
        AttemptEnd::Garbled,
        AttemptEnd::Failed,
    ])
}

fn may_have_run(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::Lost | AttemptEnd::Garbled | AttemptEnd::Failed)
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn promises_are_true_and_repeats_are_bounded(
        kind in kinds(),
        most in 1_u32..4,
        ends in prop::collection::vec((ends(), any::<bool>()), 1..30),
    ) {
        let mut tally = AttemptTally::default();
        let mut ran = 0;
        let mut attempts = 0;
        for (end, affordable) in ends {
            attempts += 1;
            ran += u32::from(may_have_run(end));
            let step = tally.decide(kind, end, most, affordable);
            prop_assert_eq!(tally.has_not_run(), ran == 0);
            match step {
                NextStep::Again | NextStep::Prepare => {
                    prop_assert!(ran == 0 || kind.is_retryable(), "{kind} was sent again after it may have run");
                    prop_assert!(ran < most, "more targets may run it than the route allows");
                    prop_assert!(affordable || end == AttemptEnd::NotSent, "a repeat was not paid for");
                }
                NextStep::Refuse => prop_assert_eq!(ran, 0, "said not to have run"),
                NextStep::Fail => {}
                NextStep::Relay => prop_assert_eq!(end, AttemptEnd::Failed),
            }
            if !matches!(step, NextStep::Again | NextStep::Prepare) {
                break;
            }
        }
        prop_assert!(attempts <= 3 + 1 + most, "{attempts} attempts");
    }
}

#[test]
fn a_call_that_must_not_be_repeated_moves_on_only_if_it_did_not_run() {
    let mut tally = AttemptTally::default();

    assert_eq!(tally.decide(RetryPolicy::AtMostOnce, AttemptEnd::NotRun, 2, true), NextStep::Again);
    assert_eq!(tally.decide(RetryPolicy::AtMostOnce, AttemptEnd::Lost, 2, true), NextStep::Fail);
}
