//! Events of one subject in time slots: minutes for the burn rates, hours for the error budget.

use std::collections::VecDeque;
use std::time::Duration;

use strum::IntoEnumIterator;

use crate::burn::latency::Latencies;
use crate::burn::{BurnEvent, BurnRow, BurnSubject, BurnWindow, EventCounts};
use crate::clock::Moment;

/// Events of one time slot.
#[derive(Clone, Copy, Debug)]
struct SlotCounts {
    /// Number of the slot since time zero.
    slot: u64,
    counts: EventCounts,
}

/// Time slots of one length; slots without events are not stored.
#[derive(Clone, Debug)]
struct SlotRing {
    slot_length: Duration,
    /// Number of slots after which a slot expires.
    max_slots: u64,
    slots: VecDeque<SlotCounts>,
}

impl SlotRing {
    fn new(slot_length: Duration, window: BurnWindow) -> Self {
        let max_slots = window.length().as_secs() / slot_length.as_secs();
        Self { slot_length, max_slots, slots: VecDeque::new() }
    }

    fn slot_at(&self, now: Moment) -> u64 {
        now.0 / self.slot_length.as_millis() as u64
    }

    fn add(&mut self, event: EventCounts, now: Moment) {
        let slot = self.slot_at(now);
        match self.slots.back_mut() {
            Some(last) if last.slot == slot => last.counts.add(event),
            _ => self.slots.push_back(SlotCounts { slot, counts: event }),
        }
        while self.slots.front().is_some_and(|first| first.slot + self.max_slots <= slot) {
            self.slots.pop_front();
        }
    }

    fn sum(&self, window: BurnWindow, now: Moment) -> EventCounts {
        let current = self.slot_at(now);
        let window_slots = window.length().as_secs() / self.slot_length.as_secs();
        let mut sum = EventCounts::default();
        for slot in self.slots.iter().rev().take_while(|slot| slot.slot + window_slots > current) {
            sum.add(slot.counts);
        }
        sum
    }
}

/// Events and latencies of one subject.
#[derive(Clone, Debug)]
pub struct BurnSeries {
    minute_slots: SlotRing,
    hour_slots: SlotRing,
    /// Latencies since the last rotation.
    latencies: Latencies,
    /// Latencies between the last two rotations.
    previous_latencies: Latencies,
    last_rotation_at: Moment,
}

impl Default for BurnSeries {
    fn default() -> Self {
        Self {
            minute_slots: SlotRing::new(Duration::from_mins(1), BurnWindow::Hours6),
            hour_slots: SlotRing::new(Duration::from_hours(1), BurnWindow::Days30),
            latencies: Latencies::default(),
            previous_latencies: Latencies::default(),
            last_rotation_at: Moment::default(),
        }
    }
}

impl BurnSeries {
    /// Minimum interval of rotating the latency histograms: the current one becomes the previous one, and a new one
    /// starts. Only an event triggers a rotation.
    const LATENCY_ROTATION_INTERVAL: Duration = Duration::from_hours(1);

    /// Counts an event that occurs at `now`, after rotating the latency histograms if that is due.
    pub fn count(&mut self, event: BurnEvent, now: Moment) {
        let counts = EventCounts::for_event(event.good, event.objective);
        self.minute_slots.add(counts, now);
        self.hour_slots.add(counts, now);
        if now.since(self.last_rotation_at) >= Self::LATENCY_ROTATION_INTERVAL {
            self.previous_latencies = std::mem::take(&mut self.latencies);
            self.last_rotation_at = now;
        }
        if let Some(took) = event.took {
            self.latencies.record(took);
        }
    }

    /// Returns whether any event occurred within the period of the error budget.
    #[must_use]
    pub fn has_recent_events(&self, now: Moment) -> bool {
        self.sum(BurnWindow::Days30, now).events() > 0
    }

    /// Returns the counts of all windows up to `now` and the latencies, as the row of `subject`.
    #[must_use]
    pub fn row(&self, subject: &BurnSubject, now: Moment) -> BurnRow {
        let mut latencies = self.previous_latencies.clone();
        latencies.add(&self.latencies.counts());
        BurnRow {
            subject: subject.clone(),
            windows: BurnWindow::iter().map(|window| (window, self.sum(window, now))).collect(),
            latencies: latencies.counts(),
        }
    }

    fn sum(&self, window: BurnWindow, now: Moment) -> EventCounts {
        match window {
            BurnWindow::Days30 => self.hour_slots.sum(window, now),
            _ => self.minute_slots.sum(window, now),
        }
    }
}
