//! Crowds of connections that stay open, and a server whose responses have no end.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Longest time in which the other end reads nothing before the rest is not sent.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Receive buffer of a connection, which nobody reads.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Bytes of a piece.
const PIECE_BYTES: usize = 4_096;

/// Connections that stay open until the crowd is dropped.
pub struct Crowd {
    _connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens connections and sends the whole bytes of each, all of them at once.
    pub async fn send(address: SocketAddr, count: usize, bytes: impl Fn(usize) -> Vec<u8>) -> Self {
        let mut sending = JoinSet::new();
        for index in 0..count {
            let bytes = bytes(index);
            sending.spawn(async move {
                let mut connection = connect(address).await?;
                send_bytes(&mut connection, &bytes).await;
                Some(connection)
            });
        }
        Self { _connections: sending.join_all().await.into_iter().flatten().collect() }
    }

    /// Opens connections and sends a piece on each in turn, until all are sent.
    pub async fn send_in_pieces(
        address: SocketAddr,
        count: usize,
        bytes: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        let mut connections = Vec::new();
        for index in 0..count {
            connections.extend(connect(address).await.map(|connection| (connection, bytes(index))));
        }
        let bytes_max = connections.iter().map(|(_, bytes)| bytes.len()).max().unwrap_or_default();
        for from in (0..bytes_max).step_by(PIECE_BYTES) {
            for (connection, bytes) in &mut connections {
                let to = bytes.len().min(from + PIECE_BYTES);
                // Fails if the node has closed the connection.
                let _ = timeout(WRITE_TIMEOUT, connection.write_all(&bytes[from..to])).await;
            }
        }
        Self { _connections: connections.into_iter().map(|(connection, _)| connection).collect() }
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    timeout(WRITE_TIMEOUT, socket.connect(address)).await.ok()?.ok()
}

/// Sends until the other end has read nothing for [`WRITE_TIMEOUT`], or has closed the connection.
async fn send_bytes(connection: &mut TcpStream, bytes: &[u8]) {
    for piece in bytes.chunks(64 * 1024) {
        if !matches!(timeout(WRITE_TIMEOUT, connection.write_all(piece)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Starts a server that responds to each request with a body without end.
pub async fn endless_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(send_without_end(connection));
        }
    });
    address
}

async fn send_without_end(mut connection: TcpStream) {
    let mut request = [0; 4_096];
    if !matches!(connection.read(&mut request).await, Ok(1..)) {
        return;
    }
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("10000\r\n{}\r\n", " ".repeat(65_536));
    let mut next = head.as_bytes();
    while connection.write_all(next).await.is_ok() {
        next = chunk.as_bytes();
    }
}
