//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or a response with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns path and query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status, or 0 if this is no response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the head of the next message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message { start: self.take_line()?, ..Message::default() };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the next message, whose body has a length or chunks.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
            loop {
                let size = self.take_line()?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
                let chunk = self.take(size)?;
                message.body.extend(chunk);
                self.take_line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        message.body = self.take(length)?;
        Ok(message)
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0; 1]);
        let is_open = match peeked {
            Ok(count) => count > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        };
        self.stream.set_nonblocking(false).is_err() || !is_open
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}
