//! Several nodes in a simulated world, driven through faults at random against an oracle.
//!
//! `FLEET_CASES` and `FLEET_SEED` run more cases, or others.

#[path = "fleet/fixtures.rs"]
mod fixtures;
#[path = "fleet/healing.rs"]
mod healing;
#[path = "fleet/holders.rs"]
mod holders;
#[path = "fleet/oracle.rs"]
mod oracle;
#[path = "fleet/play.rs"]
mod play;
#[path = "fleet/regressions.rs"]
mod regressions;
#[path = "fleet/table.rs"]
mod table;
#[path = "fleet/targets.rs"]
mod targets;
#[path = "fleet/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wasabipier_core::prelude::*;

use crate::table::TableMode;
use crate::world::{NODES, World};

/// Cases in CI.
const CASES: u32 = 150;
/// Seed in CI.
const SEED: u64 = 20_261_204;

/// What is done to the world, then time passes.
#[derive(Clone, Copy, Debug)]
struct Step {
    deed: Deed,
    span: u64,
}

#[derive(Clone, Copy, Debug)]
enum Deed {
    Wait,
    Ask { node: usize, id: u8, goal: u8, body: u8, deadline: u64 },
    HangUp(usize),
    Pause(usize, u64),
    Crash(usize, Option<u64>),
    Start(usize),
    Stop(usize),
    Cut(usize, usize),
    Mend,
    Network { loss_percent: u32, delay: u64 },
    Table(TableMode),
    Targets(u32),
    CrashTarget(usize, u64),
    Report(usize, usize),
    Promote { node: usize, out: Option<usize>, dc_out: Option<usize> },
    Race(usize, usize),
}

fn deeds() -> BoxedStrategy<Deed> {
    let node = 0..NODES;
    let table = prop_oneof![
        3 => Just(TableMode::Up),
        1 => Just(TableMode::Slow),
        1 => Just(TableMode::Refusing),
        1 => Just(TableMode::Silent),
        1 => Just(TableMode::LosingAnswers),
        1 => Just(TableMode::Delaying),
    ];
    let body = prop_oneof![8 => Just(0_u8), 1 => Just(1_u8), 1 => Just(2_u8)];
    let ask = (node.clone(), 0..8_u8, 0..4_u8, body, 300..6_000_u64)
        .prop_map(|(node, id, goal, body, deadline)| Deed::Ask { node, id, goal, body, deadline });
    let crash = (node.clone(), proptest::option::weighted(0.7, 10..20_000_u64));
    let promote = (node.clone(), proptest::option::of(0..7_usize), proptest::option::of(0..2_usize))
        .prop_map(|(node, out, dc_out)| Deed::Promote { node, out, dc_out });
    prop_oneof![
        3 => Just(Deed::Wait),
        30 => ask,
        2 => node.clone().prop_map(Deed::HangUp),
        2 => (node.clone(), 200..20_000_u64).prop_map(|(node, span)| Deed::Pause(node, span)),
        2 => crash.prop_map(|(node, vacancy)| Deed::Crash(node, vacancy)),
        1 => node.clone().prop_map(Deed::Start),
        1 => node.clone().prop_map(Deed::Stop),
        2 => (node.clone(), node.clone()).prop_map(|(from, to)| Deed::Cut(from, to)),
        2 => Just(Deed::Mend),
        2 => (0..50_u32, 0..2_000_u64).prop_map(|(loss_percent, delay)| Deed::Network { loss_percent, delay }),
        4 => table.prop_map(Deed::Table),
        2 => prop_oneof![Just(0), 0..60_u32].prop_map(Deed::Targets),
        2 => (0..7_usize, 0..3_000_u64).prop_map(|(target, vacancy)| Deed::CrashTarget(target, vacancy)),
        2 => (0..7_usize, node.clone()).prop_map(|(target, node)| Deed::Report(target, node)),
        2 => promote,
        1 => (node.clone(), node).prop_map(|(one, other)| Deed::Race(one, other)),
    ]
    .boxed()
}

/// Seed of the world and its first number of nodes.
#[derive(Clone, Debug)]
struct Setting {
    seed: u64,
    nodes: usize,
}

struct Steps;

#[expect(clippy::renamed_function_params, reason = "the names say what the states are here")]
impl ReferenceStateMachine for Steps {
    type State = Setting;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Setting> {
        (any::<u64>(), 3..=NODES).prop_map(|(seed, nodes)| Setting { seed, nodes }).boxed()
    }

    fn transitions(_: &Setting) -> BoxedStrategy<Step> {
        let span = prop_oneof![4 => 0..100_u64, 3 => 100..1_000_u64, 1 => 1_000..6_000_u64];
        (deeds(), span).prop_map(|(deed, span)| Step { deed, span }).boxed()
    }

    fn apply(setting: Setting, _: &Step) -> Setting {
        setting
    }
}

struct Fleet;

#[expect(clippy::renamed_function_params, reason = "the names say what the states are here")]
impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test(setting: &Setting) -> World {
        World::new(setting.seed, setting.nodes)
    }

    fn apply(mut world: World, _: &Setting, step: Step) -> World {
        act(&mut world, step.deed);
        world.run(step.span);
        world
    }

    fn check_invariants(world: &World, _: &Setting) {
        assert!(world.oracle.violations.is_empty(), "{:#?}", world.oracle.violations);
    }

    fn teardown(mut world: World, setting: Setting) {
        world.heal();
        Self::check_invariants(&world, &setting);
    }
}

fn act(world: &mut World, deed: Deed) {
    match deed {
        Deed::Wait => {}
        Deed::Ask { node, id, goal, body, deadline } => {
            world.ask(node, id, goal, body, deadline);
        }
        Deed::HangUp(node) => world.hang_up(node),
        Deed::Pause(node, span) => world.pause(node, span),
        Deed::Crash(node, vacancy) => world.crash(node, vacancy),
        Deed::Start(node) => world.start(node),
        Deed::Stop(node) => world.stop(node),
        Deed::Cut(from, to) => {
            world.cuts.insert((from, to));
        }
        Deed::Mend => {
            world.cuts.clear();
            world.loss_percent = 0;
            world.delay = 0;
        }
        Deed::Network { loss_percent, delay } => {
            world.loss_percent = loss_percent;
            world.delay = delay;
        }
        Deed::Table(mode) => world.set_table(mode),
        Deed::Targets(percent) => world.quirk_percent = percent,
        Deed::CrashTarget(target, vacancy) => {
            let target = TargetName::new(fixtures::TARGETS[target].0);
            world.crash_target(&target, vacancy);
        }
        Deed::Report(target, node) => world.report(target, node),
        Deed::Promote { node, out, dc_out } => promote(world, node, out, dc_out),
        Deed::Race(one, other) => {
            promote(world, one, Some(one), None);
            promote(world, other, Some(other), None);
        }
    }
}

/// An operator promotes on the revision that operators see.
fn promote(world: &mut World, node: usize, out: Option<usize>, dc_out: Option<usize>) {
    let out: Vec<&str> = out.map(|target| fixtures::TARGETS[target].0).into_iter().collect();
    let dc_out = dc_out.map(|dc| ["east", "west"][dc]);
    let revision = Revision(world.revision().0 + 1);
    world.promote(node, fixtures::document(&out, dc_out), revision);
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn config() -> Config {
    Config {
        cases: number("FLEET_CASES", CASES.into()) as u32,
        rng_seed: RngSeed::Fixed(number("FLEET_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: number("FLEET_SHRINKS", 400) as u32,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn promises_hold_through_faults(sequential 1..80 => Fleet);
}
