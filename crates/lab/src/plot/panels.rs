//! Line charts with bands, several in one picture under one legend.

use plotters::coord::Shift;
use plotters::prelude::*;

use super::legend::{distinct_labels, draw_header, HEADER_HEIGHT};
use super::style::{colour, FONT, LABEL_SIZE, PANEL_TITLE_SIZE, SHADE};
use super::{DrawResult, Figure, Size};

/// A point of a line with the band around it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BandPoint {
    /// The position.
    pub x: f64,
    /// The lower end of the band.
    pub lower: f64,
    /// The line.
    pub middle: f64,
    /// The upper end of the band.
    pub upper: f64,
}

/// A line with its band.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Its name in the legend; it chooses the colour.
    pub label: String,
    /// Its points, by position.
    pub points: Vec<BandPoint>,
}

/// How values are placed along an axis.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scale {
    /// In proportion.
    Linear,
    /// Times in milliseconds, by their decimal logarithm.
    LogarithmicTime,
    /// The positions 0, 1, 2 and so on, each with a name.
    Names(Vec<String>),
}

/// An axis.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Axis {
    /// What it shows, with the unit.
    pub label: String,
    /// How values are placed.
    pub scale: Scale,
}

/// One line chart.
#[derive(Clone, Debug, PartialEq)]
pub struct Chart {
    /// Its title.
    pub title: String,
    /// The axis to the right.
    pub x: Axis,
    /// The axis upwards.
    pub y: Axis,
    /// A range of positions with a grey ground.
    pub shaded: Option<(f64, f64)>,
    /// The lines.
    pub series: Vec<Series>,
}

/// Charts in rows under one title and legend.
#[derive(Clone, Debug, PartialEq)]
pub struct Panels {
    /// The title.
    pub title: String,
    /// The charts, row by row.
    pub charts: Vec<Chart>,
}

const SINGLE: Size = Size { width: 1_000, height: 500 };
const PANEL: Size = Size { width: 480, height: 300 };
const MOST_COLUMNS: usize = 3;

/// The smallest value that a logarithmic axis shows.
const LEAST_LOGARITHMIC: f64 = 0.01;

impl Panels {
    fn columns(&self) -> usize {
        self.charts.len().clamp(1, MOST_COLUMNS)
    }

    fn rows(&self) -> usize {
        self.charts.len().div_ceil(self.columns()).max(1)
    }

    /// The size in pixels that leaves every chart readable.
    pub fn size(&self) -> Size {
        let panel = if self.charts.len() <= 1 { SINGLE } else { PANEL };
        let width = panel.width * self.columns() as u32;
        Size { width: width.max(SINGLE.width), height: HEADER_HEIGHT + panel.height * self.rows() as u32 }
    }
}

impl Figure for Panels {
    fn draw<DB: DrawingBackend>(&self, area: &DrawingArea<DB, Shift>) -> DrawResult<DB> {
        let labels = distinct_labels(self.charts.iter().flat_map(|chart| &chart.series).map(|series| &series.label));
        let (header, body) = area.split_vertically(HEADER_HEIGHT);
        draw_header(&header, &self.title, &labels)?;
        let cells = body.split_evenly((self.rows(), self.columns()));
        for (chart, cell) in self.charts.iter().zip(&cells) {
            draw_chart(chart, &labels, cell)?;
        }
        Ok(())
    }
}

fn draw_chart<DB: DrawingBackend>(chart: &Chart, labels: &[String], area: &DrawingArea<DB, Shift>) -> DrawResult<DB> {
    let (x_range, y_range) = (x_range(chart), y_range(chart));
    let mut context = ChartBuilder::on(area)
        .caption(&chart.title, (FONT, PANEL_TITLE_SIZE))
        .margin(8)
        .margin_right(20)
        .x_label_area_size(42)
        .y_label_area_size(62)
        .build_cartesian_2d(x_range.0..x_range.1, y_range.0..y_range.1)?;
    if let Some((from, to)) = chart.shaded {
        let ground = Rectangle::new([(from, y_range.0), (to, y_range.1)], SHADE.filled());
        context.draw_series(std::iter::once(ground))?;
    }
    context
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .bold_line_style(BLACK.mix(0.12))
        .x_desc(&chart.x.label)
        .y_desc(&chart.y.label)
        .axis_desc_style((FONT, LABEL_SIZE))
        .label_style((FONT, LABEL_SIZE))
        .x_labels(label_count(&chart.x.scale, 8))
        .y_labels(label_count(&chart.y.scale, 6))
        .x_label_formatter(&|value| tick(&chart.x.scale, *value))
        .y_label_formatter(&|value| tick(&chart.y.scale, *value))
        .draw()?;
    for series in &chart.series {
        let index = labels.iter().position(|label| *label == series.label).unwrap_or(0);
        let place = |value| place(&chart.y.scale, value);
        let upper = series.points.iter().map(|point| (point.x, place(point.upper)));
        let lower = series.points.iter().rev().map(|point| (point.x, place(point.lower)));
        let band = Polygon::new(upper.chain(lower).collect::<Vec<_>>(), colour(index).mix(0.18).filled());
        context.draw_series(std::iter::once(band))?;
        let line = series.points.iter().map(|point| (point.x, place(point.middle)));
        context.draw_series(LineSeries::new(line, colour(index).stroke_width(2)))?;
    }
    Ok(())
}

fn place(scale: &Scale, value: f64) -> f64 {
    match scale {
        Scale::LogarithmicTime => value.max(LEAST_LOGARITHMIC).log10(),
        Scale::Linear | Scale::Names(_) => value,
    }
}

fn label_count(scale: &Scale, usual: usize) -> usize {
    match scale {
        Scale::Names(names) => names.len(),
        Scale::Linear | Scale::LogarithmicTime => usual,
    }
}

fn tick(scale: &Scale, value: f64) -> String {
    match scale {
        Scale::Linear => super::style::number(value),
        Scale::LogarithmicTime => crate::table::time(10f64.powf(value)),
        Scale::Names(names) => name_at(names, value),
    }
}

fn name_at(names: &[String], value: f64) -> String {
    let nearest = value.round();
    if (value - nearest).abs() > 0.01 || nearest < 0.0 {
        return String::new();
    }
    names.get(nearest as usize).cloned().unwrap_or_default()
}

fn x_range(chart: &Chart) -> (f64, f64) {
    if let Scale::Names(names) = &chart.x.scale {
        return (0.0, (names.len().max(2) - 1) as f64);
    }
    let last = chart.series.iter().flat_map(|series| &series.points).map(|point| point.x).fold(1.0, f64::max);
    (0.0, last)
}

fn y_range(chart: &Chart) -> (f64, f64) {
    let points = || chart.series.iter().flat_map(|series| &series.points);
    let highest = points().map(|point| point.upper).fold(0.0, f64::max);
    match chart.y.scale {
        Scale::Linear | Scale::Names(_) => (0.0, (highest * 1.08).max(1.0)),
        Scale::LogarithmicTime => {
            let lowest = points().map(|point| point.lower).fold(highest, f64::min);
            let (lowest, highest) = (place(&chart.y.scale, lowest).floor(), place(&chart.y.scale, highest).ceil());
            (lowest, highest.max(lowest + 1.0))
        }
    }
}
