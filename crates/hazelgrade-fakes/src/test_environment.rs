//! Everything that a node needs around it, but for its control service.

use crate::callers::{Callers, CallersConfig, Token};
use crate::executor::{Executor, Workload};
use crate::node_process::NodeConfig;
use crate::registry::Registry;
use crate::{database, free_address};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// How long a call below takes.
const CALL_DURATION: Duration = Duration::from_millis(2);

/// A folder for files, and the systems around a node.
pub struct TestEnvironment {
    /// Where files of nodes go.
    pub directory: TempDir,
    /// Runs the jobs.
    pub executor: Executor,
    /// Receives heartbeats.
    pub registry: Registry,
    /// Answers the calls of jobs.
    pub database: SocketAddr,
}

impl TestEnvironment {
    /// Starts all of it.
    ///
    /// # Errors
    ///
    /// If a folder or port cannot be had.
    pub fn new(work: Workload) -> io::Result<TestEnvironment> {
        Ok(TestEnvironment {
            directory: tempfile::tempdir()?,
            executor: Executor::start(work)?,
            registry: Registry::start()?,
            database: database::start(CALL_DURATION)?,
        })
    }

    /// The configuration of a node of this name that follows `control`. `arguments` come before the sub-command; `stream`
    /// is the rest of the operator's table `stream`, in TOML.
    pub fn node_config(
        &self,
        name: &str,
        program: &Path,
        arguments: &[&str],
        control: SocketAddr,
        stream: &str,
    ) -> NodeConfig {
        NodeConfig {
            program: PathBuf::from(program),
            arguments: arguments.iter().map(|argument| (*argument).to_owned()).collect(),
            directory: self.directory.path().into(),
            name: name.into(),
            listen: free_address(),
            executor: self.executor.address,
            registry: self.registry.address,
            database: Some(self.database),
            control: vec![control],
            stream: stream.into(),
            stop_ms: 2500,
            log: "warn".into(),
            environment: Vec::new(),
        }
    }
}

/// Connections of callers.
const CALLER_CONNECTIONS: usize = 4;

/// Starts four connections that request these job classes as the first tenant, at `rate` jobs a second in all, and go on
/// for this long after the node says that it drains.
pub fn start_late_callers(
    node: SocketAddr,
    rate: f64,
    job_classes: &[&str],
    drain_notice_delay: Duration,
) -> Callers {
    let job_classes = job_classes.iter().map(|name| (*name).to_owned()).collect();
    Callers::start(&CallersConfig { drain_notice_delay, ..callers_config(node, rate, job_classes) })
}

fn callers_config(node: SocketAddr, rate: f64, job_classes: Vec<String>) -> CallersConfig {
    CallersConfig {
        node,
        connections: CALLER_CONNECTIONS,
        rate,
        job_classes,
        owner: "c0".into(),
        token: None,
        drain_notice_delay: Duration::ZERO,
    }
}

/// Starts four connections that request these job classes as the first tenant, at `rate` jobs a second in all.
pub fn start_callers(node: SocketAddr, rate: f64, job_classes: &[&str]) -> Callers {
    start_callers_with_token(node, rate, job_classes, None)
}

/// The same with a token.
pub fn start_callers_with_token(
    node: SocketAddr,
    rate: f64,
    job_classes: &[&str],
    token: Option<Token>,
) -> Callers {
    let job_classes = job_classes.iter().map(|name| (*name).to_owned()).collect();
    Callers::start(&CallersConfig { token, ..callers_config(node, rate, job_classes) })
}
