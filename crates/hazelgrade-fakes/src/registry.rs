//! Stands in for the registry: hears reports, and knows the last of each node.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

#[derive(Clone)]
pub struct Registry {
    states: Arc<Mutex<BTreeMap<String, String>>>,
    pub address: SocketAddr,
}

impl Registry {
    /// Hears until the process ends.
    pub fn start() -> std::io::Result<Registry> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let registry = Registry { states: Arc::default(), address: socket.local_addr()? };
        let last = registry.states.clone();
        std::thread::spawn(move || {
            let mut report = [0; 256];
            while let Ok(length) = socket.recv(&mut report) {
                let text = String::from_utf8_lossy(&report[..length]).into_owned();
                if let ["BEAT", name, state] = text.split_whitespace().collect::<Vec<_>>()[..] {
                    let mut last = last.lock().unwrap_or_else(PoisonError::into_inner);
                    last.insert(name.to_owned(), state.to_owned());
                }
            }
        });
        Ok(registry)
    }

    /// What a node reported last.
    pub fn last_state(&self, name: &str) -> Option<String> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }
}
