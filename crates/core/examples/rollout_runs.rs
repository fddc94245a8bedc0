//! Simulates rollouts of good and flawed candidate versions on three nodes, and prints how they end as a table.
//!
//! The runs are seeded and do no I/O.
//!
//! Run with `cargo run --release -p wasabipier-core --example rollout_runs -- [RUNS] [SEED] [VERSION]`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::controller::Controller;
use wasabipier_core::counting;
use wasabipier_core::document::{CandidateSpec, ServiceSpec};
use wasabipier_core::leases::LeaseController;
use wasabipier_core::message::{Heartbeat, NodeState};
use wasabipier_core::permits::Permit;
use wasabipier_core::prelude::*;
use wasabipier_core::requests::{AttemptRecord, RequestRecord, RequestState, TargetPhase};
use wasabipier_core::rollouts::RolloutController;
use wasabipier_core::store::RolloutState;
use wasabipier_core::versions::VersionTable;

const NODES: usize = 3;
/// Number of targets per version.
const TARGETS: usize = 3;
/// Duration of one simulation step.
const STEP_MS: u64 = 100;
/// Time within which the candidate has to carry all traffic.
const FINISH_MS: u64 = 1_800_000;
/// Duration after which a run ends unless the candidate was rolled back before.
const END_MS: u64 = FINISH_MS * 3 / 2;
/// Share of messages between nodes, and of replies of the table service, that are lost.
const MESSAGE_LOSS_RATIO: f64 = 0.02;
/// Number of calls after which a target is warm.
const WARM_AFTER_CALLS: u32 = 10;
/// Number of calls after which nodes regard a target as warm.
const REGARDED_WARM_AFTER_CALLS: u32 = 15;
/// Routes and their shares of the traffic.
const ROUTES: [(&str, f64); 3] = [("season-plan", 0.6), ("availability", 0.3), ("committee", 0.1)];

/// Behaviour of the candidate version in a run.
#[derive(Clone, Copy, Debug, PartialEq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum VersionCase {
    /// As good as the stable version.
    Good,
    /// Faulty from the start.
    BadAtOnce,
    /// Faulty from a random time on.
    BadLater,
    /// Faulty while its share of the recent calls is above a fifth.
    BadUnderLoad,
    /// Faulty on the route with the least traffic.
    BadOnOneRoute,
    /// Slower than the stable version.
    Slow,
    /// Without a flaw, but its targets turn cold at random times.
    ColdNotBad,
    /// Without a flaw, but some requests crash the targets of either version.
    CrashingRequest,
    /// Without a flaw, but both versions fail for a minute at the same time.
    FaultOfBoth,
}

/// Result of a run. Calls and times are those of the simulation.
#[derive(Clone, Debug, Default)]
struct RunResult {
    state: RolloutState,
    reason: Arc<str>,
    /// Time from the start of the run at which the rollout row got `state`.
    ended_ms: u64,
    /// Calls of the candidate before its flaw first showed; all calls if it never did.
    calls_before_flaw: u64,
    /// Calls of the candidate from when its flaw first showed.
    calls_after_flaw: u64,
    /// Time from when the flaw first showed to the candidate's last call; 0 if it never did.
    traffic_stop_ms: u64,
}

/// Simulated node: its board and the controllers under test.
#[derive(Debug)]
struct SimNode {
    board: Blackboard,
    controllers: [Box<dyn Controller>; 2],
}

/// Simulation of one run. The clock starts at 60 s.
#[derive(Debug)]
struct SimRun {
    case: VersionCase,
    /// Calls per second.
    rate: f64,
    random: fastrand::Rng,
    nodes: Vec<SimNode>,
    /// Rows of the simulated table service.
    rows: BTreeMap<RowKey, Row>,
    /// Calls since the last cold start, by target; keys are whether the target runs the candidate, and its index.
    calls_since_cold: BTreeMap<(bool, usize), u32>,
    /// Targets that turned cold during the run, with keys as in `calls_since_cold`; nodes notice only after the first
    /// call.
    targets_turned_cold: BTreeSet<(bool, usize)>,
    /// Moving average of the candidate's share of the calls.
    recent_candidate_share: f64,
    /// Time from the start of the run at which a late fault begins.
    fault_from_ms: u64,
    /// Time on the simulation's clock at which the candidate's flaw first showed.
    flaw_shown_ms: Option<u64>,
    /// Time on the simulation's clock of the candidate's last call; 0 before the first.
    last_candidate_call_ms: u64,
    /// Number of different harmful contents that were sent so far.
    harmful_contents: u64,
    result: RunResult,
    /// Time on the simulation's clock.
    now_ms: u64,
}

fn service() -> ServiceName {
    ServiceName::new("coachmodel")
}

fn document() -> AcceptedDocument {
    let candidate = CandidateSpec {
        version: VersionName::new("v2"),
        finish_within: Duration::from_millis(FINISH_MS),
        first_share: 0.05,
        trial_only: false,
        attempt: 1,
    };
    let spec = ServiceSpec { candidate: Some(candidate), ..ServiceSpec::default() };
    let content = Document { services: BTreeMap::from([(service(), spec)]), ..Document::default() };
    AcceptedDocument { revision: Revision(1), content, ..AcceptedDocument::default() }
}

fn node_name(index: usize) -> NodeName {
    NodeName::new(format!("entry-{}", index + 1))
}

fn node(index: usize, seed: u64) -> SimNode {
    let address = |index: usize| SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16));
    let identity = Identity {
        node: node_name(index),
        instance: InstanceId(index as u64 + 1),
        dc: DcName::new("khomas-a"),
        caller_address: address(index),
        peer_address: address(index),
    };
    let mut board = Blackboard::new(identity, Tuning::default(), seed);
    for peer in (0..NODES).filter(|peer| *peer != index) {
        let beat = Heartbeat {
            instance: InstanceId(peer as u64 + 1),
            sequence: 1,
            dc: DcName::new("khomas-a"),
            caller_address: address(peer),
            peer_address: address(peer),
            state: NodeState::Serving,
            revision: Revision(1),
            seats: Vec::new(),
        };
        board.members.add_or_update(&node_name(peer), address(peer), None);
        board.members.record_heartbeat(&node_name(peer), &beat, Moment(0));
    }
    board.document = Arc::new(document());
    for (route, _) in ROUTES {
        board.requests.insert(request(route, route, 0));
    }
    board.state = NodeState::Serving;
    SimNode { board, controllers: [Box::<LeaseController>::default(), Box::<RolloutController>::default()] }
}

fn request_key(name: &str) -> RequestKey {
    RequestKey { org: OrgName::new("lions"), request: RequestId::new(name) }
}

fn request(name: &str, route: &str, content: u64) -> RequestRecord {
    RequestRecord {
        key: request_key(name),
        content: Fingerprint(content),
        route: Arc::from(route),
        callers: Vec::new(),
        body: Arc::default(),
        stages: vec![service()],
        stage: 0,
        previous: Arc::default(),
        tokens: Vec::new(),
        prefixes: None,
        arrived: Moment(0),
        deadline: Moment(u64::MAX),
        priority: Priority::Normal,
        state: RequestState::Running,
        attempts: 1,
        stage_attempts: 1,
        failed_targets: BTreeSet::new(),
        crashed_versions: Vec::new(),
        running: Vec::new(),
        may_have_run: true,
        claim: None,
        charges: Vec::new(),
    }
}

impl SimRun {
    fn new(case: VersionCase, rate: f64, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let fault_from_ms = match case {
            VersionCase::BadLater => random.u64(0..FINISH_MS),
            // Early enough that both versions still get calls.
            VersionCase::FaultOfBoth => random.u64(0..FINISH_MS / 4),
            _ => 0,
        };
        Self {
            case,
            rate,
            nodes: (0..NODES).map(|index| node(index, seed ^ index as u64)).collect(),
            random,
            rows: BTreeMap::new(),
            calls_since_cold: BTreeMap::new(),
            targets_turned_cold: BTreeSet::new(),
            recent_candidate_share: 0.0,
            fault_from_ms,
            flaw_shown_ms: None,
            last_candidate_call_ms: 0,
            harmful_contents: 0,
            result: RunResult::default(),
            now_ms: 60_000,
        }
    }

    fn run(mut self) -> RunResult {
        let mut inbox: Vec<(usize, Event)> = Vec::new();
        while self.now_ms < END_MS + 60_000 && self.result.state != RolloutState::RolledBack {
            for (index, event) in std::mem::take(&mut inbox) {
                self.deliver(index, &event, &mut inbox);
            }
            for index in 0..NODES {
                self.deliver(index, &Event::Tick, &mut inbox);
            }
            self.simulate_calls();
            self.record_row_state();
            self.now_ms += STEP_MS;
        }
        // Traffic in the second after the row was written, from nodes that have not learned of it yet.
        for _ in 0..1_000 / STEP_MS {
            for (index, event) in std::mem::take(&mut inbox) {
                self.deliver(index, &event, &mut inbox);
            }
            self.simulate_calls();
            self.now_ms += STEP_MS;
        }
        self.result.traffic_stop_ms =
            self.last_candidate_call_ms.saturating_sub(self.flaw_shown_ms.unwrap_or(self.last_candidate_call_ms));
        self.result
    }

    /// Records state, reason and time in the result if the rollout row has a new state.
    fn record_row_state(&mut self) {
        let key = RowKey::Rollout(service());
        let Some(Row { value: RowValue::Rollout(row), .. }) = self.rows.get(&key) else { return };
        if row.state != self.result.state {
            self.result.state = row.state;
            self.result.reason = row.reason.clone();
            self.result.ended_ms = self.now_ms - 60_000;
        }
    }

    /// Passes an event to the controllers of a node, and adds what results from their actions to `inbox`.
    fn deliver(&mut self, index: usize, event: &Event, inbox: &mut Vec<(usize, Event)>) {
        let SimNode { board, controllers } = &mut self.nodes[index];
        board.now = Moment(self.now_ms);
        let mut out = Vec::new();
        if let Event::Store(ticket, reply) = event {
            board.store.record_reply(reply, Moment(self.now_ms), 0.5);
            if let Some(purpose) = board.store.complete(*ticket) {
                for controller in controllers.iter_mut() {
                    controller.on_store(board, &purpose, reply, &mut out);
                }
            }
        }
        for controller in controllers {
            controller.on_event(board, event, &mut out);
        }
        let from = node_name(index);
        for action in out {
            match action {
                Action::SendToPeer(to, message) if self.random.f64() >= MESSAGE_LOSS_RATIO => {
                    let to = (0..NODES).find(|index| node_name(*index) == to).unwrap_or_default();
                    inbox.push((to, Event::Peer(from.clone(), message)));
                }
                Action::Store(ticket, op) => {
                    let reply = self.apply_store_op(&op);
                    let reply = if self.random.f64() < MESSAGE_LOSS_RATIO { StoreReply::Lost } else { reply };
                    inbox.push((index, Event::Store(ticket, Box::new(reply))));
                }
                _ => {}
            }
        }
    }

    fn apply_store_op(&mut self, op: &StoreOp) -> StoreReply {
        match op {
            StoreOp::Write { key, expected, value } => {
                let current = self.rows.get(key);
                let version = current.map(|row| row.version);
                if version != *expected {
                    return StoreReply::Conflict(current.cloned());
                }
                let version = RowVersion(version.map_or(1, |version| version.0 + 1));
                self.rows.insert(key.clone(), Row { version, value: value.clone() });
                StoreReply::Written(version)
            }
            StoreOp::Read { key } => StoreReply::Read(self.rows.get(key).cloned()),
        }
    }

    /// Simulates the calls of one step: in each of many parts of the step, a call arrives with the same probability.
    fn simulate_calls(&mut self) {
        let parts = 10.0_f64.max(self.rate);
        let chance = self.rate * STEP_MS as f64 / 1000.0 / parts;
        for _ in 0..parts as usize {
            if self.random.f64() < chance {
                let index = self.random.usize(0..NODES);
                self.simulate_call(index);
            }
        }
        if self.case == VersionCase::CrashingRequest && self.random.f64() < STEP_MS as f64 / 60_000.0 {
            self.simulate_crashes();
        }
        let cold_chance = STEP_MS as f64 / 300_000.0;
        if self.case == VersionCase::ColdNotBad && self.random.f64() < cold_chance {
            let target = self.random.usize(0..TARGETS);
            self.calls_since_cold.insert((true, target), 0);
            self.targets_turned_cold.insert((true, target));
        }
    }

    /// Returns whether a call that arrives at the node now goes to the candidate.
    fn picks_candidate(&mut self, index: usize) -> bool {
        let draw = self.random.f64();
        let board = &self.nodes[index].board;
        let table: &VersionTable = &board.versions;
        let versions = table.versions_to_try(&board.document.content, &service(), draw);
        versions[0].as_str() == "v2"
    }

    fn simulate_call(&mut self, index: usize) {
        let is_candidate = self.picks_candidate(index);
        self.recent_candidate_share = self.recent_candidate_share * 0.99 + if is_candidate { 0.01 } else { 0.0 };
        let draw = self.random.f64();
        let mut sum = 0.0;
        let route = ROUTES.iter().find(|(_, share)| {
            sum += share;
            draw < sum
        });
        let route = route.map_or(ROUTES[0].0, |(route, _)| route);
        let target = self.random.usize(0..TARGETS);
        let calls = self.calls_since_cold.entry((is_candidate, target)).or_default();
        *calls += 1;
        let calls = *calls;
        // Targets report with a lag: the first call at a target that turned cold seems to be at a warm target.
        let is_unnoticed = self.targets_turned_cold.contains(&(is_candidate, target)) && calls == 1;
        let (is_cold, seems_cold) = (calls <= WARM_AFTER_CALLS, !is_unnoticed && calls <= REGARDED_WARM_AFTER_CALLS);
        let is_flawed = is_candidate && self.is_flawed(route);
        let (fault_share, slowness) = if is_cold { (0.05, 5.0) } else { (0.002, 1.0) };
        let outage = self.fault_from_ms + 60_000..self.fault_from_ms + 120_000;
        let is_common_fault = self.case == VersionCase::FaultOfBoth && outage.contains(&self.now_ms);
        let fault_share = if is_common_fault { 0.5 } else { fault_share };
        let is_slow = is_flawed && self.case == VersionCase::Slow;
        let is_fault = self.random.f64() < if is_flawed && !is_slow { 0.3 } else { fault_share };
        let slowness = if is_slow { slowness * 2.5 } else { slowness };
        let took_ms = 200.0 * slowness * (0.5 * self.normal()).exp();
        if is_candidate {
            self.record_candidate_call(is_flawed && (is_fault || is_slow));
        }
        let board = &mut self.nodes[index].board;
        board.now = Moment(self.now_ms);
        let attempt = attempt(request_key(route), is_candidate, target, seems_cold, self.now_ms, took_ms as u64);
        if is_fault {
            counting::count_fault(board, &attempt);
        } else {
            counting::count_success(board, &attempt, &LoadReport::default());
        }
    }

    fn record_candidate_call(&mut self, shows_flaw: bool) {
        if shows_flaw && self.flaw_shown_ms.is_none() {
            self.flaw_shown_ms = Some(self.now_ms);
        }
        self.last_candidate_call_ms = self.now_ms;
        if self.flaw_shown_ms.is_some() {
            self.result.calls_after_flaw += 1;
        } else {
            self.result.calls_before_flaw += 1;
        }
    }

    /// Returns whether the candidate's flaw is present now, on this route and at this load.
    fn is_flawed(&self, route: &str) -> bool {
        match self.case {
            VersionCase::BadAtOnce | VersionCase::Slow => true,
            VersionCase::BadLater => self.now_ms >= 60_000 + self.fault_from_ms,
            VersionCase::BadUnderLoad => self.recent_candidate_share > 0.2,
            VersionCase::BadOnOneRoute => route == ROUTES[2].0,
            VersionCase::Good | VersionCase::ColdNotBad | VersionCase::CrashingRequest | VersionCase::FaultOfBoth => {
                false
            }
        }
    }

    /// Simulates two calls with the same harmful content, which crashes each target that runs it.
    fn simulate_crashes(&mut self) {
        self.harmful_contents += 1;
        let name = format!("harmful-{}", self.harmful_contents);
        let content = Fingerprint(self.harmful_contents);
        for call_index in 0..2 {
            let index = self.random.usize(0..NODES);
            let is_candidate = self.picks_candidate(index);
            let target = self.random.usize(0..TARGETS);
            self.calls_since_cold.insert((is_candidate, target), 0);
            self.targets_turned_cold.insert((is_candidate, target));
            let board = &mut self.nodes[index].board;
            board.requests.insert(request(&name, ROUTES[0].0, self.harmful_contents));
            let attempt = attempt(request_key(&name), is_candidate, target, false, self.now_ms, 100);
            counting::count_crash(board, &attempt, call_index == 0);
            board.harmful.record_crash(content, attempt.target);
        }
    }

    /// Draws from the standard normal distribution (Box-Muller).
    fn normal(&mut self) -> f64 {
        let (radius, angle) = (self.random.f64().max(1e-12), self.random.f64());
        (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
    }
}

fn attempt(
    key: RequestKey,
    is_candidate: bool,
    target: usize,
    is_cold: bool,
    now_ms: u64,
    took_ms: u64,
) -> AttemptRecord {
    let version = if is_candidate { "v2" } else { "v1" };
    AttemptRecord {
        key,
        stage: 0,
        number: 1,
        service: service(),
        target: TargetName::new(format!("{version}-{target}")),
        version: VersionName::new(version),
        phase: if is_cold { TargetPhase::Cold } else { TargetPhase::Warm },
        permit: Permit::Own,
        started: Moment(now_ms.saturating_sub(took_ms)),
        resume_from: 0,
        ends: Moment(u64::MAX),
        share_deadline: Moment(u64::MAX),
        hedge_at: None,
        is_stream: false,
        has_claim: false,
        last_progress_at: Moment(now_ms),
        tokens: 0,
        first_token: None,
        is_sustained: false,
    }
}

fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn percent(part: usize, whole: usize) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

fn print_row(case: VersionCase, rate: f64, results: &[RunResult]) {
    let in_state = |state| results.iter().filter(|result| result.state == state).collect::<Vec<_>>();
    let rolled_back = in_state(RolloutState::RolledBack);
    let late_count = rolled_back.iter().filter(|result| &*result.reason == "not proved in time").count();
    let finished = in_state(RolloutState::Finished);
    let on_time_count = finished.iter().filter(|result| result.ended_ms <= FINISH_MS).count();
    let median_of = |values: fn(&RunResult) -> u64| median(results.iter().map(values).collect());
    let max_calls_after = results.iter().map(|result| result.calls_after_flaw).max().unwrap_or_default();
    println!(
        "| {case} | {rate} | {:.0} % | {:.0} % | {:.0} % | {} | {} | {} | {max_calls_after} | {:.1} |",
        percent(rolled_back.len() - late_count, results.len()),
        percent(late_count, results.len()),
        percent(on_time_count, results.len()),
        median(finished.iter().map(|result| result.ended_ms / 1000).collect()),
        median_of(|result| result.calls_before_flaw),
        median_of(|result| result.calls_after_flaw),
        median_of(|result| result.traffic_stop_ms) as f64 / 1000.0,
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize, default| arguments.get(index).and_then(|text| text.parse().ok()).unwrap_or(default);
    let (runs, seed): (u64, u64) = (number(0, 40), number(1, 1));
    let is_wanted = |case: &VersionCase| arguments.get(2).is_none_or(|name| *name == case.to_string());
    println!(
        "| version | requests/s | taken back for a flaw | not proved in time | finished on time | finished after s \
         | calls before the flaw showed | calls after | most calls after | traffic ended after s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for case in <VersionCase as strum::IntoEnumIterator>::iter().filter(is_wanted) {
        for rate in [1.0, 10.0, 100.0] {
            let results: Vec<RunResult> = (0..runs)
                .map(|run| SimRun::new(case, rate, seed.wrapping_mul(1_000_003).wrapping_add(run)).run())
                .collect();
            print_row(case, rate, &results);
            if std::env::var_os("SHOW_REASONS").is_some() {
                for result in &results {
                    eprintln!("{case} {rate} {} {} at {} ms", result.state, result.reason, result.ended_ms);
                }
            }
        }
    }
}
