//! The platform's store: rows in tables with a feed of changes and conditional writes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, base64, text_from_base64};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Maximum size of a page of rows.
const MAX_PAGE_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct State {
    /// Values in base64 with their versions, by table and key. A row without a value was removed.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Self {
        let listener = http::listen().expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let store = Self { address, shared: Arc::default(), started: Instant::now() };
        let serving = store.clone();
        http::serve(listener, move |mut connection| {
            loop {
                let request = http::read_message(&mut connection.reader)?;
                thread::sleep(ANSWER_TIME);
                let (status, body) = serving.answer(&request);
                connection.writer.write_all(&http::response(status, &[("Content-Type", "application/json")], &body))?;
            }
        });
        store
    }

    /// Writes a row as the operator or a server does. It is acknowledged when this returns.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.set(table, key, Some(base64(value.as_bytes())));
    }

    /// Writes a row with any bytes as its value, as another writer may.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        self.set(table, key, Some(base64(value)));
    }

    /// Removes a row, as a server that leaves does.
    pub fn remove(&self, table: &str, key: &str) {
        self.set(table, key, None);
    }

    /// Returns the value of a row, or an empty text if there is none.
    pub fn get(&self, table: &str, key: &str) -> String {
        let state = self.shared.0.lock().expect("no thread panics with the lock");
        let row = state.rows.get(&(table.to_owned(), key.to_owned()));
        row.and_then(|row| row.0.as_deref()).map(text_from_base64).unwrap_or_default()
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut state = self.shared.0.lock().expect("no thread panics with the lock");
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), (value, version));
        self.shared.1.notify_all();
        version
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path().split('?').next().unwrap_or_default();
        match path {
            "/-/rows-get" => (200, self.get_rows(request)),
            "/-/rows-feed" => (200, self.feed(request)),
            "/-/rows-tx" => self.write(&Json::parse(&String::from_utf8_lossy(&request.body))),
            _ => (404, "{}".to_owned()),
        }
    }

    fn close_body(&self, rows: &[String], version: u64, more: &str) -> String {
        let now = self.started.elapsed().as_millis();
        format!(r#"{{"rows":[{}],"ver":{version},"nowMs":{now}{more}}}"#, rows.join(","))
    }

    fn get_rows(&self, request: &Message) -> String {
        let (table, from) = (request.query("table"), request.query("from"));
        let limit: usize = request.query("limit").parse().unwrap_or(500);
        let state = self.shared.0.lock().expect("no thread panics with the lock");
        let rows =
            state.rows.iter().filter(|((other, key), (value, _))| *other == table && *key >= from && value.is_some());
        let rows: Vec<String> = rows.map(|((_, key), row)| row_json(&table, key, row)).collect();
        let mut bytes = 0;
        let fits = |row: &&String| {
            bytes += row.len();
            bytes <= MAX_PAGE_BYTES
        };
        let count = rows.iter().take(limit.min(MAX_PAGE_ROWS)).take_while(fits).count();
        let more = format!(r#","hasMore":{}"#, rows.len() > count);
        self.close_body(&rows[..count], state.version, &more)
    }

    fn feed(&self, request: &Message) -> String {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or_default();
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or_default());
        let deadline = Instant::now() + wait;
        let mut state = self.shared.0.lock().expect("no thread panics with the lock");
        loop {
            let rows = state.rows.iter().filter(|((other, _), (_, version))| *other == table && *version > after);
            let mut rows: Vec<(u64, String)> =
                rows.map(|((_, key), row)| (row.1, row_json(&table, key, row))).collect();
            rows.sort();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
                return self.close_body(&rows, state.version, "");
            }
            state = self.shared.1.wait_timeout(state, left).expect("no thread panics with the lock").0;
        }
    }

    fn write(&self, call: &Json) -> (u16, String) {
        let table = |entry: &Json| entry.get("table").text().to_owned();
        let puts = call.get("puts").items();
        if puts.iter().chain(call.get("remove").items()).any(|entry| ["op", "servers"].contains(&table(entry).as_str()))
        {
            return (403, "{}".to_owned());
        }
        {
            let state = self.shared.0.lock().expect("no thread panics with the lock");
            let mut holds = true;
            let mut current = Vec::new();
            for expected in call.get("expectedRev").items() {
                let key = (table(expected), expected.get("key").text().to_owned());
                let row = state.rows.get(&key).filter(|row| row.0.is_some());
                holds &= row.map_or(0, |row| row.1) == expected.get("ver").number() as u64;
                current.extend(row.map(|row| row_json(&key.0, &key.1, row)));
            }
            if !holds {
                return (412, self.close_body(&current, state.version, ""));
            }
        }
        let mut version = 0;
        for put in puts {
            version = self.set(&table(put), put.get("key").text(), Some(put.get("value").text().to_owned()));
        }
        (200, format!(r#"{{"ver":{version},"nowMs":{}}}"#, self.started.elapsed().as_millis()))
    }
}

fn row_json(table: &str, key: &str, row: &(Option<String>, u64)) -> String {
    let version = row.1;
    match &row.0 {
        Some(value) => format!(r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#),
        None => format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},"deleted":true}}"#),
    }
}
