//! Regression tests: faults that were found, each with the fixed steps that reproduce it.

use wasabipier_core::prelude::*;

use crate::StepAction::{
    self, CrashNode, CrashTarget, RacePromotions, SendRequest, SetTableMode, StartNode, StopNode, Wait,
};
use crate::fixtures::CRASHING_BODY;
use crate::table::TableMode;
use crate::targets::RunFault;
use crate::world::World;

const BOOK_GOAL: u8 = 0;
const GENERATE_GOAL: u8 = 3;
const HARMFUL_BODY: u8 = 2;

/// Returns a fleet of three nodes after `steps`, each an action and the following time in milliseconds.
fn world_after(steps: &[(StepAction, u64)]) -> World {
    let mut world = World::new(1, 3);
    apply_steps(&mut world, steps);
    world
}

fn apply_steps(world: &mut World, steps: &[(StepAction, u64)]) {
    for (action, duration_ms) in steps {
        crate::apply_step_action(world, *action);
        world.run(*duration_ms);
    }
}

fn heal_and_assert(mut world: World) {
    world.heal_and_check();
    assert!(world.oracle.violations.is_empty(), "{:#?}", world.oracle.violations);
}

/// Returns a plain request with the id 1 and a deadline of two seconds.
fn request(node: usize, goal: u8) -> StepAction {
    SendRequest { node, id: 1, goal, body: 0, deadline_ms: 2_000 }
}

/// Returns the outcomes so far, in the order of the calls.
fn outcomes(world: &World) -> Vec<Option<Outcome>> {
    world.oracle.calls.values().map(|call| call.answer.as_ref().map(|answer| answer.outcome)).collect()
}

/// Two documents are promoted for the same revision through one node at the same time.
#[test]
fn loser_of_two_promotions_at_one_node_is_told_the_winner() {
    heal_and_assert(world_after(&[(RacePromotions(1, 1), 2_000)]));
}

/// A node that was asked to stop kept acting under its leases while another node had taken them over.
#[test]
fn leaving_node_and_next_holder_do_not_use_a_lease_at_the_same_time() {
    heal_and_assert(world_after(&[(StopNode(0), 3_000), (Wait, 3_000)]));
}

/// A request arrives two seconds after the node was asked to stop, when callers may still get its address.
#[test]
fn leaving_node_serves_while_its_address_is_handed_out() {
    let world = world_after(&[(StopNode(0), 2_000), (request(0, BOOK_GOAL), 2_000)]);

    assert_eq!(outcomes(&world), [Some(Outcome::Done)]);
    heal_and_assert(world);
}

/// The first node cannot write the claim, as the table service refuses connections. The same request is then done at
/// another node, and sent to the first node again.
#[test]
fn booking_refused_at_one_node_and_done_at_another_is_done_at_the_first() {
    let outage =
        [(SetTableMode(TableMode::Refusing), 100), (request(0, BOOK_GOAL), 100), (SetTableMode(TableMode::Up), 6_000)];
    let later_requests = [(request(1, BOOK_GOAL), 3_000), (request(0, BOOK_GOAL), 3_000)];

    let world = world_after(&[&outage[..], &later_requests[..]].concat());

    assert_eq!(outcomes(&world), [Some(Outcome::NotRun), Some(Outcome::Done), Some(Outcome::Done)]);
    heal_and_assert(world);
}

/// The claim's write takes effect after the node gave up waiting. The same request is later sent to another node.
#[test]
fn booking_with_a_delayed_claim_write_is_unknown_and_then_not_run() {
    let delayed_claim = [
        (SetTableMode(TableMode::Delaying), 10),
        (request(0, BOOK_GOAL), 4_000),
        (SetTableMode(TableMode::Up), 25_000),
    ];

    let world = world_after(&[&delayed_claim[..], &[(request(1, BOOK_GOAL), 3_000)]].concat());

    assert_eq!(outcomes(&world), [Some(Outcome::Unknown), Some(Outcome::NotRun)]);
    heal_and_assert(world);
}

/// A request with the same id and another body is sent to another node after the first was done.
#[test]
fn reused_request_id_is_not_given_the_answer_of_other_content() {
    let other = SendRequest { node: 1, id: 1, goal: BOOK_GOAL, body: 1, deadline_ms: 2_000 };

    let mut world = World::new(1, 3);
    world.forced_duration_ms = Some(100);
    apply_steps(&mut world, &[(request(0, BOOK_GOAL), 3_000), (other, 3_000)]);

    assert_eq!(outcomes(&world), [Some(Outcome::Done), Some(Outcome::NotRun)]);
    heal_and_assert(world);
}

/// Requests at a node that does not read documents from the table service time out until the service recovers.
#[test]
fn node_that_reads_no_document_learns_that_the_table_service_is_back() {
    let outage = [
        (SetTableMode(TableMode::Silent), 10),
        (request(2, BOOK_GOAL), 1_500),
        (request(2, BOOK_GOAL), 1_500),
        (request(2, BOOK_GOAL), 1_500),
    ];

    heal_and_assert(world_after(&outage));
}

/// The only node that is left crashes and restarts, so the seats (shares of the targets' limits) belong to its earlier
/// instance.
#[test]
fn seats_of_an_earlier_instance_are_taken_over() {
    heal_and_assert(world_after(&[
        (CrashNode(1, None), 0),
        (CrashNode(2, None), 20_000),
        (CrashNode(0, Some(10)), 1_000),
    ]));
}

/// All nodes crash soon after the start. The node that is started later must take over the seats of all.
#[test]
fn seats_of_nodes_that_left_before_the_start_are_taken_over() {
    heal_and_assert(world_after(&[
        (CrashNode(0, None), 0),
        (CrashNode(1, None), 0),
        (CrashNode(2, None), 5_000),
        (Wait, 3_000),
    ]));
}

/// After a node restarts, the write that releases a surplus seat of another node takes effect after its timeout.
#[test]
fn seat_with_a_delayed_release_is_not_used_by_two_nodes() {
    let delayed_release = [(CrashNode(2, None), 40_000), (SetTableMode(TableMode::Delaying), 0), (StartNode(2), 3_000)];

    heal_and_assert(world_after(&[&delayed_release[..], &[(SetTableMode(TableMode::Up), 40_000)]].concat()));
}

/// Requests with crashing content wait at all nodes while the first ones crash their targets.
#[test]
fn content_that_waits_while_it_becomes_harmful_is_not_started() {
    let crashing = (1..30).map(|id| SendRequest {
        node: usize::from(id % 3),
        id,
        goal: GENERATE_GOAL,
        body: HARMFUL_BODY,
        deadline_ms: 5_000,
    });
    let steps: Vec<(StepAction, u64)> = crashing.map(|action| (action, 1)).collect();

    let world = world_after(&[steps.as_slice(), &[(Wait, 6_000)]].concat());

    let crashed = world.oracle.starts.iter().filter(|start| &*start.body == CRASHING_BODY);
    let (first, last) =
        (crashed.clone().map(|start| start.started_at).min(), crashed.map(|start| start.started_at).max());
    assert!(last < first.map(|first| first + 400), "first at {first:?}, last at {last:?}");
    heal_and_assert(world);
}

/// Returns requests for bookings at all nodes in turn, with ids from `first`.
fn bookings(first: u8, count: u8) -> Vec<(StepAction, u64)> {
    let booking = |id: u8| SendRequest { node: usize::from(id % 3), id, goal: BOOK_GOAL, body: 0, deadline_ms: 5_000 };
    (first..first + count).map(|id| (booking(id), 300)).collect()
}

/// Connections break while the targets still run the calls, which count against their limits.
#[test]
fn target_limit_holds_when_connections_break_during_calls() {
    let mut world = world_after(&[]);
    world.forced_fault = Some(RunFault::ConnectionBroken);
    world.forced_duration_ms = Some(4_000);

    apply_steps(&mut world, &bookings(1, 40));

    heal_and_assert(world);
}

/// All nodes crash and restart while targets still run the calls of their earlier instances.
#[test]
fn target_limit_holds_while_calls_of_an_earlier_instance_run() {
    let mut world = world_after(&[]);
    world.forced_duration_ms = Some(4_500);

    apply_steps(&mut world, &bookings(1, 6));
    apply_steps(&mut world, &[(CrashNode(0, Some(5)), 0), (CrashNode(1, Some(5)), 0), (CrashNode(2, Some(5)), 300)]);
    apply_steps(&mut world, &bookings(20, 20));

    heal_and_assert(world);
}

/// Both targets of the service crash shortly after a request arrived. The request is then sent to another node.
#[test]
fn outcomes_are_correct_when_targets_crash_during_a_request() {
    heal_and_assert(world_after(&[
        (request(0, BOOK_GOAL), 3),
        (CrashTarget(5, 100), 0),
        (CrashTarget(6, 100), 10),
        (request(1, BOOK_GOAL), 3_000),
    ]));
}
