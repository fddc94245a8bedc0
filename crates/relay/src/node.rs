//! Starts a relaying node and ends it gracefully.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};
use wasabipier_core::message::NodeState;
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::rows::SharedTable;

use crate::announce::{self, ContactBook};
use crate::control;
use crate::front;
use crate::gather::{self, GatherWaits};
use crate::logging::{self, LinePace};
use crate::metering;
use crate::part::NODE;
use crate::peers::{self, PeerLinks};
use crate::pool::TargetPool;
use crate::ports::{ListenKind, PlatformPort};
use crate::settings::{RelaySettings, SettingsSource};
use crate::sockets;
use crate::state::{RelayNode, SharedNode};
use crate::store;
use crate::work;

/// Interval at which a stopping node looks whether all requests have ended.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Interval at which the settings are read again, as they may change without a signal.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);
/// Times that callers may keep an answer with addresses beyond its stated time.
const ANSWERS_KEPT: u32 = 3;
/// Time before the system ends the process by force, kept for the last answers to leave.
const BEFORE_KILL: Duration = Duration::from_millis(400);

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address is taken or not this VM's.
    #[error("cannot listen at {address}: {source}; choose a free address of this VM in the settings")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The log cannot be set up.
    #[error("cannot write logs: {0}; check the VM's limit on threads")]
    Log(#[from] spdlog::Error),
    /// The metrics cannot be set up.
    #[error("cannot keep metrics: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
    /// The system refuses something else.
    #[error("cannot start: {0}; check the VM's limits on open files")]
    System(#[from] std::io::Error),
}

/// Runs a node until it is stopped.
///
/// # Errors
///
/// It could not start.
pub fn run(
    settings: RelaySettings,
    port: Box<dyn PlatformPort>,
    source: &dyn SettingsSource,
) -> Result<(), StartError> {
    logging::install()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = LocalSet::new();
    let end = tasks.block_on(&runtime, serve(settings, port, source));
    spdlog::default_logger().flush();
    end
}

async fn serve(
    settings: RelaySettings,
    port: Box<dyn PlatformPort>,
    source: &dyn SettingsSource,
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let listeners = bind(&settings)?;
    let peer_listener = listen(settings.addresses.peers)?;
    let node = build(settings, port)?;
    {
        let board = node.board.borrow();
        let (name, dc, instance) = (&board.identity.node, &board.identity.dc, board.identity.instance.to_string());
        let callers = node.addresses.callers.to_string();
        info!("{NODE} started.", kv: { node = name.as_str(), dc = dc.as_str(), instance = instance.as_str(), callers = callers.as_str() });
    }
    spawn_local(peers::listen(node.clone(), peer_listener));
    for (kind, listener) in listeners {
        spawn_local(front::listen(node.clone(), kind, listener));
    }
    spawn_local(store::follow(node.clone(), SharedTable::Orders));
    spawn_local(store::follow(node.clone(), SharedTable::Targets));
    spawn_local(announce::announce(node.clone()));
    spawn_local(announce::run(node.clone()));
    spawn_local(work::run(node.clone()));
    spawn_local(gather::run(node.clone()));
    spawn_local(control::run(node.clone()));
    watch_settings(&node, source, &mut terminate, &mut reload).await;
    stop(&node).await;
    Ok(())
}

fn build(settings: RelaySettings, port: Box<dyn PlatformPort>) -> Result<SharedNode, StartError> {
    Ok(Rc::new(RelayNode {
        board: RefCell::new(RelayBoard::new(settings.identity, settings.tuning)),
        port,
        pool: TargetPool::default(),
        peers: PeerLinks::default(),
        contacts: ContactBook::default(),
        waits: GatherWaits::default(),
        times: settings.times,
        addresses: settings.addresses,
        asking: RefCell::default(),
        open: Cell::new(0),
        heartbeat_now: Notify::new(),
        work_news: Notify::new(),
        pace: LinePace::default(),
        metrics: metering::install()?,
    }))
}

fn bind(settings: &RelaySettings) -> Result<Vec<(ListenKind, TcpListener)>, StartError> {
    let addresses = &settings.addresses;
    let wanted = [
        (ListenKind::Callers, Some(addresses.callers)),
        (ListenKind::Ready, addresses.ready),
        (ListenKind::Addresses, addresses.addresses),
        (ListenKind::Metrics, addresses.metrics),
    ];
    let wanted = wanted.into_iter().filter_map(|(kind, address)| Some((kind, address?)));
    wanted.map(|(kind, address)| Ok((kind, listen(address)?))).collect()
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    sockets::listen(address).map_err(|source| StartError::Listen { address, source })
}

/// Reads the settings again when they may have changed, until the signal to stop comes.
async fn watch_settings(node: &SharedNode, source: &dyn SettingsSource, terminate: &mut Signal, reload: &mut Signal) {
    loop {
        let is_asked = tokio::select! {
            _ = terminate.recv() => return,
            _ = reload.recv() => true,
            () = sleep(SETTINGS_EVERY) => false,
        };
        match source.read() {
            Ok(settings) => {
                let mut board = node.board.borrow_mut();
                let changed = board.tuning != settings.tuning;
                board.tuning = settings.tuning;
                if changed || is_asked {
                    info!("{NODE} settings read again.", kv: { changed, asked = is_asked });
                }
            }
            Err(faults) => {
                warn!("{NODE} settings have faults; the ones before stay in force.", kv: { faults = faults.as_str() });
            }
        }
    }
}

/// Ends gracefully: callers are sent elsewhere, and what was taken in is answered.
async fn stop(node: &SharedNode) {
    let begun = Instant::now();
    node.board.borrow_mut().state = NodeState::Leaving;
    info!("{NODE} stopping.", kv: { open = node.open.get() });
    announce::heartbeat_all(node);
    // Callers that keep an older answer come here until it has lapsed everywhere.
    let lapse = node.times.addresses_kept * ANSWERS_KEPT + BEFORE_KILL;
    let latest = node.times.stop_within.saturating_sub(BEFORE_KILL);
    while begun.elapsed() < latest && (begun.elapsed() < lapse || node.open.get() > 0) {
        sleep(LOOK_EVERY).await;
    }
    info!("{NODE} stopped.", kv: { open = node.open.get() });
    // Answers that were handed over are still to be written.
    sleep(LOOK_EVERY).await;
}
