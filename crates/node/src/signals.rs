//! Handling of SIGTERM and SIGINT: the first signal starts a graceful shutdown, the second one stops at once.

use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use spdlog::info;
use wasabipier_core::prelude::Event;

use crate::log_prefix::NODE;
use crate::node_input::{InputSender, NodeInput};

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
