//! From text to fields, with where each one stands. All that is wrong is found in one go.

use crate::fault::Fault;
use crate::fields::Scalar;
use std::collections::BTreeMap;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A plain value or a list of plain values, and where it starts.
#[derive(Clone, Debug)]
pub enum Found {
    One(Scalar),
    Many(Vec<Scalar>),
    /// A table with nothing in it.
    Nothing,
}

/// What a text holds, by path.
pub struct Reading {
    pub found: BTreeMap<String, (Found, usize)>,
    file: String,
    /// Where each line begins.
    lines: Vec<usize>,
    pub faults: Vec<Fault>,
}

impl Reading {
    pub fn of(text: &str, file: &str) -> Reading {
        let begins = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1);
        let lines = std::iter::once(0).chain(begins).collect();
        let mut reading = Reading { found: BTreeMap::new(), file: file.into(), lines, faults: Vec::new() };
        match DeTable::parse(text) {
            Ok(table) => reading.table("", table.get_ref()),
            Err(error) => {
                let at = error.span().map_or(0, |span| span.start);
                reading.fault(at, "", error.message().trim().replace('\n', ", "));
            }
        }
        reading
    }

    /// Notes a fault at a byte of the text.
    pub fn fault(&mut self, at: usize, path: &str, message: impl Into<String>) {
        let line = self.lines.partition_point(|begin| *begin <= at);
        let column = at - self.lines.get(line.saturating_sub(1)).copied().unwrap_or(0) + 1;
        let field = crate::fields::shown(path);
        self.faults.push(Fault { file: self.file.clone(), line, column, field, message: message.into() });
    }

    fn table(&mut self, above: &str, table: &DeTable) {
        for (key, value) in table {
            let (name, at) = (key.get_ref(), key.span().start);
            let path = if above.is_empty() { name.to_string() } else { format!("{above}/{name}") };
            if name.is_empty() || name.contains('/') {
                self.fault(at, above, format!("expected a name without '/', not {name:?}"));
                continue;
            }
            match value.get_ref() {
                DeValue::Table(inner) if inner.is_empty() => {
                    self.found.insert(path + "/", (Found::Nothing, at));
                }
                DeValue::Table(inner) => self.table(&path, inner),
                DeValue::Array(list) => {
                    let values: Option<Vec<Scalar>> = list.iter().map(scalar).collect();
                    match values {
                        Some(values) => {
                            self.found.insert(path, (Found::Many(values), at));
                        }
                        None => self.fault(at, &path, "expected plain values in the list"),
                    }
                }
                _ => match scalar(value) {
                    Some(value) => {
                        self.found.insert(path, (Found::One(value), at));
                    }
                    None => self.fault(at, &path, "expected a word, a number, or true or false"),
                },
            }
        }
    }
}

fn scalar(value: &Spanned<DeValue>) -> Option<Scalar> {
    match value.get_ref() {
        DeValue::String(word) => Some(Scalar::Word(word.to_string())),
        DeValue::Boolean(truth) => Some(Scalar::Truth(*truth)),
        DeValue::Integer(number) => i64::from_str_radix(number.as_str(), number.radix())
            .ok()
            .map(|number| Scalar::Number(number as f64)),
        DeValue::Float(number) => {
            number.as_str().parse::<f64>().ok().filter(|number| number.is_finite()).map(Scalar::Number)
        }
        _ => None,
    }
}
