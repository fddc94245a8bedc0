//! A server becomes cold while the store is away, and says so in its answers to health checks only.
//!
//! Arguments: the program of the node, the template of its settings, a temporary folder and the path of the record.
//! `TROUBLE=0` leaves the store where it is: the server says at once in its entry that it is cold, too.

#[path = "platform.rs"]
mod platform;

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use platform::{COULD_NOT_RUN, Head, Node, Record, Store, new_request_id, send_request};

const NODE_COUNT: usize = 3;
const ZONES: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
/// `coldPerS` of the service, and the rule's bound: `coldPerS` x `coldOver` + `coldSlack`, with 1.5 and 5.
const COLD_PER_SECOND: f64 = 6.6;
const MAX_PER_SECOND: usize = 14;
/// Requests in one second at which a cold server crashes.
const CRASH_PER_SECOND: usize = 20;
/// Callers, each of which sends a request at this interval: 75 bookings a second.
const CALLER_COUNT: usize = 15;
const CALL_INTERVAL: Duration = Duration::from_millis(200);
const WORK_TIME: Duration = Duration::from_millis(15);
/// Time from the loss of the store until a server becomes cold, and for how long it is.
const LOSS_TO_COLD: Duration = Duration::from_secs(1);
const COLD_TIME: Duration = Duration::from_secs(3);
/// Time for which callers go on after that.
const TIME_AFTER: Duration = Duration::from_millis(3_500);

struct ServerState {
    cold_from: Option<Duration>,
    /// When requests arrived, and their ids.
    arrivals: Vec<(Duration, String)>,
    streams: Vec<TcpStream>,
    crashed_at: Option<Duration>,
}

/// A server of bookings.
#[derive(Clone)]
struct ColdServer {
    id: &'static str,
    address: SocketAddr,
    listener: Arc<Mutex<Option<TcpListener>>>,
    state: Arc<Mutex<ServerState>>,
    record: Record,
}

impl ColdServer {
    fn start(id: &'static str, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = ServerState { cold_from: None, arrivals: Vec::new(), streams: Vec::new(), crashed_at: None };
        let (listener, state) = (Arc::new(Mutex::new(Some(listener))), Arc::new(Mutex::new(state)));
        let server = Self { id, address, listener, state, record: record.clone() };
        let serving = server.clone();
        thread::spawn(move || {
            loop {
                let accepted = serving.listener.lock().unwrap().as_ref().map(TcpListener::accept);
                match accepted {
                    None => return,
                    Some(Ok((stream, _))) => {
                        let server = serving.clone();
                        thread::spawn(move || server.serve(stream));
                    }
                    Some(Err(_)) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(server)
    }

    fn entry(&self, zone: &str, cold: Duration, sequence: u32) -> String {
        format!(
            "{{\"service\":\"bookings\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldMs\":{},\"seq\":{sequence},\"born\":1700000000000}}",
            self.address,
            cold.as_millis()
        )
    }

    /// Returns for how long the server stays cold.
    fn cold_time(&self) -> Duration {
        let cold_from = self.state.lock().unwrap().cold_from;
        cold_from.map_or(Duration::ZERO, |from| (from + COLD_TIME).saturating_sub(self.record.now()))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.state.lock().unwrap().streams.push(kept);
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader) {
            if head.read_body(&mut reader).is_err() {
                return;
            }
            let id = head.get("x-wasabipier-request-id").to_owned();
            let answer = if head.line.starts_with("GET /healthz ") {
                let cold_ms = self.cold_time().as_millis();
                self.record.note(&format!("{} is asked for its health, cold for {cold_ms} ms", self.id));
                format!(
                    "HTTP/1.1 200 OK\r\nX-Wasabipier-Instance-Id: {}\r\nX-Wasabipier-Cold-Ms: {cold_ms}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )
            } else if head.get("x-wasabipier-target-instance") == self.id {
                if !self.take(&id) {
                    return;
                }
                thread::sleep(WORK_TIME);
                format!(
                    "HTTP/1.1 200 OK\r\nX-Wasabipier-Request-Id: {id}\r\nX-Wasabipier-Response-Signature: s1\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\ndone"
                )
            } else {
                format!("HTTP/1.1 421 Misdirected Request\r\nX-Wasabipier-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n")
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Counts an arrival. Returns whether the server has borne it.
    fn take(&self, id: &str) -> bool {
        let (now, is_cold) = (self.record.now(), !self.cold_time().is_zero());
        self.record.note(&format!("{id} reaches {}{}", self.id, if is_cold { ", which is cold" } else { "" }));
        let mut state = self.state.lock().unwrap();
        if state.crashed_at.is_some() {
            return false;
        }
        state.arrivals.push((now, id.to_owned()));
        let cold_from = state.cold_from.unwrap_or(Duration::MAX);
        let is_recent = |at: &Duration| *at >= cold_from && now - *at < Duration::from_secs(1);
        let recent = state.arrivals.iter().filter(|(at, _)| is_recent(at)).count();
        if !is_cold || recent < CRASH_PER_SECOND {
            return true;
        }
        state.crashed_at = Some(now);
        drop(self.listener.lock().unwrap().take());
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.note(&format!("{} crashes", self.id));
        false
    }
}

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"book","host":"shop.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"sloMs":100,"priority":2,"service":"bookings","maxAttempts":1,"public":false}}],"services":[{{"name":"bookings","healthPath":"/healthz","maxConns":100,"warmupS":3.0,"coldPerS":{COLD_PER_SECOND}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"lions","apiKeys":["key-1"]}}]}}"#
    )
}

fn main() {
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [program, template, folder, record] = &arguments[..] else { std::process::exit(COULD_NOT_RUN) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = match Record::create(record).and_then(|record| play(program, template, folder, &record, has_trouble)) {
        Ok(most) => i32::from(most > MAX_PER_SECOND),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            COULD_NOT_RUN
        }
    };
    std::process::exit(code);
}

/// Plays the case, and returns the largest number of requests that were sent and reached the cold server in one second.
fn play(
    program: &PathBuf,
    template: &PathBuf,
    folder: &PathBuf,
    record: &Record,
    has_trouble: bool,
) -> io::Result<usize> {
    let store = Store::default();
    let store_address = store.start()?;
    store.put("op", "config", &config());
    let servers = [
        ColdServer::start("i-1", record)?, ColdServer::start("i-2", record)?, ColdServer::start("i-3", record)?,
    ];
    for (server, zone) in servers.iter().zip(ZONES) {
        store.put("servers", server.id, &server.entry(zone, Duration::ZERO, 1));
    }
    let mut nodes = Node::prepare(NODE_COUNT, program, template, folder, store_address)?;
    for node in &mut nodes {
        node.start()?;
    }
    if let Some(node) = nodes.iter().find(|node| !node.wait_until_ready(Duration::from_secs(20))) {
        return Err(io::Error::other(format!("{} is not ready", node.name)));
    }
    record.note("all nodes are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<BTreeMap<String, (Duration, u16)>>> = Arc::default();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            let (address, record) = (nodes[number % NODE_COUNT].caller_address, record.clone());
            let (is_over, sent) = (is_over.clone(), sent.clone());
            thread::spawn(move || {
                thread::sleep(CALL_INTERVAL.mul_f64(number as f64 / CALLER_COUNT as f64));
                while !is_over.load(Ordering::Relaxed) {
                    let (id, at) = (new_request_id(), record.now());
                    let head = format!(
                        "POST /book/lane HTTP/1.1\r\nHost: shop.example\r\nX-Wasabipier-Request-Id: {id}\r\nX-Api-Key: key-1\r\nX-Wasabipier-Timeout-Ms: 1500\r\n"
                    );
                    let status = send_request(address, &head, &id, Duration::from_secs(2));
                    record.note(&format!("{id} was sent at {:.3} and answered {status}", at.as_secs_f64()));
                    sent.lock().unwrap().insert(id, (at, status));
                    thread::sleep(CALL_INTERVAL.saturating_sub(record.now() - at));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        store.leave();
        record.note("the store is away");
    }
    thread::sleep(LOSS_TO_COLD);
    let cold = &servers[0];
    cold.state.lock().unwrap().cold_from = Some(record.now());
    record.note(&format!("{} becomes cold", cold.id));
    if !has_trouble {
        store.put("servers", cold.id, &cold.entry(ZONES[0], COLD_TIME, 2));
    }
    thread::sleep(TIME_AFTER);
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop(nodes);
    let (sent, state) = (sent.lock().unwrap(), cold.state.lock().unwrap());
    let cold_from = state.cold_from.unwrap_or_default();
    let counted: Vec<(Duration, Duration)> = state
        .arrivals
        .iter()
        .filter_map(|(at, id)| Some((sent.get(id)?.0, *at)))
        .filter(|(sent_at, at)| *sent_at >= cold_from && *at < cold_from + COLD_TIME)
        .collect();
    let in_second = |from: Duration| {
        counted.iter().filter(|(sent_at, at)| *sent_at >= from && *at < from + Duration::from_secs(1)).count()
    };
    let most = counted.iter().map(|(from, _)| in_second(*from)).max().unwrap_or_default();
    let unknown = sent.values().filter(|(at, status)| *at >= cold_from && [0, 502, 504].contains(status)).count();
    let served = sent.values().filter(|(_, status)| *status == 200).count();
    let summary = format!(
        "{most} requests in a second at the cold server, {MAX_PER_SECOND} are allowed; it {}; {unknown} bookings ended with an unknown outcome, {served} were served",
        if state.crashed_at.is_some() { "crashed" } else { "did not crash" }
    );
    record.note(&summary);
    println!("{summary}");
    if served < 100 {
        return Err(io::Error::other("too few bookings were served"));
    }
    Ok(most)
}
