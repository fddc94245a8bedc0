//! Pool of connections to targets. One attempt uses a connection at a time, so that a cancelled attempt can close its
//! connection without harm to others.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use ureq::Agent;
use wasabipier_wire::agent::ip_agent;

/// Connection that no attempt uses.
#[derive(Debug)]
struct IdleConnection {
    agent: Agent,
    idle_since: Instant,
}

/// Idle connections by the target's address. Each connection is an agent of its own that holds at most one connection.
#[derive(Debug)]
pub struct ConnectionPool {
    connect_timeout: Duration,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Most idle connections kept for one target.
    const MAX_IDLE_PER_TARGET: usize = 8;
    /// Idle time after which a connection is not used again.
    const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

    /// Creates an empty pool.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout, idle: Mutex::default() }
    }

    /// Returns an idle connection for one attempt, or an agent that opens a new one.
    #[must_use]
    pub fn acquire(&self, address: SocketAddr) -> Agent {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        connections.retain(|connection| connection.idle_since.elapsed() < Self::MAX_IDLE_TIME);
        connections.pop().map_or_else(|| self.new_agent(), |connection| connection.agent)
    }

    /// Returns an agent without a connection, which opens one for its attempt.
    #[must_use]
    pub fn new_agent(&self) -> Agent {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(self.connect_timeout))
            .max_idle_connections_per_host(1)
            // A redirect would be followed to any address, with another method, even if its head was cut.
            .max_redirects(0)
            .no_delay(true)
            .build();
        ip_agent(config)
    }

    /// Keeps the connection of a successful attempt for reuse, unless enough are idle.
    pub fn release(&self, address: SocketAddr, agent: Agent) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < Self::MAX_IDLE_PER_TARGET {
            connections.push(IdleConnection { agent, idle_since: Instant::now() });
        }
    }

    /// Drops all idle connections to a target. If one went silent, the others may have as well.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }
}
