//! Which node batches the pieces of a request.
//!
//! In a small fleet one node batches all pieces of a service. In a large one there is a batching node for each service and
//! data centre, which calls the targets of that data centre only, so that no node's work grows with the fleet and results
//! stay where they are needed. Pieces go to the data centre of their request, or to others if its queue is long.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::message::NodeState;
use crate::names::{DcName, NodeName, ServiceName};
use crate::relay::board::RelayBoard;
use crate::relay::members::{CallVersion, PeerView, rendezvous_weight};
use crate::relay::pieces::QueueWait;

/// What the choice of a batching node depends on.
#[derive(Clone, Copy, Debug)]
pub struct PieceScope<'a> {
    /// Service that makes the pieces.
    pub service: &'a ServiceName,
    /// Data centre in which the results are needed, if it is known.
    pub wanted_in: Option<&'a DcName>,
    /// Priority rank. 0 is the most urgent.
    pub rank: u8,
    /// Bytes that are sent between data centres if the pieces are not made in `wanted_in`.
    pub remote_bytes: u64,
}

/// A data centre that can make the pieces of a service.
#[derive(Clone, Copy, Debug)]
struct PieceSite<'a> {
    dc: &'a DcName,
    node: &'a NodeName,
    reaches_targets: bool,
    target_count: u32,
    wait: QueueWait,
}

impl RelayBoard {
    /// Wait in the request's own data centre up to which pieces are not sent elsewhere.
    const MAX_HOME_WAIT: Duration = Duration::from_millis(150);
    /// Wait that is added to each wait in the choice among other data centres, so that all of them get some pieces.
    const SPREAD_WAIT: Duration = Duration::from_millis(100);

    /// Returns whether the pieces of `service` are batched in each data centre. Pieces of a service with limits are
    /// batched by the node that keeps the limits, and nodes of earlier releases know one batching node only.
    #[must_use]
    pub fn batches_by_dc(&self, service: &ServiceName, now: Moment) -> bool {
        let is_limited =
            || self.targets.of(service).any(|view| self.target_limits(service, &view.entry.target).is_some());
        let is_current = |view: &PeerView| view.heartbeat.call_version >= CallVersion::ROSTERS;
        !self.is_small_fleet() && self.members.alive(now).all(is_current) && !is_limited()
    }

    /// Returns the node that batches the pieces of `service` in `dc`: the strongest of the reachable and serving nodes
    /// there, among those that reach the targets. Among equally strong ones it is not the hub, and a rendezvous hash decides.
    /// Returns `None` if there is none.
    #[must_use]
    pub fn batching_node_in(&self, service: &ServiceName, dc: &DcName, now: Moment) -> Option<&NodeName> {
        self.piece_node(service, dc, now).map(|(node, _)| node)
    }

    fn piece_node(&self, service: &ServiceName, dc: &DcName, now: Moment) -> Option<(&NodeName, bool)> {
        let scope = self.service_scope(service);
        let own = (self.identity.dc == *dc && self.state != NodeState::Leaving)
            .then(|| (&self.identity.node, self.reaches_service(service), self.tuning.capacity));
        let peers = self.members.serving(now).filter(|view| view.heartbeat.dc == *dc && view.is_reachable(now));
        let peers = peers.map(|view| (&view.heartbeat.node, scope.is_reached_by(view), view.heartbeat.capacity));
        let hub = self.hub(dc, now);
        let weight = |node: &NodeName| rendezvous_weight(service.as_str(), node.as_str());
        let first = own
            .into_iter()
            .chain(peers)
            .max_by_key(|(node, reaches, capacity)| (*reaches, *capacity, hub != Some(*node), weight(node)));
        first.map(|(node, reaches, _)| (node, reaches))
    }

    /// Returns the data centres that have usable targets of `service` and a node that batches its pieces there.
    fn piece_sites(&self, service: &ServiceName, rank: u8, now: Moment) -> Vec<PieceSite<'_>> {
        let mut counts: BTreeMap<&DcName, u32> = BTreeMap::new();
        for view in self.targets.of(service).filter(|view| view.takes_calls(now)) {
            if !self.closed_dcs.contains(&view.entry.dc) {
                *counts.entry(&view.entry.dc).or_default() += 1;
            }
        }
        let sites = counts.into_iter().filter_map(|(dc, target_count)| {
            let (node, reaches_targets) = self.piece_node(service, dc, now)?;
            let wait = self.node_queue_wait(node, service, rank, now);
            Some(PieceSite { dc, node, reaches_targets, target_count, wait })
        });
        let sites: Vec<PieceSite<'_>> = sites.collect();
        let reaching: Vec<PieceSite<'_>> = sites.iter().filter(|site| site.reaches_targets).copied().collect();
        if reaching.is_empty() { sites } else { reaching }
    }

    /// Returns the wait that `node`, this one or a peer, expects for a piece of `service`.
    fn node_queue_wait(&self, node: &NodeName, service: &ServiceName, rank: u8, now: Moment) -> QueueWait {
        if *node == self.identity.node {
            return self.own_queue_wait(service, rank, now).unwrap_or_default();
        }
        let reported = self.members.get(node).and_then(|view| {
            let (_, waits) = view.heartbeat.waits.iter().find(|(other, _)| other == service)?;
            waits.get(usize::from(rank)).or(waits.last())
        });
        reported.copied().unwrap_or_default()
    }

    /// Returns the node that batches pieces.
    #[must_use]
    pub fn choose_batching_node(&mut self, scope: PieceScope<'_>, now: Moment) -> NodeName {
        let draws = (self.random.f64(), self.random.f64());
        self.draw_batching_node(scope, draws, now).clone()
    }

    /// Chooses the node by two random numbers in 0..1.
    fn draw_batching_node(&self, scope: PieceScope<'_>, draws: (f64, f64), now: Moment) -> &NodeName {
        let service = scope.service;
        if !self.batches_by_dc(service, now) {
            return self.batching_node(service, now);
        }
        let sites = self.piece_sites(service, scope.rank, now);
        let home_dc = scope.wanted_in.unwrap_or(&self.identity.dc);
        let home = sites.iter().find(|site| site.dc == home_dc);
        let transfer_ms = scope.remote_bytes as f64 / 1e6 * self.tuning.weights.remote_megabyte_cost_ms;
        let transfer_time = Duration::from_secs_f64(transfer_ms / 1e3);
        let mut others: Vec<PieceSite<'_>> = sites.iter().filter(|site| site.dc != home_dc).copied().collect();
        if let Some(home) = home {
            let home_wait = home.wait.on_time;
            others.retain(|site| site.wait.on_time + transfer_time < home_wait);
            let least = others.iter().map(|site| site.wait.on_time + transfer_time).min().unwrap_or(home_wait);
            let leave_ratio = home_wait.saturating_sub(least).as_secs_f64() / home_wait.as_secs_f64().max(1e-3);
            if home_wait <= Self::MAX_HOME_WAIT || draws.0 >= leave_ratio {
                return home.node;
            }
        }
        let weight =
            |site: &PieceSite<'_>| f64::from(site.target_count) / (site.wait.on_time + Self::SPREAD_WAIT).as_secs_f64();
        let mut rest = draws.1 * others.iter().map(weight).sum::<f64>();
        let chosen = others.iter().find(|site| {
            rest -= weight(site);
            rest < 0.0
        });
        let chosen = chosen.or(others.last()).map(|site| site.node);
        chosen.unwrap_or_else(|| self.batching_node(service, now))
    }

    /// Returns the shortest wait of a piece that arrives now at any of the nodes that batch pieces of `service` by data
    /// centre.
    pub(super) fn shortest_queue_wait(&self, service: &ServiceName, rank: u8, now: Moment) -> QueueWait {
        let sites = self.piece_sites(service, rank, now);
        sites.iter().map(|site| site.wait).min_by_key(|wait| wait.late).unwrap_or_default()
    }
}
