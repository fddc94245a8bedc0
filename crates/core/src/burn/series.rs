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
    minutes: SlotRing,
    hours: SlotRing,
    latencies: Latencies,
    previous_latencies: Latencies,
    last_rotation: Moment,
}

impl Default for BurnSeries {
    fn default() -> Self {
        Self {
            minutes: SlotRing::new(Duration::from_mins(1), BurnWindow::Hours6),
            hours: SlotRing::new(Duration::from_hours(1), BurnWindow::Days30),
            latencies: Latencies::default(),
            previous_latencies: Latencies::default(),
            last_rotation: Moment::default(),
        }
    }
}

impl BurnSeries {
    /// Interval of starting a new latency histogram; the previous one is kept for another interval.
    const LATENCY_ROTATION_INTERVAL: Duration = Duration::from_hours(1);

    /// Counts an event.
    pub fn count(&mut self, event: BurnEvent, now: Moment) {
        let counts = EventCounts::for_event(event.good, event.objective);
        self.minutes.add(counts, now);
        self.hours.add(counts, now);
        if now.since(self.last_rotation) >= Self::LATENCY_ROTATION_INTERVAL {
            self.previous_latencies = std::mem::take(&mut self.latencies);
            self.last_rotation = now;
        }
        if let Some(took) = event.took {
            self.latencies.record(took);
        }
    }

    /// Returns whether any event occurred within the period of the error budget.
    #[must_use]
    pub fn is_recent(&self, now: Moment) -> bool {
        self.sum(BurnWindow::Days30, now).events() > 0
    }

    /// Returns the report of the subject.
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
            BurnWindow::Days30 => self.hours.sum(window, now),
            _ => self.minutes.sum(window, now),
        }
    }
}
