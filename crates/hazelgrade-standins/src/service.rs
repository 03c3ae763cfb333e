//! The real control service as a process, with its folder.

use crate::free_address;
use crate::node::send;
use hazelgrade_config::Document;
use hazelgrade_stream::service;
use rustix::process::Signal;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tempfile::TempDir;

pub struct Service {
    program: PathBuf,
    /// The words before `control`, if any.
    words: Vec<String>,
    lineage: String,
    child: Option<Child>,
    pub address: SocketAddr,
    pub documents: TempDir,
}

/// Replaces the document in a folder in one step, as operators are told to.
pub fn publish(folder: &Path, text: &str) -> io::Result<()> {
    let next = folder.join("next");
    std::fs::write(&next, text)?;
    std::fs::rename(&next, folder.join(service::DOCUMENT))
}

impl Service {
    pub fn start(program: &Path, words: &[&str], lineage: &str, document: &Document) -> io::Result<Service> {
        let documents = tempfile::tempdir()?;
        publish(documents.path(), &document.to_toml())?;
        let mut service = Service {
            program: program.into(),
            words: words.iter().map(|word| (*word).to_owned()).collect(),
            lineage: lineage.into(),
            child: None,
            address: free_address(),
            documents,
        };
        service.start_again()?;
        Ok(service)
    }

    pub fn publish(&self, text: &str) -> io::Result<()> {
        publish(self.documents.path(), text)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Killed if it runs, and started with the folder as it is.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.kill();
        let mut command = Command::new(&self.program);
        command.args(&self.words).args([
            "control",
            "--lineage",
            &self.lineage,
            "--log",
            "off",
            "--documents",
        ]);
        command.arg(self.documents.path()).args(["--listen", &self.address.to_string()]);
        self.child = Some(command.stdin(Stdio::null()).stderr(Stdio::null()).spawn()?);
        Ok(())
    }

    pub fn signal(&self, signal: Signal) -> bool {
        self.child.as_ref().is_some_and(|child| send(child, signal))
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Who runs what; nothing while it can't be asked.
    pub fn status(&self) -> Value {
        service::status(self.address, Duration::from_secs(2)).unwrap_or_default()
    }

    pub fn counter(&self) -> PathBuf {
        self.documents.path().join(service::COUNTER)
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.kill();
    }
}
