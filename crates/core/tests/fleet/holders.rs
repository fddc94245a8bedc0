//! What may be held by one node only.

use crate::world::{NODES, SimNode, World};
use wasabipier_core::store::LeaseKind;

impl World {
    /// A holder of a lease must be the only one that would act now.
    pub fn check_leases(&mut self, index: usize) {
        for kind in [LeaseKind::Orders, LeaseKind::Rollout] {
            let holds = |node: &usize| {
                let core = self.nodes[*node].core.as_ref();
                core.is_some_and(|core| core.board().leases.holds(kind, self.local(*node)))
            };
            if holds(&index) && (0..NODES).filter(holds).count() > 1 {
                self.oracle.violations.push(format!("{} ms: two nodes act under the lease for {kind}", self.now));
            }
        }
    }

    /// A seat must be in use at one node only.
    pub fn check_seats(&mut self, index: usize) {
        // A paused node uses nothing: it looks at its seats again before its first call.
        let now = self.now;
        let seats = |node: &SimNode| -> Vec<u32> {
            let core = node.core.as_ref().filter(|_| node.paused_until <= now && node.backlog.is_empty());
            core.map_or(Vec::new(), |core| core.board().permits.seats().iter().map(|claim| claim.seat).collect())
        };
        let own = seats(&self.nodes[index]);
        let mut others = self.nodes.iter().enumerate().filter(|(other, _)| *other != index);
        if let Some((other, _)) = others.find(|(_, node)| seats(node).iter().any(|seat| own.contains(seat))) {
            self.oracle.violations.push(format!("{} ms: nodes {index} and {other} use the same seat", self.now));
        }
    }
}
