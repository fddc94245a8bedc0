//! Duties at intervals, as a `stakker` actor on the node's thread.

use std::time::{Duration, Instant};

use spdlog::info;
use stakker::{ActorOwn, CX, Stakker, actor, after, ret_nop};
use tokio::time::sleep;

use crate::clock;
use crate::metering;
use crate::part::TARGETS;
use crate::state::SharedNode;

/// Interval at which what is due is dropped.
const SWEEP_EVERY: Duration = Duration::from_millis(100);
/// Interval at which gauges are brought up to date.
const GAUGES_EVERY: Duration = Duration::from_secs(1);
/// Longest sleep between two looks at the actor's timers.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

struct ControlActor {
    node: SharedNode,
}

impl ControlActor {
    #[expect(clippy::unnecessary_wraps, reason = "the signature that stakker asks for")]
    fn init(cx: CX![], node: SharedNode) -> Option<Self> {
        let mut actor = Self { node };
        actor.sweep(cx);
        actor.publish(cx);
        Some(actor)
    }

    fn sweep(&mut self, cx: CX![]) {
        let gone = self.node.board.borrow_mut().remove_expired(clock::now());
        for target in gone {
            self.node.pool.forget(&target);
            info!("{TARGETS} target is gone.", kv: { target = target.as_str() });
        }
        self.node.pool.sweep();
        after!(SWEEP_EVERY, [cx], sweep());
    }

    fn publish(&mut self, cx: CX![]) {
        metering::publish(&self.node.board.borrow(), self.node.open.get(), clock::now());
        after!(GAUGES_EVERY, [cx], publish());
    }
}

/// Runs the duties until the node ends.
pub async fn run(node: SharedNode) {
    let mut stakker = Stakker::new(Instant::now());
    let _actor: ActorOwn<ControlActor> = actor!(&mut stakker, ControlActor::init(node), ret_nop!());
    while stakker.not_shutdown() {
        stakker.run(Instant::now(), false);
        sleep(stakker.next_wait_max(Instant::now(), LONGEST_SLEEP, false)).await;
    }
}
