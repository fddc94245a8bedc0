//! Stand-ins of the platform for the scripts of the third review: the store, a plain server, callers and node processes.
//! It needs the standard library only.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit code of a script whose case could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Writes what happens to the record, with the time since the start in seconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(fs::File::create(path)?)), started: Instant::now() })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Head of an HTTP message: its first line and its headers, with names in lower case.
pub struct Head {
    pub line: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    /// Reads a head. Returns `None` if the connection has ended.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut headers = BTreeMap::new();
        loop {
            let mut field = String::new();
            if reader.read_line(&mut field).ok()? == 0 {
                return None;
            }
            let field = field.trim_end();
            if field.is_empty() {
                return Some(Self { line: line.trim_end().to_owned(), headers });
            }
            if let Some((name, value)) = field.split_once(':') {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }

    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Reads the body of a message whose length is stated.
    pub fn read_body(&self, reader: &mut impl Read) -> io::Result<Vec<u8>> {
        let mut body = vec![0; self.get("content-length").parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
        Ok(body)
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let number = u32::from(padded[0]) << 16 | u32::from(padded[1]) << 8 | u32::from(padded[2]);
        for place in 0..4 {
            let is_padding = place > chunk.len();
            let digit = BASE64[(number >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if is_padding { '=' } else { digit });
        }
    }
    text
}

/// A row of the store: its value in base64, or `None` if it was removed, and the version of its last change.
#[derive(Clone)]
struct Row {
    value: Option<String>,
    version: u64,
}

/// State of the store, of which a copy can be kept.
#[derive(Clone, Default)]
pub struct StoreState {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

#[derive(Default)]
struct StoreInner {
    state: StoreState,
    era: u64,
    is_away: bool,
    /// What the operator and the servers want to have written, by table and key.
    wanted: BTreeMap<(String, String), Option<String>>,
}

/// The platform's store: tables, a feed of changes and transactions.
#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<Mutex<StoreInner>>,
}

impl Store {
    /// Starts the store at a free loopback port, and returns its address.
    pub fn start(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(address)
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, json: &str) {
        let value = encode_base64(json.as_bytes());
        let mut inner = self.inner.lock().unwrap();
        inner.wanted.insert((table.to_owned(), key.to_owned()), Some(value.clone()));
        inner.set(table, key, Some(value));
    }

    /// Removes a row as the platform does.
    pub fn remove(&self, table: &str, key: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.wanted.insert((table.to_owned(), key.to_owned()), None);
        inner.set(table, key, None);
    }

    /// Returns a copy of the store.
    pub fn copy(&self) -> StoreState {
        self.inner.lock().unwrap().state.clone()
    }

    /// Lets the store refuse all calls as not done.
    pub fn leave(&self) {
        self.inner.lock().unwrap().is_away = true;
    }

    /// Lets the store come back from a copy. Its era rises by one.
    pub fn return_from(&self, copy: StoreState) {
        let mut inner = self.inner.lock().unwrap();
        inner.state = copy;
        inner.era += 1;
        inner.is_away = false;
    }

    /// Writes again what the operator and the servers had written and the store has lost.
    pub fn write_lost_rows(&self) {
        let mut inner = self.inner.lock().unwrap();
        for ((table, key), value) in inner.wanted.clone() {
            let stored = inner.state.rows.get(&(table.clone(), key.clone())).and_then(|row| row.value.clone());
            if stored != value {
                inner.set(&table, &key, value);
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader) {
            let Ok(body) = head.read_body(&mut reader) else { return };
            let (status, era, answer) = self.answer(&head.line, &String::from_utf8_lossy(&body));
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, line: &str, body: &str) -> (u16, u64, String) {
        let target = line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let table = query.get("table").copied().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or_default();
        let deadline = Instant::now() + Duration::from_millis(number("waitMs"));
        loop {
            let mut inner = self.inner.lock().unwrap();
            if inner.is_away {
                return (503, inner.era, "null".to_owned());
            }
            match path {
                "/-/rows-get" => return (200, inner.era, inner.rows_after(table, None)),
                "/-/rows-feed" if number("after") > inner.state.version => return (410, inner.era, "null".to_owned()),
                "/-/rows-feed" => {
                    let after = number("after");
                    if inner.has_changed(table, after) || Instant::now() >= deadline {
                        return (200, inner.era, inner.rows_after(table, Some(after)));
                    }
                }
                "/-/rows-tx" => {
                    // The nodes of these scripts write one row without a condition: their own address.
                    let text = |name: &str| json_text(body, name);
                    let (table, key, value) = (text("table"), text("key"), text("value"));
                    inner.set(&table, &key, Some(value));
                    return (200, inner.era, format!("{{\"ver\":{},\"nowMs\":1}}", inner.state.version));
                }
                _ => return (404, inner.era, "null".to_owned()),
            }
            drop(inner);
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Returns the first text with this name in a JSON object without escapes.
fn json_text(json: &str, name: &str) -> String {
    let mark = format!("\"{name}\":\"");
    let Some(at) = json.find(&mark) else { return String::new() };
    json[at + mark.len()..].split('"').next().unwrap_or_default().to_owned()
}

impl StoreInner {
    fn set(&mut self, table: &str, key: &str, value: Option<String>) {
        self.state.version += 1;
        let row = Row { value, version: self.state.version };
        self.state.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn has_changed(&self, table: &str, after: u64) -> bool {
        self.state.rows.iter().any(|((other, _), row)| other == table && row.version > after)
    }

    /// Returns the rows of a table, or those that have changed after a version.
    fn rows_after(&self, table: &str, after: Option<u64>) -> String {
        let is_shown = |row: &Row| after.map_or(row.value.is_some(), |after| row.version > after);
        let mut rows: Vec<_> =
            self.state.rows.iter().filter(|((other, _), row)| other == table && is_shown(row)).collect();
        if after.is_some() {
            rows.sort_by_key(|(_, row)| row.version);
        }
        let rows: Vec<String> = rows
            .into_iter()
            .map(|((table, key), row)| {
                let value = row.value.as_ref().map_or("null".to_owned(), |value| format!("\"{value}\""));
                let (version, deleted) = (row.version, row.value.is_none());
                format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":{value},\"ver\":{version},\"deleted\":{deleted}}}")
            })
            .collect();
        format!("{{\"rows\":[{}],\"hasMore\":false,\"ver\":{},\"nowMs\":1}}", rows.join(","), self.state.version)
    }
}

/// A request that a server has run.
#[derive(Clone)]
pub struct Run {
    pub at: Duration,
    pub id: String,
}

/// A server that runs each request at once.
#[derive(Clone)]
pub struct Server {
    pub id: &'static str,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Server {
    pub fn start(id: &'static str, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self { id, address: listener.local_addr()?, runs: Arc::default() };
        let (serving, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (serving.clone(), record.clone());
                thread::spawn(move || server.serve(stream, &record));
            }
        });
        Ok(server)
    }

    /// Returns the entry with which the server registers.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldMs\":0,\"seq\":1,\"born\":1700000000000}}",
            self.address
        )
    }

    fn serve(&self, stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader) {
            if head.read_body(&mut reader).is_err() {
                return;
            }
            let id = head.get("x-wasabipier-request-id").to_owned();
            let (status, extra) = if head.get("x-wasabipier-target-instance") == self.id {
                let tenant = head.get("x-wasabipier-tenant");
                record.note(&format!("run {id} at {} for tenant {tenant}", self.id));
                self.runs.lock().unwrap().push(Run { at: record.now(), id: id.clone() });
                ("200 OK", "X-Wasabipier-Response-Signature: s1\r\n")
            } else {
                ("421 Misdirected Request", "")
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Wasabipier-Request-Id: {id}\r\n{extra}Keep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\ndone"
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Time after a crash until the entry of a server is removed: three intervals of its heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
/// Time after a crash until a server is back, as another incarnation with another id.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Pause before each event of a stream, and the number of events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);
const EVENT_COUNT: u32 = 10;

/// An arrival of a deadly request at an engine.
#[derive(Clone)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub engine: String,
}

/// Model servers that crash as they begin to answer a prompt with a deadly part.
#[derive(Clone)]
pub struct EngineFleet {
    store: Store,
    record: Record,
    deadly_part: &'static str,
    count: Arc<AtomicU64>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub crashes: Arc<Mutex<Vec<Duration>>>,
}

/// One incarnation of a model server.
#[derive(Clone)]
struct Engine {
    id: String,
    zone: &'static str,
    is_alive: Arc<AtomicBool>,
    /// The listener, which a crash closes together with the connections.
    listener: Arc<Mutex<Option<TcpListener>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl EngineFleet {
    pub fn new(store: &Store, record: &Record, deadly_part: &'static str) -> Self {
        let (store, record) = (store.clone(), record.clone());
        Self { store, record, deadly_part, count: Arc::default(), arrivals: Arc::default(), crashes: Arc::default() }
    }

    /// Starts an engine at a free loopback port and registers it.
    pub fn start_engine(&self, zone: &'static str) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let id = format!("e-{number}");
        let address = listener.local_addr()?;
        let (is_alive, listener) = (Arc::new(AtomicBool::new(true)), Arc::new(Mutex::new(Some(listener))));
        let engine = Engine { id: id.clone(), zone, is_alive, listener, streams: Arc::default() };
        let entry = format!(
            "{{\"service\":\"model\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldMs\":0,\"seq\":1,\"born\":{}}}",
            1_700_000_000_000 + number
        );
        self.store.put("servers", &id, &entry);
        let fleet = self.clone();
        thread::spawn(move || {
            loop {
                let accepted = engine.listener.lock().unwrap().as_ref().map(TcpListener::accept);
                let stream = match accepted {
                    None => return,
                    Some(Ok((stream, _))) => stream,
                    Some(Err(_)) => {
                        thread::sleep(Duration::from_millis(2));
                        continue;
                    }
                };
                let (fleet, engine) = (fleet.clone(), engine.clone());
                thread::spawn(move || fleet.serve(&engine, stream));
            }
        });
        Ok(())
    }

    fn serve(&self, engine: &Engine, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        engine.streams.lock().unwrap().push(kept);
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader) {
            if head.read_body(&mut reader).is_err() || !engine.is_alive.load(Ordering::Relaxed) {
                return;
            }
            let id = head.get("x-wasabipier-request-id").to_owned();
            if head.get("x-wasabipier-target-instance") != engine.id {
                let answer = format!("HTTP/1.1 421 Misdirected Request\r\nX-Wasabipier-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let is_deadly = head.get("x-wasabipier-prompt-prefix").contains(self.deadly_part);
            let kind = if is_deadly { "deadly" } else { "sound" };
            self.record.note(&format!("{kind} request {id} reaches {} and runs", engine.id));
            if is_deadly {
                let arrival = Arrival { at: self.record.now(), id: id.clone(), engine: engine.id.clone() };
                self.arrivals.lock().unwrap().push(arrival);
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Wasabipier-Request-Id: {id}\r\nX-Wasabipier-Response-Signature: s1\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            for number in 1..=EVENT_COUNT {
                thread::sleep(EVENT_PAUSE);
                if is_deadly {
                    return self.crash(engine);
                }
                let event = format!("id: {number}\ndata: text\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if writer.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
            }
            if writer.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }

    /// Ends an engine with all its connections. It is back some seconds later.
    fn crash(&self, engine: &Engine) {
        if !engine.is_alive.swap(false, Ordering::Relaxed) {
            return;
        }
        drop(engine.listener.lock().unwrap().take());
        self.crashes.lock().unwrap().push(self.record.now());
        self.record.note(&format!("{} crashes", engine.id));
        for stream in engine.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let (fleet, engine) = (self.clone(), engine.clone());
        thread::spawn(move || {
            thread::sleep(ENTRY_LIFETIME);
            fleet.store.remove("servers", &engine.id);
            thread::sleep(DOWN_TIME - ENTRY_LIFETIME);
            let _ = fleet.start_engine(engine.zone);
        });
    }
}

/// Sends a request on a connection of its own. Returns the status of the answer, or 0 if there is none.
pub fn send_request(address: SocketAddr, head: &str, body: &str, limit: Duration) -> u16 {
    let exchange = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(limit))?;
        let text = format!("{head}Connection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let head = Head::read(&mut reader).ok_or(io::ErrorKind::UnexpectedEof)?;
        head.read_body(&mut reader)?;
        // The end of the connection ends an answer in chunks.
        io::copy(&mut reader, &mut io::sink())?;
        Ok(head.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
    };
    exchange().unwrap_or(0)
}

static REQUEST_COUNT: AtomicU64 = AtomicU64::new(0);

/// Returns a new id for a request.
pub fn new_request_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), REQUEST_COUNT.fetch_add(1, Ordering::Relaxed))
}

/// A node as a process of its own, with the settings that the platform renders from the template of the deploy file.
pub struct Node {
    program: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
    pub name: String,
    pub caller_address: SocketAddr,
    ready_address: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Maximum number of nodes of one script.
const MAX_NODES: u32 = 16;

impl Node {
    /// Writes the settings of `count` nodes into `folder`. The first three are the seeds.
    pub fn prepare(count: usize, program: &Path, template: &Path, folder: &Path, store: SocketAddr) -> io::Result<Vec<Self>> {
        let template = fs::read_to_string(template)?;
        // The section of duties is rendered only where the settings have an interface for them.
        let template = match (template.find("{{#cloud.address}}"), template.find("{{/cloud.address}}")) {
            (Some(from), Some(_)) => template[..from].to_owned(),
            _ => template,
        };
        // Each node has a loopback address of its own, whose ports no outgoing connection takes while the node is down.
        let first = std::process::id() * MAX_NODES;
        let addresses: Vec<[SocketAddr; 5]> = (0..count as u32)
            .map(|number| {
                let [_, second, third, fourth] = ((first + number) % (200 << 16)).to_be_bytes();
                let ip = std::net::Ipv4Addr::new(127, 20 + second, third, fourth);
                [7001, 7002, 7004, 7003, 7005].map(|port| SocketAddr::from((ip, port)))
            })
            .collect();
        let seeds: Vec<String> = addresses.iter().take(3).map(|own| own[3].to_string()).collect();
        let zones = ["khomas-a", "khomas-b", "khomas-c"];
        let mut nodes = Vec::new();
        for (number, own) in addresses.iter().enumerate() {
            let name = format!("edge-{}-{}", zones[number % 3], number / 3 + 1);
            let fields = [
                ("node", name.clone()),
                ("zone", zones[number % 3].to_owned()),
                ("listen.front", own[0].to_string()),
                ("listen.ready", own[1].to_string()),
                ("listen.directory", own[2].to_string()),
                ("listen.control", own[3].to_string()),
                ("bindIp", own[0].ip().to_string()),
                ("portRange.0", own[4].port().to_string()),
                ("provider.address", store.to_string()),
                ("seedAddrs", seeds.join(",")),
                ("bounds.revokeMs", "5000".to_owned()),
                ("bounds.contactMs", "3000".to_owned()),
                ("bounds.configMs", "2000".to_owned()),
                ("bounds.budgetRatio", "0.2".to_owned()),
                ("bounds.budgetSlack", "54".to_owned()),
                ("bounds.budgetWindowS", "10".to_owned()),
                ("bounds.graceS", "8".to_owned()),
                ("bounds.ttl_max_s", "5".to_owned()),
                ("bounds.drainMs", "2000".to_owned()),
                ("bounds.exposeShare", "0.1".to_owned()),
                ("bounds.exposeSlack", "50".to_owned()),
                ("limits.cpuShare", "0.25".to_owned()),
                ("limits.linkMbps", "1000.0".to_owned()),
            ];
            let text = fields.iter().fold(template.clone(), |text, (field, value)| {
                text.replace(&format!("{{{{{field}}}}}"), value)
            });
            if text.contains("{{") {
                return Err(io::Error::other("the template has a field that this script does not know"));
            }
            let settings = folder.join(format!("{name}.ini"));
            fs::write(&settings, text)?;
            let (program, child) = (program.to_owned(), None);
            nodes.push(Self { program, settings, child, name, caller_address: own[0], ready_address: own[1] });
        }
        Ok(nodes)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&self.settings).stdin(Stdio::null()).stdout(Stdio::null());
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the node says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        send_request(self.ready_address, "GET /-/readyz HTTP/1.1\r\nHost: n\r\n", "", Duration::from_secs(1)) == 200
    }
}
