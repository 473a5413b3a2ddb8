//! The font, colours and text sizes of all pictures.

use std::sync::Once;

use plotters::prelude::*;
use plotters::style::register_font as register;

/// The font's name in all pictures; SVG viewers take their own sans-serif font for it.
pub const FONT: &str = "sans-serif";

/// The text size of a picture's title in pixels.
pub const TITLE_SIZE: u32 = 17;

/// The text size of a panel's title in pixels.
pub const PANEL_TITLE_SIZE: u32 = 14;

/// The text size of labels in pixels.
pub const LABEL_SIZE: u32 = 12;

/// The colour of the time while causes last.
pub const SHADE: RGBColor = RGBColor(236, 236, 236);

/// Colours that people with colour blindness can tell apart (Okabe and Ito).
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];

/// The colour of the series with this number.
pub fn colour(index: usize) -> RGBColor {
    COLOURS[index % COLOURS.len()]
}

/// Makes the embedded font known to the library; later calls change nothing.
pub fn register_font() {
    static REGISTERED: Once = Once::new();
    REGISTERED.call_once(|| {
        // The bytes are part of the program; a font that cannot be read would show as a failure to draw.
        let _ = register(FONT, FontStyle::Normal, epaint_default_fonts::HACK_REGULAR);
    });
}

/// A number on an axis, with as many decimals as it needs.
pub fn number(value: f64) -> String {
    let rounded = (value * 100.0).round() / 100.0;
    format!("{rounded}")
}
