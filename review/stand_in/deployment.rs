//! Starts nodes as processes with the command and the settings template of the deploy file, and keeps the record of a case.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

/// The record of what was sent, answered and run, in the folder of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Returns the time since the start in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line with the present time.
    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().expect("no thread panics with the lock");
        writeln!(file, "{:>6} ms  {line}", self.now_ms()).expect("the record can be written");
    }
}

/// A node that runs as a process.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// Nodes, and the temporary folder with their settings and logs. All processes end when this is dropped.
pub struct Deployment {
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

/// Process ids of the nodes that run.
static NODE_IDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all nodes that this process has started and that still run.
pub fn kill_all() {
    for id in NODE_IDS.lock().expect("no thread panics with the lock").drain(..) {
        // A process that has ended needs no signal.
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

/// Names an error of the setup. The case could not run then.
pub type SetupResult<T> = Result<T, String>;

fn free_addresses(count: usize) -> SetupResult<Vec<SocketAddr>> {
    let listeners: Result<Vec<TcpListener>, _> = (0..count).map(|_| http::listen()).collect();
    let listeners = listeners.map_err(|error| error.to_string())?;
    listeners.iter().map(|listener| listener.local_addr().map_err(|error| error.to_string())).collect()
}

/// Returns the template with its fields replaced.
fn render(template: &str, fields: &HashMap<&str, String>) -> SetupResult<String> {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").ok_or("the template has an open field")?;
        text += before;
        text += fields.get(name).ok_or_else(|| format!("the template has an unknown field {name}"))?;
        rest = after;
    }
    Ok(text + rest)
}

impl Deployment {
    /// Starts `zones.len()` nodes, one in each of `zones`, and waits until all are ready.
    pub fn start(store: &Store, zones: &[&str]) -> SetupResult<Self> {
        let folder = std::env::temp_dir().join(format!("wasabipier-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let template = fs::read_to_string("platform/node.ini").map_err(|error| error.to_string())?;
        let addresses = free_addresses(zones.len() * 5)?;
        let seeds: Vec<String> = addresses.chunks(5).take(3).map(|chunk| chunk[3].to_string()).collect();
        let mut deployment = Self { nodes: Vec::new(), folder };
        for (index, zone) in zones.iter().enumerate() {
            let [callers, ready, directory, control, metrics] = addresses[index * 5..][..5] else { unreachable!() };
            let name = format!("edge-{zone}-{index}");
            let fields = HashMap::from([
                ("node", name.clone()),
                ("zone", (*zone).to_owned()),
                ("listen.front", callers.to_string()),
                ("listen.ready", ready.to_string()),
                ("listen.directory", directory.to_string()),
                ("listen.control", control.to_string()),
                ("bindIp", "127.0.0.1".to_owned()),
                ("portRange.0", metrics.port().to_string()),
                ("provider.address", store.address.to_string()),
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
                ("limits.linkMbps", "1000".to_owned()),
            ]);
            let settings = deployment.folder.join(format!("{name}.ini"));
            fs::write(&settings, render(&template, &fields)?).map_err(|error| error.to_string())?;
            let log = deployment.folder.join(format!("{name}.log"));
            let mut node = Node { name, callers, ready, settings, log, process: None };
            node.start()?;
            deployment.nodes.push(node);
        }
        deployment.wait_until_ready()?;
        // Nodes that have just started learn of each other within some heartbeats.
        thread::sleep(Duration::from_secs(2));
        Ok(deployment)
    }

    /// Waits until all nodes that run say that they are ready.
    pub fn wait_until_ready(&self) -> SetupResult<()> {
        let deadline = Instant::now() + Duration::from_secs(20);
        for node in self.nodes.iter().filter(|node| node.process.is_some()) {
            while !node.is_ready() {
                if Instant::now() >= deadline {
                    return Err(format!("{} is not ready", node.name));
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }
}

impl Node {
    /// Starts the process.
    pub fn start(&mut self) -> SetupResult<()> {
        let log = File::options().create(true).append(true).open(&self.log).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let kept = ["PATH", "HOME", "LANG"].map(|name| (name, std::env::var(name).unwrap_or_default()));
        let process = Command::new("target/release/wasabipier")
            .arg("--settings")
            .arg(&self.settings)
            .env_clear()
            .envs(kept)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let process = process.map_err(|error| format!("the node does not start: {error}"))?;
        NODE_IDS.lock().expect("no thread panics with the lock").push(process.id());
        self.process = Some(process);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            // It may have ended already.
            let _ = process.kill();
            let _ = process.wait();
            NODE_IDS.lock().expect("no thread panics with the lock").retain(|id| *id != process.id());
        }
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = http::request("GET /-/readyz", &[("Host", "node"), ("Connection", "close")], "");
        http::call(self.ready, &request, Duration::from_millis(500)).is_ok_and(|response| response.status() == 200)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            // A folder that cannot be removed is left to the system.
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}
