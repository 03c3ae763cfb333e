//! Heartbeats to the registry: datagrams of three words.

/// The heartbeat of the instance `name`; one that is not ready is listed as draining.
pub fn encode(name: &str, ready: bool) -> String {
    format!("BEAT {name} {}", if ready { "ready" } else { "draining" })
}
