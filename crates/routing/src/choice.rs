//! Choice of a backend server: the cheaper of two random candidates ("power of two choices").

use rand::Rng;
use rand::RngExt;

/// Returns the index of the chosen candidate among `count`, or `None` if none can take the request.
///
/// `cost_of` returns the cost of a candidate, or `None` if it cannot take the request now. Draws
/// two candidates at random and returns the cheaper one. If neither can take the request, tries all
/// candidates in turn and returns the first that can.
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
