//! Counters, gauges and timers of one process, kept by `cadence`.
//!
//! Metrics go to a StatsD address over UDP if one is set. Totals are also kept in memory, so that
//! `savorypitch status` can show them without a collector.

pub mod log;

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::MetricSink;
use cadence::StatsdClient;
use cadence::Timed;

/// Prefix of all metric names.
const PREFIX: &str = "savorypitch";

/// Current total of a counter, or last value of a gauge.
pub type Total = (String, u64);

/// Metrics of one process.
#[derive(Clone)]
pub struct Telemetry {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<Vec<Total>>>,
}

impl Telemetry {
    /// Metrics that are kept in memory, and sent to `collector` if there is one.
    pub fn new(collector: Option<SocketAddr>) -> io::Result<Self> {
        let totals = Arc::new(Mutex::new(Vec::new()));
        let udp = match collector {
            Some(address) => Some((UdpSocket::bind("0.0.0.0:0")?, address)),
            None => None,
        };
        if let Some((socket, _)) = &udp {
            socket.set_nonblocking(true)?;
        }
        let sink = Sink { totals: totals.clone(), udp };
        Ok(Self { client: Arc::new(StatsdClient::from_sink(PREFIX, sink)), totals })
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        self.count_many(name, 1);
    }

    /// Adds `count` to a counter.
    pub fn count_many(&self, name: &str, count: u64) {
        // A metric that is not sent is not worth an error.
        let _ = self.client.count(name, count as i64);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, elapsed: Duration) {
        let _ = self.client.time(name, elapsed);
    }

    /// Totals of all counters and last values of all gauges, sorted by name.
    pub fn totals(&self) -> Vec<Total> {
        self.totals.lock().expect("no holder panics").clone()
    }
}

/// Keeps totals and forwards each metric.
struct Sink {
    totals: Arc<Mutex<Vec<Total>>>,
    udp: Option<(UdpSocket, SocketAddr)>,
}

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.keep(metric);
        if let Some((socket, address)) = &self.udp {
            return socket.send_to(metric.as_bytes(), address);
        }
        Ok(metric.len())
    }
}

impl Sink {
    /// Reads `name:value|kind`, as `cadence` writes it.
    fn keep(&self, metric: &str) {
        let Some((name, rest)) = metric.split_once(':') else {
            return;
        };
        let mut parts = rest.split('|');
        let value = parts.next().and_then(|value| value.parse::<u64>().ok());
        let (Some(value), Some(kind)) = (value, parts.next()) else {
            return;
        };
        let mut totals = self.totals.lock().expect("no holder panics");
        let index = match totals.binary_search_by(|(other, _)| other.as_str().cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                totals.insert(index, (name.to_owned(), 0));
                index
            }
        };
        match kind {
            "c" => totals[index].1 += value,
            "g" => totals[index].1 = value,
            _ => totals[index].1 += 1,
        }
    }
}
