//! Tests of a store that is restored from an older copy of itself and gives versions out again.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{DcName, ServiceName, TargetName, VersionName};
use wasabipier_core::relay::access::{AccessClaim, AccessDenial};
use wasabipier_core::relay::board::{OrderChange, RelayBoard};
use wasabipier_core::relay::document::{DocumentIndex, KeyHolder, RelayDocument, RelayRoute, RelayService};
use wasabipier_core::relay::members::{CallVersion, RelayHeartbeat, TableProof};
use wasabipier_core::relay::rollout::{RecordedState, RolloutOrder, RolloutPhase, RolloutWatch};
use wasabipier_core::relay::rows::{BatchFit, RowBatch, SharedRow, TableCopy, TableId};
use wasabipier_core::relay::settled_eras::{EraSettlement, SettlementBasis};
use wasabipier_core::relay::store_version::StoreVersion;
use wasabipier_core::relay::targets::{EntryEffect, TargetEntry};

use crate::fixtures::{at, board, config, heartbeat, millis, route, target_entry};

/// Returns a version of an era.
fn version(era: u64, number: u64) -> StoreVersion {
    StoreVersion { era, number }
}

/// A store whose every state is kept. Each state is the version of each row by key.
#[derive(Clone, Debug, Default)]
struct StoreModel {
    /// All states so far, by version. A state that was lost stays in the list.
    states: BTreeMap<StoreVersion, BTreeMap<u8, StoreVersion>>,
    now: StoreVersion,
}

impl StoreModel {
    fn write(&mut self, key: u8, is_insert: bool) {
        let mut state = self.states.get(&self.now).cloned().unwrap_or_default();
        self.now.number += 1;
        if is_insert {
            state.insert(key, self.now);
        } else {
            state.remove(&key);
        }
        self.states.insert(self.now, state);
    }

    /// Comes back from the state `lost` versions ago.
    fn restore(&mut self, lost: u64) {
        let number = self.now.number.saturating_sub(lost);
        let copied = self
            .states
            .range(..=self.now)
            .rev()
            .find(|(version, _)| version.number <= number && version.era == self.now.era);
        let rows = copied.map(|(_, rows)| rows.clone()).unwrap_or_default();
        let era = self.now.era + 1;
        self.now = version(era, copied.map_or(0, |(version, _)| version.number));
        self.states.insert(self.now, rows.into_iter().map(|(key, row)| (key, version(era, row.number))).collect());
    }

    fn whole_batch(&self, at: StoreVersion) -> RowBatch {
        let rows = self.states.get(&at).cloned().unwrap_or_default();
        RowBatch { rows: rows.into_iter().map(|(key, row)| shared_row(key, row)).collect(), version: at, whole: true }
    }
}

fn shared_row(key: u8, version: StoreVersion) -> SharedRow {
    SharedRow { key: Arc::from(key.to_string()), version, value: Some(Arc::from(&b"x"[..])) }
}

fn row_versions(copy: &TableCopy) -> BTreeMap<u8, StoreVersion> {
    copy.rows().map(|row| (row.key.parse().expect("keys are numbers"), row.version)).collect()
}

proptest! {
    #![proptest_config(config(300))]

    /// Guards against copies that stay at a state that the store has lost, or return to an older era: batches of any
    /// state arrive in any order, from the store and from peers.
    #[test]
    fn copies_follow_the_newest_era_whatever_arrives_late(
        steps in prop::collection::vec((0_u8..5, 0_u8..6, 1_u64..8, any::<prop::sample::Index>()), 1..60),
    ) {
        let mut store = StoreModel::default();
        let mut copies = [TableCopy::default(), TableCopy::default()];
        for (step, key, lost, index) in steps {
            let versions: Vec<StoreVersion> = store.states.keys().copied().collect();
            match step {
                0 | 1 => store.write(key, step == 0),
                2 => store.restore(lost),
                3 if !versions.is_empty() => {
                    // An answer that may be late.
                    let before = copies[0].version();
                    let batch = store.whole_batch(versions[index.index(versions.len())]);
                    copies[0].apply(&batch, at(0));
                    prop_assert_eq!(copies[0].version(), before.max(batch.version));
                }
                _ => {
                    let have = copies[1].version();
                    let batch = copies[0].changes_after(have);
                    if have.era <= copies[0].version().era && batch.version != StoreVersion::NONE {
                        copies[1].apply(&batch, at(0));
                        prop_assert!(copies[1].version() >= copies[0].version());
                    }
                }
            }
            for copy in copies.iter().filter(|copy| copy.version() != StoreVersion::NONE) {
                prop_assert_eq!(&row_versions(copy), &store.states[&copy.version()]);
            }
        }
    }
}

/// Guards against changes of a new era that are applied to rows of an older one.
#[test]
fn changes_of_a_newer_era_need_the_whole_table_and_late_answers_change_nothing() {
    let mut copy = TableCopy::default();
    copy.apply(&RowBatch { rows: vec![shared_row(1, version(0, 9))], version: version(0, 9), whole: true }, at(0));
    let changes =
        |era| RowBatch { rows: vec![shared_row(2, version(era, 12))], version: version(era, 12), whole: false };

    let fit = [0, 1].map(|era| copy.fit(&changes(era)));
    let changed_too_soon = copy.apply(&changes(1), at(100)).len();
    copy.apply(&RowBatch { rows: Vec::new(), version: version(1, 4), whole: true }, at(200));
    copy.record_known_change(version(0, 99), at(300));
    let late = copy.fit(&changes(0));
    let changed_late = copy.apply(&changes(0), at(400)).len();

    assert_eq!(fit, [BatchFit::Applicable, BatchFit::NeedsWholeTable]);
    assert_eq!((changed_too_soon, changed_late, late), (0, 0, BatchFit::Obsolete));
    assert_eq!((copy.version(), copy.confirmed_at(), copy.rows().count()), (version(1, 4), Some(at(200)), 0));
    assert_eq!(copy.outdated_since(), None, "a change of an older era is lost, not missing");
}

/// Returns document `number`, in which only `key` is valid.
fn document(number: u64, key: &str) -> OrderChange {
    let holder = KeyHolder { org: "lions".into(), keys: vec![Arc::from(key)], rank: None };
    let routes = vec![route("/check/", "bookings")];
    let document = RelayDocument { version: number, routes, holders: Some(vec![holder]), ..RelayDocument::default() };
    OrderChange::Document(DocumentIndex::new(document))
}

fn empty_batch(version: StoreVersion, whole: bool) -> RowBatch {
    RowBatch { rows: Vec::new(), version, whole }
}

/// Applies a read of the orders that the store answered at `ms`, with the order in it. Its row was written at `version`.
fn read_order(board: &mut RelayBoard, version: StoreVersion, change: OrderChange, ms: u64) {
    let whole = board.copies.get(&TableId::Orders).is_none_or(|copy| copy.version().era < version.era);
    let value = match &change {
        OrderChange::Document(index) => Some(index.version),
        _ => None,
    };
    let value = value.map(|document| Arc::from(document.to_string().into_bytes()));
    let row = SharedRow { key: Arc::from("order"), version, value };
    let rows = if row.value.is_some() { vec![row] } else { Vec::new() };
    let applied = board.apply_batch(TableId::Orders, &RowBatch { rows, version, whole }, at(ms), at(ms));
    match &applied.replaced {
        Some(replaced) => board.apply_restored_order("order", change, replaced, at(ms)),
        None => board.apply_order(change, at(ms)),
    };
}

/// Records that the store had no change at `ms`.
fn confirm_orders(board: &mut RelayBoard, version: StoreVersion, ms: u64) {
    board.apply_batch(TableId::Orders, &empty_batch(version, false), at(ms), at(ms));
}

fn access(board: &RelayBoard, key: &str, ms: u64) -> Result<(), AccessDenial> {
    let claim = AccessClaim { host: "nets.example", path: "/check/x", key: Some(key) };
    board.check_access(claim, at(ms)).map(|_| ())
}

/// Guards against keys that a store which has lost their revocation seems to confirm.
#[test]
fn a_store_that_has_lost_the_document_proves_nothing_until_it_is_written_again() {
    let mut board = board("edge-1");
    read_order(&mut board, version(0, 7), document(1, "key-1"), 0);
    read_order(&mut board, version(0, 9), document(2, "key-2"), 100);

    read_order(&mut board, version(1, 7), document(1, "key-1"), 3_000);
    confirm_orders(&mut board, version(1, 7), 6_000);
    let soon = [access(&board, "key-1", 3_000), access(&board, "key-2", 3_000)];
    let late = [access(&board, "key-1", 6_000), access(&board, "key-2", 6_000)];
    read_order(&mut board, version(1, 8), document(2, "key-2"), 6_100);

    assert_eq!(soon, [Err(AccessDenial::UnknownKey), Ok(())], "the document before stays in force");
    assert_eq!(late, [Err(AccessDenial::StaleDocument), Err(AccessDenial::StaleDocument)], "a newer one may be lost");
    assert_eq!(access(&board, "key-1", 6_200), Err(AccessDenial::UnknownKey));
    assert_eq!(access(&board, "key-2", 6_200), Ok(()));
}

/// Guards against keys whose revocation the store lost before any node had read it.
#[test]
fn a_document_that_nobody_has_read_before_its_loss_is_waited_for() {
    let mut board = board("edge-1");
    read_order(&mut board, version(0, 7), document(1, "key-1"), 0);

    read_order(&mut board, version(1, 7), document(1, "key-1"), 6_000);
    confirm_orders(&mut board, version(1, 7), 7_000);
    let at_return = access(&board, "key-1", 7_000);
    confirm_orders(&mut board, version(1, 7), 8_000);

    assert_eq!(at_return, Err(AccessDenial::StaleDocument));
    assert_eq!(access(&board, "key-1", 8_000), Ok(()), "what was lost has been written again by now");
}

/// Guards against needless refusals after a return: the operator has written before the node reads.
#[test]
fn a_document_that_has_been_written_again_is_proven_at_once() {
    let mut board = board("edge-1");
    read_order(&mut board, version(0, 9), document(1, "key-1"), 0);

    read_order(&mut board, version(1, 7), document(1, "key-1"), 6_000);

    assert_eq!(access(&board, "key-1", 6_010), Ok(()));
}

/// Guards against a node that starts with the older document, though its peers know a newer one.
#[test]
fn a_node_that_starts_with_a_document_older_than_its_peers_is_not_complete() {
    let mut board = board("edge-2");
    board.apply_batch(TableId::Targets, &empty_batch(version(1, 7), true), at(0), at(0));
    read_order(&mut board, version(1, 7), document(1, "key-1"), 0);
    board.record_settled_row(version(1, 7));
    let proof = TableProof {
        table: TableId::Orders,
        version: version(0, 9),
        last_change_version: version(0, 9),
        newest_row_version: version(0, 9),
        age_ms: 0,
    };
    let peer = |sequence| {
        let mut heartbeat = heartbeat("edge-1", sequence);
        (heartbeat.proofs, heartbeat.document_version) = (vec![proof], 2);
        heartbeat
    };

    let was_complete = board.can_serve(at(0), at(510));
    board.handle_heartbeat(peer(1), at(520));
    let is_complete = board.can_serve(at(0), at(530));
    let access_before = access(&board, "key-1", 530);
    read_order(&mut board, version(1, 8), document(2, "key-2"), 1_000);
    board.handle_heartbeat(peer(2), at(1_010));

    assert!(was_complete && !is_complete);
    assert_eq!(access_before, Err(AccessDenial::NoDocument));
    assert!(board.can_serve(at(0), at(1_020)));
    assert_eq!(
        [access(&board, "key-1", 1_020), access(&board, "key-2", 1_020)],
        [Err(AccessDenial::UnknownKey), Ok(())]
    );
}

/// Guards against work for a data centre that was closed, while its order is lost.
#[test]
fn a_closed_data_centre_stays_closed_until_its_order_is_written_again_or_withdrawn() {
    let dc = DcName::new("khomas-b");
    let closed_board = || {
        let mut board = board("edge-1");
        read_order(&mut board, version(0, 9), OrderChange::Close(dc.clone()), 0);
        read_order(&mut board, version(1, 5), OrderChange::Open(dc.clone()), 1_000);
        board
    };
    let is_closed = |board: &RelayBoard| board.closed_dcs.contains(&dc);

    let (mut rewritten, mut withdrawn, mut forgotten) = (closed_board(), closed_board(), closed_board());
    read_order(&mut rewritten, version(1, 6), OrderChange::Close(dc.clone()), 2_000);
    read_order(&mut withdrawn, version(1, 6), OrderChange::Open(dc.clone()), 2_000);
    let is_forgotten_closed = is_closed(&forgotten);
    for board in [&mut rewritten, &mut withdrawn, &mut forgotten] {
        board.apply_withheld_orders(at(60_000));
    }

    assert!(is_forgotten_closed);
    assert_eq!([&rewritten, &withdrawn, &forgotten].map(is_closed), [true, false, false]);
}

/// Returns an entry with the sequence number `sequence` in a row of `era`.
fn entry(era: u64, sequence: u64, leaving: bool) -> TargetEntry {
    TargetEntry {
        sequence: Some(sequence),
        row_version: version(era, sequence),
        leaving,
        ..target_entry("i-1", "bookings", "khomas-a")
    }
}

/// Guards against requests to targets that have said that they leave, after the store was restored with an older entry.
#[test]
fn a_target_that_leaves_or_has_left_is_not_used_again_because_of_a_restored_entry() {
    let target = TargetName::new("i-1");
    let (mut left, mut leaving) = (board("edge-1"), board("edge-1"));
    for board in [&mut left, &mut leaving] {
        board.upsert_target(entry(0, 3, false), at(0));
        board.upsert_target(entry(0, 7, true), at(100));
    }
    left.handle_target_removed(&target, version(0, 9), at(200));
    left.remove_expired(at(200));

    let effects = [&mut left, &mut leaving].map(|board| board.upsert_target(entry(1, 3, false), at(1_000)));
    let is_used = [&left, &leaving].map(|board| board.has_target(&ServiceName::new("bookings")));
    let new_incarnation = TargetEntry { incarnation: Some(2), ..entry(1, 1, false) };
    let restarted = left.upsert_target(new_incarnation, at(2_000));
    let written_again = leaving.upsert_target(entry(1, 8, false), at(2_000));

    assert_eq!(effects, [EntryEffect::Outdated; 2]);
    assert_eq!(is_used, [false, false]);
    assert_eq!((restarted, written_again), (EntryEffect::NewTarget, EntryEffect::Updated));
}

/// Guards against a cold target that counts as warm, since the store was restored with the entry of its process before.
#[test]
fn an_entry_of_an_earlier_incarnation_with_which_the_store_was_restored_says_nothing() {
    let (mut running, mut gone) = (board("edge-1"), board("edge-1"));
    let restarted = TargetEntry { incarnation: Some(2), cold_time: millis(8_000), ..entry(0, 1, false) };
    for board in [&mut running, &mut gone] {
        board.upsert_target(entry(0, 3, false), at(0));
        board.upsert_target(restarted.clone(), at(1_000));
    }
    gone.handle_target_removed(&TargetName::new("i-1"), version(0, 9), at(1_100));
    gone.remove_expired(at(1_100));

    let effects = [&mut running, &mut gone].map(|board| board.upsert_target(entry(1, 3, false), at(2_000)));
    let is_cold = running.targets.get(&TargetName::new("i-1")).is_some_and(|view| view.is_cold(at(8_999)));
    let rewritten = TargetEntry { row_version: version(1, 9), sequence: Some(2), ..restarted };

    assert_eq!((effects, is_cold), ([EntryEffect::Outdated; 2], true));
    assert_eq!(running.upsert_target(rewritten.clone(), at(3_000)), EntryEffect::Updated);
    assert_eq!(gone.upsert_target(rewritten, at(3_000)), EntryEffect::NewTarget);
}

/// Guards against targets that are dropped because the store has lost their entries.
#[test]
fn targets_whose_entries_were_lost_are_kept_until_they_register_again() {
    let mut board = board("edge-1");
    board.apply_batch(TableId::Targets, &empty_batch(version(0, 9), true), at(0), at(0));
    board.upsert_target(entry(0, 9, false), at(0));

    board.apply_batch(TableId::Targets, &empty_batch(version(1, 5), true), at(1_000), at(1_000));
    board.handle_target_removed(&TargetName::new("i-1"), version(1, 5), at(1_000));
    board.remove_expired(at(2_800));
    let is_kept = board.has_target(&ServiceName::new("bookings"));
    // The entry has not changed: it is the one that was lost.
    board.upsert_target(TargetEntry { row_version: version(1, 6), ..entry(1, 9, false) }, at(2_850));
    board.remove_expired(at(9_000));

    assert!(is_kept);
    assert!(board.has_target(&ServiceName::new("bookings")));
}

fn rollout(candidate: &str, order_version: StoreVersion) -> OrderChange {
    OrderChange::Rollout(RolloutOrder {
        service: ServiceName::new("bookings"),
        candidate: VersionName::new(candidate),
        duration: millis(20_000),
        order_version,
    })
}

/// Guards against verdicts that end because the store has lost them or their order, and are not recorded again.
#[test]
fn a_verdict_outlives_its_loss_and_is_recorded_again() {
    let service = ServiceName::new("bookings");
    for is_order_lost in [false, true] {
        let mut board = board("edge-1");
        board.state = NodeState::Serving;
        read_order(&mut board, version(0, 7), rollout("v2", version(0, 7)), 0);
        let write = board.take_rollout_writes(at(100)).pop().expect("the beginning is recorded");
        board.rollouts.record_written(&write, version(0, 8), at(110));
        let verdict = wasabipier_core::relay::rollout::RolloutWrite { state: RecordedState::RolledBack, ..write };
        board.rollouts.record_written(&verdict, version(0, 9), at(120));
        assert!(board.take_rollout_writes(at(130)).is_empty());

        let restored =
            if is_order_lost { OrderChange::RolloutWithdrawn(service.clone()) } else { rollout("v2", version(1, 7)) };
        read_order(&mut board, version(1, 7), restored, 1_000);
        if is_order_lost {
            read_order(&mut board, version(1, 8), rollout("v2", version(1, 8)), 1_100);
        }
        board.rollouts.record_written(&verdict, version(0, 10), at(1_200));
        let again = board.take_rollout_writes(at(1_300));

        let phase = board.rollouts.get(&service).map(RolloutWatch::phase);
        assert_eq!(phase, Some(RolloutPhase::RolledBack), "lost: {is_order_lost}");
        assert_eq!(again.len(), 1);
        assert_eq!((again[0].state, again[0].expected_version), (RecordedState::RolledBack, StoreVersion::NONE));
    }
}

/// Guards against an order that is replaced by the earlier one that the store was restored with.
#[test]
fn an_order_that_the_store_has_lost_is_not_replaced_by_an_earlier_one() {
    let service = ServiceName::new("bookings");
    let mut board = board("edge-1");
    board.state = NodeState::Serving;
    read_order(&mut board, version(0, 7), rollout("v2", version(0, 7)), 0);
    read_order(&mut board, version(0, 9), rollout("v3", version(0, 9)), 100);

    read_order(&mut board, version(1, 7), rollout("v2", version(1, 7)), 1_000);
    let candidate = |board: &RelayBoard| board.rollouts.get(&service).map(|watch| watch.order().candidate.clone());
    let while_lost = candidate(&board);
    read_order(&mut board, version(1, 8), rollout("v4", version(1, 8)), 1_100);
    board.apply_withheld_orders(at(60_000));

    assert_eq!(while_lost, Some(VersionName::new("v3")));
    assert_eq!(candidate(&board), Some(VersionName::new("v4")));
}

/// Returns the state of a node that has read the targets, and a document with `key-1` in era 1, at the start of a test.
fn started_board(node: &str) -> RelayBoard {
    let mut board = board(node);
    board.apply_batch(TableId::Targets, &empty_batch(version(1, 7), true), at(0), at(0));
    read_order(&mut board, version(1, 7), document(1, "key-1"), 0);
    board
}

/// Guards against keys whose revocation the store has lost, at a node that starts and knows nothing of before.
#[test]
fn a_node_that_starts_in_a_later_era_waits_for_what_may_be_lost() {
    let mut board = started_board("edge-1");

    let at_start = (access(&board, "key-1", 600), access(&board, "key-2", 600), board.can_serve(at(0), at(600)));
    let wait = board.restoration_wait(at(600));
    confirm_orders(&mut board, version(1, 7), 1_899);
    let before_end = access(&board, "key-1", 3_000);
    confirm_orders(&mut board, version(1, 7), 1_900);

    assert_eq!(at_start, (Err(AccessDenial::StaleDocument), Err(AccessDenial::StaleDocument), false));
    assert_eq!(wait, Some(millis(1_300)));
    assert_eq!(
        before_end,
        Err(AccessDenial::StaleDocument),
        "the copy is from before the time for writing again ended"
    );
    assert_eq!((access(&board, "key-1", 3_000), board.restoration_wait(at(3_000))), (Ok(()), None));
    assert!(board.can_serve(at(0), at(3_000)));
}

/// Guards against a wait that refuses requests whose access no key decides, and against 404 for what may have been lost.
#[test]
fn a_node_that_waits_serves_requests_without_a_key_and_reports_no_route_as_absent() {
    let mut board = board("edge-1");
    let routes = vec![RelayRoute { public: true, ..route("/open/", "bookings") }, route("/check/", "bookings")];
    let holder = KeyHolder { org: "lions".into(), keys: vec![Arc::from("key-1")], rank: None };
    let document = RelayDocument { version: 1, routes, holders: Some(vec![holder]), ..RelayDocument::default() };

    read_order(&mut board, version(1, 7), OrderChange::Document(DocumentIndex::new(document)), 0);

    let check = |path| board.check_access(AccessClaim { host: "nets.example", path, key: None }, at(10)).map(|_| ());
    let expected = [Ok(()), Err(AccessDenial::StaleDocument), Err(AccessDenial::StaleDocument)];
    assert_eq!(["/open/x", "/check/x", "/none/x"].map(check), expected);
}

/// Guards against a deployment that waits although no key is to be checked.
#[test]
fn a_node_without_keys_to_check_serves_in_a_later_era_at_once() {
    let mut board = board("edge-1");
    board.apply_batch(TableId::Targets, &empty_batch(version(1, 7), true), at(0), at(0));
    let document = RelayDocument {
        version: 1,
        routes: vec![route("/check/", "bookings")],
        holders: None,
        ..RelayDocument::default()
    };

    read_order(&mut board, version(1, 7), OrderChange::Document(DocumentIndex::new(document)), 0);

    assert!(board.can_serve(at(0), at(510)));
}

/// Guards against starts that wait for the life of a deployment, and against a proof from before the era was settled.
#[test]
fn a_node_that_starts_in_a_settled_era_trusts_copies_from_the_settled_version_on() {
    let (mut recorded, mut told, mut early) =
        (started_board("edge-1"), started_board("edge-1"), started_board("edge-1"));
    let mut peer = heartbeat("edge-2", 1);
    peer.settled_from = Some(version(1, 6));

    recorded.record_settled_row(version(1, 7));
    told.handle_heartbeat(peer, at(20));
    early.record_settled_row(version(1, 8));
    let early_before = access(&early, "key-1", 20);
    confirm_orders(&mut early, version(1, 8), 30);

    assert_eq!([&recorded, &told].map(|board| access(board, "key-1", 20)), [Ok(()), Ok(())]);
    assert_eq!(early_before, Err(AccessDenial::StaleDocument), "the copy was read before the row was written");
    assert_eq!(access(&early, "key-1", 40), Ok(()));
}

/// Guards against rows of earlier eras, which a copy of the store holds or a late write has brought into a later one.
#[test]
fn a_row_of_another_era_settles_nothing() {
    let mut board = started_board("edge-1");

    board.record_settled_row(version(0, 3));
    board.record_settled_row(version(2, 1));

    assert_eq!(access(&board, "key-1", 20), Err(AccessDenial::StaleDocument));
}

/// Guards against a start that waits although the document has been written before its eyes.
#[test]
fn a_node_that_starts_trusts_a_document_that_is_written_while_it_waits() {
    let mut board = started_board("edge-1");

    read_order(&mut board, version(1, 8), document(2, "key-2"), 500);

    assert_eq!([access(&board, "key-1", 510), access(&board, "key-2", 510)], [Err(AccessDenial::UnknownKey), Ok(())]);
}

/// Guards against keys that a proof from before the rewriting lets in, at a node that reads nothing after the return.
#[test]
fn a_store_that_returns_and_is_away_again_proves_nothing_once_the_rewriting_time_is_over() {
    let mut board = board("edge-1");
    read_order(&mut board, version(0, 7), document(1, "key-1"), 0);

    read_order(&mut board, version(1, 7), document(1, "key-1"), 6_000);

    assert_eq!(
        access(&board, "key-1", 8_000),
        Err(AccessDenial::StaleDocument),
        "its revocation may have been written"
    );
}

/// Guards against keys that a document lets in which was never proven, when a later one cannot be decoded.
#[test]
fn a_document_that_was_never_proven_lets_no_key_in_after_one_that_cannot_be_decoded() {
    let mut board = started_board("edge-1");

    board.apply_batch(TableId::Orders, &empty_batch(version(1, 8), false), at(2_000), at(2_000));
    let proven = access(&board, "key-1", 2_010);
    let mut never_proven = started_board("edge-1");
    never_proven.apply_batch(TableId::Orders, &empty_batch(version(1, 8), false), at(500), at(500));
    never_proven.record_undecodable_document();
    confirm_orders(&mut never_proven, version(1, 8), 2_500);

    assert_eq!(proven, Ok(()));
    assert_eq!(access(&never_proven, "key-1", 2_510), Err(AccessDenial::StaleDocument));
}

/// Returns a serving node among `peers`, whose copy shows since 1,900 ms that era 1 is settled.
fn settled_board(node: &str, peers: &[&str]) -> RelayBoard {
    let mut board = started_board(node);
    confirm_orders(&mut board, version(1, 9), 1_900);
    board.state = NodeState::Serving;
    for peer in peers {
        board.handle_heartbeat(heartbeat(peer, 1), at(1_900));
    }
    board.update_settlement(at(9_000));
    board
}

/// Guards against a row that each node of a large fleet writes, and against one that nobody writes since the node that is
/// to write it does not reach the store.
#[test]
fn a_few_nodes_write_that_an_era_is_settled_one_after_the_other() {
    let names: Vec<String> = (0..20).map(|number| format!("edge-{number}")).collect();
    let mut boards: Vec<RelayBoard> = names
        .iter()
        .map(|name| {
            let peers: Vec<&str> = names.iter().filter(|peer| *peer != name).map(String::as_str).collect();
            settled_board(name, &peers)
        })
        .collect();
    let mut writers_at = |ms: u64| -> Vec<usize> {
        for (board, own) in boards.iter_mut().zip(&names) {
            for peer in names.iter().filter(|peer| *peer != own) {
                board.handle_heartbeat(heartbeat(peer, ms), at(ms));
            }
        }
        let due = boards
            .iter_mut()
            .enumerate()
            .filter_map(|(index, board)| (board.take_era_to_record(at(ms)) == Some(1)).then_some(index));
        due.collect()
    };

    let [first, at_once, after_pause, second, third, late] =
        [1_900, 2_000, 2_900, 3_900, 5_900, 30_000].map(&mut writers_at);

    assert_eq!((first.len(), at_once.len()), (1, 0));
    assert_eq!(after_pause, first, "it has got no answer");
    assert_eq!((second.len(), third.len(), late.len()), (2, 3, 3));
    assert!(second.contains(&first[0]) && second.iter().all(|writer| third.contains(writer)));
    assert_eq!(late, third);
}

/// Guards against a row that is written again and again, or for an era that is not settled, or for the first era.
#[test]
fn a_settled_era_is_recorded_once() {
    let (mut settled, mut unsettled, mut first_era) =
        (settled_board("edge-1", &[]), started_board("edge-1"), board("edge-1"));
    for board in [&mut unsettled, &mut first_era] {
        board.state = NodeState::Serving;
    }
    read_order(&mut first_era, version(0, 9), document(1, "key-1"), 0);
    confirm_orders(&mut first_era, version(0, 9), 5_000);

    let first = settled.take_era_to_record(at(2_000));
    settled.record_settled_row_written(1);
    let again = settled.take_era_to_record(at(20_000));

    assert_eq!((first, again), (Some(1), None));
    assert_eq!(unsettled.take_era_to_record(at(20_000)), None);
    assert_eq!((first_era.update_settlement(at(9_000)), first_era.take_era_to_record(at(20_000))), (Vec::new(), None));
}

/// Guards against nodes of earlier releases that are left to write a row of which they do not know.
#[test]
fn a_node_of_an_earlier_release_is_not_waited_for_to_record_an_era() {
    let mut board = settled_board("edge-1", &[]);
    for number in 0..20 {
        let mut peer = heartbeat(&format!("old-{number}"), 1);
        peer.call_version = CallVersion::ISOLATION;
        board.handle_heartbeat(peer, at(1_900));
    }

    assert_eq!(board.take_era_to_record(at(2_000)), Some(1));
}

/// Guards against a node that tells an era to be settled although the store still lacks the document that the node has.
#[test]
fn an_era_in_which_the_store_lacks_a_document_is_not_settled() {
    let mut board = board("edge-1");
    read_order(&mut board, version(0, 9), document(2, "key-2"), 0);
    read_order(&mut board, version(1, 7), document(1, "key-1"), 1_000);
    confirm_orders(&mut board, version(1, 7), 9_000);
    board.state = NodeState::Serving;

    let before = (board.update_settlement(at(9_000)), board.next_heartbeat(at(9_000)).settled_from);
    read_order(&mut board, version(1, 8), document(2, "key-2"), 9_100);
    let after = board.update_settlement(at(9_000));

    assert_eq!(before, (Vec::new(), None));
    assert_eq!(after, [EraSettlement { settled_from: version(1, 8), basis: SettlementBasis::Wait }]);
    assert_eq!(board.next_heartbeat(at(9_200)).settled_from, Some(version(1, 8)));
}

/// Guards against hundreds of nodes that start together and call the store until the era is settled, where a hub reads it
/// for them.
#[test]
fn a_node_of_a_large_fleet_that_waits_for_a_settled_era_follows_its_hub() {
    let mut board = started_board("edge-0");
    for number in 1..20 {
        let peer = RelayHeartbeat { dc: DcName::new("khomas-a"), ..heartbeat(&format!("edge-{number}"), 1) };
        board.handle_heartbeat(peer, at(100));
    }

    assert!(board.restoration_wait(at(200)).is_some() && !board.reads_store(TableId::Orders, at(200)));
    assert!(board.reads_store(TableId::Orders, at(1_500)), "the hub has not confirmed the copy in time");
}

/// Returns a node that has started in era 1 with the entry of a target of a service that limits the calls to cold ones.
fn board_with_restored_entry() -> RelayBoard {
    let mut board = started_board("edge-1");
    let service = RelayService { cold_rate: 4.0, warm_up: millis(8_000), ..RelayService::default() };
    let services = [(ServiceName::new("bookings"), service)].into();
    let document = RelayDocument { version: 2, routes: Vec::new(), services, ..RelayDocument::default() };
    read_order(&mut board, version(1, 7), OrderChange::Document(DocumentIndex::new(document)), 0);
    board.upsert_target(entry(1, 3, false), at(0));
    board
}

fn is_cold(board: &RelayBoard, ms: u64) -> bool {
    board.targets.get(&TargetName::new("i-1")).is_some_and(|view| view.is_cold(at(ms)))
}

/// Guards against a cold target that counts as warm at a node that starts, since the store was restored with the entry of
/// its process before.
#[test]
fn targets_count_as_cold_at_a_node_that_starts_until_their_entries_are_proven() {
    let [mut settled, mut rewritten, mut waiting, mut cut_off] = std::array::from_fn(|_| board_with_restored_entry());
    let boards = [&settled, &rewritten, &waiting, &cut_off];
    let at_start = boards.map(|board| is_cold(board, 10));

    settled.record_settled_row(version(1, 7));
    settled.update_settlement(at(20));
    rewritten.upsert_target(entry(1, 4, false), at(20));
    waiting.update_settlement(at(1_900));
    let before_proof = is_cold(&waiting, 1_900);
    waiting.apply_batch(TableId::Targets, &empty_batch(version(1, 7), false), at(1_900), at(1_950));
    waiting.update_settlement(at(1_950));
    cut_off.update_settlement(at(7_999));
    let before_warm_up = is_cold(&cut_off, 7_999);
    cut_off.update_settlement(at(8_000));

    assert_eq!(at_start, [true; 4]);
    assert_eq!((is_cold(&settled, 20), is_cold(&rewritten, 20)), (false, false));
    assert_eq!((before_proof, is_cold(&waiting, 1_950)), (true, false));
    assert_eq!((before_warm_up, is_cold(&cut_off, 8_000)), (true, false), "no process can be cold for longer");
}
