//! The platform's store: rows with versions, a feed of changes, and transactions under conditions.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json::{self, Value};
use crate::node::run_ip;

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Changes in their order; `None` for a row that was removed.
    changes: Vec<(u64, RowKey, Option<String>)>,
    /// The store answers nothing.
    is_down: bool,
}

impl Rows {
    fn put(&mut self, key: RowKey, value: Option<String>, version: u64) {
        match &value {
            Some(value) => drop(self.rows.insert(key.clone(), (value.clone(), version))),
            None if self.rows.remove(&key).is_none() => return,
            None => {}
        }
        self.changes.push((version, key, value));
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
    /// Addresses under which a node reaches servers, in place of those of their entries.
    paths: Arc<Vec<(SocketAddr, SocketAddr)>>,
}

impl Store {
    pub fn start() -> Self {
        Self::listen(Arc::default(), Instant::now(), Arc::default())
    }

    /// Opens a second address of the store, for a node that reaches servers over `paths`: pairs of an address that an entry
    /// names, and the one that the node uses.
    pub fn open_for(&self, paths: Vec<(SocketAddr, SocketAddr)>) -> Self {
        Self::listen(self.rows.clone(), self.started, Arc::new(paths))
    }

    fn listen(rows: Arc<(Mutex<Rows>, Condvar)>, started: Instant, paths: Arc<Vec<(SocketAddr, SocketAddr)>>) -> Self {
        let listener = TcpListener::bind((run_ip(), 0)).expect("a port is free");
        let store = Self { address: listener.local_addr().expect("it is bound"), rows, started, paths };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row of the operator's or of a server's, or removes it. Returns whether the store took it.
    pub fn write(&self, table: &str, part: &str, key: &str, value: Option<&str>) -> bool {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("no thread panics");
        if rows.is_down {
            return false;
        }
        rows.version += 1;
        let version = rows.version;
        let value = value.map(|value| json::to_base64(value.as_bytes()));
        rows.put((table.to_owned(), part.to_owned(), key.to_owned()), value, version);
        changed.notify_all();
        true
    }

    /// Ends or begins a time in which the store answers nothing.
    pub fn set_down(&self, is_down: bool) {
        let (rows, changed) = &*self.rows;
        rows.lock().expect("no thread panics").is_down = is_down;
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read_message() {
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let field = |name: &str| {
                let fields = query.split('&').filter_map(|field| field.split_once('='));
                fields.into_iter().find(|(known, _)| *known == name).map_or("", |(_, value)| value).to_owned()
            };
            let answer = match path {
                "/-/rows-get" => self.get(&field("table"), &field("part")),
                "/-/rows-feed" => {
                    let after = field("after").parse().unwrap_or(0);
                    let wait = field("waitMs").parse().unwrap_or(0);
                    self.feed(&field("table"), after, Duration::from_millis(wait))
                }
                "/-/rows-tx" => self.transact(&request.body),
                _ => Some(("404 Not Found", "{}".to_owned())),
            };
            // A call without an answer loses its connection once the store is back.
            let Some((status, body)) = answer else { return };
            thread::sleep(Duration::from_millis(4));
            let headers = [("Content-Type", "application/json".to_owned())];
            if connection.respond(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn wait_while_down(&self) -> bool {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("no thread panics");
        let was_down = rows.is_down;
        while rows.is_down {
            rows = changed.wait(rows).expect("no thread panics");
        }
        was_down
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn get(&self, table: &str, part: &str) -> Option<(&'static str, String)> {
        if self.wait_while_down() {
            return None;
        }
        let rows = self.rows.0.lock().expect("no thread panics");
        let wanted = rows.rows.iter().filter(|((known, known_part, _), _)| known == table && known_part == part);
        let wanted: Vec<String> = wanted.map(|(key, (value, version))| self.row(key, Some(value), *version)).collect();
        let (rows_text, version, now) = (wanted.join(","), rows.version, self.now_ms());
        Some(("200 OK", format!("{{\"rows\":[{rows_text}],\"hasMore\":false,\"ver\":{version},\"nowMs\":{now}}}")))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Option<(&'static str, String)> {
        if self.wait_while_down() {
            return None;
        }
        let (rows, changed) = &*self.rows;
        let ends_at = Instant::now() + wait;
        let mut rows = rows.lock().expect("no thread panics");
        loop {
            if rows.is_down {
                drop(rows);
                self.wait_while_down();
                return None;
            }
            let new = rows.changes.iter().filter(|(version, key, _)| *version > after && key.0 == table);
            let new: Vec<String> = new.map(|(version, key, value)| self.row(key, value.as_deref(), *version)).collect();
            let left = ends_at.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let (rows_text, version, now) = (new.join(","), rows.version, self.now_ms());
                return Some(("200 OK", format!("{{\"rows\":[{rows_text}],\"ver\":{version},\"nowMs\":{now}}}")));
            }
            rows = changed.wait_timeout(rows, left).expect("no thread panics").0;
        }
    }

    fn transact(&self, body: &[u8]) -> Option<(&'static str, String)> {
        if self.wait_while_down() {
            return None;
        }
        let Some(call) = json::parse(body) else { return Some(("400 Bad Request", "{}".to_owned())) };
        let key = |row: &Value| (row.text("table").to_owned(), row.text("part").to_owned(), row.text("key").to_owned());
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("no thread panics");
        let now = self.now_ms();
        let is_own = |row: &Value| ["op", "servers"].contains(&row.text("table"));
        if call.list("puts").iter().chain(call.list("remove")).any(is_own) {
            return Some(("403 Forbidden", "{}".to_owned()));
        }
        let expected = call.list("expectedRev");
        let holds = |wanted: &Value| {
            rows.rows.get(&key(wanted)).map_or(0, |(_, version)| *version) == wanted.number("ver") as u64
        };
        if !expected.iter().all(holds) {
            let known = expected.iter().filter_map(|wanted| {
                rows.rows.get(&key(wanted)).map(|(value, version)| self.row(&key(wanted), Some(value), *version))
            });
            let (known, version) = (known.collect::<Vec<_>>().join(","), rows.version);
            let body = format!("{{\"rows\":[{known}],\"ver\":{version},\"nowMs\":{now}}}");
            return Some(("412 Precondition Failed", body));
        }
        rows.version += 1;
        let version = rows.version;
        for put in call.list("puts") {
            rows.put(key(put), Some(put.text("value").to_owned()), version);
        }
        for removed in call.list("remove") {
            rows.put(key(removed), None, version);
        }
        changed.notify_all();
        Some(("200 OK", format!("{{\"ver\":{version},\"nowMs\":{now}}}")))
    }

    fn row(&self, (table, part, key): &RowKey, value: Option<&str>, version: u64) -> String {
        let start = format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{version}");
        let Some(value) = value else { return format!("{start},\"deleted\":true}}") };
        if table != "servers" || self.paths.is_empty() {
            return format!("{start},\"value\":\"{value}\"}}");
        }
        let mut entry = String::from_utf8_lossy(&json::from_base64(value)).into_owned();
        for (server, path) in &*self.paths {
            entry = entry.replace(&format!("\"{server}\""), &format!("\"{path}\""));
        }
        format!("{start},\"value\":\"{}\"}}", json::to_base64(entry.as_bytes()))
    }
}
