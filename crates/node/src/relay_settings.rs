//! Settings of a relaying node, which is a node whose settings file has the section `[relay]`. They are read from the
//! sections `[relay]`, `[bounds]`, `[vm]` and `[duties]`. All faults are returned together.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use wasabipier_core::prelude::*;
use wasabipier_core::relay::access::FreshnessLimits;
use wasabipier_core::relay::board::RelayTuning;
use wasabipier_core::relay::budget::RetryLimits;
use wasabipier_core::relay::duties::{DutyKind, DutyTimes};
use wasabipier_core::relay::rollout::RolloutLimits;
use wasabipier_relay::prelude::*;
use wasabipier_wire::fault::FaultList;
use wasabipier_wire::ini::IniReader;

/// Margin by which a document counts as too old before the limit for revoked keys is reached. Clocks tick in
/// milliseconds, and the limit counts from the store's acknowledgement, which comes after the state that a read shows.
const KEY_AGE_MARGIN: Duration = Duration::from_millis(100);

/// Default time within which work leaves a target that reports that it is leaving. The users' sites ask for this value.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Share of `leave_within_ms` after which a node without news from others reads the store itself. The rest of the time
/// must suffice for the read, and for a second one if the connection of the first is lost.
const OWN_READ_RATIO: f64 = 0.7;

/// Default time within which a change of the configuration is in force. The users' sites ask for this value.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);
/// Share of `config_ms` for which a node goes on with a document that it knows to be outdated. It may learn of a newer
/// one late, so that the rest is for the news.
const OUTDATED_RATIO: f64 = 0.5;

const HOUR_MS: u64 = 3_600_000;

/// File from which the settings of a relaying node are read.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    /// Path of the file.
    pub path: PathBuf,
}

impl SettingsSource for SettingsFile {
    fn read(&self) -> Result<RelaySettings, String> {
        let text = std::fs::read_to_string(&self.path).map_err(|error| error.to_string())?;
        parse(&text).map_err(|faults| faults.to_string())
    }
}

/// Returns whether an INI text has the section `[relay]`, so that it holds the settings of a relaying node.
#[must_use]
pub fn has_relay_section(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[relay]")
}

/// Reads the settings of a relaying node from INI text.
///
/// # Errors
///
/// Returns all faults in the settings.
pub fn parse(text: &str) -> Result<RelaySettings, FaultList> {
    let mut reader = IniReader::parse(text)?;
    reader.check_sections(&["relay", "bounds", "vm", "duties"], &[]);
    let known_keys = [
        "name",
        "data_centre",
        "caller_address",
        "ready_address",
        "addresses_address",
        "metrics_address",
        "peer_address",
        "store_address",
        "seeds",
    ];
    reader.check_keys("relay", &known_keys);
    let addresses = read_addresses(&mut reader);
    let settings = RelaySettings {
        identity: Identity {
            node: NodeName::new(reader.required_text("relay", "name", "entry-1")),
            // Random, so that two runs of a node on one VM have different instances.
            instance: InstanceId(fastrand::u64(1..)),
            dc: DcName::new(reader.required_text("relay", "data_centre", "khomas-a")),
            caller_address: addresses.callers,
            peer_address: addresses.peers,
        },
        tuning: read_tuning(&mut reader),
        times: read_durations(&mut reader),
        duties: read_duties(&mut reader),
        addresses,
    };
    reader.faults.into_result(settings)
}

/// Form of an address, as error messages show it.
const ADDRESS: &str = "an IP number and port, such as 10.0.0.1:7000";
/// Value of an address that is missing or not valid; the fault keeps the node from starting.
const UNSET_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn read_addresses(reader: &mut IniReader) -> RelayAddresses {
    RelayAddresses {
        callers: reader.required_value("relay", "caller_address", UNSET_ADDRESS, ADDRESS),
        ready: read_optional_address(reader, "ready_address"),
        addresses: read_optional_address(reader, "addresses_address"),
        metrics: read_optional_address(reader, "metrics_address"),
        peers: reader.required_value("relay", "peer_address", UNSET_ADDRESS, ADDRESS),
        store: reader.required_value("relay", "store_address", UNSET_ADDRESS, ADDRESS),
        seeds: read_seeds(reader),
    }
}

fn read_optional_address(reader: &mut IniReader, key: &str) -> Option<SocketAddr> {
    reader.text("relay", key)?;
    Some(reader.value("relay", key, UNSET_ADDRESS, ADDRESS))
}

fn read_seeds(reader: &mut IniReader) -> Vec<SocketAddr> {
    let text = reader.text("relay", "seeds").unwrap_or_default();
    let mut seeds = Vec::new();
    for seed in text.split(',').map(str::trim).filter(|seed| !seed.is_empty()) {
        match seed.parse() {
            Ok(address) => seeds.push(address),
            Err(_) => reader.faults.add("relay", "seeds", format!("`{seed}` is not valid"), format!("write {ADDRESS}")),
        }
    }
    seeds
}

fn read_tuning(reader: &mut IniReader) -> RelayTuning {
    let known_keys = [
        "revoked_keys_ms",
        "contact_ms",
        "config_ms",
        "repeat_ratio",
        "repeat_slack",
        "repeat_window_s",
        "stop_within_s",
        "addresses_kept_most_s",
        "leave_within_ms",
        "expose_share",
        "expose_slack",
    ];
    reader.check_keys("bounds", &known_keys);
    reader.check_keys("vm", &["cores", "link_mbps"]);
    let tuning = RelayTuning::default();
    let (freshness, retry_limits, rollout_limits) =
        (tuning.freshness_limits, tuning.retry_limits, tuning.rollout_limits);
    let revocation_limit = reader.duration_from_ms(
        "bounds",
        "revoked_keys_ms",
        freshness.max_document_age_for_keys + KEY_AGE_MARGIN,
        500..=HOUR_MS,
    );
    RelayTuning {
        freshness_limits: FreshnessLimits {
            max_document_age_for_keys: revocation_limit.saturating_sub(KEY_AGE_MARGIN),
            max_document_age_for_absence: reader.duration_from_ms(
                "bounds",
                "contact_ms",
                freshness.max_document_age_for_absence,
                100..=HOUR_MS,
            ),
            max_outdated_time: reader
                .duration_from_ms("bounds", "config_ms", CONFIG_TIMEOUT, 100..=HOUR_MS)
                .mul_f64(OUTDATED_RATIO),
        },
        retry_limits: RetryLimits {
            ratio: reader.number_in_range("bounds", "repeat_ratio", retry_limits.ratio, 0.0..=100.0),
            slack: reader.number_in_range("bounds", "repeat_slack", retry_limits.slack, 0.0..=1e9),
            window: read_seconds(reader, "repeat_window_s", retry_limits.window),
        },
        rollout_limits: RolloutLimits {
            exposure_ratio: reader.number_in_range("bounds", "expose_share", rollout_limits.exposure_ratio, 0.0..=1.0),
            exposure_slack: reader.number_in_range("bounds", "expose_slack", rollout_limits.exposure_slack, 0.0..=1e9),
        },
        max_hub_copy_age: reader
            .duration_from_ms("bounds", "leave_within_ms", LEAVE_TIMEOUT, 100..=HOUR_MS)
            .mul_f64(OWN_READ_RATIO),
        capacity: read_capacity(reader),
        ..tuning
    }
}

/// Returns the capacity of this VM in relation to others: its cores times its link in Mbit/s, times 1000.
fn read_capacity(reader: &mut IniReader) -> u32 {
    let cores: f64 = reader.number_in_range("vm", "cores", 1.0, 0.001..=10_000.0);
    let link_mbps: f64 = reader.number_in_range("vm", "link_mbps", 1.0, 0.001..=1e6);
    (cores * link_mbps * 1e3).min(f64::from(u32::MAX)) as u32
}

fn read_durations(reader: &mut IniReader) -> RelayTimes {
    let defaults = RelayTimes::default();
    let max_cache_time = read_seconds(reader, "addresses_kept_most_s", defaults.address_cache_time);
    RelayTimes {
        stop_timeout: read_seconds(reader, "stop_within_s", defaults.stop_timeout),
        address_cache_time: defaults.address_cache_time.min(max_cache_time),
        ..defaults
    }
}

fn read_seconds(reader: &mut IniReader, key: &str, default: Duration) -> Duration {
    Duration::from_secs_f64(reader.number_in_range("bounds", key, default.as_secs_f64(), 0.05..=3_600.0))
}

/// Returns the duties of the nodes, or `None` without the section `[duties]`.
fn read_duties(reader: &mut IniReader) -> Option<DutySettings> {
    let known_keys = ["address", "names", "calls_per_s", "lease_ms", "window_s", "usage_late_s", "require_fence"];
    reader.check_keys("duties", &known_keys);
    reader.text("duties", "address")?;
    let defaults = DutyTimes::default();
    let seconds = |reader: &mut IniReader, key, default: Duration| {
        Duration::from_secs_f64(reader.number_in_range("duties", key, default.as_secs_f64(), 0.5..=3_600.0))
    };
    // Calls carry a fencing token whether the platform compares it or not.
    let _: bool = reader.value("duties", "require_fence", true, "true or false");
    Some(DutySettings {
        address: reader.value("duties", "address", UNSET_ADDRESS, ADDRESS),
        kinds: read_duty_kinds(reader),
        max_calls_per_s: reader.number_in_range("duties", "calls_per_s", 10.0, 0.1..=1e6),
        times: DutyTimes {
            lease_length: reader.duration_from_ms("duties", "lease_ms", defaults.lease_length, 500..=HOUR_MS),
            window_length: seconds(reader, "window_s", defaults.window_length),
            report_timeout: seconds(reader, "usage_late_s", defaults.report_timeout),
        },
    })
}

/// Returns the duties that the settings name. Duties that this release does not know are left to others.
fn read_duty_kinds(reader: &mut IniReader) -> Vec<DutyKind> {
    let names = reader.text("duties", "names").unwrap_or_default();
    names.split(',').filter_map(|name| name.trim().parse().ok()).collect()
}
