//! The callers' edge: an HTTP server on `tiny_http` for callers, operators and health checks. Answers with tokens are
//! streamed line by line.

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
    DEADLINE_HEADER, ErrorReply, FinalReply, ORGANISATION_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER, TokenReply,
};

use crate::log_prefix::CALLERS;
use crate::node_input::{InputSender, NodeInput, NodeQuery};
use crate::operators;
use crate::run::StartError;
use crate::settings::{NodeSettings, SecretKey};

/// Time within which the decision thread must answer a query about the node.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Margin added to a request's deadline. The thread that serves the request waits for each part of the answer as long
/// as both together.
const ANSWER_WAIT_MARGIN: Duration = Duration::from_secs(2);
/// Idle time after which the kernel probes a caller's connection, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which sent bytes may stay unacknowledged before the kernel closes a caller's connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);

/// Errors for which an incoming request is refused before the core sees it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// A required header is missing or empty.
    #[error("header `{0}` is missing: send it with each request")]
    MissingHeader(&'static str),
    /// The value of a header is not valid. Holds the header's name and what to send instead.
    #[error("header `{0}` is not valid: {1}")]
    BadHeader(&'static str, &'static str),
    /// The body is larger than this limit in bytes.
    #[error("the body has more than {0} bytes: send less")]
    TooLarge(u64),
    /// The body is not JSON or could not be read. Holds the error of the parser or the read.
    #[error("the body is not JSON ({0}): send one JSON value")]
    NotJson(String),
    /// The method and path name nothing that the node serves.
    #[error("no such path: use POST /v1/pipelines/NAME, POST /v1/services/NAME or GET /v1/addresses")]
    NoSuchPath,
    /// The operators' key is missing or wrong.
    #[error("the operators' key is missing or wrong: send `Authorization: Bearer KEY`")]
    NoKey,
}

impl RequestError {
    /// Returns the name of the error in the answer's body.
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

    /// Returns the HTTP status of the answer.
    fn status(&self) -> u16 {
        match self {
            Self::TooLarge(_) => 413,
            Self::NoSuchPath => 404,
            Self::NoKey => 401,
            _ => 400,
        }
    }
}

/// State shared by the threads that serve callers and operators.
pub struct CallerEdge {
    /// Channel into the decision thread.
    pub inputs: InputSender,
    /// Key that operators must send.
    pub operator_key: SecretKey,
    metrics: PrometheusHandle,
    max_body_bytes: u64,
    open_requests: OpenRequests,
}

/// Number of requests whose answers are not yet written.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests(Arc<AtomicUsize>);

impl OpenRequests {
    /// Time that a stopping node waits for its last answers to be written.
    const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
    /// Interval at which the number of open requests is checked.
    const POLL_INTERVAL: Duration = Duration::from_millis(5);

    /// Waits until all answers are written or the timeout has passed. The decision thread can end a request before the
    /// caller's thread has written the answer.
    pub fn wait_until_written(&self) {
        let started = Instant::now();
        while self.0.load(Ordering::SeqCst) > 0 && started.elapsed() < Self::WRITE_TIMEOUT {
            thread::sleep(Self::POLL_INTERVAL);
        }
    }
}

impl CallerEdge {
    /// Listens for callers and starts the threads that serve them. Returns the count of open requests. A stopping
    /// node waits until it is 0.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the operating system refuses a thread.
    pub fn start(
        settings: &NodeSettings,
        metrics: PrometheusHandle,
        inputs: InputSender,
    ) -> Result<OpenRequests, StartError> {
        let address = settings.identity.caller_address;
        let listen_error = |detail: String| StartError::Listen { address, detail };
        let listener = bind_listener(address).map_err(|error| listen_error(error.to_string()))?;
        let server = Server::from_listener(listener, None).map_err(|error| listen_error(error.to_string()))?;
        let server = Arc::new(server);
        let edge = Arc::new(Self {
            inputs,
            operator_key: settings.operator_key.clone(),
            metrics,
            max_body_bytes: settings.edges.max_body_bytes,
            open_requests: OpenRequests::default(),
        });
        let open_requests = edge.open_requests.clone();
        for number in 0..settings.edges.caller_threads {
            let (server, edge) = (server.clone(), edge.clone());
            thread::Builder::new().name(format!("caller-{number}")).spawn(move || {
                while let Ok(request) = server.recv() {
                    edge.open_requests.0.fetch_add(1, Ordering::SeqCst);
                    edge.route_request(request);
                    edge.open_requests.0.fetch_sub(1, Ordering::SeqCst);
                }
            })?;
        }
        info!("{CALLERS} listening at {address}.");
        Ok(open_requests)
    }

    /// Handles a request by its method and path.
    fn route_request(&self, request: Request) {
        let url = request.url().to_owned();
        let segments: Vec<&str> = url.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (Method::Post, ["v1", "pipelines", name]) => self.serve(request, Goal::Pipeline(PipelineName::new(name))),
            (Method::Post, ["v1", "services", name]) => self.serve(request, Goal::Service(ServiceName::new(name))),
            (Method::Get, ["v1", "addresses"]) => self.handle_query(request, NodeQuery::Addresses),
            (_, ["v1", "operator", action]) => operators::handle_request(self, request, action),
            (Method::Get, ["health"]) => reply(request, 200, &serde_json::json!({ "healthy": true })),
            (Method::Get, ["ready"]) => self.handle_ready(request),
            (Method::Get, ["metrics"]) => self.handle_metrics(request),
            _ => refuse(request, &RequestError::NoSuchPath),
        }
    }

    /// Answers a request with the result of a query about the node.
    pub fn handle_query<T: serde::Serialize>(
        &self,
        request: Request,
        build_query: impl FnOnce(mpsc::Sender<T>) -> NodeQuery,
    ) {
        match self.query(build_query) {
            Some(answer) => reply(request, 200, &answer),
            None => refuse_unavailable(request),
        }
    }

    /// Sends a query to the decision thread and returns its answer. Returns `None` if the thread has stopped or does
    /// not answer within [`QUERY_TIMEOUT`].
    fn query<T>(&self, build_query: impl FnOnce(mpsc::Sender<T>) -> NodeQuery) -> Option<T> {
        let (sender, receiver) = mpsc::channel();
        self.inputs.send(NodeInput::Query(build_query(sender))).ok()?;
        receiver.recv_timeout(QUERY_TIMEOUT).ok()
    }

    /// Answers with status 200 if the node takes new requests, with 503 otherwise.
    fn handle_ready(&self, request: Request) {
        let ready = self.query(NodeQuery::Ready).unwrap_or(false);
        reply(request, if ready { 200 } else { 503 }, &serde_json::json!({ "ready": ready }));
    }

    fn handle_metrics(&self, request: Request) {
        if self.query(NodeQuery::Gauges).is_none() {
            return refuse_unavailable(request);
        }
        let _ = request.respond(Response::from_string(self.metrics.render()));
    }

    /// Reads the body of a request, up to the limit of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger than the limit, is not UTF-8 or cannot be read to its end.
    pub fn read_body(&self, request: &mut Request) -> Result<String, RequestError> {
        let mut text = String::new();
        let mut bounded = request.as_reader().take(self.max_body_bytes + 1);
        bounded.read_to_string(&mut text).map_err(|error| RequestError::NotJson(error.to_string()))?;
        if text.len() as u64 > self.max_body_bytes {
            return Err(RequestError::TooLarge(self.max_body_bytes));
        }
        Ok(text)
    }

    /// Passes a caller's request to the core and writes the answer.
    fn serve(&self, mut request: Request, goal: Goal) {
        let caller_request = match self.read_caller_request(&mut request, goal) {
            Ok(caller_request) => caller_request,
            Err(error) => return refuse(request, &error),
        };
        let (key, deadline) = (caller_request.key.clone(), caller_request.timeout);
        let (sender, receiver) = mpsc::channel();
        if self.inputs.send(NodeInput::Request(Box::new(caller_request), sender)).is_err() {
            return refuse_unavailable(request);
        }
        send_answer(request, &key, &receiver, deadline + ANSWER_WAIT_MARGIN);
    }

    /// Reads and checks the headers and body of a caller's request. The decision thread sets its call id.
    fn read_caller_request(&self, request: &mut Request, goal: Goal) -> Result<CallerRequest, RequestError> {
        let org = required_header(request, ORGANISATION_HEADER)?;
        let id = required_header(request, REQUEST_ID_HEADER)?;
        let deadline_text = required_header(request, DEADLINE_HEADER)?;
        let deadline_ms: u64 = deadline_text
            .parse()
            .ok()
            .filter(|deadline_ms| (1..=600_000).contains(deadline_ms))
            .ok_or(RequestError::BadHeader(DEADLINE_HEADER, "send 1 to 600000 milliseconds"))?;
        let priority = match header_value(request, PRIORITY_HEADER) {
            Some(text) => {
                let invalid = RequestError::BadHeader(PRIORITY_HEADER, "send `interactive`, `normal` or `batch`");
                text.parse().map_err(|_| invalid)?
            }
            None => Priority::default(),
        };
        let body = self.read_body(request)?;
        let body: Value = serde_json::from_str(&body).map_err(|error| RequestError::NotJson(error.to_string()))?;
        Ok(CallerRequest {
            call: CallId::default(),
            key: RequestKey { org: OrgName::new(org), request: RequestId::new(id) },
            goal,
            body: Arc::from(body.to_string()),
            timeout: Duration::from_millis(deadline_ms),
            priority,
        })
    }
}

/// Binds the listener for callers with the kernel's timeouts for silent connections.
fn bind_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    const BACKLOG: i32 = 1024;
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit these options, so that a silent caller frees its thread in bounded time.
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Returns the trimmed value of a header, or `None` if the header is missing or empty.
#[must_use]
pub fn header_value(request: &Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|header| header.field.equiv(name))?;
    let value = found.value.as_str().trim();
    (!value.is_empty()).then(|| value.to_owned())
}

/// Returns the trimmed value of a header, and checks that the value can be part of a key in the table service.
fn required_header(request: &Request, name: &'static str) -> Result<String, RequestError> {
    const MAX_LENGTH: usize = 200;
    let value = header_value(request, name).ok_or(RequestError::MissingHeader(name))?;
    // Slashes separate the parts of keys in the table service; a slash in a value could make two keys equal.
    let is_valid = value.len() <= MAX_LENGTH && value.chars().all(|c| c.is_ascii_graphic() && c != '/');
    if is_valid {
        Ok(value)
    } else {
        Err(RequestError::BadHeader(name, "send up to 200 visible ASCII characters, no `/`"))
    }
}

/// Writes the answer of the core, as one JSON value or as a stream of lines. Waits up to `part_timeout` for each part
/// of the answer. If a part does not come in time, the answer says that the outcome is unknown.
fn send_answer(request: Request, key: &RequestKey, receiver: &Receiver<AnswerPart>, part_timeout: Duration) {
    match receiver.recv_timeout(part_timeout) {
        Ok(AnswerPart::Final(answer)) => reply(request, status_code(&answer), &build_final_reply(key, &answer)),
        Ok(first) => {
            // A write fails if the caller hung up. The core learns of it when the receiver is dropped.
            let _ = stream_answer(request, key, first, receiver, part_timeout);
        }
        Err(_) => {
            let answer = FinalAnswer::refused(Outcome::Unknown, RefusalKind::Unsettled);
            reply(request, status_code(&answer), &build_final_reply(key, &answer));
        }
    }
}

/// Writes a streamed answer, which begins with `first`. Returns an error if the caller hung up.
fn stream_answer(
    request: Request,
    key: &RequestKey,
    first: AnswerPart,
    receiver: &Receiver<AnswerPart>,
    part_timeout: Duration,
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
                write_line(&mut writer, &build_final_reply(key, answer))?;
                writer.write_all(b"0\r\n\r\n")?;
                return writer.flush();
            }
        }
        let unsettled = || FinalAnswer::refused(Outcome::Unknown, RefusalKind::Unsettled);
        part = receiver.recv_timeout(part_timeout).unwrap_or_else(|_| AnswerPart::Final(Box::new(unsettled())));
    }
}

/// Writes one JSON line as one chunk of a chunked response.
fn write_line(writer: &mut impl Write, line: &impl serde::Serialize) -> std::io::Result<()> {
    let json = serde_json::to_string(line)?;
    write!(writer, "{:x}\r\n{json}\n\r\n", json.len() + 1)?;
    writer.flush()
}

/// Returns the HTTP status of an answer: 200, or that of the refusal.
fn status_code(answer: &FinalAnswer) -> u16 {
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

/// Converts an answer to its form on the wire.
fn build_final_reply(key: &RequestKey, answer: &FinalAnswer) -> FinalReply {
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

/// Answers a request with a status and a JSON body.
pub fn reply(request: Request, status: u16, body: &impl serde::Serialize) {
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::from_string(text).with_status_code(status);
    if let Ok(header) = Header::from_bytes("content-type", "application/json") {
        response = response.with_header(header);
    }
    let _ = request.respond(response);
}

/// Answers a request with an error and its status. The body says that nothing was run.
pub fn refuse(request: Request, error: &RequestError) {
    let body = serde_json::json!({
        "outcome": "not-run",
        "error": { "kind": error.kind(), "message": error.to_string() },
    });
    reply(request, error.status(), &body);
}

/// Answers a request with status 503, because the decision thread has stopped or did not answer in time.
fn refuse_unavailable(request: Request) {
    let body = serde_json::json!({
        "outcome": "not-run",
        "error": { "kind": "stopping", "message": "this node is stopping: ask another address" },
    });
    reply(request, 503, &body);
}
