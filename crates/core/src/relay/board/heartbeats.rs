//! Heartbeats of a node: what it tells of itself, and what it learns from those of its peers.

use super::RelayBoard;
use crate::clock::Moment;
use crate::names::ServiceName;
use crate::relay::fleet::{FleetReport, sum_loads};
use crate::relay::members::{CallVersion, RelayHeartbeat, TableProof};
use crate::relay::pieces::QueueWait;
use crate::relay::targets::TargetView;

/// Number of priority ranks whose queue waits are in heartbeats. Less urgent requests use the wait of the last one.
const REPORTED_RANK_COUNT: u8 = 4;

impl RelayBoard {
    /// Builds the next heartbeat to peers and counts its sequence number up.
    pub fn next_heartbeat(&mut self, now: Moment) -> RelayHeartbeat {
        self.heartbeat_count += 1;
        self.build_heartbeat(now)
    }

    /// Builds this node's heartbeat with the sequence number of the last one.
    pub(in crate::relay) fn build_heartbeat(&self, now: Moment) -> RelayHeartbeat {
        let proofs = self.copies.iter().filter_map(|(table, copy)| {
            let age = now.since(copy.confirmed_at()?);
            let (version, last_change_version) = (copy.version(), copy.last_change_version());
            let (newest_row_version, age_ms) = (copy.newest_row_version(), age.as_millis() as u32);
            Some(TableProof { table: *table, version, last_change_version, newest_row_version, age_ms })
        });
        RelayHeartbeat {
            node: self.identity.node.clone(),
            instance: self.identity.instance,
            sequence: self.heartbeat_count,
            call_version: CallVersion::CURRENT,
            dc: self.identity.dc.clone(),
            capacity: self.tuning.capacity,
            caller_address: self.identity.caller_address,
            peer_address: self.identity.peer_address,
            state: self.state,
            proofs: proofs.collect(),
            document_version: self.index.version,
            settled_from: self.restoration.settled_eras.newest(),
            loads: self.targets.own_loads(),
            prompts: self.prompts.own_updates(now),
            waits: self.own_queue_waits(now),
            suspects: self.suspects.reports(now),
            limits: self.rate_limits.reports(now),
            brittle: self.brittle.reports(now),
            rollouts: self.rollouts.reports(now),
            paths: self.path_report(),
        }
    }

    /// Returns the queue waits, indexed by rank, of each service for which this node has pending pieces.
    fn own_queue_waits(&self, now: Moment) -> Vec<(ServiceName, Vec<QueueWait>)> {
        let waits = self.pieces.services_with_pending_pieces().into_iter().filter_map(|service| {
            let wait = |rank| self.own_queue_wait(&service, rank, now);
            let waits: Option<Vec<QueueWait>> = (0..REPORTED_RANK_COUNT).map(wait).collect();
            Some((service.clone(), waits?))
        });
        waits.collect()
    }

    pub(in crate::relay) fn own_queue_wait(&self, service: &ServiceName, rank: u8, now: Moment) -> Option<QueueWait> {
        let spec = self.index.services.get(service)?.batch.as_ref()?;
        let is_own_dc = |view: &TargetView| view.entry.dc == self.identity.dc;
        let usable = |view: &&TargetView| view.takes_calls(now) && !self.closed_dcs.contains(&view.entry.dc);
        let is_local = self.batches_by_dc(service, now) && self.targets.of(service).filter(usable).any(is_own_dc);
        let eligible = self.targets.of(service).filter(usable).filter(|view| !is_local || is_own_dc(view));
        Some(self.pieces.get(service)?.expected_wait(spec, eligible.count(), rank, now))
    }

    /// Returns the expected wait of a piece with priority `rank` that arrives now. If pieces are batched by data centre, it
    /// is the shortest of them all, to which pieces can go. Otherwise it is that of this node's own queue or the
    /// one that peers report, whichever is longer for a late piece. Queues of nodes that do not reach the targets of the
    /// service do not count while others reach them, since those batch the pieces.
    #[must_use]
    pub fn queue_wait(&self, service: &ServiceName, rank: u8, now: Moment) -> QueueWait {
        if self.batches_by_dc(service, now) {
            return self.shortest_queue_wait(service, rank, now);
        }
        let scope = self.service_scope(service);
        let is_own_reaching = self.reaches_service(service);
        let is_reached = is_own_reaching || self.members.serving(now).any(|view| scope.is_reached_by(view));
        let reported = self.members.queue_wait(scope, rank, is_reached, now);
        let own = self.own_queue_wait(service, rank, now).filter(|_| is_own_reaching || !is_reached);
        let own = own.unwrap_or_default();
        if own.late > reported.late { own } else { reported }
    }

    /// Handles a heartbeat of a peer, with its loads and prompts. Returns whether the instance of the peer is new. The
    /// loads count only if `counts_loads_of` the peer is true.
    pub fn handle_heartbeat(&mut self, heartbeat: RelayHeartbeat, now: Moment) -> bool {
        let (node, loads) = (heartbeat.node.clone(), heartbeat.loads.clone());
        self.prompts.receive_updates(&node, &heartbeat.prompts, now);
        self.rate_limits.merge_reports(&heartbeat.limits, now);
        self.brittle.merge_reports(&heartbeat.brittle, now);
        self.handle_rollout_reports(&heartbeat, now, now);
        self.record_peer_document(&heartbeat, now);
        self.record_peer_settlement(heartbeat.settled_from);
        let is_new = self.members.handle_heartbeat(heartbeat, now);
        let loads = if self.counts_loads_of(&node, now) { loads } else { Vec::new() };
        self.targets.set_peer_loads(&node, loads);
        is_new
    }

    /// Handles a heartbeat that a peer sent in reply to a call made at `requested_at`, with its `report` on other
    /// nodes. The reported loads and prompts count as those of the peer. Returns whether the instance of the peer is
    /// new.
    pub fn handle_heartbeat_reply(
        &mut self,
        mut heartbeat: RelayHeartbeat,
        report: FleetReport,
        requested_at: Moment,
        now: Moment,
    ) -> bool {
        self.members.handle_fleet_report(&report, &self.identity.node, requested_at);
        for (member, age) in &report.members {
            self.handle_rollout_reports(member, requested_at - *age, now);
        }
        self.handle_roster_updates(&report.rosters, requested_at, now);
        heartbeat.loads = sum_loads(heartbeat.loads.iter().chain(&report.loads));
        heartbeat.prompts.extend(report.prompts);
        self.handle_heartbeat(heartbeat, now)
    }
}
