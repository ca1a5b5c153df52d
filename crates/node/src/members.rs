//! Membership of this node: runs the state machine of the `membership` crate over the links and the
//! table, and publishes the members and whether this node may act.
//!
//! One task owns the state machine. Reads and writes of the table run in tasks of their own, which
//! send their results to it.

mod config;
mod driver;
mod rows;
mod status;

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
use crate::members::rows::MemberRows;
use crate::settings::Peering;
use crate::settings::Platform;
use crate::settings::Settings;
use crate::settings::Transport;
use crate::shared::Shared;

pub use status::NodeStatus;

/// Maximum number of received frames that wait for the task.
const FRAMES_MAX: usize = 256;
/// Longest time that a node spends on leaving the cluster.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// A node's link to its peers, before the membership task is started.
pub struct PeerListener {
    link: Arc<dyn Link>,
    frames: mpsc::Receiver<Bytes>,
}

/// Handle of the running membership task.
pub struct MembershipTask {
    leave: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

/// Returns the number for this incarnation: above the earlier ones if the table is available; from
/// the wall clock alone if it is not, or if the node has no peers.
pub async fn allocate_incarnation(
    settings: &Settings,
    platform: &Platform,
    wall_ms: u64,
) -> Incarnation {
    if settings.peering.is_none() {
        return wall_ms;
    }
    MemberRows::new(platform.table.clone()).next_incarnation(&settings.node, wall_ms).await
}

/// Starts to listen for peers. Returns `None` for a node without peers.
pub fn listen(settings: &Settings) -> Result<Option<PeerListener>, LinkError> {
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
    Ok(Some(PeerListener { link, frames }))
}

impl PeerListener {
    /// Spawns the membership task; `own` is this node's view of itself.
    pub fn start(self, shared: Arc<Shared>, peering: Peering, own: MemberView) -> MembershipTask {
        let (leave, leave_signal) = oneshot::channel();
        let driver = Driver::new(shared, peering, self.link, own);
        let task = tokio::spawn(driver.run(self.frames, leave_signal));
        MembershipTask { leave, task }
    }
}

impl MembershipTask {
    /// Leaves the cluster, so that the resources of this node can be taken over at once.
    pub async fn leave(self) {
        // The task keeps the receiver until it gets this signal, so that sending cannot fail.
        let _ = self.leave.send(());
        let mut task = self.task;
        if tokio::time::timeout(LEAVE_TIMEOUT, &mut task).await.is_err() {
            task.abort();
        }
    }

    /// Ends the task at once, as a crash does.
    pub fn abort(self) {
        self.task.abort();
    }
}
