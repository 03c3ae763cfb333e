//! The configuration of a lessor.

use std::net::SocketAddr;

/// The configuration of a lessor.
#[derive(Clone, Debug)]
pub struct LessorConfig {
    /// The site whose budgets it leases out.
    pub site: String,
    /// The other sites and the addresses of their control services.
    pub peers: Vec<(String, SocketAddr)>,
    /// For tests: the process kills itself at this change of its store, counted from 0.
    pub kill_at: Option<u64>,
}
