//! Tests of text deltas, including texts with multi-byte characters.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wasabipier_core::delta::TextDelta;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn apply_returns_the_new_text(head in "[aä€]{0,6}", a in "[aäo€]{0,6}", b in "[aäo€]{0,6}", tail in "[aö€]{0,6}") {
        // Arrange
        let (old, new) = (format!("{head}{a}{tail}"), format!("{head}{b}{tail}"));

        // Act
        let delta = TextDelta::between(&old, &new);

        // Assert
        prop_assert_eq!(delta.apply(&old), Some(new));
        prop_assert!(delta.middle.len() <= b.len());
    }

    #[test]
    fn a_text_shorter_than_the_kept_parts_is_rejected(old in "[aä]{1,8}", new in "[aä]{1,8}") {
        // Arrange
        let delta = TextDelta::between(&old, &new);

        // Act
        let applied = delta.apply("");

        // Assert
        prop_assert!(applied.is_none() || delta.prefix_len + delta.suffix_len == 0);
    }
}
