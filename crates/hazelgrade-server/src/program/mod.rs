//! The program round the service instance: its command line, configuration, signals, reload, drain and log.

pub mod budgets;
pub mod command;
pub mod configuration;
pub mod documents;
pub mod drain;
pub mod identity;
pub mod logging;
pub mod reload;
pub mod serve;
pub mod streaming;
pub mod tls;
