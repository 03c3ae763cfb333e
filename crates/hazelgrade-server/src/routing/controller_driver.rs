//! Drives the controller: collects events, runs a round while events are pending but at most once per tick, and passes
//! each decision to the task of its job. A timer that is due counts as an event.

use super::budget_share::BudgetShare;
use super::clock::Clock;
use super::in_flight::{InFlightTable, JobEvent};
use super::liveness::Liveness;
use super::result_cache::ResultCache;
use super::timers::Timers;
use crate::protocol::executor::{self, Command};
use crate::protocol::jsonrpc::Answer;
use crate::transport::executor::ExecutorLink;
use async_io::Timer;
use futures_lite::future::or;
use hazelgrade::api::{CallLease, Decisions, Job, JobId, Outcome, SettingsUpdate};
use hazelgrade::controller::{Controller, EventSink};
use hazelgrade::time::{Span, Time};
use hazelgrade_net::notify::Notify;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An event for the controller's next round.
#[derive(Debug)]
pub enum ControllerEvent {
    /// A job was admitted.
    JobArrived {
        /// The job as it was decoded from the request.
        job: Job,
    },
    /// A run has ended.
    RunEnded {
        /// The id of the job that ran.
        id: JobId,
        /// The outcome of the run.
        outcome: Outcome,
        /// The duration of the run.
        elapsed: Span,
    },
    /// A run waits for a call to the dependency.
    CallRequested {
        /// The id of the running job.
        id: JobId,
    },
    /// A call has ended.
    CallEnded {
        /// The id of the job whose run requested the call.
        id: JobId,
        /// The outcome of the call.
        outcome: Outcome,
        /// The duration of the call.
        elapsed: Span,
    },
    /// The caller of a job no longer waits for the answer.
    CallerDisconnected {
        /// The id of the job.
        id: JobId,
    },
    /// The instance drains and stops at the given time.
    DrainStarted(Time),
    /// A timer is due.
    TimerFired {
        /// The token with which the controller set the timer.
        token: u64,
        /// Fraction of the executor's cores in use; `None` if the executor did not report its gauges in time.
        core_use: Option<f64>,
    },
    /// This node's call lease has changed.
    LeaseUpdated(CallLease),
}

/// Runs the controller, and holds its clock, timers and pending events.
pub struct ControllerDriver {
    controller: RefCell<Controller>,
    /// The controller's clock.
    pub clock: Clock,
    /// Shortest time between the starts of two rounds.
    tick: Duration,
    events: RefCell<Vec<ControllerEvent>>,
    event_added: Notify,
    /// Whether rounds may run; set once the executor is up or the instance drains.
    rounds_allowed: Cell<bool>,
    timers: Timers,
    liveness: Liveness,
    /// The executor has received every command that was sent before this instant.
    commands_confirmed_until: Cell<Instant>,
    load_signal: Cell<Option<f64>>,
    controller_healthy: Cell<bool>,
    /// Whether the instance has settings to serve jobs with.
    ready: Cell<bool>,
    health_changed: Notify,
    /// This node's share of the budgets, if budgets are enabled.
    budget_share: RefCell<Option<Rc<BudgetShare>>>,
    in_flight: Rc<InFlightTable>,
    result_cache: Rc<ResultCache>,
    executor: Rc<ExecutorLink>,
    /// Number of rounds since the start.
    pub round_count: Cell<u64>,
    /// Duration of the longest round since this value was last reset.
    pub longest_round: Cell<Duration>,
}

impl ControllerDriver {
    /// Creates a driver that runs at most one round of `controller` per `tick`.
    pub fn new(
        controller: Controller,
        tick: Span,
        in_flight: Rc<InFlightTable>,
        result_cache: Rc<ResultCache>,
        executor: Rc<ExecutorLink>,
    ) -> ControllerDriver {
        let clock = Clock::default();
        ControllerDriver {
            controller: RefCell::new(controller),
            liveness: Liveness::new(clock.now()),
            clock,
            tick: Duration::from_secs_f64(tick.as_ms() / 1000.0),
            events: RefCell::default(),
            event_added: Notify::default(),
            rounds_allowed: Cell::new(false),
            timers: Timers::default(),
            commands_confirmed_until: Cell::new(Instant::now()),
            load_signal: Cell::new(None),
            controller_healthy: Cell::new(true),
            ready: Cell::new(true),
            health_changed: Notify::default(),
            budget_share: RefCell::default(),
            in_flight,
            result_cache,
            executor,
            round_count: Cell::new(0),
            longest_round: Cell::new(Duration::ZERO),
        }
    }

    /// Queues an event for the next round.
    pub fn notify(&self, event: ControllerEvent) {
        self.events.borrow_mut().push(event);
        self.event_added.notify();
    }

    /// Allows rounds from now on; called once the executor is up or the instance drains. The controller's time starts
    /// with the first round, so no round may run earlier.
    pub fn start_rounds(&self) {
        self.rounds_allowed.set(true);
        self.event_added.notify();
    }

    /// Returns the load signal that is sent to callers with each answer.
    pub fn load_signal(&self) -> Option<f64> {
        self.load_signal.get()
    }

    /// Returns whether the instance is healthy: the controller reports it as healthy, and there are settings to serve
    /// jobs with.
    pub fn is_healthy(&self) -> bool {
        self.controller_healthy.get() && self.ready.get()
    }

    /// Records whether there are settings to serve jobs with.
    pub fn set_ready(&self, ready: bool) {
        if self.ready.replace(ready) != ready {
            self.health_changed.notify();
        }
    }

    /// Replaces the controller's settings from the next round on; returns `false` if the controller rejects them.
    pub fn update_settings(&self, update: SettingsUpdate) -> bool {
        self.controller.borrow_mut().update_settings(self.clock.now(), update)
    }

    /// Limits calls to this node's share of the budget of calls from now on.
    pub fn set_budget_share(&self, share: Rc<BudgetShare>) {
        if let Some(lease) = share.call_lease(self.clock.now()) {
            self.notify(ControllerEvent::LeaseUpdated(lease));
        }
        self.budget_share.replace(Some(share));
    }

    /// Returns this node's share of the budgets, if budgets are enabled.
    pub fn budget_share(&self) -> Option<Rc<BudgetShare>> {
        self.budget_share.borrow().clone()
    }

    /// Waits until the instance's health changes or a heartbeat is requested.
    pub async fn health_changed(&self) {
        self.health_changed.notified().await;
    }

    /// Requests an immediate heartbeat.
    pub fn request_heartbeat(&self) {
        self.health_changed.notify();
    }

    /// Records that the process is running now. Returns when the process was last seen running; shortly after a pause
    /// of the process, returns when that pause began.
    pub fn record_liveness(&self) -> Time {
        self.clock.observe();
        self.liveness.record(self.clock.now())
    }

    /// Returns the instant before which every command sent has been received by the executor.
    pub fn commands_confirmed_until(&self) -> Instant {
        self.commands_confirmed_until.get()
    }

    /// Records that the executor has received every command that was sent before `sent`.
    pub fn confirm_commands_until(&self, sent: Instant) {
        self.commands_confirmed_until.set(self.commands_confirmed_until.get().max(sent));
    }

    /// Fires the timer that waits for the gauges with this ticket.
    pub fn on_gauges(&self, ticket: &str, core_use: Option<f64>) {
        let Ok(token) = ticket.parse() else { return };
        if let Some(requested) = self.timers.take_with_gauges(token) {
            self.confirm_commands_until(requested);
            self.notify(ControllerEvent::TimerFired { token, core_use });
        }
    }

    /// Runs the controller's rounds until the future is dropped.
    pub async fn run(&self) {
        while !self.rounds_allowed.get() {
            self.event_added.notified().await;
        }
        loop {
            self.round();
            let next_round = Instant::now() + self.tick;
            while self.events.borrow().is_empty() {
                self.wait_for_event_or_timer().await;
            }
            Timer::at(next_round).await;
        }
    }

    /// Waits until an event is added or the next step of a timer is due. Requests the gauges for a timer that is due,
    /// and fires a timer whose gauges have timed out.
    async fn wait_for_event_or_timer(&self) {
        let now = self.clock.now();
        if let Some(token) = self.timers.take_due(now) {
            let ticket = token.to_string();
            // A request that is dropped is handled as one that the executor does not answer.
            let _ = self.executor.send(&executor::encode(&Command::Gauges { ticket: &ticket }));
            return;
        }
        if let Some(token) = self.timers.take_without_gauges() {
            return self.notify(ControllerEvent::TimerFired { token, core_use: None });
        }
        let until = |at: Time| Duration::from_secs_f64(at.since(now).as_ms() / 1000.0);
        let timer_due = self.timers.next_due().map(|at| Instant::now() + until(at));
        match timer_due.into_iter().chain(self.timers.next_gauges_timeout()).min() {
            Some(at) => {
                let timeout = async {
                    Timer::at(at).await;
                };
                or(self.event_added.notified(), timeout).await;
            }
            None => self.event_added.notified().await,
        }
    }

    /// Runs one round of the controller over the pending events, and dispatches its decisions.
    fn round(&self) {
        let started_at = Instant::now();
        let now = self.clock.now();
        let events = self.events.take();
        let feed = |sink: &mut EventSink| events.into_iter().for_each(|event| feed_event(sink, event));
        self.controller.borrow_mut().round(now, feed, &mut DecisionDispatcher { driver: self, now });
        if let Some(share) = &*self.budget_share.borrow() {
            share.record_call_demand(self.controller.borrow_mut().call_demand(now));
        }
        self.record_liveness();
        self.round_count.set(self.round_count.get() + 1);
        self.longest_round.set(self.longest_round.get().max(started_at.elapsed()));
    }
}

fn feed_event(sink: &mut EventSink, event: ControllerEvent) {
    match event {
        ControllerEvent::JobArrived { job } => sink.job_arrived(job),
        ControllerEvent::RunEnded { id, outcome, elapsed } => sink.run_ended(&id, outcome, elapsed),
        ControllerEvent::CallRequested { id } => sink.call_requested(&id),
        ControllerEvent::CallEnded { id, outcome, elapsed } => sink.call_ended(&id, outcome, elapsed),
        ControllerEvent::CallerDisconnected { id } => sink.caller_disconnected(&id),
        ControllerEvent::DrainStarted(stop_at) => sink.drain_started(stop_at),
        ControllerEvent::TimerFired { token, core_use } => sink.timer_fired(token, core_use),
        ControllerEvent::LeaseUpdated(lease) => sink.call_lease_updated(lease),
    }
}

/// Passes the decisions of one round to the tasks of jobs, the result cache and the driver.
struct DecisionDispatcher<'a> {
    driver: &'a ControllerDriver,
    now: Time,
}

impl DecisionDispatcher<'_> {
    fn send_to_job(&self, id: &JobId, event: JobEvent) {
        self.driver.in_flight.send(id, event);
    }
}

impl Decisions for DecisionDispatcher<'_> {
    fn start_run(&mut self, id: &JobId) {
        self.send_to_job(id, JobEvent::StartRun);
    }

    fn reject(&mut self, id: &JobId, not_elsewhere: bool, retry_after: Span) {
        self.send_to_job(id, JobEvent::Answer(Answer::Rejected { not_elsewhere, retry_after }));
    }

    fn fail(&mut self, id: &JobId) {
        self.send_to_job(id, JobEvent::Answer(Answer::Failed));
    }

    fn start_call(&mut self, id: &JobId, timeout: Span) {
        self.send_to_job(id, JobEvent::StartCall { timeout });
    }

    fn skip_call(&mut self, id: &JobId) {
        self.send_to_job(id, JobEvent::SkipCall);
    }

    fn cancel_run(&mut self, id: &JobId) {
        self.send_to_job(id, JobEvent::CancelRun);
    }

    fn await_original(&mut self, id: &JobId) {
        self.send_to_job(id, JobEvent::AwaitOriginal);
    }

    fn store_record(&mut self, id: &JobId, lifetime: Span) {
        self.driver.result_cache.store_record(id, self.now, lifetime);
    }

    fn remove_record(&mut self, id: &JobId) {
        self.driver.result_cache.remove_record(id);
    }

    fn publish_load_signal(&mut self, value: f64) {
        self.driver.load_signal.set(Some(value));
    }

    fn publish_health(&mut self, healthy: bool, _from_store: bool) {
        if self.driver.controller_healthy.replace(healthy) != healthy {
            tracing::info!(healthy, "health changed");
            self.driver.health_changed.notify();
        }
    }

    fn set_timer(&mut self, at: Time, token: u64) {
        self.driver.timers.set(at, token);
    }

    fn limited_by_lease(&mut self, id: &JobId) {
        tracing::debug!(job = &**id, "job rejected because of the call lease; its queue was not full");
        if let Some(share) = &*self.driver.budget_share.borrow() {
            share.jobs_rejected.set(share.jobs_rejected.get() + 1);
        }
    }

    fn log(&mut self, text: &str) {
        tracing::debug!(text, "message from the controller");
    }
}
