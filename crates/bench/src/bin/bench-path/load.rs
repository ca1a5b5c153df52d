//! Load of callers that send as fast as possible or at a given rate.

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
use crate::threads::cpu_time;

/// Body of each request, which the backend servers echo.
const BODY: &[u8] = &[b'x'; 256];
/// Precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Result of one run.
pub struct RunResult {
    /// Number of requests without a complete and successful response.
    pub failed: u64,
    /// Latencies of the successful requests.
    latency_us: Histogram<u64>,
    elapsed: Duration,
    /// Processor time that the node used.
    node_cpu_time: Duration,
    node_allocations: u64,
}

impl RunResult {
    /// Returns the successful requests per second.
    pub fn requests_per_s(&self) -> f64 {
        self.latency_us.len() as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns the successful requests per second of the node's processor time.
    pub fn requests_per_core_s(&self) -> f64 {
        self.latency_us.len() as f64 / self.node_cpu_time.as_secs_f64()
    }

    /// Returns the allocations of the node per successful request.
    pub fn allocations_per_request(&self) -> f64 {
        self.node_allocations as f64 / self.latency_us.len() as f64
    }

    /// Returns the latency at a quantile, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Sends requests to `address` for `duration`.
///
/// All callers together send `per_s` requests per second. With `None`, each sends its next request
/// as soon as it has received the response to the last.
pub async fn run(
    address: SocketAddr,
    secret: &str,
    callers: usize,
    duration: Duration,
    per_s: Option<f64>,
) -> RunResult {
    let interval = per_s.map(|per_s| Duration::from_secs_f64(callers as f64 / per_s));
    let node_cpu_time = cpu_time(NODE_THREAD);
    let allocations = heap::allocations();
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..callers {
        let request = new_request(secret);
        // Distributes the requests of the callers evenly over the interval.
        let offset = interval.map(|interval| interval.mul_f64(number as f64 / callers as f64));
        tasks.spawn(send_all(address, request, duration, interval.zip(offset)));
    }
    let mut latency_us = Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid");
    let mut failed = 0;
    while let Some(joined) = tasks.join_next().await {
        let (histogram, failures) = joined.expect("callers do not panic");
        latency_us.add(histogram).expect("all histograms have the same range");
        failed += failures;
    }
    RunResult {
        failed,
        latency_us,
        elapsed: started.elapsed(),
        node_cpu_time: cpu_time(NODE_THREAD) - node_cpu_time,
        node_allocations: heap::allocations() - allocations,
    }
}

/// Opens an HTTP/1.1 connection.
pub async fn connect(address: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Returns the request that all callers send.
pub fn new_request(secret: &str) -> Request<Full<Bytes>> {
    Request::post("/q/levy-validate/declarations/1")
        .header("host", "bench")
        .header("authorization", format!("Bearer {secret}"))
        .body(Full::new(Bytes::from_static(BODY)))
        .expect("the request is well formed")
}

/// Sends requests as one caller; returns the latencies, and the number of failed requests.
///
/// `schedule` is the interval between two requests, and the offset of the first request.
async fn send_all(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    duration: Duration,
    schedule: Option<(Duration, Duration)>,
) -> (Histogram<u64>, u64) {
    let mut latency_us = Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid");
    let mut failed = 0;
    let mut sender = connect(address).await.expect("the server listens");
    let started = Instant::now();
    let mut send_at = started + schedule.map_or(Duration::ZERO, |(_, offset)| offset);
    while started.elapsed() < duration {
        if let Some((interval, _)) = schedule {
            tokio::time::sleep_until(send_at.into()).await;
            send_at += interval;
        }
        let sent_at = Instant::now();
        match send_and_check(&mut sender, request.clone()).await {
            Ok(()) => {
                latency_us.saturating_record(sent_at.elapsed().as_micros() as u64);
            }
            Err(_) => {
                failed += 1;
                sender = connect(address).await.expect("the server listens");
            }
        }
    }
    (latency_us, failed)
}

/// Sends a request; fails unless the response is successful and echoes the body.
async fn send_and_check(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> io::Result<()> {
    sender.ready().await.map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let is_success = response.status().is_success();
    let body = response.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    if is_success && body == BODY { Ok(()) } else { Err(io::ErrorKind::InvalidData.into()) }
}
