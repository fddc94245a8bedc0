//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::client::Outcome;
use crate::server::Server;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        self.write(&format!("{at:8.3} s  {text}"));
    }

    /// Returns the seconds from the start to a moment.
    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Lists requests with the statuses of their answers.
    pub fn list_requests(&self, outcomes: &[Outcome]) {
        for outcome in outcomes {
            let (sent, ended) = (self.seconds(outcome.sent_at), self.seconds(outcome.ended_at));
            let (id, status) = (&outcome.id, outcome.status());
            self.write(&format!("request {id} sent at {sent:.3} s, status {status} (0: none) at {ended:.3} s"));
        }
    }

    /// Lists the requests that reached servers.
    pub fn list_arrivals(&self, servers: &[Server]) {
        for server in servers {
            for arrival in server.arrivals() {
                let (at, cold) = (self.seconds(arrival.at), if arrival.is_cold { ", cold" } else { "" });
                let lost = if arrival.is_lost { ", lost as the server fell" } else { "" };
                self.write(&format!("request {} reached {} at {at:.3} s{cold}{lost}", arrival.id, server.spec.id));
            }
        }
    }

    fn write(&self, text: &str) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{text}");
        }
    }
}
