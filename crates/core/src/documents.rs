//! The document in force: read by one node of a data centre, passed on by all, never going back.

use std::sync::Arc;

use crate::action::{Action, PromoteAnswer};
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::document::AcceptedDocument;
use crate::event::Event;
use crate::message::PeerMessage;
use crate::names::{CallId, NodeName};
use crate::store::{RowKey, RowValue, RowVersion, StoreOp, StoreReply};
use crate::store_table::StorePurpose;

/// A promotion that an operator waits for.
#[derive(Clone, Debug)]
struct Promotion {
    call: CallId,
    document: Arc<AcceptedDocument>,
    written: bool,
}

/// Keeps the document.
#[derive(Debug, Default)]
pub struct DocumentController {
    read_at: Moment,
    promotion: Option<Promotion>,
}

impl Controller for DocumentController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Peer(from, message) => on_peer(board, from, message, out),
            Event::PromoteAsked(call, document) => self.promote(board, *call, document, out),
            Event::Tick => self.read(board, out),
            _ => {}
        }
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        match purpose {
            StorePurpose::ReadDocument => on_read(board, reply),
            StorePurpose::ConfirmPromote => self.on_confirmed(board, reply, out),
            StorePurpose::Promote => self.on_written(board, reply, out),
            _ => {}
        }
    }
}

impl DocumentController {
    fn read(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        if board.now < self.read_at || !board.store.may_ask(board.now) || !is_reader(board) {
            return;
        }
        self.read_at = board.now + board.tuning.document_read_every;
        if !board.store.is_open(&StorePurpose::ReadDocument) {
            send_read(board, StorePurpose::ReadDocument, out);
        }
    }

    fn promote(
        &mut self,
        board: &mut Blackboard,
        call: CallId,
        document: &Arc<AcceptedDocument>,
        out: &mut Vec<Action>,
    ) {
        if self.promotion.is_some() {
            let conflict = PromoteAnswer::Conflict {
                revision: board.document.revision,
                author: Arc::from("a promotion under way"),
            };
            out.push(Action::Promoted(call, conflict));
            return;
        }
        self.promotion = Some(Promotion { call, document: document.clone(), written: false });
        send_read(board, StorePurpose::ConfirmPromote, out);
    }

    fn answer(&mut self, answer: PromoteAnswer, out: &mut Vec<Action>) {
        if let Some(promotion) = self.promotion.take() {
            out.push(Action::Promoted(promotion.call, answer));
        }
    }

    fn on_written(&mut self, board: &mut Blackboard, reply: &StoreReply, out: &mut Vec<Action>) {
        let Some(promotion) = &mut self.promotion else { return };
        match reply {
            StoreReply::Written(_) => {
                let document = promotion.document.clone();
                let revision = document.revision;
                install(board, document);
                self.answer(PromoteAnswer::Accepted(revision), out);
            }
            StoreReply::NotSent if !promotion.written => self.answer(PromoteAnswer::NotAccepted, out),
            _ => {
                promotion.written = true;
                send_read(board, StorePurpose::ConfirmPromote, out);
            }
        }
    }

    /// The row as it is: before the write, to learn its version; after a lost answer, to settle it.
    fn on_confirmed(&mut self, board: &mut Blackboard, reply: &StoreReply, out: &mut Vec<Action>) {
        let Some(promotion) = self.promotion.clone() else { return };
        let row = match reply {
            StoreReply::Read(row) => row,
            _ if promotion.written => return self.answer(PromoteAnswer::Unknown, out),
            _ => return self.answer(PromoteAnswer::NotAccepted, out),
        };
        let standing = row.as_ref().and_then(|row| match &row.value {
            RowValue::Document(document) => Some((row.version, document.clone())),
            _ => None,
        });
        let Some((version, document)) = standing else {
            return self.write(board, None, out);
        };
        install(board, document.clone());
        if document.nonce == promotion.document.nonce {
            self.answer(PromoteAnswer::Accepted(document.revision), out);
        } else if document.revision.0 + 1 == promotion.document.revision.0 {
            self.write(board, Some(version), out);
        } else {
            let (revision, author) = (document.revision, document.author.clone());
            self.answer(PromoteAnswer::Conflict { revision, author }, out);
        }
    }

    fn write(&mut self, board: &mut Blackboard, expected: Option<RowVersion>, out: &mut Vec<Action>) {
        let Some(promotion) = &self.promotion else { return };
        let op =
            StoreOp::Write { key: RowKey::Document, expected, value: RowValue::Document(promotion.document.clone()) };
        board.store.send(StorePurpose::Promote, op, &mut board.counters, out);
    }
}

/// The reader of a data centre: the first by name of those that are alive there.
fn is_reader(board: &Blackboard) -> bool {
    let own = &board.identity;
    !board.members.alive().any(|(node, beat)| beat.dc == own.dc && *node < own.node)
}

fn send_read(board: &mut Blackboard, purpose: StorePurpose, out: &mut Vec<Action>) {
    board.store.send(purpose, StoreOp::Read { key: RowKey::Document }, &mut board.counters, out);
}

fn on_read(board: &mut Blackboard, reply: &StoreReply) {
    if let StoreReply::Read(Some(row)) = reply
        && let RowValue::Document(document) = &row.value
    {
        install(board, document.clone());
    }
}

fn on_peer(board: &mut Blackboard, from: &NodeName, message: &PeerMessage, out: &mut Vec<Action>) {
    let wanted = match message {
        PeerMessage::Heartbeat(beat) if beat.revision > board.document.revision => {
            PeerMessage::DocumentWanted(beat.revision)
        }
        PeerMessage::DocumentWanted(revision) if *revision <= board.document.revision => {
            PeerMessage::DocumentGiven(board.document.clone())
        }
        PeerMessage::DocumentGiven(document) => {
            install(board, document.clone());
            return;
        }
        _ => return,
    };
    out.push(Action::Tell(from.clone(), Box::new(wanted)));
}

/// Puts a document in force here, unless the one in force is as new.
pub fn install(board: &mut Blackboard, document: Arc<AcceptedDocument>) {
    if document.revision <= board.document.revision {
        return;
    }
    board.targets.install(&document.content, board.now);
    board.ready.install(&document.content);
    board.permits.install(&document.content);
    board.versions.install(&document.content);
    board.document = document;
}
