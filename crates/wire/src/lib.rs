//! Wire formats and document formats, and their conversion to and from the core's types.
//!
//! The document of an environment is its configuration as INI text, which operators promote.
//!
//! * [`caller`] and [`burn`]: JSON exchanged with callers and operators
//! * [`target`]: JSON exchanged with targets
//! * [`platform`] and [`row`]: JSON exchanged with the platform's services
//! * [`answer`]: answers and charges, which occur in JSON and in frames
//! * [`agent`]: HTTP client for servers that are addressed by IP address
//! * [`frame`]: `bincode` frames between nodes
//! * [`relay`]: `bincode` calls between relay nodes
//! * [`document`] and [`incremental`]: parsers of an environment's INI document
//! * [`ini`] and [`fault`]: reader of INI texts, and the faults that it collects

pub mod prelude;

pub mod agent;
pub mod answer;
pub mod burn;
pub mod caller;
pub mod document;
pub mod fault;
pub mod frame;
pub mod incremental;
pub mod ini;
pub mod platform;
pub mod relay;
pub mod rollout;
pub mod row;
mod suspects;
pub mod target;
pub mod tunnel;
