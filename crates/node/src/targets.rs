//! The targets' edge: one thread for each attempt, up to a bound, over `ureq`.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use spdlog::warn;
use ureq::http::Response;
use ureq::{Agent, Body};
use wasabipier_core::document::ServiceKind;
use wasabipier_core::prelude::*;
use wasabipier_wire::caller::{DEADLINE_HEADER, ORGANISATION_HEADER, REQUEST_HEADER};
use wasabipier_wire::target::{
    ATTEMPT_HEADER, CompletionCall, CompletionChunk, SHADOW_HEADER, STAGE_HEADER, STREAM_END, StageCall, StageReply,
    service_path,
};

use crate::connections::ConnectionStock;
use crate::input::{InputSender, NodeInput};
use crate::part::TARGETS;
use crate::ports::TargetPort;
use crate::settings::EdgeSettings;

/// What stops a running attempt.
#[derive(Clone, Debug)]
struct CancelHandle {
    flag: Arc<AtomicBool>,
    agent: Agent,
}

impl CancelHandle {
    /// Closes the attempt's connection, also while a read blocks: that is how the target is told.
    fn cancel(self) {
        self.flag.store(true, Ordering::SeqCst);
        self.agent.shutdown();
    }
}

/// Attempts that run.
type RunningAttempts = Arc<Mutex<HashMap<AttemptId, CancelHandle>>>;

/// Sends attempts to targets.
#[derive(Debug)]
pub struct TargetEdge {
    silence: Duration,
    connections: Arc<ConnectionStock>,
    inputs: InputSender,
    running: RunningAttempts,
}

impl TargetEdge {
    /// Most attempts, and with them threads, at once.
    const MOST_RUNNING: usize = 1024;

    /// An edge that opens connections as needed.
    #[must_use]
    pub fn new(settings: &EdgeSettings, inputs: InputSender) -> Self {
        Self {
            silence: settings.target_silence,
            connections: Arc::new(ConnectionStock::new(settings.connect_within)),
            inputs,
            running: RunningAttempts::default(),
        }
    }

    fn spawn(&self, order: AttemptRequest) -> std::io::Result<()> {
        let id = order.attempt;
        let fresh = order.fresh_connection;
        let agent = if fresh { self.connections.open() } else { self.connections.take(order.address) };
        let handle = CancelHandle { flag: Arc::default(), agent: agent.clone() };
        let attempt = Attempt {
            order,
            agent,
            flag: handle.flag.clone(),
            silence: self.silence,
            accepted: Instant::now(),
            inputs: self.inputs.clone(),
        };
        let (running, connections) = (self.running.clone(), self.connections.clone());
        {
            let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
            if running.len() >= Self::MOST_RUNNING {
                return Err(std::io::Error::other("too many attempts at once"));
            }
            running.insert(id, handle);
        }
        let spawned = thread::Builder::new().name("attempt".to_owned()).spawn(move || {
            attempt.run(&connections);
            running.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        });
        if spawned.is_err() {
            self.running.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        }
        spawned.map(|_| ())
    }
}

impl TargetPort for TargetEdge {
    fn send(&mut self, order: AttemptRequest) {
        let id = order.attempt;
        if let Err(error) = self.spawn(order) {
            warn!("{TARGETS} an attempt was not started: {error}.");
            let failed = AttemptEvent::Failed { kind: FailureKind::Unreachable, sent: false };
            let _ = self.inputs.send(NodeInput::Core(Event::Attempt(id, failed)));
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let handle = self.running.lock().unwrap_or_else(PoisonError::into_inner).remove(&attempt);
        if let Some(handle) = handle {
            handle.cancel();
        }
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug)]
struct Failure {
    kind: FailureKind,
    sent: bool,
}

struct Attempt {
    order: AttemptRequest,
    agent: Agent,
    flag: Arc<AtomicBool>,
    silence: Duration,
    accepted: Instant,
    inputs: InputSender,
}

impl Attempt {
    fn run(self, connections: &ConnectionStock) {
        let order = &self.order;
        let event = match self.exchange() {
            Ok(event) => {
                if !order.fresh_connection {
                    connections.give_back(order.address, self.agent.clone());
                }
                event
            }
            Err(failure) => {
                if failure.kind == FailureKind::Silent {
                    connections.drop_idle(order.address);
                }
                warn!(
                    "{TARGETS} {} stage {} attempt {} at {} failed: {}.",
                    order.key, order.stage, order.attempt_number, order.target, failure.kind
                );
                AttemptEvent::Failed { kind: failure.kind, sent: failure.sent }
            }
        };
        self.tell(event);
    }

    fn tell(&self, event: AttemptEvent) {
        let _ = self.inputs.send(NodeInput::Core(Event::Attempt(self.order.attempt, event)));
    }

    fn exchange(&self) -> Result<AttemptEvent, Failure> {
        // A process that was paused before this point must not send what others may have taken over.
        let time_left = self.order.time_left.saturating_sub(self.accepted.elapsed());
        if time_left.is_zero() || self.flag.load(Ordering::SeqCst) {
            return Err(Failure { kind: FailureKind::Unreachable, sent: false });
        }
        let response = self.call(time_left).map_err(|error| failure(&error))?;
        match response.status().as_u16() {
            200 => {}
            503 | 429 => return Err(Failure { kind: FailureKind::Full, sent: true }),
            400..=499 => return Err(Failure { kind: FailureKind::Rejected, sent: true }),
            _ => return Err(Failure { kind: FailureKind::Faulted, sent: true }),
        }
        if self.order.kind == ServiceKind::Generate { self.read_stream(response) } else { read_reply(response) }
    }

    fn call(&self, time_left: Duration) -> Result<Response<Body>, ureq::Error> {
        let order = &self.order;
        let url = format!("http://{}{}", order.address, service_path(order.kind));
        let stream = order.kind == ServiceKind::Generate;
        // A call that may be repeated goes elsewhere when its connection is silent; one that may not has
        // nowhere to go, and its answer is worth waiting for.
        let repeatable = !order.fresh_connection;
        let request = self
            .agent
            .post(&url)
            .config()
            .timeout_global(Some(time_left))
            .timeout_per_read(repeatable.then_some(self.silence))
            .build()
            .header(ORGANISATION_HEADER, order.key.org.as_str())
            .header(REQUEST_HEADER, order.key.request.as_str())
            .header(STAGE_HEADER, order.stage.to_string())
            .header(ATTEMPT_HEADER, order.attempt_number.to_string())
            .header(SHADOW_HEADER, if order.shadow { "yes" } else { "no" })
            .header(DEADLINE_HEADER, time_left.as_millis().to_string());
        if stream {
            request.send_json(completion_call(order, time_left))
        } else {
            request.send_json(StageCall { request: json(&order.body), previous: json(&order.previous) })
        }
    }

    fn read_stream(&self, mut response: Response<Body>) -> Result<AttemptEvent, Failure> {
        let malformed = Failure { kind: FailureKind::Malformed, sent: true };
        let mut text = String::new();
        let mut last = CompletionChunk::default();
        let reader = BufReader::new(response.body_mut().as_reader());
        for line in reader.lines() {
            let line = line.map_err(|error| broken(&error))?;
            if self.flag.load(Ordering::SeqCst) {
                return Err(Failure { kind: FailureKind::Broken, sent: true });
            }
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == STREAM_END {
                let usage = last.usage.unwrap_or_default().into();
                let report = last.load.unwrap_or_default().into();
                return Ok(AttemptEvent::Finished { body: Arc::from(text), usage, report });
            }
            let chunk: CompletionChunk = serde_json::from_str(data).map_err(|_| malformed)?;
            let choice = chunk.choices.first().ok_or(malformed)?;
            if choice.finish_reason.is_none() {
                text.push_str(&choice.text);
                self.tell(AttemptEvent::Token { index: choice.token_index, text: Arc::from(choice.text.as_str()) });
            }
            last = chunk;
        }
        // The stream ended without its end mark: the target went away.
        Err(Failure { kind: FailureKind::Broken, sent: true })
    }
}

fn completion_call(order: &AttemptRequest, time_left: Duration) -> CompletionCall {
    let prompt =
        if order.previous.is_empty() { order.body.to_string() } else { format!("{}\n{}", order.previous, order.body) };
    CompletionCall { prompt, stream: true, resume_from: order.resume_from, deadline_ms: time_left.as_millis() as u64 }
}

/// JSON if the text is JSON, a string otherwise, null if it is empty.
fn json(text: &str) -> serde_json::Value {
    if text.is_empty() {
        return serde_json::Value::Null;
    }
    serde_json::from_str(text).unwrap_or_else(|_| serde_json::Value::String(text.to_owned()))
}

fn read_reply(mut response: Response<Body>) -> Result<AttemptEvent, Failure> {
    let reply: StageReply = response.body_mut().read_json().map_err(|error| match error {
        ureq::Error::Json(_) => Failure { kind: FailureKind::Malformed, sent: true },
        other => failure(&other),
    })?;
    Ok(AttemptEvent::Finished {
        body: Arc::from(reply.result.to_string()),
        usage: reply.usage.into(),
        report: reply.load.into(),
    })
}

fn failure(error: &ureq::Error) -> Failure {
    match error {
        ureq::Error::Io(error) => broken(error),
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            Failure { kind: FailureKind::Unreachable, sent: false }
        }
        ureq::Error::Timeout(_) => Failure { kind: FailureKind::Silent, sent: true },
        _ => Failure { kind: FailureKind::Broken, sent: true },
    }
}

fn broken(error: &std::io::Error) -> Failure {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused => Failure { kind: FailureKind::Unreachable, sent: false },
        std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock => {
            Failure { kind: FailureKind::Silent, sent: true }
        }
        _ => Failure { kind: FailureKind::Broken, sent: true },
    }
}
