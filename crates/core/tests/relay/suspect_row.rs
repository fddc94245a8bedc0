//! Tests of the row of the store that names content which crashes targets, as nodes write and read it.

use std::collections::BTreeSet;

use wasabipier_core::message::NodeState;
use wasabipier_core::names::Fingerprint;
use wasabipier_core::relay::board::{ContentVerdict, RelayBoard};
use wasabipier_core::relay::rows::{RowBatch, TableId};
use wasabipier_core::relay::store_version::StoreVersion;
use wasabipier_core::relay::suspect_row::{SuspectRow, SuspectRowWrite};
use wasabipier_core::relay::suspects::{CrashId, SuspectKey, SuspectReport};

use crate::fixtures::{at, board, heartbeat, version};

const DEADLY_PART: SuspectKey = SuspectKey::Part(0xdead);

/// Returns the keys of request `number` with the deadly part.
fn deadly_request(number: u64) -> Vec<SuspectKey> {
    vec![DEADLY_PART, SuspectKey::Content(Fingerprint(number))]
}

/// Returns a serving node beside `peers`, at which the deadly part has crashed three targets until second 2.
fn board_with_harmful_part(node: &str, peers: &[&str]) -> RelayBoard {
    let mut board = board(node);
    board.state = NodeState::Serving;
    for peer in peers {
        board.handle_heartbeat(heartbeat(peer, 1), at(2_000));
    }
    for number in 0..3 {
        board.suspects.record_crash(&deadly_request(number), CrashId(number), at(number * 1_000));
    }
    board
}

fn row(version: StoreVersion, reports: Vec<SuspectReport>) -> SuspectRow {
    SuspectRow { version, reports }
}

fn keys(write: &SuspectRowWrite) -> BTreeSet<SuspectKey> {
    write.reports.iter().map(|report| report.key).collect()
}

/// Guards against content that crashes targets anew after all nodes have ended, since only they knew of it (BUDGET).
#[test]
fn content_that_crashes_targets_is_refused_by_a_node_that_starts_alone() {
    let mut writer = board_with_harmful_part("edge-1", &[]);
    let write = writer.take_suspect_row_write(at(2_000)).expect("the content has become harmful");
    let mut started = board("edge-2");

    let change = started.record_suspect_row(&row(version(5), write.reports.clone()), at(9_000));
    let verdicts = [9_010, 18_990].map(|ms| started.admit_content(&deadly_request(9), at(ms)));
    let sound = started.admit_content(&[SuspectKey::Part(7)], at(9_010));

    assert_eq!((write.expected_version, keys(&write)), (0, [DEADLY_PART].into()));
    assert_eq!(change.blamed.len(), 1);
    assert!(verdicts.iter().all(|verdict| matches!(verdict, ContentVerdict::Harmful(_))), "{verdicts:?}");
    assert_eq!(sound, ContentVerdict::Allowed);
}

/// Guards against a row that names content which a run has proven sound, and against calls while nothing changes.
#[test]
fn the_row_is_written_when_harmful_content_changes_and_not_otherwise() {
    let mut board = board_with_harmful_part("edge-1", &[]);

    let first = board.take_suspect_row_write(at(2_000)).expect("the content has become harmful");
    let unanswered = [2_900, 3_000].map(|ms| board.take_suspect_row_write(at(ms)).is_some());
    board.record_suspect_row_written(&first, version(5));
    let unchanged = board.take_suspect_row_write(at(9_000));
    board.suspects.record_proof(&[DEADLY_PART], at(10_000));
    let cleared = board.take_suspect_row_write(at(10_000));

    assert_eq!((unanswered, unchanged), ([false, true], None));
    assert_eq!(cleared, Some(SuspectRowWrite { expected_version: 5, reports: Vec::new() }));
}

/// Guards against a write by each node of a large fleet, and against nodes that write the row in turn for good.
#[test]
fn a_few_nodes_write_the_row_and_one_that_finds_it_written_is_done() {
    let names: Vec<String> = (0..20).map(|number| format!("edge-{number}")).collect();
    let mut boards: Vec<RelayBoard> = names
        .iter()
        .map(|name| {
            let peers: Vec<&str> = names.iter().filter(|peer| *peer != name).map(String::as_str).collect();
            board_with_harmful_part(name, &peers)
        })
        .collect();

    let mut stored: Option<SuspectRow> = None;
    let (mut written, mut refused) = (0, 0);
    for ms in (2_000..20_000).step_by(100) {
        for (own, board) in names.iter().zip(&mut boards) {
            for peer in names.iter().filter(|peer| *peer != own) {
                board.handle_heartbeat(heartbeat(peer, ms), at(ms));
            }
            let Some(write) = board.take_suspect_row_write(at(ms)) else { continue };
            let number = stored.as_ref().map_or(0, |row| row.version.number);
            if write.expected_version == number {
                written += 1;
                stored = Some(row(version(number + 1), write.reports.clone()));
                board.record_suspect_row_written(&write, version(number + 1));
            } else {
                refused += 1;
                board.record_suspect_row(stored.as_ref().expect("it is written"), at(ms));
            }
        }
    }

    assert_eq!((written, refused), (1, 2));
}

/// Guards against a row that a store which has lost it never gets again.
#[test]
fn the_row_is_written_again_after_the_store_was_restored() {
    let mut board = board_with_harmful_part("edge-1", &[]);
    let read = |version| RowBatch { rows: Vec::new(), version, whole: true };
    board.apply_batch(TableId::Orders, &read(version(9)), at(1_000), at(1_000));
    let first = board.take_suspect_row_write(at(2_000)).expect("the content has become harmful");
    board.record_suspect_row_written(&first, version(10));

    board.apply_batch(TableId::Orders, &read(StoreVersion::new(1, 9)), at(3_000), at(3_000));

    let again = board.take_suspect_row_write(at(3_100)).expect("the row may be lost");
    assert_eq!((again.expected_version, keys(&again)), (0, [DEADLY_PART].into()));
}

/// Guards against needless calls at each start: the row is read before the orders.
#[test]
fn a_node_that_starts_does_not_write_the_row_that_it_has_read() {
    let mut writer = board_with_harmful_part("edge-1", &[]);
    let write = writer.take_suspect_row_write(at(2_000)).expect("the content has become harmful");
    let mut started = board("edge-2");
    started.state = NodeState::Serving;

    started.record_suspect_row(&row(StoreVersion::new(1, 5), write.reports), at(9_000));
    let batch = RowBatch { rows: Vec::new(), version: StoreVersion::new(1, 9), whole: true };
    started.apply_batch(TableId::Orders, &batch, at(9_010), at(9_010));

    assert_eq!(started.take_suspect_row_write(at(9_100)), None);
}
