//! A keeper of budgets on the control service's sockets: carries out what `keeper.rs` and `parts.rs` of the budget package
//! decide, keeps what has to survive, and links up with the keepers of other sites.
//!
//! What a site owns belongs to one store at one address. A store that was copied to another address is refused, one that is
//! in use too, and without a store there is no keeper: it is founded once, by an operator's word.

use crate::follow::bounded_line;
use crate::protocol::{LONGEST_LINE, Published, Said};
use crate::publisher::Connection;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::BufReader;
use hazelgrade::time::{Span, Time};
use hazelgrade_budget::lessor::{self, Lessor, StoreFailed};
use hazelgrade_budget::ownership::{self, Ownership, PeerStatus, REPORT_INTERVAL_MS};
use hazelgrade_budget::protocol::{LeaseRequest, OperatorCommand, SiteReport};
use hazelgrade_budget::stored::{LessorRecord, SiteLedger};
use hazelgrade_budget::{MAX_CLOCK_DRIFT_RATIO, Units, terms};
use hazelgrade_config::{Document, Version};
use hazelgrade_net::bell::Bell;
use hazelgrade_net::connect::connect;
use hazelgrade_net::ending::ConnectionEnd;
use hazelgrade_net::outbox::Outbox;
use hazelgrade_store::Store;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const STORE: &str = ".keeper.store";
const BOOK: &str = "budget.book";
const LEDGER: &str = "budget.ledger";
/// What a grant may last at most by any document: the longest lease and the longest use that one may name.
const LONGEST_MS: f64 = 70_000.0;
/// A link to another keeper is tried again after this.
const AGAIN: Duration = Duration::from_millis(300);
const MESSAGE_WITHIN: Duration = Duration::from_secs(5);
const OUTBOX_BYTES: usize = 256 * 1024;
/// After so long without a write that worked, the next is tried.
const KEEP_AGAIN_MS: f64 = 200.0;

/// How a keeper is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    pub site: String,
    /// The control services of other sites.
    pub peers: Vec<(String, SocketAddr)>,
    /// For tests: its store kills the process at this change, from 0.
    pub dies_at: Option<u64>,
}

/// What is told of the budgets now and then.
pub type Metrics = Box<dyn Fn(&BTreeMap<String, lessor::BudgetReport>)>;

pub struct Keeping {
    began: Instant,
    keeper: RefCell<Lessor>,
    owner: RefCell<Ownership>,
    store: RefCell<Store>,
    /// What is owned as far as the disk knows; what is more than that is not granted, and nobody hears of what is less.
    durable: RefCell<BTreeMap<String, Units>>,
    unsaved: Cell<bool>,
    version: RefCell<Option<Version>>,
    /// Goes by the document before the latest, as nodes went back from that.
    back: Cell<bool>,
    links: RefCell<BTreeMap<String, Rc<Outbox>>>,
    stirred: Bell,
    longest: Cell<Span>,
    metrics: Metrics,
}

fn path(documents: &Path) -> PathBuf {
    documents.join(STORE)
}

fn owner(site: &str, listen: SocketAddr) -> String {
    format!("the keeper of {site} at {listen}")
}

/// Makes the store of a keeper: by an operator's word, once for a site. `lost`: there was one before, whose grants may be in use.
pub fn found(documents: &Path, site: &str, listen: SocketAddr, lost: bool) -> Result<String, String> {
    let at = path(documents);
    if at.exists() {
        return Err(format!("{}: there is a keeper's store already", at.display()));
    }
    let failed = |fault: hazelgrade_store::Fault| format!("{}: {fault}", at.display());
    let mut store = Store::open(&at, &owner(site, listen)).map_err(failed)?;
    // Greater than any number that counts starts, so that nobody takes it for an earlier one.
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
    let generation = if lost { seconds } else { 0 };
    let book = LessorRecord {
        site: site.into(),
        generation,
        granted: lost,
        max_grant_ms: if lost { LONGEST_MS } else { 0.0 },
    };
    let ledger = SiteLedger::default();
    let (book, ledger) = (json!(book).to_string(), json!(ledger).to_string());
    let kept = store.keep(&[(BOOK, Some(book.as_bytes())), (LEDGER, Some(ledger.as_bytes()))]);
    kept.map_err(failed)?;
    let waits = if lost {
        format!("; it grants nothing new for {LONGEST_MS:.0} ms after its start")
    } else {
        String::new()
    };
    Ok(format!("{}: the keeper of {site} at {listen} is founded{waits}", at.display()))
}

fn read<T: serde::de::DeserializeOwned>(store: &mut Store, name: &str, shown: &str) -> Result<T, String> {
    let bytes = store.get(name).map_err(|fault| format!("{shown}: {fault}"))?;
    let bytes = bytes.ok_or_else(|| format!("{shown}: field {name}: is missing"))?;
    serde_json::from_slice(&bytes).map_err(|error| format!("{shown}: field {name}: {error}"))
}

impl Keeping {
    /// Opens the store of a keeper that was founded.
    pub fn open(
        setup: &Setup,
        documents: &Path,
        listen: SocketAddr,
        metrics: Metrics,
    ) -> Result<Keeping, String> {
        let (at, whose) = (path(documents), owner(&setup.site, listen));
        let shown = at.display().to_string();
        if !at.exists() {
            let how = "found it with `hazelgrade budget found`, with --lost if there was one before";
            return Err(format!("--keeper {}: {shown}: there is no store: {how}", setup.site));
        }
        let opened = match setup.dies_at {
            None => Store::open(&at, &whose),
            Some(dies_at) => Store::open_dying(&at, &whose, dies_at),
        };
        let mut store = opened.map_err(|fault| format!("--keeper {}: {shown}: {fault}", setup.site))?;
        let book: LessorRecord = read(&mut store, BOOK, &shown)?;
        let ledger: SiteLedger = read(&mut store, LEDGER, &shown)?;
        let began = Instant::now();
        let (keeper, first) = Lessor::new(Time::from_ms(0.0), book);
        let owner = Ownership::new(&setup.site, keeper.generation(), ledger);
        let keeping = Keeping {
            began,
            keeper: RefCell::new(keeper),
            owner: RefCell::new(owner),
            store: RefCell::new(store),
            durable: RefCell::default(),
            unsaved: Cell::new(false),
            version: RefCell::default(),
            back: Cell::new(false),
            links: RefCell::default(),
            stirred: Bell::default(),
            longest: Cell::new(Span::ZERO),
            metrics,
        };
        let mut todo = VecDeque::from([first]);
        while let Some(action) = todo.pop_front() {
            if let lessor::Action::Store(book) = action {
                let done = keeping.keep(BOOK, &json!(book));
                // Without a start that is counted this one can't be told from the one before.
                done.clone().map_err(|fault| format!("--keeper {}: {shown}: {fault}", setup.site))?;
                let mut out = Vec::new();
                keeping.keeper.borrow_mut().handle(
                    keeping.now(),
                    lessor::Event::Stored(done.map_err(StoreFailed)),
                    &mut out,
                );
                todo.extend(out);
            }
        }
        Ok(keeping)
    }

    /// Never set back, and none but this machine's own.
    fn now(&self) -> Time {
        Time::from_ms(self.began.elapsed().as_secs_f64() * 1000.0)
    }

    fn keep(&self, name: &str, value: &Value) -> Result<(), String> {
        let bytes = value.to_string();
        let kept = self.store.borrow_mut().keep(&[(name, Some(bytes.as_bytes()))]);
        kept.map_err(|fault| fault.to_string())
    }

    /// Tells the keeper, carries out what follows, and gives what is to be said to whom.
    fn tell(&self, event: lessor::Event, say: &mut impl FnMut(Connection, &Published)) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut out = Vec::new();
            self.keeper.borrow_mut().handle(self.now(), event, &mut out);
            for action in out {
                match action {
                    lessor::Action::Grant(to, grant) => say(to, &Published::Grant(grant)),
                    lessor::Action::Nudge(to) => say(to, &Published::Nudge),
                    // A few milliseconds, at a start and when terms change: asks that need it wait for it anyway.
                    lessor::Action::Store(book) => {
                        events.push_back(lessor::Event::Stored(
                            self.keep(BOOK, &json!(book)).map_err(StoreFailed),
                        ));
                    }
                    lessor::Action::Log(what) => tracing::info!("budgets: {what}"),
                }
            }
        }
        self.stirred.ring();
    }

    /// Carries out what the owner wants, and has the keeper go by what is owned then.
    fn owned(&self, out: Vec<ownership::Action>, say: &mut impl FnMut(Connection, &Published)) {
        for action in out {
            match action {
                ownership::Action::Store(ledger) => {
                    let kept = self.keep(LEDGER, &json!(ledger));
                    if let Err(why) = &kept {
                        tracing::error!(why, "what this site owns can't be kept: others don't hear of it");
                    }
                    self.unsaved.set(kept.is_err());
                }
                ownership::Action::StaleStore(who) => self.tell(lessor::Event::StaleStore(who), say),
                ownership::Action::Log(what) => tracing::info!("budgets: {what}"),
            }
        }
        let (terms, mut owned) = {
            let owner = self.owner.borrow();
            (owner.terms().clone(), owner.owned_by_budget())
        };
        if self.unsaved.get() {
            let durable = self.durable.borrow();
            owned
                .iter_mut()
                .for_each(|(name, units)| *units = (*units).min(durable.get(name).copied().unwrap_or(0)));
        } else {
            self.durable.replace(owned.clone());
        }
        self.tell(lessor::Event::TermsChanged { terms, owned }, say);
        let agreed = self.owner.borrow().confirmed();
        self.tell(lessor::Event::OtherSites(agreed), say);
    }

    /// Goes by this document: the latest, or the one before it if at least half of the nodes that tried it went back.
    pub fn document(
        &self,
        latest: (Version, &Document),
        before: Option<(Version, &Document)>,
        verdicts: (usize, usize),
        say: &mut impl FnMut(Connection, &Published),
    ) {
        let fails = verdicts.1 > 0 && verdicts.1 * 2 >= verdicts.0;
        let same = self.version.borrow().is_some_and(|version| version == latest.0);
        let back = fails || (same && self.back.get());
        if same && back == self.back.get() {
            return;
        }
        self.back.set(back);
        self.version.replace(Some(latest.0));
        let Some((version, document)) = (if back { before } else { Some(latest) }) else { return };
        if back {
            tracing::warn!(%version, "budgets: nodes went back from the latest document, and so does their keeper");
        }
        let terms = terms::read_all(document);
        let longest =
            terms.values().map(|terms| terms.lease + terms.max_use_time).max().unwrap_or(Span::ZERO);
        self.longest.set(longest * (1.0 + MAX_CLOCK_DRIFT_RATIO) * (1.0 + MAX_CLOCK_DRIFT_RATIO));
        let mut out = Vec::new();
        self.owner.borrow_mut().set_terms(version.digest.to_string(), terms, &mut out);
        self.owned(out, say);
    }

    pub fn asked(
        &self,
        connection: Connection,
        ask: LeaseRequest,
        say: &mut impl FnMut(Connection, &Published),
    ) {
        self.tell(lessor::Event::Requested(connection, ask), say);
    }

    pub fn gone(&self, connection: Connection, say: &mut impl FnMut(Connection, &Published)) {
        self.tell(lessor::Event::Disconnected(connection), say);
    }

    /// What another keeper told; gives what this one tells it.
    pub fn heard(
        &self,
        parts: &SiteReport,
        say: &mut impl FnMut(Connection, &Published),
    ) -> Option<SiteReport> {
        let mut out = Vec::new();
        self.owner.borrow_mut().on_report(self.now(), parts, &mut out);
        self.owned(out, say);
        self.told(&parts.from)
    }

    /// How this site stands, for another; nothing while the disk does not have it.
    fn told(&self, to: &str) -> Option<SiteReport> {
        if self.unsaved.get() {
            return None;
        }
        let keeper = self.keeper.borrow();
        let owner = self.owner.borrow();
        let budgets = owner.terms().keys();
        let over = budgets.clone().any(|name| keeper.overcommitted(name) > 0);
        let short = budgets.map(|name| (name.clone(), keeper.balance(name).shortfall)).collect();
        Some(owner.report_to(to, over, &short))
    }

    /// Sends what is free to those that are short, and tells all how this site stands.
    fn round(&self, say: &mut impl FnMut(Connection, &Published)) {
        let mut out = Vec::new();
        {
            let (keeper, now) = (self.keeper.borrow(), self.now());
            let mut owner = self.owner.borrow_mut();
            let names: Vec<String> = owner.terms().keys().cloned().collect();
            let free = names.into_iter().map(|name| {
                let units = keeper.free(now, &name).min(keeper.balance(&name).surplus);
                (name, units)
            });
            let free = free.collect();
            let within: Vec<String> =
                owner.terms().keys().filter(|name| keeper.overcommitted(name) == 0).cloned().collect();
            owner.send_units(&free, &within, &mut out);
            if self.unsaved.get() {
                out.push(ownership::Action::Store(owner.ledger().clone()));
            }
        }
        if !out.is_empty() {
            self.owned(out, say);
        }
        for (site, link) in &*self.links.borrow() {
            if let Some(parts) = self.told(site) {
                link.put(Said::Parts(parts).encode().as_bytes());
            }
        }
        (self.metrics)(&self.keeper.borrow().report(self.now()));
    }

    /// Does what is due until it is dropped.
    pub async fn run(&self, mut say: impl FnMut(Connection, &Published)) {
        let every = Span::from_ms(REPORT_INTERVAL_MS.min(KEEP_AGAIN_MS));
        let mut next = self.now();
        loop {
            let now = self.now();
            if next <= now {
                next = now + every;
                self.round(&mut say);
            }
            let wakes = self.keeper.borrow().wakes_at(now);
            if wakes.is_some_and(|at| at <= now) {
                self.tell(lessor::Event::Timer, &mut say);
                // What is due can't be put off for less than the clock can tell.
                Timer::after(Duration::from_millis(1)).await;
                continue;
            }
            let at = wakes.map_or(next, |at| at.min(next));
            let slept = async {
                Timer::after(Duration::from_secs_f64(at.since(now).as_ms() / 1000.0)).await;
            };
            or(self.stirred.heard(), slept).await;
        }
    }

    /// Keeps up the link to the keeper of another site.
    pub async fn link(
        self: Rc<Self>,
        site: String,
        address: SocketAddr,
        tasks: Rc<LocalExecutor<'static>>,
        mut say: impl FnMut(Connection, &Published),
    ) {
        loop {
            let end = match connect(address).await {
                Ok(stream) => {
                    let stream = Rc::new(stream);
                    let outbox = Rc::new(Outbox::new(OUTBOX_BYTES));
                    let writer = outbox.clone().writer(&tasks, stream.clone());
                    self.links.borrow_mut().insert(site.clone(), outbox);
                    let end = or(self.read(&stream, &mut say), writer).await;
                    self.links.borrow_mut().remove(&site);
                    end
                }
                Err(_) => ConnectionEnd::Unreachable,
            };
            tracing::debug!(site, ?end, "the link to another keeper ended");
            Timer::after(AGAIN).await;
        }
    }

    async fn read(
        &self,
        stream: &Async<TcpStream>,
        say: &mut impl FnMut(Connection, &Published),
    ) -> ConnectionEnd {
        let mut reader = BufReader::new(stream);
        let mut line = Vec::new();
        loop {
            // The other answers whatever it is told, so that silence means that it is gone.
            let silent = async {
                Timer::after(MESSAGE_WITHIN).await;
                Err(ConnectionEnd::Slow)
            };
            let read = bounded_line(&mut reader, &mut line, LONGEST_LINE, MESSAGE_WITHIN);
            if let Err(end) = or(read, silent).await {
                return end;
            }
            match Published::decode(&line) {
                Ok(Published::Parts(parts)) => {
                    self.heard(&parts, say);
                }
                Ok(_) => {}
                Err(why) => {
                    tracing::warn!(why, "another keeper sent what can't be read");
                    return ConnectionEnd::Unreadable;
                }
            }
        }
    }

    /// Carries out an operator's word.
    pub fn word(
        &self,
        word: &OperatorCommand,
        say: &mut impl FnMut(Connection, &Published),
    ) -> Result<Value, String> {
        let now = self.now();
        let mut out = Vec::new();
        let told = match word {
            OperatorCommand::Show => return Ok(self.report()),
            OperatorCommand::History => {
                let keeper = self.keeper.borrow();
                let past = keeper.history().map(|entry| json!([now.since(entry.at).as_ms(), entry.text]));
                return Ok(Value::Array(past.collect()));
            }
            OperatorCommand::Move { id, to, budget, units } => {
                let free = self.keeper.borrow().free(now, budget);
                self.owner
                    .borrow_mut()
                    .move_units(id, to, budget, *units, free, &mut out)
                    .map(|outcome| outcome.to_string())
                    .map_err(|error| error.to_string())
            }
            OperatorCommand::Retire { id, site } => {
                let safe_from = self.safe_from(site);
                self.owner
                    .borrow_mut()
                    .retire(id, now, site, safe_from, &mut out)
                    .map(|outcome| outcome.to_string())
                    .map_err(|error| error.to_string())
            }
            OperatorCommand::Open => {
                self.keeper.borrow_mut().reopen(now);
                self.owner.borrow_mut().confirm_all();
                Ok("new grants begin when every lease is over that may have been given".to_owned())
            }
        };
        self.owned(out, say);
        if self.unsaved.get() {
            return Err("the disk can't be written: say it again".into());
        }
        told.map(Value::String)
    }

    /// By when nothing that the keeper of a site granted can be in use, if it is gone: counted from when it was last heard,
    /// or from this keeper's start.
    fn safe_from(&self, site: &str) -> Time {
        let heard = self.owner.borrow().safe_to_retire_at(site, self.longest.get());
        heard.unwrap_or(Time::from_ms(0.0) + self.longest.get())
    }

    /// Who holds what, and since when.
    pub fn report(&self) -> Value {
        let (keeper, owner, now) = (self.keeper.borrow(), self.owner.borrow(), self.now());
        let peers = owner.peers().map(|PeerStatus { site, last_report }| {
            json!({
                "site": site,
                "heard_ms_ago": last_report.map(|at| now.since(at).as_ms()),
                "safe_in_ms": self.safe_from(site).since(now).as_ms(),
                "lost": owner.ledger().retired.get(site).is_some_and(|retired| !retired.readmitted),
            })
        });
        json!({
            "site": keeper.site(),
            "generation": keeper.generation(),
            "held_up": keeper.grants_blocked(now),
            "budgets": keeper.report(now),
            "sites": peers.collect::<Vec<Value>>(),
        })
    }
}
