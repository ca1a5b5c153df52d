//! The jobs of one pool under its placement, in virtual time.
//!
//! Jobs come in bursts, declare sizes that are wrong by up to ten times both ways, and some of them
//! fail always. One worker fails whatever it starts. Usage reports come a minute late. Once, most of
//! the queue is cancelled.

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
use crate::virtual_time::Events;
use crate::virtual_time::exponential;
use crate::virtual_time::quantile;

const LENGTH: Duration = Duration::from_secs(3_600);
const WARM_UP: Duration = Duration::from_secs(900);
const TICK: Duration = Duration::from_millis(250);
const REPORT: Duration = Duration::from_secs(10);
const REPORT_LAG: Duration = Duration::from_secs(60);
/// Time that a worker takes to save the state of a task.
const CHECKPOINT: Duration = Duration::from_millis(500);
/// Time after which a worker that is out of memory ends a task.
const OUT_OF_MEMORY: Duration = Duration::from_secs(10);
/// Time that the broken worker takes to fail a task.
const FAIL_FAST: Duration = Duration::from_millis(200);
const RUN_MEAN: Duration = Duration::from_secs(120);
const KINDS: usize = 30;
/// Of so many kinds, one always fails.
const BAD_KIND_EVERY: usize = 15;
const BURST: Duration = Duration::from_secs(60);
const CYCLE: Duration = Duration::from_secs(600);
/// Processor time asked for in the mean, by what the pool has.
const LOAD: f64 = 1.1;
const URGENT: f64 = 0.02;
const CANCEL_AT: Duration = Duration::from_secs(3_000);

/// Who places.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// This crate's placement.
    Learnt,
    /// Best fit on declared sizes, first come first served.
    BestFit,
}

enum Event {
    Arrivals,
    Tick,
    Report,
    End { job: JobId, attempt: u32, end: TaskOutcome },
    Checkpointed { job: JobId },
    Cancel,
}

struct Kind {
    used: Size,
    declared: Size,
    is_bad: bool,
}

struct Running {
    job: JobId,
    attempt: u32,
    kind: usize,
    worker: usize,
    started: Duration,
}

/// What was seen.
#[derive(Default)]
pub struct Seen {
    waits_s: [Vec<f64>; 2],
    placed: usize,
    succeeded: usize,
    wasted: usize,
    given_up: usize,
    cancelled: usize,
    samples: usize,
    idle: f64,
    overloaded: f64,
    unreserved: f64,
    decide_s: f64,
}

/// Either placement.
enum Placer {
    Learnt(Box<Pool>),
    BestFit(BestFit),
}

/// The pool, its tasks and its time.
pub struct World {
    placer: Placer,
    base: Instant,
    rng: SmallRng,
    specs: Vec<WorkerSpec>,
    whole: Size,
    teams: Vec<(TeamRef, u32)>,
    kinds: Vec<Kind>,
    events: Events<Event>,
    /// Sorted by job.
    running: Vec<Running>,
    /// Jobs that were submitted and have not ended, with the time of submission; sorted.
    open: Vec<(JobId, Duration)>,
    next_job: u32,
    seen: Seen,
}

impl World {
    /// All hosts of a contract as one pool.
    pub fn new(contract: &Contract, policy: Policy, seed: u64) -> Self {
        let specs: Vec<WorkerSpec> = contract
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
        let whole = specs.iter().fold(Size::default(), |sum, spec| sum.plus(&spec.capacity));
        let placer = match policy {
            Policy::Learnt => {
                let mut pool = Pool::new(PoolSettings::default());
                pool.set_workers(specs.clone());
                Placer::Learnt(Box::new(pool))
            }
            Policy::BestFit => Placer::BestFit(BestFit::new(&specs)),
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        let largest = specs.iter().fold(Size::default(), |most, spec| most.max(&spec.capacity));
        let kinds = (0..KINDS).map(|index| Kind::random(index, &largest, &mut rng)).collect();
        let teams = contract
            .teams
            .iter()
            .map(|team| {
                (TeamRef::new(contract.customer.clone(), team.name.clone()), team.share_weight)
            })
            .collect();
        Self {
            placer,
            base: Instant::now(),
            rng,
            specs,
            whole,
            teams,
            kinds,
            events: Events::default(),
            running: Vec::new(),
            open: Vec::new(),
            next_job: 0,
            seen: Seen::default(),
        }
    }

    /// Runs to the end.
    pub fn run(&mut self) {
        self.events.add(Duration::ZERO, Event::Arrivals);
        self.events.add(Duration::ZERO, Event::Tick);
        self.events.add(REPORT, Event::Report);
        self.events.add(CANCEL_AT, Event::Cancel);
        while let Some((now, event)) = self.events.take() {
            if now >= LENGTH {
                return;
            }
            match event {
                Event::Arrivals => self.arrive(now),
                Event::Tick => self.tick(now),
                Event::Report => self.report(now),
                Event::End { job, attempt, end } => self.end(&job, attempt, end, now),
                Event::Checkpointed { job } => {
                    if let Placer::Learnt(pool) = &mut self.placer {
                        pool.record_checkpoint(&job);
                    }
                }
                Event::Cancel => self.cancel(now),
            }
        }
    }

    /// Submits the jobs of one second.
    fn arrive(&mut self, now: Duration) {
        self.events.add(now + Duration::from_secs(1), Event::Arrivals);
        let in_burst = now.as_millis() % CYCLE.as_millis() < BURST.as_millis();
        let factor = if in_burst { 5.0 } else { 0.05 };
        let mean_factor = {
            let part = BURST.as_secs_f64() / CYCLE.as_secs_f64();
            5.0 * part + 0.05 * (1.0 - part)
        };
        let cores: f64 =
            self.kinds.iter().map(|kind| f64::from(kind.used.processors_milli)).sum::<f64>()
                / self.kinds.len() as f64;
        let per_s = LOAD * f64::from(self.whole.processors_milli)
            / (cores * RUN_MEAN.as_secs_f64())
            * factor
            / mean_factor;
        let count = per_s as usize + usize::from(self.rng.random::<f64>() < per_s.fract());
        for _ in 0..count {
            self.submit(now);
        }
    }

    fn submit(&mut self, now: Duration) {
        // A few teams are large: the first asks for half, the next for a quarter, and so on.
        let drawn = -self.rng.random::<f64>().log2();
        let team = (drawn as usize).min(self.teams.len() - 1);
        let kind = self.rng.random_range(0..self.kinds.len());
        let is_urgent = self.rng.random::<f64>() < URGENT;
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
        let pending = PendingJob::new(job, self.teams[team].1, self.base + now);
        let taken = match &mut self.placer {
            Placer::Learnt(pool) => pool.submit(pending).is_ok(),
            Placer::BestFit(best_fit) => {
                best_fit.submit(pending);
                true
            }
        };
        if taken {
            self.open.push((id, now));
        }
    }

    fn tick(&mut self, now: Duration) {
        self.events.add(now + TICK, Event::Tick);
        let at = self.base + now;
        if let Placer::Learnt(pool) = &mut self.placer {
            let started = Instant::now();
            let actions = pool.tick(at);
            self.seen.decide_s += started.elapsed().as_secs_f64();
            self.act(actions, now);
        }
        loop {
            let started = Instant::now();
            let placed = match &mut self.placer {
                Placer::Learnt(pool) => {
                    pool.place_next(at, |_| true).map(|p| (p.pending, p.worker.clone()))
                }
                Placer::BestFit(best_fit) => best_fit.place_next(),
            };
            self.seen.decide_s += started.elapsed().as_secs_f64();
            let Some((pending, worker)) = placed else {
                break;
            };
            self.start(pending, &worker, now);
        }
        if now > WARM_UP {
            self.sample();
        }
    }

    fn start(&mut self, pending: PendingJob, worker: &str, now: Duration) {
        let job = pending.job.id.clone();
        let kind: usize = pending.job.kind[5..].parse().expect("kinds are numbered");
        let worker = self.specs.iter().position(|spec| *spec.id == *worker).expect("a worker");
        self.seen.placed += 1;
        if pending.attempts == 1 && pending.preemptions == 0 && now > WARM_UP {
            let found = self.open.binary_search_by(|(id, _)| id.cmp(&job));
            let submitted = found.map_or(now, |index| self.open[index].1);
            self.seen.waits_s[pending.job.class as usize].push((now - submitted).as_secs_f64());
        }
        let attempt = pending.attempts + pending.preemptions;
        let tasks = self.running.iter().filter(|running| running.worker == worker);
        let used = tasks.fold(self.kinds[kind].used, |sum, r| sum.plus(&self.kinds[r.kind].used));
        let capacity = self.specs[worker].capacity;
        let crowded =
            f64::from(used.processors_milli) / f64::from(capacity.processors_milli.max(1));
        let (run, end) = if worker == 0 {
            (FAIL_FAST, TaskOutcome::Failed)
        } else if self.kinds[kind].is_bad {
            (FAIL_FAST * 10, TaskOutcome::Failed)
        } else if used.memory_mib > capacity.memory_mib {
            (OUT_OF_MEMORY, TaskOutcome::Failed)
        } else {
            // Tasks share the processors of a crowded worker.
            let run = exponential(RUN_MEAN, self.rng.random());
            (run.mul_f64(crowded.max(1.0)), TaskOutcome::Succeeded)
        };
        self.events.add(now + run, Event::End { job: job.clone(), attempt, end });
        let position = self.running.partition_point(|other| other.job < job);
        self.running.insert(position, Running { job, attempt, kind, worker, started: now });
    }

    fn end(&mut self, job: &JobId, attempt: u32, end: TaskOutcome, now: Duration) {
        let Ok(position) = self.running.binary_search_by(|running| running.job.cmp(job)) else {
            return;
        };
        if self.running[position].attempt != attempt {
            return;
        }
        self.running.remove(position);
        match end {
            TaskOutcome::Succeeded => self.seen.succeeded += 1,
            _ => self.seen.wasted += 1,
        }
        let after = match &mut self.placer {
            Placer::Learnt(pool) => pool.finish_task(job, end, self.base + now),
            Placer::BestFit(best_fit) => best_fit.ended(job, end),
        };
        if let Some(Disposition::Finished { .. }) = after {
            self.seen.given_up += usize::from(end != TaskOutcome::Succeeded);
            if let Ok(index) = self.open.binary_search_by(|(id, _)| id.cmp(job)) {
                self.open.remove(index);
            }
        }
    }

    fn act(&mut self, actions: Vec<Action>, now: Duration) {
        for action in actions {
            match action {
                Action::Checkpoint { job } => {
                    self.events.add(now + CHECKPOINT, Event::Checkpointed { job });
                }
                Action::Stop { job } => {
                    let found = self.running.binary_search_by(|running| running.job.cmp(&job));
                    if let Ok(position) = found {
                        let attempt = self.running[position].attempt;
                        let end = TaskOutcome::Stopped;
                        self.events.add(now + TICK, Event::End { job, attempt, end });
                    }
                }
                Action::Throttle { .. } | Action::Quarantined { .. } => {}
            }
        }
    }

    fn report(&mut self, now: Duration) {
        self.events.add(now + REPORT, Event::Report);
        let Placer::Learnt(pool) = &mut self.placer else {
            return;
        };
        let Some(measured) = now.checked_sub(REPORT_LAG) else {
            return;
        };
        let seen = self.running.iter().filter(|running| running.started <= measured);
        let reports: Vec<Usage> = seen
            .map(|running| Usage {
                job: running.job.clone(),
                used: Size { accelerators: 0, ..self.kinds[running.kind].used },
                measured_at: self.base + measured,
            })
            .collect();
        pool.record_usage(&reports);
    }

    fn cancel(&mut self, now: Duration) {
        let ids = self.open.iter().map(|(id, _)| id.clone());
        let ids: Vec<JobId> =
            ids.enumerate().filter(|(index, _)| index % 10 != 0).map(|(_, id)| id).collect();
        match &mut self.placer {
            Placer::Learnt(pool) => {
                let cancelled = pool.cancel(ids, self.base + now);
                self.seen.cancelled += cancelled.waiting.len() + cancelled.running.len();
            }
            Placer::BestFit(best_fit) => self.seen.cancelled += best_fit.cancel(&ids),
        }
    }

    /// Looks at what the workers really use.
    fn sample(&mut self) {
        let waiting = match &self.placer {
            Placer::Learnt(pool) => pool.waiting(),
            Placer::BestFit(best_fit) => best_fit.waiting(),
        };
        let mut used = vec![Size::default(); self.specs.len()];
        for running in &self.running {
            used[running.worker] = used[running.worker].plus(&self.kinds[running.kind].used);
        }
        if waiting > 0 {
            // The broken worker is of no use to anybody.
            let useful = self.specs.iter().zip(&used).skip(1);
            let portions: Vec<f64> =
                useful.map(|(spec, used)| used.dominant_share(&spec.capacity)).collect();
            let count = portions.len() as f64;
            self.seen.samples += 1;
            self.seen.idle += portions.iter().map(|p| (1.0 - p).max(0.0)).sum::<f64>() / count;
            self.seen.unreserved += self.unreserved();
            self.seen.overloaded += portions.iter().filter(|p| **p > 1.0).count() as f64 / count;
        }
    }

    /// Portion of the useful workers that placement has not reserved.
    fn unreserved(&self) -> f64 {
        let free = match &self.placer {
            Placer::Learnt(pool) => pool.free(),
            Placer::BestFit(best_fit) => best_fit.free(),
        };
        let useful = self.specs.iter().zip(&free).skip(1);
        let reserved = useful
            .map(|(spec, (_, free))| spec.capacity.minus(free).dominant_share(&spec.capacity));
        1.0 - reserved.sum::<f64>() / (self.specs.len() - 1) as f64
    }

    /// Prints a line with what was seen.
    pub fn print(&mut self, policy: &str) {
        let seen = &mut self.seen;
        let [urgent, normal] = &mut seen.waits_s;
        let samples = seen.samples.max(1) as f64;
        println!(
            "  {policy:<22}wait p50 {:.1} s p99 {:.1} s  urgent p50 {:.2} s p99 {:.2} s  \
             not reserved {:.1}%  not used {:.1}%  overloaded {:.1}%",
            quantile(normal, 0.5),
            quantile(normal, 0.99),
            quantile(urgent, 0.5),
            quantile(urgent, 0.99),
            100.0 * seen.unreserved / samples,
            100.0 * seen.idle / samples,
            100.0 * seen.overloaded / samples,
        );
        println!(
            "  {:<22}succeeded {}  wasted runs {}  given up {}  cancelled {}  decisions {:.0}/s",
            "",
            seen.succeeded,
            seen.wasted,
            seen.given_up,
            seen.cancelled,
            seen.placed as f64 / seen.decide_s.max(1e-9),
        );
    }
}

impl Kind {
    /// Kind that uses a small part of a worker, and declares up to ten times more or less.
    fn random(index: usize, largest: &Size, rng: &mut SmallRng) -> Self {
        let processors_milli = rng.random_range(500..4_000);
        let memory_mib = rng.random_range(512..largest.memory_mib / 5);
        let used = Size { processors_milli, memory_mib, accelerators: 0 };
        let wrong = 10_f64.powf(rng.random_range(-1.0..1.0));
        let declared = used.scale_percent((wrong * 100.0) as u32);
        // No job is refused for its declared size here.
        let declared = Size {
            processors_milli: declared.processors_milli.min(largest.processors_milli),
            memory_mib: declared.memory_mib.min(largest.memory_mib),
            accelerators: 0,
        };
        Self { used, declared, is_bad: index % BAD_KIND_EVERY == BAD_KIND_EVERY - 1 }
    }
}
