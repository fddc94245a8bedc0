//! Incremental parser for a document that differs little from one that is already parsed. Parses only the sections
//! that changed.
//!
//! Only changes of targets and organisations, which are nearly all changes of a large environment, are parsed
//! incrementally. For any other change, and for any text that may have a fault, the caller parses the whole document.

use wasabipier_core::delta::TextDelta;
use wasabipier_core::document::Document;
use wasabipier_core::names::{OrgName, TargetName};

use crate::document::{check_document, read_org, read_target};
use crate::fault::FaultList;
use crate::ini::IniReader;

/// Kinds of sections that can be parsed without the rest of the document.
const SECTION_KINDS: [&str; 2] = ["organisation", "target"];

/// Returns the document of `new_text`, derived from `old`, the document of `old_text`; `None` if `new_text` must be
/// parsed as a whole.
#[must_use]
pub fn parse_changed_sections(old: &Document, old_text: &str, new_text: &str) -> Option<Document> {
    let (old_part, new_part) = changed_sections(old_text, new_text);
    let old_reader = read_part(old_part)?;
    let mut reader = read_part(new_part)?;
    let mut document = old.clone();
    for name in old_reader.section_names("organisation") {
        document.orgs.remove(&OrgName::new(name));
    }
    for name in old_reader.section_names("target") {
        document.targets.remove(&TargetName::new(name));
    }
    for name in reader.section_names("organisation") {
        let spec = read_org(&mut reader, &format!("organisation {name}"));
        if document.orgs.insert(OrgName::new(name), spec).is_some() {
            return None;
        }
    }
    for name in reader.section_names("target") {
        let spec = read_target(&mut reader, &format!("target {name}"));
        if document.targets.insert(TargetName::new(name), spec).is_some() {
            return None;
        }
    }
    check_document(&document, &mut reader.faults);
    (reader.faults == FaultList::default()).then_some(document)
}

/// Returns a reader of `part`, or `None` if it has faults or sections that are not of [`SECTION_KINDS`].
fn read_part(part: &str) -> Option<IniReader> {
    let mut reader = IniReader::parse(part).ok()?;
    reader.check_sections(&[], &SECTION_KINDS);
    (reader.faults == FaultList::default()).then_some(reader)
}

/// Returns the part of each text that consists of whole sections and contains all differences between the texts.
fn changed_sections<'a>(old: &'a str, new: &'a str) -> (&'a str, &'a str) {
    let delta = TextDelta::between(old, new);
    let head = &old[..delta.prefix_len];
    let start = head.rfind("\n[").map_or(0, |index| index + 1);
    let (old_end, new_end) = (old.len() - delta.suffix_len, new.len() - delta.suffix_len);
    let tail = &old[old_end..];
    // Both bounds lie in text that the two texts share, so they are at corresponding places in both.
    let rest = tail.find("\n[").map_or(tail.len(), |index| index + 1);
    (&old[start..old_end + rest], &new[start..new_end + rest])
}
