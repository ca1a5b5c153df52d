//! Connections to backend servers; each carries one request at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use axum::body::Body;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Idle connections kept to one backend server.
const IDLE_MAX: usize = 8;

/// A connection that carries no request now.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Body>,
}

/// Why an exchange with a backend server brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("the request was not sent: {0}")]
    NotSent(String),
    /// Some of the request was sent.
    #[error("no answer: {0}")]
    NoAnswer(hyper::Error),
}

/// Idle connections, sorted by address.
#[derive(Default)]
pub struct Connections {
    idle: Mutex<Vec<(SocketAddr, Vec<Connection>)>>,
}

impl Connections {
    /// An idle connection to `address`, or a new one.
    pub async fn get(&self, address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        while let Some(mut connection) = self.pop(address) {
            // Fails at once if the backend server closed it meanwhile.
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        match tokio::time::timeout(timeout, connect(address)).await {
            Ok(connected) => connected,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Keeps a connection whose last answer has ended or is about to end.
    pub fn put(&self, connection: Connection) {
        let mut idle = self.idle.lock().expect("no holder panics");
        let index = match idle.binary_search_by_key(&connection.address, |(address, _)| *address) {
            Ok(index) => index,
            Err(index) => {
                idle.insert(index, (connection.address, Vec::new()));
                index
            }
        };
        if idle[index].1.len() < IDLE_MAX {
            idle[index].1.push(connection);
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no holder panics");
        let index = idle.binary_search_by_key(&address, |(address, _)| *address).ok()?;
        idle[index].1.pop()
    }
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    pub async fn exchange(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.sender.try_send_request(request).await.map_err(|mut failed| {
            let unsent = failed.take_message().is_some();
            let error = failed.into_error();
            if unsent {
                return ExchangeError::NotSent(error.to_string());
            }
            ExchangeError::NoAnswer(error)
        })
    }

    /// Waits until the answer has been read to its end; fails if it was cut.
    pub async fn finished(&mut self) -> Result<(), hyper::Error> {
        self.sender.ready().await
    }
}

async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(Connection { address, sender })
}
