//! The difference between two texts of a document: what both begin and end with, and what is new between.

use std::sync::Arc;

/// How to make a new text from an old one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextDelta {
    /// Bytes kept from the start of the old text.
    pub head: usize,
    /// Bytes kept from its end.
    pub tail: usize,
    /// What stands between them.
    pub middle: Arc<str>,
}

impl TextDelta {
    /// The difference from `old` to `new`.
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

    /// The new text; none if `old` is not the text that the difference was made from.
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
