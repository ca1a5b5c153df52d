//! Model checker for the attempts of a gang: when its job fails, and when it is started once more.
//!
//! It explores all interleavings of runs whose members fail in any combination, reports of the members'
//! workers in any order, stored progress, take-overs, and versions of the configuration that drop the
//! queue and bring it back. The job must not fail before as many runs of the gang have failed as its
//! queue allows, and no run may start after that. Each guard is disabled in turn; the model must then
//! find a violation. A gang of one member is a unit of its own.

#[path = "common/explorer.rs"]
mod explorer;

use rstest::rstest;

const MEMBERS: usize = 2;
const OWNERS: u8 = 2;
/// Failed runs at which the job fails.
const ATTEMPTS_MAX: u32 = 2;
/// Number of versions of the configuration that drop the queue or bring it back.
const CONFIG_CHANGES_MAX: u8 = 2;
const RUNS_MAX: u8 = 4;

/// The guards of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// While the configuration lacks the queue, or none was read, the attempts under which the job was
    /// accepted are in force.
    AcceptedAttempts,
    /// If these were not stored either, the job neither fails nor starts a unit that has failed.
    NoDefault,
    /// The attempts are compared at each start, not only when a failure becomes known.
    CheckedStart,
    /// A failed run counts once, however many members have failed in it.
    DistinctRuns,
    /// The failed runs of all members count.
    AllMembers,
    /// A failure is acknowledged only once it is stored.
    StoredFailure,
}

/// What an owner has read of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum KnownConfig {
    Unread,
    WithQueue,
    WithoutQueue,
}

/// Numbers of failed runs by member, one bit for each.
type FailedRuns = [u8; MEMBERS];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Owner {
    epoch: u8,
    config: KnownConfig,
    failed_runs: FailedRuns,
    /// Members that have or may have a run.
    may_run: [bool; MEMBERS],
    has_failed_job: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    has_queue: bool,
    config_changes: u8,
    /// Run that is on the workers.
    running: Option<u8>,
    last_run: u8,
    /// All runs in which a member has failed.
    failed: u8,
    /// Failures that workers list.
    listed: FailedRuns,
    stored: FailedRuns,
    is_job_stored_as_failed: bool,
    owner: Owner,
    violation: Option<&'static str>,
}

struct Model {
    disabled: Option<Guard>,
    /// The job's row has the attempts under which it was accepted.
    has_accepted_attempts: bool,
    /// Attempts that an owner makes up if a guard is disabled.
    made_up: u32,
}

impl Model {
    fn has(&self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }

    /// Returns all states that may follow.
    fn successors(&self, state: &State) -> Vec<State> {
        let mut successors = Vec::new();
        successors.extend(change_config(state));
        successors.push(read_config(state));
        successors.push(store(state));
        successors.extend(take_over(state));
        successors.extend(self.start(state));
        for failing in 1..1 << MEMBERS {
            successors.extend(fail_run(state, failing));
        }
        for member in 0..MEMBERS {
            successors.push(self.poll(state, member));
        }
        successors
    }

    /// Returns the attempts that an owner reckons with.
    fn attempts_max(&self, owner: &Owner) -> Option<u32> {
        let accepted = || self.has_accepted_attempts.then_some(ATTEMPTS_MAX);
        match owner.config {
            KnownConfig::WithQueue => Some(ATTEMPTS_MAX),
            _ if !self.has(Guard::AcceptedAttempts) => Some(self.made_up),
            _ if !self.has(Guard::NoDefault) => accepted().or(Some(self.made_up)),
            _ => accepted(),
        }
    }

    /// Returns the number of failed runs that an owner counts. `member` has failed last.
    fn failures(&self, owner: &Owner, member: Option<usize>) -> u32 {
        let runs = owner.failed_runs;
        match member {
            _ if !self.has(Guard::DistinctRuns) => runs.iter().map(|bits| bits.count_ones()).sum(),
            Some(member) if !self.has(Guard::AllMembers) => runs[member].count_ones(),
            None if !self.has(Guard::AllMembers) => {
                runs.iter().map(|bits| bits.count_ones()).max().unwrap_or(0)
            }
            _ => runs.iter().fold(0, |all, bits| all | bits).count_ones(),
        }
    }

    /// An owner polls the worker of a member, and acknowledges what it lists.
    fn poll(&self, state: &State, member: usize) -> State {
        let mut next = *state;
        let acknowledged = match self.has(Guard::StoredFailure) {
            true => state.stored[member],
            false => state.owner.failed_runs[member],
        };
        next.listed[member] &= !acknowledged;
        let before = state.owner.failed_runs[member];
        next.owner.failed_runs[member] |= next.listed[member];
        next.owner.may_run[member] = state.running.is_some();
        let is_new = next.owner.failed_runs[member] != before;
        let failures = self.failures(&next.owner, Some(member));
        let is_last = self.attempts_max(&next.owner).is_some_and(|max| failures >= max);
        if is_new && is_last {
            fail_job(&mut next);
        }
        next
    }

    /// An owner starts all members.
    fn start(&self, state: &State) -> Option<State> {
        let owner = state.owner;
        let is_waiting = owner.may_run == [false; MEMBERS] && !owner.has_failed_job;
        if !is_waiting || state.last_run >= RUNS_MAX {
            return None;
        }
        let mut next = *state;
        let failures = self.failures(&owner, None);
        if self.has(Guard::CheckedStart) && failures > 0 {
            let attempts_max = self.attempts_max(&owner)?;
            if failures >= attempts_max {
                fail_job(&mut next);
                return Some(next);
            }
        }
        if state.failed.count_ones() >= ATTEMPTS_MAX {
            next.violation = Some("a run started after the last attempt");
        }
        next.last_run += 1;
        next.running = Some(next.last_run);
        next.owner.may_run = [true; MEMBERS];
        Some(next)
    }
}

fn fail_job(state: &mut State) {
    state.owner.has_failed_job = true;
    if state.failed.count_ones() < ATTEMPTS_MAX {
        state.violation = Some("the job failed before its last attempt");
    }
}

fn change_config(state: &State) -> Option<State> {
    let config_changes = state.config_changes + 1;
    let changed = State { has_queue: !state.has_queue, config_changes, ..*state };
    (state.config_changes < CONFIG_CHANGES_MAX).then_some(changed)
}

fn read_config(state: &State) -> State {
    let mut next = *state;
    next.owner.config =
        if state.has_queue { KnownConfig::WithQueue } else { KnownConfig::WithoutQueue };
    next
}

/// The run on the workers ends: some members fail, which breaks the others.
fn fail_run(state: &State, failing: usize) -> Option<State> {
    let run = state.running?;
    let mut next = State { running: None, failed: state.failed | 1 << run, ..*state };
    for member in (0..MEMBERS).filter(|member| failing & 1 << member != 0) {
        next.listed[member] |= 1 << run;
    }
    Some(next)
}

/// What the owner knows is stored.
fn store(state: &State) -> State {
    let is_job_stored_as_failed = state.owner.has_failed_job;
    State { stored: state.owner.failed_runs, is_job_stored_as_failed, ..*state }
}

/// Another owner takes over. It has read no configuration, and any member may run.
fn take_over(state: &State) -> Option<State> {
    let owner = Owner {
        epoch: state.owner.epoch + 1,
        config: KnownConfig::Unread,
        failed_runs: state.stored,
        may_run: [true; MEMBERS],
        has_failed_job: state.is_job_stored_as_failed,
    };
    (owner.epoch < OWNERS).then_some(State { owner, ..*state })
}

/// Explores all states; returns the first violation and the number of states.
fn explore(model: &Model) -> (Option<&'static str>, usize) {
    let initial = State {
        has_queue: true,
        config_changes: 0,
        running: None,
        last_run: 0,
        failed: 0,
        listed: [0; MEMBERS],
        stored: [0; MEMBERS],
        is_job_stored_as_failed: false,
        owner: Owner {
            epoch: 0,
            config: KnownConfig::WithQueue,
            failed_runs: [0; MEMBERS],
            may_run: [false; MEMBERS],
            has_failed_job: false,
        },
        violation: None,
    };
    let is_violation = |state: &State| state.violation.is_some();
    let found = explorer::explore(initial, |state| model.successors(state), is_violation);
    (found.violation.and_then(|state| state.violation), found.states)
}

#[rstest]
#[case::stored_with_the_job(true)]
#[case::not_stored(false)]
fn a_job_has_all_its_attempts_and_no_more(#[case] has_accepted_attempts: bool) {
    let (violation, states) = explore(&Model { disabled: None, has_accepted_attempts, made_up: 0 });
    println!("{states} states");
    assert_eq!(violation, None);
    assert!(states > 1_000, "too few states to be meaningful: {states}");
}

#[rstest]
#[case::too_few_attempts(Guard::AcceptedAttempts, true, 1)]
#[case::too_many_attempts(Guard::AcceptedAttempts, true, 3)]
#[case::too_few_by_default(Guard::NoDefault, false, 1)]
#[case::too_many_by_default(Guard::NoDefault, false, 3)]
#[case::checked_start(Guard::CheckedStart, false, 0)]
#[case::distinct_runs(Guard::DistinctRuns, true, 0)]
#[case::all_members(Guard::AllMembers, true, 0)]
#[case::stored_failure(Guard::StoredFailure, true, 0)]
fn each_guard_is_needed(
    #[case] guard: Guard,
    #[case] has_accepted_attempts: bool,
    #[case] made_up: u32,
) {
    let model = Model { disabled: Some(guard), has_accepted_attempts, made_up };
    let (violation, _) = explore(&model);
    assert!(violation.is_some(), "no violation without {guard:?}");
}
