//! Benchmarks: simulations in virtual time that drive the decision functions of the other crates,
//! and load tests over loopback.
//!
//! No released program depends on this crate. With `--json`, the `bench-*` binaries of
//! tools/measure.sh print one JSON line for each measurement. `capacity` fits a line through each
//! series and writes the tables of docs/CAPACITY.md.

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
