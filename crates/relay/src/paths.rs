//! Connects to targets, keeps what this shows of the paths to them, and probes paths that have failed.

use std::io;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wasabipier_core::relay::paths::ReachChange;
use wasabipier_core::relay::targets::TargetEntry;

use crate::clock;
use crate::log_prefixes::TARGETS;
use crate::metering;
use crate::restarts;
use crate::sockets;
use crate::state::SharedNode;

/// Interval at which paths are probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a probe waits for the end of its connection. A target sends nothing before a request, but a partition
/// may reset connections after it has let them open.
const PROBE_TIME: Duration = Duration::from_millis(30);

/// Connects to a target directly.
///
/// # Errors
///
/// Returns an error if the target refuses the connection or does not answer in time.
pub async fn connect(node: &SharedNode, entry: &TargetEntry) -> io::Result<TcpStream> {
    let connected = sockets::connect(entry.address, node.times.connect_timeout).await;
    record_connect(node, entry, connected.as_ref().err());
    connected
}

/// Records the end of an attempt to connect, with its error if it failed.
fn record_connect(node: &SharedNode, entry: &TargetEntry, error: Option<&io::Error>) {
    let (target, now) = (&entry.target, clock::now());
    let (was_failed, change) = {
        let mut board = node.board.borrow_mut();
        let was_failed = board.paths.has_failed(target);
        let change = match error {
            None => board.record_connected(target, now),
            Some(_) => board.record_connect_failure(target, now),
        };
        (was_failed, change)
    };
    if let Some(error) = error {
        metering::record_connect_failure(entry.service.as_str());
        if !was_failed {
            // A partition can leave idle connections open that nothing passes any more.
            node.pool.close_idle(target);
        }
        restarts::check_process(node, entry);
        if !was_failed && node.log_limiter.allows(now) {
            let error = error.to_string();
            info!("{TARGETS} target is not reached.", kv: { target = target.as_str(), error = error.as_str() });
        }
    } else if was_failed && node.log_limiter.allows(now) {
        info!("{TARGETS} target is reached again.", kv: { target = target.as_str() });
    }
    if error.is_none() {
        restarts::handle_accepting(node, entry);
    }
    handle_change(node, change);
}

/// Logs that this node is cut off from all targets, or is not any more, and tells peers at once.
pub fn handle_change(node: &SharedNode, change: Option<ReachChange>) {
    let Some(change) = change else { return };
    let unreached = node.board.borrow().paths.failed_count();
    match change {
        ReachChange::CutOff => {
            warn!("{TARGETS} this node reaches no target; peers take over.", kv: { unreached });
            node.pool.close_direct();
        }
        ReachChange::Restored => info!("{TARGETS} this node reaches targets again.", kv: { unreached }),
    }
    node.heartbeat_now.notify_one();
}

/// Probes the paths that have failed or are in doubt, until the node ends.
pub async fn run(node: SharedNode) {
    loop {
        sleep(PROBE_INTERVAL).await;
        let due = node.board.borrow_mut().take_due_probes(clock::now());
        for entry in due {
            spawn_local(probe(node.clone(), entry));
        }
    }
}

async fn probe(node: SharedNode, entry: TargetEntry) {
    let connected = sockets::connect(entry.address, node.times.connect_timeout).await;
    let probed = match connected {
        Ok(stream) => wait_for_end(&stream).await,
        Err(error) => Err(error),
    };
    record_connect(&node, &entry, probed.as_ref().err());
}

/// Returns an error if the connection ends within `PROBE_TIME`.
async fn wait_for_end(stream: &TcpStream) -> io::Result<()> {
    match timeout(PROBE_TIME, stream.peek(&mut [0; 1])).await {
        Ok(Ok(0)) => Err(io::ErrorKind::ConnectionReset.into()),
        Ok(Err(error)) => Err(error),
        Ok(Ok(_)) | Err(_) => Ok(()),
    }
}
