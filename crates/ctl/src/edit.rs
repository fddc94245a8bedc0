//! Edits of a document that leave the rest as it was written: one key, and the revision in the first line.

/// `text` with `key = value` in `section`; none if there is no such section.
#[must_use]
pub fn set(text: &str, section: &str, key: &str, value: &str) -> Option<String> {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let head = format!("[{section}]");
    let start = lines.iter().position(|line| line.trim() == head)? + 1;
    let end = lines[start..].iter().position(|line| line.trim().starts_with('[')).map_or(lines.len(), |n| start + n);
    let is_key = |line: &String| line.split('=').next().is_some_and(|name| name.trim() == key);
    let line = format!("{key} = {value}");
    match lines[start..end].iter().position(is_key) {
        Some(offset) => lines[start + offset] = line,
        None => lines.insert(start, line),
    }
    Some(lines.join("\n") + "\n")
}

/// First line of a printed document, before its revision.
const STAMP: &str = "; revision ";

/// `text` with its revision in the first line.
#[must_use]
pub fn stamp(text: &str, revision: u64) -> String {
    let body = match text.split_once('\n') {
        Some((first, rest)) if first.starts_with(STAMP) => rest,
        _ => text,
    };
    format!("{STAMP}{revision}\n{body}")
}

/// The revision in the first line, if there is one.
#[must_use]
pub fn stamped(text: &str) -> Option<u64> {
    text.lines().next()?.strip_prefix(STAMP)?.trim().parse().ok()
}
