//! Weighted fair queueing by team.
