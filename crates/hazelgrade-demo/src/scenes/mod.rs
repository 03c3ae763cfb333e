pub mod budgets;
pub mod streaming;
