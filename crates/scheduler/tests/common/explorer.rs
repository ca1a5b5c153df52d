//! Explores all states that a model can reach.

use std::collections::HashSet;
use std::hash::Hash;

/// What an exploration has found.
pub struct Exploration<S> {
    /// A state that violates what the model guarantees; `None` if there is none.
    pub violation: Option<S>,
    /// Number of states that were reached.
    pub states: usize,
}

/// Explores all states that follow from `initial`, until one of them is a violation.
pub fn explore<S: Copy + Eq + Hash>(
    initial: S,
    successors: impl Fn(&S) -> Vec<S>,
    is_violation: impl Fn(&S) -> bool,
) -> Exploration<S> {
    let mut visited = HashSet::from([initial]);
    let mut frontier = vec![initial];
    while let Some(state) = frontier.pop() {
        if is_violation(&state) {
            return Exploration { violation: Some(state), states: visited.len() };
        }
        for next in successors(&state) {
            if visited.insert(next) {
                frontier.push(next);
            }
        }
    }
    Exploration { violation: None, states: visited.len() }
}
