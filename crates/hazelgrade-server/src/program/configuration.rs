//! What a service instance is told when it starts.

use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Descriptors kept back for all that is not a client: log, links, registry, signals, the event queue.
const DESCRIPTORS_KEPT: usize = 24;

#[derive(Debug)]
pub struct Deployment {
    pub name: String,
    pub listen: SocketAddr,
    pub executor: SocketAddr,
    pub registry: SocketAddr,
    /// None for the last tier.
    pub database: Option<SocketAddr>,
    pub seed: u64,
    pub stop: Duration,
    /// Client connections that may be open at once.
    pub connections: usize,
    pub settings: Value,
}

/// Reads the file; what is wrong with it is told in one line that names the field.
pub fn read(path: &Path) -> Result<Deployment, String> {
    let text = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let value = serde_json::from_slice(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    decode(value).map_err(|message| format!("{}: {message}", path.display()))
}

pub fn decode(mut value: Value) -> Result<Deployment, String> {
    if !value.is_object() {
        return Err("expected a JSON object".into());
    }
    let wrong = |field: &str, expected: &str| format!("field {field}: expected {expected}");
    let address = |field: &str| {
        let text = value.get(field).and_then(Value::as_str);
        text.and_then(|text| text.parse().ok()).ok_or_else(|| wrong(field, "an address like 127.0.0.1:9090"))
    };
    let name =
        value.get("name").and_then(Value::as_str).filter(|name| !name.is_empty() && !name.contains(' '));
    let name = name.ok_or_else(|| wrong("name", "a word"))?.to_owned();
    let database = match value.get("db") {
        None | Some(Value::Null) => None,
        Some(_) => Some(address("db")?),
    };
    let seed = match value.get("seed") {
        Some(Value::String(hex)) => u64::from_str_radix(hex, 16).ok(),
        Some(number) => number.as_u64(),
        None => None,
    };
    let stop = value.get("stop_ms").and_then(Value::as_f64).filter(|ms| (0.0..1e9).contains(ms));
    let sockets = match value.get("limits").and_then(|limits| limits.get("sockets")) {
        None | Some(Value::Null) => 1024,
        Some(sockets) => sockets.as_u64().filter(|sockets| *sockets >= 32).unwrap_or_default() as usize,
    };
    if sockets == 0 {
        return Err(wrong("limits.sockets", "a whole number from 32 up"));
    }
    let (listen, executor, registry) = (address("listen")?, address("executor")?, address("registry")?);
    Ok(Deployment {
        name,
        listen,
        executor,
        registry,
        database,
        seed: seed.ok_or_else(|| wrong("seed", "16 hex digits"))?,
        stop: Duration::from_secs_f64(stop.ok_or_else(|| wrong("stop_ms", "milliseconds"))? / 1000.0),
        connections: sockets - DESCRIPTORS_KEPT,
        settings: value.get_mut("settings").map(Value::take).ok_or_else(|| wrong("settings", "an object"))?,
    })
}
