//! Copies of the store's tables against an oracle that knows every state.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use wasabipier_core::relay::rows::{RowBatch, SharedRow, TableCopy, proven_at};

use crate::fixtures::{at, config, millis};

/// States of a table, one for each version.
fn states(writes: &[(u8, bool)]) -> Vec<BTreeMap<u8, u64>> {
    let mut state = BTreeMap::new();
    let mut states = vec![state.clone()];
    for (version, (key, keep)) in (1..).zip(writes) {
        if *keep {
            state.insert(*key, version);
        } else {
            state.remove(key);
        }
        states.push(state.clone());
    }
    states
}

fn row(key: u8, version: u64, kept: bool) -> SharedRow {
    SharedRow { key: Arc::from(key.to_string()), version, value: kept.then(|| Arc::from(&b"x"[..])) }
}

proptest! {
    #![proptest_config(config(300))]

    /// Batches come late, twice and from peers behind: the copy shows the newest state that it heard of.
    #[test]
    fn a_copy_never_goes_back(
        writes in prop::collection::vec((0_u8..6, prop::bool::weighted(0.7)), 1..30),
        reads in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 1..30),
    ) {
        let states = states(&writes);
        let mut copy = TableCopy::default();
        for (index, whole) in reads {
            let version = index.index(states.len());
            let from = copy.version() as usize;
            let batch = if whole || version < from {
                let rows = states[version].iter().map(|(key, version)| row(*key, *version, true)).collect();
                RowBatch { rows, version: version as u64, whole: true }
            } else {
                // The last change of each key since the copy's version.
                let changed: BTreeMap<u8, (u64, bool)> = (from..version)
                    .map(|at| (writes[at].0, (at as u64 + 1, writes[at].1)))
                    .collect();
                let rows = changed.into_iter().map(|(key, (version, kept))| row(key, version, kept)).collect();
                RowBatch { rows, version: version as u64, whole: false }
            };
            copy.apply(&batch, at(0));
            prop_assert!(copy.version() as usize >= from);
            prop_assert_eq!(&shown(&copy), &states[copy.version() as usize]);
        }
    }

    /// Hubs read the store now and then; a node takes from them what changed, or only that nothing did.
    #[test]
    fn a_copy_that_is_taken_from_hubs_shows_what_the_store_showed(
        writes in prop::collection::vec((0_u8..6, prop::bool::weighted(0.6)), 1..40),
        steps in prop::collection::vec((0_usize..2, 0_u8..4, any::<prop::sample::Index>()), 1..60),
    ) {
        let states = states(&writes);
        let mut hubs = [TableCopy::default(), TableCopy::default()];
        let mut follower = TableCopy::default();
        for (time, (hub, step, index)) in (1..).zip(steps) {
            let hub = &mut hubs[hub];
            match step {
                0 => {
                    let (from, version) = (hub.version() as usize, index.index(states.len()));
                    if version >= from {
                        hub.apply(&store_batch(&writes, &states, from, version), at(time));
                    }
                }
                1 => {
                    follower.apply(&hub.changes_after(follower.version()), hub.confirmed_at().unwrap_or_default());
                }
                _ => {
                    let held = (follower.version(), follower.confirmed_at());
                    let is_same = follower.confirm(hub.version(), hub.changed(), hub.confirmed_at().unwrap_or_default());
                    prop_assert!(is_same || (follower.version(), follower.confirmed_at()) == held);
                }
            }
            prop_assert_eq!(&shown(&follower), &states[follower.version() as usize]);
        }
    }
}

fn shown(copy: &TableCopy) -> BTreeMap<u8, u64> {
    copy.rows().map(|row| (row.key.parse().expect("keys are numbers"), row.version)).collect()
}

/// What the store answers: all rows to a copy that holds nothing, or the last change of each key since `from`.
fn store_batch(writes: &[(u8, bool)], states: &[BTreeMap<u8, u64>], from: usize, version: usize) -> RowBatch {
    let rows = if from == 0 {
        states[version].iter().map(|(key, version)| row(*key, *version, true)).collect()
    } else {
        let changed: BTreeMap<u8, (u64, bool)> =
            (from..version).map(|at| (writes[at].0, (at as u64 + 1, writes[at].1))).collect();
        changed.into_iter().map(|(key, (version, kept))| row(key, version, kept)).collect()
    };
    RowBatch { rows, version: version as u64, whole: from == 0 }
}

#[test]
fn only_a_state_that_is_new_enough_proves_freshness() {
    let mut copy = TableCopy::default();
    copy.apply(&RowBatch { rows: Vec::new(), version: 5, whole: true }, at(100));

    copy.apply(&RowBatch { rows: Vec::new(), version: 4, whole: true }, at(900));
    assert_eq!(copy.confirmed_at(), Some(at(100)), "an older state shows nothing");

    copy.apply(&RowBatch { rows: Vec::new(), version: 5, whole: false }, at(700));
    copy.apply(&RowBatch { rows: Vec::new(), version: 5, whole: false }, at(300));
    assert_eq!(copy.confirmed_at(), Some(at(700)), "the age does not grow by an older question");
}

/// Pattern: the store is away; how long keys are still accepted counts from the last proof.
#[test]
fn a_call_that_was_held_without_a_change_proves_the_time_for_which_it_was_held() {
    let wait = millis(1_500);
    let none = RowBatch { rows: Vec::new(), version: 5, whole: false };
    let some = RowBatch { rows: vec![row(1, 5, true)], ..none.clone() };
    let whole = RowBatch { whole: true, ..none.clone() };

    assert_eq!(proven_at(&none, at(100), wait, at(1_604)), at(1_600));
    assert_eq!(proven_at(&none, at(100), wait, at(9_000)), at(1_600), "its answer may have been under way for long");
    assert_eq!(proven_at(&none, at(100), wait, at(1_599)), at(100), "it was not held to the end");
    assert_eq!(proven_at(&some, at(100), wait, at(1_604)), at(100));
    assert_eq!(proven_at(&whole, at(100), wait, at(1_604)), at(100));
}

/// Pattern: a target registers again and leaves at once; both changes come in one answer of the store.
#[test]
fn a_row_that_comes_and_goes_in_one_batch_is_gone() {
    let mut copy = TableCopy::default();
    copy.apply(&RowBatch { rows: Vec::new(), version: 5, whole: true }, at(0));

    let rows = vec![row(1, 6, true), row(1, 7, false), row(2, 8, false), row(2, 9, true)];
    let changed = copy.apply(&RowBatch { rows, version: 9, whole: false }, at(100));

    assert_eq!(shown(&copy), BTreeMap::from([(2, 9)]));
    let last = changed.iter().rfind(|row| &*row.key == "1").expect("it came");
    assert!(last.value.is_none(), "whoever follows the changes is told that it went");
}
