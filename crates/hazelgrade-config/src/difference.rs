//! The difference of two versions of a document, and its form in JSON.

use crate::scalar::Scalar;
use crate::schema::{Applies, Kind, display_path};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// The changes that turn one version of a document into another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Difference {
    /// Fields that are new or have another value, by path.
    pub set: BTreeMap<String, Scalar>,
    /// Paths of fields that are removed.
    pub removed: Vec<String>,
}

/// Why JSON can't be read as a [`Difference`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DifferenceError {
    /// `set` is missing or not an object.
    #[error("field set: expected an object")]
    SetNotAnObject,
    /// `gone` is missing or not a list.
    #[error("field gone: expected a list")]
    RemovedNotAList,
    /// A field in `set` has a value that no field can have.
    #[error("field set.{field}: expected a plain value")]
    InvalidValue {
        /// The path of that field, with dots.
        field: String,
    },
    /// `gone` has an element that is not a string.
    #[error("field gone: expected a list of paths")]
    InvalidPath,
}

impl Difference {
    /// The number of fields that it changes.
    pub fn count(&self) -> usize {
        self.set.len() + self.removed.len()
    }

    /// The fields of a serving document that it changes and that take effect only at a start, as messages show them.
    pub fn staged(&self) -> Vec<String> {
        let changed = self.set.keys().chain(&self.removed);
        let at_start = changed
            .filter(|path| Kind::Serving.field(path).is_some_and(|field| field.applies == Applies::AtStart));
        at_start.map(|path| display_path(path)).collect()
    }

    /// The form that control services send.
    pub fn to_json(&self) -> Value {
        let set: Map<String, Value> =
            self.set.iter().map(|(path, value)| (path.clone(), value.to_json())).collect();
        json!({"set": set, "gone": self.removed})
    }

    /// Reads the form of [`Difference::to_json`].
    ///
    /// # Errors
    /// The first [`DifferenceError`]. Paths and ranges are checked later, when a document is made.
    pub fn from_json(value: &Value) -> Result<Difference, DifferenceError> {
        let set = value.get("set").and_then(Value::as_object).ok_or(DifferenceError::SetNotAnObject)?;
        let removed = value.get("gone").and_then(Value::as_array).ok_or(DifferenceError::RemovedNotAList)?;
        let mut difference = Difference::default();
        for (path, value) in set {
            let value = Scalar::from_json(value)
                .ok_or_else(|| DifferenceError::InvalidValue { field: display_path(path) })?;
            difference.set.insert(path.clone(), value);
        }
        for path in removed {
            let path = path.as_str().ok_or(DifferenceError::InvalidPath)?;
            difference.removed.push(path.to_owned());
        }
        Ok(difference)
    }
}
