//! Fits straight lines through measurements.

use crate::sample::Sample;

/// Minimum number of different sizes for a fit.
pub const SIZES_MIN: usize = 4;

/// The line `value = base + slope × size` through a series, and how well it fits.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// Name of the series.
    pub series: String,
    /// Number of different sizes that were measured.
    pub sizes: usize,
    /// Smallest measured size.
    pub size_min: f64,
    /// Largest measured size.
    pub size_max: f64,
    /// Value of the line at size 0.
    pub base: f64,
    /// Increase of the value for each unit of size.
    pub slope: f64,
    /// Largest distance between a measured median and the line, relative to the largest median.
    pub residual: f64,
}

impl Fit {
    /// Returns the value of the line at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Fits a least-squares line through the medians at each size of a series.
///
/// Medians keep single outliers from moving the line. Returns `None` if the series has fewer than
/// [`SIZES_MIN`] different sizes.
pub fn fit(series: &str, samples: &[Sample]) -> Option<Fit> {
    let points = medians(series, samples);
    if points.len() < SIZES_MIN {
        return None;
    }
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let base = mean_y - slope * mean_x;
    let largest_median = points.iter().map(|point| point.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let residual_of = |(x, y): &(f64, f64)| (y - base - slope * x).abs();
    let residual = points.iter().map(residual_of).fold(0.0, f64::max) / largest_median;
    Some(Fit {
        series: series.to_owned(),
        sizes: points.len(),
        size_min: points[0].0,
        size_max: points[points.len() - 1].0,
        base,
        slope,
        residual,
    })
}

/// Returns the names of all series in `samples`, sorted.
pub fn series_of(samples: &[Sample]) -> Vec<String> {
    let mut names: Vec<String> = samples.iter().map(|sample| sample.series.clone()).collect();
    names.sort();
    names.dedup();
    names
}

/// Returns each size of a series with the median of its values, sorted by size.
fn medians(series: &str, samples: &[Sample]) -> Vec<(f64, f64)> {
    let mut points: Vec<(f64, f64)> = samples
        .iter()
        .filter(|sample| sample.series == series)
        .map(|sample| (sample.size, sample.value))
        .collect();
    points.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
    points.chunk_by(|a, b| a.0 == b.0).map(|values| values[values.len() / 2]).collect()
}
