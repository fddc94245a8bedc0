//! SIGTERM and SIGINT: the first asks for a graceful shutdown, a second for one at once.

use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use spdlog::info;
use wasabipier_core::prelude::Event;

use crate::input::{InputSender, NodeInput};
use crate::part::NODE;

/// Starts to listen for signals.
///
/// # Errors
///
/// The machine refuses the handler or the thread.
pub fn start(sender: InputSender) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for (count, _) in signals.forever().enumerate() {
            let input = if count == 0 {
                info!("{NODE} asked to stop; serving until addresses handed out have lapsed.");
                NodeInput::Core(Event::StopRequested)
            } else {
                NodeInput::Hurry
            };
            if sender.send(input).is_err() {
                return;
            }
        }
    })?;
    Ok(())
}
