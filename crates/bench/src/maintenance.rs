//! Simulates planned maintenance and lending in virtual time, and compares them with simpler
//! policies.
//!
//! The decisions of the tested policy come from the same functions that a node calls. The
//! simulation only draws failures of hosts, durations of reboots and demand from a seed.

pub mod cost;
pub mod fleet;
pub mod lending;
pub mod waves;
