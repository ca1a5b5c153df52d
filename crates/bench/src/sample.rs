//! A measurement, and its output as a JSON line.

use serde::Deserialize;
use serde::Serialize;

/// One measured value of a series.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Name of the series; the suffix is the unit of its values.
    pub series: String,
    /// Quantity that the value grows with, such as the number of nodes.
    pub size: f64,
    /// Measured value, in the unit that the series names.
    pub value: f64,
}

impl Sample {
    /// Creates a measurement of `series` at `size`.
    pub fn new(series: &str, size: impl Into<f64>, value: f64) -> Self {
        Self { series: series.to_owned(), size: size.into(), value }
    }

    /// Prints the measurement as a JSON line if `json`, and as text otherwise.
    pub fn print(&self, json: bool) {
        if json {
            let line = serde_json::to_string(self).expect("a sample has only string keys");
            println!("{line}");
            return;
        }
        println!("{:40} at {:>8}: {:.3}", self.series, self.size, self.value);
    }
}
