//! Workers as the owner sees them: contact, lease, room and runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::WorkerId;
use crate::job::Resources;
use crate::job::UnitKey;
use crate::report::WorkerRegistration;

/// How much slower than true time a worker's clock may run, in percent.
const CLOCK_SLOW_PERCENT: u32 = 2;
/// Time that is added to the end of a lease, for rounding and timers that fire late.
const LEASE_SLACK: Duration = Duration::from_millis(100);

/// Whether a worker answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It has not answered this owner; it may run what an owner before has started.
    Unheard,
    /// It answered last at this time.
    Heard(Moment),
}

/// The worker's clock, as read in an answer.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock_ms: u64,
    received_at: Moment,
}

/// An end of a run that changed a job.
#[derive(Clone, Debug)]
pub struct PendingCompletion {
    /// Number of the end in this life of the worker.
    pub number: u64,
    /// Unit.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: u32,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it has registered.
    pub registration: WorkerRegistration,
    /// Its rack, if a label names one.
    pub rack: Option<Arc<str>>,
    /// Whether it answers.
    pub contact: Contact,
    /// When this owner has first heard it.
    pub heard_since: Option<Moment>,
    /// A row says what it runs.
    pub has_row: bool,
    /// A run was added that its row lacks.
    pub lacks_run: bool,
    /// Its entry is in the registry.
    pub is_registered: bool,
    /// What its runs take.
    pub used: Resources,
    /// Runs that are or may be there, sorted.
    pub runs: Vec<UnitKey>,
    /// Runs that it listed last and that are to stop, since their units are not wanted there.
    pub strays: usize,
    /// Highest number of an end that was taken in.
    pub last_seen_completion: u64,
    /// Ends that changed a job, until what they changed is in a batch.
    pub pending_completions: Vec<PendingCompletion>,
    /// Highest number of an end of which the consequences are stored.
    pub last_stored_completion: u64,
    /// Nothing may run there after this time, unless the lease is renewed.
    pub lease_over_at: Moment,
    /// Failures in a row to reach it.
    pub misses: u32,
    /// Takes no new runs before this time.
    pub shunned_until: Moment,
    /// New units are kept away, since its host is to be moved or maintained.
    pub is_cordoned: bool,
    /// When the cordon began.
    pub cordoned_at: Moment,
    /// When it was first seen to be leaving.
    pub draining_since: Moment,
    /// When it last had something to run.
    pub busy_at: Moment,
    clock: Option<ClockReading>,
}

impl Worker {
    /// A worker that has just been found.
    pub fn new(registration: WorkerRegistration, lease_over_at: Moment, now: Moment) -> Self {
        let rack = rack_of(&registration.labels);
        Self {
            registration,
            rack,
            contact: Contact::Unheard,
            heard_since: None,
            has_row: false,
            lacks_run: false,
            is_registered: true,
            used: Resources::default(),
            runs: Vec::new(),
            strays: 0,
            last_seen_completion: 0,
            pending_completions: Vec::new(),
            last_stored_completion: 0,
            lease_over_at,
            misses: 0,
            shunned_until: Moment::ZERO,
            is_cordoned: false,
            cordoned_at: Moment::ZERO,
            draining_since: now,
            busy_at: now,
            clock: None,
        }
    }

    /// A worker that is not in the registry.
    pub fn unlisted(
        id: WorkerId,
        pool: PoolName,
        address: SocketAddr,
        lease_over_at: Moment,
        now: Moment,
    ) -> Self {
        let registration = WorkerRegistration {
            id,
            incarnation_started_ms: 0,
            pool,
            address,
            zone: Arc::from(""),
            labels: Arc::from([]),
            capacity: Resources::default(),
            is_draining: true,
            clock_ms: 0,
            host: None,
        };
        let mut worker = Self::new(registration, lease_over_at, now);
        worker.is_registered = false;
        worker
    }

    /// What is free.
    pub fn free(&self) -> Resources {
        self.registration.capacity.minus(&self.used)
    }

    /// True if it has listed ends of which the consequences are not stored yet.
    pub fn has_unstored_completions(&self) -> bool {
        self.last_seen_completion > self.last_stored_completion
    }

    /// Takes in the clock of an answer.
    pub fn read_clock(&mut self, clock_ms: u64, received_at: Moment) {
        self.clock = Some(ClockReading { clock_ms, received_at });
    }

    /// Least time that the worker's clock can show now, in milliseconds.
    pub fn clock_min_ms(&self, now: Moment) -> Option<u64> {
        let clock = self.clock?;
        let elapsed = now.saturating_sub(clock.received_at);
        let least = elapsed * (100 - CLOCK_SLOW_PERCENT) / 100;
        Some(clock.clock_ms + least.as_millis() as u64)
    }

    /// Notes that a lease up to `deadline_ms` of the worker's clock has been asked for.
    pub fn lease_asked(&mut self, deadline_ms: u64) {
        let Some(clock) = self.clock else {
            return;
        };
        let left = Duration::from_millis(deadline_ms.saturating_sub(clock.clock_ms));
        let longest = left * 100 / (100 - CLOCK_SLOW_PERCENT) + LEASE_SLACK;
        self.lease_over_at = self.lease_over_at.max(clock.received_at + longest);
    }

    /// True if an order with a deadline of `deadline_ms` can have no effect any more.
    pub fn is_past(&self, deadline_ms: u64, now: Moment) -> bool {
        self.clock_min_ms(now).is_some_and(|clock_ms| clock_ms > deadline_ms)
    }

    /// True if it has answered within `age_max`.
    pub fn is_in_contact(&self, age_max: Duration, now: Moment) -> bool {
        match self.contact {
            Contact::Unheard => false,
            Contact::Heard(at) => now.saturating_sub(at) <= age_max,
        }
    }

    /// Adds a run.
    pub fn add_run(&mut self, unit: &UnitKey, room: &Resources, now: Moment) {
        if let Err(index) = self.runs.binary_search(unit) {
            self.runs.insert(index, unit.clone());
            self.used += *room;
        }
        self.busy_at = now;
    }

    /// Removes a run.
    pub fn remove_run(&mut self, unit: &UnitKey, room: &Resources, now: Moment) {
        if let Ok(index) = self.runs.binary_search(unit) {
            self.runs.remove(index);
            self.used -= *room;
        }
        self.busy_at = now;
    }
}

/// The label that names a rack, as in `r1-3`: all labels but the first, which is the worker's kind.
fn rack_of(labels: &[String]) -> Option<Arc<str>> {
    labels.get(1).map(|label| Arc::from(label.as_str()))
}
