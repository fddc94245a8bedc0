//! Property test of several nodes in a simulated fleet under random faults. An oracle checks the outcomes.
//!
//! `FLEET_CASES` sets the number of cases, `FLEET_SEED` the seed that the cases are generated from, and
//! `FLEET_SHRINKS` the maximum number of iterations that shrink a failing case.

#[path = "fleet/fixtures.rs"]
mod fixtures;
#[path = "fleet/healing.rs"]
mod healing;
#[path = "fleet/holders.rs"]
mod holders;
#[path = "fleet/oracle.rs"]
mod oracle;
#[path = "fleet/regressions.rs"]
mod regressions;
#[path = "fleet/table.rs"]
mod table;
#[path = "fleet/target_runs.rs"]
mod target_runs;
#[path = "fleet/targets.rs"]
mod targets;
#[path = "fleet/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wasabipier_core::prelude::*;

use crate::table::TableMode;
use crate::world::{MAX_NODES, World};

/// Number of cases if `FLEET_CASES` is not set, as in CI.
const DEFAULT_CASES: u32 = 150;
/// Seed if `FLEET_SEED` is not set, as in CI.
const DEFAULT_SEED: u64 = 20_261_204;

/// An action on the simulated fleet, followed by simulated time.
#[derive(Clone, Copy, Debug)]
struct Step {
    action: StepAction,
    duration_ms: u64,
}

/// A request, an operator's action or a fault. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
enum StepAction {
    Wait,
    /// Sends a caller's request to a node; `goal` and `body` are indices into the goals and bodies of the fixtures.
    SendRequest {
        node: usize,
        id: u8,
        goal: u8,
        body: u8,
        deadline_ms: u64,
    },
    /// Disconnects the caller of the node's latest open request.
    DisconnectCaller(usize),
    /// Holds back all events of a node for the given time.
    PauseNode(usize, u64),
    /// Crashes a node; it restarts after the given downtime, if any.
    CrashNode(usize, Option<u64>),
    StartNode(usize),
    /// Asks a node to stop gracefully.
    StopNode(usize),
    /// Drops peer messages from the first node to the second.
    CutLink(usize, usize),
    /// Ends loss, delays and cut links between peers.
    RestoreNetwork,
    /// Sets the loss and the maximum random delay of peer messages.
    SetNetwork {
        loss_percent: u32,
        max_delay_ms: u64,
    },
    SetTableMode(TableMode),
    /// Sets the percentage of runs at targets that have a random `RunFault`.
    SetTargetFaultPercent(u32),
    /// Crashes a target, which is unreachable for the given time.
    CrashTarget(usize, u64),
    /// Sends a load report from the target (first) to the node (second), which gets it up to 1.5 s late.
    SendLoadReport(usize, usize),
    /// Promotes a document in which the given target and data centre, if any, take no new work.
    Promote {
        node: usize,
        target_out: Option<usize>,
        dc_out: Option<usize>,
    },
    /// Promotes two documents for the same revision through two nodes.
    RacePromotions(usize, usize),
}

/// Generates a random action, with weights that favour requests.
fn step_actions() -> BoxedStrategy<StepAction> {
    let node = 0..MAX_NODES;
    let table_mode = prop_oneof![
        3 => Just(TableMode::Up),
        1 => Just(TableMode::Slow),
        1 => Just(TableMode::Refusing),
        1 => Just(TableMode::Silent),
        1 => Just(TableMode::LosingAnswers),
        1 => Just(TableMode::Delaying),
    ];
    let body = prop_oneof![8 => Just(0_u8), 1 => Just(1_u8), 1 => Just(2_u8)];
    let request = (node.clone(), 0..8_u8, 0..4_u8, body, 300..6_000_u64)
        .prop_map(|(node, id, goal, body, deadline_ms)| StepAction::SendRequest { node, id, goal, body, deadline_ms });
    let crash = (node.clone(), proptest::option::weighted(0.7, 10..20_000_u64));
    let promote = (node.clone(), proptest::option::of(0..7_usize), proptest::option::of(0..2_usize))
        .prop_map(|(node, target_out, dc_out)| StepAction::Promote { node, target_out, dc_out });
    prop_oneof![
        3 => Just(StepAction::Wait),
        30 => request,
        2 => node.clone().prop_map(StepAction::DisconnectCaller),
        2 => (node.clone(), 200..20_000_u64).prop_map(|(node, duration_ms)| StepAction::PauseNode(node, duration_ms)),
        2 => crash.prop_map(|(node, downtime_ms)| StepAction::CrashNode(node, downtime_ms)),
        1 => node.clone().prop_map(StepAction::StartNode),
        1 => node.clone().prop_map(StepAction::StopNode),
        2 => (node.clone(), node.clone()).prop_map(|(from, to)| StepAction::CutLink(from, to)),
        2 => Just(StepAction::RestoreNetwork),
        2 => (0..50_u32, 0..2_000_u64)
            .prop_map(|(loss_percent, max_delay_ms)| StepAction::SetNetwork { loss_percent, max_delay_ms }),
        4 => table_mode.prop_map(StepAction::SetTableMode),
        2 => prop_oneof![Just(0), 0..60_u32].prop_map(StepAction::SetTargetFaultPercent),
        2 => (0..7_usize, 0..3_000_u64).prop_map(|(target, downtime_ms)| StepAction::CrashTarget(target, downtime_ms)),
        2 => (0..7_usize, node.clone()).prop_map(|(target, node)| StepAction::SendLoadReport(target, node)),
        2 => promote,
        1 => (node.clone(), node).prop_map(|(first, second)| StepAction::RacePromotions(first, second)),
    ]
    .boxed()
}

/// Seed of the simulation and number of nodes that run at first.
#[derive(Clone, Debug)]
struct InitialState {
    seed: u64,
    node_count: usize,
}

/// Generates random steps, independent of the state.
struct StepGenerator;

#[expect(clippy::renamed_function_params, reason = "the names say what the states are in this test")]
impl ReferenceStateMachine for StepGenerator {
    type State = InitialState;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<InitialState> {
        (any::<u64>(), 3..=MAX_NODES).prop_map(|(seed, node_count)| InitialState { seed, node_count }).boxed()
    }

    fn transitions(_: &InitialState) -> BoxedStrategy<Step> {
        let duration_ms = prop_oneof![4 => 0..100_u64, 3 => 100..1_000_u64, 1 => 1_000..6_000_u64];
        (step_actions(), duration_ms).prop_map(|(action, duration_ms)| Step { action, duration_ms }).boxed()
    }

    fn apply(initial: InitialState, _: &Step) -> InitialState {
        initial
    }
}

/// Applies the steps to the simulated fleet and checks the oracle's invariants.
struct FleetTest;

#[expect(clippy::renamed_function_params, reason = "the names say what the states are in this test")]
impl StateMachineTest for FleetTest {
    type SystemUnderTest = World;
    type Reference = StepGenerator;

    fn init_test(initial: &InitialState) -> World {
        World::new(initial.seed, initial.node_count)
    }

    fn apply(mut world: World, _: &InitialState, step: Step) -> World {
        apply_step_action(&mut world, step.action);
        world.run(step.duration_ms);
        world
    }

    fn check_invariants(world: &World, _: &InitialState) {
        assert!(world.oracle.violations.is_empty(), "{:#?}", world.oracle.violations);
    }

    fn teardown(mut world: World, initial: InitialState) {
        world.heal_and_check();
        Self::check_invariants(&world, &initial);
    }
}

/// Applies an action to the simulated fleet, without advancing the time.
fn apply_step_action(world: &mut World, action: StepAction) {
    match action {
        StepAction::Wait => {}
        StepAction::SendRequest { node, id, goal, body, deadline_ms } => {
            world.send_request(node, id, goal, body, deadline_ms);
        }
        StepAction::DisconnectCaller(node) => world.disconnect_caller(node),
        StepAction::PauseNode(node, duration_ms) => world.pause_node(node, duration_ms),
        StepAction::CrashNode(node, downtime_ms) => world.crash_node(node, downtime_ms),
        StepAction::StartNode(node) => world.start_node(node),
        StepAction::StopNode(node) => world.stop_node(node),
        StepAction::CutLink(from, to) => {
            world.cut_links.insert((from, to));
        }
        StepAction::RestoreNetwork => {
            world.cut_links.clear();
            world.loss_percent = 0;
            world.max_delay_ms = 0;
        }
        StepAction::SetNetwork { loss_percent, max_delay_ms } => {
            world.loss_percent = loss_percent;
            world.max_delay_ms = max_delay_ms;
        }
        StepAction::SetTableMode(mode) => world.set_table_mode(mode),
        StepAction::SetTargetFaultPercent(percent) => world.fault_percent = percent,
        StepAction::CrashTarget(target, downtime_ms) => {
            let target = TargetName::new(fixtures::TARGETS[target].0);
            world.crash_target(&target, downtime_ms);
        }
        StepAction::SendLoadReport(target, node) => world.send_load_report(target, node),
        StepAction::Promote { node, target_out, dc_out } => promote_next_revision(world, node, target_out, dc_out),
        StepAction::RacePromotions(first, second) => {
            promote_next_revision(world, first, Some(first), None);
            promote_next_revision(world, second, Some(second), None);
        }
    }
}

/// Promotes a document through `node` as the revision after the latest accepted one.
fn promote_next_revision(world: &mut World, node: usize, target_out: Option<usize>, dc_out: Option<usize>) {
    let target_out: Vec<&str> = target_out.map(|target| fixtures::TARGETS[target].0).into_iter().collect();
    let dc_out = dc_out.map(|dc| ["east", "west"][dc]);
    let revision = Revision(world.latest_revision().0 + 1);
    world.promote(node, fixtures::document(&target_out, dc_out), revision);
}

/// Returns the number in an environment variable, or `default` if it is unset or not a number.
fn number_from_env(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns the settings of the property test, with defaults for unset environment variables.
fn config() -> Config {
    Config {
        cases: number_from_env("FLEET_CASES", DEFAULT_CASES.into()) as u32,
        rng_seed: RngSeed::Fixed(number_from_env("FLEET_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: number_from_env("FLEET_SHRINKS", 400) as u32,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn guarantees_hold_under_random_faults(sequential 1..80 => FleetTest);
}
