//! A poll of a worker whose reply may be lost.
//!
//! Some workers leave calls unanswered, and connections may break without a reset. While a poll is
//! in flight, completions of that worker remain unknown and what they would free stays in use, so
//! that waiting for the time limit of the call would leave the worker idle for seconds during a
//! peak. A poll that is late is therefore made again beside the first one, until one is answered or
//! the first one has failed. Repeats list the same runs, renew no lease and acknowledge nothing.

use std::pin::pin;
use std::time::Duration;

use scheduler::SentPoll;
use scheduler::WorkerReport;

use crate::clock;
use crate::ports::LeaseReply;
use crate::ports::LeaseRequest;
use crate::ports::WorkerError;

/// Time beyond the requested wait after which a reply counts as late.
pub const LATE_AFTER: Duration = Duration::from_millis(150);

/// Pause after a repeated poll without a reply.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Result of a poll, and when it was sent.
#[derive(Clone, Debug)]
pub struct PollResult {
    /// The poll that gave the result.
    pub sent: SentPoll,
    /// The worker's reply, or why there is none.
    pub reply: Result<WorkerReport, WorkerError>,
}

/// Polls a worker by means of `send`, and again if the reply is late; `record_repeat` is called once
/// before that. Returns the first reply; if none comes, the failure of the last poll.
pub async fn poll<F>(
    request: LeaseRequest,
    send: impl Fn(LeaseRequest) -> F,
    record_repeat: impl FnOnce(),
) -> PollResult
where
    F: Future<Output = Result<LeaseReply, WorkerError>>,
{
    let late_after = request.wait + LATE_AFTER;
    let send_now = |request: LeaseRequest| async {
        let (token, sent_at) = (request.token, clock::now());
        let reply = send(request).await;
        let answered = reply.as_ref().ok();
        let sent = SentPoll {
            token,
            acknowledged_completion: answered.map_or(0, |reply| reply.acknowledged_completion),
            is_acknowledgement_withheld: answered
                .is_some_and(|reply| reply.is_acknowledgement_withheld),
            sent_at,
        };
        PollResult { sent, reply: reply.map(|reply| reply.report) }
    };
    let mut first = pin!(send_now(request.clone()));
    if let Ok(result) = tokio::time::timeout(late_after, &mut first).await {
        return result;
    }
    record_repeat();
    // The worker may have started again meanwhile. It would take the number for one of its new
    // completions, and the deadline for a time far ahead.
    let repeated = LeaseRequest {
        acknowledged_completion: 0,
        deadline_ms: None,
        wait: Duration::ZERO,
        ..request
    };
    loop {
        let mut repeat = pin!(send_now(repeated.clone()));
        let failed = tokio::select! {
            result = &mut first => match has_no_reply(&result) {
                true => return repeat.await,
                false => return result,
            },
            result = &mut repeat => match has_no_reply(&result) {
                true => result,
                false => return result,
            },
        };
        // A connection to a worker that has started again breaks only when it is used. The next one
        // may be a new connection.
        tokio::select! {
            result = &mut first => return if has_no_reply(&result) { failed } else { result },
            () = tokio::time::sleep(REPEAT_PAUSE) => {}
        }
    }
}

fn has_no_reply(result: &PollResult) -> bool {
    matches!(result.reply, Err(WorkerError::NoReply(_) | WorkerError::BrokenOff(_)))
}
