//! State common to the stand-ins of all targets: load, warmth, faults and counters of calls. A target is cold until
//! some time after its first call, and serves fewer calls at once at full speed while it is cold.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tiny_http::Request;
use wasabipier_wire::caller::{ORGANISATION_HEADER, REQUEST_ID_HEADER};
use wasabipier_wire::target::WireLoad;

use crate::faults::FaultSwitch;
use crate::link::FaultyLink;
use crate::server::{header_value, reply};

/// Behaviour of a target's stand-in without faults.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Duration of a call or, at an engine, of one token, at full speed.
    pub work_duration: Duration,
    /// Number of calls at once that a cold target serves at full speed.
    pub cold_capacity: u32,
    /// Number of calls at once that a warm target serves at full speed.
    pub warm_capacity: u32,
    /// Time from the first call until a cold target is warm.
    pub warmup_duration: Duration,
    /// Number of tokens in an engine's answer.
    pub tokens: u32,
    /// Time after a crash for which a target refuses connections.
    pub restart_duration: Duration,
    /// Age in milliseconds that a target states for each report of its load.
    pub load_age_ms: u32,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            work_duration: Duration::from_millis(5),
            cold_capacity: 1,
            warm_capacity: 8,
            warmup_duration: Duration::from_secs(2),
            tokens: 12,
            restart_duration: Duration::from_millis(500),
            load_age_ms: 100,
        }
    }
}

/// State of a target's stand-in, shared by its threads and the test.
#[derive(Debug)]
pub struct TargetState {
    /// Behaviour without faults.
    pub settings: TargetSettings,
    /// Injected faults.
    pub faults: FaultSwitch,
    /// Link through which clients reach the target.
    pub link: FaultyLink,
    /// Number of the target's instance, which changes with each crash.
    instance: AtomicU64,
    in_flight: AtomicU32,
    max_in_flight: AtomicU32,
    /// Number of calls that began beyond the capacity.
    overloads: AtomicU64,
    crashes: AtomicU64,
    /// Number of calls received, without those that crashed the target by their content.
    calls: AtomicU64,
    /// Start of the first call since the target became cold; none before this call.
    serving_since: Mutex<Option<Instant>>,
    /// Number of runs by `ORGANISATION/REQUEST`.
    runs: Mutex<BTreeMap<String, u32>>,
}

impl TargetState {
    /// Creates the state of a cold target.
    #[must_use]
    pub fn new(settings: TargetSettings, link: FaultyLink) -> Self {
        let instance = u64::from(link.address().port()) << 32 | u64::from(std::process::id());
        Self {
            settings,
            faults: FaultSwitch::default(),
            link,
            instance: AtomicU64::new(instance),
            in_flight: AtomicU32::new(0),
            max_in_flight: AtomicU32::new(0),
            overloads: AtomicU64::new(0),
            crashes: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            serving_since: Mutex::new(None),
            runs: Mutex::default(),
        }
    }

    /// Returns whether the target's first call began at least the warm-up duration ago.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        let serving_since = *self.serving_since.lock().unwrap_or_else(PoisonError::into_inner);
        serving_since.is_some_and(|since| since.elapsed() >= self.settings.warmup_duration)
    }

    /// Makes the target cold under its present instance, so that clients learn of this from its load reports alone.
    pub fn turn_cold(&self) {
        *self.serving_since.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Cuts all connections, refuses new ones for the restart duration, and then serves cold as a new instance.
    pub fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.instance.fetch_add(1 << 48, Ordering::SeqCst);
        self.turn_cold();
        self.link.crash(self.settings.restart_duration);
    }

    /// Applies the injected faults to a call and counts the call as in flight.
    ///
    /// Returns the request, or `None` if a fault has ended the call. Each returned request needs one
    /// [`Self::end_call`].
    pub fn begin_call(&self, request: Request, content: &str) -> Option<Request> {
        let faults = self.faults.get();
        self.faults.sleep_for_delay();
        if !faults.crash_on.is_empty() && content.contains(&faults.crash_on) {
            self.crash();
            drop(request);
            return None;
        }
        let call_index = self.calls.fetch_add(1, Ordering::SeqCst);
        let fails_by_content = !faults.fail_on.is_empty() && content.contains(&faults.fail_on);
        // Failures are spread evenly instead of drawn at random: the share is met exactly, and each run is the same.
        let fails_by_share = (call_index as f64 * faults.fail_share).fract() + faults.fail_share >= 1.0;
        if faults.down {
            reply(request, 503, &serde_json::json!({ "error": "not run: out of service" }));
            return None;
        }
        if fails_by_content || fails_by_share {
            reply(request, 500, &serde_json::json!({ "error": "internal error" }));
            return None;
        }
        if faults.endless {
            send_endless_body(request);
            return None;
        }
        self.serving_since.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert_with(Instant::now);
        let in_flight = self.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
        let capacity = if self.is_warm() { self.settings.warm_capacity } else { self.settings.cold_capacity };
        if in_flight > capacity {
            self.overloads.fetch_add(1, Ordering::SeqCst);
        }
        Some(request)
    }

    /// Returns the duration of a unit of work at the present load.
    ///
    /// Above the capacity, work takes longer by the square of the ratio of calls in flight to capacity. The ratio is
    /// rounded up to a whole number first.
    #[must_use]
    pub fn current_work_duration(&self) -> Duration {
        let capacity = if self.is_warm() { self.settings.warm_capacity } else { self.settings.cold_capacity };
        let overload_factor = self.in_flight.load(Ordering::SeqCst).div_ceil(capacity.max(1)).max(1);
        self.settings.work_duration * overload_factor * overload_factor
    }

    /// Counts one run of a request, by its organisation and request id.
    pub fn record_run(&self, request: &Request) {
        let key =
            format!("{}/{}", header_value(request, ORGANISATION_HEADER), header_value(request, REQUEST_ID_HEADER));
        *self.runs.lock().unwrap_or_else(PoisonError::into_inner).entry(key).or_default() += 1;
    }

    /// Ends a call that [`Self::begin_call`] returned.
    pub fn end_call(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// Returns the load that the target reports to nodes.
    #[must_use]
    pub fn load(&self) -> WireLoad {
        WireLoad {
            instance: self.instance.load(Ordering::SeqCst),
            in_flight: self.in_flight.load(Ordering::SeqCst),
            age_ms: self.settings.load_age_ms,
            warm: self.is_warm(),
        }
    }

    /// Returns how often each request ran at this target, by `ORGANISATION/REQUEST`.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the counters of calls, overloads, crashes and runs as JSON.
    #[must_use]
    pub fn stats(&self) -> serde_json::Value {
        serde_json::json!({
            "calls": self.calls.load(Ordering::SeqCst),
            "most_in_flight": self.max_in_flight.load(Ordering::SeqCst),
            "overloads": self.overloads.load(Ordering::SeqCst),
            "crashes": self.crashes.load(Ordering::SeqCst),
            "runs": self.runs(),
        })
    }
}

/// Bytes after which a body without end ends after all, so that a test that fails does not run on.
const MAX_ENDLESS_BYTES: usize = 64 * 1024 * 1024;

/// Answers a call with the beginning of an event, without end until the client closes the connection.
fn send_endless_body(request: Request) {
    let mut writer = request.into_writer();
    let block = vec![b'-'; 64 * 1024];
    let head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\ndata: ";
    let mut written = writer.write_all(head);
    for _ in 0..MAX_ENDLESS_BYTES / block.len() {
        // A write fails once the client has closed the connection.
        written = written.and_then(|()| writer.write_all(&block));
    }
}
