//! `wasabipier`: a node of the serving system, on an entry VM.

mod callers;
mod cli;
mod connections;
mod exit;
mod input;
mod ledger;
mod metering;
mod operators;
mod orders;
mod part;
mod peers;
mod platform;
mod ports;
mod run;
mod settings;
mod signals;
mod store;
mod targets;

use std::process::ExitCode;

use crate::cli::NodeArgs;
use crate::exit::ExitKind;
use crate::settings::NodeSettings;

fn main() -> ExitCode {
    let args = match NodeArgs::from_env() {
        Ok(args) => args,
        Err(kind) => return kind.into(),
    };
    // What a node did last is worth most when it ends without warning.
    spdlog::default_logger().set_flush_level_filter(spdlog::LevelFilter::All);
    let kind = match NodeSettings::load(&args) {
        Ok(settings) if args.check => {
            println!("{}: settings of node `{}` are valid", args.settings.display(), settings.identity.node);
            ExitKind::Success
        }
        Ok(settings) => run::run(&settings).unwrap_or_else(|error| exit::report(&error, ExitKind::Start)),
        Err(error) => exit::report(&error, ExitKind::Settings),
    };
    kind.into()
}
