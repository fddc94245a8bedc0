//! Tests of the relay's decision modules against invariants and simple reference models.

#[path = "relay/access.rs"]
mod access;
#[path = "relay/access_sequences.rs"]
mod access_sequences;
#[path = "relay/answer_timeout.rs"]
mod answer_timeout;
#[path = "relay/autoscale.rs"]
mod autoscale;
#[path = "relay/brittle.rs"]
mod brittle;
#[path = "relay/caller_addresses.rs"]
mod caller_addresses;
#[path = "relay/choice.rs"]
mod choice;
#[path = "relay/chunks.rs"]
mod chunks;
#[path = "relay/departure.rs"]
mod departure;
#[path = "relay/document_check.rs"]
mod document_check;
#[path = "relay/events.rs"]
mod events;
#[path = "relay/fixtures.rs"]
mod fixtures;
#[path = "relay/fleet.rs"]
mod fleet;
#[path = "relay/fleet_limits.rs"]
mod fleet_limits;
#[path = "relay/fleet_simulation.rs"]
mod fleet_simulation;
#[path = "relay/graph.rs"]
mod graph;
#[path = "relay/members.rs"]
mod members;
#[path = "relay/paths.rs"]
mod paths;
#[path = "relay/piece_failures.rs"]
mod piece_failures;
#[path = "relay/piece_nodes.rs"]
mod piece_nodes;
#[path = "relay/pieces.rs"]
mod pieces;
#[path = "relay/placement.rs"]
mod placement;
#[path = "relay/rank_guard.rs"]
mod rank_guard;
#[path = "relay/rate_limits.rs"]
mod rate_limits;
#[path = "relay/read_attempts.rs"]
mod read_attempts;
#[path = "relay/refusals.rs"]
mod refusals;
#[path = "relay/restarts.rs"]
mod restarts;
#[path = "relay/rollout.rs"]
mod rollout;
#[path = "relay/rosters.rs"]
mod rosters;
#[path = "relay/rows.rs"]
mod rows;
#[path = "../examples/autoscale_compare/simulation.rs"]
mod simulation;
#[path = "relay/slow_start.rs"]
mod slow_start;
#[path = "support/slow_start_model.rs"]
mod slow_start_model;
#[path = "relay/steps.rs"]
mod steps;
#[path = "relay/store_restoration.rs"]
mod store_restoration;
#[path = "relay/suspect_row.rs"]
mod suspect_row;
#[path = "relay/suspects.rs"]
mod suspects;
#[path = "relay/usage.rs"]
mod usage;
