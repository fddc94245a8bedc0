//! Servers of a service, which run one request at a time on a connection.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::node::free_address;
use crate::path::Path;
use crate::record::Record;
use crate::store::Store;

/// Requests that wait for a slot, and the time after which a brittle server lets none wait: `contactMs` of the site.
const QUEUE: usize = 24;
const QUEUE_TIME: Duration = Duration::from_secs(3);

/// Interval at which a server at work looks whether the connection of the request has closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How a server behaves.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
    /// Time for which the server is cold after a start during traffic.
    pub warmup: Duration,
    /// Requests in a second at which a cold server crashes.
    pub cold_crash: usize,
    /// Events of each answer, and the time before each; no events stand for an answer with a length.
    pub events: (u64, Duration),
    /// Part of a prompt on which the server crashes when it begins to write an answer.
    pub deadly_part: Option<&'static str>,
    /// Rejections in a second that the server withstands once it is brittle.
    pub tolerance: usize,
}

impl Default for ServerSpec {
    fn default() -> Self {
        Self {
            id: String::new(),
            service: String::new(),
            zone: String::new(),
            slots: 6,
            work: Duration::from_millis(15),
            warmup: Duration::ZERO,
            cold_crash: usize::MAX,
            events: (0, Duration::ZERO),
            deadly_part: None,
            tolerance: usize::MAX,
        }
    }
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    /// The parts of its prompt.
    pub prompt: String,
    /// Whether the server was cold.
    pub is_cold: bool,
    /// Whether the server crashed while it worked on the request.
    pub is_lost: bool,
}

struct State {
    /// Changes with each start.
    run: u64,
    is_up: bool,
    born_ms: u128,
    cold_until: Instant,
    connections: HashMap<u64, TcpStream>,
    arrivals: Vec<Arrival>,
    crashes: Vec<Instant>,
    /// Requests that run, and that wait for a slot.
    running: usize,
    waiting: usize,
    rejections: Vec<Instant>,
    /// Since when the server says that it is brittle.
    brittle_since: Option<Instant>,
}

#[derive(Clone)]
pub struct Server {
    pub spec: Arc<ServerSpec>,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Closed at once when the server crashes, before its connections end.
    listener: Arc<Mutex<Option<TcpListener>>>,
    /// Paths over which single nodes reach the server.
    paths: Arc<Mutex<Vec<Path>>>,
    next_connection: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    is_ended: Arc<AtomicBool>,
    store: Store,
    record: Record,
}

impl Server {
    /// Starts a server that registers itself about every 1.2 s.
    pub fn start(spec: ServerSpec, store: &Store, record: &Record) -> Self {
        let state = State {
            run: 0,
            is_up: false,
            born_ms: 0,
            cold_until: Instant::now(),
            connections: HashMap::new(),
            arrivals: Vec::new(),
            crashes: Vec::new(),
            running: 0,
            waiting: 0,
            rejections: Vec::new(),
            brittle_since: None,
        };
        let server = Self {
            spec: Arc::new(spec),
            address: free_address(),
            state: Arc::new(Mutex::new(state)),
            listener: Arc::default(),
            paths: Arc::default(),
            next_connection: Arc::default(),
            sequence: Arc::default(),
            is_ended: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        server.begin_run(Duration::ZERO);
        let registered = server.clone();
        thread::spawn(move || {
            while !registered.is_ended.load(Ordering::Relaxed) {
                registered.register();
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        server
    }

    /// Writes the server's entry if it is up and the store takes it.
    fn register(&self) {
        let (born, cold_ms) = {
            let state = self.state.lock().expect("no thread panics");
            if !state.is_up {
                return;
            }
            (state.born_ms, state.cold_until.saturating_duration_since(Instant::now()).as_millis())
        };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let ServerSpec { id, service, zone, slots, .. } = &*self.spec;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"coldMs\":{cold_ms},\"seq\":{sequence},\"born\":{born}}}",
            self.address
        );
        self.store.write("servers", "", id, Some(&entry));
    }

    /// Starts the server, which is cold for `cold_time`.
    fn begin_run(&self, cold_time: Duration) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        let run = {
            let mut state = self.state.lock().expect("no thread panics");
            state.run += 1;
            state.is_up = true;
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            state.born_ms = now.map_or(0, |now| now.as_millis());
            state.cold_until = Instant::now() + cold_time;
            state.run
        };
        self.sequence.store(0, Ordering::Relaxed);
        let _ = listener.set_nonblocking(true);
        *self.listener.lock().expect("no thread panics") = Some(listener);
        for path in self.paths.lock().expect("no thread panics").iter() {
            path.set_server_up(true);
        }
        let server = self.clone();
        thread::spawn(move || {
            while server.is_running(run) {
                let accepted = server.listener.lock().expect("no thread panics").as_ref().map(TcpListener::accept);
                match accepted {
                    Some(Ok((stream, _))) => {
                        let _ = stream.set_nonblocking(false);
                        let server = server.clone();
                        thread::spawn(move || server.serve(stream, run));
                    }
                    _ => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Opens a path over which one node reaches the server.
    pub fn open_path(&self) -> Path {
        let path = Path::start(self.address);
        self.paths.lock().expect("no thread panics").push(path.clone());
        path
    }

    fn is_running(&self, run: u64) -> bool {
        let state = self.state.lock().expect("no thread panics");
        state.is_up && state.run == run && !self.is_ended.load(Ordering::Relaxed)
    }

    /// Ends the process of the server: all its connections end. It starts again after `pause`, at its address and under its
    /// id, and is cold then.
    pub fn crash(&self, pause: Duration) {
        {
            let mut state = self.state.lock().expect("no thread panics");
            if !state.is_up {
                return;
            }
            state.is_up = false;
            (state.running, state.waiting) = (0, 0);
            // As at the end of a process, nobody who sees the end of a connection can open another one.
            drop(self.listener.lock().expect("no thread panics").take());
            for path in self.paths.lock().expect("no thread panics").iter() {
                path.set_server_up(false);
            }
            state.crashes.push(Instant::now());
            for (_, stream) in state.connections.drain() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.record.line(&format!("{} crashed", self.spec.id));
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(pause);
            if server.is_ended.load(Ordering::Relaxed) {
                return;
            }
            server.begin_run(server.spec.warmup);
            let state = if server.spec.warmup.is_zero() { "back" } else { "back and cold" };
            server.record.line(&format!("{} is {state}", server.spec.id));
            server.register();
        });
    }

    /// Begins a time in which the server is brittle, which lasts to the end of the run.
    pub fn set_brittle(&self) {
        self.state.lock().expect("no thread panics").brittle_since.get_or_insert(Instant::now());
    }

    /// Returns the number of requests that were rejected for want of room.
    pub fn rejection_count(&self) -> usize {
        self.state.lock().expect("no thread panics").rejections.len()
    }

    /// Takes a slot, waiting for one if the queue allows it. Returns whether the request may run.
    fn enter(&self, run: u64) -> bool {
        {
            let mut state = self.state.lock().expect("no thread panics");
            let is_strict = state.brittle_since.is_some_and(|since| since.elapsed() >= QUEUE_TIME);
            let queue = if is_strict { 0 } else { QUEUE };
            if state.running >= self.spec.slots as usize && state.waiting >= queue {
                let now = Instant::now();
                state.rejections.push(now);
                let recent = state.rejections.iter().filter(|at| now - **at < Duration::from_secs(1)).count();
                drop(state);
                if is_strict && recent > self.spec.tolerance {
                    self.crash(Duration::from_secs(3));
                }
                return false;
            }
            state.waiting += 1;
        }
        loop {
            let mut state = self.state.lock().expect("no thread panics");
            if state.run != run || !state.is_up {
                return false;
            }
            if state.running < self.spec.slots as usize {
                state.waiting -= 1;
                state.running += 1;
                return true;
            }
            drop(state);
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn leave(&self, run: u64) {
        let mut state = self.state.lock().expect("no thread panics");
        if state.run == run && state.is_up {
            state.running -= 1;
        }
    }

    pub fn end(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().expect("no thread panics").arrivals.clone()
    }

    /// Returns when the server crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state.lock().expect("no thread panics").crashes.clone()
    }

    fn serve(&self, stream: TcpStream, run: u64) {
        let key = self.next_connection.fetch_add(1, Ordering::Relaxed);
        if let Ok(copy) = stream.try_clone() {
            self.state.lock().expect("no thread panics").connections.insert(key, copy);
        }
        let mut connection = Connection::new(stream);
        while self.is_running(run) {
            let Ok(request) = connection.read_message() else { break };
            if !self.is_running(run) || self.answer(&mut connection, &request, run).is_err() {
                break;
            }
        }
        self.state.lock().expect("no thread panics").connections.remove(&key);
    }

    fn answer(&self, connection: &mut Connection, request: &Message, run: u64) -> std::io::Result<()> {
        let id = request.header("x-wasabipier-request-id").unwrap_or_default().to_owned();
        let cold_ms = {
            let state = self.state.lock().expect("no thread panics");
            state.cold_until.saturating_duration_since(Instant::now()).as_millis()
        };
        let mut common = vec![("Keep-Alive", "timeout=5".to_owned()), ("X-Wasabipier-Request-Id", id.clone())];
        if self.state.lock().expect("no thread panics").brittle_since.is_some() {
            common.push(("Server-Brittle", self.spec.tolerance.to_string()));
        }
        if request.target() == "/healthz" {
            let mut headers = common;
            headers.push(("X-Wasabipier-Instance-Id", self.spec.id.clone()));
            headers.push(("X-Wasabipier-Cold-Ms", cold_ms.to_string()));
            return connection.respond("200 OK", &headers, b"");
        }
        if request.header("x-wasabipier-target-instance").is_some_and(|target| target != self.spec.id) {
            let mut headers = common;
            headers.push(("X-Wasabipier-Instance-Id", self.spec.id.clone()));
            return connection.respond("421 Misdirected Request", &headers, b"");
        }
        let index = {
            let mut state = self.state.lock().expect("no thread panics");
            let now = Instant::now();
            let is_cold = state.cold_until > now;
            let prompt = request.header("x-wasabipier-prompt-prefix").unwrap_or_default().to_owned();
            state.arrivals.push(Arrival { at: now, id: id.clone(), prompt, is_cold, is_lost: false });
            state.arrivals.len() - 1
        };
        if cold_ms > 0 {
            let recent = self
                .arrivals()
                .iter()
                .filter(|arrival| arrival.is_cold && arrival.at.elapsed() < Duration::from_secs(1))
                .count();
            if recent >= self.spec.cold_crash {
                self.crash(Duration::from_secs(2));
            }
        }
        if !self.enter(run) {
            if !self.is_running(run) {
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            let mut headers = common;
            headers.push(("X-Wasabipier-Not-Executed", "1".to_owned()));
            return connection.respond("503 Service Unavailable", &headers, b"");
        }
        let answered = self.run(connection, request, common, &id, run, index);
        self.leave(run);
        answered
    }

    /// Works on a request and answers it. The work stops soon after the connection has closed.
    fn run(
        &self,
        connection: &mut Connection,
        request: &Message,
        common: Vec<(&str, String)>,
        id: &str,
        run: u64,
        index: usize,
    ) -> std::io::Result<()> {
        let ends_at = Instant::now() + self.spec.work;
        while Instant::now() < ends_at {
            thread::sleep(ends_at.saturating_duration_since(Instant::now()).min(CLOSE_CHECK_INTERVAL));
            if self.is_running(run) && connection.is_closed() {
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
        }
        if !self.is_running(run) {
            self.state.lock().expect("no thread panics").arrivals[index].is_lost = true;
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let prompt = request.header("x-wasabipier-prompt-prefix").unwrap_or_default();
        if self.spec.deadly_part.is_some_and(|part| prompt.contains(part)) {
            self.crash(Duration::from_secs(3));
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let mut headers = common;
        headers.push(("X-Wasabipier-Response-Signature", format!("{}.{id}", self.spec.id)));
        if self.spec.events.0 > 0 {
            let sent = self.send_events(connection, request, &headers, run);
            self.state.lock().expect("no thread panics").arrivals[index].is_lost = sent.is_err();
            return sent;
        }
        connection.respond("200 OK", &headers, format!("done {id}").as_bytes())
    }

    /// Answers with a stream of events, from the one that follows `Last-Event-Id` on.
    fn send_events(
        &self,
        connection: &mut Connection,
        request: &Message,
        headers: &[(&str, String)],
        run: u64,
    ) -> std::io::Result<()> {
        let mut head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        connection.write(format!("{head}\r\n").as_bytes())?;
        let last = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0_u64);
        let (count, interval) = self.spec.events;
        for number in last + 1..=count {
            thread::sleep(interval);
            if !self.is_running(run) {
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            let event = format!("id: {number}\ndata: word\n\n");
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")
    }
}
