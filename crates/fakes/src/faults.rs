//! Faults of a stand-in, set over HTTP or by the test that holds it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults of one stand-in; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultSettings {
    /// Milliseconds added to each answer.
    pub delay_ms: u64,
    /// Share of calls that fail with status 500, 0 to 1.
    pub fail_share: f64,
    /// Calls fail with status 503 before anything is done.
    pub down: bool,
    /// The work is done, but its answer never sent.
    pub lose_answers: bool,
    /// Content that makes the stand-in crash.
    pub crash_on: String,
    /// Break the connection once after this many tokens; 0 never.
    pub break_after_tokens: u32,
    /// Route whose calls fail, by a word in their content.
    pub fail_on: String,
}

/// The faults of a running stand-in.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch {
    settings: Arc<Mutex<FaultSettings>>,
}

impl FaultSwitch {
    /// The faults now.
    #[must_use]
    pub fn get(&self) -> FaultSettings {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the faults.
    pub fn set(&self, settings: FaultSettings) {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = settings;
    }

    /// Clears the fault that breaks a stream; tells after how many tokens it was set to break.
    #[must_use]
    pub fn take_break(&self) -> u32 {
        let mut settings = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut settings.break_after_tokens)
    }

    /// Waits for the delay, if any.
    pub fn wait(&self) {
        let delay_ms = self.get().delay_ms;
        if delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
    }
}
