//! What a service instance is told when it starts.

use crate::transport::database;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Descriptors kept back for all that is not a client: log, links, registry, signals, the event queue, a file that
/// is read again, one connection that was just accepted; and the connections below.
const DESCRIPTORS_KEPT: usize = 16;
/// Of the memory, kept results take this part at most; the rest is for jobs in hand and connections.
const RESULTS_PART: f64 = 0.125;

/// Where the others are: what a reload takes in.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub executor: SocketAddr,
    pub registry: SocketAddr,
    /// None for the last tier.
    pub database: Option<SocketAddr>,
}

#[derive(Debug)]
pub struct Deployment {
    pub name: String,
    pub listen: SocketAddr,
    pub addresses: Addresses,
    pub seed: u64,
    pub stop: Duration,
    /// Descriptors that the process may hold, and its memory in MB.
    pub sockets: usize,
    pub memory_mb: f64,
    pub settings: Value,
    pub fixed: Fixed,
}

/// The fields that only a start takes in, as they were then.
#[derive(Clone, Debug)]
pub struct Fixed(Vec<(&'static str, Option<Value>)>);

impl Fixed {
    const FIELDS: [&str; 6] = ["name", "listen", "seed", "stop_ms", "limits", "settings"];

    fn of(value: &Value) -> Fixed {
        Fixed(Self::FIELDS.iter().map(|field| (*field, value.get(field).cloned())).collect())
    }

    /// The fields that are not the same in this configuration.
    pub fn differing(&self, value: &Value) -> Vec<&'static str> {
        let differ = self.0.iter().filter(|(field, before)| value.get(field) != before.as_ref());
        differ.map(|(field, _)| *field).collect()
    }
}

/// Reads the file; what is wrong with it is told in one line that names the field.
pub fn read(path: &Path) -> Result<Deployment, String> {
    decode(read_value(path)?).map_err(|message| format!("{}: {message}", path.display()))
}

pub fn read_value(path: &Path) -> Result<Value, String> {
    let text = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    serde_json::from_slice(&text).map_err(|error| format!("{}: {error}", path.display()))
}

fn wrong(field: &str, expected: &str) -> String {
    format!("field {field}: expected {expected}")
}

fn address(value: &Value, field: &str) -> Result<SocketAddr, String> {
    let text = value.get(field).and_then(Value::as_str);
    text.and_then(|text| text.parse().ok()).ok_or_else(|| wrong(field, "an address like 127.0.0.1:9090"))
}

impl Addresses {
    pub fn decode(value: &Value) -> Result<Addresses, String> {
        let database = match value.get("db") {
            None | Some(Value::Null) => None,
            Some(_) => Some(address(value, "db")?),
        };
        Ok(Addresses {
            executor: address(value, "executor")?,
            registry: address(value, "registry")?,
            database,
        })
    }
}

impl Deployment {
    /// Connections below that may be open at once: with few descriptors, half of what is not kept back.
    pub fn connections_below(&self) -> usize {
        database::MAX_CONNECTIONS.min(self.sockets.saturating_sub(DESCRIPTORS_KEPT) / 2).max(1)
    }

    /// Client connections that may be open at once.
    pub fn connections(&self) -> usize {
        self.sockets.saturating_sub(DESCRIPTORS_KEPT + self.connections_below()).max(1)
    }

    /// What kept results of keyed jobs may take.
    pub fn result_bytes(&self) -> usize {
        (self.memory_mb * RESULTS_PART * 1024.0 * 1024.0) as usize
    }

    /// A document may ask for less than the platform grants, never for more.
    pub fn within(&mut self, sockets: Option<f64>, memory_mb: Option<f64>) {
        self.sockets = sockets.map_or(self.sockets, |sockets| self.sockets.min(sockets as usize));
        self.memory_mb = memory_mb.map_or(self.memory_mb, |memory_mb| self.memory_mb.min(memory_mb));
    }

    /// The settings without job classes and tenants: these come as documents.
    pub fn without_use_cases(&mut self) {
        if let Some(settings) = self.settings.as_object_mut() {
            settings.remove("classes");
            settings.remove("customers");
        }
    }
}

pub fn decode(mut value: Value) -> Result<Deployment, String> {
    if !value.is_object() {
        return Err("expected a JSON object".into());
    }
    let name =
        value.get("name").and_then(Value::as_str).filter(|name| !name.is_empty() && !name.contains(' '));
    let name = name.ok_or_else(|| wrong("name", "a word"))?.to_owned();
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
    let memory_mb = match value.get("limits").and_then(|limits| limits.get("memory_mb")) {
        None | Some(Value::Null) => 192.0,
        Some(memory) => memory.as_f64().filter(|mb| (1.0..1e6).contains(mb)).unwrap_or_default(),
    };
    if memory_mb == 0.0 {
        return Err(wrong("limits.memory_mb", "a number from 1 up"));
    }
    let (listen, addresses, fixed) =
        (address(&value, "listen")?, Addresses::decode(&value)?, Fixed::of(&value));
    Ok(Deployment {
        name,
        listen,
        addresses,
        fixed,
        seed: seed.ok_or_else(|| wrong("seed", "16 hex digits"))?,
        stop: Duration::from_secs_f64(stop.ok_or_else(|| wrong("stop_ms", "milliseconds"))? / 1000.0),
        sockets,
        memory_mb,
        settings: value.get_mut("settings").map(Value::take).ok_or_else(|| wrong("settings", "an object"))?,
    })
}
