//! Nodes: the project's program as a process, started as the deploy file says.

use std::collections::BTreeSet;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

/// Returns the loopback address of this run, which differs from those of others that run at the same time.
pub fn run_ip() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 77, high, low.clamp(1, 254))
}

/// Returns an address of this run on a free port, which no other call returns.
pub fn free_address() -> SocketAddr {
    static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = TcpListener::bind((run_ip(), 0)).expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        if GIVEN.lock().expect("no thread panics").insert(address.port()) {
            return address;
        }
    }
}

/// Waits until all nodes are ready. Records what those say that are not.
pub fn wait_until_ready(nodes: &[Node], record: &Record) -> bool {
    let started = Instant::now();
    let is_late = || started.elapsed() > Duration::from_secs(10);
    for node in nodes {
        while !node.is_ready() {
            if is_late() {
                let log = fs::read_to_string(node.settings.with_extension("log")).unwrap_or_default();
                let lines: Vec<&str> = log.lines().collect();
                record.line(&format!("a node is not ready: {}", lines[lines.len().saturating_sub(5)..].join(" | ")));
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    true
}

pub struct Node {
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of a node of a small deployment, as `platform/node-duties.ini` is filled in.
    pub fn new(
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
        peers: SocketAddr,
    ) -> Self {
        let [callers, ready, directory, metrics] = [0; 4].map(|_| free_address());
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let text = format!(
            "[relay]\nname = {name}\ndata_centre = {zone}\ncaller_address = {callers}\nready_address = {ready}\n\
             addresses_address = {directory}\nmetrics_address = {metrics}\npeer_address = {peers}\n\
             store_address = {store}\nseeds = {}\n\n[bounds]\nrevoked_keys_ms = 5000\ncontact_ms = 3000\n\
             config_ms = 2000\nrepeat_ratio = 0.2\nrepeat_slack = 54\nrepeat_window_s = 10\nstop_within_s = 8\n\
             addresses_kept_most_s = 5\nleave_within_ms = 2000\nexpose_share = 0.1\nexpose_slack = 50\n\n\
             [vm]\ncores = 0.25\nlink_mbps = 1000.0\n",
            seeds.join(",")
        );
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("the folder can be written");
        Self { callers, ready, settings, child: None }
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.settings.with_extension("log"));
        let log = log.expect("the folder can be written");
        let child = Command::new("target/release/wasabipier")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the folder can be written"))
            .stderr(log)
            .spawn();
        self.child = child.ok();
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(200)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut connection = Connection::new(stream);
        let request = format!("GET /-/readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
        connection.write(request.as_bytes()).is_ok()
            && connection.read_message().is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
