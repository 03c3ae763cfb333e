//! A registry: receives heartbeats and keeps the last state of each node.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

/// A registry that receives until the process ends. Clones are the same one.
#[derive(Clone)]
pub struct Registry {
    states: Arc<Mutex<BTreeMap<String, String>>>,
    /// Where it receives datagrams.
    pub address: SocketAddr,
}

impl Registry {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start() -> std::io::Result<Registry> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let registry = Registry { states: Arc::default(), address: socket.local_addr()? };
        let last = registry.states.clone();
        std::thread::spawn(move || {
            let mut datagram = [0; 256];
            while let Ok(length) = socket.recv(&mut datagram) {
                let text = String::from_utf8_lossy(&datagram[..length]).into_owned();
                if let ["BEAT", name, state] = text.split_whitespace().collect::<Vec<_>>()[..] {
                    let mut last = last.lock().unwrap_or_else(PoisonError::into_inner);
                    last.insert(name.to_owned(), state.to_owned());
                }
            }
        });
        Ok(registry)
    }

    /// The state in a node's last heartbeat.
    pub fn last_state(&self, name: &str) -> Option<String> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }
}
