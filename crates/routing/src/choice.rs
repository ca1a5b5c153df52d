//! Choice of a backend server: the better of two random candidates.

use std::net::SocketAddr;

use model::HostId;
use rand::Rng;
use rand::RngExt;

/// A backend server that may take the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Host of the backend server.
    pub host: HostId,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Requests that this node has running there.
    pub running: u32,
}

/// Index of the chosen candidate; `None` if there is none.
pub fn choose(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let first = rng.random_range(0..candidates.len());
    let second = rng.random_range(0..candidates.len());
    let better = candidates[second].running < candidates[first].running;
    Some(if better { second } else { first })
}
