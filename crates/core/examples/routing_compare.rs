//! Hit share, latency and cost by stage of three ways to choose a target, on the same seeded workload.
//!
//! `cargo run --release -p wasabipier-core --example routing_compare`
//!
//! Two stages: three encoders, then twelve engines that cache the prompts of ten templates each. A
//! request's prompt is one of 60 templates, some far more common than others, and an end of its own.
//! An engine needs 40 ms to take in a cached prompt and 400 ms for another one, then decodes, slower
//! the more it runs. One engine decodes at a third of the speed of the others.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::document::ServiceKind;
use wasabipier_core::prelude::*;

#[path = "../tests/support/fixture.rs"]
mod fixture;

use fixture::{NodeFixture, PoolSpec, TICK, document};

const ENGINES: usize = 12;
const ENCODERS: usize = 3;
const LIMIT: usize = 8;
const TEMPLATES: usize = 60;
const CACHED_TEMPLATES: usize = 10;
const REQUESTS: usize = 6_000;
const DEADLINE: Duration = Duration::from_secs(6);
const SEED: u64 = 5;

/// One request of the workload.
#[derive(Clone, Debug)]
struct WorkItem {
    arrives: Duration,
    template: usize,
    decode: Duration,
}

/// One server: what it runs and, for an engine, caches.
#[derive(Clone, Debug, Default)]
struct ModelServer {
    running: usize,
    cached: VecDeque<usize>,
    decode_factor: f64,
}

impl ModelServer {
    /// Starts a call of an engine; gives its time and whether its prompt was cached.
    fn start(&mut self, item: &WorkItem) -> (Duration, bool) {
        let place = self.cached.iter().position(|template| *template == item.template);
        if let Some(place) = place {
            self.cached.remove(place);
        } else if self.cached.len() == CACHED_TEMPLATES {
            self.cached.pop_front();
        }
        self.cached.push_back(item.template);
        self.running += 1;
        let prefill = Duration::from_millis(if place.is_some() { 40 } else { 400 });
        let crowding = 1.0 + self.running as f64 / LIMIT as f64;
        (prefill + item.decode.mul_f64(crowding * self.decode_factor), place.is_some())
    }
}

fn engines() -> Vec<ModelServer> {
    (0..ENGINES)
        .map(|number| ModelServer { decode_factor: if number == 0 { 3.0 } else { 1.0 }, ..ModelServer::default() })
        .collect()
}

fn workload(per_second: f64) -> Vec<WorkItem> {
    let mut random = fastrand::Rng::with_seed(SEED);
    let mut arrives = 0.0;
    (0..REQUESTS)
        .map(|_| {
            arrives -= random.f64().max(1e-9).ln() / per_second;
            // The share of a template falls with its number.
            let template = (TEMPLATES as f64 * random.f64().powi(2)) as usize;
            let decode = Duration::from_secs_f64(0.2 + 0.4 * random.f64());
            WorkItem { arrives: Duration::from_secs_f64(arrives), template, decode }
        })
        .collect()
}

#[derive(Debug, Default)]
struct Tally {
    hits: u32,
    engine_calls: u32,
    encoder_busy: Duration,
    engine_busy: Duration,
    latencies: Vec<Duration>,
}

/// What each way to choose does with the workload: a queue in order of arrival before the engines.
trait ChoicePolicy {
    fn choose(&mut self, servers: &[ModelServer]) -> Option<usize>;
}

struct RoundRobin(usize);

impl ChoicePolicy for RoundRobin {
    fn choose(&mut self, servers: &[ModelServer]) -> Option<usize> {
        let order = (0..servers.len()).map(|step| (self.0 + step) % servers.len());
        let found = order.into_iter().find(|server| servers[*server].running < LIMIT)?;
        self.0 = found + 1;
        Some(found)
    }
}

struct LeastLoaded;

impl ChoicePolicy for LeastLoaded {
    fn choose(&mut self, servers: &[ModelServer]) -> Option<usize> {
        let free = (0..servers.len()).filter(|server| servers[*server].running < LIMIT);
        free.min_by_key(|server| servers[*server].running)
    }
}

const ENCODE: Duration = Duration::from_millis(20);

fn run_plain(items: &[WorkItem], policy: &mut dyn ChoicePolicy) -> Tally {
    let mut tally = Tally::default();
    let mut servers = engines();
    let mut waiting: VecDeque<usize> = VecDeque::new();
    let mut ends: BTreeMap<(Duration, usize), usize> = BTreeMap::new();
    let mut next = 0;
    let mut now = Duration::ZERO;
    while tally.latencies.len() < items.len() {
        now += TICK;
        while next < items.len() && items[next].arrives + ENCODE <= now {
            tally.encoder_busy += ENCODE;
            waiting.push_back(next);
            next += 1;
        }
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let (_, item) = *entry.key();
            servers[entry.remove()].running -= 1;
            tally.latencies.push(now.saturating_sub(items[item].arrives));
        }
        while let Some(item) = waiting.front().copied() {
            let Some(server) = policy.choose(&servers) else { break };
            waiting.pop_front();
            let (took, hit) = servers[server].start(&items[item]);
            tally.count(took, hit);
            ends.insert((now + took, item), server);
        }
    }
    tally
}

impl Tally {
    fn count(&mut self, took: Duration, hit: bool) {
        self.engine_calls += 1;
        self.engine_busy += took;
        self.hits += u32::from(hit);
    }
}

fn pipeline() -> Document {
    let limits = (LIMIT as u32, LIMIT as u32);
    let encoders =
        PoolSpec { service: "a-encoder", kind: ServiceKind::Encode, targets: ENCODERS, limits, ..PoolSpec::default() };
    let pool = PoolSpec {
        service: "b-generator",
        kind: ServiceKind::Generate,
        targets: ENGINES,
        limits,
        ..PoolSpec::default()
    };
    document(&[encoders, pool], 3)
}

fn body(item: &WorkItem, request: usize) -> Arc<str> {
    let template = format!("template {} of the season plan, ", item.template).repeat(64);
    Arc::from(format!("{template} request {request}"))
}

/// An attempt that runs in the node's model.
#[derive(Clone, Copy, Debug)]
struct RunningCall {
    attempt: AttemptId,
    server: Option<usize>,
}

fn run_node(items: &[WorkItem], tuning: Tuning) -> Tally {
    let mut tally = Tally::default();
    let mut node = NodeFixture::serving(pipeline(), tuning);
    let mut servers = engines();
    let mut ends: BTreeMap<(Moment, AttemptId), RunningCall> = BTreeMap::new();
    let mut asked: BTreeMap<CallId, usize> = BTreeMap::new();
    let start = node.now;
    let mut next = 0;
    while next < items.len() || !asked.is_empty() {
        while next < items.len() && start + items[next].arrives <= node.now {
            let call = node.ask_with(&next.to_string(), "plan", body(&items[next], next), DEADLINE, Priority::Normal);
            asked.insert(call, next);
            next += 1;
        }
        for order in std::mem::take(&mut node.orders) {
            let item = &items[order.key.request.as_str().parse::<usize>().unwrap_or_default()];
            let mut server = None;
            let mut took = ENCODE;
            if order.kind == ServiceKind::Generate {
                let digits = order.target.as_str().rsplit('-').next().unwrap_or_default();
                let number: usize = digits.parse().unwrap_or_default();
                server = Some(number);
                let (engine_took, hit) = servers[number].start(item);
                tally.count(engine_took, hit);
                took = engine_took;
            } else {
                tally.encoder_busy += ENCODE;
            }
            ends.insert((node.now + took, order.attempt), RunningCall { attempt: order.attempt, server });
        }
        node.advance(TICK);
        let now = node.now;
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let running = entry.remove();
            if let Some(server) = running.server {
                servers[server].running -= 1;
            }
            node.finish(running.attempt);
        }
        for (call, part) in std::mem::take(&mut node.answers) {
            if let AnswerPart::Final(answer) = part
                && let Some(item) = asked.remove(&call)
                && answer.outcome == Outcome::Done
            {
                tally.latencies.push(now.since(start + items[item].arrives));
            }
        }
    }
    tally
}

fn report(name: &str, tally: &mut Tally) {
    tally.latencies.sort_unstable();
    let done = tally.latencies.len();
    let at = |share: f64| tally.latencies[((done - 1) as f64 * share) as usize].as_millis();
    println!(
        "{name:<22} done {done:>5} hits {:>5.1} %  latency ms p50 {:>5} p95 {:>5} p99 {:>5}  busy ms per answer: \
         encoder {:>4.1} engine {:>6.1}",
        100.0 * f64::from(tally.hits) / f64::from(tally.engine_calls.max(1)),
        at(0.5),
        at(0.95),
        at(0.99),
        tally.encoder_busy.as_secs_f64() * 1e3 / done as f64,
        tally.engine_busy.as_secs_f64() * 1e3 / done as f64,
    );
}

fn main() {
    // Streams here bring no tokens before their end, so the bounds on silence are out of the way.
    let tuning =
        Tuning { first_token_silence: DEADLINE, early_refusal: false, queue_bound: REQUESTS, ..Tuning::default() };
    for per_second in [30.0, 60.0] {
        println!("{per_second} requests a second:");
        let items = workload(per_second);
        report("round robin", &mut run_plain(&items, &mut RoundRobin(0)));
        report("least loaded", &mut run_plain(&items, &mut LeastLoaded));
        let blind = Tuning { prefix_kept: Duration::ZERO, ..tuning.clone() };
        report("node, no affinity", &mut run_node(&items, blind));
        for slack in [0.125, 0.25, 0.5, 1.0] {
            let tuning = Tuning { prefix_slack: slack, ..tuning.clone() };
            report(&format!("node, slack {slack}"), &mut run_node(&items, tuning));
        }
    }
}
