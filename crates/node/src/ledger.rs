//! The ledger's edge: collects charge lines and writes them to the platform's object store.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use spdlog::warn;
use wasabipier_core::prelude::ChargeLine;
use wasabipier_wire::agent::ip_agent;
use wasabipier_wire::answer::{LedgerLine, WireCharge};

use crate::log_prefix::LEDGER;
use crate::ports::LedgerPort;
use crate::settings::NodeSettings;

/// Most lines kept after a failed write, as while the object store is unreachable. Beyond that the oldest ones are
/// dropped.
const MAX_PENDING_LINES: usize = 100_000;
/// Time that a stopping node waits for the last write of its charge lines.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// Input of the writing thread.
#[derive(Debug)]
enum LedgerInput {
    /// Line to write.
    Line(LedgerLine),
    /// Request to write all lines now, with the channel that reports the end of the write.
    Flush(Sender<()>),
}

/// Sends charge lines to the thread that writes them.
#[derive(Debug)]
pub struct LedgerEdge {
    sender: Sender<LedgerInput>,
    node: String,
}

impl LedgerEdge {
    /// Starts the thread that writes charge lines.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the thread.
    pub fn start(settings: &NodeSettings) -> std::io::Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let identity = &settings.identity;
        let config = ureq::Agent::config_builder().timeout_global(Some(settings.edges.store_timeout)).build();
        let mut writer = LedgerWriter {
            url_prefix: format!(
                "http://{}/v1/objects/ledger/{}/{}/{}",
                settings.platform_address, settings.environment, identity.node, identity.instance
            ),
            agent: ip_agent(config),
            write_interval: settings.edges.ledger_write_interval,
            sequence: 0,
            pending_lines: Vec::new(),
        };
        thread::Builder::new().name("ledger".to_owned()).spawn(move || writer.run(&receiver))?;
        Ok(Self { sender, node: identity.node.to_string() })
    }
}

impl LedgerPort for LedgerEdge {
    fn append(&mut self, line: ChargeLine) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line =
            LedgerLine { at_ms: wall.as_millis() as u64, node: self.node.clone(), charge: WireCharge::from(&line) };
        let _ = self.sender.send(LedgerInput::Line(line));
    }

    fn flush(&mut self) {
        let (done, written) = mpsc::channel();
        let _ = self.sender.send(LedgerInput::Flush(done));
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Writer of charge lines, which stores each batch of them as one object.
struct LedgerWriter {
    /// URL of the objects of this node's instance, up to the slash before the sequence number.
    url_prefix: String,
    agent: ureq::Agent,
    write_interval: Duration,
    /// Sequence number of the next object, from 0.
    sequence: u64,
    /// Lines not yet stored, oldest first.
    pending_lines: Vec<LedgerLine>,
}

impl LedgerWriter {
    fn run(&mut self, receiver: &Receiver<LedgerInput>) {
        let mut next_write = Instant::now() + self.write_interval;
        loop {
            match receiver.recv_timeout(next_write.saturating_duration_since(Instant::now())) {
                Ok(LedgerInput::Line(line)) => self.pending_lines.push(line),
                Ok(LedgerInput::Flush(done)) => {
                    self.write();
                    let _ = done.send(());
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return self.write(),
            }
            if Instant::now() >= next_write {
                self.write();
                next_write = Instant::now() + self.write_interval;
            }
        }
    }

    /// Writes the pending lines as an object under a new key. After a failure the next write uses the same key, for the
    /// same lines and those added since. If only the answer was lost, that write replaces the object, so that no line
    /// is stored twice.
    fn write(&mut self) {
        if self.pending_lines.is_empty() {
            return;
        }
        let url = format!("{}/{:08}", self.url_prefix, self.sequence);
        match self.agent.put(&url).send_json(&self.pending_lines) {
            Ok(_) => {
                self.sequence += 1;
                self.pending_lines.clear();
            }
            Err(error) => {
                warn!(
                    "{LEDGER} write of {} charge lines failed and is tried again: {error}.",
                    self.pending_lines.len()
                );
                let surplus = self.pending_lines.len().saturating_sub(MAX_PENDING_LINES);
                self.pending_lines.drain(..surplus);
            }
        }
    }
}
