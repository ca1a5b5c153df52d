//! Handles of waiting requests.

use std::sync::Arc;
use std::time::Instant;

use limits::LimitKey;
use shares::Ticket;
use tokio::sync::oneshot;

use super::WaitError;
use super::WaitQueue;
use super::WaitQueues;
use crate::tokens::HeldTokens;

/// Handle of a request in a wait queue, which receives its tokens. Removes the request from the
/// queue on drop.
pub struct WaitHandle {
    pub(super) wait_queues: Arc<WaitQueues>,
    pub(super) wait_queue: Arc<WaitQueue>,
    pub(super) ticket: Ticket,
    pub(super) team_limit: LimitKey,
    pub(super) granted: oneshot::Receiver<Result<HeldTokens, WaitError>>,
    /// Error that [`Self::try_granted`] has received, after which the channel is used up.
    pub(super) error: Option<WaitError>,
}

impl WaitHandle {
    /// Returns the wait queue that the request is in.
    pub fn wait_queue(&self) -> &Arc<WaitQueue> {
        &self.wait_queue
    }

    /// Returns the tokens, if they are granted already. An error is kept for [`Self::granted`].
    pub fn try_granted(&mut self) -> Option<HeldTokens> {
        match self.granted.try_recv().ok()? {
            Ok(held) => Some(held),
            Err(error) => {
                self.error = Some(error);
                None
            }
        }
    }

    /// Waits for the grant until `until`.
    pub async fn granted(&mut self, until: Instant) -> Result<HeldTokens, WaitError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        match tokio::time::timeout_at(until.into(), &mut self.granted).await {
            Ok(Ok(Err(WaitError::Expired)) | Err(_)) | Err(_) => Err(self.timeout_reason()),
            Ok(Ok(granted)) => granted,
        }
    }

    fn timeout_reason(&self) -> WaitError {
        let team_limit = self.wait_queues.limits.get(&self.team_limit);
        let is_at_limit = team_limit.is_none_or(|allocation| allocation.spare() == 0);
        if is_at_limit { WaitError::TeamLimit } else { WaitError::Expired }
    }
}

impl Drop for WaitHandle {
    fn drop(&mut self) {
        self.wait_queues.remove(&self.wait_queue, self.ticket);
    }
}
