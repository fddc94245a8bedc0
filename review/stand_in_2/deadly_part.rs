//! Requests that come at once with a part of a prompt on which servers crash.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{Call, Client, Outcome};
use crate::node::{Node, free_address, wait_until_ready};
use crate::record::Record;
use crate::server::{Server, ServerSpec};
use crate::store::Store;
use crate::{Stage, Verdict};

/// `contactMs` of the site.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The part that crashes servers, as it stands in prompts.
pub const DEADLY_PART: &str = "dead:300";
/// First parts of prompts, which sound requests have, too.
pub const FIRST_PARTS: [&str; 5] = ["5c1e07a1:400", "5c1e07a2:400", "5c1e07a3:400", "5c1e07a4:400", "5c1e07a5:400"];
const REQUESTS_PER_S: u32 = 12;

pub const CONFIG: &str = r#"{"version":7,"routes":[{"name":"plans","host":"club.example","prefix":"/plan/","kind":"streaming","timeoutMs":10000,"sloMs":1700,"priority":0,"service":"coachmodel","maxAttempts":2,"public":true,"sticky":true,"resumable":true,"itlTargetMs":400,"stages":[]}],"services":[{"name":"coachmodel","healthPath":"/healthz","engine":{}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Returns a request whose prompt has these shared parts, and a last one of its own.
pub fn prompt_call(shared: &str, number: usize) -> Call {
    let mut call = Call::new("POST", "/plan/season");
    call.timeout = Duration::from_secs(10);
    call.body = format!("plan {number}").into_bytes();
    call.headers = vec![
        ("X-Wasabipier-Model".to_owned(), "m".to_owned()),
        ("X-Wasabipier-Token-Count".to_owned(), "750,20".to_owned()),
        ("X-Wasabipier-Prompt-Prefix".to_owned(), format!("{shared},{:x}:50", 0xf000 + number)),
    ];
    call
}

pub fn server_spec(index: usize) -> ServerSpec {
    ServerSpec {
        id: format!("i-7f3a91{index:02x}"),
        service: "coachmodel".to_owned(),
        zone: ["khomas-a", "khomas-b", "khomas-c"][index % 3].to_owned(),
        slots: 64,
        work: Duration::from_millis(50),
        events: (10, Duration::from_millis(50)),
        deadly_part: Some(DEADLY_PART),
        ..ServerSpec::default()
    }
}

/// Clients that send sound requests.
pub struct SoundClients {
    is_over: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<JoinHandle<()>>,
}

impl SoundClients {
    /// Waits for the last answers and returns what became of all requests.
    pub fn stop(self) -> Vec<Outcome> {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.outcomes.lock().expect("no thread panics").clone()
    }
}

/// Starts clients that send sound requests at a fixed rate, in turn to all nodes.
pub fn run_sound_clients(nodes: &[Node], record: &Record) -> SoundClients {
    let (is_over, outcomes) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::<Outcome>::new())));
    let sent = Arc::new(AtomicUsize::new(0));
    let begun = Instant::now();
    record.line("traffic begins");
    let threads = (0..15).map(|index| {
        let address = nodes[index % nodes.len()].callers;
        let (is_over, outcomes, sent) = (is_over.clone(), outcomes.clone(), sent.clone());
        thread::spawn(move || {
            let mut client = Client::new(address);
            while !is_over.load(Ordering::Relaxed) {
                let number = sent.fetch_add(1, Ordering::Relaxed);
                let due = begun + Duration::from_secs(1) * number as u32 / REQUESTS_PER_S;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let outcome = client.send(&prompt_call(FIRST_PARTS[number % FIRST_PARTS.len()], number));
                outcomes.lock().expect("no thread panics").push(outcome);
            }
        })
    });
    let threads = threads.collect();
    SoundClients { is_over, outcomes, threads }
}

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start();
    store.write("op", "", "config", Some(CONFIG));
    let servers: Vec<Server> = (0..12).map(|index| Server::start(server_spec(index), &store, record)).collect();
    let seeds: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let mut nodes: Vec<Node> = ["khomas-a", "khomas-b", "khomas-c"]
        .iter()
        .zip(&seeds)
        .map(|(zone, peers)| Node::new(&stage.work, &format!("edge-{zone}"), zone, store.address, &seeds, *peers))
        .collect();
    nodes.iter_mut().for_each(Node::start);
    if !wait_until_ready(&nodes, record) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let sound_clients = run_sound_clients(&nodes, record);
    let begun = Instant::now();
    for burst in 0..3_usize {
        let at = begun + Duration::from_secs(4) + Duration::from_secs(6) * burst as u32;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        record.line(&format!("{} requests with the deadly part come at once", FIRST_PARTS.len()));
        let callers: Vec<_> = FIRST_PARTS
            .iter()
            .enumerate()
            .map(|(index, first)| {
                let shared = if stage.has_trouble { format!("{first},{DEADLY_PART}") } else { (*first).to_owned() };
                let (address, record) = (nodes[index % nodes.len()].callers, record.clone());
                thread::spawn(move || {
                    let outcome = Client::new(address).send(&prompt_call(&shared, 1_000 + burst * 10 + index));
                    record.line(&format!("{} with {shared}: status {} (0: none)", outcome.id, outcome.status()));
                })
            })
            .collect();
        for caller in callers {
            let _ = caller.join();
        }
    }
    thread::sleep(Duration::from_secs(5));
    let outcomes = sound_clients.stop();
    servers.iter().for_each(Server::end);
    judge(stage, &servers, &outcomes)
}

pub fn judge(stage: &Stage, servers: &[Server], outcomes: &[Outcome]) -> Verdict {
    let record = &stage.record;
    record.list_requests(outcomes);
    record.list_arrivals(servers);
    let whole = outcomes.iter().filter(|outcome| outcome.status() == 200).count();
    let cut = outcomes.iter().filter(|outcome| outcome.answer.is_none()).count();
    record.line(&format!(
        "{} sound requests: {whole} whole answers, {cut} cut, the rest refused or failed",
        outcomes.len()
    ));
    let mut crashes: Vec<Instant> = servers.iter().flat_map(Server::crashes).collect();
    crashes.sort_unstable();
    let since_start: Vec<String> =
        crashes.iter().map(|at| format!("{:.3}", (*at - record.started).as_secs_f64())).collect();
    record.line(&format!("{} crashes, at {}", crashes.len(), since_start.join(" ")));
    let Some(fifth) = crashes.get(4).copied() else { return Verdict::Held };
    let arrivals: Vec<_> = servers.iter().flat_map(Server::arrivals).collect();
    let late =
        arrivals.iter().filter(|arrival| arrival.prompt.contains(DEADLY_PART) && arrival.at > fifth + CONTACT_TIME);
    let mut late: Vec<&str> = late.map(|arrival| arrival.id.as_str()).collect();
    late.sort_unstable();
    late.dedup();
    record.line(&format!(
        "{} requests with the deadly part reached servers later than {} ms after the fifth crash (bound 3)",
        late.len(),
        CONTACT_TIME.as_millis()
    ));
    if late.len() > 3 { Verdict::Broken } else { Verdict::Held }
}
