//! What stands in for the systems around a node, in tests and in the demo: an executor, a database, a registry, callers,
//! a scripted control service; and checkers of the rules. Everything stays on loopback and is written from the pages of
//! the protocols. Nothing here is part of the program.

pub mod callers;
pub mod control_process;
pub mod control_service;
pub mod database;
pub mod dependency;
pub mod documents;
pub mod executor;
pub mod fleet;
pub mod node_process;
pub mod registry;
pub mod rule_check;
pub mod test_environment;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What ought to come at once has come by then, or it doesn't.
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

/// Waits until something is so; `false` if it isn't in time.
pub fn wait_until(within: Duration, mut so: impl FnMut() -> bool) -> bool {
    let by = Instant::now() + within;
    loop {
        if so() {
            return true;
        }
        if Instant::now() >= by {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
