//! What a simulated fleet is like.

/// Who says how many calls a node may have in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DivisionPolicy {
    /// Lessors do, by leases.
    Leases,
    /// Each node has the same fixed share.
    Static,
    /// Any call is admitted as long as there is room anywhere, known at once.
    Oracle,
}

/// What a fleet is like.
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of nodes, which take turns in belonging to the sites.
    pub nodes: usize,
    /// Number of sites.
    pub sites: usize,
    /// Units that all nodes may use together, divided evenly among the sites.
    pub total: u32,
    /// Units of each site that are never leased.
    pub set_aside: u32,
    /// Units that each node may use without a lease.
    pub unleased: u32,
    /// Length of a lease, in milliseconds.
    pub lease_ms: f64,
    /// How long a call may go on that was begun under a lease, in milliseconds.
    pub max_use_ms: f64,
    /// Mean time of a call, in milliseconds.
    pub call_ms: f64,
    /// Mean time of a message one way, in milliseconds.
    pub latency_ms: f64,
    /// Ratio of messages that are lost.
    pub loss_ratio: f64,
    /// Ratio of messages that arrive twice.
    pub duplication_ratio: f64,
    /// Most by which two clocks differ, as a ratio.
    pub clock_drift: f64,
    /// Who divides the total.
    pub policy: DivisionPolicy,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            seed: 1,
            nodes: 5,
            sites: 1,
            total: 20,
            set_aside: 0,
            unleased: 0,
            lease_ms: 2000.0,
            max_use_ms: 1000.0,
            call_ms: 50.0,
            latency_ms: 1.0,
            loss_ratio: 0.0,
            duplication_ratio: 0.0,
            clock_drift: 0.0002,
            policy: DivisionPolicy::Leases,
        }
    }
}
