//! Starts a group.

use super::documents::{numbered_document, shown_digest};
use super::{Group, GroupNode, NodeStanding};
use crate::history::{FaultKind, History};
use crate::plan::{Link, SoakPlan};
use crate::proxy::{FaultProxy, ms, now};
use crate::shared_budget::{SharedBudget, SharedBudgetConfig};
use hazelgrade_fakes::control_process::ControlServiceProcess;
use hazelgrade_fakes::executor::{Executor, Workload};
use hazelgrade_fakes::idle_clients::IdleClients;
use hazelgrade_fakes::node_process::NodeConfig;
use hazelgrade_fakes::registry::Registry;
use hazelgrade_fakes::{database, free_address, test_environment};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const WORKLOAD: Workload = Workload { cores: 4, job_duration: Duration::from_millis(16), makes_call: true };
const CALL_DURATION: Duration = Duration::from_millis(2);
const STREAM_SETTINGS: &str = "lineage = \"test\"\n[stream.trial]\nspan_ms = 300\nleast_jobs = 8\n";
/// A job's deadline in the published documents.
const DEADLINE_MS: f64 = 3000.0;
/// By how much later than given an answer may be read on a crowded machine.
const GRACE_MS: f64 = 1000.0;
/// A node's time to drain.
const STOP_MS: u64 = 5000;

/// Why a group does not start.
#[derive(Debug, thiserror::Error)]
pub enum GroupError {
    /// A process, file or socket could not be made.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A node did not become ready in time.
    #[error("the group doesn't start: {status}")]
    NotReady {
        /// The control service's status at that time.
        status: Value,
    },
}

/// What each node of a group is started with.
struct NodeSetup<'a> {
    program: &'a Path,
    arguments: &'a [&'a str],
    folder: &'a Path,
    registry: SocketAddr,
    /// The dependency that all nodes share; without one each has a database of its own.
    dependency: Option<SocketAddr>,
    control_services: Vec<SocketAddr>,
    stream_settings: String,
    /// Jobs a second to each node.
    rate: f64,
    surroundings: Surroundings,
}

/// What a group is started with besides its processes.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings {
    /// Each node's time to drain, in ms.
    pub stop_ms: u64,
    /// For how long callers go on sending on a connection on which a node said that it drains.
    pub drain_notice_delay: Duration,
    /// Clients of each node that connect and say nothing.
    pub idle_clients: usize,
}

impl Default for Surroundings {
    /// Callers that stop at a drain, and nobody else.
    fn default() -> Surroundings {
        Surroundings { stop_ms: STOP_MS, drain_notice_delay: Duration::ZERO, idle_clients: 0 }
    }
}

impl From<SoakPlan> for Surroundings {
    fn from(soak: SoakPlan) -> Surroundings {
        Surroundings {
            stop_ms: u64::from(soak.stop_ms),
            drain_notice_delay: Duration::from_millis(u64::from(soak.drain_notice_delay_ms)),
            idle_clients: soak.idle_clients as usize,
        }
    }
}

impl Group {
    /// Starts all processes and waits until each node has the first version as its good one and callers are answered.
    /// `arguments` come before the program's sub-command; `rate` is in jobs a second to each node.
    ///
    /// # Errors
    ///
    /// [`GroupError`] if a process cannot be started or the nodes are not ready in time.
    pub fn start(program: &Path, arguments: &[&str], nodes: usize, rate: f64) -> Result<Group, GroupError> {
        Group::start_with(program, arguments, nodes, rate, None)
    }

    /// The same for nodes that share a budget of calls to a dependency.
    ///
    /// # Errors
    ///
    /// As [`Group::start`].
    pub fn start_with(
        program: &Path,
        arguments: &[&str],
        nodes: usize,
        rate: f64,
        budget: Option<SharedBudgetConfig>,
    ) -> Result<Group, GroupError> {
        Group::start_in(program, arguments, nodes, rate, budget, Surroundings::default())
    }

    /// The same in surroundings of its own.
    ///
    /// # Errors
    ///
    /// As [`Group::start`].
    pub fn start_in(
        program: &Path,
        arguments: &[&str],
        nodes: usize,
        rate: f64,
        budget: Option<SharedBudgetConfig>,
        surroundings: Surroundings,
    ) -> Result<Group, GroupError> {
        let mut group = Group::start_processes(program, arguments, nodes, rate, budget, surroundings)?;
        if !group.recovers() {
            return Err(GroupError::NotReady { status: group.control_service.status() });
        }
        Ok(group)
    }

    fn start_processes(
        program: &Path,
        arguments: &[&str],
        nodes: usize,
        rate: f64,
        budget: Option<SharedBudgetConfig>,
        surroundings: Surroundings,
    ) -> io::Result<Group> {
        let first = numbered_document(1, false).map_err(io::Error::other)?;
        let mut control_service = ControlServiceProcess::prepare(program, arguments, "test", &first)?;
        let mut shared_budget = match budget {
            Some(config) => {
                Some(SharedBudget::prepare(config, program, arguments, &mut control_service, &first)?)
            }
            None => None,
        };
        control_service.restart()?;
        let mut control_services = vec![control_service.address];
        if let Some(second) = shared_budget.as_mut().and_then(|shared| shared.second_control.as_mut()) {
            second.restart()?;
            control_services.push(second.address);
        }
        let version_numbers_reused = control_services.len() > 1;
        let folder = tempfile::tempdir()?;
        let registry = Registry::start()?;
        let budget_settings = shared_budget.as_ref().map(|shared| shared.config.operator_settings());
        let setup = NodeSetup {
            program,
            arguments,
            folder: folder.path(),
            registry: registry.address,
            dependency: shared_budget.as_ref().map(|shared| shared.dependency.address),
            control_services,
            stream_settings: format!("{STREAM_SETTINGS}{}", budget_settings.unwrap_or_default()),
            rate,
            surroundings,
        };
        let members = (0..nodes).map(|number| setup.start(number)).collect::<io::Result<Vec<_>>>()?;
        let mut history = History {
            version_numbers_reused,
            deadline: ms(DEADLINE_MS),
            grace: ms(GRACE_MS),
            ..History::default()
        };
        // Until it listens, what callers send is refused.
        (0..nodes).for_each(|node| history.fault_begins(node, FaultKind::Gone, now()));
        Ok(Group {
            folder,
            nodes: members,
            control_service,
            registry,
            history,
            shared_budget,
            control_service_suspended: false,
            old_counter_file: None,
            published_documents: 1,
            published_digest: shown_digest(&first),
            last_status_poll: Instant::now(),
            standings: vec![NodeStanding::default(); nodes],
        })
    }
}

impl NodeSetup<'_> {
    /// Starts a node with its executor, its proxies and its callers.
    fn start(&self, number: usize) -> io::Result<GroupNode> {
        let executor = Executor::start(WORKLOAD)?;
        let listen = free_address();
        let proxies = self.proxies(number, listen, &executor)?;
        let address = |link: Link| proxies[link as usize].address;
        let config = NodeConfig {
            program: self.program.into(),
            arguments: self.arguments.iter().map(|argument| (*argument).to_owned()).collect(),
            directory: self.folder.into(),
            name: format!("n{number}"),
            listen,
            executor: address(Link::Executor),
            registry: address(Link::Registry),
            database: Some(address(Link::Database)),
            control: vec![address(Link::Control)],
            stream: self.stream_settings.clone(),
            stop_ms: self.surroundings.stop_ms,
            log: std::env::var("RIG_LOG").unwrap_or_else(|_| "off".into()),
            environment: Vec::new(),
        };
        let callers = test_environment::start_late_callers(
            address(Link::Callers),
            self.rate,
            &["read"],
            self.surroundings.drain_notice_delay,
        );
        let idle_clients = (self.surroundings.idle_clients > 0)
            .then(|| IdleClients::start(listen, self.surroundings.idle_clients));
        Ok(GroupNode {
            node: config.start()?,
            executor,
            proxies,
            old_store: None,
            disk: 0,
            suspended: false,
            last_seen_running: Instant::now(),
            running: true,
            draining: false,
            may_exit: false,
            callers: Some(callers),
            idle_clients,
            stream_settings: self.stream_settings.clone(),
        })
    }

    /// A proxy for each [`Link`], in that order.
    fn proxies(&self, number: usize, listen: SocketAddr, executor: &Executor) -> io::Result<[FaultProxy; 5]> {
        let dependency = match self.dependency {
            Some(address) => address,
            None => database::start(CALL_DURATION)?,
        };
        Ok([
            FaultProxy::tcp(listen)?,
            FaultProxy::tcp(executor.address)?,
            FaultProxy::tcp(dependency)?,
            FaultProxy::udp(self.registry, number as u64)?,
            FaultProxy::tcp(self.control_services[number % self.control_services.len()])?,
        ])
    }
}
