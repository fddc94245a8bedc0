//! Compares rules for the calls in flight at targets that start: the work served in time in the first 10 s, as a fraction
//! of what an oracle serves that knows how the targets warm up.
//!
//! `cargo run --release -p wasabipier-core --example slow_start_compare`
//!
//! Callers wait at every node. An answer after five times the usual time is lost. The work time of the targets changes
//! every 20 ms.

use wasabipier_core::clock::Moment;
use wasabipier_core::relay::slow_start::{CallCounts, TimedAnswer};

#[path = "../tests/support/slow_start_model.rs"]
mod slow_start_model;

use slow_start_model::{CallRule, LoadPattern, SLOTS, run, slow_start_rule};

const DURATION_MS: u64 = 10_000;
const SEEDS: std::ops::Range<u64> = 0..5;

/// No limit at all.
struct NoLimit;

impl CallRule for NoLimit {
    fn has_room(&self, _counts: CallCounts, _now: Moment) -> bool {
        true
    }

    fn record_answer(&mut self, _answer: TimedAnswer, _own_calls: u32, _now: Moment) {}

    fn record_failure(&mut self, _now: Moment) {}

    fn has_ended(&self) -> bool {
        true
    }
}

/// A limit for all nodes together that rises evenly to the slots, whatever the answers are.
struct FixedRamp {
    started_at: Moment,
}

impl FixedRamp {
    const RAMP_MS: f64 = 10_000.0;
}

impl CallRule for FixedRamp {
    fn has_room(&self, counts: CallCounts, now: Moment) -> bool {
        let progress = now.since(self.started_at).as_secs_f64() * 1e3 / Self::RAMP_MS;
        counts.has_room((f64::from(SLOTS) * progress.min(1.0)).max(2.0))
    }

    fn record_answer(&mut self, _answer: TimedAnswer, _own_calls: u32, _now: Moment) {}

    fn record_failure(&mut self, now: Moment) {
        self.started_at = now;
    }

    fn has_ended(&self) -> bool {
        false
    }
}

/// A limit for the node's own calls that grows by one a round trip and is halved by a late answer.
struct AdditiveIncrease {
    limit: f64,
    fell_at: Moment,
}

impl CallRule for AdditiveIncrease {
    fn has_room(&self, counts: CallCounts, _now: Moment) -> bool {
        f64::from(counts.own) + 1.0 <= self.limit
    }

    fn record_answer(&mut self, answer: TimedAnswer, own_calls: u32, now: Moment) {
        if answer.relative_time <= 1.5 {
            if f64::from(own_calls) * 2.0 >= self.limit {
                self.limit += 1.0 / self.limit;
            }
        } else if answer.sent_at >= self.fell_at {
            (self.limit, self.fell_at) = ((self.limit / 2.0).max(1.0), now);
        }
    }

    fn record_failure(&mut self, now: Moment) {
        (self.limit, self.fell_at) = (1.0, now);
    }

    fn has_ended(&self) -> bool {
        false
    }
}

/// A limit for the node's own calls that follows the ratio of the usual time to that of each answer.
struct Gradient {
    limit: f64,
}

impl CallRule for Gradient {
    fn has_room(&self, counts: CallCounts, _now: Moment) -> bool {
        f64::from(counts.own) + 1.0 <= self.limit
    }

    fn record_answer(&mut self, answer: TimedAnswer, _own_calls: u32, _now: Moment) {
        const SMOOTHING: f64 = 0.2;
        let gradient = (1.5 / answer.relative_time).clamp(0.5, 1.0);
        let limit = self.limit * gradient + self.limit.sqrt();
        self.limit = (self.limit * (1.0 - SMOOTHING) + limit * SMOOTHING).clamp(1.0, f64::from(SLOTS));
    }

    fn record_failure(&mut self, _now: Moment) {
        self.limit = 1.0;
    }

    fn has_ended(&self) -> bool {
        false
    }
}

type NewRule = fn() -> Box<dyn CallRule>;

fn main() {
    let rules: [(&str, NewRule); 5] = [
        ("no limit", || Box::new(NoLimit)),
        ("fixed ramp", || Box::new(FixedRamp { started_at: Moment(0) })),
        ("additive", || Box::new(AdditiveIncrease { limit: 1.0, fell_at: Moment(0) })),
        ("gradient", || Box::new(Gradient { limit: 1.0 })),
        ("slow start", slow_start_rule),
    ];
    let base = LoadPattern::default();
    let patterns = [
        ("warm after 0.5 s", LoadPattern { warm_up_ms: 500, ..base }),
        ("warm after 3 s", base),
        ("warm after 20 s", LoadPattern { warm_up_ms: 20_000, ..base }),
        ("cold again after 4 s", LoadPattern { cold_again_ms: Some(4_000), ..base }),
        ("always 2.5 times slower", LoadPattern { warm_up_ms: 500, pace: 2.5, ..base }),
        ("20 targets, 60 nodes", LoadPattern { nodes: 60, targets: 20, ..base }),
        ("crashes at 3 times its room", LoadPattern { crash_ratio: Some(3.0), ..base }),
    ];
    println!(
        "{:<28} {:<11} {:>6} {:>6} {:>7} {:>6} {:>6}",
        "pattern", "rule", "served", "lost", "crashes", "flood", "ended"
    );
    for (pattern_name, pattern) in patterns {
        for (rule_name, new_rule) in rules {
            let results: Vec<_> = SEEDS.map(|seed| run(pattern, DURATION_MS, seed, &new_rule)).collect();
            let mean = |value: fn(&slow_start_model::RunResult) -> f64| {
                results.iter().map(value).sum::<f64>() / results.len() as f64
            };
            println!(
                "{pattern_name:<28} {rule_name:<11} {:>6.2} {:>6.2} {:>7.1} {:>6.1} {:>6.2}",
                mean(|result| result.served),
                mean(|result| result.lost),
                mean(|result| f64::from(result.crashes)),
                mean(|result| result.flood),
                mean(|result| result.ended),
            );
        }
    }
}
