//! Divisions of quotas and maintenance waves among shards, as the owner of one shard knows them.
//!
//! Each division is a row that the owners of all shards follow and change. A change requires the
//! version of the row that it is based on, and the epoch row of the owner's shard. A change that
//! arrives late, after another change of the row or after a takeover of the shard, thus has no
//! effect.
//!
//! A portion that is being given away counts as given from the moment when the change is sent, and
//! one that was received counts only once its row was read. While it is unknown whether a change
//! was made, it is sent again as it was.

use std::time::Duration;

use scheduler::Moment;
use scheduler::Portion;
use scheduler::PortionRow;
use scheduler::ShardIndex;
use scheduler::SortedMap;
use scheduler::TeamName;
use scheduler::WaveId;
use serde::Serialize;

use crate::ports::Row;
use crate::ports::RowVersion;
use crate::ports::Table;
use crate::ports::Transaction;
use crate::ports::WriteOutcome;
use crate::rows;
use crate::rows::EPOCH_KEY;
use crate::rows::TEAM_KEY_PREFIX;
use crate::rows::WAVE_KEY_PREFIX;
use crate::rows::WaveDivisionRow;

/// Pause before a change that may have been made is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A change to send.
#[derive(Clone, Debug)]
pub struct Change {
    /// Key of the row.
    pub key: String,
    /// Transaction that changes the row.
    pub transaction: Transaction,
}

/// A row with its version; version 0 if it is not stored.
#[derive(Clone, Debug, Default)]
struct Versioned<T> {
    row: T,
    version: RowVersion,
}

/// A change whose result is not known.
#[derive(Clone, Debug)]
struct PendingChange {
    transaction: Transaction,
    /// Version of the row that the change is based on.
    base: RowVersion,
    /// Portion that the shard holds after the change; none if the row is of a wave.
    held_after: Option<Portion>,
    /// An attempt got no reply, so that the change may have been made.
    is_in_doubt: bool,
    /// When the change is sent again; none while a reply is outstanding.
    retry_at: Option<Moment>,
}

/// Divisions as the owner of one shard knows them.
#[derive(Clone, Debug, Default)]
pub struct Divisions {
    shard: ShardIndex,
    shard_count: usize,
    /// Version of the epoch row that the owner has written at its takeover.
    epoch_version: RowVersion,
    teams: SortedMap<TeamName, Versioned<PortionRow>>,
    waves: SortedMap<WaveId, Versioned<WaveDivisionRow>>,
    /// Changes whose results are not known, by key.
    pending: SortedMap<String, PendingChange>,
    /// Teams in whose rows some shard requests more.
    requested: SortedMap<TeamName, ()>,
    /// Another node has taken over the shard.
    is_superseded: bool,
}

impl Divisions {
    /// Creates the divisions of a shard before any row was read.
    pub fn new(shard: ShardIndex, shard_count: usize, epoch_version: RowVersion) -> Self {
        Self { shard, shard_count, epoch_version, ..Self::default() }
    }

    /// Applies rows as they were read; rows that can't be decoded are logged and left out.
    pub fn apply(&mut self, found: &[Row]) {
        for row in found {
            if let Some(team) = row.key.strip_prefix(TEAM_KEY_PREFIX) {
                if let Some(decoded) = rows::decode_or_log(row) {
                    self.set_team(team.into(), decoded, row.version);
                }
            } else if let Some(wave) = row.key.strip_prefix(WAVE_KEY_PREFIX)
                && let Ok(wave) = wave.parse()
                && let Some(decoded) = rows::decode_or_log(row)
            {
                let known = self.waves.entry_or(wave, Versioned::default);
                if row.version > known.version {
                    *known = Versioned { row: decoded, version: row.version };
                }
            }
            // The version that a pending change requires has gone, so that it has been made or
            // never will be.
            if self.pending.get(&row.key).is_some_and(|pending| pending.base < row.version) {
                self.pending.remove(&row.key);
            }
        }
    }

    /// Returns the portion of a team's quota that the shard may use now.
    pub fn portion(&self, team: &str) -> Portion {
        let initial = scheduler::portions::initial_portion(self.shard_count);
        let known = self.teams.get(team);
        let held = known.map_or(initial, |known| known.row.held(self.shard, self.shard_count));
        let pending = self.pending.get(rows::team_key(team).as_str());
        pending.and_then(|pending| pending.held_after).map_or(held, |after| held.min(after))
    }

    /// Returns the teams whose portions differ from the initial ones, or did.
    pub fn teams(&self) -> impl Iterator<Item = &TeamName> {
        self.teams.iter().map(|(team, _)| team)
    }

    /// Returns the teams with unserved requests of any shard.
    pub fn requested_teams(&self) -> Vec<TeamName> {
        self.requested.iter().map(|(team, ())| team.clone()).collect()
    }

    /// Returns the shards that are done with a wave, in the order in which they were done.
    pub fn shards_done(&self, wave: WaveId) -> &[ShardIndex] {
        self.waves.get(&wave).map_or(&[], |known| &known.row.done)
    }

    /// Returns the next change of a team's portions, if there is one. The shard uses `in_use` of
    /// the quota and needs `needed` in total; 0 if no unit waits for the quota.
    pub fn plan_team(
        &mut self,
        team: &TeamName,
        needed: Portion,
        in_use: Portion,
        now_ms: u64,
    ) -> Option<Change> {
        let key = rows::team_key(team);
        if self.is_superseded || self.pending.contains(&key) {
            return None;
        }
        let (shard, shard_count) = (self.shard, self.shard_count);
        let known = self.teams.get(team).cloned().unwrap_or_default();
        let held = known.row.held(shard, shard_count);
        let gift = match known.row.has_request_of_other(shard) {
            true => known.row.with_gifts(shard, in_use, shard_count),
            false => None,
        };
        let has_request = known.row.request(shard).is_some();
        let changed = match gift {
            Some(row) => row,
            None if needed > held && !has_request => {
                known.row.with_need(shard, needed, now_ms, shard_count)
            }
            None if needed <= held && has_request => {
                known.row.with_need(shard, held, now_ms, shard_count)
            }
            None => return None,
        };
        let held_after = Some(changed.held(shard, shard_count));
        Some(self.start_change(key, &changed, known.version, held_after))
    }

    /// Returns the change that records that the shard is done with a wave; none if it is recorded
    /// or being recorded.
    pub fn plan_wave_done(&mut self, wave: WaveId) -> Option<Change> {
        let key = rows::wave_key(wave);
        let known = self.waves.get(&wave).cloned().unwrap_or_default();
        let is_known = known.row.done.contains(&self.shard);
        if is_known || self.is_superseded || self.pending.contains(&key) {
            return None;
        }
        let mut row = known.row;
        row.done.push(self.shard);
        Some(self.start_change(key, &row, known.version, None))
    }

    /// Returns the changes that are due to be sent again.
    pub fn take_due(&mut self, now: Moment) -> Vec<Change> {
        let mut due = Vec::new();
        for (key, pending) in self.pending.iter_mut() {
            if pending.retry_at.is_some_and(|at| now >= at) {
                pending.retry_at = None;
                due.push(Change { key: key.clone(), transaction: pending.transaction.clone() });
            }
        }
        due
    }

    /// Handles the result of a change.
    pub fn handle_outcome(&mut self, key: &str, outcome: WriteOutcome, now: Moment) {
        match outcome {
            WriteOutcome::Committed(version) => {
                if let Some(pending) = self.pending.remove(key) {
                    let puts = pending.transaction.puts.into_iter();
                    let written: Vec<Row> =
                        puts.map(|(_, key, value)| Row { key, value, version }).collect();
                    self.apply(&written);
                }
            }
            WriteOutcome::Conflict(found) => {
                let epoch = found.iter().find(|row| row.key == EPOCH_KEY);
                if epoch.is_none_or(|row| row.version != self.epoch_version) {
                    self.is_superseded = true;
                    return;
                }
                self.apply(&found);
            }
            WriteOutcome::Refused(_) | WriteOutcome::Unknown(_) => {
                let is_unknown = matches!(outcome, WriteOutcome::Unknown(_));
                let Some(pending) = self.pending.get_mut(key) else {
                    return;
                };
                pending.is_in_doubt |= is_unknown;
                pending.retry_at = Some(now + RETRY_PAUSE);
                if !pending.is_in_doubt {
                    self.pending.remove(key);
                }
            }
        }
    }

    fn set_team(&mut self, team: TeamName, row: PortionRow, version: RowVersion) {
        let known = self.teams.entry_or(team.clone(), Versioned::default);
        if version <= known.version {
            return;
        }
        match row.shards.iter().any(|entry| entry.request.is_some()) {
            true => self.requested.insert(team, ()),
            false => self.requested.remove(&team),
        };
        *known = Versioned { row, version };
    }

    fn start_change(
        &mut self,
        key: String,
        row: &impl Serialize,
        base: RowVersion,
        held_after: Option<Portion>,
    ) -> Change {
        let transaction = Transaction {
            shard: self.shard,
            preconditions: vec![
                (Table::Owner, EPOCH_KEY.to_owned(), self.epoch_version),
                (Table::Divisions, key.clone(), base),
            ],
            puts: vec![(Table::Divisions, key.clone(), rows::encode(row))],
            removals: Vec::new(),
        };
        let pending = PendingChange {
            transaction: transaction.clone(),
            base,
            held_after,
            is_in_doubt: false,
            retry_at: None,
        };
        self.pending.insert(key.clone(), pending);
        Change { key, transaction }
    }
}
