//! All that a node needs round it, but for its control service.

use crate::callers::{Callers, Plan as Calling, Token};
use crate::executor::{Executor, Work};
use crate::node::Plan;
use crate::registry::Registry;
use crate::{database, free_address};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// How long a call below takes.
const CALL: Duration = Duration::from_millis(2);

pub struct World {
    pub folder: TempDir,
    pub executor: Executor,
    pub registry: Registry,
    pub database: SocketAddr,
}

impl World {
    pub fn new(work: Work) -> io::Result<World> {
        Ok(World {
            folder: tempfile::tempdir()?,
            executor: Executor::start(work)?,
            registry: Registry::start()?,
            database: database::start(CALL)?,
        })
    }

    /// A node of this name, started by these words, that follows `control`.
    pub fn plan(
        &self,
        name: &str,
        program: &Path,
        words: &[&str],
        control: SocketAddr,
        stream: &str,
    ) -> Plan {
        Plan {
            program: PathBuf::from(program),
            words: words.iter().map(|word| (*word).to_owned()).collect(),
            folder: self.folder.path().into(),
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
pub fn callers(node: SocketAddr, rate: f64, job_classes: &[&str]) -> Callers {
    callers_with(node, rate, job_classes, None)
}

/// The same, with a token.
pub fn callers_with(node: SocketAddr, rate: f64, job_classes: &[&str], token: Option<Token>) -> Callers {
    let job_classes = job_classes.iter().map(|name| (*name).to_owned()).collect();
    Callers::start(&Calling { node, connections: 4, rate, job_classes, owner: "c0".into(), token })
}
