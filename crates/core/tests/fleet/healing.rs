//! What must be well again once every fault has ended.

use crate::fixtures;
use crate::table::TableMode;
use crate::world::{NODES, World, name};
use wasabipier_core::message::NodeState;
use wasabipier_core::prelude::*;

impl World {
    /// Ends every fault, lets things settle, and checks that all is well again.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.loss_percent = 0;
        self.delay = 0;
        self.quirk_percent = 0;
        self.quirk = None;
        self.took = None;
        self.set_table(TableMode::Up);
        for node in &mut self.nodes {
            node.paused_until = 0;
        }
        self.start(0);
        self.run(30_000);
        self.promote(0, fixtures::document(&[], None), Revision(self.revision().0 + 1));
        self.run(30_000);
        self.check_healed();
        self.check_service();
        self.oracle.check_promotions(&self.table.documents);
    }

    fn live(&self) -> Vec<usize> {
        (0..NODES).filter(|index| self.nodes[*index].core.is_some()).collect()
    }

    fn check_healed(&mut self) {
        let mut wrong = Vec::new();
        for index in self.live() {
            let node = &self.nodes[index];
            let Some(board) = node.core.as_ref().map(NodeCore::board) else { continue };
            if board.document.revision != self.revision() || board.state != NodeState::Serving {
                wrong.push(format!("{}: revision {}, {}", name(index), board.document.revision.0, board.state));
            }
            if !board.requests.is_empty() {
                wrong.push(format!("{} still has requests", name(index)));
            }
        }
        for seat in 0..fixtures::document(&[], None).seats {
            let holders = self.live().into_iter().filter(|index| {
                let core = self.nodes[*index].core.as_ref();
                core.is_some_and(|core| core.board().permits.seats().iter().any(|claim| claim.seat == seat))
            });
            let holders = holders.count();
            if holders != 1 {
                wrong.push(format!("seat {seat} has {holders} holders: {:?}", self.table.row(&RowKey::Seat(seat))));
            }
        }
        for call in self.oracle.calls.values() {
            let lives = self.nodes[call.node].instance == call.instance && self.nodes[call.node].core.is_some();
            if lives && call.answer.is_none() && !call.gone {
                wrong.push(format!("{} was never answered", call.key));
            }
        }
        self.oracle.violations.extend(wrong);
    }

    fn check_service(&mut self) {
        let mut asked = Vec::new();
        for (index, id) in self.live().into_iter().zip(25_u8..) {
            asked.extend((0..4).map(|goal| self.ask(index, id * 4 + goal, goal, 3, 6_000)));
            self.run(9_000);
        }
        for call in asked.into_iter().flatten() {
            let call = &self.oracle.calls[&call];
            // A slow target may take all of the time that a caller gives.
            if call.answer.as_ref().is_none_or(|answer| answer.outcome == Outcome::NotRun) {
                self.oracle.violations.push(format!("no service after healing: {call:?}"));
            }
        }
    }
}
