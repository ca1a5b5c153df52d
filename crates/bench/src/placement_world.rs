//! Simulates the jobs of one pool and their placement in virtual time.
//!
//! Jobs arrive in bursts and declare sizes that are up to ten times too large or too small; some
//! kinds of jobs always fail. The first worker fails every task. Usage reports arrive a minute
//! late. Once, nine tenths of the unfinished jobs are cancelled.

use std::time::Duration;
use std::time::Instant;

use model::Contract;
use model::TeamRef;
use placement::Action;
use placement::Class;
use placement::Disposition;
use placement::Job;
use placement::JobId;
use placement::PendingJob;
use placement::Pool;
use placement::PoolSettings;
use placement::Size;
use placement::TaskOutcome;
use placement::Usage;
use placement::WorkerSpec;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::best_fit::BestFit;
use crate::virtual_time::EventQueue;
use crate::virtual_time::exponential;
use crate::virtual_time::quantile;

const SIMULATED_TIME: Duration = Duration::from_secs(3_600);
/// Virtual time before which waits and utilization are not recorded.
const WARM_UP: Duration = Duration::from_secs(900);
const TICK_INTERVAL: Duration = Duration::from_millis(250);
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Time between a measurement of usage and its report.
const REPORT_LAG: Duration = Duration::from_secs(60);
/// Time that a worker takes to store a checkpoint of a task.
const CHECKPOINT_TIME: Duration = Duration::from_millis(500);
/// Time until a task fails that was started on a worker without enough free memory.
const OUT_OF_MEMORY_TIME: Duration = Duration::from_secs(10);
/// Time until a task fails on the broken worker.
const FAILURE_TIME: Duration = Duration::from_millis(200);
const MEAN_RUN_TIME: Duration = Duration::from_secs(120);
const KIND_COUNT: usize = 30;
/// One of each group of this many kinds always fails.
const FAILING_KIND_EVERY: usize = 15;
const BURST_LENGTH: Duration = Duration::from_secs(60);
/// Time between the starts of two bursts.
const BURST_INTERVAL: Duration = Duration::from_secs(600);
/// Mean demand for processor time, as a multiple of the capacity of the pool.
const LOAD: f64 = 1.1;
const URGENT_FRACTION: f64 = 0.02;
const CANCEL_AT: Duration = Duration::from_secs(3_000);

/// Which placement is simulated.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The `placement` crate, which estimates sizes from the usage of earlier tasks.
    EstimatedSizes,
    /// Baseline: best fit by declared sizes, in the order of submission.
    BestFit,
}

enum Event {
    Arrivals,
    Tick,
    Report,
    Finish { job: JobId, attempt: u32, outcome: TaskOutcome },
    Checkpointed { job: JobId },
    Cancel,
}

struct Kind {
    /// What each task really uses.
    used: Size,
    declared: Size,
    always_fails: bool,
}

struct RunningTask {
    job: JobId,
    /// Number of this start of the job, counted over all its tasks.
    attempt: u32,
    kind: usize,
    /// Position in [`World::workers`].
    worker: usize,
    started_at: Duration,
}

/// Statistics of a run.
#[derive(Default)]
pub struct Stats {
    /// Times from submission to the first start, of urgent and of normal jobs, in seconds.
    waits_s: [Vec<f64>; 2],
    placed: usize,
    succeeded: usize,
    /// Number of tasks that failed or were stopped.
    wasted: usize,
    /// Number of jobs that failed for good.
    given_up: usize,
    cancelled: usize,
    /// Number of samples that the following sums are over.
    samples: usize,
    /// Fractions of the working workers' capacity that tasks do not use.
    idle: f64,
    /// Fractions of the working workers whose tasks use more than their capacity.
    overloaded: f64,
    /// Fractions of the working workers' capacity that is not reserved.
    unreserved: f64,
    /// Real time that the decisions took, in seconds.
    decide_s: f64,
}

/// The placement of the simulated [`Policy`].
enum Placer {
    Pool(Box<Pool>),
    BestFit(BestFit),
}

/// The simulated pool, its jobs and tasks, and the statistics of the run.
pub struct World {
    placer: Placer,
    /// Instant that corresponds to virtual time 0.
    epoch: Instant,
    rng: SmallRng,
    /// The first worker fails every task.
    workers: Vec<WorkerSpec>,
    total_capacity: Size,
    /// Teams with their share weights.
    teams: Vec<(TeamRef, u32)>,
    kinds: Vec<Kind>,
    events: EventQueue<Event>,
    /// Sorted by job.
    running: Vec<RunningTask>,
    /// Submitted jobs that have not finished, with their submission times; sorted.
    unfinished: Vec<(JobId, Duration)>,
    next_job: u32,
    stats: Stats,
}

impl World {
    /// Creates a pool of all hosts of `contract`; `seed` determines the jobs.
    pub fn new(contract: &Contract, policy: Policy, seed: u64) -> Self {
        let workers: Vec<WorkerSpec> = contract
            .hosts
            .iter()
            .map(|host| WorkerSpec {
                id: host.id.clone(),
                zone: host.zone.clone(),
                rack: host.rack.clone(),
                capacity: Size::of_cores(host.processors, host.memory_mib, host.accelerators),
                is_schedulable: true,
            })
            .collect();
        let total_capacity =
            workers.iter().fold(Size::default(), |sum, spec| sum.plus(&spec.capacity));
        let placer = match policy {
            Policy::EstimatedSizes => {
                let mut pool = Pool::new(PoolSettings::default());
                pool.set_workers(workers.clone());
                Placer::Pool(Box::new(pool))
            }
            Policy::BestFit => Placer::BestFit(BestFit::new(&workers)),
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        let largest =
            workers.iter().fold(Size::default(), |largest, spec| largest.max(&spec.capacity));
        let kinds = (0..KIND_COUNT).map(|index| Kind::random(index, &largest, &mut rng)).collect();
        let teams = contract
            .teams
            .iter()
            .map(|team| {
                (TeamRef::new(contract.customer.clone(), team.name.clone()), team.share_weight)
            })
            .collect();
        Self {
            placer,
            epoch: Instant::now(),
            rng,
            workers,
            total_capacity,
            teams,
            kinds,
            events: EventQueue::default(),
            running: Vec::new(),
            unfinished: Vec::new(),
            next_job: 0,
            stats: Stats::default(),
        }
    }

    /// Runs the simulation to its end.
    pub fn run(&mut self) {
        self.events.schedule(Duration::ZERO, Event::Arrivals);
        self.events.schedule(Duration::ZERO, Event::Tick);
        self.events.schedule(REPORT_INTERVAL, Event::Report);
        self.events.schedule(CANCEL_AT, Event::Cancel);
        while let Some((now, event)) = self.events.pop() {
            if now >= SIMULATED_TIME {
                return;
            }
            match event {
                Event::Arrivals => self.handle_arrivals(now),
                Event::Tick => self.handle_tick(now),
                Event::Report => self.report_usage(now),
                Event::Finish { job, attempt, outcome } => self.finish(&job, attempt, outcome, now),
                Event::Checkpointed { job } => {
                    if let Placer::Pool(pool) = &mut self.placer {
                        pool.record_checkpoint(&job);
                    }
                }
                Event::Cancel => self.cancel_most_jobs(now),
            }
        }
    }

    /// Submits the jobs that arrive within one second.
    fn handle_arrivals(&mut self, now: Duration) {
        self.events.schedule(now + Duration::from_secs(1), Event::Arrivals);
        let in_burst = now.as_millis() % BURST_INTERVAL.as_millis() < BURST_LENGTH.as_millis();
        let factor = if in_burst { 5.0 } else { 0.05 };
        let mean_factor = {
            let burst_fraction = BURST_LENGTH.as_secs_f64() / BURST_INTERVAL.as_secs_f64();
            5.0 * burst_fraction + 0.05 * (1.0 - burst_fraction)
        };
        let mean_used_milli: f64 =
            self.kinds.iter().map(|kind| f64::from(kind.used.processors_milli)).sum::<f64>()
                / self.kinds.len() as f64;
        let arrivals_per_s = LOAD * f64::from(self.total_capacity.processors_milli)
            / (mean_used_milli * MEAN_RUN_TIME.as_secs_f64())
            * factor
            / mean_factor;
        let count = arrivals_per_s as usize
            + usize::from(self.rng.random::<f64>() < arrivals_per_s.fract());
        for _ in 0..count {
            self.submit_random_job(now);
        }
    }

    fn submit_random_job(&mut self, now: Duration) {
        // The first team submits half of the jobs, the second a quarter, and so on.
        let random_exponent = -self.rng.random::<f64>().log2();
        let team = (random_exponent as usize).min(self.teams.len() - 1);
        let kind = self.rng.random_range(0..self.kinds.len());
        let is_urgent = self.rng.random::<f64>() < URGENT_FRACTION;
        let id: JobId = format!("j{:06}", self.next_job).into();
        self.next_job += 1;
        let job = Job {
            id: id.clone(),
            team: self.teams[team].0.clone(),
            kind: format!("kind-{kind:02}").into(),
            declared: self.kinds[kind].declared,
            class: if is_urgent { Class::Urgent } else { Class::Normal },
            idempotent: true,
            attempts_max: 3,
        };
        let pending = PendingJob::new(job, self.teams[team].1, self.epoch + now);
        let is_accepted = match &mut self.placer {
            Placer::Pool(pool) => pool.submit(pending).is_ok(),
            Placer::BestFit(best_fit) => {
                best_fit.submit(pending);
                true
            }
        };
        if is_accepted {
            self.unfinished.push((id, now));
        }
    }

    fn handle_tick(&mut self, now: Duration) {
        self.events.schedule(now + TICK_INTERVAL, Event::Tick);
        let at = self.epoch + now;
        if let Placer::Pool(pool) = &mut self.placer {
            let started_at = Instant::now();
            let actions = pool.tick(at);
            self.stats.decide_s += started_at.elapsed().as_secs_f64();
            self.apply_actions(actions, now);
        }
        loop {
            let started_at = Instant::now();
            let placement = match &mut self.placer {
                Placer::Pool(pool) => {
                    pool.place_next(at, |_| true).map(|p| (p.pending, p.worker.clone()))
                }
                Placer::BestFit(best_fit) => best_fit.place_next(),
            };
            self.stats.decide_s += started_at.elapsed().as_secs_f64();
            let Some((pending, worker)) = placement else {
                break;
            };
            self.start_task(pending, &worker, now);
        }
        if now > WARM_UP {
            self.record_sample();
        }
    }

    fn start_task(&mut self, pending: PendingJob, worker: &str, now: Duration) {
        let job = pending.job.id.clone();
        let kind: usize =
            pending.job.kind[5..].parse().expect("the name of a kind ends with its number");
        let worker = self
            .workers
            .iter()
            .position(|spec| *spec.id == *worker)
            .expect("the worker is configured");
        self.stats.placed += 1;
        if pending.attempts == 1 && pending.preemptions == 0 && now > WARM_UP {
            let position = self.unfinished.binary_search_by(|(id, _)| id.cmp(&job));
            let submitted_at = position.map_or(now, |index| self.unfinished[index].1);
            self.stats.waits_s[pending.job.class as usize].push((now - submitted_at).as_secs_f64());
        }
        let attempt = pending.attempts + pending.preemptions;
        let tasks = self.running.iter().filter(|running| running.worker == worker);
        let used = tasks.fold(self.kinds[kind].used, |sum, r| sum.plus(&self.kinds[r.kind].used));
        let capacity = self.workers[worker].capacity;
        let cpu_load =
            f64::from(used.processors_milli) / f64::from(capacity.processors_milli.max(1));
        let (run, outcome) = if worker == 0 {
            (FAILURE_TIME, TaskOutcome::Failed)
        } else if self.kinds[kind].always_fails {
            (FAILURE_TIME * 10, TaskOutcome::Failed)
        } else if used.memory_mib > capacity.memory_mib {
            (OUT_OF_MEMORY_TIME, TaskOutcome::Failed)
        } else {
            // Tasks on an overloaded worker share its processors and run longer.
            let run = exponential(MEAN_RUN_TIME, self.rng.random());
            (run.mul_f64(cpu_load.max(1.0)), TaskOutcome::Succeeded)
        };
        self.events.schedule(now + run, Event::Finish { job: job.clone(), attempt, outcome });
        let position = self.running.partition_point(|other| other.job < job);
        self.running.insert(position, RunningTask { job, attempt, kind, worker, started_at: now });
    }

    /// Handles the end of a task, unless it belongs to an earlier start of the job.
    fn finish(&mut self, job: &JobId, attempt: u32, outcome: TaskOutcome, now: Duration) {
        let Ok(position) = self.running.binary_search_by(|running| running.job.cmp(job)) else {
            return;
        };
        if self.running[position].attempt != attempt {
            return;
        }
        self.running.remove(position);
        match outcome {
            TaskOutcome::Succeeded => self.stats.succeeded += 1,
            _ => self.stats.wasted += 1,
        }
        let disposition = match &mut self.placer {
            Placer::Pool(pool) => pool.finish_task(job, outcome, self.epoch + now),
            Placer::BestFit(best_fit) => best_fit.finish_task(job, outcome),
        };
        if let Some(Disposition::Finished { .. }) = disposition {
            self.stats.given_up += usize::from(outcome != TaskOutcome::Succeeded);
            if let Ok(index) = self.unfinished.binary_search_by(|(id, _)| id.cmp(job)) {
                self.unfinished.remove(index);
            }
        }
    }

    fn apply_actions(&mut self, actions: Vec<Action>, now: Duration) {
        for action in actions {
            match action {
                Action::Checkpoint { job } => {
                    self.events.schedule(now + CHECKPOINT_TIME, Event::Checkpointed { job });
                }
                Action::Stop { job } => {
                    let found = self.running.binary_search_by(|running| running.job.cmp(&job));
                    if let Ok(position) = found {
                        let attempt = self.running[position].attempt;
                        let outcome = TaskOutcome::Stopped;
                        self.events
                            .schedule(now + TICK_INTERVAL, Event::Finish { job, attempt, outcome });
                    }
                }
                Action::Throttle { .. } | Action::Quarantined { .. } => {}
            }
        }
    }

    fn report_usage(&mut self, now: Duration) {
        self.events.schedule(now + REPORT_INTERVAL, Event::Report);
        let Placer::Pool(pool) = &mut self.placer else {
            return;
        };
        let Some(measured_at) = now.checked_sub(REPORT_LAG) else {
            return;
        };
        let started_before =
            self.running.iter().filter(|running| running.started_at <= measured_at);
        let reports: Vec<Usage> = started_before
            .map(|running| Usage {
                job: running.job.clone(),
                used: Size { accelerators: 0, ..self.kinds[running.kind].used },
                measured_at: self.epoch + measured_at,
            })
            .collect();
        pool.record_usage(&reports);
    }

    fn cancel_most_jobs(&mut self, now: Duration) {
        let ids = self.unfinished.iter().map(|(id, _)| id.clone());
        let ids: Vec<JobId> =
            ids.enumerate().filter(|(index, _)| index % 10 != 0).map(|(_, id)| id).collect();
        match &mut self.placer {
            Placer::Pool(pool) => {
                let cancelled = pool.cancel(ids, self.epoch + now);
                self.stats.cancelled += cancelled.waiting.len() + cancelled.running.len();
            }
            Placer::BestFit(best_fit) => self.stats.cancelled += best_fit.cancel(&ids),
        }
    }

    /// Records how much of the workers is used and reserved, if jobs are waiting.
    fn record_sample(&mut self) {
        let waiting = match &self.placer {
            Placer::Pool(pool) => pool.waiting(),
            Placer::BestFit(best_fit) => best_fit.waiting(),
        };
        let mut used = vec![Size::default(); self.workers.len()];
        for running in &self.running {
            used[running.worker] = used[running.worker].plus(&self.kinds[running.kind].used);
        }
        if waiting > 0 {
            // Leaves out the broken worker, whose capacity is useless.
            let working = self.workers.iter().zip(&used).skip(1);
            let utilizations: Vec<f64> =
                working.map(|(spec, used)| used.dominant_share(&spec.capacity)).collect();
            let count = utilizations.len() as f64;
            self.stats.samples += 1;
            self.stats.idle +=
                utilizations.iter().map(|used| (1.0 - used).max(0.0)).sum::<f64>() / count;
            self.stats.unreserved += self.unreserved_fraction();
            self.stats.overloaded +=
                utilizations.iter().filter(|used| **used > 1.0).count() as f64 / count;
        }
    }

    /// Returns the mean fraction of the working workers that placement has not reserved.
    fn unreserved_fraction(&self) -> f64 {
        let free = match &self.placer {
            Placer::Pool(pool) => pool.free(),
            Placer::BestFit(best_fit) => best_fit.free(),
        };
        let working = self.workers.iter().zip(&free).skip(1);
        let reserved = working
            .map(|(spec, (_, free))| spec.capacity.minus(free).dominant_share(&spec.capacity));
        1.0 - reserved.sum::<f64>() / (self.workers.len() - 1) as f64
    }

    /// Prints the statistics as two lines.
    pub fn print(&mut self, policy: &str) {
        let stats = &mut self.stats;
        let [urgent, normal] = &mut stats.waits_s;
        let samples = stats.samples.max(1) as f64;
        println!(
            "  {policy:<22}wait p50 {:.1} s p99 {:.1} s  urgent p50 {:.2} s p99 {:.2} s  \
             not reserved {:.1}%  not used {:.1}%  overloaded {:.1}%",
            quantile(normal, 0.5),
            quantile(normal, 0.99),
            quantile(urgent, 0.5),
            quantile(urgent, 0.99),
            100.0 * stats.unreserved / samples,
            100.0 * stats.idle / samples,
            100.0 * stats.overloaded / samples,
        );
        println!(
            "  {:<22}succeeded {}  wasted runs {}  given up {}  cancelled {}  decisions {:.0}/s",
            "",
            stats.succeeded,
            stats.wasted,
            stats.given_up,
            stats.cancelled,
            stats.placed as f64 / stats.decide_s.max(1e-9),
        );
    }
}

impl Kind {
    /// Draws a kind that uses a small part of a worker and declares up to ten times more or less.
    fn random(index: usize, largest: &Size, rng: &mut SmallRng) -> Self {
        let processors_milli = rng.random_range(500..4_000);
        let memory_mib = rng.random_range(512..largest.memory_mib / 5);
        let used = Size { processors_milli, memory_mib, accelerators: 0 };
        let error_factor = 10_f64.powf(rng.random_range(-1.0..1.0));
        let declared = used.scale_percent((error_factor * 100.0) as u32);
        // Every declared size fits on the largest worker, so that no job is refused for its size.
        let declared = Size {
            processors_milli: declared.processors_milli.min(largest.processors_milli),
            memory_mib: declared.memory_mib.min(largest.memory_mib),
            accelerators: 0,
        };
        Self { used, declared, always_fails: index % FAILING_KIND_EVERY == FAILING_KIND_EVERY - 1 }
    }
}
