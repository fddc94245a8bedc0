//! Formats the wall-clock time of ledger lines.

const SECOND_MS: u64 = 1000;
const DAY_S: u64 = 86_400;

/// Formats `at_ms`, in milliseconds since the Unix epoch, as UTC, such as `2026-12-04T05:04:11Z`.
#[must_use]
pub fn format_utc(at_ms: u64) -> String {
    let seconds = at_ms / SECOND_MS;
    let (year, month, day) = date_from_days(seconds / DAY_S);
    let (hour, minute, second) = (seconds % DAY_S / 3600, seconds % 3600 / 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts a number of days since the Unix epoch to year, month and day of the month; the last two count from 1.
fn date_from_days(days: u64) -> (u64, u64, u64) {
    let mut remaining_days = days;
    let mut year = 1970;
    while remaining_days >= days_in_year(year) {
        remaining_days -= days_in_year(year);
        year += 1;
    }
    let february = if is_leap(year) { 29 } else { 28 };
    let mut month = 1;
    for length in [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31] {
        if remaining_days < length {
            break;
        }
        remaining_days -= length;
        month += 1;
    }
    (year, month, remaining_days + 1)
}

fn days_in_year(year: u64) -> u64 {
    if is_leap(year) { 366 } else { 365 }
}

fn is_leap(year: u64) -> bool {
    (year.is_multiple_of(4) && !year.is_multiple_of(100)) || year.is_multiple_of(400)
}
