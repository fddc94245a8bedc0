//! The node's clock. It goes on while the VM is suspended, so that a woken node knows that time passed.

use rustix::time::{ClockId, clock_gettime};
use wasabipier_core::clock::Moment;

/// Milliseconds since the VM started, suspension included.
#[must_use]
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    Moment(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
