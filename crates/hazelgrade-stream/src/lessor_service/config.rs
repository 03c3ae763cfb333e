//! The configuration of a lessor.

use std::net::SocketAddr;

/// The configuration of a lessor.
#[derive(Clone, Debug)]
pub struct LessorConfig {
    /// The name of the site whose part of the budgets the lessor leases out.
    pub site: String,
    /// The names of the other sites and the addresses of their control services.
    pub peers: Vec<(String, SocketAddr)>,
    /// For tests of crashes: the process kills itself at this change of the lessor's store, counted from 0.
    pub kill_at: Option<u64>,
}
