//! The node's settings: read from INI and checked whole before anything starts.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use wasabipier_core::prelude::*;
use wasabipier_wire::fault::FaultList;
use wasabipier_wire::ini::IniReader;

use crate::cli::NodeArgs;

/// Why the settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}; name the file with --settings")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file has faults.
    #[error("{0}")]
    Faulty(#[from] FaultList),
}

/// A key that no log and no error shows.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretKey(String);

impl SecretKey {
    /// Whether `given` is this key, in a time that does not tell how much of it is right.
    #[must_use]
    pub fn matches(&self, given: &str) -> bool {
        let (own, given) = (self.0.as_bytes(), given.as_bytes());
        let differing = own.iter().zip(given).fold(0, |sum, (a, b)| sum | (a ^ b));
        own.len() == given.len() && differing == 0
    }

    /// Value of an authorization header with this key.
    #[must_use]
    pub fn bearer(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl std::fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SecretKey(…)")
    }
}

/// Everything that a node starts with.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Who it is.
    pub identity: Identity,
    /// Environment whose rows it reads.
    pub environment: String,
    /// Address of the platform's services.
    pub platform_address: SocketAddr,
    /// Key that peers must show.
    pub peer_key: SecretKey,
    /// Key that operators must show.
    pub operator_key: SecretKey,
    /// Address to listen at for peers, if they reach this node under another one.
    pub peer_listen: Option<SocketAddr>,
    /// Peers to start with.
    pub peers: Vec<PeerSpec>,
    /// Times and bounds of the decisions.
    pub tuning: Tuning,
    /// Times and bounds of the edges.
    pub edges: EdgeSettings,
}

/// Times and bounds of the edges.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeSettings {
    /// Threads that serve callers: requests in flight at once.
    pub caller_threads: usize,
    /// Most bytes of a caller's body.
    pub most_body_bytes: u64,
    /// Time for a connection to a target or the platform.
    pub connect_within: Duration,
    /// Longest silence within a stream of a target.
    pub target_silence: Duration,
    /// Time for an answer of the table service.
    pub store_within: Duration,
    /// Interval of reads of the VM list.
    pub vms_every: Duration,
    /// Interval at which charges are written to the object store.
    pub ledger_every: Duration,
}

impl Default for EdgeSettings {
    fn default() -> Self {
        Self {
            caller_threads: 256,
            most_body_bytes: 1024 * 1024,
            connect_within: Duration::from_secs(1),
            target_silence: Duration::from_secs(2),
            store_within: Duration::from_secs(2),
            vms_every: Duration::from_secs(5),
            ledger_every: Duration::from_secs(1),
        }
    }
}

const MINUTE_MS: u64 = 60_000;
const SHORTEST_KEY: usize = 16;

impl NodeSettings {
    /// Reads and checks the file that the command line names.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or every fault in it.
    pub fn load(args: &NodeArgs) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(&args.settings)
            .map_err(|source| SettingsError::Unreadable { path: args.settings.clone(), source })?;
        Ok(Self::parse(&text)?)
    }

    fn parse(text: &str) -> Result<Self, FaultList> {
        let mut reader = IniReader::parse(text)?;
        reader.check_sections(&["node", "platform", "keys", "peers", "tuning", "edges"], &[]);
        reader.check_keys(
            "node",
            &["name", "data_centre", "environment", "caller_address", "peer_address", "peer_listen"],
        );
        reader.check_keys("platform", &["address"]);
        reader.check_keys("keys", &["peers", "operators"]);
        let settings = Self {
            identity: read_identity(&mut reader),
            environment: reader.required_text("node", "environment", "production"),
            platform_address: read_address(&mut reader, "platform", "address"),
            peer_key: read_key(&mut reader, "peers"),
            operator_key: read_key(&mut reader, "operators"),
            peer_listen: read_peer_listen(&mut reader),
            peers: read_peers(&mut reader),
            tuning: read_tuning(&mut reader),
            edges: read_edges(&mut reader),
        };
        reader.faults.into_result(settings)
    }
}

fn read_address(reader: &mut IniReader, section: &str, key: &str) -> SocketAddr {
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    reader.required(section, key, unset, "an IP number and port, such as 10.0.0.1:7000")
}

fn read_peer_listen(reader: &mut IniReader) -> Option<SocketAddr> {
    reader.text("node", "peer_listen")?;
    Some(read_address(reader, "node", "peer_listen"))
}

fn read_identity(reader: &mut IniReader) -> Identity {
    Identity {
        node: NodeName::new(reader.required_text("node", "name", "entry-1")),
        // Random, since two runs of one VM must never look alike.
        instance: InstanceId(fastrand::u64(1..)),
        dc: DcName::new(reader.required_text("node", "data_centre", "khomas-a")),
        caller_address: read_address(reader, "node", "caller_address"),
        peer_address: read_address(reader, "node", "peer_address"),
    }
}

fn read_key(reader: &mut IniReader, key: &str) -> SecretKey {
    let text = reader.required_text("keys", key, "a random text of 16 characters or more");
    if !text.is_empty() && text.len() < SHORTEST_KEY {
        reader.faults.add("keys", key, "too short", "use a random text of 16 characters or more");
    }
    SecretKey(text)
}

fn read_peers(reader: &mut IniReader) -> Vec<PeerSpec> {
    let mut peers = Vec::new();
    for (name, text) in reader.entries("peers") {
        if let Ok(address) = text.trim().parse() {
            peers.push(PeerSpec { node: NodeName::new(&name), address });
        } else {
            let problem = format!("`{text}` is not valid");
            reader.faults.add("peers", &name, problem, "write an IP number and port, such as 10.0.0.2:7000");
        }
    }
    peers
}

fn read_tuning(reader: &mut IniReader) -> Tuning {
    let known = [
        "heartbeat_ms",
        "peer_dead_ms",
        "document_read_ms",
        "isolated_ms",
        "longest_call_ms",
        "most_attempts",
        "queue_bound",
        "addresses_kept_ms",
        "keep_ended_ms",
        "ramp_step_ms",
        "retry_share",
        "retry_burst",
        "early_refusal",
        "hedging",
        "round_robin",
    ];
    reader.check_keys("tuning", &known);
    let tuning = Tuning::default();
    Tuning {
        heartbeat_interval: reader.millis("tuning", "heartbeat_ms", tuning.heartbeat_interval, 10..=MINUTE_MS),
        peer_timeout: reader.millis("tuning", "peer_dead_ms", tuning.peer_timeout, 100..=MINUTE_MS),
        document_read_interval: reader.millis(
            "tuning",
            "document_read_ms",
            tuning.document_read_interval,
            50..=MINUTE_MS,
        ),
        isolation_timeout: reader.millis("tuning", "isolated_ms", tuning.isolation_timeout, 500..=MINUTE_MS),
        max_call_duration: reader.millis("tuning", "longest_call_ms", tuning.max_call_duration, 100..=MINUTE_MS),
        max_attempts: reader.bounded("tuning", "most_attempts", tuning.max_attempts, 1..=20),
        max_queue_length: reader.bounded("tuning", "queue_bound", tuning.max_queue_length, 1..=100_000),
        addresses_ttl: reader.millis("tuning", "addresses_kept_ms", tuning.addresses_ttl, 100..=MINUTE_MS),
        ended_ttl: reader.millis("tuning", "keep_ended_ms", tuning.ended_ttl, 1000..=60 * MINUTE_MS),
        ramp_step_duration: reader.millis("tuning", "ramp_step_ms", tuning.ramp_step_duration, 10..=MINUTE_MS),
        retry_ratio: reader.bounded("tuning", "retry_share", tuning.retry_ratio, 0.0..=1000.0),
        retry_burst: reader.bounded("tuning", "retry_burst", tuning.retry_burst, 0.0..=1_000_000.0),
        early_refusal: reader.bool_value("tuning", "early_refusal", tuning.early_refusal),
        hedging: reader.bool_value("tuning", "hedging", tuning.hedging),
        round_robin: reader.bool_value("tuning", "round_robin", tuning.round_robin),
        ..tuning
    }
}

fn read_edges(reader: &mut IniReader) -> EdgeSettings {
    let known = [
        "caller_threads",
        "most_body_bytes",
        "connect_ms",
        "target_silence_ms",
        "store_ms",
        "vms_every_ms",
        "ledger_every_ms",
    ];
    reader.check_keys("edges", &known);
    let edges = EdgeSettings::default();
    EdgeSettings {
        caller_threads: reader.bounded("edges", "caller_threads", edges.caller_threads, 1..=2048),
        most_body_bytes: reader.bounded("edges", "most_body_bytes", edges.most_body_bytes, 1024..=64 * 1024 * 1024),
        connect_within: reader.millis("edges", "connect_ms", edges.connect_within, 10..=MINUTE_MS),
        target_silence: reader.millis("edges", "target_silence_ms", edges.target_silence, 50..=MINUTE_MS),
        store_within: reader.millis("edges", "store_ms", edges.store_within, 50..=MINUTE_MS),
        vms_every: reader.millis("edges", "vms_every_ms", edges.vms_every, 100..=MINUTE_MS),
        ledger_every: reader.millis("edges", "ledger_every_ms", edges.ledger_every, 100..=MINUTE_MS),
    }
}
