//! Clients that leave early, before servers that are brittle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::{Call, Client};
use crate::http::Message;
use crate::node::{Node, free_address, wait_until_ready};
use crate::server::{Server, ServerSpec};
use crate::store::Store;
use crate::{Stage, Verdict};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"lanes","host":"club.example","prefix":"/lane/","kind":"idempotent","timeoutMs":3000,"sloMs":600,"priority":0,"service":"bookings","maxAttempts":2,"public":true,"stages":[]}],"services":[{"name":"bookings","healthPath":"/healthz"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
const SERVERS: usize = 6;
const CLIENTS: usize = 90;
/// Rejections in a second that a server withstands.
const TOLERANCE: usize = 2;
/// Clients that leave early, in a hundred, and the time after which they do: half the objective.
const LEAVING_PERCENT: usize = 30;
const PATIENCE: Duration = Duration::from_millis(300);
/// Times in which clients leave early: their number, and the length of each and of the pause after it.
const SPELLS: usize = 9;
const SPELL: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(2);

/// What became of the clients' requests.
#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    refused: AtomicUsize,
    left: AtomicUsize,
    other: AtomicUsize,
}

impl Counts {
    fn values(&self) -> [usize; 4] {
        [&self.answered, &self.refused, &self.left, &self.other].map(|count| count.load(Ordering::Relaxed))
    }
}

/// Sends one request after the other until `is_over`. While `may_leave`, the client leaves some early. A refused client
/// waits for as long as it is told, up to a third of the time it has left, whether or not it would have left early.
fn run_client(address: SocketAddr, index: usize, is_over: &AtomicBool, may_leave: &AtomicBool, counts: &Counts) {
    let mut client = Client::new(address);
    let mut call = Call::new("GET", "/lane/dusk");
    call.timeout = Duration::from_secs(3);
    let mut round = index * 37;
    while !is_over.load(Ordering::Relaxed) {
        round += 1;
        let may_leave = may_leave.load(Ordering::Relaxed) && round * 61 % 100 < LEAVING_PERCENT;
        let answer = if may_leave { client.send_and_leave(&call, PATIENCE) } else { client.send(&call).answer };
        let count = match answer.as_ref().map(Message::status) {
            Some(200) => &counts.answered,
            Some(503) => &counts.refused,
            None if may_leave => &counts.left,
            _ => &counts.other,
        };
        count.fetch_add(1, Ordering::Relaxed);
        let told = answer.as_ref().and_then(|answer| answer.header("retry-after")?.parse().ok());
        thread::sleep(Duration::from_secs_f64(told.unwrap_or(0.0_f64).clamp(0.0, 1.0)));
    }
}

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start();
    store.write("op", "", "config", Some(CONFIG));
    let zones = ["khomas-a", "khomas-b", "khomas-c"];
    let spec = |index: usize| ServerSpec {
        id: format!("i-7f3a91{index:02x}"),
        service: "bookings".to_owned(),
        zone: zones[index % 3].to_owned(),
        work: Duration::from_millis(450),
        tolerance: TOLERANCE,
        ..ServerSpec::default()
    };
    let servers: Vec<Server> = (0..SERVERS).map(|index| Server::start(spec(index), &store, record)).collect();
    let seeds: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let mut nodes: Vec<Node> = zones
        .iter()
        .zip(&seeds)
        .map(|(zone, peers)| Node::new(&stage.work, &format!("edge-{zone}"), zone, store.address, &seeds, *peers))
        .collect();
    nodes.iter_mut().for_each(Node::start);
    if !wait_until_ready(&nodes, record) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let (is_over, may_leave) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let counts = Arc::new(Counts::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let address = nodes[index % nodes.len()].callers;
            let (is_over, may_leave, counts) = (is_over.clone(), may_leave.clone(), counts.clone());
            thread::spawn(move || run_client(address, index, &is_over, &may_leave, &counts))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    record.line("servers say that they are brittle");
    servers.iter().for_each(Server::set_brittle);
    thread::sleep(Duration::from_secs(5));
    for _ in 0..SPELLS {
        if stage.has_trouble {
            record.line("some clients leave early from now on");
        }
        may_leave.store(stage.has_trouble, Ordering::Relaxed);
        thread::sleep(SPELL);
        may_leave.store(false, Ordering::Relaxed);
        thread::sleep(PAUSE);
        let [answered, refused, left, other] = counts.values();
        record.line(&format!(
            "so far {answered} requests answered, {refused} refused, {left} left early, {other} failed"
        ));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    servers.iter().for_each(Server::end);
    judge(stage, &servers, &counts)
}

fn judge(stage: &Stage, servers: &[Server], counts: &Counts) -> Verdict {
    let record = &stage.record;
    let [answered, refused, left, other] = counts.values();
    record.line(&format!("{answered} requests answered, {refused} refused, {left} left early, {other} failed"));
    let falls: usize = servers.iter().map(|server| server.crashes().len()).sum();
    let rejections: usize = servers.iter().map(Server::rejection_count).sum();
    let lost = servers.iter().flat_map(Server::arrivals).filter(|arrival| arrival.is_lost).count();
    let bound = 2.0 + SERVERS as f64 / 10.0;
    record.line(&format!(
        "{rejections} rejections; {falls} falls (bound {bound}); {lost} requests lost at work by falls"
    ));
    if falls as f64 > bound { Verdict::Broken } else { Verdict::Held }
}
