//! The lessor of a site's budgets on the sockets of a control service: performs what the state machines of the
//! budget crate decide, stores what has to survive, and exchanges reports with the lessors of other sites.
//!
//! What a site owns belongs to one store at one address. A store that was copied to another address is refused, and
//! so is one in use; without a store there is no lessor. The store is created once, by an operator's command.

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

/// A ledger that could not be stored is written again after this time, in milliseconds.
const STORE_RETRY_INTERVAL_MS: f64 = 200.0;
/// The shortest wait for a timer.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

/// Called with the reports of the budgets, by name, several times per second.
pub type Metrics = Box<dyn Fn(&BTreeMap<String, lessor::BudgetReport>)>;

/// The lessor of a site's budgets.
pub struct LessorService {
    started_at: Instant,
    lessor: RefCell<Lessor>,
    ownership: RefCell<Ownership>,
    store: RefCell<LessorStore>,
    /// Units that the site owns of each budget, by the ledger on the disk. While the current ledger is not stored, no
    /// more than these are leased out, and nothing is reported to other sites.
    stored_units: RefCell<BTreeMap<String, Units>>,
    /// Whether the ledger is newer than the one on the disk.
    is_ledger_unsaved: Cell<bool>,
    /// The current version of the budgets.
    version: RefCell<Option<Version>>,
    /// Whether the version before the current one is in effect, as nodes rolled back from the current one.
    is_rolled_back: Cell<bool>,
    /// The write queue of the connection to each other site that is connected.
    site_connections: RefCell<BTreeMap<String, Rc<WriteQueue>>>,
    /// Notified when timers may have changed.
    changed: Notify,
    /// The longest time for which units of a lease may be in use, clock drift included.
    max_lease_and_use: Cell<Span>,
    metrics: Metrics,
}

impl LessorService {
    /// Starts a lessor with the store that was created for it.
    ///
    /// # Errors
    ///
    /// Why the store can't be used.
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
        let (lessor, first_action) = Lessor::new(Time::from_ms(0.0), record);
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
            changed: Notify::default(),
            max_lease_and_use: Cell::new(Span::ZERO),
            metrics,
        };
        service.store_start(first_action)?;
        Ok(service)
    }

    /// Stores the generation of this start: without it this start can't be told from the one before.
    fn store_start(&self, first_action: lessor::Action) -> Result<(), LessorError> {
        let mut actions = VecDeque::from([first_action]);
        while let Some(action) = actions.pop_front() {
            if let lessor::Action::Store(record) = action {
                self.store.borrow_mut().write_first_record(&record)?;
                let mut next_actions = Vec::new();
                let event = lessor::Event::Stored(Ok(()));
                self.lessor.borrow_mut().handle(self.now(), event, &mut next_actions);
                actions.extend(next_actions);
            }
        }
        Ok(())
    }

    /// This machine's monotonic clock, from the start of the lessor.
    fn now(&self) -> Time {
        Time::from_ms(self.started_at.elapsed().as_secs_f64() * 1000.0)
    }

    /// Passes an event to the lessor and performs its actions.
    fn notify_lessor(&self, event: lessor::Event, send: &mut impl FnMut(ConnectionId, &PublisherMessage)) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.lessor.borrow_mut().handle(self.now(), event, &mut actions);
            for action in actions {
                match action {
                    lessor::Action::Grant(to, grant) => send(to, &PublisherMessage::LeaseGrant(grant)),
                    lessor::Action::Nudge(to) => send(to, &PublisherMessage::RequestLeases),
                    // This blocks for some milliseconds, at a start and when terms change; the requests that need it
                    // wait anyway.
                    lessor::Action::Store(record) => {
                        let result = self.store.borrow_mut().write_record(&record);
                        events.push_back(lessor::Event::Stored(result));
                    }
                    lessor::Action::Log(text) => tracing::info!("budgets: {text}"),
                }
            }
        }
        self.changed.notify();
    }

    /// Performs actions of the ownership, and passes to the lessor what the site owns then.
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
                            "the ledger can't be stored: nothing is reported to other sites"
                        );
                    }
                    self.is_ledger_unsaved.set(result.is_err());
                }
                ownership::Action::StaleStore(by) => self.notify_lessor(lessor::Event::StaleStore(by), send),
                ownership::Action::Log(text) => tracing::info!("budgets: {text}"),
            }
        }
        let (terms, owned) = {
            let ownership = self.ownership.borrow();
            (ownership.terms().clone(), ownership.owned_by_budget())
        };
        let owned = self.limit_to_stored(owned);
        self.notify_lessor(lessor::Event::TermsChanged { terms, owned }, send);
        let agreed = self.ownership.borrow().confirmed();
        self.notify_lessor(lessor::Event::OtherSites(agreed), send);
    }

    /// Limits owned units to those of the ledger on the disk.
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

    /// Puts the current version into effect, or the one before it if at least half of the nodes that answered failed.
    pub(crate) fn on_document(
        &self,
        current: VersionedDocument<'_>,
        previous: Option<VersionedDocument<'_>>,
        rollout: Rollout,
        send: &mut impl FnMut(ConnectionId, &PublisherMessage),
    ) {
        let has_failed = rollout.failed > 0 && rollout.failed * 2 >= rollout.answered;
        let is_known = self.version.borrow().is_some_and(|version| version == current.version);
        let is_rolled_back = has_failed || (is_known && self.is_rolled_back.get());
        if is_known && is_rolled_back == self.is_rolled_back.get() {
            return;
        }
        self.is_rolled_back.set(is_rolled_back);
        self.version.replace(Some(current.version));
        let Some(chosen) = (if is_rolled_back { previous } else { Some(current) }) else { return };
        let version = chosen.version;
        if is_rolled_back {
            tracing::warn!(%version, "budgets: nodes rolled back from the current version, and so does the lessor");
        }
        let terms = terms::read_all(chosen.document);
        let longest = terms.values().map(|terms| terms.lease + terms.max_use_time).max();
        let longest = longest.unwrap_or(Span::ZERO);
        self.max_lease_and_use.set(longest * (1.0 + MAX_CLOCK_DRIFT_RATIO) * (1.0 + MAX_CLOCK_DRIFT_RATIO));
        let mut actions = Vec::new();
        self.ownership.borrow_mut().set_terms(version.digest.to_string(), terms, &mut actions);
        self.perform_ownership_actions(actions, send);
    }

    /// A lease holder requests leases.
    pub(crate) fn on_lease_request(
        &self,
        connection: ConnectionId,
        request: LeaseRequest,
        send: &mut impl FnMut(ConnectionId, &PublisherMessage),
    ) {
        self.notify_lessor(lessor::Event::Requested(connection, request), send);
    }

    /// The connection of a lease holder ended.
    pub(crate) fn on_disconnected(
        &self,
        connection: ConnectionId,
        send: &mut impl FnMut(ConnectionId, &PublisherMessage),
    ) {
        self.notify_lessor(lessor::Event::Disconnected(connection), send);
    }

    /// Runs rounds and timers until the future is dropped.
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
            or(self.changed.notified(), timer_fired).await;
        }
    }

    /// Sends units to other sites, reports to all sites, and updates the metrics.
    fn run_round(&self, send: &mut impl FnMut(ConnectionId, &PublisherMessage)) {
        let actions = self.send_units_to_sites();
        if !actions.is_empty() {
            self.perform_ownership_actions(actions, send);
        }
        self.report_to_sites();
        (self.metrics)(&self.lessor.borrow().report(self.now()));
    }
}
