//! What an owner is to store, and the transaction that is on its way.

use std::sync::Arc;
use std::time::Duration;

use scheduler::Batch;
use scheduler::JobId;
use scheduler::JobRecord;
use scheduler::Moment;
use tokio::sync::oneshot;

use super::requests::answer;
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
const INBOX_MAX: usize = 32;

/// A job that is to be stored.
pub(super) struct Accept {
    pub record: Arc<JobRecord>,
    pub reply: Option<oneshot::Sender<SubmitReply>>,
}

/// A cancellation that is to be stored.
pub(super) struct Cancel {
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
    pub accepts: Vec<Accept>,
    pub cancels: Vec<Cancel>,
    pub sent_at: Moment,
    /// An attempt was not answered, so that it may take effect.
    pub is_uncertain: bool,
}

/// What is to be stored, and what is on its way.
pub(super) struct Pipeline {
    pub row: OwnerRow,
    pub version: RowVersion,
    pub renewed_at: Moment,
    pub sent_at: Moment,
    /// Jobs that are to be stored.
    pub accepts: Vec<Accept>,
    /// Jobs that the next transaction stores; they are planned already, so that it also stores their
    /// first runs.
    pub admitted: Vec<Accept>,
    pub cancels: Vec<Cancel>,
    pub inbox: Vec<String>,
    /// Rows of the inbox are being removed.
    pub is_clearing: bool,
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
            accepts: Vec::new(),
            admitted: Vec::new(),
            cancels: Vec::new(),
            inbox: Vec::new(),
            is_clearing: false,
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
    pub fn accept(&mut self, accept: Accept) {
        self.accepts.push(accept);
    }

    /// True if the job is about to be stored.
    pub fn is_accepting(&self, job: &str) -> bool {
        let is_it = |accept: &Accept| *accept.record.id == *job;
        self.accepts.iter().any(is_it)
            || self.admitted.iter().any(is_it)
            || self.in_flight.as_ref().is_some_and(|flight| flight.accepts.iter().any(is_it))
    }

    /// Jobs of a queue that no transaction holds yet.
    pub fn accepting(&self, queue: &str) -> usize {
        self.accepts.iter().filter(|accept| *accept.record.queue == *queue).count()
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
    pub fn refuse_accepts(&mut self) {
        for accept in std::mem::take(&mut self.accepts) {
            match accept.reply {
                Some(reply) => answer(reply, SubmitReply::NotTaken),
                // Stored in the inbox; it was accepted there.
                None => self.accepts.push(accept),
            }
        }
    }

    /// Cancels a job, once it is stored itself.
    pub fn cancel(&mut self, cancel: Cancel) {
        self.cancels.push(cancel);
    }

    /// Removes a row of the inbox once what it asks for is stored.
    pub fn drop_inbox(&mut self, key: String) {
        if !self.inbox.contains(&key) {
            self.inbox.push(key);
        }
    }
}

impl InFlight {
    /// Takes the jobs out of a transaction that has not taken effect, and refuses them; returns them.
    pub fn refuse_accepts(&mut self) -> Vec<JobId> {
        let mut refused = Vec::new();
        for accept in std::mem::take(&mut self.accepts) {
            let Some(reply) = accept.reply else {
                self.accepts.push(accept);
                continue;
            };
            let id = &*accept.record.id;
            self.transaction.puts.retain(|(table, key, _)| *table != Table::Jobs || key != id);
            answer(reply, SubmitReply::NotTaken);
            refused.push(accept.record.id.clone());
        }
        refused
    }
}

impl Pipeline {
    /// Rows of the inbox whose jobs are stored.
    pub fn ready_inbox(&mut self) -> Vec<String> {
        let keys = std::mem::take(&mut self.inbox);
        let is_stored = |key: &String| !self.is_accepting(key.rsplit('/').next().unwrap_or(key));
        let (mut ready, waiting): (Vec<String>, Vec<String>) =
            keys.into_iter().partition(is_stored);
        let rest = ready.split_off(ready.len().min(INBOX_MAX));
        self.inbox = waiting;
        self.inbox.extend(rest);
        ready
    }

    /// Cancellations that a batch holds.
    pub fn ready_cancels(&mut self, batch: &Batch) -> Vec<Cancel> {
        let is_in = |cancel: &Cancel| {
            let progress = batch.progress.iter().find(|(id, _)| *id == cancel.job);
            progress.is_some_and(|(_, progress)| progress.final_state.is_some())
        };
        let (ready, left) = std::mem::take(&mut self.cancels).into_iter().partition(is_in);
        self.cancels = left;
        ready
    }

    pub fn finish_cancel(&mut self, cancel: Cancel, reply: CancelReply) {
        if let Some(key) = &cancel.inbox_key {
            self.drop_inbox(key.clone());
        }
        cancel.answer(reply);
    }
}

impl Cancel {
    pub fn answer(self, reply: CancelReply) {
        if let Some(sender) = self.reply {
            answer(sender, reply);
        }
    }
}
