//! The decision thread: a `stakker` loop that passes inputs from the edges to the core and carries out its actions.
//!
//! All edges send their inputs through one channel.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use spdlog::{info, warn};
use stakker::{ActorOwn, CX, Stakker, StopCause, actor, after, call, ret_nop};
use wasabipier_core::action::DocumentSource;
use wasabipier_core::prelude::*;
use wasabipier_wire::burn::{BurnReply, WireBurnRow};
use wasabipier_wire::caller::{AddressesReply, DocumentReply, NodeStatus, RolloutStatus, StatusReply};

use wasabipier_wire::row::reparse_accepted_document;

use crate::callers::CallerEdge;
use crate::exit::ExitKind;
use crate::ledger::LedgerEdge;
use crate::log_prefix::NODE;
use crate::node_input::{InputSender, NodeInput, NodeQuery};
use crate::node_metrics;
use crate::orders::LoadOrderEdge;
use crate::peers::PeerEdge;
use crate::platform;
use crate::ports::{LedgerPort, LoadOrderPort, PeerPort, StorePort, TargetPort};
use crate::settings::NodeSettings;
use crate::signals;
use crate::store::StoreEdge;
use crate::targets::TargetEdge;

/// Errors that keep a node from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address is in use or does not belong to this machine.
    #[error("cannot listen at {address}: {detail}; choose a free address of this VM in the settings")]
    Listen {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        detail: String,
    },
    /// The operating system refused a thread or another resource.
    #[error("cannot start: {0}; check the VM's limits on threads and files")]
    System(#[from] std::io::Error),
}

/// Interval between ticks, the events by which the core notices that time has passed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time that the decision thread waits for an input.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Most further inputs that are handled after the first one before timers are checked again.
const MAX_INPUTS_PER_TURN: usize = 256;

/// Ports through which the decision thread reaches the edges.
struct NodePorts {
    /// Address of the platform, reported to operators so that they can look up charges there.
    platform: SocketAddr,
    targets: Box<dyn TargetPort>,
    peers: Box<dyn PeerPort>,
    store: Box<dyn StorePort>,
    orders: Box<dyn LoadOrderPort>,
    ledger: Box<dyn LedgerPort>,
}

/// Actor that drives the core and passes its actions to the edges.
struct NodeActor {
    core: NodeCore,
    ports: NodePorts,
    inputs: InputSender,
    started_at: Instant,
    /// Number of the last id that was given to a caller's request or a promotion.
    last_call_id: u64,
    /// Channels for the answers to callers' requests in progress.
    answer_senders: BTreeMap<CallId, Sender<AnswerPart>>,
    /// Channels for the results of promotions in progress.
    promotion_senders: BTreeMap<CallId, Sender<PromoteAnswer>>,
}

impl NodeActor {
    #[expect(clippy::unnecessary_wraps, reason = "stakker requires this signature")]
    fn init(cx: CX![], config: NodeConfig, ports: NodePorts, inputs: InputSender, started_at: Instant) -> Option<Self> {
        let (core, actions) = NodeCore::new(config);
        let mut actor = Self {
            core,
            ports,
            inputs,
            started_at,
            last_call_id: 0,
            answer_senders: BTreeMap::new(),
            promotion_senders: BTreeMap::new(),
        };
        actor.perform_actions(cx, actions);
        actor.tick(cx);
        Some(actor)
    }

    fn tick(&mut self, cx: CX![]) {
        self.handle_event(cx, &Event::Tick);
        after!(TICK_INTERVAL, [cx], tick());
    }

    fn handle_input(&mut self, cx: CX![], input: NodeInput) {
        match input {
            NodeInput::Core(event) => self.handle_event(cx, &event),
            NodeInput::Request(mut request, sender) => {
                request.call = self.allocate_call_id();
                self.answer_senders.insert(request.call, sender);
                self.handle_event(cx, &Event::RequestReceived(request));
            }
            NodeInput::Promote(document, sender) => {
                let call = self.allocate_call_id();
                self.promotion_senders.insert(call, sender);
                self.handle_event(cx, &Event::PromoteRequested(call, document));
            }
            NodeInput::Query(query) => self.answer_query(query),
            NodeInput::StopNow => self.stop_now(cx),
        }
    }

    fn allocate_call_id(&mut self) -> CallId {
        self.last_call_id += 1;
        CallId(self.last_call_id)
    }

    fn stop_now(&mut self, cx: CX![]) {
        let open_count = self.core.board().requests.len();
        info!("{NODE} stopping at once on a second signal; {open_count} requests are cut.");
        let cause = if open_count == 0 { StopCause::Stopped } else { StopCause::Failed("cut".into()) };
        cx.shutdown(cause);
    }

    fn handle_event(&mut self, cx: CX![], event: &Event) {
        let now = Moment(self.started_at.elapsed().as_millis() as u64);
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let actions = self.core.handle(now, WallTime(wall.as_millis() as u64), event);
        self.perform_actions(cx, actions);
    }

    fn perform_actions(&mut self, cx: CX![], actions: Vec<Action>) {
        let mut closed_calls = Vec::new();
        for action in actions {
            match action {
                Action::Send(request) => self.ports.targets.send(*request),
                Action::Cancel(attempt) => self.ports.targets.cancel(attempt),
                Action::Answer(call, part) => {
                    if !self.send_to_caller(call, part) {
                        closed_calls.push(call);
                    }
                }
                Action::SendToPeer(node, message) => self.ports.peers.send(&node, *message),
                Action::Connect(node, address) => self.ports.peers.connect(node, address),
                Action::Disconnect(node) => self.ports.peers.disconnect(&node),
                Action::Store(ticket, op) => self.ports.store.send(ticket, *op),
                Action::Inspect(target, address) => self.ports.orders.fetch_loaded(target, address),
                Action::SendLoadOrder(order) => self.ports.orders.send_order(*order),
                Action::Parse(source) => parse_document(*source, self.inputs.clone()),
                Action::Charge(line) => self.ports.ledger.append(*line),
                Action::AnswerPromotion(call, answer) => {
                    if let Some(sender) = self.promotion_senders.remove(&call) {
                        let _ = sender.send(answer);
                    }
                }
                Action::Stopped => {
                    self.ports.ledger.flush();
                    info!("{NODE} all work has ended; stopping.");
                    cx.shutdown(StopCause::Stopped);
                }
            }
        }
        for call in closed_calls {
            call!([cx], handle_input(NodeInput::Core(Event::CallerGone(call))));
        }
    }

    /// Sends part of an answer to the thread that serves the caller. Returns `false` if that thread has stopped waiting
    /// before the last part, as after the caller hung up.
    fn send_to_caller(&mut self, call: CallId, part: AnswerPart) -> bool {
        let is_last = matches!(part, AnswerPart::Final(_));
        let Some(sender) = self.answer_senders.get(&call) else { return true };
        let is_sent = sender.send(part).is_ok();
        if is_last || !is_sent {
            self.answer_senders.remove(&call);
        }
        is_sent || is_last
    }

    fn answer_query(&self, query: NodeQuery) {
        let board = self.core.board();
        // A failed send means that the asking thread has stopped waiting; nobody needs the answer then.
        match query {
            NodeQuery::Addresses(sender) => {
                let _ = sender.send(self.build_addresses_reply());
            }
            NodeQuery::Status(sender) => {
                let _ = sender.send(build_status_reply(board, self.ports.platform));
            }
            NodeQuery::Document(sender) => {
                let document = &board.document;
                let _ = sender.send(DocumentReply {
                    revision: document.revision.0,
                    author: document.author.to_string(),
                    text: document.text.to_string(),
                });
            }
            NodeQuery::Burn(sender) => {
                let _ = sender.send(build_burn_reply(board));
            }
            NodeQuery::Ready(sender) => {
                let _ = sender.send(self.core.addresses().contains(&board.identity.caller_address));
            }
            NodeQuery::Gauges(sender) => {
                node_metrics::publish(board);
                let _ = sender.send(());
            }
        }
    }

    fn build_addresses_reply(&self) -> AddressesReply {
        AddressesReply {
            addresses: self.core.addresses().iter().map(ToString::to_string).collect(),
            keep_for_ms: self.core.board().tuning.addresses_ttl.as_millis() as u64,
        }
    }
}

/// Parses a document on a separate thread, since parsing a large document takes longer than a tick.
fn parse_document(source: DocumentSource, inputs: InputSender) {
    let spawned =
        thread::Builder::new().name("parse".to_owned()).spawn(move || match reparse_accepted_document(&source) {
            Ok(document) => {
                let _ = inputs.send(NodeInput::Core(Event::DocumentParsed(Arc::new(document))));
            }
            Err(faults) => warn!("{NODE} document revision {} could not be parsed: {faults}.", source.revision.0),
        });
    if let Err(error) = spawned {
        warn!("{NODE} thread to parse a document could not be started: {error}.");
    }
}

fn build_status_reply(board: &Blackboard, platform: SocketAddr) -> StatusReply {
    let own = NodeStatus {
        node: board.identity.node.to_string(),
        data_centre: board.identity.dc.to_string(),
        caller_address: board.identity.caller_address,
        state: board.state.to_string(),
        revision: board.document.revision.0,
        seats: board.permits.seats().iter().map(|claim| claim.seat).collect(),
    };
    let peers = board.members.alive().map(|(node, beat)| NodeStatus {
        node: node.to_string(),
        data_centre: beat.dc.to_string(),
        caller_address: beat.caller_address,
        state: beat.state.to_string(),
        revision: beat.revision.0,
        seats: beat.seats.iter().map(|claim| claim.seat).collect(),
    });
    let candidates = board.versions.candidate_statuses(&board.document.content);
    StatusReply {
        environment: board.document.content.environment.to_string(),
        platform,
        revision: board.document.revision.0,
        nodes: std::iter::once(own).chain(peers).collect(),
        rollouts: candidates.iter().map(RolloutStatus::from).collect(),
    }
}

fn build_burn_reply(board: &Blackboard) -> BurnReply {
    BurnReply {
        node: board.identity.node.to_string(),
        environment: board.document.content.environment.to_string(),
        revision: board.document.revision.0,
        covers_s: board.now.since(Moment::default()).as_secs(),
        rows: board.burn.rows(board.now).iter().map(WireBurnRow::from).collect(),
    }
}

/// Runs a node until it is stopped and returns the kind of exit.
///
/// # Errors
///
/// Fails if an address cannot be bound or the operating system refuses a thread.
pub fn run(settings: &NodeSettings) -> Result<ExitKind, StartError> {
    let (sender, receiver) = mpsc::channel();
    let config = NodeConfig {
        identity: settings.identity.clone(),
        tuning: settings.tuning.clone(),
        seed: settings.identity.instance.0,
        peers: settings.peers.clone(),
    };
    let metrics = node_metrics::install_recorder();
    let ports = NodePorts {
        platform: settings.platform_address,
        targets: Box::new(TargetEdge::new(&settings.edges, sender.clone())),
        peers: Box::new(PeerEdge::start(settings, sender.clone())?),
        store: Box::new(StoreEdge::start(settings, &sender)?),
        orders: Box::new(LoadOrderEdge::start(settings, sender.clone())?),
        ledger: Box::new(LedgerEdge::start(settings)?),
    };
    platform::spawn_vm_list_reader(settings, sender.clone())?;
    let open_requests = CallerEdge::start(settings, metrics, sender.clone())?;
    signals::spawn_signal_thread(sender.clone())?;
    let identity = &settings.identity;
    info!("{NODE} {} started in {} for callers at {}.", identity.node, identity.dc, identity.caller_address);
    let kind = run_event_loop(config, ports, sender, &receiver);
    if kind == ExitKind::Success {
        open_requests.wait_until_written();
    }
    Ok(kind)
}

/// Passes inputs to the actor until it shuts down. Returns [`ExitKind::Interrupted`] if requests were cut.
fn run_event_loop(
    config: NodeConfig,
    ports: NodePorts,
    inputs: InputSender,
    receiver: &Receiver<NodeInput>,
) -> ExitKind {
    let started_at = Instant::now();
    let mut stakker = Stakker::new(started_at);
    let actor: ActorOwn<NodeActor> =
        actor!(&mut stakker, NodeActor::init(config, ports, inputs, started_at), ret_nop!());
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, false);
        match receiver.recv_timeout(wait) {
            Ok(input) => call!([actor], handle_input(input)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
        for input in receiver.try_iter().take(MAX_INPUTS_PER_TURN) {
            call!([actor], handle_input(input));
        }
        stakker.run(Instant::now(), false);
    }
    match stakker.shutdown_reason() {
        Some(StopCause::Failed(_)) => ExitKind::Interrupted,
        _ => ExitKind::Success,
    }
}
