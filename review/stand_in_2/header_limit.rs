//! A configuration that allows larger heads, and clients that keep their connections.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::client::{Call, Client, Outcome};
use crate::node::{Node, free_address, wait_until_ready};
use crate::server::{Server, ServerSpec};
use crate::store::Store;
use crate::{Stage, Verdict};

/// `maxHeaderBytes` before and after the change.
const OLD_LIMIT: usize = 16 * 1024;
const NEW_LIMIT: usize = 64 * 1024;
/// Size of a large head, which the new limit allows.
const HEAD_BYTES: usize = 32 * 1024;
/// `configMs` of the site.
const CONFIG_TIME: Duration = Duration::from_secs(2);
const CLIENTS_PER_NODE: usize = 10;

fn config(version: u32, max_header_bytes: usize) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"bookings","host":"club.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"sloMs":100,"priority":0,"service":"bookings","maxAttempts":1,"public":true,"stages":[]}}],"services":[{{"name":"bookings","healthPath":"/healthz"}}],"limits":{{"maxHeaderBytes":{max_header_bytes},"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

fn large_call() -> Call {
    let mut call = Call::new("POST", "/book/lane");
    let value = "x".repeat(4_000);
    call.headers = (0..HEAD_BYTES / 4_000).map(|index| (format!("X-Club-{index}"), value.clone())).collect();
    call
}

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start();
    let first_limit = if stage.has_trouble { OLD_LIMIT } else { NEW_LIMIT };
    store.write("op", "", "config", Some(&config(7, first_limit)));
    let spec = |id: &str, zone: &str| ServerSpec {
        id: id.to_owned(),
        service: "bookings".to_owned(),
        zone: zone.to_owned(),
        ..ServerSpec::default()
    };
    let servers = [("i-7f3a91c2", "khomas-a"), ("i-02d9e6b4", "khomas-b")]
        .map(|(id, zone)| Server::start(spec(id, zone), &store, record));
    let seeds: Vec<SocketAddr> = (0..2).map(|_| free_address()).collect();
    let mut nodes: Vec<Node> = ["a", "b"]
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
    thread::sleep(Duration::from_secs(1));
    let addresses = nodes.iter().flat_map(|node| [node.callers; CLIENTS_PER_NODE]);
    let mut clients: Vec<Client> = addresses.map(Client::new).collect();
    let small = Call::new("POST", "/book/lane");
    let send_small =
        |clients: &mut [Client]| -> Vec<Outcome> { clients.iter_mut().map(|client| client.send(&small)).collect() };
    let mut outcomes = send_small(&mut clients);
    if stage.has_trouble {
        store.write("op", "", "config", Some(&config(9, NEW_LIMIT)));
        record.line(&format!("configuration 9 acknowledged: maxHeaderBytes {OLD_LIMIT} becomes {NEW_LIMIT}"));
    } else {
        record.line(&format!("maxHeaderBytes is {NEW_LIMIT} from the start"));
    }
    thread::sleep(CONFIG_TIME + Duration::from_millis(1_500));
    outcomes.extend(send_small(&mut clients));
    let kept = clients.iter().filter(|client| client.has_connection()).count();
    record.line(&format!("{kept} of {} clients have kept their connections", clients.len()));
    let large = large_call();
    let mut on_new: Vec<Outcome> = Vec::new();
    for node in &nodes {
        on_new.extend((0..CLIENTS_PER_NODE).map(|_| Client::new(node.callers).send(&large)));
    }
    thread::sleep(Duration::from_millis(500));
    let on_kept: Vec<Outcome> = clients.iter_mut().map(|client| client.send(&large)).collect();
    servers.iter().for_each(Server::end);
    for outcomes in [&outcomes, &on_new, &on_kept] {
        record.list_requests(outcomes);
    }
    record.list_arrivals(&servers);
    for (what, outcomes) in [
        ("small heads", &outcomes),
        ("large heads, new connections", &on_new),
        ("large heads, kept connections", &on_kept),
    ] {
        let statuses: Vec<u16> = outcomes.iter().map(Outcome::status).collect();
        record.line(&format!("{what}: statuses (0: none) {statuses:?}"));
    }
    let all = outcomes.iter().chain(&on_new).chain(&on_kept);
    let denied = |outcome: &&Outcome| {
        let is_own =
            outcome.answer.as_ref().is_some_and(|answer| answer.header("x-wasabipier-response-signature").is_none());
        is_own && (300..500).contains(&outcome.status()) && ![408, 421, 429].contains(&outcome.status())
    };
    let (sent, denied) = (all.clone().count(), all.filter(denied).count());
    let bound = 5 + sent / 500;
    record.line(&format!(
        "DENIED: {denied} of {sent} proper requests ended with a 3xx or 4xx of the system (bound {bound})"
    ));
    if on_new.iter().any(|outcome| outcome.status() != 200) || kept < clients.len() {
        return Verdict::NotRun;
    }
    if denied > bound { Verdict::Broken } else { Verdict::Held }
}
