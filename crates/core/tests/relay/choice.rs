//! Which target gets a call.

use std::collections::BTreeMap;

use wasabipier_core::names::{DcName, ServiceName, TargetName};
use wasabipier_core::relay::board::{OrderChange, RelayBoard};
use wasabipier_core::relay::choice::{CallRequirements, PromptPart, PromptSpec};
use wasabipier_core::relay::targets::{CallResult, TargetView};

use crate::fixtures::{at, board, entry, heartbeat, millis};

const ENGINES: usize = 12;

fn prompt(shared: u64, own: u64) -> PromptSpec {
    PromptSpec { parts: vec![PromptPart { id: shared, tokens: 13_300 }, PromptPart { id: own, tokens: 3_720 }] }
}

fn choose(board: &mut RelayBoard, prompt: Option<&PromptSpec>, avoid: &[TargetName], ms: u64) -> Option<TargetName> {
    let service = ServiceName::new("coachmodel");
    let requirements = CallRequirements { service: &service, avoid, prompt, inputs: &BTreeMap::new() };
    board.choose(&requirements, at(ms)).map(|entry| entry.target)
}

fn with_engines(node: &str) -> RelayBoard {
    let mut board = board(node);
    for engine in 0..ENGINES {
        let dc = ["khomas-a", "khomas-b", "khomas-c"][engine % 3];
        board.upsert_target(entry(&format!("i-{engine}"), "coachmodel", dc), at(0));
    }
    board
}

#[test]
fn nodes_that_know_nothing_of_each_other_send_a_shared_prompt_to_one_place() {
    let mut one = with_engines("edge-1");
    let mut other = with_engines("edge-2");

    for shared in 0..50 {
        let chosen = choose(&mut one, Some(&prompt(shared, 900)), &[], 0);
        assert_eq!(chosen, choose(&mut other, Some(&prompt(shared, 901)), &[], 0));
    }
}

/// Pattern: one shared prompt gets much of the traffic. It spreads once its home has a queue, and stays where
/// it was read.
#[test]
fn a_hot_prompt_spreads_no_further_than_its_queue_demands() {
    let mut board = with_engines("edge-1");
    let mut used = BTreeMap::new();
    for own in 0..40 {
        let prompt = prompt(1, 1_000 + own);
        let target = choose(&mut board, Some(&prompt), &[], own).expect("engines are open");
        let now = at(own);
        let kept =
            board.prompts.cached_tokens(&prompt, &wasabipier_core::relay::prompts::prefix_keys(&prompt), &target, now);
        board.prompts.record_call(&prompt, &target, now);
        board.targets.start_call(&target, prompt.tokens() - kept, now);
        *used.entry(target).or_insert(0) += 1;
    }
    assert!((2..=6).contains(&used.len()), "{used:?}");
}

/// Pattern: another node has just sent a long prompt; the next one goes elsewhere though its home is there.
#[test]
fn prompts_that_other_nodes_sent_count_as_a_queue() {
    let mut one = with_engines("edge-1");
    let mut other = with_engines("edge-2");
    let home = choose(&mut one, Some(&prompt(1, 1)), &[], 0).expect("engines are open");
    one.targets.start_call(&home, 100_000, at(0));

    other.handle_heartbeat(one.heartbeat(at(1)), at(1));

    assert_ne!(choose(&mut other, Some(&prompt(1, 2)), &[], 2), Some(home));
}

#[test]
fn what_a_peer_sent_is_kept_there_and_forgotten_with_the_engine() {
    let mut one = with_engines("edge-1");
    let mut other = with_engines("edge-2");
    let keys = wasabipier_core::relay::prompts::prefix_keys(&prompt(1, 1));
    let engine = TargetName::new("i-3");
    one.prompts.record_call(&prompt(1, 1), &engine, at(0));

    other.handle_heartbeat(one.heartbeat(at(10)), at(10));
    assert_eq!(other.prompts.cached_tokens(&prompt(1, 1), &keys, &engine, at(20)), 17_020);
    assert_eq!(other.prompts.cached_tokens(&prompt(1, 2), &keys[..1], &engine, at(20)), 13_300);

    let mut reborn = entry("i-3", "coachmodel", "khomas-a");
    reborn.incarnation = Some(2);
    other.upsert_target(reborn, at(30));
    assert_eq!(other.prompts.cached_tokens(&prompt(1, 1), &keys, &engine, at(40)), 0);
}

#[test]
fn leaving_targets_closed_data_centres_and_vanished_entries_get_nothing() {
    let mut board = board("edge-1");
    board.upsert_target(entry("i-a", "coachmodel", "khomas-a"), at(0));
    board.upsert_target(entry("i-b", "coachmodel", "khomas-b"), at(0));
    let mut leaving = entry("i-c", "coachmodel", "khomas-c");
    leaving.leaving = true;
    board.upsert_target(leaving, at(0));

    board.apply_order(OrderChange::Close(DcName::new("khomas-a")));
    assert_eq!(choose(&mut board, None, &[], 10), Some(TargetName::new("i-b")));

    board.handle_target_removed(&TargetName::new("i-b"), at(20));
    board.remove_expired(at(20));
    assert_eq!(choose(&mut board, None, &[], 20), None);

    board.apply_order(OrderChange::Open(DcName::new("khomas-a")));
    assert_eq!(choose(&mut board, None, &[], 30), Some(TargetName::new("i-a")));
}

#[test]
fn entries_that_lapse_while_the_store_is_out_may_come_back() {
    let mut board = board("edge-1");
    board.upsert_target(entry("i-a", "coachmodel", "khomas-a"), at(0));
    board.record_store_unreachable();
    board.record_store_answer(at(1_000));

    board.handle_target_removed(&TargetName::new("i-a"), at(1_100));
    board.remove_expired(at(2_800));
    assert_eq!(choose(&mut board, None, &[], 2_800), Some(TargetName::new("i-a")));

    board.remove_expired(at(2_900));
    assert_eq!(choose(&mut board, None, &[], 2_900), None, "two seconds after the store's return it is gone");
}

#[test]
fn a_target_that_breaks_rests_and_one_that_failed_the_request_is_avoided() {
    let mut board = board("edge-1");
    board.upsert_target(entry("i-a", "coachmodel", "khomas-a"), at(0));
    board.upsert_target(entry("i-b", "coachmodel", "khomas-b"), at(0));
    let a = TargetName::new("i-a");
    board.targets.start_call(&a, 0, at(0));

    board.targets.end_call(&a, CallResult::Broken, at(0));

    assert_eq!(choose(&mut board, None, &[], 10), Some(TargetName::new("i-b")));
    assert_eq!(choose(&mut board, None, &[TargetName::new("i-b")], 10), Some(a));
}

#[test]
fn loads_of_a_peer_that_is_gone_do_not_count() {
    let mut board = with_engines("edge-1");
    let mut peer = heartbeat("edge-2", 1);
    peer.loads = vec![wasabipier_core::relay::members::TargetLoad {
        target: TargetName::new("i-1"),
        in_flight: 5,
        unread_tokens: 9,
    }];
    board.handle_heartbeat(peer, at(0));
    assert_eq!(board.targets.get(&TargetName::new("i-1")).map(TargetView::total_in_flight), Some(5));

    board.remove_expired(at(0) + millis(2_000));

    assert_eq!(board.targets.get(&TargetName::new("i-1")).map(TargetView::total_in_flight), Some(0));
}

/// Pattern: a node whose own call to the store failed once, and that gets the tables from its hub since.
#[test]
fn a_store_that_a_hub_reaches_is_not_out_for_its_followers() {
    let mut board = board("edge-1");
    board.upsert_target(entry("i-a", "coachmodel", "khomas-a"), at(0));
    board.record_store_unreachable();

    board.record_store_proof(at(0), at(1_000));
    board.handle_target_removed(&TargetName::new("i-a"), at(9_000));
    board.remove_expired(at(9_000));

    assert_eq!(choose(&mut board, None, &[], 9_000), None, "it left; its entry does not come back");
}
