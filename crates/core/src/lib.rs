//! Decisions of a wasabipier node, without I/O.
//!
//! Events and times come in, and actions go out: see [`node::NodeCore`]. Modules are grouped by subject, roughly in the
//! order in which a request passes through them.
//!
//! Terms used throughout:
//!
//! - The *document* is the configuration of an environment, which operators promote in numbered revisions.
//! - A *target* is a backend server. It is *cold* after a start, when it takes few calls at once, and *warm* later.
//! - A *seat* is the right to a fixed share of every target's limit. A *permit* is the right to one call to a target.
//! - A *claim* is a row of the table service that gives one node the right to run a request that must not run twice.

pub mod node;
pub mod prelude;

pub mod action;
pub mod event;
pub mod message;
pub mod store;

pub mod blackboard;
pub mod controller;
pub mod counters;
pub mod tuning;

pub mod clock;
pub mod document;
pub mod names;
pub mod outcome;

pub mod relay;

pub mod readiness;

pub mod admission;
pub mod intake;
pub mod requests;

pub mod claims;
pub mod store_table;

pub mod dispatch;
pub mod queue;

pub mod picker;
pub mod prefixes;
pub mod ready_targets;
pub mod targets;
pub mod versions;
pub mod warmth;

pub mod counting;
pub mod judge;
pub mod latency_tail;
pub mod rollouts;
pub mod tally;

pub mod lending;
pub mod permits;
pub mod seats;

pub mod budget;
pub mod burn;
pub mod harmful;
pub mod request_end;
pub mod stages;
pub mod watches;

pub mod deadlines;
pub mod hedges;
pub mod retries;

pub mod delta;
pub mod documents;
pub mod fenced_lease;
pub mod leases;
pub mod members;
pub mod membership;
pub mod orders;
