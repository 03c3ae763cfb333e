//! Reads the platform's JSON configuration file. The field names of that file are defined in this module only.

use super::files;
use crate::transport::database;
use hazelgrade_config::serving::ResourceLimits;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// File descriptors that client and dependency connections may not use: the log, the executor, the registry, signals,
/// the event queue, a file being read, and one connection that was just accepted.
const RESERVED_DESCRIPTORS: usize = 16;

/// The share of the memory limit for the result cache. The rest is left for jobs in flight and connections.
const RESULT_CACHE_RATIO: f64 = 0.125;

/// The share of the memory limit for messages that wait to be written to clients.
const UNWRITTEN_RATIO: f64 = 0.25;

/// The limit on open file descriptors if the configuration sets none.
const DEFAULT_SOCKETS: usize = 1024;

/// The lowest limit on open file descriptors that a configuration may set.
const MIN_SOCKETS: u64 = 32;

/// The limit on the memory of the process if the configuration sets none, in MiB.
const DEFAULT_MEMORY_MB: f64 = 192.0;

/// Bytes per MiB.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The addresses of the node's peers. A reload may change them.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The address of the executor.
    pub executor: SocketAddr,
    /// The address of the registry.
    pub registry: SocketAddr,
    /// The address of the database, or `None` for a node that has no dependency to call.
    pub database: Option<SocketAddr>,
}

/// The platform's configuration of a service instance.
#[derive(Debug)]
pub struct Deployment {
    /// The name of the node.
    pub name: String,
    /// The address on which the node listens for clients.
    pub listen: SocketAddr,
    /// The addresses of the node's peers.
    pub addresses: Addresses,
    /// The seed of all random numbers that decisions use.
    pub seed: u64,
    /// The time from SIGTERM until the platform kills the process.
    pub stop: Duration,
    /// The number of file descriptors that the process may have open.
    pub sockets: usize,
    /// The memory that the process may use, in MiB.
    pub memory_mb: f64,
    /// The settings of the controller, not yet decoded.
    pub settings: Value,
    /// The fields whose changes take effect only after a restart.
    pub start_fields: StartFields,
}

/// The fields whose changes take effect only after a restart, with their values at the start of the process.
#[derive(Clone, Debug)]
pub struct StartFields(Vec<(&'static str, Option<Value>)>);

impl StartFields {
    /// The names of these fields in the configuration file.
    const NAMES: [&str; 6] = ["name", "listen", "seed", "stop_ms", "limits", "settings"];

    fn from_configuration(value: &Value) -> StartFields {
        StartFields(Self::NAMES.iter().map(|field| (*field, value.get(field).cloned())).collect())
    }

    /// Returns the names of the fields whose values differ in another configuration.
    pub fn differing(&self, value: &Value) -> Vec<&'static str> {
        let differing = self.0.iter().filter(|(field, before)| value.get(field) != before.as_ref());
        differing.map(|(field, _)| *field).collect()
    }
}

/// A configuration file that can't be used, and the reason.
#[derive(Debug, thiserror::Error)]
#[error("{}: {reason}", path.display())]
pub struct ConfigurationError {
    path: PathBuf,
    reason: ErrorReason,
}

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ErrorReason {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// The file is not valid JSON.
    #[error(transparent)]
    InvalidJson(#[from] serde_json::Error),
    /// The file holds a JSON value that is not an object.
    #[error("expected a JSON object")]
    NotAnObject,
    /// A field is missing or invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
}

impl ErrorReason {
    /// Returns the error for the configuration file at this path.
    pub fn of_file(self, path: &Path) -> ConfigurationError {
        ConfigurationError { path: path.to_owned(), reason: self }
    }
}

/// A field that is missing or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: expected {expected}")]
pub struct FieldError {
    /// The name of the field.
    pub field: &'static str,
    /// A description of the valid values.
    pub expected: &'static str,
}

/// Reads and decodes the configuration file.
///
/// # Errors
/// Returns an error if the file can't be read or is not a JSON object, or for the first invalid field.
pub fn read(path: &Path) -> Result<Deployment, ConfigurationError> {
    read_json(path).and_then(decode).map_err(|reason| reason.of_file(path))
}

/// Reads a JSON file.
pub fn read_json(path: &Path) -> Result<Value, ErrorReason> {
    Ok(serde_json::from_slice(&files::read(path)?)?)
}

fn field_error(field: &'static str, expected: &'static str) -> FieldError {
    FieldError { field, expected }
}

fn decode_address(value: &Value, field: &'static str) -> Result<SocketAddr, FieldError> {
    let text = value.get(field).and_then(Value::as_str);
    text.and_then(|text| text.parse().ok())
        .ok_or_else(|| field_error(field, "an address like 127.0.0.1:9090"))
}

impl Addresses {
    /// Decodes the peer addresses of a configuration.
    pub fn decode(value: &Value) -> Result<Addresses, FieldError> {
        let database = match value.get("db") {
            None | Some(Value::Null) => None,
            Some(_) => Some(decode_address(value, "db")?),
        };
        Ok(Addresses {
            executor: decode_address(value, "executor")?,
            registry: decode_address(value, "registry")?,
            database,
        })
    }
}

impl Deployment {
    /// Returns how many connections to the dependency may be open at once: at most half of the file descriptors that
    /// are not reserved, and at least one.
    pub fn max_dependency_connections(&self) -> usize {
        database::MAX_CONNECTIONS.min(self.sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2).max(1)
    }

    /// Returns how many client connections may be open at once.
    pub fn max_client_connections(&self) -> usize {
        let reserved = RESERVED_DESCRIPTORS + self.max_dependency_connections();
        self.sockets.saturating_sub(reserved).max(1)
    }

    /// Returns how many bytes the cached results of jobs with an idempotency key may take.
    pub fn max_result_cache_bytes(&self) -> usize {
        (self.memory_mb * RESULT_CACHE_RATIO * BYTES_PER_MB) as usize
    }

    /// Returns how many bytes may wait to be written to all clients together.
    pub fn max_unwritten_bytes(&self) -> usize {
        (self.memory_mb * UNWRITTEN_RATIO * BYTES_PER_MB) as usize
    }

    /// Lowers the limits of the process to those of a serving document. A document can't raise a limit.
    pub fn lower_limits(&mut self, limits: ResourceLimits) {
        if let Some(sockets) = limits.sockets {
            self.sockets = self.sockets.min(sockets as usize);
        }
        if let Some(memory_mb) = limits.memory_mb {
            self.memory_mb = self.memory_mb.min(memory_mb);
        }
    }

    /// Removes job classes and tenants from the settings, for a node that receives them in serving documents.
    pub fn remove_job_classes_and_tenants(&mut self) {
        if let Some(settings) = self.settings.as_object_mut() {
            settings.remove("classes");
            settings.remove("customers");
        }
    }
}

/// Decodes the JSON value of a configuration file.
///
/// # Errors
/// Returns an error for the first invalid field.
fn decode(mut value: Value) -> Result<Deployment, ErrorReason> {
    if !value.is_object() {
        return Err(ErrorReason::NotAnObject);
    }
    let name = decode_name(&value)?;
    let seed = decode_seed(&value);
    let stop_ms = value.get("stop_ms").and_then(Value::as_f64).filter(|ms| (0.0..1e9).contains(ms));
    let sockets = decode_sockets(&value)?;
    let memory_mb = decode_memory_mb(&value)?;
    let listen = decode_address(&value, "listen")?;
    let addresses = Addresses::decode(&value)?;
    let start_fields = StartFields::from_configuration(&value);
    let seed = seed.ok_or_else(|| field_error("seed", "16 hex digits"))?;
    let stop_ms = stop_ms.ok_or_else(|| field_error("stop_ms", "milliseconds"))?;
    let settings = value.get_mut("settings").map(Value::take);
    Ok(Deployment {
        name,
        listen,
        addresses,
        seed,
        stop: Duration::from_secs_f64(stop_ms / 1000.0),
        sockets,
        memory_mb,
        settings: settings.ok_or_else(|| field_error("settings", "an object"))?,
        start_fields,
    })
}

fn decode_name(value: &Value) -> Result<String, FieldError> {
    let name = value.get("name").and_then(Value::as_str);
    let name = name.filter(|name| !name.is_empty() && !name.contains(' '));
    name.map(str::to_owned).ok_or_else(|| field_error("name", "a word"))
}

/// Decodes the seed, which is a string of hex digits or a non-negative integer.
fn decode_seed(value: &Value) -> Option<u64> {
    match value.get("seed")? {
        Value::String(hex) => u64::from_str_radix(hex, 16).ok(),
        number => number.as_u64(),
    }
}

fn limit<'a>(value: &'a Value, field: &str) -> Option<&'a Value> {
    value.get("limits").and_then(|limits| limits.get(field)).filter(|limit| !limit.is_null())
}

fn decode_sockets(value: &Value) -> Result<usize, FieldError> {
    let Some(sockets) = limit(value, "sockets") else { return Ok(DEFAULT_SOCKETS) };
    let sockets = sockets.as_u64().filter(|sockets| *sockets >= MIN_SOCKETS);
    sockets
        .map(|sockets| sockets as usize)
        .ok_or_else(|| field_error("limits.sockets", "a whole number from 32 up"))
}

fn decode_memory_mb(value: &Value) -> Result<f64, FieldError> {
    let Some(memory_mb) = limit(value, "memory_mb") else { return Ok(DEFAULT_MEMORY_MB) };
    let memory_mb = memory_mb.as_f64().filter(|memory_mb| (1.0..1e6).contains(memory_mb));
    memory_mb.ok_or_else(|| field_error("limits.memory_mb", "a number from 1 up"))
}
