//! Tests of copies of the store's tables, against a reference that knows the state of the table at every version.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use wasabipier_core::relay::rows::{RowBatch, SharedRow, TableCopy, proven_at};

use crate::fixtures::{at, config, millis, version};

/// Returns the state of a table at each store version from 0, as row versions by key. Each write is a key with whether
/// its row is inserted rather than removed.
fn table_states(writes: &[(u8, bool)]) -> Vec<BTreeMap<u8, u64>> {
    let mut state = BTreeMap::new();
    let mut states = vec![state.clone()];
    for (version, (key, is_insert)) in (1..).zip(writes) {
        if *is_insert {
            state.insert(*key, version);
        } else {
            state.remove(key);
        }
        states.push(state.clone());
    }
    states
}

/// Returns a row whose last change, or removal if it is not present, was at `version`.
fn row(key: u8, number: u64, is_present: bool) -> SharedRow {
    SharedRow {
        key: Arc::from(key.to_string()),
        version: version(number),
        value: is_present.then(|| Arc::from(&b"x"[..])),
    }
}

proptest! {
    #![proptest_config(config(300))]

    /// Guards against copies that return to an older state: batches arrive late, twice, and from peers that are behind.
    /// The copy must always have the newest state that it received.
    #[test]
    fn a_copy_never_returns_to_an_older_state(
        writes in prop::collection::vec((0_u8..6, prop::bool::weighted(0.7)), 1..30),
        reads in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 1..30),
    ) {
        let states = table_states(&writes);
        let mut copy = TableCopy::default();
        for (index, whole) in reads {
            let state = index.index(states.len());
            let from = copy.version().number as usize;
            let batch = if whole || state < from {
                let rows = states[state].iter().map(|(key, number)| row(*key, *number, true)).collect();
                RowBatch { rows, version: version(state as u64), whole: true }
            } else {
                // The last change of each key since the copy's version.
                let changed: BTreeMap<u8, (u64, bool)> = (from..state)
                    .map(|write| (writes[write].0, (write as u64 + 1, writes[write].1)))
                    .collect();
                let rows =
                    changed.into_iter().map(|(key, (number, is_present))| row(key, number, is_present)).collect();
                RowBatch { rows, version: version(state as u64), whole: false }
            };
            copy.apply(&batch, at(0));
            prop_assert!(copy.version().number as usize >= from);
            prop_assert_eq!(&row_versions(&copy), &states[copy.version().number as usize]);
        }
    }

    /// Guards against copies that match no state of the store: hubs read the store now and then, and a node gets from
    /// them either the changes or only the confirmation that nothing changed.
    #[test]
    fn a_copy_received_from_hubs_matches_the_store_at_its_version(
        writes in prop::collection::vec((0_u8..6, prop::bool::weighted(0.6)), 1..40),
        steps in prop::collection::vec((0_usize..2, 0_u8..4, any::<prop::sample::Index>()), 1..60),
    ) {
        let states = table_states(&writes);
        let mut hubs = [TableCopy::default(), TableCopy::default()];
        let mut follower = TableCopy::default();
        for (time, (hub, step, index)) in (1..).zip(steps) {
            let hub = &mut hubs[hub];
            match step {
                0 => {
                    let (from, state) = (hub.version().number as usize, index.index(states.len()));
                    if state >= from {
                        hub.apply(&store_batch(&writes, &states, from, state), at(time));
                    }
                }
                1 => {
                    follower.apply(&hub.changes_after(follower.version()), hub.confirmed_at().unwrap_or_default());
                }
                _ => {
                    let before = (follower.version(), follower.confirmed_at());
                    let is_same =
                        follower.confirm(hub.version(), hub.last_change_version(), hub.confirmed_at().unwrap_or_default());
                    prop_assert!(is_same || (follower.version(), follower.confirmed_at()) == before);
                }
            }
            prop_assert_eq!(&row_versions(&follower), &states[follower.version().number as usize]);
        }
    }
}

/// Returns the version of each row in a copy by key.
fn row_versions(copy: &TableCopy) -> BTreeMap<u8, u64> {
    copy.rows().map(|row| (row.key.parse().expect("keys are numbers"), row.version.number)).collect()
}

/// Returns the answer of the store at version `state` to a copy at version `from`: all rows if the copy is empty, otherwise
/// the last change of each key since `from`.
fn store_batch(writes: &[(u8, bool)], states: &[BTreeMap<u8, u64>], from: usize, state: usize) -> RowBatch {
    let rows = if from == 0 {
        states[state].iter().map(|(key, number)| row(*key, *number, true)).collect()
    } else {
        let changed: BTreeMap<u8, (u64, bool)> =
            (from..state).map(|write| (writes[write].0, (write as u64 + 1, writes[write].1))).collect();
        changed.into_iter().map(|(key, (number, is_present))| row(key, number, is_present)).collect()
    };
    RowBatch { rows, version: version(state as u64), whole: from == 0 }
}

#[test]
fn only_a_state_at_least_as_new_as_the_copy_confirms_it() {
    let mut copy = TableCopy::default();
    copy.apply(&RowBatch { rows: Vec::new(), version: version(5), whole: true }, at(100));

    copy.apply(&RowBatch { rows: Vec::new(), version: version(4), whole: true }, at(900));
    assert_eq!(copy.confirmed_at(), Some(at(100)), "an older state confirms nothing");

    copy.apply(&RowBatch { rows: Vec::new(), version: version(5), whole: false }, at(700));
    copy.apply(&RowBatch { rows: Vec::new(), version: version(5), whole: false }, at(300));
    assert_eq!(copy.confirmed_at(), Some(at(700)), "an earlier request does not increase the age");
}

/// Guards against a wrong age of the document while the store is unreachable. API keys are accepted only for a limited
/// time after the document was last proven to be the newest.
#[test]
fn a_long_poll_without_a_change_proves_the_time_for_which_it_was_held() {
    let wait = millis(1_500);
    let unchanged = RowBatch { rows: Vec::new(), version: version(5), whole: false };
    let changed = RowBatch { rows: vec![row(1, 5, true)], ..unchanged.clone() };
    let whole = RowBatch { whole: true, ..unchanged.clone() };

    assert_eq!(proven_at(&unchanged, at(100), wait, at(1_604)), at(1_600));
    assert_eq!(
        proven_at(&unchanged, at(100), wait, at(9_000)),
        at(1_600),
        "the answer may have been delayed in transit"
    );
    assert_eq!(
        proven_at(&unchanged, at(100), wait, at(1_599)),
        at(100),
        "the store did not hold the call for the whole wait"
    );
    assert_eq!(proven_at(&changed, at(100), wait, at(1_604)), at(100));
    assert_eq!(proven_at(&whole, at(100), wait, at(1_604)), at(100));
}

/// Guards against a target that remains known after it left: it registers again and leaves at once, and both changes
/// are in one answer of the store.
#[test]
fn a_row_that_is_inserted_and_removed_in_one_batch_is_removed() {
    let mut copy = TableCopy::default();
    copy.apply(&RowBatch { rows: Vec::new(), version: version(5), whole: true }, at(0));

    let rows = vec![row(1, 6, true), row(1, 7, false), row(2, 8, false), row(2, 9, true)];
    let changed = copy.apply(&RowBatch { rows, version: version(9), whole: false }, at(100));

    assert_eq!(row_versions(&copy), BTreeMap::from([(2, 9)]));
    let last = changed.iter().rfind(|row| &*row.key == "1").expect("the insertion is reported");
    assert!(last.value.is_none(), "the last reported change is the removal");
}
