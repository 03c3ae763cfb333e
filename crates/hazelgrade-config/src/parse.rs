//! Parses TOML into values by path, with the position of each. All errors of a text are found in one pass.

use crate::error::ConfigError;
use crate::scalar::Scalar;
use crate::schema::display_path;
use std::collections::BTreeMap;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The value at a path.
#[derive(Clone, Debug)]
pub enum ParsedValue {
    /// One value.
    One(Scalar),
    /// A list of values.
    List(Vec<Scalar>),
    /// A table with nothing in it; its path ends in `/`.
    EmptyTable,
}

/// A parsed value and where its key starts.
#[derive(Clone, Debug)]
pub struct Located {
    pub value: ParsedValue,
    /// Offset of the key from the start of the text, in bytes.
    pub offset: usize,
}

/// A parsed text: its values, and the errors found so far.
pub struct ParsedText {
    /// Values by path, with `/` between the segments.
    pub values: BTreeMap<String, Located>,
    pub errors: Vec<ConfigError>,
    file: String,
    /// Offset of the start of each line, in bytes.
    line_starts: Vec<usize>,
}

impl ParsedText {
    /// Parses a text; `file` is how errors name it. Text that is not TOML results in no values and one error.
    pub fn parse(text: &str, file: &str) -> ParsedText {
        let later_lines =
            text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(later_lines).collect();
        let mut parsed =
            ParsedText { values: BTreeMap::new(), errors: Vec::new(), file: file.into(), line_starts };
        match DeTable::parse(text) {
            Ok(table) => parsed.add_table("", table.get_ref()),
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                parsed.add_error(offset, "", error.message().trim().replace('\n', ", "));
            }
        }
        parsed
    }

    /// Adds an error at an offset of the text, in bytes.
    pub fn add_error(&mut self, offset: usize, path: &str, message: impl Into<String>) {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let column = offset - self.line_starts.get(line.saturating_sub(1)).copied().unwrap_or(0) + 1;
        let field = display_path(path);
        self.errors.push(ConfigError {
            file: self.file.clone(),
            line,
            column,
            field,
            message: message.into(),
        });
    }

    fn add_value(&mut self, path: String, offset: usize, value: ParsedValue) {
        self.values.insert(path, Located { value, offset });
    }

    fn add_table(&mut self, parent: &str, table: &DeTable) {
        for (key, value) in table {
            let name = key.get_ref();
            let offset = key.span().start;
            if name.is_empty() || name.contains('/') {
                self.add_error(offset, parent, format!("expected a name without '/', not {name:?}"));
                continue;
            }
            let path = if parent.is_empty() { name.to_string() } else { format!("{parent}/{name}") };
            self.add_entry(path, offset, value);
        }
    }

    fn add_entry(&mut self, path: String, offset: usize, value: &Spanned<DeValue>) {
        match value.get_ref() {
            DeValue::Table(table) if table.is_empty() => {
                self.add_value(path + "/", offset, ParsedValue::EmptyTable);
            }
            DeValue::Table(table) => self.add_table(&path, table),
            DeValue::Array(list) => match list.iter().map(scalar).collect() {
                Some(values) => self.add_value(path, offset, ParsedValue::List(values)),
                None => self.add_error(offset, &path, "expected plain values in the list"),
            },
            _ => match scalar(value) {
                Some(value) => self.add_value(path, offset, ParsedValue::One(value)),
                None => self.add_error(offset, &path, "expected a word, a number, or true or false"),
            },
        }
    }
}

/// A single value; `None` for dates, tables, lists, numbers that are not finite, and integers beyond 64 bits.
fn scalar(value: &Spanned<DeValue>) -> Option<Scalar> {
    match value.get_ref() {
        DeValue::String(text) => Some(Scalar::Text(text.to_string())),
        DeValue::Boolean(value) => Some(Scalar::Bool(*value)),
        DeValue::Integer(number) => i64::from_str_radix(number.as_str(), number.radix())
            .ok()
            .map(|number| Scalar::Number(number as f64)),
        DeValue::Float(number) => {
            number.as_str().parse::<f64>().ok().filter(|number| number.is_finite()).map(Scalar::Number)
        }
        _ => None,
    }
}
