//! Settings of a node, read from INI and checked before the node starts. All faults are reported together.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use wasabipier_core::prelude::*;
use wasabipier_wire::fault::FaultList;
use wasabipier_wire::ini::IniReader;

use crate::cli::NodeArgs;

/// Errors of a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}; name the file with --settings")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file has these faults.
    #[error("{0}")]
    Faulty(#[from] FaultList),
}

/// Secret key, which no log and no error shows.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretKey(String);

impl SecretKey {
    /// Returns whether `given` is this key. For a text of the right length, the time of the comparison does not depend
    /// on how many bytes are right.
    #[must_use]
    pub fn matches(&self, given: &str) -> bool {
        let (own, given) = (self.0.as_bytes(), given.as_bytes());
        let differing = own.iter().zip(given).fold(0, |sum, (a, b)| sum | (a ^ b));
        own.len() == given.len() && differing == 0
    }

    /// Returns the value of an `Authorization` header with this key.
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

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name, instance, data centre and addresses of the node.
    pub identity: Identity,
    /// Environment whose rows the node reads and writes in the table service.
    pub environment: String,
    /// Address of the platform's services.
    pub platform_address: SocketAddr,
    /// Key that peers must send.
    pub peer_key: SecretKey,
    /// Key that operators must send.
    pub operator_key: SecretKey,
    /// Address at which the node listens for peers, if it differs from the address that they connect to.
    pub peer_listen: Option<SocketAddr>,
    /// Peers that the settings name, to which the node connects first.
    pub peers: Vec<PeerSpec>,
    /// Timeouts and limits of the core.
    pub tuning: Tuning,
    /// Timeouts and limits of the node's I/O.
    pub edges: EdgeSettings,
}

/// Timeouts and limits of the edges. An edge is the part of a node that does the I/O with one kind of party, such as
/// callers, targets or the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeSettings {
    /// Number of threads that serve callers and operators, which is the most requests in flight at once.
    pub caller_threads: usize,
    /// Most bytes in the body of a caller's request.
    pub max_body_bytes: u64,
    /// Time allowed for connecting to a target or the platform.
    pub connect_timeout: Duration,
    /// Longest time without a byte from a target, for calls that may be repeated.
    pub target_read_timeout: Duration,
    /// Time within which the table service, the VM list or the ledger's object store must answer.
    pub store_timeout: Duration,
    /// Interval between reads of the VM list.
    pub vm_list_interval: Duration,
    /// Interval between writes of charges to the object store.
    pub ledger_write_interval: Duration,
}

impl Default for EdgeSettings {
    fn default() -> Self {
        Self {
            caller_threads: 256,
            max_body_bytes: 1024 * 1024,
            connect_timeout: Duration::from_secs(1),
            target_read_timeout: Duration::from_secs(2),
            store_timeout: Duration::from_secs(2),
            vm_list_interval: Duration::from_secs(5),
            ledger_write_interval: Duration::from_secs(1),
        }
    }
}

const MINUTE_MS: u64 = 60_000;
/// Least number of bytes in a key.
const MIN_KEY_BYTES: usize = 16;

impl NodeSettings {
    /// Reads and checks the settings file that the command line names.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has faults. The error names all faults.
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
    // This value is never used: the fault that `required` records keeps the node from starting.
    let default = SocketAddr::from(([0, 0, 0, 0], 0));
    reader.required_value(section, key, default, "an IP number and port, such as 10.0.0.1:7000")
}

fn read_peer_listen(reader: &mut IniReader) -> Option<SocketAddr> {
    reader.text("node", "peer_listen")?;
    Some(read_address(reader, "node", "peer_listen"))
}

fn read_identity(reader: &mut IniReader) -> Identity {
    Identity {
        node: NodeName::new(reader.required_text("node", "name", "entry-1")),
        // Random, so that two runs of a node on one VM have different instances.
        instance: InstanceId(fastrand::u64(1..)),
        dc: DcName::new(reader.required_text("node", "data_centre", "khomas-a")),
        caller_address: read_address(reader, "node", "caller_address"),
        peer_address: read_address(reader, "node", "peer_address"),
    }
}

fn read_key(reader: &mut IniReader, key: &str) -> SecretKey {
    let text = reader.required_text("keys", key, "a random text of 16 characters or more");
    if !text.is_empty() && text.len() < MIN_KEY_BYTES {
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
    let known_keys = [
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
    reader.check_keys("tuning", &known_keys);
    let tuning = Tuning::default();
    Tuning {
        heartbeat_interval: reader.duration_from_ms(
            "tuning",
            "heartbeat_ms",
            tuning.heartbeat_interval,
            10..=MINUTE_MS,
        ),
        peer_timeout: reader.duration_from_ms("tuning", "peer_dead_ms", tuning.peer_timeout, 100..=MINUTE_MS),
        document_read_interval: reader.duration_from_ms(
            "tuning",
            "document_read_ms",
            tuning.document_read_interval,
            50..=MINUTE_MS,
        ),
        isolation_timeout: reader.duration_from_ms("tuning", "isolated_ms", tuning.isolation_timeout, 500..=MINUTE_MS),
        max_call_duration: reader.duration_from_ms(
            "tuning",
            "longest_call_ms",
            tuning.max_call_duration,
            100..=MINUTE_MS,
        ),
        max_attempts: reader.number_in_range("tuning", "most_attempts", tuning.max_attempts, 1..=20),
        max_queue_length: reader.number_in_range("tuning", "queue_bound", tuning.max_queue_length, 1..=100_000),
        addresses_ttl: reader.duration_from_ms("tuning", "addresses_kept_ms", tuning.addresses_ttl, 100..=MINUTE_MS),
        ended_ttl: reader.duration_from_ms("tuning", "keep_ended_ms", tuning.ended_ttl, 1000..=60 * MINUTE_MS),
        ramp_step_duration: reader.duration_from_ms(
            "tuning",
            "ramp_step_ms",
            tuning.ramp_step_duration,
            10..=MINUTE_MS,
        ),
        retry_ratio: reader.number_in_range("tuning", "retry_share", tuning.retry_ratio, 0.0..=1000.0),
        retry_burst: reader.number_in_range("tuning", "retry_burst", tuning.retry_burst, 0.0..=1_000_000.0),
        early_refusal: reader.bool_value("tuning", "early_refusal", tuning.early_refusal),
        hedging: reader.bool_value("tuning", "hedging", tuning.hedging),
        round_robin: reader.bool_value("tuning", "round_robin", tuning.round_robin),
        ..tuning
    }
}

fn read_edges(reader: &mut IniReader) -> EdgeSettings {
    let known_keys = [
        "caller_threads",
        "most_body_bytes",
        "connect_ms",
        "target_silence_ms",
        "store_ms",
        "vms_every_ms",
        "ledger_every_ms",
    ];
    reader.check_keys("edges", &known_keys);
    let edges = EdgeSettings::default();
    EdgeSettings {
        caller_threads: reader.number_in_range("edges", "caller_threads", edges.caller_threads, 1..=2048),
        max_body_bytes: reader.number_in_range(
            "edges",
            "most_body_bytes",
            edges.max_body_bytes,
            1024..=64 * 1024 * 1024,
        ),
        connect_timeout: reader.duration_from_ms("edges", "connect_ms", edges.connect_timeout, 10..=MINUTE_MS),
        target_read_timeout: reader.duration_from_ms(
            "edges",
            "target_silence_ms",
            edges.target_read_timeout,
            50..=MINUTE_MS,
        ),
        store_timeout: reader.duration_from_ms("edges", "store_ms", edges.store_timeout, 50..=MINUTE_MS),
        vm_list_interval: reader.duration_from_ms("edges", "vms_every_ms", edges.vm_list_interval, 100..=MINUTE_MS),
        ledger_write_interval: reader.duration_from_ms(
            "edges",
            "ledger_every_ms",
            edges.ledger_write_interval,
            100..=MINUTE_MS,
        ),
    }
}
