//! Starts a relaying node and shuts it down gracefully.

use std::cell::{Cell, RefCell};
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};
use wasabipier_core::message::NodeState;
use wasabipier_core::relay::board::RelayBoard;
use wasabipier_core::relay::duties::DutyKind;
use wasabipier_core::relay::rows::TableId;

use crate::autoscale;
use crate::batching::{self, PieceWaiters};
use crate::blame;
use crate::buffer_memory::BufferMemory;
use crate::clock;
use crate::duties;
use crate::heartbeats::{self, PeerContacts};
use crate::limits::{self, LeaseEndQueue};
use crate::listeners;
use crate::load_exchange;
use crate::log_prefixes::NODE;
use crate::logging::{self, LogLimiter};
use crate::maintenance;
use crate::metering;
use crate::paths;
use crate::peers::{self, PeerLinks};
use crate::placement::{self, GrantEventQueue};
use crate::pool::TargetPool;
use crate::ports::{ListenKind, PlatformPort};
use crate::rollouts;
use crate::settings::{RelaySettings, SettingsSource};
use crate::settled_eras;
use crate::sockets;
use crate::state::{RelayNode, SharedNode};
use crate::table_reader;
use crate::unwritten::UnwrittenAnswers;
use crate::usage;

/// Maximum total in bytes of answers and parts of streams that are held. With the copies that growing makes, they fit a VM
/// of 160 MB beside the bodies of requests.
const MAX_ANSWER_MEMORY_BYTES: usize = 24 * 1024 * 1024;
/// Maximum total in bytes of the bodies of requests that are held.
const MAX_REQUEST_MEMORY_BYTES: usize = 32 * 1024 * 1024;
/// Interval at which a stopping node checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the settings are read again, since they may change without a SIGHUP.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// Multiple of the stated cache time for which a stopping node expects callers to use an answer with addresses.
const ADDRESS_CACHE_FACTOR: u32 = 3;
/// Margin before the platform kills the process, reserved for sending the last answers.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Time within which requests that are open when the process ends get their final answers. Together with
/// `DRAIN_CHECK_INTERVAL` it is shorter than `KILL_MARGIN`.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which an ending node checks whether all requests have got their final answers.
const FINAL_ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Reasons why a node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address is in use or does not belong to this VM.
    #[error("cannot listen at {address}: {source}; choose a free address of this VM in the settings")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The log cannot be set up.
    #[error("cannot write logs: {0}; check the VM's limit on threads")]
    Log(#[from] spdlog::Error),
    /// The metrics cannot be set up.
    #[error("cannot keep metrics: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
    /// The system refuses the runtime or a signal handler.
    #[error("cannot start: {0}; check the VM's limits on open files")]
    System(#[from] std::io::Error),
}

/// Runs a node on the current thread until SIGTERM has stopped it.
///
/// # Errors
///
/// Returns why the node could not start.
pub fn run(
    settings: RelaySettings,
    platform: Box<dyn PlatformPort>,
    source: &dyn SettingsSource,
) -> Result<(), StartError> {
    run_until(settings, platform, source, future::pending())
}

/// Runs a node on the current thread until SIGTERM has stopped it, or ends it as a crash of its process would once
/// `crashed` is ready: all its connections and listeners are closed, and nothing is announced or answered.
///
/// # Errors
///
/// Returns why the node could not start.
pub fn run_until(
    settings: RelaySettings,
    platform: Box<dyn PlatformPort>,
    source: &dyn SettingsSource,
    crashed: impl Future<Output = ()>,
) -> Result<(), StartError> {
    logging::install()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = LocalSet::new();
    let result = tasks.block_on(&runtime, async {
        tokio::select! {
            result = run_node(settings, platform, source) => result,
            () = crashed => Ok(()),
        }
    });
    spdlog::default_logger().flush();
    result
}

async fn run_node(
    settings: RelaySettings,
    platform: Box<dyn PlatformPort>,
    source: &dyn SettingsSource,
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let listeners = bind_listeners(&settings)?;
    let peer_listener = bind_listener(settings.addresses.peers)?;
    let node = build_node(settings, platform)?;
    {
        let board = node.board.borrow();
        let (name, dc, instance) = (&board.identity.node, &board.identity.dc, board.identity.instance.to_string());
        let callers = node.addresses.callers.to_string();
        info!("{NODE} started.", kv: { node = name.as_str(), dc = dc.as_str(), instance = instance.as_str(), callers = callers.as_str() });
    }
    spawn_local(peers::serve_listener(node.clone(), peer_listener));
    for (kind, listener) in listeners {
        spawn_local(listeners::serve_listener(node.clone(), kind, listener));
    }
    spawn_local(table_reader::follow_table(node.clone(), TableId::Orders));
    spawn_local(table_reader::follow_table(node.clone(), TableId::Targets));
    spawn_local(heartbeats::announce_and_discover(node.clone()));
    spawn_local(heartbeats::run(node.clone()));
    spawn_local(load_exchange::run(node.clone()));
    spawn_local(batching::run(node.clone()));
    spawn_local(paths::run(node.clone()));
    spawn_local(limits::run(node.clone()));
    spawn_local(placement::run(node.clone()));
    spawn_local(placement::run_load_reports(node.clone()));
    spawn_local(rollouts::run(node.clone()));
    spawn_local(settled_eras::run(node.clone()));
    spawn_local(blame::record_suspects(node.clone()));
    spawn_local(maintenance::run(node.clone()));
    duties::start(&node);
    usage::start(&node);
    autoscale::start(&node);
    let stop_timeout = watch_settings(&node, source, &mut terminate, &mut reload).await;
    stop_node(&node, stop_timeout).await;
    Ok(())
}

fn build_node(settings: RelaySettings, platform: Box<dyn PlatformPort>) -> Result<SharedNode, StartError> {
    let mut board = RelayBoard::new(settings.identity, settings.tuning);
    if let Some(duties) = settings.duties.as_ref().filter(|duties| duties.kinds.contains(&DutyKind::Metering)) {
        board.usage = Some(usage::create_table(&board.identity, &duties.times, clock::now()));
    }
    Ok(Rc::new(RelayNode {
        board: RefCell::new(board),
        platform,
        pool: TargetPool::default(),
        answer_memory: BufferMemory::new(MAX_ANSWER_MEMORY_BYTES),
        request_memory: BufferMemory::new(MAX_REQUEST_MEMORY_BYTES),
        peers: PeerLinks::default(),
        contacts: PeerContacts::default(),
        piece_waiters: PieceWaiters::default(),
        lease_ends: LeaseEndQueue::default(),
        grant_events: GrantEventQueue::default(),
        brittle_services: RefCell::default(),
        times: settings.times,
        duties: settings.duties,
        addresses: settings.addresses,
        pending_tables: RefCell::default(),
        assemblies: RefCell::default(),
        served_blobs: RefCell::default(),
        open_requests: Cell::new(0),
        open_tunnels: Cell::new(0),
        unwritten_answers: UnwrittenAnswers::default(),
        stop_started: Cell::default(),
        process_end: watch::Sender::new(false),
        cut_streams: Cell::default(),
        heartbeat_now: Notify::new(),
        store_restored: Notify::new(),
        verdicts_changed: Notify::new(),
        load_changed: Notify::new(),
        grants_changed: Notify::new(),
        log_limiter: LogLimiter::default(),
        started_at: clock::now(),
        metrics: metering::install()?,
    }))
}

fn bind_listeners(settings: &RelaySettings) -> Result<Vec<(ListenKind, TcpListener)>, StartError> {
    let addresses = &settings.addresses;
    let configured = [
        (ListenKind::Callers, Some(addresses.callers)),
        (ListenKind::Ready, addresses.ready),
        (ListenKind::Addresses, addresses.addresses),
        (ListenKind::Metrics, addresses.metrics),
    ];
    let configured = configured.into_iter().filter_map(|(kind, address)| Some((kind, address?)));
    configured.map(|(kind, address)| Ok((kind, bind_listener(address)?))).collect()
}

fn bind_listener(address: SocketAddr) -> Result<TcpListener, StartError> {
    sockets::listen(address).map_err(|source| StartError::Listen { address, source })
}

/// Reads the settings again at intervals, on SIGHUP, and when SIGTERM arrives, which may follow a change at once. The tuning
/// takes effect at once, the stop timeout is returned in its latest version, and all other settings need a restart.
async fn watch_settings(
    node: &SharedNode,
    source: &dyn SettingsSource,
    terminate: &mut Signal,
    reload: &mut Signal,
) -> Duration {
    let mut stop_timeout = node.times.stop_timeout;
    loop {
        let (is_signalled, is_stopping) = tokio::select! {
            _ = terminate.recv() => (false, true),
            _ = reload.recv() => (true, false),
            () = sleep(SETTINGS_INTERVAL) => (false, false),
        };
        match source.read() {
            Ok(settings) => {
                let mut board = node.board.borrow_mut();
                let is_changed = board.tuning != settings.tuning || stop_timeout != settings.times.stop_timeout;
                board.tuning = settings.tuning;
                stop_timeout = settings.times.stop_timeout;
                if is_changed || is_signalled {
                    info!("{NODE} settings reloaded.", kv: { changed = is_changed, asked = is_signalled });
                }
            }
            Err(faults) => {
                warn!("{NODE} settings have faults; the previous settings stay in force.", kv: { faults = faults.as_str() });
            }
        }
        if is_stopping {
            return stop_timeout;
        }
    }
}

/// Announces to peers and callers that the node is leaving, and returns when addresses handed out have expired and all
/// open requests are answered, or when the stop timeout is nearly over.
async fn stop_node(node: &SharedNode, stop_timeout: Duration) {
    let signalled_at = clock::now();
    node.board.borrow_mut().state = NodeState::Leaving;
    heartbeats::heartbeat_partners(node);
    // Callers connect to this node until the answers with its address have expired everywhere.
    let address_expiry = node.times.address_cache_time * ADDRESS_CACHE_FACTOR + KILL_MARGIN;
    let max_wait = stop_timeout.saturating_sub(KILL_MARGIN);
    node.stop_started.set(Some(signalled_at));
    node.board.borrow_mut().departure.plan_end(signalled_at + max_wait, signalled_at);
    info!("{NODE} stopping.", kv: { open = node.open_requests.get(), ends_in_ms = max_wait.as_millis() as u64 });
    // Peers close their idle tunnels when they learn that this node is leaving.
    let is_busy = || node.open_requests.get() > 0 || node.open_tunnels.get() > 0 || node.unwritten_answers.count() > 0;
    // The platform's time to stop goes on while the VM is suspended, and so does the node's clock.
    let elapsed = || clock::now().since(signalled_at);
    while elapsed() < max_wait && (elapsed() < address_expiry || is_busy()) {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    let open = node.open_requests.get();
    // Requests that arrive from now on are refused, and those that are open get their final answers.
    let now = clock::now();
    node.board.borrow_mut().departure.plan_end(now, now);
    node.process_end.send_replace(true);
    let answered_by = Instant::now() + FINAL_ANSWER_TIMEOUT;
    while node.open_requests.get() > 0 && Instant::now() < answered_by {
        sleep(FINAL_ANSWER_CHECK_INTERVAL).await;
    }
    // Leaves time to write the last answers to their connections.
    sleep(DRAIN_CHECK_INTERVAL).await;
    let took_ms = elapsed().as_millis() as u64;
    info!("{NODE} stopped.", kv: { open, cut_streams = node.cut_streams.get(), took_ms });
}
