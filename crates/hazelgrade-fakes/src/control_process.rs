//! The real control service as a process, with its folder.

use crate::free_address;
use crate::node_process::send_signal;
use hazelgrade_budget::protocol::OperatorCommand;
use hazelgrade_config::Document;
use hazelgrade_stream::control_service::{self, RequestError};
use rustix::process::Signal;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tempfile::TempDir;

pub struct ControlServiceProcess {
    program: PathBuf,
    /// The words before `control`, if any.
    arguments: Vec<String>,
    lineage: String,
    child: Option<Child>,
    pub address: SocketAddr,
    pub documents: TempDir,
    /// Further words of its command line.
    pub extra_arguments: Vec<String>,
}

/// Replaces the document in a folder in one step, as operators are told to.
pub fn publish(folder: &Path, text: &str) -> io::Result<()> {
    publish_file(folder, control_service::SERVING_DOCUMENT_FILE, text)
}

pub fn publish_file(folder: &Path, name: &str, text: &str) -> io::Result<()> {
    let next = folder.join("next");
    std::fs::write(&next, text)?;
    std::fs::rename(&next, folder.join(name))
}

impl ControlServiceProcess {
    pub fn start(
        program: &Path,
        words: &[&str],
        lineage: &str,
        document: &Document,
    ) -> io::Result<ControlServiceProcess> {
        let mut service = ControlServiceProcess::prepare(program, words, lineage, document)?;
        service.restart()?;
        Ok(service)
    }

    /// The same, not started yet.
    pub fn prepare(
        program: &Path,
        words: &[&str],
        lineage: &str,
        document: &Document,
    ) -> io::Result<ControlServiceProcess> {
        let documents = tempfile::tempdir()?;
        publish(documents.path(), &document.to_toml())?;
        Ok(ControlServiceProcess {
            program: program.into(),
            arguments: words.iter().map(|word| (*word).to_owned()).collect(),
            lineage: lineage.into(),
            child: None,
            address: free_address(),
            documents,
            extra_arguments: Vec::new(),
        })
    }

    /// Founds the keeper of a site here; `lost` if there was one before.
    pub fn initialize_lessor(&self, site: &str, lost: bool) -> io::Result<()> {
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).args(["budget", "found", "--keeper", site, "--documents"]);
        command.arg(self.documents.path()).args(["--listen", &self.address.to_string()]);
        if lost {
            command.arg("--lost");
        }
        let done = command.output()?;
        let why = || io::Error::other(String::from_utf8_lossy(&done.stderr).into_owned());
        if done.status.success() { Ok(()) } else { Err(why()) }
    }

    pub fn lessor_store(&self) -> PathBuf {
        self.documents.path().join(".keeper.store")
    }

    /// Who holds what of the budgets; nothing while it can't be asked.
    pub fn budget_status(&self) -> Value {
        control_service::send_budget_command(self.address, OperatorCommand::Show, Duration::from_secs(2))
            .unwrap_or_default()
    }

    pub fn send_budget_command(&self, word: OperatorCommand) -> Result<Value, RequestError> {
        control_service::send_budget_command(self.address, word, Duration::from_secs(2))
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
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let shows = std::env::var_os("RIG_CONTROL_LOG").is_some();
        let said = if shows { Stdio::inherit() } else { Stdio::null() };
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).args([
            "control",
            "--lineage",
            &self.lineage,
            "--log",
            &std::env::var("RIG_CONTROL_LOG").unwrap_or_else(|_| "off".into()),
            "--documents",
        ]);
        command
            .arg(self.documents.path())
            .args(["--listen", &self.address.to_string()])
            .args(&self.extra_arguments);
        self.child = Some(command.stdin(Stdio::null()).stderr(said).spawn()?);
        Ok(())
    }

    pub fn signal(&self, signal: Signal) -> bool {
        self.child.as_ref().is_some_and(|child| send_signal(child, signal))
    }

    /// Whether the process has not ended by itself.
    pub fn is_alive(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Who runs what; nothing while it can't be asked.
    pub fn status(&self) -> Value {
        control_service::request_status(self.address, Duration::from_secs(2)).unwrap_or_default()
    }

    pub fn counter_file(&self) -> PathBuf {
        self.documents.path().join(control_service::SERVING_COUNTER_FILE)
    }
}

impl Drop for ControlServiceProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
