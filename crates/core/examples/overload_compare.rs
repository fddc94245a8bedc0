//! Compares the share of requests that one node finishes by their deadlines, at multiples of its targets' capacity,
//! with and without admission control.
//!
//! `cargo run --release -p wasabipier-core --example overload_compare`
//!
//! The pipeline has four stages. The last one runs 16 calls at once of about a second each, so the capacity is 16
//! requests a second. Call times are drawn at random, regardless of load, because the limits are never exceeded.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabipier_core::document::ServiceKind;
use wasabipier_core::prelude::*;

#[path = "../tests/support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, TICK, document};

/// Requests per second that the last stage can serve.
const CAPACITY_PER_SECOND: f64 = 16.0;
const RUN_DURATION: Duration = Duration::from_mins(2);
/// Time from a request's start to its deadline.
const DEADLINE: Duration = Duration::from_secs(3);
const SEED: u64 = 11;

/// Returns a document with a pipeline of four stages.
fn pipeline() -> Document {
    let pool = |service, kind, targets| PoolSpec { service, kind, targets, limits: (4, 4), ..PoolSpec::default() };
    // The fixture runs stages in the order of their names.
    let pools = [
        pool("a-encoder", ServiceKind::Encode, 2),
        pool("b-retriever", ServiceKind::Retrieve, 2),
        pool("c-reranker", ServiceKind::Rerank, 2),
        pool("d-generator", ServiceKind::Generate, 4),
    ];
    document(&pools, 3)
}

/// Returns the duration of a call: log-normal around the stage's median. The duration follows from the request, the
/// stage and the attempt number alone, so it is the same under every policy.
fn draw_call_time(request: &AttemptRequest) -> Duration {
    let median_ms = [20.0, 30.0, 40.0, 850.0][request.stage as usize];
    let seed = stable_hash(&[
        request.key.request.as_str().as_bytes(),
        &request.stage.to_le_bytes(),
        &request.attempt_number.to_le_bytes(),
    ]);
    let mut random = fastrand::Rng::with_seed(seed);
    let normal: f64 = (0..12).map(|_| random.f64()).sum::<f64>() - 6.0;
    Duration::from_secs_f64(median_ms * (0.5 * normal).exp() / 1_000.0)
}

/// Counts of one run: requests and requests done in time by priority, and calls by stage.
#[derive(Debug, Default)]
struct RunTally {
    requests: [u32; 3],
    in_time: [u32; 3],
    calls: [u64; 4],
}

/// Simulates a run with requests at `load` times the capacity.
fn run_load(load: f64, tuning: Tuning) -> RunTally {
    let mut random = fastrand::Rng::with_seed(SEED);
    let mut node = NodeFixture::serving(pipeline(), tuning);
    let mut tally = RunTally::default();
    let mut running: BTreeMap<(Moment, AttemptId), AttemptRequest> = BTreeMap::new();
    let mut pending: BTreeMap<CallId, (Priority, Moment)> = BTreeMap::new();
    let start = node.now;
    let mut next_request_s = 0.0;
    while node.now.since(start) < RUN_DURATION {
        while next_request_s <= node.now.since(start).as_secs_f64() {
            next_request_s -= random.f64().max(1e-9).ln() / (CAPACITY_PER_SECOND * load);
            let priority = match random.u32(0..10) {
                0..3 => Priority::Interactive,
                3..8 => Priority::Normal,
                _ => Priority::Batch,
            };
            tally.requests[priority as usize] += 1;
            let call = node.ask(&random.u64(..).to_string(), "plan", DEADLINE, priority);
            pending.insert(call, (priority, node.now + DEADLINE));
        }
        let now = node.now;
        for request in node.sent_attempts.drain(..) {
            tally.calls[request.stage as usize] += 1;
            let took = draw_call_time(&request);
            running.insert((now + took, request.attempt), request);
        }
        let cancelled = std::mem::take(&mut node.cancelled);
        running.retain(|(_, attempt), _| !cancelled.contains(attempt));
        for attempt in cancelled {
            node.fail(attempt, FailureKind::Broken, true);
        }
        node.advance(TICK);
        finish_due_calls(&mut node, &mut running);
        for (call, part) in std::mem::take(&mut node.answers) {
            let AnswerPart::Final(answer) = part else { continue };
            let Some((priority, deadline)) = pending.remove(&call) else { continue };
            let is_in_time = answer.outcome == Outcome::Done && node.now <= deadline;
            tally.in_time[priority as usize] += u32::from(is_in_time);
        }
    }
    tally
}

/// Sends a token of each stream that has shown no progress for 200 ms, then finishes the calls that are due.
fn finish_due_calls(node: &mut NodeFixture, running: &mut BTreeMap<(Moment, AttemptId), AttemptRequest>) {
    let now = node.now;
    let streams: Vec<AttemptId> = running
        .values()
        .filter(|request| request.kind == ServiceKind::Generate)
        .map(|request| request.attempt)
        .collect();
    for attempt in streams {
        let record = node.core.board().requests.attempt(attempt);
        let stalled_record = record.filter(|record| now.since(record.last_progress_at) >= Duration::from_millis(200));
        if let Some(index) = stalled_record.map(|record| record.tokens) {
            node.deliver_token(attempt, index);
        }
    }
    while let Some(entry) = running.first_entry().filter(|entry| entry.key().0 <= now) {
        let attempt = entry.remove().attempt;
        node.finish(attempt);
    }
}

/// Prints the results of one run.
fn report(name: &str, load: f64, tally: &RunTally) {
    let requests: u32 = tally.requests.iter().sum();
    let in_time: u32 = tally.in_time.iter().sum();
    let in_time_percent =
        |priority: usize| 100.0 * f64::from(tally.in_time[priority]) / f64::from(tally.requests[priority].max(1));
    let calls = tally.calls.map(|calls| calls as f64 / f64::from(in_time.max(1)));
    println!(
        "{load:>4} {name:<18} in time {:>5.1} %  goodput {:>5.2}/s  interactive {:>5.1} % normal {:>5.1} % batch {:>5.1} %  \
         calls per answer in time {:.2} {:.2} {:.2} {:.2}",
        100.0 * f64::from(in_time) / f64::from(requests),
        f64::from(in_time) / RUN_DURATION.as_secs_f64(),
        in_time_percent(0),
        in_time_percent(1),
        in_time_percent(2),
        calls[0],
        calls[1],
        calls[2],
        calls[3],
    );
}

fn main() {
    let no_admission =
        Tuning { early_refusal: false, hedging: false, max_queue_length: 1_000_000, ..Tuning::default() };
    for load in [0.5, 1.0, 2.0, 5.0] {
        report("with admission", load, &run_load(load, Tuning::default()));
        report("no hedges", load, &run_load(load, Tuning { hedging: false, ..Tuning::default() }));
        report("without admission", load, &run_load(load, no_admission.clone()));
    }
}
