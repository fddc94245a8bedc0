//! Measures how soon one node raises the limit of a cold target to its warm limit at saturating demand.
//!
//! A target's limit is the number of calls that it may run at once: the cold limit after its start, and the warm limit
//! once enough calls have succeeded.
//!
//! `cargo run --release -p wasabipier-core --example ramp`

use std::collections::BTreeMap;
use std::time::Duration;

use wasabipier_core::prelude::*;

#[path = "../tests/support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, TICK, document};

/// Simulated time after which a measurement is given up.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Returns the simulated time until the calls in flight reach the warm limit, or `None` if they do not within
/// [`TIMEOUT`].
///
/// `limits` are the cold and the warm limit. Each call takes `call_time`.
fn time_to_warm_limit(limits: (u32, u32), call_time: Duration) -> Option<Duration> {
    let pool = PoolSpec { targets: 1, limits, ..PoolSpec::default() };
    let mut node = NodeFixture::serving(document(&[pool], 9), Tuning::default());
    let started = node.now;
    let mut running: BTreeMap<AttemptId, Moment> = BTreeMap::new();
    let mut request_count = 0;
    while node.now.since(started) < TIMEOUT {
        while node.core.board().requests.len() < 2 * limits.1 as usize {
            request_count += 1;
            node.ask(&request_count.to_string(), "clubs", Duration::from_secs(6), Priority::Normal);
        }
        let now = node.now;
        running.extend(node.sent_attempts.drain(..).map(|request| (request.attempt, now + call_time)));
        if running.len() >= limits.1 as usize {
            return Some(now.since(started));
        }
        node.advance(TICK);
        let now = node.now;
        for (attempt, _) in running.extract_if(.., |_, ends_at| *ends_at <= now).collect::<Vec<_>>() {
            node.finish(attempt);
        }
    }
    None
}

fn main() {
    for limits in [(1, 8), (2, 8), (2, 64)] {
        for call_time_ms in [50, 200, 1_000] {
            let time = time_to_warm_limit(limits, Duration::from_millis(call_time_ms));
            let (cold, warm) = limits;
            match time {
                Some(time) => {
                    println!("cold {cold} to warm {warm}, calls of {call_time_ms} ms: {:.2} s", time.as_secs_f64());
                }
                None => println!("cold {cold} to warm {warm}, calls of {call_time_ms} ms: not within {TIMEOUT:?}"),
            }
        }
    }
}
