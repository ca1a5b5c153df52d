//! Links over `nng`: one listener per node, one dialer per peer.
//!
//! Each direction between two nodes has its own connection: one subscriber socket receives from all
//! peers, and one publisher socket per peer sends. The library reconnects after a connection is
//! closed; [`Link::redial`] replaces a connection that is open but delivers nothing.
//!
//! Publisher sockets drop frames when their buffer is full, which heartbeats tolerate. Push and
//! pull sockets would bound the number of lost frames, but the library's push socket can use a
//! connection after it was closed, which aborts the process.

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

/// Largest frame that is accepted, in bytes.
const FRAME_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of frames queued for one peer.
const SEND_BUFFER_FRAMES: i32 = 16;
/// Maximum number of received frames that wait to be read.
const RECEIVE_BUFFER_FRAMES: i32 = 128;
/// Delay before the first attempt to reconnect a closed connection.
const REDIAL_DELAY_MIN: Duration = Duration::from_millis(50);
/// Maximum delay between attempts to reconnect.
const REDIAL_DELAY_MAX: Duration = Duration::from_secs(1);

/// The links of one node to all its peers, over TCP.
pub struct NngLink {
    address: SocketAddr,
    receiver: Socket,
    /// Sorted by node.
    peers: Mutex<Vec<Peer>>,
}

struct Peer {
    node: NodeId,
    address: SocketAddr,
    /// `None` if the socket could not be created; the next redial tries again.
    sender: Option<Socket>,
}

impl NngLink {
    /// Listens on `address` and forwards received frames to `frames`.
    pub fn listen(address: SocketAddr, frames: mpsc::Sender<Bytes>) -> Result<Self, LinkError> {
        let link_error = |error: Error| LinkError { address, reason: error.to_string() };
        let receiver = Socket::new(Protocol::Sub0).map_err(link_error)?;
        receiver.set_opt::<Subscribe>(Vec::new()).map_err(link_error)?;
        receiver.set_opt::<RecvBufferSize>(RECEIVE_BUFFER_FRAMES).map_err(link_error)?;
        receiver.set_opt::<RecvMaxSize>(FRAME_MAX_BYTES).map_err(link_error)?;
        receiver.set_opt::<KeepAlive>(true).map_err(link_error)?;
        let builder = ListenerBuilder::new(&receiver, &url(address)).map_err(link_error)?;
        let listener = builder.start().map_err(|(_, error)| link_error(error))?;
        let port = listener.get_opt::<BoundPort>().map_err(link_error)?;
        spawn_receiver(receiver.clone(), frames);
        let address = SocketAddr::new(address.ip(), port);
        Ok(Self { address, receiver, peers: Mutex::default() })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Peer>> {
        self.peers.lock().expect("lock is never poisoned")
    }
}

impl Link for NngLink {
    fn local_address(&self) -> SocketAddr {
        self.address
    }

    fn set_peers(&self, peers: &[(NodeId, SocketAddr)]) {
        let mut current_peers = self.lock();
        current_peers
            .retain(|peer| peers.iter().any(|(n, a)| *n == peer.node && *a == peer.address));
        for (node, address) in peers {
            if let Err(index) = current_peers.binary_search_by(|peer| peer.node.cmp(node)) {
                let sender = dial(*address).ok();
                current_peers.insert(index, Peer { node: node.clone(), address: *address, sender });
            }
        }
    }

    fn send(&self, peer: &str, frame: Bytes) -> bool {
        let peers = self.lock();
        let Ok(index) = peers.binary_search_by(|entry| (*entry.node).cmp(peer)) else {
            return false;
        };
        let Some(sender) = &peers[index].sender else {
            return false;
        };
        sender.try_send(&frame[..]).is_ok()
    }

    fn redial(&self, peer: &str) {
        let mut peers = self.lock();
        let Ok(index) = peers.binary_search_by(|entry| (*entry.node).cmp(peer)) else {
            return;
        };
        let entry = &mut peers[index];
        if let Some(sender) = entry.sender.take() {
            sender.close();
        }
        entry.sender = dial(entry.address).ok();
    }
}

impl Drop for NngLink {
    fn drop(&mut self) {
        // Makes the receiver thread exit.
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

/// Starts a thread that receives frames; the library's receive call blocks.
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
