//! The parts of an instance, made and joined to each other. Nothing runs yet.

use crate::program::configuration::Deployment;
use crate::routing::callers::Callers;
use crate::routing::calls::Calls;
use crate::routing::front::Front;
use crate::routing::hand::Hand;
use crate::routing::job::{Parts, Tally};
use crate::routing::notices::Notices;
use crate::routing::result_cache::ResultCache;
use crate::routing::rounds::Rounds;
use crate::transport::clients::Clients;
use crate::transport::database::Database;
use crate::transport::executor::Link;
use crate::transport::registry::Registry;
use crate::transport::tls::Tls;
use async_executor::LocalExecutor;
use hazelgrade_config::operator::TestFaults;
use hazelgrade_settings::DecodedSettings;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Idle connections to the dependency are closed after this; it drops them early itself, and opening one costs little.
const DEPENDENCY_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The parts of an instance.
pub struct Services {
    /// The executor of all tasks.
    pub tasks: Rc<LocalExecutor<'static>>,
    pub registry: Rc<Registry>,
    pub rounds: Rc<Rounds>,
    pub parts: Rc<Parts>,
    pub front: Rc<Front>,
    /// Set once shutdown is requested; heartbeats say not ready from then on.
    pub is_draining: Rc<Cell<bool>>,
}

impl Services {
    /// # Errors
    /// The address of the registry, if no socket can be opened for it.
    pub fn new(
        deployment: &Deployment,
        settings: DecodedSettings,
        test_faults: Option<TestFaults>,
    ) -> Result<Services, String> {
        let DecodedSettings { controller, host: host_settings } = settings;
        let addresses = deployment.addresses;
        let registry = Registry::new(addresses.registry)
            .map_err(|error| format!("field registry: {}: {error}", addresses.registry))?;
        tracing::info!(name = deployment.name, listen = %deployment.listen, "started");
        let tasks = Rc::new(LocalExecutor::new());
        let hand = Rc::new(Hand::default());
        let result_cache = Rc::new(ResultCache::new(deployment.max_result_cache_bytes()));
        let link = Rc::new(Link::new(addresses.executor));
        let rounds = Rc::new(Rounds::new(
            controller,
            host_settings.tick,
            hand.clone(),
            result_cache.clone(),
            link.clone(),
        ));
        if let Some(test_faults) = test_faults {
            tracing::warn!(?test_faults, "this node has faults injected, for tests");
            rounds.clock.skew(test_faults.clock_offset_ms, test_faults.clock_rate);
        }
        let max_connections = deployment.max_dependency_connections();
        let database = addresses
            .database
            .map(|address| Database::new(address, max_connections, DEPENDENCY_IDLE_TIMEOUT));
        let calls = Rc::new(Calls::new(database, hand.clone(), tasks.clone()));
        let parts = Rc::new(Parts {
            rounds: rounds.clone(),
            hand,
            result_cache,
            calls,
            link,
            site: RefCell::new(Rc::new(host_settings)),
            tally: RefCell::new(Tally::default()),
            callers: Callers::default(),
        });
        let front = Rc::new(Front {
            parts: parts.clone(),
            clients: Clients::new(deployment.max_client_connections()),
            tasks: tasks.clone(),
            bad_lines: Cell::new(0),
            tls: Rc::new(Tls::default()),
        });
        let is_draining = Rc::default();
        Ok(Services { tasks, registry: Rc::new(registry), rounds, parts, front, is_draining })
    }

    /// What turns messages of the executor into events of jobs.
    pub fn notices(&self) -> Notices {
        let Parts { rounds, hand, link, site, .. } = &*self.parts;
        Notices::new(rounds.clone(), hand.clone(), link.clone(), &site.borrow().gauge_names)
    }

    /// Runs a task until the exit.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task).detach();
    }
}
