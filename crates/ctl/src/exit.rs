//! Kinds of exit with their codes, and the errors of commands.

use std::path::PathBuf;
use std::process::ExitCode;

use wasabipier_wire::fault::FaultList;

use crate::cli::{PROGRAM, PlaceKind};

/// Kind of exit, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// The command succeeded.
    Success,
    /// The command failed for another reason, such as a node that does not answer. A retry may succeed.
    Failure,
    /// The command line, a file or the document has faults.
    Input,
    /// Another operator's document was accepted first.
    Conflict,
    /// It is not known whether the document was accepted.
    Unknown,
    /// The report lacks the counts of some nodes.
    Partial,
    /// A candidate version was taken back.
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

/// Reason for the failure of a command. Each message says what to do.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// A file other than the key file cannot be read.
    #[error("cannot read {path}: {source}; check the path")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the read.
        source: std::io::Error,
    },
    /// The file with the operators' key cannot be read.
    #[error("cannot read the operators' key from {path}: {source}; give the path of the key file with --key-file")]
    UnreadableKey {
        /// Path of the key file.
        path: PathBuf,
        /// Error of the read.
        source: std::io::Error,
    },
    /// A configuration of relaying nodes cannot be decoded.
    #[error("{path}: {detail}; correct the file")]
    UndecodableConfig {
        /// Path of the file.
        path: PathBuf,
        /// What is wrong, with line and column.
        detail: String,
    },
    /// A file cannot be written.
    #[error("cannot write {path}: {source}; choose another path")]
    Unwritable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the write.
        source: std::io::Error,
    },
    /// The reply of a node has a word that this release does not know.
    #[error("{0}")]
    IncompatibleRelease(#[from] wasabipier_wire::burn::UnknownBurnName),
    /// The document has faults, which were found before it was sent. Holds one line for each fault.
    #[error("{0}")]
    InvalidDocument(FaultList),
    /// The node found faults in the document and refused it. Holds one line for each fault.
    #[error("{0}")]
    RefusedDocument(String),
    /// A call to a node failed: there was no answer, or one with an error status or a body that is not valid.
    #[error("no answer from {url}: {detail}; try another node with --node")]
    CallFailed {
        /// URL of the call.
        url: String,
        /// Error of the call.
        detail: String,
    },
    /// The node refused the operators' key.
    #[error("the node refused the operators' key: give the path of the right key file with --key-file")]
    KeyRefused,
    /// Another operator's document was accepted first.
    #[error(
        "revision {revision} by {author} was accepted first; nothing was changed: edit that one (`document` prints \
         it), then promote again"
    )]
    Conflict {
        /// Revision of the accepted document.
        revision: u64,
        /// Author of the accepted document.
        author: String,
    },
    /// The document was not written, because the table service is unavailable.
    #[error("not accepted: the table service is out; promote again later")]
    NotAccepted,
    /// The outcome of the promotion is not known, as after a timeout.
    #[error("it is not known whether the document was accepted: run `status` before promoting again")]
    Unknown,
    /// The document has no data centre or target of the given name.
    #[error("the document has no {kind} `{name}`: use one of {known}")]
    NoSuchPlace {
        /// Kind of place that was looked up.
        kind: PlaceKind,
        /// Name that was looked up.
        name: String,
        /// Names of that kind in the document, joined by commas.
        known: String,
    },
    /// A read of the ledger failed: there was no answer, or one with an error status or a body that is not valid.
    #[error("no answer from {url}: {detail}; give another address with --platform, or try again later")]
    LedgerReadFailed {
        /// URL of the call to the object store.
        url: String,
        /// Error of the call.
        detail: String,
    },
    /// The document was accepted, but was not in force at every node in time.
    #[error("revision {revision} was accepted, but is not in force yet at {behind}; check progress with `status`")]
    NotInForce {
        /// Revision of the accepted document.
        revision: u64,
        /// Names of the nodes with an older revision, joined by commas.
        behind: String,
    },
    /// The document has no candidate to put on trial.
    #[error("no service of the document has a `candidate`: add the key to a `[service …]` section and try again")]
    NoCandidate,
    /// A candidate was not proved in a trial.
    #[error("{version} was not proved in trial: run `trial` with this document first, or add --unproved")]
    Unproved {
        /// Service, version and attempt of the candidate.
        version: String,
    },
    /// A candidate version was taken back.
    #[error("{version} was taken back: {reason}; fix the version, then raise `attempt` in the section of its service")]
    TakenBack {
        /// Service, version and attempt of the candidate.
        version: String,
        /// Reason that the nodes recorded.
        reason: String,
    },
    /// Candidates were not decided in time.
    #[error(
        "no verdict yet on {versions}: check progress with `status`, and check that the table service is available"
    )]
    Undecided {
        /// Services and versions of the candidates, joined by commas.
        versions: String,
    },
}

/// Prints an error on standard error, each line prefixed with the program's name, and returns the kind of exit.
#[must_use]
pub fn report_error(error: &CtlError) -> ExitKind {
    for line in error.to_string().lines() {
        eprintln!("{PROGRAM}: {line}");
    }
    match error {
        CtlError::InvalidDocument(_)
        | CtlError::UndecodableConfig { .. }
        | CtlError::RefusedDocument(_)
        | CtlError::Unreadable { .. }
        | CtlError::UnreadableKey { .. }
        | CtlError::NoSuchPlace { .. }
        | CtlError::NoCandidate
        | CtlError::Unproved { .. } => ExitKind::Input,
        CtlError::Conflict { .. } => ExitKind::Conflict,
        CtlError::Unknown => ExitKind::Unknown,
        CtlError::TakenBack { .. } => ExitKind::TakenBack,
        _ => ExitKind::Failure,
    }
}
