//! The transactions of an owner, sent one at a time, each based on the version that the last one
//! left.
//!
//! Each transaction changes the owner's row. If its reply is lost, the row shows whether it was
//! committed, and it can no longer be committed once a later one is.

use std::time::Duration;

use scheduler::Batch;
use scheduler::BatchLimits;
use scheduler::CancelOutcome;
use scheduler::Moment;
use serde_json::Value;
use serde_json::json;

use super::EndReason;
use super::Owner;
use super::event::Event;
use super::pipeline::Cancellation;
use super::pipeline::InFlight;
use super::requests::send_reply;
use crate::clock;
use crate::job_log::job_line;
use crate::metrics;
use crate::peers::OwnerClient;
use crate::ports::Platform;
use crate::ports::Row;
use crate::ports::RowVersion;
use crate::ports::Table;
use crate::ports::Transaction;
use crate::ports::WriteOutcome;
use crate::rows;
use crate::rows::BASELINE_HOSTS_KEY;
use crate::rows::DURATIONS_KEY;
use crate::rows::HOST_COMMANDS_KEY;
use crate::rows::OWNER_KEY;
use crate::rows::OwnerRow;
use crate::shared::CancelReply;

/// Maximum number of jobs that one transaction accepts.
const SUBMISSIONS_MAX: usize = 16;
/// Maximum number of the scheduler's rows and of accepted jobs in one transaction. Together with
/// the owner's row and its precondition, they stay below the limit of the store, 100 entries.
const ROWS_MAX: usize = 96;
/// Maximum number of bytes of the values in a transaction. The store takes 1 MB of their encoded
/// form, which is a third longer, with the names of the rows.
const TRANSACTION_BYTES_MAX: usize = 700_000;
/// Number of these bytes from which a transaction accepts no further job.
const SUBMISSIONS_BYTES_MAX: usize = 300_000;
/// Time after which a transaction renews the ownership even if there is nothing else to store.
const RENEW_AFTER: Duration = Duration::from_millis(500);
/// Number of rows that are named when the store rejects a transaction.
const LARGEST_ROWS_LOGGED: usize = 3;
/// Pause between two requests to a follower to take over.
const TAKEOVER_REQUEST_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a transaction that the store rejects as it is. A successor stores the changes in other
/// transactions.
const REJECTED_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause after a transaction that was refused or got no reply.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

impl<P: Platform> Owner<P> {
    /// Sends the next transaction if there is something to store and none is in flight.
    pub(super) fn commit_next(&mut self, now: Moment) {
        if self.pipeline.in_flight.is_some() {
            self.resend(now);
            return;
        }
        let submissions = self.pipeline.submissions.in_transaction().count();
        let rows_max = ROWS_MAX - submissions;
        let bytes_max = TRANSACTION_BYTES_MAX - SUBMISSIONS_BYTES_MAX;
        let limits = BatchLimits { rows_max, progress_rows_max: rows_max, bytes_max };
        let batch = self.scheduler.take_batch(limits, now);
        let is_due = now.saturating_sub(self.pipeline.sent_at) >= RENEW_AFTER;
        let has_rows = !batch.has_no_writes() || submissions > 0;
        if !has_rows && !is_due && self.release.is_none() {
            if !batch.completions.is_empty() {
                self.scheduler.handle_commit(&batch, now);
                self.resume_polls(now);
            }
            return;
        }
        let in_flight = self.prepare(batch, now);
        self.send(in_flight, now);
    }

    /// Handles the result of an attempt to send a transaction.
    pub(super) fn handle_write_outcome(
        &mut self,
        sequence: u64,
        sent_at: Moment,
        outcome: WriteOutcome,
    ) {
        let now = clock::now();
        // Another attempt may have shown the result already.
        let is_of_sequence = |in_flight: &mut InFlight| in_flight.row.sequence == sequence;
        let Some(mut in_flight) = self.pipeline.in_flight.take_if(is_of_sequence) else {
            return;
        };
        self.pipeline.pending_replies -= 1;
        let took = now.saturating_sub(sent_at);
        self.stats.record_transaction(took);
        let has_succeeded =
            matches!(outcome, WriteOutcome::Committed(_) | WriteOutcome::Conflict(_));
        let is_unknown = matches!(outcome, WriteOutcome::Unknown(_));
        let is_rejected = matches!(outcome, WriteOutcome::Rejected(_));
        self.shared.node.record_store_reply(has_succeeded);
        if has_succeeded {
            self.pipeline.write_times.record(took);
            // A conflict does not show which attempt was committed.
            let is_committed = matches!(outcome, WriteOutcome::Committed(_));
            in_flight.sent_at = if is_committed { sent_at } else { in_flight.first_sent_at };
        } else if self.pipeline.pending_replies > 0 {
            in_flight.is_in_doubt |= is_unknown;
            self.pipeline.in_flight = Some(in_flight);
            return;
        }
        match outcome {
            WriteOutcome::Committed(version) => self.handle_committed(in_flight, version, now),
            WriteOutcome::Conflict(found) => match version_if_committed(&found, &in_flight.row) {
                Some(version) => self.handle_committed(in_flight, version, now),
                None => self.handle_conflict(in_flight),
            },
            WriteOutcome::Refused(why)
            | WriteOutcome::Rejected(why)
            | WriteOutcome::Unknown(why) => {
                in_flight.is_in_doubt |= is_unknown;
                if !in_flight.is_in_doubt {
                    self.withdraw_refused(&mut in_flight, now);
                }
                self.pipeline.submissions.refuse_waiting();
                self.shared.node.telemetry.count(metrics::STORE_FAILED);
                telemetry::log::line("store-write-failed")
                    .field("sequence", in_flight.row.sequence)
                    .text("why", why)
                    .write();
                if is_rejected {
                    self.report_rejected(&in_flight);
                }
                let pause = if is_rejected { REJECTED_RETRY_PAUSE } else { RETRY_PAUSE };
                self.pipeline.in_flight = Some(in_flight);
                self.pipeline.retry_at = Some(now + pause);
                self.request_takeover(now);
            }
        }
    }

    /// Removes the rows of the inbox whose requests are stored, unless a removal is in progress.
    pub(super) fn remove_inbox_rows(&mut self) {
        if self.pipeline.is_removing_inbox {
            return;
        }
        let keys = self.pipeline.take_inbox_removals();
        if keys.is_empty() {
            return;
        }
        telemetry::log::line("inbox-rows-removed")
            .field("shard", self.shared.shard)
            .field("epoch", self.epoch)
            .field("rows", keys.clone())
            .write();
        self.pipeline.is_removing_inbox = true;
        let shared = self.shared.clone();
        self.spawn(async move {
            let outcome = shared.node.platform.remove_from_inbox(keys.clone()).await;
            Event::InboxRemoved { keys, outcome }
        });
    }

    /// Handles the result of a removal of inbox rows; a failed one is repeated.
    pub(super) fn handle_inbox_removed(&mut self, keys: Vec<String>, outcome: WriteOutcome) {
        self.pipeline.is_removing_inbox = false;
        if matches!(outcome, WriteOutcome::Committed(_)) {
            return;
        }
        telemetry::log::line("inbox-not-cleared").text("why", format!("{outcome:?}")).write();
        for key in keys {
            self.pipeline.add_inbox_removal(key);
        }
    }

    /// Hands the jobs that the next transaction stores to the scheduler, so that their first runs
    /// are planned and stored along with them. No start command is sent before that transaction is
    /// committed.
    pub(super) fn admit_submissions(&mut self, now: Moment) {
        if !self.pipeline.is_idle() {
            return;
        }
        let admitted = self.pipeline.submissions.admit(SUBMISSIONS_MAX, SUBMISSIONS_BYTES_MAX);
        for record in admitted {
            self.scheduler.add_job(record, now);
        }
    }

    /// Takes the callers' jobs out of a transaction that is known not to be committed. None of
    /// their runs has been started, and none must be left in a row: the next request for the job may
    /// give its run numbers to other workers.
    fn withdraw_refused(&mut self, in_flight: &mut InFlight, now: Moment) {
        let withdrawn = self.pipeline.submissions.withdraw_refused();
        if withdrawn.is_empty() {
            return;
        }
        for job in &withdrawn {
            if self.scheduler.withdraw_job(job, now) {
                in_flight.batch.remove_job(job);
            }
        }
        let is_withdrawn = |cancellation: &mut Cancellation| withdrawn.contains(&cancellation.job);
        // Whether the job exists elsewhere is found out as for any other unknown one.
        let cancellations = in_flight.cancellations.extract_if(.., is_withdrawn);
        self.pipeline.cancellations.extend(cancellations);
        in_flight.transaction = self.transaction(&in_flight.row, &in_flight.batch);
    }

    /// Passes the pending cancellations to the scheduler. Those of submissions that it doesn't know
    /// yet wait; those of jobs that have ended or certainly don't exist are answered.
    pub(super) fn process_cancellations(&mut self) {
        for cancellation in std::mem::take(&mut self.pipeline.cancellations) {
            match self.scheduler.cancel(&cancellation.job) {
                CancelOutcome::Pending => self.pipeline.cancellations.push(cancellation),
                CancelOutcome::Ended => {
                    self.pipeline.finish_cancellation(cancellation, CancelReply::Done)
                }
                CancelOutcome::Unknown if self.must_keep_unknown(&cancellation) => {
                    self.pipeline.cancellations.push(cancellation);
                }
                CancelOutcome::Unknown => {
                    self.pipeline.finish_cancellation(cancellation, CancelReply::NoJob)
                }
            }
        }
    }

    /// Returns whether the job of a cancellation, which the scheduler doesn't know, may exist.
    fn must_keep_unknown(&self, cancellation: &Cancellation) -> bool {
        self.pipeline.submissions.contains(&cancellation.job)
            || !self.pipeline.is_settled_if_unknown(cancellation)
    }

    fn prepare(&mut self, batch: Batch, now: Moment) -> InFlight {
        let row = OwnerRow {
            sequence: self.pipeline.row.sequence + 1,
            is_released: self.release.is_some(),
            held_ms: now.saturating_sub(self.pipeline.held_since).as_millis() as u64,
            ..self.pipeline.row.clone()
        };
        let transaction = self.transaction(&row, &batch);
        let cancellations = self.pipeline.take_ready_cancellations(&batch);
        let (attempts, is_in_doubt) = (0, false);
        InFlight {
            transaction,
            row,
            batch,
            cancellations,
            sent_at: now,
            first_sent_at: now,
            attempts,
            attempted_at: now,
            is_in_doubt,
        }
    }

    /// Returns the transaction that writes the owner's row, a batch and the admitted jobs.
    fn transaction(&self, row: &OwnerRow, batch: &Batch) -> Transaction {
        let mut transaction = Transaction {
            shard: self.shared.shard,
            preconditions: vec![(Table::Owner, OWNER_KEY.to_owned(), self.pipeline.version)],
            puts: vec![(Table::Owner, OWNER_KEY.to_owned(), rows::encode(row))],
            removals: Vec::new(),
        };
        for (record, value) in self.pipeline.submissions.in_transaction() {
            // The record of a job that was cancelled before it is stored is removed at once. What the
            // store does with a row that is both written and removed is not known.
            if !batch.jobs_to_unstore.contains(&record.id) {
                transaction.puts.push((Table::Jobs, record.id.to_string(), value.clone()));
            }
        }
        add_rows(&mut transaction, batch);
        transaction
    }

    /// Logs the largest rows of a transaction that the store rejects as it is.
    fn report_rejected(&self, in_flight: &InFlight) {
        self.shared.node.telemetry.count(metrics::STORE_REJECTED);
        let puts = &in_flight.transaction.puts;
        let mut sizes: Vec<(usize, String)> = puts
            .iter()
            .map(|(table, key, value)| (value.len(), format!("{table:?}/{key}")))
            .collect();
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        sizes.truncate(LARGEST_ROWS_LOGGED);
        let largest = sizes.iter().map(|(bytes, row)| json!([row, bytes]));
        telemetry::log::line("store-write-rejected")
            .field("sequence", in_flight.row.sequence)
            .field("rows", puts.len())
            .field("bytes", puts.iter().map(|(.., value)| value.len()).sum::<usize>())
            .field("largest", largest.collect::<Vec<Value>>())
            .write();
    }

    /// Sends a transaction, or sends it again after all attempts have failed.
    fn send(&mut self, in_flight: InFlight, now: Moment) {
        self.pipeline.sent_at = now;
        self.pipeline.pending_replies = 0;
        self.send_attempt(InFlight { sent_at: now, attempts: 0, ..in_flight }, now);
    }

    /// Makes one attempt to send a transaction. Others may be pending: at most one of them is
    /// committed, and the others then find its row.
    fn send_attempt(&mut self, in_flight: InFlight, now: Moment) {
        let (transaction, sequence) = (in_flight.transaction.clone(), in_flight.row.sequence);
        self.pipeline.pending_replies += 1;
        let attempts = in_flight.attempts + 1;
        self.pipeline.in_flight = Some(InFlight { attempts, attempted_at: now, ..in_flight });
        let shared = self.shared.clone();
        self.spawn(async move {
            let outcome = shared.node.platform.write(transaction).await;
            Event::TransactionDone { sequence, sent_at: now, outcome }
        });
    }

    /// Sends the transaction in flight again if it has failed, or if its reply is late and may have
    /// been lost.
    fn resend(&mut self, now: Moment) {
        let retry_at = self.pipeline.retry_at;
        let is_failed = self.pipeline.pending_replies == 0;
        let is_due = |in_flight: &mut InFlight| match is_failed {
            true => retry_at.is_some_and(|at| now >= at),
            false => {
                let InFlight { attempted_at, attempts, .. } = *in_flight;
                self.pipeline.write_times.is_late(attempted_at, attempts, now)
            }
        };
        let Some(in_flight) = self.pipeline.in_flight.take_if(is_due) else {
            return;
        };
        match is_failed {
            true => self.send(in_flight, now),
            false => self.send_attempt(in_flight, now),
        }
    }

    fn handle_committed(&mut self, in_flight: InFlight, version: RowVersion, now: Moment) {
        self.pipeline.retry_at = None;
        self.pipeline.version = version;
        self.pipeline.renewed_at = in_flight.sent_at;
        self.pipeline.row = in_flight.row.clone();
        if let Some(ownership) = self.shared.owner.lock().expect("lock is never poisoned").as_mut()
        {
            ownership.renewed_at = in_flight.sent_at;
        }
        self.shared.set_owner_row(in_flight.row.clone(), version);
        for record in self.pipeline.submissions.take_stored() {
            self.shared.node.telemetry.count(metrics::JOBS_ACCEPTED);
            job_line("job-accepted", &record.id)
                .field("job", &*record.id)
                .field("queue", &*record.queue)
                .field("shard", self.shared.shard)
                .field("epoch", self.epoch)
                .field("config_version", self.config_version)
                .write();
        }
        self.scheduler.handle_commit(&in_flight.batch, now);
        for (id, progress) in &in_flight.batch.progress {
            if let Some(state) = progress.final_state {
                self.shared.node.telemetry.count(metrics::JOBS_ENDED);
                job_line("job-ended", id)
                    .field("job", &**id)
                    .text("state", format!("{state:?}"))
                    .write();
            }
        }
        for cancellation in in_flight.cancellations {
            self.pipeline.finish_cancellation(cancellation, CancelReply::Done);
        }
        self.resume_polls(now);
        if in_flight.row.is_released {
            if let Some(reply) = self.release.take().and_then(|release| release.reply) {
                send_reply(reply, ());
            }
            self.end_reason = Some(EndReason::Released);
        }
    }

    /// Requests a follower to take over, since it may be able to reach the store.
    fn request_takeover(&mut self, now: Moment) {
        let is_requested = now.saturating_sub(self.takeover_requested_at) < TAKEOVER_REQUEST_PAUSE;
        let Some(address) = self.shared.successor(now).filter(|_| !is_requested) else {
            return;
        };
        self.takeover_requested_at = now;
        let shared = self.shared.clone();
        self.calls.spawn(async move {
            let successor =
                OwnerClient { client: &shared.node.client, address, shard: shared.shard };
            if let Err(error) = successor.request_takeover().await {
                telemetry::log::line("successor-not-asked").text("why", error).write();
            }
        });
    }

    fn handle_conflict(&mut self, in_flight: InFlight) {
        self.pipeline.submissions.reply_unknown();
        for cancellation in in_flight.cancellations {
            cancellation.send_reply(CancelReply::Unknown);
        }
        self.end_reason = Some(EndReason::Superseded);
    }
}

/// Returns the version of the owner's row if the stored row is the one that was sent.
fn version_if_committed(found: &[Row], sent: &OwnerRow) -> Option<RowVersion> {
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
    if let Some(commands) = &batch.host_commands {
        let value = rows::encode(commands);
        transaction.puts.push((Table::Owner, HOST_COMMANDS_KEY.to_owned(), value));
    }
    if let Some(baseline_hosts) = &batch.baseline_hosts {
        let value = rows::encode(baseline_hosts);
        transaction.puts.push((Table::Owner, BASELINE_HOSTS_KEY.to_owned(), value));
    }
    if let Some(durations) = &batch.durations {
        let value = rows::encode(durations);
        transaction.puts.push((Table::Owner, DURATIONS_KEY.to_owned(), value));
    }
    for (wave, row) in &batch.waves {
        let value = rows::encode(row);
        transaction.puts.push((Table::Progress, rows::wave_key(*wave), value));
    }
    let expired_jobs = batch.expired_jobs.iter();
    let removals = expired_jobs.map(|id| (Table::Progress, id.to_string()));
    transaction.removals.extend(removals);
}
