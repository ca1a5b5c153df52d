//! Guards the fits that docs/CAPACITY.md extrapolates from.

use bench::fit::fit;
use bench::sample::Sample;

fn samples(points: &[(f64, f64)]) -> Vec<Sample> {
    points.iter().map(|(size, value)| Sample::new("bytes", *size, *value)).collect()
}

#[test]
fn fit_uses_the_median_at_each_size() {
    let mut all = samples(&[(1.0, 12.0), (2.0, 14.0), (4.0, 18.0), (8.0, 26.0)]);
    all.extend(samples(&[(8.0, 26.0), (8.0, 900.0)]));
    let fit = fit("bytes", &all).unwrap();
    assert!((fit.base - 10.0).abs() < 1e-9);
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9);
    assert!((fit.at(100.0) - 210.0).abs() < 1e-9);
}

#[test]
fn curve_has_a_large_residual() {
    let all = samples(&[(1.0, 1.0), (2.0, 4.0), (4.0, 16.0), (8.0, 64.0)]);
    assert!(fit("bytes", &all).unwrap().residual > 0.05);
}

#[test]
fn three_sizes_give_no_fit() {
    assert!(fit("bytes", &samples(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)])).is_none());
}
