//! Tests of who is let in while documents follow each other, at a node that reads the store and at one that learns from it.

use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use wasabipier_core::clock::Moment;
use wasabipier_core::names::OrgName;
use wasabipier_core::relay::access::AccessClaim;
use wasabipier_core::relay::board::{OrderChange, RelayBoard};
use wasabipier_core::relay::document::{DocumentIndex, KeyHolder, RelayDocument, RelayRoute};
use wasabipier_core::relay::rows::{RowBatch, SharedRow, TableCopy, TableId};
use wasabipier_core::relay::store_version::StoreVersion;

use crate::fixtures::{at, board, config, millis, route, version};

const KEYS: [&str; 3] = ["key-1", "key-2", "key-3"];

/// Time after its revocation from which no node may accept a key.
const REVOCATION_LIMIT: Duration = Duration::from_secs(5);

/// Who a document lets in.
#[derive(Clone, Debug)]
enum KeyList {
    /// The document has no list of organisations.
    Missing,
    /// Organisation of each key, `None` for keys that nobody holds. Organisations without keys are listed, too.
    Holders([Option<u8>; 3]),
    /// The document cannot be decoded.
    Undecodable,
}

#[derive(Clone, Debug)]
enum Step {
    /// An operator writes a document.
    Write(KeyList),
    /// The first node reads what has changed in the store.
    Read,
    /// The first node reads the whole table, as after the store has dropped its history.
    ReadWhole,
    /// The second node gets what has changed from the first one.
    Share,
    /// The process of a node is replaced by another one.
    Restart(usize),
    Pass(u64),
}

fn key_list() -> impl Strategy<Value = KeyList> {
    prop_oneof![
        1 => Just(KeyList::Missing),
        4 => prop::array::uniform3(prop::option::of(0_u8..2)).prop_map(KeyList::Holders),
        1 => Just(KeyList::Holders([None; 3])),
        1 => Just(KeyList::Undecodable),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => key_list().prop_map(Step::Write),
        4 => Just(Step::Read),
        1 => Just(Step::ReadWhole),
        4 => Just(Step::Share),
        1 => (0_usize..2).prop_map(Step::Restart),
        3 => (1_u64..3_000).prop_map(Step::Pass),
    ]
}

impl KeyList {
    /// Returns for whom a request with `key` runs, an empty name if for no organisation, or `None` if it is refused.
    fn admits(&self, key: Option<usize>) -> Option<String> {
        match self {
            Self::Missing => Some(String::new()),
            Self::Holders(orgs) => orgs[key?].map(|org| format!("org-{org}")),
            Self::Undecodable => None,
        }
    }

    fn index(&self, number: u64) -> Option<DocumentIndex> {
        let holders = match self {
            Self::Missing => None,
            Self::Holders(orgs) => Some((0..2).map(|org| holder_of(org, *orgs)).collect()),
            Self::Undecodable => return None,
        };
        let public = RelayRoute { public: true, ..route("/open/", "open") };
        let routes = vec![route("/", "rest"), public];
        Some(DocumentIndex::new(RelayDocument { version: number, routes, holders, ..RelayDocument::default() }))
    }
}

fn holder_of(org: u8, orgs: [Option<u8>; 3]) -> KeyHolder {
    let keys = KEYS.iter().zip(orgs).filter(|(_, holder)| *holder == Some(org)).map(|(key, _)| Arc::from(*key));
    KeyHolder { org: OrgName::new(format!("org-{org}")), keys: keys.collect(), rank: None }
}

/// Two nodes, the documents that were written, each with its time, and the time.
struct Model {
    nodes: [RelayBoard; 2],
    written: Vec<(Moment, KeyList)>,
    now: Moment,
}

impl Model {
    fn new() -> Self {
        let first = KeyList::Holders([Some(0), Some(1), None]);
        Self { nodes: [board("edge-1"), board("edge-2")], written: vec![(at(0), first)], now: at(0) }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Write(list) => self.written.push((self.now, list.clone())),
            Step::Read => self.read(false),
            Step::ReadWhole => self.read(true),
            Step::Share => {
                let [source, reader] = &mut self.nodes;
                let have = reader.copies.get(&TableId::Orders).map_or(StoreVersion::NONE, TableCopy::version);
                if let Some(copy) = source.copies.get(&TableId::Orders) {
                    let (batch, proven_at) = (copy.changes_after(have), copy.confirmed_at().expect("it was read"));
                    apply(reader, &self.written, &batch, proven_at, self.now);
                }
            }
            Step::Restart(node) => self.nodes[*node] = board(["edge-1", "edge-2"][*node]),
            Step::Pass(ms) => self.now = self.now + millis(*ms),
        }
    }

    fn read(&mut self, whole: bool) {
        let number = self.written.len() as u64;
        let row = SharedRow { key: "config".into(), version: version(number), value: Some(Arc::from(&b"x"[..])) };
        let batch = RowBatch { rows: vec![row], version: version(number), whole };
        apply(&mut self.nodes[0], &self.written, &batch, self.now, self.now);
    }

    /// Returns for whom `key` may be accepted: as in a document that was the newest at some time within the limit.
    fn allowed(&self, key: Option<usize>) -> Vec<String> {
        let replaced_at = self.written.iter().skip(1).map(|(at, _)| Some(*at)).chain([None]);
        let recent = self.written.iter().zip(replaced_at).filter(|(_, replaced_at)| {
            replaced_at.is_none_or(|replaced_at| self.now.since(replaced_at) <= REVOCATION_LIMIT)
        });
        recent.filter_map(|((_, list), _)| list.admits(key)).collect()
    }
}

/// Applies a batch as a node does.
fn apply(node: &mut RelayBoard, written: &[(Moment, KeyList)], batch: &RowBatch, proven_at: Moment, now: Moment) {
    for row in node.apply_batch(TableId::Orders, batch, proven_at, now).changed {
        let number = row.version.number;
        match written[number as usize - 1].1.index(number) {
            Some(index) => drop(node.apply_order(OrderChange::Document(index), now)),
            None => node.record_undecodable_document(),
        }
    }
}

fn check(node: &RelayBoard, path: &str, key: Option<usize>, now: Moment) -> Option<String> {
    let claim = AccessClaim { host: "nets.example", path, key: key.map(|key| KEYS[key]) };
    node.check_access(claim, now).ok().map(|grant| grant.org.map(|org| org.to_string()).unwrap_or_default())
}

proptest! {
    #![proptest_config(config(600))]

    /// Guards against keys that are accepted although the document that took them away is known to be there, and against
    /// requests that run for nobody or for another organisation: a document that could not be decoded left the one before it
    /// in force, with its keys, without end.
    #[test]
    fn only_holders_of_keys_that_were_in_force_lately_are_let_in(steps in vec(step(), 1..60)) {
        let mut model = Model::new();
        for step in &steps {
            model.run(step);
            for (node, key) in (0..2).flat_map(|node| [None, Some(0), Some(1), Some(2)].map(|key| (node, key))) {
                // Without a list of organisations nobody needs a key, however old the document is.
                let is_open = model.written.iter().any(|(_, list)| matches!(list, KeyList::Missing));
                if let Some(org) = check(&model.nodes[node], "/x", key, model.now) {
                    let is_allowed = model.allowed(key).contains(&org) || (org.is_empty() && is_open);
                    prop_assert!(is_allowed, "node {node} accepts {key:?} for `{org}` after {step:?}");
                }
            }
        }
        model.run(&Step::Read);
        model.run(&Step::Share);
        let newest = &model.written.last().expect("there is a first one").1;
        for (node, key) in (0..2).flat_map(|node| [None, Some(0), Some(1), Some(2)].map(|key| (node, key))) {
            if !matches!(newest, KeyList::Undecodable) {
                prop_assert_eq!(check(&model.nodes[node], "/x", key, model.now), newest.admits(key));
                prop_assert_eq!(check(&model.nodes[node], "/open/x", key, model.now), Some(String::new()));
            }
        }
    }
}
