//! Model checker for copies across takeovers, with two owners, two workers and one unit.
//!
//! It has the ticks, late writes and commands of `takeover_model.rs`; a tick is about a second. A
//! unit may run on both workers at a time if its step allows copies, and otherwise never. At most
//! one end is stored. A run that is no copy starts only if no other is running, and a copy starts
//! at most a tick after an end was stored. Each guard is disabled in turn; the model must then find
//! a violation.

use std::collections::HashSet;

use rstest::rstest;

/// Number of ticks for which an owner may act after its last renewal.
const OWNER_VALID: u8 = 1;
/// Duration of a lease, in ticks.
const LEASE: u8 = 2;
/// Number of ticks after which a start command has no effect.
const COMMAND_VALID: u8 = 1;
/// Number of ticks that a new owner waits for a worker that has not replied.
const TAKEOVER_WAIT: u8 = OWNER_VALID + LEASE;
/// Number of ticks that the model explores.
const TICKS_MAX: u8 = 3;
const RUNS_MAX: u8 = 3;
const OWNERS: usize = 2;
const WORKERS: usize = 2;

/// The guards of the protocol that copies depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// Only units whose step allows it get a copy.
    Permission,
    /// A run is stored before its start command is sent.
    StoredRun,
    /// The row of a copy names the run beside which it was started.
    NamedRun,
    /// A run that may be on a worker that has not replied counts for a time.
    TakeoverWait,
    /// Each write has the owner's row as a precondition.
    Precondition,
    /// An owner stores the first end only.
    FirstEnd,
    /// The start command of a copy is valid for a time that is counted from the decision.
    StartLimit,
}

/// A run as it is stored in the row of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Run {
    number: u8,
    /// Run beside which it was started.
    beside: Option<u8>,
    decided_at: u8,
}

/// What an owner knows of the run on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Known {
    Nothing,
    Writing(Run),
    Planned(Run),
    /// The start command has no effect after this tick.
    Commanded(u8),
    Reported(u8),
    InDoubt,
}

/// What an owner knows of the end of the unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum End {
    None,
    Seen,
    Writing,
    Stored,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Owner {
    /// 0 if this node does not own the scheduling.
    epoch: u8,
    valid_until: u8,
    wait_until: u8,
    has_replied: [bool; WORKERS],
    last_run: u8,
    known: [Known; WORKERS],
    end: End,
}

const NO_OWNER: Owner = Owner {
    epoch: 0,
    valid_until: 0,
    wait_until: 0,
    has_replied: [false; WORKERS],
    last_run: 0,
    known: [Known::Nothing; WORKERS],
    end: End::None,
};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Worker {
    token: u8,
    lease_until: u8,
    running: Option<u8>,
    completion: Option<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct StartCommand {
    worker: usize,
    run: Run,
    token: u8,
    deadline: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    epoch: u8,
    rows: [Option<Run>; WORKERS],
    /// When the end was stored.
    stored_at: Option<u8>,
    owners: [Owner; OWNERS],
    workers: [Worker; WORKERS],
    commands: [Option<StartCommand>; OWNERS],
    violation: Option<&'static str>,
}

struct Model {
    allows_copies: bool,
    disabled: Option<Guard>,
}

impl Model {
    fn has(&self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut successors: Vec<State> = tick(state).into_iter().collect();
        successors.extend((0..WORKERS).filter_map(|worker| complete_run(state, worker)));
        for owner in 0..OWNERS {
            successors.extend(self.take_over(state, owner));
            successors.extend(renew(state, owner));
            successors.extend(self.deliver_command(state, owner));
            successors.extend(write_end(state, owner));
            successors.extend(self.commit_end(state, owner));
            for worker in 0..WORKERS {
                successors.extend(self.assign(state, owner, worker));
                successors.extend(self.commit_run(state, owner, worker));
                successors.extend(self.send_command(state, owner, worker));
                successors.extend(self.poll(state, owner, worker));
                successors.extend(self.expire_wait(state, owner, worker));
            }
        }
        successors
    }

    /// An owner assigns the unit to a worker, as a copy if it is reported by the other one.
    fn assign(&self, state: &State, owner: usize, worker: usize) -> Option<State> {
        let node = state.owners[owner];
        // The workers are interchangeable, so the first run is on the first one.
        let is_first = node.last_run == 0 && worker > 0;
        let is_free = node.known[worker] == Known::Nothing && node.has_replied[worker] && !is_first;
        let has_ended = node.end != End::None;
        if !may_act(state, owner) || !is_free || has_ended || node.last_run >= RUNS_MAX {
            return None;
        }
        let beside = match node.known[1 - worker] {
            Known::Nothing => None,
            Known::Reported(run) if self.allows_copies || !self.has(Guard::Permission) => Some(run),
            _ => return None,
        };
        let mut next = *state;
        let run = Run { number: node.last_run + 1, beside, decided_at: state.now };
        next.owners[owner].last_run += 1;
        next.owners[owner].known[worker] = match self.has(Guard::StoredRun) {
            true => Known::Writing(run),
            false => Known::Planned(run),
        };
        Some(next)
    }

    fn commit_run(&self, state: &State, owner: usize, worker: usize) -> Option<State> {
        let Known::Writing(run) = state.owners[owner].known[worker] else {
            return None;
        };
        let mut next = *state;
        if self.has(Guard::Precondition) && state.epoch != state.owners[owner].epoch {
            next.owners[owner] = NO_OWNER;
            return Some(next);
        }
        next.rows[worker] = Some(run);
        next.owners[owner].known[worker] = Known::Planned(run);
        Some(next)
    }

    fn commit_end(&self, state: &State, owner: usize) -> Option<State> {
        if state.owners[owner].end != End::Writing {
            return None;
        }
        let mut next = *state;
        if self.has(Guard::Precondition) && state.epoch != state.owners[owner].epoch {
            next.owners[owner] = NO_OWNER;
            return Some(next);
        }
        if state.stored_at.is_some() {
            next.violation = Some("two ends are stored");
        }
        next.stored_at = Some(state.now);
        next.owners[owner].end = End::Stored;
        Some(next)
    }

    /// An owner sends the start command of a stored run, unless it has seen an end meanwhile.
    fn send_command(&self, state: &State, owner: usize, worker: usize) -> Option<State> {
        let node = state.owners[owner];
        let Known::Planned(run) = node.known[worker] else {
            return None;
        };
        if !may_act(state, owner) || state.commands[owner].is_some() {
            return None;
        }
        let is_limited = run.beside.is_some() && self.has(Guard::StartLimit);
        let deadline = if is_limited { run.decided_at } else { state.now } + COMMAND_VALID;
        let mut next = *state;
        if node.end != End::None || state.now > deadline {
            next.owners[owner].known[worker] = Known::Nothing;
            return Some(next);
        }
        next.commands[owner] = Some(StartCommand { worker, run, token: node.epoch, deadline });
        next.owners[owner].known[worker] = Known::Commanded(deadline);
        Some(next)
    }

    fn deliver_command(&self, state: &State, owner: usize) -> Option<State> {
        let command = state.commands[owner]?;
        let mut next = *state;
        next.commands[owner] = None;
        let worker = &mut next.workers[command.worker];
        let is_old = worker.completion.is_some_and(|run| command.run.number <= run);
        if command.token < worker.token
            || is_old
            || worker.running.is_some()
            || state.now > command.deadline
        {
            return Some(next);
        }
        worker.token = command.token;
        worker.running = Some(command.run.number);
        worker.lease_until = worker.lease_until.max(command.deadline);
        let is_copy = command.run.beside.is_some();
        if next.workers[1 - command.worker].running.is_some() && !(is_copy && self.allows_copies) {
            next.violation = Some("two runs at the same time");
        }
        if state.stored_at.is_some_and(|at| state.now > at + 1) {
            next.violation = Some("a run started long after an end was stored");
        }
        Some(next)
    }

    /// An owner polls a worker and renews its lease.
    fn poll(&self, state: &State, owner: usize, index: usize) -> Option<State> {
        if !may_act(state, owner) {
            return None;
        }
        let mut next = *state;
        let node = &mut next.owners[owner];
        let worker = &mut next.workers[index];
        if node.epoch < worker.token {
            *node = NO_OWNER;
            return Some(next);
        }
        worker.token = node.epoch;
        worker.lease_until = worker.lease_until.max(state.now + LEASE);
        node.has_replied[index] = true;
        let known = &mut node.known[index];
        let is_sent = !matches!(known, Known::Writing(_) | Known::Planned(_));
        if let Some(run) = worker.running {
            node.last_run = node.last_run.max(run);
            *known = if is_sent { Known::Reported(run) } else { *known };
        } else if let Some(run) = worker.completion {
            node.last_run = node.last_run.max(run);
            *known = if is_sent { Known::Nothing } else { *known };
            if node.end == End::None || (node.end == End::Stored && !self.has(Guard::FirstEnd)) {
                node.end = End::Seen;
            } else if node.end == End::Stored {
                worker.completion = None;
            }
        } else {
            let is_gone = match known {
                Known::Reported(_) | Known::InDoubt => true,
                Known::Commanded(deadline) => state.now > *deadline,
                _ => false,
            };
            *known = if is_gone { Known::Nothing } else { *known };
        }
        Some(next)
    }

    /// An owner stops waiting for a worker that has not replied: the run there has ended.
    fn expire_wait(&self, state: &State, owner: usize, worker: usize) -> Option<State> {
        let node = state.owners[owner];
        let has_waited = !self.has(Guard::TakeoverWait) || state.now > node.wait_until;
        let is_silent = node.known[worker] == Known::InDoubt && !node.has_replied[worker];
        if !may_act(state, owner) || !is_silent || !has_waited {
            return None;
        }
        let mut next = *state;
        next.owners[owner].known[worker] = Known::Nothing;
        Some(next)
    }

    fn take_over(&self, state: &State, owner: usize) -> Option<State> {
        // The owners are interchangeable, so the first one takes over first.
        if usize::from(state.epoch) != owner {
            return None;
        }
        let mut next = *state;
        next.epoch += 1;
        let last = state.rows.into_iter().flatten().max_by_key(|run| run.number);
        let may_exist = |run: Run| {
            let is_named = last.is_some_and(|last| last.beside == Some(run.number));
            Some(run) == last || (is_named && self.has(Guard::NamedRun))
        };
        let known = |row: Option<Run>| row.filter(|run| may_exist(*run)).map(|_| Known::InDoubt);
        next.owners[owner] = Owner {
            epoch: next.epoch,
            valid_until: state.now + OWNER_VALID,
            wait_until: state.now + TAKEOVER_WAIT,
            has_replied: [false; WORKERS],
            last_run: last.map_or(0, |run| run.number),
            known: state.rows.map(|row| known(row).unwrap_or(Known::Nothing)),
            end: if state.stored_at.is_some() { End::Stored } else { End::None },
        };
        Some(next)
    }
}

fn may_act(state: &State, owner: usize) -> bool {
    let owner = &state.owners[owner];
    owner.epoch > 0 && state.now <= owner.valid_until
}

fn tick(state: &State) -> Option<State> {
    let mut next = *state;
    next.now += 1;
    for worker in next.workers.iter_mut().filter(|worker| worker.lease_until < next.now) {
        worker.running = None;
    }
    (next.now <= TICKS_MAX).then_some(next)
}

fn complete_run(state: &State, index: usize) -> Option<State> {
    let mut next = *state;
    next.workers[index].completion = Some(next.workers[index].running.take()?);
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

fn write_end(state: &State, owner: usize) -> Option<State> {
    let mut next = *state;
    next.owners[owner].end = End::Writing;
    (state.owners[owner].end == End::Seen).then_some(next)
}

/// Normalizes a state: the lease of a worker without a run makes no difference, nor does what a
/// node knows whose ownership has ended.
fn normalized(mut state: State) -> State {
    for worker in state.workers.iter_mut().filter(|worker| worker.running.is_none()) {
        worker.lease_until = 0;
    }
    let now = state.now;
    let is_past = |node: &Owner| node.epoch < state.epoch && node.valid_until < now;
    for node in state.owners.iter_mut().filter(|node| is_past(node)) {
        if !node.known.iter().any(|known| matches!(known, Known::Writing(_)))
            && node.end != End::Writing
        {
            *node = NO_OWNER;
        }
    }
    state
}

/// Explores all states; returns the first violation and the number of states.
fn explore(model: &Model) -> (Option<&'static str>, usize) {
    let initial = State {
        now: 0,
        epoch: 0,
        rows: [None; WORKERS],
        stored_at: None,
        owners: [NO_OWNER; OWNERS],
        workers: [Worker::default(); WORKERS],
        commands: [None; OWNERS],
        violation: None,
    };
    let mut visited = HashSet::from([initial]);
    let mut frontier = vec![initial];
    while let Some(state) = frontier.pop() {
        if state.violation.is_some() {
            return (state.violation, visited.len());
        }
        for next in model.successors(&state).into_iter().map(normalized) {
            if visited.insert(next) {
                frontier.push(next);
            }
        }
    }
    (None, visited.len())
}

#[rstest]
#[case::with_copies(true)]
#[case::without_copies(false)]
fn runs_and_ends_are_safe_in_any_order_of_events(#[case] allows_copies: bool) {
    let (violation, states) = explore(&Model { allows_copies, disabled: None });
    println!("{states} states");
    assert_eq!(violation, None);
    assert!(states > 100_000, "too few states to be meaningful: {states}");
}

#[rstest]
#[case::permission(false, Guard::Permission)]
#[case::stored_run(true, Guard::StoredRun)]
#[case::named_run(true, Guard::NamedRun)]
#[case::takeover_wait(true, Guard::TakeoverWait)]
#[case::precondition(true, Guard::Precondition)]
#[case::first_end(true, Guard::FirstEnd)]
#[case::start_limit(true, Guard::StartLimit)]
fn each_guard_is_needed(#[case] allows_copies: bool, #[case] guard: Guard) {
    let (violation, _) = explore(&Model { allows_copies, disabled: Some(guard) });
    assert!(violation.is_some(), "no violation without {guard:?}");
}
