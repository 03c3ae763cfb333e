//! A site of a simulated fleet: its lessor, what it owns, and its store.

use super::events::Event;
use super::network::Message;
use super::node::of_connection;
use super::{BUDGET, Fleet, local_time};
use hazelgrade::time::Time;
use hazelgrade_budget::lessor::{self, Lessor};
use hazelgrade_budget::ownership::{self, Ownership};
use hazelgrade_budget::protocol::SiteReport;
use hazelgrade_budget::stored::{LessorRecord, SiteLedger};

/// So long after it is due a timer fires, in milliseconds: past what clocks round.
const TIMER_SLACK_MS: f64 = 0.001;

/// What a site's disk holds.
#[derive(Clone)]
pub(super) struct SiteStore {
    pub(super) record: LessorRecord,
    pub(super) ledger: SiteLedger,
}

pub(super) struct Site {
    pub(super) lessor: Lessor,
    pub(super) ownership: Ownership,
    pub(super) up: bool,
    pub(super) paused: bool,
    /// Number of starts.
    pub(super) start: u64,
    clock_rate: f64,
    /// Milliseconds of the fleet's time at which its clock began.
    started_at_ms: f64,
    pub(super) store: SiteStore,
    /// The store as it was once.
    pub(super) old_store: SiteStore,
    /// What happened while it was paused.
    pub(super) deferred: Vec<Event>,
    /// When its lessor's timer fires, in milliseconds of the fleet's time.
    pub(super) timer_at_ms: f64,
}

pub(super) fn name(site: usize) -> String {
    format!("s{site}")
}

impl Site {
    pub(super) fn new(place: usize, clock_rate: f64) -> Site {
        let record = LessorRecord { site: name(place), ..LessorRecord::default() };
        let store = SiteStore { record: record.clone(), ledger: SiteLedger::default() };
        Site {
            lessor: Lessor::new(Time::from_ms(0.0), record).0,
            ownership: Ownership::new(&name(place), 1, SiteLedger::default()),
            up: false,
            paused: false,
            start: 0,
            clock_rate,
            started_at_ms: 0.0,
            old_store: store.clone(),
            store,
            deferred: Vec::new(),
            timer_at_ms: f64::MAX,
        }
    }
}

impl Fleet {
    pub(super) fn site_time(&self, place: usize) -> Time {
        let site = &self.sites[place];
        local_time(self.now_ms - site.started_at_ms, site.clock_rate)
    }

    pub(super) fn start_site(&mut self, place: usize) {
        let site = &mut self.sites[place];
        site.start += 1;
        site.up = true;
        site.paused = false;
        site.started_at_ms = self.now_ms;
        site.deferred.clear();
        let (lessor, first) = Lessor::new(local_time(0.0, site.clock_rate), site.store.record.clone());
        site.ownership = Ownership::new(&name(place), lessor.generation(), site.store.ledger.clone());
        site.lessor = lessor;
        if let lessor::Action::Store(record) = first {
            site.store.record = record;
        }
        let start = site.start;
        self.tell_lessor(place, lessor::Event::Stored(Ok(())));
        self.read_document(place);
        self.schedule(self.config.latency_ms, Event::ReportRound { site: place, start });
    }

    /// Has a site go by the document in effect.
    pub(super) fn read_document(&mut self, place: usize) {
        let digest = self.document_version.to_string();
        let terms = [(BUDGET.to_owned(), self.terms.clone())].into();
        let mut actions = Vec::new();
        self.sites[place].ownership.set_terms(digest, terms, &mut actions);
        self.carry_out_ownership(place, actions);
    }

    /// Passes an event to a lessor, and carries out what follows.
    pub(super) fn tell_lessor(&mut self, place: usize, event: lessor::Event) {
        let now = self.site_time(place);
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.sites[place].lessor.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    lessor::Action::Grant(connection, grant) => {
                        let (node, incarnation) = of_connection(connection);
                        self.send(Message::Grant { node, incarnation, grant });
                    }
                    lessor::Action::Nudge(connection) => {
                        let (node, incarnation) = of_connection(connection);
                        self.send(Message::Nudge { node, incarnation });
                    }
                    lessor::Action::Store(record) => {
                        self.sites[place].store.record = record;
                        events.push(lessor::Event::Stored(Ok(())));
                    }
                    lessor::Action::Log(_) => {}
                }
            }
        }
        self.schedule_lessor_timer(place, now);
    }

    fn schedule_lessor_timer(&mut self, place: usize, now: Time) {
        let site = &mut self.sites[place];
        let Some(wakes_at) = site.lessor.wakes_at(now) else { return };
        let at_ms = self.now_ms + wakes_at.since(now).as_ms() / site.clock_rate + TIMER_SLACK_MS;
        if at_ms < site.timer_at_ms {
            site.timer_at_ms = at_ms;
            let start = site.start;
            self.schedule(at_ms - self.now_ms, Event::LessorTimer { site: place, start });
        }
    }

    /// Carries out what a site's ownership wants, and has the lessor go by what is owned then.
    pub(super) fn carry_out_ownership(&mut self, place: usize, actions: Vec<ownership::Action>) {
        for action in actions {
            match action {
                ownership::Action::Store(ledger) => self.sites[place].store.ledger = ledger,
                ownership::Action::StaleStore(witness) => {
                    self.tell_lessor(place, lessor::Event::StaleStore(witness));
                }
                ownership::Action::Log(_) => {}
            }
        }
        let ownership = &self.sites[place].ownership;
        let terms = ownership.terms().clone();
        let owned = ownership.owned_by_budget();
        let confirmed = ownership.confirmed();
        self.tell_lessor(place, lessor::Event::TermsChanged { terms, owned });
        self.tell_lessor(place, lessor::Event::OtherSites(confirmed));
        self.lower_limit();
    }

    fn report(&self, from: usize, to: usize) -> SiteReport {
        let site = &self.sites[from];
        let overcommitted = site.lessor.overcommitted(BUDGET) > 0;
        let shortfalls = [(BUDGET.to_owned(), site.lessor.balance(BUDGET).shortfall)].into();
        site.ownership.report_to(&name(to), overcommitted, &shortfalls)
    }

    /// Sends what is free to sites with a shortfall, and reports to all other sites.
    pub(super) fn report_round(&mut self, place: usize) {
        let now = self.site_time(place);
        let site = &mut self.sites[place];
        let free = site.lessor.free(now, BUDGET).min(site.lessor.balance(BUDGET).surplus);
        let not_overcommitted =
            if site.lessor.overcommitted(BUDGET) == 0 { vec![BUDGET.to_owned()] } else { Vec::new() };
        let mut actions = Vec::new();
        site.ownership.send_units(&[(BUDGET.to_owned(), free)].into(), &not_overcommitted, &mut actions);
        self.carry_out_ownership(place, actions);
        for to in (0..self.sites.len()).filter(|to| *to != place) {
            let report = self.report(place, to);
            self.send(Message::Report { site: to, report });
        }
    }

    /// A smaller total is in effect once no lessor has booked more than it owns, and all together own no more than
    /// it.
    pub(super) fn lower_limit(&mut self) {
        if self.limit <= self.terms.total {
            return;
        }
        let all_within = (0..self.sites.len()).all(|place| {
            let site = &self.sites[place];
            let blocked = site.lessor.grants_blocked(self.site_time(place));
            site.up && site.lessor.overcommitted(BUDGET) == 0 && blocked.is_none()
        });
        let owned: u32 = self.sites.iter().map(|site| site.ownership.owned(BUDGET)).sum();
        if all_within && owned <= self.terms.total {
            self.limit = self.terms.total;
        }
    }
}
