//! The decision thread: a `stakker` loop around the core, fed by the edges through one channel.

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
use crate::input::{InputSender, NodeInput, Question};
use crate::ledger::LedgerEdge;
use crate::metering;
use crate::orders::OrderEdge;
use crate::part::NODE;
use crate::peers::PeerEdge;
use crate::platform;
use crate::ports::{LedgerPort, OrderPort, PeerPort, StorePort, TargetPort};
use crate::settings::NodeSettings;
use crate::signals;
use crate::store::StoreEdge;
use crate::targets::TargetEdge;

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address is taken or not this machine's.
    #[error("cannot listen at {address}: {detail}; choose a free address of this VM in the settings")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        detail: String,
    },
    /// The machine refuses something else.
    #[error("cannot start: {0}; check the VM's limits on threads and files")]
    System(#[from] std::io::Error),
}

/// Time between ticks of the core.
const TICK: Duration = Duration::from_millis(20);
/// Longest sleep of the decision thread.
const LONGEST_WAIT: Duration = Duration::from_millis(100);
/// Inputs handled before timers are looked at again.
const INPUTS_PER_TURN: usize = 256;

/// The borders of the decision thread.
struct NodePorts {
    /// Where the platform is, for operators who look charges up.
    platform: SocketAddr,
    targets: Box<dyn TargetPort>,
    peers: Box<dyn PeerPort>,
    store: Box<dyn StorePort>,
    orders: Box<dyn OrderPort>,
    ledger: Box<dyn LedgerPort>,
}

/// Drives the core and hands its actions to the edges.
struct NodeActor {
    core: NodeCore,
    ports: NodePorts,
    inputs: InputSender,
    started: Instant,
    last_call: u64,
    callers: BTreeMap<CallId, Sender<AnswerPart>>,
    operators: BTreeMap<CallId, Sender<PromoteAnswer>>,
}

impl NodeActor {
    #[expect(clippy::unnecessary_wraps, reason = "the signature that stakker asks for")]
    fn init(cx: CX![], config: NodeConfig, ports: NodePorts, inputs: InputSender, started: Instant) -> Option<Self> {
        let (core, actions) = NodeCore::new(config);
        let mut actor =
            Self { core, ports, inputs, started, last_call: 0, callers: BTreeMap::new(), operators: BTreeMap::new() };
        actor.act(cx, actions);
        actor.tick(cx);
        Some(actor)
    }

    fn tick(&mut self, cx: CX![]) {
        self.handle(cx, &Event::Tick);
        after!(TICK, [cx], tick());
    }

    fn input(&mut self, cx: CX![], input: NodeInput) {
        match input {
            NodeInput::Core(event) => self.handle(cx, &event),
            NodeInput::Ask(mut ask, sender) => {
                ask.call = self.next_call();
                self.callers.insert(ask.call, sender);
                self.handle(cx, &Event::Asked(ask));
            }
            NodeInput::Promote(document, sender) => {
                let call = self.next_call();
                self.operators.insert(call, sender);
                self.handle(cx, &Event::PromoteRequested(call, document));
            }
            NodeInput::Look(question) => self.answer(question),
            NodeInput::Hurry => self.hurry(cx),
        }
    }

    fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    fn hurry(&mut self, cx: CX![]) {
        let requests = self.core.board().requests.len();
        info!("{NODE} stopping at once on a second signal; {requests} requests are cut.");
        let cause = if requests == 0 { StopCause::Stopped } else { StopCause::Failed("cut".into()) };
        cx.shutdown(cause);
    }

    fn handle(&mut self, cx: CX![], event: &Event) {
        let now = Moment(self.started.elapsed().as_millis() as u64);
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let actions = self.core.handle(now, WallTime(wall.as_millis() as u64), event);
        self.act(cx, actions);
    }

    fn act(&mut self, cx: CX![], actions: Vec<Action>) {
        let mut gone = Vec::new();
        for action in actions {
            match action {
                Action::Send(order) => self.ports.targets.send(*order),
                Action::Cancel(attempt) => self.ports.targets.cancel(attempt),
                Action::Answer(call, part) => {
                    if !self.tell_caller(call, part) {
                        gone.push(call);
                    }
                }
                Action::SendToPeer(node, message) => self.ports.peers.tell(&node, *message),
                Action::Connect(node, address) => self.ports.peers.connect(node, address),
                Action::Disconnect(node) => self.ports.peers.disconnect(&node),
                Action::Store(ticket, op) => self.ports.store.send(ticket, *op),
                Action::Inspect(target, address) => self.ports.orders.inspect(target, address),
                Action::Order(order) => self.ports.orders.order(*order),
                Action::Parse(source) => parse(*source, self.inputs.clone()),
                Action::Charge(line) => self.ports.ledger.keep(*line),
                Action::Promoted(call, answer) => {
                    if let Some(sender) = self.operators.remove(&call) {
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
        for call in gone {
            call!([cx], input(NodeInput::Core(Event::CallerGone(call))));
        }
    }

    /// Passes a part of an answer on; tells whether its caller was still there.
    fn tell_caller(&mut self, call: CallId, part: AnswerPart) -> bool {
        let last = matches!(part, AnswerPart::Final(_));
        let Some(sender) = self.callers.get(&call) else { return true };
        let sent = sender.send(part).is_ok();
        if last || !sent {
            self.callers.remove(&call);
        }
        sent || last
    }

    fn answer(&self, question: Question) {
        let board = self.core.board();
        // An asker that is gone needs no answer.
        match question {
            Question::Addresses(sender) => {
                let _ = sender.send(self.addresses());
            }
            Question::Status(sender) => {
                let _ = sender.send(status(board, self.ports.platform));
            }
            Question::Document(sender) => {
                let document = &board.document;
                let _ = sender.send(DocumentReply {
                    revision: document.revision.0,
                    author: document.author.to_string(),
                    text: document.text.to_string(),
                });
            }
            Question::Burn(sender) => {
                let _ = sender.send(burn(board));
            }
            Question::Ready(sender) => {
                let _ = sender.send(self.core.addresses().contains(&board.identity.caller_address));
            }
            Question::Gauges(sender) => {
                metering::publish(board);
                let _ = sender.send(());
            }
        }
    }

    fn addresses(&self) -> AddressesReply {
        AddressesReply {
            addresses: self.core.addresses().iter().map(ToString::to_string).collect(),
            keep_for_ms: self.core.board().tuning.addresses_ttl.as_millis() as u64,
        }
    }
}

/// Parses a document on a thread of its own: a large one takes longer than a tick.
fn parse(source: DocumentSource, inputs: InputSender) {
    let spawned =
        thread::Builder::new().name("parse".to_owned()).spawn(move || match reparse_accepted_document(&source) {
            Ok(document) => {
                let _ = inputs.send(NodeInput::Core(Event::DocumentParsed(Arc::new(document))));
            }
            Err(faults) => warn!("{NODE} revision {} cannot be read: {faults}.", source.revision.0),
        });
    if let Err(error) = spawned {
        warn!("{NODE} no thread to parse a document: {error}.");
    }
}

fn status(board: &Blackboard, platform: SocketAddr) -> StatusReply {
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
    let standings = board.versions.candidate_statuses(&board.document.content);
    StatusReply {
        environment: board.document.content.environment.to_string(),
        platform,
        revision: board.document.revision.0,
        nodes: std::iter::once(own).chain(peers).collect(),
        rollouts: standings.iter().map(RolloutStatus::from).collect(),
    }
}

fn burn(board: &Blackboard) -> BurnReply {
    BurnReply {
        node: board.identity.node.to_string(),
        environment: board.document.content.environment.to_string(),
        revision: board.document.revision.0,
        covers_s: board.now.since(Moment::default()).as_secs(),
        rows: board.burn.rows(board.now).iter().map(WireBurnRow::from).collect(),
    }
}

/// Runs a node until it is stopped.
///
/// # Errors
///
/// An address cannot be bound, or the machine refuses threads.
pub fn run(settings: &NodeSettings) -> Result<ExitKind, StartError> {
    let (sender, receiver) = mpsc::channel();
    let config = NodeConfig {
        identity: settings.identity.clone(),
        tuning: settings.tuning.clone(),
        seed: settings.identity.instance.0,
        peers: settings.peers.clone(),
    };
    let metrics = metering::install();
    let ports = NodePorts {
        platform: settings.platform_address,
        targets: Box::new(TargetEdge::new(&settings.edges, sender.clone())),
        peers: Box::new(PeerEdge::start(settings, sender.clone())?),
        store: Box::new(StoreEdge::start(settings, &sender)?),
        orders: Box::new(OrderEdge::start(settings, sender.clone())?),
        ledger: Box::new(LedgerEdge::start(settings)?),
    };
    platform::start(settings, sender.clone())?;
    let open_calls = CallerEdge::start(settings, metrics, sender.clone())?;
    signals::start(sender.clone())?;
    let identity = &settings.identity;
    info!("{NODE} {} started in {} for callers at {}.", identity.node, identity.dc, identity.caller_address);
    let kind = turn(config, ports, sender, &receiver);
    if kind == ExitKind::Success {
        open_calls.wait();
    }
    Ok(kind)
}

fn turn(config: NodeConfig, ports: NodePorts, inputs: InputSender, receiver: &Receiver<NodeInput>) -> ExitKind {
    let started = Instant::now();
    let mut stakker = Stakker::new(started);
    let actor: ActorOwn<NodeActor> = actor!(&mut stakker, NodeActor::init(config, ports, inputs, started), ret_nop!());
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), LONGEST_WAIT, false);
        match receiver.recv_timeout(wait) {
            Ok(input) => call!([actor], input(input)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
        for input in receiver.try_iter().take(INPUTS_PER_TURN) {
            call!([actor], input(input));
        }
        stakker.run(Instant::now(), false);
    }
    match stakker.shutdown_reason() {
        Some(StopCause::Failed(_)) => ExitKind::Cut,
        _ => ExitKind::Success,
    }
}
