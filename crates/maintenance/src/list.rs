//! The platform's host list, which lags.
//!
//! Absence is believed at once: a host that the list knew and lost, or shows as leaving, counts as
//! unavailable. Presence is believed only with evidence: an entry seen after the event that it should
//! disprove, with another boot number where the event was a boot. Entries are matched by host id and
//! address: another host at a known address says nothing about the host that was there.

use std::time::Duration;
use std::time::SystemTime;

use model::Config;
use model::HostId;
use model::HostRow;
use model::HostState;
use services::FleetHost;
use services::FleetHostState;

/// What the list says about a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The list has never known the host, or there is no list.
    Unlisted,
    /// Listed for the first time, with this boot number.
    FirstSeen {
        /// Number of the boot.
        boot_count: u64,
    },
    /// The list lost it, or shows it as leaving.
    Absent,
    /// Listed as live, but not seen since the host's last step.
    Stale,
    /// Seen since the host's last step, still in the boot that was known.
    Present {
        /// Number of the boot.
        boot_count: u64,
    },
    /// Seen in a later boot than the known one.
    Restarted {
        /// Number of the boot.
        boot_count: u64,
    },
}

/// The host list as last read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// Entries, sorted by id.
    entries: Vec<FleetHost>,
}

impl HostList {
    /// List of `entries` in any order.
    pub fn new(mut entries: Vec<FleetHost>) -> Self {
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        Self { entries }
    }

    /// What the list says about a host.
    pub fn presence(&self, row: &HostRow) -> Presence {
        if self.entries.is_empty() {
            // An empty list is a broken one sooner than an empty fleet.
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

    /// Hosts of `config` that the list has lost, sorted.
    pub fn absent(&self, config: &Config) -> Vec<HostId> {
        let lost = config.hosts.iter().filter(|row| self.presence(row) == Presence::Absent);
        lost.map(|row| row.id().clone()).collect()
    }

    fn entry(&self, row: &HostRow) -> Option<&FleetHost> {
        let index = self.entries.binary_search_by(|entry| entry.id.cmp(row.id())).ok()?;
        Some(&self.entries[index]).filter(|entry| entry.address == row.spec.address)
    }

    /// A leaving host is absent, but for one that we took out of service later than that was seen.
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
