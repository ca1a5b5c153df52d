//! Straight lines through measurements.

use crate::sample::Sample;

/// Sizes that a fit needs at least.
pub const SIZES_MIN: usize = 4;

/// `value = base + slope × size`, with the quality of the fit.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// Series.
    pub series: String,
    /// Different sizes.
    pub sizes: usize,
    /// Smallest size.
    pub size_min: f64,
    /// Largest size.
    pub size_max: f64,
    /// Value at size 0.
    pub base: f64,
    /// Growth for each unit of size.
    pub slope: f64,
    /// Largest distance of a measured median from the line, relative to the largest median.
    pub residual: f64,
}

impl Fit {
    /// Value that the line gives at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Least-squares line through the median at each size; `None` below [`SIZES_MIN`] sizes.
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
    let largest = points.iter().map(|point| point.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let distance = |(x, y): &(f64, f64)| (y - base - slope * x).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max) / largest;
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

/// Names of all series, sorted.
pub fn series_of(samples: &[Sample]) -> Vec<String> {
    let mut names: Vec<String> = samples.iter().map(|sample| sample.series.clone()).collect();
    names.sort();
    names.dedup();
    names
}

/// Median value at each size, sorted by size.
fn medians(series: &str, samples: &[Sample]) -> Vec<(f64, f64)> {
    let mut points: Vec<(f64, f64)> = samples
        .iter()
        .filter(|sample| sample.series == series)
        .map(|sample| (sample.size, sample.value))
        .collect();
    points.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
    points.chunk_by(|a, b| a.0 == b.0).map(|same| same[same.len() / 2]).collect()
}
