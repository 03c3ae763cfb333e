//! Formats tables as plain text.

/// Formats rows as lines of text. Each column is as wide as its longest cell, columns are separated by two spaces, and
/// each line starts with `indent`.
pub fn format<const COLUMNS: usize>(rows: &[[String; COLUMNS]], indent: &str) -> String {
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..COLUMNS).map(width).collect();
    let line = |row: &[String; COLUMNS]| {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        format!("{indent}{}\n", cells.join("  ").trim_end())
    };
    rows.iter().map(line).collect()
}
