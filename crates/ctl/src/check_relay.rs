//! Checks a configuration of relaying nodes, which needs no node.

use std::path::Path;

use serde::Serialize;
use wasabipier_core::relay::document::RelayDocument;
use wasabipier_core::relay::document_check::{
    DocumentDifference, DocumentFinding, FindingSeverity, check_document, compare_documents,
};

use crate::cli::CheckRelayArgs;
use crate::commands::read_file;
use crate::exit::{CtlError, ExitKind};
use crate::output::print_line;

/// Result of a check as JSON.
#[derive(Serialize)]
struct CheckReport {
    findings: Vec<FindingReport>,
    /// Empty if no configuration in force was given.
    differences: Vec<DifferenceReport>,
}

#[derive(Serialize)]
struct FindingReport {
    /// `error` or `warning`.
    severity: String,
    place: String,
    message: String,
}

#[derive(Serialize)]
struct DifferenceReport {
    /// `added`, `changed` or `removed`.
    kind: String,
    place: String,
}

/// Prints what is wrong with a configuration, and what differs from the one in force if that is given.
///
/// # Errors
///
/// Returns an error if a file cannot be read or decoded.
pub fn check(options: &CheckRelayArgs) -> Result<ExitKind, CtlError> {
    let document = read_config(&options.config)?;
    let in_force = options.in_force.as_deref().map(read_config).transpose()?;
    let findings = check_document(&document);
    let differences = in_force.map(|in_force| compare_documents(&in_force, &document)).unwrap_or_default();
    if options.json {
        print_json(&findings, &differences);
    } else {
        print_text(&options.config, &findings, &differences);
    }
    let has_error = findings.iter().any(|finding| finding.severity == FindingSeverity::Error);
    Ok(if has_error { ExitKind::Input } else { ExitKind::Success })
}

fn read_config(path: &Path) -> Result<RelayDocument, CtlError> {
    let text = read_file(path)?;
    wasabipier_platform::read_document(text.as_bytes())
        .map_err(|detail| CtlError::UndecodableConfig { path: path.to_owned(), detail })
}

fn print_text(path: &Path, findings: &[DocumentFinding], differences: &[DocumentDifference]) {
    for finding in findings {
        print_line!("{finding}");
    }
    for difference in differences {
        print_line!("{difference}");
    }
    if findings.is_empty() {
        print_line!("{}: valid", path.display());
    }
}

fn print_json(findings: &[DocumentFinding], differences: &[DocumentDifference]) {
    let findings = findings.iter().map(|finding| FindingReport {
        severity: finding.severity.to_string(),
        place: finding.place.clone(),
        message: finding.message.clone(),
    });
    let differences = differences
        .iter()
        .map(|difference| DifferenceReport { kind: difference.kind.to_string(), place: difference.place.clone() });
    let report = CheckReport { findings: findings.collect(), differences: differences.collect() };
    // Serializing strings cannot fail.
    print_line!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
}
