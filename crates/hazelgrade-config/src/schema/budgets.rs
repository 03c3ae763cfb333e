//! The fields of a document of budgets. All of them take effect while serving.

use super::ValueType::{Integer, Number, OneOf, Text};
use super::{FieldSpec, MAX_NAME_BYTES, live, required};

/// The values of `budget.NAME.measure`: calls in flight, jobs per second, retries as a ratio of first attempts.
pub const MEASURES: [&str; 3] = ["in-hand", "rate", "tries"];

/// The fields of a document of budgets.
pub const BUDGET_FIELDS: [FieldSpec; 10] = [
    required("budget/*/measure", OneOf(&MEASURES)),
    required("budget/*/whole", Integer(1.0, 1e6)),
    live("budget/*/site/*", Integer(0.0, 1e6)),
    live("budget/*/set_aside", Integer(0.0, 1e6)),
    live("budget/*/floor", Integer(0.0, 1e6)),
    live("budget/*/burst", Integer(1.0, 1e6)),
    live("budget/*/part", Number(0.001, 10.0)),
    // With shorter leases most messages would be renewals.
    live("budget/*/lease_ms", Number(200.0, 10_000.0)),
    live("budget/*/longest_use_ms", Number(10.0, 60_000.0)),
    live("budget/*/customer", Text(MAX_NAME_BYTES)),
];
