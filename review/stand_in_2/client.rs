//! Clients, which send one request at a time on a connection.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};

static LAST_ID: AtomicU64 = AtomicU64::new(0x9c41_0000);

/// Returns an id that no other request has.
pub fn new_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed))
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub timeout: Duration,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn new(method: &'static str, path: &str) -> Self {
        let (host, timeout) = ("club.example", Duration::from_millis(1_500));
        Self { method, host, path: path.to_owned(), timeout, headers: Vec::new(), body: Vec::new() }
    }
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// The answer, or `None` if the connection ended before it was complete.
    pub answer: Option<Message>,
}

impl Outcome {
    /// Returns the status of the answer, or 0 if there is none.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }
}

/// A client with its connection, which it keeps.
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    pub fn has_connection(&self) -> bool {
        self.connection.is_some()
    }

    /// Sends a request on a new connection, and closes it if no answer has begun after `patience`. Returns the head of an answer
    /// that came before.
    pub fn send_and_leave(&self, call: &Call, patience: Duration) -> Option<Message> {
        let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok()?;
        let mut connection = Connection::new(stream);
        connection.write(&encode(call, &new_id())).ok()?;
        connection.stream.set_read_timeout(Some(patience)).ok()?;
        connection.read_head().ok()
    }

    /// Sends a request on the kept connection, or on a new one.
    pub fn send(&mut self, call: &Call) -> Outcome {
        let (id, sent_at) = (new_id(), Instant::now());
        let answer = self.exchange(call, &id);
        Outcome { id, sent_at, ended_at: Instant::now(), answer }
    }

    fn exchange(&mut self, call: &Call, id: &str) -> Option<Message> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::new(TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok()?),
        };
        connection.stream.set_read_timeout(Some(call.timeout + Duration::from_millis(500))).ok()?;
        connection.write(&encode(call, id)).ok()?;
        let answer = connection.read_message().ok()?;
        let is_closed = answer.header("connection").is_some_and(|option| option.eq_ignore_ascii_case("close"));
        if !is_closed {
            self.connection = Some(connection);
        }
        Some(answer)
    }
}

fn encode(call: &Call, id: &str) -> Vec<u8> {
    let Call { method, host, path, timeout, headers, body } = call;
    let timeout = timeout.as_millis();
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Wasabipier-Request-Id: {id}\r\nX-Wasabipier-Timeout-Ms: {timeout}\r\n"
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
