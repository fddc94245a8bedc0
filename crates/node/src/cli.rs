//! The command line, declared in one place.

use std::path::PathBuf;

use argh::FromArgs;

use crate::exit::ExitKind;

/// Name of the program in its messages.
pub const PROGRAM: &str = "wasabipier";

/// Runs a node of wasabipier.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    error_code(0, "stopped gracefully; nothing was cut"),
    error_code(2, "the command line or the settings have faults"),
    error_code(3, "the node could not start"),
    error_code(4, "a second signal cut requests that were running")
)]
pub struct NodeArgs {
    /// file with the node's settings (INI)
    #[argh(option, short = 's')]
    pub settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

impl NodeArgs {
    /// Reads the process's command line.
    ///
    /// # Errors
    ///
    /// How to end: help was printed, or the faults were.
    pub fn from_env() -> Result<Self, ExitKind> {
        let args: Vec<String> = std::env::args_os().skip(1).map(|arg| arg.to_string_lossy().into_owned()).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        Self::from_args(&[PROGRAM], &args).map_err(|exit| {
            if exit.status.is_ok() {
                println!("{}", exit.output);
                return ExitKind::Success;
            }
            eprintln!("{PROGRAM}: {}; see `{PROGRAM} --help`", exit.output.trim_end());
            ExitKind::Settings
        })
    }
}
