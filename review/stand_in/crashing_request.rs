//! One request crashes each server that begins to run it, right after its first token, and comes again. Later than 3 s after
//! it has crashed the third server, it must not reach servers in more than three retries.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::deployment::{Deployment, Record, SetupResult};
use crate::http::{self, Connection, Message};
use crate::store::Store;

const ZONES: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
const SERVERS: [&str; 9] = ["m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8", "m-9"];
const CONTACT_MS: u64 = 3_000;
/// Maximum number of retries in which the request may reach servers after that.
const MAX_RETRIES: usize = 3;
/// Time for which a crashed server is down.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Time from the first token to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Interval at which sound requests are sent, and their number for each request that crashes servers.
const INTERVAL: Duration = Duration::from_millis(100);
const SOUND_COUNT: usize = 30;
const POISON_COUNT: usize = 14;
const POISON_PATH: &str = "/plan/poison";
const EVENT_COUNT: u64 = 8;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-plan","host":"nets.example","prefix":"/plan/","kind":"streaming","timeoutMs":12000,"sloMs":1300,"priority":0,"service":"coachmodel","maxAttempts":2,"public":true,"sticky":true,"resumable":true,"itlTargetMs":300}],"services":[{"name":"coachmodel","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"warmupS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// What servers saw of the request that crashes them.
#[derive(Default)]
struct Sightings {
    /// Ids of the client attempts, with the time of each arrival at a server.
    arrivals: Vec<(String, u64)>,
    crashes: Vec<u64>,
}

/// A model server that can crash and start again at its address.
struct ModelServer {
    id: &'static str,
    zone: &'static str,
    address: SocketAddr,
    store: Store,
    record: Record,
    is_poisoned: bool,
    sightings: Arc<Mutex<Sightings>>,
    is_down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl ModelServer {
    fn register(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let entry = format!(
            r#"{{"service":"coachmodel","address":"{}","zone":"{}","version":"v1","slots":64,"state":"ready","coldMs":0,"seq":1,"born":{born}}}"#,
            self.address, self.zone
        );
        self.store.put("servers", self.id, &entry);
    }

    /// Accepts connections. After a crash the address refuses them for `DOWN_TIME`.
    fn run(self: Arc<Self>, mut listener: TcpListener) -> io::Result<()> {
        loop {
            listener.set_nonblocking(true)?;
            while !self.is_down.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false)?;
                self.connections.lock().expect("no thread panics with the lock").push(stream.try_clone()?);
                let server = self.clone();
                thread::spawn(move || Connection::new(stream).and_then(|connection| server.serve(connection)));
            }
            drop(listener);
            for stream in self.connections.lock().expect("no thread panics with the lock").drain(..) {
                // The other side may have closed it.
                let _ = stream.shutdown(Shutdown::Both);
            }
            self.record.note(&format!("crashed   {}", self.id));
            thread::sleep(DOWN_TIME);
            listener = TcpListener::bind(self.address)?;
            self.is_down.store(false, Ordering::SeqCst);
            self.register();
            self.record.note(&format!("started   {}", self.id));
        }
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        loop {
            let request = http::read_message(&mut connection.reader)?;
            let name = request.header("x-wasabipier-request-id");
            if self.is_down.load(Ordering::SeqCst) {
                return Ok(());
            }
            if !["", self.id].contains(&request.header("x-wasabipier-target-instance")) {
                let headers = [("X-Wasabipier-Request-Id", name), ("X-Wasabipier-Not-Executed", "1")];
                connection.writer.write_all(&http::response(421, &headers, ""))?;
                continue;
            }
            self.stream(&request, name, &mut connection.writer)?;
        }
    }

    fn stream(&self, request: &Message, name: &str, writer: &mut TcpStream) -> io::Result<()> {
        let is_poison = request.path() == POISON_PATH;
        let last: u64 = request.header("last-event-id").parse().unwrap_or_default();
        if is_poison {
            self.record.note(&format!("arrived   {name} at {}, after event {last}", self.id));
            let mut sightings = self.sightings.lock().expect("no thread panics with the lock");
            sightings.arrivals.push((name.to_owned(), self.record.now_ms()));
        }
        thread::sleep(Duration::from_millis(150));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Wasabipier-Request-Id: {name}\r\nX-Wasabipier-Response-Signature: {}.{name}\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for event in last + 1..=EVENT_COUNT {
            let event = format!("id: {event}\ndata: token\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if is_poison && self.is_poisoned {
                thread::sleep(CRASH_DELAY);
                if !self.is_down.swap(true, Ordering::SeqCst) {
                    let mut sightings = self.sightings.lock().expect("no thread panics with the lock");
                    sightings.crashes.push(self.record.now_ms());
                }
                return Ok(());
            }
            thread::sleep(Duration::from_millis(40));
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

fn send(node: SocketAddr, id: &str, path: &str, prefix: &str) -> io::Result<Message> {
    let headers = [
        ("Host", "nets.example"),
        ("X-Wasabipier-Request-Id", id),
        ("X-Wasabipier-Timeout-Ms", "12000"),
        ("X-Wasabipier-Model", "m"),
        ("X-Wasabipier-Token-Count", "1460,80"),
        ("X-Wasabipier-Prompt-Prefix", prefix),
        ("Connection", "close"),
    ];
    http::call(node, &http::request(&format!("POST {path}"), &headers, "the same body"), Duration::from_secs(13))
}

pub fn run(record: &Record, has_trouble: bool) -> SetupResult<Vec<String>> {
    let (store, sightings) = (Store::start(), Arc::new(Mutex::new(Sightings::default())));
    store.put("op", "config", CONFIG);
    for (index, id) in SERVERS.into_iter().enumerate() {
        let listener = http::listen().map_err(|error| error.to_string())?;
        let server = Arc::new(ModelServer {
            id,
            zone: ZONES[index % ZONES.len()],
            address: listener.local_addr().map_err(|error| error.to_string())?,
            store: store.clone(),
            record: record.clone(),
            is_poisoned: has_trouble,
            sightings: sightings.clone(),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        server.register();
        thread::spawn(move || server.run(listener));
    }
    let deployment = Deployment::start(&store, &ZONES)?;
    let sound_answers = Arc::new(Mutex::new(0_usize));
    let mut clients = Vec::new();
    for number in 0..POISON_COUNT * SOUND_COUNT {
        let node = deployment.nodes[number % deployment.nodes.len()].callers;
        let (record, sound_answers) = (record.clone(), sound_answers.clone());
        let is_poison = number % SOUND_COUNT == 10;
        clients.push(thread::spawn(move || {
            let (id, path, prefix) = if is_poison {
                (format!("p{number}"), POISON_PATH.to_owned(), "dead0001:800,dead0002:410,dead0003:250".to_owned())
            } else {
                let prefix = format!("5c1e07a{:x}:800,91bd3f0{number:x}:250", number % 9);
                (format!("q{number}"), format!("/plan/{number:x}"), prefix)
            };
            record.note(&format!("sent      {id} to {node}"));
            let answer = send(node, &id, &path, &prefix);
            let is_whole = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
            *sound_answers.lock().expect("no thread panics with the lock") += usize::from(is_whole && !is_poison);
            let answer = answer.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
            record.note(&format!("answered  {id} {answer}"));
        }));
        thread::sleep(INTERVAL);
    }
    for client in clients {
        // A client that has panicked has sent nothing.
        let _ = client.join();
    }
    drop(deployment);

    if *sound_answers.lock().expect("no thread panics with the lock") < POISON_COUNT {
        return Err("hardly any sound request was served".to_owned());
    }
    let sightings = sightings.lock().expect("no thread panics with the lock");
    let Some(third) = sightings.crashes.get(2) else { return Ok(Vec::new()) };
    let late: Vec<&(String, u64)> = sightings.arrivals.iter().filter(|(_, at)| *at > third + CONTACT_MS).collect();
    let attempts: BTreeSet<&String> = late.iter().map(|(id, _)| id).collect();
    let own_retries = late.len() - attempts.len();
    record.note(&format!(
        "the request crashed {} servers, the third at {third} ms; it reached servers {} times later than {} ms, {own_retries} of them as a retry of a node",
        sightings.crashes.len(),
        late.len(),
        third + CONTACT_MS
    ));
    let is_broken = late.len() > MAX_RETRIES;
    let lines = late
        .iter()
        .map(|(id, at)| format!("{id} reached a server at {at} ms, {} ms after the third crash", at - third));
    let lines: Vec<String> = if is_broken { lines.collect() } else { Vec::new() };
    for line in &lines {
        record.note(&format!("broken    {line}"));
    }
    Ok(lines)
}
