//! Command line of the node.

use std::path::PathBuf;

use argh::FromArgs;

use crate::exit::ExitKind;

/// Name of the program in messages.
pub const PROGRAM: &str = "wasabipier";

/// Run a node of wasabipier.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    error_code(0, "stopped gracefully; nothing was cut"),
    error_code(2, "the command line or the settings have faults"),
    error_code(3, "the node could not start"),
    error_code(4, "a second signal cut requests that were running")
)]
pub struct NodeArgs {
    /// read the node's settings from this INI file (required)
    #[argh(option, short = 's')]
    pub settings: PathBuf,

    /// check the settings and exit without starting the node (default: off)
    #[argh(switch)]
    pub check: bool,
}

impl NodeArgs {
    /// Reads the command line of the process.
    ///
    /// # Errors
    ///
    /// Returns how the process must end after the help or the errors were printed.
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
