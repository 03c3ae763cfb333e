//! Tables in Markdown, and figures in them.

use comfy_table::{Table, presets::ASCII_MARKDOWN};

/// A table with this header.
pub fn table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(header);
    table
}

/// Median, lowest and highest of some figures, with so many digits after the point.
pub fn spread(mut figures: Vec<f64>, digits: usize) -> String {
    figures.sort_by(f64::total_cmp);
    match (figures.first(), figures.get(figures.len() / 2), figures.last()) {
        (Some(lowest), Some(median), Some(highest)) => {
            format!("{median:.digits$} ({lowest:.digits$} to {highest:.digits$})")
        }
        _ => "-".into(),
    }
}
