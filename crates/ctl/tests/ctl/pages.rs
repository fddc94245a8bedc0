//! Checks that the operators' page names every key of more than one word, every metric and every log prefix of the
//! programs.

use std::path::Path;

/// Reads a file of the workspace; `path` is relative to its root.
fn read(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns the texts between double quotes in a source file for which `is_wanted` holds.
fn string_literals<'a>(source: &'a str, is_wanted: impl Fn(&str) -> bool + 'a) -> impl Iterator<Item = &'a str> {
    source.split('"').skip(1).step_by(2).filter(move |word| is_wanted(word))
}

/// Returns whether a text looks like a key of more than one word: lower-case letters and at least one underscore.
fn is_compound_key(word: &str) -> bool {
    word.contains('_') && word.chars().all(|c| c.is_ascii_lowercase() || c == '_')
}

#[test]
fn operators_page_names_all_keys_metrics_and_log_prefixes() {
    // Arrange
    let page = read("docs/OPERATIONS.md");
    let settings = read("crates/node/src/settings.rs");
    let document = read("crates/wire/src/document.rs");
    let metrics_source = read("crates/node/src/node_metrics.rs");
    let prefix_source = read("crates/node/src/log_prefix.rs");

    // Act
    let keys = string_literals(&settings, is_compound_key).chain(string_literals(&document, is_compound_key));
    let metrics = string_literals(&metrics_source, |word| word.starts_with("wasabipier_"));
    let prefixes = string_literals(&prefix_source, |word| word.ends_with(':'));
    let all: Vec<&str> = keys.chain(metrics).chain(prefixes).collect();
    let missing: Vec<&&str> = all
        .iter()
        .filter(|word| !page.contains(&format!("`{word}`")) && !page.contains(&format!("`{word}{{")))
        .collect();

    // Assert
    assert!(all.len() > 60, "{all:?}");
    assert!(missing.is_empty(), "docs/OPERATIONS.md does not name {missing:?}");
}
