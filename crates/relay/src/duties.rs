//! Runs the leases of duties: reads and writes their rows in the store as the core decides, and logs what changes.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wasabipier_core::fenced_lease::{FencedRow, LeaseReply, LeaseStep, LeaseWrite};
use wasabipier_core::relay::duties::{DutyChange, DutyEvent, DutyKind, DutyTimes};
use wasabipier_core::relay::rows::{OwnTable, RowWrite, SharedRow};
use wasabipier_core::relay::store_version::StoreVersion;

use crate::clock;
use crate::http_link::LinkError;
use crate::log_prefixes::DUTIES;
use crate::metering;
use crate::ports::{RowReply, StoreFault};
use crate::state::SharedNode;
use crate::store_link::{StoreError, StoreLink};

/// Interval at which the node checks whether a call about a lease is due, or its right has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Starts to compete for the duties that the settings name, if any.
pub fn start(node: &SharedNode) {
    let Some(settings) = &node.duties else { return };
    for kind in &settings.kinds {
        spawn_local(run_lease(node.clone(), *kind, settings.times.clone()));
    }
}

/// Competes for a duty until the node ends. A node that is leaving gives the duty up.
async fn run_lease(node: SharedNode, kind: DutyKind, times: DutyTimes) {
    let mut link = StoreLink::new(&node);
    loop {
        let mut step = node.board.borrow_mut().next_duty_step(kind, &times, clock::now());
        report_changes(&node);
        while let Some(current) = step {
            let reply = perform_step(&node, &mut link, kind, &times, &current).await;
            step = node.board.borrow_mut().handle_duty_reply(kind, &times, reply, clock::now());
            report_changes(&node);
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Logs and counts the changes of all duties since the last call.
pub fn report_changes(node: &SharedNode) {
    let changes = node.board.borrow_mut().duties.take_changes();
    for change in &changes {
        log_change(change);
        metering::record_duty_change(change);
    }
}

fn log_change(change: &DutyChange) {
    let (duty, event, fence) = (change.kind.to_string(), change.event.to_string(), change.fence);
    let (duty, event) = (duty.as_str(), event.as_str());
    let row = change.row.as_ref();
    let (holder, previous) = row.map_or(("", ""), |row| (row.holder.as_str(), row.previous.as_str()));
    let (renewals, free) = row.map_or((0, false), |row| (row.renewals, row.is_free));
    let (row_age_ms, left_ms) = (change.row_age.as_millis() as u64, change.time_left.as_millis() as u64);
    match change.event {
        DutyEvent::Expired | DutyEvent::Refused | DutyEvent::Superseded => {
            warn!("{DUTIES} right to act ended.", kv: { duty, event, fence, holder, previous, renewals, free, row_age_ms, left_ms });
        }
        DutyEvent::Acquired | DutyEvent::Released | DutyEvent::HolderChanged => {
            info!("{DUTIES} holder changed.", kv: { duty, event, fence, holder, previous, renewals, free, row_age_ms, left_ms });
        }
    }
}

/// Makes a call to the store and returns its reply. The call is given up after the renewal interval, so that a lost answer
/// leaves time for another call before the lease expires.
async fn perform_step(
    node: &SharedNode,
    link: &mut StoreLink,
    kind: DutyKind,
    times: &DutyTimes,
    step: &LeaseStep,
) -> LeaseReply {
    let request = match step {
        LeaseStep::Read => node.platform.own_rows_request(OwnTable::Duties),
        LeaseStep::Write(write) => node.platform.row_write_request(&encode_write(node, kind, write)),
    };
    let limit = times.lease_length / 4;
    let answer = timeout(limit, link.call_within(request, limit)).await;
    let answer = answer.unwrap_or(Err(StoreError::Link(LinkError::Timeout)));
    let reply = answer.and_then(|response| match step {
        LeaseStep::Read => read_row(node, kind, &response),
        LeaseStep::Write(write) => read_write_reply(node, kind, write.era, &response),
    });
    reply.unwrap_or_else(|error| {
        log_failed_step(node, kind, step, &error);
        match step {
            LeaseStep::Read => LeaseReply::ReadFailed,
            LeaseStep::Write(_) if is_not_carried_out(&error) => LeaseReply::WriteRefused,
            LeaseStep::Write(_) => LeaseReply::WriteLost,
        }
    })
}

fn encode_write(node: &SharedNode, kind: DutyKind, write: &LeaseWrite) -> RowWrite {
    RowWrite {
        table: OwnTable::Duties,
        key: kind.row_key(write.era),
        value: node.platform.encode_lease(&write.row),
        expected_version: write.expected.map_or(0, |version| version.number),
        removed_key: None,
    }
}

/// Returns the row of the present era among the rows of the table.
fn read_row(node: &SharedNode, kind: DutyKind, response: &Response<Bytes>) -> Result<LeaseReply, StoreError> {
    let page = node.platform.read_rows(response, true)?;
    let era = page.batch.version.era;
    let key = kind.row_key(era);
    let row = page.batch.rows.into_iter().find(|row| row.key == key);
    let row = row.map(|row| decode_row(node, kind, &row)).transpose()?;
    Ok(LeaseReply::Row { era, row })
}

fn read_write_reply(
    node: &SharedNode,
    kind: DutyKind,
    written_era: u64,
    response: &Response<Bytes>,
) -> Result<LeaseReply, StoreError> {
    Ok(match node.platform.read_row_reply(response)? {
        RowReply::Written(version) => LeaseReply::Written(version),
        RowReply::Conflict { era, row } if era == written_era => {
            LeaseReply::Row { era, row: row.map(|row| decode_row(node, kind, &row)).transpose()? }
        }
        // The row of another era does not count. The read that follows finds the one that does.
        RowReply::Conflict { .. } => LeaseReply::WriteLost,
    })
}

fn decode_row(node: &SharedNode, kind: DutyKind, row: &SharedRow) -> Result<(StoreVersion, FencedRow), StoreError> {
    let content = node.platform.read_lease(row.value.as_deref().unwrap_or_default());
    let content = content.map_err(|fault| {
        let (duty, key, fault) = (kind.to_string(), &*row.key, fault.as_str());
        warn!("{DUTIES} the row of a lease cannot be read.", kv: { duty = duty.as_str(), key, version = row.version.number, fault });
        StoreFault::Malformed
    })?;
    Ok((row.version, content))
}

/// Returns whether a write that failed has certainly not taken effect and will not.
fn is_not_carried_out(error: &StoreError) -> bool {
    match error {
        StoreError::Link(LinkError::Connect(_)) => true,
        StoreError::Fault(StoreFault::Refused(status)) => (400..500).contains(status) || *status == 503,
        StoreError::Link(_) | StoreError::Fault(_) => false,
    }
}

fn log_failed_step(node: &SharedNode, kind: DutyKind, step: &LeaseStep, error: &StoreError) {
    let now = clock::now();
    if !node.log_limiter.allows(now) {
        return;
    }
    let held = node.board.borrow().duties.held(kind, now);
    let left_ms = held.map_or(0, |held| now.until(held.expires_at).as_millis() as u64);
    let (duty, error) = (kind.to_string(), error.to_string());
    let (call, fence) = match step {
        LeaseStep::Read => ("read", held.map_or(0, |held| held.fence)),
        LeaseStep::Write(write) => ("write", write.row.fence),
    };
    warn!("{DUTIES} no answer to a call about a lease; trying again.", kv: { duty = duty.as_str(), call, fence, left_ms, error = error.as_str() });
}
