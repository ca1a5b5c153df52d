//! Model checker for how long a successor waits for a worker that it has not reached.
//!
//! Three nodes own the scheduling in turn, and one worker has a run of the first one. Time passes in
//! ticks. A node that does nothing for some ticks is suspended or cut off. A transaction takes effect
//! at any later time, or never, and its reply may be lost. When a successor stops waiting, no lease
//! of the worker may be left that an earlier owner has renewed, whether that is its predecessor or
//! one before it. To show that each guard is needed, each one is disabled in turn; the model must
//! then find a violation.

#[path = "../../scheduler/tests/common/explorer.rs"]
mod explorer;

use rstest::rstest;

/// Number of ticks for which an owner may act after it has sent its last committed transaction.
const VALIDITY: u8 = 2;
/// Duration of a lease, in ticks.
const LEASE: u8 = 1;
/// Number of ticks without a change of the row after which a node takes over.
const SILENCE: u8 = 1;
/// Number of ticks that the model explores.
const TICKS_MAX: u8 = 5;
const OWNERS: usize = 3;

/// The guards of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// A successor reckons with the time for which its predecessor may still act, if that one may
    /// still be alive.
    Predecessor,
    /// A successor reckons with the time for which an owner before its predecessor may still act.
    EarlierOwners,
    /// An owner renews no leases once it has sent the release.
    QuietRelease,
}

/// Why a node takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Reason {
    Released,
    Ended,
    Silent,
    Stuck,
}

/// The owner's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Row {
    epoch: u8,
    /// For how long the owner had held the ownership when it sent the transaction.
    held: u8,
    is_released: bool,
    /// It has not changed for this number of ticks, or longer if that is [`SILENCE`].
    unchanged: u8,
}

/// A transaction on its way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Write {
    TakeOver { sent_at: u8, reason: Reason, held: u8 },
    Renew { sent_at: u8, held: u8, is_release: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Follower,
    Acting,
    /// The process has ended.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Node {
    phase: Phase,
    valid_until: u8,
    /// When its ownership began, as it knows.
    held_since: u8,
    /// When it stops waiting for the worker.
    wait_until: u8,
    /// It has sent the release.
    is_releasing: bool,
    write: Option<Write>,
}

const FOLLOWER: Node = Node {
    phase: Phase::Follower,
    valid_until: 0,
    held_since: 0,
    wait_until: 0,
    is_releasing: false,
    write: None,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    row: Row,
    nodes: [Node; OWNERS],
    /// Highest fencing token that the worker has seen.
    token: u8,
    lease_until: u8,
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
        successors.extend(tick(state));
        for node in 0..OWNERS {
            successors.extend(take_over(state, node));
            successors.extend(renew(state, node, false));
            successors.extend(renew(state, node, true));
            successors.extend(self.commit(state, node));
            successors.extend(self.poll(state, node));
            successors.extend(end(state, node));
        }
        successors
    }

    /// A transaction arrives at the store. The reply to a release may be lost, so that the owner
    /// goes on.
    fn commit(&self, state: &State, index: usize) -> Option<State> {
        let write = state.nodes[index].write?;
        let epoch = epoch_of(index);
        let mut next = *state;
        let node = &mut next.nodes[index];
        node.write = None;
        match write {
            Write::TakeOver { sent_at, reason, held } => {
                next.row = Row { epoch, held: 0, is_released: false, unchanged: 0 };
                node.phase = Phase::Acting;
                node.valid_until = sent_at + VALIDITY;
                node.held_since = sent_at;
                node.wait_until = state.now + self.lease_remaining(reason, held);
            }
            Write::Renew { sent_at, held, is_release } => {
                next.row = Row { epoch, held, is_released: is_release, unchanged: 0 };
                if !is_release {
                    node.valid_until = sent_at + VALIDITY;
                }
            }
        }
        // Transactions that are based on the row as it was have no effect any more.
        for node in &mut next.nodes {
            node.write = None;
        }
        Some(next)
    }

    /// Returns for how long a successor waits.
    fn lease_remaining(&self, reason: Reason, held: u8) -> u8 {
        let predecessor = match reason {
            Reason::Released | Reason::Ended => 0,
            _ if !self.has(Guard::Predecessor) => 0,
            Reason::Silent => VALIDITY - SILENCE,
            Reason::Stuck => VALIDITY,
        };
        let earlier = match self.has(Guard::EarlierOwners) {
            true => VALIDITY.saturating_sub(held),
            false => 0,
        };
        LEASE + predecessor.max(earlier)
    }

    /// An owner renews the lease of the worker.
    fn poll(&self, state: &State, index: usize) -> Option<State> {
        let node = &state.nodes[index];
        let is_quiet = self.has(Guard::QuietRelease) && node.is_releasing;
        let token = epoch_of(index);
        let lease_until = state.lease_until.max(state.now + LEASE);
        let is_allowed = node.phase == Phase::Acting
            && state.now <= node.valid_until
            && !is_quiet
            && token >= state.token;
        is_allowed.then_some(State { token, lease_until, ..*state })
    }
}

fn tick(state: &State) -> Option<State> {
    if state.now >= TICKS_MAX {
        return None;
    }
    let unchanged = (state.row.unchanged + 1).min(SILENCE);
    Some(State { now: state.now + 1, row: Row { unchanged, ..state.row }, ..*state })
}

fn epoch_of(index: usize) -> u8 {
    index as u8 + 1
}

/// A node sends the transaction of its takeover, for any reason that holds.
fn take_over(state: &State, index: usize) -> Vec<State> {
    let node = &state.nodes[index];
    let row = &state.row;
    if usize::from(row.epoch) != index || node.phase != Phase::Follower || node.write.is_some() {
        return Vec::new();
    }
    let reasons = [
        (Reason::Released, row.is_released),
        (Reason::Ended, state.nodes[index - 1].phase == Phase::Gone),
        (Reason::Silent, row.unchanged >= SILENCE),
        (Reason::Stuck, true),
    ];
    let valid = reasons.into_iter().filter(|(_, holds)| *holds);
    valid
        .map(|(reason, _)| {
            let mut next = *state;
            let (sent_at, held) = (state.now, row.held);
            next.nodes[index].write = Some(Write::TakeOver { sent_at, reason, held });
            next
        })
        .collect()
}

/// An owner sends a transaction, which may be the release.
fn renew(state: &State, index: usize, is_release: bool) -> Option<State> {
    let node = &state.nodes[index];
    // A transaction of an owner that was superseded has no effect.
    let is_owner = node.phase == Phase::Acting && state.row.epoch == epoch_of(index);
    if !is_owner || node.write.is_some() || node.is_releasing {
        return None;
    }
    let sent_at = state.now;
    let held = (state.now - node.held_since).min(VALIDITY);
    let mut next = *state;
    next.nodes[index].write = Some(Write::Renew { sent_at, held, is_release });
    next.nodes[index].is_releasing = is_release;
    Some(next)
}

/// The process of an owner ends. Its transaction may still arrive.
fn end(state: &State, index: usize) -> Option<State> {
    if state.nodes[index].phase != Phase::Acting {
        return None;
    }
    let mut next = *state;
    next.nodes[index].phase = Phase::Gone;
    Some(next)
}

/// Returns whether an owner has stopped waiting for the worker, which it has not reached, while the
/// lease of the worker lasts.
fn is_violated(state: &State) -> bool {
    state.nodes.iter().enumerate().any(|(index, node)| {
        node.phase == Phase::Acting
            && state.now <= node.valid_until
            && state.now > node.wait_until
            && state.token > 0
            && state.token < epoch_of(index)
            && state.lease_until > 0
            && state.now <= state.lease_until
    })
}

fn initial_state() -> State {
    let mut nodes = [FOLLOWER; OWNERS];
    nodes[0] = Node { phase: Phase::Acting, valid_until: VALIDITY, ..FOLLOWER };
    let row = Row { epoch: epoch_of(0), held: 0, is_released: false, unchanged: 0 };
    State { now: 0, row, nodes, token: 0, lease_until: 0 }
}

/// Normalizes a state: a node whose process has ended and a lease that is over make no difference.
fn normalized(mut state: State) -> State {
    for node in state.nodes.iter_mut().filter(|node| node.phase == Phase::Gone) {
        *node = Node { phase: Phase::Gone, write: node.write, ..FOLLOWER };
    }
    if state.lease_until < state.now {
        state.lease_until = 0;
    }
    state
}

/// Explores all states; returns the first violation and the number of states.
fn explore(model: &Model) -> (Option<State>, usize) {
    let successors = |state: &State| model.successors(state).into_iter().map(normalized).collect();
    let found = explorer::explore(initial_state(), successors, is_violated);
    (found.violation, found.states)
}

#[test]
fn no_lease_is_left_when_a_successor_stops_waiting() {
    let (violation, states) = explore(&Model { disabled: None });
    println!("{states} states");
    assert_eq!(violation, None);
    assert!(states > 100_000, "too few states to be meaningful: {states}");
}

#[rstest]
#[case::predecessor(Guard::Predecessor)]
#[case::earlier_owners(Guard::EarlierOwners)]
#[case::quiet_release(Guard::QuietRelease)]
fn each_guard_is_needed(#[case] guard: Guard) {
    let (violation, _) = explore(&Model { disabled: Some(guard) });
    assert!(violation.is_some(), "no violation without {guard:?}");
}
