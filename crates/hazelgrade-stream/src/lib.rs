//! Streamed configuration: a control service distributes versions of a document to nodes. Each node acknowledges or
//! rejects a version, runs an acknowledged version on trial, and then keeps the version or rolls back.
//!
//! | module | contents |
//! | --- | --- |
//! | [`protocol`] | the messages and their encoding on the wire |
//! | [`subscriber`] | the node's side, as a state machine that performs no I/O |
//! | [`trial`] | the decision whether a version passes its trial |
//! | [`stored`] | the state that a node stores |
//! | [`backoff`] | the delays between a node's attempts to connect |
//! | [`client`] | the node's side on a socket |
//! | [`publisher`] | the control service's side, as a state machine that performs no I/O |
//! | [`admission`] | the rate limit for new subscribers of a control service |
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
