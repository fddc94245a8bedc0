//! `wasabipierctl`, the operators' command line.

mod admission;
mod ask;
mod burn;
mod charges;
mod check_relay;
mod cli;
mod client;
mod commands;
mod edit;
mod exit;
mod ledger_time;
mod output;
mod promote;
mod rollout;
mod status;

use std::process::ExitCode;

use crate::cli::CtlArgs;

fn main() -> ExitCode {
    let kind = match CtlArgs::from_env() {
        Ok(args) => commands::run(&args).unwrap_or_else(|error| exit::report_error(&error)),
        Err(kind) => kind,
    };
    kind.into()
}
