//! Messages between nodes.
//!
//! All are records with tagged fields, so that two versions of the binary can run side by side: an
//! unknown field is skipped, and a missing one has its default.

pub mod count;

pub use count::Count;
