//! What is in force after the store was restored from an older copy of itself.
//!
//! What the store had acknowledged and lost is still in force for callers, and operators and targets write it again. Until
//! then a node keeps what it knows: the newest document that it has had, orders that the store no longer has, and what
//! targets last said of themselves. A document is not proven to be the newest by a store that has lost it, so keys and the
//! absence of routes are decided by the age of the last proof from before.
//!
//! An era of the store is settled once that has been written again. A node that starts knows neither what was lost nor when
//! the era began: it waits like one that has just seen the store's return, unless a peer or a row in the store tells that
//! the era is settled, see [`crate::relay::settled_eras`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::names::{DcName, ServiceName};
use crate::relay::board::{OrderChange, RelayBoard};
use crate::relay::members::RelayHeartbeat;
use crate::relay::rollout::RolloutWatch;
use crate::relay::rows::{RowBatch, SharedRow, TableCopy, TableId};
use crate::relay::settled_eras::SettledEras;
use crate::relay::store_version::StoreVersion;

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum OrderSubject {
    /// The document.
    Document,
    /// Whether a data centre gets new work.
    DataCentre(DcName),
    /// The version of a service.
    Service(ServiceName),
}

impl OrderSubject {
    /// Returns what `change` is about.
    fn of(change: &OrderChange) -> Self {
        match change {
            OrderChange::Document(_) => Self::Document,
            OrderChange::Close(dc) | OrderChange::Open(dc) => Self::DataCentre(dc.clone()),
            OrderChange::Rollout(order) => Self::Service(order.service.clone()),
            OrderChange::RolloutWithdrawn(service) => Self::Service(service.clone()),
        }
    }
}

/// The beginning of the store's present era, as far as a node knows of it. A node that starts may see it much later.
#[derive(Clone, Copy, Debug)]
struct EraStart {
    /// When the node learned of the era.
    seen_at: Moment,
    /// Latest time before it at which the document was proven to be the newest.
    proven_before: Option<Moment>,
    /// Whether a document has been written since.
    is_document_written: bool,
}

/// A document that a peer has in force and that was newer than this node's when it became known.
#[derive(Clone, Copy, Debug)]
struct PeerDocument {
    version: u64,
    /// Version of the peer's copy of the orders. A node whose copy is as new and that lacks the document will not get it
    /// from the store.
    copy_version: StoreVersion,
    known_since: Moment,
}

/// What the store has lost, as far as a node knows.
#[derive(Clone, Debug, Default)]
pub struct StoreRestoration {
    /// `None` in an era in which the store cannot have lost anything.
    era_start: Option<EraStart>,
    /// Eras that are known to be settled.
    pub(super) settled_eras: SettledEras,
    /// When this node first read the targets' entries, until it is known that no older ones have been restored.
    entries_read_at: Option<Moment>,
    /// Version of the document that the store has.
    stored_document: u64,
    /// Version of the newest document that the store is known to have lost.
    lost_document: u64,
    peer_document: Option<PeerDocument>,
    /// Changes to the restored state of the store, and when they take effect unless the order is written again.
    withheld: BTreeMap<OrderSubject, (OrderChange, Moment)>,
}

impl StoreRestoration {
    /// Time for which orders that the store has lost remain in force if they are not written again.
    const LOST_ORDER_RETENTION: Duration = Duration::from_secs(10);

    /// Records that the store is in a later era than it was, or than this node knew when it started. `proven_at` is the
    /// latest time at which the document was proven to be the newest, if it was.
    fn record_era(&mut self, proven_at: Option<Moment>, now: Moment) {
        self.era_start = Some(EraStart { seen_at: now, proven_before: proven_at, is_document_written: false });
    }

    /// Records the version of the document that the store has. `is_written` says whether it was written since the store's
    /// last return, rather than read with the restored state.
    pub(super) fn record_stored_document(&mut self, version: u64, is_written: bool) {
        self.stored_document = version;
        if let Some(start) = &mut self.era_start {
            start.is_document_written |= is_written;
        }
    }

    /// Records the version of the document that a peer has in force, which read the orders at `copy_version`. This node
    /// has the document `own_version` in force.
    fn record_peer_document(&mut self, version: u64, copy_version: StoreVersion, own_version: u64, now: Moment) {
        if version > own_version && self.peer_document.is_none_or(|known| known.version <= own_version) {
            self.peer_document = Some(PeerDocument { version, copy_version, known_since: now });
        }
    }

    /// Records that this node has read the orders at `copy_version`.
    fn record_orders_read(&mut self, copy_version: StoreVersion) {
        if let Some(peer) = self.peer_document.filter(|peer| peer.copy_version <= copy_version) {
            self.lost_document = self.lost_document.max(peer.version);
        }
    }

    /// Returns since when a peer is known to have a newer document in force than this node with `own_version`.
    pub(super) fn newer_document_since(&self, own_version: u64) -> Option<Moment> {
        self.peer_document.filter(|peer| peer.version > own_version).map(|peer| peer.known_since)
    }

    /// Returns whether `copy` proves which document is the newest: the store has no older one than `newest_document` or a
    /// peer's, and what was lost unseen had been written again when the copy was up to date, which takes at most
    /// `rewrite_time`.
    pub(super) fn is_proof(&self, copy: &TableCopy, newest_document: u64, rewrite_time: Duration) -> bool {
        if self.stored_document < self.lost_document {
            return false;
        }
        self.era_start.is_none_or(|start| {
            let is_rewritten = start.is_document_written
                || self.settled_eras.is_settled(copy.version())
                || has_outlived_rewriting(start.seen_at, copy, rewrite_time);
            self.stored_document >= newest_document && is_rewritten
        })
    }

    /// Returns whether the store is known to lack a document that was acknowledged, `newest_document` or a peer's.
    fn lacks_document(&self, newest_document: u64) -> bool {
        self.stored_document < self.lost_document.max(newest_document)
    }

    /// Returns the latest time before the store's present era at which the document was proven to be the newest.
    pub(super) fn proven_before(&self) -> Option<Moment> {
        self.era_start?.proven_before
    }

    /// Keeps a change from taking effect until the retention of lost orders ends.
    fn withhold(&mut self, change: OrderChange, now: Moment) {
        self.withheld.insert(OrderSubject::of(&change), (change, now + Self::LOST_ORDER_RETENTION));
    }

    /// Drops the change that is withheld for the subject of `order`, which has been written.
    pub(super) fn cancel_withheld(&mut self, order: &OrderChange) {
        self.withheld.remove(&OrderSubject::of(order));
    }

    /// Returns the changes that are not to be withheld any longer.
    fn take_due(&mut self, now: Moment) -> Vec<OrderChange> {
        let due: Vec<OrderSubject> =
            self.withheld.iter().filter(|(_, (_, at))| *at <= now).map(|(subject, _)| subject.clone()).collect();
        due.iter().filter_map(|subject| self.withheld.remove(subject)).map(|(change, _)| change).collect()
    }
}

/// Returns whether `copy` was up to date when `rewrite_time` had passed since the era was first seen.
fn has_outlived_rewriting(seen_at: Moment, copy: &TableCopy, rewrite_time: Duration) -> bool {
    copy.confirmed_at().is_some_and(|confirmed_at| confirmed_at >= seen_at + rewrite_time)
}

/// The effect of a batch of rows on a table.
#[derive(Clone, Debug, Default)]
pub struct AppliedBatch {
    /// Changed rows in order. A row may be among them several times.
    pub changed: Vec<SharedRow>,
    /// The copy before, if the rows may be those of a restored store.
    pub replaced: Option<ReplacedCopy>,
}

/// A copy that was replaced since the store was restored.
#[derive(Clone, Debug)]
pub struct ReplacedCopy {
    /// Store version of the copy. [`StoreVersion::NONE`] if the node has just started and knows nothing of before.
    pub version: StoreVersion,
    /// Keys of rows that have the same content as before under another number. They have been written again already.
    pub rewritten: BTreeSet<Arc<str>>,
}

/// Returns the keys of rows in `batch` that have the same content as in `copy` under another number.
fn rewritten_keys(copy: &TableCopy, batch: &RowBatch) -> BTreeSet<Arc<str>> {
    let known: BTreeMap<&Arc<str>, &SharedRow> = copy.rows().map(|row| (&row.key, row)).collect();
    let is_rewritten = |row: &&SharedRow| {
        known.get(&row.key).is_some_and(|known| known.value == row.value && known.version.number != row.version.number)
    };
    batch.rows.iter().filter(is_rewritten).map(|row| row.key.clone()).collect()
}

impl RelayBoard {
    /// Time after its start for which a node waits for the first heartbeat of a peer before it serves.
    const FIRST_PEER_TIMEOUT: Duration = Duration::from_millis(500);
    /// Age of a document that has never been proven to be the newest. It is above all limits.
    const UNPROVEN_AGE: Duration = Duration::from_secs(u32::MAX as u64);

    /// Applies rows to the copy of a table, see [`TableCopy::apply`]. The changed rows are still to be applied one by one.
    pub fn apply_batch(
        &mut self,
        table: TableId,
        batch: &RowBatch,
        up_to_date_at: Moment,
        now: Moment,
    ) -> AppliedBatch {
        let proven_at = self.document_proven_at();
        let copy = self.copies.entry(table).or_default();
        let before = copy.version();
        let is_start = before == StoreVersion::NONE && batch.version.era > 0;
        let is_return = before != StoreVersion::NONE && batch.whole && batch.version.era > before.era;
        let rewritten = if is_return { rewritten_keys(copy, batch) } else { BTreeSet::new() };
        let changed = copy.apply(batch, up_to_date_at);
        let copy_version = copy.version();
        if table == TableId::Orders {
            self.document_proven_before = proven_at;
            // If the document is among the changed rows, it is recorded as stored next.
            self.restoration.record_orders_read(copy_version);
        }
        if is_start && table == TableId::Targets {
            self.restoration.entries_read_at = Some(now);
        }
        // A node that has just started has no targets to keep.
        let is_order_start = is_start && table == TableId::Orders;
        if !is_return && !is_order_start {
            return AppliedBatch { changed, replaced: None };
        }
        match table {
            TableId::Orders => {
                self.restoration.record_era(proven_at, now);
                self.rollouts.forget_records();
                if is_return {
                    self.forget_suspect_row(batch.version.era);
                }
            }
            // Targets whose entries were lost register again, as after an outage.
            TableId::Targets => self.store_recovered_at = Some(now),
        }
        AppliedBatch { changed, replaced: Some(ReplacedCopy { version: before, rewritten }) }
    }

    /// Applies the order of a row that belongs to the state with which the store was restored, where `replaced` is the
    /// copy before. What the store has lost stays in force for a while, since it is written again. Returns whether the
    /// state differs afterwards.
    pub fn apply_restored_order(
        &mut self,
        key: &str,
        change: OrderChange,
        replaced: &ReplacedCopy,
        now: Moment,
    ) -> bool {
        let is_loss = match &change {
            OrderChange::Document(index) => {
                self.restoration.record_stored_document(index.version, replaced.rewritten.contains(key));
                return self.put_in_force(change, now);
            }
            OrderChange::Close(_) => false,
            OrderChange::Open(dc) => self.closed_dcs.contains(dc),
            OrderChange::Rollout(order) => {
                let known = self.rollouts.get(&order.service).map(RolloutWatch::order);
                known.is_some_and(|known| {
                    !known.is_same_in_later_era(order) && order.order_version.number <= replaced.version.number
                })
            }
            OrderChange::RolloutWithdrawn(service) => self.rollouts.get(service).is_some(),
        };
        if is_loss {
            self.restoration.withhold(change, now);
            return false;
        }
        self.put_in_force(change, now)
    }

    /// Applies the changes whose orders the store has lost and nobody has written again in time, and returns them.
    pub fn apply_withheld_orders(&mut self, now: Moment) -> Vec<OrderChange> {
        let due = self.restoration.take_due(now);
        for change in &due {
            self.put_in_force(change.clone(), now);
        }
        due
    }

    /// Records the document that a peer has in force.
    pub(super) fn record_peer_document(&mut self, heartbeat: &RelayHeartbeat, now: Moment) {
        let Some(proof) = heartbeat.proofs.iter().find(|proof| proof.table == TableId::Orders) else { return };
        self.restoration.record_peer_document(heartbeat.document_version, proof.version, self.index.version, now);
        if let Some(copy) = self.copies.get(&TableId::Orders) {
            self.restoration.record_orders_read(copy.version());
        }
    }

    /// Returns whether this node, which started at `started_at`, can serve: it has read all tables, and has heard from a
    /// peer what the store may have lost, unless no peer answers. If requests need keys, the document must have been proven.
    #[must_use]
    pub fn can_serve(&self, started_at: Moment, now: Moment) -> bool {
        let has_targets = self.copies.get(&TableId::Targets).is_some_and(|copy| copy.version() != StoreVersion::NONE);
        let has_peer = self.members.known().next().is_some() || now.since(started_at) >= Self::FIRST_PEER_TIMEOUT;
        let age = if self.index.requires_keys() { self.document_age(now) } else { self.access_age(now) };
        has_targets && has_peer && age.is_some()
    }

    /// Returns the age of the document that decides about requests. A document that was read at the start and is not
    /// proven yet is older than any limit allows. `None` if there is no document, or a newer one is known.
    pub(super) fn access_age(&self, now: Moment) -> Option<Duration> {
        let is_usable = self.index.version > 0 && !self.restoration.lacks_document(self.index.version);
        self.document_age(now).or_else(|| is_usable.then_some(Self::UNPROVEN_AGE))
    }

    /// Returns whether the targets' entries may be older than those that the targets wrote last, since the store was
    /// restored with them before this node started.
    pub(super) fn are_entries_unproven(&self) -> bool {
        let Some(read_at) = self.restoration.entries_read_at else { return false };
        let copy = self.copies.get(&TableId::Targets);
        copy.is_some_and(|copy| {
            !self.restoration.settled_eras.is_settled(copy.version())
                && !has_outlived_rewriting(read_at, copy, self.tuning.reregistration_timeout)
        })
    }

    /// Counts targets by their entries alone once these are proven, or once no process that started before they were read
    /// can be cold any more.
    pub(super) fn trust_proven_entries(&mut self, now: Moment) {
        let Some(read_at) = self.restoration.entries_read_at else { return };
        let services = self.index.services.values().filter(|service| service.cold_rate > 0.0);
        let longest_warm_up = services.map(|service| service.warm_up).max().unwrap_or_default();
        let is_document_known = self.index.version > 0;
        if !self.are_entries_unproven() || (is_document_known && now >= read_at + longest_warm_up) {
            self.restoration.entries_read_at = None;
            self.targets.trust_entries();
        }
    }

    /// Returns the time after which a read of `table` proves the document, or the entries of targets, or `None` if they are
    /// proven, or if more than time is needed.
    #[must_use]
    pub fn proof_wait(&self, table: TableId, now: Moment) -> Option<Duration> {
        match table {
            TableId::Orders => self.restoration_wait(now),
            TableId::Targets => {
                let proven_from = self.restoration.entries_read_at? + self.tuning.reregistration_timeout;
                self.are_entries_unproven().then(|| now.until(proven_from))
            }
        }
    }

    /// Returns the time after which a read of the orders proves the document, or `None` if it is proven, or if more than
    /// time is needed.
    #[must_use]
    pub fn restoration_wait(&self, now: Moment) -> Option<Duration> {
        let rewrite_time = self.tuning.reregistration_timeout;
        let (start, copy) = (self.restoration.era_start?, self.copies.get(&TableId::Orders)?);
        let is_waiting = !self.restoration.lacks_document(self.index.version)
            && !self.restoration.is_proof(copy, self.index.version, rewrite_time);
        is_waiting.then(|| now.until(start.seen_at + rewrite_time))
    }

    /// Returns the store version from which on the present era is settled, as this node's copy of the orders shows, if it
    /// does.
    pub(super) fn observed_settlement(&self) -> Option<StoreVersion> {
        let (start, copy) = (self.restoration.era_start?, self.copies.get(&TableId::Orders)?);
        let is_rewritten = has_outlived_rewriting(start.seen_at, copy, self.tuning.reregistration_timeout);
        (is_rewritten && !self.restoration.lacks_document(self.index.version)).then(|| copy.version())
    }
}
