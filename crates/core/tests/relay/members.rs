//! Which nodes live, and who gathers.

use wasabipier_core::names::{NodeName, ServiceName};
use wasabipier_core::relay::members::{PeerTable, RelayHeartbeat};

use crate::fixtures::{at, heartbeat};

fn book() -> PeerTable {
    let mut book = PeerTable::default();
    for number in 2..8 {
        book.handle_heartbeat(heartbeat(&format!("edge-{number}"), 1), at(0));
    }
    book
}

fn batching_node(book: &PeerTable, ms: u64) -> NodeName {
    book.batching_node(&ServiceName::new("coaches"), &NodeName::new("edge-1"), 0, at(ms)).clone()
}

/// Pattern: the node that gathers for a service loses power; pieces must not wait until its heartbeats are missed.
#[test]
fn a_node_that_did_not_answer_gathers_no_more_until_it_is_heard() {
    let mut book = book();
    let first = batching_node(&book, 100);

    book.mark_suspected(&first, at(100));
    let second = batching_node(&book, 100);
    assert_ne!(second, first);

    book.handle_heartbeat(heartbeat(first.as_str(), 2), at(200));
    assert_eq!(batching_node(&book, 200), first);
}

#[test]
fn a_silent_node_counts_as_gone_and_shares_of_bounds_do_not_grow() {
    let mut book = book();
    assert_eq!(book.alive(at(1_000)).count(), 6);
    assert_eq!(book.budget_node_count(), 7);

    assert_eq!(book.alive(at(1_900)).count(), 0);
    assert_eq!(batching_node(&book, 1_900), NodeName::new("edge-1"));

    book.evict_expired(at(1_900));
    assert_eq!(book.budget_node_count(), 7, "cut-off nodes still use their shares");
}

#[test]
fn an_older_beat_of_an_instance_changes_nothing() {
    let mut book = book();
    book.handle_heartbeat(heartbeat("edge-2", 5), at(100));

    assert!(!book.handle_heartbeat(heartbeat("edge-2", 4), at(1_700)));

    assert_eq!(book.alive(at(1_901)).count(), 0);
}

/// Pattern: a fleet of weak VMs and a few strong ones; all pieces of a service pass through one node.
#[test]
fn pieces_are_gathered_at_the_strongest_nodes() {
    let mut book = book();
    for number in [3, 5] {
        let strong = RelayHeartbeat { capacity: 100, ..heartbeat(&format!("edge-{number}"), 2) };
        book.handle_heartbeat(strong, at(0));
    }

    for service in ["clubs", "coaches", "notify", "bookings"] {
        let own = NodeName::new("edge-1");
        let chosen = book.batching_node(&ServiceName::new(service), &own, 10, at(100)).clone();
        assert!(["edge-3", "edge-5"].contains(&chosen.as_str()), "{service} is gathered at {chosen}");
    }
}
