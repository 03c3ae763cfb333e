//! What is seen of a simulated fleet.

/// More was in use than the total in effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Milliseconds since the start.
    pub at_ms: f64,
    /// Units beyond the total.
    pub units: u32,
}

/// Counts since the start of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Calls begun.
    pub calls: u64,
    /// Jobs rejected, as the node had no unit left.
    pub rejected: u64,
    /// Units in use over time, in unit-milliseconds.
    pub used_unit_ms: f64,
    /// Units that could have been in use over time, in unit-milliseconds.
    pub usable_unit_ms: f64,
    /// Requests of lease holders.
    pub requests: u64,
    /// Grants of lessors.
    pub grants: u64,
    /// Nudges of lessors.
    pub nudges: u64,
    /// Reports between sites.
    pub site_reports: u64,
    /// Bytes of all messages.
    pub bytes: u64,
    /// Most calls in flight at once.
    pub max_in_flight: u32,
    /// Each call that was begun beyond the total in effect.
    pub excesses: Vec<Excess>,
}
