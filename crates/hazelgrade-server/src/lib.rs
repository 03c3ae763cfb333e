//! The service instance, which carries out the controller's decisions on real sockets. See `docs/architecture.md`.

#![warn(missing_docs)]

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
