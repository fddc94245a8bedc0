//! Tests of the choice of the target of a call.

use std::collections::BTreeMap;

use wasabipier_core::names::{DcName, ServiceName, TargetName};
use wasabipier_core::relay::board::{OrderChange, RelayBoard};
use wasabipier_core::relay::choice::{CallRequirements, PromptPart, PromptSpec};
use wasabipier_core::relay::targets::{CallResult, TargetEntry, TargetView};

use crate::fixtures::{at, board, heartbeat, millis, target_entry, version};

/// Number of engines that the nodes know, in three data centres.
const ENGINE_COUNT: usize = 12;

/// Returns a prompt with a first part `shared`, which other prompts may have too, and a last part `own`.
fn prompt(shared: u64, own: u64) -> PromptSpec {
    PromptSpec { parts: vec![PromptPart { id: shared, tokens: 13_300 }, PromptPart { id: own, tokens: 3_720 }] }
}

/// Returns the target that the board chooses at `ms` for a call of the service coachmodel.
fn choose_target(
    board: &mut RelayBoard,
    prompt: Option<&PromptSpec>,
    avoid: &[TargetName],
    ms: u64,
) -> Option<TargetName> {
    let service = ServiceName::new("coachmodel");
    let requirements = CallRequirements {
        service: &service,
        avoid,
        prompt,
        input_bytes_by_dc: &BTreeMap::new(),
        only_unlimited: false,
    };
    board.choose(&requirements, at(ms)).map(|entry| entry.target)
}

/// Returns the state of a node that knows `ENGINE_COUNT` engines.
fn board_with_engines(node: &str) -> RelayBoard {
    let mut board = board(node);
    for engine in 0..ENGINE_COUNT {
        let dc = ["khomas-a", "khomas-b", "khomas-c"][engine % 3];
        board.upsert_target(target_entry(&format!("i-{engine}"), "coachmodel", dc), at(0));
    }
    board
}

#[test]
fn nodes_that_do_not_know_each_other_send_a_shared_prompt_to_the_same_engine() {
    let mut one = board_with_engines("edge-1");
    let mut other = board_with_engines("edge-2");

    for shared in 0..50 {
        let chosen = choose_target(&mut one, Some(&prompt(shared, 900)), &[], 0);
        assert_eq!(chosen, choose_target(&mut other, Some(&prompt(shared, 901)), &[], 0));
    }
}

/// Guards against an overloaded engine, and against engines that process a shared part again without need. Many prompts
/// have the same shared part. They must go to further engines once the preferred engine has a queue, but to few of
/// them, which then have the part cached.
#[test]
fn a_hot_shared_prompt_spreads_only_as_far_as_the_queue_requires() {
    let mut board = board_with_engines("edge-1");
    let mut prompts_by_engine = BTreeMap::new();
    for own in 0..40 {
        let prompt = prompt(1, 1_000 + own);
        let target = choose_target(&mut board, Some(&prompt), &[], own).expect("engines are available");
        let now = at(own);
        let cached_tokens =
            board.prompts.cached_tokens(&prompt, &wasabipier_core::relay::prompts::prefix_keys(&prompt), &target, now);
        board.prompts.record_call(&prompt, &target, now);
        board.targets.record_call_start(&target, prompt.tokens() - cached_tokens, now);
        *prompts_by_engine.entry(target).or_insert(0) += 1;
    }
    assert!((2..=6).contains(&prompts_by_engine.len()), "{prompts_by_engine:?}");
}

/// Guards against nodes that queue long prompts at the same engine: another node has just sent a long prompt to the
/// preferred engine, so the next one must go elsewhere.
#[test]
fn prompts_that_other_nodes_sent_count_as_queued() {
    let mut one = board_with_engines("edge-1");
    let mut other = board_with_engines("edge-2");
    let preferred = choose_target(&mut one, Some(&prompt(1, 1)), &[], 0).expect("engines are available");
    one.targets.record_call_start(&preferred, 100_000, at(0));

    other.handle_heartbeat(one.next_heartbeat(at(1)), at(1));

    assert_ne!(choose_target(&mut other, Some(&prompt(1, 2)), &[], 2), Some(preferred));
}

#[test]
fn prompts_that_a_peer_sent_count_as_cached_until_the_engine_restarts() {
    let mut one = board_with_engines("edge-1");
    let mut other = board_with_engines("edge-2");
    let keys = wasabipier_core::relay::prompts::prefix_keys(&prompt(1, 1));
    let engine = TargetName::new("i-3");
    one.prompts.record_call(&prompt(1, 1), &engine, at(0));

    other.handle_heartbeat(one.next_heartbeat(at(10)), at(10));
    assert_eq!(other.prompts.cached_tokens(&prompt(1, 1), &keys, &engine, at(20)), 17_020);
    assert_eq!(other.prompts.cached_tokens(&prompt(1, 2), &keys[..1], &engine, at(20)), 13_300);

    let mut restarted = target_entry("i-3", "coachmodel", "khomas-a");
    restarted.incarnation = Some(2);
    other.upsert_target(restarted, at(30));
    assert_eq!(other.prompts.cached_tokens(&prompt(1, 1), &keys, &engine, at(40)), 0);
}

#[test]
fn leaving_targets_closed_data_centres_and_removed_entries_get_no_calls() {
    let mut board = board("edge-1");
    board.upsert_target(target_entry("i-a", "coachmodel", "khomas-a"), at(0));
    board.upsert_target(target_entry("i-b", "coachmodel", "khomas-b"), at(0));
    let mut leaving = target_entry("i-c", "coachmodel", "khomas-c");
    leaving.leaving = true;
    board.upsert_target(leaving, at(0));

    board.apply_order(OrderChange::Close(DcName::new("khomas-a")), at(0));
    assert_eq!(choose_target(&mut board, None, &[], 10), Some(TargetName::new("i-b")));

    board.handle_target_removed(&TargetName::new("i-b"), version(2), at(20));
    board.remove_expired(at(20));
    assert_eq!(choose_target(&mut board, None, &[], 20), None);

    board.apply_order(OrderChange::Open(DcName::new("khomas-a")), at(0));
    assert_eq!(choose_target(&mut board, None, &[], 30), Some(TargetName::new("i-a")));
}

#[test]
fn targets_whose_entries_expire_during_a_store_outage_are_kept_for_reregistration() {
    let mut board = board("edge-1");
    board.upsert_target(target_entry("i-a", "coachmodel", "khomas-a"), at(0));
    board.record_store_unreachable();
    board.record_store_answer(at(1_000));

    board.handle_target_removed(&TargetName::new("i-a"), version(2), at(1_100));
    board.remove_expired(at(2_800));
    assert_eq!(choose_target(&mut board, None, &[], 2_800), Some(TargetName::new("i-a")));

    board.remove_expired(at(2_900));
    assert_eq!(
        choose_target(&mut board, None, &[], 2_900),
        None,
        "the target is removed 1.9 seconds after the store recovered"
    );
}

#[test]
fn a_target_with_a_broken_call_backs_off_and_one_that_failed_the_request_is_avoided() {
    let mut board = board("edge-1");
    board.upsert_target(target_entry("i-a", "coachmodel", "khomas-a"), at(0));
    board.upsert_target(target_entry("i-b", "coachmodel", "khomas-b"), at(0));
    let a = TargetName::new("i-a");
    board.targets.record_call_start(&a, 0, at(0));

    board.targets.record_call_end(&a, CallResult::Broken, at(0));

    assert_eq!(choose_target(&mut board, None, &[], 10), Some(TargetName::new("i-b")));
    assert_eq!(choose_target(&mut board, None, &[TargetName::new("i-b")], 10), Some(a));
}

/// Guards against a target that keeps its share of the calls under load although its answers are no answers.
#[test]
fn a_target_that_sends_bytes_that_are_no_answer_backs_off_unless_all_do() {
    let mut board = board("edge-1");
    let (a, b) = (TargetName::new("i-a"), TargetName::new("i-b"));
    for target in [&a, &b] {
        board.upsert_target(target_entry(target.as_str(), "coachmodel", "khomas-a"), at(0));
    }
    // With these calls the other target costs more than one that failed.
    for _ in 0..1_000 {
        board.targets.record_call_start(&b, 0, at(0));
    }
    board.targets.record_call_start(&a, 0, at(0));

    board.targets.record_call_end(&a, CallResult::Garbled, at(0));

    assert_eq!(choose_target(&mut board, None, &[], 249), Some(b.clone()));
    assert_eq!(choose_target(&mut board, None, &[], 250), Some(a), "the backoff is over");
    board.targets.record_call_end(&b, CallResult::Garbled, at(250));
    assert!(choose_target(&mut board, None, &[], 251).is_some(), "one of them is better than none");
}

#[test]
fn loads_of_a_peer_that_is_gone_do_not_count() {
    let mut board = board_with_engines("edge-1");
    let mut peer = heartbeat("edge-2", 1);
    peer.loads = vec![wasabipier_core::relay::members::TargetLoad {
        target: TargetName::new("i-1"),
        in_flight: 5,
        pending_prompt_tokens: 9,
    }];
    board.handle_heartbeat(peer, at(0));
    assert_eq!(board.targets.get(&TargetName::new("i-1")).map(TargetView::total_in_flight), Some(5));

    board.remove_expired(at(0) + millis(2_000));

    assert_eq!(board.targets.get(&TargetName::new("i-1")).map(TargetView::total_in_flight), Some(0));
}

/// Guards against calls to targets that left: the node's last call to the store failed, and since then the node
/// receives the tables from its hub.
#[test]
fn a_store_that_a_hub_reaches_counts_as_reachable_for_its_followers() {
    let mut board = board("edge-1");
    board.upsert_target(target_entry("i-a", "coachmodel", "khomas-a"), at(0));
    board.record_store_unreachable();

    board.record_store_proof(at(0), at(1_000));
    board.handle_target_removed(&TargetName::new("i-a"), version(2), at(9_000));
    board.remove_expired(at(9_000));

    assert_eq!(
        choose_target(&mut board, None, &[], 9_000),
        None,
        "the target left, so that its entry is not expected again"
    );
}

/// Guards against requests to a target that said in an answer that it leaves, after its entry was read again.
#[test]
fn a_target_that_said_that_it_leaves_gets_no_calls_until_another_incarnation_registers() {
    let mut board = board("edge-1");
    let entry = target_entry("i-a", "coachmodel", "khomas-a");
    board.upsert_target(entry.clone(), at(0));

    let is_news = [(), ()].map(|()| board.targets.record_leaving(&entry));
    board.upsert_target(entry.clone(), at(100));
    let chosen = choose_target(&mut board, None, &[], 100);
    board.upsert_target(TargetEntry { incarnation: Some(2), ..entry }, at(200));

    assert_eq!((is_news, chosen), ([true, false], None));
    assert_eq!(choose_target(&mut board, None, &[], 200), Some(TargetName::new("i-a")));
}

/// Guards against calls to a target that has said for how long it wants none, also if there is no other.
#[test]
fn a_target_that_declines_calls_gets_none_until_the_longest_time_that_it_named_is_over() {
    let mut board = board("edge-1");
    let service = ServiceName::new("coachmodel");
    let [first, second] = ["i-a", "i-b"].map(TargetName::new);
    let entries = ["i-a", "i-b"].map(|target| target_entry(target, "coachmodel", "khomas-a"));
    for entry in &entries {
        board.upsert_target(entry.clone(), at(0));
    }

    board.targets.record_decline(&entries[0], millis(2_000), at(0));
    board.targets.record_decline(&entries[0], millis(500), at(100));
    let while_one_declines = (choose_target(&mut board, None, &[], 1_900), board.decline_time(&service, at(1_900)));
    board.targets.record_decline(&entries[1], millis(3_000), at(1_900));
    let while_both_decline = choose_target(&mut board, None, &[], 1_950);
    let decline_time = board.decline_time(&service, at(1_950));

    assert_eq!(while_one_declines, (Some(second), millis(0)));
    assert_eq!(while_both_decline, None);
    assert!((millis(50)..=millis(65)).contains(&decline_time), "{decline_time:?}");
    assert_eq!(choose_target(&mut board, None, &[], 2_000), Some(first));
}
