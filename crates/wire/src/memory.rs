//! Links within one process, with faults that a test can inject.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use model::NodeId;
use tokio::sync::mpsc;

use crate::link::Link;

/// A simulated network that connects the links of several nodes.
#[derive(Clone, Default)]
pub struct MemoryNetwork {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Where each node receives frames; sorted by node.
    inboxes: Vec<(NodeId, mpsc::Sender<Bytes>)>,
    /// Sender and receiver of each direction in which every frame is lost.
    cuts: Vec<(NodeId, NodeId)>,
    /// Sender and receiver of each call of `redial`, in order.
    redials: Vec<(NodeId, NodeId)>,
}

impl MemoryNetwork {
    /// Returns the link of `node`; frames sent to it go to `frames`.
    pub fn link(
        &self,
        node: NodeId,
        address: SocketAddr,
        frames: mpsc::Sender<Bytes>,
    ) -> MemoryLink {
        let mut state = self.lock();
        match state.inboxes.binary_search_by(|(other, _)| other.cmp(&node)) {
            Ok(index) => state.inboxes[index].1 = frames,
            Err(index) => state.inboxes.insert(index, (node.clone(), frames)),
        }
        MemoryLink { network: self.clone(), node, address }
    }

    /// Loses every frame from one node to another, in this direction only, until [`Self::heal`].
    pub fn cut(&self, from: &str, to: &str) {
        self.lock().cuts.push((from.into(), to.into()));
    }

    /// Removes all cuts.
    pub fn heal(&self) {
        self.lock().cuts.clear();
    }

    /// Returns how many times `from` redialled its connection to `to`.
    pub fn redials(&self, from: &str, to: &str) -> usize {
        let state = self.lock();
        state.redials.iter().filter(|(f, t)| **f == *from && **t == *to).count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is never poisoned")
    }
}

/// Link of one node of a [`MemoryNetwork`].
pub struct MemoryLink {
    network: MemoryNetwork,
    node: NodeId,
    address: SocketAddr,
}

impl Link for MemoryLink {
    fn local_address(&self) -> SocketAddr {
        self.address
    }

    fn set_peers(&self, _peers: &[(NodeId, SocketAddr)]) {}

    fn send(&self, peer: &str, frame: Bytes) -> bool {
        let state = self.network.lock();
        if state.cuts.iter().any(|(from, to)| *from == self.node && **to == *peer) {
            // Like a dead TCP connection, a cut accepts frames and loses them.
            return true;
        }
        let Ok(index) = state.inboxes.binary_search_by(|(node, _)| (**node).cmp(peer)) else {
            return false;
        };
        state.inboxes[index].1.try_send(frame).is_ok()
    }

    fn redial(&self, peer: &str) {
        self.network.lock().redials.push((self.node.clone(), peer.into()));
    }
}
