//! The executors of a service, what runs on them, and what of that breaks a rule.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::executor_api;
use crate::life::End;
use crate::life::Gang;
use crate::life::Run;
use crate::life::Worker;

/// Time between two looks for runs that have ended.
pub(crate) const TICK: Duration = Duration::from_millis(5);

/// A step of a job, as its client has submitted it.
#[derive(Clone, Copy)]
pub struct StepShape {
    pub count: usize,
    pub is_gang: bool,
}

/// What has happened to a unit.
#[derive(Default)]
pub(crate) struct UnitHistory {
    pub(crate) starts: u64,
    pub(crate) failed: u64,
    /// Ends `done`: executor, number of the end, when it was listed, and whether it was taken note
    /// of before the executor's lease lapsed.
    pub(crate) done: Vec<(usize, u64, Instant, bool)>,
    /// Starts after an end `done`, by the index of that end.
    pub(crate) starts_after_done: Vec<usize>,
}

#[derive(Default)]
pub(crate) struct World {
    pub(crate) workers: Vec<Worker>,
    pub(crate) jobs: BTreeMap<String, Vec<StepShape>>,
    pub(crate) units: BTreeMap<String, UnitHistory>,
    /// Two runs of a unit at the same time.
    pub(crate) overlaps: Vec<String>,
}

/// All executors of one service.
#[derive(Clone, Default)]
pub struct Workers {
    pub(crate) world: Arc<Mutex<World>>,
}

/// Resources of an executor.
#[derive(Clone, Copy)]
pub struct Capacity {
    pub cpu: u64,
    pub mem_mb: u64,
}

impl Workers {
    /// Starts executors and returns when they listen.
    pub async fn start(&self, count: usize) {
        for index in 0..count {
            let address = crate::serve(executor_api::router(self.clone(), index)).await;
            self.world.lock().unwrap().workers.push(Worker::new(index, address));
        }
        let world = self.world.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                world.lock().unwrap().advance();
            }
        });
    }

    /// Returns the entry of each executor in the store: its id, and what it says of itself.
    pub fn entries(&self, service: &str, capacity: Capacity) -> Vec<(String, Value)> {
        let mut world = self.world.lock().unwrap();
        let entry = |worker: &mut Worker| {
            worker.sequence += 1;
            let entry = json!({
                "service": service, "address": worker.address, "zone": "zone-a", "version": "v1",
                "slots": 8, "state": "ready", "coldLeftMs": 0,
                "capacity": { "cpu": capacity.cpu, "memMb": capacity.mem_mb, "gpu": 0 },
                "labels": ["a", "r1-1"], "clockMs": worker.clock_ms(), "seqNo": worker.sequence,
                "born": worker.born_ms, "machine": worker.machine,
            });
            (worker.id.clone(), entry)
        };
        world.workers.iter_mut().filter(|worker| !worker.is_dark).map(entry).collect()
    }

    /// Returns the list of machines.
    pub fn machines(&self, service: &str, capacity: Capacity) -> Value {
        let world = self.world.lock().unwrap();
        let machine = |worker: &Worker| {
            json!({
                "machine": worker.machine, "pool": service, "state": "up", "zone": "zone-a",
                "labels": ["a", "r1-1"],
                "capacity": { "cpu": capacity.cpu, "memMb": capacity.mem_mb, "gpu": 0 },
                "id": worker.id,
            })
        };
        let machines: Vec<Value> = world.workers.iter().map(machine).collect();
        json!({ "machines": machines, "nextToken": null })
    }

    /// Declares a job before its client submits it.
    pub fn declare(&self, job: &str, steps: Vec<StepShape>) {
        self.world.lock().unwrap().jobs.insert(job.to_owned(), steps);
    }

    /// Makes an executor unhealthy, or sound again. While it is unhealthy, it fails everything that
    /// it runs.
    pub fn set_unhealthy(&self, index: usize, is_unhealthy: bool) {
        let state = if is_unhealthy { "fails everything that it runs" } else { "is sound" };
        crate::record::line(&format!("executor i-{index:04}: {state}"));
        let worker = &mut self.world.lock().unwrap().workers[index];
        worker.is_unhealthy = is_unhealthy;
        if is_unhealthy {
            let now = Instant::now();
            worker.running.iter_mut().for_each(|run| run.fails_at = Some(now));
        }
    }

    /// Takes the power from an executor: what runs there ends, and it answers nothing.
    pub fn lose_power(&self, index: usize) {
        crate::record::line(&format!("executor i-{index:04}: loses its power"));
        let worker = &mut self.world.lock().unwrap().workers[index];
        worker.is_dark = true;
        worker.running.clear();
        worker.ends.clear();
    }

    /// Starts an executor again under its id. It knows nothing of before.
    pub fn start_again(&self, index: usize) {
        crate::record::line(&format!("executor i-{index:04}: starts again"));
        let worker = &mut self.world.lock().unwrap().workers[index];
        *worker = Worker::new(index, worker.address);
    }

    /// Returns whether an executor answers nothing.
    pub(crate) fn is_dark(&self, index: usize) -> bool {
        self.world.lock().unwrap().workers[index].is_dark
    }

    /// Returns the index of the executor that runs a unit of the job.
    pub fn executor_of(&self, job: &str) -> Option<usize> {
        let world = self.world.lock().unwrap();
        world.workers.iter().position(|worker| worker.runs_of(job).next().is_some())
    }

    /// Returns how many units of a job are running.
    pub fn running(&self, job: &str) -> usize {
        let world = self.world.lock().unwrap();
        world.workers.iter().map(|worker| worker.runs_of(job).count()).sum()
    }

    /// Returns how many units of all jobs are running.
    pub fn running_in_all(&self) -> usize {
        self.world.lock().unwrap().workers.iter().map(|worker| worker.running.len()).sum()
    }

    /// Returns the most ends that an executor lists or has yet to list.
    pub fn ends_pending_max(&self) -> usize {
        let world = self.world.lock().unwrap();
        world.workers.iter().map(|worker| worker.ends.len()).max().unwrap_or(0)
    }

    /// Returns the starts and the ends `failed` of a unit.
    pub fn starts_and_failures(&self, unit: &str) -> (u64, u64) {
        let world = self.world.lock().unwrap();
        world.units.get(unit).map_or((0, 0), |history| (history.starts, history.failed))
    }

    /// Returns the number of units that have ended `done`.
    pub fn units_done(&self) -> usize {
        let world = self.world.lock().unwrap();
        world.units.values().filter(|history| !history.done.is_empty()).count()
    }

    /// Returns what breaks the rule TWICE: two runs of a unit at the same time, and starts after an
    /// end `done` that was taken note of before the executor's lease lapsed.
    pub fn twice(&self) -> Vec<String> {
        let world = self.world.lock().unwrap();
        let mut found = world.overlaps.clone();
        for (unit, history) in &world.units {
            for index in &history.starts_after_done {
                if history.done[*index].3 {
                    found.push(format!("{unit}: started after it had ended done"));
                }
            }
        }
        found
    }
}

impl World {
    /// Ends what has run to its end.
    pub(crate) fn advance(&mut self) {
        let now = Instant::now();
        self.begin_gangs(now);
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            if !worker.running.is_empty() && worker.clock_ms() > worker.lease_until_ms {
                worker.lapsed_at = Some(now);
            }
            let has_lapsed = worker.lapsed_at == Some(now);
            let due: Vec<(Run, &'static str)> = {
                let how = |run: &Run| has_lapsed.then_some("lapsed").or_else(|| run.end(now));
                let ended = worker.running.extract_if(.., |run| how(run).is_some());
                ended.map(|run| (how(&run).unwrap_or("lapsed"), run)).map(|(h, r)| (r, h)).collect()
            };
            for (run, how) in due {
                self.list_end(index, run, how, now);
            }
        }
        self.end_broken_gangs(now);
    }

    /// Begins the work of the gangs that are complete.
    pub(crate) fn begin_gangs(&mut self, now: Instant) {
        let waiting = |run: &&Run| run.gang.is_some() && run.begun_at.is_none();
        let gangs: Vec<Gang> = self
            .workers
            .iter()
            .flat_map(|worker| worker.running.iter())
            .filter(waiting)
            .filter_map(|run| run.gang.clone())
            .collect();
        for gang in gangs {
            let runs = self.workers.iter().flat_map(|worker| worker.running.iter());
            if runs.filter(|run| run.gang.as_ref() == Some(&gang)).count() < gang.count {
                continue;
            }
            let runs = self.workers.iter_mut().flat_map(|worker| worker.running.iter_mut());
            for run in runs.filter(|run| run.gang.as_ref() == Some(&gang)) {
                run.begun_at.get_or_insert(now);
            }
        }
    }

    /// Ends the members of gangs of which another member has ended.
    pub(crate) fn end_broken_gangs(&mut self, now: Instant) {
        for index in 0..self.workers.len() {
            let is_broken = |run: &Run| {
                run.gang.as_ref().is_some_and(|gang| {
                    run.begun_at.is_some() && {
                        let runs = self.workers.iter().flat_map(|worker| worker.running.iter());
                        runs.filter(|other| other.gang.as_ref() == Some(gang)).count() < gang.count
                    }
                })
            };
            let broken: Vec<(String, u64)> = self.workers[index]
                .running
                .iter()
                .filter(|run| is_broken(run))
                .map(|run| (run.unit.clone(), run.run))
                .collect();
            for (unit, number) in broken {
                let running = &mut self.workers[index].running;
                let position = running.iter().position(|run| run.unit == unit && run.run == number);
                if let Some(position) = position {
                    let run = running.remove(position);
                    self.list_end(index, run, "broken", now);
                }
            }
        }
    }

    pub(crate) fn list_end(&mut self, index: usize, run: Run, how: &'static str, now: Instant) {
        let worker = &mut self.workers[index];
        worker.last_end += 1;
        let number = worker.last_end;
        crate::record::line(&format!("{}: {} run {} ends {how}", worker.id, run.unit, run.run));
        let history = self.units.entry(run.unit.clone()).or_default();
        match how {
            "done" => history.done.push((index, number, now, false)),
            "failed" => history.failed += 1,
            _ => {}
        }
        worker.ends.push(End { number, unit: run.unit, run: run.run, how, at: now });
    }

    /// Records a start, and what of it breaks a rule.
    pub(crate) fn record_start(&mut self, index: usize, unit: &str, run: u64) {
        let id = self.workers[index].id.clone();
        let runs = self.workers.iter().flat_map(|worker| worker.running.iter());
        if runs.into_iter().any(|other| other.unit == unit) {
            self.overlaps.push(format!("{unit}: run {run} started beside another one"));
        }
        let history = self.units.entry(unit.to_owned()).or_default();
        history.starts += 1;
        let note = match history.done.len().checked_sub(1) {
            Some(last) => {
                history.starts_after_done.push(last);
                ", after it had ended done"
            }
            None => "",
        };
        crate::record::line(&format!("{id}: {unit} run {run} starts{note}"));
    }
}
