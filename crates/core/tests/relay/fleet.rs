//! Tests of the communication within a fleet. The boards of simulated nodes exchange heartbeats with the partners that
//! they choose. In a large fleet, the hub of a data centre collects and passes on the information of its nodes.

use std::collections::{BTreeMap, BTreeSet};

use wasabipier_core::names::{DcName, NodeName, ServiceName, TargetName};
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::choice::{CallRequirements, PromptPart, PromptSpec};
use wasabipier_core::relay::fleet::{FleetPartners, MAX_SMALL_FLEET_NODES};
use wasabipier_core::relay::rows::{RowBatch, TableId};
use wasabipier_core::relay::suspects::{CrashId, SuspectKey};

use crate::fixtures::{at, target_entry, version};
use crate::fleet_simulation::{DCS, FleetSimulation};

/// Guards against harmful content that only the nodes near the crashes refuse, and nodes that were down never do.
#[test]
fn harmful_content_is_refused_by_all_nodes_of_a_large_fleet_within_three_rounds() {
    let mut fleet = FleetSimulation::new(61);
    fleet.run_rounds(8);
    let (late, deadly) = (NodeName::new("edge-040"), [SuspectKey::Part(0xdead)]);
    fleet.down.insert(late.clone());
    let followers = ["edge-050", "edge-051", "edge-052"].map(NodeName::new);

    for (number, name) in followers.iter().enumerate() {
        let now = at(fleet.now_ms - 2_000 + number as u64 * 600);
        let board = fleet.boards.get_mut(name).expect("the node is in the fleet");
        board.suspects.record_crash(&deadly, CrashId(number as u64), now);
    }
    fleet.run_rounds(3);
    let refusing = |board: &RelayBoard| board.suspects.find_harmful(&deadly).next().is_some();
    let refusing_count = fleet.live_boards().filter(|(_, board)| refusing(board)).count();
    fleet.down.clear();
    fleet.run_rounds(40);

    assert_eq!(refusing_count, 60);
    assert!(refusing(&fleet.boards[&late]), "the node that was down has learned it");
}

/// Guards against requests with a deadly part that come to many nodes of a large fleet at once, each of which sees one crash
/// and learns of the others later.
#[test]
fn a_part_that_crashes_targets_at_many_nodes_at_once_is_refused_by_all_nodes_of_a_large_fleet_within_three_rounds() {
    let mut fleet = FleetSimulation::new(61);
    fleet.run_rounds(8);
    let deadly = [SuspectKey::Part(0xdead)];
    let moment = at(fleet.now_ms);
    let followers = ["edge-010", "edge-031", "edge-050", "edge-051", "edge-052"].map(NodeName::new);

    for (number, name) in followers.iter().enumerate() {
        let board = fleet.boards.get_mut(name).expect("the node is in the fleet");
        board.suspects.record_crash(&deadly, CrashId(number as u64), moment);
        let later = moment + board.tuning.suspect_limits.incident_window;
        assert!(board.suspects.is_isolation_sought(CrashId(number as u64), later), "{name} knows no other crash");
        board.suspects.record_isolated(CrashId(number as u64), later);
    }
    fleet.run_rounds(3);

    let refusing = fleet.live_boards().filter(|(_, board)| board.suspects.find_harmful(&deadly).next().is_some());
    assert_eq!(refusing.count(), 61);
}

/// Guards against a number of heartbeats that grows with the square of the fleet size. If all of 61 nodes called all
/// others, that would be 3,660 calls a round.
#[test]
fn nodes_of_a_large_fleet_know_each_other_with_few_calls() {
    let mut fleet = FleetSimulation::new(61);
    fleet.run_rounds(8);

    fleet.call_count = 0;
    fleet.run_rounds(5);

    let now = at(fleet.now_ms);
    for (name, board) in fleet.live_boards() {
        assert_eq!(board.addresses(now).len(), 61, "{name} knows all nodes");
    }
    assert_eq!(fleet.hubs().len(), DCS.len());
    // Each node calls its hub once per round, and the hubs call each other.
    assert!(fleet.call_count <= 5 * (61 + 6), "{} calls", fleet.call_count);
}

/// Guards against heartbeats that name all nodes at rest, which took most of a hub's processor and link at 295 nodes.
#[test]
fn heartbeats_of_a_large_fleet_at_rest_tell_of_no_other_nodes() {
    let mut fleet = FleetSimulation::new(150);
    fleet.run_rounds(12);

    fleet.told_count = 0;
    fleet.run_rounds(5);

    assert_eq!(fleet.told_count, 0);
    let now = at(fleet.now_ms);
    assert!(fleet.live_boards().all(|(_, board)| board.addresses(now).len() == 150), "all know all");
}

/// Guards against nodes that seem gone, or stay known for ever, while a fleet is replaced by the next release.
#[test]
fn nodes_of_two_releases_know_each_other_and_notice_who_is_gone() {
    for old_part in [2, 3, 61] {
        let mut fleet = FleetSimulation::new(61);
        fleet.set_old_nodes(old_part);
        fleet.run_rounds(10);
        let now = at(fleet.now_ms);
        for (name, board) in fleet.live_boards() {
            assert_eq!(
                board.addresses(now).len(),
                61,
                "{name} knows all nodes, with {} old ones",
                fleet.old_nodes.len()
            );
        }

        let failed: Vec<NodeName> = fleet.hubs().into_iter().chain([NodeName::new("edge-044")]).collect();
        fleet.down.extend(failed.iter().cloned());
        fleet.run_rounds(20);

        let now = at(fleet.now_ms);
        for (name, board) in fleet.live_boards() {
            assert_eq!(
                board.addresses(now).len(),
                61 - failed.len(),
                "{name}, with {} old nodes",
                fleet.old_nodes.len()
            );
        }
    }
}

/// Guards against a fleet that remains without hubs after all of them lose power at once.
#[test]
fn other_nodes_become_hubs_when_all_hubs_fail() {
    let mut fleet = FleetSimulation::new(61);
    fleet.run_rounds(8);
    let failed = fleet.hubs();

    fleet.down.extend(failed.iter().cloned());
    fleet.run_rounds(12);

    let now = at(fleet.now_ms);
    assert_eq!(fleet.hubs().len(), DCS.len());
    for (name, board) in fleet.live_boards() {
        assert_eq!(board.addresses(now).len(), 58, "{name} reports all remaining nodes and no failed one");
    }
}

/// Guards against nodes that are considered gone although callers can reach them: two data centres cannot reach each
/// other while a third reaches both.
#[test]
fn partitioned_data_centres_know_each_other_through_a_third() {
    let mut fleet = FleetSimulation::new(30);
    fleet.run_rounds(8);

    fleet.partitions.push((DcName::new(DCS[0]), DcName::new(DCS[2])));
    fleet.run_rounds(20);

    let now = at(fleet.now_ms);
    for (name, board) in fleet.live_boards() {
        assert_eq!(board.addresses(now).len(), 30, "{name} reports all nodes to callers");
    }
}

/// Guards against live nodes that stay unknown, dead ones that stay known, and nodes that disagree about who is the hub of a
/// data centre or batches its pieces, after hubs, data centres and single nodes have come and gone in any order.
#[test]
fn nodes_agree_on_the_fleet_soon_after_the_last_of_many_faults() {
    let seeds = std::env::var("WASABIPIER_FLEET_SEEDS").ok().and_then(|count| count.parse().ok()).unwrap_or(4);
    for seed in 0..seeds {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut fleet = FleetSimulation::new(60);
        if random.bool() {
            fleet.set_old_nodes(random.usize(2..4));
        }
        fleet.run_rounds(6);
        for _ in 0..30 {
            if random.u8(..3) == 0 {
                fleet.draw_fault(&mut random);
            }
            fleet.run_round();
        }
        fleet.partitions.clear();
        let down: Vec<NodeName> = fleet.down.iter().cloned().collect();
        for name in down.into_iter().skip(7) {
            fleet.restart(&name, random.u64(..));
        }
        fleet.run_rounds(25);

        let now = at(fleet.now_ms);
        let live = fleet.live_boards().count();
        let service = ServiceName::new("clubs");
        let mut views = BTreeSet::new();
        for (name, board) in fleet.live_boards() {
            assert_eq!(
                board.addresses(now).len(),
                live,
                "seed {seed}: as {name} sees it, {} are down",
                fleet.down.len()
            );
            let dcs = DCS.map(DcName::new);
            let roles =
                dcs.map(|dc| (board.hub(&dc, now).cloned(), board.batching_node_in(&service, &dc, now).cloned()));
            views.insert(roles);
        }
        assert_eq!(views.len(), 1, "seed {seed}: nodes agree on hubs and batching nodes");
    }
}

/// Guards against a live node that seems gone to the whole fleet because it takes another node for its hub: its hub has not
/// answered it in time once.
#[test]
fn a_node_that_leaves_its_hub_for_some_time_stays_known() {
    let mut fleet = FleetSimulation::new(61);
    fleet.run_rounds(8);
    let node = NodeName::new("edge-040");
    let FleetPartners::Only(hubs) = fleet.boards[&node].partners(at(fleet.now_ms)) else {
        panic!("the fleet is large")
    };
    let now = at(fleet.now_ms);

    fleet.boards.get_mut(&node).expect("the node is in the fleet").members.mark_suspected(&hubs[0], now);

    for round in 0..12 {
        fleet.run_round();
        let now = at(fleet.now_ms);
        let known = fleet.live_boards().filter(|(_, board)| board.addresses(now).len() == 61).count();
        // The hub itself has not heard from the node.
        assert!(known >= 60, "{known} nodes know all {round} rounds later");
    }
}

/// Guards against a live node that seems gone. Nodes of a large fleet call some others only now and then, such as the
/// node that batches the pieces of a service, and must not expect regular heartbeats from a node that they called once.
#[test]
fn a_node_that_was_called_once_remains_reachable_without_further_calls() {
    let mut fleet = FleetSimulation::new(61);
    fleet.run_rounds(8);
    let (caller, peer) = (NodeName::new("edge-030"), NodeName::new("edge-001"));

    fleet.exchange_heartbeats(&caller, &peer);

    for round in 0..12 {
        fleet.run_round();
        let now = at(fleet.now_ms);
        let view = fleet.boards[&caller].members.get(&peer).expect("the peer is known");
        assert!(view.is_reachable(now), "the peer seems gone {round} rounds after the call");
    }
}

/// Guards against load that is lost or counted twice when several hubs report it. Every node must see the sum of the
/// loads of all 61 nodes at one target.
#[test]
fn loads_are_counted_once_whichever_hubs_report_them() {
    for old_part in [1, 2, 61] {
        let mut fleet = FleetSimulation::new(61);
        fleet.set_old_nodes(old_part);
        let target = TargetName::new("engine-1");
        for board in fleet.boards.values_mut() {
            board.upsert_target(target_entry("engine-1", "coachmodel", DCS[0]), at(0));
            board.targets.record_call_start(&target, 10, at(0));
        }

        fleet.run_rounds(10);

        for (name, board) in fleet.live_boards() {
            let view = board.targets.get(&target).expect("every node knows the target");
            let seen = (view.total_in_flight(), view.others_pending_prompt_tokens);
            assert_eq!(seen, (61, 600), "as {name} sees it, with {} old nodes", fleet.old_nodes.len());
        }
    }
}

/// Guards against the cost of store calls, which the users pay for: without hubs, each of 61 nodes would keep two calls
/// open at the store.
#[test]
fn only_hubs_read_the_store_while_the_copies_of_other_nodes_are_recent() {
    let mut fleet = FleetSimulation::new(61);
    fleet.run_rounds(8);
    let now = at(fleet.now_ms);
    let batch = RowBatch { rows: Vec::new(), version: version(5), whole: true };
    for board in fleet.boards.values_mut() {
        board.copies.entry(TableId::Targets).or_default().apply(&batch, now);
    }

    let reader_count = |fleet: &FleetSimulation, delay_ms| {
        let reads_store = |board: &RelayBoard| board.reads_store(TableId::Targets, at(fleet.now_ms + delay_ms));
        fleet.live_boards().filter(|(_, board)| reads_store(board)).count()
    };

    assert_eq!(reader_count(&fleet, 100), DCS.len());
    assert_eq!(reader_count(&fleet, 1_500), 61, "each node reads a table that no hub confirms");
}

#[test]
fn every_node_of_a_small_fleet_exchanges_heartbeats_with_all_and_reads_the_store() {
    let mut fleet = FleetSimulation::new(MAX_SMALL_FLEET_NODES);
    fleet.run_rounds(8);
    let now = at(fleet.now_ms);

    assert!(fleet.live_boards().all(|(_, board)| board.partners(now) == FleetPartners::All));
    assert!(fleet.live_boards().all(|(_, board)| board.reads_store(TableId::Orders, now)));
}

/// Guards against many nodes that choose the same idle engine at once: a burst of long prompts arrives, and no engine
/// has a prefix of them cached.
#[test]
fn long_prompts_from_many_nodes_are_spread_over_engines() {
    const ENGINE_COUNT: usize = 140;
    /// Number of prompts that all nodes together send between two load exchanges of the hubs.
    const PROMPTS_PER_HUB_EXCHANGE: usize = 8;
    let mut fleet = FleetSimulation::new(61);
    fleet.run_rounds(8);
    let service = ServiceName::new("coachmodel");
    for board in fleet.boards.values_mut() {
        for engine in 0..ENGINE_COUNT {
            board
                .upsert_target(target_entry(&format!("engine-{engine}"), "coachmodel", DCS[engine % DCS.len()]), at(0));
        }
    }

    let mut prompts_by_engine: BTreeMap<TargetName, usize> = BTreeMap::new();
    let names: Vec<NodeName> = fleet.boards.keys().cloned().collect();
    for (number, name) in names.iter().chain(&names).enumerate() {
        let now = at(fleet.now_ms);
        let hub = match fleet.boards[name].partners(now) {
            FleetPartners::Only(partners) if !fleet.boards[name].is_hub(now) => partners.first().cloned(),
            _ => None,
        };
        if let Some(hub) = &hub {
            fleet.exchange_loads(name, hub);
        }
        let prompt = PromptSpec { parts: vec![PromptPart { id: number as u64, tokens: 13_000 }] };
        let inputs = BTreeMap::new();
        let requirements = CallRequirements {
            service: &service,
            avoid: &[],
            prompt: Some(&prompt),
            input_bytes_by_dc: &inputs,
            only_unlimited: false,
        };
        let board = fleet.boards.get_mut(name).expect("the node is in the fleet");
        let target = board.choose(&requirements, now).expect("engines are available").target;
        board.targets.record_call_start(&target, 13_000, now);
        *prompts_by_engine.entry(target).or_default() += 1;
        if let Some(hub) = &hub {
            fleet.exchange_loads(name, hub);
        }
        if number % PROMPTS_PER_HUB_EXCHANGE == 0 {
            let hubs = fleet.hubs();
            for (one, other) in [(0, 1), (0, 2), (1, 2)] {
                fleet.exchange_loads(&hubs[one], &hubs[other]);
            }
        }
    }

    // There are 122 prompts and 140 engines. Prompts that hubs have not reported to each other yet may go to the same
    // engine.
    let max_prompts = prompts_by_engine.values().max().copied().unwrap_or_default();
    assert!(max_prompts <= DCS.len(), "{max_prompts} prompts were sent to one engine");
    assert!(prompts_by_engine.len() >= 75, "{} engines got prompts", prompts_by_engine.len());
}
