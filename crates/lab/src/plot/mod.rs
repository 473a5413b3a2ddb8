//! Draws charts as SVG and PNG files.
//!
//! Build [`Panels`] of line charts or [`Dots`] and hand them to [`save`]. The font is embedded, so that pictures are
//! alike on every machine.

mod dots;
mod legend;
mod panels;
mod style;

use std::path::Path;

use derive_more::{Display, Error};
use plotters::coord::Shift;
use plotters::prelude::*;

pub use dots::{DotRow, Dots};
pub use panels::{Axis, BandPoint, Chart, Panels, Scale, Series};

/// A picture could not be drawn.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("cannot draw {picture}: {message}")]
pub struct PlotError {
    /// The picture's name.
    pub picture: String,
    /// What the library says.
    pub message: String,
}

/// The size of a picture in pixels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// The width.
    pub width: u32,
    /// The height.
    pub height: u32,
}

/// What can be drawn on any kind of file.
pub trait Figure {
    /// Draws it on the whole of `area`.
    ///
    /// # Errors
    ///
    /// Returns what the library says.
    fn draw<DB: DrawingBackend>(&self, area: &DrawingArea<DB, Shift>) -> DrawResult<DB>;
}

/// The result of drawing on a backend.
pub type DrawResult<DB> = Result<(), DrawingAreaErrorKind<<DB as DrawingBackend>::ErrorType>>;

/// Writes `figure` as `NAME.svg` and `NAME.png` into `directory`.
///
/// # Errors
///
/// Returns which picture could not be drawn or written, and why.
pub fn save(figure: &impl Figure, size: Size, directory: &Path, name: &str) -> Result<(), PlotError> {
    style::register_font();
    let name = file_name(name);
    let size = (size.width, size.height);
    let png = directory.join(format!("{name}.png"));
    finish(&name, figure, BitMapBackend::new(&png, size).into_drawing_area())?;
    let svg = directory.join(format!("{name}.svg"));
    finish(&name, figure, SVGBackend::new(&svg, size).into_drawing_area())
}

fn finish<DB: DrawingBackend>(name: &str, figure: &impl Figure, area: DrawingArea<DB, Shift>) -> Result<(), PlotError> {
    let drawn = area.fill(&WHITE).and_then(|()| figure.draw(&area)).and_then(|()| area.present());
    drawn.map_err(|failure| PlotError { picture: name.to_owned(), message: failure.to_string() })
}

/// Names of comparisons hold spaces and brackets; file names do not.
fn file_name(name: &str) -> String {
    let safe = |letter: char| if letter.is_ascii_alphanumeric() || letter == '-' { letter } else { '-' };
    name.chars().map(safe).collect()
}
