//! The platform's host list, which lags behind the real state of the hosts.
//!
//! Absence counts at once: a host that the list has known and lost, or that it shows as leaving, is
//! unavailable. Presence counts only with evidence: the entry must have been seen after the event
//! that it is to disprove, and must have another boot count if that event was a boot. Entries are
//! matched by host id and address, because another host with a known address says nothing about the
//! host that had it before.

use std::time::Duration;
use std::time::SystemTime;

use model::Config;
use model::HostId;
use model::HostRow;
use model::HostState;
use services::FleetHost;
use services::FleetHostState;

/// What the list shows about a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The list has never known the host, or there is no list.
    Unlisted,
    /// The list shows the host, and the host's row has no boot count yet.
    FirstSeen {
        /// Boot count of the host.
        boot_count: u64,
    },
    /// The list has lost the host, or shows it as leaving.
    Absent,
    /// The list shows the host, but has not seen it since its last transition.
    Stale,
    /// The host was seen since its last transition, in the boot that its row names.
    Present {
        /// Boot count of the host.
        boot_count: u64,
    },
    /// The host was seen since its last transition, in another boot than its row names.
    Restarted {
        /// Boot count of the host.
        boot_count: u64,
    },
}

/// The host list as it was last read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// Entries, sorted by id.
    entries: Vec<FleetHost>,
}

impl HostList {
    /// Creates a list from `entries` in any order.
    pub fn new(mut entries: Vec<FleetHost>) -> Self {
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        Self { entries }
    }

    /// Returns what the list shows about a host.
    pub fn presence(&self, row: &HostRow) -> Presence {
        if self.entries.is_empty() {
            // An empty list is more likely to be a fault of the platform than an empty fleet.
            return Presence::Unlisted;
        }
        let known = row.boot_count;
        let entry = self.entry(row);
        let Some(entry) = entry else {
            return if known.is_some() { Presence::Absent } else { Presence::Unlisted };
        };
        if entry.state == FleetHostState::Leaving {
            return self.leaving(row, entry);
        }
        let boot_count = entry.boot_count;
        match known {
            None => Presence::FirstSeen { boot_count },
            Some(known) if known != boot_count && is_seen_since(row, entry) => {
                Presence::Restarted { boot_count }
            }
            Some(_) if is_seen_since(row, entry) => Presence::Present { boot_count },
            Some(_) => Presence::Stale,
        }
    }

    /// Returns the hosts of `config` that are absent from the list, sorted.
    pub fn absent(&self, config: &Config) -> Vec<HostId> {
        let lost = config.hosts.iter().filter(|row| self.presence(row) == Presence::Absent);
        lost.map(|row| row.id().clone()).collect()
    }

    fn entry(&self, row: &HostRow) -> Option<&FleetHost> {
        let index = self.entries.binary_search_by(|entry| entry.id.cmp(row.id())).ok()?;
        Some(&self.entries[index]).filter(|entry| entry.address == row.spec.address)
    }

    /// Returns the presence of a host that the list shows as leaving. The host is absent, unless it
    /// is returning and the entry was seen before it started to return.
    fn leaving(&self, row: &HostRow, entry: &FleetHost) -> Presence {
        if row.state == HostState::Returning && !is_seen_since(row, entry) {
            return Presence::Stale;
        }
        Presence::Absent
    }
}

fn is_seen_since(row: &HostRow, entry: &FleetHost) -> bool {
    let since = SystemTime::UNIX_EPOCH + Duration::from_millis(row.since_ms);
    entry.seen_at >= since
}
