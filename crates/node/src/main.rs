//! `wasabipier`: a node of the serving system, which runs on an entry VM.

mod bounded_answers;
mod callers;
mod cli;
mod connections;
mod exit;
mod ledger;
mod log_prefix;
mod node_input;
mod node_metrics;
mod operators;
mod orders;
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
use crate::signals::HangupAction;

fn main() -> ExitCode {
    // A change of the settings may be announced while the node starts.
    let hangup = match HangupAction::ignore() {
        Ok(hangup) => hangup,
        Err(error) => return exit::report_error(&error, ExitKind::Start).into(),
    };
    let args = match NodeArgs::from_env() {
        Ok(args) => args,
        Err(kind) => return kind.into(),
    };
    if let Some(kind) = run_relay(&args) {
        return kind.into();
    }
    hangup.restore_default();
    // Each line is flushed at once, so that the last ones are there if the process crashes.
    spdlog::default_logger().set_flush_level_filter(spdlog::LevelFilter::All);
    let kind = match NodeSettings::load(&args) {
        Ok(settings) if args.check => {
            println!("{}: settings of node `{}` are valid", args.settings.display(), settings.identity.node);
            ExitKind::Success
        }
        Ok(settings) => run::run(&settings).unwrap_or_else(|error| exit::report_error(&error, ExitKind::Start)),
        Err(error) => exit::report_error(&error, ExitKind::Settings),
    };
    kind.into()
}

/// Runs a relaying node, or checks its settings, if the settings file has the section `[relay]`. Returns `None` if the
/// file has no such section or cannot be read.
fn run_relay(args: &NodeArgs) -> Option<ExitKind> {
    // A file that cannot be read is reported by `NodeSettings::load`, which `main` calls next.
    let text = std::fs::read_to_string(&args.settings).ok().filter(|text| relay_settings::has_relay_section(text))?;
    let kind = match relay_settings::parse(&text) {
        Ok(settings) if args.check => {
            println!("{}: settings of node `{}` are valid", args.settings.display(), settings.identity.node);
            ExitKind::Success
        }
        Ok(settings) => {
            let source = SettingsFile { path: args.settings.clone() };
            let result = wasabipier_relay::node::run(settings, Box::new(UserPlatform), &source);
            result.map_or_else(|error| exit::report_error(&error, ExitKind::Start), |()| ExitKind::Success)
        }
        Err(faults) => exit::report_error(&faults, ExitKind::Settings),
    };
    Some(kind)
}
