//! The program that runs the service instance: command line, configuration, start, signals, reload, shutdown and log.

pub mod command;

mod budgets;
mod configuration;
mod documents;
mod drain;
mod files;
mod identity;
mod logging;
mod reload;
mod serve;
mod serving_document;
mod store;
mod subscription;
mod tls;
