//! Rows of the table service: keys as text, values as JSON.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wasabipier_core::action::DocumentSource;
use wasabipier_core::document::{AcceptedDocument, Document, Revision};
use wasabipier_core::names::{Fingerprint, InstanceId, NodeName, Nonce, ServiceName, VersionKey, VersionName};
use wasabipier_core::store::{
    ClaimRow, ClaimState, LeaseRow, RolloutRow, RolloutState, Row, RowKey, RowValue, RowVersion, SeatRow,
};
use wasabipier_core::versions::CandidateKey;

use crate::answer::WireAnswer;
use crate::document::parse_document;
use crate::platform::TableRow;
use crate::reread::reread;

/// Why a row could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowError {
    /// The JSON is not a row of this system.
    #[error("row `{key}` does not hold what this version writes ({detail}): check that only this system writes there")]
    Malformed {
        /// Key.
        key: String,
        /// What the parser said.
        detail: String,
    },
}

/// Text of a key within an environment.
#[must_use]
pub fn key_text(environment: &str, key: &RowKey) -> String {
    match key {
        RowKey::Claim(key) => format!("{environment}/claim/{key}"),
        RowKey::Seat(seat) => format!("{environment}/seat/{seat}"),
        RowKey::Lease(kind) => format!("{environment}/lease/{kind}"),
        RowKey::Document => format!("{environment}/document"),
        RowKey::Rollout(service) => format!("{environment}/rollout/{service}"),
    }
}

/// A row's value as JSON. Numbers of 64 bits stand as text, since JSON readers may round them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "row", rename_all = "kebab-case")]
enum WireRow {
    Claim {
        nonce: String,
        owner: String,
        instance: String,
        content: String,
        answer: Option<WireAnswer>,
    },
    Seat {
        owner: String,
        instance: String,
        epoch: u64,
        rested: bool,
    },
    Lease {
        owner: String,
        instance: String,
        fencing: u64,
        renewals: u64,
    },
    Document {
        revision: u64,
        nonce: String,
        author: String,
        text: String,
    },
    Rollout {
        service: String,
        version: String,
        attempt: u32,
        revision: u64,
        trial: bool,
        state: String,
        step: u32,
        reason: String,
        elapsed_ms: u64,
    },
}

/// A value as JSON.
#[must_use]
pub fn value_to_json(value: &RowValue) -> serde_json::Value {
    let wire = match value {
        RowValue::Claim(row) => WireRow::Claim {
            nonce: row.nonce.to_string(),
            owner: row.owner.to_string(),
            instance: row.instance.to_string(),
            content: row.content.to_string(),
            answer: match &row.state {
                ClaimState::Running => None,
                ClaimState::Ended(answer) => Some(WireAnswer::from(&**answer)),
            },
        },
        RowValue::Seat(row) => WireRow::Seat {
            owner: row.owner.to_string(),
            instance: row.instance.to_string(),
            epoch: row.epoch,
            rested: row.is_drained,
        },
        RowValue::Lease(row) => WireRow::Lease {
            owner: row.owner.to_string(),
            instance: row.instance.to_string(),
            fencing: row.fencing,
            renewals: row.renewals,
        },
        RowValue::Document(document) => WireRow::Document {
            revision: document.revision.0,
            nonce: document.nonce.to_string(),
            author: document.author.to_string(),
            text: document.text.to_string(),
        },
        RowValue::Rollout(row) => WireRow::Rollout {
            service: row.candidate.version.service.to_string(),
            version: row.candidate.version.version.to_string(),
            attempt: row.candidate.attempt,
            revision: row.revision.0,
            trial: row.trial,
            state: row.state.to_string(),
            step: row.step,
            reason: row.reason.to_string(),
            elapsed_ms: row.elapsed_ms,
        },
    };
    serde_json::to_value(wire).unwrap_or_default()
}

/// A row from JSON.
///
/// # Errors
///
/// The JSON is not a row of this system.
pub fn row_from_json(key: &str, row: TableRow) -> Result<Row, RowError> {
    let malformed = |detail: String| RowError::Malformed { key: key.to_owned(), detail };
    let wire: WireRow = serde_json::from_value(row.value).map_err(|error| malformed(error.to_string()))?;
    let number = |text: &str| u64::from_str_radix(text, 16).map_err(|error| malformed(error.to_string()));
    let value = match wire {
        WireRow::Claim { nonce, owner, instance, content, answer } => RowValue::Claim(ClaimRow {
            nonce: Nonce(number(&nonce)?),
            owner: NodeName::new(owner),
            instance: InstanceId(number(&instance)?),
            content: Fingerprint(number(&content)?),
            state: answer.map_or(ClaimState::Running, |answer| ClaimState::Ended(Box::new(answer.into()))),
        }),
        WireRow::Seat { owner, instance, epoch, rested } => RowValue::Seat(SeatRow {
            owner: NodeName::new(owner),
            instance: InstanceId(number(&instance)?),
            epoch,
            is_drained: rested,
        }),
        WireRow::Lease { owner, instance, fencing, renewals } => RowValue::Lease(LeaseRow {
            owner: NodeName::new(owner),
            instance: InstanceId(number(&instance)?),
            fencing,
            renewals,
        }),
        WireRow::Document { revision, nonce, author, text } => {
            let nonce = Nonce(number(&nonce)?);
            let document = accepted(revision, nonce, &author, &text).map_err(malformed)?;
            RowValue::Document(Arc::new(document))
        }
        WireRow::Rollout { service, version, attempt, revision, trial, state, step, reason, elapsed_ms } => {
            let version = VersionKey { service: ServiceName::new(service), version: VersionName::new(version) };
            RowValue::Rollout(RolloutRow {
                candidate: CandidateKey { version, attempt },
                revision: Revision(revision),
                trial,
                state: state.parse::<RolloutState>().map_err(|error| malformed(error.to_string()))?,
                step,
                reason: Arc::from(reason),
                elapsed_ms,
            })
        }
    };
    Ok(Row { version: RowVersion(row.version), value })
}

/// An accepted document from its parts.
///
/// # Errors
///
/// The text has faults, all of which are named.
pub fn accepted(revision: u64, nonce: Nonce, author: &str, text: &str) -> Result<AcceptedDocument, String> {
    let content = parse_document(text).map_err(|faults| faults.to_string())?;
    Ok(assemble(Revision(revision), nonce, Arc::from(author), Arc::from(text), content))
}

/// An accepted document from its source, read from its base as far as possible.
///
/// # Errors
///
/// The text has faults, all of which are named.
pub fn accepted_on_base(source: &DocumentSource) -> Result<AcceptedDocument, String> {
    let content = match reread(&source.base.content, &source.base.text, &source.text) {
        Some(content) => content,
        None => parse_document(&source.text).map_err(|faults| faults.to_string())?,
    };
    Ok(assemble(source.revision, source.nonce, source.author.clone(), source.text.clone(), content))
}

fn assemble(revision: Revision, nonce: Nonce, author: Arc<str>, text: Arc<str>, content: Document) -> AcceptedDocument {
    AcceptedDocument { revision, nonce, author, text, content }
}
