//! Stand-ins for the platform and the targets, with faults that tests inject, and an environment for integration
//! tests. This crate is not shipped.
//!
//! Each stand-in is an HTTP server behind a [`link::FaultyLink`], which can cut, freeze or refuse connections.
//! `POST /faults` replaces the faults of one stand-in, `GET /stats` returns its counters.

pub mod engine;
pub mod faults;
pub mod link;
pub mod orders;
pub mod platform;
pub mod server;
pub mod service;
pub mod table;
pub mod target;
pub mod test_caller;
pub mod test_env;
pub mod test_load;
pub mod test_plan;
