//! Drives the decisions of maintenance in virtual time, beside simpler policies.
//!
//! Nothing here decides for the policy under test: hosts fail, reboots take their time and demand
//! comes as drawn from a seed, and the functions that a node calls say what happens next.

pub mod cost;
pub mod fleet;
pub mod lending;
pub mod waves;
