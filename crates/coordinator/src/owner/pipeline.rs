//! Requests that an owner has yet to store, and the transaction in flight.

use std::time::Duration;

use scheduler::Batch;
use scheduler::JobId;
use scheduler::Moment;
use tokio::sync::oneshot;

use super::requests::send_reply;
use super::submissions::Submissions;
use super::write_times::WriteTimes;
use crate::ports::RowVersion;
use crate::ports::Transaction;
use crate::rows::OwnerRow;
use crate::shared::CancelReply;

/// Time after which a transaction in flight counts as late, so that no more jobs are accepted;
/// above the time of a transaction of a slow store.
const LATE_AFTER: Duration = Duration::from_millis(1_200);

/// Maximum number of inbox rows that are removed together.
const INBOX_REMOVALS_MAX: usize = 32;

/// A cancellation that is to be stored.
pub(super) struct Cancellation {
    pub job: JobId,
    /// Receives the result; none if the request comes from the inbox.
    pub reply: Option<oneshot::Sender<CancelReply>>,
    /// Inbox row that requested it; none if a caller is waiting.
    pub inbox_row: Option<InboxRef>,
}

/// A row of the inbox.
pub(super) struct InboxRef {
    pub key: String,
    /// When the owner learned of the row, after it had been read.
    pub read_at: Moment,
}

/// The transaction in flight, with what depends on its result.
pub(super) struct InFlight {
    pub transaction: Transaction,
    /// Owner's row as the transaction writes it.
    pub row: OwnerRow,
    /// Rows of the scheduler that the transaction writes.
    pub batch: Batch,
    pub cancellations: Vec<Cancellation>,
    pub sent_at: Moment,
    /// When it was sent for the first time.
    pub first_sent_at: Moment,
    /// Number of times that it was sent since `sent_at`.
    pub attempts: u32,
    /// When it was last sent.
    pub attempted_at: Moment,
    /// Whether an attempt got no reply, so that the transaction may have been committed.
    pub is_in_doubt: bool,
}

/// Requests that are waiting to be stored, and the transaction in flight.
pub(super) struct Pipeline {
    /// Owner's row as last committed.
    pub row: OwnerRow,
    /// Version of the owner's row, required by the next transaction.
    pub version: RowVersion,
    /// When the transaction of the takeover was sent.
    pub held_since: Moment,
    /// When the last committed transaction was sent.
    pub renewed_at: Moment,
    /// When the last transaction was sent, committed or not.
    pub sent_at: Moment,
    /// Jobs that are not stored yet.
    pub submissions: Submissions,
    /// Cancellations of jobs that are not finished yet.
    pub cancellations: Vec<Cancellation>,
    /// Keys of the inbox rows to remove once their requests are stored.
    pub inbox_removals: Vec<String>,
    /// Whether rows of the inbox are being removed.
    pub is_removing_inbox: bool,
    pub in_flight: Option<InFlight>,
    /// When the transaction in flight is sent again, after it has failed.
    pub retry_at: Option<Moment>,
    /// Number of attempts to send the transaction in flight that have no reply yet.
    pub pending_replies: usize,
    pub write_times: WriteTimes,
}

impl Pipeline {
    pub fn new(row: OwnerRow, version: RowVersion, sent_at: Moment) -> Self {
        Self {
            row,
            version,
            held_since: sent_at,
            renewed_at: sent_at,
            sent_at,
            submissions: Submissions::default(),
            cancellations: Vec::new(),
            inbox_removals: Vec::new(),
            is_removing_inbox: false,
            in_flight: None,
            retry_at: None,
            pending_replies: 0,
            write_times: WriteTimes::default(),
        }
    }

    /// Returns when the last committed transaction was sent.
    pub fn renewed_at(&self) -> Moment {
        self.renewed_at
    }

    /// Returns whether no transaction is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// Returns whether the transaction that releases the ownership may be committed: an attempt has no
    /// reply, or got none.
    pub fn may_be_released(&self) -> bool {
        let is_open = |in_flight: &InFlight| in_flight.is_in_doubt || self.pending_replies > 0;
        self.in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.row.is_released && is_open(in_flight))
    }

    /// Returns whether the transaction in flight has failed or is late, so that it is unknown when
    /// the next one can be sent.
    pub fn is_stuck(&self, now: Moment) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| {
            self.retry_at.is_some() || now.saturating_sub(in_flight.sent_at) > LATE_AFTER
        })
    }

    /// Adds a cancellation, which takes effect once its job is stored.
    pub fn add_cancellation(&mut self, cancellation: Cancellation) {
        self.cancellations.push(cancellation);
    }

    /// Marks a row of the inbox for removal once its request is stored.
    pub fn add_inbox_removal(&mut self, key: String) {
        if !self.inbox_removals.contains(&key) {
            self.inbox_removals.push(key);
        }
    }
}

impl Pipeline {
    /// Takes the rows of the inbox that may be removed because their jobs are stored, up to
    /// [`INBOX_REMOVALS_MAX`].
    pub fn take_inbox_removals(&mut self) -> Vec<String> {
        let keys = std::mem::take(&mut self.inbox_removals);
        let is_stored = |key: &String| {
            let job = key.rsplit('/').next().unwrap_or(key);
            !self.submissions.contains(job)
        };
        let (mut ready, waiting): (Vec<String>, Vec<String>) =
            keys.into_iter().partition(is_stored);
        let rest = ready.split_off(ready.len().min(INBOX_REMOVALS_MAX));
        self.inbox_removals = waiting;
        self.inbox_removals.extend(rest);
        ready
    }

    /// Returns whether the cancellation of a job that the owner doesn't know is settled. Another
    /// node may have taken over and accepted the job, unless a transaction that was sent after the
    /// row had been read is committed. A caller's node looks for the job in the store.
    pub fn is_settled_if_unknown(&self, cancellation: &Cancellation) -> bool {
        cancellation.inbox_row.as_ref().is_none_or(|row| self.renewed_at > row.read_at)
    }

    /// Takes the cancellations of the jobs whose final state a batch stores.
    pub fn take_ready_cancellations(&mut self, batch: &Batch) -> Vec<Cancellation> {
        let is_in = |cancellation: &Cancellation| {
            let progress = batch.progress.iter().find(|(id, _)| *id == cancellation.job);
            progress.is_some_and(|(_, progress)| progress.final_state.is_some())
        };
        let (ready, remaining) =
            std::mem::take(&mut self.cancellations).into_iter().partition(is_in);
        self.cancellations = remaining;
        ready
    }

    pub fn finish_cancellation(&mut self, cancellation: Cancellation, reply: CancelReply) {
        if let Some(row) = &cancellation.inbox_row {
            self.add_inbox_removal(row.key.clone());
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
