//! Conditions that are set on a link hold for all bytes that are sent after it, however busy the machine is.

#![allow(clippy::expect_used)]

use hazelgrade_fault_injection::proxy::{Direction, FaultProxy, ms};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const LINKS: usize = 64;
const ROUNDS: usize = 4;
const DELAY_MS: u64 = 40;
const READ_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn a_delay_holds_for_bytes_that_are_sent_right_after_it_is_set() {
    std::thread::scope(|threads| {
        for _ in 0..LINKS {
            threads.spawn(|| (0..ROUNDS).for_each(|_| one_delayed_message()));
        }
    });
}

/// Sends at once after the delay is set, so that the proxy may find both at a time.
fn one_delayed_message() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let proxy = FaultProxy::tcp(listener.local_addr().expect("bound")).expect("a port");
    let mut near = TcpStream::connect(proxy.address).expect("it listens");
    let (mut far, _) = listener.accept().expect("a connection");
    near.set_nodelay(true).expect("a socket");
    far.set_read_timeout(Some(READ_TIMEOUT)).expect("a time-out");
    proxy.set_conditions(Direction::To, |conditions| conditions.delay = ms(DELAY_MS as f64));
    let sent_at = Instant::now();
    near.write_all(b"late").expect("it takes them");
    let mut received = [0; 4];
    far.read_exact(&mut received).expect("bytes");
    assert!(sent_at.elapsed() >= Duration::from_millis(DELAY_MS), "{:?}", sent_at.elapsed());
}
