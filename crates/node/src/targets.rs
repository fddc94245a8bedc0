//! The targets' edge: sends each attempt with `ureq` on a thread of its own, up to a limit of attempts.

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
use wasabipier_wire::caller::{DEADLINE_HEADER, ORGANISATION_HEADER, REQUEST_ID_HEADER};
use wasabipier_wire::target::{
    ATTEMPT_HEADER, CompletionCall, CompletionChunk, SHADOW_HEADER, STAGE_HEADER, STREAM_END, StageCall, StageReply,
    service_path,
};

use crate::connections::ConnectionPool;
use crate::log_prefix::TARGETS;
use crate::node_input::{InputSender, NodeInput};
use crate::ports::TargetPort;
use crate::settings::EdgeSettings;

/// Handle that cancels a running attempt.
#[derive(Clone, Debug)]
struct CancelHandle {
    is_cancelled: Arc<AtomicBool>,
    agent: Agent,
}

impl CancelHandle {
    /// Cancels the attempt and closes its connection, even while a read blocks. The closed connection tells the target
    /// to stop.
    fn cancel(self) {
        self.is_cancelled.store(true, Ordering::SeqCst);
        self.agent.shutdown();
    }
}

/// Cancel handles of the running attempts.
type RunningAttempts = Arc<Mutex<HashMap<AttemptId, CancelHandle>>>;

/// Sends attempts to targets.
#[derive(Debug)]
pub struct TargetEdge {
    read_timeout: Duration,
    connections: Arc<ConnectionPool>,
    inputs: InputSender,
    running: RunningAttempts,
}

impl TargetEdge {
    /// Most attempts that run at once, each on a thread of its own.
    const MAX_RUNNING: usize = 1024;

    /// Creates an edge without connections, which opens them as needed.
    #[must_use]
    pub fn new(settings: &EdgeSettings, inputs: InputSender) -> Self {
        Self {
            read_timeout: settings.target_read_timeout,
            connections: Arc::new(ConnectionPool::new(settings.connect_timeout)),
            inputs,
            running: RunningAttempts::default(),
        }
    }

    /// Starts the thread of an attempt.
    fn spawn_attempt(&self, order: AttemptRequest) -> std::io::Result<()> {
        let id = order.attempt;
        let is_fresh = order.needs_fresh_connection;
        let agent = if is_fresh { self.connections.open() } else { self.connections.acquire(order.address) };
        let handle = CancelHandle { is_cancelled: Arc::default(), agent: agent.clone() };
        let attempt = Attempt {
            order,
            agent,
            is_cancelled: handle.is_cancelled.clone(),
            read_timeout: self.read_timeout,
            accepted_at: Instant::now(),
            inputs: self.inputs.clone(),
        };
        let (running, connections) = (self.running.clone(), self.connections.clone());
        {
            let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
            if running.len() >= Self::MAX_RUNNING {
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
        if let Err(error) = self.spawn_attempt(order) {
            warn!("{TARGETS} attempt could not be started: {error}.");
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

/// How an attempt failed, and whether its request may have reached the target.
#[derive(Clone, Copy, Debug)]
struct AttemptFailure {
    kind: FailureKind,
    sent: bool,
}

/// Attempt that runs on a thread of its own.
struct Attempt {
    order: AttemptRequest,
    agent: Agent,
    is_cancelled: Arc<AtomicBool>,
    read_timeout: Duration,
    accepted_at: Instant,
    inputs: InputSender,
}

impl Attempt {
    /// Runs the attempt and reports how it ended.
    fn run(self, connections: &ConnectionPool) {
        let order = &self.order;
        let event = match self.exchange() {
            Ok(event) => {
                if !order.needs_fresh_connection {
                    connections.release(order.address, self.agent.clone());
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
        self.send_event(event);
    }

    fn send_event(&self, event: AttemptEvent) {
        let _ = self.inputs.send(NodeInput::Core(Event::Attempt(self.order.attempt, event)));
    }

    /// Sends the request and reads the answer.
    fn exchange(&self) -> Result<AttemptEvent, AttemptFailure> {
        // If the process was paused before this point, the time may have run out and another node may have taken over
        // the request. In that case nothing is sent.
        let time_left = self.order.time_left.saturating_sub(self.accepted_at.elapsed());
        if time_left.is_zero() || self.is_cancelled.load(Ordering::SeqCst) {
            return Err(AttemptFailure { kind: FailureKind::Unreachable, sent: false });
        }
        let response = self.send_request(time_left).map_err(|error| classify_error(&error))?;
        match response.status().as_u16() {
            200 => {}
            503 | 429 => return Err(AttemptFailure { kind: FailureKind::Full, sent: true }),
            400..=499 => return Err(AttemptFailure { kind: FailureKind::Rejected, sent: true }),
            _ => return Err(AttemptFailure { kind: FailureKind::Faulted, sent: true }),
        }
        if self.order.kind == ServiceKind::Generate { self.read_stream(response) } else { read_reply(response) }
    }

    fn send_request(&self, time_left: Duration) -> Result<Response<Body>, ureq::Error> {
        let order = &self.order;
        let url = format!("http://{}{}", order.address, service_path(order.kind));
        let is_stream = order.kind == ServiceKind::Generate;
        // A call that may be repeated is retried at another target if its connection is silent. A call that must not be
        // repeated cannot be retried, so it waits for its answer for as long as time is left.
        let is_repeatable = !order.needs_fresh_connection;
        let request = self
            .agent
            .post(&url)
            .config()
            .timeout_global(Some(time_left))
            .timeout_per_read(is_repeatable.then_some(self.read_timeout))
            .build()
            .header(ORGANISATION_HEADER, order.key.org.as_str())
            .header(REQUEST_ID_HEADER, order.key.request.as_str())
            .header(STAGE_HEADER, order.stage.to_string())
            .header(ATTEMPT_HEADER, order.attempt_number.to_string())
            .header(SHADOW_HEADER, if order.is_shadow { "yes" } else { "no" })
            .header(DEADLINE_HEADER, time_left.as_millis().to_string());
        if is_stream {
            request.send_json(completion_call(order, time_left))
        } else {
            request
                .send_json(StageCall { request: parse_or_wrap(&order.body), previous: parse_or_wrap(&order.previous) })
        }
    }

    /// Reads the events of a stream and reports each token, up to the end mark.
    fn read_stream(&self, mut response: Response<Body>) -> Result<AttemptEvent, AttemptFailure> {
        let malformed = AttemptFailure { kind: FailureKind::Malformed, sent: true };
        let mut text = String::new();
        let mut last = CompletionChunk::default();
        let reader = BufReader::new(response.body_mut().as_reader());
        for line in reader.lines() {
            let line = line.map_err(|error| classify_io_error(&error))?;
            if self.is_cancelled.load(Ordering::SeqCst) {
                return Err(AttemptFailure { kind: FailureKind::Broken, sent: true });
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
                self.send_event(AttemptEvent::Token {
                    index: choice.token_index,
                    text: Arc::from(choice.text.as_str()),
                });
            }
            last = chunk;
        }
        // The stream ended without its end mark, so the target has crashed or closed the connection.
        Err(AttemptFailure { kind: FailureKind::Broken, sent: true })
    }
}

/// Builds the call of a completion, whose prompt is the previous stage's answer followed by the caller's body.
fn completion_call(order: &AttemptRequest, time_left: Duration) -> CompletionCall {
    let prompt =
        if order.previous.is_empty() { order.body.to_string() } else { format!("{}\n{}", order.previous, order.body) };
    CompletionCall { prompt, stream: true, resume_from: order.resume_from, deadline_ms: time_left.as_millis() as u64 }
}

/// Parses a text as JSON. Returns null if the text is empty, and a JSON string of the text if it is not JSON.
fn parse_or_wrap(text: &str) -> serde_json::Value {
    if text.is_empty() {
        return serde_json::Value::Null;
    }
    serde_json::from_str(text).unwrap_or_else(|_| serde_json::Value::String(text.to_owned()))
}

fn read_reply(mut response: Response<Body>) -> Result<AttemptEvent, AttemptFailure> {
    let reply: StageReply = response.body_mut().read_json().map_err(|error| match error {
        ureq::Error::Json(_) => AttemptFailure { kind: FailureKind::Malformed, sent: true },
        other => classify_error(&other),
    })?;
    Ok(AttemptEvent::Finished {
        body: Arc::from(reply.result.to_string()),
        usage: reply.usage.into(),
        report: reply.load.into(),
    })
}

/// Maps an error of a call to its failure. Only errors before the request is sent count as not sent.
fn classify_error(error: &ureq::Error) -> AttemptFailure {
    match error {
        ureq::Error::Io(error) => classify_io_error(error),
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            AttemptFailure { kind: FailureKind::Unreachable, sent: false }
        }
        ureq::Error::Timeout(_) => AttemptFailure { kind: FailureKind::Silent, sent: true },
        _ => AttemptFailure { kind: FailureKind::Broken, sent: true },
    }
}

/// Maps an I/O error of a call to its failure. Only a refused connection counts as not sent.
fn classify_io_error(error: &std::io::Error) -> AttemptFailure {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused => AttemptFailure { kind: FailureKind::Unreachable, sent: false },
        std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock => {
            AttemptFailure { kind: FailureKind::Silent, sent: true }
        }
        _ => AttemptFailure { kind: FailureKind::Broken, sent: true },
    }
}
