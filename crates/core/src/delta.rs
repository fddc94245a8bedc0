//! Delta between two texts of a document: the lengths of their common prefix and suffix, and the text in between.

use std::sync::Arc;

/// Delta that turns an old text into a new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextDelta {
    /// Number of bytes that are kept from the start of the old text.
    pub prefix_len: usize,
    /// Number of bytes that are kept from the end of the old text.
    pub suffix_len: usize,
    /// New text between the two kept parts.
    pub middle: Arc<str>,
}

impl TextDelta {
    /// Computes the delta from `old` to `new`.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Self {
        let mut prefix_len = old.bytes().zip(new.bytes()).take_while(|(a, b)| a == b).count();
        while !old.is_char_boundary(prefix_len) || !new.is_char_boundary(prefix_len) {
            prefix_len -= 1;
        }
        let (old_rest, new_rest) = (&old[prefix_len..], &new[prefix_len..]);
        let mut suffix_len = old_rest.bytes().rev().zip(new_rest.bytes().rev()).take_while(|(a, b)| a == b).count();
        while !old_rest.is_char_boundary(old_rest.len() - suffix_len)
            || !new_rest.is_char_boundary(new_rest.len() - suffix_len)
        {
            suffix_len -= 1;
        }
        let middle = Arc::from(&new_rest[..new_rest.len() - suffix_len]);
        Self { prefix_len, suffix_len, middle }
    }

    /// Applies the delta to `old` and returns the new text.
    ///
    /// Returns `None` if `old` is too short for the kept parts or they do not end at character boundaries: then `old`
    /// is not the text that the delta was computed from. Other texts are not detected.
    #[must_use]
    pub fn apply(&self, old: &str) -> Option<String> {
        let suffix_start = old.len().checked_sub(self.suffix_len)?;
        if self.prefix_len > suffix_start {
            return None;
        }
        let (prefix, suffix) = (old.get(..self.prefix_len)?, old.get(suffix_start..)?);
        Some([prefix, &self.middle, suffix].concat())
    }
}
