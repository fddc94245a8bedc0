//! Keeps the document in force up to date on this node, and promotes new documents.
//!
//! The document is the configuration of the environment; a promotion writes its next revision to the table service.
//! One node of each data centre reads the document from there, and every node while the table service is unhealthy.
//! A node whose peer names a newer revision in its heartbeat requests it from that peer. The revision in force on a
//! node never decreases.

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

/// A promotion request that an operator is waiting on.
#[derive(Clone, Debug)]
struct Promotion {
    call: CallId,
    document: Arc<AcceptedDocument>,
    /// Whether a write was sent whose reply did not confirm it; a read then tells whether the write took effect.
    has_unconfirmed_write: bool,
}

/// Controller that keeps the document in force up to date and promotes new documents.
#[derive(Debug, Default)]
pub struct DocumentController {
    next_read_at: Moment,
    current_promotion: Option<Promotion>,
    /// Documents formerly in force on this node, kept as bases of the deltas sent to peers.
    previous_documents: VecDeque<Arc<AcceptedDocument>>,
    /// Revision that was last requested from a peer, and the time of that request; `None` before the first request.
    last_request: Option<(Revision, Moment)>,
    /// Promotions requested while another one is in progress, oldest first.
    pending_promotions: VecDeque<Promotion>,
}

impl Controller for DocumentController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Peer(from, message) => self.handle_peer_message(board, from, message, out),
            Event::DocumentParsed(document) => self.install_if_newer(board, document),
            Event::PromoteRequested(call, document) => self.enqueue_promotion(board, *call, document, out),
            Event::Tick => self.read_if_due(board, out),
            _ => {}
        }
    }

    fn on_store(&mut self, board: &mut Blackboard, purpose: &StorePurpose, reply: &StoreReply, out: &mut Vec<Action>) {
        match purpose {
            StorePurpose::ReadDocument => self.handle_read_reply(board, reply),
            StorePurpose::ConfirmPromote => self.handle_confirm_reply(board, reply, out),
            StorePurpose::Promote => self.handle_write_reply(board, reply, out),
            _ => {}
        }
    }
}

impl DocumentController {
    /// Limit of promotions that wait for the current one; further ones are answered with `NotAccepted`.
    const MAX_PENDING_PROMOTIONS: usize = 16;
    /// Limit of previous documents that are kept.
    const MAX_PREVIOUS_DOCUMENTS: usize = 8;
    /// Time after a request for a document during which no peer is asked for the same or an earlier revision.
    const PEER_DOCUMENT_TIMEOUT: Duration = Duration::from_millis(500);

    /// Installs `document` if it is newer than the one in force, which is kept as a base of deltas.
    fn install_if_newer(&mut self, board: &mut Blackboard, document: &Arc<AcceptedDocument>) {
        if document.revision <= board.document.revision {
            return;
        }
        self.previous_documents.push_back(board.document.clone());
        if self.previous_documents.len() > Self::MAX_PREVIOUS_DOCUMENTS {
            self.previous_documents.pop_front();
        }
        install(board, document.clone());
    }

    fn handle_peer_message(
        &mut self,
        board: &mut Blackboard,
        from: &NodeName,
        message: &PeerMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::DocumentGiven(document) => self.install_if_newer(board, document),
            PeerMessage::DocumentChanged(change) => {
                if let Some(source) = apply_change(board, change) {
                    out.push(Action::Parse(Box::new(source)));
                }
            }
            _ => {
                let Some(answer) = reply_to_peer(board, &self.previous_documents, message) else { return };
                if let PeerMessage::DocumentWanted { wanted, .. } = &answer
                    && !self.try_start_request(board, *wanted)
                {
                    return;
                }
                out.push(Action::SendToPeer(from.clone(), Box::new(answer)));
            }
        }
    }

    /// Returns whether revision `wanted` may be requested from a peer now, and records the request if so.
    ///
    /// A request for the same or a later revision that has not timed out blocks further ones.
    fn try_start_request(&mut self, board: &Blackboard, wanted: Revision) -> bool {
        let is_in_flight = self
            .last_request
            .is_some_and(|(requested, at)| wanted <= requested && board.now.since(at) < Self::PEER_DOCUMENT_TIMEOUT);
        if !is_in_flight {
            self.last_request = Some((wanted, board.now));
        }
        !is_in_flight
    }

    fn read_if_due(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        // While the store is unhealthy, every node reads: otherwise a node that is not the reader would never learn
        // that the store is back.
        let should_read = is_reader(board) || !board.store.is_healthy();
        if board.now < self.next_read_at || !board.store.is_backoff_over(board.now) || !should_read {
            return;
        }
        self.next_read_at = board.now + board.tuning.document_read_interval;
        if !board.store.is_open(&StorePurpose::ReadDocument) {
            send_read(board, StorePurpose::ReadDocument, out);
        }
    }

    fn handle_read_reply(&mut self, board: &mut Blackboard, reply: &StoreReply) {
        if let StoreReply::Read(Some(row)) = reply
            && let RowValue::Document(document) = &row.value
        {
            self.install_if_newer(board, document);
        }
    }

    fn enqueue_promotion(
        &mut self,
        board: &mut Blackboard,
        call: CallId,
        document: &Arc<AcceptedDocument>,
        out: &mut Vec<Action>,
    ) {
        if self.pending_promotions.len() >= Self::MAX_PENDING_PROMOTIONS {
            out.push(Action::Promoted(call, PromoteAnswer::NotAccepted));
            return;
        }
        // Promotions run one at a time: until one has ended, it is unknown which revision the next one would replace.
        self.pending_promotions.push_back(Promotion { call, document: document.clone(), has_unconfirmed_write: false });
        if self.current_promotion.is_none() {
            self.start_next_promotion(board, out);
        }
    }

    fn start_next_promotion(&mut self, board: &mut Blackboard, out: &mut Vec<Action>) {
        self.current_promotion = self.pending_promotions.pop_front();
        if self.current_promotion.is_some() {
            send_read(board, StorePurpose::ConfirmPromote, out);
        }
    }

    /// Answers the operator of the current promotion and starts the next pending one.
    fn finish_promotion(&mut self, board: &mut Blackboard, answer: PromoteAnswer, out: &mut Vec<Action>) {
        if let Some(promotion) = self.current_promotion.take() {
            out.push(Action::Promoted(promotion.call, answer));
        }
        self.start_next_promotion(board, out);
    }

    fn handle_write_reply(&mut self, board: &mut Blackboard, reply: &StoreReply, out: &mut Vec<Action>) {
        let Some(promotion) = &mut self.current_promotion else { return };
        match reply {
            StoreReply::Written(_) => {
                let document = promotion.document.clone();
                let revision = document.revision;
                self.install_if_newer(board, &document);
                self.finish_promotion(board, PromoteAnswer::Accepted(revision), out);
            }
            StoreReply::NotSent if !promotion.has_unconfirmed_write => {
                self.finish_promotion(board, PromoteAnswer::NotAccepted, out);
            }
            _ => {
                promotion.has_unconfirmed_write = true;
                send_read(board, StorePurpose::ConfirmPromote, out);
            }
        }
    }

    /// Continues the current promotion after a read of the document's row in the table service.
    ///
    /// The row is read before the write to learn its version, and after a write whose reply did not confirm it to
    /// learn whether the write took effect.
    fn handle_confirm_reply(&mut self, board: &mut Blackboard, reply: &StoreReply, out: &mut Vec<Action>) {
        let Some(promotion) = self.current_promotion.clone() else { return };
        let row = match reply {
            StoreReply::Read(row) => row,
            _ if promotion.has_unconfirmed_write => return self.finish_promotion(board, PromoteAnswer::Unknown, out),
            _ => return self.finish_promotion(board, PromoteAnswer::NotAccepted, out),
        };
        let current = row.as_ref().and_then(|row| match &row.value {
            RowValue::Document(document) => Some((row.version, document.clone())),
            _ => None,
        });
        let Some((version, document)) = current else {
            return self.send_write(board, None, out);
        };
        self.install_if_newer(board, &document);
        if document.nonce == promotion.document.nonce {
            self.finish_promotion(board, PromoteAnswer::Accepted(document.revision), out);
        } else if document.revision.0 + 1 == promotion.document.revision.0 {
            self.send_write(board, Some(version), out);
        } else if promotion.has_unconfirmed_write && document.revision > promotion.document.revision {
            // This promotion may have been accepted and then replaced by a later document.
            self.finish_promotion(board, PromoteAnswer::Unknown, out);
        } else {
            let (revision, author) = (document.revision, document.author.clone());
            self.finish_promotion(board, PromoteAnswer::Conflict { revision, author }, out);
        }
    }

    fn send_write(&mut self, board: &mut Blackboard, expected: Option<RowVersion>, out: &mut Vec<Action>) {
        let Some(promotion) = &self.current_promotion else { return };
        let op =
            StoreOp::Write { key: RowKey::Document, expected, value: RowValue::Document(promotion.document.clone()) };
        board.store.send(StorePurpose::Promote, op, &mut board.counters, out);
    }
}

/// Returns whether this node reads the document for its data centre: the first by name of the nodes alive there.
fn is_reader(board: &Blackboard) -> bool {
    let own = &board.identity;
    !board.members.alive().any(|(node, beat)| beat.dc == own.dc && *node < own.node)
}

fn send_read(board: &mut Blackboard, purpose: StorePurpose, out: &mut Vec<Action>) {
    board.store.send(purpose, StoreOp::Read { key: RowKey::Document }, &mut board.counters, out);
}

/// Returns the reply to a peer's message, if any.
///
/// A heartbeat that names a newer revision is answered with a request for that revision. A request is answered with the
/// document in force, or with the change from the document that the peer has.
fn reply_to_peer(
    board: &Blackboard,
    previous_documents: &VecDeque<Arc<AcceptedDocument>>,
    message: &PeerMessage,
) -> Option<PeerMessage> {
    let own = &board.document;
    match message {
        PeerMessage::Heartbeat(beat) if beat.revision > own.revision => {
            Some(PeerMessage::DocumentWanted { wanted: beat.revision, have: own.revision })
        }
        PeerMessage::DocumentWanted { wanted, have } if *wanted <= own.revision => {
            let base = previous_documents.iter().find(|previous| previous.revision == *have);
            Some(
                base.and_then(|base| document_change(base, own))
                    .unwrap_or_else(|| PeerMessage::DocumentGiven(own.clone())),
            )
        }
        _ => None,
    }
}

/// Returns the message that changes `base` into `own`, or `None` if it saves too few bytes over the whole document.
///
/// A small saving is not worth the cost to the receiver, which has to parse the changed text itself.
fn document_change(base: &AcceptedDocument, own: &AcceptedDocument) -> Option<PeerMessage> {
    const MIN_SAVED_BYTES: usize = 4096;
    let delta = TextDelta::between(&base.text, &own.text);
    let change = DocumentChange {
        base: base.revision,
        revision: own.revision,
        nonce: own.nonce,
        author: own.author.clone(),
        delta,
    };
    let is_worthwhile = own.text.len() > MIN_SAVED_BYTES + change.delta.middle.len();
    is_worthwhile.then(|| PeerMessage::DocumentChanged(Box::new(change)))
}

/// Returns the text, still to be parsed, that a change makes of the document in force.
///
/// Returns `None` if the change starts from another revision or does not fit the text.
fn apply_change(board: &Blackboard, change: &DocumentChange) -> Option<DocumentSource> {
    let text = (change.base == board.document.revision).then(|| change.delta.apply(&board.document.text))??;
    Some(DocumentSource {
        base: board.document.clone(),
        revision: change.revision,
        nonce: change.nonce,
        author: change.author.clone(),
        text: Arc::from(text),
    })
}

/// Puts `document` in force on this node, whatever its revision, and passes its content to the parts of the board.
pub fn install(board: &mut Blackboard, document: Arc<AcceptedDocument>) {
    board.targets.install(&document.content, board.now);
    board.ready.install(&document.content);
    board.permits.install(&document.content);
    board.versions.install(&document.content);
    board.document = document;
}
