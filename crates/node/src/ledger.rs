//! The charge ledger: lines gathered and written to the platform's object store.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use spdlog::warn;
use wasabipier_core::prelude::ChargeLine;
use wasabipier_wire::agent::ip_agent;
use wasabipier_wire::answer::{LedgerLine, WireCharge};

use crate::part::LEDGER;
use crate::ports::LedgerPort;
use crate::settings::NodeSettings;

/// Lines kept while the object store is out; beyond that the oldest are dropped and counted.
const MOST_KEPT: usize = 100_000;
/// Time for the last write of a node that stops.
const FLUSH_WITHIN: Duration = Duration::from_secs(3);

#[derive(Debug)]
enum LedgerInput {
    Line(LedgerLine),
    Flush(Sender<()>),
}

/// Sends lines to the thread that writes them.
#[derive(Debug)]
pub struct LedgerEdge {
    sender: Sender<LedgerInput>,
    node: String,
}

impl LedgerEdge {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// The machine refuses the thread.
    pub fn start(settings: &NodeSettings) -> std::io::Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let identity = &settings.identity;
        let config = ureq::Agent::config_builder().timeout_global(Some(settings.edges.store_within)).build();
        let mut writer = LedgerWriter {
            prefix: format!(
                "http://{}/v1/objects/ledger/{}/{}/{}",
                settings.platform_address, settings.environment, identity.node, identity.instance
            ),
            agent: ip_agent(config),
            every: settings.edges.ledger_every,
            sequence: 0,
            lines: Vec::new(),
        };
        thread::Builder::new().name("ledger".to_owned()).spawn(move || writer.run(&receiver))?;
        Ok(Self { sender, node: identity.node.to_string() })
    }
}

impl LedgerPort for LedgerEdge {
    fn keep(&mut self, line: ChargeLine) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line =
            LedgerLine { at_ms: wall.as_millis() as u64, node: self.node.clone(), charge: WireCharge::from(&line) };
        let _ = self.sender.send(LedgerInput::Line(line));
    }

    fn flush(&mut self) {
        let (done, written) = mpsc::channel();
        let _ = self.sender.send(LedgerInput::Flush(done));
        let _ = written.recv_timeout(FLUSH_WITHIN);
    }
}

struct LedgerWriter {
    prefix: String,
    agent: ureq::Agent,
    every: Duration,
    sequence: u64,
    lines: Vec<LedgerLine>,
}

impl LedgerWriter {
    fn run(&mut self, receiver: &Receiver<LedgerInput>) {
        let mut due = Instant::now() + self.every;
        loop {
            match receiver.recv_timeout(due.saturating_duration_since(Instant::now())) {
                Ok(LedgerInput::Line(line)) => self.lines.push(line),
                Ok(LedgerInput::Flush(done)) => {
                    self.write();
                    let _ = done.send(());
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return self.write(),
            }
            if Instant::now() >= due {
                self.write();
                due = Instant::now() + self.every;
            }
        }
    }

    /// Writes the lines under a key that is used once: a write whose answer was lost is written again, unchanged.
    fn write(&mut self) {
        if self.lines.is_empty() {
            return;
        }
        let url = format!("{}/{:08}", self.prefix, self.sequence);
        match self.agent.put(&url).send_json(&self.lines) {
            Ok(_) => {
                self.sequence += 1;
                self.lines.clear();
            }
            Err(error) => {
                warn!("{LEDGER} {} charge lines wait to be written: {error}.", self.lines.len());
                let surplus = self.lines.len().saturating_sub(MOST_KEPT);
                self.lines.drain(..surplus);
            }
        }
    }
}
