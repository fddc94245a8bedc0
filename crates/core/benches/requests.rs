//! Measures the time and the allocations of the decisions that each request needs.
//!
//! `cargo bench -p wasabipier-core --bench requests`

use std::alloc::System;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use wasabipier_core::document::ServiceKind;
use wasabipier_core::message::SeatClaim;
use wasabipier_core::picker::{self, CallRequirements};
use wasabipier_core::prefixes::prefix_keys;
use wasabipier_core::prelude::*;

#[path = "../tests/support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, document, identity};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Number of seats of the environment. A seat is the right to a fixed share of every target's limit.
const TOTAL_SEATS: u32 = 132;
/// Number of seats that the node holds.
const OWN_SEATS: u32 = 3;

/// Runs `operation` for `rounds` rounds, and prints the mean time and number of allocations of a round.
fn measure(name: &str, rounds: usize, mut operation: impl FnMut(usize)) {
    let region = Region::new(ALLOCATOR);
    let started = Instant::now();
    for round in 0..rounds {
        operation(round);
    }
    let elapsed = started.elapsed();
    let allocations = region.change().allocations + region.change().reallocations;
    let micros = elapsed.as_secs_f64() * 1e6 / rounds as f64;
    println!("{name:<44} {micros:>9.2} us {:>8.1} allocations", allocations as f64 / rounds as f64);
}

/// Returns a blackboard with `targets` targets, of which all but `free_targets` have no permit for another call left.
fn board_with(targets: usize, free_targets: usize) -> Blackboard {
    let pool = PoolSpec { targets, limits: (64, 64), ..PoolSpec::default() };
    let content = document(&[pool], TOTAL_SEATS);
    let mut board = Blackboard::new(identity("entry-1"), Tuning::default(), 7);
    board.now = Moment(10_000);
    let accepted = AcceptedDocument { revision: Revision(1), content, ..AcceptedDocument::default() };
    wasabipier_core::documents::install(&mut board, accepted.into());
    let seats = (0..OWN_SEATS).map(|seat| SeatClaim { seat, epoch: 1 }).collect();
    board.permits.set_seats(TOTAL_SEATS, seats);
    let names: Vec<TargetName> = board.targets.iter().map(|(name, _)| name.clone()).collect();
    for name in &names[free_targets.min(targets)..] {
        while board.permits.take(name, 64, board.now).is_some() {}
    }
    board
}

/// Measures the choice of a target for a call without a prompt.
fn bench_choose() {
    let none = BTreeSet::new();
    let service = ServiceName::new("clubs");
    for targets in [30, 300, 3_000] {
        for (label, free) in [("idle", targets), ("one in ten free", targets / 10)] {
            let mut board = board_with(targets, free);
            measure(&format!("choose of {targets} targets, {label}"), 2_000, |_| {
                std::hint::black_box(picker::choose(
                    &mut board,
                    &service,
                    CallRequirements { avoid: &none, prefixes: &[] },
                ));
            });
        }
    }
}

/// Measures the choice of a target, with 20,000 prefixes that targets are known to cache.
fn bench_choose_cached() {
    let none = BTreeSet::new();
    let service = ServiceName::new("clubs");
    let prompt = "a season plan ".repeat(300);
    for targets in [30, 300, 3_000] {
        let mut board = board_with(targets, targets);
        let names: Vec<TargetName> = board.targets.iter().map(|(name, _)| name.clone()).collect();
        for number in 0..20_000 {
            let keys = prefix_keys(&service, &number.to_string(), &prompt);
            board.prefixes.record_prefix(keys[0], &names[number % targets], board.now);
        }
        measure(&format!("choose of {targets} targets by a 4 KB prompt"), 2_000, |round| {
            let keys = prefix_keys(&service, &round.to_string(), &prompt);
            let requirements = CallRequirements { avoid: &none, prefixes: &keys };
            std::hint::black_box(picker::choose(&mut board, &service, requirements));
        });
    }
}

/// Returns a serving node with one service of `targets` targets.
fn node_with(targets: usize, kind: ServiceKind, repeatable: bool) -> NodeFixture {
    let pool = PoolSpec { targets, kind, repeatable, limits: (64, 64), ..PoolSpec::default() };
    NodeFixture::serving(document(&[pool], 9), Tuning { max_queue_length: 10_000, ..Tuning::default() })
}

/// Starts requests that stay in flight.
fn start_requests(node: &mut NodeFixture, count: usize) {
    for number in 0..count {
        node.ask(&format!("held-{number}"), "clubs", Duration::from_secs(6), Priority::Normal);
    }
}

/// Measures the admission and the end of requests. A node claims a request in the table service before it runs the
/// request, unless the request is repeatable.
fn bench_requests(repeatable: bool) {
    let label = if repeatable { "repeatable" } else { "claimed" };
    for in_flight in [10, 100, 1_000] {
        let mut node = node_with(300, ServiceKind::Plain, repeatable);
        start_requests(&mut node, in_flight);
        node.sent_attempts.clear();
        let request_ids: Vec<String> = (0..1_000).map(|number| format!("ask-{number}")).collect();
        measure(&format!("admit and send ({label}), {in_flight} in flight"), 1_000, |round| {
            node.ask(&request_ids[round], "clubs", Duration::from_secs(6), Priority::Normal);
        });
        let attempts: Vec<AttemptId> = node.sent_attempts.iter().map(|request| request.attempt).collect();
        measure(&format!("settle an outcome ({label}), {in_flight} in flight"), attempts.len(), |round| {
            node.finish(attempts[round]);
        });
    }
}

/// Measures the relaying of one token of a stream.
fn bench_tokens() {
    for in_flight in [10, 100, 1_000] {
        let mut node = node_with(300, ServiceKind::Generate, true);
        start_requests(&mut node, in_flight);
        let attempt = node.sent_attempts[in_flight / 2].attempt;
        node.answers.reserve(20_000);
        measure(&format!("relay a token, {in_flight} in flight"), 10_000, |round| {
            node.deliver_token(attempt, round as u32);
        });
    }
}

/// Measures a tick.
fn bench_ticks() {
    for targets in [30, 300] {
        let mut node = node_with(targets, ServiceKind::Plain, true);
        start_requests(&mut node, 200);
        measure(&format!("tick, {targets} targets, 200 in flight"), 200, |_| {
            node.advance(fixture::TICK);
        });
    }
}

fn main() {
    bench_choose();
    bench_choose_cached();
    bench_requests(true);
    bench_requests(false);
    bench_tokens();
    bench_ticks();
}
