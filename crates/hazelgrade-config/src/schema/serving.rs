//! The fields of a serving document.

use super::ValueType::{Address, Bool, Integer, Number, OneOf};
use super::{FieldSpec, at_start, live, required};

/// The longest time, a day in milliseconds: a longer one is likely stated in a wrong unit.
const MAX_TIME_MS: f64 = 86_400_000.0;

/// The values of `log`.
pub const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// The values of `use_case.NAME.repeats`: idempotent, keyed, at most once.
pub const RETRY_MODES: [&str; 3] = ["reissuable", "numbered", "at-most-once"];

/// The fields of a serving document.
pub const SERVING_FIELDS: [FieldSpec; 25] = [
    live("log", OneOf(&LOG_LEVELS)),
    live("addresses/executor", Address),
    live("addresses/registry", Address),
    live("addresses/database", Address),
    live("node/*/executor", Address),
    live("node/*/registry", Address),
    live("node/*/database", Address),
    at_start("limits/sockets", Integer(32.0, 1e6)),
    at_start("limits/memory_mb", Number(1.0, 1e6)),
    live("promises/answer_slack_ms", Number(0.0, MAX_TIME_MS)),
    live("promises/cold_from", Number(0.001, 1.0)),
    live("promises/warm_up_ms", Number(0.0, MAX_TIME_MS)),
    live("promises/drain_grace_ms", Number(0.0, MAX_TIME_MS)),
    live("promises/crowd_per_core", Number(1.0, 1e6)),
    required("use_case/*/goal_ms", Number(0.001, MAX_TIME_MS)),
    required("use_case/*/cut_off_ms", Number(0.001, MAX_TIME_MS)),
    live("use_case/*/goal_per_work", Number(0.0, 1e6)),
    live("use_case/*/earnings", Number(0.0, 1e9)),
    live("use_case/*/late_part", Number(0.0, 1.0)),
    live("use_case/*/repeats", OneOf(&RETRY_MODES)),
    live("use_case/*/window_ms", Number(0.0, MAX_TIME_MS)),
    live("use_case/*/calls", Bool),
    live("use_case/*/part_without_call", Number(0.0, 1.0)),
    live("customer/*/quota_per_s", Number(0.0, 1e9)),
    // The tenant's table itself, which may be empty; the reader adds it for each tenant.
    live("customer/*/", Bool),
];
