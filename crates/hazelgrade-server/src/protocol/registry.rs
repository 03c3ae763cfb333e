//! Wire format of the heartbeats to the registry: datagrams of three words.

/// Encodes the heartbeat of the instance `name`. The registry lists an instance that is not ready as draining.
pub fn encode(name: &str, ready: bool) -> String {
    format!("BEAT {name} {}", if ready { "ready" } else { "draining" })
}
