//! Sequential comparison of a candidate version with the stable one.
//!
//! Each signal (faults, slowness, faults while cold, crashes) on each route is a stream of binary outcomes. A CUSUM
//! test sums up the log likelihood ratio of "worse by this effect" against "as good as the stable version". The sum
//! restarts whenever it falls to zero, so that a fault that appears late is still detected.
//!
//! If the candidate is as good as the stable version, a sum that starts at zero exceeds `h` with a probability of at
//! most `exp(-h)`. The bound rises with each restart such that these probabilities have a finite sum. So all starts
//! together stay within the false alarm rate, however often and however long the test is evaluated.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crate::tally::RouteTally;

/// Number of calls of a version, and of those that showed a signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalTally {
    /// Number of calls.
    pub calls: u64,
    /// Number of calls that showed the signal.
    pub hits: u64,
}

impl SignalTally {
    /// Creates a tally; `hits` is capped at `calls`.
    #[must_use]
    pub fn new(calls: u64, hits: u64) -> Self {
        Self { calls, hits: hits.min(calls) }
    }

    fn since(self, earlier: Self) -> Self {
        Self::new(self.calls.saturating_sub(earlier.calls), self.hits.saturating_sub(earlier.hits))
    }
}

/// Error rates and effect sizes for one signal.
#[derive(Clone, Debug, PartialEq)]
pub struct JudgeSettings {
    /// Probability that a version as good as the stable one is ever found bad.
    pub false_alarm_rate: f64,
    /// Probability that a version worse by `pass_effect` passes a step.
    pub miss_rate: f64,
    /// Lower bound of the share of hits that is assumed for the stable version.
    pub min_baseline_share: f64,
    /// Effect sizes that are tested for, as shares of the good calls that turn into hits.
    pub effects: [f64; 3],
    /// Effect size that must be ruled out to pass a step.
    pub pass_effect: f64,
    /// Number of calls of the stable version before the first comparison.
    pub min_baseline_calls: u64,
}

impl Default for JudgeSettings {
    fn default() -> Self {
        Self {
            false_alarm_rate: 0.002,
            miss_rate: 0.05,
            min_baseline_share: 0.01,
            effects: [0.05, 0.2, 0.6],
            pass_effect: 0.1,
            min_baseline_calls: 20,
        }
    }
}

/// Verdict on one signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalVerdict {
    /// The calls so far neither pass nor fail the candidate.
    Undecided,
    /// The candidate is no worse, as far as the calls of this step show.
    Passed,
    /// The candidate is worse.
    Bad,
}

/// CUSUM statistic: a sum of log likelihood ratios that restarts at zero.
#[derive(Clone, Copy, Debug)]
struct CusumStatistic {
    sum: f64,
    starts: u32,
}

impl Default for CusumStatistic {
    fn default() -> Self {
        Self { sum: 0.0, starts: 1 }
    }
}

impl CusumStatistic {
    /// Upper bound of the sum of `1 / (n ln(n)^2)` over all `n` from 2, the weights of the starts.
    const START_WEIGHTS_SUM: f64 = 2.11;

    fn add(&mut self, ratio: f64) {
        self.sum += ratio;
        if self.sum <= 0.0 {
            self.sum = 0.0;
            self.starts = self.starts.saturating_add(1);
        }
    }

    /// Returns whether the sum has reached the bound that keeps all starts within `false_alarm_rate`.
    fn exceeds_bound(&self, false_alarm_rate: f64) -> bool {
        let starts = f64::from(self.starts) + 1.0;
        self.sum >= (Self::START_WEIGHTS_SUM * starts * starts.ln().powi(2) / false_alarm_rate).ln()
    }
}

/// Share of hits over a moving window of calls, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct MovingShare {
    calls: f64,
    hits: f64,
}

impl MovingShare {
    /// Share of the window that must be filled before the share counts.
    const MIN_FILL_RATIO: f64 = 0.25;

    /// Adds calls; `window` is the approximate number of calls that count.
    fn update(&mut self, fresh: SignalTally, window: f64) {
        let kept = (1.0 - 1.0 / window).powf(fresh.calls as f64);
        self.calls = self.calls * kept + fresh.calls as f64;
        self.hits = self.hits * kept + fresh.hits as f64;
    }

    fn share(&self, window: f64) -> f64 {
        if self.calls < window * Self::MIN_FILL_RATIO { 0.0 } else { self.hits / self.calls }
    }
}

/// Share of hits of the stable version: over all calls, over a long and over a short window.
#[derive(Clone, Copy, Debug, Default)]
struct BaselineShare {
    seen: SignalTally,
    long_window: MovingShare,
    short_window: MovingShare,
}

impl BaselineShare {
    /// Lengths of the windows in calls.
    const LONG_WINDOW_CALLS: f64 = 200.0;
    const SHORT_WINDOW_CALLS: f64 = 16.0;
    /// Width of the upper confidence limit over all calls, in standard deviations.
    const OVERALL_LIMIT_DEVIATIONS: f64 = 2.0;
    /// Hits in the short window from which its upper confidence limit replaces its share.
    const MIN_RECENT_HITS: f64 = 1.5;
    /// Width of the upper confidence limit of the short window, in standard deviations.
    const RECENT_LIMIT_DEVIATIONS: f64 = 1.0;
    /// Upper bound of the share; above it, versions cannot be told apart.
    const MAX_SHARE: f64 = 0.9;

    fn update(&mut self, stable: SignalTally) {
        let fresh = stable.since(self.seen);
        self.seen = stable;
        self.long_window.update(fresh, Self::LONG_WINDOW_CALLS);
        self.short_window.update(fresh, Self::SHORT_WINDOW_CALLS);
    }

    /// Returns the share of hits that the candidate may have.
    ///
    /// Recent hits raise the share, so that a fault that affects both versions is not attributed to the candidate.
    fn allowed_share(&self, min_share: f64) -> f64 {
        let overall = upper_limit(self.seen.calls as f64, self.seen.hits as f64, Self::OVERALL_LIMIT_DEVIATIONS);
        // Several recent hits may be the onset of a fault of both versions, which shows late when calls are few.
        let short_limit = upper_limit(self.short_window.calls, self.short_window.hits, Self::RECENT_LIMIT_DEVIATIONS);
        let short_share = if self.short_window.hits < Self::MIN_RECENT_HITS {
            self.short_window.share(Self::SHORT_WINDOW_CALLS)
        } else {
            short_limit
        };
        let recent = self.long_window.share(Self::LONG_WINDOW_CALLS).max(short_share);
        overall.max(recent).clamp(min_share, Self::MAX_SHARE)
    }
}

/// Returns the upper limit of the Wilson score interval of a share, `deviations` standard deviations wide.
fn upper_limit(calls: f64, hits: f64, deviations: f64) -> f64 {
    let square = deviations * deviations;
    let middle = (hits + square / 2.0) / (calls + square);
    let spread = deviations / (calls + square) * (hits * (calls - hits) / calls.max(1.0) + square / 4.0).sqrt();
    middle + spread
}

/// Sequential test of a candidate against the stable version on one signal.
#[derive(Clone, Debug, Default)]
pub struct SignalJudge {
    settings: JudgeSettings,
    seen: SignalTally,
    baseline: BaselineShare,
    sums: [CusumStatistic; 3],
    /// Log likelihood ratio of "worse by `pass_effect`" in this step; a low value passes.
    pass_log_ratio: f64,
    is_bad: bool,
}

impl SignalJudge {
    /// Creates a judge that has seen no calls.
    #[must_use]
    pub fn new(settings: JudgeSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Evaluates the running tallies of both versions.
    pub fn evaluate(&mut self, candidate: SignalTally, stable: SignalTally) -> SignalVerdict {
        self.baseline.update(stable);
        if stable.calls < self.settings.min_baseline_calls && self.seen.calls == 0 {
            return SignalVerdict::Undecided;
        }
        let fresh = candidate.since(self.seen);
        self.seen = candidate;
        if fresh.calls > 0 {
            self.update(fresh);
        }
        self.verdict()
    }

    /// Begins a step of a larger traffic share; a pass at the former load says nothing about the new one.
    pub fn begin_step(&mut self) {
        self.pass_log_ratio = 0.0;
    }

    fn update(&mut self, fresh: SignalTally) {
        let share = self.baseline.allowed_share(self.settings.min_baseline_share);
        let false_alarm_rate = self.settings.false_alarm_rate / self.sums.len() as f64;
        for (sum, effect) in self.sums.iter_mut().zip(self.settings.effects) {
            sum.add(log_ratio(fresh, share, effect));
            self.is_bad |= sum.exceeds_bound(false_alarm_rate);
        }
        // The cap keeps a bad start from outweighing all later calls.
        let pass_log_ratio = self.pass_log_ratio + log_ratio(fresh, share, self.settings.pass_effect);
        self.pass_log_ratio = pass_log_ratio.min(-self.settings.miss_rate.ln());
    }

    fn verdict(&self) -> SignalVerdict {
        if self.is_bad {
            SignalVerdict::Bad
        } else if self.pass_log_ratio <= self.settings.miss_rate.ln() {
            SignalVerdict::Passed
        } else {
            SignalVerdict::Undecided
        }
    }
}

/// Returns the log likelihood ratio of "worse by `effect`" against "share of hits is `share`".
fn log_ratio(fresh: SignalTally, share: f64, effect: f64) -> f64 {
    let worse = share + effect * (1.0 - share);
    let good = (fresh.calls - fresh.hits) as f64;
    fresh.hits as f64 * (worse / share).ln() + good * ((1.0 - worse) / (1.0 - share)).ln()
}

/// Signal on which a version is worse than the stable one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum VersionFlaw {
    /// The version fails more calls.
    #[strum(serialize = "faults")]
    Faults,
    /// The version has more slow calls.
    #[strum(serialize = "slow calls")]
    Slow,
    /// Cold targets of the version fail more calls than a cold start accounts for.
    #[strum(serialize = "faults of cold targets")]
    ColdFaults,
    /// Cold targets of the version have more slow calls than a cold start accounts for.
    #[strum(serialize = "slow calls of cold targets")]
    ColdSlow,
    /// Targets of the version crash on many different contents.
    #[strum(serialize = "crashes")]
    Crashes,
}

/// Sequential tests of all signals on one route.
#[derive(Clone, Debug)]
struct RouteJudge {
    faults: SignalJudge,
    slow: SignalJudge,
    cold_faults: SignalJudge,
    cold_slow: SignalJudge,
    crashes: SignalJudge,
    stable_calls: u64,
    has_passed: bool,
}

impl Default for RouteJudge {
    fn default() -> Self {
        let defaults = JudgeSettings::default;
        let slow =
            JudgeSettings { min_baseline_share: 0.05, effects: [0.1, 0.3, 0.7], pass_effect: 0.25, ..defaults() };
        // Some faults are due to cold starts, and some crashes to harmful content.
        let cold_faults = JudgeSettings { min_baseline_share: 0.1, effects: [0.15, 0.3, 0.6], ..defaults() };
        let cold_slow = JudgeSettings { min_baseline_share: 0.8, effects: [0.5, 0.7, 0.9], ..defaults() };
        let crashes = JudgeSettings { min_baseline_share: 0.02, effects: [0.1, 0.2, 0.6], ..defaults() };
        Self {
            faults: SignalJudge::new(defaults()),
            slow: SignalJudge::new(slow),
            cold_faults: SignalJudge::new(cold_faults),
            cold_slow: SignalJudge::new(cold_slow),
            crashes: SignalJudge::new(crashes),
            stable_calls: 0,
            has_passed: false,
        }
    }
}

impl RouteJudge {
    fn evaluate(&mut self, candidate: RouteTally, stable: RouteTally) -> Option<VersionFlaw> {
        let faults = |tally: RouteTally| SignalTally::new(tally.calls, tally.faults);
        let slow = |tally: RouteTally| SignalTally::new(tally.timed, tally.slow);
        let cold_faults = |tally: RouteTally| SignalTally::new(tally.cold_calls, tally.cold_faults);
        let cold_slow = |tally: RouteTally| SignalTally::new(tally.cold_timed, tally.cold_slow);
        let crashes = |tally: RouteTally| SignalTally::new(tally.calls + tally.crashes, tally.crashes);
        self.stable_calls = stable.calls;
        // The stable version may have had no cold targets, so the baseline of cold calls is all its calls.
        let stable_cold_faults =
            SignalTally::new(stable.calls + stable.cold_faults, stable.faults + stable.cold_faults);
        let stable_cold_slow = SignalTally::new(stable.timed + stable.cold_slow, stable.slow + stable.cold_slow);
        let verdicts = [
            (VersionFlaw::Faults, self.faults.evaluate(faults(candidate), faults(stable))),
            (VersionFlaw::Slow, self.slow.evaluate(slow(candidate), slow(stable))),
            (VersionFlaw::ColdFaults, self.cold_faults.evaluate(cold_faults(candidate), stable_cold_faults)),
            (VersionFlaw::ColdSlow, self.cold_slow.evaluate(cold_slow(candidate), stable_cold_slow)),
            (VersionFlaw::Crashes, self.crashes.evaluate(crashes(candidate), crashes(stable))),
        ];
        self.has_passed = verdicts[..2].iter().all(|(_, verdict)| *verdict == SignalVerdict::Passed);
        verdicts.into_iter().find(|(_, verdict)| *verdict == SignalVerdict::Bad).map(|(flaw, _)| flaw)
    }

    fn begin_step(&mut self) {
        self.faults.begin_step();
        self.slow.begin_step();
        self.has_passed = false;
    }
}

/// Tallies of one version by route.
pub type RouteTallies = BTreeMap<Arc<str>, RouteTally>;

/// Signal and route on which a candidate is worse than the stable version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionFinding {
    /// Signal on which the candidate is worse.
    pub flaw: VersionFlaw,
    /// Route on which the candidate is worse; `None` if only all routes together show it.
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

/// Scope of the comparisons that must have passed for a step to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassScope {
    /// All routes together, and each route with at least `VersionJudge::MIN_ROUTE_SHARE` of the calls.
    EachRoute,
    /// All routes together only.
    Pooled,
}

/// Compares a candidate with the stable version, on each route and on all routes together.
#[derive(Clone, Debug, Default)]
pub struct VersionJudge {
    routes: BTreeMap<Arc<str>, RouteJudge>,
    pooled: RouteJudge,
}

impl VersionJudge {
    /// Share of a service's calls from which a route has to pass on its own; rarer ones are only checked for flaws.
    const MIN_ROUTE_SHARE: f64 = 0.05;

    /// Evaluates the running tallies of both versions and returns in what the candidate is worse, if it is.
    pub fn evaluate(&mut self, candidate: &RouteTallies, stable: &RouteTallies) -> Option<VersionFinding> {
        let mut finding = None;
        let (mut all_candidate, mut all_stable) = (RouteTally::default(), RouteTally::default());
        for (route, stable) in stable {
            let candidate = candidate.get(route).copied().unwrap_or_default();
            all_candidate = all_candidate.plus(candidate);
            all_stable = all_stable.plus(*stable);
            let judge = self.routes.entry(route.clone()).or_default();
            if let Some(flaw) = judge.evaluate(candidate, *stable) {
                finding = Some(VersionFinding { flaw, route: Some(route.clone()) });
            }
        }
        let pooled = self.pooled.evaluate(all_candidate, all_stable);
        finding.or_else(|| pooled.map(|flaw| VersionFinding { flaw, route: None }))
    }

    /// Returns whether the candidate has passed this step.
    #[must_use]
    pub fn has_passed(&self, scope: PassScope) -> bool {
        let min_calls = self.pooled.stable_calls as f64 * Self::MIN_ROUTE_SHARE;
        let mut major_routes = self.routes.values().filter(|route| route.stable_calls as f64 >= min_calls);
        self.pooled.has_passed && (scope == PassScope::Pooled || major_routes.all(|route| route.has_passed))
    }

    /// Begins a step of a larger traffic share on all routes.
    pub fn begin_step(&mut self) {
        self.pooled.begin_step();
        self.routes.values_mut().for_each(RouteJudge::begin_step);
    }
}
