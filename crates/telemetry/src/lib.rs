//! Counters, gauges and timers of one process, kept by `cadence`.
//!
//! Metrics go to a StatsD address over UDP if one is set. They are also kept in memory, so that
//! `savorypitch status` and a metrics address can show them without a collector.

pub mod log;

mod kept;

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

use crate::kept::Kept;

/// Prefix of all metric names.
const PREFIX: &str = "savorypitch";

/// Current total of a counter, last value of a gauge, or number of durations of a timer.
pub type Total = (String, u64);

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It counts events.
    Counter,
    /// It shows a present value.
    Gauge,
    /// It measures durations.
    Timer,
}

/// A metric that is shown from the start.
#[derive(Clone, Copy, Debug)]
pub struct MetricSpec {
    /// Name, without the prefix.
    pub name: &'static str,
    /// Kind.
    pub kind: Kind,
    /// What it tells.
    pub help: &'static str,
}

impl MetricSpec {
    /// Name under which the metric is served as text.
    pub fn served_name(&self) -> String {
        kept::served_name(&format!("{PREFIX}.{}", self.name), self.kind)
    }
}

/// Metrics of one process.
#[derive(Clone)]
pub struct Telemetry {
    client: Arc<StatsdClient>,
    kept: Arc<Mutex<Kept>>,
}

impl Telemetry {
    /// Metrics that are kept in memory, and sent to `collector` if there is one.
    pub fn new(collector: Option<SocketAddr>) -> io::Result<Self> {
        let kept = Arc::new(Mutex::new(Kept::default()));
        let udp = match collector {
            Some(address) => Some((UdpSocket::bind("0.0.0.0:0")?, address)),
            None => None,
        };
        if let Some((socket, _)) = &udp {
            socket.set_nonblocking(true)?;
        }
        let sink = Sink { kept: kept.clone(), udp };
        Ok(Self { client: Arc::new(StatsdClient::from_sink(PREFIX, sink)), kept })
    }

    /// Shows metrics from now on, also those that have not been recorded yet.
    pub fn declare(&self, metrics: &[MetricSpec]) {
        let mut kept = self.kept.lock().expect("no holder panics");
        for metric in metrics {
            kept.declare(&format!("{PREFIX}.{}", metric.name), metric.kind, metric.help);
        }
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

    /// Totals of all metrics, sorted by name.
    pub fn totals(&self) -> Vec<Total> {
        self.kept.lock().expect("no holder panics").totals()
    }

    /// All metrics in the text format of Prometheus; timers are histograms in seconds.
    pub fn text(&self) -> String {
        self.kept.lock().expect("no holder panics").text()
    }
}

/// Keeps each metric and forwards it.
struct Sink {
    kept: Arc<Mutex<Kept>>,
    udp: Option<(UdpSocket, SocketAddr)>,
}

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.kept.lock().expect("no holder panics").keep(metric);
        if let Some((socket, address)) = &self.udp {
            return socket.send_to(metric.as_bytes(), address);
        }
        Ok(metric.len())
    }
}
