//! Log lines and metrics of one process: counters, gauges and timers, recorded with `cadence`.
//!
//! Metrics are sent over UDP to a StatsD collector if one is configured. They are also kept in
//! memory, so that `savorypitch status` and the metrics address show them without a collector.

pub mod log;

mod metric_store;

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

use crate::metric_store::MetricStore;

/// First part of all metric names.
const PREFIX: &str = "savorypitch";

/// Name of a metric, and the total of a counter, the last value of a gauge, or the number of
/// durations of a timer.
pub type Total = (String, u64);

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Number of events since the process started.
    Counter,
    /// Current value.
    Gauge,
    /// Distribution of durations.
    Timer,
}

/// A metric that is exported from the start, before its first value.
#[derive(Clone, Copy, Debug)]
pub struct MetricSpec {
    /// Name, without the prefix.
    pub name: &'static str,
    /// Whether it is a counter, a gauge or a timer.
    pub kind: Kind,
    /// Help text in the Prometheus format.
    pub help: &'static str,
}

impl MetricSpec {
    /// Returns the name of the metric in the Prometheus format.
    pub fn served_name(&self) -> String {
        metric_store::served_name(&format!("{PREFIX}.{}", self.name), self.kind)
    }
}

/// Metrics of one process; clones share them.
#[derive(Clone)]
pub struct Telemetry {
    client: Arc<StatsdClient>,
    store: Arc<Mutex<MetricStore>>,
}

impl Telemetry {
    /// Creates metrics that are kept in memory, and sent to the StatsD `collector` if there is one.
    pub fn new(collector: Option<SocketAddr>) -> io::Result<Self> {
        let store = Arc::new(Mutex::new(MetricStore::default()));
        let udp = match collector {
            Some(address) => Some((UdpSocket::bind("0.0.0.0:0")?, address)),
            None => None,
        };
        if let Some((socket, _)) = &udp {
            socket.set_nonblocking(true)?;
        }
        let sink = Sink { store: store.clone(), udp };
        Ok(Self { client: Arc::new(StatsdClient::from_sink(PREFIX, sink)), store })
    }

    /// Registers metrics, so that they are exported before their first value.
    pub fn declare(&self, metrics: &[MetricSpec]) {
        let mut store = self.store.lock().expect("lock is never poisoned");
        for metric in metrics {
            store.declare(&format!("{PREFIX}.{}", metric.name), metric.kind, metric.help);
        }
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        self.count_many(name, 1);
    }

    /// Adds `count` to a counter.
    pub fn count_many(&self, name: &str, count: u64) {
        // Losing a metric must not fail the caller.
        let _ = self.client.count(name, count as i64);
    }

    /// Sets the value of a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration of a timer.
    pub fn time(&self, name: &str, elapsed: Duration) {
        let _ = self.client.time(name, elapsed);
    }

    /// Returns the totals of all metrics, sorted by name.
    pub fn totals(&self) -> Vec<Total> {
        self.store.lock().expect("lock is never poisoned").totals()
    }

    /// Returns all metrics in the text format of Prometheus; timers are histograms in seconds.
    pub fn text(&self) -> String {
        self.store.lock().expect("lock is never poisoned").text()
    }
}

/// Records each metric in memory and sends it to the collector.
struct Sink {
    store: Arc<Mutex<MetricStore>>,
    udp: Option<(UdpSocket, SocketAddr)>,
}

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.store.lock().expect("lock is never poisoned").record(metric);
        if let Some((socket, address)) = &self.udp {
            return socket.send_to(metric.as_bytes(), address);
        }
        Ok(metric.len())
    }
}
