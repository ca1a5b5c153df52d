//! Measurements: drivers of the decision functions and loads over loopback.
//!
//! No released program depends on this crate. Each `bench-*` binary prints one JSON line a
//! measurement with `--json`; `capacity` fits their slopes and writes the tables of
//! docs/CAPACITY.md.

pub mod best_fit;
pub mod fit;
pub mod live_fleet;
pub mod maintenance;
pub mod placement_world;
pub mod sample;
pub mod shares_world;
pub mod target;
pub mod usage;
pub mod virtual_fleet;
pub mod virtual_time;
