//! The border between the node and its controllers.

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::event::Event;
use crate::store::StoreReply;
use crate::store_table::StorePurpose;

/// One concern of a node. Controllers meet only on the blackboard.
pub trait Controller: std::fmt::Debug + Send {
    /// Handles an event; every controller sees each one.
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>);

    /// Handles a pause of the process that was longer than others may have waited for it; called before
    /// the first event after it.
    fn on_pause(&mut self, _board: &mut Blackboard) {}

    /// Handles a reply of the table service to an operation sent for `purpose`.
    fn on_store(
        &mut self,
        _board: &mut Blackboard,
        _purpose: &StorePurpose,
        _reply: &StoreReply,
        _out: &mut Vec<Action>,
    ) {
    }
}
