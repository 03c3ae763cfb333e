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

/// The control service as a process, with its documents. It is killed when dropped.
pub struct ControlServiceProcess {
    program: PathBuf,
    /// Arguments before the sub-command `control`.
    arguments: Vec<String>,
    lineage: String,
    child: Option<Child>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The folder of its documents, counter and lessor's store.
    pub documents: TempDir,
    /// Arguments after its own.
    pub extra_arguments: Vec<String>,
    /// Variables added to its environment at its next start.
    pub environment: Vec<(&'static str, PathBuf)>,
}

/// Replaces the serving document in a folder in one step, as operators are told to.
///
/// # Errors
///
/// If it cannot be written.
pub fn publish(folder: &Path, text: &str) -> io::Result<()> {
    publish_file(folder, control_service::SERVING_DOCUMENT_FILE, text)
}

/// Replaces a file in a folder in one step.
///
/// # Errors
///
/// If it cannot be written.
pub fn publish_file(folder: &Path, name: &str, text: &str) -> io::Result<()> {
    let next = folder.join("next");
    std::fs::write(&next, text)?;
    std::fs::rename(&next, folder.join(name))
}

impl ControlServiceProcess {
    /// Starts it with this document.
    ///
    /// # Errors
    ///
    /// If a file cannot be written or the program cannot be started.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        lineage: &str,
        document: &Document,
    ) -> io::Result<ControlServiceProcess> {
        let mut service = ControlServiceProcess::prepare(program, arguments, lineage, document)?;
        service.restart()?;
        Ok(service)
    }

    /// The same, not started yet.
    ///
    /// # Errors
    ///
    /// If a file cannot be written.
    pub fn prepare(
        program: &Path,
        arguments: &[&str],
        lineage: &str,
        document: &Document,
    ) -> io::Result<ControlServiceProcess> {
        let documents = tempfile::tempdir()?;
        publish(documents.path(), &document.to_toml())?;
        Ok(ControlServiceProcess {
            program: program.into(),
            arguments: arguments.iter().map(|argument| (*argument).to_owned()).collect(),
            lineage: lineage.into(),
            child: None,
            address: free_address(),
            documents,
            extra_arguments: Vec::new(),
            environment: Vec::new(),
        })
    }

    /// Creates the store of a site's lessor here; `lost` if there was one before, with the longest lease and use of all
    /// documents.
    ///
    /// # Errors
    ///
    /// If the command fails, with its standard error.
    pub fn initialize_lessor(&self, site: &str, lost: Option<Duration>) -> io::Result<()> {
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).args(["budget", "found", "--keeper", site, "--documents"]);
        command.arg(self.documents.path()).args(["--listen", &self.address.to_string()]);
        if let Some(longest) = lost {
            command.args(["--lost", "--longest-ms", &longest.as_millis().to_string()]);
        }
        let output = command.output()?;
        let why = || io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned());
        if output.status.success() { Ok(()) } else { Err(why()) }
    }

    /// Where the lessor's store is.
    pub fn lessor_store(&self) -> PathBuf {
        self.documents.path().join(".keeper.store")
    }

    /// Which holder has what of the budgets; null while it cannot be asked.
    pub fn budget_status(&self) -> Value {
        control_service::send_budget_command(self.address, OperatorCommand::Show, Duration::from_secs(2))
            .unwrap_or_default()
    }

    /// Sends an operator's command on budgets.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if it cannot be asked, or refuses.
    pub fn send_budget_command(&self, command: OperatorCommand) -> Result<Value, RequestError> {
        control_service::send_budget_command(self.address, command, Duration::from_secs(2))
    }

    /// Replaces its serving document in one step.
    ///
    /// # Errors
    ///
    /// If it cannot be written.
    pub fn publish(&self, text: &str) -> io::Result<()> {
        publish(self.documents.path(), text)
    }

    /// Kills it if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills it if it runs, and starts it with the folder as it is.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let shows_log = std::env::var_os("RIG_CONTROL_LOG").is_some();
        let stderr = if shows_log { Stdio::inherit() } else { Stdio::null() };
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
            .args(&self.extra_arguments)
            .envs(self.environment.iter().cloned());
        self.child = Some(command.stdin(Stdio::null()).stderr(stderr).spawn()?);
        Ok(())
    }

    /// Sends a signal; `false` if it fails.
    pub fn signal(&self, signal: Signal) -> bool {
        self.child.as_ref().is_some_and(|child| send_signal(child, signal))
    }

    /// Whether its process has not ended by itself.
    pub fn is_alive(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Whether it was started and not killed since.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Which node has which version; null while it cannot be asked.
    pub fn status(&self) -> Value {
        control_service::request_status(self.address, Duration::from_secs(2)).unwrap_or_default()
    }

    /// Where the counter of its versions is.
    pub fn counter_file(&self) -> PathBuf {
        self.documents.path().join(control_service::SERVING_COUNTER_FILE)
    }
}

impl Drop for ControlServiceProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
