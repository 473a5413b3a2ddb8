//! One row of dots for each variant, for measures that some runs never reach.

use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

use super::legend::{distinct_labels, draw_header, HEADER_HEIGHT};
use super::style::{colour, number, FONT, LABEL_SIZE, SHADE};
use super::{DrawResult, Figure, Size};

/// The values of one variant.
#[derive(Clone, Debug, PartialEq)]
pub struct DotRow {
    /// The comparison that it belongs to; written once beside its rows.
    pub group: String,
    /// The variant; it chooses the colour.
    pub label: String,
    /// One value for each run; `None` if it was never reached.
    pub values: Vec<Option<f64>>,
}

/// Rows of dots under a title and legend.
#[derive(Clone, Debug, PartialEq)]
pub struct Dots {
    /// The title.
    pub title: String,
    /// What the values are, with the unit.
    pub x_label: String,
    /// The rows, from above.
    pub rows: Vec<DotRow>,
}

const WIDTH: u32 = 1_000;
const ROW_HEIGHT: u32 = 26;
const AXIS_HEIGHT: u32 = 56;
const LABEL_WIDTH: u32 = 280;
const DOT_RADIUS: i32 = 4;

/// The part of the axis beyond the last value where runs that never got there are shown.
const NEVER_SHARE: f64 = 0.12;

impl Dots {
    /// The size in pixels that leaves every row readable.
    pub fn size(&self) -> Size {
        Size { width: WIDTH, height: HEADER_HEIGHT + AXIS_HEIGHT + ROW_HEIGHT * self.rows.len().max(1) as u32 + 16 }
    }

    /// Where the axis ends for values that were reached.
    fn limit(&self) -> f64 {
        let values = self.rows.iter().flat_map(|row| &row.values).flatten();
        (values.fold(1.0, |highest: f64, value| highest.max(*value)) * 1.05).ceil()
    }
}

impl Figure for Dots {
    fn draw<DB: DrawingBackend>(&self, area: &DrawingArea<DB, Shift>) -> DrawResult<DB> {
        let labels = distinct_labels(self.rows.iter().map(|row| &row.label));
        let (header, body) = area.split_vertically(HEADER_HEIGHT);
        draw_header(&header, &self.title, &labels)?;
        let limit = self.limit();
        let end = limit * (1.0 + NEVER_SHARE);
        let height = self.rows.len().max(1) as f64;
        let mut context = ChartBuilder::on(&body)
            .margin(8)
            .margin_right(20)
            .x_label_area_size(AXIS_HEIGHT - 8)
            .y_label_area_size(LABEL_WIDTH)
            .build_cartesian_2d(0.0..end, height..0.0)?;
        context.draw_series(std::iter::once(Rectangle::new([(limit, 0.0), (end, height)], SHADE.filled())))?;
        context
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(0)
            .light_line_style(TRANSPARENT)
            .bold_line_style(BLACK.mix(0.12))
            .x_desc(&self.x_label)
            .axis_desc_style((FONT, LABEL_SIZE))
            .label_style((FONT, LABEL_SIZE))
            .x_label_formatter(&|value| if *value < limit { number(*value) } else { String::new() })
            .draw()?;
        for (index, row) in self.rows.iter().enumerate() {
            let shade = colour(labels.iter().position(|label| *label == row.label).unwrap_or(0));
            let middle = index as f64 + 0.5;
            let never = limit + (end - limit) / 2.0;
            // Runs that coincide are told apart by a small shift downwards.
            let spread = |number: usize| middle + 0.5 * (number as f64 / row.values.len().max(1) as f64 - 0.45);
            let dots = row.values.iter().enumerate().map(|(number, value)| {
                Circle::new((value.unwrap_or(never), spread(number)), DOT_RADIUS, shade.mix(0.6).filled())
            });
            context.draw_series(dots)?;
        }
        self.draw_names(&body, context.plotting_area().get_pixel_range())
    }
}

impl Dots {
    fn draw_names<DB: DrawingBackend>(
        &self,
        body: &DrawingArea<DB, Shift>,
        (columns, lines): (std::ops::Range<i32>, std::ops::Range<i32>),
    ) -> DrawResult<DB> {
        let (_, top) = body.get_base_pixel();
        let row_height = f64::from(lines.end - lines.start) / self.rows.len().max(1) as f64;
        let right = TextStyle::from((FONT, LABEL_SIZE)).pos(Pos::new(HPos::Right, VPos::Center));
        let mut previous: Option<&str> = None;
        for (index, row) in self.rows.iter().enumerate() {
            let middle = lines.start - top + ((index as f64 + 0.5) * row_height) as i32;
            if previous != Some(row.group.as_str()) {
                let line = lines.start - top + (index as f64 * row_height) as i32;
                let separator = PathElement::new([(0, line), (columns.end, line)], BLACK.mix(0.12));
                body.draw(&separator)?;
                body.draw_text(&row.group, &right, (columns.start - 10, middle))?;
            }
            previous = Some(row.group.as_str());
        }
        let centre = TextStyle::from((FONT, LABEL_SIZE)).pos(Pos::new(HPos::Center, VPos::Top));
        let never =
            columns.end - (f64::from(columns.end - columns.start) * NEVER_SHARE / (1.0 + NEVER_SHARE) / 2.0) as i32;
        body.draw_text("never", &centre, (never, lines.end - top + 6))
    }
}
