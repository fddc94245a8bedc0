//! Orders over real processes: engines come to have what the document wants, from one node at a time.

use rustix::process::Signal;
use wasabipier_fakes::test_env::{TestEnv, TestPlan};

fn wanting(document: &str, model: &str) -> String {
    let section = "service = coachmodel\n";
    document
        .replace("[environment]\n", "[environment]\nloads_per_minute = 600\n")
        .replace(section, &format!("{section}model = {model}\nadapters = nets lanes\n"))
}

fn models(env: &TestEnv) -> Vec<String> {
    let books = env.targets.values().filter_map(|target| target.orders());
    books.map(|book| book.carried_out().last().map(|call| call.load.model.clone()).unwrap_or_default()).collect()
}

#[test]
fn a_frozen_holder_does_not_order_beside_its_successor() {
    // Arrange: one engine checks the fencing number, the other ignores it
    let env = TestEnv::start(TestPlan::typical(env!("CARGO_BIN_EXE_wasabipier")));
    let book = env.targets["coachmodel-1"].orders().expect("an engine");
    book.check_fencing(true);
    let _ = env.promote(1, &wanting(&env.document(), "coach-7b"));
    env.wait_until("both engines load", |env| models(env) == ["coach-7b", "coach-7b"]);

    // Act: the holder, the first by name, is frozen while another model is wanted
    env.signal(0, Signal::STOP);
    let _ = env.promote(1, &wanting(&env.document(), "coach-13b"));
    env.wait_until("a successor orders", |env| models(env) == ["coach-13b", "coach-13b"]);
    env.signal(0, Signal::CONT);
    env.wait_until("the frozen node has the document", |env| env.status(0).is_some_and(|status| status.revision == 3));

    // Assert
    for target in env.targets.values().filter_map(|target| target.orders()) {
        let fencing: Vec<u64> = target.carried_out().iter().map(|call| call.fencing).collect();
        assert!(fencing.is_sorted(), "{fencing:?}");
    }
    assert_eq!(models(&env), ["coach-13b", "coach-13b"]);
}
