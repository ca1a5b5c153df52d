//! Keys that identify limits, and their text form.

use std::fmt;

use model::HostId;
use model::TeamRef;

/// Key prefix of the ledger's rows in the platform's table.
pub const LEDGER_PREFIX: &str = "ledger/";

/// The resource that a limit counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LimitKey {
    /// Requests and tasks that a team runs at the same time, over the whole fleet.
    Running(TeamRef),
    /// Requests that a backend server runs at the same time.
    Slots(HostId),
    /// Connections that are open to a backend server.
    Connections(HostId),
}

impl LimitKey {
    /// Parses the text form that `Display` writes, for instance `running/customer/team`.
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, name) = text.split_once('/')?;
        match kind {
            "running" => {
                let (customer, team) = name.split_once('/')?;
                Some(Self::Running(TeamRef::new(customer, team)))
            }
            "slots" => Some(Self::Slots(name.into())),
            "connections" => Some(Self::Connections(name.into())),
            _ => None,
        }
    }

    /// Returns the key of the limit's row in the platform's table.
    pub fn row_key(&self) -> String {
        format!("{LEDGER_PREFIX}{self}")
    }

    /// Parses the key of a ledger row; `None` for a row of another kind.
    pub fn from_row_key(row_key: &str) -> Option<Self> {
        Self::parse(row_key.strip_prefix(LEDGER_PREFIX)?)
    }
}

impl fmt::Display for LimitKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running(team) => write!(f, "running/{team}"),
            Self::Slots(host) => write!(f, "slots/{host}"),
            Self::Connections(host) => write!(f, "connections/{host}"),
        }
    }
}
