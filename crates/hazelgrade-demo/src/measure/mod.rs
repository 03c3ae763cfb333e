//! Measurements, printed as tables.

pub mod budgets;
pub mod fault_injection;
pub mod identity;
mod report;
pub mod streaming;
