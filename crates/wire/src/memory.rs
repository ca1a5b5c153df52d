//! Links inside one process, with faults that a test can set.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use model::NodeId;
use tokio::sync::mpsc;

use crate::link::Link;

/// Connects the links of several nodes.
#[derive(Clone, Default)]
pub struct MemoryNetwork {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Sorted by node.
    inboxes: Vec<(NodeId, mpsc::Sender<Bytes>)>,
    /// Directions that lose every frame, from and to.
    cuts: Vec<(NodeId, NodeId)>,
    /// Connections that were closed and dialled anew.
    redials: Vec<(NodeId, NodeId)>,
}

impl MemoryNetwork {
    /// Link of `node`; frames for it go to `frames`.
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

    /// Loses every frame from one node to another.
    pub fn cut(&self, from: &str, to: &str) {
        self.lock().cuts.push((from.into(), to.into()));
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.lock().cuts.clear();
    }

    /// How often a node closed its connection to another and dialled anew.
    pub fn redials(&self, from: &str, to: &str) -> usize {
        let state = self.lock();
        state.redials.iter().filter(|(f, t)| **f == *from && **t == *to).count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Link of one node.
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
            // A silent connection takes frames and loses them.
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
