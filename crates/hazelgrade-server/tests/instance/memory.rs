//! The memory of the process while many clients misbehave, as the kernel reports it in `/proc`.

use crate::common::*;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use serde_json::json;
use std::fs::read_to_string;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The memory limit of the instance, in MiB.
const MEMORY_MB: u64 = 16;
/// Clients that send and never read.
const CLIENTS: usize = 40;
/// How long they go on sending once none of them can.
const BLOCKED: Duration = Duration::from_millis(500);
/// How long they try at most.
const LONGEST: Duration = Duration::from_secs(20);

/// Returns the most memory that a process has had resident, in KiB.
fn peak_kb(process: u32) -> u64 {
    let status = read_to_string(format!("/proc/{process}/status")).expect("read the status of the process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.parse().ok()).expect("the status has the peak")
}

/// A client that sends without ever reading.
struct Sender {
    stream: TcpStream,
    /// What is left of the line that is being sent.
    unsent: Vec<u8>,
    has_ended: bool,
}

impl Sender {
    fn connect(instance: &Instance) -> Sender {
        let stream = instance.client().stream().try_clone().expect("the connection is open");
        set_socket_recv_buffer_size(&stream, 2048).expect("set the size of the receive buffer");
        stream.set_nonblocking(true).expect("set the blocking mode of the socket");
        Sender { stream, unsent: Vec::new(), has_ended: false }
    }

    /// Sends what the connection takes of the current line, or of the next one. Returns whether it took anything.
    fn send(&mut self, next: impl FnOnce() -> String) -> bool {
        if self.unsent.is_empty() {
            self.unsent = next().into_bytes();
        }
        match self.stream.write(&self.unsent) {
            Ok(count) => drop(self.unsent.drain(..count)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
            Err(_) => self.has_ended = true,
        }
        !self.has_ended
    }
}

/// Guards against answers that wait to be written to clients that don't read them: each connection had its own limit,
/// and all of them together took more than the memory limit.
#[test]
fn answers_that_many_clients_never_read_stay_within_the_memory_limit() {
    let instance =
        Instance::start_with(|configuration| configuration["limits"]["memory_mb"] = json!(MEMORY_MB));
    let (mut link, mut client) = instance.ready();
    let keyed_job = |call: u64| {
        let mut job = job(call, "book", &format!("a{call}"));
        job["params"]["opkey"] = json!("order-7");
        format!("{job}\n")
    };
    client.write(&keyed_job(1));
    assert_eq!(link.command()["handle"], "a1");
    let result = "A".repeat(5464);
    link.send(
        &json!({"event": "EXIT", "cursor": 1, "handle": "a1", "fate": "good", "lasted": 9, "arg": result}),
    );
    assert_eq!(client.receive()["result"]["body"], result);
    let mut senders: Vec<Sender> = (0..CLIENTS).map(|_| Sender::connect(&instance)).collect();
    let (mut calls, started_at) = (1, Instant::now());
    let mut last_sent = Instant::now();
    while last_sent.elapsed() < BLOCKED && started_at.elapsed() < LONGEST {
        for sender in senders.iter_mut().filter(|sender| !sender.has_ended) {
            // Each is a retry of the job that has run, and is answered with its result.
            let next = || {
                calls += 1;
                keyed_job(calls)
            };
            if sender.send(next) {
                last_sent = Instant::now();
            }
        }
    }
    assert!(last_sent.elapsed() >= BLOCKED, "the instance still reads after {LONGEST:?}");
    let peak_kb = peak_kb(instance.process());
    assert!(peak_kb <= MEMORY_MB * 1024, "{peak_kb} KiB of {MEMORY_MB} MiB");
    assert_eq!(client.check(90)["result"]["up"], true);
}
