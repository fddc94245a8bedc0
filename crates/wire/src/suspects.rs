//! Suspects in heartbeats between relay nodes: content that may have crashed targets. Which crashes are isolated follows
//! in the [extension](crate::relay::extension).

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wasabipier_core::names::Fingerprint;
use wasabipier_core::relay::suspects::{CrashId, CrashReport, SuspectKey, SuspectReport};

/// Encoded form of [`SuspectReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSuspect {
    /// Identifier of the part, or hash of the content of a whole request.
    key: u64,
    is_part: bool,
    /// Each crash with its age in milliseconds, and whether the content is exonerated of it.
    crashes: Vec<(u64, u32, bool)>,
}

impl From<&SuspectReport> for WireSuspect {
    fn from(report: &SuspectReport) -> Self {
        let (key, is_part) = match report.key {
            SuspectKey::Part(id) => (id, true),
            SuspectKey::Content(content) => (content.0, false),
        };
        let crashes = report.crashes.iter();
        let crashes = crashes.map(|report| (report.crash.0, report.age.as_millis() as u32, report.is_exonerated));
        Self { key, is_part, crashes: crashes.collect() }
    }
}

impl From<WireSuspect> for SuspectReport {
    fn from(suspect: WireSuspect) -> Self {
        let WireSuspect { key, is_part, crashes } = suspect;
        let crashes = crashes.into_iter().map(|(crash, age_ms, is_exonerated)| CrashReport {
            crash: CrashId(crash),
            age: Duration::from_millis(u64::from(age_ms)),
            is_exonerated,
            is_isolated: false,
        });
        Self {
            key: if is_part { SuspectKey::Part(key) } else { SuspectKey::Content(Fingerprint(key)) },
            crashes: crashes.collect(),
        }
    }
}
