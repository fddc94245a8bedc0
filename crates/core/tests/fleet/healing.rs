//! Checks that the fleet recovers after all faults have ended.

use crate::fixtures;
use crate::table::TableMode;
use crate::world::{MAX_NODES, World, node_name};
use wasabipier_core::message::NodeState;
use wasabipier_core::prelude::*;

impl World {
    /// Ends all faults, gives the nodes time to recover, and checks their state, their service and all promotions.
    ///
    /// Violations are added to the oracle.
    pub fn heal_and_check(&mut self) {
        self.cut_links.clear();
        self.loss_percent = 0;
        self.max_delay_ms = 0;
        self.fault_percent = 0;
        self.forced_fault = None;
        self.forced_duration_ms = None;
        self.set_table_mode(TableMode::Up);
        for node in &mut self.nodes {
            node.paused_until = 0;
        }
        self.start_node(0);
        self.run(30_000);
        self.promote(0, fixtures::document(&[], None), Revision(self.latest_revision().0 + 1));
        self.run(30_000);
        self.check_healed();
        self.check_service();
        self.oracle.check_promotions(&self.table.documents);
    }

    /// Returns the indices of the nodes that run.
    fn live_nodes(&self) -> Vec<usize> {
        (0..MAX_NODES).filter(|index| self.nodes[*index].core.is_some()).collect()
    }

    /// Checks that each node serves the latest document without open requests, that each seat has one holder, and that
    /// no caller still waits.
    fn check_healed(&mut self) {
        let mut violations = Vec::new();
        for index in self.live_nodes() {
            let node = &self.nodes[index];
            let Some(board) = node.core.as_ref().map(NodeCore::board) else { continue };
            if board.document.revision != self.latest_revision() || board.state != NodeState::Serving {
                violations.push(format!(
                    "{}: revision {}, {}",
                    node_name(index),
                    board.document.revision.0,
                    board.state
                ));
            }
            if !board.requests.is_empty() {
                violations.push(format!("{} still has requests", node_name(index)));
            }
        }
        for seat in 0..fixtures::document(&[], None).seats {
            let holders = self.live_nodes().into_iter().filter(|index| {
                let core = self.nodes[*index].core.as_ref();
                core.is_some_and(|core| core.board().permits.seats().iter().any(|claim| claim.seat == seat))
            });
            let holder_count = holders.count();
            if holder_count != 1 {
                violations
                    .push(format!("seat {seat} has {holder_count} holders: {:?}", self.table.row(&RowKey::Seat(seat))));
            }
        }
        for call in self.oracle.calls.values() {
            let is_live = self.nodes[call.node].instance == call.instance && self.nodes[call.node].core.is_some();
            if is_live && call.answer.is_none() && !call.is_disconnected {
                violations.push(format!("{} has no answer", call.key));
            }
        }
        self.oracle.violations.extend(violations);
    }

    /// Checks that each node accepts and runs a request for each goal.
    fn check_service(&mut self) {
        let mut calls = Vec::new();
        for (index, id) in self.live_nodes().into_iter().zip(25_u8..) {
            calls.extend((0..4).map(|goal| self.send_request(index, id * 4 + goal, goal, 3, 6_000)));
            self.run(9_000);
        }
        for call in calls.into_iter().flatten() {
            let call = &self.oracle.calls[&call];
            // Other outcomes than `Done` are allowed: a slow target may take longer than the caller's deadline.
            if call.answer.as_ref().is_none_or(|answer| answer.outcome == Outcome::NotRun) {
                self.oracle.violations.push(format!("request not run after recovery: {call:?}"));
            }
        }
    }
}
