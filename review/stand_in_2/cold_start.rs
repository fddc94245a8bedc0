//! A server that starts again while the store is down, and is cold.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Call, Client, Outcome};
use crate::node::{Node, free_address, wait_until_ready};
use crate::server::{Server, ServerSpec};
use crate::store::Store;
use crate::{Stage, Verdict};

/// Requests a second that a cold server tolerates, as the configuration says.
const COLD_PER_S: f64 = 4.0;
/// Bounds of the rule FAILBACK, `coldOver` and `coldSlack` of the site.
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Requests in a second at which a cold server crashes: well above what it tolerates.
const COLD_CRASH: usize = 16;
const REQUESTS_PER_S: u32 = 75;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"bookings","host":"club.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"sloMs":100,"priority":0,"service":"bookings","maxAttempts":1,"public":true,"stages":[]}],"services":[{"name":"bookings","healthPath":"/healthz","coldPerS":4.0,"warmupS":10}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start();
    store.write("op", "", "config", Some(CONFIG));
    let spec = |name: &str, zone: &str| ServerSpec {
        id: name.to_owned(),
        service: "bookings".to_owned(),
        zone: zone.to_owned(),
        work: Duration::from_millis(25),
        warmup: Duration::from_secs(10),
        cold_crash: COLD_CRASH,
        ..ServerSpec::default()
    };
    let places = [("i-7f3a91c2", "khomas-a"), ("i-02d9e6b4", "khomas-b"), ("i-5c1e07a2", "khomas-c")];
    let servers: Vec<Server> = places.iter().map(|(id, zone)| Server::start(spec(id, zone), &store, record)).collect();
    let seeds: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let mut nodes: Vec<Node> = ["a", "b", "c"]
        .iter()
        .zip(&seeds)
        .map(|(zone, peers)| {
            let (name, zone) = (format!("edge-khomas-{zone}-1"), format!("khomas-{zone}"));
            Node::new(&stage.work, &name, &zone, store.address, &seeds, *peers)
        })
        .collect();
    nodes.iter_mut().for_each(Node::start);
    if !wait_until_ready(&nodes, record) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let (is_over, outcomes) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::<Outcome>::new())));
    let sent = Arc::new(AtomicUsize::new(0));
    let begun = Instant::now();
    record.line("traffic begins");
    let clients: Vec<_> = (0..30)
        .map(|index| {
            let address = nodes[index % nodes.len()].callers;
            let (is_over, outcomes, sent) = (is_over.clone(), outcomes.clone(), sent.clone());
            thread::spawn(move || {
                let mut client = Client::new(address);
                while !is_over.load(Ordering::Relaxed) {
                    let number = sent.fetch_add(1, Ordering::Relaxed) as u32;
                    let due = begun + Duration::from_secs(1) * number / REQUESTS_PER_S;
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let outcome = client.send(&Call::new("POST", "/book/lane"));
                    outcomes.lock().expect("no thread panics").push(outcome);
                }
            })
        })
        .collect();
    let wait_until = |seconds: f64| {
        thread::sleep((begun + Duration::from_secs_f64(seconds)).saturating_duration_since(Instant::now()));
    };
    wait_until(5.0);
    if stage.has_trouble {
        store.set_down(true);
        record.line("the store is down");
    }
    wait_until(6.0);
    servers[1].crash(Duration::from_secs(2));
    wait_until(14.0);
    store.set_down(false);
    record.line("the store is up");
    wait_until(20.0);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    servers.iter().for_each(Server::end);
    let outcomes = outcomes.lock().expect("no thread panics").clone();
    record.list_requests(&outcomes);
    record.list_arrivals(&servers);
    judge(stage, &servers, &outcomes)
}

fn judge(stage: &Stage, servers: &[Server], outcomes: &[Outcome]) -> Verdict {
    let record = &stage.record;
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    for outcome in outcomes {
        *statuses.entry(outcome.status()).or_default() += 1;
    }
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort_unstable();
    record.line(&format!("{} requests sent; answers by status (0: none): {statuses:?}", outcomes.len()));
    let by_id: HashMap<&str, &Outcome> = outcomes.iter().map(|outcome| (outcome.id.as_str(), outcome)).collect();
    let bound = COLD_PER_S * COLD_OVER + COLD_SLACK;
    let mut is_broken = false;
    for server in servers {
        let arrivals = server.arrivals();
        let cold: Vec<_> = arrivals.iter().filter(|arrival| arrival.is_cold).collect();
        // Requests that were sent and arrived within one second, while the server was cold.
        let in_second = |from: Instant| {
            let to = from + Duration::from_secs(1);
            let is_sent = |id: &str| by_id.get(id).is_some_and(|outcome| outcome.sent_at >= from);
            cold.iter().filter(|arrival| arrival.at <= to && is_sent(&arrival.id)).count()
        };
        let starts = cold.iter().filter_map(|arrival| by_id.get(arrival.id.as_str())).map(|outcome| outcome.sent_at);
        let most = starts.map(in_second).max().unwrap_or(0);
        let lost = arrivals.iter().filter(|arrival| arrival.is_lost).count();
        let lost_cold = arrivals.iter().filter(|arrival| arrival.is_lost && arrival.is_cold).count();
        record.line(&format!(
            "{}: {} requests, {} of them while cold, at most {most} of these in one second (bound {bound}); {} crashes; \
             {lost} requests lost at work, {lost_cold} of them while cold",
            server.spec.id,
            arrivals.len(),
            cold.len(),
            server.crashes().len()
        ));
        is_broken |= most as f64 > bound;
    }
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
