//! Fleet-wide budgets: a total that is divided among the instances of a fleet, and divided again as instances start
//! and stop. At no instant may the units that all instances together can use exceed the total.
//!
//! This crate performs no input or output: callers pass in the time and received messages, and perform the returned
//! actions.
//!
//! - [`terms`] reads the terms of budgets from their document.
//! - [`lessor`] leases a site's units to nodes, takes units back, and recovers after a restart.
//! - [`division`] divides units among lease holders.
//! - [`lease_holder`] requests and tracks a node's leases.
//! - [`token_bucket`] admits single jobs according to a node's share of a rate.
//! - [`ownership`] moves units between sites.
//! - [`protocol`] defines the messages, and [`stored`] the records that survive a restart.

#![warn(missing_docs)]

pub mod division;
pub mod lease_holder;
pub mod lessor;
pub mod ownership;
pub mod protocol;
pub mod stored;
pub mod terms;
pub mod token_bucket;

/// Quantity of a budget, in whole units so that none is lost to rounding. Depending on the budget's measure, a unit
/// is a call in flight, a job per second, or a retry.
pub type Units = u32;

/// Limit of the difference between two monotonic clocks, as a ratio of the elapsed time: five times the worst drift
/// of disciplined clocks (200 parts per million). A lease holder shortens its lease by this ratio, and the lessor
/// lengthens it by the same ratio.
pub const MAX_CLOCK_DRIFT_RATIO: f64 = 0.001;
