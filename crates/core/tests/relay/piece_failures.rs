//! Tests of the piece queue with targets that fail.

use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::clock::Moment;
use wasabipier_core::names::{DcName, TargetName};
use wasabipier_core::relay::document::BatchSpec;
use wasabipier_core::relay::pieces::{CallPlan, PieceFailure, PieceJob, PieceQueue, PieceResult, PieceSource};
use wasabipier_core::relay::targets::{TargetRegistry, TargetView};

use crate::fixtures::{at, millis, target_entry};

fn spec() -> BatchSpec {
    BatchSpec {
        slots: 1,
        max_pieces: 22,
        fixed_call_time: millis(150),
        piece_time: millis(6),
        storage_bytes: 4_000_000,
        result_ttl: millis(4_000),
    }
}

fn piece_job(number: u64, now: Moment) -> PieceJob {
    PieceJob {
        request: Arc::from(format!("request-{number}")),
        stage: 1,
        segment: 0,
        source: PieceSource::Content(Arc::from("key")),
        deadline: now + millis(8_000),
        objective: now + millis(1_900),
        time_needed: millis(150),
        rank: 0,
        wanted_in: None,
        result_bytes: 1_000,
        remote_bytes: 1_000,
    }
}

fn target_registry(count: usize) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    for number in 0..count {
        registry.upsert(target_entry(&format!("i-{number}"), "coaches", "khomas-a"), at(0));
    }
    registry
}

/// Counts of a run of the queue.
#[derive(Debug, Default)]
struct PieceCounts {
    made: usize,
    failed: usize,
    made_at_first: usize,
}

/// Runs a queue for five seconds with two pieces each 20 ms, two thirds of what two targets make. `fails` tells whether a
/// call to a target fails at a time in milliseconds; such a call ends at once.
fn run_queue(target_count: usize, fails: impl Fn(&TargetName, u64) -> bool) -> PieceCounts {
    let (mut queue, registry) = (PieceQueue::default(), target_registry(target_count));
    let (mut running, mut counts): (Vec<(Moment, CallPlan, bool)>, _) = (Vec::new(), PieceCounts::default());
    let views: Vec<&TargetView> = registry.iter().collect();
    for ms in 0..5_000 {
        let now = at(ms);
        if ms % 20 == 0 {
            for piece in 0..2 {
                queue.push(piece_job(ms * 5 + piece, now), now);
            }
        }
        let (ended, open): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = open;
        for (_, plan, has_failed) in ended {
            let result = |number| PieceResult { handle: Arc::from(format!("{number}")), dc: DcName::new("khomas-a") };
            let outcome = |number| if has_failed { Err(PieceFailure::Failed) } else { Ok(result(number)) };
            let outcomes: Vec<_> = plan.pieces.iter().map(|(ticket, _)| outcome(ticket.0)).collect();
            if plan.target.as_str() == "i-0" && !has_failed {
                counts.made_at_first += plan.pieces.len();
            }
            for (_, outcome) in queue.finish(&spec(), &plan, outcomes, now) {
                match outcome {
                    Ok(result) => {
                        counts.made += 1;
                        queue.forget_results(&[result.handle]);
                    }
                    Err(_) => counts.failed += 1,
                }
            }
        }
        while let Some(plan) = queue.plan(&spec(), &views, now) {
            let has_failed = fails(&plan.target, ms);
            let work = spec().fixed_call_time + spec().piece_time * plan.pieces.len() as u32;
            let took = if has_failed { Duration::from_millis(1) } else { work };
            running.push((now + took, plan, has_failed));
        }
    }
    counts
}

/// Guards against a target that fails all calls at once and so is always free: it got most of the pieces, used up all of
/// their attempts within milliseconds, and requests failed although the other targets were sound.
#[test]
fn a_target_that_fails_at_once_fails_few_pieces_and_gets_pieces_again_once_it_is_sound() {
    let counts = run_queue(3, |target, ms| target.as_str() == "i-0" && ms < 3_000);

    assert!(counts.failed * 100 <= counts.made, "{counts:?}");
    assert!(counts.made_at_first > 50, "{counts:?}");
}

/// Guards against a service that stands still because all of its targets have failed lately.
#[test]
fn pieces_are_tried_while_all_targets_fail() {
    let counts = run_queue(2, |_, ms| ms < 1_000);

    assert!(counts.failed > 50, "pieces that cannot be made fail soon: {counts:?}");
    assert!(counts.made > 350, "{counts:?}");
}
