//! One measurement, as a JSON line.

use serde::Deserialize;
use serde::Serialize;

/// A measured value of a series at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Name of the series, with the unit of its values as the suffix.
    pub series: String,
    /// What the value grows with, such as a number of nodes.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

impl Sample {
    /// Measurement of `series` at `size`.
    pub fn new(series: &str, size: impl Into<f64>, value: f64) -> Self {
        Self { series: series.to_owned(), size: size.into(), value }
    }

    /// Prints the measurement as a JSON line, or as text.
    pub fn print(&self, json: bool) {
        if json {
            let line = serde_json::to_string(self).expect("samples have string keys only");
            println!("{line}");
            return;
        }
        println!("{:40} at {:>8}: {:.3}", self.series, self.size, self.value);
    }
}
