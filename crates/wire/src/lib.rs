//! What goes over wires and into documents, and its conversion to and from the core's types.
//!
//! * [`caller`] and [`burn`]: JSON towards callers and operators,
//! * [`target`]: JSON towards targets,
//! * [`platform`] and [`row`]: JSON towards the platform's services,
//! * [`agent`]: HTTP clients for all of these,
//! * [`frame`]: `bincode` frames between nodes, and [`relay`]: calls between relaying nodes,
//! * [`document`]: the INI document of an environment, and [`ini`], its checked reading.

pub mod prelude;

pub mod agent;
pub mod answer;
pub mod burn;
pub mod caller;
pub mod document;
pub mod fault;
pub mod frame;
pub mod ini;
pub mod platform;
pub mod relay;
pub mod reread;
pub mod row;
pub mod target;
