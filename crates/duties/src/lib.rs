//! Duties that one node at a time holds.
