//! The transactions of an owner: one at a time, each on the version that the last one has left.
//!
//! Each changes the owner's row, so that a transaction whose answer was lost either has taken effect,
//! which the row shows, or cannot take effect any more once a later one has.

use std::time::Duration;

use scheduler::Batch;
use scheduler::BatchLimits;
use scheduler::CancelOutcome;
use scheduler::Moment;

use super::End;
use super::Owner;
use super::event::Event;
use super::pipeline::InFlight;
use super::requests::answer;
use crate::clock;
use crate::metrics;
use crate::peers::OwnerClient;
use crate::ports::Platform;
use crate::ports::Row;
use crate::ports::RowVersion;
use crate::ports::Table;
use crate::ports::Transaction;
use crate::ports::Written;
use crate::rows;
use crate::rows::HOST_ORDERS_KEY;
use crate::rows::OWN_HOSTS_KEY;
use crate::rows::OWNER_KEY;
use crate::rows::OwnerRow;
use crate::shared::CancelReply;
use crate::shared::SubmitReply;

/// Jobs that one transaction accepts at most.
const ACCEPTS_MAX: usize = 16;
/// Rows of the scheduler's that one transaction holds at most; with the owner's row and the accepted
/// jobs, it is below what a store takes.
const BATCH_MAX: BatchLimits = BatchLimits { rows_max: 80, progress_rows_max: 80 };
/// Time after which the ownership is renewed if nothing else is to be stored.
const RENEW_AFTER: Duration = Duration::from_millis(500);
/// Pause between two questions to followers to take over.
const ASK_SUCCESSOR_AGAIN: Duration = Duration::from_millis(400);
/// Pause after a transaction that was refused or not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

impl<P: Platform> Owner<P> {
    /// Sends the next transaction if there is something to store and none is on its way.
    pub(super) fn commit_next(&mut self, now: Moment) {
        if self.pipeline.in_flight.is_some() {
            self.resend(now);
            return;
        }
        let batch = self.scheduler.take_batch(BATCH_MAX, now);
        let is_due = now.saturating_sub(self.pipeline.sent_at) >= RENEW_AFTER;
        let has_rows = !batch.has_no_writes() || !self.pipeline.admitted.is_empty();
        if !has_rows && !is_due && self.release.is_none() {
            if !batch.completions.is_empty() {
                self.scheduler.handle_commit(&batch, now);
                self.wake_watches(now);
            }
            return;
        }
        let flight = self.prepare(batch, now);
        self.send(flight, now);
    }

    /// Takes in what became of a transaction.
    pub(super) fn take_written(&mut self, outcome: Written) {
        let now = clock::now();
        self.pipeline.is_sending = false;
        let Some(mut flight) = self.pipeline.in_flight.take() else {
            return;
        };
        self.tally.transaction(now.saturating_sub(flight.sent_at));
        let is_answered = matches!(outcome, Written::Committed(_) | Written::Conflict(_));
        let is_unknown = matches!(outcome, Written::Unknown(_));
        self.shared.note_store(is_answered);
        match outcome {
            Written::Committed(version) => self.take_committed(flight, version, now),
            Written::Conflict(found) => match own_version(&found, &flight.row) {
                Some(version) => self.take_committed(flight, version, now),
                None => self.give_up(flight),
            },
            Written::Refused(why) | Written::Unknown(why) => {
                flight.is_uncertain |= is_unknown;
                if !flight.is_uncertain {
                    for job in flight.refuse_accepts() {
                        self.scheduler.withdraw_job(&job, now);
                    }
                }
                self.pipeline.refuse_accepts();
                self.shared.telemetry.count(metrics::STORE_FAILED);
                telemetry::log::line("store-write-failed")
                    .field("sequence", flight.row.sequence)
                    .text("why", why)
                    .write();
                self.pipeline.in_flight = Some(flight);
                self.pipeline.retry_at = Some(now + RETRY_PAUSE);
                self.ask_successor(now);
            }
        }
    }

    /// Removes rows of the inbox whose requests are stored, if none are being removed.
    pub(super) fn clear_inbox(&mut self) {
        if self.pipeline.is_clearing {
            return;
        }
        let keys = self.pipeline.ready_inbox();
        if keys.is_empty() {
            return;
        }
        self.pipeline.is_clearing = true;
        let shared = self.shared.clone();
        self.spawn(async move {
            let outcome = shared.platform.remove_from_inbox(keys.clone()).await;
            Event::InboxRemoved { keys, outcome }
        });
    }

    /// Takes in whether rows of the inbox were removed; else they are removed again.
    pub(super) fn take_inbox_removed(&mut self, keys: Vec<String>, outcome: Written) {
        self.pipeline.is_clearing = false;
        if matches!(outcome, Written::Committed(_)) {
            return;
        }
        telemetry::log::line("inbox-not-cleared").text("why", format!("{outcome:?}")).write();
        for key in keys {
            self.pipeline.drop_inbox(key);
        }
    }

    /// Takes in the jobs that the next transaction stores, so that their first runs are planned and
    /// stored with them; nothing is ordered before that.
    pub(super) fn admit_accepts(&mut self, now: Moment) {
        if !self.pipeline.is_idle() {
            return;
        }
        let room = ACCEPTS_MAX.saturating_sub(self.pipeline.admitted.len());
        let left = self.pipeline.accepts.split_off(self.pipeline.accepts.len().min(room));
        let admitted = std::mem::replace(&mut self.pipeline.accepts, left);
        for accept in admitted {
            self.scheduler.add_job(accept.record.clone(), now);
            self.pipeline.admitted.push(accept);
        }
    }

    /// Cancels the jobs that are to be cancelled and are stored.
    pub(super) fn review_cancels(&mut self) {
        for cancel in std::mem::take(&mut self.pipeline.cancels) {
            match self.scheduler.cancel(&cancel.job) {
                CancelOutcome::Pending => self.pipeline.cancels.push(cancel),
                CancelOutcome::Ended => self.pipeline.finish_cancel(cancel, CancelReply::Done),
                CancelOutcome::Unknown if self.pipeline.is_accepting(&cancel.job) => {
                    self.pipeline.cancels.push(cancel);
                }
                CancelOutcome::Unknown => self.pipeline.finish_cancel(cancel, CancelReply::NoJob),
            }
        }
    }

    fn prepare(&mut self, batch: Batch, now: Moment) -> InFlight {
        let accepts = std::mem::take(&mut self.pipeline.admitted);
        let pipeline = &mut self.pipeline;
        let row = OwnerRow {
            sequence: pipeline.row.sequence + 1,
            is_released: self.release.is_some(),
            ..pipeline.row.clone()
        };
        let mut transaction = Transaction {
            preconditions: vec![(Table::Owner, OWNER_KEY.to_owned(), pipeline.version)],
            puts: vec![(Table::Owner, OWNER_KEY.to_owned(), rows::encode(&row))],
            removals: Vec::new(),
        };
        for accept in &accepts {
            let record = &accept.record;
            let value = rows::encode(&**record);
            transaction.puts.push((Table::Jobs, record.id.to_string(), value));
        }
        add_rows(&mut transaction, &batch);
        let cancels = pipeline.ready_cancels(&batch);
        let is_uncertain = false;
        InFlight { transaction, row, batch, accepts, cancels, sent_at: now, is_uncertain }
    }

    fn send(&mut self, flight: InFlight, now: Moment) {
        let transaction = flight.transaction.clone();
        self.pipeline.sent_at = now;
        self.pipeline.is_sending = true;
        self.pipeline.in_flight = Some(InFlight { sent_at: now, ..flight });
        let shared = self.shared.clone();
        self.spawn(
            async move { Event::Written { outcome: shared.platform.write(transaction).await } },
        );
    }

    fn resend(&mut self, now: Moment) {
        let is_due = self.pipeline.retry_at.is_some_and(|at| now >= at);
        if !is_due || self.pipeline.is_sending {
            return;
        }
        if let Some(flight) = self.pipeline.in_flight.take() {
            self.send(flight, now);
        }
    }

    fn take_committed(&mut self, flight: InFlight, version: RowVersion, now: Moment) {
        self.pipeline.retry_at = None;
        self.pipeline.version = version;
        self.pipeline.renewed_at = flight.sent_at;
        self.pipeline.row = flight.row.clone();
        if let Some(owning) = self.shared.owner.lock().expect("no holder panics").as_mut() {
            owning.renewed_at = flight.sent_at;
        }
        self.shared.set_owner_row(flight.row.clone(), version);
        for accept in flight.accepts {
            self.shared.telemetry.count(metrics::JOBS_ACCEPTED);
            telemetry::log::line("job-accepted")
                .field("job", &*accept.record.id)
                .field("queue", &*accept.record.queue)
                .field("epoch", self.epoch)
                .field("config_version", self.config_version)
                .write();
            if let Some(reply) = accept.reply {
                answer(reply, SubmitReply::Accepted);
            }
        }
        self.scheduler.handle_commit(&flight.batch, now);
        for (id, progress) in &flight.batch.progress {
            if let Some(state) = progress.final_state {
                self.shared.telemetry.count(metrics::JOBS_ENDED);
                telemetry::log::line("job-ended")
                    .field("job", &**id)
                    .text("state", format!("{state:?}"))
                    .write();
            }
        }
        for cancel in flight.cancels {
            self.pipeline.finish_cancel(cancel, CancelReply::Done);
        }
        self.wake_watches(now);
        if flight.row.is_released {
            if let Some(reply) = self.release.take().and_then(|release| release.reply) {
                answer(reply, ());
            }
            self.end = Some(End::Released);
        }
    }

    /// Asks a follower to take over, since it may reach the store.
    fn ask_successor(&mut self, now: Moment) {
        let is_asked = now.saturating_sub(self.successor_asked_at) < ASK_SUCCESSOR_AGAIN;
        let Some(address) = self.shared.successor(now).filter(|_| !is_asked) else {
            return;
        };
        self.successor_asked_at = now;
        let shared = self.shared.clone();
        self.calls.spawn(async move {
            let successor = OwnerClient { client: &shared.client, address };
            if let Err(error) = successor.hand_over().await {
                telemetry::log::line("successor-not-asked").text("why", error).write();
            }
        });
    }

    fn give_up(&mut self, flight: InFlight) {
        for accept in flight.accepts {
            if let Some(reply) = accept.reply {
                answer(reply, SubmitReply::Unknown);
            }
        }
        for cancel in flight.cancels {
            cancel.answer(CancelReply::Unknown);
        }
        self.end = Some(End::Superseded);
    }
}

/// Version of the owner's row if it is the one that was sent.
fn own_version(found: &[Row], sent: &OwnerRow) -> Option<RowVersion> {
    let row = found.iter().find(|row| row.key == OWNER_KEY)?;
    let owner = rows::decode::<OwnerRow>(&row.key, &row.value).ok()?;
    (owner == *sent).then_some(row.version)
}

/// Adds the rows of a batch to a transaction.
fn add_rows(transaction: &mut Transaction, batch: &Batch) {
    for (id, progress) in &batch.progress {
        transaction.puts.push((Table::Progress, id.to_string(), rows::encode(progress)));
    }
    let jobs_to_unstore = batch.jobs_to_unstore.iter();
    transaction.removals.extend(jobs_to_unstore.map(|id| (Table::Jobs, id.to_string())));
    for (worker, row) in &batch.assignments {
        let value = rows::encode(row);
        transaction.puts.push((Table::Assignments, worker.to_string(), value));
    }
    let assignments_to_remove = batch.assignments_to_remove.iter();
    let removals = assignments_to_remove.map(|worker| (Table::Assignments, worker.to_string()));
    transaction.removals.extend(removals);
    if let Some(orders) = &batch.host_commands {
        let value = rows::encode(orders);
        transaction.puts.push((Table::Owner, HOST_ORDERS_KEY.to_owned(), value));
    }
    if let Some(baseline_hosts) = &batch.baseline_hosts {
        let value = rows::encode(baseline_hosts);
        transaction.puts.push((Table::Owner, OWN_HOSTS_KEY.to_owned(), value));
    }
    for (wave, row) in &batch.waves {
        let value = rows::encode(row);
        transaction.puts.push((Table::Progress, rows::wave_key(*wave), value));
    }
    let expired_jobs = batch.expired_jobs.iter();
    let removals = expired_jobs.map(|id| (Table::Progress, id.to_string()));
    transaction.removals.extend(removals);
}
