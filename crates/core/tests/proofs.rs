//! The page of proofs names only tests that exist.

use std::fs;
use std::path::{Path, PathBuf};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Source of all tests, one text.
fn sources(folder: &Path, into: &mut String) {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    for path in entries.map(|entry| entry.path()) {
        if path.is_dir() {
            sources(&path, into);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            into.push_str(&fs::read_to_string(&path).unwrap_or_default());
        }
    }
}

/// Names in backquotes that look like those of tests: words joined by underscores, three or more.
fn test_names(page: &str) -> Vec<&str> {
    let is_name = |text: &&str| {
        let plain = text.chars().all(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '_');
        plain && text.matches('_').count() >= 2
    };
    page.split('`').skip(1).step_by(2).filter(is_name).collect()
}

#[test]
fn tests_that_the_page_names_exist() {
    // Arrange
    let page = fs::read_to_string(Path::new(ROOT).join("docs/PROOFS.md")).expect("the page can be read");
    let mut tests = String::new();
    for package in ["core", "wire", "node", "ctl"] {
        sources(&PathBuf::from(ROOT).join("crates").join(package).join("tests"), &mut tests);
    }
    sources(&PathBuf::from(ROOT).join("platform").join("tests"), &mut tests);

    // Act
    let names = test_names(&page);
    let missing: Vec<&&str> = names.iter().filter(|name| !tests.contains(&format!("fn {name}("))).collect();

    // Assert
    assert!(names.len() > 20, "{names:?}");
    assert!(missing.is_empty(), "no test is called {missing:?}");
}
