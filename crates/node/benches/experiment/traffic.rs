//! Random traffic in bursts, the same for the same seed.

use std::time::Duration;

use wasabipier_fakes::test_env::TestRequest;
use wasabipier_fakes::test_load::ScheduledRequest;

use crate::users::UserPlan;

/// Average requests a second: first between bursts, then in bursts.
const REQUESTS_PER_SECOND: [f64; 2] = [80.0, 400.0];
/// Duration of each phase between bursts and of each burst.
const PHASE_DURATION: Duration = Duration::from_secs(2);

/// Returns the requests that are due within `duration`, the same ones for the same seed.
pub fn create_schedule(user: &UserPlan, seed: u64, duration: Duration) -> Vec<ScheduledRequest> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut due = Duration::ZERO;
    let mut requests = Vec::new();
    loop {
        let phase = (due.as_millis() / PHASE_DURATION.as_millis()) as usize;
        let gap_seconds = -(1.0 - random.f64()).ln() / REQUESTS_PER_SECOND[phase % REQUESTS_PER_SECOND.len()];
        due += Duration::from_secs_f64(gap_seconds);
        if due >= duration {
            return requests;
        }
        let request = draw_request(user, &mut random, &format!("{seed}-{}", requests.len()));
        requests.push(ScheduledRequest { due, request });
    }
}

/// Draws a request by the shares of the mix and the weights of the organisations.
fn draw_request(user: &UserPlan, random: &mut fastrand::Rng, request_id: &str) -> TestRequest {
    let mut remaining = random.f64();
    let found = user.mix.iter().find(|mix| {
        remaining -= mix.share;
        remaining < 0.0
    });
    let mix = found.unwrap_or(&user.mix[0]);
    let weight_sum: u32 = user.orgs.iter().map(|(_, weight)| weight).sum();
    let mut offset = random.u32(0..weight_sum);
    let org = user.orgs.iter().find(|(_, weight)| {
        let is_drawn = offset < *weight;
        offset = offset.saturating_sub(*weight);
        is_drawn
    });
    let body = serde_json::json!({ "prompt": format!("text {}", random.u32(0..200)), "number": random.u32(0..1000) });
    TestRequest {
        org: org.map_or("lions", |(org, _)| org).to_owned(),
        deadline: mix.deadline,
        ..TestRequest::new(mix.goal, request_id, &body.to_string())
    }
}
