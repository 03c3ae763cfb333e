//! Fleet-wide budgets: a total that is divided among the instances of a fleet, and divided again as instances
//! start and stop. At no instant may what all of them can use exceed the total.
//!
//! Nothing here does input or output: callers pass in the time and what arrived, and carry out the returned actions.
//!
//! - [`terms`] reads what a budget is from its document.
//! - [`lessor`] leases a site's units to nodes, takes them back, and recovers after a restart.
//! - [`division`] decides who gets how much.
//! - [`lease_holder`] is a node's side of its leases.
//! - [`token_bucket`] turns a node's share of a rate into single jobs.
//! - [`ownership`] moves units between sites.
//! - [`protocol`] has the messages, and [`stored`] the records that survive a restart.

#![warn(missing_docs)]

pub mod division;
pub mod lease_holder;
pub mod lessor;
pub mod ownership;
pub mod protocol;
pub mod stored;
pub mod terms;
pub mod token_bucket;

/// What budgets are counted in: whole units, so that nothing is lost to rounding. Depending on the budget's measure, a
/// unit is a call in flight, a job per second, or a retry.
pub type Units = u32;

/// By how much two monotonic clocks may differ, as a ratio of the time that passed: five times the worst drift of
/// disciplined clocks (200 parts per million). A lease holder counts its lease as shorter by this ratio, the lessor as
/// longer.
pub const MAX_CLOCK_DRIFT_RATIO: f64 = 0.001;
