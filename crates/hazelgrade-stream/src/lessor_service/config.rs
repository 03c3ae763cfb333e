//! How a lessor is set up.

use std::net::SocketAddr;

/// How a lessor is set up.
#[derive(Clone, Debug)]
pub struct LessorConfig {
    /// The site whose budgets it leases out.
    pub site: String,
    /// The other sites and the addresses of their control services.
    pub peers: Vec<(String, SocketAddr)>,
    /// For tests: its store kills the process at this change, from 0.
    pub dies_at: Option<u64>,
}
