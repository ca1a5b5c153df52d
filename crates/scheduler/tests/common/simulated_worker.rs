//! A simulated worker, with the runs and completions that it lists.

use scheduler::Completion;
use scheduler::CompletionList;
use scheduler::FencingToken;
use scheduler::Moment;
use scheduler::RunOutcome;
use scheduler::RunStatus;
use scheduler::UnitKey;
use scheduler::WorkerId;
use scheduler::WorkerRegistration;

use super::registration;

#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    pub id: WorkerId,
    pub running: Vec<RunStatus>,
    pub completions: Vec<Completion>,
    pub completion_count: u64,
    /// Most completions that it lists in a report.
    pub listed_max: usize,
    pub is_responsive: bool,
    /// Highest token that it has seen.
    pub seen_token: FencingToken,
    pub incarnation_started_ms: u64,
    /// When its clock showed zero.
    pub clock_started_at: Moment,
    pub rack: &'static str,
}

impl SimulatedWorker {
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            running: Vec::new(),
            completions: Vec::new(),
            completion_count: 0,
            listed_max: usize::MAX,
            is_responsive: true,
            seen_token: 0,
            incarnation_started_ms: 1,
            clock_started_at: Moment::ZERO,
            rack: "r1-1",
        }
    }

    pub fn registration(&self) -> WorkerRegistration {
        WorkerRegistration {
            incarnation_started_ms: self.incarnation_started_ms,
            labels: vec!["a".to_owned(), self.rack.to_owned()].into(),
            ..registration(&self.id)
        }
    }

    /// Returns the completions of a report.
    pub fn listed_completions(&self) -> CompletionList {
        let listed = self.completions.iter().take(self.listed_max).cloned().collect();
        CompletionList::of_report(listed, self.listed_max)
    }

    /// Ends the worker with all its runs. Nothing replies until it restarts.
    pub fn crash(&mut self) {
        self.running.clear();
        self.completions.clear();
        self.completion_count = 0;
        self.seen_token = 0;
        self.is_responsive = false;
    }

    pub fn restart(&mut self) {
        self.incarnation_started_ms += 1;
        self.is_responsive = true;
    }

    /// Starts a crashed worker again with a clock that begins anew, as a platform's worker has.
    pub fn restart_with_new_clock(&mut self, now: Moment) {
        self.restart();
        self.clock_started_at = now;
    }

    /// Returns what its clock shows, in milliseconds.
    pub fn clock_ms(&self, now: Moment) -> u64 {
        (now - self.clock_started_at).as_millis() as u64
    }

    /// Returns true unless it has seen a higher token.
    pub fn accepts_token(&mut self, token: FencingToken) -> bool {
        let is_accepted = token >= self.seen_token;
        self.seen_token = self.seen_token.max(token);
        is_accepted
    }

    /// Starts a run of a unit.
    pub fn add_run(&mut self, unit: &UnitKey, run: u32) {
        let (unit, checkpoint, progress_percent, load) = (unit.clone(), String::new(), 0, None);
        self.running.push(RunStatus { unit, run, checkpoint, progress_percent, load });
    }

    /// Ends the run of a unit on this worker.
    pub fn complete_run(&mut self, unit: &UnitKey, outcome: RunOutcome) {
        let index = self.running.iter().position(|r| r.unit == *unit).expect("the unit runs here");
        let running = self.running.remove(index);
        self.completion_count += 1;
        self.completions.push(Completion {
            number: self.completion_count,
            unit: unit.clone(),
            run: running.run,
            outcome,
            checkpoint: running.checkpoint,
        });
    }
}
