//! Tests of the command line, most of them against running nodes.

mod burn;
mod commands;
mod pages;
mod rollout;
mod support;
