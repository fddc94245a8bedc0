//! A node's core: the blackboard, which holds the node's state, and the controllers that change it. The core handles
//! one event at a time and returns the actions that follow from the event.

use crate::action::Action;
use crate::blackboard::{Blackboard, Identity};
use crate::claims::ClaimController;
use crate::clock::{Moment, WallTime};
use crate::controller::Controller;
use crate::deadlines::CapacityController;
use crate::dispatch::DispatchController;
use crate::documents::DocumentController;
use crate::event::Event;
use crate::harmful::HarmfulController;
use crate::intake::IntakeController;
use crate::leases::LeaseController;
use crate::lending::LendingController;
use crate::membership::MemberController;
use crate::message::NodeState;
use crate::names::NodeName;
use crate::orders::OrderController;
use crate::readiness::ReadinessController;
use crate::retries::RetryController;
use crate::rollouts::RolloutController;
use crate::seats::SeatController;
use crate::stages::StageController;
use crate::tuning::Tuning;
use crate::watches::WatchController;

/// Configuration that a node starts with.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name, instance and addresses of the node.
    pub identity: Identity,
    /// Time spans and limits of the node's decisions.
    pub tuning: Tuning,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Peers to connect to at the start. An entry for the node itself is ignored.
    pub peers: Vec<PeerSpec>,
}

/// Name and address of a peer, from the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSpec {
    /// Name of the peer's node.
    pub node: NodeName,
    /// Address for peers, by IP number.
    pub address: std::net::SocketAddr,
}

/// Decision logic and state of one node, without I/O.
#[derive(Debug)]
pub struct NodeCore {
    board: Blackboard,
    controllers: Vec<Box<dyn Controller>>,
}

impl NodeCore {
    /// Creates a node that has seen no event yet. Returns it with the actions that connect it to its peers.
    #[must_use]
    pub fn new(config: NodeConfig) -> (Self, Vec<Action>) {
        let mut board = Blackboard::new(config.identity, config.tuning, config.seed);
        let mut actions = Vec::new();
        for peer in config.peers.iter().filter(|peer| peer.node != board.identity.node) {
            board.members.add_or_update(&peer.node, peer.address, None);
            actions.push(Action::Connect(peer.node.clone(), peer.address));
        }
        board.members.iter_mut().for_each(|(_, member)| member.is_connected = true);
        // Each event goes through the controllers in this order: first those of the node's own state, of documents,
        // seats and leases; then those of requests, in the order in which a request passes through them.
        let controllers: Vec<Box<dyn Controller>> = vec![
            Box::<ReadinessController>::default(),
            Box::<DocumentController>::default(),
            Box::<SeatController>::default(),
            Box::<LeaseController>::default(),
            Box::<OrderController>::default(),
            Box::<CapacityController>::default(),
            Box::<IntakeController>::default(),
            Box::<StageController>::default(),
            Box::<WatchController>::default(),
            Box::<RetryController>::default(),
            Box::<HarmfulController>::default(),
            Box::<ClaimController>::default(),
            Box::<LendingController>::default(),
            Box::<DispatchController>::default(),
            Box::<RolloutController>::default(),
            Box::<MemberController>::default(),
        ];
        (Self { board, controllers }, actions)
    }

    /// Handles an event that happened at `now` and returns the resulting actions. If the time since the previous event
    /// exceeds `Tuning::pause_limit`, the controllers are told of the pause first.
    pub fn handle(&mut self, now: Moment, wall_time: WallTime, event: &Event) -> Vec<Action> {
        // `board.now` never decreases, so that a clock that steps back does not undo decisions.
        let has_paused =
            self.board.now > Moment::default() && now.since(self.board.now) > self.board.tuning.pause_limit;
        self.board.now = self.board.now.max(now);
        self.board.wall_time = wall_time;
        if has_paused {
            for controller in &mut self.controllers {
                controller.on_pause(&mut self.board);
            }
        }
        let mut out = Vec::new();
        if let Event::Store(ticket, reply) = event {
            let jitter = self.board.random.f64();
            let now = self.board.now;
            self.board.store.record_reply(reply, now, jitter);
            if let Some(purpose) = self.board.store.complete(*ticket) {
                for controller in &mut self.controllers {
                    controller.on_store(&mut self.board, &purpose, reply, &mut out);
                }
            }
        }
        for controller in &mut self.controllers {
            controller.on_event(&mut self.board, event, &mut out);
        }
        out
    }

    /// Returns the node's blackboard: its state after the last event.
    #[must_use]
    pub fn board(&self) -> &Blackboard {
        &self.board
    }

    /// Returns the addresses at which callers reach the nodes that are in state `Serving`, this node included.
    #[must_use]
    pub fn addresses(&self) -> Vec<std::net::SocketAddr> {
        let own = (self.board.state == NodeState::Serving).then_some(self.board.identity.caller_address);
        let peers = self.board.members.serving().map(|(_, heartbeat)| heartbeat.caller_address);
        own.into_iter().chain(peers).collect()
    }
}
