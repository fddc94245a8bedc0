//! Seeded traffic in bursts.

use std::time::Duration;

use wasabipier_fakes::test_env::TestAsk;
use wasabipier_fakes::test_load::DueAsk;

use crate::users::UserPlan;

/// Requests a second between bursts, and in them.
const RATES: [f64; 2] = [80.0, 400.0];
/// Length of each of the two in turn.
const PHASE: Duration = Duration::from_secs(2);

/// Requests over `span`, the same for the same seed.
pub fn schedule(user: &UserPlan, seed: u64, span: Duration) -> Vec<DueAsk> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut due = Duration::ZERO;
    let mut asks = Vec::new();
    loop {
        let phase = (due.as_millis() / PHASE.as_millis()) as usize;
        let wait = -(1.0 - random.f64()).ln() / RATES[phase % RATES.len()];
        due += Duration::from_secs_f64(wait);
        if due >= span {
            return asks;
        }
        let ask = draw(user, &mut random, &format!("{seed}-{}", asks.len()));
        asks.push(DueAsk { due, ask });
    }
}

fn draw(user: &UserPlan, random: &mut fastrand::Rng, request: &str) -> TestAsk {
    let mut rest = random.f64();
    let found = user.mix.iter().find(|mix| {
        rest -= mix.share;
        rest < 0.0
    });
    let mix = found.unwrap_or(&user.mix[0]);
    let total: u32 = user.orgs.iter().map(|(_, weight)| weight).sum();
    let mut place = random.u32(0..total);
    let org = user.orgs.iter().find(|(_, weight)| {
        let here = place < *weight;
        place = place.saturating_sub(*weight);
        here
    });
    let body = serde_json::json!({ "prompt": format!("text {}", random.u32(0..200)), "number": random.u32(0..1000) });
    TestAsk {
        org: org.map_or("lions", |(org, _)| org).to_owned(),
        deadline: mix.deadline,
        ..TestAsk::new(mix.goal, request, &body.to_string())
    }
}
