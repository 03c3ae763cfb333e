//! The value of one field, and its forms in JSON and in a digest.

use serde_json::{Value, json};

/// Below this, every whole number is exact as a float and as an integer.
const MAX_EXACT_INTEGER: f64 = 1e15;

/// The value of one field of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum Scalar {
    /// True or false.
    Bool(bool),
    /// A finite number, whole or not.
    Number(f64),
    /// A string.
    Text(String),
    /// A list of strings, in its order.
    TextList(Vec<String>),
}

impl Scalar {
    /// A whole number is written without a fraction.
    pub(crate) fn to_toml(&self) -> toml::Value {
        match self {
            Scalar::Bool(value) => toml::Value::Boolean(*value),
            Scalar::Number(number) if number.fract() == 0.0 && number.abs() < MAX_EXACT_INTEGER => {
                toml::Value::Integer(*number as i64)
            }
            Scalar::Number(number) => toml::Value::Float(*number),
            Scalar::Text(text) => toml::Value::String(text.clone()),
            Scalar::TextList(texts) => {
                texts.iter().cloned().map(toml::Value::String).collect::<Vec<_>>().into()
            }
        }
    }

    pub(crate) fn to_json(&self) -> Value {
        match self {
            Scalar::Bool(value) => json!(value),
            Scalar::Number(number) => json!(number),
            Scalar::Text(text) => json!(text),
            Scalar::TextList(texts) => json!(texts),
        }
    }

    /// `None` for JSON that can't be the value of a field: null, an object, a list of anything but strings.
    pub(crate) fn from_json(value: &Value) -> Option<Scalar> {
        match value {
            Value::Bool(value) => Some(Scalar::Bool(*value)),
            Value::Number(number) => number.as_f64().map(Scalar::Number),
            Value::String(text) => Some(Scalar::Text(text.clone())),
            Value::Array(list) => {
                let texts: Option<Vec<String>> =
                    list.iter().map(|text| text.as_str().map(str::to_owned)).collect();
                texts.map(Scalar::TextList)
            }
            _ => None,
        }
    }

    /// The form that is hashed into digests. Equal values have equal forms: 60 and 60.0 are the same.
    pub(crate) fn canonical(&self) -> String {
        match self {
            Scalar::Bool(value) => format!("t{value}"),
            Scalar::Number(number) => format!("n{}", if *number == 0.0 { 0.0 } else { *number }),
            Scalar::Text(text) => format!("w{text}"),
            // JSON, so that no two lists have the same form.
            Scalar::TextList(texts) => format!("l{}", json!(texts)),
        }
    }
}
