//! The node's clock. It advances while the VM is suspended, so that a resumed node sees that time has passed.

use rustix::time::{ClockId, clock_gettime};
use wasabipier_core::clock::Moment;

/// Returns the time since the VM started, including time in suspension, in milliseconds.
#[must_use]
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    Moment(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
