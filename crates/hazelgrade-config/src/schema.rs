//! The schema of documents: the kinds of document, and the type, range and time of effect of each field.
//!
//! The tables of fields are in the submodules, one for each kind.

mod budgets;
mod identity;
mod serving;

pub use budgets::{BUDGET_FIELDS, MEASURES};
pub use identity::{IDENTITY_FIELDS, SIGNATURE_ALGORITHMS};
pub use serving::{LOG_LEVELS, RETRY_MODES, SERVING_FIELDS};

use crate::scalar::Scalar;
use std::net::SocketAddr;

/// The longest name of a job class, tenant, node, key, caller or budget, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The section of what concerns one node.
const NODE_SECTION: &str = "node/";

/// The longest string in a list of strings, in bytes.
const MAX_LIST_ITEM_BYTES: usize = 256;

/// When a changed field takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applies {
    /// Between two rounds of the controller, while jobs are in flight.
    Live,
    /// At the next start of the program; until then it is staged.
    AtStart,
}

/// The type and range of a field's value.
#[derive(Clone, Copy, Debug)]
pub enum ValueType {
    /// True or false.
    Bool,
    /// A number from the first to the second value, both included.
    Number(f64, f64),
    /// A whole number from the first to the second value, both included.
    Integer(f64, f64),
    /// One of these strings.
    OneOf(&'static [&'static str]),
    /// A string without spaces, at most this many bytes long.
    Text(usize),
    /// A list of at most this many strings without spaces.
    TextList(usize),
    /// IP address and port.
    Address,
}

impl ValueType {
    /// What was expected, if the value is of another type or out of range; otherwise `None`.
    pub fn mismatch(&self, value: &Scalar) -> Option<String> {
        let matches = match (self, value) {
            (ValueType::Bool, Scalar::Bool(_)) => true,
            (ValueType::Number(min, max), Scalar::Number(number)) => (*min..=*max).contains(number),
            (ValueType::Integer(min, max), Scalar::Number(number)) => {
                (*min..=*max).contains(number) && number.fract() == 0.0
            }
            (ValueType::OneOf(choices), Scalar::Text(text)) => choices.contains(&text.as_str()),
            (ValueType::Text(max_bytes), Scalar::Text(text)) => is_text(text, *max_bytes),
            (ValueType::TextList(max_items), Scalar::TextList(texts)) => {
                texts.len() <= *max_items && texts.iter().all(|text| is_text(text, MAX_LIST_ITEM_BYTES))
            }
            (ValueType::Address, Scalar::Text(text)) => text.parse::<SocketAddr>().is_ok(),
            _ => false,
        };
        (!matches).then(|| self.expectation())
    }

    fn expectation(&self) -> String {
        match self {
            ValueType::Bool => "expected true or false".into(),
            ValueType::Number(min, max) => format!("expected a number from {min} to {max}"),
            ValueType::Integer(min, max) => format!("expected a whole number from {min} to {max}"),
            ValueType::OneOf(choices) => format!("expected one of {}", choices.join(", ")),
            ValueType::Text(max_bytes) => {
                format!("expected a word without spaces of {max_bytes} characters at most")
            }
            ValueType::TextList(max_items) => {
                format!("expected a list of {max_items} words at most, without spaces")
            }
            ValueType::Address => "expected an address like 127.0.0.1:9090".into(),
        }
    }
}

fn is_text(text: &str, max_bytes: usize) -> bool {
    (1..=max_bytes).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// One field of the schema.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    /// Path with `/` between its segments; `*` stands for any name.
    pub path: &'static str,
    /// Type and range of its value.
    pub value_type: ValueType,
    /// When a change of it takes effect.
    pub applies: Applies,
    /// Whether each section that may have it must have it.
    pub required: bool,
}

/// An optional field that takes effect while serving.
const fn live(path: &'static str, value_type: ValueType) -> FieldSpec {
    FieldSpec { path, value_type, applies: Applies::Live, required: false }
}

/// An optional field that takes effect at a start.
const fn at_start(path: &'static str, value_type: ValueType) -> FieldSpec {
    FieldSpec { path, value_type, applies: Applies::AtStart, required: false }
}

/// A required field that takes effect while serving.
const fn required(path: &'static str, value_type: ValueType) -> FieldSpec {
    FieldSpec { path, value_type, applies: Applies::Live, required: true }
}

/// The kind of a document. Each kind is versioned, run on trial and stored by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Job classes, tenants, service limits, resource limits, addresses.
    #[default]
    Serving,
    /// Signing keys, callers, their rights.
    Identity,
    /// Limits that hold for all nodes together.
    Budgets,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Serving, Kind::Identity, Kind::Budgets];

    /// Its name in messages and stored data.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Serving => "serving",
            Kind::Identity => "identity",
            Kind::Budgets => "budgets",
        }
    }

    /// The kind of this name; `None` if there is no such kind.
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// The fields that a document of this kind may have.
    pub fn fields(self) -> &'static [FieldSpec] {
        match self {
            Kind::Serving => &SERVING_FIELDS,
            Kind::Identity => &IDENTITY_FIELDS,
            Kind::Budgets => &BUDGET_FIELDS,
        }
    }

    /// The field that a path names; `None` if documents of this kind have no such field.
    pub fn field(self, path: &str) -> Option<&'static FieldSpec> {
        self.fields().iter().find(|field| path_matches(path, field.path))
    }

    /// Whether a document of this kind may have an empty table at `path`, which ends in `/`.
    pub(crate) fn has_table(self, path: &str) -> bool {
        let is_of_node = path.strip_prefix(NODE_SECTION).is_some_and(|rest| rest.len() > 1);
        self.fields()
            .iter()
            .any(|field| field.path.starts_with(path) || (is_of_node && field.path.starts_with(NODE_SECTION)))
    }
}

/// Whether a string can name a job class, tenant, node, key, caller or budget: printable ASCII without spaces and `/`,
/// [`MAX_NAME_BYTES`] at most.
pub fn is_name(name: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(fits)
}

fn path_matches(path: &str, pattern: &str) -> bool {
    let mut segments = path.split('/');
    let mut patterns = pattern.split('/');
    loop {
        match (segments.next(), patterns.next()) {
            (None, None) => return true,
            (Some(segment), Some("*")) if is_name(segment) => {}
            (Some(segment), Some(pattern)) if segment == pattern => {}
            _ => return false,
        }
    }
}

/// A path as messages show it, with dots between its segments.
pub fn display_path(path: &str) -> String {
    path.trim_end_matches('/').replace('/', ".")
}
