//! All that a node needs round it, but for its control service.

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
const CALL: Duration = Duration::from_millis(2);

pub struct TestEnvironment {
    pub directory: TempDir,
    pub executor: Executor,
    pub registry: Registry,
    pub database: SocketAddr,
}

impl TestEnvironment {
    pub fn new(work: Workload) -> io::Result<TestEnvironment> {
        Ok(TestEnvironment {
            directory: tempfile::tempdir()?,
            executor: Executor::start(work)?,
            registry: Registry::start()?,
            database: database::start(CALL)?,
        })
    }

    /// A node of this name, started by these words, that follows `control`.
    pub fn node_config(
        &self,
        name: &str,
        program: &Path,
        words: &[&str],
        control: SocketAddr,
        stream: &str,
    ) -> NodeConfig {
        NodeConfig {
            program: PathBuf::from(program),
            arguments: words.iter().map(|word| (*word).to_owned()).collect(),
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
        }
    }
}

/// Four connections that ask a node for these job classes, as the first tenant.
pub fn start_callers(node: SocketAddr, rate: f64, job_classes: &[&str]) -> Callers {
    start_callers_with_token(node, rate, job_classes, None)
}

/// The same, with a token.
pub fn start_callers_with_token(
    node: SocketAddr,
    rate: f64,
    job_classes: &[&str],
    token: Option<Token>,
) -> Callers {
    let job_classes = job_classes.iter().map(|name| (*name).to_owned()).collect();
    Callers::start(&CallersConfig { node, connections: 4, rate, job_classes, owner: "c0".into(), token })
}
