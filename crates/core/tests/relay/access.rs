//! Tests of access control: routes, API keys and the age of the document.

use std::sync::Arc;

use wasabipier_core::names::OrgName;
use wasabipier_core::relay::access::{
    AccessClaim, AccessDenial, FreshnessLimits, RequestSize, check_access, check_size,
};
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::document::{
    CallerLimits, DocumentIndex, KeyHolder, MAX_REQUEST_HEAD_BYTES, RelayDocument, RelayRoute,
};
use wasabipier_core::relay::rows::{RowBatch, SharedRow, TableId};

use crate::fixtures::{at, board, document_index, millis, route, version};

/// Returns a request for `path` at the host nets.example.
fn claim<'a>(path: &'a str, key: Option<&'a str>) -> AccessClaim<'a> {
    AccessClaim { host: "nets.example", path, key }
}

#[test]
fn the_route_with_the_longest_matching_prefix_is_chosen() {
    let index = document_index(vec![route("/a/", "short"), route("/a/b/", "long"), route("/", "rest")]);

    let service = |path| index.route("nets.example", path).map(|route| route.services[0].service.to_string());

    assert_eq!(service("/a/b/c").as_deref(), Some("long"));
    assert_eq!(service("/a/x").as_deref(), Some("short"));
    assert_eq!(service("/ab").as_deref(), Some("rest"));
    assert_eq!(service("/a/b").as_deref(), Some("short"));
    assert!(index.route("other.example", "/a/").is_none());
}

#[test]
fn a_host_with_a_port_or_capital_letters_matches_its_route() {
    let index = document_index(vec![route("/", "rest")]);

    assert!(index.route("nets.example:8080", "/").is_some());
    assert!(index.route("Nets.Example", "/").is_some());
}

#[test]
fn keys_are_required_unless_a_route_is_public() {
    let public = RelayRoute { public: true, ..route("/open/", "open") };
    let index = document_index(vec![route("/", "rest"), public]);
    let limits = FreshnessLimits::default();
    let check = |path, key| check_access(&index, Some(millis(10)), &limits, claim(path, key));

    assert_eq!(check("/x", None).err(), Some(AccessDenial::UnknownKey));
    assert_eq!(check("/x", Some("key-2")).err(), Some(AccessDenial::UnknownKey));
    assert_eq!(check("/x", Some("key-1")).ok().and_then(|grant| grant.org).to_text(), Some("lions".to_owned()));
    assert!(check("/open/x", Some("key-2")).is_ok_and(|grant| grant.org.is_none()));
}

/// Guards against routes that are open to everyone since the document holds no key any more: an empty list was taken for
/// one that was never written.
#[test]
fn a_document_that_lists_no_key_lets_nobody_in_and_one_without_a_list_everybody() {
    let keyless = KeyHolder { org: OrgName::new("lions"), keys: Vec::new(), rank: None };
    let check = |holders, key| {
        let public = RelayRoute { public: true, ..route("/open/", "open") };
        let routes = vec![route("/", "rest"), public];
        let index = DocumentIndex::new(RelayDocument { version: 1, routes, holders, ..RelayDocument::default() });
        let check = |path| check_access(&index, Some(millis(10)), &FreshnessLimits::default(), claim(path, key)).err();
        (check("/x"), check("/open/x"))
    };

    for key in [None, Some("key-1")] {
        for holders in [Vec::new(), vec![keyless.clone()]] {
            assert_eq!(
                check(Some(holders.clone()), key),
                (Some(AccessDenial::UnknownKey), None),
                "{holders:?}, {key:?}"
            );
        }
        assert_eq!(check(None, key), (None, None), "{key:?}");
    }
}

#[test]
fn a_node_that_cannot_prove_that_its_document_is_the_newest_refuses_keys() {
    let public = RelayRoute { public: true, ..route("/open/", "open") };
    let index = document_index(vec![route("/", "rest"), public]);
    let limits = FreshnessLimits {
        max_document_age_for_keys: millis(4_900),
        max_document_age_for_absence: millis(3_000),
        ..FreshnessLimits::default()
    };
    let check = |age, path, key| check_access(&index, Some(millis(age)), &limits, claim(path, key)).err();

    assert_eq!(check(4_900, "/x", Some("key-1")), None);
    assert_eq!(check(4_901, "/x", Some("key-1")), Some(AccessDenial::StaleDocument));
    // Requests without keys are served even while the store is unreachable.
    assert_eq!(check(60_000, "/open/x", None), None);
}

#[test]
fn routes_and_keys_missing_from_an_old_document_are_not_reported_as_absent() {
    let index = document_index(vec![route("/a/", "short")]);
    let limits = FreshnessLimits {
        max_document_age_for_keys: millis(4_900),
        max_document_age_for_absence: millis(3_000),
        ..FreshnessLimits::default()
    };
    let check = |age, path, key| check_access(&index, Some(millis(age)), &limits, claim(path, key)).err();

    assert_eq!(check(100, "/b/", None), Some(AccessDenial::NoRoute));
    assert_eq!(check(3_001, "/b/", None), Some(AccessDenial::StaleDocument));
    assert_eq!(check(3_001, "/a/", Some("key-2")), Some(AccessDenial::StaleDocument));
}

#[test]
fn a_missing_document_is_not_reported_as_a_missing_route_or_key() {
    let index = document_index(vec![route("/", "rest")]);

    let denial = check_access(&index, None, &FreshnessLimits::default(), claim("/", None)).err();

    assert_eq!(denial, Some(AccessDenial::NoDocument));
}

/// Guards against a refusal for the size of a request by limits that are not those in force: a node without a document has
/// default ones, and the newest may allow more than an old one (DENIED).
#[test]
fn sizes_are_checked_against_a_document_that_is_known_to_be_in_force() {
    let caller_limits = CallerLimits { max_header_bytes: 1_000, max_body_bytes: 2_000, ..CallerLimits::default() };
    let index = DocumentIndex::new(RelayDocument { version: 1, caller_limits, ..RelayDocument::default() });
    let check = |age: Option<u64>, head, body| {
        check_size(&index, age.map(millis), &FreshnessLimits::default(), RequestSize { head, body }).err()
    };

    assert_eq!(check(Some(10), 1_000, 2_000), None);
    assert_eq!(check(Some(10), 1_001, 0), Some(AccessDenial::HeadTooLarge));
    assert_eq!(check(Some(10), 0, 2_001), Some(AccessDenial::BodyTooLarge));
    for (head, body) in [(1_001, 0), (0, 2_001)] {
        assert_eq!(check(None, head, body), Some(AccessDenial::NoDocument));
        assert_eq!(check(Some(3_001), head, body), Some(AccessDenial::StaleDocument));
    }
}

/// Guards against heads that the document allows and a node cannot hold.
#[test]
fn a_head_above_what_nodes_read_is_too_large_whatever_the_document_allows() {
    let caller_limits = CallerLimits { max_header_bytes: usize::MAX, ..CallerLimits::default() };
    let index = DocumentIndex::new(RelayDocument { version: 1, caller_limits, ..RelayDocument::default() });
    let check =
        |head| check_size(&index, Some(millis(10)), &FreshnessLimits::default(), RequestSize { head, body: 0 }).err();

    assert_eq!(check(MAX_REQUEST_HEAD_BYTES), None);
    assert_eq!(check(MAX_REQUEST_HEAD_BYTES + 1), Some(AccessDenial::HeadTooLarge));
}

/// Converts organisation names to text, for comparison.
trait OrgText {
    fn to_text(&self) -> Option<String>;
}

impl OrgText for Option<OrgName> {
    fn to_text(&self) -> Option<String> {
        self.as_ref().map(ToString::to_string)
    }
}

/// Guards against requests that are handled by a document of which the node knows that it is outdated: a node that could
/// not get the newer one served public routes of the old one without end.
#[test]
fn a_node_that_knows_of_a_newer_document_serves_nothing_from_the_old_one_for_long() {
    let mut board = board("edge-1");
    let public = RelayRoute { public: true, ..route("/open/", "open") };
    board.index = Arc::new(document_index(vec![public]));
    let row = |version| SharedRow { key: "config".into(), version, value: Some(Arc::from(&b"x"[..])) };
    let batch = |number| RowBatch { rows: vec![row(version(number))], version: version(number), whole: false };
    board.copies.entry(TableId::Orders).or_default().apply(&batch(5), at(0));
    let is_served = |board: &RelayBoard, ms| board.check_access(claim("/open/x", None), at(ms)).is_ok();
    let copy = |board: &mut RelayBoard| board.copies.remove(&TableId::Orders).expect("it was read");

    let was_served_without_news = is_served(&board, 60_000);
    let mut orders = copy(&mut board);
    orders.record_known_change(version(4), at(0));
    orders.record_known_change(version(7), at(60_000));
    orders.record_known_change(version(8), at(60_900));
    board.copies.insert(TableId::Orders, orders);
    let served = [60_900, 61_100].map(|ms| is_served(&board, ms));
    let mut orders = copy(&mut board);
    orders.apply(&batch(7), at(61_200));
    board.copies.insert(TableId::Orders, orders);
    let served_after_one_change = [61_300, 62_000].map(|ms| is_served(&board, ms));
    let mut orders = copy(&mut board);
    orders.apply(&batch(8), at(62_100));
    board.copies.insert(TableId::Orders, orders);

    assert!(was_served_without_news, "an old document is no reason while nothing newer is known");
    assert_eq!(served, [true, false]);
    assert_eq!(served_after_one_change, [true, false], "the time counts for each change");
    assert!(is_served(&board, 70_000));
}
