//! Environment for integration tests: stand-ins on threads of the test, and nodes as processes of the real binary.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde::de::DeserializeOwned;
use wasabipier_core::document::ServiceKind;
use wasabipier_wire::agent::ip_agent;
use wasabipier_wire::caller::{PromoteCall, PromoteReply, StatusReply};
use wasabipier_wire::platform::WireVm;

use crate::engine::FakeEngine;
use crate::faults::FaultSettings;
use crate::link::FaultyLink;
use crate::orders::LoadOrders;
use crate::platform::FakePlatform;
use crate::server::{FakeHandler, FakeServer};
use crate::service::FakeService;
use crate::target::TargetState;
pub use crate::test_caller::{TestAnswer, TestCaller, TestRequest, ask_at};
pub use crate::test_plan::{ServicePlan, TestPlan};

/// Key with which the nodes of an environment authenticate to each other.
pub const PEER_KEY: &str = "peers-test-key-0001";
/// Key with which operators authenticate to the nodes of an environment.
pub const OPERATOR_KEY: &str = "operators-test-key";
/// Time after which a wait for a condition, an answer or the end of a process fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Target of an environment, with its stand-in.
#[derive(Debug)]
pub struct TestTarget {
    /// Name of the target's service.
    pub service: &'static str,
    /// Version of the service that the target runs.
    pub version: String,
    /// Name of the target's data centre.
    pub dc: String,
    /// Address at which nodes reach the target.
    pub address: SocketAddr,
    server: FakeServer,
    handler: TargetHandler,
}

#[derive(Debug)]
enum TargetHandler {
    Engine(Arc<FakeEngine>),
    Service(Arc<FakeService>),
}

impl TestTarget {
    /// Returns the load orders of an engine; none for other targets.
    #[must_use]
    pub fn orders(&self) -> Option<&LoadOrders> {
        match &self.handler {
            TargetHandler::Engine(engine) => Some(&engine.orders),
            TargetHandler::Service(_) => None,
        }
    }

    /// Returns the load, faults and counters of the target.
    #[must_use]
    pub fn state(&self) -> &TargetState {
        match &self.handler {
            TargetHandler::Engine(engine) => &engine.state,
            TargetHandler::Service(service) => &service.state,
        }
    }
}

/// Node of an environment, whose process may or may not run.
#[derive(Debug)]
pub struct TestNode {
    /// Name of the node.
    pub name: String,
    /// Name of the node's data centre.
    pub dc: String,
    /// Address at which callers and operators reach the node.
    pub caller_address: SocketAddr,
    /// Address at which peers reach the node, which is that of `peer_link`.
    pub peer_address: SocketAddr,
    /// Link in front of the address at which the node listens for peers, for faults between nodes.
    pub peer_link: FaultyLink,
    peer_listen: SocketAddr,
    child: Option<Child>,
}

/// Running environment. A drop ends the processes and servers and removes the folder.
#[derive(Debug)]
pub struct TestEnv {
    /// Handler of the platform's stand-in.
    pub platform: Arc<FakePlatform>,
    /// Server of the platform's stand-in.
    pub platform_server: FakeServer,
    /// Targets by their names.
    pub targets: BTreeMap<String, TestTarget>,
    /// Nodes; methods take a node's index in this list.
    pub nodes: Vec<TestNode>,
    plan: TestPlan,
    folder: PathBuf,
    agent: ureq::Agent,
}

impl TestEnv {
    /// Starts stand-ins and nodes, promotes the plan's document and waits until all nodes serve. The document, an INI
    /// text, configures the services, targets and organisations of the environment.
    ///
    /// # Panics
    ///
    /// Panics if a stand-in or node cannot be started, or if not all nodes serve within 30 seconds.
    #[must_use]
    pub fn start(plan: TestPlan) -> Self {
        let (platform_server, platform) =
            FakeServer::start(next_address(), |_| FakePlatform::new(Duration::from_millis(500)))
                .expect("the platform starts");
        let folder = std::env::temp_dir().join(format!("wasabipier-{}-{}", std::process::id(), next_address().port()));
        fs::create_dir_all(&folder).expect("a folder can be made");
        let config =
            ureq::Agent::config_builder().http_status_as_error(false).timeout_global(Some(WAIT_TIMEOUT)).build();
        let agent = ip_agent(config);
        let nodes = (0..plan.node_count).map(|number| new_node(plan.region, number)).collect();
        let mut env = Self { platform, platform_server, targets: BTreeMap::new(), nodes, plan, folder, agent };
        for service in env.plan.services.clone() {
            for number in 1..=service.target_count {
                env.add_target(&format!("{}-{number}", service.name), &service, "v1", number);
            }
        }
        env.list_vms();
        for node in 0..env.nodes.len() {
            env.spawn(node);
        }
        // A seat is the right of a node to a fixed share of every target's limit. Nodes that know each other take one
        // seat each. Otherwise they would take more, and have to hand some over before all nodes serve.
        env.wait_until("all nodes know each other", |env| {
            (0..env.nodes.len())
                .all(|node| env.status(node).is_some_and(|status| status.nodes.len() == env.nodes.len()))
        });
        let revision = env.promote(0, &env.document());
        env.wait_until("all nodes serve", |env| env.all_nodes_serve(revision));
        env
    }

    /// Starts the stand-in of one more target, in the data centre at `dc_index` modulo 3.
    ///
    /// Nodes send work to the target once a promoted document names the target.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in cannot listen.
    pub fn add_target(&mut self, name: &str, service: &ServicePlan, version: &str, dc_index: usize) {
        let settings = service.settings.clone();
        let (server, handler) = if service.kind == ServiceKind::Generate {
            let started = FakeServer::start(next_address(), |link| FakeEngine::new(settings, link));
            started.map(|(server, engine)| (server, TargetHandler::Engine(engine)))
        } else {
            let started = FakeServer::start(next_address(), |link| FakeService::new(settings, link));
            started.map(|(server, service)| (server, TargetHandler::Service(service)))
        }
        .expect("a target starts");
        let target = TestTarget {
            service: service.name,
            version: version.to_owned(),
            dc: dc_name(self.plan.region, dc_index),
            address: server.address(),
            server,
            handler,
        };
        self.targets.insert(name.to_owned(), target);
    }

    /// Returns the plan's document with all targets added so far, as INI text.
    #[must_use]
    pub fn document(&self) -> String {
        let seats = self.plan.node_count.max(3);
        let mut text = format!("[environment]\nname = production\nseats = {seats}\n");
        let region = self.plan.region;
        for (org, weight) in self.plan.orgs {
            let _ = writeln!(text, "[organisation {org}]\nweight = {weight}");
        }
        for number in 0..3 {
            let dc = dc_name(region, number);
            let _ = writeln!(text, "[data-centre {dc}]\nregion = {region}\nadmission = open");
        }
        for service in &self.plan.services {
            let (name, kind, extra) = (service.name, service.kind, service.extra_lines);
            let repeatable = if service.repeatable { "yes" } else { "no" };
            let capacities = (service.settings.cold_capacity, service.settings.warm_capacity);
            let (cold, warm) = self.plan.concurrency_limit.map_or(capacities, |limit| (limit, limit));
            let _ = writeln!(text, "[service {name}]\nkind = {kind}\nrepeatable = {repeatable}\nstable = v1");
            let _ = writeln!(text, "cold_limit = {cold}\nwarm_limit = {warm}\n{extra}");
        }
        for (name, target) in &self.targets {
            let _ = writeln!(text, "[target {name}]\nservice = {}\nversion = {}", target.service, target.version);
            let _ = writeln!(text, "data_centre = {}\naddress = {}\nadmission = open", target.dc, target.address);
        }
        let stages: Vec<&str> = self
            .plan
            .services
            .iter()
            .filter(|service| service.kind != ServiceKind::Plain)
            .map(|service| service.name)
            .collect();
        if !stages.is_empty() {
            let _ = writeln!(text, "[pipeline {}]\nstages = {}", self.plan.pipeline, stages.join(" "));
        }
        text
    }

    /// Starts a node's process, without waiting until the node serves. A node that ran before starts as a new instance
    /// and appends to the same log.
    ///
    /// # Panics
    ///
    /// Panics if the settings or the log cannot be written, or if the binary cannot be started.
    pub fn spawn(&mut self, node: usize) {
        let settings = self.settings_text(node);
        let path = self.folder.join(format!("{}.ini", self.nodes[node].name));
        fs::write(&path, settings).expect("the settings can be written");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.nodes[node].name)))
            .expect("the log can be opened");
        let stderr_log = log.try_clone().expect("the log can be shared");
        let child = Command::new(self.plan.binary)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(stderr_log))
            .spawn()
            .expect("the node starts");
        self.nodes[node].child = Some(child);
    }

    /// Returns the settings of a node as INI text.
    fn settings_text(&self, node: usize) -> String {
        let own = &self.nodes[node];
        let mut text = format!(
            "[node]\nname = {}\ndata_centre = {}\nenvironment = production\ncaller_address = {}\npeer_address = {}\npeer_listen = {}\n",
            own.name, own.dc, own.caller_address, own.peer_address, own.peer_listen
        );
        let _ = writeln!(text, "[platform]\naddress = {}", self.platform_server.address());
        let _ = writeln!(text, "[keys]\npeers = {PEER_KEY}\noperators = {OPERATOR_KEY}\n[peers]");
        for peer in &self.nodes {
            let _ = writeln!(text, "{} = {}", peer.name, peer.peer_address);
        }
        let _ = writeln!(
            text,
            "[tuning]\n{}\n[edges]\ncaller_threads = 64\nvms_every_ms = 500\n{}",
            self.plan.tuning_lines, self.plan.edge_lines
        );
        text
    }

    /// Replaces the platform's VM list by all nodes, each as live.
    pub fn list_vms(&self) {
        let vms = self.nodes.iter().map(|node| WireVm {
            node: node.name.clone(),
            data_centre: node.dc.clone(),
            caller_address: node.caller_address,
            peer_address: node.peer_address,
            state: "live".to_owned(),
        });
        self.platform.set_vms(vms.collect());
    }

    /// Returns the process id of a node, or `None` if the node doesn't run.
    #[must_use]
    pub fn pid(&self, node: usize) -> Option<u32> {
        self.nodes[node].child.as_ref().map(Child::id)
    }

    /// Sends a signal to a node's process, without waiting for the effect.
    ///
    /// # Panics
    ///
    /// Panics if the node doesn't run.
    pub fn send_signal(&self, node: usize, signal: Signal) {
        let child = self.nodes[node].child.as_ref().expect("the node runs");
        let pid = Pid::from_child(child);
        kill_process(pid, signal).expect("the signal can be sent");
    }

    /// Kills a node's process and waits for its end; does nothing if the node doesn't run.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.nodes[node].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until a node's process has ended and returns its exit code; none if a signal ended the process.
    ///
    /// # Panics
    ///
    /// Panics if the node doesn't run, or if its process doesn't end within 30 seconds; the process is killed then.
    pub fn wait_for_exit(&mut self, node: usize) -> Option<i32> {
        let started = Instant::now();
        let mut child = self.nodes[node].child.take().expect("the node runs");
        while started.elapsed() < WAIT_TIMEOUT {
            if let Some(status) = child.try_wait().expect("the state of the process can be read") {
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
        }
        let _ = child.kill();
        let _ = child.wait();
        panic!("node {node} did not end within the timeout and was killed");
    }

    /// Promotes a document at a node, based on the revision in force there, and returns the new revision.
    ///
    /// # Panics
    ///
    /// Panics if the node doesn't answer within 30 seconds or doesn't accept the document.
    #[must_use]
    pub fn promote(&self, node: usize, text: &str) -> u64 {
        self.wait_until("the node answers", |env| env.status(node).is_some());
        let seen = self.status(node).map_or(0, |status| status.revision);
        match self.try_promote(node, seen, "tester", text) {
            Some(PromoteReply::Accepted { revision }) => revision,
            other => panic!("the document was not accepted: {other:?}"),
        }
    }

    /// Promotes a document at a node, based on revision `seen`, and returns the reply; none if there was no valid one.
    #[must_use]
    pub fn try_promote(&self, node: usize, seen: u64, author: &str, text: &str) -> Option<PromoteReply> {
        let call = PromoteCall { seen, author: author.to_owned(), text: text.to_owned() };
        let url = format!("http://{}/v1/operator/promote", self.nodes[node].caller_address);
        let answer = self.agent.post(&url).header("authorization", format!("Bearer {OPERATOR_KEY}")).send_json(&call);
        answer.and_then(|mut response| response.body_mut().read_json()).ok()
    }

    /// Returns the status that a node reports to operators; none if the node doesn't answer.
    #[must_use]
    pub fn status(&self, node: usize) -> Option<StatusReply> {
        self.get(node, "v1/operator/status")
    }

    /// Gets JSON from a path of a node, with the operators' key; none if there was no valid answer.
    #[must_use]
    pub fn get<T: DeserializeOwned>(&self, node: usize, path: &str) -> Option<T> {
        let url = format!("http://{}/{path}", self.nodes[node].caller_address);
        let answer = self.agent.get(&url).header("authorization", format!("Bearer {OPERATOR_KEY}")).call();
        answer.and_then(|mut response| response.body_mut().read_json()).ok()
    }

    /// Returns whether each running node reports that all running nodes serve at `revision` or later and hold a seat.
    fn all_nodes_serve(&self, revision: u64) -> bool {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].child.is_some()).all(|node| {
            self.status(node).is_some_and(|status| {
                let is_ready = |node: &wasabipier_wire::caller::NodeStatus| {
                    node.revision >= revision && node.state == "serving" && !node.seats.is_empty()
                };
                status.nodes.len() == self.running_node_count() && status.nodes.iter().all(is_ready)
            })
        })
    }

    /// Returns the number of nodes that [`Self::spawn`] has started, without those that [`Self::kill`] or
    /// [`Self::wait_for_exit`] has ended since.
    #[must_use]
    pub fn running_node_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.child.is_some()).count()
    }

    /// Waits until `condition` returns true; `description` names the condition in the panic message.
    ///
    /// # Panics
    ///
    /// Panics if the condition isn't true within 30 seconds, after printing each node's status and log.
    pub fn wait_until(&self, description: &str, condition: impl Fn(&Self) -> bool) {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if condition(self) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        for (number, node) in self.nodes.iter().enumerate() {
            eprintln!("--- {}\n{:?}\n{}", node.name, self.status(number), self.log(&node.name));
        }
        panic!("not true within the timeout: {description}");
    }

    /// Returns the log that a node has written so far; empty if the node never ran.
    #[must_use]
    pub fn log(&self, node: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{node}.log"))).unwrap_or_default()
    }

    /// Returns the folder of the nodes' settings and logs, where a test may write files. A drop removes the folder.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Sends a request of `lions` to a node and reads the answer; `goal` is `pipelines/NAME` or `services/NAME`. The
    /// deadline is six seconds.
    #[must_use]
    pub fn ask(&self, node: usize, goal: &str, request_id: &str, body: &str) -> TestAnswer {
        ask_at(&self.agent, self.nodes[node].caller_address, &TestRequest::new(goal, request_id, body))
    }

    /// Sends a request of `lions` with the given deadline to a node and reads the answer.
    #[must_use]
    pub fn ask_within(&self, node: usize, goal: &str, request_id: &str, body: &str, deadline: Duration) -> TestAnswer {
        let request = TestRequest { deadline, ..TestRequest::new(goal, request_id, body) };
        ask_at(&self.agent, self.nodes[node].caller_address, &request)
    }

    /// Creates a caller that gets the addresses of nodes from the nodes. Callers with consecutive `number`s begin at
    /// different nodes.
    #[must_use]
    pub fn create_caller(&self, number: usize) -> TestCaller {
        let addresses = self.nodes.iter().map(|node| node.caller_address).collect();
        TestCaller::new(&self.agent, addresses, number)
    }

    /// Replaces the injected faults of all targets of a service, also of those with another version.
    pub fn set_service_faults(&self, service: &str, faults: &FaultSettings) {
        for target in self.targets.values().filter(|target| target.service == service) {
            target.state().faults.set(faults.clone());
        }
    }

    /// Replaces the injected faults of the platform.
    pub fn set_platform_faults(&self, faults: &FaultSettings) {
        self.platform.faults().set(faults.clone());
    }

    /// Returns whether a request of `lions` has a claim in the table service, the row by which one node reserves the
    /// run of a request that must not run twice.
    #[must_use]
    pub fn is_claimed(&self, request_id: &str) -> bool {
        let end = format!("lions/{request_id}");
        self.platform.with_table(|table| table.rows().any(|(key, _)| key.ends_with(&end)))
    }

    /// Returns how often a request of `lions` ran at the targets of a service, in total.
    #[must_use]
    pub fn count_runs(&self, service: &str, request_id: &str) -> u32 {
        let key = format!("lions/{request_id}");
        let targets = self.targets.values().filter(|target| target.service == service);
        targets.map(|target| target.state().runs().get(&key).copied().unwrap_or_default()).sum()
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        for node in 0..self.nodes.len() {
            self.kill(node);
        }
        self.platform_server.stop();
        for target in self.targets.values() {
            target.server.stop();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the name of the data centre at `index` modulo 3.
fn dc_name(region: &str, index: usize) -> String {
    format!("{region}-{}", ["a", "b", "c"][index % 3])
}

fn new_node(region: &str, index: usize) -> TestNode {
    let peer_listen = next_address();
    let peer_link = FaultyLink::start(next_address(), peer_listen).expect("a link can be set up");
    TestNode {
        name: format!("entry-{}", index + 1),
        dc: dc_name(region, index),
        caller_address: next_address(),
        peer_address: peer_link.address(),
        peer_link,
        peer_listen,
        child: None,
    }
}

/// Returns a loopback address that no other socket uses.
///
/// The IP address is derived from the process id, so that test processes don't collide. The port counts up from 10,000,
/// below the ports that the kernel assigns to outgoing connections.
#[must_use]
pub fn next_address() -> SocketAddr {
    const FIRST_PORT: u16 = 10_000;
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 64 + high % 64, middle, low], NEXT.fetch_add(1, Ordering::SeqCst)))
}
