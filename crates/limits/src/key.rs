//! Keys of limits and their text form.

use std::fmt;

use model::HostId;
use model::TeamRef;

/// Prefix of the ledger's rows.
pub const LEDGER_PREFIX: &str = "ledger/";

/// What a limit counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LimitKey {
    /// Running requests and tasks of a team.
    Running(TeamRef),
    /// Slots of a backend server.
    Slots(HostId),
    /// Connections to a backend server.
    Connections(HostId),
}

impl LimitKey {
    /// Reads the text form.
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

    /// Key of the limit's row in the table.
    pub fn row_key(&self) -> String {
        format!("{LEDGER_PREFIX}{self}")
    }

    /// Reads the key of a row.
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
