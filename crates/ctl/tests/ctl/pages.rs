//! The operators' page names every key of more than one word, metric and log prefix that the programs have.

use std::path::Path;

/// Text of a file of the workspace.
fn read(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Quoted words of a source that `wanted` takes.
fn quoted<'a>(source: &'a str, wanted: impl Fn(&str) -> bool + 'a) -> impl Iterator<Item = &'a str> {
    source.split('"').skip(1).step_by(2).filter(move |word| wanted(word))
}

fn is_key(word: &str) -> bool {
    word.contains('_') && word.chars().all(|c| c.is_ascii_lowercase() || c == '_')
}

#[test]
fn names_all_keys_metrics_and_prefixes() {
    // Arrange
    let page = read("docs/OPERATIONS.md");
    let settings = read("crates/node/src/settings.rs");
    let document = read("crates/wire/src/document.rs");
    let metering = read("crates/node/src/metering.rs");
    let parts = read("crates/node/src/part.rs");

    // Act
    let keys = quoted(&settings, is_key).chain(quoted(&document, is_key));
    let metrics = quoted(&metering, |word| word.starts_with("wasabipier_"));
    let prefixes = quoted(&parts, |word| word.ends_with(':'));
    let all: Vec<&str> = keys.chain(metrics).chain(prefixes).collect();
    let missing: Vec<&&str> = all
        .iter()
        .filter(|word| !page.contains(&format!("`{word}`")) && !page.contains(&format!("`{word}{{")))
        .collect();

    // Assert
    assert!(all.len() > 60, "{all:?}");
    assert!(missing.is_empty(), "docs/OPERATIONS.md does not name {missing:?}");
}
