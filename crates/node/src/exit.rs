//! Exit codes as a type.

use std::error::Error;
use std::process::ExitCode;

/// How the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// All done; a stop cut nothing.
    Success,
    /// The command line or the settings have faults.
    Settings,
    /// The node could not start.
    Start,
    /// A second signal cut work that was running.
    Cut,
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        Self::from(match kind {
            ExitKind::Success => 0,
            ExitKind::Settings => 2,
            ExitKind::Start => 3,
            ExitKind::Cut => 4,
        })
    }
}

/// Prints an error under the program's name and passes the exit code on.
pub fn report(error: &dyn Error, kind: ExitKind) -> ExitKind {
    for line in error.to_string().lines() {
        eprintln!("wasabipier: {line}");
    }
    kind
}
