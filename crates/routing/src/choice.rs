//! Choice of a backend server: the better of two random candidates.

use rand::Rng;
use rand::RngExt;

/// Index of the chosen candidate among `count`; `None` if none can take the request.
///
/// `cost_of` gives the cost of a candidate, or `None` if it cannot take the request now. Two are
/// drawn at random and the cheaper one is taken; only if neither can, all are looked at in turn.
pub fn choose(
    count: usize,
    rng: &mut impl Rng,
    mut cost_of: impl FnMut(usize) -> Option<f64>,
) -> Option<usize> {
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    let second = (first + rng.random_range(0..count)) % count;
    match (cost_of(first), cost_of(second)) {
        (Some(first_cost), Some(second_cost)) => {
            Some(if second_cost < first_cost { second } else { first })
        }
        (Some(_), None) => Some(first),
        (None, Some(_)) => Some(second),
        (None, None) => (0..count)
            .map(|offset| (second + offset) % count)
            .find(|&index| cost_of(index).is_some()),
    }
}
