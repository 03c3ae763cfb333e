//! A control service that watches a folder, publishes the documents in the folder to subscribed nodes, and reports
//! which version is in effect on which node.

mod connections;
mod counter_file;
mod dispatch;
mod file_names;
mod folder;
mod open_connection;
mod operator_client;
mod status;

pub use counter_file::{CounterFileError, read_counter};
pub use file_names::{SERVING_COUNTER_FILE, SERVING_DOCUMENT_FILE};
pub use operator_client::{RequestError, request_status, send_budget_command};

use crate::admission::Admission;
use crate::lessor_service::{LessorConfig, LessorError, LessorService, Metrics};
use crate::protocol::PublisherMessage;
use crate::publisher::{ConnectionId, Counter, Publisher};
use async_executor::LocalExecutor;
use async_io::Async;
use counter_file::write_counter;
use hazelgrade::time::Time;
use hazelgrade_config::Kind;
use open_connection::OpenConnection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Instant, SystemTime};

/// The most connections that may wait to be accepted. The limit is high because a whole fleet may connect at the same
/// time.
const LISTEN_BACKLOG: i32 = 4096;

/// The configuration of a control service.
#[derive(Clone, Debug)]
pub struct ControlServiceConfig {
    /// The folder with the documents, in which the counters are stored as well.
    pub documents: PathBuf,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The lineage to publish under. The default is the stored lineage, or a random one if none is stored.
    pub lineage: Option<String>,
    /// The configuration of the lessor of a site's budgets, if the control service runs one.
    pub lessor: Option<LessorConfig>,
    /// The rate at which subscribers are admitted.
    pub admission: AdmissionRate,
}

/// The rate at which a control service admits subscribers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRate {
    /// The long-term rate in subscribers per second.
    pub per_second: f64,
    /// The number of subscribers that are admitted at the same time after an idle period.
    pub burst: f64,
}

/// The reason why a control service can't start.
#[derive(Debug, thiserror::Error)]
pub enum ControlServiceError {
    /// The control service can't listen on the address.
    #[error("--listen {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A stored counter can't be read.
    #[error(transparent)]
    Counter(#[from] CounterFileError),
    /// A counter can't be stored.
    #[error("--documents {}: {source}", folder.display())]
    StoreCounter {
        /// The folder.
        folder: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The lessor can't start.
    #[error(transparent)]
    Lessor(#[from] LessorError),
}

/// A running control service.
struct ControlService {
    config: ControlServiceConfig,
    executor: Rc<LocalExecutor<'static>>,
    publishers: BTreeMap<Kind, RefCell<Publisher>>,
    /// The kind of document that a connection is subscribed to. Connections without an entry count as subscribed to the
    /// serving document.
    subscribed_kinds: RefCell<BTreeMap<ConnectionId, Kind>>,
    connections: RefCell<BTreeMap<ConnectionId, OpenConnection>>,
    last_connection_id: Cell<ConnectionId>,
    /// The errors of the documents that can't be published, by kind.
    document_errors: RefCell<BTreeMap<Kind, String>>,
    started_at: Instant,
    lessor: Option<Rc<LessorService>>,
}

/// Runs a control service until the future is dropped. If the control service runs a lessor, `metrics` is called with
/// the reports on the budgets several times per second.
///
/// # Errors
///
/// Returns why the control service can't start.
pub async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    config: ControlServiceConfig,
    metrics: Metrics,
) -> Result<(), ControlServiceError> {
    let listener = listen(config.listen)
        .map_err(|source| ControlServiceError::Listen { address: config.listen, source })?;
    let publishers = start_publishers(&config)?;
    let lessor = match &config.lessor {
        Some(lessor) => {
            Some(Rc::new(LessorService::open(lessor, &config.documents, config.listen, metrics)?))
        }
        None => None,
    };
    let service = Rc::new(ControlService {
        config,
        executor,
        publishers,
        subscribed_kinds: RefCell::default(),
        connections: RefCell::default(),
        last_connection_id: Cell::new(0),
        document_errors: RefCell::default(),
        started_at: Instant::now(),
        lessor,
    });
    service.spawn_lessor();
    let folder_watcher = service.clone();
    let _folder_watcher = service.executor.spawn(async move { folder_watcher.watch_folder().await });
    service.accept_connections(&listener).await;
    Ok(())
}

fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}

fn random_lineage() -> String {
    format!("l{:016x}", RandomState::new().hash_one(SystemTime::now()))
}

/// Creates a publisher for each kind of document. Each publisher continues from its stored counter.
fn start_publishers(
    config: &ControlServiceConfig,
) -> Result<BTreeMap<Kind, RefCell<Publisher>>, ControlServiceError> {
    let stored_lineage = read_counter(&config.documents, Kind::Serving)?.map(|counter| counter.lineage);
    let lineage = config.lineage.clone().or(stored_lineage).unwrap_or_else(random_lineage);
    let mut publishers = BTreeMap::new();
    for kind in Kind::ALL {
        // A counter of another lineage is ignored: its version numbers have no meaning in this lineage.
        let stored = read_counter(&config.documents, kind)?.filter(|counter| counter.lineage == lineage);
        let last = stored.and_then(|counter| counter.last);
        let counter = Counter { lineage: lineage.clone(), last };
        write_counter(&config.documents, kind, &counter).map_err(|source| {
            ControlServiceError::StoreCounter { folder: config.documents.clone(), source }
        })?;
        tracing::info!(listen = %config.listen, lineage, kind = kind.name(), ?last, "publisher started");
        let admission = Admission::new(config.admission.per_second, config.admission.burst);
        publishers.insert(kind, RefCell::new(Publisher::new(counter, admission)));
    }
    Ok(publishers)
}

impl ControlService {
    /// Returns the time since the start of the control service.
    fn now(&self) -> Time {
        Time::from_ms(self.started_at.elapsed().as_secs_f64() * 1000.0)
    }

    /// Starts the tasks of the lessor, if there is one: its rounds, and a connection to the control service of each
    /// other site.
    fn spawn_lessor(self: &Rc<Self>) {
        let Some(lessor) = &self.lessor else { return };
        let rounds = lessor.clone();
        let service = self.clone();
        let send = move |to, message: &PublisherMessage| service.send(to, message);
        self.executor.spawn(async move { rounds.run(send).await }).detach();
        for (site, address) in self.config.lessor.iter().flat_map(|lessor| lessor.peers.clone()) {
            let service = self.clone();
            let send = move |to, message: &PublisherMessage| service.send(to, message);
            let connection = lessor.clone().connect_to_site(site, address, self.executor.clone(), send);
            self.executor.spawn(connection).detach();
        }
    }
}
