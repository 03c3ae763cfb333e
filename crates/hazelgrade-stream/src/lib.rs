//! Streamed configuration: versions of a document go from a control service to nodes; each node acknowledges or
//! rejects a version, runs it on trial, and keeps it or rolls back.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`protocol`] | the messages, and how they are written |
//! | [`subscriber`] | a node's side, as a state machine without input or output |
//! | [`trial`] | whether a version on trial does well |
//! | [`stored`] | what a node stores |
//! | [`backoff`] | when a node connects again |
//! | [`client`] | a node's side on a socket |
//! | [`publisher`] | the control service's side, as a state machine without input or output |
//! | [`admission`] | how many subscribers a control service admits |
//! | [`control_service`] | the control service's side on sockets |
//! | [`lessor_service`] | the lessor of a site's budgets on the control service's sockets |

#![warn(missing_docs)]

pub mod admission;
pub mod backoff;
pub mod client;
pub mod control_service;
pub mod lessor_service;
mod line_reader;
pub mod protocol;
pub mod publisher;
pub mod stored;
pub mod subscriber;
pub mod trial;
