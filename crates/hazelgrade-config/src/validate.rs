//! Checks of the fields of a document: each by itself, and those that depend on each other.
//!
//! The rules for each kind of document are in the submodules.

mod budgets;
mod identity;
mod serving;

use crate::fields::Fields;
use crate::schema::Kind;

/// A field that breaks a rule.
pub struct Violation {
    /// Path of the field with `/` between its segments.
    pub path: String,
    /// What was expected.
    pub message: String,
}

/// All violations in the fields of a document; empty if it is valid.
pub fn validate(kind: Kind, fields: &Fields) -> Vec<Violation> {
    let mut validator = Validator { fields, violations: Vec::new() };
    validator.check_each_field(kind);
    match kind {
        Kind::Serving => validator.check_serving(),
        Kind::Identity => validator.check_identity(),
        Kind::Budgets => validator.check_budgets(),
    }
    validator.violations
}

struct Validator<'a> {
    fields: &'a Fields,
    violations: Vec<Violation>,
}

impl Validator<'_> {
    fn violation(&mut self, path: &str, message: impl Into<String>) {
        self.violations.push(Violation { path: path.to_owned(), message: message.into() });
    }

    fn require(&mut self, path: &str) {
        if self.fields.get(path).is_none() {
            self.violation(path, "is missing");
        }
    }

    /// Checks that the schema has each field and that its value fits.
    fn check_each_field(&mut self, kind: Kind) {
        for (path, value) in &self.fields.0 {
            match kind.field(path) {
                None => self.violation(path, "there is no such field"),
                Some(field) => {
                    if let Some(expected) = field.value_type.mismatch(value) {
                        self.violation(path, expected);
                    }
                }
            }
        }
    }
}
