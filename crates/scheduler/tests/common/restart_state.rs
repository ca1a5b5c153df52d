//! State of the model of restarts: what the worker, the owner and the store know.

/// Duration of a lease that the owner requests, in ticks.
pub const LEASE: u8 = 1;
/// Longest lease that the worker grants.
pub const LEASE_MAX: u8 = 3;
/// Number of ticks for which a call is reckoned to be in flight at most.
pub const CALL_TIME_MAX: u8 = 1;
/// Number of ticks that the model explores.
pub const TICKS_MAX: u8 = 7;
/// Token of a successor; higher than those of its predecessor.
pub const SUCCESSOR_TOKEN: u8 = 4;
pub const RUNS_MAX: u8 = 2;
pub const POLLS: usize = 2;
/// Number of the unit's completion in the later incarnation. In the earlier one, that number was
/// stored before.
pub const FIRST_COMPLETION: u8 = 1;

/// The guards of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// An owner that learns of a later incarnation reckons with the longest lease.
    LongestLease,
    /// It also reckons with calls that are still in flight.
    CallsInFlight,
    /// It reckons with the longest lease for runs that an incarnation may have started of which it
    /// doesn't know.
    UnknownIncarnation,
    /// It reckons so for starts without a reply as well, unless their connection ends with the known
    /// incarnation.
    UnansweredStartInFlight,
    /// It tells from the clock in the reply to a start whether the known incarnation has carried it
    /// out.
    ReplyClock,
    /// A successor reckons so for runs that its predecessor didn't store as those of an incarnation.
    UnconfirmedRow,
    /// It keeps starts without a reply in doubt until the later incarnation has replied to a stop.
    UnansweredStart,
    /// It keeps confirmed starts until the later incarnation has replied: the reply to a start
    /// doesn't tell which incarnation has carried it out.
    ConfirmedStart,
    /// Its calls to the later incarnation carry a higher token, and a worker refuses lower ones than
    /// it has seen.
    Token,
    /// It starts runs on the later incarnation only once that has replied to a call with this token.
    SeenToken,
    /// A poll acknowledges completions only if the poll before it was answered.
    AnsweredPoll,
    /// It acknowledges them only on a connection on which the worker has answered. That ends with the
    /// incarnation.
    OwnConnection,
}

/// How long calls without a reply may be in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delays {
    /// All calls for [`CALL_TIME_MAX`]. What is sent on a connection reaches no later incarnation.
    Bounded,
    /// All calls for [`CALL_TIME_MAX`]. Something between the owner and the worker may hold any call
    /// back until a later incarnation runs. The worker takes longer to start again than the owner
    /// takes to poll it once more, and the owner isn't replaced.
    HeldBack,
    /// Polls for any time; starts arrive only at the incarnation that they are meant for. The owner
    /// isn't replaced.
    LatePolls,
}

/// What the owner knows about the unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Known {
    Nothing,
    /// A start was sent. True if its connection ends with the known incarnation.
    Commanded(bool),
    /// The start was confirmed. True if the reply shows the clock of the known incarnation.
    Confirmed(bool),
    /// The known incarnation has listed the run.
    Reported,
    /// The stored row of an earlier owner has the run. True if it shows that the known incarnation
    /// has the run.
    Stored(bool),
    /// A start was sent to the earlier incarnation. True once the later one has replied to a stop.
    InDoubt(bool),
    /// The completion is stored.
    Done,
}

/// A call that has not arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    pub sent_at: u8,
    /// Incarnation whose clock the deadline is a time of.
    pub incarnation: u8,
    pub token: u8,
    /// Completions up to this number are acknowledged.
    pub last_stored_completion: u8,
    /// It was in flight when the worker started again.
    pub is_stray: bool,
    /// Its connection ends with the incarnation that it is meant for.
    pub is_on_own_connection: bool,
}

/// The unit's completion, until it is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Completion {
    pub number: u8,
    /// The worker's lease has expired since, so an acknowledgement comes too late to count.
    pub has_expired_lease: bool,
    /// The run was started for a call to the earlier incarnation.
    pub is_of_stray_start: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: u8,
    /// Incarnation of the worker.
    pub incarnation: u8,
    /// Highest token that the worker has seen.
    pub seen_token: u8,
    pub lease_until: u8,
    pub running: Option<u8>,
    /// `running` was started for a call to the earlier incarnation.
    pub is_of_stray_start: bool,
    pub completion: Option<Completion>,
    /// The worker refuses runs up to this number.
    pub refused_run: u8,
    /// Incarnation that the owner knows.
    pub known_incarnation: u8,
    /// Token of the owner's calls.
    pub token: u8,
    /// The known incarnation has replied to a call with this token.
    pub is_token_seen: bool,
    pub last_stored_completion: u8,
    /// When the owner last sent a call with a deadline.
    pub deadline_sent_at: u8,
    /// When it takes a lease for expired that a call to an earlier incarnation may have given.
    pub stray_lease_until: u8,
    pub known: Known,
    pub last_run: u8,
    /// The incarnation that the owner knew when it stored the row, and whether the row shows that
    /// it has the last run.
    pub row_incarnation: u8,
    pub is_confirmed_in_row: bool,
    /// The row tells of leases that calls to an earlier incarnation may have given.
    pub has_stray_lease_in_row: bool,
    pub has_successor: bool,
    /// The unit was started on another worker.
    pub is_elsewhere: bool,
    pub polls: [Option<Call>; POLLS],
    /// The owner's last poll has no reply yet.
    pub is_poll_unanswered: bool,
    pub start: Option<Call>,
    /// A run has ended as done.
    pub is_done: bool,
    /// A completion as done was acknowledged in time.
    pub is_acknowledged: bool,
    /// A run has begun after the last one that has ended as done.
    pub has_restarted: bool,
}
