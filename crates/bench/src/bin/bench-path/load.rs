//! Callers in a closed loop, or at a given rate.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::heap;
use crate::setup::NODE_THREAD;
use crate::threads::processor_time;

/// Body of each request.
const BODY: &[u8] = &[b'x'; 256];
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// What one run measured.
pub struct Run {
    /// Requests that were not answered in full.
    pub failed: u64,
    latency_us: Histogram<u64>,
    elapsed: Duration,
    node_time: Duration,
    node_allocations: u64,
}

impl Run {
    /// Requests a second.
    pub fn per_s(&self) -> f64 {
        self.latency_us.len() as f64 / self.elapsed.as_secs_f64()
    }

    /// Requests for a second of the node's processor time.
    pub fn per_core_s(&self) -> f64 {
        self.latency_us.len() as f64 / self.node_time.as_secs_f64()
    }

    /// Allocations of the node for one request.
    pub fn allocations_per_request(&self) -> f64 {
        self.node_allocations as f64 / self.latency_us.len() as f64
    }

    /// Latency at a quantile, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Sends for `length` to `address`; at `per_s` requests a second over all callers, or at full speed.
pub async fn run(
    address: SocketAddr,
    secret: &str,
    callers: usize,
    length: Duration,
    per_s: Option<f64>,
) -> Run {
    let gap = per_s.map(|per_s| Duration::from_secs_f64(callers as f64 / per_s));
    let node_time = processor_time(NODE_THREAD);
    let allocations = heap::allocations();
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..callers {
        let request = request(secret);
        // Spreads the callers over the gap.
        let first = gap.map(|gap| gap.mul_f64(number as f64 / callers as f64));
        tasks.spawn(send_all(address, request, length, gap.zip(first)));
    }
    let mut latency_us = Histogram::new(DIGITS).expect("the digits are in range");
    let mut failed = 0;
    while let Some(joined) = tasks.join_next().await {
        let (histogram, failures) = joined.expect("callers do not panic");
        latency_us.add(histogram).expect("the histograms are alike");
        failed += failures;
    }
    Run {
        failed,
        latency_us,
        elapsed: started.elapsed(),
        node_time: processor_time(NODE_THREAD) - node_time,
        node_allocations: heap::allocations() - allocations,
    }
}

/// Opens a connection.
pub async fn connect(address: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// The request that all callers send.
pub fn request(secret: &str) -> Request<Full<Bytes>> {
    Request::post("/q/levy-validate/declarations/1")
        .header("host", "bench")
        .header("authorization", format!("Bearer {secret}"))
        .body(Full::new(Bytes::from_static(BODY)))
        .expect("the request is well formed")
}

async fn send_all(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    length: Duration,
    pace: Option<(Duration, Duration)>,
) -> (Histogram<u64>, u64) {
    let mut latency_us = Histogram::new(DIGITS).expect("the digits are in range");
    let mut failed = 0;
    let mut sender = connect(address).await.expect("the server listens");
    let started = Instant::now();
    let mut due = started + pace.map_or(Duration::ZERO, |(_, first)| first);
    while started.elapsed() < length {
        if let Some((gap, _)) = pace {
            tokio::time::sleep_until(due.into()).await;
            due += gap;
        }
        let sent = Instant::now();
        match exchange(&mut sender, request.clone()).await {
            Ok(()) => {
                latency_us.saturating_record(sent.elapsed().as_micros() as u64);
            }
            Err(_) => {
                failed += 1;
                sender = connect(address).await.expect("the server listens");
            }
        }
    }
    (latency_us, failed)
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> io::Result<()> {
    sender.ready().await.map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let is_success = response.status().is_success();
    let body = response.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    if is_success && body == BODY { Ok(()) } else { Err(io::ErrorKind::InvalidData.into()) }
}
