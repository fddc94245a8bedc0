//! Incremental parsing of a document compared with parsing the whole document.

use std::fmt::Write;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wasabipier_wire::document::parse_document;
use wasabipier_wire::incremental::parse_changed_sections;

/// Choices for a target of the generated document: whether it is present, the port of its address relative to the
/// first port, and whether its admission is open.
type TargetChoice = (bool, u8, bool);

fn document_text(targets: &[TargetChoice], orgs: u8, seats: u8) -> String {
    let mut text = format!("[environment]\nname = test\nseats = {seats}\n[data-centre a]\nregion = r\n");
    text.push_str("[service s]\nkind = plain\nstable = v1\n[target first]\nservice = s\nversion = v1\n");
    text.push_str("data_centre = a\naddress = 127.0.0.1:1\n");
    for number in 0..orgs {
        let _ = writeln!(text, "[organisation o{number}]\n; a comment\nweight = {}", number + 1);
    }
    for (number, (is_present, port, is_open)) in targets.iter().enumerate().filter(|(_, target)| target.0) {
        let _ = is_present;
        let admission = if *is_open { "open" } else { "out" };
        let _ = writeln!(text, "[target t{number}]\nservice = s\nversion = v1\ndata_centre = a");
        let _ = writeln!(text, "address = 127.0.0.1:{}\nadmission = {admission}", 10 + u16::from(*port));
    }
    text
}

fn target_choices() -> impl Strategy<Value = Vec<TargetChoice>> {
    prop::collection::vec((any::<bool>(), 0_u8..40, any::<bool>()), 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an incremental parse that returns a wrong document or ignores a fault after a change of targets,
    /// organisations or seats.
    #[test]
    fn incremental_parse_equals_whole_parse_after_any_change(
    old in target_choices(), new in target_choices(), old_orgs in 0_u8..3, new_orgs in 0_u8..3, seats in 1_u8..3,
    ) {
        // Arrange
        let (old_text, new_text) = (document_text(&old, old_orgs, 1), document_text(&new, new_orgs, seats));
        let Ok(base) = parse_document(&old_text) else { return Ok(()) };

        // Act
        let parsed = parse_changed_sections(&base, &old_text, &new_text);

        // Assert: a document that is returned is correct, and its text has no fault
        if let Some(parsed) = parsed {
        prop_assert_eq!(Ok(parsed), parse_document(&new_text));
        }
    }
}

/// Guards against a fallback to the whole parse when one target among others is taken out.
#[test]
fn taking_out_one_target_is_parsed_incrementally() {
    // Arrange
    let targets = [(true, 1, true), (true, 2, true), (true, 3, true)];
    let old_text = document_text(&targets, 2, 1);
    let new_text = document_text(&[(true, 1, true), (true, 2, false), (true, 3, true)], 2, 1);
    let base = parse_document(&old_text).expect("a valid document");

    // Act
    let parsed = parse_changed_sections(&base, &old_text, &new_text);

    // Assert
    assert_eq!(parsed, parse_document(&new_text).ok());
    assert!(parsed.is_some());
}
