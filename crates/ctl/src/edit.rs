//! Edits the text of a document, which is the configuration of an environment in INI form: sets one key, or the
//! revision in the first line. All other lines stay as written.

/// Returns `text` with `key = value` in `section`, or `None` if the section does not exist. Replaces the first line
/// with the key, or inserts the line as the first one of the section.
#[must_use]
pub fn set_key(text: &str, section: &str, key: &str, value: &str) -> Option<String> {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let header = format!("[{section}]");
    let start = lines.iter().position(|line| line.trim() == header)? + 1;
    let end = lines[start..].iter().position(|line| line.trim().starts_with('[')).map_or(lines.len(), |n| start + n);
    let has_key = |line: &String| line.split('=').next().is_some_and(|name| name.trim() == key);
    let line = format!("{key} = {value}");
    match lines[start..end].iter().position(has_key) {
        Some(offset) => lines[start + offset] = line,
        None => lines.insert(start, line),
    }
    Some(lines.join("\n") + "\n")
}

/// Text before the revision in the first line of a printed document.
const REVISION_PREFIX: &str = "; revision ";

/// Returns `text` with a first line that names `revision`. Replaces the revision line that `text` may begin with.
#[must_use]
pub fn add_revision_line(text: &str, revision: u64) -> String {
    let body = match text.split_once('\n') {
        Some((first, rest)) if first.starts_with(REVISION_PREFIX) => rest,
        _ => text,
    };
    format!("{REVISION_PREFIX}{revision}\n{body}")
}

/// Returns the revision in the first line of `text`, or `None` if the first line is not a revision line.
#[must_use]
pub fn parse_revision_line(text: &str) -> Option<u64> {
    text.lines().next()?.strip_prefix(REVISION_PREFIX)?.trim().parse().ok()
}
