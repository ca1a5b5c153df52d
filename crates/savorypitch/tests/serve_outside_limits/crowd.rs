//! Crowds of clients outside the limits, and servers whose replies do not end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::node::ANY_PORT;

/// Number of clients of a crowd.
pub const CROWD: usize = 200;
/// Time after which a client gives up sending to a server that does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(15);
/// Bytes after which a reply without an end stops and stays open.
const REPLY_BYTES: usize = 64 << 20;
/// Bytes that are sent at a time where the size does not matter.
const PIECE_BYTES: usize = 16 * 1_024;

/// What each client sends, in pieces, before it stays open without reading.
#[derive(Clone, Default)]
pub struct Input {
    pub pieces: Vec<Bytes>,
    /// Time between two pieces.
    pub pause: Duration,
}

impl Input {
    pub fn new(head: impl Into<Bytes>) -> Self {
        Self { pieces: vec![head.into()], pause: Duration::ZERO }
    }

    /// Appends `count` bytes of `pattern`, repeated.
    pub fn then(mut self, pattern: &[u8], count: usize) -> Self {
        let bytes: Bytes = pattern.iter().copied().cycle().take(count).collect();
        let pieces = (0..count).step_by(PIECE_BYTES);
        self.pieces.extend(pieces.map(|start| bytes.slice(start..count.min(start + PIECE_BYTES))));
        self
    }

    pub fn with_pause(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }
}

/// Sends `input` on each of `count` connections; returns those that are still open on this side.
pub async fn send_from_crowd(address: SocketAddr, count: usize, input: Input) -> Vec<TcpStream> {
    let input = Arc::new(input);
    let mut clients = JoinSet::new();
    for _ in 0..count {
        let input = input.clone();
        clients.spawn(async move { timeout(SEND_TIMEOUT, send(address, &input)).await });
    }
    let sent = clients.join_all().await;
    sent.into_iter().filter_map(|sent| sent.ok()?).collect()
}

async fn send(address: SocketAddr, input: &Input) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    for piece in &input.pieces {
        if !matches!(timeout(SEND_TIMEOUT / 3, stream.write_all(piece)).await, Ok(Ok(()))) {
            break;
        }
        tokio::time::sleep(input.pause).await;
    }
    Some(stream)
}

/// Starts a backend server that sends `head` and then `pattern` without an end.
pub async fn start_endless_server(head: &'static [u8], pattern: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(reply_without_end(stream, head, pattern));
        }
    });
    address
}

async fn reply_without_end(mut stream: TcpStream, head: &[u8], pattern: &[u8]) {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await;
    let bytes: Vec<u8> = pattern.iter().copied().cycle().take(PIECE_BYTES).collect();
    let _ = stream.write_all(head).await;
    for _ in 0..REPLY_BYTES / PIECE_BYTES {
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
    // Stays open until the node closes the connection.
    let _ = stream.read(&mut request).await;
}

/// Relays connections to the platform; while `is_endless` is set, its replies do not end.
pub async fn start_platform_relay(platform: SocketAddr, is_endless: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(relay(stream, platform, is_endless.clone()));
        }
    });
    address
}

async fn relay(mut stream: TcpStream, platform: SocketAddr, is_endless: Arc<AtomicBool>) {
    let Ok(mut upstream) = TcpStream::connect(platform).await else { return };
    let (mut request, mut reply) = (vec![0; PIECE_BYTES], vec![0; PIECE_BYTES]);
    loop {
        tokio::select! {
            read = stream.read(&mut request) => {
                let Ok(size) = read else { return };
                if size == 0 {
                    return;
                }
                if is_endless.load(Ordering::Relaxed) {
                    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n[";
                    return reply_at_once(stream, head).await;
                }
                if upstream.write_all(&request[..size]).await.is_err() {
                    return;
                }
            }
            read = upstream.read(&mut reply) => {
                let Ok(size) = read else { return };
                if size == 0 || stream.write_all(&reply[..size]).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn reply_at_once(mut stream: TcpStream, head: &[u8]) {
    let spaces = [b' '; PIECE_BYTES];
    let _ = stream.write_all(head).await;
    for _ in 0..REPLY_BYTES / PIECE_BYTES {
        if stream.write_all(&spaces).await.is_err() {
            return;
        }
    }
    let _ = stream.read(&mut [0; 1]).await;
}
