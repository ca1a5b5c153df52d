//! Jobs that an owner has yet to store.
//!
//! There is one entry for each job id, so that a job has one state however often it is submitted. A
//! repeated request joins the entry and gets its result. Jobs whose entry is gone are stored, or
//! were refused.

use std::sync::Arc;

use bytes::Bytes;
use scheduler::JobId;
use scheduler::JobRecord;
use tokio::sync::oneshot;

use super::requests::send_reply;
use crate::rows;
use crate::shared::SubmitReply;

/// Who submits a job.
pub(super) enum Submitter {
    /// A caller, who waits for the reply.
    Caller(oneshot::Sender<SubmitReply>),
    /// A row of the inbox. The job was accepted when the row was written.
    Inbox,
}

/// How far the storage of a job has got.
#[derive(Debug, PartialEq, Eq)]
enum Stage {
    /// No transaction has the job, and the scheduler doesn't know it.
    Waiting,
    /// The job is in the transaction that is in flight or about to be sent, with this value. The
    /// scheduler knows it, so that the same transaction also stores its first runs.
    InTransaction(Bytes),
}

/// A job that is to be stored.
struct Submission {
    record: Arc<JobRecord>,
    stage: Stage,
    /// Callers that wait for the result.
    replies: Vec<oneshot::Sender<SubmitReply>>,
    /// A row of the inbox holds the job, so that it must not be refused.
    is_in_inbox: bool,
}

/// The jobs that are to be stored, in the order of their first requests.
#[derive(Default)]
pub(super) struct Submissions {
    entries: Vec<Submission>,
}

impl Submissions {
    /// Adds a job, or a request for one that is to be stored already.
    pub fn add(&mut self, record: Arc<JobRecord>, submitter: Submitter) {
        let index = self.entries.iter().position(|entry| entry.record.id == record.id);
        let index = index.unwrap_or_else(|| {
            self.entries.push(Submission {
                record,
                stage: Stage::Waiting,
                replies: Vec::new(),
                is_in_inbox: false,
            });
            self.entries.len() - 1
        });
        let entry = &mut self.entries[index];
        match submitter {
            Submitter::Caller(reply) => entry.replies.push(reply),
            Submitter::Inbox => entry.is_in_inbox = true,
        }
        if entry.is_in_inbox {
            entry.reply(SubmitReply::Accepted);
        }
    }

    /// Returns whether the job is to be stored.
    pub fn contains(&self, job: &str) -> bool {
        self.entry(job).is_some()
    }

    /// Returns whether a request for the job can still be refused truthfully: nothing of the job is
    /// stored or may be.
    pub fn may_refuse(&self, job: &str) -> bool {
        self.entry(job).is_none_or(Submission::may_refuse)
    }

    /// Returns the number of jobs of a queue that wait for a transaction.
    pub fn waiting_in(&self, queue: &str) -> usize {
        let is_waiting =
            |entry: &&Submission| entry.stage == Stage::Waiting && *entry.record.queue == *queue;
        self.entries.iter().filter(is_waiting).count()
    }

    /// Returns the jobs of the transaction that is in flight or about to be sent, and their encoded
    /// records.
    pub fn in_transaction(&self) -> impl Iterator<Item = (&Arc<JobRecord>, &Bytes)> {
        self.entries.iter().filter_map(|entry| match &entry.stage {
            Stage::Waiting => None,
            Stage::InTransaction(value) => Some((&entry.record, value)),
        })
    }

    /// Moves up to `count_max` waiting jobs to the next transaction and returns them; fewer if their
    /// records have more than `bytes_max` bytes.
    pub fn admit(&mut self, count_max: usize, bytes_max: usize) -> Vec<Arc<JobRecord>> {
        let mut admitted = Vec::new();
        let mut bytes = 0;
        for entry in self.entries.iter_mut().filter(|entry| entry.stage == Stage::Waiting) {
            let value = rows::encode(&*entry.record);
            bytes += value.len();
            if admitted.len() == count_max || (bytes > bytes_max && !admitted.is_empty()) {
                break;
            }
            entry.stage = Stage::InTransaction(value);
            admitted.push(entry.record.clone());
        }
        admitted
    }

    /// Replies to the callers of the jobs of the transaction in flight, which is committed, and
    /// returns these jobs.
    pub fn take_stored(&mut self) -> Vec<Arc<JobRecord>> {
        self.take_if(Submission::is_in_transaction, SubmitReply::Accepted)
    }

    /// Takes the callers' jobs out of the transaction in flight, which is known not to be committed,
    /// refuses them and returns them.
    pub fn withdraw_refused(&mut self) -> Vec<JobId> {
        let is_withdrawn = |entry: &Submission| entry.is_in_transaction() && !entry.is_in_inbox;
        let withdrawn = self.take_if(is_withdrawn, SubmitReply::NotStored);
        withdrawn.into_iter().map(|record| record.id.clone()).collect()
    }

    /// Refuses the callers' jobs that no transaction has.
    pub fn refuse_waiting(&mut self) {
        self.take_if(Submission::may_refuse, SubmitReply::NotStored);
    }

    /// Tells the callers of the jobs in the transaction in flight that it is not known whether it is
    /// committed.
    pub fn reply_unknown(&mut self) {
        self.take_if(Submission::is_in_transaction, SubmitReply::Unknown);
    }

    fn entry(&self, job: &str) -> Option<&Submission> {
        self.entries.iter().find(|entry| *entry.record.id == *job)
    }

    /// Removes entries, replies to their callers and returns the jobs.
    fn take_if(
        &mut self,
        is_taken: impl Fn(&Submission) -> bool,
        reply: SubmitReply,
    ) -> Vec<Arc<JobRecord>> {
        let taken = self.entries.extract_if(.., |entry| is_taken(entry));
        let records = taken.map(|mut entry| {
            entry.reply(reply);
            entry.record
        });
        records.collect()
    }
}

impl Submission {
    fn is_in_transaction(&self) -> bool {
        matches!(self.stage, Stage::InTransaction(_))
    }

    fn may_refuse(&self) -> bool {
        self.stage == Stage::Waiting && !self.is_in_inbox
    }

    fn reply(&mut self, reply: SubmitReply) {
        for caller in self.replies.drain(..) {
            send_reply(caller, reply);
        }
    }
}
