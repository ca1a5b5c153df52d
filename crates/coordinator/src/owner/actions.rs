//! Carries out the scheduler's decisions and passes the results of calls back to it.

use std::sync::atomic::Ordering;
use std::time::Duration;

use scheduler::Action;
use scheduler::HostName;
use scheduler::HostReply;
use scheduler::Moment;
use scheduler::StartCommand;
use scheduler::StartReply;
use scheduler::WaveId;
use scheduler::WaveState;

use super::Owner;
use super::VALIDITY;
use super::event::Event;
use super::event::HostCommand;
use crate::clock;
use crate::metrics;
use crate::ports::FencingToken;
use crate::ports::Platform;
use crate::ports::WriteOutcome;

/// Maximum number of commands that one owner sends to hosts, so that the tokens of the next owner
/// are all higher.
const HOST_COMMANDS_PER_EPOCH: u64 = 1 << 20;
/// Time between two log lines about each pool.
const POOLS_LOG_PERIOD: Duration = Duration::from_secs(1);
/// Time between two requests for the list of hosts.
const HOSTS_PERIOD: Duration = Duration::from_millis(1_000);

impl<P: Platform> Owner<P> {
    /// Handles the result of a call.
    pub(super) fn handle_event(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Reported { worker, sent, result } => {
                self.handle_report(worker, sent, result);
            }
            Event::Started { worker, unit, run, token, reply } => {
                if !matches!(reply, StartReply::Started { .. }) {
                    self.log_not_started(&worker, &unit, run, reply);
                }
                self.count_start(&unit.job, reply, now);
                self.scheduler.handle_start_reply(&worker, &unit, run, token, reply, now);
            }
            Event::Stopped { worker, unit, run, token, is_answered } => {
                self.log_stopped(&worker, &unit, run, is_answered);
                self.scheduler.handle_stop_reply(&worker, &unit, run, token, is_answered, now);
            }
            Event::SpeedLimited { unit, run, percent, is_answered } => {
                self.scheduler.handle_speed_limit_reply(&unit, run, percent, is_answered);
            }
            Event::Advised { unit, candidates, requested_at, result } => match result {
                Ok(good) => self.scheduler.handle_advice(&unit, &candidates, &good, requested_at),
                Err(error) => {
                    telemetry::log::line("advice-failed").text("why", error).write();
                    self.scheduler.handle_advice_failure();
                }
            },
            Event::TransactionDone { sequence, sent_at, outcome } => {
                self.handle_write_outcome(sequence, sent_at, outcome);
            }
            Event::InboxRemoved { keys, outcome } => self.handle_inbox_removed(keys, outcome),
            Event::RegistryChanged { changes } => {
                self.poll_schedule_reviewed_at = Moment::ZERO;
                // A worker in both lists has registered again after its removal.
                for id in changes.removed {
                    self.scheduler.unregister_worker(&id);
                }
                if changes.is_snapshot {
                    self.scheduler.set_workers(changes.changed, Duration::ZERO, now);
                } else {
                    for registration in changes.changed {
                        self.scheduler.update_worker(registration, Duration::ZERO, now);
                    }
                }
            }
            Event::InboxRead { rows } => {
                self.handle_inbox(rows);
            }
            Event::DivisionsChanged { rows } => self.handle_divisions(&rows),
            Event::DivisionWritten { key, outcome } => self.handle_division_written(&key, outcome),
            Event::HostsListed { requested_at, result } => {
                self.is_listing_hosts = false;
                match result {
                    Ok(mut hosts) => {
                        hosts.retain(|host| self.shared.has_host(&host.name));
                        self.scheduler.set_hosts(hosts, requested_at, now);
                    }
                    Err(error) => {
                        telemetry::log::line("hosts-not-listed").text("why", error).write();
                    }
                }
            }
            Event::HostCommanded { host, command, token, sent_at, reply } => {
                if reply == HostReply::Unknown {
                    self.shared.node.telemetry.count(metrics::HOST_COMMANDS_UNKNOWN);
                }
                telemetry::log::line("host-ordered")
                    .field("host", &*host)
                    .text("order", format!("{command:?}"))
                    .field("token", token)
                    .field("took_ms", now.saturating_sub(sent_at).as_millis() as u64)
                    .text("reply", format!("{reply:?}"))
                    .write();
                self.scheduler.handle_host_reply(&host, reply, now);
                self.hosts_listed_at = Moment::ZERO;
            }
            Event::WaveReported { wave, state, outcome } => match outcome {
                WriteOutcome::Committed(_) => {}
                _ => {
                    if self.reported_waves.get(&wave) == Some(&state) {
                        self.reported_waves.remove(&wave);
                    }
                }
            },
        }
    }

    /// Carries out an action.
    pub(super) fn execute(&mut self, action: Action) {
        let shared = self.shared.clone();
        match action {
            Action::Start(command) => self.start_run(command),
            Action::Stop { worker, address, token, unit, run } => self.spawn(async move {
                let is_answered =
                    shared.node.platform.stop_run(&worker, address, &unit, run, token).await;
                Event::Stopped { worker, unit, run, token, is_answered }
            }),
            Action::LimitSpeed { worker, address, token, unit, run, percent } => {
                self.spawn(async move {
                    let platform = &shared.node.platform;
                    let is_answered =
                        platform.limit_speed(&worker, address, &unit, run, percent, token).await;
                    Event::SpeedLimited { unit, run, percent, is_answered }
                })
            }
            Action::RequestAdvice { unit, workers } => self.spawn(async move {
                let requested_at = clock::now();
                let result = shared.node.platform.request_advice(&unit, &workers).await;
                Event::Advised { unit, candidates: workers, requested_at, result }
            }),
            Action::MoveHost { host, pool } => self.command_host(host, HostCommand::Move(pool)),
            Action::MaintainHost { host, wave } => {
                self.command_host(host, HostCommand::Maintain(wave));
            }
            Action::WaveStatus { wave, state } => self.handle_wave_state(wave, state),
            Action::LogLostRuns { worker, runs } => self.log_lost_runs(&worker, &runs),
            Action::LogEndedRuns { worker, runs } => self.log_ended_runs(&worker, &runs),
            Action::LogRestartedUnit { worker, unit, run, ended, since_end } => {
                let since_end_ms = since_end.as_millis() as u64;
                self.log_restarted_unit(&worker, &unit, run, &ended, since_end_ms);
            }
            Action::LogUnexpectedRun { worker, unit, run, assigned } => {
                self.log_unexpected_run(&worker, &unit, run, assigned.as_ref());
            }
            Action::LogEvacuation { zone, state, runs } => self.log_evacuation(&zone, state, runs),
            Action::LogDecision { what, subject, why } => telemetry::log::line("decision")
                .field("what", what)
                .field("subject", subject)
                .field("why", why)
                .field("epoch", self.epoch)
                .write(),
        }
    }

    /// Requests the list of hosts if it is due.
    pub(super) fn list_hosts(&mut self, now: Moment) {
        let is_due = now.saturating_sub(self.hosts_listed_at) >= HOSTS_PERIOD;
        if self.is_listing_hosts || !is_due {
            return;
        }
        self.is_listing_hosts = true;
        self.hosts_listed_at = now;
        let shared = self.shared.clone();
        self.spawn(async move {
            let requested_at = clock::now();
            let result = shared.node.platform.list_hosts().await;
            Event::HostsListed { requested_at, result }
        });
    }

    /// Logs the load of each pool once per period, and updates the gauge of live jobs.
    pub(super) fn log_pools(&mut self, now: Moment) {
        if now.saturating_sub(self.pools_logged_at) < POOLS_LOG_PERIOD {
            return;
        }
        self.pools_logged_at = now;
        self.shared.live_jobs.store(self.scheduler.live_jobs(), Ordering::Relaxed);
        self.shared.node.report_live_jobs();
        for (pool, load) in self.scheduler.pool_loads(now).iter() {
            telemetry::log::line("pool-load")
                .field("shard", self.shared.shard)
                .field("pool", &**pool)
                .field("hosts", load.hosts)
                .field("hosts_needed", load.hosts_needed())
                .field("hosts_kept", load.baseline_hosts)
                .field("absent_hosts", load.absent_hosts)
                .field("lasting_hosts", load.long_running_hosts)
                .field("spread_hosts", load.spread_hosts_min)
                .field("coming_hosts", load.incoming_hosts)
                .field("cold_workers", load.cold_workers)
                .field("lost_hosts", load.unusable_hosts)
                .field("is_starved", load.is_starved)
                .field("running_cpu_millis", load.running.cpu_millis)
                .field("waiting_cpu_millis", load.waiting.cpu_millis)
                .field("rate_cpu_millis", load.arrival_cpu_millis)
                .write();
        }
    }

    fn count_start(&self, job: &str, reply: StartReply, now: Moment) {
        let telemetry = &self.shared.node.telemetry;
        if !matches!(reply, StartReply::Started { .. }) {
            telemetry.count(metrics::RUNS_NOT_STARTED);
            if reply == StartReply::Withheld {
                telemetry.count(metrics::STARTS_WITHHELD);
            }
            return;
        }
        telemetry.count(metrics::RUNS_STARTED);
        if let Some(waited) = self.scheduler.queued_time(job, now) {
            telemetry.time(metrics::JOBS_WAIT, waited);
        }
    }

    fn start_run(&mut self, command: StartCommand) {
        self.stats.record_start();
        let shared = self.shared.clone();
        let epoch = self.epoch;
        let worker = self.scheduler.worker(&command.worker);
        let zone = worker.map(|worker| worker.registration.zone.clone()).unwrap_or_default();
        self.spawn(async move {
            let sent_at = clock::now();
            // The process may have been suspended, or have learned of an evacuation, since the
            // decision. A worker that a successor has not reached does not refuse the token.
            let may_start = shared.may_act(epoch, VALIDITY, sent_at)
                && shared.node.may_start_in(&zone, sent_at);
            let reply = match may_start {
                true => shared.node.platform.start_run(&command).await,
                false => StartReply::Withheld,
            };
            let took = clock::now().saturating_sub(sent_at);
            shared.node.telemetry.time(metrics::RUNS_START, took);
            let StartCommand { worker, unit, run, token, .. } = command;
            Event::Started { worker, unit, run, token, reply }
        });
    }

    fn command_host(&mut self, host: HostName, command: HostCommand) {
        let shared = self.shared.clone();
        // Each command has its own token, so that one that arrives after a newer one is refused.
        self.host_commands += 1;
        let token = self.epoch * HOST_COMMANDS_PER_EPOCH + self.host_commands;
        self.log_host_command(&host, &command, token);
        let epoch = self.epoch;
        self.spawn(async move {
            let sent_at = clock::now();
            let holder = &shared.node.settings.name;
            let platform = &shared.node.platform;
            let reply = match &command {
                // The process may have been suspended since the command was stored. Hosts compare
                // tokens each for itself, so they don't refuse it if another node has taken over.
                _ if !shared.may_act(epoch, VALIDITY, sent_at) => HostReply::Refused,
                HostCommand::Move(pool) => platform.move_host(&host, pool, holder, token).await,
                HostCommand::Maintain(wave) => {
                    platform.maintain_host(&host, *wave, holder, token).await
                }
            };
            Event::HostCommanded { host, command, token, sent_at, reply }
        });
    }

    /// Logs a command to a host that is about to be sent, for maintenance with the hosts that count
    /// against the limit of the wave, this one included.
    fn log_host_command(&self, host: &HostName, command: &HostCommand, token: FencingToken) {
        let mut line = telemetry::log::line("host-order-sent")
            .field("shard", self.shared.shard)
            .field("epoch", self.epoch)
            .field("host", &**host)
            .text("order", format!("{command:?}"))
            .field("token", token);
        if let HostCommand::Maintain(wave) = command {
            line = line
                .field("unavailable_hosts", self.scheduler.unavailable_hosts(*wave))
                .field("unavailable_hosts_max", self.scheduler.unavailable_hosts_max(*wave));
        }
        line.write();
    }

    pub(super) fn report_wave(&mut self, wave: WaveId, state: WaveState) {
        if self.reported_waves.get(&wave) == Some(&state) {
            return;
        }
        self.reported_waves.insert(wave, state);
        let shared = self.shared.clone();
        self.spawn(async move {
            let outcome = shared.node.platform.report_wave(wave, state).await;
            Event::WaveReported { wave, state, outcome }
        });
    }
}
