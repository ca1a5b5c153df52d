//! State of the model of commands to hosts: what the platform, the store and the owners know; and
//! the events that no guard concerns.

pub const HOSTS: usize = 2;
pub const OWNERS: usize = 2;
pub const ATTEMPTS_MAX: usize = 3;

/// The guards of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A command is stored before it is sent.
    StoredCommand,
    /// A command is stored only once the outcome of the one whose slot it takes is stored.
    StoredOutcome,
    /// Each write has the epoch in the owner's row as a precondition.
    Precondition,
    /// A command is stored again before it is repeated, also if its outcome was stored.
    StoredRepeat,
    /// A host refuses commands with a lower fencing token than that of one it has answered.
    Token,
    /// A reply counts only for the attempt that it answers, not for later ones.
    ReplyAttempt,
    /// A host counts as unavailable while the outcome of the command to it is unknown.
    UnknownHoldsSlot,
    /// "Accepted" makes a host count as unavailable until a list shows it in service.
    AcceptedHoldsSlot,
    /// So does "busy" as the reply to a repeated command, since an earlier attempt may be the reason.
    BusyRepeatHoldsSlot,
    /// A new owner counts the hosts of stored commands as unavailable if no outcome is stored.
    RestoredHoldsSlot,
    /// A new owner counts hosts as unavailable that the previous one has not seen in service again.
    RestoredAcceptedHoldsSlot,
    /// A list that was taken before the reply to a command does not show that the host is back.
    ListAge,
    /// Nor does a list that was taken before the owner took over.
    TakeoverListAge,
    /// A host that is in service may still get a command whose outcome is unknown.
    UpHoldsSlot,
    /// A host that a list leaves out may still be unavailable.
    AbsentHoldsSlot,
    /// Only maintenance for the wave shows that a command was carried out, not another outage.
    OutageCause,
    /// A host that a list leaves out is let go only once its maintenance must be over.
    BackByTime,
    /// A host that is down for another reason is let go only if no attempt can take effect any more.
    DownAfterReply,
    /// Of the commands in doubt, no more are repeated than a lowered limit allows.
    RepeatLimit,
    /// Hosts that are unavailable for certain count against that limit first.
    CertainFirst,
    /// Among commands in doubt, the one that was stored last counts first.
    NewestFirst,
    /// A stored command is sent only if a limit that was lowered meanwhile still allows it.
    SendLimit,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum HostState {
    #[default]
    Up,
    /// Out of service for the wave.
    InMaintenance,
    /// Out of service for another reason.
    Down,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    pub epoch: u8,
    pub attempt: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Host {
    pub state: HostState,
    /// The host has been maintained for the wave, or is now.
    pub is_maintained: bool,
    /// It was maintained by an owner that knew the lowered limit.
    pub is_limited: bool,
    /// Highest token of the commands that were answered.
    pub token: Token,
}

/// An attempt at a command, or the reply to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Message {
    /// The attempt has not been made, or its reply was delivered.
    #[default]
    Nothing,
    Command,
    Accepted,
    Busy,
}

/// What an owner knows about the command to a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Known {
    /// There is no command that can still take effect, and the host is not unavailable by one.
    #[default]
    Nothing,
    /// The command is stored, and has not been sent.
    Planned,
    /// The command was sent once; its outcome is unknown.
    Sent,
    /// The command was sent several times, or perhaps by the previous owner; its outcome is unknown.
    InDoubt,
    /// No attempt can take effect any more, but the host may be unavailable by one that has.
    Settled,
}

/// The limit under which an attempt was sent or, by a superseded owner, stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SentUnder {
    /// The limit that allows both hosts to be unavailable.
    #[default]
    TwoHosts,
    /// The lowered limit. The owner didn't know whether the other host is unavailable.
    OneHost,
    /// The lowered limit, and the owner counted the other host as unavailable for certain.
    OneHostTaken,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Owner {
    /// 0 if this node does not own the scheduling yet.
    pub epoch: u8,
    pub known: [Known; HOSTS],
    /// Number of commands that were sent to each host.
    pub attempts: [u8; HOSTS],
    pub messages: [[Message; ATTEMPTS_MAX]; HOSTS],
    /// Under which limit each attempt was sent.
    pub sent_under: [[SentUnder; ATTEMPTS_MAX]; HOSTS],
    /// Limit of the wave, as far as the owner knows.
    pub limit: u8,
    /// Host whose command was stored last.
    pub newest: u8,
    /// The last list entry of each host, until it is delivered.
    pub entries: [Option<HostState>; HOSTS],
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    /// Epoch in the owner's row.
    pub epoch: u8,
    /// Limit of the wave, which operators may lower from 2 to 1.
    pub limit: u8,
    /// Host whose command was stored last.
    pub newest: u8,
    /// What a new owner knows: nothing, or that the command is in doubt or settled.
    pub rows: [Known; HOSTS],
    pub hosts: [Host; HOSTS],
    pub owners: [Owner; OWNERS],
    pub had_outage: bool,
    pub has_violation: bool,
}

/// An event, as it is printed.
#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "The fields are only printed")]
pub struct Event {
    pub action: &'static str,
    pub owner: Option<usize>,
    pub host: Option<usize>,
    pub attempt: Option<usize>,
}

/// The hosts are interchangeable, so it is enough if the first one has an outage, once.
pub fn start_outage(state: &State) -> Option<State> {
    if state.had_outage || state.hosts[0].state != HostState::Up {
        return None;
    }
    let mut next = *state;
    next.had_outage = true;
    next.hosts[0].state = HostState::Down;
    Some(next)
}

pub fn return_to_service(state: &State, host: usize) -> Option<State> {
    if state.hosts[host].state == HostState::Up {
        return None;
    }
    let mut next = *state;
    next.hosts[host].state = HostState::Up;
    Some(next)
}

/// The platform takes a list for a node.
pub fn take_list(state: &State, owner: usize, host: usize) -> Option<State> {
    let mut next = *state;
    next.owners[owner].entries[host] = Some(state.hosts[host].state);
    Some(next)
}

/// Returns under which limit an owner sends a command to a host now.
pub fn sent_under(owner: &Owner, host: usize) -> SentUnder {
    match owner.limit {
        1 if owner.known[1 - host] == Known::Settled => SentUnder::OneHostTaken,
        1 => SentUnder::OneHost,
        _ => SentUnder::TwoHosts,
    }
}

pub fn lower_limit(state: &State) -> Option<State> {
    (state.limit > 1).then_some(State { limit: 1, ..*state })
}

pub fn learn_limit(state: &State, owner: usize) -> Option<State> {
    let node = state.owners[owner];
    if node.epoch == 0 || node.limit == state.limit {
        return None;
    }
    let mut next = *state;
    next.owners[owner].limit = state.limit;
    Some(next)
}

pub fn initial_state(limit: u8) -> State {
    // Beside a limit that is lowered, outages would allow for too many states.
    let mut state = State { epoch: 1, limit, had_outage: limit > 1, ..State::default() };
    state.owners[0].epoch = 1;
    state.owners[0].limit = limit;
    state
}
