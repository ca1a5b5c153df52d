//! Requests of callers, as nodes hand them to the owner.

use scheduler::JobView;
use tokio::sync::oneshot;

use super::Owner;
use super::Release;
use super::pipeline::Accept;
use super::pipeline::Cancel;
use crate::clock;
use crate::entry::is_allowed;
use crate::ports::Platform;
use crate::ports::Row;
use crate::rows;
use crate::rows::InboxRow;
use crate::shared::Asker;
use crate::shared::CancelReply;
use crate::shared::OwnerRequest;
use crate::shared::StateReply;
use crate::shared::SubmitReply;

/// Begin of the keys of submissions in the inbox.
const SUBMIT_PREFIX: &str = "submit/";

impl<P: Platform> Owner<P> {
    pub(super) fn take_request(&mut self, request: OwnerRequest) {
        match request {
            OwnerRequest::Submit { record, reply } => {
                let is_accepting = self.pipeline.is_accepting(&record.id);
                if self.scheduler.view(&record.id).is_some() && !is_accepting {
                    answer(reply, SubmitReply::Accepted);
                    return;
                }
                if self.release.is_some() || self.pipeline.is_stuck(clock::now()) {
                    answer(reply, SubmitReply::NotTaken);
                    return;
                }
                self.pipeline.accept(Accept { record, reply: Some(reply) });
            }
            OwnerRequest::State { job, asker, reply } => answer(reply, self.state(&job, &asker)),
            OwnerRequest::Cancel { job, asker, reply } => self.take_cancel(&job, &asker, reply),
            OwnerRequest::Waiting { queue, reply } => {
                let waiting = self.scheduler.queued_jobs(&queue) + self.pipeline.accepting(&queue);
                answer(reply, waiting);
            }
            OwnerRequest::Release { reply } => self.release = Some(Release { reply: Some(reply) }),
        }
    }

    /// Takes in the requests that nodes have stored.
    pub(super) fn take_inbox(&mut self, mut stored: Vec<Row>) {
        // A job may have been submitted and cancelled there; the submission goes first.
        stored.sort_by_key(|row| !row.key.starts_with(SUBMIT_PREFIX));
        for row in stored {
            match rows::read(&row) {
                Some(InboxRow::Submit(record)) => {
                    // A job in a transaction that is on its way may yet be refused.
                    let is_accepting = self.pipeline.is_accepting(&record.id);
                    if self.scheduler.view(&record.id).is_none() || is_accepting {
                        let record = std::sync::Arc::new(record);
                        self.pipeline.accept(Accept { record, reply: None });
                    }
                    self.pipeline.drop_inbox(row.key);
                }
                Some(InboxRow::Cancel { job }) => {
                    let (job, reply) = (job.into(), None);
                    self.pipeline.cancel(Cancel { job, reply, inbox_key: Some(row.key) });
                }
                None => self.pipeline.drop_inbox(row.key),
            }
        }
    }

    fn state(&self, job: &str, asker: &Asker) -> StateReply {
        match (self.scheduler.view(job), self.scheduler.team_of(job)) {
            (Some(view), Some(team)) if is_allowed(team.as_ref(), asker.as_ref()) => {
                StateReply::Found(view)
            }
            (Some(_), _) => StateReply::OtherTeam,
            (None, _) if self.pipeline.is_accepting(job) => StateReply::Found(JobView::Queued),
            (None, _) => StateReply::NoJob,
        }
    }

    fn take_cancel(&mut self, job: &str, asker: &Asker, reply: oneshot::Sender<CancelReply>) {
        match self.state(job, asker) {
            StateReply::OtherTeam => return answer(reply, CancelReply::OtherTeam),
            StateReply::NoJob => return answer(reply, CancelReply::NoJob),
            StateReply::Found(JobView::Ended(_)) => return answer(reply, CancelReply::Done),
            StateReply::Found(_) => {}
        }
        telemetry::log::line("job-cancelled").field("job", job).field("epoch", self.epoch).write();
        self.pipeline.cancel(Cancel { job: job.into(), reply: Some(reply), inbox_key: None });
    }
}

/// Answers a request; a caller that has gone needs no answer.
pub(super) fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    let _ = reply.send(value);
}
