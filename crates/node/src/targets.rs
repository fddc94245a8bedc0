//! The targets' edge: one thread for each attempt, over `ureq`.

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
    path,
};

use crate::input::{InputSender, NodeInput};
use crate::part::TARGETS;
use crate::ports::TargetPort;
use crate::settings::EdgeSettings;

/// Attempts that run, with the flag that stops each.
type CancelFlags = Arc<Mutex<HashMap<AttemptId, Arc<AtomicBool>>>>;

/// Sends attempts to targets.
#[derive(Debug)]
pub struct TargetEdge {
    settings: EdgeSettings,
    shared: Agent,
    inputs: InputSender,
    flags: CancelFlags,
}

impl TargetEdge {
    /// An edge that opens connections as needed.
    #[must_use]
    pub fn new(settings: &EdgeSettings, inputs: InputSender) -> Self {
        Self { settings: settings.clone(), shared: agent(settings, 8), inputs, flags: CancelFlags::default() }
    }
}

fn agent(settings: &EdgeSettings, idle: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(settings.connect_within))
        .max_idle_connections_per_host(idle)
        .no_delay(true)
        .build()
        .new_agent()
}

impl TargetPort for TargetEdge {
    fn send(&mut self, order: SendOrder) {
        let id = order.attempt;
        let flag = Arc::new(AtomicBool::new(false));
        self.flags.lock().unwrap_or_else(PoisonError::into_inner).insert(id, flag.clone());
        let agent = if order.fresh_connection { agent(&self.settings, 0) } else { self.shared.clone() };
        let attempt = Attempt {
            order,
            agent,
            flag,
            silence: self.settings.target_silence,
            accepted: Instant::now(),
            inputs: self.inputs.clone(),
        };
        let flags = self.flags.clone();
        let spawned = thread::Builder::new().name("attempt".to_owned()).spawn(move || {
            attempt.run();
            flags.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        });
        if spawned.is_err() {
            let failed = AttemptEvent::Failed { kind: FailureKind::Unreachable, sent: false };
            let _ = self.inputs.send(NodeInput::Core(Event::Attempt(id, failed)));
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        if let Some(flag) = self.flags.lock().unwrap_or_else(PoisonError::into_inner).remove(&attempt) {
            flag.store(true, Ordering::SeqCst);
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
    order: SendOrder,
    agent: Agent,
    flag: Arc<AtomicBool>,
    silence: Duration,
    accepted: Instant,
    inputs: InputSender,
}

impl Attempt {
    fn run(&self) {
        let event = match self.exchange() {
            Ok(event) => event,
            Err(failure) => {
                let order = &self.order;
                warn!(
                    "{TARGETS} {} stage {} attempt {} at {} failed: {}.",
                    order.key, order.stage, order.number, order.target, failure.kind
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
        let url = format!("http://{}{}", order.address, path(order.kind));
        let stream = order.kind == ServiceKind::Generate;
        let request = self
            .agent
            .post(&url)
            .config()
            .timeout_global(Some(time_left))
            .timeout_per_read(stream.then_some(self.silence))
            .build()
            .header(ORGANISATION_HEADER, order.key.org.as_str())
            .header(REQUEST_HEADER, order.key.request.as_str())
            .header(STAGE_HEADER, order.stage.to_string())
            .header(ATTEMPT_HEADER, order.number.to_string())
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

fn completion_call(order: &SendOrder, time_left: Duration) -> CompletionCall {
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
