//! End-to-end requests with real processes: a pipeline, a look-up and a booking.

use wasabipier_fakes::engine::token;
use wasabipier_fakes::test_env::{TestEnv, TestPlan};

fn start_env() -> TestEnv {
    TestEnv::start(TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier")))
}

/// Guards against a kind of request that fails without any fault, and against a repeated booking that runs twice.
#[test]
fn serves_pipeline_lookup_and_booking() {
    // Arrange
    let env = start_env();

    // Act
    let plan = env.ask(0, "pipelines/season-plan", "plan-1", r#"{"prompt":"under-13s"}"#);
    let lookup = env.ask(1, "services/clubs", "club-1", r#"{"club":7}"#);
    let booking = env.ask(2, "services/bookings", "booking-1", r#"{"lane":3}"#);
    let repeated = env.ask(0, "services/bookings", "booking-1", r#"{"lane":3}"#);

    // Assert
    assert_eq!(plan.outcome(), "done", "{plan:?}");
    let reply = plan.final_reply.as_ref().expect("a final reply");
    assert_eq!(plan.text(), reply.answer.as_str().unwrap_or_default());
    assert_eq!(plan.tokens.len(), 12);
    assert!(plan.tokens.iter().enumerate().all(|(index, token)| token.index == index as u32));
    assert_eq!(reply.charges.len(), 4, "one charge for each stage");
    assert!(!token("x", 0).is_empty());
    assert_eq!(lookup.outcome(), "done", "{lookup:?}");
    assert_eq!(booking.outcome(), "done", "{booking:?}");
    assert_eq!(repeated.last_line, booking.last_line, "the recorded answer");
    assert_eq!(env.count_runs("bookings", "booking-1"), 1);
}
