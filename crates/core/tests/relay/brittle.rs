//! Simulation of brittle targets under overload: they crash when all nodes together have them reject too many calls.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wasabipier_core::message::NodeState;
use wasabipier_core::names::{NodeName, ServiceName, TargetName};
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::brittle::{BrittleTable, LeaseEnd, LeaseId, RejectTolerance};
use wasabipier_core::relay::fleet::MAX_SMALL_FLEET_NODES;
use wasabipier_core::relay::members::{RelayHeartbeat, TargetLoad, rendezvous_weight};
use wasabipier_core::relay::rate_limits::{PermitAnswer, PermitRequest};
use wasabipier_core::relay::targets::{CallResult, TargetEntry};

use crate::fixtures::{at, board, choose_for_plain_call, heartbeat, millis, target_entry};

const SERVICE: &str = "bookings";
const TARGET_COUNT: usize = 6;
const SLOT_COUNT: usize = 4;
/// Calls that wait at a target until it lets fewer wait.
const MAX_WAITING: usize = 4;
/// Time that a target works on a call, and that a message takes, in milliseconds.
const WORK_MS: u64 = 120;
const MESSAGE_MS: u64 = 4;
/// Interval of heartbeats in a small fleet, and of those that hubs of a large fleet relay, in milliseconds.
const HEARTBEAT_MS: u64 = 400;
const RELAYED_HEARTBEAT_MS: u64 = 1_000;
/// Time after which the keeper counts as not answering.
const PERMIT_TIMEOUT_MS: u64 = 60;
/// When the targets begin to say that they are brittle, when they let none wait, and when the simulation ends.
const BRITTLE_FROM_MS: u64 = 2_000;
const SHRUNK_FROM_MS: u64 = BRITTLE_FROM_MS + 3_000;
const END_MS: u64 = 12_000;
/// When the overload begins. There is little load before.
const OVERLOAD_FROM_MS: u64 = 4_000;
/// Time from the begin of a node's leave to its end.
const LEAVING_MS: u64 = 2_000;
/// Time after which callers leave that leave early, and after which a target notices that a call's connection has closed,
/// in milliseconds.
const PATIENCE_MS: u64 = 40;
const NOTICE_MS: u64 = 100;
/// Time for which a target that crashed is down.
const DOWN_MS: u64 = 2_000;
/// Crashes that the users tolerate in one time in which targets are brittle.
const MAX_CRASHES: usize = 2 + TARGET_COUNT / 10;
/// Calls that fit into the targets within a millisecond.
const ROOM_PER_MS: f64 = (TARGET_COUNT * SLOT_COUNT) as f64 / WORK_MS as f64;

#[derive(Debug)]
struct SimCall {
    node: usize,
    lease: Option<(LeaseId, usize)>,
    /// When the caller leaves, if it leaves early.
    left_at: Option<u64>,
}

#[derive(Debug, Default)]
struct SimTarget {
    running: Vec<(u64, SimCall)>,
    waiting: VecDeque<SimCall>,
    rejections: Vec<u64>,
    crashes: Vec<u64>,
}

/// What happens at a time.
#[derive(Debug)]
enum SimEvent {
    Arrival { target: usize, call: SimCall },
    Answer { target: usize, call: SimCall, result: CallResult, is_brittle: bool },
    CallerLeft { node: usize, target: usize, lease: Option<(LeaseId, usize)> },
    LeaseEnded { keeper: usize, end: LeaseEnd },
    OwnShare { node: usize },
}

/// A fleet under an overload of its targets.
struct Simulation {
    boards: Vec<RelayBoard>,
    targets: Vec<SimTarget>,
    events: BTreeMap<(u64, u64), SimEvent>,
    event_count: u64,
    tolerance: u32,
    /// Node that neither sends nor gets messages of peers, and from when on.
    cut_off: Option<(usize, u64)>,
    /// Nodes that leave, and when each begins to.
    leaving: Vec<(usize, u64)>,
    /// Fraction of the callers that leave early once the targets let none wait.
    impatient_ratio: f64,
    /// Leases of calls that were answered before their callers would have left.
    answered: BTreeSet<LeaseId>,
    served_count: u64,
    rejection_count: u64,
    random: fastrand::Rng,
}

fn target_name(index: usize) -> TargetName {
    TargetName::new(format!("i-{index}"))
}

fn node_name(index: usize) -> String {
    format!("edge-{index}")
}

impl Simulation {
    fn new(node_count: usize, tolerance: u32, seed: u64) -> Self {
        let boards = (0..node_count).map(|index| {
            let mut board = board(&node_name(index));
            board.random = fastrand::Rng::with_seed(seed * 1_000 + index as u64);
            board.state = NodeState::Serving;
            for target in 0..TARGET_COUNT {
                let entry = target_entry(target_name(target).as_str(), SERVICE, "khomas-a");
                board.upsert_target(TargetEntry { slots: SLOT_COUNT as u32, ..entry }, at(0));
            }
            board
        });
        Self {
            boards: boards.collect(),
            targets: (0..TARGET_COUNT).map(|_| SimTarget::default()).collect(),
            events: BTreeMap::new(),
            event_count: 0,
            tolerance,
            cut_off: None,
            leaving: Vec::new(),
            impatient_ratio: 0.0,
            answered: BTreeSet::new(),
            served_count: 0,
            rejection_count: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    fn schedule(&mut self, ms: u64, event: SimEvent) {
        self.event_count += 1;
        self.events.insert((ms, self.event_count), event);
    }

    fn has_ended(&self, node: usize, ms: u64) -> bool {
        self.leaving.iter().any(|(leaving, from)| *leaving == node && ms >= from + LEAVING_MS)
    }

    /// Has the nodes leave that begin to at `ms`. Each tells its peers at once.
    fn begin_leaving(&mut self, ms: u64) {
        let leaving = self.leaving.iter().filter(|(_, from)| *from == ms);
        for node in leaving.map(|(node, _)| *node).collect::<Vec<_>>() {
            self.boards[node].state = NodeState::Leaving;
            self.send_heartbeats(node, ms);
        }
    }

    fn can_talk(&self, left: usize, right: usize, ms: u64) -> bool {
        let is_cut = |node: usize| self.cut_off.is_some_and(|(cut, from)| node == cut && ms >= from);
        left == right || ![left, right].into_iter().any(|node| is_cut(node) || self.has_ended(node, ms))
    }

    /// Delivers heartbeats of the node to all others, as they arrive over hubs in a large fleet.
    fn send_heartbeats(&mut self, node: usize, ms: u64) {
        let state = self.boards[node].next_heartbeat(at(ms));
        for peer in 0..self.boards.len() {
            if peer != node && self.can_talk(node, peer, ms) {
                let mut copy = heartbeat(&node_name(node), state.sequence);
                (copy.state, copy.loads, copy.brittle) = (state.state, state.loads.clone(), state.brittle.clone());
                self.boards[peer].handle_heartbeat(copy, at(ms));
            }
        }
        self.boards[node].remove_expired(at(ms));
    }

    /// Returns a request for a permit for all targets that `node` may call, the one that it prefers first.
    fn permit_request(&mut self, node: usize, ms: u64) -> Option<PermitRequest> {
        let (service, lease) = (ServiceName::new(SERVICE), LeaseId(self.random.u64(..)));
        let board = &mut self.boards[node];
        let chosen = choose_for_plain_call(board, &service, at(ms))?;
        let mut targets = vec![board.target_limits(&service, &chosen.target)?];
        targets.extend(board.limited_targets(&service, TARGET_COUNT, at(ms)));
        Some(PermitRequest { service, rank: 0, targets, lease, hold_time: Duration::from_secs(5) })
    }

    /// Handles a request of a caller that arrives at `node`.
    fn handle_request(&mut self, node: usize, ms: u64) {
        let service = ServiceName::new(SERVICE);
        if self.boards[node].reject_tolerance(&service).is_none() {
            if let Some(entry) = choose_for_plain_call(&mut self.boards[node], &service, at(ms)) {
                self.send(node, &entry.target, None, ms);
            }
            return;
        }
        let keeper = self.boards[node].limit_keeper(&service, at(ms)).as_str().to_owned();
        let keeper = (0..self.boards.len()).find(|index| node_name(*index) == keeper).expect("the keeper is a node");
        if !self.can_talk(node, keeper, ms) {
            self.schedule(ms + PERMIT_TIMEOUT_MS, SimEvent::OwnShare { node });
            return;
        }
        let Some(request) = self.permit_request(node, ms) else { return };
        let answer = self.boards[keeper].take_permit(&request, at(ms));
        if keeper != node {
            self.boards[node].record_permit_answer(NodeName::new(node_name(keeper)), at(ms));
        }
        if let PermitAnswer::Granted(target) = answer {
            self.send(node, &target, Some((request.lease, keeper)), ms);
        }
    }

    fn send(&mut self, node: usize, target: &TargetName, lease: Option<(LeaseId, usize)>, ms: u64) {
        self.boards[node].targets.record_call_start(target, 0, at(ms));
        let index = (0..TARGET_COUNT).find(|index| target_name(*index) == *target).expect("the target is known");
        let is_impatient = ms >= SHRUNK_FROM_MS && self.impatient_ratio > 0.0;
        let left_at = (is_impatient && self.random.f64() < self.impatient_ratio).then_some(ms + PATIENCE_MS);
        let call = SimCall { node, lease, left_at };
        if let Some(left_at) = left_at {
            self.schedule(left_at, SimEvent::CallerLeft { node, target: index, lease });
        }
        self.schedule(ms + MESSAGE_MS, SimEvent::Arrival { target: index, call });
    }

    fn handle_arrival(&mut self, index: usize, call: SimCall, ms: u64) {
        let (is_brittle, is_shrunk) = (ms >= BRITTLE_FROM_MS, ms >= SHRUNK_FROM_MS);
        let max_waiting = if is_shrunk { 0 } else { MAX_WAITING };
        let target = &mut self.targets[index];
        let is_down = target.crashes.last().is_some_and(|crashed_at| ms < crashed_at + DOWN_MS);
        let result = if is_down {
            CallResult::Unreachable
        } else if target.running.len() < SLOT_COUNT {
            let noticed_at = call.left_at.map_or(u64::MAX, |left_at| left_at + MESSAGE_MS + NOTICE_MS);
            target.running.push((noticed_at.min(ms + WORK_MS), call));
            return;
        } else if target.waiting.len() < max_waiting {
            target.waiting.push_back(call);
            return;
        } else {
            if is_shrunk {
                self.rejection_count += 1;
                target.rejections.retain(|rejected_at| ms - rejected_at < 1_000);
                target.rejections.push(ms);
                if target.rejections.len() > self.tolerance as usize {
                    target.rejections.clear();
                    target.crashes.push(ms);
                    let running = std::mem::take(&mut target.running).into_iter().map(|(_, call)| call);
                    let lost: Vec<SimCall> = running.chain(std::mem::take(&mut target.waiting)).collect();
                    for call in lost {
                        let result = CallResult::Broken;
                        self.schedule(ms, SimEvent::Answer { target: index, call, result, is_brittle: false });
                    }
                }
            }
            CallResult::Full
        };
        let is_brittle = is_brittle && !is_down;
        self.schedule(ms + MESSAGE_MS, SimEvent::Answer { target: index, call, result, is_brittle });
    }

    fn finish_calls(&mut self, index: usize, ms: u64) {
        let target = &mut self.targets[index];
        let (ended, running) = std::mem::take(&mut target.running).into_iter().partition(|(end, _)| *end <= ms);
        target.running = running;
        while target.running.len() < SLOT_COUNT
            && let Some(call) = target.waiting.pop_front()
        {
            target.running.push((ms + WORK_MS, call));
        }
        let ended: Vec<(u64, SimCall)> = ended;
        for (_, call) in ended.into_iter().filter(|(_, call)| call.left_at.is_none()) {
            self.served_count += u64::from(ms >= SHRUNK_FROM_MS);
            let (result, is_brittle) = (CallResult::Good(millis(WORK_MS)), ms >= BRITTLE_FROM_MS);
            self.schedule(ms + MESSAGE_MS, SimEvent::Answer { target: index, call, result, is_brittle });
        }
    }

    fn handle_event(&mut self, event: SimEvent, ms: u64) {
        match event {
            SimEvent::Arrival { target, call } => self.handle_arrival(target, call, ms),
            SimEvent::Answer { call: SimCall { left_at: Some(left_at), .. }, .. } if ms >= left_at => {}
            SimEvent::Answer { target, call, result, is_brittle } => {
                let (name, board) = (target_name(target), &mut self.boards[call.node]);
                board.targets.record_call_end(&name, result, at(ms));
                self.answered.extend(call.lease.filter(|_| call.left_at.is_some()).map(|(lease, _)| lease));
                if is_brittle {
                    let tolerance = Some(RejectTolerance(self.tolerance));
                    board.brittle.record_answer(&name, tolerance, at(ms), at(ms));
                }
                if let Some((lease, keeper)) = call.lease
                    && self.can_talk(call.node, keeper, ms)
                {
                    let end = LeaseEnd { lease, target: name, is_rejected: result == CallResult::Full };
                    self.schedule(ms + MESSAGE_MS, SimEvent::LeaseEnded { keeper, end });
                }
            }
            SimEvent::CallerLeft { lease: Some((lease, _)), .. } if self.answered.remove(&lease) => {}
            SimEvent::CallerLeft { node, target, lease } => {
                let name = target_name(target);
                self.boards[node].targets.record_call_end(&name, CallResult::Unknown, at(ms));
                if let Some((lease, keeper)) = lease
                    && self.can_talk(node, keeper, ms)
                {
                    let end = LeaseEnd { lease, target: name, is_rejected: false };
                    let ended_at = ms + LeaseEnd::ABANDONED_DELAY.as_millis() as u64 + MESSAGE_MS;
                    self.schedule(ended_at, SimEvent::LeaseEnded { keeper, end });
                }
            }
            SimEvent::LeaseEnded { keeper, end } => self.boards[keeper].record_lease_end(&end, at(ms)),
            SimEvent::OwnShare { node } => {
                let Some(request) = self.permit_request(node, ms) else { return };
                if let PermitAnswer::Granted(target) = self.boards[node].take_own_share(&request, at(ms)) {
                    self.send(node, &target, Some((request.lease, node)), ms);
                }
            }
        }
    }

    /// Plays the overload: a little load at first, and then `overload` times what fits. Returns the number of crashes.
    fn run(&mut self, overload: f64) -> usize {
        let is_small = self.boards.len() <= MAX_SMALL_FLEET_NODES;
        let heartbeat_ms = if is_small { HEARTBEAT_MS } else { RELAYED_HEARTBEAT_MS };
        let mut due = 0.0;
        for ms in 0..END_MS {
            for node in 0..self.boards.len() {
                if (ms + node as u64 * 37).is_multiple_of(heartbeat_ms) {
                    self.send_heartbeats(node, ms);
                }
            }
            self.begin_leaving(ms);
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= ms
            {
                let event = entry.remove();
                self.handle_event(event, ms);
            }
            for target in 0..TARGET_COUNT {
                self.finish_calls(target, ms);
            }
            due += ROOM_PER_MS * if ms < OVERLOAD_FROM_MS { 0.3 } else { overload };
            while due >= 1.0 {
                due -= 1.0;
                let node = self.random.usize(..self.boards.len());
                if !self.has_ended(node, ms) {
                    self.handle_request(node, ms);
                }
            }
        }
        self.targets.iter().map(|target| target.crashes.len()).sum()
    }

    /// Returns the nodes in the order in which they are the keeper while those before them are gone.
    fn keepers(&self) -> Vec<usize> {
        let mut nodes: Vec<usize> = (0..self.boards.len()).collect();
        nodes.sort_by_key(|node| std::cmp::Reverse(rendezvous_weight(SERVICE, &node_name(*node))));
        nodes
    }

    /// Returns the served fraction of what fits after the targets let none wait.
    fn served_ratio(&self) -> f64 {
        self.served_count as f64 / ((END_MS - SHRUNK_FROM_MS) as f64 * ROOM_PER_MS)
    }
}

/// Guards against brittle targets that crash since nodes that leave in series, each while it leases the targets' room, and
/// those that take over lease the same room.
#[test]
fn brittle_targets_stay_up_while_the_nodes_that_lease_their_room_leave_in_series() {
    for (node_count, tolerance, seed) in [(7, 1, 1), (7, 2, 2), (7, 5, 3), (9, 1, 4), (61, 1, 5), (61, 5, 6)] {
        let mut simulation = Simulation::new(node_count, tolerance, seed);
        let times = [SHRUNK_FROM_MS + 500, SHRUNK_FROM_MS + 2_000, SHRUNK_FROM_MS + 3_500];
        simulation.leaving = simulation.keepers().into_iter().zip(times).collect();

        let crashes = simulation.run(2.6);

        let (ratio, rejections) = (simulation.served_ratio(), simulation.rejection_count);
        let case = format!("{node_count} nodes, tolerance {tolerance}: {rejections} rejections");
        println!("{case}, {crashes} crashes, {ratio:.3}");
        assert_eq!(crashes, 0, "{case}");
    }
}

/// Guards against room that is leased again while the target still works on a call whose caller has left (LIMIT).
#[test]
fn brittle_targets_stay_up_while_callers_leave_early() {
    for (node_count, tolerance, seed) in [(7, 5, 1), (7, 2, 2), (9, 3, 3), (61, 5, 4)] {
        for impatient_ratio in [0.1, 0.3] {
            let mut simulation = Simulation::new(node_count, tolerance, seed);
            simulation.impatient_ratio = impatient_ratio;

            let crashes = simulation.run(2.6);

            let (ratio, rejections) = (simulation.served_ratio(), simulation.rejection_count);
            let case = format!("{node_count} nodes, tolerance {tolerance}, {impatient_ratio} leave");
            println!("{case}: {rejections} rejections, {crashes} crashes, {ratio:.3}");
            assert_eq!((rejections, crashes), (0, 0), "{case}");
        }
    }
}

/// Guards against nodes that each have a brittle target reject a few calls, which together are too many.
#[test]
fn brittle_targets_do_not_crash_in_an_overload_and_are_used_nearly_in_full() {
    for (node_count, tolerance, seed) in [(7, 5, 1), (7, 1, 2), (9, 3, 3), (61, 5, 4)] {
        let mut simulation = Simulation::new(node_count, tolerance, seed);

        let crashes = simulation.run(2.6);

        let (ratio, rejections) = (simulation.served_ratio(), simulation.rejection_count);
        let case = format!("{node_count} nodes, tolerance {tolerance}: {rejections} rejections");
        println!("{case}, {crashes} crashes, {ratio:.3}");
        assert_eq!(crashes, 0, "{case}");
        assert!(ratio > 0.8, "{case}, {ratio:.3} of the room was used");
    }
}

/// Guards against a node that is cut off from its peers and sends what the whole fleet may.
#[test]
fn a_node_without_its_peers_does_not_crash_brittle_targets() {
    let cuts = [(7, 4_500, 1), (7, 8_000, 2), (9, 6_000, 3), (61, 4_500, 4)];
    for ((node_count, cut_ms, seed), is_keeper) in cuts.into_iter().flat_map(|cut| [(cut, false), (cut, true)]) {
        let mut simulation = Simulation::new(node_count, 5, seed);
        let keeper = simulation.keepers()[0];
        let cut_off = (0..node_count).find(|index| (*index == keeper) == is_keeper);
        simulation.cut_off = Some((cut_off.expect("there is such a node"), cut_ms));

        let crashes = simulation.run(2.6);

        let (ratio, rejections) = (simulation.served_ratio(), simulation.rejection_count);
        let case = format!("{node_count} nodes, cut at {cut_ms}, keeper {is_keeper}: {rejections} rejections");
        println!("{case}, {crashes} crashes, {ratio:.3}");
        assert!(crashes <= MAX_CRASHES, "{case}, {crashes} crashes");
        assert!(ratio > 0.5, "{case}, {ratio:.3} of the room was used");
    }
}

#[test]
fn a_target_that_has_said_nothing_is_brittle_while_another_of_its_service_is() {
    let (mut board, service) = (board("edge-1"), ServiceName::new(SERVICE));
    for target in 0..3 {
        board.upsert_target(target_entry(target_name(target).as_str(), SERVICE, "khomas-a"), at(0));
    }
    let record = |brittle: &mut BrittleTable, target: usize, tolerance: Option<u32>, ms: u64| {
        brittle.record_answer(&target_name(target), tolerance.map(RejectTolerance), at(ms), at(ms));
    };
    record(&mut board.brittle, 0, Some(5), 10);
    record(&mut board.brittle, 1, Some(4), 10);

    record(&mut board.brittle, 1, None, 20);

    let limits = [0, 1, 2].map(|target| board.room_limit(&service, &target_name(target)));
    let tolerances = limits.map(|limit| limit.map(|limit| limit.tolerance.0));
    assert_eq!(tolerances, [Some(5), None, Some(5)]);
    record(&mut board.brittle, 0, None, 30);
    assert_eq!(board.room_limit(&service, &target_name(2)), None);
}

/// Guards against calls for pieces that a target has no room for.
#[test]
fn a_batching_node_calls_a_brittle_target_within_its_room_only() {
    let (mut board, service, name) = (board("edge-1"), ServiceName::new(SERVICE), target_name(0));
    board.state = NodeState::Serving;
    board.upsert_target(TargetEntry { slots: 2, ..target_entry(name.as_str(), SERVICE, "khomas-a") }, at(0));
    board.brittle.record_answer(&name, Some(RejectTolerance(5)), at(0), at(0));
    // The node has been the keeper for long, so that it gives all of the room.
    assert_eq!(board.targets_within_limits(&service, at(0)).len(), 1);
    let now = at(10_000);
    for lease in 0..2 {
        assert_eq!(board.targets_within_limits(&service, now).len(), 1);
        assert!(board.grant_room(&service, &name, LeaseId(lease), millis(1_000), now));
    }

    let full = board.targets_within_limits(&service, now);
    board.record_lease_end(&LeaseEnd { lease: LeaseId(0), target: name.clone(), is_rejected: false }, now);

    assert_eq!((full, board.targets_within_limits(&service, now)), (Vec::new(), vec![name]));
}

/// Guards against a node that becomes the keeper again and leases room that another one has leased meanwhile.
#[test]
fn a_node_that_is_the_keeper_again_counts_the_calls_that_others_have_leased() {
    let (mut board, service, name) = (board("edge-1"), ServiceName::new(SERVICE), target_name(0));
    board.state = NodeState::Serving;
    board.upsert_target(TargetEntry { slots: 4, ..target_entry(name.as_str(), SERVICE, "khomas-a") }, at(0));
    board.brittle.record_answer(&name, Some(RejectTolerance(1)), at(0), at(0));
    assert_eq!(board.targets_within_limits(&service, at(0)).len(), 1);
    let stronger = |sequence: u64, state: NodeState, in_flight: u32| {
        let load = TargetLoad { target: target_name(0), in_flight, pending_prompt_tokens: 0 };
        RelayHeartbeat { capacity: 9, state, loads: vec![load], ..heartbeat("edge-2", sequence) }
    };
    board.handle_heartbeat(stronger(1, NodeState::Serving, 0), at(100));
    assert_eq!(board.limit_keeper(&service, at(200)).as_str(), "edge-2");
    assert_eq!(board.targets_within_limits(&service, at(1_000)).len(), 1);

    board.handle_heartbeat(stronger(2, NodeState::Leaving, 4), at(1_100));

    assert_eq!(board.limit_keeper(&service, at(1_200)).as_str(), "edge-1");
    assert_eq!(board.targets_within_limits(&service, at(1_200)), Vec::new());
    board.handle_heartbeat(stronger(3, NodeState::Leaving, 0), at(1_500));
    assert_eq!(board.targets_within_limits(&service, at(1_600)), vec![name]);
}

/// Guards against nodes that lease room beside a keeper that is only late to answer, and which has leased it already.
#[test]
fn a_node_takes_no_share_of_the_room_just_after_an_answer_of_the_keeper() {
    let (mut board, service, name) = (board("edge-1"), ServiceName::new(SERVICE), target_name(0));
    board.state = NodeState::Serving;
    board.upsert_target(target_entry(name.as_str(), SERVICE, "khomas-a"), at(0));
    board.brittle.record_answer(&name, Some(RejectTolerance(5)), at(0), at(0));
    board.handle_heartbeat(RelayHeartbeat { capacity: 9, ..heartbeat("edge-2", 1) }, at(0));
    let targets = vec![board.target_limits(&service, &name).expect("the target is brittle")];
    let request = PermitRequest { service, rank: 0, targets, lease: LeaseId(1), hold_time: millis(1_000) };
    board.record_permit_answer(NodeName::new("edge-2"), at(100));

    let just_after = board.take_own_share(&request, at(300));
    let later = board.take_own_share(&request, at(700));

    assert!(matches!(just_after, PermitAnswer::Denied(_)), "{just_after:?}");
    assert_eq!(later, PermitAnswer::Granted(name));
}
