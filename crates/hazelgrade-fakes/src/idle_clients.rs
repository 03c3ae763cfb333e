//! Clients that connect to a node and say nothing, as many at once as they are told to be. What the node closes is opened
//! again.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// How often ended connections are looked for and replaced.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A node that takes no connection within this time is full or stopped.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Idle clients, on a thread until they are dropped.
pub struct IdleClients {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl IdleClients {
    /// Keeps up to `count` connections to a node open.
    pub fn start(node: SocketAddr, count: usize) -> IdleClients {
        let stop = Arc::new(AtomicBool::new(false));
        let thread = {
            let stop = stop.clone();
            std::thread::spawn(move || keep_open(node, count, &stop))
        };
        IdleClients { stop, thread: Some(thread) }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn keep_open(node: SocketAddr, count: usize, stop: &AtomicBool) {
    let mut connections: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        connections.retain(is_open);
        while connections.len() < count && !stop.load(Ordering::Relaxed) {
            match connect(node) {
                Ok(connection) => connections.push(connection),
                Err(_) => break,
            }
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
}

fn connect(node: SocketAddr) -> std::io::Result<TcpStream> {
    let connection = TcpStream::connect_timeout(&node, CONNECT_TIMEOUT)?;
    connection.set_nonblocking(true)?;
    Ok(connection)
}

/// Whether the node has not closed it; what the node says is dropped.
fn is_open(connection: &TcpStream) -> bool {
    let mut said = [0; 256];
    let mut connection = connection;
    loop {
        match connection.read(&mut said) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) => return error.kind() == ErrorKind::WouldBlock,
        }
    }
}
