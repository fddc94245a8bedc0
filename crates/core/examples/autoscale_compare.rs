//! Compares what rules for the number of targets cost, in target-seconds and late streams, under loads that rise, fall,
//! oscillate and jump.
//!
//! `cargo run --release -p wasabipier-core --example autoscale_compare`
//!
//! Three data centres have 30 targets of 64 slots each at the start, and 26 to 60 afterwards. A target serves 8 s after
//! its order and remains cold for 3 s more. Streams take 1 to 4 s at an idle target, and are late if they take twice
//! as long, which is so from 32 streams at a target on.

#[path = "autoscale_compare/simulation.rs"]
mod simulation;

use simulation::{PATTERNS, ScalingRule, run};

const RUN_SECONDS: u64 = 300;
const SEED: u64 = 7;

fn main() {
    let rules = [
        ("fixed 30", ScalingRule::Fixed(30)),
        ("fixed 60", ScalingRule::Fixed(60)),
        ("proportional", ScalingRule::Proportional(0.4)),
        ("forecast", ScalingRule::Forecast),
    ];
    println!(
        "{:<12} {:<14} {:>14} {:>9} {:>9} {:>7} {:>6}",
        "load", "rule", "target-seconds", "streams", "late", "late %", "most"
    );
    for pattern in &PATTERNS {
        for (name, rule) in rules {
            let cost = run(pattern, rule, RUN_SECONDS, SEED);
            println!(
                "{:<12} {name:<14} {:>14.0} {:>9} {:>9} {:>7.2} {:>6}",
                pattern.name,
                cost.target_seconds,
                cost.streams,
                cost.late,
                100.0 * f64::from(cost.late) / f64::from(cost.streams),
                cost.most_targets,
            );
        }
    }
}
