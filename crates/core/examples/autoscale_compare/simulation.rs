//! Simulates the targets of a service in three data centres under a load of streams, with a rule that orders targets.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabipier_core::clock::Moment;
use wasabipier_core::names::{DcName, ServiceName};
use wasabipier_core::relay::autoscale::{Autoscaler, DcLoad, FleetLoad, LoadEvidence, ScalingLimits, ServiceLoad};
use wasabipier_core::relay::document::ScalingSpec;

const DCS: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
const SLOTS: usize = 64;
const STEP_MS: u64 = 100;
/// Interval at which the rule orders.
const ORDER_INTERVAL_MS: u64 = 500;
const COLD_TIME: Duration = Duration::from_secs(3);
/// Number of streams at one target that doubles the time of each.
const DOUBLING_STREAMS: f64 = 32.0;
/// Multiple of the time at an idle target from which a stream is late.
const LATE_FACTOR: f64 = 2.0;
/// Streams by which a target of another data centre must be less busy to get a stream.
const REMOTE_STREAMS: usize = 5;

/// How the number of targets is ordered.
#[derive(Clone, Copy, Debug)]
pub enum ScalingRule {
    /// Always this number in each data centre.
    Fixed(u32),
    /// In proportion to the calls in flight, with this fraction of the slots in use.
    Proportional(f64),
    /// The rule of the nodes.
    Forecast,
}

/// A load: total streams per second as a function of the time in seconds, and a data centre that is closed from a time on.
pub struct LoadPattern {
    pub name: &'static str,
    pub streams_per_s: fn(f64) -> f64,
    pub closed_from: Option<f64>,
}

/// What a run cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunCost {
    pub streams: u32,
    /// Streams that ended late or found no free slot.
    pub late: u32,
    /// Seconds of all targets from their order to their end.
    pub target_seconds: f64,
    /// Largest number of targets at one time.
    pub most_targets: usize,
}

/// Loads that rise, fall, oscillate and jump, those of the known deployment, and the closing of a data centre.
pub const PATTERNS: [LoadPattern; 7] = [
    LoadPattern { name: "usual", streams_per_s: |time| 140.0 * burst_factor(time), closed_from: None },
    LoadPattern { name: "bursts", streams_per_s: |time| 350.0 * burst_factor(time), closed_from: None },
    LoadPattern { name: "rises", streams_per_s: |time| 300.0 + 600.0 * (time / 200.0).min(1.0), closed_from: None },
    LoadPattern { name: "falls", streams_per_s: |time| 900.0 - 600.0 * (time / 200.0).min(1.0), closed_from: None },
    LoadPattern {
        name: "oscillates",
        streams_per_s: |time| 600.0 - 300.0 * (time * std::f64::consts::TAU / 60.0).cos(),
        closed_from: None,
    },
    LoadPattern { name: "jumps", streams_per_s: |time| if time < 100.0 { 450.0 } else { 850.0 }, closed_from: None },
    LoadPattern { name: "dc closes", streams_per_s: |_| 550.0, closed_from: Some(100.0) },
];

/// Returns the factor of a burst in each half minute: 1.5 to 2.5 for 3 to 6 s.
fn burst_factor(time: f64) -> f64 {
    let number = (time / 30.0).floor() as u32 % 3;
    let (factor, length) = [(1.5, 6.0), (2.0, 4.0), (2.5, 3.0)][number as usize];
    if time % 30.0 >= 20.0 && time % 30.0 < 20.0 + length { factor } else { 1.0 }
}

struct Stream {
    /// Time at an idle target in seconds.
    work: f64,
    remaining: f64,
    started_ms: u64,
}

struct Target {
    warm_at_ms: u64,
    present_at_ms: u64,
    is_leaving: bool,
    streams: Vec<Stream>,
}

struct Simulation {
    spec: ScalingSpec,
    dcs: Vec<Vec<Target>>,
    now_ms: u64,
    closed: Option<usize>,
    random: fastrand::Rng,
    cost: RunCost,
}

/// Runs a load for `seconds` and returns the cost. There are 30 targets in each data centre at the start.
pub fn run(pattern: &LoadPattern, rule: ScalingRule, seconds: u64, seed: u64) -> RunCost {
    let spec = ScalingSpec { min_targets: 26, max_targets: 60, boot_time: Duration::from_secs(8) };
    let start = || (0..30).map(|_| new_target(0, 0)).collect();
    let mut simulation = Simulation {
        spec,
        dcs: DCS.map(|_| start()).into(),
        now_ms: 0,
        closed: None,
        random: fastrand::Rng::with_seed(seed),
        cost: RunCost::default(),
    };
    let mut autoscaler = Autoscaler::new(ScalingLimits::default());
    let mut due_streams = 0.0;
    while simulation.now_ms < seconds * 1_000 {
        let time = simulation.now_ms as f64 / 1e3;
        simulation.closed = pattern.closed_from.filter(|from| time >= *from).map(|_| 0);
        due_streams += (pattern.streams_per_s)(time) * STEP_MS as f64 / 1e3;
        while due_streams >= 1.0 {
            due_streams -= 1.0;
            simulation.start_stream();
        }
        simulation.advance();
        if simulation.now_ms.is_multiple_of(ORDER_INTERVAL_MS) {
            simulation.order(rule, &mut autoscaler);
        }
    }
    simulation.cost
}

fn new_target(present_at_ms: u64, warm_at_ms: u64) -> Target {
    Target { warm_at_ms, present_at_ms, is_leaving: false, streams: Vec::new() }
}

impl Simulation {
    fn start_stream(&mut self) {
        self.cost.streams += 1;
        let work = 1.0 + 3.0 * self.random.f64();
        let home = self.random.usize(..DCS.len());
        let (now_ms, closed) = (self.now_ms, self.closed);
        let targets = self.dcs.iter_mut().enumerate().filter(|(dc, _)| Some(*dc) != closed);
        let targets = targets.flat_map(|(dc, targets)| targets.iter_mut().map(move |target| (dc, target)));
        let usable = targets
            .filter(|(_, target)| !target.is_leaving && target.warm_at_ms <= now_ms && target.streams.len() < SLOTS);
        let cost = |dc: usize, target: &Target| target.streams.len() + if dc == home { 0 } else { REMOTE_STREAMS };
        match usable.min_by_key(|(dc, target)| cost(*dc, target)) {
            Some((_, target)) => target.streams.push(Stream { work, remaining: work, started_ms: now_ms }),
            None => self.cost.late += 1,
        }
    }

    fn advance(&mut self) {
        self.now_ms += STEP_MS;
        let step = STEP_MS as f64 / 1e3;
        for target in self.dcs.iter_mut().flatten() {
            let speed = 1.0 / (1.0 + target.streams.len() as f64 / DOUBLING_STREAMS);
            for stream in &mut target.streams {
                stream.remaining -= step * speed;
            }
            let (now_ms, cost) = (self.now_ms, &mut self.cost);
            target.streams.retain(|stream| {
                let took = (now_ms - stream.started_ms) as f64 / 1e3;
                let is_over = stream.remaining <= 0.0;
                cost.late += u32::from(is_over && took > stream.work * LATE_FACTOR);
                !is_over
            });
        }
        for targets in &mut self.dcs {
            targets.retain(|target| !target.is_leaving || !target.streams.is_empty());
        }
        let count = self.dcs.iter().map(Vec::len).sum();
        self.cost.target_seconds += step * count as f64;
        self.cost.most_targets = self.cost.most_targets.max(count);
    }

    /// Returns the load as the nodes see it, without targets that still boot.
    fn load(&self) -> FleetLoad {
        let dcs = self.dcs.iter().enumerate().map(|(index, targets)| {
            let present = targets.iter().filter(|target| target.present_at_ms <= self.now_ms);
            let leaving = present.clone().filter(|target| target.is_leaving).count() as u32;
            let count = present.clone().count();
            let load = DcLoad {
                present: count as u32 - leaving,
                leaving,
                in_flight: present.map(|target| target.streams.len()).sum::<usize>() as u32,
                unread_tokens: 0,
                slots: (count * SLOTS) as u64,
                is_closed: self.closed == Some(index),
            };
            (DcName::new(DCS[index]), load)
        });
        let service = ServiceLoad {
            spec: self.spec,
            objective: Duration::from_secs(2),
            tokens_per_ms: 50.0,
            cold_time: COLD_TIME,
            dcs: dcs.collect(),
        };
        let evidence = LoadEvidence { known_nodes: 60, live_nodes: 60, is_told: true, ..LoadEvidence::default() };
        FleetLoad { services: BTreeMap::from([(ServiceName::new("model"), service)]), evidence }
    }

    fn order(&mut self, rule: ScalingRule, autoscaler: &mut Autoscaler) {
        let load = self.load();
        let spec = self.spec;
        let counts: Vec<u32> = match rule {
            ScalingRule::Fixed(count) => vec![count; DCS.len()],
            ScalingRule::Proportional(ratio) => {
                let dcs = load.services.values().flat_map(|service| service.dcs.values());
                let needs = dcs.map(|dc| (f64::from(dc.in_flight) / (SLOTS as f64 * ratio)).ceil() as u32);
                needs.map(|need| need.clamp(spec.min_targets, spec.max_targets)).collect()
            }
            ScalingRule::Forecast => {
                autoscaler.decide(&load, Moment(1_000_000 + self.now_ms)).iter().map(|plan| plan.desired).collect()
            }
        };
        for (targets, count) in self.dcs.iter_mut().zip(counts) {
            set_count(targets, count as usize, self.now_ms, spec.boot_time);
        }
    }
}

/// Starts targets, or has those with the fewest streams leave, so that `count` stay.
fn set_count(targets: &mut Vec<Target>, count: usize, now_ms: u64, boot_time: Duration) {
    let staying = targets.iter().filter(|target| !target.is_leaving).count();
    let present_at_ms = now_ms + boot_time.as_millis() as u64;
    let warm_at_ms = present_at_ms + COLD_TIME.as_millis() as u64;
    targets.extend((staying..count).map(|_| new_target(present_at_ms, warm_at_ms)));
    for _ in count..staying {
        let staying = targets.iter_mut().filter(|target| !target.is_leaving);
        if let Some(target) = staying.min_by_key(|target| target.streams.len()) {
            target.is_leaving = true;
        }
    }
}
