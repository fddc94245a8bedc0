//! Checks that leases and seats are held by one node at a time.
//!
//! A seat is the right to a fixed share of each target's limit.

use crate::world::{MAX_NODES, SimNode, World};
use wasabipier_core::store::LeaseKind;

impl World {
    /// Checks that no other node acts under a lease that the node `index` holds now.
    pub fn check_leases(&mut self, index: usize) {
        for kind in [LeaseKind::Orders, LeaseKind::Rollout] {
            let holds = |node: &usize| {
                let core = self.nodes[*node].core.as_ref();
                core.is_some_and(|core| core.board().leases.holds(kind, self.local_time(*node)))
            };
            if holds(&index) && (0..MAX_NODES).filter(holds).count() > 1 {
                self.oracle.violations.push(format!("{} ms: two nodes hold the lease for {kind}", self.now));
            }
        }
    }

    /// Checks that no other node uses a seat of the node `index`.
    pub fn check_seats(&mut self, index: usize) {
        // A paused node uses no seat: it checks its seats again before its first call.
        let now = self.now;
        let seats = |node: &SimNode| -> Vec<u32> {
            let core = node.core.as_ref().filter(|_| node.paused_until <= now && node.backlog.is_empty());
            core.map_or(Vec::new(), |core| core.board().permits.seats().iter().map(|claim| claim.seat).collect())
        };
        let own_seats = seats(&self.nodes[index]);
        let mut others = self.nodes.iter().enumerate().filter(|(other, _)| *other != index);
        if let Some((other, _)) = others.find(|(_, node)| seats(node).iter().any(|seat| own_seats.contains(seat))) {
            self.oracle.violations.push(format!("{} ms: nodes {index} and {other} use the same seat", self.now));
        }
    }
}
