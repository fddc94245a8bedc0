//! Exit codes and errors as types.

use std::path::PathBuf;
use std::process::ExitCode;

use wasabipier_wire::fault::FaultList;

use crate::cli::{PROGRAM, PlaceKind};

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// Done.
    Success,
    /// Something failed; try again.
    Failure,
    /// The input has faults.
    Input,
    /// Another operator was first.
    Conflict,
    /// It is not known whether it was done.
    Unknown,
    /// The report lacks the counts of some nodes.
    Partial,
    /// A candidate was taken back.
    TakenBack,
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        Self::from(match kind {
            ExitKind::Success => 0,
            ExitKind::Failure => 1,
            ExitKind::Input => 2,
            ExitKind::Conflict => 3,
            ExitKind::Unknown => 4,
            ExitKind::Partial => 5,
            ExitKind::TakenBack => 6,
        })
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// A file cannot be read.
    #[error("cannot read {path}: {source}; check the path")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file with the operators' key cannot be read.
    #[error("cannot read the operators' key from {path}: {source}; name its file with --key-file")]
    NoKeyFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[error("cannot write {path}: {source}; choose another file")]
    Unwritable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A node of another release.
    #[error("{0}")]
    OtherRelease(#[from] wasabipier_wire::burn::UnknownBurnName),
    /// A document has faults.
    #[error("{0}")]
    Faulty(FaultList),
    /// A document was refused by the node.
    #[error("{0}")]
    Invalid(String),
    /// No answer.
    #[error("no answer from {place}: {detail}; try another node with --node")]
    NoAnswer {
        /// Where.
        place: String,
        /// Why.
        detail: String,
    },
    /// The key is wrong.
    #[error("the node refused the key: name the file with the operators' key with --key-file")]
    NoKey,
    /// Another operator was first.
    #[error(
        "revision {revision} by {author} was accepted first; nothing was changed: edit that one (`document` prints it), then promote again"
    )]
    Conflict {
        /// The winner's revision.
        revision: u64,
        /// The winner.
        author: String,
    },
    /// Nothing was written.
    #[error("not accepted: the table service is out; promote again later")]
    NotAccepted,
    /// Not known.
    #[error("it is not known whether the document was accepted: look with `status` before promoting again")]
    Unknown,
    /// A name is not in the document.
    #[error("the document has no {kind} `{name}`: use one of {known}")]
    NoSuchPlace {
        /// What was looked for.
        kind: PlaceKind,
        /// Its name.
        name: String,
        /// Names that there are.
        known: String,
    },
    /// The ledger cannot be read.
    #[error("no answer from {place}: {detail}; check the address with --platform, or look again later")]
    NoLedger {
        /// Where.
        place: String,
        /// Why.
        detail: String,
    },
    /// It was accepted, but not seen in force everywhere.
    #[error("revision {revision} was accepted, but is not in force everywhere yet: {behind}; look with `status`")]
    Slow {
        /// The revision.
        revision: u64,
        /// Nodes that are behind.
        behind: String,
    },
    /// A trial needs a candidate.
    #[error("no service of the document has a `candidate`: add the key to a `[service …]` and try again")]
    NoCandidate,
    /// A candidate was not tried.
    #[error("{version} was not proved in trial: run `trial` with this document first, or add --unproved")]
    Unproved {
        /// The candidate.
        version: String,
    },
    /// A candidate was taken back.
    #[error("{version} was taken back: {reason}; mend it, then raise `attempt` in its service's section")]
    TakenBack {
        /// The candidate.
        version: String,
        /// Why.
        reason: String,
    },
    /// A candidate did not come to an end.
    #[error("{versions} is still being compared: look with `status`, and whether the table service is out")]
    Undecided {
        /// The candidates.
        versions: String,
    },
}

/// Prints an error under the program's name and tells the exit code.
#[must_use]
pub fn report(error: &CtlError) -> ExitKind {
    for line in error.to_string().lines() {
        eprintln!("{PROGRAM}: {line}");
    }
    match error {
        CtlError::Faulty(_)
        | CtlError::Invalid(_)
        | CtlError::Unreadable { .. }
        | CtlError::NoKeyFile { .. }
        | CtlError::NoSuchPlace { .. }
        | CtlError::NoCandidate
        | CtlError::Unproved { .. } => ExitKind::Input,
        CtlError::Conflict { .. } => ExitKind::Conflict,
        CtlError::Unknown => ExitKind::Unknown,
        CtlError::TakenBack { .. } => ExitKind::TakenBack,
        _ => ExitKind::Failure,
    }
}
