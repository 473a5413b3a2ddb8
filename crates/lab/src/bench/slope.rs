//! The straight line through measured points.

use serde::Serialize;

#[cfg(test)]
mod tests;

/// A line `value = base + slope * position`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The value at position zero.
    pub base: f64,
    /// What one more of the position adds.
    pub slope: f64,
    /// The greatest distance of a point from the line, as a share of the greatest value.
    pub worst_fit: f64,
}

impl Line {
    /// The line through `(position, value)` points; `None` without two different positions.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread <= f64::EPSILON {
            return None;
        }
        let shared: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = shared / spread;
        let base = mean_y - slope * mean_x;
        let greatest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let distance = |(x, y): &(f64, f64)| (y - base - slope * x).abs() / greatest;
        Some(Line { base, slope, worst_fit: points.iter().map(distance).fold(0.0, f64::max) })
    }
}
