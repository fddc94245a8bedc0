//! Tests of the numbers of targets that are ordered. Patterns of load come from the simulation of the example.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use wasabipier_core::names::{DcName, NodeName, ServiceName, TargetName};
use wasabipier_core::relay::autoscale::{
    Autoscaler, DcLoad, FleetLoad, LoadEvidence, OrderOutcome, OrderTable, ScalePlan, ScaleSubject, ServiceLoad,
};
use wasabipier_core::relay::board::OrderChange;
use wasabipier_core::relay::document::{RelayService, ScalingSpec};
use wasabipier_core::relay::members::TargetLoad;

use crate::fixtures::{at, board, config, document_index, heartbeat, route, target_entry};
use crate::fleet_simulation::FleetSimulation;
use crate::simulation::{PATTERNS, RunCost, ScalingRule, run};

const DCS: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
const SPEC: ScalingSpec = ScalingSpec { min_targets: 26, max_targets: 60, boot_time: Duration::from_secs(8) };

/// Returns the load of 30 targets with 64 slots in each data centre that have these numbers of calls in flight.
fn fleet(in_flight: [u32; 3], closed: Option<usize>) -> FleetLoad {
    let load = |index: usize| DcLoad {
        present: 30,
        in_flight: in_flight[index],
        slots: 30 * 64,
        is_closed: closed == Some(index),
        ..DcLoad::default()
    };
    let service = ServiceLoad {
        spec: SPEC,
        objective: Duration::from_secs(2),
        tokens_per_ms: 50.0,
        cold_time: Duration::from_secs(3),
        dcs: DCS.iter().enumerate().map(|(index, dc)| (DcName::new(*dc), load(index))).collect(),
    };
    let evidence = LoadEvidence { known_nodes: 10, live_nodes: 10, is_told: true, ..LoadEvidence::default() };
    FleetLoad { services: BTreeMap::from([(ServiceName::new("model"), service)]), evidence }
}

/// Decides every half second from `from_s` to `to_s` and returns the last plans.
fn decide_for(autoscaler: &mut Autoscaler, fleet: &FleetLoad, from_s: u64, to_s: u64) -> Vec<ScalePlan> {
    let times = (from_s * 2)..=(to_s * 2);
    times.map(|half_s| autoscaler.decide(fleet, at(half_s * 500))).last().unwrap_or_default()
}

fn desired(plans: &[ScalePlan]) -> Vec<u32> {
    plans.iter().map(|plan| plan.desired).collect()
}

fn subject() -> ScaleSubject {
    ScaleSubject { service: ServiceName::new("model"), dc: DcName::new(DCS[0]) }
}

fn costs(name: &str, rules: [ScalingRule; 2]) -> [RunCost; 2] {
    let pattern = PATTERNS.iter().find(|pattern| pattern.name == name).unwrap();
    rules.map(|rule| run(pattern, rule, 180, 7))
}

/// Guards against paying for idle targets: bursts that the minimum covers must not order more of them.
#[test]
fn bursts_that_the_minimum_covers_order_no_targets() {
    let [rule, fixed] = costs("usual", [ScalingRule::Forecast, ScalingRule::Fixed(30)]);

    assert_eq!((rule.late, rule.most_targets), (0, 90));
    assert!(rule.target_seconds < fixed.target_seconds);
}

/// Guards against orders that follow a load instead of leading it by the time in which targets boot, and against
/// targets that stay after a load has gone.
#[test]
fn loads_that_change_cost_less_than_the_maximum_and_are_later_less_often_than_by_proportion() {
    for pattern in ["rises", "falls", "oscillates", "jumps", "dc closes"] {
        let [rule, proportional] = costs(pattern, [ScalingRule::Forecast, ScalingRule::Proportional(0.4)]);

        assert!(rule.late < proportional.late, "{pattern}: {rule:?} {proportional:?}");
        assert!(rule.target_seconds < 180.0 * 180.0, "{pattern}: {rule:?}");
    }
}

/// Guards against giving up targets between two bursts, and many at once.
#[test]
fn a_tenth_of_the_targets_is_given_up_after_ten_seconds_of_lower_need() {
    let mut autoscaler = Autoscaler::default();
    let high = desired(&decide_for(&mut autoscaler, &fleet([600; 3], None), 0, 20));
    let fallen = fleet([10; 3], None);

    let kept = desired(&decide_for(&mut autoscaler, &fallen, 21, 30));
    let lowered = desired(&decide_for(&mut autoscaler, &fallen, 31, 34));
    let settled = desired(&decide_for(&mut autoscaler, &fallen, 35, 120));

    assert_eq!((high, kept, lowered, settled), (vec![36; 3], vec![36; 3], vec![32; 3], vec![26; 3]));
}

/// Guards against too few targets after the loss of a data centre where the minimum does not cover its share.
#[test]
fn a_reserve_is_ordered_only_where_the_minimum_does_not_cover_it() {
    let covered = decide_for(&mut Autoscaler::default(), &fleet([400; 3], None), 0, 60);
    let uncovered = decide_for(&mut Autoscaler::default(), &fleet([700, 600, 600], None), 0, 60);

    assert_eq!(desired(&covered), vec![26; 3]);
    // 600 calls keep 23.4 targets usefully busy, and half of the largest other share is 13.7 or 11.7.
    assert_eq!(desired(&uncovered), vec![40, 38, 38]);
}

/// Guards against paying for targets of a closed data centre, and against too few where its load goes.
#[test]
fn a_closed_data_centre_gets_the_minimum_and_its_load_moves() {
    let plans = decide_for(&mut Autoscaler::default(), &fleet([600; 3], Some(0)), 0, 5);

    // The other two have 23.4 each, half of that from the closed one, and 23.4 for the loss of the other.
    assert_eq!(desired(&plans), vec![26, 59, 59]);
}

/// Guards against giving up targets that nodes use which this one does not hear, or whose load is old.
#[test]
fn no_targets_are_given_up_while_loads_are_missing() {
    let sufficient = fleet([10; 3], None);
    let insufficient = [
        LoadEvidence { live_nodes: 5, ..sufficient.evidence },
        LoadEvidence { is_told: false, ..sufficient.evidence },
        LoadEvidence { load_age: Duration::from_secs(4), ..sufficient.evidence },
        LoadEvidence { targets_age: Duration::from_secs(4), ..sufficient.evidence },
    ];
    for evidence in insufficient {
        let load = FleetLoad { evidence, ..sufficient.clone() };

        let plans = decide_for(&mut Autoscaler::default(), &load, 0, 60);

        assert_eq!(desired(&plans), vec![30; 3], "{evidence:?}");
    }
}

/// Guards against a new holder that gives up targets which its predecessor had reason to order.
#[test]
fn a_new_holder_begins_with_the_targets_that_are_present() {
    let mut autoscaler = Autoscaler::default();
    decide_for(&mut autoscaler, &fleet([10; 3], None), 0, 60);

    autoscaler.begin_term();
    let plans = decide_for(&mut autoscaler, &fleet([10; 3], None), 61, 69);

    assert_eq!(desired(&plans), vec![30; 3]);
}

proptest! {
    #![proptest_config(config(64))]

    /// Guards against numbers outside the bounds of the document, and against fewer targets than calls in flight fill,
    /// whatever the loads do.
    #[test]
    fn numbers_stay_within_bounds(
        loads in proptest::collection::vec((0_u32..6_000, 0_u64..100_000_000, proptest::option::of(0_usize..3)), 1..60),
    ) {
        let mut autoscaler = Autoscaler::default();
        for (index, (in_flight, tokens, closed)) in loads.into_iter().enumerate() {
            let mut load = fleet([in_flight, in_flight / 2, 0], closed);
            for dc in load.services.values_mut().flat_map(|service| service.dcs.values_mut()) {
                dc.unread_tokens = tokens;
            }

            for plan in autoscaler.decide(&load, at(index as u64 * 1_500)) {
                let filled = plan.basis.in_flight.div_ceil(64).clamp(26, 60);
                prop_assert!((filled..=60).contains(&plan.desired), "{:?}", plan);
                prop_assert!(!plan.basis.is_closed || plan.desired == filled, "{:?}", plan);
                let step = plan.previous.div_ceil(10);
                prop_assert!(plan.basis.is_closed || plan.desired + step >= plan.previous, "{:?}", plan);
            }
        }
    }
}

/// Guards against orders that are lost, sent twice at once, or undone by an older one that is carried out late.
#[test]
fn orders_are_repeated_until_accepted_and_then_from_time_to_time() {
    let mut orders = OrderTable::default();
    orders.begin_term(5);
    orders.set_count(&subject(), 40, at(0));

    let first = orders.next_due(at(0)).unwrap();
    let while_sending = orders.next_due(at(1_000));
    orders.record(&first, OrderOutcome::Unanswered, at(1_000));
    let in_backoff = orders.next_due(at(1_249));
    orders.set_count(&subject(), 45, at(1_249));
    let second = orders.next_due(at(1_250)).unwrap();
    orders.record(&second, OrderOutcome::Accepted, at(1_260));
    let after_lost_answer = orders.next_due(at(4_260)).unwrap();
    orders.record(&after_lost_answer, OrderOutcome::Accepted, at(4_270));
    let early = orders.next_due(at(14_269));
    let repeated = orders.next_due(at(14_270)).unwrap();

    assert_eq!((first.count, first.failures, first.fence), (40, 0, 5));
    assert_eq!((while_sending, in_backoff, early), (None, None, None));
    assert_eq!([second.count, after_lost_answer.count, repeated.count], [45; 3]);
    assert_eq!(second.failures, 1);
}

/// Guards against an outcome under an earlier lease that ends the sending of an order under the present one.
#[test]
fn outcomes_of_an_earlier_lease_are_ignored() {
    let mut orders = OrderTable::default();
    orders.begin_term(5);
    orders.set_count(&subject(), 40, at(0));
    let old = orders.next_due(at(0)).unwrap();

    assert!(orders.begin_term(6) && !orders.begin_term(6));
    orders.set_count(&subject(), 41, at(10));
    let new = orders.next_due(at(10)).unwrap();
    orders.record(&old, OrderOutcome::Accepted, at(20));

    assert_eq!((new.count, new.fence, orders.next_due(at(20_000))), (41, 6, None));
}

/// Guards against loads of other nodes, leaving targets or closed data centres that the decision does not see.
#[test]
fn loads_of_all_nodes_are_summed_by_data_centre() {
    let mut board = board("node-1");
    let mut index = document_index(vec![route("/", "model")]);
    let service = RelayService { scaling: Some(SPEC), ..RelayService::default() };
    index.services.insert(ServiceName::new("model"), service);
    board.apply_order(OrderChange::Document(index), at(0));
    board.apply_order(OrderChange::Close(DcName::new(DCS[1])), at(0));
    for (name, dc) in [("t1", DCS[0]), ("t2", DCS[0]), ("t3", DCS[1])] {
        board.upsert_target(target_entry(name, "model", dc), at(0));
    }
    board.targets.record_leaving(&target_entry("t2", "model", DCS[0]));
    board.targets.record_call_start(&TargetName::new("t1"), 100, at(0));
    let load = TargetLoad { target: TargetName::new("t2"), in_flight: 3, pending_prompt_tokens: 50 };
    board.handle_heartbeat(heartbeat("node-2", 1), at(0));
    board.handle_load_report(&NodeName::new("node-2"), vec![load], at(0));

    let fleet = board.fleet_load(at(500));

    let service = &fleet.services[&ServiceName::new("model")];
    let first = DcLoad { present: 1, leaving: 1, in_flight: 4, unread_tokens: 150, slots: 12, is_closed: false };
    let second = DcLoad { present: 1, slots: 6, is_closed: true, ..DcLoad::default() };
    let expected = BTreeMap::from([(DcName::new(DCS[0]), first), (DcName::new(DCS[1]), second)]);
    assert_eq!((&service.dcs, service.spec), (&expected, SPEC));
    assert_eq!((fleet.evidence.known_nodes, fleet.evidence.live_nodes), (2, 2));
    assert_eq!((fleet.evidence.load_age, fleet.evidence.is_told), (Duration::from_millis(500), true));
}

/// Guards against a holder that gives up targets because its hub does not tell it the calls of engines, as those are
/// placed by hubs.
#[test]
fn candidates_of_a_large_fleet_know_the_calls_of_all_nodes() {
    let mut fleet = FleetSimulation::new(61);
    let mut index = document_index(vec![route("/", "model")]);
    let service = RelayService { has_engines: true, scaling: Some(SPEC), ..RelayService::default() };
    index.services.insert(ServiceName::new("model"), service);
    fleet.run_rounds(8);
    for board in fleet.boards.values_mut() {
        let now = at(fleet.now_ms);
        board.apply_order(OrderChange::Document(index.clone()), now);
        board.upsert_target(target_entry("t1", "model", DCS[0]), now);
        board.targets.record_call_start(&TargetName::new("t1"), 100, now);
    }

    fleet.run_rounds(8);

    let now = at(fleet.now_ms);
    let (candidates, others): (Vec<_>, Vec<_>) =
        fleet.live_boards().partition(|(name, board)| board.is_scaling_candidate(name, now));
    assert_eq!(candidates.len(), 3);
    for (name, board) in candidates {
        let load = board.fleet_load(now);
        let dc = &load.services[&ServiceName::new("model")].dcs[&DcName::new(DCS[0])];
        assert_eq!((dc.in_flight, dc.unread_tokens, load.evidence.is_told), (61, 6_100, true), "{name}");
    }
    assert!(others.iter().all(|(_, board)| board.is_hub(now) || !board.fleet_load(now).evidence.is_told));
}
