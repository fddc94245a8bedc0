//! Tests of limits that hold over all nodes together: the retry budget, and the rate of calls to cold targets. A cold
//! target has started recently and can take little load.

use proptest::prelude::*;
use wasabipier_core::names::ServiceName;
use wasabipier_core::relay::budget::{RetryLedger, RetryLimits};
use wasabipier_core::relay::choice::CallRequirements;
use wasabipier_core::relay::document::RelayService;

use crate::fixtures::{at, board, config, document_index, heartbeat, millis, route, target_entry};

/// Number of nodes that share the retry budget.
const NODE_COUNT: usize = 7;

proptest! {
    #![proptest_config(config(40))]

    /// Guards against a retry storm: a service fails most calls, traffic varies, and every node retries as often as its
    /// share of the budget allows.
    #[test]
    fn retries_of_all_nodes_stay_within_the_budget_in_every_window(seed in any::<u64>(), peak in 1_u64..40) {
        let retry_limits = RetryLimits { ratio: 0.2, slack: 54.0, window: millis(10_000) };
        let service = ServiceName::new("bookings");
        let mut random = fastrand::Rng::with_seed(seed);
        let mut ledgers = vec![RetryLedger::default(); NODE_COUNT];
        let mut requests = vec![0_u32; 400];
        let mut retries = vec![0_u32; 400];
        for tick in 0..400_u64 {
            // Traffic alternates between four seconds at its peak and four seconds with little load.
            let max_new_requests = if (tick / 40) % 2 == 0 { peak } else { 2 };
            for _ in 0..random.u64(0..=max_new_requests) {
                let node = random.usize(..NODE_COUNT);
                let now = at(tick * 100);
                ledgers[node].record_request(&service, &retry_limits, now);
                requests[tick as usize] += 1;
                while random.f64() < 0.7 && ledgers[node].try_take_retry(&service, &retry_limits, NODE_COUNT, now) {
                    retries[tick as usize] += 1;
                }
            }
        }
        for start in 0..300 {
            let retry_count: u32 = retries[start..start + 100].iter().sum();
            let count_requests = |from: usize| requests[from..from + 100].iter().sum::<u32>();
            let max_request_count = count_requests(start)
                .max(count_requests(start.saturating_sub(50)))
                .max(count_requests(start.saturating_sub(100)));
            let limit = retry_limits.ratio * f64::from(max_request_count) + retry_limits.slack;
            prop_assert!(
                f64::from(retry_count) <= limit,
                "{retry_count} retries for {max_request_count} requests exceed the limit of {limit}"
            );
        }
    }

    /// Guards against overload of a target that has just returned: all nodes try to send it all traffic of a service.
    #[test]
    fn calls_of_all_nodes_to_a_cold_target_stay_within_its_rate(
        rate in 1.0_f64..20.0,
        nodes in 1_usize..20,
        seed in any::<u64>(),
    ) {
        let mut random = fastrand::Rng::with_seed(seed);
        let names: Vec<String> = (0..nodes).map(|node| format!("edge-{node}")).collect();
        let mut boards: Vec<_> = names.iter().map(|name| board(name)).collect();
        let service = ServiceName::new("coachmodel");
        for board in &mut boards {
            let mut index = document_index(vec![route("/", "coachmodel")]);
            index.services.insert(service.clone(), RelayService { cold_rate: rate, ..RelayService::default() });
            board.index = index.into();
            let mut cold = target_entry("i-1", "coachmodel", "khomas-a");
            cold.cold_time = millis(60_000);
            board.upsert_target(cold, at(0));
            for name in &names {
                if *name != board.identity.node.to_string() {
                    board.handle_heartbeat(heartbeat(name, 1), at(0));
                }
            }
        }
        let mut calls = Vec::new();
        for ms in 0..1_700_u64 {
            let board = &mut boards[random.usize(..nodes)];
            let requirements = CallRequirements {
                service: &service,
                avoid: &[],
                prompt: None,
                input_bytes_by_dc: &std::collections::BTreeMap::new(),
                only_unlimited: false,
            };
            if let Some(chosen) = board.choose(&requirements, at(ms)) {
                board.targets.record_call_start(&chosen.target, 0, at(ms));
                calls.push(ms);
            }
        }
        // The users allow 1.5 times the rate that the target can take, plus five calls.
        for start in &calls {
            let calls_in_second = calls.iter().filter(|call| (*start..*start + 1_000).contains(call)).count();
            prop_assert!(
                calls_in_second as f64 <= rate * 1.5 + 5.0,
                "{calls_in_second} calls within a second at a rate of {rate}"
            );
        }
        prop_assert!(!calls.is_empty());
    }
}
