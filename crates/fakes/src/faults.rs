//! Injected faults of a stand-in, set through `POST /faults` or by a test in the same process.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults of one stand-in. The default injects none.
///
/// At a target the faults apply to the calls that it runs, but not to load reports and load orders. At the platform
/// `delay_ms` and `down` apply to all calls, `lose_answers` applies to batches of table operations and to writes of
/// objects, and the other faults have no effect. No fault applies to `/faults` and `/stats`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultSettings {
    /// Milliseconds of delay before each call is handled: a client receives the answer that much later.
    pub delay_ms: u64,
    /// Share of a target's calls, 0 to 1, that aren't run and for which the client receives status 500.
    pub fail_share: f64,
    /// Whether a client receives status 503 for each call, which isn't run.
    pub down: bool,
    /// Whether a client of a service or of the platform waits for an answer that is never sent.
    ///
    /// The work is done and the connection stays open. Engines ignore this fault.
    pub lose_answers: bool,
    /// Text that crashes the target whose call contains the text; empty for none.
    ///
    /// All clients of the target see their connections break, and new ones refused until the restart of the target,
    /// which is cold then and reports a new instance.
    pub crash_on: String,
    /// Token index at which an engine crashes during its next stream; 0 for none.
    ///
    /// The client receives the tokens before this index. Then the engine's connections break as for `crash_on`. The
    /// next stream clears this fault, also if the stream ends earlier.
    pub break_after_tokens: u32,
    /// Whether a client of a target receives a body that does not end, and is no answer, until it closes the connection.
    ///
    /// The call isn't run. The body is that of a stream whose first event does not end.
    pub endless: bool,
    /// Text for which a client of a target receives status 500 if the call contains the text; empty for none.
    ///
    /// The call isn't run. A text that stands in the calls of one route makes just this route fail.
    pub fail_on: String,
}

/// Faults of a running stand-in, shared by its threads and the test.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch {
    settings: Arc<Mutex<FaultSettings>>,
}

impl FaultSwitch {
    /// Returns the present faults.
    #[must_use]
    pub fn get(&self) -> FaultSettings {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces all faults.
    pub fn set(&self, settings: FaultSettings) {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = settings;
    }

    /// Clears the fault that breaks a stream and returns the token index at which it breaks, 0 for none.
    #[must_use]
    pub fn take_stream_break(&self) -> u32 {
        let mut settings = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut settings.break_after_tokens)
    }

    /// Sleeps for the injected delay, if any.
    pub fn sleep_for_delay(&self) {
        let delay_ms = self.get().delay_ms;
        if delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
    }
}
