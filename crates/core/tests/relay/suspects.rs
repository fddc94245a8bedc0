//! Tests of the blame for crashes. Nodes observe crashes and answers, and exchange their reports.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use wasabipier_core::names::Fingerprint;
use wasabipier_core::relay::board::{ContentVerdict, RelayBoard};
use wasabipier_core::relay::choice::{PromptPart, PromptSpec};
use wasabipier_core::relay::document::RetryPolicy;
use wasabipier_core::relay::steps::{AttemptEnd, AttemptTally, NextStep};
use wasabipier_core::relay::suspects::{
    CrashId, CrashReport, RunStage, SuspectKey, SuspectLimits, SuspectReport, SuspectTable, suspect_keys,
};

use crate::fixtures::{at, board, config, heartbeat, millis};

/// First part of nearly all prompts.
const COMMON_PART: u64 = 0xc0;
/// Part that crashes the targets that begin to answer it.
const DEADLY_PART: u64 = 0xdead;

/// Returns the keys of request `number`, whose prompt has the shared `parts` and a last part of its own.
fn request_keys(parts: &[u64], number: u64) -> Vec<SuspectKey> {
    let parts = parts.iter().copied().chain([1_000_000 + number]).map(|id| PromptPart { id, tokens: 100 });
    suspect_keys(Fingerprint(number), Some(&PromptSpec { parts: parts.collect() }))
}

/// Returns the keys of request `number` with the common and the deadly part.
fn deadly_request(number: u64) -> Vec<SuspectKey> {
    request_keys(&[COMMON_PART, DEADLY_PART], number)
}

/// Returns the tables of `count` nodes.
fn tables(count: usize) -> Vec<SuspectTable> {
    vec![SuspectTable::new(SuspectLimits::default()); count]
}

/// Lets every node report to every other one.
fn exchange_reports(nodes: &mut [SuspectTable], ms: u64) {
    let reports: Vec<_> = nodes.iter().map(|node| node.reports(at(ms))).collect();
    for node in nodes {
        for reports in &reports {
            node.merge_reports(reports, at(ms));
        }
    }
}

fn refuses(node: &SuspectTable, keys: &[SuspectKey]) -> bool {
    node.find_harmful(keys).next().is_some()
}

/// Makes a table in which the deadly part has crashed three targets, one second apart, and then the common part was
/// answered. The last crash is at second 2.
fn table_with_harmful_part() -> SuspectTable {
    let mut node = SuspectTable::new(SuspectLimits::default());
    for number in 0..3 {
        node.record_crash(&deadly_request(number), CrashId(number), at(number * 1_000));
        node.record_proof(&request_keys(&[COMMON_PART], 100 + number), at(number * 1_000 + 100));
    }
    node
}

// Guards against requests that share a deadly part and are otherwise all different, each of which crashes a target.
#[test]
fn a_part_that_crashed_targets_of_several_nodes_is_refused_by_all_and_sound_requests_are_not() {
    let mut nodes = tables(7);

    for number in 0..3_u64 {
        nodes[number as usize].record_crash(&deadly_request(number), CrashId(number), at(number * 700));
        nodes[5].record_proof(&request_keys(&[COMMON_PART], 100 + number), at(number * 700 + 50));
        exchange_reports(&mut nodes, number * 700 + 100);
        nodes[6].record_proof(&request_keys(&[COMMON_PART], 200 + number), at(number * 700 + 150));
        exchange_reports(&mut nodes, number * 700 + 400);
    }

    for node in &nodes {
        assert!(refuses(node, &deadly_request(50)), "the part is harmful");
        assert!(!refuses(node, &request_keys(&[COMMON_PART], 51)), "the common part is not");
        assert_eq!(node.harmful().len(), 1);
    }
}

// Guards against the refusal of sound requests with a first part that few others have, which was in all crashed calls.
#[test]
fn parts_that_only_occurred_together_are_refused_together_until_one_is_cleared() {
    let mut node = SuspectTable::new(SuspectLimits::default());
    for number in 0..3 {
        node.record_crash(&deadly_request(number), CrashId(number), at(number * 700));
    }
    let sound = request_keys(&[COMMON_PART], 100);
    let refused = (refuses(&node, &deadly_request(50)), refuses(&node, &sound));

    node.record_proof(&sound, at(2_000));

    assert_eq!(refused, (true, false));
    assert!(refuses(&node, &deadly_request(51)));
    assert!(refuses(&node, &request_keys(&[8, DEADLY_PART], 52)), "the deadly part is found by elimination");
}

// Guards against a node that starts after the crashes, or missed the news, and sends the deadly part on.
#[test]
fn a_node_that_has_just_started_learns_harmful_parts_from_one_heartbeat() {
    let node = table_with_harmful_part();
    let mut started = SuspectTable::new(SuspectLimits::default());

    started.merge_reports(&node.reports(at(60_000)), at(60_000));

    assert!(refuses(&started, &deadly_request(50)));
    assert!(!refuses(&started, &request_keys(&[COMMON_PART], 51)));
}

// Guards against blame for sound parts that wait at crashing targets while load rises and hardly any answer begins.
#[test]
fn sound_parts_that_wait_at_crashing_targets_are_not_blamed_for_what_the_deadly_part_explains() {
    let mut node = SuspectTable::new(SuspectLimits::default());
    let popular = request_keys(&[COMMON_PART, 7], 100);

    for number in 0..6 {
        let ms = number * 500;
        node.record_crash(&deadly_request(number), CrashId(number), at(ms));
        if number > 0 {
            node.record_crash(&popular, CrashId(number), at(ms + 1));
        }
    }
    let refused_before_answers = refuses(&node, &popular);
    node.record_proof(&request_keys(&[COMMON_PART], 101), at(3_100));

    assert!(!refused_before_answers, "the deadly part explains these crashes");
    assert!(!refuses(&node, &popular));
    assert!(refuses(&node, &deadly_request(50)));
}

// Guards against blame when a data centre fails and takes all its targets, with requests that wait at many of them.
#[test]
fn targets_that_fail_at_once_make_no_part_harmful() {
    let mut node = SuspectTable::new(SuspectLimits::default());

    for number in 0..40 {
        node.record_crash(&request_keys(&[COMMON_PART], number), CrashId(number), at(number * 5));
    }

    assert!(!refuses(&node, &request_keys(&[COMMON_PART], 100)));
}

/// First parts of prompts, which sound requests have, too.
const FIRST_PARTS: [u64; 5] = [0xa1, 0xa2, 0xa3, 0xa4, 0xa5];
/// Number of targets that one burst of requests with the deadly part crashes.
const BURST_CRASHES: u64 = 8;

/// Lets requests with the deadly part crash targets at three nodes within 60 ms, from `ms` on. The crashes are numbered
/// from `first_crash` on.
fn crash_in_burst(nodes: &mut [SuspectTable], first_crash: u64, ms: u64) {
    for number in 0..BURST_CRASHES {
        let keys = request_keys(&[FIRST_PARTS[number as usize % 5], DEADLY_PART], ms + number);
        nodes[number as usize % 3].record_crash(&keys, CrashId(first_crash + number), at(ms + number * 7));
    }
}

/// Records that other targets in the data centres of these crashes went on.
fn isolate_crashes(nodes: &mut [SuspectTable], crashes: std::ops::Range<u64>, ms: u64) {
    for crash in crashes {
        nodes[crash as usize % 3].record_isolated(CrashId(crash), at(ms));
    }
}

// Guards against requests with a deadly part that come at once: all their crashes are of one moment, and the part was
// blamed after three such bursts only (BUDGET).
#[test]
fn a_part_that_crashes_targets_of_data_centres_that_go_on_is_refused_after_one_burst() {
    let mut nodes = tables(7);

    crash_in_burst(&mut nodes, 0, 0);
    exchange_reports(&mut nodes, 100);
    let refused_early = refuses(&nodes[6], &request_keys(&[FIRST_PARTS[0], DEADLY_PART], 500));
    isolate_crashes(&mut nodes, 0..BURST_CRASHES, 320);
    exchange_reports(&mut nodes, 400);
    exchange_reports(&mut nodes, 500);

    assert!(!refused_early, "it may be an outage");
    for node in &nodes {
        for first in FIRST_PARTS {
            assert!(refuses(node, &request_keys(&[first, DEADLY_PART], 600)));
            assert!(!refuses(node, &request_keys(&[first], 601)), "the first part is not blamed");
        }
        assert!(refuses(node, &request_keys(&[9, DEADLY_PART], 602)), "the deadly part alone is blamed");
        assert_eq!(node.harmful()[0].incidents, SuspectLimits::default().part_incident_limit);
    }
}

// Guards against nodes of earlier releases that send a deadly part on beside nodes that refuse it: they count crashes by
// time alone (BUDGET).
#[test]
fn a_node_that_does_not_read_which_crashes_are_isolated_refuses_the_part_of_a_burst_as_well() {
    let mut nodes = tables(3);
    crash_in_burst(&mut nodes, 0, 5_000);
    exchange_reports(&mut nodes, 5_100);
    isolate_crashes(&mut nodes, 0..BURST_CRASHES, 5_320);
    exchange_reports(&mut nodes, 5_400);
    let mut reports = nodes[0].reports_by_time(at(5_500));
    for crash in reports.iter_mut().flat_map(|report| &mut report.crashes) {
        crash.is_isolated = false;
    }

    let mut earlier = SuspectTable::new(SuspectLimits::default());
    earlier.merge_reports(&reports, at(5_500));
    nodes[1].merge_reports(&earlier.reports(at(5_600)), at(5_600));

    for node in [&earlier, &nodes[1]] {
        assert!(refuses(node, &request_keys(&[9, DEADLY_PART], 600)));
        for first in FIRST_PARTS {
            assert!(!refuses(node, &request_keys(&[first], 601)), "the first part is not blamed");
        }
    }
}

// Guards against trials that crash targets every ten seconds, since bursts of one moment raise the pause no further.
#[test]
fn each_trial_after_a_burst_is_followed_by_a_longer_pause() {
    let mut nodes = tables(3);
    crash_in_burst(&mut nodes, 0, 0);
    exchange_reports(&mut nodes, 100);
    isolate_crashes(&mut nodes, 0..BURST_CRASHES, 320);
    let node = &mut nodes[0];
    exchange_reports(std::slice::from_mut(node), 400);

    let mut trials = Vec::new();
    for ms in (400..120_000).step_by(100) {
        let Some(harmful) = node.harmful().first().cloned() else { continue };
        if node.try_start_trial(&harmful, at(ms)) {
            node.record_crash(&deadly_request(ms), CrashId(ms), at(ms + 50));
            trials.push(ms);
        }
    }

    assert!((1..=3).contains(&trials.len()), "{trials:?}");
}

// Guards against blame for a part that many calls have when a rack or some targets of each data centre fail at once.
#[test]
fn a_part_that_was_proven_sound_is_not_blamed_for_targets_that_fail_at_once() {
    let mut node = SuspectTable::new(SuspectLimits::default());
    node.record_proof(&request_keys(&[COMMON_PART], 1), at(0));

    for number in 0..12 {
        node.record_crash(&request_keys(&[COMMON_PART], 10 + number), CrashId(number), at(60_000 + number * 5));
        node.record_isolated(CrashId(number), at(60_300));
    }

    assert!(!refuses(&node, &request_keys(&[COMMON_PART], 100)));
}

// Guards against blame for a part that few calls have when targets fail at once, a few of which held such calls.
#[test]
fn a_part_in_few_of_the_crashes_of_a_moment_is_not_blamed() {
    let mut node = SuspectTable::new(SuspectLimits::default());

    for number in 0..20 {
        let parts = if number % 5 == 0 { &[COMMON_PART, 7][..] } else { &[COMMON_PART][..] };
        node.record_crash(&request_keys(parts, number), CrashId(number), at(number * 5));
    }
    node.record_proof(&request_keys(&[COMMON_PART], 100), at(200));
    for number in 0..20 {
        node.record_isolated(CrashId(number), at(300));
    }

    assert!(!refuses(&node, &request_keys(&[COMMON_PART, 7], 101)));
}

// Guards against blame for a part that all calls of a data centre have when it fails, and nodes notice that one after the
// other. Some nodes have never seen the part before.
#[test]
fn a_data_centre_that_fails_blames_nothing_whenever_nodes_notice_it() {
    let mut nodes = tables(6);
    nodes[5].record_proof(&request_keys(&[COMMON_PART], 1), at(0));

    for number in 0..24_u64 {
        let (index, ms) = (number as usize % 3, 1_000 + number % 3 * 400 + number);
        nodes[index].record_crash(&request_keys(&[COMMON_PART], 10 + number), CrashId(number), at(ms));
        if number % 3 == 0 {
            // Requests go on at the other data centres.
            nodes[4].record_proof(&request_keys(&[COMMON_PART], 100 + number), at(ms + 50));
        }
    }
    exchange_reports(&mut nodes, 1_900);
    exchange_reports(&mut nodes, 2_000);

    for node in &nodes {
        assert!(!refuses(node, &request_keys(&[COMMON_PART], 200)));
        assert!(node.harmful().is_empty());
    }
}

// Guards against connections that are opened for each crash to look for an outage, which cost targets and callers time.
#[test]
fn an_outage_is_looked_for_only_if_the_blame_depends_on_it() {
    let mut node = SuspectTable::new(SuspectLimits::default());
    node.record_proof(&request_keys(&[COMMON_PART], 1), at(0));
    node.record_crash(&request_keys(&[COMMON_PART], 2), CrashId(1), at(0));
    node.record_crash(&deadly_request(3), CrashId(2), at(0));
    node.record_crash(&deadly_request(4), CrashId(3), at(0));
    node.record_isolated(CrashId(2), at(250));
    let sought = [1, 2, 3].map(|crash| node.is_isolation_sought(CrashId(crash), at(260)));
    node.record_proof(&deadly_request(5), at(400));

    assert_eq!(sought, [false, false, true], "of a sound part, of a crash that is known to be isolated, of another");
    assert!(!node.is_isolation_sought(CrashId(3), at(410)));
}

// Guards against a whole request that reaches its lower limit first and so excuses the part that it contains.
#[test]
fn a_harmful_request_does_not_explain_the_crashes_of_its_parts() {
    let mut node = SuspectTable::new(SuspectLimits::default());

    for crash in 0..2 {
        node.record_crash(&deadly_request(1), CrashId(crash), at(crash * 500));
    }
    let refuses_same_request = refuses(&node, &request_keys(&[], 1));
    node.record_crash(&deadly_request(2), CrashId(2), at(1_000));

    assert!(refuses_same_request);
    assert!(refuses(&node, &deadly_request(3)));
}

// Guards against a sound part that stays refused for good after it was blamed by coincidence.
#[test]
fn a_part_that_was_blamed_wrongly_runs_once_as_a_trial_and_is_cleared_on_all_nodes() {
    let rare = request_keys(&[9], 1);
    let mut boards: Vec<RelayBoard> = ["edge-1", "edge-2", "edge-3"].map(board).into();
    for number in 0..3 {
        boards[0].suspects.record_crash(&rare, CrashId(number), at(number * 1_000));
    }
    let reports = boards[0].suspects.reports(at(2_500));
    for (index, name) in ["edge-1", "edge-2", "edge-3"].into_iter().enumerate() {
        for (other, board) in boards.iter_mut().enumerate().filter(|(other, _)| *other != index) {
            board.members.handle_heartbeat(heartbeat(name, other as u64 + 1), at(12_000));
        }
        boards[index].suspects.merge_reports(&reports, at(2_500));
    }

    let later = request_keys(&[9], 2);
    let verdicts: Vec<_> = boards.iter_mut().map(|board| board.admit_content(&later, at(12_600))).collect();
    let trial_count = verdicts.iter().filter(|verdict| matches!(verdict, ContentVerdict::Trial(_))).count();
    let again = boards.iter_mut().map(|board| board.admit_content(&later, at(12_700)));
    let again_count = again.filter(|verdict| matches!(verdict, ContentVerdict::Trial(_))).count();
    boards[0].suspects.record_proof(&later, at(12_800));
    let reports = boards[0].suspects.reports(at(12_900));
    boards[1].suspects.merge_reports(&reports, at(12_900));
    boards[2].suspects.merge_reports(&reports, at(12_900));

    assert_eq!((trial_count, again_count), (1, 0));
    for board in &mut boards {
        assert_eq!(board.admit_content(&later, at(13_000)), ContentVerdict::Allowed);
    }
}

// Guards against trials that crash a target every few seconds for as long as the deadly part is requested.
#[test]
fn a_deadly_part_has_at_most_two_trials_in_a_minute() {
    let mut node = table_with_harmful_part();
    let mut trial_count = 0;

    for ms in (2_000..62_000).step_by(100) {
        let harmful = node.harmful()[0].clone();
        if node.try_start_trial(&harmful, at(ms)) {
            node.record_crash(&deadly_request(ms), CrashId(ms), at(ms + 50));
            trial_count += 1;
        }
    }

    assert!((1..=2).contains(&trial_count), "{trial_count}");
}

// Guards against a caller whose endless different parts use up memory or displace what is known to be harmful.
#[test]
fn endless_different_parts_take_bounded_memory_and_displace_no_harmful_part() {
    let mut node = table_with_harmful_part();

    for number in 0..1_500_u64 {
        let parts: Vec<u64> = (0..100).map(|part| 0x0010_0000 + number * 100 + part).collect();
        let keys = if number < 40 { request_keys(&parts, number) } else { request_keys(&parts[..1], number) };
        node.record_crash(&keys, CrashId(1_000 + number % 500), at(3_000 + number / 100));
    }

    assert!(node.len() <= SuspectTable::MAX_SUSPECTS);
    assert!(node.reports(at(3_300)).len() <= SuspectTable::MAX_REPORTS);
    assert!(refuses(&node, &deadly_request(50)));
}

// Guards against a reused verdict: content must be forgotten some time after its last crash.
#[test]
fn a_suspect_is_forgotten_after_its_lifetime() {
    let mut node = table_with_harmful_part();

    node.remove_expired(at(2_000) + SuspectLimits::default().suspect_lifetime);

    assert!(node.is_empty());
    assert!(!refuses(&node, &deadly_request(50)));
}

// Guards against a deadly request that is cleared by the first part of its answer, after which its target crashes.
#[test]
fn an_answer_proves_its_content_sound_by_its_end_or_by_going_on_for_a_while() {
    let node = SuspectTable::new(SuspectLimits { proof_time: millis(1_000), ..SuspectLimits::default() });

    let unproven = [RunStage::Waiting, RunStage::Answering(millis(0)), RunStage::Answering(millis(999))];
    let proven = [RunStage::Answering(millis(1_000)), RunStage::Complete];

    assert_eq!(unproven.map(|run| node.is_proof(run)), [false; 3]);
    assert_eq!(proven.map(|run| node.is_proof(run)), [true; 2]);
}

// Guards against connections that are opened to look for a crash although nothing is suspected.
#[test]
fn content_is_suspected_from_its_first_crash_until_a_run_proves_it_sound() {
    let mut node = SuspectTable::new(SuspectLimits::default());
    let keys = deadly_request(1);

    let before = node.is_suspected(&keys);
    node.record_crash(&keys, CrashId(1), at(0));
    let after_crash = node.is_suspected(&keys);
    node.record_proof(&keys, at(100));

    assert_eq!((before, after_crash, node.is_suspected(&keys)), (false, true, false));
}

// Guards against a retry that crashes one more target with a part that is one crash short of being harmful.
#[test]
fn a_part_one_crash_short_of_the_limit_is_nearly_harmful_until_an_answer_exonerates_it() {
    let mut node = SuspectTable::new(SuspectLimits::default());
    node.record_crash(&deadly_request(1), CrashId(1), at(0));
    let after_one_crash = node.is_nearly_harmful(&deadly_request(2));
    node.record_crash(&deadly_request(2), CrashId(2), at(500));
    let after_two_crashes = node.is_nearly_harmful(&deadly_request(3));

    node.record_proof(&request_keys(&[COMMON_PART], 9), at(600));

    assert_eq!((after_one_crash, after_two_crashes), (false, true));
    assert!(!node.is_nearly_harmful(&request_keys(&[COMMON_PART], 10)));
}

// Guards against a refusal that claims "not run" for a request whose earlier attempt may have run.
#[test]
fn harmful_content_is_refused_as_not_run_only_if_no_attempt_ran() {
    let mut fresh = AttemptTally::default();
    let mut tried = AttemptTally { may_have_run_count: 1, ..AttemptTally::default() };

    assert_eq!(fresh.decide(RetryPolicy::AtMostOnce, AttemptEnd::Harmful, 3, true), NextStep::Refuse);
    assert_eq!(tried.decide(RetryPolicy::AtMostOnce, AttemptEnd::Harmful, 3, true), NextStep::Fail);
}

fn report_strategy() -> impl Strategy<Value = SuspectReport> {
    let crash = (0_u64..6, 0_u64..5_000, any::<bool>(), any::<bool>());
    let crash = crash.prop_map(|(crash, age_ms, is_exonerated, is_isolated)| CrashReport {
        crash: CrashId(crash),
        age: Duration::from_millis(age_ms),
        is_exonerated,
        is_isolated,
    });
    (0_u64..4, prop::collection::vec(crash, 1..5))
        .prop_map(|(part, crashes)| SuspectReport { key: SuspectKey::Part(part), crashes })
}

proptest! {
    #![proptest_config(config(300))]

    // Guards against nodes that disagree for good because messages were lost, repeated or overtook each other.
    #[test]
    fn reports_in_any_order_and_repeated_lead_to_the_same_knowledge(
        reports in prop::collection::vec(report_strategy(), 1..12),
        order in any::<prop::sample::Index>(),
    ) {
        let (mut one, mut other) = (SuspectTable::default(), SuspectTable::default());
        one.merge_reports(&reports, at(10_000));
        let start = order.index(reports.len());
        for report in reports[start..].iter().chain(&reports[..start]).rev().chain(&reports) {
            other.merge_reports(std::slice::from_ref(report), at(10_000));
        }

        let knowledge = |table: &SuspectTable| -> BTreeSet<String> {
            table.reports(at(10_000)).iter().map(|report| format!("{report:?}")).collect()
        };
        prop_assert_eq!(knowledge(&one), knowledge(&other));
        let harmful_keys: usize = one.harmful().iter().map(|content| content.keys.len()).sum();
        prop_assert!(one.reports(at(10_000) + millis(3_001)).len() <= harmful_keys);
    }
}
