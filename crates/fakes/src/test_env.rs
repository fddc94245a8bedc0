//! A whole environment for integration tests: stand-ins on threads, nodes as processes of the real binary.

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
use crate::orders::OrderBook;
use crate::platform::FakePlatform;
use crate::server::{FakeHandler, FakeServer};
use crate::service::FakeService;
use crate::target::TargetState;
pub use crate::test_caller::{TestAnswer, TestAsk, TestCaller, ask_at};
pub use crate::test_plan::{ServicePlan, TestPlan};

/// Key that nodes of a test show each other.
pub const PEER_KEY: &str = "peers-test-key-0001";
/// Key that operators show in tests.
pub const OPERATOR_KEY: &str = "operators-test-key";
/// Longest wait for something that must come.
const PATIENCE: Duration = Duration::from_secs(30);
/// Interval of looks for it.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// One target's stand-in.
#[derive(Debug)]
pub struct TestTarget {
    /// Service.
    pub service: &'static str,
    /// Version.
    pub version: String,
    /// Data centre.
    pub dc: String,
    /// Address.
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
    /// Orders of an engine's stand-in; none for others.
    #[must_use]
    pub fn orders(&self) -> Option<&OrderBook> {
        match &self.handler {
            TargetHandler::Engine(engine) => Some(&engine.orders),
            TargetHandler::Service(_) => None,
        }
    }

    /// State of the stand-in.
    #[must_use]
    pub fn state(&self) -> &TargetState {
        match &self.handler {
            TargetHandler::Engine(engine) => &engine.state,
            TargetHandler::Service(service) => &service.state,
        }
    }
}

/// One node.
#[derive(Debug)]
pub struct TestNode {
    /// Name.
    pub name: String,
    /// Data centre.
    pub dc: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Link in front of the address at which the node listens for peers.
    pub peer_link: FaultyLink,
    peer_listen: SocketAddr,
    child: Option<Child>,
}

/// A running environment; dropping it ends the processes that it started.
#[derive(Debug)]
pub struct TestEnv {
    /// The platform.
    pub platform: Arc<FakePlatform>,
    /// The platform's server.
    pub platform_server: FakeServer,
    /// Targets by name.
    pub targets: BTreeMap<String, TestTarget>,
    /// Nodes.
    pub nodes: Vec<TestNode>,
    plan: TestPlan,
    folder: PathBuf,
    agent: ureq::Agent,
}

impl TestEnv {
    /// Starts stand-ins and nodes, promotes the plan's document and waits until all nodes serve.
    ///
    /// # Panics
    ///
    /// Something cannot be started, or does not serve in time.
    #[must_use]
    pub fn start(plan: TestPlan) -> Self {
        let (platform_server, platform) =
            FakeServer::start(next_address(), |_| FakePlatform::new(Duration::from_millis(500)))
                .expect("the platform starts");
        let folder = std::env::temp_dir().join(format!("wasabipier-{}-{}", std::process::id(), next_address().port()));
        fs::create_dir_all(&folder).expect("a folder can be made");
        let config = ureq::Agent::config_builder().http_status_as_error(false).timeout_global(Some(PATIENCE)).build();
        let agent = ip_agent(config);
        let nodes = (0..plan.nodes).map(|number| new_node(plan.region, number)).collect();
        let mut env = Self { platform, platform_server, targets: BTreeMap::new(), nodes, plan, folder, agent };
        for service in env.plan.services.clone() {
            for number in 1..=service.targets {
                env.add_target(&format!("{}-{number}", service.name), &service, "v1", number);
            }
        }
        env.list_vms();
        for node in 0..env.nodes.len() {
            env.spawn(node);
        }
        // Nodes that know of each other take one seat each; else they would have to hand some over first.
        env.wait_until("all nodes know each other", |env| {
            (0..env.nodes.len())
                .all(|node| env.status(node).is_some_and(|status| status.nodes.len() == env.nodes.len()))
        });
        let revision = env.promote(0, &env.document());
        env.wait_until("all nodes serve", |env| env.all_serve(revision));
        env
    }

    /// Starts the stand-in of one more target; a document must name it before it gets work.
    ///
    /// # Panics
    ///
    /// It cannot listen.
    pub fn add_target(&mut self, name: &str, service: &ServicePlan, version: &str, number: usize) {
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
            dc: dc_name(self.plan.region, number),
            address: server.address(),
            server,
            handler,
        };
        self.targets.insert(name.to_owned(), target);
    }

    /// The document of the plan with all targets that run.
    #[must_use]
    pub fn document(&self) -> String {
        let seats = self.plan.nodes.max(3);
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
            let (name, kind, extra) = (service.name, service.kind, service.extra);
            let repeatable = if service.repeatable { "yes" } else { "no" };
            let bears = (service.settings.cold_bears, service.settings.warm_bears);
            let (cold, warm) = self.plan.limit.map_or(bears, |limit| (limit, limit));
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

    /// Starts a node's process, with a new instance if it ran before.
    ///
    /// # Panics
    ///
    /// It cannot be started.
    pub fn spawn(&mut self, node: usize) {
        let settings = self.settings(node);
        let path = self.folder.join(format!("{}.ini", self.nodes[node].name));
        fs::write(&path, settings).expect("the settings can be written");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.nodes[node].name)))
            .expect("the log can be opened");
        let errors = log.try_clone().expect("the log can be shared");
        let child = Command::new(self.plan.binary)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .expect("the node starts");
        self.nodes[node].child = Some(child);
    }

    fn settings(&self, node: usize) -> String {
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
            self.plan.tuning, self.plan.edges
        );
        text
    }

    /// Shows all nodes as live in the VM list.
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

    /// Number of a node's process.
    #[must_use]
    pub fn pid(&self, node: usize) -> Option<u32> {
        self.nodes[node].child.as_ref().map(Child::id)
    }

    /// Sends a signal to a node's process.
    ///
    /// # Panics
    ///
    /// The node does not run.
    pub fn signal(&self, node: usize, signal: Signal) {
        let child = self.nodes[node].child.as_ref().expect("the node runs");
        let pid = Pid::from_child(child);
        kill_process(pid, signal).expect("the signal can be sent");
    }

    /// Kills a node at once.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.nodes[node].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until a node's process has ended; gives its exit code.
    ///
    /// # Panics
    ///
    /// It does not end in time.
    pub fn wait_for_exit(&mut self, node: usize) -> Option<i32> {
        let started = Instant::now();
        let mut child = self.nodes[node].child.take().expect("the node runs");
        while started.elapsed() < PATIENCE {
            if let Some(status) = child.try_wait().expect("the process can be looked at") {
                return status.code();
            }
            thread::sleep(LOOK_EVERY);
        }
        let _ = child.kill();
        let _ = child.wait();
        panic!("node {node} did not end in time");
    }

    /// Promotes a document at a node, as the successor of the revision in force there; gives the revision.
    ///
    /// # Panics
    ///
    /// It is not accepted.
    #[must_use]
    pub fn promote(&self, node: usize, text: &str) -> u64 {
        self.wait_until("the node answers", |env| env.status(node).is_some());
        let seen = self.status(node).map_or(0, |status| status.revision);
        match self.try_promote(node, seen, "tester", text) {
            Some(PromoteReply::Accepted { revision }) => revision,
            other => panic!("not accepted: {other:?}"),
        }
    }

    /// Promotes a document and gives the reply.
    #[must_use]
    pub fn try_promote(&self, node: usize, seen: u64, author: &str, text: &str) -> Option<PromoteReply> {
        let call = PromoteCall { seen, author: author.to_owned(), text: text.to_owned() };
        let url = format!("http://{}/v1/operator/promote", self.nodes[node].caller_address);
        let answer = self.agent.post(&url).header("authorization", format!("Bearer {OPERATOR_KEY}")).send_json(&call);
        answer.and_then(|mut response| response.body_mut().read_json()).ok()
    }

    /// What a node knows.
    #[must_use]
    pub fn status(&self, node: usize) -> Option<StatusReply> {
        self.get(node, "v1/operator/status")
    }

    /// Asks a node for JSON, with the operators' key.
    #[must_use]
    pub fn get<T: DeserializeOwned>(&self, node: usize, path: &str) -> Option<T> {
        let url = format!("http://{}/{path}", self.nodes[node].caller_address);
        let answer = self.agent.get(&url).header("authorization", format!("Bearer {OPERATOR_KEY}")).call();
        answer.and_then(|mut response| response.body_mut().read_json()).ok()
    }

    fn all_serve(&self, revision: u64) -> bool {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].child.is_some()).all(|node| {
            self.status(node).is_some_and(|status| {
                let ready = |node: &wasabipier_wire::caller::NodeStatus| {
                    node.revision >= revision && node.state == "serving" && !node.seats.is_empty()
                };
                status.nodes.len() == self.running() && status.nodes.iter().all(ready)
            })
        })
    }

    /// Nodes whose processes run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.nodes.iter().filter(|node| node.child.is_some()).count()
    }

    /// Waits until something holds.
    ///
    /// # Panics
    ///
    /// It does not hold in time; the nodes' logs are printed.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            if holds(self) {
                return;
            }
            thread::sleep(LOOK_EVERY);
        }
        for (number, node) in self.nodes.iter().enumerate() {
            eprintln!("--- {}\n{:?}\n{}", node.name, self.status(number), self.log(&node.name));
        }
        panic!("in vain: {what}");
    }

    /// Log of a node so far.
    #[must_use]
    pub fn log(&self, node: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{node}.log"))).unwrap_or_default()
    }

    /// A folder of this environment, removed with it.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Asks a node as a caller does; `goal` is `pipelines/NAME` or `services/NAME`.
    #[must_use]
    pub fn ask(&self, node: usize, goal: &str, request: &str, body: &str) -> TestAnswer {
        ask_at(&self.agent, self.nodes[node].caller_address, &TestAsk::new(goal, request, body))
    }

    /// Asks with a deadline.
    #[must_use]
    pub fn ask_within(&self, node: usize, goal: &str, request: &str, body: &str, deadline: Duration) -> TestAnswer {
        let ask = TestAsk { deadline, ..TestAsk::new(goal, request, body) };
        ask_at(&self.agent, self.nodes[node].caller_address, &ask)
    }

    /// A caller that finds its nodes by asking for addresses.
    #[must_use]
    pub fn caller(&self, number: usize) -> TestCaller {
        let known = self.nodes.iter().map(|node| node.caller_address).collect();
        TestCaller::new(&self.agent, known, number)
    }

    /// Switches faults of all targets of a service.
    pub fn fault(&self, service: &str, faults: &FaultSettings) {
        for target in self.targets.values().filter(|target| target.service == service) {
            target.state().faults.set(faults.clone());
        }
    }

    /// Switches faults of the platform.
    pub fn platform_fault(&self, faults: &FaultSettings) {
        self.platform.faults().set(faults.clone());
    }

    /// Whether a request of `lions` has a claim in the table service.
    #[must_use]
    pub fn is_claimed(&self, request: &str) -> bool {
        let end = format!("lions/{request}");
        self.platform.with_table(|table| table.rows().any(|(key, _)| key.ends_with(&end)))
    }

    /// How often a request of `lions` ran at the targets of a service.
    #[must_use]
    pub fn runs(&self, service: &str, request: &str) -> u32 {
        let key = format!("lions/{request}");
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

fn dc_name(region: &str, number: usize) -> String {
    format!("{region}-{}", ["a", "b", "c"][number % 3])
}

fn new_node(region: &str, number: usize) -> TestNode {
    let peer_listen = next_address();
    let peer_link = FaultyLink::start(next_address(), peer_listen).expect("a link can be set up");
    TestNode {
        name: format!("entry-{}", number + 1),
        dc: dc_name(region, number),
        caller_address: next_address(),
        peer_address: peer_link.address(),
        peer_link,
        peer_listen,
        child: None,
    }
}

/// An address that nothing else uses: the loopback IP number is this process's own, and the port is
/// below those that the kernel gives to outgoing connections.
#[must_use]
pub fn next_address() -> SocketAddr {
    const FIRST_PORT: u16 = 10_000;
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 64 + high % 64, middle, low], NEXT.fetch_add(1, Ordering::SeqCst)))
}
