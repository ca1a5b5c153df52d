//! Measurements: drivers of the decision functions and loads over loopback; no released program depends on them.

pub mod shares_world;
pub mod virtual_time;
