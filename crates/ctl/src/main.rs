//! `wasabipierctl`: operators' command line.

mod ask;
mod burn;
mod charges;
mod cli;
mod client;
mod commands;
mod edit;
mod exit;

use std::process::ExitCode;

use crate::cli::CtlArgs;

fn main() -> ExitCode {
    let args: CtlArgs = argh::from_env();
    commands::run(&args).unwrap_or_else(|error| exit::report(&error)).into()
}
