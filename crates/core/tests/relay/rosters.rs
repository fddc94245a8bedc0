//! Tests of rosters: a hub's list of its nodes passes from copy to copy as differences, over calls of which some are lost.

use std::collections::BTreeSet;

use proptest::prelude::*;
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{InstanceId, NodeName};
use wasabipier_core::relay::members::RelayHeartbeat;
use wasabipier_core::relay::rosters::{RosterId, RosterTable, RosterUpdate};

use crate::fixtures::{at, config, heartbeat, millis};

const HUB: RosterId = RosterId(1);
const NOBODY: RosterId = RosterId(0);

fn node(number: u8) -> NodeName {
    NodeName::new(format!("edge-{number:02}"))
}

/// Returns the heartbeats of the nodes `numbers`, each in the state that its bit in `leaving` says.
fn heartbeats(numbers: &BTreeSet<u8>, leaving: u16, sequence: u64) -> Vec<RelayHeartbeat> {
    let state = |number: u8| if leaving & (1 << number) == 0 { NodeState::Serving } else { NodeState::Leaving };
    numbers
        .iter()
        .map(|number| RelayHeartbeat { state: state(*number), ..heartbeat(node(*number).as_str(), sequence) })
        .collect()
}

/// Returns what `table` knows of the members of the hub's roster: names and states.
fn members(table: &RosterTable) -> Vec<(NodeName, NodeState)> {
    table.members(HUB).map(|(heartbeat, _)| (heartbeat.node.clone(), heartbeat.state)).collect()
}

/// Has `to` ask `from`, which keeps the roster itself if `is_hub`, for updates at `now`.
fn pass_on(from: &RosterTable, is_hub: bool, to: &mut RosterTable, now: Moment) -> Vec<RosterUpdate> {
    let updates = from.updates_for(&to.known(), is_hub.then_some(HUB), NOBODY, now);
    for update in &updates {
        to.apply(update, now - update.age);
    }
    updates
}

proptest! {
    #![proptest_config(config(256))]

    /// Guards against copies that lack a node, keep one that is gone, or have an old state of one, whichever calls are
    /// lost. One copy is read from the hub, and the other from the first copy.
    #[test]
    fn copies_equal_the_roster_after_each_call_that_is_not_lost(
        steps in prop::collection::vec((any::<u16>(), any::<u16>(), any::<bool>(), any::<bool>()), 1..40)
    ) {
        let [mut hub, mut first, mut second] = [(); 3].map(|()| RosterTable::default());
        for (number, (present, leaving, reaches_first, reaches_second)) in steps.into_iter().enumerate() {
            let now = at(number as u64 * 100);
            let numbers = (0..16).filter(|bit| present & (1 << bit) != 0).collect();
            let listed = heartbeats(&numbers, leaving, number as u64 + 1);
            hub.set_own_members(listed.clone(), now);

            if reaches_first {
                pass_on(&hub, true, &mut first, now);
                let expected: Vec<_> = listed.iter().map(|member| (member.node.clone(), member.state)).collect();
                prop_assert_eq!(members(&first), expected);
            }
            if reaches_second {
                pass_on(&first, false, &mut second, now);
                prop_assert_eq!(members(&second), members(&first));
            }
        }
    }
}

#[test]
fn a_roster_without_changes_is_told_without_members_and_still_vouched_for() {
    let [mut hub, mut copy] = [(); 2].map(|()| RosterTable::default());
    let numbers = BTreeSet::from([1, 2]);
    hub.set_own_members(heartbeats(&numbers, 0, 1), at(0));
    pass_on(&hub, true, &mut copy, at(0));

    hub.set_own_members(heartbeats(&numbers, 0, 9), at(400));
    let updates = pass_on(&hub, true, &mut copy, at(450));

    assert!(updates.iter().all(|update| update.changed.is_empty() && update.gone.is_empty()), "{updates:?}");
    assert_eq!(updates[0].age, millis(50));
    assert!(copy.members(HUB).all(|(_, vouched_at)| vouched_at == at(400)));
}

#[test]
fn a_roster_is_not_told_to_its_own_hub_and_a_new_run_of_a_hub_has_another_one() {
    let mut hub = RosterTable::default();
    hub.set_own_members(heartbeats(&BTreeSet::from([1]), 0, 1), at(0));
    let mut copy = RosterTable::default();
    pass_on(&hub, true, &mut copy, at(0));

    assert!(copy.updates_for(&[], None, HUB, at(0)).is_empty());
    let name = NodeName::new("edge-1");
    assert_ne!(RosterId::of(&name, InstanceId(1)), RosterId::of(&name, InstanceId(2)));
}

/// Guards against nodes that stay known for ever because copies confirm each other: two copies pass the roster of a hub that
/// is gone back and forth.
#[test]
fn copies_of_the_roster_of_a_hub_that_is_gone_expire() {
    let [mut hub, mut one, mut other] = [(); 3].map(|()| RosterTable::default());
    hub.set_own_members(heartbeats(&BTreeSet::from([1, 2]), 0, 1), at(0));
    pass_on(&hub, true, &mut one, at(0));

    for step in 1..20 {
        let now = at(step * 200);
        pass_on(&one, false, &mut other, now);
        pass_on(&other, false, &mut one, now);
        one.remove_expired(now);
        other.remove_expired(now);
    }

    assert!(!one.lists(&node(1)) && !other.lists(&node(1)));
}

#[test]
fn an_update_that_does_not_continue_a_copy_changes_nothing() {
    let [mut hub, mut copy] = [(); 2].map(|()| RosterTable::default());
    hub.set_own_members(heartbeats(&BTreeSet::from([1]), 0, 1), at(0));
    pass_on(&hub, true, &mut copy, at(0));
    let known = copy.known();
    hub.set_own_members(heartbeats(&BTreeSet::from([1, 2]), 0, 2), at(100));
    let late = hub.updates_for(&known, Some(HUB), NOBODY, at(100));
    hub.set_own_members(heartbeats(&BTreeSet::from([1, 2, 3]), 0, 3), at(200));
    pass_on(&hub, true, &mut copy, at(200));

    assert_eq!(copy.apply(&late[0], at(100)), None, "an update that was overtaken");
    assert_eq!(RosterTable::default().apply(&late[0], at(100)), None, "a copy is missing");
    assert_eq!(members(&copy).len(), 3);
}
