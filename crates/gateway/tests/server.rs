//! Tests that callers are disconnected if they are too slow, and only then.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use gateway::Timeouts;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_secs(20);
const RESPONSE_BYTES: usize = 64 << 20;

async fn start_server() -> gateway::Server {
    let router = Router::new().route("/", get(|| async { vec![7; RESPONSE_BYTES] }));
    let short = Duration::from_millis(200);
    let timeouts = Timeouts { header_read: short, write: short };
    gateway::serve_with_timeouts(ANY_PORT, router, timeouts).await.unwrap()
}

#[tokio::test]
async fn caller_that_does_not_complete_the_request_head_is_disconnected() {
    let server = start_server().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: t\r\nx-slow").await.unwrap();
    let mut response = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection is closed");
    assert!(!response.starts_with(b"HTTP/1.1 200"));
}

#[tokio::test]
async fn caller_that_does_not_read_is_disconnected() {
    let server = start_server().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: t\r\n\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut response = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection is closed");
    assert!(response.len() < RESPONSE_BYTES, "cut after {} bytes", response.len());
}

#[tokio::test]
async fn caller_that_reads_slowly_gets_the_whole_response() {
    let server = start_server().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n").await.unwrap();
    let mut buffer = vec![0; 4 << 20];
    let mut read_bytes = 0;
    loop {
        let read = tokio::time::timeout(TIMEOUT, stream.read(&mut buffer)).await.unwrap();
        match read.unwrap() {
            0 => break,
            count => read_bytes += count,
        }
        if read_bytes % (8 << 20) < (1 << 20) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    assert!(read_bytes > RESPONSE_BYTES, "{read_bytes}");
}
