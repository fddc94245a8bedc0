//! Reads a document that differs little from one that was read: only the sections that changed.
//!
//! Only changes of targets and organisations are read so, which are nearly all changes of a large
//! environment. Anything else, and anything that looks like a fault, is left to the whole reading.

use wasabipier_core::delta::TextDelta;
use wasabipier_core::document::Document;
use wasabipier_core::names::{OrgName, TargetName};

use crate::document::{check_whole, read_org, read_target};
use crate::fault::FaultList;
use crate::ini::IniReader;

/// Kinds of section that can be read on their own.
const KINDS: [&str; 2] = ["organisation", "target"];

/// The document of `new_text`, made from `old`, which `old_text` was read into; none if the text must
/// be read whole.
#[must_use]
pub fn reread(old: &Document, old_text: &str, new_text: &str) -> Option<Document> {
    let (old_part, new_part) = changed_sections(old_text, new_text);
    let old_reader = read_part(old_part)?;
    let mut reader = read_part(new_part)?;
    let mut document = old.clone();
    for name in old_reader.names("organisation") {
        document.orgs.remove(&OrgName::new(name));
    }
    for name in old_reader.names("target") {
        document.targets.remove(&TargetName::new(name));
    }
    for name in reader.names("organisation") {
        let spec = read_org(&mut reader, &format!("organisation {name}"));
        if document.orgs.insert(OrgName::new(name), spec).is_some() {
            return None;
        }
    }
    for name in reader.names("target") {
        let spec = read_target(&mut reader, &format!("target {name}"));
        if document.targets.insert(TargetName::new(name), spec).is_some() {
            return None;
        }
    }
    check_whole(&document, &mut reader.faults);
    (reader.faults == FaultList::default()).then_some(document)
}

fn read_part(part: &str) -> Option<IniReader> {
    let mut reader = IniReader::parse(part).ok()?;
    reader.check_sections(&[], &KINDS);
    (reader.faults == FaultList::default()).then_some(reader)
}

/// The whole sections of both texts within which all differences lie.
fn changed_sections<'a>(old: &'a str, new: &'a str) -> (&'a str, &'a str) {
    let delta = TextDelta::between(old, new);
    let head = &old[..delta.head];
    let start = head.rfind("\n[").map_or(0, |index| index + 1);
    let (old_end, new_end) = (old.len() - delta.tail, new.len() - delta.tail);
    let tail = &old[old_end..];
    // The bounds are looked for in what both texts share, so that they fall alike in both.
    let rest = tail.find("\n[").map_or(tail.len(), |index| index + 1);
    (&old[start..old_end + rest], &new[start..new_end + rest])
}
