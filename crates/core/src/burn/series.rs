//! Events of one subject in slots of time: minutes for the burn rates, hours for the error budget.

use std::collections::VecDeque;
use std::time::Duration;

use strum::IntoEnumIterator;

use crate::burn::latency::Latencies;
use crate::burn::{BurnEvent, BurnRow, BurnSubject, BurnWindow, EventCounts};
use crate::clock::Moment;

/// Events of one slot.
#[derive(Clone, Copy, Debug)]
struct SlotCounts {
    slot: u64,
    counts: EventCounts,
}

/// Slots of one length; those without events take no room.
#[derive(Clone, Debug)]
struct SlotRing {
    length: Duration,
    kept: u64,
    slots: VecDeque<SlotCounts>,
}

impl SlotRing {
    fn new(length: Duration, window: BurnWindow) -> Self {
        let kept = window.length().as_secs() / length.as_secs();
        Self { length, kept, slots: VecDeque::new() }
    }

    fn slot(&self, now: Moment) -> u64 {
        now.0 / self.length.as_millis() as u64
    }

    fn add(&mut self, event: EventCounts, now: Moment) {
        let slot = self.slot(now);
        match self.slots.back_mut() {
            Some(last) if last.slot == slot => last.counts.add(event),
            _ => self.slots.push_back(SlotCounts { slot, counts: event }),
        }
        while self.slots.front().is_some_and(|first| first.slot + self.kept <= slot) {
            self.slots.pop_front();
        }
    }

    fn sum(&self, window: BurnWindow, now: Moment) -> EventCounts {
        let current = self.slot(now);
        let reach = window.length().as_secs() / self.length.as_secs();
        let mut sum = EventCounts::default();
        for slot in self.slots.iter().rev().take_while(|slot| slot.slot + reach > current) {
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
    earlier: Latencies,
    turned: Moment,
}

impl Default for BurnSeries {
    fn default() -> Self {
        Self {
            minutes: SlotRing::new(Duration::from_mins(1), BurnWindow::Hours6),
            hours: SlotRing::new(Duration::from_hours(1), BurnWindow::Days30),
            latencies: Latencies::default(),
            earlier: Latencies::default(),
            turned: Moment::default(),
        }
    }
}

impl BurnSeries {
    /// Time after which latencies are gathered anew; those of the time before are kept as long again.
    const LATENCIES_TURN: Duration = Duration::from_hours(1);

    /// Counts an event.
    pub fn count(&mut self, event: BurnEvent, now: Moment) {
        let counts = EventCounts::one(event.good, event.objective);
        self.minutes.add(counts, now);
        self.hours.add(counts, now);
        if now.since(self.turned) >= Self::LATENCIES_TURN {
            self.earlier = std::mem::take(&mut self.latencies);
            self.turned = now;
        }
        if let Some(took) = event.took {
            self.latencies.record(took);
        }
    }

    /// Whether an event came within the period of the error budget.
    #[must_use]
    pub fn is_recent(&self, now: Moment) -> bool {
        self.sum(BurnWindow::Days30, now).events() > 0
    }

    /// What is to be reported.
    #[must_use]
    pub fn row(&self, subject: &BurnSubject, now: Moment) -> BurnRow {
        let mut latencies = self.earlier.clone();
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
