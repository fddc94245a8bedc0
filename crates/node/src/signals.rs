//! Handling of SIGTERM and SIGINT: the first signal starts a graceful shutdown, the second one stops at once. SIGHUP, which
//! asks a relaying node to read its settings again, does not end it while it starts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use signal_hook::iterator::Signals;
use spdlog::info;
use wasabipier_core::prelude::Event;

use crate::log_prefix::NODE;
use crate::node_input::{InputSender, NodeInput};

/// What SIGHUP does beside the handlers of the node.
#[derive(Debug)]
pub struct HangupAction {
    ends_process: Arc<AtomicBool>,
}

impl HangupAction {
    /// Has SIGHUP do nothing from now on.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the handler.
    pub fn ignore() -> std::io::Result<Self> {
        let ends_process = Arc::new(AtomicBool::new(false));
        flag::register_conditional_default(SIGHUP, ends_process.clone())?;
        Ok(Self { ends_process })
    }

    /// Has SIGHUP end the process, as without a handler.
    pub fn restore_default(&self) {
        self.ends_process.store(true, Ordering::Relaxed);
    }
}

/// Starts the thread that waits for signals and passes each to the decision thread.
///
/// # Errors
///
/// Fails if the operating system refuses the handler or the thread.
pub fn spawn_signal_thread(inputs: InputSender) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for (count, _) in signals.forever().enumerate() {
            let input = if count == 0 {
                info!("{NODE} asked to stop; serving until addresses handed out have lapsed.");
                NodeInput::Core(Event::StopRequested)
            } else {
                NodeInput::StopNow
            };
            if inputs.send(input).is_err() {
                return;
            }
        }
    })?;
    Ok(())
}
