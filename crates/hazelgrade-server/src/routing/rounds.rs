//! The rounds: owns the module, gathers what came in, calls the module at most once a tick and when it asked
//! to be woken, and hands each decision to its job.

use super::budgets::Seat;
use super::clock::Clock;
use super::hand::{Hand, Turn};
use super::result_cache::ResultCache;
use crate::protocol::executor::{self, Command};
use crate::protocol::jsonrpc::Answer;
use crate::transport::executor::Link;
use async_io::Timer;
use futures_lite::future::or;
use hazelgrade::api::{CallLease, Decisions, Job, JobId, Outcome, SettingsUpdate};
use hazelgrade::controller::{Controller, EventSink};
use hazelgrade::time::{Span, Time};
use hazelgrade_net::bell::Bell;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the gauges may take; a timer that is due goes on without them then.
const GAUGES_WITHIN: Duration = Duration::from_millis(25);
/// Reports to the registry show four times a second that the process runs: after a longer gap it stood still.
const GAP: f64 = 300.0;
/// What came while it stood still is taken up within this; the order in which tasks run then is chance.
const AFTER_GAP: f64 = 50.0;
/// Timers that may be set at once; the module needs the soonest only.
const TIMERS: usize = 256;

/// What came in.
#[derive(Debug)]
pub enum Event {
    Arrived(Job),
    RunEnded(JobId, Outcome, Span),
    AtCall(JobId),
    CallEnded(JobId, Outcome, Span),
    CallerGone(JobId),
    Leaving(Time),
    Woke(u64, Option<f64>),
    /// A part of what all nodes may call below.
    Allowed(CallLease),
}

pub struct Rounds {
    control: RefCell<Controller>,
    pub clock: Clock,
    tick: Duration,
    events: RefCell<Vec<Event>>,
    came: Bell,
    open: Cell<bool>,
    timers: RefCell<BTreeSet<(Time, u64)>>,
    /// Timers that are due, until when each waits for the gauges.
    due: RefCell<BTreeMap<u64, Instant>>,
    /// When the last question was sent that the executor answered: it has all that was sent before.
    proved: Cell<Instant>,
    /// When the process was last seen to run.
    alive: Cell<Time>,
    /// From when to when it last stood still.
    still: Cell<(Time, Time)>,
    said: Cell<Option<f64>>,
    good: Cell<bool>,
    /// There is something to serve by.
    ready: Cell<bool>,
    health_changed: Bell,
    /// Parts of what all nodes share, where budgets are on.
    seat: RefCell<Option<Rc<Seat>>>,
    hand: Rc<Hand>,
    result_cache: Rc<ResultCache>,
    link: Rc<Link>,
    pub rounds: Cell<u64>,
    pub longest: Cell<Duration>,
}

impl Rounds {
    pub fn new(
        control: Controller,
        tick: Span,
        hand: Rc<Hand>,
        result_cache: Rc<ResultCache>,
        link: Rc<Link>,
    ) -> Rounds {
        let clock = Clock::default();
        Rounds {
            control: RefCell::new(control),
            alive: Cell::new(clock.now()),
            still: Cell::new((clock.now(), Time::from_ms(0.0))),
            clock,
            tick: Duration::from_secs_f64(tick.as_ms() / 1000.0),
            events: RefCell::default(),
            came: Bell::default(),
            open: Cell::new(false),
            timers: RefCell::default(),
            due: RefCell::default(),
            proved: Cell::new(Instant::now()),
            said: Cell::new(None),
            good: Cell::new(true),
            ready: Cell::new(true),
            health_changed: Bell::default(),
            seat: RefCell::default(),
            hand,
            result_cache,
            link,
            rounds: Cell::new(0),
            longest: Cell::new(Duration::ZERO),
        }
    }

    pub fn tell(&self, event: Event) {
        self.events.borrow_mut().push(event);
        self.came.ring();
    }

    /// The executor is up: the module's clock starts with the first round, so there is none before.
    pub fn begin(&self) {
        self.open.set(true);
        self.came.ring();
    }

    /// The value to say to callers.
    pub fn said(&self) -> Option<f64> {
        self.said.get()
    }

    pub fn good(&self) -> bool {
        self.good.get() && self.ready.get()
    }

    /// Whether there is something to serve by.
    pub fn set_ready(&self, ready: bool) {
        if self.ready.replace(ready) != ready {
            self.health_changed.ring();
        }
    }

    /// Other figures to go by, from the next round on.
    pub fn revise(&self, to: SettingsUpdate) -> bool {
        self.control.borrow_mut().update_settings(self.clock.now(), to)
    }

    /// From now on calls below go by this node's part of what all nodes share.
    pub fn by_budgets(&self, seat: Rc<Seat>) {
        if let Some(allowance) = seat.allowance(self.clock.now()) {
            self.tell(Event::Allowed(allowance));
        }
        self.seat.replace(Some(seat));
    }

    pub fn seat(&self) -> Option<Rc<Seat>> {
        self.seat.borrow().clone()
    }

    pub async fn health_changed(&self) {
        self.health_changed.heard().await;
    }

    /// The process runs now; gives when it was last seen to, before it stood still if that is just over.
    pub fn alive(&self) -> Time {
        let now = self.clock.now();
        let before = self.alive.replace(now);
        if now.since(before) > Span::from_ms(GAP) {
            self.still.set((before, now));
        }
        let (from, to) = self.still.get();
        if now.since(to) < Span::from_ms(AFTER_GAP) { from } else { before }
    }

    /// All that was sent to the executor before this has reached it.
    pub fn proved(&self) -> Instant {
        self.proved.get()
    }

    /// All that was sent to the executor up to then has reached it.
    pub fn prove(&self, sent: Instant) {
        self.proved.set(self.proved.get().max(sent));
    }

    /// The registry is to hear at once.
    pub fn beat_now(&self) {
        self.health_changed.ring();
    }

    /// The gauges came, for the timer that asked for them.
    pub fn gauges(&self, ticket: &str, cores_used: Option<f64>) {
        let Ok(token) = ticket.parse() else { return };
        if let Some(by) = self.due.borrow_mut().remove(&token) {
            self.prove(by - GAUGES_WITHIN);
            self.tell(Event::Woke(token, cores_used));
        }
    }

    pub async fn run(&self) {
        while !self.open.get() {
            self.came.heard().await;
        }
        loop {
            self.round();
            let next = Instant::now() + self.tick;
            while self.events.borrow().is_empty() {
                self.wait().await;
            }
            Timer::at(next).await;
        }
    }

    /// Until something came in or a timer is due; for that the gauges are asked first.
    async fn wait(&self) {
        let now = self.clock.now();
        let timer = self.timers.borrow().first().copied();
        if let Some((at, token)) = timer.filter(|(at, _)| *at <= now) {
            self.timers.borrow_mut().remove(&(at, token));
            self.due.borrow_mut().insert(token, Instant::now() + GAUGES_WITHIN);
            let ticket = token.to_string();
            self.link.send(&executor::encode(&Command::Gauges { ticket: &ticket }));
            return;
        }
        let late = self.due.borrow().iter().find(|(_, by)| **by <= Instant::now()).map(|(token, _)| *token);
        if let Some(token) = late {
            self.due.borrow_mut().remove(&token);
            return self.tell(Event::Woke(token, None));
        }
        let timer =
            timer.map(|(at, _)| Instant::now() + Duration::from_secs_f64(at.since(now).as_ms() / 1000.0));
        let due = self.due.borrow().values().min().copied();
        match timer.into_iter().chain(due).min() {
            Some(at) => {
                let slept = async {
                    Timer::at(at).await;
                };
                or(self.came.heard(), slept).await;
            }
            None => self.came.heard().await,
        }
    }

    fn round(&self) {
        let (began, now) = (Instant::now(), self.clock.now());
        let events = self.events.take();
        let feed = |sink: &mut EventSink| {
            for event in events {
                match event {
                    Event::Arrived(job) => sink.job_arrived(job),
                    Event::RunEnded(id, outcome, took) => sink.run_ended(&id, outcome, took),
                    Event::AtCall(id) => sink.call_requested(&id),
                    Event::CallEnded(id, outcome, took) => sink.call_ended(&id, outcome, took),
                    Event::CallerGone(id) => sink.caller_disconnected(&id),
                    Event::Leaving(stop) => sink.drain_started(stop),
                    Event::Woke(token, cores_used) => sink.timer_fired(token, cores_used),
                    Event::Allowed(allowance) => sink.call_lease_updated(allowance),
                }
            }
        };
        self.control.borrow_mut().round(now, feed, &mut Writer { rounds: self, now });
        if let Some(seat) = &*self.seat.borrow() {
            seat.uses(self.control.borrow_mut().call_demand(now));
        }
        self.alive();
        self.rounds.set(self.rounds.get() + 1);
        self.longest.set(self.longest.get().max(began.elapsed()));
    }
}

/// Takes the decisions of one round.
struct Writer<'a> {
    rounds: &'a Rounds,
    now: Time,
}

impl Writer<'_> {
    fn turn(&self, id: &JobId, turn: Turn) {
        self.rounds.hand.send(id, turn);
    }
}

impl Decisions for Writer<'_> {
    fn start_run(&mut self, id: &JobId) {
        self.turn(id, Turn::Run);
    }

    fn reject(&mut self, id: &JobId, not_elsewhere: bool, retry_after: Span) {
        self.turn(id, Turn::Answer(Answer::Rejected { not_elsewhere, retry_after }));
    }

    fn fail(&mut self, id: &JobId) {
        self.turn(id, Turn::Answer(Answer::Failed));
    }

    fn start_call(&mut self, id: &JobId, within: Span) {
        self.turn(id, Turn::Call(within));
    }

    fn skip_call(&mut self, id: &JobId) {
        self.turn(id, Turn::SkipCall);
    }

    fn cancel_run(&mut self, id: &JobId) {
        self.turn(id, Turn::Stop);
    }

    fn await_original(&mut self, id: &JobId) {
        self.turn(id, Turn::Share);
    }

    fn store_record(&mut self, id: &JobId, span: Span) {
        self.rounds.result_cache.remember(id, self.now, span);
    }

    fn remove_record(&mut self, id: &JobId) {
        self.rounds.result_cache.forget(id);
    }

    fn publish_load_signal(&mut self, value: f64) {
        self.rounds.said.set(Some(value));
    }

    fn publish_health(&mut self, good: bool, _from_store: bool) {
        if self.rounds.good.replace(good) != good {
            self.rounds.health_changed.ring();
        }
    }

    fn set_timer(&mut self, at: Time, token: u64) {
        let mut timers = self.rounds.timers.borrow_mut();
        timers.insert((at, token));
        if timers.len() > TIMERS {
            timers.pop_last();
        }
    }

    fn limited_by_lease(&mut self, id: &JobId) {
        tracing::debug!(
            job = &**id,
            "rejected for want of a part of what all nodes share, not by a full queue"
        );
        if let Some(seat) = &*self.rounds.seat.borrow() {
            seat.short.set(seat.short.get() + 1);
        }
    }

    fn log(&mut self, text: &str) {
        tracing::debug!(text, "the module notes");
    }
}
