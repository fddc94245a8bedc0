//! The bound on repeats over all nodes, and on calls to cold targets.

use proptest::prelude::*;
use wasabipier_core::names::ServiceName;
use wasabipier_core::relay::budget::{RetryLedger, RetryLimits};
use wasabipier_core::relay::choice::CallRequirements;
use wasabipier_core::relay::document::RelayService;

use crate::fixtures::{at, board, config, entry, heartbeat, index, millis, route};

const NODES: usize = 7;

proptest! {
    #![proptest_config(config(40))]

    /// Pattern: a service fails most calls while traffic swings, and every node repeats what it may.
    #[test]
    fn repeats_of_all_nodes_stay_within_the_bound_in_every_window(seed in any::<u64>(), peak in 1_u64..40) {
        let bounds = RetryLimits { ratio: 0.2, slack: 54.0, window: millis(10_000) };
        let service = ServiceName::new("bookings");
        let mut random = fastrand::Rng::with_seed(seed);
        let mut ledgers = vec![RetryLedger::default(); NODES];
        let mut requests = vec![0_u32; 400];
        let mut repeats = vec![0_u32; 400];
        for tick in 0..400_u64 {
            // Bursts and lulls of four seconds each.
            let most = if (tick / 40) % 2 == 0 { peak } else { 2 };
            for _ in 0..random.u64(0..=most) {
                let node = random.usize(..NODES);
                let now = at(tick * 100);
                ledgers[node].record_request(&service, &bounds, now);
                requests[tick as usize] += 1;
                while random.f64() < 0.7 && ledgers[node].try_take_retry(&service, &bounds, NODES, now) {
                    repeats[tick as usize] += 1;
                }
            }
        }
        for start in 0..300 {
            let sent: u32 = repeats[start..start + 100].iter().sum();
            let asked = |from: usize| requests[from..from + 100].iter().sum::<u32>();
            let most_asked = asked(start).max(asked(start.saturating_sub(50))).max(asked(start.saturating_sub(100)));
            let bound = bounds.ratio * f64::from(most_asked) + bounds.slack;
            prop_assert!(f64::from(sent) <= bound, "{sent} repeats for {most_asked} requests, at most {bound}");
        }
    }

    /// Pattern: all traffic of a service presses on a target that has just come back.
    #[test]
    fn a_cold_target_gets_few_calls_a_second_over_all_nodes(rate in 1.0_f64..20.0, nodes in 1_usize..20, seed in any::<u64>()) {
        let mut random = fastrand::Rng::with_seed(seed);
        let names: Vec<String> = (0..nodes).map(|node| format!("edge-{node}")).collect();
        let mut boards: Vec<_> = names.iter().map(|name| board(name)).collect();
        let service = ServiceName::new("coachmodel");
        for board in &mut boards {
            let mut index = index(vec![route("/", "coachmodel")]);
            index.services.insert(service.clone(), RelayService { cold_rate: rate, ..RelayService::default() });
            board.index = index.into();
            let mut cold = entry("i-1", "coachmodel", "khomas-a");
            cold.cold_for = millis(60_000);
            board.upsert_target(cold, at(0));
            for name in &names {
                if *name != board.identity.node.to_string() {
                    board.handle_heartbeat(heartbeat(name, 1), at(0));
                }
            }
        }
        let mut calls = Vec::new();
        for step in 0..1_700_u64 {
            let board = &mut boards[random.usize(..nodes)];
            let requirements = CallRequirements { service: &service, avoid: &[], prompt: None, inputs: &std::collections::BTreeMap::new() };
            if let Some(chosen) = board.choose(&requirements, at(step)) {
                board.targets.start_call(&chosen.target, 0, at(step));
                calls.push(step);
            }
        }
        // The users' bound: half more than the target bears, and five.
        for start in &calls {
            let second = calls.iter().filter(|call| (*start..*start + 1_000).contains(call)).count();
            prop_assert!(second as f64 <= rate * 1.5 + 5.0, "{second} calls in a second at {rate}");
        }
        prop_assert!(!calls.is_empty());
    }
}
