//! State of the model of commands to hosts: what the platform, the store and the owners know.

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
    /// A command whose outcome was stored is stored again before it is repeated.
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

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Owner {
    /// 0 if this node does not own the scheduling yet.
    pub epoch: u8,
    pub known: [Known; HOSTS],
    /// Number of commands that were sent to each host.
    pub attempts: [u8; HOSTS],
    pub messages: [[Message; ATTEMPTS_MAX]; HOSTS],
    /// The last list entry of each host, until it is delivered.
    pub entries: [Option<HostState>; HOSTS],
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    /// Epoch in the owner's row.
    pub epoch: u8,
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
