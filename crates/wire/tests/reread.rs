//! A document read from what changed is the same as one read whole, whatever changed.

use std::fmt::Write;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wasabipier_wire::document::parse_document;
use wasabipier_wire::reread::reread;

/// A target as a line of choices: present, address, admission.
type Choice = (bool, u8, bool);

fn text(targets: &[Choice], orgs: u8, seats: u8) -> String {
    let mut text = format!("[environment]\nname = test\nseats = {seats}\n[data-centre a]\nregion = r\n");
    text.push_str("[service s]\nkind = plain\nstable = v1\n[target first]\nservice = s\nversion = v1\n");
    text.push_str("data_centre = a\naddress = 127.0.0.1:1\n");
    for number in 0..orgs {
        let _ = writeln!(text, "[organisation o{number}]\n; a comment\nweight = {}", number + 1);
    }
    for (number, (present, port, open)) in targets.iter().enumerate().filter(|(_, target)| target.0) {
        let _ = present;
        let admission = if *open { "open" } else { "out" };
        let _ = writeln!(text, "[target t{number}]\nservice = s\nversion = v1\ndata_centre = a");
        let _ = writeln!(text, "address = 127.0.0.1:{}\nadmission = {admission}", 10 + u16::from(*port));
    }
    text
}

fn choices() -> impl Strategy<Value = Vec<Choice>> {
    prop::collection::vec((any::<bool>(), 0_u8..40, any::<bool>()), 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn is_the_same_as_read_whole(
        old in choices(), new in choices(), old_orgs in 0_u8..3, new_orgs in 0_u8..3, seats in 1_u8..3,
    ) {
        // Arrange
        let (old_text, new_text) = (text(&old, old_orgs, 1), text(&new, new_orgs, seats));
        let Ok(base) = parse_document(&old_text) else { return Ok(()) };

        // Act
        let read = reread(&base, &old_text, &new_text);

        // Assert: what is read so is right, and a fault is never passed over
        if let Some(read) = read {
            prop_assert_eq!(Ok(read), parse_document(&new_text));
        }
    }
}

#[test]
fn reads_one_target_taken_out() {
    // Arrange
    let targets = [(true, 1, true), (true, 2, true), (true, 3, true)];
    let old_text = text(&targets, 2, 1);
    let new_text = text(&[(true, 1, true), (true, 2, false), (true, 3, true)], 2, 1);
    let base = parse_document(&old_text).expect("a valid document");

    // Act
    let read = reread(&base, &old_text, &new_text);

    // Assert
    assert_eq!(read, parse_document(&new_text).ok());
    assert!(read.is_some());
}
