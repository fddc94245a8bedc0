//! Sequential comparison of a candidate version with the stable one.
//!
//! Each signal (faults, slowness, faults while cold, crashes) on each route is a stream of yes and no.
//! The likelihood ratio of "worse by this effect" against "as the stable version" is summed up over
//! looks and starts again whenever it falls to zero, so that a fault that shows late is still caught.
//! A sum that starts at zero exceeds `h` with a probability of at most `exp(-h)` if the candidate is
//! as good as the stable version; as the bound rises from start to start such that
//! these probabilities have a finite sum, all starts together stay within the rate however often and however long one looks.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crate::tally::RouteTally;

/// Calls of a version, and those that showed the signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalTally {
    /// Calls.
    pub calls: u64,
    /// Calls that showed the signal.
    pub hits: u64,
}

impl SignalTally {
    /// A tally.
    #[must_use]
    pub fn new(calls: u64, hits: u64) -> Self {
        Self { calls, hits: hits.min(calls) }
    }

    fn since(self, earlier: Self) -> Self {
        Self::new(self.calls.saturating_sub(earlier.calls), self.hits.saturating_sub(earlier.hits))
    }
}

/// Error rates and effects of one signal.
#[derive(Clone, Debug, PartialEq)]
pub struct JudgeSettings {
    /// Probability that a version as good as the stable one is ever blamed.
    pub alarm_rate: f64,
    /// Probability that a version worse by `pass_effect` passes a step.
    pub miss_rate: f64,
    /// Least share of hits that the stable version is taken to have.
    pub floor: f64,
    /// Effects that are looked for: shares of the good calls that turn into hits.
    pub effects: [f64; 3],
    /// Effect that must be ruled out to pass.
    pub pass_effect: f64,
    /// Calls of the stable version before anything is judged.
    pub least_baseline: u64,
}

impl Default for JudgeSettings {
    fn default() -> Self {
        Self {
            alarm_rate: 0.002,
            miss_rate: 0.05,
            floor: 0.01,
            effects: [0.05, 0.2, 0.6],
            pass_effect: 0.1,
            least_baseline: 20,
        }
    }
}

/// What is known of one signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalVerdict {
    /// Too little is known.
    Waiting,
    /// It is no worse, as far as this step's calls show.
    Passed,
    /// It is worse.
    Bad,
}

/// A sum of log likelihood ratios that starts again at zero.
#[derive(Clone, Copy, Debug)]
struct RestartSum {
    sum: f64,
    starts: u32,
}

impl Default for RestartSum {
    fn default() -> Self {
        Self { sum: 0.0, starts: 1 }
    }
}

impl RestartSum {
    /// Not less than the sum over all `n` from 2 of `1 / (n ln(n)^2)`.
    const WEIGHTS_SUM: f64 = 2.11;

    fn add(&mut self, ratio: f64) {
        self.sum += ratio;
        if self.sum <= 0.0 {
            self.sum = 0.0;
            self.starts = self.starts.saturating_add(1);
        }
    }

    fn exceeds(&self, rate: f64) -> bool {
        let starts = f64::from(self.starts) + 1.0;
        self.sum >= (Self::WEIGHTS_SUM * starts * starts.ln().powi(2) / rate).ln()
    }
}

/// Share of hits over a window that moves with the calls.
#[derive(Clone, Copy, Debug, Default)]
struct MovingShare {
    calls: f64,
    hits: f64,
}

impl MovingShare {
    /// Part of the window that must be filled.
    const FILLED: f64 = 0.25;

    /// Adds calls; `window` is about how many count.
    fn learn(&mut self, fresh: SignalTally, window: f64) {
        let kept = (1.0 - 1.0 / window).powf(fresh.calls as f64);
        self.calls = self.calls * kept + fresh.calls as f64;
        self.hits = self.hits * kept + fresh.hits as f64;
    }

    fn share(&self, window: f64) -> f64 {
        if self.calls < window * Self::FILLED { 0.0 } else { self.hits / self.calls }
    }
}

/// Share of hits of the stable version: over all its calls, lately, and just now.
#[derive(Clone, Copy, Debug, Default)]
struct BaselineShare {
    seen: SignalTally,
    long: MovingShare,
    short: MovingShare,
}

impl BaselineShare {
    /// Calls of the windows.
    const LONG: f64 = 200.0;
    const SHORT: f64 = 16.0;
    /// Width of the upper confidence limit in standard deviations.
    const WIDTH: f64 = 2.0;
    /// Hits just now from which the limit is taken instead of the share, and its width.
    const SEVERAL: f64 = 1.5;
    const DOUBT: f64 = 1.0;
    /// Highest share, above which nothing can be told.
    const HIGHEST: f64 = 0.9;

    fn learn(&mut self, stable: SignalTally) {
        let fresh = stable.since(self.seen);
        self.seen = stable;
        self.long.learn(fresh, Self::LONG);
        self.short.learn(fresh, Self::SHORT);
    }

    /// The share that the candidate may have: a fault that hits both versions is not the candidate's.
    fn share(&self, floor: f64) -> f64 {
        let overall = upper_limit(self.seen.calls as f64, self.seen.hits as f64, Self::WIDTH);
        // Several hits just now may be the start of a fault of both, which few calls show late.
        let doubt = upper_limit(self.short.calls, self.short.hits, Self::DOUBT);
        let just_now = if self.short.hits < Self::SEVERAL { self.short.share(Self::SHORT) } else { doubt };
        let recent = self.long.share(Self::LONG).max(just_now);
        overall.max(recent).clamp(floor, Self::HIGHEST)
    }
}

/// Wilson's upper confidence limit of a share.
fn upper_limit(calls: f64, hits: f64, width: f64) -> f64 {
    let square = width * width;
    let middle = (hits + square / 2.0) / (calls + square);
    let spread = width / (calls + square) * (hits * (calls - hits) / calls.max(1.0) + square / 4.0).sqrt();
    middle + spread
}

/// Compares two versions on one signal.
#[derive(Clone, Debug, Default)]
pub struct SignalJudge {
    settings: JudgeSettings,
    seen: SignalTally,
    baseline: BaselineShare,
    sums: [RestartSum; 3],
    passing: f64,
    bad: bool,
}

impl SignalJudge {
    /// A judge that has seen nothing.
    #[must_use]
    pub fn new(settings: JudgeSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Looks at the running tallies of both versions.
    pub fn look(&mut self, candidate: SignalTally, stable: SignalTally) -> SignalVerdict {
        self.baseline.learn(stable);
        if stable.calls < self.settings.least_baseline && self.seen.calls == 0 {
            return SignalVerdict::Waiting;
        }
        let fresh = candidate.since(self.seen);
        self.seen = candidate;
        if fresh.calls > 0 {
            self.learn(fresh);
        }
        self.verdict()
    }

    /// Begins a step: what was passed before says nothing of the new load.
    pub fn begin_step(&mut self) {
        self.passing = 0.0;
    }

    fn learn(&mut self, fresh: SignalTally) {
        let share = self.baseline.share(self.settings.floor);
        let rate = self.settings.alarm_rate / self.sums.len() as f64;
        for (sum, effect) in self.sums.iter_mut().zip(self.settings.effects) {
            sum.add(log_ratio(fresh, share, effect));
            self.bad |= sum.exceeds(rate);
        }
        // A bad start must not outweigh all that comes later.
        let passing = self.passing + log_ratio(fresh, share, self.settings.pass_effect);
        self.passing = passing.min(-self.settings.miss_rate.ln());
    }

    fn verdict(&self) -> SignalVerdict {
        if self.bad {
            SignalVerdict::Bad
        } else if self.passing <= self.settings.miss_rate.ln() {
            SignalVerdict::Passed
        } else {
            SignalVerdict::Waiting
        }
    }
}

/// Log likelihood ratio of "worse by `effect`" against "hits at `share`".
fn log_ratio(fresh: SignalTally, share: f64, effect: f64) -> f64 {
    let worse = share + effect * (1.0 - share);
    let good = (fresh.calls - fresh.hits) as f64;
    fresh.hits as f64 * (worse / share).ln() + good * ((1.0 - worse) / (1.0 - share)).ln()
}

/// In what a version is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum VersionFlaw {
    /// It fails calls.
    #[strum(serialize = "faults")]
    Faults,
    /// It is slower.
    #[strum(serialize = "slow calls")]
    Slow,
    /// It fails more calls while cold than a cold start excuses.
    #[strum(serialize = "faults of cold targets")]
    ColdFaults,
    /// It is slower while cold than a cold start excuses.
    #[strum(serialize = "slow calls of cold targets")]
    ColdSlow,
    /// Its targets break off on many contents.
    #[strum(serialize = "crashes")]
    Crashes,
}

/// Compares two versions on one route.
#[derive(Clone, Debug)]
struct RouteJudge {
    faults: SignalJudge,
    slow: SignalJudge,
    cold: SignalJudge,
    cold_slow: SignalJudge,
    crashes: SignalJudge,
    stable_calls: u64,
    passed: bool,
}

impl Default for RouteJudge {
    fn default() -> Self {
        let defaults = JudgeSettings::default;
        let slow = JudgeSettings { floor: 0.05, effects: [0.1, 0.3, 0.7], pass_effect: 0.25, ..defaults() };
        // A cold start excuses some faults, a harmful content some crashes.
        let cold = JudgeSettings { floor: 0.1, effects: [0.15, 0.3, 0.6], ..defaults() };
        let cold_slow = JudgeSettings { floor: 0.8, effects: [0.5, 0.7, 0.9], ..defaults() };
        let crashes = JudgeSettings { floor: 0.02, effects: [0.1, 0.2, 0.6], ..defaults() };
        Self {
            faults: SignalJudge::new(defaults()),
            slow: SignalJudge::new(slow),
            cold: SignalJudge::new(cold),
            cold_slow: SignalJudge::new(cold_slow),
            crashes: SignalJudge::new(crashes),
            stable_calls: 0,
            passed: false,
        }
    }
}

impl RouteJudge {
    fn look(&mut self, candidate: RouteTally, stable: RouteTally) -> Option<VersionFlaw> {
        let faults = |tally: RouteTally| SignalTally::new(tally.calls, tally.faults);
        let slow = |tally: RouteTally| SignalTally::new(tally.timed, tally.slow);
        let cold = |tally: RouteTally| SignalTally::new(tally.cold_calls, tally.cold_faults);
        let cold_slow = |tally: RouteTally| SignalTally::new(tally.cold_timed, tally.cold_slow);
        let crashes = |tally: RouteTally| SignalTally::new(tally.calls + tally.crashes, tally.crashes);
        self.stable_calls = stable.calls;
        // The stable version may have had no cold targets: all its calls are the baseline of cold ones.
        let stable_cold = SignalTally::new(stable.calls + stable.cold_faults, stable.faults + stable.cold_faults);
        let stable_cold_slow = SignalTally::new(stable.timed + stable.cold_slow, stable.slow + stable.cold_slow);
        let verdicts = [
            (VersionFlaw::Faults, self.faults.look(faults(candidate), faults(stable))),
            (VersionFlaw::Slow, self.slow.look(slow(candidate), slow(stable))),
            (VersionFlaw::ColdFaults, self.cold.look(cold(candidate), stable_cold)),
            (VersionFlaw::ColdSlow, self.cold_slow.look(cold_slow(candidate), stable_cold_slow)),
            (VersionFlaw::Crashes, self.crashes.look(crashes(candidate), crashes(stable))),
        ];
        self.passed = verdicts[..2].iter().all(|(_, verdict)| *verdict == SignalVerdict::Passed);
        verdicts.into_iter().find(|(_, verdict)| *verdict == SignalVerdict::Bad).map(|(flaw, _)| flaw)
    }

    fn begin_step(&mut self) {
        self.faults.begin_step();
        self.slow.begin_step();
        self.passed = false;
    }
}

/// Counts of one version by route.
pub type RouteTallies = BTreeMap<Arc<str>, RouteTally>;

/// In what a candidate is worse, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionFinding {
    /// In what.
    pub flaw: VersionFlaw,
    /// On which route; none if it shows over all of them only.
    pub route: Option<Arc<str>>,
}

impl fmt::Display for VersionFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.route {
            Some(route) => write!(f, "{} on route {route}", self.flaw),
            None => write!(f, "{} over all routes", self.flaw),
        }
    }
}

/// What must have passed for a step to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassScope {
    /// Every route with a fair share of the calls.
    EachRoute,
    /// All routes taken together.
    Pooled,
}

/// Compares a candidate with the stable version, on each route and over all of them.
#[derive(Clone, Debug, Default)]
pub struct VersionJudge {
    routes: BTreeMap<Arc<str>, RouteJudge>,
    pooled: RouteJudge,
}

impl VersionJudge {
    /// Share of a service's calls from which a route must pass on its own; rarer ones are only watched.
    const OWN_SHARE: f64 = 0.05;

    /// Looks at the running tallies of both versions; tells in what the candidate is worse.
    pub fn look(&mut self, candidate: &RouteTallies, stable: &RouteTallies) -> Option<VersionFinding> {
        let mut finding = None;
        let (mut all_candidate, mut all_stable) = (RouteTally::default(), RouteTally::default());
        for (route, stable) in stable {
            let candidate = candidate.get(route).copied().unwrap_or_default();
            all_candidate = all_candidate.plus(candidate);
            all_stable = all_stable.plus(*stable);
            let judge = self.routes.entry(route.clone()).or_default();
            if let Some(flaw) = judge.look(candidate, *stable) {
                finding = Some(VersionFinding { flaw, route: Some(route.clone()) });
            }
        }
        let pooled = self.pooled.look(all_candidate, all_stable);
        finding.or_else(|| pooled.map(|flaw| VersionFinding { flaw, route: None }))
    }

    /// Whether this step has passed.
    #[must_use]
    pub fn passed(&self, scope: PassScope) -> bool {
        let least = self.pooled.stable_calls as f64 * Self::OWN_SHARE;
        let mut weighty = self.routes.values().filter(|route| route.stable_calls as f64 >= least);
        self.pooled.passed && (scope == PassScope::Pooled || weighty.all(|route| route.passed))
    }

    /// Begins a step of share.
    pub fn begin_step(&mut self) {
        self.pooled.begin_step();
        self.routes.values_mut().for_each(RouteJudge::begin_step);
    }
}
