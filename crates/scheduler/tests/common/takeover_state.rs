//! State of the model of takeovers: what the store, the owners and the workers know.

/// Number of ticks for which an owner may act after its last renewal.
pub const OWNER_VALID: u8 = 1;
/// Duration of a lease, in ticks.
pub const LEASE: u8 = 2;
/// Number of ticks after which a start command has no effect. The lease of the run that it starts
/// expires then, unless it is renewed.
pub const COMMAND_VALID: u8 = 1;
/// Number of ticks that a new owner waits for a worker that has not replied. The previous owner may
/// renew leases until it is no longer valid.
pub const TAKEOVER_WAIT: u8 = OWNER_VALID + LEASE;
/// Number of ticks that the model explores.
pub const TICKS_MAX: u8 = 4;
pub const RUNS_MAX: u8 = 2;
pub const OWNERS: usize = 2;
pub const WORKERS: usize = 2;

/// The guards of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// An owner acts only while it is valid, by a clock that keeps running during suspension.
    Validity,
    /// Workers refuse commands with a lower fencing token.
    Token,
    /// A command names the incarnation of the worker that it is meant for.
    Incarnation,
    /// A unit that may be running on a worker that has not replied is not started elsewhere for a
    /// time.
    TakeoverWait,
    /// Each write has the owner's row as a precondition.
    Precondition,
    /// A run is stored before its start command is sent.
    StoredRun,
    /// A completion is acknowledged only once it is stored.
    StoredCompletion,
    /// A row that is written is no longer to be removed, though its worker was removed before.
    WrittenRow,
    /// A run that a report leaves out has ended only if the report lists all completions.
    CompleteReport,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    pub worker: u8,
    pub run: u8,
}

/// What an owner knows about the unit's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Known {
    Nothing,
    /// The run is being written.
    Writing(Placement),
    /// The run is stored, and its start command has not been sent.
    Planned(Placement),
    /// The start command was sent; it has no effect after this tick.
    Commanded(Placement, u8),
    /// A worker has reported the run as running.
    Reported(Placement),
    /// The row names the run, but no worker has reported it yet.
    InDoubt(Placement),
    /// A worker has reported the completion.
    Completed(Placement),
    /// The completion is being written.
    WritingCompletion(Placement),
    /// The completion is stored.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// 0 if this node does not own the scheduling.
    pub epoch: u8,
    pub valid_until: u8,
    pub wait_until: u8,
    pub has_replied: [bool; WORKERS],
    pub incarnations: [u8; WORKERS],
    pub last_run: u8,
    pub known: Known,
    /// A worker that was removed, and whose row is still to be removed.
    pub row_to_remove: Option<u8>,
}

/// A node that does not own the scheduling.
pub const NO_OWNER: Owner = Owner {
    epoch: 0,
    valid_until: 0,
    wait_until: 0,
    has_replied: [false; WORKERS],
    incarnations: [0; WORKERS],
    last_run: 0,
    known: Known::Nothing,
    row_to_remove: None,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Worker {
    pub incarnation: u8,
    pub token: u8,
    pub lease_until: u8,
    pub running: Option<u8>,
    pub completion: Option<Completion>,
}

/// A completion that a worker lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Completion {
    pub run: u8,
    /// The worker's lease has expired since, so an acknowledgement comes too late to count.
    pub has_expired_lease: bool,
    /// Reports don't list it, since earlier completions fill them.
    pub is_beyond_list: bool,
    /// A run of the unit has started since.
    pub has_later_start: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StartCommand {
    pub placement: Placement,
    pub incarnation: u8,
    pub token: u8,
    pub deadline: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: u8,
    /// Epoch in the owner's row.
    pub epoch: u8,
    /// Run in the assignment row.
    pub assigned: Option<Placement>,
    pub is_done: bool,
    /// A completion was acknowledged.
    pub is_acknowledged: bool,
    pub owners: [Owner; OWNERS],
    pub workers: [Worker; WORKERS],
    /// The last start command of each owner, until it arrives.
    pub commands: [Option<StartCommand>; OWNERS],
    pub violation: Option<&'static str>,
}
