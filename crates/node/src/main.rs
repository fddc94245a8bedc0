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
mod relay_settings;
mod run;
mod settings;
mod signals;
mod store;
mod targets;

use std::process::ExitCode;

use wasabipier_platform::UserPlatform;

use crate::cli::NodeArgs;
use crate::exit::ExitKind;
use crate::relay_settings::SettingsFile;
use crate::settings::NodeSettings;

fn main() -> ExitCode {
    let args = match NodeArgs::from_env() {
        Ok(args) => args,
        Err(kind) => return kind.into(),
    };
    if let Some(kind) = relay(&args) {
        return kind.into();
    }
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

/// Runs as a relaying node, if the settings are those of one.
fn relay(args: &NodeArgs) -> Option<ExitKind> {
    // A file that cannot be read is told by the settings of the product's own edges.
    let text = std::fs::read_to_string(&args.settings).ok().filter(|text| relay_settings::is_relay(text))?;
    let kind = match relay_settings::parse(&text) {
        Ok(settings) if args.check => {
            println!("{}: settings of node `{}` are valid", args.settings.display(), settings.identity.node);
            ExitKind::Success
        }
        Ok(settings) => {
            let source = SettingsFile { path: args.settings.clone() };
            let end = wasabipier_relay::node::run(settings, Box::new(UserPlatform), &source);
            end.map_or_else(|error| exit::report(&error, ExitKind::Start), |()| ExitKind::Success)
        }
        Err(faults) => exit::report(&faults, ExitKind::Settings),
    };
    Some(kind)
}
