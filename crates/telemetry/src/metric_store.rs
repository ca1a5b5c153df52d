//! The metrics of one process, in memory.

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntGauge;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;

use crate::Kind;
use crate::Total;

/// Upper bounds of the histogram buckets of durations, in seconds. They cover durations from a call
/// within a host to a long outage.
const DURATION_BUCKETS_S: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];
const MILLIS_PER_SECOND: f64 = 1_000.0;

enum Metric {
    Counter(IntCounter),
    Gauge(IntGauge),
    Timer(Histogram),
}

/// Metrics by name, with their current values.
#[derive(Default)]
pub(crate) struct MetricStore {
    registry: Registry,
    /// Sorted by name.
    metrics: Vec<(String, Metric)>,
}

impl MetricStore {
    /// Registers a metric, so that it is exported before its first value.
    pub fn declare(&mut self, name: &str, kind: Kind, help: &str) {
        self.metric(name, kind, help);
    }

    /// Records a value from `name:value|kind`, the StatsD format that `cadence` writes. Ignores a
    /// malformed line.
    pub fn record(&mut self, metric: &str) {
        let Some((name, value_and_kind)) = metric.split_once(':') else {
            return;
        };
        let mut parts = value_and_kind.split('|');
        let value = parts.next().and_then(|value| value.parse::<u64>().ok());
        let kind = match parts.next() {
            Some("c") => Kind::Counter,
            Some("g") => Kind::Gauge,
            Some(_) => Kind::Timer,
            None => return,
        };
        let (Some(value), Some(metric)) = (value, self.metric(name, kind, name)) else {
            return;
        };
        match metric {
            Metric::Counter(counter) => counter.inc_by(value),
            Metric::Gauge(gauge) => gauge.set(value as i64),
            Metric::Timer(histogram) => histogram.observe(value as f64 / MILLIS_PER_SECOND),
        }
    }

    /// Returns the totals of all metrics, sorted by name.
    pub fn totals(&self) -> Vec<Total> {
        let total = |metric: &Metric| match metric {
            Metric::Counter(counter) => counter.get(),
            Metric::Gauge(gauge) => gauge.get().max(0) as u64,
            Metric::Timer(histogram) => histogram.get_sample_count(),
        };
        self.metrics.iter().map(|(name, metric)| (name.clone(), total(metric))).collect()
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let encoded = TextEncoder::new().encode_to_string(&self.registry.gather());
        encoded.unwrap_or_else(|error| format!("# the metrics cannot be written: {error}\n"))
    }

    /// Returns a metric and registers it if it is new; `None` if another metric already has the
    /// name under which it would be exported.
    fn metric(&mut self, name: &str, kind: Kind, help: &str) -> Option<&Metric> {
        let index = match self.metrics.binary_search_by(|(other, _)| other.as_str().cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                let metric = self.register(&served_name(name, kind), kind, help)?;
                self.metrics.insert(index, (name.to_owned(), metric));
                index
            }
        };
        Some(&self.metrics[index].1)
    }

    fn register(&self, served: &str, kind: Kind, help: &str) -> Option<Metric> {
        let (metric, collector): (Metric, Box<dyn Collector>) = match kind {
            Kind::Counter => {
                let counter = IntCounter::new(served, help).ok()?;
                (Metric::Counter(counter.clone()), Box::new(counter))
            }
            Kind::Gauge => {
                let gauge = IntGauge::new(served, help).ok()?;
                (Metric::Gauge(gauge.clone()), Box::new(gauge))
            }
            Kind::Timer => {
                let options = HistogramOpts::new(served, help).buckets(DURATION_BUCKETS_S.to_vec());
                let histogram = Histogram::with_opts(options).ok()?;
                (Metric::Timer(histogram.clone()), Box::new(histogram))
            }
        };
        self.registry.register(collector).ok()?;
        Some(metric)
    }
}

/// Returns the name of a metric in the text format, with its unit, or `_total` for a counter.
pub(crate) fn served_name(name: &str, kind: Kind) -> String {
    let name = name.replace(['.', '-'], "_");
    match kind {
        Kind::Counter => format!("{name}_total"),
        Kind::Gauge => name,
        Kind::Timer => format!("{name}_seconds"),
    }
}
