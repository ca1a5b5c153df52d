//! Callers that are slow are cut.

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
const LARGE_BYTES: usize = 64 << 20;

async fn server() -> gateway::Server {
    let router = Router::new().route("/", get(|| async { vec![7; LARGE_BYTES] }));
    let short = Duration::from_millis(200);
    let timeouts = Timeouts { header_read: short, write: short };
    gateway::serve_with_timeouts(ANY_PORT, router, timeouts).await.unwrap()
}

#[tokio::test]
async fn caller_that_does_not_send_its_head() {
    let server = server().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: t\r\nx-slow").await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the connection is closed");
    assert!(!answer.starts_with(b"HTTP/1.1 200"));
}

#[tokio::test]
async fn caller_that_does_not_read() {
    let server = server().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: t\r\n\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut answer = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the connection is closed");
    assert!(answer.len() < LARGE_BYTES, "cut after {} bytes", answer.len());
}

#[tokio::test]
async fn caller_that_reads_slowly_but_steadily_gets_all() {
    let server = server().await;
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
    assert!(read_bytes > LARGE_BYTES, "{read_bytes}");
}
