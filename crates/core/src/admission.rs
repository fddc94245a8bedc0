//! Room in the queues: a full one gives up its least worthy request if the newcomer is better.

use std::time::Duration;

use crate::action::Action;
use crate::blackboard::Blackboard;
use crate::conclude;
use crate::event::Ask;
use crate::names::{OrgName, ServiceName};
use crate::outcome::RefusalKind;

/// Makes room for a newcomer in the queue of `service`; tells whether there is room.
pub fn make_room(
    board: &mut Blackboard,
    service: &ServiceName,
    ask: &Ask,
    left: Duration,
    out: &mut Vec<Action>,
) -> bool {
    let queue = board.queues.of(service);
    if queue.len() < board.tuning.queue_bound {
        return true;
    }
    let document = board.document.clone();
    let weight = |org: &OrgName| document.content.orgs.get(org).map_or(1.0, |spec| spec.weight);
    let Some(worst) = queue.worst(weight) else { return false };
    let lighter = queue.lane_load(ask.priority, &ask.key.org, weight) < worst.lane_load;
    let earlier = board.now + left < worst.waiting.deadline;
    let better = ask.priority < worst.priority || (ask.priority == worst.priority && (lighter || earlier));
    let fresh = board.requests.get(&worst.waiting.key).is_some_and(|record| record.stage == 0 && !record.sent);
    if !better || !fresh {
        return false;
    }
    board.counters.displaced += 1;
    conclude::fail(board, &worst.waiting.key, RefusalKind::Overloaded, out);
    true
}
