//! Sequential comparison of a candidate version with the stable one.
//!
//! Each signal (faults, slow calls, both also at cold targets, and crashes) on each route is a stream of binary
//! outcomes. A CUSUM (cumulative sum) test sums up the log likelihood ratio of "worse by this effect" against "as good
//! as the stable version". The sum restarts whenever it falls to zero, so that a fault that appears late is still
//! detected.
//!
//! If the candidate is as good as the stable version, a sum that starts at zero exceeds `h` with a probability of at
//! most `exp(-h)`. The bound `h` rises with each restart so that these probabilities sum up to at most the false alarm
//! rate, however often and for however long the test is evaluated.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crate::tally::RouteTally;

/// Number of calls of a version, and of those that are flagged: that showed the signal under test, such as a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalTally {
    /// Number of calls.
    pub calls: u64,
    /// Number of calls that showed the signal.
    pub flagged: u64,
}

impl SignalTally {
    /// Creates a tally; `flagged` is capped at `calls`.
    #[must_use]
    pub fn new(calls: u64, flagged: u64) -> Self {
        Self { calls, flagged: flagged.min(calls) }
    }

    fn since(self, earlier: Self) -> Self {
        Self::new(self.calls.saturating_sub(earlier.calls), self.flagged.saturating_sub(earlier.flagged))
    }
}

/// Error rates and effect sizes for one signal.
#[derive(Clone, Debug, PartialEq)]
pub struct JudgeSettings {
    /// Probability that a version as good as the stable one is ever found bad.
    pub false_alarm_rate: f64,
    /// Probability that a version worse by `pass_effect` passes a step.
    pub miss_rate: f64,
    /// Lower bound of the share of flagged calls that is assumed for the stable version.
    pub min_baseline_share: f64,
    /// Effect sizes that are tested for. With an effect of 0.2, a fifth of the calls that are not flagged at the stable
    /// version are flagged at the candidate.
    pub effects: [f64; 3],
    /// Effect size that must be ruled out to pass a step.
    pub pass_effect: f64,
    /// Minimum number of calls of the stable version before the first comparison.
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
    /// Sum of the log likelihood ratios since the latest start.
    sum: f64,
    /// Number of starts from zero, including the first.
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

    fn add(&mut self, log_ratio: f64) {
        self.sum += log_ratio;
        if self.sum <= 0.0 {
            self.sum = 0.0;
            self.starts = self.starts.saturating_add(1);
        }
    }

    /// Returns whether the sum has reached the bound of the latest start.
    ///
    /// The bounds are such that the false alarms of all starts together have a probability of at most
    /// `false_alarm_rate`.
    fn has_reached_bound(&self, false_alarm_rate: f64) -> bool {
        let starts = f64::from(self.starts) + 1.0;
        self.sum >= (Self::START_WEIGHTS_SUM * starts * starts.ln().powi(2) / false_alarm_rate).ln()
    }
}

/// Share of flagged calls over a moving window of calls, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct MovingShare {
    calls: f64,
    flagged: f64,
}

impl MovingShare {
    /// Ratio of the window that must be filled; below it, the share is 0.
    const MIN_FILL_RATIO: f64 = 0.25;

    /// Adds calls; `window` is the approximate number of calls that count.
    fn update(&mut self, increment: SignalTally, window: f64) {
        let kept = (1.0 - 1.0 / window).powf(increment.calls as f64);
        self.calls = self.calls * kept + increment.calls as f64;
        self.flagged = self.flagged * kept + increment.flagged as f64;
    }

    fn share(&self, window: f64) -> f64 {
        if self.calls < window * Self::MIN_FILL_RATIO { 0.0 } else { self.flagged / self.calls }
    }
}

/// Share of flagged calls of the stable version: over all calls, over a long and over a short window.
#[derive(Clone, Copy, Debug, Default)]
struct BaselineShare {
    /// Running tally at the last evaluation.
    last_tally: SignalTally,
    long_window: MovingShare,
    short_window: MovingShare,
}

impl BaselineShare {
    /// Length of the long window in calls.
    const LONG_WINDOW_CALLS: f64 = 200.0;
    /// Length of the short window in calls.
    const SHORT_WINDOW_CALLS: f64 = 16.0;
    /// Width of the upper confidence limit over all calls, in standard deviations.
    const OVERALL_LIMIT_DEVIATIONS: f64 = 2.0;
    /// Number of flagged calls in the short window from which on its upper confidence limit is used, not its share.
    const MIN_RECENT_FLAGGED: f64 = 1.5;
    /// Width of the upper confidence limit of the short window, in standard deviations.
    const RECENT_LIMIT_DEVIATIONS: f64 = 1.0;
    /// Upper bound of the allowed share; above it, versions cannot be told apart.
    const MAX_SHARE: f64 = 0.9;

    fn update(&mut self, stable: SignalTally) {
        let increment = stable.since(self.last_tally);
        self.last_tally = stable;
        self.long_window.update(increment, Self::LONG_WINDOW_CALLS);
        self.short_window.update(increment, Self::SHORT_WINDOW_CALLS);
    }

    /// Returns the share of flagged calls that the candidate may have.
    ///
    /// Recent flagged calls raise the share, so that a fault of both versions is not attributed to the candidate.
    fn allowed_share(&self, min_share: f64) -> f64 {
        let overall =
            upper_limit(self.last_tally.calls as f64, self.last_tally.flagged as f64, Self::OVERALL_LIMIT_DEVIATIONS);
        // Several recent flagged calls may be the onset of a fault of both versions, which shows late if calls are few.
        let short_limit =
            upper_limit(self.short_window.calls, self.short_window.flagged, Self::RECENT_LIMIT_DEVIATIONS);
        let short_share = if self.short_window.flagged < Self::MIN_RECENT_FLAGGED {
            self.short_window.share(Self::SHORT_WINDOW_CALLS)
        } else {
            short_limit
        };
        let recent = self.long_window.share(Self::LONG_WINDOW_CALLS).max(short_share);
        overall.max(recent).clamp(min_share, Self::MAX_SHARE)
    }
}

/// Returns the upper limit of the Wilson score interval of a share, `deviations` standard deviations from its middle.
fn upper_limit(calls: f64, flagged: f64, deviations: f64) -> f64 {
    let square = deviations * deviations;
    let middle = (flagged + square / 2.0) / (calls + square);
    let spread = deviations / (calls + square) * (flagged * (calls - flagged) / calls.max(1.0) + square / 4.0).sqrt();
    middle + spread
}

/// Sequential test of a candidate against the stable version on one signal.
#[derive(Clone, Debug, Default)]
pub struct SignalJudge {
    settings: JudgeSettings,
    /// Running tally at the last evaluation.
    last_tally: SignalTally,
    baseline: BaselineShare,
    /// Statistic of each of `settings.effects`.
    sums: [CusumStatistic; 3],
    /// Log likelihood ratio of "worse by `pass_effect`" in this step; a low value passes.
    pass_log_ratio: f64,
    /// Whether any statistic has ever reached its bound.
    is_bad: bool,
}

impl SignalJudge {
    /// Creates a judge that has seen no calls.
    #[must_use]
    pub fn new(settings: JudgeSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Tests the calls since the last evaluation and returns the verdict; both tallies are running totals.
    ///
    /// The test begins once the stable version has had `min_baseline_calls`.
    pub fn evaluate(&mut self, candidate: SignalTally, stable: SignalTally) -> SignalVerdict {
        self.baseline.update(stable);
        if stable.calls < self.settings.min_baseline_calls && self.last_tally.calls == 0 {
            return SignalVerdict::Undecided;
        }
        let increment = candidate.since(self.last_tally);
        self.last_tally = candidate;
        if increment.calls > 0 {
            self.update(increment);
        }
        self.verdict()
    }

    /// Begins a step of a larger traffic share, which has to be passed anew; the evidence of a flaw is kept.
    ///
    /// A pass at a smaller share of the traffic says nothing about a larger one.
    pub fn begin_step(&mut self) {
        self.pass_log_ratio = 0.0;
    }

    fn update(&mut self, increment: SignalTally) {
        let share = self.baseline.allowed_share(self.settings.min_baseline_share);
        let false_alarm_rate = self.settings.false_alarm_rate / self.sums.len() as f64;
        for (sum, effect) in self.sums.iter_mut().zip(self.settings.effects) {
            sum.add(log_ratio(increment, share, effect));
            self.is_bad |= sum.has_reached_bound(false_alarm_rate);
        }
        // The cap keeps a bad start from outweighing all later calls.
        let pass_log_ratio = self.pass_log_ratio + log_ratio(increment, share, self.settings.pass_effect);
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

/// Returns the log likelihood ratio of "worse by `effect`" against "the share of flagged calls is `share`".
fn log_ratio(increment: SignalTally, share: f64, effect: f64) -> f64 {
    let worse_share = share + effect * (1.0 - share);
    let unflagged = (increment.calls - increment.flagged) as f64;
    increment.flagged as f64 * (worse_share / share).ln() + unflagged * ((1.0 - worse_share) / (1.0 - share)).ln()
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
    /// Number of calls of the stable version at the last evaluation.
    stable_calls: u64,
    /// Whether faults and slow calls of warm targets have both passed in this step.
    has_passed: bool,
}

impl Default for RouteJudge {
    fn default() -> Self {
        let defaults = JudgeSettings::default;
        let slow =
            JudgeSettings { min_baseline_share: 0.05, effects: [0.1, 0.3, 0.7], pass_effect: 0.25, ..defaults() };
        // The minimum shares allow for faults and slow calls of cold starts, and for crashes due to harmful content.
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
        // The stable version may have had no cold targets, so the baselines of cold calls include its warm calls.
        let cold_fault_baseline =
            SignalTally::new(stable.calls + stable.cold_faults, stable.faults + stable.cold_faults);
        let cold_slow_baseline = SignalTally::new(stable.timed + stable.cold_slow, stable.slow + stable.cold_slow);
        let verdicts = [
            (VersionFlaw::Faults, self.faults.evaluate(faults(candidate), faults(stable))),
            (VersionFlaw::Slow, self.slow.evaluate(slow(candidate), slow(stable))),
            (VersionFlaw::ColdFaults, self.cold_faults.evaluate(cold_faults(candidate), cold_fault_baseline)),
            (VersionFlaw::ColdSlow, self.cold_slow.evaluate(cold_slow(candidate), cold_slow_baseline)),
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
    /// All routes together, and each route with at least `VersionJudge::MIN_ROUTE_SHARE` of the stable version's calls.
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
    /// Minimum share of the stable version's calls on a route that has to pass on its own. Routes with fewer calls are
    /// only checked for flaws.
    const MIN_ROUTE_SHARE: f64 = 0.05;

    /// Evaluates the running tallies of both versions, and returns on what the candidate is worse, or `None`.
    ///
    /// Routes without calls of the stable version are skipped. Of several routes with a flaw, the last by name is
    /// returned; all routes together count only if no route shows a flaw.
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

    /// Returns whether the candidate has passed this step in the given scope.
    #[must_use]
    pub fn has_passed(&self, scope: PassScope) -> bool {
        let min_calls = self.pooled.stable_calls as f64 * Self::MIN_ROUTE_SHARE;
        let mut major_routes = self.routes.values().filter(|route| route.stable_calls as f64 >= min_calls);
        self.pooled.has_passed && (scope == PassScope::Pooled || major_routes.all(|route| route.has_passed))
    }

    /// Returns whether at least `min_calls` of the candidate's calls were compared, and both the faults and the slow
    /// calls of warm targets are more likely those of a version as good as the stable one than of a worse one.
    #[must_use]
    pub fn favours_candidate(&self, min_calls: u64) -> bool {
        let signals = [&self.pooled.faults, &self.pooled.slow];
        signals.iter().all(|signal| signal.last_tally.calls >= min_calls && signal.pass_log_ratio < 0.0)
    }

    /// Begins a step of a larger traffic share on all routes.
    pub fn begin_step(&mut self) {
        self.pooled.begin_step();
        self.routes.values_mut().for_each(RouteJudge::begin_step);
    }
}
