//! What engines, pools and plain services have in common: load, warmth, faults and a record of calls.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tiny_http::Request;
use wasabipier_wire::caller::{ORGANISATION_HEADER, REQUEST_HEADER};
use wasabipier_wire::target::WireLoad;

use crate::faults::FaultSwitch;
use crate::link::FaultyLink;
use crate::server::{header, reply};

/// How a stand-in for a target behaves without faults.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Time of a call, or of a token.
    pub work: Duration,
    /// Calls at once that it bears while cold.
    pub cold_bears: u32,
    /// Calls at once that it bears when warm.
    pub warm_bears: u32,
    /// Time of service until it is warm.
    pub warms_in: Duration,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Time that it is away after a crash.
    pub restart: Duration,
    /// Age of the load that it reports.
    pub lag_ms: u32,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            work: Duration::from_millis(5),
            cold_bears: 1,
            warm_bears: 8,
            warms_in: Duration::from_secs(2),
            tokens: 12,
            restart: Duration::from_millis(500),
            lag_ms: 100,
        }
    }
}

/// State of a target's stand-in.
#[derive(Debug)]
pub struct TargetState {
    /// Behaviour.
    pub settings: TargetSettings,
    /// Faults.
    pub faults: FaultSwitch,
    /// The link in front of it.
    pub link: FaultyLink,
    instance: AtomicU64,
    in_flight: AtomicU32,
    most_in_flight: AtomicU32,
    overloads: AtomicU64,
    crashes: AtomicU64,
    calls: AtomicU64,
    since: Mutex<Option<Instant>>,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl TargetState {
    /// A cold target.
    #[must_use]
    pub fn new(settings: TargetSettings, link: FaultyLink) -> Self {
        let instance = u64::from(link.address().port()) << 32 | u64::from(std::process::id());
        Self {
            settings,
            faults: FaultSwitch::default(),
            link,
            instance: AtomicU64::new(instance),
            in_flight: AtomicU32::new(0),
            most_in_flight: AtomicU32::new(0),
            overloads: AtomicU64::new(0),
            crashes: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            since: Mutex::new(None),
            runs: Mutex::default(),
        }
    }

    /// Whether it has served long enough.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        let since = *self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_some_and(|since| since.elapsed() >= self.settings.warms_in)
    }

    /// Turns it cold without a word.
    pub fn turn_cold(&self) {
        *self.since.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Crashes: cuts all connections and comes back cold, as a new instance.
    pub fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.instance.fetch_add(1 << 48, Ordering::SeqCst);
        self.turn_cold();
        self.link.crash(self.settings.restart);
    }

    /// Starts a call; its content may bring the target down, its faults may end the call at once.
    pub fn begin(&self, request: Request, content: &str) -> Option<Request> {
        let faults = self.faults.get();
        self.faults.wait();
        if !faults.crash_on.is_empty() && content.contains(&faults.crash_on) {
            self.crash();
            drop(request);
            return None;
        }
        let call = self.calls.fetch_add(1, Ordering::SeqCst);
        let failing = !faults.fail_on.is_empty() && content.contains(&faults.fail_on);
        // Spread evenly, so that a share is met exactly and a run is the same each time.
        let share_failing = (call as f64 * faults.fail_share).fract() + faults.fail_share >= 1.0;
        if faults.down {
            reply(request, 503, &serde_json::json!({ "error": "not run: out of service" }));
            return None;
        }
        if failing || share_failing {
            reply(request, 500, &serde_json::json!({ "error": "internal error" }));
            return None;
        }
        self.since.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert_with(Instant::now);
        let now = self.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        self.most_in_flight.fetch_max(now, Ordering::SeqCst);
        let bears = if self.is_warm() { self.settings.warm_bears } else { self.settings.cold_bears };
        if now > bears {
            self.overloads.fetch_add(1, Ordering::SeqCst);
        }
        Some(request)
    }

    /// Time of a unit of work, longer when there is more than the target bears.
    #[must_use]
    pub fn work(&self) -> Duration {
        let bears = if self.is_warm() { self.settings.warm_bears } else { self.settings.cold_bears };
        let crowding = self.in_flight.load(Ordering::SeqCst).div_ceil(bears.max(1)).max(1);
        self.settings.work * crowding * crowding
    }

    /// Records that the work of a request was done.
    pub fn record_run(&self, request: &Request) {
        let key = format!("{}/{}", header(request, ORGANISATION_HEADER), header(request, REQUEST_HEADER));
        *self.runs.lock().unwrap_or_else(PoisonError::into_inner).entry(key).or_default() += 1;
    }

    /// Ends a call.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// What it reports of its load.
    #[must_use]
    pub fn load(&self) -> WireLoad {
        WireLoad {
            instance: self.instance.load(Ordering::SeqCst),
            in_flight: self.in_flight.load(Ordering::SeqCst),
            age_ms: self.settings.lag_ms,
            warm: self.is_warm(),
        }
    }

    /// How often each request ran here.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// What it saw.
    #[must_use]
    pub fn stats(&self) -> serde_json::Value {
        serde_json::json!({
            "calls": self.calls.load(Ordering::SeqCst),
            "most_in_flight": self.most_in_flight.load(Ordering::SeqCst),
            "overloads": self.overloads.load(Ordering::SeqCst),
            "crashes": self.crashes.load(Ordering::SeqCst),
            "runs": self.runs(),
        })
    }
}
