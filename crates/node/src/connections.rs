//! Connections to targets: kept for reuse, each used by one attempt at a time, so that it can be shut down alone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use ureq::Agent;
use wasabipier_wire::agent::ip_agent;

/// A connection that no attempt uses.
#[derive(Debug)]
struct IdleConnection {
    agent: Agent,
    since: Instant,
}

/// Idle connections by target; each agent holds at most one.
#[derive(Debug)]
pub struct ConnectionStock {
    connect_within: Duration,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionStock {
    /// Most idle connections kept for one target.
    const MOST_IDLE: usize = 8;
    /// Idleness after which a connection is not used again.
    const LONGEST_IDLE: Duration = Duration::from_secs(10);

    /// An empty stock.
    #[must_use]
    pub fn new(connect_within: Duration) -> Self {
        Self { connect_within, idle: Mutex::default() }
    }

    /// A connection for one attempt: an idle one, or one to be opened.
    #[must_use]
    pub fn take(&self, address: SocketAddr) -> Agent {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let waiting = idle.entry(address).or_default();
        waiting.retain(|connection| connection.since.elapsed() < Self::LONGEST_IDLE);
        waiting.pop().map_or_else(|| self.open(), |connection| connection.agent)
    }

    /// A connection that is opened for its attempt.
    #[must_use]
    pub fn open(&self) -> Agent {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(self.connect_within))
            .max_idle_connections_per_host(1)
            .no_delay(true)
            .build();
        ip_agent(config)
    }

    /// Keeps a connection whose attempt has succeeded.
    pub fn give_back(&self, address: SocketAddr, agent: Agent) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let waiting = idle.entry(address).or_default();
        if waiting.len() < Self::MOST_IDLE {
            waiting.push(IdleConnection { agent, since: Instant::now() });
        }
    }

    /// Drops all idle connections to a target: where one went silent, the others may have as well.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }
}
