//! Load orders to engines: compares what the document wants loaded with what each engine reports as loaded.
//!
//! An engine is a target that runs models. A load order tells an engine which model, adapters and version to load.
//!
//! Only the holder of the orders lease acts. Some engines refuse an old fencing number, others ignore it. Three rules
//! protect the latter: an order names a state rather than a change, it is sent only while the lease is certainly held,
//! and a new holder waits until the orders of the last holder have arrived and then asks each engine what is loaded
//! before it sends orders.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::{Action, LoadOrder};
use crate::blackboard::Blackboard;
use crate::clock::{IntervalTimer, Moment};
use crate::controller::Controller;
use crate::document::{EngineSpec, TargetSpec};
use crate::event::{Event, OrderReply};
use crate::fenced_lease::HeldLease;
use crate::names::TargetName;
use crate::store::LeaseKind;

/// State of one target as known to the holder of the orders lease.
#[derive(Clone, Debug, Default)]
struct TargetLoadState {
    /// What the target last reported as loaded under this lease. `None` before the first report, after an order, and if
    /// the target did not answer.
    loaded: Option<EngineSpec>,
    /// Whether the reply to an inspection or an order is outstanding.
    is_pending: bool,
    /// Earliest time of the next inspection.
    next_inspection_at: Moment,
}

/// Inspects engines and sends load orders to them while this node holds the orders lease.
#[derive(Debug, Default)]
pub struct LoadOrderController {
    /// Fencing number of the lease that the state of targets belongs to.
    fencing: u64,
    targets: BTreeMap<TargetName, TargetLoadState>,
    /// Earliest time of the next order, which limits the rate of loads.
    next_load_at: Moment,
    tick_timer: IntervalTimer,
}

impl LoadOrderController {
    /// Interval at which the controller compares wanted and loaded state.
    const TICK_INTERVAL: Duration = Duration::from_millis(200);
    /// Longest time for which an order may be in flight. A new holder waits twice this time before it acts.
    const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
    /// Minimum interval of inspections of a target that gets no orders.
    const INSPECTION_INTERVAL: Duration = Duration::from_secs(5);
    /// Maximum number of inspections and orders of all targets that are pending at once.
    const MAX_PENDING: usize = 16;
    const MINUTE: Duration = Duration::from_mins(1);

    /// Inspects targets or sends orders to them, if this node holds the lease and orders of the last holder have
    /// arrived.
    fn handle_tick(&mut self, board: &Blackboard, out: &mut Vec<Action>) {
        let Some(lease) = board.leases.held(LeaseKind::Orders, board.now) else { return };
        if lease.fencing != self.fencing {
            self.reset_for_lease(board, lease);
        }
        if board.now < lease.acquired_at + 2 * Self::ORDER_TIMEOUT {
            return;
        }
        let document = board.document.clone();
        let wanted_loads =
            document.content.targets.iter().filter_map(|(name, spec)| Some((name, spec, spec.load.as_ref()?)));
        for (name, spec, wanted) in wanted_loads {
            self.order_or_inspect(board, lease, name, spec, wanted, out);
        }
    }

    /// Forgets the state of targets under an earlier lease. The last holder may have started a load just before, so the
    /// first load waits for one load interval.
    fn reset_for_lease(&mut self, board: &Blackboard, lease: HeldLease) {
        self.fencing = lease.fencing;
        self.targets.clear();
        self.next_load_at = board.now + Self::load_interval(board);
    }

    /// Returns the minimum interval between loads, from the document's loads per minute. Zero loads per minute count as
    /// one.
    fn load_interval(board: &Blackboard) -> Duration {
        Self::MINUTE / board.document.content.loads_per_minute.max(1)
    }

    /// Orders a target to load what the document wants if the target reported something else, and inspects it
    /// otherwise, each when due. Does nothing while a reply of the target is outstanding or too many are.
    fn order_or_inspect(
        &mut self,
        board: &Blackboard,
        lease: HeldLease,
        name: &TargetName,
        spec: &TargetSpec,
        wanted: &EngineSpec,
        out: &mut Vec<Action>,
    ) {
        let pending_count = self.targets.values().filter(|target_state| target_state.is_pending).count();
        let target_state = self.targets.entry(name.clone()).or_default();
        if target_state.is_pending || pending_count >= Self::MAX_PENDING {
            return;
        }
        let needs_load = target_state.loaded.as_ref().is_some_and(|loaded| loaded != wanted);
        if needs_load && board.now >= self.next_load_at {
            target_state.is_pending = true;
            // What is loaded after this order is known only from the next inspection.
            target_state.loaded = None;
            self.next_load_at = board.now + Self::load_interval(board);
            out.push(build_order(board, lease, name, spec, wanted));
        } else if !needs_load && board.now >= target_state.next_inspection_at {
            target_state.is_pending = true;
            target_state.next_inspection_at = board.now + Self::INSPECTION_INTERVAL;
            out.push(Action::Inspect(name.clone(), spec.address));
        }
    }

    /// Handles the reply to an order. The target is inspected at the next tick to see what it has loaded.
    fn handle_order_reply(&mut self, board: &mut Blackboard, target: &TargetName, reply: OrderReply) {
        if let Some(target_state) = self.targets.get_mut(target) {
            target_state.is_pending = false;
            target_state.next_inspection_at = board.now;
        }
        if reply == OrderReply::Stale {
            // Another node has taken the lease over. This node stops until the table service confirms that it holds the
            // lease.
            board.leases.revoke(LeaseKind::Orders);
        }
    }
}

impl Controller for LoadOrderController {
    fn on_event(&mut self, board: &mut Blackboard, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick if self.tick_timer.restart_if_due(Self::TICK_INTERVAL, board.now) => {
                self.handle_tick(board, out);
            }
            Event::Inspected(target, loaded) => {
                if let Some(target_state) = self.targets.get_mut(target) {
                    target_state.is_pending = false;
                    target_state.loaded.clone_from(loaded);
                }
            }
            Event::OrderAnswered(target, reply) => self.handle_order_reply(board, target, *reply),
            _ => {}
        }
    }
}

/// Returns a load order that is valid until the lease expires, but for at most the order timeout.
fn build_order(
    board: &Blackboard,
    lease: HeldLease,
    name: &TargetName,
    spec: &TargetSpec,
    wanted: &EngineSpec,
) -> Action {
    Action::SendLoadOrder(Box::new(LoadOrder {
        target: name.clone(),
        address: spec.address,
        fencing: lease.fencing,
        valid_for: board.now.until(lease.expires_at).min(LoadOrderController::ORDER_TIMEOUT),
        load: wanted.clone(),
    }))
}
