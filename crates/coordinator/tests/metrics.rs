//! The served metrics are the documented ones.

use std::time::Duration;

use coordinator::metrics;
use coordinator::metrics::METRICS;
use telemetry::Telemetry;

const PAGE: &str = include_str!("../../../docs/METRICS.md");
const SECTION: &str = "## On the platform";

/// Returns the metric names in the tables of the page's section on the platform, sorted.
fn documented() -> Vec<String> {
    let section = PAGE.split_once(SECTION).expect("the page has the section").1;
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    let mut names: Vec<String> =
        rows.filter_map(|row| Some(row.split_once('`')?.0.to_owned())).collect();
    names.sort();
    names
}

#[test]
fn the_documentation_lists_the_served_metrics() {
    let metrics = METRICS.iter().chain(inbound::metrics::METRICS);
    let mut served: Vec<String> = metrics.map(|metric| metric.served_name()).collect();
    served.sort();
    assert_eq!(documented(), served);
    let telemetry = Telemetry::new(None).unwrap();
    telemetry.declare(METRICS);
    telemetry.declare(inbound::metrics::METRICS);
    let text = telemetry.text();
    for name in &served {
        assert!(text.contains(&format!("# TYPE {name} ")), "{name} is not in\n{text}");
    }
}

#[test]
fn a_timer_is_served_as_a_histogram_in_seconds() {
    let telemetry = Telemetry::new(None).unwrap();
    telemetry.declare(METRICS);
    telemetry.time(metrics::STORE_WRITE, Duration::from_millis(7));
    telemetry.time(metrics::STORE_WRITE, Duration::from_millis(700));
    telemetry.count(metrics::POLLS);
    let text = telemetry.text();
    for line in [
        "savorypitch_store_write_seconds_bucket{le=\"0.005\"} 0",
        "savorypitch_store_write_seconds_bucket{le=\"0.01\"} 1",
        "savorypitch_store_write_seconds_bucket{le=\"1\"} 2",
        "savorypitch_store_write_seconds_sum 0.707",
        "savorypitch_store_write_seconds_count 2",
        "savorypitch_looks_total 1",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is not in\n{text}");
    }
}
