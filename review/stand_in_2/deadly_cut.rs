//! Requests with a part of a prompt on which servers crash, which come to a machine that is partitioned from all servers.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::deadly_part::{CONFIG, DEADLY_PART, FIRST_PARTS, judge, prompt_call, run_sound_clients, server_spec};
use crate::node::{Node, free_address, wait_until_ready};
use crate::path::Path;
use crate::server::Server;
use crate::store::Store;
use crate::{Stage, Verdict};

/// Length of the partition, and the pause between two requests with the deadly part.
const CUT_TIME: Duration = Duration::from_secs(9);
const PAUSE: Duration = Duration::from_millis(600);

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start();
    store.write("op", "", "config", Some(CONFIG));
    let servers: Vec<Server> = (0..12).map(|index| Server::start(server_spec(index), &store, record)).collect();
    let paths: Vec<Path> = servers.iter().map(Server::open_path).collect();
    let own_store = store
        .open_for(servers.iter().map(|server| server.address).zip(paths.iter().map(|path| path.address)).collect());
    let seeds: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let stores = [own_store.address, store.address, store.address];
    let mut nodes: Vec<Node> = ["khomas-a", "khomas-b", "khomas-c"]
        .iter()
        .zip(&seeds)
        .zip(stores)
        .map(|((zone, peers), store)| Node::new(&stage.work, &format!("edge-{zone}"), zone, store, &seeds, *peers))
        .collect();
    nodes.iter_mut().for_each(Node::start);
    if !wait_until_ready(&nodes, record) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let callers = run_sound_clients(&nodes, record);
    thread::sleep(Duration::from_secs(3));
    if stage.has_trouble {
        record.line("edge-khomas-a is partitioned from all servers");
        paths.iter().for_each(|path| path.set_cut(true));
    }
    let begun = Instant::now();
    thread::sleep(Duration::from_secs(1));
    let mut number = 0;
    while begun.elapsed() < CUT_TIME {
        let shared = format!("{},{DEADLY_PART}", FIRST_PARTS[number % FIRST_PARTS.len()]);
        let (address, record) = (nodes[0].callers, record.clone());
        thread::spawn(move || {
            let outcome = Client::new(address).send(&prompt_call(&shared, 1_000 + number));
            record.line(&format!(
                "{} with {shared} at edge-khomas-a: status {} (0: none)",
                outcome.id,
                outcome.status()
            ));
        });
        number += 1;
        thread::sleep(PAUSE);
    }
    paths.iter().for_each(|path| path.set_cut(false));
    record.line("the partition has ended");
    thread::sleep(Duration::from_secs(3));
    let outcomes = callers.stop();
    servers.iter().for_each(Server::end);
    judge(stage, &servers, &outcomes)
}
