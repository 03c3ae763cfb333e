//! Errors of the system that say nothing about the next attempt: a signal interrupted the call, or the system lacked a
//! resource for a moment.

use rustix::io::Errno;
use std::io;
use std::time::{Duration, Instant};

/// Errors of opening sockets, connections and files that pass.
const TRANSIENT: [Errno; 12] = [
    Errno::INTR,
    Errno::AGAIN,
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::CONNABORTED,
    Errno::ADDRNOTAVAIL,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::HOSTUNREACH,
    Errno::IO,
];

/// Returns whether the same call may succeed a moment later.
pub fn is_transient(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| TRANSIENT.contains(&errno))
}

/// Makes a call until it succeeds, fails by an error that does not pass, or `timeout` is over. Blocks for `pause` between
/// two attempts, so it is for calls at the start, or with a short timeout.
///
/// # Errors
///
/// The last error.
pub fn retry<T>(
    timeout: Duration,
    pause: Duration,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = Instant::now() + timeout;
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < deadline => std::thread::sleep(pause),
            result => return result,
        }
    }
}
