//! Divides quotas and maintenance waves with the owners of the other shards.

use scheduler::TeamName;
use scheduler::Wave;
use scheduler::WaveId;
use scheduler::WaveState;

use super::Owner;
use super::event::Event;
use crate::clock;
use crate::divisions::Change;
use crate::ports::Platform;
use crate::ports::Row;
use crate::ports::WriteOutcome;
use crate::rows::DivisionKey;
use crate::sharding::wave_slots;

impl<P: Platform> Owner<P> {
    /// Requests larger portions of quotas for waiting units, and gives portions that the shard
    /// doesn't use to the shards that request them.
    pub(super) fn divide_quotas(&mut self, now: scheduler::Moment) {
        if self.is_only_shard() {
            return;
        }
        let mut teams = self.divisions.requested_teams();
        teams.extend(self.scheduler.quota_needs().map(|(team, _)| team.clone()));
        teams.sort();
        teams.dedup();
        let unix_now_ms = clock::unix_now_ms();
        for team in teams {
            let needs = self.scheduler.quota_needs().find(|(needy, _)| **needy == team);
            let needed = needs.map_or(0, |(_, portion)| portion);
            let in_use = self.scheduler.quota_portion_in_use(&team);
            if let Some(change) = self.divisions.plan_team(&team, needed, in_use, unix_now_ms, now)
            {
                self.apply_portion(&team);
                self.send_change(change);
            }
        }
        for change in self.divisions.take_due(now) {
            self.send_change(change);
        }
    }

    /// Applies rows that owners of any shard have changed.
    pub(super) fn handle_divisions(&mut self, rows: &[Row]) {
        self.divisions.apply(rows, clock::now());
        self.apply_divisions(rows.iter().map(|row| row.key.as_str()));
    }

    /// Handles the result of a change to a division.
    pub(super) fn handle_division_written(&mut self, key: &str, outcome: WriteOutcome) {
        if let WriteOutcome::Refused(why)
        | WriteOutcome::Rejected(why)
        | WriteOutcome::Unknown(why) = &outcome
        {
            telemetry::log::line("division-not-written")
                .field("shard", self.shared.shard)
                .field("key", key)
                .text("why", why)
                .write();
        }
        self.divisions.handle_outcome(key, outcome, clock::now());
        self.apply_divisions([key].into_iter());
    }

    /// Passes the shard's part of each wave to the scheduler.
    pub(super) fn apply_waves(&mut self) {
        let waves = self.shared.node.operator_state.borrow().waves.clone();
        let waves = waves.values().map(|wave| self.part_of_wave(wave)).collect();
        self.scheduler.set_waves(waves, clock::now());
    }

    /// Handles the state of the shard's part of a wave: once all shards are done with it, the first
    /// one that has hosts of the wave reports it as completed.
    pub(super) fn handle_wave_state(&mut self, wave: WaveId, state: WaveState) {
        if self.is_only_shard() {
            return self.report_wave(wave, state);
        }
        let has_none_unavailable = self.scheduler.unavailable_hosts(wave) == 0;
        if state == WaveState::Completed
            && has_none_unavailable
            && let Some(change) = self.divisions.plan_wave_done(wave)
        {
            self.send_change(change);
        }
        let hosts = self.shared.node.operator_state.borrow().waves.get(&wave).map(|wave| {
            let layout = self.shared.layout();
            layout.hosts_by_shard(&wave.hosts)
        });
        let with_hosts: Vec<usize> = match &hosts {
            Some(hosts) => (0..hosts.len()).filter(|shard| hosts[*shard] > 0).collect(),
            None => return,
        };
        if with_hosts.first() != Some(&usize::from(self.shared.shard)) {
            return;
        }
        let done = self.divisions.shards_done(wave);
        let is_done = |shard: &usize| done.iter().any(|done| usize::from(*done) == *shard);
        let state = match with_hosts.iter().all(is_done) {
            true => WaveState::Completed,
            false => WaveState::Running,
        };
        self.report_wave(wave, state);
    }

    pub(super) fn is_only_shard(&self) -> bool {
        self.shared.layout().shard_count <= 1
    }

    /// Applies the rows with these keys to the scheduler.
    fn apply_divisions<'a>(&mut self, keys: impl Iterator<Item = &'a str>) {
        let mut has_wave = false;
        for key in keys {
            match DivisionKey::parse(key) {
                Some((_, DivisionKey::Team(team))) => self.apply_portion(&team),
                Some((_, DivisionKey::Wave(_))) => has_wave = true,
                Some((_, DivisionKey::Epoch(_))) | None => {}
            }
        }
        if has_wave {
            self.apply_waves();
        }
    }

    fn apply_portion(&mut self, team: &TeamName) {
        let portion = self.divisions.portion(team);
        self.scheduler.set_quota_portion(team, portion);
    }

    /// Returns the part of a wave that the shard carries out.
    fn part_of_wave(&self, wave: &Wave) -> Wave {
        if self.is_only_shard() {
            return wave.clone();
        }
        let layout = self.shared.layout();
        let counts = layout.hosts_by_shard(&wave.hosts);
        let done = self.divisions.shards_done(wave.id);
        let slots = wave_slots(&counts, wave.unavailable_hosts_max, done);
        let hosts = wave.hosts.iter().filter(|host| self.shared.has_host(host)).cloned();
        Wave {
            hosts: hosts.collect(),
            unavailable_hosts_max: slots[usize::from(self.shared.shard)],
            ..wave.clone()
        }
    }

    pub(super) fn send_change(&mut self, change: Change) {
        self.stats.record_division_change();
        let shared = self.shared.clone();
        let Change { key, transaction } = change;
        self.spawn(async move {
            let outcome = shared.node.platform.write(transaction).await;
            Event::DivisionWritten { key, outcome }
        });
    }
}
