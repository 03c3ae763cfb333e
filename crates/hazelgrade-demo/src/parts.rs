//! What scenes and measurements start: this program under another name, and folders for it.

use crate::SELF;
use hazelgrade_config::Document;
use hazelgrade_standins::free_address;
use hazelgrade_stream::service;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tempfile::TempDir;

pub fn failed(error: impl std::fmt::Display) -> String {
    error.to_string()
}

pub fn program() -> Result<PathBuf, String> {
    std::env::current_exe().map_err(failed)
}

/// A control service as a process, with its folder.
pub struct Control {
    child: Child,
    pub address: SocketAddr,
    pub folder: TempDir,
}

impl Control {
    pub fn start(document: &Document) -> Result<Control, String> {
        let folder = tempfile::tempdir().map_err(failed)?;
        let address = free_address();
        let mut command = Command::new(program()?);
        command
            .args([SELF, "control", "--lineage", "demo", "--log", "off", "--documents"])
            .arg(folder.path());
        command.args(["--listen", &address.to_string()]).stdin(Stdio::null()).stderr(Stdio::null());
        std::fs::write(folder.path().join(service::DOCUMENT), document.to_toml()).map_err(failed)?;
        let child = command.spawn().map_err(failed)?;
        Ok(Control { child, address, folder })
    }

    /// Replaces the document in one step, as operators do.
    pub fn publish(&self, text: &str) -> Result<(), String> {
        let next = self.folder.path().join("next");
        std::fs::write(&next, text).map_err(failed)?;
        std::fs::rename(&next, self.folder.path().join(service::DOCUMENT)).map_err(failed)
    }

    /// Who runs what; nothing while it can't be asked.
    pub fn status(&self) -> Value {
        service::status(self.address, Duration::from_secs(2)).unwrap_or_default()
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
