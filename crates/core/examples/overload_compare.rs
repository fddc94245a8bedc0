//! Deadline attainment of one node at multiples of its targets' capacity, with and without admission.
//!
//! `cargo run --release -p wasabipier-core --example overload_compare`
//!
//! Four stages; the last has 16 places of about a second, so the capacity is 16 requests a second.
//! Targets take the time that they are drawn, whatever their load: the limits are never exceeded.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabipier_core::document::ServiceKind;
use wasabipier_core::prelude::*;

#[path = "../tests/support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, TICK, document};

const CAPACITY: f64 = 16.0;
const RUN: Duration = Duration::from_mins(2);
const DEADLINE: Duration = Duration::from_secs(3);
const SEED: u64 = 11;

fn pipeline() -> Document {
    let pool = |service, kind, targets| PoolSpec { service, kind, targets, limits: (4, 4), ..PoolSpec::default() };
    // Stages run in the order of their names here.
    let pools = [
        pool("a-encoder", ServiceKind::Encode, 2),
        pool("b-retriever", ServiceKind::Retrieve, 2),
        pool("c-reranker", ServiceKind::Rerank, 2),
        pool("d-generator", ServiceKind::Generate, 4),
    ];
    document(&pools, 3)
}

/// Time of a call: log-normal about the stage's median, the same under every policy.
fn draw_time(order: &SendOrder) -> Duration {
    let median_ms = [20.0, 30.0, 40.0, 850.0][order.stage as usize];
    let seed =
        stable_hash(&[order.key.request.as_str().as_bytes(), &order.stage.to_le_bytes(), &order.number.to_le_bytes()]);
    let mut random = fastrand::Rng::with_seed(seed);
    let normal: f64 = (0..12).map(|_| random.f64()).sum::<f64>() - 6.0;
    Duration::from_secs_f64(median_ms * (0.5 * normal).exp() / 1_000.0)
}

#[derive(Debug, Default)]
struct Tally {
    asked: [u32; 3],
    in_time: [u32; 3],
    calls: [u64; 4],
}

fn run(load: f64, tuning: Tuning) -> Tally {
    let mut random = fastrand::Rng::with_seed(SEED);
    let mut node = NodeFixture::serving(pipeline(), tuning);
    let mut tally = Tally::default();
    let mut ends: BTreeMap<(Moment, AttemptId), SendOrder> = BTreeMap::new();
    let mut calls: BTreeMap<CallId, (Priority, Moment)> = BTreeMap::new();
    let start = node.now;
    let mut next_ask = 0.0;
    while node.now.since(start) < RUN {
        while next_ask <= node.now.since(start).as_secs_f64() {
            next_ask -= random.f64().max(1e-9).ln() / (CAPACITY * load);
            let priority = match random.u32(0..10) {
                0..3 => Priority::Interactive,
                3..8 => Priority::Normal,
                _ => Priority::Batch,
            };
            tally.asked[priority as usize] += 1;
            let call = node.ask(&random.u64(..).to_string(), "plan", DEADLINE, priority);
            calls.insert(call, (priority, node.now + DEADLINE));
        }
        let now = node.now;
        for order in node.orders.drain(..) {
            tally.calls[order.stage as usize] += 1;
            let took = draw_time(&order);
            ends.insert((now + took, order.attempt), order);
        }
        let cancelled = std::mem::take(&mut node.cancelled);
        ends.retain(|(_, attempt), _| !cancelled.contains(attempt));
        for attempt in cancelled {
            node.fail(attempt, FailureKind::Broken, true);
        }
        node.advance(TICK);
        finish_due(&mut node, &mut ends);
        for (call, part) in std::mem::take(&mut node.answers) {
            let AnswerPart::Final(answer) = part else { continue };
            let Some((priority, deadline)) = calls.remove(&call) else { continue };
            let in_time = answer.outcome == Outcome::Done && node.now <= deadline;
            tally.in_time[priority as usize] += u32::from(in_time);
        }
    }
    tally
}

/// Ends calls whose time is over; of a stream, shows first that it moves on.
fn finish_due(node: &mut NodeFixture, ends: &mut BTreeMap<(Moment, AttemptId), SendOrder>) {
    let now = node.now;
    let streams: Vec<AttemptId> =
        ends.values().filter(|order| order.kind == ServiceKind::Generate).map(|order| order.attempt).collect();
    for attempt in streams {
        let record = node.core.board().requests.attempt(attempt);
        let silent = record.filter(|record| now.since(record.progress) >= Duration::from_millis(200));
        if let Some(index) = silent.map(|record| record.tokens) {
            node.token(attempt, index);
        }
    }
    while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
        let attempt = entry.remove().attempt;
        node.finish(attempt);
    }
}

fn report(name: &str, load: f64, tally: &Tally) {
    let asked: u32 = tally.asked.iter().sum();
    let in_time: u32 = tally.in_time.iter().sum();
    let share = |priority: usize| 100.0 * f64::from(tally.in_time[priority]) / f64::from(tally.asked[priority].max(1));
    let calls = tally.calls.map(|calls| calls as f64 / f64::from(in_time.max(1)));
    println!(
        "{load:>4} {name:<18} in time {:>5.1} %  goodput {:>5.2}/s  interactive {:>5.1} % normal {:>5.1} % batch {:>5.1} %  \
         calls per answer in time {:.2} {:.2} {:.2} {:.2}",
        100.0 * f64::from(in_time) / f64::from(asked),
        f64::from(in_time) / RUN.as_secs_f64(),
        share(0),
        share(1),
        share(2),
        calls[0],
        calls[1],
        calls[2],
        calls[3],
    );
}

fn main() {
    let unbounded = Tuning { early_refusal: false, hedging: false, queue_bound: 1_000_000, ..Tuning::default() };
    for load in [0.5, 1.0, 2.0, 5.0] {
        report("with admission", load, &run(load, Tuning::default()));
        report("no hedges", load, &run(load, Tuning { hedging: false, ..Tuning::default() }));
        report("without admission", load, &run(load, unbounded.clone()));
    }
}
