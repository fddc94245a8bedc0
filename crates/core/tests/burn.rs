//! Tests of the burn table: windows, budgets of mixed objectives, alerts, sums over nodes and the limit of subjects.

use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::burn::latency::LatencyCount;
use wasabipier_core::burn::{
    BurnAlert, BurnEvent, BurnRow, BurnScope, BurnTable, BurnWindow, EventCounts, MAX_SUBJECTS, OTHER,
};
use wasabipier_core::clock::Moment;

fn event(good: bool) -> BurnEvent {
    BurnEvent { good, objective: 0.99, took: Some(Duration::from_millis(40)) }
}

fn count_events(table: &mut BurnTable, name: &str, events: u32, good: bool, now: Moment) {
    for _ in 0..events {
        table.count(BurnScope::Organisation, Arc::from(name), event(good), now);
    }
}

fn row_named(table: &BurnTable, name: &str, now: Moment) -> BurnRow {
    let found = table.rows(now).into_iter().find(|row| &*row.subject.name == name);
    found.expect("the subject was counted")
}

#[test]
fn events_expire_from_each_window_after_its_length() {
    // Arrange
    let mut table = BurnTable::default();
    let start = Moment::default();
    count_events(&mut table, "lions", 80, true, start);
    count_events(&mut table, "lions", 20, false, start);

    // Act
    let soon = row_named(&table, "lions", start + Duration::from_mins(1));
    let later = row_named(&table, "lions", start + Duration::from_mins(10));
    let next_day = row_named(&table, "lions", start + Duration::from_hours(24));

    // Assert
    assert!((soon.counts(BurnWindow::Minutes5).burn_rate() - 20.0).abs() < 1e-9);
    assert!(soon.raises(BurnAlert::Fast) && soon.raises(BurnAlert::Slow));
    assert_eq!(later.counts(BurnWindow::Minutes5), EventCounts::default());
    assert!(!later.raises(BurnAlert::Fast) && later.raises(BurnAlert::Slow), "the short window has recovered");
    assert_eq!(next_day.counts(BurnWindow::Hours6).events(), 0);
    assert!((next_day.counts(BurnWindow::Days30).budget_left() + 19.0).abs() < 1e-9);
}

#[test]
fn each_event_adds_the_budget_of_its_own_objective() {
    // Arrange
    let mut table = BurnTable::default();
    let now = Moment::default();
    let strict = BurnEvent { good: true, objective: 0.999, took: None };
    let loose = BurnEvent { good: false, objective: 0.9, took: None };

    // Act
    table.count(BurnScope::Environment, Arc::from("production"), strict, now);
    table.count(BurnScope::Environment, Arc::from("production"), loose, now);

    // Assert
    let counts = row_named(&table, "production", now).counts(BurnWindow::Hour);
    assert_eq!(counts, EventCounts { good: 1, bad: 1, budget_micros: 101_000 });
}

#[test]
fn merged_rows_sum_counts_of_all_nodes() {
    // Arrange
    let (mut first, mut second) = (BurnTable::default(), BurnTable::default());
    count_events(&mut first, "lions", 3, true, Moment::default());
    count_events(&mut second, "lions", 1, false, Moment(7_000_000));

    // Act
    let mut sum = row_named(&first, "lions", Moment::default());
    sum.merge(&row_named(&second, "lions", Moment(7_000_000)));

    // Assert
    let counts = sum.counts(BurnWindow::Minutes5);
    assert_eq!((counts.good, counts.bad), (3, 1));
    assert_eq!(sum.latencies, [LatencyCount { ms: 40, count: 4 }]);
}

#[test]
fn subjects_beyond_the_limit_are_summed_as_other() {
    // Arrange
    let mut table = BurnTable::default();
    let now = Moment::default();
    for number in 0..MAX_SUBJECTS + 50 {
        count_events(&mut table, &format!("org-{number}"), 1, true, now);
    }

    // Act
    let rows = table.rows(now);
    let after_budget_period = now + Duration::from_hours(31 * 24);
    count_events(&mut table, "newcomer", 1, true, after_budget_period);

    // Assert
    assert_eq!(rows.len(), MAX_SUBJECTS + 1);
    assert_eq!(
        row_named(&table, "newcomer", after_budget_period).counts(BurnWindow::Hour).good,
        1,
        "expired subjects make room for new ones"
    );
    let other = rows.iter().find(|row| &*row.subject.name == OTHER).expect("a row for the other subjects");
    assert_eq!(other.counts(BurnWindow::Hour).good, 50);
}
