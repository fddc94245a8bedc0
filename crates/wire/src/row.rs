//! Conversion of the table service's rows: keys to text, values to and from JSON.
//!
//! A claim is the right of one node to run a request that must not run twice, and later holds the answer. A seat is the
//! right to a fixed share of every target's limit. A lease is the right of one node to a task that only one node may do
//! at a time.

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
use crate::incremental::parse_changed_sections;
use crate::platform::TableRow;

/// Reason for which a row could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowError {
    /// The JSON is not a value that this release writes.
    #[error("row `{key}` does not hold what this version writes ({detail}): check that only this system writes there")]
    Malformed {
        /// Key of the row.
        key: String,
        /// Message of the parser.
        detail: String,
    },
}

/// Returns the text of a key within an environment, such as `production/seat/3`.
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

/// JSON form of [`RowValue`]. Nonces, instances and content hashes are 64-bit numbers in hexadecimal text, since JSON
/// readers may round numbers of that size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "row", rename_all = "kebab-case")]
enum WireRowValue {
    Claim {
        nonce: String,
        owner: String,
        instance: String,
        /// Hash of the request's content.
        content: String,
        /// Final answer; `None` while the request runs.
        answer: Option<WireAnswer>,
    },
    Seat {
        owner: String,
        instance: String,
        /// Number of the holder's term, incremented with each new holder.
        epoch: u64,
        /// Whether all calls of earlier holders had certainly ended when the row was written.
        rested: bool,
    },
    Lease {
        owner: String,
        instance: String,
        fencing: u64,
        renewals: u64,
    },
    /// The configuration of the environment, which operators promote.
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

/// Returns the JSON form of a row's value.
#[must_use]
pub fn value_to_json(value: &RowValue) -> serde_json::Value {
    let wire = match value {
        RowValue::Claim(row) => WireRowValue::Claim {
            nonce: row.nonce.to_string(),
            owner: row.owner.to_string(),
            instance: row.instance.to_string(),
            content: row.content.to_string(),
            answer: match &row.state {
                ClaimState::Running => None,
                ClaimState::Ended(answer) => Some(WireAnswer::from(&**answer)),
            },
        },
        RowValue::Seat(row) => WireRowValue::Seat {
            owner: row.owner.to_string(),
            instance: row.instance.to_string(),
            epoch: row.epoch,
            rested: row.is_drained,
        },
        RowValue::Lease(row) => WireRowValue::Lease {
            owner: row.owner.to_string(),
            instance: row.instance.to_string(),
            fencing: row.fencing,
            renewals: row.renewals,
        },
        RowValue::Document(document) => WireRowValue::Document {
            revision: document.revision.0,
            nonce: document.nonce.to_string(),
            author: document.author.to_string(),
            text: document.text.to_string(),
        },
        RowValue::Rollout(row) => WireRowValue::Rollout {
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

/// Decodes a row. `key` is the text of the row's key, which appears in errors.
///
/// # Errors
///
/// Returns [`RowError::Malformed`] if the JSON is not a value that this release writes.
pub fn row_from_json(key: &str, row: TableRow) -> Result<Row, RowError> {
    let malformed = |detail: String| RowError::Malformed { key: key.to_owned(), detail };
    let wire: WireRowValue = serde_json::from_value(row.value).map_err(|error| malformed(error.to_string()))?;
    let parse_hex = |text: &str| u64::from_str_radix(text, 16).map_err(|error| malformed(error.to_string()));
    let value = match wire {
        WireRowValue::Claim { nonce, owner, instance, content, answer } => RowValue::Claim(ClaimRow {
            nonce: Nonce(parse_hex(&nonce)?),
            owner: NodeName::new(owner),
            instance: InstanceId(parse_hex(&instance)?),
            content: Fingerprint(parse_hex(&content)?),
            state: answer.map_or(ClaimState::Running, |answer| ClaimState::Ended(Box::new(answer.into()))),
        }),
        WireRowValue::Seat { owner, instance, epoch, rested } => RowValue::Seat(SeatRow {
            owner: NodeName::new(owner),
            instance: InstanceId(parse_hex(&instance)?),
            epoch,
            is_drained: rested,
        }),
        WireRowValue::Lease { owner, instance, fencing, renewals } => RowValue::Lease(LeaseRow {
            owner: NodeName::new(owner),
            instance: InstanceId(parse_hex(&instance)?),
            fencing,
            renewals,
        }),
        WireRowValue::Document { revision, nonce, author, text } => {
            let nonce = Nonce(parse_hex(&nonce)?);
            let document = parse_accepted_document(revision, nonce, &author, &text).map_err(malformed)?;
            RowValue::Document(Arc::new(document))
        }
        WireRowValue::Rollout { service, version, attempt, revision, trial, state, step, reason, elapsed_ms } => {
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

/// Parses `text` and returns the accepted document with the given revision, nonce and author.
///
/// # Errors
///
/// Returns the list of all faults of the text, one a line.
pub fn parse_accepted_document(
    revision: u64,
    nonce: Nonce,
    author: &str,
    text: &str,
) -> Result<AcceptedDocument, String> {
    let content = parse_document(text).map_err(|faults| faults.to_string())?;
    Ok(build_accepted_document(Revision(revision), nonce, Arc::from(author), Arc::from(text), content))
}

/// Parses the text of `source` and returns the accepted document. If only sections of targets and organisations differ
/// from the base, only these are parsed.
///
/// # Errors
///
/// Returns the list of all faults of the text, one a line.
pub fn reparse_accepted_document(source: &DocumentSource) -> Result<AcceptedDocument, String> {
    let content = match parse_changed_sections(&source.base.content, &source.base.text, &source.text) {
        Some(content) => content,
        None => parse_document(&source.text).map_err(|faults| faults.to_string())?,
    };
    Ok(build_accepted_document(source.revision, source.nonce, source.author.clone(), source.text.clone(), content))
}

fn build_accepted_document(
    revision: Revision,
    nonce: Nonce,
    author: Arc<str>,
    text: Arc<str>,
    content: Document,
) -> AcceptedDocument {
    AcceptedDocument { revision, nonce, author, text, content }
}
