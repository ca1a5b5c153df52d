//! What an owner is to store, and the transaction that is on its way.

use std::sync::Arc;
use std::time::Duration;

use scheduler::Batch;
use scheduler::JobId;
use scheduler::JobRecord;
use scheduler::Moment;
use tokio::sync::oneshot;

use super::requests::send_reply;
use crate::ports::RowVersion;
use crate::ports::Table;
use crate::ports::Transaction;
use crate::rows::OwnerRow;
use crate::shared::CancelReply;
use crate::shared::SubmitReply;

/// Age of a transaction in progress from which on no more jobs are taken; above the time of one of a
/// slow store.
const LATE_AFTER: Duration = Duration::from_millis(1_200);

/// Rows of the inbox that are removed together at most.
const INBOX_REMOVALS_MAX: usize = 32;

/// A job that is to be stored.
pub(super) struct Submission {
    pub record: Arc<JobRecord>,
    pub reply: Option<oneshot::Sender<SubmitReply>>,
}

/// A cancellation that is to be stored.
pub(super) struct Cancellation {
    pub job: JobId,
    /// Gets the answer, if a caller waits for it.
    pub reply: Option<oneshot::Sender<CancelReply>>,
    /// Row of the inbox that asks for it.
    pub inbox_key: Option<String>,
}

/// What a transaction in progress holds.
pub(super) struct InFlight {
    pub transaction: Transaction,
    pub row: OwnerRow,
    pub batch: Batch,
    pub submissions: Vec<Submission>,
    pub cancellations: Vec<Cancellation>,
    pub sent_at: Moment,
    /// An attempt was not answered, so that it may take effect.
    pub is_in_doubt: bool,
}

/// What is to be stored, and what is on its way.
pub(super) struct Pipeline {
    pub row: OwnerRow,
    pub version: RowVersion,
    pub renewed_at: Moment,
    pub sent_at: Moment,
    /// Jobs that are to be stored.
    pub submissions: Vec<Submission>,
    /// Jobs that the next transaction stores; they are planned already, so that it also stores their
    /// first runs.
    pub admitted: Vec<Submission>,
    pub cancellations: Vec<Cancellation>,
    pub inbox_removals: Vec<String>,
    /// Rows of the inbox are being removed.
    pub is_removing_inbox: bool,
    pub in_flight: Option<InFlight>,
    /// When the transaction in flight is sent again, once it has failed.
    pub retry_at: Option<Moment>,
    /// The transaction in flight is on its way.
    pub is_sending: bool,
}

impl Pipeline {
    pub fn new(row: OwnerRow, version: RowVersion, sent_at: Moment) -> Self {
        Self {
            row,
            version,
            renewed_at: sent_at,
            sent_at,
            submissions: Vec::new(),
            admitted: Vec::new(),
            cancellations: Vec::new(),
            inbox_removals: Vec::new(),
            is_removing_inbox: false,
            in_flight: None,
            retry_at: None,
            is_sending: false,
        }
    }

    /// When the last transaction that was committed was sent.
    pub fn renewed_at(&self) -> Moment {
        self.renewed_at
    }

    /// Stores a job with the next transaction.
    pub fn add_submission(&mut self, submission: Submission) {
        self.submissions.push(submission);
    }

    /// True if the job is about to be stored.
    pub fn has_submission(&self, job: &str) -> bool {
        let is_it = |submission: &Submission| *submission.record.id == *job;
        self.submissions.iter().any(is_it)
            || self.admitted.iter().any(is_it)
            || self.in_flight.as_ref().is_some_and(|flight| flight.submissions.iter().any(is_it))
    }

    /// Jobs of a queue that no transaction holds yet.
    pub fn waiting_submissions(&self, queue: &str) -> usize {
        self.submissions.iter().filter(|submission| *submission.record.queue == *queue).count()
    }

    /// True if no transaction is on its way.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// True if a transaction has failed or is late, so that the next one cannot be promised.
    pub fn is_stuck(&self, now: Moment) -> bool {
        self.in_flight.as_ref().is_some_and(|flight| {
            self.retry_at.is_some() || now.saturating_sub(flight.sent_at) > LATE_AFTER
        })
    }

    /// Refuses the jobs that are not part of a transaction yet.
    pub fn refuse_submissions(&mut self) {
        for submission in std::mem::take(&mut self.submissions) {
            match submission.reply {
                Some(reply) => send_reply(reply, SubmitReply::NotStored),
                // Stored in the inbox; it was accepted there.
                None => self.submissions.push(submission),
            }
        }
    }

    /// Cancels a job, once it is stored itself.
    pub fn add_cancellation(&mut self, cancellation: Cancellation) {
        self.cancellations.push(cancellation);
    }

    /// Removes a row of the inbox once what it asks for is stored.
    pub fn add_inbox_removal(&mut self, key: String) {
        if !self.inbox_removals.contains(&key) {
            self.inbox_removals.push(key);
        }
    }
}

impl InFlight {
    /// Takes the jobs out of a transaction that has not taken effect, and refuses them; returns them.
    pub fn refuse_submissions(&mut self) -> Vec<JobId> {
        let mut refused = Vec::new();
        for submission in std::mem::take(&mut self.submissions) {
            let Some(reply) = submission.reply else {
                self.submissions.push(submission);
                continue;
            };
            let id = &*submission.record.id;
            self.transaction.puts.retain(|(table, key, _)| *table != Table::Jobs || key != id);
            send_reply(reply, SubmitReply::NotStored);
            refused.push(submission.record.id.clone());
        }
        refused
    }
}

impl Pipeline {
    /// Rows of the inbox whose jobs are stored.
    pub fn take_inbox_removals(&mut self) -> Vec<String> {
        let keys = std::mem::take(&mut self.inbox_removals);
        let is_stored = |key: &String| !self.has_submission(key.rsplit('/').next().unwrap_or(key));
        let (mut ready, waiting): (Vec<String>, Vec<String>) =
            keys.into_iter().partition(is_stored);
        let rest = ready.split_off(ready.len().min(INBOX_REMOVALS_MAX));
        self.inbox_removals = waiting;
        self.inbox_removals.extend(rest);
        ready
    }

    /// Cancellations that a batch holds.
    pub fn take_ready_cancellations(&mut self, batch: &Batch) -> Vec<Cancellation> {
        let is_in = |cancellation: &Cancellation| {
            let progress = batch.progress.iter().find(|(id, _)| *id == cancellation.job);
            progress.is_some_and(|(_, progress)| progress.ended.is_some())
        };
        let (ready, remaining) =
            std::mem::take(&mut self.cancellations).into_iter().partition(is_in);
        self.cancellations = remaining;
        ready
    }

    pub fn finish_cancellation(&mut self, cancellation: Cancellation, reply: CancelReply) {
        if let Some(key) = &cancellation.inbox_key {
            self.add_inbox_removal(key.clone());
        }
        cancellation.send_reply(reply);
    }
}

impl Cancellation {
    pub fn send_reply(self, reply: CancelReply) {
        if let Some(sender) = self.reply {
            send_reply(sender, reply);
        }
    }
}
