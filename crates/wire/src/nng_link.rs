//! Links over `nng`: one listener a node, one dialer a peer.
//!
//! Each direction of a pair has its own connection: a subscribing socket receives from all peers,
//! and a publishing socket sends to each. The library redials a connection that is closed; one that
//! is silent is closed by [`Link::redial`].
//!
//! Push and pull sockets would bound what is lost, but the library's push socket can use a
//! connection after its end, which aborts the process. Heartbeats may be lost, so publishing fits.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use model::NodeId;
use nng::Error;
use nng::ListenerBuilder;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::ReconnectMaxTime;
use nng::options::ReconnectMinTime;
use nng::options::RecvBufferSize;
use nng::options::RecvMaxSize;
use nng::options::SendBufferSize;
use nng::options::protocol::pubsub::Subscribe;
use nng::options::transport::tcp::BoundPort;
use nng::options::transport::tcp::KeepAlive;
use nng::options::transport::tcp::NoDelay;
use tokio::sync::mpsc;

use crate::link::Link;
use crate::link::LinkError;

/// Largest frame that is received, in bytes.
const FRAME_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Frames that wait for one peer at most.
const SEND_BUFFER_FRAMES: i32 = 16;
/// Frames that wait to be read at most.
const RECEIVE_BUFFER_FRAMES: i32 = 128;
/// Wait before the first redial of a closed connection.
const REDIAL_DELAY_MIN: Duration = Duration::from_millis(50);
/// Longest wait before a redial.
const REDIAL_DELAY_MAX: Duration = Duration::from_secs(1);

/// Links of one node.
pub struct NngLink {
    address: SocketAddr,
    receiver: Socket,
    /// Sorted by node.
    peers: Mutex<Vec<Peer>>,
}

struct Peer {
    node: NodeId,
    address: SocketAddr,
    /// `None` if the socket could not be made; tried again at the next redial.
    sender: Option<Socket>,
}

impl NngLink {
    /// Listens on `address`; received frames go to `frames`.
    pub fn listen(address: SocketAddr, frames: mpsc::Sender<Bytes>) -> Result<Self, LinkError> {
        let fail = |error: Error| LinkError { address, reason: error.to_string() };
        let receiver = Socket::new(Protocol::Sub0).map_err(fail)?;
        receiver.set_opt::<Subscribe>(Vec::new()).map_err(fail)?;
        receiver.set_opt::<RecvBufferSize>(RECEIVE_BUFFER_FRAMES).map_err(fail)?;
        receiver.set_opt::<RecvMaxSize>(FRAME_MAX_BYTES).map_err(fail)?;
        receiver.set_opt::<KeepAlive>(true).map_err(fail)?;
        let builder = ListenerBuilder::new(&receiver, &url(address)).map_err(fail)?;
        let listener = builder.start().map_err(|(_, error)| fail(error))?;
        let port = listener.get_opt::<BoundPort>().map_err(fail)?;
        spawn_receiver(receiver.clone(), frames);
        let address = SocketAddr::new(address.ip(), port);
        Ok(Self { address, receiver, peers: Mutex::default() })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Peer>> {
        self.peers.lock().expect("no holder panics")
    }
}

impl Link for NngLink {
    fn local_address(&self) -> SocketAddr {
        self.address
    }

    fn set_peers(&self, peers: &[(NodeId, SocketAddr)]) {
        let mut held = self.lock();
        held.retain(|peer| peers.iter().any(|(n, a)| *n == peer.node && *a == peer.address));
        for (node, address) in peers {
            if let Err(index) = held.binary_search_by(|peer| peer.node.cmp(node)) {
                let sender = dial(*address).ok();
                held.insert(index, Peer { node: node.clone(), address: *address, sender });
            }
        }
    }

    fn send(&self, peer: &str, frame: Bytes) -> bool {
        let peers = self.lock();
        let Ok(index) = peers.binary_search_by(|held| (*held.node).cmp(peer)) else {
            return false;
        };
        let Some(sender) = &peers[index].sender else {
            return false;
        };
        sender.try_send(&frame[..]).is_ok()
    }

    fn redial(&self, peer: &str) {
        let mut peers = self.lock();
        let Ok(index) = peers.binary_search_by(|held| (*held.node).cmp(peer)) else {
            return;
        };
        let held = &mut peers[index];
        if let Some(sender) = held.sender.take() {
            sender.close();
        }
        held.sender = dial(held.address).ok();
    }
}

impl Drop for NngLink {
    fn drop(&mut self) {
        // Ends the receiving thread.
        self.receiver.close();
    }
}

fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}

fn dial(address: SocketAddr) -> Result<Socket, Error> {
    let sender = Socket::new(Protocol::Pub0)?;
    sender.set_opt::<SendBufferSize>(SEND_BUFFER_FRAMES)?;
    sender.set_opt::<ReconnectMinTime>(Some(REDIAL_DELAY_MIN))?;
    sender.set_opt::<ReconnectMaxTime>(Some(REDIAL_DELAY_MAX))?;
    sender.set_opt::<NoDelay>(true)?;
    sender.dial_async(&url(address))?;
    Ok(sender)
}

/// Receives in a thread of its own, because the library's receive blocks.
fn spawn_receiver(receiver: Socket, frames: mpsc::Sender<Bytes>) {
    std::thread::spawn(move || {
        loop {
            match receiver.recv() {
                Ok(message) => {
                    if frames.blocking_send(Bytes::copy_from_slice(&message)).is_err() {
                        return;
                    }
                }
                Err(Error::Closed) => return,
                Err(_) => {}
            }
        }
    });
}
