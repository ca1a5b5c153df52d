//! This node's part in the membership: runs the state machine of crate `membership` over the links
//! and the table, and publishes who is there and whether this node may act.
//!
//! One task owns the state machine; reads and writes of the table run beside it and report back.

mod config;
mod driver;
mod rows;
mod standing;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use membership::MemberView;
use model::Incarnation;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use wire::Link;
use wire::LinkError;
use wire::NngLink;

use crate::members::driver::Driver;
use crate::members::rows::Rows;
use crate::settings::Peering;
use crate::settings::Platform;
use crate::settings::Settings;
use crate::settings::Transport;
use crate::shared::Shared;

pub use standing::Standing;

/// Frames that wait for the task at most.
const FRAMES_MAX: usize = 256;
/// Longest time that a node says goodbye.
const LEAVE_MAX: Duration = Duration::from_secs(5);

/// The link of a node, before its task runs.
pub struct Listening {
    link: Arc<dyn Link>,
    frames: mpsc::Receiver<Bytes>,
}

/// The running task.
pub struct Members {
    leave: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

/// Number of this run: from the table if it answers, else from the wall clock.
pub async fn allocate(settings: &Settings, platform: &Platform, wall_ms: u64) -> Incarnation {
    if settings.peering.is_none() {
        return wall_ms;
    }
    Rows::new(platform.table.clone()).next_incarnation(&settings.node, wall_ms).await
}

/// Listens for peers; `None` without peers.
pub fn listen(settings: &Settings) -> Result<Option<Listening>, LinkError> {
    let Some(peering) = &settings.peering else {
        return Ok(None);
    };
    let (sender, frames) = mpsc::channel(FRAMES_MAX);
    let link: Arc<dyn Link> = match &peering.transport {
        Transport::Tcp => Arc::new(NngLink::listen(peering.listen, sender)?),
        Transport::Memory(network) => {
            Arc::new(network.link(settings.node.clone(), peering.listen, sender))
        }
    };
    Ok(Some(Listening { link, frames }))
}

impl Listening {
    /// Starts the task; `own` is this node's view of itself.
    pub fn start(self, shared: Arc<Shared>, peering: Peering, own: MemberView) -> Members {
        let (leave, left) = oneshot::channel();
        let driver = Driver::new(shared, peering, self.link, own);
        let task = tokio::spawn(driver.run(self.frames, left));
        Members { leave, task }
    }
}

impl Members {
    /// Says goodbye, so that what this node held is free at once.
    pub async fn leave(self) {
        // The task ends only after this signal.
        let _ = self.leave.send(());
        let mut task = self.task;
        if tokio::time::timeout(LEAVE_MAX, &mut task).await.is_err() {
            task.abort();
        }
    }

    /// Ends at once, as a failed process does.
    pub fn abort(self) {
        self.task.abort();
    }
}
