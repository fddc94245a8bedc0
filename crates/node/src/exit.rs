//! Exit codes of the process.

use std::error::Error;
use std::process::ExitCode;

/// How the process ended, which decides its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// The process did what was asked; no running request was cut.
    Success,
    /// The command line or the settings have faults.
    Settings,
    /// The node could not start.
    Start,
    /// A second signal cut requests that were running.
    Interrupted,
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        Self::from(match kind {
            ExitKind::Success => 0,
            ExitKind::Settings => 2,
            ExitKind::Start => 3,
            ExitKind::Interrupted => 4,
        })
    }
}

/// Prints an error to stderr, each line after the program's name, and returns `kind` unchanged.
pub fn report_error(error: &dyn Error, kind: ExitKind) -> ExitKind {
    for line in error.to_string().lines() {
        eprintln!("wasabipier: {line}");
    }
    kind
}
