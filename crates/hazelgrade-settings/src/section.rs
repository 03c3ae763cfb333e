//! Typed access to the fields of one object of the settings.

use crate::error::SettingsError;
use serde_json::Value;

/// An object of the settings. If it is missing, all of its fields are.
#[derive(Clone, Copy)]
pub struct Section<'a> {
    value: Option<&'a Value>,
    /// Its key in the settings, for errors; empty for the settings object itself.
    path: &'a str,
}

impl<'a> Section<'a> {
    /// The settings object itself.
    pub fn root(settings: &'a Value) -> Section<'a> {
        Section { value: Some(settings), path: "" }
    }

    /// The object under a key of the settings.
    pub fn of(settings: &'a Value, key: &'a str) -> Section<'a> {
        Section { value: settings.get(key), path: key }
    }

    /// An object that is an element of the list under a key of the settings.
    pub fn element(element: &'a Value, key: &'a str) -> Section<'a> {
        Section { value: Some(element), path: key }
    }

    /// The value under a key; `None` for null too.
    fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.and_then(|value| value.get(key)).filter(|value| !value.is_null())
    }

    fn error(&self, key: &str, expected: &str) -> SettingsError {
        SettingsError::new(format!("settings.{}.{key}", self.path), expected)
    }

    /// A finite number from 0 up; `default` if it is missing.
    pub fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let Some(value) = self.get(key) else { return Ok(default) };
        let number = value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        number.ok_or_else(|| self.error(key, "a number from 0 up"))
    }

    /// A string; `default` if it is missing.
    pub fn text(&self, key: &str, default: &'a str) -> Result<&'a str, SettingsError> {
        let Some(value) = self.get(key) else { return Ok(default) };
        value.as_str().ok_or_else(|| self.error(key, "a word"))
    }

    /// True or false; false if it is missing.
    pub fn boolean(&self, key: &str) -> Result<bool, SettingsError> {
        let Some(value) = self.get(key) else { return Ok(false) };
        value.as_bool().ok_or_else(|| self.error(key, "true or false"))
    }

    /// A list of anything; empty if it is missing or not a list.
    pub fn list_or_empty(&self, key: &str) -> &'a [Value] {
        self.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }

    /// A list of anything; empty if it is missing. The error names the key without the path of this section.
    pub fn list(&self, key: &str) -> Result<&'a [Value], SettingsError> {
        match self.get(key) {
            None => Ok(&[]),
            Some(Value::Array(list)) => Ok(list),
            Some(_) => Err(SettingsError::new(format!("settings.{key}"), "a list")),
        }
    }
}
