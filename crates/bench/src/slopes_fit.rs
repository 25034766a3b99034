//! Linear regression: shows how a measured value grows with the size that was varied.

/// A line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at size 0.
    pub intercept: f64,
    /// Change of the value for each unit of size.
    pub slope: f64,
    /// Root mean square of the residuals.
    pub residual: f64,
}

/// Fits a line to `(size, value)` points by least squares. Without two different sizes, the
/// slope is 0.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sum_xy: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = match sum_xx > 0.0 {
        true => sum_xy / sum_xx,
        false => 0.0,
    };
    let intercept = mean_y - slope * mean_x;
    let sum_squared_residuals: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    Fit {
        intercept,
        slope,
        residual: (sum_squared_residuals / count).sqrt(),
    }
}
