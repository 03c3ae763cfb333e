//! Reports to the registry: datagrams of three words.

pub fn encode(name: &str, ready: bool) -> String {
    format!("BEAT {name} {}", if ready { "ready" } else { "draining" })
}
