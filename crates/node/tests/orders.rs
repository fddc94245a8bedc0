//! Load orders with real processes: engines load what the document wants, and one node at a time sends the orders.

use rustix::process::Signal;
use wasabipier_fakes::test_env::{TestEnv, TestPlan};

/// Returns the document with `model` and two adapters for all targets of `coachmodel`.
fn document_with_model(document: &str, model: &str) -> String {
    let section = "service = coachmodel\n";
    document
        .replace("[environment]\n", "[environment]\nloads_per_minute = 600\n")
        .replace(section, &format!("{section}model = {model}\nadapters = nets lanes\n"))
}

/// Returns the model that each engine loaded last.
fn loaded_models(env: &TestEnv) -> Vec<String> {
    let load_orders = env.targets.values().filter_map(|target| target.orders());
    load_orders
        .map(|orders| orders.executed_orders().last().map(|call| call.load.model.clone()).unwrap_or_default())
        .collect()
}

/// Guards against a node that continues after a pause and sends an order under a lease that another node holds by then.
#[test]
fn a_frozen_holder_does_not_order_beside_its_successor() {
    // Arrange: one engine checks the fencing number, the other ignores it
    let env = TestEnv::start(TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier")));
    let checking_engine = env.targets["coachmodel-1"].orders().expect("an engine");
    checking_engine.set_fencing_check(true);
    let _ = env.promote(1, &document_with_model(&env.document(), "coach-7b"));
    env.wait_until("both engines load", |env| loaded_models(env) == ["coach-7b", "coach-7b"]);

    // Act: the lease holder, the first node by name, is frozen while another model is wanted
    env.send_signal(0, Signal::STOP);
    let _ = env.promote(1, &document_with_model(&env.document(), "coach-13b"));
    env.wait_until("a successor orders", |env| loaded_models(env) == ["coach-13b", "coach-13b"]);
    env.send_signal(0, Signal::CONT);
    env.wait_until("the frozen node has the document", |env| env.status(0).is_some_and(|status| status.revision == 3));

    // Assert
    for orders in env.targets.values().filter_map(|target| target.orders()) {
        let fencing: Vec<u64> = orders.executed_orders().iter().map(|call| call.fencing).collect();
        assert!(fencing.is_sorted(), "{fencing:?}");
    }
    assert_eq!(loaded_models(&env), ["coach-13b", "coach-13b"]);
}
