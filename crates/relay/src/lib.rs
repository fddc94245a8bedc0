//! A relaying node: one thread that admits callers' requests, runs their preparation stages, sends them to targets and
//! forwards the answers as they arrive.
//!
//! All decisions are made in `wasabipier_core::relay`; this package does the input and output for them. The modules are
//! listed in the order in which a request passes through them.

pub mod node;
pub mod prelude;

pub mod buffer_memory;
pub mod ports;
pub mod settings;

mod call_progress;
mod clock;
mod log_prefixes;
mod logging;
mod maintenance;
pub mod metering;
mod sockets;
mod state;

mod admission;
mod caller_stream;
mod head_timer;
mod listeners;
mod request;
mod run_counter;

mod batching;
mod prepare;

mod attempt;
mod blame;
mod body;
mod crash_probe;
mod limits;
mod notices;
mod paths;
mod pool;
mod read_budget;
mod restarts;
mod stream;
mod tunnels;
mod unsent;
mod unwritten;

mod autoscale;
mod duties;
mod duty_link;
mod heartbeats;
mod http_link;
mod load_exchange;
mod peers;
mod placement;
mod rollouts;
mod settled_eras;
mod store;
mod store_link;
mod table_reader;
mod table_transfers;
mod usage;
