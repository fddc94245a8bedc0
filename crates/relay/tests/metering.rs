//! Test of the memory of metrics. It has a process of its own, whose memory is measured.

use std::fs;
use std::time::Duration;

use wasabipier_relay::metering::{count_samples, install, record_request};

/// Number of requests, and after how many their samples are counted.
const REQUEST_COUNT: usize = 600_000;
const COUNT_INTERVAL: usize = 10_000;
/// Memory in bytes that all samples together take if they are not counted, at least.
const ALL_SAMPLES_BYTES: usize = REQUEST_COUNT * size_of::<f64>();

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("the system tells the memory of processes");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("it tells what is resident");
    let kilobytes: usize = line.trim().trim_end_matches(" kB").parse().expect("a number of kilobytes");
    kilobytes * 1024
}

/// Guards against memory that grows with each request, since nobody fetches the metrics.
#[test]
fn samples_take_bounded_memory_though_nobody_fetches_the_metrics() {
    let handle = install().expect("the buckets are valid");
    record_request("route", "200", Duration::from_millis(3));
    let before = resident_bytes();

    for number in 1..=REQUEST_COUNT {
        record_request("route", "200", Duration::from_millis(3));
        if number % COUNT_INTERVAL == 0 {
            count_samples(&handle);
        }
    }

    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < ALL_SAMPLES_BYTES / 2, "{grown} bytes");
    assert!(
        handle
            .render()
            .contains(&format!("wasabipier_relay_request_seconds_count{{route=\"route\"}} {}", REQUEST_COUNT + 1))
    );
}
