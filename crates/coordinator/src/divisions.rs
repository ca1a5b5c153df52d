//! Divisions of quotas and maintenance waves among shards, as the owner of one shard knows them.
//!
//! Each division is a row that the owners of all shards follow and change. A change requires the
//! version of the row that it is based on, and that of the row with the epoch of the owner's shard.
//! A change that arrives late, after another change of the row or after a takeover of the shard,
//! thus has no effect. A new owner writes its epoch in each group of rows before it reads them.
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
use crate::rows::DIVISION_GROUPS;
use crate::rows::DivisionKey;
use crate::rows::WaveDivisionRow;

/// Time between the gifts of two shards that hold portions of a quota that is requested. The first
/// one often gives enough, and changes at the same time would conflict.
const GIFT_STAGGER: Duration = Duration::from_millis(8);
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
    /// Epoch of the owner.
    epoch: u64,
    /// Version of the shard's epoch row in each group, by group.
    epoch_versions: Vec<RowVersion>,
    /// Epoch in the shard's epoch row, by group.
    epochs: SortedMap<u64, u64>,
    teams: SortedMap<TeamName, Versioned<PortionRow>>,
    waves: SortedMap<WaveId, Versioned<WaveDivisionRow>>,
    /// Changes whose results are not known, by key.
    pending: SortedMap<String, PendingChange>,
    /// Teams in whose rows some shard requests more, and since when the row is known.
    requested: SortedMap<TeamName, Moment>,
    /// Another node has taken over the shard.
    is_superseded: bool,
}

impl Divisions {
    /// Creates the divisions of a shard before any row was read.
    pub fn new(shard: ShardIndex, shard_count: usize, epoch: u64) -> Self {
        let epoch_versions = vec![0; DIVISION_GROUPS as usize];
        Self { shard, shard_count, epoch, epoch_versions, ..Self::default() }
    }

    /// Returns the transactions that write the owner's epoch in the groups that have an older one.
    /// The rows must have been applied before, and have to be read again after these writes.
    pub fn epoch_writes(&self) -> Vec<Transaction> {
        let key = DivisionKey::Epoch(self.shard);
        let groups = (0..DIVISION_GROUPS).filter(|group| !self.has_epoch_in(*group));
        let write = |group: u64| Transaction {
            shard: self.shard,
            preconditions: vec![(
                Table::Divisions,
                key.in_group(group),
                self.epoch_versions[group as usize],
            )],
            puts: vec![(Table::Divisions, key.in_group(group), rows::encode(&self.epoch))],
            removals: Vec::new(),
        };
        groups.map(write).collect()
    }

    /// Returns whether another node has taken over the shard.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Applies rows as they were read; rows that can't be decoded are logged and left out.
    pub fn apply(&mut self, found: &[Row], now: Moment) {
        for row in found {
            match DivisionKey::parse(&row.key) {
                Some((_, DivisionKey::Team(team))) => {
                    if let Some(decoded) = rows::decode_or_log(row) {
                        self.set_team(team, decoded, row.version, now);
                    }
                }
                Some((_, DivisionKey::Wave(wave))) => {
                    let known = self.waves.entry_or(wave, Versioned::default);
                    if row.version > known.version
                        && let Some(decoded) = rows::decode_or_log(row)
                    {
                        *known = Versioned { row: decoded, version: row.version };
                    }
                }
                Some((group, DivisionKey::Epoch(shard))) if shard == self.shard => {
                    self.set_epoch(group, row);
                }
                Some((_, DivisionKey::Epoch(_))) => {}
                None => {
                    let line = telemetry::log::line("row-unreadable");
                    line.text("why", format!("unknown key {}", row.key)).write();
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
        let usable = |row: &PortionRow| row.usable(self.shard, self.shard_count);
        let held = known.map_or(initial, |known| usable(&known.row));
        let pending = self.pending.get(&team_key(&team.into()));
        pending.and_then(|pending| pending.held_after).map_or(held, |after| held.min(after))
    }

    /// Returns the teams of whose quotas some shard has held a portion.
    pub fn teams(&self) -> impl Iterator<Item = &TeamName> {
        self.teams.iter().map(|(team, _)| team)
    }

    /// Returns the teams with unserved requests of any shard.
    pub fn requested_teams(&self) -> Vec<TeamName> {
        self.requested.iter().map(|(team, _)| team.clone()).collect()
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
        now: Moment,
    ) -> Option<Change> {
        let key = team_key(team);
        if self.is_superseded || self.pending.contains(&key) {
            return None;
        }
        let (shard, shard_count) = (self.shard, self.shard_count);
        let known = self.teams.get(team).cloned().unwrap_or_default();
        let held = known.row.held(shard, shard_count);
        let gift = match self.is_gift_due(team, &known.row, now) {
            true => known.row.with_gifts(shard, in_use),
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
        let key = DivisionKey::Wave(wave);
        let key = key.in_group(key.group().unwrap_or_default());
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
                    self.apply(&written, now);
                }
            }
            WriteOutcome::Conflict(found) => self.apply(&found, now),
            WriteOutcome::Refused(_) | WriteOutcome::Rejected(_) | WriteOutcome::Unknown(_) => {
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

    /// Returns whether the shard may give what it doesn't use to those that request it: the holders
    /// of portions do so one after another, beginning after the shard that has requested first.
    fn is_gift_due(&self, team: &TeamName, row: &PortionRow, now: Moment) -> bool {
        let Some(requester) = row.oldest_request_of_other(self.shard) else {
            return false;
        };
        let is_before = |holder: &ShardIndex| {
            let distance = |shard: ShardIndex| {
                (usize::from(shard) + self.shard_count - usize::from(requester)) % self.shard_count
            };
            *holder != requester && distance(*holder) < distance(self.shard)
        };
        let turn = row.holders().filter(is_before).count();
        let since = self.requested.get(team).copied().unwrap_or_default();
        now.saturating_sub(since) >= GIFT_STAGGER * turn as u32
    }

    fn has_epoch_in(&self, group: u64) -> bool {
        self.epochs.get(&group) == Some(&self.epoch)
    }

    fn set_epoch(&mut self, group: u64, row: &Row) {
        let Some(epoch) = rows::decode_or_log::<u64>(row) else {
            return;
        };
        let Some(version) = self.epoch_versions.get_mut(group as usize) else {
            return;
        };
        *version = row.version.max(*version);
        self.epochs.insert(group, epoch);
        self.is_superseded |= epoch > self.epoch;
    }

    fn set_team(&mut self, team: TeamName, row: PortionRow, version: RowVersion, now: Moment) {
        let known = self.teams.entry_or(team.clone(), Versioned::default);
        if version <= known.version {
            return;
        }
        match row.shards.iter().any(|entry| entry.request.is_some()) {
            true => self.requested.insert(team, now),
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
        let group = DivisionKey::parse(&key).map_or(0, |(group, _)| group);
        let epoch_key = DivisionKey::Epoch(self.shard).in_group(group);
        let epoch_version = self.epoch_versions[group as usize];
        let transaction = Transaction {
            shard: self.shard,
            preconditions: vec![
                (Table::Divisions, epoch_key, epoch_version),
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

/// Returns the key of the row with the portions of a team's quota.
fn team_key(team: &TeamName) -> String {
    let key = DivisionKey::Team(team.clone());
    key.in_group(key.group().unwrap_or_default())
}
