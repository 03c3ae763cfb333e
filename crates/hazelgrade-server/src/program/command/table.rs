//! Text in columns.

/// Rows with columns as wide as their longest cell, two spaces between them, each line after `indent`.
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
