//! Settled eras of the store: those in which what it had lost before has been written again.
//!
//! A node that lives through the beginning of an era knows when that is the case. One that starts later learns it from
//! its peers, or, if all nodes have ended meanwhile, from a row that some nodes write into the store once an era. The row
//! names its era, so that neither a copy of the store from before the era nor a late write of an earlier one can hold
//! it. Releases that write no such row read it as a node without an address, which they skip.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::message::NodeState;
use crate::names::NodeName;
use crate::relay::board::RelayBoard;
use crate::relay::members::{CallVersion, rendezvous_weight};
use crate::relay::rows::{TableCopy, TableId};
use crate::relay::store_version::StoreVersion;

/// How a node learned that an era is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SettlementBasis {
    /// It has waited since it saw the era begin, and has read the store afterwards.
    Wait,
    /// A peer has told it.
    Peer,
    /// The store holds the row of the era.
    Record,
}

/// An era that has turned out to be settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraSettlement {
    /// Version of the store from which on its state holds what was lost.
    pub settled_from: StoreVersion,
    /// How the node learned it.
    pub basis: SettlementBasis,
}

/// Eras of the store that are known to be settled.
#[derive(Clone, Debug, Default)]
pub struct SettledEras {
    /// For each era, the number of the version from which on its state holds what was lost.
    settled_from: BTreeMap<u64, u64>,
    /// Settlements that have not been taken by [`Self::take_news`].
    news: Vec<EraSettlement>,
    /// Newest era whose row is known to be in the store.
    recorded_era: u64,
    /// Era whose row this node may write, and when it may try to.
    turn: Option<(u64, Moment)>,
}

impl SettledEras {
    /// Number of eras that are remembered.
    const MAX_ERAS: usize = 4;

    /// Records that the store's state is settled from the version in `settlement` on.
    pub fn record(&mut self, settlement: EraSettlement) {
        let StoreVersion { era, number } = settlement.settled_from;
        let known = self.settled_from.get(&era).copied();
        if known.is_none() {
            self.news.push(settlement);
        }
        self.settled_from.insert(era, known.map_or(number, |known| known.min(number)));
        while self.settled_from.len() > Self::MAX_ERAS {
            self.settled_from.pop_first();
        }
        if settlement.basis == SettlementBasis::Record {
            self.record_written(era);
        }
    }

    /// Records that the store holds the row of `era`.
    pub fn record_written(&mut self, era: u64) {
        self.recorded_era = self.recorded_era.max(era);
    }

    /// Returns whether the state of the store at `version` holds what was lost before its era.
    #[must_use]
    pub fn is_settled(&self, version: StoreVersion) -> bool {
        self.settled_from.get(&version.era).is_some_and(|number| *number <= version.number)
    }

    /// Returns from which version on the newest settled era is settled, if one is known.
    #[must_use]
    pub fn newest(&self) -> Option<StoreVersion> {
        self.settled_from.last_key_value().map(|(era, number)| StoreVersion::new(*era, *number))
    }

    /// Returns the settlements that were recorded since the last call, one for each era.
    pub fn take_news(&mut self) -> Vec<EraSettlement> {
        std::mem::take(&mut self.news)
    }

    /// Returns whether it is this node's turn to write the row of `era`. The first turn comes after `delay`, and each further
    /// one `retry_pause` after the one before.
    fn take_turn(&mut self, era: u64, delay: Duration, retry_pause: Duration, now: Moment) -> bool {
        let due_at = self.turn.filter(|(turn_era, _)| *turn_era == era).map_or(now + delay, |(_, due_at)| due_at);
        let is_due = due_at <= now;
        self.turn = Some((era, if is_due { now + retry_pause } else { due_at }));
        is_due
    }
}

impl RelayBoard {
    /// Number of nodes that try to write a row for all. It is small so that not every node sends calls to the store.
    const MAX_RECORDERS: usize = 3;
    /// Time for which a node leaves a row to the one before it.
    pub(super) const RECORD_DELAY: Duration = Duration::from_secs(2);
    /// Pause after a write of a row without an answer.
    pub(super) const RECORD_RETRY_PAUSE: Duration = Duration::from_secs(1);

    /// Records that the store holds the row of a settled era, which was written at version `written_in`.
    pub fn record_settled_row(&mut self, written_in: StoreVersion) {
        self.restoration
            .settled_eras
            .record(EraSettlement { settled_from: written_in, basis: SettlementBasis::Record });
    }

    /// Records that a peer knows an era to be settled from a version on.
    pub(super) fn record_peer_settlement(&mut self, settled_from: Option<StoreVersion>) {
        if let Some(settled_from) = settled_from {
            self.restoration.settled_eras.record(EraSettlement { settled_from, basis: SettlementBasis::Peer });
        }
    }

    /// Records that the row of `era` is in the store, after this node has tried to write it.
    pub fn record_settled_row_written(&mut self, era: u64) {
        self.restoration.settled_eras.record_written(era);
    }

    /// Notes whether the present era has become settled, and returns the eras that have since the last call.
    pub fn update_settlement(&mut self, now: Moment) -> Vec<EraSettlement> {
        if let Some(settled_from) = self.observed_settlement() {
            self.restoration.settled_eras.record(EraSettlement { settled_from, basis: SettlementBasis::Wait });
        }
        self.trust_proven_entries(now);
        self.restoration.settled_eras.take_news()
    }

    /// Returns the era whose row this node is to write into the store now, if there is one.
    pub fn take_era_to_record(&mut self, now: Moment) -> Option<u64> {
        let version = self.copies.get(&TableId::Orders).map(TableCopy::version)?;
        let settled_eras = &self.restoration.settled_eras;
        if version.era == 0 || settled_eras.recorded_era >= version.era || !settled_eras.is_settled(version) {
            return None;
        }
        let position = self.recorder_position(&format!("settled-era/{}", version.era), now)?;
        let delay = Self::RECORD_DELAY * position as u32;
        let is_turn = self.restoration.settled_eras.take_turn(version.era, delay, Self::RECORD_RETRY_PAUSE, now);
        is_turn.then_some(version.era)
    }

    /// Returns this node's position among those that try to write the row about `subject` for all: the first live, serving
    /// nodes in rendezvous order that know of such rows. `None` if it is not among them.
    pub(super) fn recorder_position(&self, subject: &str, now: Moment) -> Option<usize> {
        let own = (self.state == NodeState::Serving).then_some(&self.identity.node);
        let peers = self.members.serving(now).filter(|view| view.heartbeat.call_version >= CallVersion::SETTLED_ERAS);
        let mut nodes: Vec<&NodeName> = own.into_iter().chain(peers.map(|view| &view.heartbeat.node)).collect();
        nodes.sort_by_cached_key(|node| (Reverse(rendezvous_weight(subject, node.as_str())), (*node).clone()));
        nodes.into_iter().take(Self::MAX_RECORDERS).position(|node| *node == self.identity.node)
    }
}
