//! What is measured along one axis, and what it says about the wanted size.

use super::fit::{Line, Point};

/// One quantity along one axis.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Series {
    /// The axis.
    pub axis: String,
    /// What was measured.
    pub quantity: String,
    /// Its unit.
    pub unit: String,
    /// The measurements, by rising size.
    pub points: Vec<Point>,
    /// The line through them.
    pub line: Option<Line>,
    /// The size that is wanted on this axis.
    pub wanted: f64,
}

impl Series {
    /// An empty series.
    pub fn new(axis: &str, quantity: &str, unit: &str, wanted: f64) -> Self {
        Self {
            axis: axis.into(),
            quantity: quantity.into(),
            unit: unit.into(),
            points: Vec::new(),
            line: None,
            wanted,
        }
    }

    /// Adds a measurement and fits anew.
    pub fn add(&mut self, size: f64, value: f64) {
        self.points.push(Point { size, value });
        self.line = Line::through(&self.points);
    }

    /// Smallest and largest size that was measured.
    pub fn range(&self) -> (f64, f64) {
        let sizes = self.points.iter().map(|point| point.size);
        sizes.fold((f64::INFINITY, 0.0), |(least, most), size| {
            (size.min(least), size.max(most))
        })
    }

    /// Whether the wanted size lies beyond what was measured.
    pub fn is_extrapolated(&self) -> bool {
        let (least, most) = self.range();
        self.wanted < least || self.wanted > most
    }

    /// The value at the wanted size: as measured there, or else by the line.
    pub fn at_wanted(&self) -> Option<f64> {
        let mut points = self.points.iter();
        let measured = points.find(|point| point.size == self.wanted);
        let measured = measured.map(|point| point.value);
        measured.or_else(|| self.line.map(|line| line.at(self.wanted)))
    }

    /// The series in one line of text, and a line for the points.
    pub fn text(&self) -> String {
        let (least, most) = self.range();
        let points = self.points.iter();
        let points: Vec<String> = points
            .map(|point| format!("{}: {}", point.size, short(point.value)))
            .collect();
        let title = format!("{}: {} [{}]", self.axis, self.quantity, self.unit);
        let points = points.join(", ");
        let Some(line) = self.line else {
            return format!("{title}\n    measured {points}; too few points for a line\n");
        };
        let how = if self.is_extrapolated() {
            "EXTRAPOLATED"
        } else {
            "within the measured range"
        };
        format!(
            "{title}\n    measured {least} to {most}: {points}\n    {} + {} (+- {}) each, residual {}; at {}: {}, {how}\n",
            short(line.base),
            short(line.slope),
            short(line.slope_error),
            short(line.residual),
            self.wanted,
            short(self.at_wanted().unwrap_or_default()),
        )
    }
}

/// A number with three or four significant digits.
fn short(value: f64) -> String {
    let size = value.abs();
    match size {
        0.0 => "0".into(),
        _ if size >= 100.0 => format!("{value:.0}"),
        _ if size >= 1.0 => format!("{value:.2}"),
        _ if size >= 0.001 => format!("{value:.5}"),
        _ => format!("{value:.2e}"),
    }
}
