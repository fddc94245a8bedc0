//! Tests of admission under overload for the load in which two classes share stages: the more urgent one has the longer
//! pipeline and the shorter objective, so that its own estimate refuses it while the less urgent one fills the stages.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::clock::Moment;
use wasabipier_core::message::NodeState;
use wasabipier_core::names::{DcName, ServiceName};
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::document::{BatchSpec, DocumentIndex, RelayDocument, RelayRoute, RelayService, StageSpec};
use wasabipier_core::relay::overload::{OverloadBounds, RequestPlan, estimate_times, refuse_for_load};
use wasabipier_core::relay::pieces::{CallPlan, PieceJob, PieceResult, PieceSource, PieceTicket};
use wasabipier_core::relay::rank_guard::{RankGuard, RankGuardLimits, RequestSample};
use wasabipier_core::relay::targets::TargetView;

use crate::fixtures::{at, board, millis, route, target_entry};

/// Stage services with the number of targets, the pieces of a call, and the microseconds of a piece. Only the more urgent
/// class needs the last one.
const SERVICES: [(&str, usize, usize, u64); 4] =
    [("a", 11, 8, 16_000), ("b", 15, 22, 5_800), ("c", 18, 36, 3_600), ("own", 11, 8, 16_000)];
/// Pieces of a request by service.
const PIECES: [u32; 4] = [4, 14, 28, 4];
/// Requests per second that the shared stages can process in full batches: 11 targets with 8 pieces in 278 ms.
const FITTING_RATE: f64 = 79.0;
const NODE_COUNT: usize = 75;
const FINAL_CALL_MS: u64 = 150;

fn service_name(index: usize) -> ServiceName {
    ServiceName::new(SERVICES[index].0)
}

fn batch_spec(index: usize) -> BatchSpec {
    let (_, _, max_pieces, piece_us) = SERVICES[index];
    let piece_time = Duration::from_micros(piece_us);
    BatchSpec { max_pieces, piece_time, fixed_call_time: millis(150), ..BatchSpec::default() }
}

/// Returns the route of the class with rank 1 or 2, whose stages follow one another.
fn class_route(rank: u8) -> Arc<RelayRoute> {
    let stage = |index: usize| StageSpec {
        service: service_name(index),
        input_stages: index.checked_sub(1).into_iter().collect(),
        result_bytes: 1_000,
    };
    let (count, objective, timeout) = if rank == 1 { (4, 1_500, 6_000) } else { (3, 4_000, 8_000) };
    let stages = (0..count).map(stage).collect();
    let (objective, timeout) = (millis(objective), millis(timeout));
    Arc::new(RelayRoute { rank, objective, timeout, stages, ..route("/", "engines") })
}

fn plan_of(route: &Arc<RelayRoute>) -> RequestPlan<'_> {
    RequestPlan {
        route,
        pieces: &PIECES,
        rank: route.rank,
        final_call_duration: millis(FINAL_CALL_MS),
        time_left: route.timeout,
    }
}

/// Returns a node with a document that has the stage services.
fn stage_board(number: usize) -> RelayBoard {
    let service = |index| (service_name(index), RelayService { batch: Some(batch_spec(index)), ..Default::default() });
    let services = (0..SERVICES.len()).map(service).collect();
    let mut board = board(&format!("node-{number}"));
    board.state = NodeState::Serving;
    board.random = fastrand::Rng::with_seed(number as u64);
    board.index = Arc::new(DocumentIndex::new(RelayDocument { version: 1, services, ..RelayDocument::default() }));
    board
}

/// Settings with which the guard refuses nothing.
fn without_guard() -> OverloadBounds {
    OverloadBounds {
        rank_guard: RankGuardLimits { tolerance: 1.0, ..RankGuardLimits::default() },
        ..OverloadBounds::default()
    }
}

/// Returns the retry time of a request that is refused by the rule for requests that compete with no other rank, or `None`
/// if that rule accepts it.
fn retry_by_estimate(board: &RelayBoard, plan: &RequestPlan<'_>, now: Moment) -> Option<Duration> {
    let times = estimate_times(board, plan, now);
    let max_late = plan.route.objective.mul_f64(1.3).min(plan.time_left.mul_f64(0.5));
    let is_accepted = times.on_time <= plan.route.objective || times.late <= max_late;
    let factor = 0.3 + 0.4 * board.random.clone().f64();
    (!is_accepted).then(|| times.late.mul_f64(factor).clamp(millis(200), millis(4_000)))
}

/// What became of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ClassTally {
    offered: u32,
    refused: u32,
    expired: u32,
    on_time: u32,
    late: u32,
}

impl ClassTally {
    fn served_share(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.offered)
    }
}

/// A request that was admitted.
struct OpenRequest {
    rank: u8,
    arrived: Moment,
    stage: usize,
    missing: u32,
    tickets: Vec<PieceTicket>,
}

/// Nodes that admit requests by what the node that batches all pieces reports in its heartbeats.
struct FleetSimulation {
    bounds: OverloadBounds,
    boards: Vec<RelayBoard>,
    /// Routes of the classes that requests arrive of, by rank.
    routes: BTreeMap<u8, Arc<RelayRoute>>,
    random: fastrand::Rng,
    open: BTreeMap<usize, OpenRequest>,
    owners: BTreeMap<(usize, PieceTicket), usize>,
    calls: Vec<(Moment, usize, CallPlan)>,
    request_count: usize,
    /// Outcomes by the period in which the request arrived, and its rank.
    tallies: BTreeMap<(usize, u8), ClassTally>,
    periods: Vec<u64>,
}

impl FleetSimulation {
    const STEP_MS: u64 = 5;
    const HEARTBEAT_MS: u64 = 400;

    fn new(bounds: OverloadBounds, seed: u64) -> Self {
        let mut boards: Vec<RelayBoard> = (0..NODE_COUNT).map(stage_board).collect();
        for (service, count, ..) in SERVICES {
            for number in 0..count {
                boards[0].upsert_target(target_entry(&format!("{service}-{number}"), service, "khomas-a"), at(0));
            }
        }
        Self {
            bounds,
            boards,
            routes: [1, 2].map(|rank| (rank, class_route(rank))).into(),
            random: fastrand::Rng::with_seed(seed),
            open: BTreeMap::new(),
            owners: BTreeMap::new(),
            calls: Vec::new(),
            request_count: 0,
            tallies: BTreeMap::new(),
            periods: Vec::new(),
        }
    }

    /// Runs periods of load one after another, each with its length in ms and its load as a multiple of what fits.
    fn run(&mut self, periods: &[(u64, f64)]) {
        let mut start = 0;
        let mut next_arrival = 0.0;
        for (length, load) in periods {
            let end = start + length;
            self.periods.push(end);
            for ms in (start..end).step_by(Self::STEP_MS as usize) {
                self.advance_to(ms);
                next_arrival = f64::max(next_arrival, ms as f64);
                while *load > 0.0 && next_arrival < (ms + Self::STEP_MS) as f64 {
                    self.arrive(at(ms));
                    next_arrival += -(1.0 - self.random.f64()).ln() * 1e3 / (FITTING_RATE * load);
                }
            }
            start = end;
        }
    }

    fn tally(&mut self, arrived: Moment, rank: u8) -> &mut ClassTally {
        let period = self.periods.iter().position(|end| arrived < at(*end)).expect("the period has begun");
        self.tallies.entry((period, rank)).or_default()
    }

    /// Has a request of a random class arrive at a random node.
    fn arrive(&mut self, now: Moment) {
        let ranks = &self.routes;
        let (rank, node) = (self.random.choice(ranks.keys()), self.random.usize(..NODE_COUNT));
        let rank = *rank.expect("there is a class");
        let route = self.routes[&rank].clone();
        self.tally(now, rank).offered += 1;
        let by_estimate = retry_by_estimate(&self.boards[node], &plan_of(&route), now);
        let refusal = refuse_for_load(&mut self.boards[node], &plan_of(&route), &self.bounds, now);
        if self.routes.len() == 1 {
            assert_eq!(refusal.as_ref().map(|refusal| refusal.retry_after), by_estimate);
        }
        if let Some(refusal) = refusal {
            assert!(refusal.retry_after < route.timeout, "{refusal:?}");
            self.tally(now, rank).refused += 1;
            return;
        }
        self.request_count += 1;
        let id = self.request_count;
        let open = OpenRequest { rank, arrived: now, stage: 0, missing: 0, tickets: Vec::new() };
        self.open.insert(id, open);
        self.start_stage(id, now);
    }

    fn start_stage(&mut self, id: usize, now: Moment) {
        let request = self.open.get_mut(&id).expect("the request is open");
        let (route, stage) = (&self.routes[&request.rank], request.stage);
        let call_time = |index: usize| batch_spec(index).fixed_call_time + batch_spec(index).piece_time * PIECES[index];
        let time_needed = (stage..route.stages.len()).map(call_time).sum::<Duration>() + millis(FINAL_CALL_MS);
        request.missing = PIECES[stage];
        request.tickets.clear();
        for segment in 0..PIECES[stage] {
            let job = PieceJob {
                request: Arc::from(format!("request-{id}")),
                stage: stage as u32,
                segment,
                source: PieceSource::Content(Arc::from("key")),
                deadline: request.arrived + route.timeout,
                objective: request.arrived + route.objective,
                time_needed,
                rank: request.rank,
                wanted_in: None,
                result_bytes: 1_000,
                remote_bytes: 1_000,
            };
            let ticket = self.boards[0].pieces.queue_mut(&service_name(stage)).push(job, now);
            request.tickets.push(ticket);
            self.owners.insert((stage, ticket), id);
        }
    }

    fn advance_to(&mut self, ms: u64) {
        let now = at(ms);
        let (ended, running) = std::mem::take(&mut self.calls).into_iter().partition(|(end, ..)| *end <= now);
        self.calls = running;
        for (_, stage, plan) in ended {
            self.end_call(stage, &plan, now);
        }
        for stage in 0..SERVICES.len() {
            let expired = self.boards[0].pieces.queue_mut(&service_name(stage)).take_expired(now);
            for ticket in expired {
                self.expire(self.owners[&(stage, ticket)]);
            }
            let RelayBoard { pieces, targets, .. } = &mut self.boards[0];
            let views: Vec<&TargetView> = targets.of(&service_name(stage)).collect();
            let spec = batch_spec(stage);
            while let Some(plan) = pieces.queue_mut(&service_name(stage)).plan(&spec, &views, now) {
                let end = now + spec.fixed_call_time + spec.piece_time * plan.pieces.len() as u32;
                self.calls.push((end, stage, plan));
            }
        }
        let mut heartbeat = None;
        for number in 1..NODE_COUNT {
            if (ms + number as u64 * Self::STEP_MS).is_multiple_of(Self::HEARTBEAT_MS) {
                let heartbeat = heartbeat.get_or_insert_with(|| self.boards[0].next_heartbeat(now)).clone();
                self.boards[number].handle_heartbeat(heartbeat, now);
            }
        }
    }

    fn end_call(&mut self, stage: usize, plan: &CallPlan, now: Moment) {
        let result = || Ok(PieceResult { handle: Arc::from("result"), dc: DcName::new("khomas-a") });
        let outcomes = plan.pieces.iter().map(|_| result()).collect();
        let finished =
            self.boards[0].pieces.queue_mut(&service_name(stage)).finish(&batch_spec(stage), plan, outcomes, now);
        for (ticket, _) in finished {
            let id = self.owners[&(stage, ticket)];
            let Some(request) = self.open.get_mut(&id) else { continue };
            request.missing -= 1;
            if request.missing > 0 {
                continue;
            }
            request.stage += 1;
            if request.stage < self.routes[&request.rank].stages.len() {
                self.start_stage(id, now);
                continue;
            }
            let request = self.open.remove(&id).expect("the request is open");
            let is_on_time = now + millis(FINAL_CALL_MS) <= request.arrived + self.routes[&request.rank].objective;
            let tally = self.tally(request.arrived, request.rank);
            if is_on_time {
                tally.on_time += 1;
            } else {
                tally.late += 1;
            }
        }
    }

    fn expire(&mut self, id: usize) {
        let Some(request) = self.open.remove(&id) else { return };
        for ticket in request.tickets {
            self.boards[0].pieces.queue_mut(&service_name(request.stage)).cancel(ticket);
        }
        self.tally(request.arrived, request.rank).expired += 1;
    }
}

/// Returns a simulation after periods of load, each with its length in ms and its load as a multiple of what fits.
fn simulate_load(periods: &[(u64, f64)]) -> FleetSimulation {
    let mut simulation = FleetSimulation::new(OverloadBounds::default(), 1);
    simulation.run(periods);
    simulation
}

/// Checks a burst of `load` times what fits. Before ranks were kept in order, `on_time_before` of its requests were served
/// on time in the same simulation.
fn check_burst(load: f64, on_time_before: u32) {
    let simulation = simulate_load(&[(2_000, 0.4), (10_000, load), (3_000, 0.4), (4_000, 0.4), (8_000, 0.0)]);

    let [urgent, other] = [1, 2].map(|rank| simulation.tallies[&(1, rank)]);
    println!("load {load}: {urgent:?} {other:?}");
    assert!(urgent.served_share() >= other.served_share() - 0.05, "{urgent:?} {other:?}");
    let on_time_share = |tally: &ClassTally| f64::from(tally.on_time) / f64::from(tally.offered);
    assert!(on_time_share(&urgent) >= on_time_share(&other) - 0.15, "{urgent:?} {other:?}");
    let on_time = urgent.on_time + other.on_time;
    assert!(f64::from(on_time) >= 0.9 * f64::from(on_time_before), "{on_time} were on time, {on_time_before} before");
    for rank in [1, 2] {
        let recovered = simulation.tallies[&(3, rank)];
        assert_eq!((recovered.refused, recovered.expired), (0, 0), "rank {rank} has not recovered: {recovered:?}");
    }
    assert!(simulation.open.is_empty());
}

/// Guards against a class with a long pipeline that is starved by a less urgent one with a long objective, and against
/// ranks that stay refused for more than 3 s after the burst.
#[test]
fn the_more_urgent_class_is_served_as_often_in_a_burst_of_what_fits() {
    check_burst(1.0, 602);
}

/// Guards against the same starvation, and against requests on time that the guard costs, at 1.5 times what fits.
#[test]
fn the_more_urgent_class_is_served_as_often_in_a_burst_of_1_5_times_what_fits() {
    check_burst(1.5, 599);
}

/// Guards against the same starvation, and against requests on time that the guard costs, at 2.5 times what fits.
#[test]
fn the_more_urgent_class_is_served_as_often_in_a_burst_of_2_5_times_what_fits() {
    check_burst(2.5, 935);
}

/// Guards against other decisions for deployments with one rank, also under overload. The simulation compares each
/// decision with the rule that holds without other ranks.
#[test]
fn requests_of_a_single_rank_are_admitted_by_their_own_estimate_only() {
    let mut simulation = FleetSimulation::new(OverloadBounds::default(), 2);
    simulation.routes.remove(&1);

    simulation.run(&[(10_000, 2.5), (8_000, 0.0)]);

    let tally = simulation.tallies[&(0, 2)];
    assert!(tally.refused > 100, "the load is too low for refusals: {tally:?}");
}

/// Guards against refusals of requests without stages, whatever the rank and the state of the stages.
#[test]
fn requests_without_stages_are_never_refused_for_load() {
    let mut simulation = simulate_load(&[(4_000, 2.5)]);
    let route = Arc::new(RelayRoute { rank: 3, ..route("/", "engines") });
    let plan = RequestPlan { pieces: &[], ..plan_of(&route) };

    let refusals = simulation
        .boards
        .iter_mut()
        .filter_map(|board| refuse_for_load(board, &plan, &OverloadBounds::default(), at(4_000)));

    assert_eq!(refusals.count(), 0);
}

/// Guards against refusals without load: short deadlines and pipelines that leave no margin are no overload. Each
/// request competes with those of the other rank.
#[test]
fn nothing_is_refused_while_no_piece_is_queued() {
    let mut node = stage_board(0);
    let mut refusals = Vec::new();
    for time_left in [millis(900), millis(1_600), millis(6_000)] {
        for (rank, final_call_ms) in [(1, 100), (2, 100), (1, 540), (2, 2_900)].repeat(10) {
            let (route, final_call_duration) = (class_route(rank), millis(final_call_ms));
            let plan = RequestPlan { final_call_duration, time_left, ..plan_of(&route) };
            refusals.extend(refuse_for_load(&mut node, &plan, &OverloadBounds::default(), at(0)));
        }
    }

    assert_eq!(refusals, []);
}

/// Returns a sample of the class with `rank`.
fn sample(rank: u8) -> RequestSample {
    let route = class_route(rank);
    let (pieces, time_left) = (PIECES[..route.stages.len()].to_vec(), route.timeout);
    RequestSample { route, pieces, final_call_duration: millis(FINAL_CALL_MS), time_left }
}

/// Guards against a guard that acts without overload: nothing is refused while no more urgent request is.
#[test]
fn without_refusals_of_a_more_urgent_rank_nothing_changes() {
    let mut simulation = FleetSimulation::new(OverloadBounds::default(), 3);
    let mut unguarded = FleetSimulation::new(without_guard(), 3);

    simulation.run(&[(6_000, 0.5), (3_000, 0.0)]);
    unguarded.run(&[(6_000, 0.5), (3_000, 0.0)]);

    assert_eq!(simulation.tallies, unguarded.tallies);
    assert!(simulation.tallies.values().all(|tally| tally.refused + tally.expired == 0));
    let mut boards = simulation.boards.iter().zip(&unguarded.boards);
    assert!(boards.all(|(left, right)| left.random.clone().u64(..) == right.random.clone().u64(..)));
}

/// Guards against refusals on the evidence of one or two requests, and against evidence that outlives the overload.
#[test]
fn counts_are_evidence_from_three_requests_on_and_until_refusals_are_old() {
    let (mut guard, limits) = (RankGuard::default(), RankGuardLimits::default());
    let ratio = |guard: &RankGuard, now| guard.more_urgent(&sample(2), 2, &limits, now)[0].refused_ratio;
    guard.record(&sample(1), 1, true, &limits, at(0));
    guard.record(&sample(1), 1, true, &limits, at(0));
    assert_eq!(ratio(&guard, at(0)), None);
    for _ in 0..98 {
        guard.record(&sample(1), 1, false, &limits, at(0));
    }

    assert_eq!(ratio(&guard, at(0)), Some(0.02));
    assert_eq!(ratio(&guard, at(2_000)), Some(0.02));
    assert_eq!(ratio(&guard, at(2_001)), None);
    assert!(guard.more_urgent(&sample(1), 1, &limits, at(0)).is_empty());
}

/// Guards against shares that drift: of the requests, the fraction that is due is refused, evenly spread.
#[test]
fn refusals_follow_the_ratio_less_the_tolerance() {
    let (mut guard, limits) = (RankGuard::default(), RankGuardLimits::default());

    let refused = (0..1_000).filter(|_| guard.refuses(2, 0.42, &limits, || 0.5)).count();

    assert!((399..=401).contains(&refused), "{refused}");
    assert!((0..100).all(|_| !guard.refuses(3, limits.tolerance, &limits, || 0.99)));
}
