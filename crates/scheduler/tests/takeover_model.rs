//! Model checker for the takeover protocol, with two owners, two workers and one unit.
//!
//! It explores all interleavings of events. Time passes in ticks. An owner that does nothing for
//! some ticks is paused or disconnected. A write or command may arrive at any later time or never,
//! which covers lost replies, an unavailable store and commands that take effect late. The unit
//! must never run twice at the same time, and never again after its completion, if that is
//! acknowledged then or later. A worker may have more completions than a report lists. To show that each guard of the protocol is needed, each one is disabled in turn; the model must
//! then find a violation.

#[path = "common/explorer.rs"]
mod explorer;
#[path = "common/takeover_state.rs"]
mod state;

use rstest::rstest;
use state::COMMAND_VALID;
use state::Completion;
use state::Guard;
use state::Known;
use state::LEASE;
use state::NO_OWNER;
use state::OWNER_VALID;
use state::OWNERS;
use state::Owner;
use state::Placement;
use state::RUNS_MAX;
use state::StartCommand;
use state::State;
use state::TAKEOVER_WAIT;
use state::TICKS_MAX;
use state::WORKERS;
use state::Worker;

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
        successors.extend(tick(state));
        for worker in 0..WORKERS {
            successors.extend(complete_run(state, worker, false));
            successors.extend(complete_run(state, worker, true));
            successors.extend(list_completion(state, worker));
            successors.extend(restart_worker(state, worker));
        }
        for owner in 0..OWNERS {
            successors.extend(take_over(state, owner));
            successors.extend(renew(state, owner));
            successors.extend(self.deliver_command(state, owner));
            successors.extend(self.commit_write(state, owner));
            successors.extend(self.commit_removal(state, owner));
            successors.extend(self.send_command(state, owner));
            successors.extend(self.expire_wait(state, owner));
            successors.extend(write_completion(state, owner));
            for worker in 0..WORKERS {
                successors.extend(self.poll(state, owner, worker));
                successors.extend(self.assign(state, owner, worker));
            }
        }
        successors
    }

    fn may_act(&self, state: &State, owner: usize) -> bool {
        let owner = &state.owners[owner];
        owner.epoch > 0 && (!self.has(Guard::Validity) || state.now <= owner.valid_until)
    }

    /// An owner assigns the unit to a worker.
    fn assign(&self, state: &State, owner: usize, worker: usize) -> Option<State> {
        let node = state.owners[owner];
        let can_assign =
            self.may_act(state, owner) && node.known == Known::Nothing && node.has_replied[worker];
        if !can_assign || node.last_run >= RUNS_MAX {
            return None;
        }
        let mut next = *state;
        let placement = Placement { worker: worker as u8, run: node.last_run + 1 };
        next.owners[owner].last_run += 1;
        next.owners[owner].known = match self.has(Guard::StoredRun) {
            true => Known::Writing(placement),
            false => Known::Planned(placement),
        };
        Some(next)
    }

    /// A write of an owner arrives at the store.
    fn commit_write(&self, state: &State, owner: usize) -> Option<State> {
        let node = state.owners[owner];
        let mut next = *state;
        if !matches!(node.known, Known::Writing(_) | Known::WritingCompletion(_)) {
            return None;
        }
        if self.has(Guard::Precondition) && state.epoch != node.epoch {
            next.owners[owner] = NO_OWNER;
            return Some(next);
        }
        match node.known {
            Known::Writing(placement) => {
                next.assigned = Some(placement);
                next.owners[owner].known = Known::Planned(placement);
                let node = &mut next.owners[owner];
                if self.has(Guard::WrittenRow) && node.row_to_remove == Some(placement.worker) {
                    node.row_to_remove = None;
                }
            }
            _ => {
                next.is_done = true;
                next.assigned = None;
                next.owners[owner].known = Known::Done;
            }
        }
        Some(next)
    }

    /// The removal of a worker's row arrives at the store.
    fn commit_removal(&self, state: &State, owner: usize) -> Option<State> {
        let worker = state.owners[owner].row_to_remove?;
        let mut next = *state;
        next.owners[owner].row_to_remove = None;
        let is_refused = self.has(Guard::Precondition) && state.epoch != state.owners[owner].epoch;
        if !is_refused && state.assigned.is_some_and(|placement| placement.worker == worker) {
            next.assigned = None;
        }
        Some(next)
    }

    /// An owner sends the start command.
    fn send_command(&self, state: &State, owner: usize) -> Option<State> {
        let node = state.owners[owner];
        let Known::Planned(placement) = node.known else {
            return None;
        };
        if !self.may_act(state, owner) || state.commands[owner].is_some() {
            return None;
        }
        let mut next = *state;
        let deadline = state.now + COMMAND_VALID;
        let incarnation = node.incarnations[usize::from(placement.worker)];
        next.commands[owner] =
            Some(StartCommand { placement, incarnation, token: node.epoch, deadline });
        next.owners[owner].known = Known::Commanded(placement, deadline);
        Some(next)
    }

    /// A start command arrives at its worker.
    fn deliver_command(&self, state: &State, owner: usize) -> Option<State> {
        let command = state.commands[owner]?;
        let mut next = *state;
        next.commands[owner] = None;
        let has_later_start =
            |completion: Completion| Completion { has_later_start: true, ..completion };
        let worker = &mut next.workers[usize::from(command.placement.worker)];
        let is_fenced = self.has(Guard::Token) && command.token < worker.token;
        let is_misdirected =
            self.has(Guard::Incarnation) && command.incarnation != worker.incarnation;
        let is_old =
            worker.completion.is_some_and(|completion| command.placement.run <= completion.run);
        if is_fenced
            || is_misdirected
            || is_old
            || worker.running.is_some()
            || state.now > command.deadline
        {
            return Some(next);
        }
        worker.token = worker.token.max(command.token);
        worker.running = Some(command.placement.run);
        worker.lease_until = worker.lease_until.max(command.deadline);
        for worker in &mut next.workers {
            worker.completion = worker.completion.map(has_later_start);
        }
        if state.is_acknowledged {
            next.violation = Some("a run started after a completion was acknowledged");
        }
        if next.workers.iter().filter(|worker| worker.running.is_some()).count() > 1 {
            next.violation = Some("two runs at the same time");
        }
        Some(next)
    }

    /// An owner polls a worker and renews its lease.
    fn poll(&self, state: &State, owner: usize, index: usize) -> Option<State> {
        if !self.may_act(state, owner) {
            return None;
        }
        let mut next = *state;
        let node = &mut next.owners[owner];
        let worker = &mut next.workers[index];
        if self.has(Guard::Token) && node.epoch < worker.token {
            *node = NO_OWNER;
            return Some(next);
        }
        worker.token = worker.token.max(node.epoch);
        let is_restarted = node.has_replied[index] && worker.incarnation > node.incarnations[index];
        node.has_replied[index] = true;
        node.incarnations[index] = worker.incarnation;
        let is_on_worker = |placement: Placement| usize::from(placement.worker) == index;
        if is_restarted
            && let Known::Planned(placement) | Known::Writing(placement) = node.known
            && is_on_worker(placement)
        {
            // A run that was planned for the earlier incarnation is dropped.
            node.known = Known::Nothing;
        }
        let has_successor = usize::from(node.epoch) < OWNERS;
        if is_restarted && has_successor && state.assigned.is_some_and(is_on_worker) {
            // The worker was removed as its registration had expired, and has come back.
            node.row_to_remove = Some(index as u8);
        }
        worker.lease_until = worker.lease_until.max(state.now + LEASE);
        if let Some(run) = worker.running {
            let placement = Placement { worker: index as u8, run };
            node.last_run = node.last_run.max(run);
            if matches!(node.known, Known::Nothing | Known::InDoubt(_) | Known::Commanded(..)) {
                node.known = Known::Reported(placement);
            }
        } else if let Some(completion) = worker.completion.filter(|other| !other.is_beyond_list) {
            node.last_run = node.last_run.max(completion.run);
            match node.known {
                Known::Done | Known::WritingCompletion(_) => {}
                _ => {
                    node.known =
                        Known::Completed(Placement { worker: index as u8, run: completion.run })
                }
            }
            if node.known == Known::Done || !self.has(Guard::StoredCompletion) {
                worker.completion = None;
                next.is_acknowledged |= !completion.has_expired_lease;
                if completion.has_later_start && !completion.has_expired_lease {
                    next.violation = Some("a run started before a completion was acknowledged");
                }
            }
        } else if worker.completion.is_none() || !self.has(Guard::CompleteReport) {
            let is_gone = match node.known {
                Known::Reported(placement) | Known::InDoubt(placement) => is_on_worker(placement),
                Known::Commanded(placement, deadline) => {
                    is_on_worker(placement) && (state.now > deadline || is_restarted)
                }
                _ => false,
            };
            if is_gone {
                node.known = Known::Nothing;
            }
        }
        Some(next)
    }

    /// An owner stops waiting for a worker that has not replied: the run there has ended.
    fn expire_wait(&self, state: &State, owner: usize) -> Option<State> {
        let node = state.owners[owner];
        let Known::InDoubt(placement) = node.known else {
            return None;
        };
        let has_waited = !self.has(Guard::TakeoverWait) || state.now > node.wait_until;
        if !self.may_act(state, owner)
            || node.has_replied[usize::from(placement.worker)]
            || !has_waited
        {
            return None;
        }
        let mut next = *state;
        next.owners[owner].known = Known::Nothing;
        Some(next)
    }
}

fn tick(state: &State) -> Option<State> {
    if state.now >= TICKS_MAX {
        return None;
    }
    let mut next = *state;
    next.now += 1;
    for worker in next.workers.iter_mut().filter(|worker| worker.lease_until < next.now) {
        worker.running = None;
        worker.completion = worker
            .completion
            .map(|completion| Completion { has_expired_lease: true, ..completion });
    }
    Some(next)
}

fn complete_run(state: &State, index: usize, is_beyond_list: bool) -> Option<State> {
    let run = state.workers[index].running?;
    let mut next = *state;
    next.workers[index].running = None;
    let (has_expired_lease, has_later_start) = (false, false);
    next.workers[index].completion =
        Some(Completion { run, has_expired_lease, is_beyond_list, has_later_start });
    Some(next)
}

/// The completions before that of the unit are acknowledged.
fn list_completion(state: &State, index: usize) -> Option<State> {
    let completion = state.workers[index].completion.filter(|other| other.is_beyond_list)?;
    let mut next = *state;
    next.workers[index].completion = Some(Completion { is_beyond_list: false, ..completion });
    Some(next)
}

fn restart_worker(state: &State, index: usize) -> Option<State> {
    let worker = state.workers[index];
    // A completion that was lost with its worker was never recorded. The workers are
    // interchangeable, so it is enough if the first one restarts, once.
    if index > 0 || worker.incarnation > 0 {
        return None;
    }
    let mut next = *state;
    next.workers[index] = Worker {
        incarnation: worker.incarnation + 1,
        token: 0,
        lease_until: 0,
        running: None,
        completion: None,
    };
    Some(next)
}

fn take_over(state: &State, owner: usize) -> Option<State> {
    // The owners are interchangeable, so the first one takes over first.
    if usize::from(state.epoch) != owner {
        return None;
    }
    let mut next = *state;
    next.epoch += 1;
    let known = match (state.is_done, state.assigned) {
        (true, _) => Known::Done,
        (false, Some(placement)) => Known::InDoubt(placement),
        (false, None) => Known::Nothing,
    };
    next.owners[owner] = Owner {
        epoch: next.epoch,
        valid_until: state.now + OWNER_VALID,
        wait_until: state.now + TAKEOVER_WAIT,
        has_replied: [false; WORKERS],
        incarnations: [0; WORKERS],
        last_run: state.assigned.map_or(0, |placement| placement.run),
        known,
        row_to_remove: None,
    };
    Some(next)
}

fn renew(state: &State, owner: usize) -> Option<State> {
    let node = state.owners[owner];
    if node.epoch == 0 || node.epoch != state.epoch || node.valid_until >= state.now + OWNER_VALID {
        return None;
    }
    let mut next = *state;
    next.owners[owner].valid_until = state.now + OWNER_VALID;
    Some(next)
}

fn write_completion(state: &State, owner: usize) -> Option<State> {
    let Known::Completed(placement) = state.owners[owner].known else {
        return None;
    };
    let mut next = *state;
    next.owners[owner].known = Known::WritingCompletion(placement);
    Some(next)
}

fn initial_state() -> State {
    let worker =
        Worker { incarnation: 0, token: 0, lease_until: 0, running: None, completion: None };
    State {
        now: 0,
        epoch: 0,
        assigned: None,
        is_done: false,
        is_acknowledged: false,
        owners: [NO_OWNER; OWNERS],
        workers: [worker; WORKERS],
        commands: [None; OWNERS],
        violation: None,
    }
}

/// Normalizes a state: the lease of a worker without a run or completion makes no difference.
fn without_idle_leases(mut state: State) -> State {
    let is_idle = |worker: &&mut Worker| worker.running.is_none() && worker.completion.is_none();
    for worker in state.workers.iter_mut().filter(is_idle) {
        worker.lease_until = 0;
    }
    state
}

/// Explores all states; returns the first violation and the number of states.
fn explore(model: &Model) -> (Option<&'static str>, usize) {
    let successors =
        |state: &State| model.successors(state).into_iter().map(without_idle_leases).collect();
    let is_violation = |state: &State| state.violation.is_some();
    let found = explorer::explore(initial_state(), successors, is_violation);
    (found.violation.and_then(|state| state.violation), found.states)
}

#[test]
fn no_unit_runs_twice_in_any_order_of_events() {
    let (violation, states) = explore(&Model { disabled: None });
    println!("{states} states");
    assert_eq!(violation, None);
    assert!(states > 100_000, "too few states to be meaningful: {states}");
}

#[rstest]
#[case::validity(Guard::Validity)]
#[case::token(Guard::Token)]
#[case::incarnation(Guard::Incarnation)]
#[case::takeover_wait(Guard::TakeoverWait)]
#[case::precondition(Guard::Precondition)]
#[case::stored_run(Guard::StoredRun)]
#[case::stored_completion(Guard::StoredCompletion)]
#[case::written_row(Guard::WrittenRow)]
#[case::complete_report(Guard::CompleteReport)]
fn each_guard_is_needed(#[case] guard: Guard) {
    let (violation, _) = explore(&Model { disabled: Some(guard) });
    assert!(violation.is_some(), "no violation without {guard:?}");
}
