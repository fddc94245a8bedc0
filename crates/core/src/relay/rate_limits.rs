//! Limits that targets name on the requests per second that they take from all nodes together.
//!
//! Nodes learn limits from answers and from each other's heartbeats. A request to a limited target needs a permit of the
//! limit keeper, one node for each service, which all nodes choose alike. The keeper has a token bucket for each target,
//! so that the limit holds for the sum of all nodes and can be below one request for each of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{NodeName, ServiceName, TargetName};
use crate::relay::board::RelayBoard;
use crate::relay::brittle::{LeaseId, PermitRole, RoomLimit};
use crate::relay::targets::TargetView;

/// A number of requests per second, stored in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// Returns the rate of so many requests per second, or `None` for a number that is negative or not finite.
    #[must_use]
    pub fn from_per_second(requests: f64) -> Option<Self> {
        (requests.is_finite() && requests >= 0.0).then(|| Self((requests * 1e3).min(f64::from(u32::MAX)) as u32))
    }

    /// Returns the number of requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// What a node knows of a target's limit, as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitReport<T = RequestRate> {
    /// The target.
    pub target: TargetName,
    /// The limit, or `None` if the target has stopped naming one.
    pub limit: Option<T>,
    /// Time since the answer that showed it.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct LimitRecord<T> {
    limit: Option<T>,
    shown_at: Moment,
}

/// Limits of one kind, as answers of targets showed them last.
#[derive(Clone, Debug)]
pub struct LimitTable<T> {
    records: BTreeMap<TargetName, LimitRecord<T>>,
}

/// Limits of targets on the requests per second.
pub type RateLimitTable = LimitTable<RequestRate>;

impl<T> Default for LimitTable<T> {
    fn default() -> Self {
        Self { records: BTreeMap::new() }
    }
}

impl<T: Copy> LimitTable<T> {
    /// Time after which a record is dropped. A limited target that is still there has answered since.
    const RECORD_LIFETIME: Duration = Duration::from_mins(1);
    /// Time for which a record is announced to peers, which get several heartbeats in it.
    const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

    /// Records the limit that an answer named, or `None` for an answer without one, to a call that was made at
    /// `called_at`. An answer without a limit ends one only if its call is later than the answer that named it.
    pub fn record_answer(&mut self, target: &TargetName, limit: Option<T>, called_at: Moment, now: Moment) {
        match (limit, self.records.get(target)) {
            (Some(_), _) => {
                self.records.insert(target.clone(), LimitRecord { limit, shown_at: now });
            }
            (None, Some(known)) if known.limit.is_some() && called_at > known.shown_at => {
                self.records.insert(target.clone(), LimitRecord { limit: None, shown_at: now });
            }
            (None, _) => {}
        }
    }

    /// Takes over what a peer has learned later than this node.
    pub fn merge_reports(&mut self, reports: &[LimitReport<T>], now: Moment) {
        for report in reports {
            let (limit, shown_at) = (report.limit, now - report.age);
            if self.records.get(&report.target).is_none_or(|known| known.shown_at < shown_at) {
                self.records.insert(report.target.clone(), LimitRecord { limit, shown_at });
            }
        }
    }

    /// Returns the recent records for a heartbeat.
    #[must_use]
    pub fn reports(&self, now: Moment) -> Vec<LimitReport<T>> {
        let recent = self.records.iter().filter(|(_, known)| now.since(known.shown_at) <= Self::ANNOUNCE_TIMEOUT);
        recent
            .map(|(target, known)| LimitReport {
                target: target.clone(),
                limit: known.limit,
                age: now.since(known.shown_at),
            })
            .collect()
    }

    /// Returns the limit of a target, or `None` if it has none.
    #[must_use]
    pub fn get(&self, target: &TargetName) -> Option<T> {
        self.records.get(target)?.limit
    }

    /// Returns whether a target has stopped naming a limit.
    #[must_use]
    pub fn has_ended(&self, target: &TargetName) -> bool {
        self.records.get(target).is_some_and(|known| known.limit.is_none())
    }

    /// Returns whether no target has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.values().all(|known| known.limit.is_none())
    }

    /// Forgets the limit of a target that is gone or has started again.
    pub fn remove_target(&mut self, target: &TargetName) {
        self.records.remove(target);
    }

    pub(super) fn remove_expired(&mut self, now: Moment) {
        self.records.retain(|_, known| now.since(known.shown_at) < Self::RECORD_LIFETIME);
    }
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: Moment,
}

/// Token buckets of the targets for whose limits this node has given permits.
#[derive(Clone, Debug, Default)]
pub struct PermitBuckets {
    buckets: BTreeMap<TargetName, TokenBucket>,
    /// Since when this node has been the keeper of each service by its own view.
    keeper_since: BTreeMap<ServiceName, Moment>,
    /// The keeper that last answered this node, and when it did.
    last_answer: Option<(NodeName, Moment)>,
    /// When `keeper_since` was last brought up to date for all services.
    checked_at: Moment,
}

impl PermitBuckets {
    /// Fraction of a limit that is used. The rest covers requests that the network delays and delivers together.
    const USED_RATIO: f64 = 0.95;
    /// Fraction of the used rate at which a node gives permits while another one may be the keeper in the view of some
    /// nodes. The users tolerate one and a half times a limit.
    const SHARED_RATIO: f64 = 0.5;
    /// Interval at which a node checks of which services it is the keeper. It then knows for how long when the first
    /// target names a limit.
    const CHECK_INTERVAL: Duration = Duration::from_millis(500);
    /// Time for which views of who is the keeper may differ after a change.
    const TAKEOVER_TIME: Duration = Duration::from_secs(4);
    /// Time for which an answer of a keeper shows that it is not lost.
    const ANSWER_LIFETIME: Duration = Duration::from_millis(300);
    /// Size of a bucket: a fixed number of tokens, and those of some time at the limit.
    const BASE_TOKENS: f64 = 2.0;
    const BUCKET_TIME: Duration = Duration::from_millis(250);
    /// Tokens that must remain after a permit for each rank below the most urgent, up to `MAX_RESERVE_RANK`. More urgent
    /// requests find them.
    const RANK_RESERVE: f64 = 0.5;
    const MAX_RESERVE_RANK: u8 = 2;
    /// Tokens down to which a bucket can be overdrawn by calls that need no permit.
    const MIN_TOKENS: f64 = -3.0;

    /// Records whether this node is the keeper of `service` in its own view. Returns the fraction of the limits that it
    /// may give.
    fn usable_ratio(&mut self, service: &ServiceName, is_keeper: bool, now: Moment) -> f64 {
        if !is_keeper {
            self.keeper_since.remove(service);
            return Self::USED_RATIO * Self::SHARED_RATIO;
        }
        self.keeper_since.entry(service.clone()).or_insert(now);
        if self.is_settled(service, now) { Self::USED_RATIO } else { Self::USED_RATIO * Self::SHARED_RATIO }
    }

    /// Returns whether this node has been the keeper of `service` for so long that all nodes know it.
    pub(super) fn is_settled(&self, service: &ServiceName, now: Moment) -> bool {
        self.keeper_since.get(service).is_some_and(|since| now.since(*since) >= Self::TAKEOVER_TIME)
    }

    /// Fills the bucket of a target, and returns its tokens.
    fn fill(&mut self, target: &TargetName, rate: RequestRate, usable_ratio: f64, now: Moment) -> &mut f64 {
        let size = Self::BASE_TOKENS + rate.per_second() * Self::BUCKET_TIME.as_secs_f64();
        let bucket =
            self.buckets.entry(target.clone()).or_insert(TokenBucket { tokens: 1.0_f64.min(size), filled_at: now });
        let added = now.since(bucket.filled_at).as_secs_f64() * rate.per_second() * usable_ratio;
        bucket.tokens = (bucket.tokens + added).min(size);
        bucket.filled_at = now;
        &mut bucket.tokens
    }

    /// Returns the tokens that a bucket must hold for a request with priority `rank`.
    fn tokens_needed(rank: u8) -> f64 {
        1.0 + Self::RANK_RESERVE * f64::from(rank.min(Self::MAX_RESERVE_RANK))
    }

    fn remove_expired(&mut self, now: Moment) {
        self.buckets.retain(|_, bucket| now.since(bucket.filled_at) < RateLimitTable::RECORD_LIFETIME);
    }
}

/// A limited target for which a permit is requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitedTarget {
    /// The target.
    pub target: TargetName,
    /// Its limit on the requests per second, if it has named one.
    pub rate: Option<RequestRate>,
    /// Its room for calls, if it is brittle.
    pub room: Option<RoomLimit>,
}

/// A request for a permit to call one of several limited targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Service of the targets.
    pub service: ServiceName,
    /// Priority rank of the request that is to be sent.
    pub rank: u8,
    /// Targets with their limits, in the order of preference.
    pub targets: Vec<LimitedTarget>,
    /// Lease of the room that the call takes at a brittle target.
    pub lease: LeaseId,
    /// Time after which the call has ended if its end is not reported.
    pub hold_time: Duration,
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// One request may be sent to this target now.
    Granted(TargetName),
    /// No target takes a request now. One of them is expected to take one after this time.
    Denied(Duration),
}

impl PermitAnswer {
    /// Minimum and maximum time after which a caller is told to retry.
    pub const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(4));
    /// Time after which a caller may retry if the keeper is late to answer.
    const LATE_KEEPER_PAUSE: Duration = Duration::from_millis(500);
}

impl RelayBoard {
    /// Returns the node that gives permits for the limited targets of `service`: the one that batches its pieces.
    #[must_use]
    pub fn limit_keeper(&self, service: &ServiceName, now: Moment) -> &NodeName {
        self.batching_node(service, now)
    }

    /// Returns for whom this node gives permits for the targets of `service`. One that becomes their keeper counts the
    /// calls in flight again, since other nodes have leased room meanwhile.
    fn permit_role(&mut self, service: &ServiceName, now: Moment) -> PermitRole {
        if *self.limit_keeper(service, now) != self.identity.node {
            return PermitRole::FormerKeeper;
        }
        if !self.permit_buckets.keeper_since.contains_key(service) {
            let targets = self.targets.of(service).map(|view| &view.entry.target);
            self.rooms.recount_unleased(targets);
        }
        PermitRole::Keeper
    }

    /// Gives a permit for the first target whose bucket and room allow it.
    pub fn take_permit(&mut self, request: &PermitRequest, now: Moment) -> PermitAnswer {
        let role = self.permit_role(&request.service, now);
        self.take_permit_as(request, role, now)
    }

    /// Records that `keeper` has answered a request for a permit.
    pub fn record_permit_answer(&mut self, keeper: NodeName, now: Moment) {
        self.permit_buckets.last_answer = Some((keeper, now));
    }

    /// Does the same within the share that each node has while the keeper does not answer it. There is none if the keeper
    /// has answered another request just now: it is only late, and gives all of the room.
    pub fn take_own_share(&mut self, request: &PermitRequest, now: Moment) -> PermitAnswer {
        let keeper = self.limit_keeper(&request.service, now);
        let last_answer = self.permit_buckets.last_answer.as_ref().filter(|(node, _)| node == keeper);
        if last_answer.is_some_and(|(_, at)| now.since(*at) < PermitBuckets::ANSWER_LIFETIME) {
            return PermitAnswer::Denied(PermitAnswer::LATE_KEEPER_PAUSE);
        }
        self.take_permit_as(request, PermitRole::Alone, now)
    }

    fn take_permit_as(&mut self, request: &PermitRequest, role: PermitRole, now: Moment) -> PermitAnswer {
        let ratio = self.permit_buckets.usable_ratio(&request.service, role == PermitRole::Keeper, now);
        let room_ratio = self.room_ratio(&request.service, role, now);
        let needed = PermitBuckets::tokens_needed(request.rank);
        let (min_pause, max_pause) = PermitAnswer::RETRY_AFTER_RANGE;
        let mut pause = max_pause;
        for LimitedTarget { target, rate, room } in &request.targets {
            if let Some(room) = room
                && let Err(room_pause) = self.check_room(target, *room, role, room_ratio, now)
            {
                pause = pause.min(room_pause);
                continue;
            }
            if let Some(rate) = rate {
                let tokens = self.permit_buckets.fill(target, *rate, ratio, now);
                if *tokens < needed {
                    let seconds = (needed - *tokens) / (rate.per_second() * ratio).max(1e-3);
                    pause = pause.min(Duration::from_secs_f64(seconds.min(max_pause.as_secs_f64())));
                    continue;
                }
                *tokens -= 1.0;
            }
            if room.is_some() {
                self.rooms.grant(request.lease, target, request.hold_time, now);
            }
            return PermitAnswer::Granted(target.clone());
        }
        // Spreads the retries of callers that were refused together.
        let pause = pause.mul_f64(1.0 + self.random.f64());
        PermitAnswer::Denied(pause.clamp(min_pause, max_pause))
    }

    /// Counts a call to a target that was made without a permit, such as one that frees results.
    pub fn charge_permit(&mut self, service: &ServiceName, target: &TargetName, now: Moment) {
        let Some(rate) = self.rate_limits.get(target) else { return };
        let role = self.permit_role(service, now);
        let ratio = self.permit_buckets.usable_ratio(service, role == PermitRole::Keeper, now);
        let tokens = self.permit_buckets.fill(target, rate, ratio, now);
        *tokens = (*tokens - 1.0).max(PermitBuckets::MIN_TOKENS);
    }

    /// Returns the targets of `service` whose limits allow a call by this node now, which batches its pieces, together
    /// with those that have no limit. A call to one of them is counted with [`Self::charge_permit`] and
    /// [`Self::grant_room`].
    #[must_use]
    pub fn targets_within_limits(&mut self, service: &ServiceName, now: Moment) -> Vec<TargetName> {
        let role = self.permit_role(service, now);
        let ratio = self.permit_buckets.usable_ratio(service, role == PermitRole::Keeper, now);
        let room_ratio = self.room_ratio(service, role, now);
        let mut names: Vec<TargetName> = self.targets.of(service).map(|view| view.entry.target.clone()).collect();
        names.retain(|target| {
            let room = self.room_limit(service, target);
            let has_room = room.is_none_or(|room| self.check_room(target, room, role, room_ratio, now).is_ok());
            let Self { rate_limits, permit_buckets, .. } = &mut *self;
            let rate = rate_limits.get(target).filter(|_| has_room);
            has_room && rate.is_none_or(|rate| *permit_buckets.fill(target, rate, ratio, now) >= 1.0)
        });
        names
    }

    /// Returns the limits on a target of `service`, or `None` if it has none.
    #[must_use]
    pub fn target_limits(&self, service: &ServiceName, target: &TargetName) -> Option<LimitedTarget> {
        let (rate, room) = (self.rate_limits.get(target), self.room_limit(service, target));
        (rate.is_some() || room.is_some()).then(|| LimitedTarget { target: target.clone(), rate, room })
    }

    /// Returns up to `max_count` limited targets of `service` that may get a call apart from their limits, in random
    /// order.
    #[must_use]
    pub fn limited_targets(&mut self, service: &ServiceName, max_count: usize, now: Moment) -> Vec<LimitedTarget> {
        let lanes = self.version_lanes(service, now);
        let is_usable = |view: &&TargetView| {
            let entry = &view.entry;
            let is_in_lane = lanes.first().is_some_and(|lane| lane.allows(&entry.version));
            let is_free = !view.is_cold(now) && view.backoff_until <= now;
            is_in_lane && is_free && view.takes_calls(now) && !self.closed_dcs.contains(&entry.dc)
        };
        let usable = self.targets.of(service).filter(is_usable);
        let limited: Vec<LimitedTarget> =
            usable.filter_map(|view| self.target_limits(service, &view.entry.target)).collect();
        self.random.choose_multiple(limited, max_count)
    }

    /// Drops limits and buckets that have not been used for long, and checks of which services this node is the keeper.
    pub(super) fn maintain_limits(&mut self, now: Moment) {
        self.rate_limits.remove_expired(now);
        self.brittle.remove_expired(now);
        self.rooms.remove_expired(now);
        self.permit_buckets.remove_expired(now);
        if now.since(self.permit_buckets.checked_at) < PermitBuckets::CHECK_INTERVAL {
            return;
        }
        self.permit_buckets.checked_at = now;
        for service in self.index.clone().services.keys() {
            let role = self.permit_role(service, now);
            self.permit_buckets.usable_ratio(service, role == PermitRole::Keeper, now);
        }
    }
}
