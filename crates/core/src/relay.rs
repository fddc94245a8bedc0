//! Decisions about relayed requests, without I/O: a request is passed unchanged to one of the targets.
//!
//! The modules in the order in which a request uses them: the document defines its route ([`document`], [`access`],
//! [`overload`]), its preparation stages run ([`graph`], [`pieces`]), a target is chosen ([`targets`], [`prompts`],
//! [`choice`], [`budget`]), and the answer is passed on or the request is retried ([`steps`], [`events`]). [`members`],
//! [`fleet`] and [`rows`] hold what nodes know of each other and of the store. [`board`] holds the state of a node as a
//! whole.

pub mod access;
pub mod board;
pub mod budget;
pub mod choice;
pub mod document;
pub mod events;
pub mod fleet;
pub mod graph;
pub mod members;
pub mod overload;
pub mod pieces;
pub mod prompts;
pub mod rows;
pub mod steps;
pub mod targets;
