//! The lessor of a site's budgets on the sockets of a control service: performs the actions of the state machines of
//! the budget crate, stores the state that has to survive a restart, and exchanges reports with the lessors of other
//! sites.
//!
//! The units that a site owns are recorded in one store, which belongs to one listening address. A lessor doesn't start
//! without a store, with a store that was copied from another address, or with a store that is in use. An operator's
//! command creates the store once.

mod commands;
mod config;
mod error;
mod sites;
mod store;

pub use config::LessorConfig;
pub use error::{BudgetCommandError, LessorError};
pub use store::{LostStore, create_store};

use crate::protocol::PublisherMessage;
use crate::publisher::{ConnectionId, Rollout, VersionedDocument};
use async_io::Timer;
use futures_lite::future::or;
use hazelgrade::time::{Span, Time};
use hazelgrade_budget::lessor::{self, Lessor};
use hazelgrade_budget::ownership::{self, Ownership, REPORT_INTERVAL_MS};
use hazelgrade_budget::protocol::LeaseRequest;
use hazelgrade_budget::{MAX_CLOCK_DRIFT_RATIO, Units, terms};
use hazelgrade_config::Version;
use hazelgrade_net::notify::Notify;
use hazelgrade_net::write_queue::WriteQueue;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::LessorStore;

/// The interval between attempts to write a ledger that could not be stored, in milliseconds.
const STORE_RETRY_INTERVAL_MS: f64 = 200.0;
/// The pause after a timer that was due, before the timers are checked again.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

/// A function that is called with the reports on the budgets, by budget name, several times per second.
pub type Metrics = Box<dyn Fn(&BTreeMap<String, lessor::BudgetReport>)>;

/// The running lessor of a site's budgets.
pub struct LessorService {
    started_at: Instant,
    lessor: RefCell<Lessor>,
    ownership: RefCell<Ownership>,
    store: RefCell<LessorStore>,
    /// The units of each budget that the site owns according to the ledger on the disk. While the current ledger is not
    /// stored, no more than these units are leased out, and no reports are sent to other sites.
    stored_units: RefCell<BTreeMap<String, Units>>,
    /// Whether the current ledger differs from the ledger on the disk because it could not be stored.
    is_ledger_unsaved: Cell<bool>,
    /// The current version of the budgets document.
    version: RefCell<Option<Version>>,
    /// Whether the previous version is in effect because nodes rolled back from the current version.
    is_rolled_back: Cell<bool>,
    /// The write queues of the connections to the other sites, by site name. Sites without a connection have no entry.
    site_connections: RefCell<BTreeMap<String, Rc<WriteQueue>>>,
    /// Notified when the times of the lessor's timers may have changed.
    timers_changed: Notify,
    /// The longest time for which units of a lease may be in use under the document in effect, clock drift included.
    max_lease_and_use: Cell<Span>,
    /// Called in each round with the reports on the budgets.
    metrics: Metrics,
}

impl LessorService {
    /// Opens the store of a lessor, stores the generation of this start, and returns the lessor.
    ///
    /// # Errors
    ///
    /// Returns why the store can't be used.
    pub fn open(
        config: &LessorConfig,
        documents: &Path,
        listen: SocketAddr,
        metrics: Metrics,
    ) -> Result<LessorService, LessorError> {
        let mut store = LessorStore::open(config, documents, listen)?;
        let record = store.read_record()?;
        let ledger = store.read_ledger()?;
        let started_at = Instant::now();
        let (lessor, initial_action) = Lessor::new(Time::from_ms(0.0), record);
        let ownership = Ownership::new(&config.site, lessor.generation(), ledger);
        let service = LessorService {
            started_at,
            lessor: RefCell::new(lessor),
            ownership: RefCell::new(ownership),
            store: RefCell::new(store),
            stored_units: RefCell::default(),
            is_ledger_unsaved: Cell::new(false),
            version: RefCell::default(),
            is_rolled_back: Cell::new(false),
            site_connections: RefCell::default(),
            timers_changed: Notify::default(),
            max_lease_and_use: Cell::new(Span::ZERO),
            metrics,
        };
        service.store_generation(initial_action)?;
        Ok(service)
    }

    /// Stores the generation of this start. Without a stored generation, this start could not be distinguished from
    /// the previous one.
    fn store_generation(&self, initial_action: lessor::Action) -> Result<(), LessorError> {
        let mut actions = VecDeque::from([initial_action]);
        while let Some(action) = actions.pop_front() {
            if let lessor::Action::Store(record) = action {
                self.store.borrow_mut().write_start_record(&record)?;
                let mut next_actions = Vec::new();
                let event = lessor::Event::Stored(Ok(()));
                self.lessor.borrow_mut().handle(self.now(), event, &mut next_actions);
                actions.extend(next_actions);
            }
        }
        Ok(())
    }

    /// Returns the time since the start of the lessor by the monotonic clock of the machine.
    fn now(&self) -> Time {
        Time::from_ms(self.started_at.elapsed().as_secs_f64() * 1000.0)
    }

    /// Passes an event to the lessor and performs the resulting actions.
    fn notify_lessor(&self, event: lessor::Event, send: &mut impl FnMut(ConnectionId, &PublisherMessage)) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.lessor.borrow_mut().handle(self.now(), event, &mut actions);
            for action in actions {
                match action {
                    lessor::Action::Grant(to, grant) => send(to, &PublisherMessage::LeaseGrant(grant)),
                    lessor::Action::Nudge(to) => send(to, &PublisherMessage::RequestLeases),
                    // The write blocks the thread for some milliseconds, at a start and when terms change. Requests
                    // that need the record have to wait for the disk in any case.
                    lessor::Action::Store(record) => {
                        let result = self.store.borrow_mut().write_record(&record);
                        events.push_back(lessor::Event::Stored(result));
                    }
                    lessor::Action::Log(text) => tracing::info!("budgets: {text}"),
                }
            }
        }
        self.timers_changed.notify();
    }

    /// Performs actions of the ownership state machine, and passes the resulting terms, owned units and confirmations
    /// to the lessor.
    fn perform_ownership_actions(
        &self,
        actions: Vec<ownership::Action>,
        send: &mut impl FnMut(ConnectionId, &PublisherMessage),
    ) {
        for action in actions {
            match action {
                ownership::Action::Store(ledger) => {
                    let result = self.store.borrow_mut().write_ledger(&ledger);
                    if let Err(reason) = &result {
                        tracing::error!(
                            reason,
                            "ledger can't be stored; no reports are sent to other sites until it is stored"
                        );
                    }
                    self.is_ledger_unsaved.set(result.is_err());
                }
                ownership::Action::StaleStore(witness) => {
                    self.notify_lessor(lessor::Event::StaleStore(witness), send)
                }
                ownership::Action::Log(text) => tracing::info!("budgets: {text}"),
            }
        }
        let (terms, owned) = {
            let ownership = self.ownership.borrow();
            (ownership.terms().clone(), ownership.owned_by_budget())
        };
        let owned = self.limit_to_stored(owned);
        self.notify_lessor(lessor::Event::TermsChanged { terms, owned }, send);
        let confirmed = self.ownership.borrow().confirmed();
        self.notify_lessor(lessor::Event::OtherSites(confirmed), send);
    }

    /// Limits the owned units of each budget to the units in the ledger on the disk.
    fn limit_to_stored(&self, mut owned: BTreeMap<String, Units>) -> BTreeMap<String, Units> {
        if !self.is_ledger_unsaved.get() {
            self.stored_units.replace(owned.clone());
            return owned;
        }
        let stored = self.stored_units.borrow();
        for (name, units) in &mut owned {
            *units = (*units).min(stored.get(name).copied().unwrap_or(0));
        }
        owned
    }

    /// Puts the current version of the budgets into effect, or the previous version if at least half of the nodes that
    /// answered failed with the current version.
    pub(crate) fn on_document(
        &self,
        current: VersionedDocument<'_>,
        previous: Option<VersionedDocument<'_>>,
        rollout: Rollout,
        send: &mut impl FnMut(ConnectionId, &PublisherMessage),
    ) {
        let has_failed = rollout.failed > 0 && rollout.failed * 2 >= rollout.answered;
        let is_unchanged = self.version.borrow().is_some_and(|version| version == current.version);
        let is_rolled_back = has_failed || (is_unchanged && self.is_rolled_back.get());
        if is_unchanged && is_rolled_back == self.is_rolled_back.get() {
            return;
        }
        self.is_rolled_back.set(is_rolled_back);
        self.version.replace(Some(current.version));
        let Some(chosen) = (if is_rolled_back { previous } else { Some(current) }) else { return };
        let version = chosen.version;
        if is_rolled_back {
            tracing::warn!(%version, "budgets: nodes failed with the current version; the lessor rolls back");
        }
        let terms = terms::read_all(chosen.document);
        let longest = terms.values().map(|terms| terms.lease + terms.max_use_time).max();
        let longest = longest.unwrap_or(Span::ZERO);
        self.max_lease_and_use.set(longest * (1.0 + MAX_CLOCK_DRIFT_RATIO) * (1.0 + MAX_CLOCK_DRIFT_RATIO));
        let mut actions = Vec::new();
        self.ownership.borrow_mut().set_terms(version.digest.to_string(), terms, &mut actions);
        self.perform_ownership_actions(actions, send);
    }

    /// Handles the request of a lease holder for leases.
    pub(crate) fn on_lease_request(
        &self,
        connection: ConnectionId,
        request: LeaseRequest,
        send: &mut impl FnMut(ConnectionId, &PublisherMessage),
    ) {
        self.notify_lessor(lessor::Event::Requested(connection, request), send);
    }

    /// Handles the end of the connection of a lease holder.
    pub(crate) fn on_disconnected(
        &self,
        connection: ConnectionId,
        send: &mut impl FnMut(ConnectionId, &PublisherMessage),
    ) {
        self.notify_lessor(lessor::Event::Disconnected(connection), send);
    }

    /// Runs the rounds and timers of the lessor until the future is dropped.
    pub(crate) async fn run(&self, mut send: impl FnMut(ConnectionId, &PublisherMessage)) {
        let interval = Span::from_ms(REPORT_INTERVAL_MS.min(STORE_RETRY_INTERVAL_MS));
        let mut next_round = self.now();
        loop {
            let now = self.now();
            if next_round <= now {
                next_round = now + interval;
                self.run_round(&mut send);
            }
            let next_timer = self.lessor.borrow().wakes_at(now);
            if next_timer.is_some_and(|at| at <= now) {
                self.notify_lessor(lessor::Event::Timer, &mut send);
                Timer::after(MIN_TIMER_DELAY).await;
                continue;
            }
            let wake_at = next_timer.map_or(next_round, |at| at.min(next_round));
            let timer_fired = async {
                Timer::after(Duration::from_secs_f64(wake_at.since(now).as_ms() / 1000.0)).await;
            };
            or(self.timers_changed.notified(), timer_fired).await;
        }
    }

    /// Transfers units to other sites, sends reports to all connected sites, and updates the metrics.
    fn run_round(&self, send: &mut impl FnMut(ConnectionId, &PublisherMessage)) {
        let actions = self.send_units_to_sites();
        if !actions.is_empty() {
            self.perform_ownership_actions(actions, send);
        }
        self.report_to_sites();
        (self.metrics)(&self.lessor.borrow().report(self.now()));
    }
}
