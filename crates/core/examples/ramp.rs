//! How soon one node brings a cold target to full use, at saturating demand.
//!
//! `cargo run --release -p wasabipier-core --example ramp`

use std::collections::BTreeMap;
use std::time::Duration;

use wasabipier_core::prelude::*;

#[path = "../tests/support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, TICK, document};

const LONGEST: Duration = Duration::from_mins(1);

/// Time until calls in flight reach the warm limit; each call takes `took`.
fn time_to_full(limits: (u32, u32), took: Duration) -> Option<Duration> {
    let pool = PoolSpec { targets: 1, limits, ..PoolSpec::default() };
    let mut node = NodeFixture::serving(document(&[pool], 9), Tuning::default());
    let started = node.now;
    let mut ends: BTreeMap<AttemptId, Moment> = BTreeMap::new();
    let mut asked = 0;
    while node.now.since(started) < LONGEST {
        while node.core.board().requests.len() < 2 * limits.1 as usize {
            asked += 1;
            node.ask(&asked.to_string(), "clubs", Duration::from_secs(6), Priority::Normal);
        }
        let now = node.now;
        ends.extend(node.orders.drain(..).map(|order| (order.attempt, now + took)));
        if ends.len() >= limits.1 as usize {
            return Some(now.since(started));
        }
        node.advance(TICK);
        let now = node.now;
        for (attempt, _) in ends.extract_if(.., |_, end| *end <= now).collect::<Vec<_>>() {
            node.finish(attempt);
        }
    }
    None
}

fn main() {
    for limits in [(1, 8), (2, 8), (2, 64)] {
        for took_ms in [50, 200, 1_000] {
            let time = time_to_full(limits, Duration::from_millis(took_ms));
            let (cold, warm) = limits;
            match time {
                Some(time) => {
                    println!("cold {cold} to warm {warm}, calls of {took_ms} ms: {:.2} s", time.as_secs_f64());
                }
                None => println!("cold {cold} to warm {warm}, calls of {took_ms} ms: not within {LONGEST:?}"),
            }
        }
    }
}
