//! Fakes of the systems around a node, for tests and the demo: an executor, a database, a registry, callers, a scripted
//! control service; and checks of the rules. Everything stays on loopback and is written from the documents of the
//! protocols. Nothing here is part of the program.

#![warn(missing_docs)]

/// Callers that send jobs to a node and note each answer.
pub mod callers;
/// The real control service as a process.
pub mod control_process;
/// A control service that a test scripts.
pub mod control_service;
/// A database that answers each call after a fixed time.
pub mod database;
/// A dependency that all nodes share, with a bounded capacity.
pub mod dependency;
/// Documents for tests and the demo.
pub mod documents;
/// An executor with a number of cores.
pub mod executor;
/// Budgets of a whole fleet in simulated time.
pub mod fleet;
/// Clients that connect to a node and say nothing.
pub mod idle_clients;
/// A node as a process.
pub mod node_process;
/// A registry that receives heartbeats.
pub mod registry;
/// Checks of the rules on what callers and the executor saw.
pub mod rule_check;
/// Faults in the system calls of a process.
pub mod system_faults;
/// Everything around a node but its control service.
pub mod test_environment;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long an event that should follow at once is waited for.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// An address that nothing else uses: each has a loopback host of its own, by process and count. It isn't tried out
/// first: a process that is being started in another thread would hold it for a moment longer.
pub fn free_address() -> SocketAddr {
    static HOSTS: AtomicU32 = AtomicU32::new(2);
    let host = HOSTS.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = std::process::id().to_be_bytes();
    SocketAddr::from(([127, process[2], process[3], host[3]], 9090))
}

/// Waits until a condition holds; `false` if it does not hold within `timeout`.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
