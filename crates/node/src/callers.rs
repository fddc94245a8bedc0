//! The callers' edge: HTTP by `tiny_http`, answers streamed line by line.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::Value;
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use spdlog::info;
use tiny_http::{Header, Method, Request, Response, Server};
use wasabipier_core::prelude::*;
use wasabipier_wire::answer::WireCharge;
use wasabipier_wire::caller::{
    DEADLINE_HEADER, ErrorReply, FinalReply, ORGANISATION_HEADER, PRIORITY_HEADER, REQUEST_HEADER, TokenReply,
};

use crate::input::{InputSender, NodeInput, Question};
use crate::operators;
use crate::part::CALLERS;
use crate::run::StartError;
use crate::settings::{NodeSettings, SecretKey};

/// Time for the decision thread to answer a question about the node.
const LOOK_WITHIN: Duration = Duration::from_secs(2);
/// Time beyond a caller's deadline after which its thread gives up waiting.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);
/// Silence after which the kernel probes a caller's connection.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// Time for which bytes to a caller may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(10);

/// Why a caller's request cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// A header is missing or empty.
    #[error("header `{0}` is missing: send it with each request")]
    MissingHeader(&'static str),
    /// A header cannot be used.
    #[error("header `{0}` is not valid: {1}")]
    BadHeader(&'static str, &'static str),
    /// The body is too large.
    #[error("the body has more than {0} bytes: send less")]
    TooLarge(u64),
    /// The body is not JSON.
    #[error("the body is not JSON ({0}): send one JSON value")]
    NotJson(String),
    /// There is nothing under this path.
    #[error("no such path: use POST /v1/pipelines/NAME, POST /v1/services/NAME or GET /v1/addresses")]
    NoSuchPath,
    /// The key is missing or wrong.
    #[error("the operators' key is missing or wrong: send `Authorization: Bearer KEY`")]
    NoKey,
}

impl CallError {
    fn kind(&self) -> &'static str {
        match self {
            Self::MissingHeader(_) => "missing-header",
            Self::BadHeader(..) => "bad-header",
            Self::TooLarge(_) => "body-too-large",
            Self::NotJson(_) => "not-json",
            Self::NoSuchPath => "no-such-path",
            Self::NoKey => "no-key",
        }
    }

    fn status(&self) -> u16 {
        match self {
            Self::TooLarge(_) => 413,
            Self::NoSuchPath => 404,
            Self::NoKey => 401,
            _ => 400,
        }
    }
}

/// What the threads of the edge share.
pub struct CallerEdge {
    /// Where inputs go.
    pub inputs: InputSender,
    /// Key of operators.
    pub operator_key: SecretKey,
    metrics: PrometheusHandle,
    most_body_bytes: u64,
    open_calls: OpenCalls,
}

/// Calls whose answers are not yet written.
#[derive(Clone, Debug, Default)]
pub struct OpenCalls(Arc<AtomicUsize>);

impl OpenCalls {
    /// Time for the last answers of a node that stops.
    const WRITTEN_WITHIN: Duration = Duration::from_secs(2);
    const LOOK_EVERY: Duration = Duration::from_millis(5);

    /// Waits until all answers are written: what the decision thread has ended may still be on its way.
    pub fn wait(&self) {
        let started = Instant::now();
        while self.0.load(Ordering::SeqCst) > 0 && started.elapsed() < Self::WRITTEN_WITHIN {
            thread::sleep(Self::LOOK_EVERY);
        }
    }
}

impl CallerEdge {
    /// Starts to listen; gives the count of calls that a stop waits for.
    ///
    /// # Errors
    ///
    /// The address cannot be bound or a thread is refused.
    pub fn start(
        settings: &NodeSettings,
        metrics: PrometheusHandle,
        inputs: InputSender,
    ) -> Result<OpenCalls, StartError> {
        let address = settings.identity.caller_address;
        let listen = |detail: String| StartError::Listen { address, detail };
        let listener = bind(address).map_err(|error| listen(error.to_string()))?;
        let server = Server::from_listener(listener, None).map_err(|error| listen(error.to_string()))?;
        let server = Arc::new(server);
        let edge = Arc::new(Self {
            inputs,
            operator_key: settings.operator_key.clone(),
            metrics,
            most_body_bytes: settings.edges.most_body_bytes,
            open_calls: OpenCalls::default(),
        });
        let open_calls = edge.open_calls.clone();
        for number in 0..settings.edges.caller_threads {
            let (server, edge) = (server.clone(), edge.clone());
            thread::Builder::new().name(format!("caller-{number}")).spawn(move || {
                while let Ok(request) = server.recv() {
                    edge.open_calls.0.fetch_add(1, Ordering::SeqCst);
                    edge.serve(request);
                    edge.open_calls.0.fetch_sub(1, Ordering::SeqCst);
                }
            })?;
        }
        info!("{CALLERS} listening at {address}.");
        Ok(open_calls)
    }

    fn serve(&self, request: Request) {
        let url = request.url().to_owned();
        let parts: Vec<&str> = url.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (Method::Post, ["v1", "pipelines", name]) => self.ask(request, Goal::Pipeline(PipelineName::new(name))),
            (Method::Post, ["v1", "services", name]) => self.ask(request, Goal::Service(ServiceName::new(name))),
            (Method::Get, ["v1", "addresses"]) => self.look(request, Question::Addresses),
            (_, ["v1", "operator", action]) => operators::serve(self, request, action),
            (Method::Get, ["health"]) => reply(request, 200, &serde_json::json!({ "healthy": true })),
            (Method::Get, ["ready"]) => self.ready(request),
            (Method::Get, ["metrics"]) => self.metrics(request),
            _ => refuse(request, &CallError::NoSuchPath),
        }
    }

    /// Answers a question about the node.
    pub fn look<T: serde::Serialize>(&self, request: Request, question: impl FnOnce(mpsc::Sender<T>) -> Question) {
        match self.answer(question) {
            Some(answer) => reply(request, 200, &answer),
            None => busy(request),
        }
    }

    fn answer<T>(&self, question: impl FnOnce(mpsc::Sender<T>) -> Question) -> Option<T> {
        let (sender, receiver) = mpsc::channel();
        self.inputs.send(NodeInput::Look(question(sender))).ok()?;
        receiver.recv_timeout(LOOK_WITHIN).ok()
    }

    fn ready(&self, request: Request) {
        let ready = self.answer(Question::Ready).unwrap_or(false);
        reply(request, if ready { 200 } else { 503 }, &serde_json::json!({ "ready": ready }));
    }

    fn metrics(&self, request: Request) {
        if self.answer(Question::Gauges).is_none() {
            return busy(request);
        }
        let _ = request.respond(Response::from_string(self.metrics.render()));
    }

    /// Body of a request, bounded.
    ///
    /// # Errors
    ///
    /// It is too large or not text.
    pub fn body(&self, request: &mut Request) -> Result<String, CallError> {
        let mut text = String::new();
        let mut bounded = request.as_reader().take(self.most_body_bytes + 1);
        bounded.read_to_string(&mut text).map_err(|error| CallError::NotJson(error.to_string()))?;
        if text.len() as u64 > self.most_body_bytes {
            return Err(CallError::TooLarge(self.most_body_bytes));
        }
        Ok(text)
    }

    fn ask(&self, mut request: Request, goal: Goal) {
        let ask = match self.read_ask(&mut request, goal) {
            Ok(ask) => ask,
            Err(error) => return refuse(request, &error),
        };
        let (key, deadline) = (ask.key.clone(), ask.deadline);
        let (sender, receiver) = mpsc::channel();
        if self.inputs.send(NodeInput::Ask(Box::new(ask), sender)).is_err() {
            return busy(request);
        }
        answer(request, &key, &receiver, deadline + ANSWER_MARGIN);
    }

    fn read_ask(&self, request: &mut Request, goal: Goal) -> Result<CallerRequest, CallError> {
        let org = required_header(request, ORGANISATION_HEADER)?;
        let id = required_header(request, REQUEST_HEADER)?;
        let deadline = required_header(request, DEADLINE_HEADER)?;
        let deadline: u64 = deadline
            .parse()
            .ok()
            .filter(|deadline| (1..=600_000).contains(deadline))
            .ok_or(CallError::BadHeader(DEADLINE_HEADER, "send 1 to 600000 milliseconds"))?;
        let priority = match header(request, PRIORITY_HEADER) {
            Some(text) => {
                let bad = CallError::BadHeader(PRIORITY_HEADER, "send `interactive`, `normal` or `batch`");
                text.parse().map_err(|_| bad)?
            }
            None => Priority::default(),
        };
        let body = self.body(request)?;
        let body: Value = serde_json::from_str(&body).map_err(|error| CallError::NotJson(error.to_string()))?;
        Ok(CallerRequest {
            call: CallId::default(),
            key: RequestKey { org: OrgName::new(org), request: RequestId::new(id) },
            goal,
            body: Arc::from(body.to_string()),
            deadline: Duration::from_millis(deadline),
            priority,
        })
    }
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    const BACKLOG: i32 = 1024;
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit these: a caller that went silent frees its thread in bounded time.
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Value of a header.
#[must_use]
pub fn header(request: &Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|header| header.field.equiv(name))?;
    let value = found.value.as_str().trim();
    (!value.is_empty()).then(|| value.to_owned())
}

fn required_header(request: &Request, name: &'static str) -> Result<String, CallError> {
    const LONGEST: usize = 200;
    let value = header(request, name).ok_or(CallError::MissingHeader(name))?;
    // A slash would make two keys of the table service look alike.
    let usable = value.len() <= LONGEST && value.chars().all(|c| c.is_ascii_graphic() && c != '/');
    if usable { Ok(value) } else { Err(CallError::BadHeader(name, "send up to 200 visible ASCII characters, no `/`")) }
}

fn answer(request: Request, key: &RequestKey, receiver: &Receiver<AnswerPart>, within: Duration) {
    match receiver.recv_timeout(within) {
        Ok(AnswerPart::Final(answer)) => reply(request, status(&answer), &final_reply(key, &answer)),
        Ok(first) => {
            // A caller that hung up shows as a write that fails; dropping the receiver tells the core.
            let _ = stream(request, key, first, receiver, within);
        }
        Err(_) => {
            let answer = FinalAnswer::refused(Outcome::Unknown, RefusalKind::Unsettled);
            reply(request, status(&answer), &final_reply(key, &answer));
        }
    }
}

fn stream(
    request: Request,
    key: &RequestKey,
    first: AnswerPart,
    receiver: &Receiver<AnswerPart>,
    within: Duration,
) -> std::io::Result<()> {
    let mut writer = request.into_writer();
    writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\ntransfer-encoding: chunked\r\n\r\n")?;
    let mut part = first;
    loop {
        match &part {
            AnswerPart::Token { index, text } => {
                write_line(&mut writer, &TokenReply { index: *index, token: text.to_string() })?;
            }
            AnswerPart::Final(answer) => {
                write_line(&mut writer, &final_reply(key, answer))?;
                writer.write_all(b"0\r\n\r\n")?;
                return writer.flush();
            }
        }
        let unsettled = || FinalAnswer::refused(Outcome::Unknown, RefusalKind::Unsettled);
        part = receiver.recv_timeout(within).unwrap_or_else(|_| AnswerPart::Final(Box::new(unsettled())));
    }
}

fn write_line(writer: &mut impl Write, line: &impl serde::Serialize) -> std::io::Result<()> {
    let json = serde_json::to_string(line)?;
    write!(writer, "{:x}\r\n{json}\n\r\n", json.len() + 1)?;
    writer.flush()
}

fn status(answer: &FinalAnswer) -> u16 {
    match answer.refusal {
        None => 200,
        Some(RefusalKind::UnknownOrg) => 403,
        Some(RefusalKind::UnknownGoal) => 404,
        Some(RefusalKind::IdReused) => 409,
        Some(RefusalKind::Harmful | RefusalKind::Rejected) => 422,
        Some(RefusalKind::Overloaded) => 429,
        Some(RefusalKind::TooLate | RefusalKind::Unsettled) => 504,
        Some(
            RefusalKind::NotReady | RefusalKind::NoTarget | RefusalKind::ClaimUnavailable | RefusalKind::AttemptsFailed,
        ) => 503,
    }
}

fn final_reply(key: &RequestKey, answer: &FinalAnswer) -> FinalReply {
    let body = match &*answer.body {
        "" => Value::Null,
        text => serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned())),
    };
    let error = answer
        .refusal
        .map(|refusal| ErrorReply { kind: <&str>::from(refusal).to_owned(), message: refusal.to_string() });
    FinalReply {
        outcome: answer.outcome.to_string(),
        organisation: key.org.to_string(),
        request: key.request.to_string(),
        answer: body,
        error,
        charges: answer.charges.iter().map(WireCharge::from).collect(),
    }
}

/// Answers with JSON.
pub fn reply(request: Request, status: u16, body: &impl serde::Serialize) {
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::from_string(text).with_status_code(status);
    if let Ok(header) = Header::from_bytes("content-type", "application/json") {
        response = response.with_header(header);
    }
    let _ = request.respond(response);
}

/// Answers with an error; nothing was run.
pub fn refuse(request: Request, error: &CallError) {
    let body = serde_json::json!({
        "outcome": "not-run",
        "error": { "kind": error.kind(), "message": error.to_string() },
    });
    reply(request, error.status(), &body);
}

fn busy(request: Request) {
    let body = serde_json::json!({
        "outcome": "not-run",
        "error": { "kind": "stopping", "message": "this node is stopping: ask another address" },
    });
    reply(request, 503, &body);
}
