//! Workers as the owner knows them: contact, lease, capacity and runs.

use std::sync::Arc;
use std::time::Duration;

use crate::FencingToken;
use crate::Moment;
use crate::WorkerId;
use crate::assignments::AssignmentRow;
use crate::cold_workers::Warmup;
use crate::job::Resources;
use crate::job::UnitKey;
use crate::live_jobs::Run;
use crate::messages::SentPoll;
use crate::messages::WorkerRegistration;
use crate::own_clock::OwnClock;

/// Percentage by which a worker's clock may at most run slower than true time.
const CLOCK_SLOW_PERCENT: u32 = 2;
/// Safety margin added to the expiry of a lease, for rounding and timers that fire late.
const LEASE_SLACK: Duration = Duration::from_millis(100);
/// Longest time for which a call to a worker is in flight: the longest wait of a poll and the time
/// limit of a call.
const CALL_TIME_MAX: Duration = Duration::from_secs(3);

/// Number of consecutive polls that withhold an acknowledgement after which one is sent on any
/// connection.
const WITHHOLDING_POLLS_MAX: u32 = 4;

/// Longest time after which a start without a reply is reckoned to be carried out by a later
/// incarnation. The platform sets no limit.
const LATE_START_MAX: Duration = Duration::from_secs(7);

/// When the worker last replied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It has not replied to this owner. Runs that an earlier owner started may still be there.
    Unheard,
    /// Time of its last reply.
    Heard(Moment),
}

/// A reading of the worker's clock, taken from the reply to a poll.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock_ms: u64,
    /// When the poll was sent: the worker was alive after that.
    requested_at: Moment,
    received_at: Moment,
}

/// A completion that changed a job and whose consequences are not in a batch yet.
#[derive(Clone, Debug)]
pub struct PendingCompletion {
    /// Number of the completion in this incarnation of the worker.
    pub number: u64,
    /// Unit whose run has ended.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: u32,
}

/// State of a worker and of the runs that are or may be there.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the worker has registered about itself.
    pub registration: WorkerRegistration,
    /// Rack of the worker, which is its second label; `None` if it has none.
    pub rack: Option<Arc<str>>,
    /// Fencing token of calls to this incarnation.
    pub token: FencingToken,
    /// This incarnation has replied to a poll with its token, and refuses calls to earlier ones.
    pub is_token_seen: bool,
    /// When it last replied.
    pub contact: Contact,
    /// When it first replied to this owner.
    pub first_contact_at: Option<Moment>,
    /// An assignment row of this worker is stored.
    pub has_row: bool,
    /// It has a new run that its assignment row lacks.
    pub has_unstored_run: bool,
    /// It has listed a run that was not assigned to it, so that its assignment row may lack it.
    pub has_unassigned_run: bool,
    /// When its assignment row was last written with runs that a later incarnation may have started,
    /// and their number.
    pub unconfirmed_in_row: Option<(Moment, usize)>,
    /// The worker is in the registry.
    pub is_registered: bool,
    /// Resources that its runs reserve.
    pub reserved: Resources,
    /// Units whose runs are there or may be there, sorted.
    pub runs: Vec<UnitKey>,
    /// Number of runs of serving units.
    pub serving_runs: usize,
    /// Number of runs of best-effort units.
    pub best_effort_runs: usize,
    /// Number of runs of long-running units.
    pub long_running_runs: usize,
    /// Those of `runs` whose units may crash a worker, sorted.
    pub suspects: Vec<UnitKey>,
    /// Number of runs in its last report that must stop, since their units should not run there.
    pub unexpected_runs: usize,
    /// Highest number of a completion that has been handled.
    pub last_seen_completion: u64,
    /// Its last report was full of completions, so that others may follow once these are
    /// acknowledged.
    pub may_have_unlisted_completions: bool,
    /// Completions that changed a job, until the change is in a batch.
    pub pending_completions: Vec<PendingCompletion>,
    /// Number of the last completion whose consequences are stored, together with those of all
    /// completions before it.
    pub last_stored_completion: u64,
    /// Highest number of a completion that an answered poll has acknowledged.
    pub acknowledged_completion: u64,
    /// Number of consecutive answered polls that withheld an acknowledgement.
    withholding_polls: u32,
    /// Time after which the lease that this owner or an earlier one has requested is over.
    lease_expires_at: Moment,
    /// Time after which no lease is left that a command to an earlier incarnation may have given
    /// this one.
    pub stray_lease_until: Moment,
    /// When a command with a deadline was last sent: each may give a later incarnation a lease of
    /// the longest duration.
    pub deadline_sent_at: Moment,
    /// Number of consecutive polls that were not answered.
    pub failed_polls: u32,
    /// When a poll first broke off since the last reply: if the worker has crashed, it did so then
    /// or later.
    pub broken_off_at: Option<Moment>,
    /// The worker gets no new runs before this time.
    pub backoff_until: Moment,
    /// The worker gets no new runs, since its host is about to be moved or maintained.
    pub is_cordoned: bool,
    /// When it was cordoned.
    pub cordoned_at: Moment,
    /// How long it is slow after its start; `None` if it has never been.
    pub warmup: Option<Warmup>,
    /// When the registry first showed it as draining.
    pub draining_since: Moment,
    /// When a run was last added or removed there.
    pub last_busy_at: Moment,
    clock: Option<ClockReading>,
}

impl Worker {
    /// Creates the state of a worker that was just found.
    pub fn new(registration: WorkerRegistration, lease_expires_at: Moment, now: Moment) -> Self {
        let rack = rack_of(&registration.labels);
        let warmup = Warmup::new(&registration, now);
        Self {
            registration,
            rack,
            token: 0,
            is_token_seen: false,
            contact: Contact::Unheard,
            first_contact_at: None,
            has_row: false,
            has_unstored_run: false,
            has_unassigned_run: false,
            unconfirmed_in_row: None,
            is_registered: true,
            reserved: Resources::default(),
            runs: Vec::new(),
            serving_runs: 0,
            best_effort_runs: 0,
            long_running_runs: 0,
            suspects: Vec::new(),
            unexpected_runs: 0,
            last_seen_completion: 0,
            may_have_unlisted_completions: false,
            pending_completions: Vec::new(),
            last_stored_completion: 0,
            acknowledged_completion: 0,
            withholding_polls: 0,
            lease_expires_at,
            stray_lease_until: Moment::ZERO,
            deadline_sent_at: now,
            failed_polls: 0,
            broken_off_at: None,
            backoff_until: Moment::ZERO,
            is_cordoned: false,
            cordoned_at: Moment::ZERO,
            warmup,
            draining_since: now,
            last_busy_at: now,
            clock: None,
        }
    }

    /// Creates the state of a worker that has assigned runs but is not in the registry.
    pub fn unregistered(
        id: WorkerId,
        row: &AssignmentRow,
        lease_expires_at: Moment,
        now: Moment,
    ) -> Self {
        let registration = WorkerRegistration {
            id,
            incarnation_started_ms: row.incarnation_started_ms,
            pool: row.pool.clone(),
            address: row.address,
            zone: Arc::from(""),
            labels: Arc::from([]),
            capacity: Resources::default(),
            is_draining: false,
            cold_left: Duration::ZERO,
            clock_ms: 0,
            host: None,
        };
        let mut worker = Self::new(registration, lease_expires_at, now);
        worker.is_registered = false;
        worker
    }

    /// Returns the capacity that no run reserves.
    pub fn free_capacity(&self) -> Resources {
        self.registration.capacity.minus(&self.reserved)
    }

    /// Returns true if the worker still takes the runs that are planned there.
    pub fn can_start_planned(&self) -> bool {
        self.is_token_seen
            && !self.registration.is_draining
            && self.reserved.fits_in(&self.registration.capacity)
    }

    /// Returns true if the worker has listed completions whose consequences are not stored yet.
    pub fn has_unstored_completions(&self) -> bool {
        self.last_seen_completion > self.last_stored_completion
    }

    /// Records the reading of the worker's clock in a reply.
    pub fn record_clock(&mut self, clock_ms: u64, requested_at: Moment, received_at: Moment) {
        self.clock = Some(ClockReading { clock_ms, requested_at, received_at });
    }

    /// Returns the last time at which the known incarnation is known to have run, by its reply to a
    /// poll that was sent then.
    pub fn known_at(&self) -> Option<Moment> {
        Some(self.clock?.requested_at)
    }

    /// Returns what tells the known incarnation's replies to calls that are sent at `sent_at` or
    /// later; `None` if the worker has not replied yet.
    pub fn own_clock(&self, sent_at: Moment) -> Option<OwnClock> {
        let (min_ms, known_at) = (self.clock_min_ms(sent_at)?, self.known_at()?);
        Some(OwnClock { min_ms, known_at })
    }

    /// Returns the lowest time that the worker's clock can show now, in milliseconds; `None` if the
    /// worker has not replied yet.
    pub fn clock_min_ms(&self, now: Moment) -> Option<u64> {
        let clock = self.clock?;
        let elapsed = now.saturating_sub(clock.received_at);
        let elapsed_min = elapsed * (100 - CLOCK_SLOW_PERCENT) / 100;
        Some(clock.clock_ms + elapsed_min.as_millis() as u64)
    }

    /// Records that a lease until `deadline_ms` of the worker's clock is requested now.
    pub fn record_lease_request(&mut self, deadline_ms: u64, now: Moment) {
        self.deadline_sent_at = self.deadline_sent_at.max(now);
        let Some(clock) = self.clock else {
            return;
        };
        let remaining = Duration::from_millis(deadline_ms.saturating_sub(clock.clock_ms));
        let expires_at = clock.received_at + true_time_max(remaining);
        self.lease_expires_at = self.lease_expires_at.max(expires_at);
    }

    /// Records that commands to an earlier incarnation may reach this one. Their deadlines are
    /// times of another clock, so that each may give a lease of the longest duration, `lease_max`.
    pub fn record_stray_leases(&mut self, lease_max: Duration) {
        let over_at = self.deadline_sent_at + CALL_TIME_MAX + true_time_max(lease_max);
        self.stray_lease_until = over_at.max(self.lease_over_at());
    }

    /// Records that commands with a deadline for this worker or its earlier incarnation may have been
    /// sent, or may be sent by earlier owners, until `sent_until`.
    pub fn record_earlier_deadlines(&mut self, sent_until: Moment) {
        self.deadline_sent_at = self.deadline_sent_at.max(sent_until);
    }

    /// Records what the worker's reply to a poll shows, which this incarnation has sent.
    pub fn record_answered_poll(&mut self, poll: SentPoll, lease_max: Duration, now: Moment) {
        if poll.token != self.token {
            return;
        }
        self.acknowledged_completion =
            self.acknowledged_completion.max(poll.acknowledged_completion);
        if poll.is_acknowledgement_withheld {
            self.withholding_polls += 1;
        } else if poll.acknowledged_completion > 0 {
            self.withholding_polls = 0;
        }
        if !std::mem::replace(&mut self.is_token_seen, true)
            && self.stray_lease_until > Moment::ZERO
        {
            // Commands to an earlier incarnation may have come until now.
            self.stray_lease_until = now + true_time_max(lease_max);
        }
    }

    /// Returns the number up to which the next poll acknowledges completions; 0 if there are none
    /// to acknowledge. If the last poll was not answered, the worker may have started again, and
    /// would take the number for one of its new completions.
    pub(crate) fn completion_to_acknowledge(&self) -> u64 {
        let is_new = self.last_stored_completion > self.acknowledged_completion;
        match is_new && self.failed_polls == 0 {
            true => self.last_stored_completion,
            false => 0,
        }
    }

    /// Returns true if the next poll acknowledges completions on any connection: the worker seems to
    /// close each connection after its reply, and could not be told otherwise.
    pub fn closes_connections(&self) -> bool {
        self.withholding_polls >= WITHHOLDING_POLLS_MAX
    }

    /// Describes, for the log, what may have reached a later incarnation.
    pub fn calls_in_flight(&self) -> String {
        let (stored, acknowledged) = (self.last_stored_completion, self.acknowledged_completion);
        let runs = self.runs.len();
        format!("runs={runs} stored={stored} acknowledged={acknowledged}")
    }

    /// Returns the time after which nothing runs there, unless the lease is renewed.
    pub fn lease_over_at(&self) -> Moment {
        self.lease_expires_at.max(self.stray_lease_until)
    }

    /// Returns the time after which nothing runs there that a later incarnation may have started,
    /// of which the owner doesn't know.
    pub fn longest_lease_over_at(&self, lease_max: Duration) -> Moment {
        let over_at = self.deadline_sent_at + LATE_START_MAX + true_time_max(lease_max);
        over_at.max(self.lease_over_at())
    }

    /// Returns true if a command with the deadline `deadline_ms` cannot take effect any more.
    pub fn is_deadline_past(&self, deadline_ms: u64, now: Moment) -> bool {
        self.clock_min_ms(now).is_some_and(|clock_ms| clock_ms > deadline_ms)
    }

    /// Returns the time of the worker's last reply to this owner, if there was one.
    pub fn last_contact_at(&self) -> Option<Moment> {
        match self.contact {
            Contact::Unheard => None,
            Contact::Heard(at) => Some(at),
        }
    }

    /// Returns the last time at which the worker is known to have been alive. A connection breaks off
    /// when a process ends, and stays when a host is cut off.
    pub fn last_alive_at(&self) -> Option<Moment> {
        self.last_contact_at().max(self.broken_off_at)
    }

    /// Returns true if the worker's last reply is at most `age_max` old.
    pub fn is_in_contact(&self, age_max: Duration, now: Moment) -> bool {
        self.last_contact_at().is_some_and(|at| now.saturating_sub(at) <= age_max)
    }

    /// Adds the run of a unit and reserves its resources.
    pub fn add_run(&mut self, unit: &UnitKey, run: &Run, is_suspect: bool, now: Moment) {
        if is_suspect && let Err(index) = self.suspects.binary_search(unit) {
            self.suspects.insert(index, unit.clone());
        }
        if let Err(index) = self.runs.binary_search(unit) {
            self.runs.insert(index, unit.clone());
            self.reserved += run.reservation;
            self.serving_runs += usize::from(run.kind.is_serving);
            self.best_effort_runs += usize::from(run.kind.is_best_effort);
            self.long_running_runs += usize::from(run.kind.is_long_running);
        }
        self.last_busy_at = now;
    }

    /// Removes the run of a unit and releases its resources.
    pub fn remove_run(&mut self, unit: &UnitKey, run: &Run, now: Moment) {
        if let Ok(index) = self.runs.binary_search(unit) {
            self.runs.remove(index);
            self.reserved -= run.reservation;
            self.serving_runs -= usize::from(run.kind.is_serving);
            self.best_effort_runs -= usize::from(run.kind.is_best_effort);
            self.long_running_runs -= usize::from(run.kind.is_long_running);
        }
        if let Ok(index) = self.suspects.binary_search(unit) {
            self.suspects.remove(index);
        }
        self.last_busy_at = now;
    }
}

/// Returns the longest time in which a worker's clock advances by `clock_time`.
fn true_time_max(clock_time: Duration) -> Duration {
    clock_time * 100 / (100 - CLOCK_SLOW_PERCENT) + LEASE_SLACK
}

/// Returns the label that names the rack, such as `r1-3`. The first label is the kind of worker,
/// the second one the rack.
fn rack_of(labels: &[String]) -> Option<Arc<str>> {
    labels.get(1).map(|label| Arc::from(label.as_str()))
}
