//! The service instance: the module's decisions on real sockets. See `docs/architecture.md`.

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
