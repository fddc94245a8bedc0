//! Reads answers of targets within bounds: of a line, of a whole answer, and of all answers that the node holds.

use std::io::{self, BufRead, Read};

use bytes::Bytes;
use wasabipier_relay::buffer_memory::{BodyBuffer, BufferMemory};

/// Maximum size in bytes of a line of a stream, which holds the event of one token.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Maximum size in bytes of an answer, or of the text of all tokens of a stream.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Maximum total in bytes of all answers that are held.
const MAX_TOTAL_BYTES: usize = 64 * 1024 * 1024;
/// Size in bytes of one read of an answer.
const READ_BYTES: usize = 16 * 1024;

/// Memory of the answers that a node holds.
#[derive(Clone, Debug)]
pub struct AnswerBounds {
    memory: BufferMemory,
}

impl Default for AnswerBounds {
    fn default() -> Self {
        Self { memory: BufferMemory::new(MAX_TOTAL_BYTES) }
    }
}

impl AnswerBounds {
    /// Returns an empty buffer for the text of a stream.
    #[must_use]
    pub fn new_text(&self) -> BodyBuffer {
        BodyBuffer::new(&self.memory, MAX_ANSWER_BYTES)
    }

    /// Reads an answer to its end.
    ///
    /// # Errors
    ///
    /// `InvalidData` if the answer is larger than its maximum, or all answers together are larger than theirs. Errors of
    /// `reader` are returned as they are.
    pub fn read_whole(&self, mut reader: impl Read) -> io::Result<Bytes> {
        let mut answer = self.new_text();
        let mut block = vec![0; READ_BYTES];
        loop {
            let length = reader.read(&mut block)?;
            if length == 0 {
                return Ok(answer.into_bytes());
            }
            answer.push(&block[..length]).map_err(|_| too_large())?;
        }
    }
}

/// Reads the next line of a stream into `line`, without its end. Returns `false` at the end of the stream.
///
/// # Errors
///
/// `InvalidData` if the line is larger than its maximum or not UTF-8. Errors of `reader` are returned as they are.
pub fn read_line(reader: &mut impl BufRead, line: &mut String) -> io::Result<bool> {
    line.clear();
    let mut bounded = reader.take(MAX_LINE_BYTES as u64 + 1);
    if bounded.read_line(line)? == 0 {
        return Ok(false);
    }
    if line.len() > MAX_LINE_BYTES {
        return Err(too_large());
    }
    line.truncate(line.trim_end_matches(['\r', '\n']).len());
    Ok(true)
}

fn too_large() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "the answer is too large")
}
