//! Decisions about relayed requests, without I/O. A relay node passes a request unchanged to one of the targets.
//!
//! The modules in the order in which a request uses them: the document, which is the configuration that operators
//! promote and can check before ([`document_check`]), defines its route ([`document`], [`access`]). Admission control
//! accepts or refuses it ([`overload`], [`rank_guard`], [`departure`]). Its preparation stages run ([`graph`], [`pieces`],
//! [`piece_nodes`]), a target is chosen ([`targets`], [`prompts`],
//! [`choice`], [`placement`]) and connected to ([`paths`], [`restarts`]), and the answer is passed on or the request is retried ([`steps`], [`budget`], [`events`]). Content that
//! crashes targets is refused ([`suspects`], [`suspect_row`]), and targets get no more requests than they say they take
//! ([`rate_limits`]) and no more than fit while they are brittle ([`brittle`]). [`members`], [`fleet`], [`rosters`] and [`rows`] hold what nodes know of each other and of the store, whose
//! versions ([`store_version`]) count anew when it is restored from an older copy ([`store_restoration`]), and are complete again
//! after a while ([`settled_eras`]). [`chunks`] transfers it, [`read_attempts`] and [`answer_timeout`] tell when to call the store. [`rollout`],
//! [`rollout_board`] and [`speed`] move a service to another version. [`target_load`] holds what targets say of their load,
//! and [`slow_start`] limits the calls to those that start or recover. [`caller_addresses`] tells callers which nodes to
//! use. [`duties`] are calls that one node makes for all: the reports of [`usage`] and the orders of [`autoscale`]. [`board`]
//! holds the whole state of a node.

pub mod access;
pub mod answer_timeout;
pub mod autoscale;
pub mod board;
pub mod brittle;
pub mod budget;
pub mod caller_addresses;
pub mod choice;
pub mod chunks;
pub mod departure;
pub mod document;
pub mod document_check;
pub mod duties;
pub mod events;
pub mod fleet;
pub mod graph;
pub mod members;
pub mod overload;
pub mod paths;
pub mod piece_nodes;
pub mod pieces;
pub mod placement;
pub mod prompts;
pub mod rank_guard;
pub mod rate_limits;
pub mod read_attempts;
pub mod refusals;
pub mod restarts;
pub mod rollout;
pub mod rollout_board;
pub mod rosters;
pub mod rows;
pub mod settled_eras;
pub mod slow_start;
pub mod speed;
pub mod steps;
pub mod store_restoration;
pub mod store_version;
pub mod suspect_row;
pub mod suspects;
pub mod target_load;
pub mod targets;
pub mod usage;
