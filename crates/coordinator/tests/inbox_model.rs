//! Model checker for cancellations in the inbox, with one job and two owners, one of which may
//! have been superseded without knowing it.
//!
//! It explores all interleavings of events. A transaction of a superseded owner is not committed,
//! and its reply may be lost. The row of an acknowledged cancellation must stay until the final
//! state of its job is stored. Each guard is disabled in turn; the model must then find a
//! violation.

#[path = "../../scheduler/tests/common/explorer.rs"]
mod explorer;

use rstest::rstest;

const OWNERS: usize = 2;

/// The guards of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// The row of a job that the owner knows is removed only once its final state is stored.
    FinalStateStored,
    /// The row of a job that the owner doesn't know is removed only once a transaction has shown
    /// that it still was the owner.
    ConfirmedOwnership,
    /// That transaction was sent after the row had been read.
    SentAfterRead,
    /// An owner loads the stored jobs after it has taken over.
    LoadedAfterTakeover,
}

/// A transaction of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Transaction {
    /// It was sent after the row had been read.
    is_after_read: bool,
    /// Whether it was committed; none until it has arrived at the store.
    is_committed: Option<bool>,
}

/// What an owner knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Owner {
    /// 0 if this node does not own the scheduling.
    epoch: u8,
    has_loaded: bool,
    knows_job: bool,
    has_read_row: bool,
    in_flight: Option<Transaction>,
    /// A transaction that shows that the row was read as the owner is committed.
    is_confirmed: bool,
    /// The row is being removed.
    is_removing: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    /// Epoch in the owner's row.
    epoch: u8,
    is_job_stored: bool,
    is_cancel_stored: bool,
    /// The cancellation was written to the inbox, and acknowledged.
    is_acknowledged: bool,
    has_row: bool,
    owners: [Owner; OWNERS],
    has_violation: bool,
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
        let mut successors = Vec::new();
        successors.extend(write_cancel(state));
        for owner in 0..OWNERS {
            successors.extend(self.take_over(state, owner));
            successors.extend(load_jobs(state, owner));
            successors.extend(accept_job(state, owner));
            successors.extend(read_inbox(state, owner));
            successors.extend(send_transaction(state, owner));
            successors.extend(commit(state, owner));
            successors.extend(self.handle_reply(state, owner));
            successors.extend(self.settle(state, owner));
            successors.extend(remove_row(state, owner));
        }
        successors
    }

    fn take_over(&self, state: &State, owner: usize) -> Option<State> {
        if usize::from(state.epoch) != owner {
            return None;
        }
        let mut next = *state;
        next.epoch += 1;
        // Without the guard, the jobs were loaded before, when there were none.
        let has_loaded = !self.has(Guard::LoadedAfterTakeover);
        next.owners[owner] = Owner { epoch: next.epoch, has_loaded, ..Owner::default() };
        Some(next)
    }

    /// The reply to a transaction arrives. A lost reply is the same as one that hasn't come.
    fn handle_reply(&self, state: &State, owner: usize) -> Option<State> {
        let transaction = state.owners[owner].in_flight?;
        let is_committed = transaction.is_committed?;
        let mut next = *state;
        let node = &mut next.owners[owner];
        if !is_committed {
            *node = Owner::default();
            return Some(next);
        }
        node.in_flight = None;
        let is_after_read = transaction.is_after_read || !self.has(Guard::SentAfterRead);
        node.is_confirmed |= node.has_read_row && is_after_read;
        Some(next)
    }

    /// An owner takes the row for settled.
    fn settle(&self, state: &State, owner: usize) -> Option<State> {
        let node = state.owners[owner];
        if !node.has_loaded || !node.has_read_row || node.is_removing {
            return None;
        }
        let is_settled = match node.knows_job {
            true => state.is_cancel_stored || !self.has(Guard::FinalStateStored),
            false => node.is_confirmed || !self.has(Guard::ConfirmedOwnership),
        };
        let mut next = *state;
        next.owners[owner].is_removing = true;
        is_settled.then_some(next)
    }
}

fn load_jobs(state: &State, owner: usize) -> Option<State> {
    let node = state.owners[owner];
    if node.epoch == 0 || node.has_loaded {
        return None;
    }
    let mut next = *state;
    next.owners[owner].has_loaded = true;
    next.owners[owner].knows_job = state.is_job_stored;
    Some(next)
}

/// The owner stores the job that a caller has submitted.
fn accept_job(state: &State, owner: usize) -> Option<State> {
    let node = state.owners[owner];
    let is_owner = node.epoch != 0 && node.epoch == state.epoch && node.has_loaded;
    if !is_owner || state.is_job_stored {
        return None;
    }
    let mut next = *state;
    next.is_job_stored = true;
    next.owners[owner].knows_job = true;
    Some(next)
}

/// A node that finds no owner finds the job in the store, and writes the cancellation to the inbox.
fn write_cancel(state: &State) -> Option<State> {
    let can_write = state.is_job_stored && !state.is_acknowledged;
    can_write.then_some(State { is_acknowledged: true, has_row: true, ..*state })
}

fn read_inbox(state: &State, owner: usize) -> Option<State> {
    let node = state.owners[owner];
    if node.epoch == 0 || node.has_read_row || !state.has_row {
        return None;
    }
    let mut next = *state;
    next.owners[owner].has_read_row = true;
    Some(next)
}

fn send_transaction(state: &State, owner: usize) -> Option<State> {
    let node = state.owners[owner];
    if !node.has_loaded || node.in_flight.is_some() {
        return None;
    }
    let mut next = *state;
    let is_after_read = node.has_read_row;
    next.owners[owner].in_flight = Some(Transaction { is_after_read, is_committed: None });
    Some(next)
}

/// A transaction arrives at the store, which commits it unless another node has taken over. It
/// stores the final state of the job if the owner knows of its cancellation.
fn commit(state: &State, owner: usize) -> Option<State> {
    let node = state.owners[owner];
    let transaction = node.in_flight.filter(|transaction| transaction.is_committed.is_none())?;
    let is_committed = node.epoch == state.epoch;
    let mut next = *state;
    next.owners[owner].in_flight =
        Some(Transaction { is_committed: Some(is_committed), ..transaction });
    next.is_cancel_stored |= is_committed && node.knows_job && transaction.is_after_read;
    Some(next)
}

fn remove_row(state: &State, owner: usize) -> Option<State> {
    if !state.owners[owner].is_removing {
        return None;
    }
    let mut next = *state;
    next.has_row = false;
    next.has_violation = !state.is_cancel_stored;
    Some(next)
}

/// Explores all states; returns whether an acknowledged cancellation can be lost, and the number of
/// states.
fn explore(model: &Model) -> (bool, usize) {
    let successors = |state: &State| model.successors(state);
    let found = explorer::explore(State::default(), successors, |state| state.has_violation);
    (found.violation.is_some(), found.states)
}

#[test]
fn no_acknowledged_cancellation_is_lost_in_any_order_of_events() {
    let (has_violation, states) = explore(&Model { disabled: None });
    println!("{states} states");
    assert!(!has_violation);
    assert!(states > 100, "too few states to be meaningful: {states}");
}

#[rstest]
#[case::final_state_stored(Guard::FinalStateStored)]
#[case::confirmed_ownership(Guard::ConfirmedOwnership)]
#[case::sent_after_read(Guard::SentAfterRead)]
#[case::loaded_after_takeover(Guard::LoadedAfterTakeover)]
fn each_guard_is_needed(#[case] guard: Guard) {
    let (has_violation, _) = explore(&Model { disabled: Some(guard) });
    assert!(has_violation, "no violation without {guard:?}");
}
