//! A title and one line of legend above the charts, so that neither covers a curve.

use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

use super::style::{colour, FONT, LABEL_SIZE, TITLE_SIZE};
use super::DrawResult;

/// The height of title and legend together in pixels.
pub const HEADER_HEIGHT: u32 = 64;

const MARGIN: i32 = 16;
const TITLE_MIDDLE: i32 = 20;
const LEGEND_MIDDLE: i32 = 48;
const SWATCH_WIDTH: i32 = 22;
const SWATCH_HEIGHT: i32 = 4;
const GAP: i32 = 8;
const ENTRY_GAP: i32 = 26;

/// Draws the title and an entry for each label, in the colours of the labels' order.
pub fn draw_header<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    title: &str,
    labels: &[String],
) -> DrawResult<DB> {
    let middle_left = Pos::new(HPos::Left, VPos::Center);
    let title_style = TextStyle::from((FONT, TITLE_SIZE)).pos(middle_left);
    area.draw_text(title, &title_style, (MARGIN, TITLE_MIDDLE))?;
    let label_style = TextStyle::from((FONT, LABEL_SIZE)).pos(middle_left);
    let mut x = MARGIN;
    for (index, label) in labels.iter().enumerate() {
        let top = LEGEND_MIDDLE - SWATCH_HEIGHT / 2;
        let swatch = [(x, top), (x + SWATCH_WIDTH, top + SWATCH_HEIGHT)];
        area.draw(&Rectangle::new(swatch, colour(index).filled()))?;
        x += SWATCH_WIDTH + GAP;
        area.draw_text(label, &label_style, (x, LEGEND_MIDDLE))?;
        let (width, _) = area.estimate_text_size(label, &label_style)?;
        x += width as i32 + ENTRY_GAP;
    }
    Ok(())
}

/// The labels without repetition, in the order of their first use; the position is the colour.
pub fn distinct_labels<'a>(labels: impl Iterator<Item = &'a String>) -> Vec<String> {
    let mut distinct: Vec<String> = Vec::new();
    for label in labels {
        if !distinct.contains(label) {
            distinct.push(label.clone());
        }
    }
    distinct
}
