//! Hostile clients beside the honest ones: some connect and say nothing, some send jobs too large to be queued and send
//! each again as soon as it is rejected, some send half a line and leave.

use hazelgrade_fakes::idle_clients::IdleClients;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const IDLE_CLIENTS: usize = 200;
const FLOODS: u64 = 8;
const FLOOD_DEPTH: u64 = 32;
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// A crowd, until it is dropped.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    _idle: IdleClients,
}

impl Crowd {
    pub fn start(node: SocketAddr) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads: Vec<_> = (0..FLOODS)
            .map(|number| {
                let stop = stop.clone();
                std::thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        if flood(node, number, &stop).is_err() {
                            std::thread::sleep(Duration::from_millis(20));
                        }
                    }
                })
            })
            .collect();
        let stopped = stop.clone();
        threads.push(std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                // Whatever comes of it: the client leaves at once.
                let _ = TcpStream::connect(node).and_then(|mut stream| stream.write_all(b"{\"jsonrpc\":"));
                std::thread::sleep(Duration::from_millis(10));
            }
        }));
        Crowd { stop, threads, _idle: IdleClients::start(node, IDLE_CLIENTS) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Sends jobs on one connection until it ends.
fn flood(node: SocketAddr, number: u64, stop: &AtomicBool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut sent = 0;
    let mut lines = |count: u64| -> String {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
        (0..count)
            .map(|_| {
                sent += 1;
                format!(
                    "{{\"jsonrpc\":\"2.0\",\"id\":{sent},\"method\":\"search\",\"params\":{{\"req\":\"f{number}-{sent}-{unix_ms}\",\
                     \"ts\":{unix_ms},\"via\":9,\"owner\":\"c0\",\"need\":1999,\"level\":0.5,\"body\":\"aGVsbG8=\"}}}}\n"
                )
            })
            .collect()
    };
    stream.write_all(lines(FLOOD_DEPTH).as_bytes())?;
    let mut bytes = [0; 16 * 1024];
    while !stop.load(Ordering::Relaxed) {
        match stream.read(&mut bytes) {
            Ok(0) => return Ok(()),
            Ok(count) => {
                let answers = bytes[..count].iter().filter(|byte| **byte == b'\n').count();
                stream.write_all(lines(answers as u64).as_bytes())?;
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
