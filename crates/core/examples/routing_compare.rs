//! Compares cache hit ratio, latency and cost by stage of three policies to choose a target, on the same seeded
//! workload.
//!
//! `cargo run --release -p wasabipier-core --example routing_compare`
//!
//! The pipeline has two stages: three encoders, then twelve engines that cache the prompts of ten templates each. A
//! request's prompt is one of 60 templates, some far more common than others, followed by a unique end. Prefill takes
//! an engine 40 ms for a cached prompt and 400 ms for another one. Decoding takes longer the more calls the engine
//! runs. One engine decodes at a third of the speed of the others.

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
/// Maximum number of calls that one target runs at once.
const CALL_LIMIT: usize = 8;
/// Number of prompt templates in the workload.
const TEMPLATES: usize = 60;
/// Number of templates that an engine caches.
const CACHE_CAPACITY: usize = 10;
const REQUESTS: usize = 6_000;
/// Time from a request's start to its deadline.
const DEADLINE: Duration = Duration::from_secs(6);
const SEED: u64 = 5;

/// One request of the workload.
#[derive(Clone, Debug)]
struct WorkItem {
    /// Time from the start of the run to the request's arrival.
    arrives_at: Duration,
    /// Number of the prompt's template.
    template: usize,
    /// Time to decode the answer at an idle engine of normal speed.
    decode_time: Duration,
}

/// A simulated engine.
#[derive(Clone, Debug, Default)]
struct ModelServer {
    /// Number of calls that the engine runs.
    running: usize,
    /// Templates in the cache, the least recently used first.
    cached: VecDeque<usize>,
    /// Factor by which this engine decodes slower than one of normal speed.
    decode_factor: f64,
}

impl ModelServer {
    /// Starts a call. Returns the call's duration and whether the prompt was cached.
    fn start(&mut self, item: &WorkItem) -> (Duration, bool) {
        let cached_index = self.cached.iter().position(|template| *template == item.template);
        if let Some(cached_index) = cached_index {
            self.cached.remove(cached_index);
        } else if self.cached.len() == CACHE_CAPACITY {
            self.cached.pop_front();
        }
        self.cached.push_back(item.template);
        self.running += 1;
        let prefill = Duration::from_millis(if cached_index.is_some() { 40 } else { 400 });
        let load_factor = 1.0 + self.running as f64 / CALL_LIMIT as f64;
        (prefill + item.decode_time.mul_f64(load_factor * self.decode_factor), cached_index.is_some())
    }
}

/// Returns idle engines, of which the first decodes at a third of the normal speed.
fn engines() -> Vec<ModelServer> {
    (0..ENGINES)
        .map(|number| ModelServer { decode_factor: if number == 0 { 3.0 } else { 1.0 }, ..ModelServer::default() })
        .collect()
}

/// Returns the requests of a run, which arrive at random at a mean rate of `per_second`.
fn workload(per_second: f64) -> Vec<WorkItem> {
    let mut random = fastrand::Rng::with_seed(SEED);
    let mut arrives_at = 0.0;
    (0..REQUESTS)
        .map(|_| {
            arrives_at -= random.f64().max(1e-9).ln() / per_second;
            // Templates with higher numbers are less frequent.
            let template = (TEMPLATES as f64 * random.f64().powi(2)) as usize;
            let decode_time = Duration::from_secs_f64(0.2 + 0.4 * random.f64());
            WorkItem { arrives_at: Duration::from_secs_f64(arrives_at), template, decode_time }
        })
        .collect()
}

/// Results of one run.
#[derive(Debug, Default)]
struct RunTally {
    /// Number of engine calls whose template was cached.
    hits: u32,
    engine_calls: u32,
    /// Sum of the durations of all encoder calls.
    encoder_busy: Duration,
    /// Sum of the durations of all engine calls.
    engine_busy: Duration,
    /// Time from arrival to answer of each request that was done.
    latencies: Vec<Duration>,
}

/// A policy that chooses an engine for the next request of a first-in, first-out queue.
trait ChoicePolicy {
    /// Returns the number of the chosen engine, or `None` if all engines are at their call limit.
    fn choose(&mut self, servers: &[ModelServer]) -> Option<usize>;
}

/// Chooses engines in turn. Holds the number of the engine to try first.
struct RoundRobin(usize);

impl ChoicePolicy for RoundRobin {
    fn choose(&mut self, servers: &[ModelServer]) -> Option<usize> {
        let rotated = (0..servers.len()).map(|step| (self.0 + step) % servers.len());
        let found = rotated.into_iter().find(|server| servers[*server].running < CALL_LIMIT)?;
        self.0 = found + 1;
        Some(found)
    }
}

/// Chooses the engine that runs the fewest calls.
struct LeastLoaded;

impl ChoicePolicy for LeastLoaded {
    fn choose(&mut self, servers: &[ModelServer]) -> Option<usize> {
        let free = (0..servers.len()).filter(|server| servers[*server].running < CALL_LIMIT);
        free.min_by_key(|server| servers[*server].running)
    }
}

const ENCODE_TIME: Duration = Duration::from_millis(20);

/// Simulates a run in which `policy` chooses the engines, without a node.
fn run_simple_policy(items: &[WorkItem], policy: &mut dyn ChoicePolicy) -> RunTally {
    let mut tally = RunTally::default();
    let mut servers = engines();
    let mut waiting: VecDeque<usize> = VecDeque::new();
    let mut running_calls: BTreeMap<(Duration, usize), usize> = BTreeMap::new();
    let mut next = 0;
    let mut now = Duration::ZERO;
    while tally.latencies.len() < items.len() {
        now += TICK;
        while next < items.len() && items[next].arrives_at + ENCODE_TIME <= now {
            tally.encoder_busy += ENCODE_TIME;
            waiting.push_back(next);
            next += 1;
        }
        while let Some(entry) = running_calls.first_entry().filter(|entry| entry.key().0 <= now) {
            let (_, item) = *entry.key();
            servers[entry.remove()].running -= 1;
            tally.latencies.push(now.saturating_sub(items[item].arrives_at));
        }
        while let Some(item) = waiting.front().copied() {
            let Some(server) = policy.choose(&servers) else { break };
            waiting.pop_front();
            let (took, hit) = servers[server].start(&items[item]);
            tally.record_engine_call(took, hit);
            running_calls.insert((now + took, item), server);
        }
    }
    tally
}

impl RunTally {
    fn record_engine_call(&mut self, took: Duration, hit: bool) {
        self.engine_calls += 1;
        self.engine_busy += took;
        self.hits += u32::from(hit);
    }
}

/// Returns a document with a pipeline of encoders and engines.
fn pipeline() -> Document {
    let limits = (CALL_LIMIT as u32, CALL_LIMIT as u32);
    let encoders =
        PoolSpec { service: "a-encoder", kind: ServiceKind::Encode, targets: ENCODERS, limits, ..PoolSpec::default() };
    let generators = PoolSpec {
        service: "b-generator",
        kind: ServiceKind::Generate,
        targets: ENGINES,
        limits,
        ..PoolSpec::default()
    };
    document(&[encoders, generators], 3)
}

/// Returns a prompt that begins with the item's template and ends with the request's number.
fn prompt_body(item: &WorkItem, request: usize) -> Arc<str> {
    let template = format!("template {} of the season plan, ", item.template).repeat(64);
    Arc::from(format!("{template} request {request}"))
}

/// A running attempt, with the number of the engine that runs it, or `None` for an encoder call.
#[derive(Clone, Copy, Debug)]
struct RunningCall {
    attempt: AttemptId,
    server: Option<usize>,
}

/// Simulates a run in which a node chooses the targets.
fn run_node(items: &[WorkItem], tuning: Tuning) -> RunTally {
    let mut tally = RunTally::default();
    let mut node = NodeFixture::serving(pipeline(), tuning);
    let mut servers = engines();
    let mut running_calls: BTreeMap<(Moment, AttemptId), RunningCall> = BTreeMap::new();
    let mut pending: BTreeMap<CallId, usize> = BTreeMap::new();
    let start = node.now;
    let mut next = 0;
    while next < items.len() || !pending.is_empty() {
        while next < items.len() && start + items[next].arrives_at <= node.now {
            let call =
                node.ask_with(&next.to_string(), "plan", prompt_body(&items[next], next), DEADLINE, Priority::Normal);
            pending.insert(call, next);
            next += 1;
        }
        for request in std::mem::take(&mut node.sent_attempts) {
            let item = &items[request.key.request.as_str().parse::<usize>().unwrap_or_default()];
            let mut server = None;
            let mut took = ENCODE_TIME;
            if request.kind == ServiceKind::Generate {
                let digits = request.target.as_str().rsplit('-').next().unwrap_or_default();
                let number: usize = digits.parse().unwrap_or_default();
                server = Some(number);
                let (engine_took, hit) = servers[number].start(item);
                tally.record_engine_call(engine_took, hit);
                took = engine_took;
            } else {
                tally.encoder_busy += ENCODE_TIME;
            }
            running_calls.insert((node.now + took, request.attempt), RunningCall { attempt: request.attempt, server });
        }
        node.advance(TICK);
        let now = node.now;
        while let Some(entry) = running_calls.first_entry().filter(|entry| entry.key().0 <= now) {
            let running = entry.remove();
            if let Some(server) = running.server {
                servers[server].running -= 1;
            }
            node.finish(running.attempt);
        }
        for (call, part) in std::mem::take(&mut node.answers) {
            if let AnswerPart::Final(answer) = part
                && let Some(item) = pending.remove(&call)
                && answer.outcome == Outcome::Done
            {
                tally.latencies.push(now.since(start + items[item].arrives_at));
            }
        }
    }
    tally
}

/// Prints the results of one run.
fn report(name: &str, tally: &mut RunTally) {
    tally.latencies.sort_unstable();
    let done = tally.latencies.len();
    let percentile_ms = |quantile: f64| tally.latencies[((done - 1) as f64 * quantile) as usize].as_millis();
    println!(
        "{name:<22} done {done:>5} hits {:>5.1} %  latency ms p50 {:>5} p95 {:>5} p99 {:>5}  busy ms per answer: \
         encoder {:>4.1} engine {:>6.1}",
        100.0 * f64::from(tally.hits) / f64::from(tally.engine_calls.max(1)),
        percentile_ms(0.5),
        percentile_ms(0.95),
        percentile_ms(0.99),
        tally.encoder_busy.as_secs_f64() * 1e3 / done as f64,
        tally.engine_busy.as_secs_f64() * 1e3 / done as f64,
    );
}

fn main() {
    // The simulated streams send no tokens before their end, so the timeout for the first token is raised to the
    // deadline.
    let tuning =
        Tuning { first_token_timeout: DEADLINE, early_refusal: false, max_queue_length: REQUESTS, ..Tuning::default() };
    for per_second in [30.0, 60.0] {
        println!("{per_second} requests a second:");
        let items = workload(per_second);
        report("round robin", &mut run_simple_policy(&items, &mut RoundRobin(0)));
        report("least loaded", &mut run_simple_policy(&items, &mut LeastLoaded));
        let no_affinity = Tuning { prefix_ttl: Duration::ZERO, ..tuning.clone() };
        report("node, no affinity", &mut run_node(&items, no_affinity));
        for slack in [0.125, 0.25, 0.5, 1.0] {
            let tuning = Tuning { prefix_slack: slack, ..tuning.clone() };
            report(&format!("node, slack {slack}"), &mut run_node(&items, tuning));
        }
    }
}
