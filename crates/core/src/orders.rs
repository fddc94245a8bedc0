//! Orders to engines: what the document wants loaded, compared with what each engine says it has.
//!
//! Only the holder of the lease for orders acts. Some engines refuse an old fencing number, others
//! ignore it; for the latter an order names a state rather than a change, leaves only while the lease
//! surely holds, and a new holder waits until orders of the last one have arrived, then reads back
//! before it orders.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::{Action, LoadOrder};
use crate::blackboard::Blackboard;
use crate::clock::{Moment, TickPace};
use crate::controller::Controller;
use crate::document::{LoadSpec, TargetSpec};
use crate::event::{Event, OrderReply};
use crate::leases::HeldLease;
use crate::names::TargetName;
use crate::store::LeaseKind;

/// What the holder of the lease knows of one target.
#[derive(Clone, Debug, Default)]
struct OrderView {
    /// What it said that it has loaded, since this lease was taken over.
    loaded: Option<LoadSpec>,
    /// Whether a question or an order is open.
    busy: bool,
    /// When it is asked again.
    ask_at: Moment,
}

/// Orders engines to load.
#[derive(Debug, Default)]
pub struct OrderController {
    fencing: u64,
    views: BTreeMap<TargetName, OrderView>,
    next_load: Moment,
    pace: TickPace,
}

impl OrderController {
    /// Interval of looks at what is to be ordered.
    const TICK_EVERY: Duration = Duration::from_millis(200);
    /// Time that an order may be under way; a new holder waits for it twice over.
    const FLIGHT: Duration = Duration::from_secs(1);
    /// Interval of questions to one target.
    const ASK_EVERY: Duration = Duration::from_secs(5);
    /// Questions and orders that may be open at once.
    const MOST_BUSY: usize = 16;
    const MINUTE: Duration = Duration::from_mins(1);

    fn on_tick(&mut self, board: &Blackboard, out: &mut Vec<Action>) {
        let Some(lease) = board.leases.held(LeaseKind::Orders, board.now) else { return };
        if lease.fencing != self.fencing {
            self.start(board, lease);
        }
        if board.now < lease.since + 2 * Self::FLIGHT {
            return;
        }
        let document = board.document.clone();
        let wanted = document.content.targets.iter().filter_map(|(name, spec)| Some((name, spec, spec.load.as_ref()?)));
        for (name, spec, load) in wanted {
            self.step(board, lease, name, spec, load, out);
        }
    }

    /// Starts under a new lease: nothing is known, and the last holder may have started a load just now.
    fn start(&mut self, board: &Blackboard, lease: HeldLease) {
        self.fencing = lease.fencing;
        self.views.clear();
        self.next_load = board.now + Self::load_interval(board);
    }

    fn load_interval(board: &Blackboard) -> Duration {
        Self::MINUTE / board.document.content.loads_per_minute.max(1)
    }

    fn step(
        &mut self,
        board: &Blackboard,
        lease: HeldLease,
        name: &TargetName,
        spec: &TargetSpec,
        load: &LoadSpec,
        out: &mut Vec<Action>,
    ) {
        let busy = self.views.values().filter(|view| view.busy).count();
        let view = self.views.entry(name.clone()).or_default();
        if view.busy || busy >= Self::MOST_BUSY {
            return;
        }
        let differs = view.loaded.as_ref().is_some_and(|loaded| loaded != load);
        if differs && board.now >= self.next_load {
            view.busy = true;
            // What it has after this order is known only when it is asked again.
            view.loaded = None;
            self.next_load = board.now + Self::load_interval(board);
            out.push(order(board, lease, name, spec, load));
        } else if !differs && board.now >= view.ask_at {
            view.busy = true;
            view.ask_at = board.now + Self::ASK_EVERY;
            out.push(Action::Inspect(name.clone(), spec.address));
        }
    }

    fn on_answer(&mut self, board: &mut Blackboard, target: &TargetName, reply: OrderReply) {
        if let Some(view) = self.views.get_mut(target) {
            view.busy = false;
            view.ask_at = board.now;
        }
        if reply == OrderReply::Stale {
            // Another node took over: this one stops until the table service says otherwise.
            board.leases.drop_lease(LeaseKind::Orders);
        }
    }
}

impl Controller for OrderController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick if self.pace.is_due(Self::TICK_EVERY, board.now) => self.on_tick(board, out),
            Event::Inspected(target, loaded) => {
                if let Some(view) = self.views.get_mut(target) {
                    view.busy = false;
                    view.loaded.clone_from(loaded);
                }
            }
            Event::OrderAnswered(target, reply) => self.on_answer(board, target, *reply),
            _ => {}
        }
    }
}

fn order(board: &Blackboard, lease: HeldLease, name: &TargetName, spec: &TargetSpec, load: &LoadSpec) -> Action {
    Action::Order(Box::new(LoadOrder {
        target: name.clone(),
        address: spec.address,
        fencing: lease.fencing,
        valid_for: board.now.until(lease.until).min(OrderController::FLIGHT),
        load: load.clone(),
    }))
}
