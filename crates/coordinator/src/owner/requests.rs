//! Handles the requests of callers that nodes pass to the owner.

use std::sync::Arc;

use scheduler::JobRecord;
use scheduler::JobView;
use tokio::sync::oneshot;

use super::Owner;
use super::Release;
use super::pipeline::Cancellation;
use super::pipeline::InboxRef;
use super::submissions::Submitter;
use crate::caller_api::is_allowed;
use crate::clock;
use crate::job_log::job_line;
use crate::ports::Platform;
use crate::ports::Row;
use crate::rows;
use crate::rows::InboxRow;
use crate::shared::CancelReply;
use crate::shared::OwnerRequest;
use crate::shared::Requester;
use crate::shared::StateReply;
use crate::shared::SubmitReply;

/// Prefix of the keys of submissions in the inbox.
const SUBMIT_PREFIX: &str = "submit/";

impl<P: Platform> Owner<P> {
    pub(super) fn handle_request(&mut self, request: OwnerRequest) {
        match request {
            OwnerRequest::Submit { record, reply } => self.handle_submit(record, reply),
            OwnerRequest::State { job, requester, reply } => {
                send_reply(reply, self.state(&job, &requester))
            }
            OwnerRequest::Cancel { job, requester, reply } => {
                self.handle_cancel(&job, &requester, reply)
            }
            OwnerRequest::CountWaiting { queue, reply } => {
                let waiting = self.pipeline.submissions.waiting_in(&queue);
                send_reply(reply, self.scheduler.queued_jobs(&queue) + waiting);
            }
            OwnerRequest::Release { reply } => self.release = Some(Release { reply: Some(reply) }),
        }
    }

    fn handle_submit(&mut self, record: Arc<JobRecord>, reply: oneshot::Sender<SubmitReply>) {
        if self.is_stored(&record.id) {
            return send_reply(reply, SubmitReply::Accepted);
        }
        let is_refusing = self.release.is_some() || self.pipeline.is_stuck(clock::now());
        if is_refusing && self.pipeline.submissions.may_refuse(&record.id) {
            return send_reply(reply, SubmitReply::NotStored);
        }
        self.pipeline.submissions.add(record, Submitter::Caller(reply));
    }

    /// Returns whether the job is stored; one in a transaction in flight may still be refused.
    fn is_stored(&self, job: &str) -> bool {
        self.scheduler.view(job).is_some() && !self.pipeline.submissions.contains(job)
    }

    /// Handles the requests that nodes have stored in the inbox; those of other shards are left
    /// alone.
    pub(super) fn handle_inbox(&mut self, mut stored: Vec<Row>) {
        // A job may have been both submitted and cancelled through the inbox: the submission goes
        // first.
        stored.sort_by_key(|row| !row.key.starts_with(SUBMIT_PREFIX));
        for row in stored {
            match rows::decode_or_log(&row) {
                Some(InboxRow::Submit(record)) if !self.shared.has_job(&record) => {}
                Some(InboxRow::Cancel { shard, .. }) if shard != self.shared.shard => {}
                Some(InboxRow::Submit(record)) => {
                    if !self.is_stored(&record.id) {
                        self.pipeline.submissions.add(Arc::new(record), Submitter::Inbox);
                    }
                    self.pipeline.add_inbox_removal(row.key);
                }
                Some(InboxRow::Cancel { job, .. }) => {
                    let (job, reply) = (job.into(), None);
                    let inbox_row = Some(InboxRef { key: row.key, read_at: clock::now() });
                    self.pipeline.add_cancellation(Cancellation { job, reply, inbox_row });
                }
                // It stays: a node of a later version may have stored an accepted request.
                None => {}
            }
        }
    }

    fn state(&self, job: &str, requester: &Requester) -> StateReply {
        match (self.scheduler.view(job), self.scheduler.team_of(job)) {
            (Some(view), Some(team)) if is_allowed(team.as_ref(), requester.as_ref()) => {
                StateReply::Found(view)
            }
            (Some(_), _) => StateReply::OtherTeam,
            (None, _) if self.pipeline.submissions.contains(job) => {
                StateReply::Found(JobView::Queued)
            }
            (None, _) => StateReply::NoJob,
        }
    }

    fn handle_cancel(
        &mut self,
        job: &str,
        requester: &Requester,
        reply: oneshot::Sender<CancelReply>,
    ) {
        match self.state(job, requester) {
            StateReply::OtherTeam => return send_reply(reply, CancelReply::OtherTeam),
            StateReply::NoJob => return send_reply(reply, CancelReply::NoJob),
            StateReply::Found(JobView::Ended(_)) => return send_reply(reply, CancelReply::Done),
            StateReply::Found(_) => {}
        }
        job_line("job-cancelled", job).field("job", job).field("epoch", self.epoch).write();
        self.pipeline.add_cancellation(Cancellation {
            job: job.into(),
            reply: Some(reply),
            inbox_row: None,
        });
    }
}

/// Sends a reply; a caller that no longer waits is ignored.
pub(super) fn send_reply<T>(reply: oneshot::Sender<T>, value: T) {
    let _ = reply.send(value);
}
