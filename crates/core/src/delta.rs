//! Delta between two texts of a document: the lengths of their common prefix and suffix, and the text in between.

use std::sync::Arc;

/// Delta that turns an old text into a new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextDelta {
    /// Number of bytes that are kept from the start of the old text.
    pub head: usize,
    /// Number of bytes that are kept from the end of the old text.
    pub tail: usize,
    /// New text between the two kept parts.
    pub middle: Arc<str>,
}

impl TextDelta {
    /// Computes the delta from `old` to `new`.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Self {
        let mut head = old.bytes().zip(new.bytes()).take_while(|(a, b)| a == b).count();
        while !old.is_char_boundary(head) || !new.is_char_boundary(head) {
            head -= 1;
        }
        let (old_rest, new_rest) = (&old[head..], &new[head..]);
        let mut tail = old_rest.bytes().rev().zip(new_rest.bytes().rev()).take_while(|(a, b)| a == b).count();
        while !old_rest.is_char_boundary(old_rest.len() - tail) || !new_rest.is_char_boundary(new_rest.len() - tail) {
            tail -= 1;
        }
        let middle = Arc::from(&new_rest[..new_rest.len() - tail]);
        Self { head, tail, middle }
    }

    /// Applies the delta to `old` and returns the new text.
    ///
    /// Returns `None` if `old` is too short for the kept parts or they do not end at character boundaries: then `old`
    /// is not the text that the delta was computed from. Other texts are not detected.
    #[must_use]
    pub fn apply(&self, old: &str) -> Option<String> {
        let tail_start = old.len().checked_sub(self.tail)?;
        if self.head > tail_start {
            return None;
        }
        let (head, tail) = (old.get(..self.head)?, old.get(tail_start..)?);
        Some([head, &self.middle, tail].concat())
    }
}
