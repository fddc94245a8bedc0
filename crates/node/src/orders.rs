//! The edge to engines: asks them what they have loaded and sends them load orders. A load order tells an engine which
//! model, version and adapters to load.

use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use spdlog::{info, warn};
use wasabipier_core::action::LoadOrder;
use wasabipier_core::document::EngineSpec;
use wasabipier_core::event::OrderReply;
use wasabipier_core::prelude::*;
use wasabipier_wire::agent::ip_agent;
use wasabipier_wire::target::{LOAD_ORDERS_PATH, LoadOrderCall, STATE_PATH, WireLoadSpec};

use crate::log_prefix::ORDERS;
use crate::node_input::{InputSender, NodeInput};
use crate::ports::LoadOrderPort;
use crate::settings::NodeSettings;

/// Time within which an engine must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Task of the worker thread.
#[derive(Debug)]
enum LoadOrderTask {
    /// Asks the target at an address what it has loaded.
    FetchLoaded(TargetName, SocketAddr),
    /// Sends an order, unless the instant until which it is valid has passed.
    Order(LoadOrder, Instant),
}

/// Passes load orders and questions about the loaded model to a worker thread.
#[derive(Debug)]
pub struct LoadOrderEdge {
    tasks: Sender<LoadOrderTask>,
}

impl LoadOrderEdge {
    /// Starts the worker thread.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the thread.
    pub fn start(settings: &NodeSettings, inputs: InputSender) -> std::io::Result<Self> {
        let (tasks, receiver) = mpsc::channel();
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(ANSWER_TIMEOUT))
            .timeout_connect(Some(settings.edges.connect_timeout))
            .build();
        let worker = LoadOrderWorker { agent: ip_agent(config), inputs };
        thread::Builder::new().name("orders".to_owned()).spawn(move || worker.run(&receiver))?;
        Ok(Self { tasks })
    }
}

impl LoadOrderPort for LoadOrderEdge {
    fn fetch_loaded(&mut self, target: TargetName, address: SocketAddr) {
        let _ = self.tasks.send(LoadOrderTask::FetchLoaded(target, address));
    }

    fn send_order(&mut self, order: LoadOrder) {
        let valid_until = Instant::now() + order.valid_for;
        let _ = self.tasks.send(LoadOrderTask::Order(order, valid_until));
    }
}

/// Worker that carries out the tasks one after another.
struct LoadOrderWorker {
    agent: ureq::Agent,
    inputs: InputSender,
}

impl LoadOrderWorker {
    fn run(&self, tasks: &Receiver<LoadOrderTask>) {
        for task in tasks {
            let event = match task {
                LoadOrderTask::FetchLoaded(target, address) => {
                    let loaded = self.fetch_loaded(address);
                    Event::Inspected(target, loaded)
                }
                LoadOrderTask::Order(order, valid_until) => {
                    let reply = self.send_order(&order, valid_until);
                    Event::OrderAnswered(order.target, reply)
                }
            };
            if self.inputs.send(NodeInput::Core(event)).is_err() {
                return;
            }
        }
    }

    /// Returns what the engine at `address` has loaded, or `None` if there was no valid answer.
    fn fetch_loaded(&self, address: SocketAddr) -> Option<EngineSpec> {
        let answer = self.agent.get(format!("http://{address}{STATE_PATH}")).call();
        let state = answer.and_then(|mut response| response.body_mut().read_json::<WireLoadSpec>());
        state.ok().map(EngineSpec::from)
    }

    /// Sends an order, unless `valid_until` has passed.
    fn send_order(&self, order: &LoadOrder, valid_until: Instant) -> OrderReply {
        // After a pause of this process another node may hold the lease, so an expired order is not sent.
        if Instant::now() >= valid_until {
            warn!("{ORDERS} order to {} was dropped: its lease may have expired.", order.target);
            return OrderReply::Lost;
        }
        let call = LoadOrderCall { fencing: order.fencing, load: WireLoadSpec::from(&order.load) };
        info!("{ORDERS} order to {} is sent: load {} {}.", order.target, order.load.model, order.load.version);
        match self.agent.post(format!("http://{}{LOAD_ORDERS_PATH}", order.address)).send_json(&call) {
            Ok(_) => OrderReply::Accepted,
            Err(ureq::Error::StatusCode(409)) => OrderReply::Stale,
            Err(error) => {
                warn!("{ORDERS} order to {} failed: {error}.", order.target);
                OrderReply::Lost
            }
        }
    }
}
