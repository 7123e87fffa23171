//! A straight line through measured points, by least squares.

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Point {
    /// Size on the axis.
    pub size: f64,
    /// What was measured there.
    pub value: f64,
}

/// `value = base + slope * size`, and how far the points are from it.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Line {
    /// Value at size 0.
    pub base: f64,
    /// Growth for each unit of size.
    pub slope: f64,
    /// Standard error of the slope: with four points, the true slope is within 4.3 of them in 95 of 100 cases.
    pub slope_error: f64,
    /// Standard deviation of the points from the line, in the unit of the value.
    pub residual: f64,
}

/// Points that a line takes up without any deviation.
const FREE: usize = 2;

impl Line {
    /// The line with the least sum of squared deviations; `None` for fewer than three points or a single size.
    ///
    /// ```
    /// use fescuewell_bench::capacity::fit::{Line, Point};
    /// let points = [(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)];
    /// let points = points.map(|(size, value)| Point { size, value });
    /// let line = Line::through(&points).unwrap();
    /// assert!((line.slope - 2.0).abs() < 1e-9 && (line.base - 3.0).abs() < 1e-9);
    /// ```
    pub fn through(points: &[Point]) -> Option<Self> {
        if points.len() <= FREE {
            return None;
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let mut spread = 0.0;
        let mut common = 0.0;
        for point in points {
            let distance = point.size - mean_size;
            spread += distance * distance;
            common += distance * (point.value - mean_value);
        }
        if spread == 0.0 {
            return None;
        }
        let slope = common / spread;
        let base = mean_value - slope * mean_size;
        let deviation = |point: &Point| point.value - base - slope * point.size;
        let squares: f64 = points.iter().map(|point| deviation(point).powi(2)).sum();
        let variance = squares / (points.len() - FREE) as f64;
        Some(Self {
            base,
            slope,
            slope_error: (variance / spread).sqrt(),
            residual: variance.sqrt(),
        })
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
