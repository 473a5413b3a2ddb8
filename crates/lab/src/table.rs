//! Renders tables for terminals, and the numbers in them.

use tabled::builder::Builder;
use tabled::settings::object::Columns;
use tabled::settings::{Alignment, Style};

/// A table with one line of headings; all columns but the first are aligned to the right.
#[derive(Clone, Debug, Default)]
pub struct Table {
    headings: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub fn new(headings: &[&str]) -> Self {
        Table { headings: headings.iter().map(|heading| (*heading).to_owned()).collect(), rows: Vec::new() }
    }

    /// Adds a row; it has as many cells as there are headings.
    pub fn push(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table for a terminal.
    pub fn to_text(&self) -> String {
        let mut table = self.builder().build();
        table.with(Style::sharp()).modify(Columns::new(1..), Alignment::right());
        table.to_string()
    }

    /// The table as Markdown.
    pub fn to_markdown(&self) -> String {
        let mut table = self.builder().build();
        table.with(Style::markdown());
        table.to_string()
    }

    fn builder(&self) -> Builder {
        let mut builder = Builder::default();
        builder.push_record(self.headings.clone());
        for row in &self.rows {
            builder.push_record(row.clone());
        }
        builder
    }
}

/// A number without decimals.
pub fn whole(value: f64) -> String {
    format!("{value:.0}")
}

/// A share as percent.
pub fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// Milliseconds, in seconds from one second on.
pub fn time(milliseconds: f64) -> String {
    // Rounded first, so that a little less than a second is not called 1000 ms.
    if milliseconds.round() >= 1_000.0 {
        return format!("{:.1} s", milliseconds / 1_000.0);
    }
    format!("{milliseconds:.0} ms")
}

/// A time that may never have been reached.
pub fn time_or_never(milliseconds: Option<f64>) -> String {
    milliseconds.map_or_else(|| "never".to_owned(), time)
}
