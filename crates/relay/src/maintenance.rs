//! Periodic maintenance: expires entries and publishes gauges, as a `stakker` actor on the node's thread.

use std::time::{Duration, Instant};

use spdlog::info;
use stakker::{ActorOwn, CX, Stakker, actor, after, ret_nop};
use tokio::runtime::Handle;
use tokio::time::sleep_until;

use crate::blame;
use crate::clock;
use crate::limits;
use crate::log_prefixes::{STORE, TARGETS};
use crate::metering;
use crate::notices;
use crate::settled_eras;
use crate::state::SharedNode;
use crate::store;

/// Interval at which expired targets and idle connections are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which gauges are updated and samples are counted.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum sleep between two checks of the actor's timers.
const MAX_SLEEP: Duration = Duration::from_secs(1);

struct MaintenanceActor {
    node: SharedNode,
}

impl MaintenanceActor {
    #[expect(clippy::unnecessary_wraps, reason = "stakker requires this signature")]
    fn init(cx: CX![], node: SharedNode) -> Option<Self> {
        let mut actor = Self { node };
        actor.remove_expired(cx);
        actor.publish_gauges(cx);
        Some(actor)
    }

    fn remove_expired(&mut self, cx: CX![]) {
        blame::forget_old_suspects(&self.node);
        settled_eras::update_settlement(&self.node);
        let expired = self.node.board.borrow_mut().remove_expired(clock::now());
        for target in expired {
            self.node.pool.close_idle(&target);
            info!("{TARGETS} target is gone.", kv: { target = target.as_str() });
        }
        self.node.pool.close_expired(&self.node.board.borrow());
        limits::publish_brittle_services(&self.node);
        notices::publish_limit_changes(&self.node);
        store::start_serving_if_ready(&self.node);
        let orders = self.node.board.borrow_mut().apply_withheld_orders(clock::now());
        for order in &orders {
            let what = store::describe_order(order);
            info!("{STORE} order was lost and not written again.", kv: { what = what.as_str() });
        }
        after!(SWEEP_INTERVAL, [cx], remove_expired());
    }

    fn publish_gauges(&mut self, cx: CX![]) {
        metering::publish_gauges(&self.node.board.borrow(), self.node.open_requests.get(), clock::now());
        metering::publish_busy_time(Handle::current().metrics().worker_total_busy_duration(0));
        metering::count_samples(&self.node.metrics);
        after!(GAUGE_INTERVAL, [cx], publish_gauges());
    }
}

/// Runs the periodic maintenance until the node ends.
pub async fn run(node: SharedNode) {
    let mut stakker = Stakker::new(Instant::now());
    let _actor: ActorOwn<MaintenanceActor> = actor!(&mut stakker, MaintenanceActor::init(node), ret_nop!());
    while stakker.not_shutdown() {
        stakker.run(Instant::now(), false);
        let due_at = Instant::now() + stakker.next_wait_max(Instant::now(), MAX_SLEEP, false);
        sleep_until(due_at.into()).await;
        metering::record_loop_delay(due_at.elapsed());
    }
}
