//! The edge to the table service: operations that arrive while a batch is in flight form the next batch.

use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

use spdlog::warn;
use wasabipier_core::prelude::*;
use wasabipier_wire::agent::ip_agent;
use wasabipier_wire::platform::{BatchCall, BatchReply, TableOp, TableResult, TableRow};
use wasabipier_wire::row::{key_text, row_from_json, value_to_json};

use crate::log_prefix::STORE;
use crate::node_input::{InputSender, NodeInput};
use crate::ports::StorePort;
use crate::settings::NodeSettings;

/// Most operations in one batch.
const MAX_BATCH_OPS: usize = 128;
/// Number of workers, each with a connection of its own. Worker 0 sends writes and worker 1 sends reads, so that a slow
/// batch delays only operations of its kind.
const WORKER_COUNT: usize = 2;

/// Operation that is not yet answered.
#[derive(Debug)]
struct PendingOp {
    ticket: StoreTicket,
    op: StoreOp,
}

/// Sends operations to the worker of their kind.
#[derive(Debug)]
pub struct StoreEdge {
    workers: Vec<Sender<PendingOp>>,
}

impl StoreEdge {
    /// Starts the threads of the workers.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub fn start(settings: &NodeSettings, inputs: &InputSender) -> std::io::Result<Self> {
        let mut workers = Vec::new();
        for number in 0..WORKER_COUNT {
            let (sender, receiver) = mpsc::channel();
            let worker = StoreWorker::new(settings, inputs.clone());
            thread::Builder::new().name(format!("store-{number}")).spawn(move || worker.run(&receiver))?;
            workers.push(sender);
        }
        Ok(Self { workers })
    }
}

impl StorePort for StoreEdge {
    fn send(&mut self, ticket: StoreTicket, op: StoreOp) {
        let worker_index = usize::from(matches!(op, StoreOp::Read { .. }));
        let _ = self.workers[worker_index].send(PendingOp { ticket, op });
    }
}

/// Worker that sends operations in batches.
struct StoreWorker {
    environment: String,
    url: String,
    agent: ureq::Agent,
    inputs: InputSender,
}

impl StoreWorker {
    fn new(settings: &NodeSettings, inputs: InputSender) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(settings.edges.store_timeout))
            .timeout_connect(Some(settings.edges.connect_timeout))
            .http_status_as_error(true)
            .build();
        Self {
            environment: settings.environment.clone(),
            url: format!("http://{}/v1/batch", settings.platform_address),
            agent: ip_agent(config),
            inputs,
        }
    }

    fn run(&self, receiver: &Receiver<PendingOp>) {
        while let Ok(first) = receiver.recv() {
            let mut batch = vec![first];
            batch.extend(receiver.try_iter().take(MAX_BATCH_OPS - 1));
            let replies = self.send_batch(&batch);
            for (pending, reply) in batch.iter().zip(replies) {
                let event = Event::Store(pending.ticket, Box::new(reply));
                if self.inputs.send(NodeInput::Core(event)).is_err() {
                    return;
                }
            }
        }
    }

    /// Sends a batch and returns one reply for each operation, in order.
    fn send_batch(&self, batch: &[PendingOp]) -> Vec<StoreReply> {
        let operations = batch.iter().map(|pending| self.convert_op(&pending.op)).collect();
        let call = BatchCall { operations, atomic: false };
        let answer = self
            .agent
            .post(&self.url)
            .send_json(&call)
            .and_then(|mut response| response.body_mut().read_json::<BatchReply>());
        match answer {
            Ok(reply) if reply.results.len() == batch.len() => batch
                .iter()
                .zip(reply.results)
                .map(|(pending, result)| self.convert_result(&pending.op, result))
                .collect(),
            Ok(_) => vec![StoreReply::Lost; batch.len()],
            Err(error) => {
                warn!("{STORE} a batch of {} operations failed: {error}.", batch.len());
                vec![classify_error(&error); batch.len()]
            }
        }
    }

    fn convert_op(&self, op: &StoreOp) -> TableOp {
        match op {
            StoreOp::Read { key } => TableOp::Read { key: key_text(&self.environment, key) },
            StoreOp::Write { key, expected, value } => TableOp::Write {
                key: key_text(&self.environment, key),
                expected: expected.map(|version| version.0),
                value: value_to_json(value),
            },
        }
    }

    /// Converts the result of an operation to the core's form. A row that cannot be parsed counts as a lost reply.
    fn convert_result(&self, op: &StoreOp, result: TableResult) -> StoreReply {
        let (StoreOp::Read { key } | StoreOp::Write { key, .. }) = op;
        let key = key_text(&self.environment, key);
        let parse_row = |table_row: Option<TableRow>| table_row.map(|row| row_from_json(&key, row)).transpose();
        let reply = match result {
            TableResult::Written { version } => Ok(StoreReply::Written(RowVersion(version))),
            TableResult::Conflict { row: current } => parse_row(current).map(StoreReply::Conflict),
            TableResult::Read { row: current } => parse_row(current).map(StoreReply::Read),
        };
        reply.unwrap_or_else(|error| {
            warn!("{STORE} {error}.");
            StoreReply::Lost
        })
    }
}

/// Returns the reply for each operation of a failed batch. Only a connection that could not be opened, or status 503
/// from the service, proves that nothing was done. Nodes reach the service directly, so no proxy can send that status
/// in its place.
fn classify_error(error: &ureq::Error) -> StoreReply {
    match error {
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => StoreReply::NotSent,
        ureq::Error::ConnectionFailed
        | ureq::Error::StatusCode(503)
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => StoreReply::NotSent,
        _ => StoreReply::Lost,
    }
}
