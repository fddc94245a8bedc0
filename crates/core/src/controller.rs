//! Interface between a node and its controllers.

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::event::Event;
use crate::store::StoreReply;
use crate::store_table::StorePurpose;

/// Handles one concern of a node. Controllers interact only through the blackboard.
pub trait Controller: std::fmt::Debug + Send {
    /// Handles an event. Every controller receives every event.
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>);

    /// Handles a pause between two events that exceeded `Tuning::pause_limit`, after which other nodes may have taken
    /// over what this node held. Called before the first event after the pause.
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
