//! A relaying node: one thread that takes callers' requests in, prepares their stages, sends them to
//! targets and passes the answers on as they come.
//!
//! All decisions are in `wasabipier_core::relay`; this package does the input and output for them.
//! Modules in the order in which a request meets them.

pub mod node;
pub mod prelude;

pub mod ports;
pub mod settings;

mod clock;
mod control;
mod logging;
mod metering;
mod part;
mod sockets;
mod state;

mod admission;
mod front;
mod head_timer;
mod request;

mod gather;
mod prepare;

mod attempt;
mod body;
mod pool;
mod stream;

mod announce;
mod peers;
mod store;
mod work;
