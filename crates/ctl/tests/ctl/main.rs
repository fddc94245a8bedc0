//! The command line over real nodes.

mod burn;
mod commands;
mod pages;
mod rollout;
mod support;
