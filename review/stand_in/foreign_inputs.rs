//! A server of a stage sends an extra copy of some of its answers, late: where the next answer on the connection is due. No
//! request may be given results that were made for another one.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Record, SetupResult};
use crate::http::{self, Connection, Message};
use crate::json::Json;
use crate::store::Store;

const ZONES: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
/// Number of pieces of each request, which is also that of a full call.
const PIECE_COUNT: usize = 8;
/// Time of a call, and time for each of its pieces.
const CALL_TIME: Duration = Duration::from_millis(150);
const ITEM_TIME: Duration = Duration::from_millis(16);
/// Servers of the stage, and how many of them are faulty: six in ten.
const STAGE_SERVERS: [&str; 5] = ["c-1", "c-2", "c-3", "c-4", "c-5"];
const FAULTY_COUNT: usize = 3;
/// Times after the first request, in milliseconds, between which the servers are faulty.
const FAULTY_TIMES: [(u64, u64); 3] = [(3_000, 8_000), (11_000, 16_000), (19_000, 24_000)];
/// Every n-th answer of the faulty servers in these times has an extra copy, which is less than 3 in 100.
const EXTRA_INTERVAL: usize = 35;
/// Requests arrive in groups.
const GROUP_COUNT: usize = 19;
const GROUP_SIZE: usize = 24;
const GROUP_PAUSE: Duration = Duration::from_millis(1_400);
const DEADLINE: Duration = Duration::from_secs(8);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-plan","host":"nets.example","prefix":"/plan/","kind":"streaming","timeoutMs":8000,"sloMs":2400,"priority":1,"service":"coachmodel","maxAttempts":1,"stages":[{"service":"clubs","after":[],"bytes":8000}],"public":true,"sticky":true,"resumable":false,"itlTargetMs":300}],"services":[{"name":"coachmodel","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"warmupS":0.0,"coldPerS":0.0},{"name":"clubs","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"warmupS":0.0,"coldPerS":0.0,"segments":{"slots":1,"queue":2,"batch":8,"callMs":150.0,"itemMs":16.0,"headroomMb":36.0,"handleS":4.0,"linkMbps":10000}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// What servers share in the stand-in.
#[derive(Clone)]
struct World {
    record: Record,
    /// The piece that each handle was made for, as `REQUEST/STAGE/SEGMENT`. Freed results are gone.
    results: Arc<Mutex<BTreeMap<String, String>>>,
    /// Requests that a model server ran with other results than their own.
    breaks: Arc<Mutex<Vec<String>>>,
    run_count: Arc<Mutex<usize>>,
    /// When the first request was sent; `None` before that.
    started_ms: Arc<Mutex<Option<u64>>>,
    /// Number of answers of the faulty servers while they are faulty.
    faulty_answers: Arc<Mutex<usize>>,
}

impl World {
    /// Counts an answer of a faulty server. Returns whether it has an extra copy.
    fn draw_extra(&self) -> bool {
        let started = *self.started_ms.lock().expect("no thread panics with the lock");
        let Some(since) = started.map(|started| self.record.now_ms() - started) else { return false };
        if !FAULTY_TIMES.iter().any(|(from, to)| (*from..*to).contains(&since)) {
            return false;
        }
        let mut count = self.faulty_answers.lock().expect("no thread panics with the lock");
        *count += 1;
        *count % EXTRA_INTERVAL == 0
    }
}

fn register(store: &Store, id: &str, service: &str, zone: &str, address: SocketAddr, slots: u32) {
    let entry = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","coldMs":0,"seq":1,"born":1700000000000}}"#
    );
    store.put("servers", id, &entry);
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = http::listen().expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    (listener, address)
}

/// Echoes the id of a request, if it has one, as servers do.
fn echo(request: &Message) -> Vec<(&str, &str)> {
    let id = request.header("x-wasabipier-request-id");
    if id.is_empty() { Vec::new() } else { vec![("X-Wasabipier-Request-Id", id)] }
}

fn is_for(request: &Message, id: &str) -> bool {
    ["", id].contains(&request.header("x-wasabipier-target-instance"))
}

/// A server of the stage, with one slot.
struct StageServer {
    id: &'static str,
    address: SocketAddr,
    is_faulty: bool,
    world: World,
    slot: Mutex<()>,
    handle_count: Mutex<usize>,
}

impl StageServer {
    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        // A copy of the last answer, which is sent where the next one is due.
        let mut extra: Option<Vec<u8>> = None;
        loop {
            let request = http::read_message(&mut connection.reader)?;
            if let Some(extra) = extra.take() {
                self.world.record.note(&format!("extra     {} sends an earlier answer again", self.id));
                connection.writer.write_all(&extra)?;
            }
            let call = Json::parse(&String::from_utf8_lossy(&request.body));
            let answer = match request.path() {
                _ if !is_for(&request, self.id) => {
                    let mut headers = echo(&request);
                    headers.push(("X-Wasabipier-Not-Executed", "1"));
                    http::response(421, &headers, "")
                }
                "/-/stage-run" => {
                    let answer = http::response(200, &echo(&request), &self.make(&call));
                    if self.is_faulty && self.world.draw_extra() {
                        extra = Some(answer.clone());
                    }
                    answer
                }
                "/-/stage-free" => {
                    let mut results = self.world.results.lock().expect("no thread panics with the lock");
                    for handle in call.get("handles").items() {
                        results.remove(handle.text());
                    }
                    http::response(200, &echo(&request), "{}")
                }
                _ => http::response(404, &echo(&request), ""),
            };
            connection.writer.write_all(&answer)?;
        }
    }

    fn make(&self, call: &Json) -> String {
        let _slot = self.slot.lock().expect("no thread panics with the lock");
        let items = call.get("items").items();
        thread::sleep(CALL_TIME + ITEM_TIME * items.len() as u32);
        let mut results = self.world.results.lock().expect("no thread panics with the lock");
        let mut handle_count = self.handle_count.lock().expect("no thread panics with the lock");
        let made = items.iter().map(|item| {
            *handle_count += 1;
            let handle = format!("{}/{:08x}", self.address, *handle_count);
            let piece =
                format!("{}/{}/{}", item.get("id").text(), item.get("stage").number(), item.get("segment").number());
            results.insert(handle.clone(), piece);
            format!(r#"{{"handle":"{handle}"}}"#)
        });
        let made: Vec<String> = made.collect();
        let requests: BTreeSet<&str> = items.iter().map(|item| item.get("id").text()).collect();
        self.world.record.note(&format!("made      {} pieces at {} for {requests:?}", made.len(), self.id));
        format!(r#"{{"items":[{}]}}"#, made.join(","))
    }
}

/// Serves a connection of a model server: fetches the inputs, then sends a stream of five events.
fn serve_model(id: &str, world: &World, mut connection: Connection) -> io::Result<()> {
    loop {
        let request = http::read_message(&mut connection.reader)?;
        let name = request.header("x-wasabipier-request-id").to_owned();
        let mut headers = echo(&request);
        let inputs = request.header("x-wasabipier-inputs");
        let fetched: Vec<Option<String>> = {
            let results = world.results.lock().expect("no thread panics with the lock");
            inputs.split(',').map(|handle| results.get(handle.trim()).cloned()).collect()
        };
        let refusal = match () {
            () if !is_for(&request, id) => 421,
            () if inputs.is_empty() => 400,
            () if fetched.iter().any(Option::is_none) => 409,
            () => 0,
        };
        if refusal > 0 {
            world.record.note(&format!("refused   {name} at {id} with {refusal}"));
            headers.push(("X-Wasabipier-Not-Executed", "1"));
            connection.writer.write_all(&http::response(refusal, &headers, ""))?;
            continue;
        }
        let given: BTreeSet<String> = fetched.iter().flatten().cloned().collect();
        let own: BTreeSet<String> = (0..PIECE_COUNT).map(|segment| format!("{name}/0/{segment}")).collect();
        world.record.note(&format!("run       {name} at {id} with the results of {given:?}"));
        *world.run_count.lock().expect("no thread panics with the lock") += 1;
        if given != own || fetched.len() != PIECE_COUNT {
            let line = format!("{name} runs with the results of {given:?}");
            world.record.note(&format!("broken    {line}"));
            world.breaks.lock().expect("no thread panics with the lock").push(line);
        }
        thread::sleep(Duration::from_millis(250));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Wasabipier-Request-Id: {name}\r\nX-Wasabipier-Response-Signature: {id}.{name}\r\n\r\n"
        );
        connection.writer.write_all(head.as_bytes())?;
        for event in 1..=5 {
            let event = format!("id: {event}\ndata: token\n\n");
            connection.writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(40));
        }
        connection.writer.write_all(b"0\r\n\r\n")?;
    }
}

fn send(node: SocketAddr, id: &str) -> io::Result<Message> {
    let key = format!("key{id}");
    let headers = [
        ("Host", "nets.example"),
        ("X-Wasabipier-Request-Id", id),
        ("X-Wasabipier-Timeout-Ms", "8000"),
        ("X-Wasabipier-Chunk-Count", "8"),
        ("X-Wasabipier-Chunk-Key", key.as_str()),
        ("Connection", "close"),
    ];
    let request = http::request(&format!("POST /plan/{id}"), &headers, "history");
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(1)))?;
    stream.write_all(&request)?;
    http::read_message(&mut io::BufReader::new(stream))
}

pub fn run(record: &Record, has_trouble: bool) -> SetupResult<Vec<String>> {
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let world = World {
        record: record.clone(),
        results: Arc::default(),
        breaks: Arc::default(),
        run_count: Arc::default(),
        started_ms: Arc::default(),
        faulty_answers: Arc::default(),
    };
    for (index, id) in STAGE_SERVERS.into_iter().enumerate() {
        let (listener, address) = listen();
        let server = StageServer {
            id,
            address,
            is_faulty: has_trouble && index < FAULTY_COUNT,
            world: world.clone(),
            slot: Mutex::default(),
            handle_count: Mutex::default(),
        };
        let server = Arc::new(server);
        http::serve(listener, move |connection| server.serve(connection));
        register(&store, id, "clubs", ZONES[index % ZONES.len()], address, 1);
    }
    for (id, zone) in ["m-1", "m-2", "m-3"].into_iter().zip(ZONES) {
        let (listener, address) = listen();
        let serving = world.clone();
        http::serve(listener, move |connection| serve_model(id, &serving, connection));
        register(&store, id, "coachmodel", zone, address, 64);
    }
    let deployment = Deployment::start(&store, &ZONES)?;
    let mut clients = Vec::new();
    *world.started_ms.lock().expect("no thread panics with the lock") = Some(record.now_ms());
    for group in 0..GROUP_COUNT {
        for member in 0..GROUP_SIZE {
            let (id, record) = (format!("{group:02x}{member:02x}e5b2907c"), record.clone());
            let node = deployment.nodes[member % deployment.nodes.len()].callers;
            clients.push(thread::spawn(move || {
                record.note(&format!("sent      {id} to {node}"));
                let answer =
                    send(node, &id).map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
                record.note(&format!("answered  {id} {answer}"));
            }));
        }
        thread::sleep(GROUP_PAUSE);
    }
    for client in clients {
        // A client that has panicked has sent nothing.
        let _ = client.join();
    }
    drop(deployment);
    if *world.run_count.lock().expect("no thread panics with the lock") < GROUP_COUNT {
        return Err("hardly any request was run".to_owned());
    }
    Ok(world.breaks.lock().expect("no thread panics with the lock").clone())
}
