//! Carrying out what the scheduler decides.

use std::time::Duration;

use scheduler::Action;
use scheduler::HostName;
use scheduler::JobId;
use scheduler::Moment;
use scheduler::SortedMap;
use scheduler::StartCommand;
use scheduler::StartReply;
use scheduler::WaveId;
use scheduler::WaveState;
use serde_json::Value;
use serde_json::json;

use super::Owner;
use super::event::Event;
use super::event::HostOrder;
use crate::clock;
use crate::metrics;
use crate::ports::Platform;
use crate::ports::Written;

/// Orders to hosts that one owner gives at most; the numbers of the next owner lie above.
const HOST_ORDERS_PER_EPOCH: u64 = 1 << 20;
/// Time between two lines on the pools.
const POOLS_LOG_PERIOD: Duration = Duration::from_secs(1);
/// Time between two lists of the hosts.
const HOSTS_PERIOD: Duration = Duration::from_millis(1_000);

impl<P: Platform> Owner<P> {
    /// Takes in what became of a call.
    pub(super) fn take_event(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Reported { worker, sent_at, result } => {
                self.take_report(worker, sent_at, result);
            }
            Event::Started { worker, unit, run, reply } => {
                if reply != StartReply::Started {
                    telemetry::log::line("run-not-started")
                        .text("unit", &unit)
                        .field("run", run)
                        .field("worker", &*worker)
                        .field("epoch", self.epoch)
                        .text("reply", format!("{reply:?}"))
                        .write();
                }
                self.count_start(&unit.job, reply, now);
                self.scheduler.handle_start_reply(&worker, &unit, run, reply, now);
            }
            Event::Stopped { worker, unit, run, is_answered } => {
                telemetry::log::line("run-stopped")
                    .text("unit", &unit)
                    .field("run", run)
                    .field("worker", &*worker)
                    .field("is_answered", is_answered)
                    .write();
                self.scheduler.handle_stop_reply(&worker, &unit, run, is_answered, now);
            }
            Event::Paced { unit, run, percent, is_answered } => {
                self.scheduler.handle_speed_limit_reply(&unit, run, percent, is_answered);
            }
            Event::Advised { unit, asked, asked_at, result } => match result {
                Ok(good) => self.scheduler.handle_advice(&unit, &asked, &good, asked_at),
                Err(error) => {
                    telemetry::log::line("advice-failed").text("why", error).write();
                    self.scheduler.handle_advice_failure();
                }
            },
            Event::Written { outcome } => self.take_written(outcome),
            Event::InboxRemoved { keys, outcome } => self.take_inbox_removed(keys, outcome),
            Event::Registered { changes } => {
                self.watches_reviewed_at = Moment::ZERO;
                if changes.is_whole {
                    self.scheduler.set_workers(changes.changed, Duration::ZERO, now);
                } else {
                    for entry in changes.changed {
                        self.scheduler.update_worker(entry, Duration::ZERO, now);
                    }
                }
                for id in changes.removed {
                    self.scheduler.unregister_worker(&id);
                }
            }
            Event::Inbox { rows } => self.take_inbox(rows),
            Event::Hosts { result } => {
                self.hosts_in_flight = false;
                match result {
                    Ok(hosts) => self.scheduler.set_hosts(hosts, now),
                    Err(error) => {
                        telemetry::log::line("hosts-not-listed").text("why", error).write();
                    }
                }
            }
            Event::HostOrdered { host, order, reply } => {
                telemetry::log::line("host-ordered")
                    .field("host", &*host)
                    .text("order", format!("{order:?}"))
                    .text("reply", format!("{reply:?}"))
                    .write();
                self.scheduler.handle_host_reply(&host, reply, now);
                self.hosts_asked_at = Moment::ZERO;
            }
            Event::WaveTold { wave, state, outcome } => match outcome {
                Written::Committed(_) => {}
                _ => {
                    if self.waves_told.get(&wave) == Some(&state) {
                        self.waves_told.remove(&wave);
                    }
                }
            },
        }
    }

    /// Logs the runs that are to start, a line a job.
    pub(super) fn log_starts(&self, actions: &[Action]) {
        let mut of_jobs: SortedMap<JobId, Vec<Value>> = SortedMap::default();
        for action in actions {
            let Action::Start(order) = action else {
                continue;
            };
            let run = json!([order.unit.to_string(), order.run, &*order.worker]);
            of_jobs.entry_or(order.unit.job.clone(), Vec::new).push(run);
        }
        for (job, runs) in of_jobs.iter() {
            telemetry::log::line("runs-ordered")
                .field("job", &**job)
                .field("runs", runs.clone())
                .field("epoch", self.epoch)
                .write();
        }
    }

    /// Carries out an action.
    pub(super) fn carry_out(&mut self, action: Action) {
        let shared = self.shared.clone();
        let token = self.epoch;
        match action {
            Action::Start(order) => self.start(order),
            Action::Stop { worker, address, unit, run } => self.spawn(async move {
                let is_answered = shared.platform.stop(&worker, address, &unit, run, token).await;
                Event::Stopped { worker, unit, run, is_answered }
            }),
            Action::LimitSpeed { worker, address, unit, run, percent } => self.spawn(async move {
                let platform = &shared.platform;
                let is_answered = platform.pace(&worker, address, &unit, run, percent, token).await;
                Event::Paced { unit, run, percent, is_answered }
            }),
            Action::RequestAdvice { unit, workers } => self.spawn(async move {
                let asked_at = clock::now();
                let result = shared.platform.advise(&unit, &workers).await;
                Event::Advised { unit, asked: workers, asked_at, result }
            }),
            Action::MoveHost { host, pool } => self.order_host(host, HostOrder::Move(pool)),
            Action::MaintainHost { host, wave } => {
                self.order_host(host, HostOrder::Maintain(wave));
            }
            Action::WaveStatus { wave, state } => self.tell_wave(wave, state),
            Action::LogDecision { what, subject, why } => telemetry::log::line("decision")
                .field("what", what)
                .field("subject", subject)
                .field("why", why)
                .field("epoch", token)
                .write(),
        }
    }

    /// Lists the hosts again if that is due.
    pub(super) fn ask_hosts(&mut self, now: Moment) {
        let is_due = now.saturating_sub(self.hosts_asked_at) >= HOSTS_PERIOD;
        if self.hosts_in_flight || !is_due {
            return;
        }
        self.hosts_in_flight = true;
        self.hosts_asked_at = now;
        let shared = self.shared.clone();
        self.spawn(async move { Event::Hosts { result: shared.platform.hosts().await } });
    }

    /// Logs what the pools hold and need, at intervals.
    pub(super) fn log_pools(&mut self, now: Moment) {
        if now.saturating_sub(self.pools_logged_at) < POOLS_LOG_PERIOD {
            return;
        }
        self.pools_logged_at = now;
        self.shared.telemetry.gauge(metrics::JOBS_LIVE, self.scheduler.live_jobs() as u64);
        for (pool, load) in self.scheduler.pool_loads(now).iter() {
            telemetry::log::line("pool-load")
                .field("pool", &**pool)
                .field("hosts", load.hosts)
                .field("hosts_needed", load.hosts_needed())
                .field("hosts_kept", load.baseline_hosts)
                .field("lasting_hosts", load.long_running_hosts)
                .field("coming_hosts", load.incoming_hosts)
                .field("lost_hosts", load.unusable_hosts)
                .field("is_starved", load.is_starved)
                .field("running_cpu_millis", load.running.cpu_millis)
                .field("waiting_cpu_millis", load.waiting.cpu_millis)
                .field("rate_cpu_millis", load.arrival_cpu_millis)
                .write();
        }
    }

    fn count_start(&self, job: &str, reply: StartReply, now: Moment) {
        let telemetry = &self.shared.telemetry;
        if reply != StartReply::Started {
            telemetry.count(metrics::RUNS_NOT_STARTED);
            return;
        }
        telemetry.count(metrics::RUNS_STARTED);
        if let Some(waited) = self.scheduler.queued_time(job, now) {
            telemetry.time(metrics::JOBS_WAIT, waited);
        }
    }

    fn start(&mut self, order: StartCommand) {
        self.tally.start();
        let shared = self.shared.clone();
        let token = self.epoch;
        self.spawn(async move {
            let sent_at = clock::now();
            let reply = shared.platform.start(&order, token).await;
            let took = clock::now().saturating_sub(sent_at);
            shared.telemetry.time(metrics::RUNS_START, took);
            let StartCommand { worker, unit, run, .. } = order;
            Event::Started { worker, unit, run, reply }
        });
    }

    fn order_host(&mut self, host: HostName, order: HostOrder) {
        let shared = self.shared.clone();
        // Each order has a number of its own, so that one that is carried out late, after a newer one,
        // is refused.
        self.host_orders += 1;
        let token = self.epoch * HOST_ORDERS_PER_EPOCH + self.host_orders;
        self.spawn(async move {
            let holder = &shared.settings.name;
            let platform = &shared.platform;
            let reply = match &order {
                HostOrder::Move(pool) => platform.move_host(&host, pool, holder, token).await,
                HostOrder::Maintain(wave) => {
                    platform.maintain_host(&host, *wave, holder, token).await
                }
            };
            Event::HostOrdered { host, order, reply }
        });
    }

    fn tell_wave(&mut self, wave: WaveId, state: WaveState) {
        if self.waves_told.get(&wave) == Some(&state) {
            return;
        }
        self.waves_told.insert(wave, state);
        let shared = self.shared.clone();
        self.spawn(async move {
            let outcome = shared.platform.tell_wave(wave, state).await;
            Event::WaveTold { wave, state, outcome }
        });
    }
}
