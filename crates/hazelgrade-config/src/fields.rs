//! The fields of a document as a map from paths to values. Digest, difference and TOML are derived from it.

use crate::difference::Difference;
use crate::scalar::Scalar;
use crate::version::Digest;
use std::collections::BTreeMap;
use toml::{Table, Value};

/// The fields of a document by path, in the order of their paths.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields(pub BTreeMap<String, Scalar>);

impl Fields {
    /// The value at a path.
    pub fn get(&self, path: &str) -> Option<&Scalar> {
        self.0.get(path)
    }

    /// The number at a path; `None` if there is none or it is of another type.
    pub fn number(&self, path: &str) -> Option<f64> {
        match self.get(path) {
            Some(Scalar::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// The string at a path; `None` if there is none or it is of another type.
    pub fn text(&self, path: &str) -> Option<&str> {
        match self.get(path) {
            Some(Scalar::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// The list of strings at a path; empty if there is none or it is of another type.
    pub fn text_list(&self, path: &str) -> &[String] {
        match self.get(path) {
            Some(Scalar::TextList(texts)) => texts,
            _ => &[],
        }
    }

    /// The truth value at a path; `None` if there is none or it is of another type.
    pub fn boolean(&self, path: &str) -> Option<bool> {
        match self.get(path) {
            Some(Scalar::Bool(value)) => Some(*value),
            _ => None,
        }
    }

    /// The names under a section, like `use_case` or `node`, sorted.
    pub fn names(&self, section: &str) -> Vec<&str> {
        let prefix = format!("{section}/");
        let under = self.0.range(prefix.clone()..).take_while(|(path, _)| path.starts_with(&prefix));
        let mut names: Vec<&str> = under.filter_map(|(path, _)| path.split('/').nth(1)).collect();
        // Paths sort differently from names if one name is a prefix of another.
        names.sort_unstable();
        names.dedup();
        names
    }

    /// The digest of the canonical form.
    pub fn digest(&self) -> Digest {
        Digest::from_parts(self.0.iter().flat_map(|(path, value)| [path.clone(), value.canonical()]))
    }

    /// The difference from `self` to `next`.
    pub fn difference(&self, next: &Fields) -> Difference {
        let set = next.0.iter().filter(|(path, value)| self.get(path) != Some(value));
        let removed = self.0.keys().filter(|path| !next.0.contains_key(*path));
        Difference {
            set: set.map(|(path, value)| (path.clone(), value.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// The fields with a difference applied; `None` if it removes a field that is not there.
    pub fn apply(&self, difference: &Difference) -> Option<Fields> {
        let mut fields = self.clone();
        for path in &difference.removed {
            fields.0.remove(path)?;
        }
        fields.0.extend(difference.set.iter().map(|(path, value)| (path.clone(), value.clone())));
        Some(fields)
    }

    /// A document in TOML that reads as the same fields. Each table follows an empty line.
    pub fn to_toml(&self) -> String {
        let mut document = Table::new();
        for (path, value) in &self.0 {
            insert(&mut document, path, value);
        }
        let text = document.to_string();
        if text.starts_with('[') { format!("\n{text}") } else { text }
    }
}

/// Inserts a value at a path. A path that ends in `/` stands for its table, which may be empty.
fn insert(document: &mut Table, path: &str, value: &Scalar) {
    let (section, name) = path.rsplit_once('/').unwrap_or(("", path));
    let mut table = document;
    for segment in section.split('/').filter(|segment| !segment.is_empty()) {
        let entry = table.entry(segment).or_insert_with(|| Value::Table(Table::new()));
        // No valid document has a value and a table under one path.
        let Value::Table(subtable) = entry else { return };
        table = subtable;
    }
    if !name.is_empty() {
        table.insert(name.to_owned(), value.to_toml());
    }
}
