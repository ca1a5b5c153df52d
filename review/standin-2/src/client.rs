//! Clients: one HTTP/1.1 request on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Host name of the queues' routes.
pub const HOST: &str = "queues.example";
/// Key of the tenant.
pub const KEY: &str = "key-of-the-tenant-1";
/// Time that clients wait for a response, as they say in `Deadline`.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// A response; status 0 stands for none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub body: String,
}

/// Sends a request to a node and records it with its response.
pub async fn send(node: SocketAddr, method: &str, path: &str, body: &str) -> Reply {
    let exchanged = timeout(DEADLINE, exchange(node, method, path, body)).await;
    let reply = match exchanged {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => Reply { status: 0, body: error.to_string() },
        Err(_) => Reply { status: 0, body: "no response in time".to_owned() },
    };
    crate::record::line(&format!("client: {method} {path} -> {} {}", reply.status, reply.body));
    reply
}

async fn exchange(
    node: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<Reply> {
    let mut stream = TcpStream::connect(node).await?;
    let deadline_ms = DEADLINE.as_millis();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
         Deadline: {deadline_ms}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    let text = String::from_utf8_lossy(&response);
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok(Reply { status: status.unwrap_or(0), body: body.to_owned() })
}
