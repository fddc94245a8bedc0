//! The targets' edge: sends each attempt with `ureq` on a thread of its own, up to [`TargetEdge::MAX_RUNNING`] at once.

use std::collections::HashMap;
use std::io::BufReader;
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
    ATTEMPT_HEADER, CompletionCall, CompletionChunk, ReceivedReply, SHADOW_HEADER, STAGE_HEADER, STREAM_END, StageCall,
    service_path,
};

use crate::bounded_answers::{AnswerBounds, read_line};
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
    /// Longest time without a byte from a target, for calls that may be repeated.
    read_timeout: Duration,
    connections: Arc<ConnectionPool>,
    bounds: AnswerBounds,
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
            bounds: AnswerBounds::default(),
            inputs,
            running: RunningAttempts::default(),
        }
    }

    /// Starts the thread of an attempt.
    ///
    /// # Errors
    ///
    /// Fails if [`Self::MAX_RUNNING`] attempts run already or the operating system refuses the thread.
    fn spawn_attempt(&self, request: AttemptRequest) -> std::io::Result<()> {
        let id = request.attempt;
        let is_fresh = request.needs_fresh_connection;
        let agent = if is_fresh { self.connections.new_agent() } else { self.connections.acquire(request.address) };
        let handle = CancelHandle { is_cancelled: Arc::default(), agent: agent.clone() };
        let attempt = Attempt {
            request,
            agent,
            is_cancelled: handle.is_cancelled.clone(),
            read_timeout: self.read_timeout,
            bounds: self.bounds.clone(),
            created_at: Instant::now(),
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
    fn send(&mut self, request: AttemptRequest) {
        let id = request.attempt;
        if let Err(error) = self.spawn_attempt(request) {
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

/// Failure of an attempt.
#[derive(Clone, Copy, Debug)]
struct AttemptFailure {
    kind: FailureKind,
    /// Whether the request may have reached the target.
    sent: bool,
}

/// Attempt that runs on a thread of its own.
struct Attempt {
    request: AttemptRequest,
    agent: Agent,
    is_cancelled: Arc<AtomicBool>,
    read_timeout: Duration,
    bounds: AnswerBounds,
    /// Time from which the request's `time_left` counts.
    created_at: Instant,
    inputs: InputSender,
}

impl Attempt {
    /// Runs the attempt and sends the event that ends it to the decision thread. A connection that worked returns to
    /// the pool unless it was opened for this attempt alone.
    fn run(self, connections: &ConnectionPool) {
        let request = &self.request;
        let event = match self.exchange() {
            Ok(event) => {
                if !request.needs_fresh_connection {
                    connections.release(request.address, self.agent.clone());
                }
                event
            }
            Err(failure) => {
                if failure.kind == FailureKind::Silent {
                    connections.drop_idle(request.address);
                }
                warn!(
                    "{TARGETS} {} stage {} attempt {} at {} failed: {}.",
                    request.key, request.stage, request.attempt_number, request.target, failure.kind
                );
                AttemptEvent::Failed { kind: failure.kind, sent: failure.sent }
            }
        };
        self.send_event(event);
    }

    fn send_event(&self, event: AttemptEvent) {
        let _ = self.inputs.send(NodeInput::Core(Event::Attempt(self.request.attempt, event)));
    }

    /// Sends the request, reads the answer and returns the event that ends the attempt.
    fn exchange(&self) -> Result<AttemptEvent, AttemptFailure> {
        // If the process was paused before this point, the time may have run out and another node may have taken over
        // the request. In that case nothing is sent.
        let time_left = self.request.time_left.saturating_sub(self.created_at.elapsed());
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
        if self.request.kind == ServiceKind::Generate { self.read_stream(response) } else { self.read_reply(response) }
    }

    fn send_request(&self, time_left: Duration) -> Result<Response<Body>, ureq::Error> {
        let request = &self.request;
        let url = format!("http://{}{}", request.address, service_path(request.kind));
        let is_stream = request.kind == ServiceKind::Generate;
        // A call that may be repeated is retried at another target if its connection is silent. A call that must not be
        // repeated cannot be retried, so it waits for its answer for as long as time is left.
        let is_repeatable = !request.needs_fresh_connection;
        let http_request = self
            .agent
            .post(&url)
            .config()
            .timeout_global(Some(time_left))
            .timeout_per_read(is_repeatable.then_some(self.read_timeout))
            .build()
            .header(ORGANISATION_HEADER, request.key.org.as_str())
            .header(REQUEST_ID_HEADER, request.key.request.as_str())
            .header(STAGE_HEADER, request.stage.to_string())
            .header(ATTEMPT_HEADER, request.attempt_number.to_string())
            .header(SHADOW_HEADER, if request.is_shadow { "yes" } else { "no" })
            .header(DEADLINE_HEADER, time_left.as_millis().to_string());
        if is_stream {
            http_request.send_json(build_completion_call(request, time_left))
        } else {
            http_request.send_json(StageCall {
                request: parse_or_wrap(&request.body),
                previous: parse_or_wrap(&request.previous),
            })
        }
    }

    /// Reads the events of a stream and reports each token, up to the end mark.
    fn read_stream(&self, mut response: Response<Body>) -> Result<AttemptEvent, AttemptFailure> {
        let malformed = AttemptFailure { kind: FailureKind::Malformed, sent: true };
        let mut text = self.bounds.new_text();
        let mut last_chunk = CompletionChunk::default();
        let mut reader = BufReader::new(response.body_mut().as_reader());
        let mut line = String::new();
        while read_line(&mut reader, &mut line).map_err(|error| classify_io_error(&error))? {
            if self.is_cancelled.load(Ordering::SeqCst) {
                return Err(AttemptFailure { kind: FailureKind::Broken, sent: true });
            }
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == STREAM_END {
                let usage = last_chunk.usage.unwrap_or_default().into();
                let report = last_chunk.load.unwrap_or_default().into();
                let text = String::from_utf8_lossy(&text.into_bytes()).into_owned();
                return Ok(AttemptEvent::Finished { body: Arc::from(text), usage, report });
            }
            let chunk: CompletionChunk = serde_json::from_str(data).map_err(|_| malformed)?;
            let choice = chunk.choices.first().ok_or(malformed)?;
            if choice.finish_reason.is_none() {
                text.push(choice.text.as_bytes()).map_err(|_| malformed)?;
                self.send_event(AttemptEvent::Token {
                    index: choice.token_index,
                    text: Arc::from(choice.text.as_str()),
                });
            }
            last_chunk = chunk;
        }
        // The stream ended without its end mark, so the target has crashed or closed the connection.
        Err(AttemptFailure { kind: FailureKind::Broken, sent: true })
    }

    /// Reads the reply of a target that streams nothing.
    fn read_reply(&self, mut response: Response<Body>) -> Result<AttemptEvent, AttemptFailure> {
        let body = self.bounds.read_whole(response.body_mut().as_reader());
        // The library wraps its own errors, such as timeouts, in errors of the reader.
        let body = body.map_err(|error| classify_error(&error.into()))?;
        let reply: ReceivedReply<'_> =
            serde_json::from_slice(&body).map_err(|_| AttemptFailure { kind: FailureKind::Malformed, sent: true })?;
        Ok(AttemptEvent::Finished {
            body: Arc::from(reply.result.get()),
            usage: reply.usage.into(),
            report: reply.load.into(),
        })
    }
}

/// Builds the call of a completion, whose prompt is the previous stage's answer followed by the caller's body.
fn build_completion_call(request: &AttemptRequest, time_left: Duration) -> CompletionCall {
    let prompt = if request.previous.is_empty() {
        request.body.to_string()
    } else {
        format!("{}\n{}", request.previous, request.body)
    };
    CompletionCall { prompt, stream: true, resume_from: request.resume_from, deadline_ms: time_left.as_millis() as u64 }
}

/// Parses a text as JSON. Returns null if the text is empty, and a JSON string of the text if it is not JSON.
fn parse_or_wrap(text: &str) -> serde_json::Value {
    if text.is_empty() {
        return serde_json::Value::Null;
    }
    serde_json::from_str(text).unwrap_or_else(|_| serde_json::Value::String(text.to_owned()))
}

/// Maps an error of a call to the failure of the attempt. Only errors that come before the request is sent count as not
/// sent.
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

/// Maps an I/O error of a call to the failure of the attempt. Only a refused connection counts as not sent.
fn classify_io_error(error: &std::io::Error) -> AttemptFailure {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused => AttemptFailure { kind: FailureKind::Unreachable, sent: false },
        std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock => {
            AttemptFailure { kind: FailureKind::Silent, sent: true }
        }
        std::io::ErrorKind::InvalidData => AttemptFailure { kind: FailureKind::Malformed, sent: true },
        _ => AttemptFailure { kind: FailureKind::Broken, sent: true },
    }
}
