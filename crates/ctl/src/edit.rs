//! Changes one key of a document and leaves the rest as it was written.

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
