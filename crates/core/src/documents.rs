//! The document in force: read by one node of a data centre, passed on by all, never going back.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::action::{Action, DocumentSource, PromoteAnswer};
use crate::blackboard::Blackboard;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::delta::TextDelta;
use crate::document::{AcceptedDocument, Revision};
use crate::event::Event;
use crate::message::{DocumentChange, PeerMessage};
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
    /// Documents that were in force here before, from which differences are made for peers.
    earlier: VecDeque<Arc<AcceptedDocument>>,
    /// When a peer was last asked for a document, so that one is asked at a time.
    asked: Option<(Revision, Moment)>,
    /// Promotions asked for while another was under way, in order.
    waiting: VecDeque<Promotion>,
}

impl Controller for DocumentController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Peer(from, message) => self.on_peer(board, from, message, out),
            Event::DocumentParsed(document) => self.install(board, document),
            Event::PromoteAsked(call, document) => self.promote(board, *call, document, out),
            Event::Tick => self.read(board, out),
            _ => {}
        }
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        match purpose {
            StorePurpose::ReadDocument => self.on_read(board, reply),
            StorePurpose::ConfirmPromote => self.on_confirmed(board, reply, out),
            StorePurpose::Promote => self.on_written(board, reply, out),
            _ => {}
        }
    }
}

impl DocumentController {
    /// Promotions that may wait for the one under way.
    const MOST_WAITING: usize = 16;
    /// Earlier documents kept.
    const KEPT: usize = 8;
    /// Time for a peer to give a document before another one is asked.
    const GIVEN_WITHIN: Duration = Duration::from_millis(500);

    fn install(&mut self, board: &mut Blackboard, document: &Arc<AcceptedDocument>) {
        if document.revision <= board.document.revision {
            return;
        }
        self.earlier.push_back(board.document.clone());
        if self.earlier.len() > Self::KEPT {
            self.earlier.pop_front();
        }
        install(board, document.clone());
    }

    fn on_peer(&mut self, board: &mut Blackboard, from: &NodeName, message: &PeerMessage, out: &mut Vec<Action>) {
        match message {
            PeerMessage::DocumentGiven(document) => self.install(board, document),
            PeerMessage::DocumentChanged(change) => {
                if let Some(source) = changed(board, change) {
                    out.push(Action::Parse(Box::new(source)));
                }
            }
            _ => {
                let Some(answer) = answer_peer(board, &self.earlier, message) else { return };
                if let PeerMessage::DocumentWanted { wanted, .. } = &answer
                    && !self.may_ask(board, *wanted)
                {
                    return;
                }
                out.push(Action::Tell(from.clone(), Box::new(answer)));
            }
        }
    }

    /// One peer at a time is asked, unless it does not give the document or another is newer.
    fn may_ask(&mut self, board: &Blackboard, wanted: Revision) -> bool {
        let open = self.asked.is_some_and(|(asked, at)| wanted <= asked && board.now.since(at) < Self::GIVEN_WITHIN);
        if !open {
            self.asked = Some((wanted, board.now));
        }
        !open
    }

    fn read(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        // Without a read now and then, a node that is no reader would never learn that the store is back.
        let reads = is_reader(board) || !board.store.is_healthy();
        if board.now < self.read_at || !board.store.may_ask(board.now) || !reads {
            return;
        }
        self.read_at = board.now + board.tuning.document_read_every;
        if !board.store.is_open(&StorePurpose::ReadDocument) {
            send_read(board, StorePurpose::ReadDocument, out);
        }
    }

    fn on_read(&mut self, board: &mut Blackboard, reply: &StoreReply) {
        if let StoreReply::Read(Some(row)) = reply
            && let RowValue::Document(document) = &row.value
        {
            self.install(board, document);
        }
    }

    fn promote(
        &mut self,
        board: &mut Blackboard,
        call: CallId,
        document: &Arc<AcceptedDocument>,
        out: &mut Vec<Action>,
    ) {
        if self.waiting.len() >= Self::MOST_WAITING {
            out.push(Action::Promoted(call, PromoteAnswer::NotAccepted));
            return;
        }
        // One at a time: who wins is known only when the one under way has ended.
        self.waiting.push_back(Promotion { call, document: document.clone(), written: false });
        if self.promotion.is_none() {
            self.start_next(board, out);
        }
    }

    fn start_next(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        self.promotion = self.waiting.pop_front();
        if self.promotion.is_some() {
            send_read(board, StorePurpose::ConfirmPromote, out);
        }
    }

    fn answer(&mut self, board: &mut Blackboard, answer: PromoteAnswer, out: &mut Vec<Action>) {
        if let Some(promotion) = self.promotion.take() {
            out.push(Action::Promoted(promotion.call, answer));
        }
        self.start_next(board, out);
    }

    fn on_written(&mut self, board: &mut Blackboard, reply: &StoreReply, out: &mut Vec<Action>) {
        let Some(promotion) = &mut self.promotion else { return };
        match reply {
            StoreReply::Written(_) => {
                let document = promotion.document.clone();
                let revision = document.revision;
                self.install(board, &document);
                self.answer(board, PromoteAnswer::Accepted(revision), out);
            }
            StoreReply::NotSent if !promotion.written => self.answer(board, PromoteAnswer::NotAccepted, out),
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
            _ if promotion.written => return self.answer(board, PromoteAnswer::Unknown, out),
            _ => return self.answer(board, PromoteAnswer::NotAccepted, out),
        };
        let standing = row.as_ref().and_then(|row| match &row.value {
            RowValue::Document(document) => Some((row.version, document.clone())),
            _ => None,
        });
        let Some((version, document)) = standing else {
            return self.write(board, None, out);
        };
        self.install(board, &document);
        if document.nonce == promotion.document.nonce {
            self.answer(board, PromoteAnswer::Accepted(document.revision), out);
        } else if document.revision.0 + 1 == promotion.document.revision.0 {
            self.write(board, Some(version), out);
        } else if promotion.written && document.revision > promotion.document.revision {
            // It may have been accepted and followed by another.
            self.answer(board, PromoteAnswer::Unknown, out);
        } else {
            let (revision, author) = (document.revision, document.author.clone());
            self.answer(board, PromoteAnswer::Conflict { revision, author }, out);
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

/// The revision that a heartbeat announces is asked for; what a peer asks for is given.
fn answer_peer(
    board: &Blackboard,
    earlier: &VecDeque<Arc<AcceptedDocument>>,
    message: &PeerMessage,
) -> Option<PeerMessage> {
    let own = &board.document;
    match message {
        PeerMessage::Heartbeat(beat) if beat.revision > own.revision => {
            Some(PeerMessage::DocumentWanted { wanted: beat.revision, have: own.revision })
        }
        PeerMessage::DocumentWanted { wanted, have } if *wanted <= own.revision => {
            let base = earlier.iter().find(|earlier| earlier.revision == *have);
            Some(base.and_then(|base| change(base, own)).unwrap_or_else(|| PeerMessage::DocumentGiven(own.clone())))
        }
        _ => None,
    }
}

/// The difference, unless it saves too little to be worth the receiver's parsing on its own.
fn change(base: &AcceptedDocument, own: &AcceptedDocument) -> Option<PeerMessage> {
    const WORTH_BYTES: usize = 4096;
    let delta = TextDelta::between(&base.text, &own.text);
    let change = DocumentChange {
        base: base.revision,
        revision: own.revision,
        nonce: own.nonce,
        author: own.author.clone(),
        delta,
    };
    let worth = own.text.len() > WORTH_BYTES + change.delta.middle.len();
    worth.then(|| PeerMessage::DocumentChanged(Box::new(change)))
}

/// The text that a difference makes; none if it starts from another revision than the one in force here.
fn changed(board: &Blackboard, change: &DocumentChange) -> Option<DocumentSource> {
    let text = (change.base == board.document.revision).then(|| change.delta.apply(&board.document.text))??;
    Some(DocumentSource {
        base: board.document.clone(),
        revision: change.revision,
        nonce: change.nonce,
        author: change.author.clone(),
        text: Arc::from(text),
    })
}

/// Puts a document in force here.
pub fn install(board: &mut Blackboard, document: Arc<AcceptedDocument>) {
    board.targets.install(&document.content, board.now);
    board.ready.install(&document.content);
    board.permits.install(&document.content);
    board.versions.install(&document.content);
    board.document = document;
}
