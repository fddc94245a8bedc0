//! Checks that `docs/PROOFS.md` names only tests that exist.

use std::fs;
use std::path::{Path, PathBuf};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Appends the source of the Rust files in a directory tree for which `is_test_file` holds to `text`.
fn append_sources(directory: &Path, is_test_file: fn(&Path) -> bool, text: &mut String) {
    let entries = fs::read_dir(directory).into_iter().flatten().flatten();
    for path in entries.map(|entry| entry.path()) {
        if path.is_dir() {
            append_sources(&path, is_test_file, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") && is_test_file(&path) {
            text.push_str(&fs::read_to_string(&path).unwrap_or_default());
        }
    }
}

/// Returns the names in backticks that look like test names: at least three words joined by underscores.
fn test_names(page: &str) -> Vec<&str> {
    let is_name = |text: &&str| {
        let is_snake_case =
            text.chars().all(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '_');
        is_snake_case && text.matches('_').count() >= 2
    };
    page.split('`').skip(1).step_by(2).filter(is_name).collect()
}

#[test]
fn every_test_named_in_the_proofs_page_exists() {
    // Arrange
    let page = fs::read_to_string(Path::new(ROOT).join("docs/PROOFS.md")).expect("the page can be read");
    let mut test_sources = String::new();
    for package in ["core", "wire", "relay", "node", "ctl"] {
        append_sources(&PathBuf::from(ROOT).join("crates").join(package).join("tests"), |_| true, &mut test_sources);
    }
    append_sources(&PathBuf::from(ROOT).join("platform").join("tests"), |_| true, &mut test_sources);
    // The relay's unit tests are in files of this name beside its modules.
    append_sources(&PathBuf::from(ROOT).join("crates/relay/src"), |path| path.ends_with("tests.rs"), &mut test_sources);

    // Act
    let names = test_names(&page);
    let missing: Vec<&&str> = names.iter().filter(|name| !test_sources.contains(&format!("fn {name}("))).collect();

    // Assert
    assert!(names.len() > 20, "{names:?}");
    assert!(missing.is_empty(), "no test is called {missing:?}");
}
