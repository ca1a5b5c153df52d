//! Model checker for the crashes that count against a unit, with one unit and owners that are lost.
//!
//! It explores all interleavings of starts, losses of the worker alone or together with the owner, reports
//! and stores. A harmful unit crashes its worker as it starts; its job has to be given up after as many
//! starts as crashes may count, also while owners change. A sound unit meets losses only once its run
//! has lasted and the owner has stored what it knows; its job must never be given up. Each guard is
//! disabled in turn; the model must then find a violation.

#[path = "common/explorer.rs"]
mod explorer;

use rstest::rstest;

/// Number of counted crashes at which the job fails.
const CRASHES_MAX: u8 = 5;
/// Number of starts that the model explores.
const STARTS_MAX: u8 = 12;

/// The guards of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// A crash counts whose worker the successor of a lost owner has never heard of.
    UnseenCrash,
    /// The crashes that count are forgotten once a run has lasted.
    Cleared,
    /// That they are forgotten is stored.
    StoredClearing,
    /// A unit is started only once the crashes that count are stored.
    StoredCrash,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Waiting,
    Starting,
    /// Reports have listed the run for a while.
    Lasted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    is_harmful: bool,
    phase: Phase,
    starts: u8,
    /// Crashes that count against the unit, as the owner knows them.
    crashes: u8,
    stored_crashes: u8,
    /// The owner has stored since `crashes` last changed, or since the run has lasted.
    is_stored: bool,
    is_given_up: bool,
}

struct Model {
    disabled: Option<Guard>,
}

impl Model {
    fn has(&self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }

    /// Returns all states that may follow.
    fn successors(&self, state: &State) -> Vec<State> {
        let mut successors = vec![self.store(state)];
        successors.extend(self.start(state));
        successors.extend(self.last(state));
        if may_be_lost(state) {
            successors.push(lose_worker(state));
            successors.push(self.lose_worker_and_owner(state));
        }
        successors
    }

    fn store(&self, state: &State) -> State {
        let stored_crashes = match self.has(Guard::StoredClearing) {
            true => state.crashes,
            false => state.crashes.max(state.stored_crashes),
        };
        State { stored_crashes, is_stored: true, ..*state }
    }

    fn start(&self, state: &State) -> Option<State> {
        let is_stored = state.is_stored || !self.has(Guard::StoredCrash);
        let may_start = state.phase == Phase::Waiting && !state.is_given_up && is_stored;
        let starts = state.starts + 1;
        let started = State { phase: Phase::Starting, starts, ..*state };
        (may_start && state.starts < STARTS_MAX).then_some(started)
    }

    /// Reports list the run of a sound unit for a while.
    fn last(&self, state: &State) -> Option<State> {
        let crashes = if self.has(Guard::Cleared) { 0 } else { state.crashes };
        let lasted = State { phase: Phase::Lasted, crashes, is_stored: false, ..*state };
        (!state.is_harmful && state.phase == Phase::Starting).then_some(lasted)
    }

    /// The worker is lost together with the owner. The successor knows what is stored, and can't tell
    /// how long the run had lasted.
    fn lose_worker_and_owner(&self, state: &State) -> State {
        with_crashes(state, state.stored_crashes + u8::from(self.has(Guard::UnseenCrash)))
    }
}

/// The worker is lost, and the owner knows whether the run had lasted.
fn lose_worker(state: &State) -> State {
    with_crashes(state, state.crashes + u8::from(state.phase == Phase::Starting))
}

/// Returns the state after the run was lost.
fn with_crashes(state: &State, crashes: u8) -> State {
    let is_given_up = crashes >= CRASHES_MAX;
    State { phase: Phase::Waiting, crashes, is_stored: false, is_given_up, ..*state }
}

/// A harmful unit crashes its worker as it starts. A sound one is lost only later.
fn may_be_lost(state: &State) -> bool {
    match state.is_harmful {
        true => state.phase == Phase::Starting,
        false => state.phase == Phase::Lasted && state.is_stored,
    }
}

/// Explores all states; returns whether there is a violation, and the number of states.
fn explore(model: &Model, is_harmful: bool) -> (bool, usize) {
    let initial = State {
        is_harmful,
        phase: Phase::Waiting,
        starts: 0,
        crashes: 0,
        stored_crashes: 0,
        is_stored: true,
        is_given_up: false,
    };
    let is_violation = |state: &State| match state.is_harmful {
        true => state.starts > CRASHES_MAX,
        false => state.is_given_up,
    };
    let found = explorer::explore(initial, |state| model.successors(state), is_violation);
    (found.violation.is_some(), found.states)
}

#[rstest]
#[case::harmful(true)]
#[case::sound(false)]
fn a_job_is_given_up_if_and_only_if_it_is_harmful(#[case] is_harmful: bool) {
    let (has_violation, states) = explore(&Model { disabled: None }, is_harmful);
    println!("{states} states");
    assert!(!has_violation);
    assert!(states > 10, "too few states to be meaningful: {states}");
}

#[rstest]
#[case::unseen_crash(Guard::UnseenCrash, true)]
#[case::cleared(Guard::Cleared, false)]
#[case::stored_clearing(Guard::StoredClearing, false)]
#[case::stored_crash(Guard::StoredCrash, true)]
fn each_guard_is_needed(#[case] guard: Guard, #[case] is_harmful: bool) {
    let (has_violation, _) = explore(&Model { disabled: Some(guard) }, is_harmful);
    assert!(has_violation, "no violation without {guard:?}");
}
