//! Tests of the placement of prompts by hubs, against a model of choosers, delays and engines without network.
//!
//! The load is that of a quiet day of a large fleet: many nodes of which each sees a few prompts a second, hundreds of
//! shared parts, and engines that read one prompt after the other.

use std::collections::BTreeMap;

use wasabipier_core::blackboard::Identity;
use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{DcName, NodeName, ServiceName, TargetName};
use wasabipier_core::relay::board::{RelayBoard, RelayTuning};
use wasabipier_core::relay::choice::{CallRequirements, PromptPart, PromptSpec};
use wasabipier_core::relay::members::{CallVersion, RelayHeartbeat, TargetLoad};
use wasabipier_core::relay::placement::{GrantEnd, GrantEvent, GrantId, PlacementRequest, PlacementSite};
use wasabipier_core::relay::rollout::VersionLane;
use wasabipier_core::relay::targets::TargetView;

use crate::fixtures::{address, at, heartbeat, identity, millis, target_entry};

const SERVICE: &str = "coachmodel";
const DCS: [&str; 5] = ["khomas-a", "khomas-b", "khomas-c", "khomas-d", "khomas-e"];

/// Returns the board of `node` in `dc`, which knows `engine_count` engines and one hub in each of `DCS`, all of which read
/// calls of `call_version`.
fn board_of(node: &str, dc: &str, engine_count: usize, call_version: CallVersion) -> RelayBoard {
    let identity = Identity { dc: DcName::new(dc), ..identity(node) };
    let mut board = RelayBoard::new(identity, RelayTuning { capacity: 1, ..RelayTuning::default() });
    board.state = NodeState::Serving;
    for (number, dc) in DCS.iter().enumerate() {
        for follower in 0..3 {
            let (name, capacity) = match follower {
                0 => (format!("hub-{number}"), 100),
                _ => (format!("edge-{number}-{follower}"), 1),
            };
            if name != node {
                let peer = RelayHeartbeat {
                    dc: DcName::new(dc),
                    capacity,
                    call_version,
                    peer_address: address(1000 + number as u16),
                    ..heartbeat(&name, 1)
                };
                board.handle_heartbeat(peer, at(0));
            }
        }
    }
    if node.starts_with("hub") {
        board.tuning.capacity = 100;
    }
    for engine in 0..engine_count {
        board.upsert_target(target_entry(&format!("i-{engine:03}"), SERVICE, DCS[engine % DCS.len()]), at(0));
    }
    board
}

fn prompt(shared: u64, own: u64) -> PromptSpec {
    PromptSpec { parts: vec![PromptPart { id: shared, tokens: 6_300 }, PromptPart { id: own, tokens: 3_000 }] }
}

fn site_of(board: &RelayBoard, prompt: &PromptSpec) -> PlacementSite {
    let service = ServiceName::new(SERVICE);
    let call = CallRequirements {
        service: &service,
        avoid: &[],
        prompt: Some(prompt),
        input_bytes_by_dc: &BTreeMap::new(),
        only_unlimited: false,
    };
    board.placement_site(&call, at(10))
}

fn request(prompt: PromptSpec, holder: &str) -> PlacementRequest {
    PlacementRequest {
        service: ServiceName::new(SERVICE),
        lane: VersionLane::Any,
        prompt,
        avoid: Vec::new(),
        input_bytes_by_dc: BTreeMap::new(),
        hold_time: millis(9_000),
        holder: NodeName::new(holder),
    }
}

fn in_flight(board: &RelayBoard, target: &TargetName) -> u32 {
    board.targets.get(target).map_or(0, TargetView::total_in_flight)
}

#[test]
fn all_nodes_ask_the_same_hub_to_place_a_shared_prompt_and_every_hub_is_asked() {
    let boards = [
        board_of("edge-0-1", DCS[0], 60, CallVersion::CURRENT),
        board_of("edge-3-2", DCS[3], 60, CallVersion::CURRENT),
    ];

    let mut hubs: BTreeMap<NodeName, u32> = BTreeMap::new();
    for shared in 0..100 {
        let [one, other] = [0, 1].map(|board| site_of(&boards[board], &prompt(shared, 7 + board as u64)));
        assert_eq!(one, other);
        let PlacementSite::Hub(hub, _) = one else { panic!("a hub places it: {one:?}") };
        *hubs.entry(hub).or_default() += 1;
    }

    assert_eq!(hubs.len(), DCS.len(), "{hubs:?}");
}

#[test]
fn nodes_choose_for_themselves_without_a_hub_that_places_prompts() {
    let old = board_of("edge-0-1", DCS[0], 60, CallVersion::BASE);
    let hub = board_of("hub-0", DCS[0], 60, CallVersion::BASE);

    assert_eq!(site_of(&old, &prompt(1, 2)), PlacementSite::Apart);
    assert_eq!(site_of(&hub, &prompt(1, 2)), PlacementSite::Here, "it places for its own callers");
}

#[test]
fn a_grant_counts_until_its_call_has_ended_or_must_have() {
    let mut hub = board_of("hub-0", DCS[0], 10, CallVersion::CURRENT);

    let first = hub.grant_placement(&request(prompt(1, 2), "edge-0-1"), at(10)).expect("engines are free");
    let counted = (in_flight(&hub, &first.target), first.unread_tokens);
    hub.handle_grant_event(first.id, GrantEvent::PromptRead, at(200));
    let read = hub.targets.get(&first.target).map(TargetView::total_pending_tokens);
    hub.handle_grant_event(first.id, GrantEvent::Ended(GrantEnd::Good), at(900));
    let ended = in_flight(&hub, &first.target);
    let second = hub.grant_placement(&request(prompt(1, 3), "edge-0-1"), at(1_000)).expect("engines are free");
    hub.remove_expired(at(1_100));
    let open = in_flight(&hub, &second.target);
    hub.remove_expired(at(10_100));

    assert_eq!((counted, read, ended, open), ((1, 9_300), Some(0), 0, 1));
    assert_eq!((second.target.clone(), second.unread_tokens), (first.target, 3_000), "the shared part is cached");
    assert_eq!(in_flight(&hub, &second.target), 0);
    hub.handle_grant_event(second.id, GrantEvent::Ended(GrantEnd::Good), at(10_200));
    assert_eq!(in_flight(&hub, &second.target), 0);
}

/// Guards against grants of a node that was killed, which would count until the deadlines of its requests.
#[test]
fn grants_of_a_node_that_is_gone_do_not_count() {
    let mut hub = board_of("hub-0", DCS[0], 10, CallVersion::CURRENT);
    let grant = hub.grant_placement(&request(prompt(1, 2), "edge-0-1"), at(10)).expect("engines are free");

    hub.remove_expired(at(1_700));
    let before = in_flight(&hub, &grant.target);
    hub.remove_expired(at(1_900));

    assert_eq!((before, in_flight(&hub, &grant.target)), (1, 0));
}

/// Guards against calls that count twice: in the heartbeats of the nodes that make them and in the grants of hubs.
#[test]
fn a_granted_call_that_its_node_reports_counts_once() {
    let mut hub = board_of("hub-0", DCS[0], 10, CallVersion::CURRENT);
    let grant = hub.grant_placement(&request(prompt(1, 2), "edge-0-1"), at(10)).expect("engines are free");
    let load = TargetLoad { target: grant.target.clone(), in_flight: 1, pending_prompt_tokens: 9_300 };

    hub.handle_load_report(&NodeName::new("edge-0-1"), vec![load.clone()], at(20));
    hub.targets.set_peer_grants(&NodeName::new("hub-1"), vec![TargetLoad { in_flight: 2, ..load }]);

    assert_eq!(in_flight(&hub, &grant.target), 3, "one of this hub and two of the other");
}

/// Guards against an engine that is down and gets the prompts of each node anew.
#[test]
fn an_engine_that_a_node_did_not_reach_gets_no_grants_for_a_while() {
    let mut hub = board_of("hub-0", DCS[0], 10, CallVersion::CURRENT);
    let first = hub.grant_placement(&request(prompt(1, 2), "edge-0-1"), at(10)).expect("engines are free");

    hub.handle_grant_event(first.id, GrantEvent::Ended(GrantEnd::Unreachable), at(100));
    let next = hub.grant_placement(&request(prompt(1, 3), "edge-0-2"), at(110)).expect("engines are free");

    assert_ne!(next.target, first.target);
}

/// A fleet of which each prompt is placed by a hub or by its own node, and engines that read prompts one by one.
struct PlacementModel {
    /// Boards that choose: the hubs, or all nodes.
    choosers: Vec<RelayBoard>,
    /// When each engine has read its last prompt.
    busy_until: BTreeMap<TargetName, Moment>,
    calls: BTreeMap<TargetName, u32>,
    waits_ms: Vec<u64>,
    /// Grants whose prompts will have been read: when, the hub, and the grant.
    reads: Vec<(Moment, usize, GrantId)>,
}

/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: u64 = 50;

impl PlacementModel {
    fn new(engine_count: usize) -> Self {
        let choosers = DCS.iter().enumerate();
        let choosers =
            choosers.map(|(number, dc)| board_of(&format!("hub-{number}"), dc, engine_count, CallVersion::CURRENT));
        Self {
            choosers: choosers.collect(),
            busy_until: BTreeMap::new(),
            calls: BTreeMap::new(),
            waits_ms: Vec::new(),
            reads: Vec::new(),
        }
    }

    /// Places one prompt and has its engine read it. Hubs hear of it 20 ms after it is read.
    fn place(&mut self, asking: &RelayBoard, prompt: PromptSpec, now: Moment) {
        self.reads.sort();
        while self.reads.first().is_some_and(|(at, ..)| *at + millis(20) <= now) {
            let (_, hub, grant) = self.reads.remove(0);
            self.choosers[hub].handle_grant_event(grant, GrantEvent::PromptRead, now);
            self.choosers[hub].handle_grant_event(grant, GrantEvent::Ended(GrantEnd::Good), now);
        }
        let PlacementSite::Hub(hub, _) = site_of(asking, &prompt) else { panic!("a hub places it") };
        let hub = self.choosers.iter().position(|board| board.identity.node == hub).expect("the hub is there");
        let grant = self.choosers[hub].grant_placement(&request(prompt, "edge-0-1"), now).expect("engines are free");
        let busy_until = self.busy_until.entry(grant.target.clone()).or_default();
        let started = now.max(*busy_until);
        *busy_until = started + millis(u64::from(grant.unread_tokens) / TOKENS_PER_MS);
        self.reads.push((*busy_until, hub, grant.id));
        self.waits_ms.push(started.since(now).as_millis() as u64);
        *self.calls.entry(grant.target).or_default() += 1;
    }

    fn tell_loads(&mut self) {
        let loads: Vec<_> = self.choosers.iter().map(|hub| (hub.identity.node.clone(), hub.grants.loads())).collect();
        for hub in &mut self.choosers {
            for (other, loads) in loads.iter().filter(|(other, _)| *other != hub.identity.node) {
                hub.targets.set_peer_grants(other, loads.clone());
            }
        }
    }

    fn busiest_to_mean(&self, engine_count: usize) -> f64 {
        let total: u32 = self.calls.values().sum();
        let most = self.calls.values().max().copied().unwrap_or_default();
        f64::from(most) * engine_count as f64 / f64::from(total)
    }

    fn p99_wait_ms(&mut self) -> u64 {
        self.waits_ms.sort_unstable();
        self.waits_ms[self.waits_ms.len() * 99 / 100]
    }
}

/// Guards against engines with a long queue beside idle ones: hundreds of choosers with late news of each other picked the
/// same engine, and the busiest one got 2.5 times the mean of calls.
#[test]
fn prompts_of_hundreds_of_nodes_wait_little_and_are_spread_over_engines() {
    const ENGINE_COUNT: usize = 240;
    const PROMPTS: u64 = 6_000;
    let asking = board_of("edge-0-1", DCS[0], ENGINE_COUNT, CallVersion::CURRENT);
    let mut model = PlacementModel::new(ENGINE_COUNT);
    let mut random = fastrand::Rng::with_seed(42);

    // 400 prompts a second of 1,000 shared parts.
    for number in 0..PROMPTS {
        let now = at(10 + number * 5 / 2);
        if number % 40 == 0 {
            model.tell_loads();
        }
        model.place(&asking, prompt(random.u64(..1_000), 1_000_000 + number), now);
    }

    let (busiest, p99) = (model.busiest_to_mean(ENGINE_COUNT), model.p99_wait_ms());
    assert!(busiest <= 2.0, "the busiest engine gets {busiest:.2} times the mean");
    assert!(p99 <= 300, "p99 of the wait is {p99} ms");
}

/// Guards against a hot shared part that is read by one engine only, or by all of them.
#[test]
fn a_hot_shared_part_spreads_as_far_as_its_queue_requires() {
    const ENGINE_COUNT: usize = 60;
    let asking = board_of("edge-0-1", DCS[0], ENGINE_COUNT, CallVersion::CURRENT);
    let mut model = PlacementModel::new(ENGINE_COUNT);

    // 100 prompts a second of one shared part: each takes an engine 60 ms, which is the work of six engines.
    for number in 0..400 {
        model.place(&asking, prompt(1, 1_000 + number), at(10 + number * 10));
    }

    let engines = model.calls.len();
    assert!((6..=20).contains(&engines), "{engines} engines read it");
    let p99 = model.p99_wait_ms();
    assert!(p99 <= 700, "p99 of the wait is {p99} ms");
}
