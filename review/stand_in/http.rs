//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

/// A request or response: the words of its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(other, _)| other == name).map_or("", |(_, value)| value)
    }

    /// Returns the path and query of a request.
    pub fn path(&self) -> &str {
        self.first_line.get(1).map_or("", String::as_str)
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first_line.get(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// Returns a parameter of the query, or an empty text.
    pub fn query(&self, name: &str) -> String {
        let query = self.path().split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(other, _)| *other == name);
        pair.map_or_else(String::new, |(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        let escaped = (*first == b'%').then(|| std::str::from_utf8(after.get(..2)?).ok()).flatten();
        if let Some(byte) = escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            bytes.push(byte);
            rest = &after[2..];
        } else {
            bytes.push(*first);
            rest = after;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn bad_data() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the first line and the headers of a message.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let first_line = read_line(reader)?.splitn(3, ' ').map(str::to_owned).collect();
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(Message { first_line, headers, body: Vec::new() });
        }
        let (name, value) = line.split_once(':').ok_or_else(bad_data)?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a chunked body; the last one is empty.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = usize::from_str_radix(read_line(reader)?.trim(), 16).map_err(|_| bad_data())?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(chunk)
}

/// Reads a whole message. A body has a length or chunks, or there is none.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding") == "chunked" {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Returns the bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    (text + "\r\n" + body).into_bytes()
}

/// Returns the bytes of a request with a length.
pub fn request(line: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{line} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    (text + "\r\n" + body).into_bytes()
}

/// Sends a request on a new connection and returns the whole response.
pub fn call(address: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(bytes)?;
    read_message(&mut BufReader::new(stream))
}

/// A connection of a client or to a server, on which messages are read one after the other.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub writer: TcpStream,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }
}

/// Ports below those that systems give to outgoing connections, and the distance between the first ones of two processes.
const FIRST_PORT: u32 = 20_000;
const PORT_COUNT: u32 = 12_000;
const PROCESS_PORTS: u32 = 97;

/// Returns a listener on a free loopback port, which no outgoing connection takes if the listener ends.
pub fn listen() -> io::Result<TcpListener> {
    static TRIED_COUNT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORT_COUNT {
        let number = TRIED_COUNT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (process::id().wrapping_mul(PROCESS_PORTS).wrapping_add(number)) % PORT_COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return Ok(listener);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Serves each connection of a listener on a thread of its own until the process ends.
pub fn serve(listener: TcpListener, serve_connection: impl Fn(Connection) -> io::Result<()> + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let serve_connection = serve_connection.clone();
            thread::spawn(move || {
                // An error is the end of the connection.
                let _ = stream.and_then(Connection::new).and_then(serve_connection);
            });
        }
    });
}
