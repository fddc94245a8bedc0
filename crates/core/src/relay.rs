//! Decisions about requests that are relayed to targets as they came, without I/O.
//!
//! Modules in the order in which a request meets them: the document says where it may go
//! ([`document`], [`access`], [`overload`]), its pieces are prepared ([`graph`], [`pieces`]), a target is chosen
//! ([`targets`], [`prompts`], [`choice`], [`budget`]) and its answer is passed on ([`steps`], [`events`]).
//! [`members`] and [`rows`] keep what nodes know of each other and of the store.

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
