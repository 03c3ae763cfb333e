//! The controller: decides for one server which jobs it admits, runs and rejects.
//!
//! The host calls [`Controller::round`] once per batch: a closure reports the events to the [`EventSink`], in order,
//! then the controller writes its decisions to a [`Decisions`] sink. This file shows the order of the rules; each rule
//! has its own module:
//!
//! | rule | module |
//! | --- | --- |
//! | calls to the dependency: permits, bounded queue, wait budget | `call_limiter` |
//! | how many jobs run at once | `run_limiter` |
//! | which queued job runs next; quotas | `run_queue` |
//! | when an answer is due, until when a call is waited for | `deadline` |
//! | reject or fail; retry-after; "not elsewhere" | `rejection` |
//! | keyed jobs run once | `deduplication` |
//! | memory in use, and what is shed | `memory` |
//! | jobs that the cores withstand, warm-up | `host_load` |
//! | load signal, health | `load_signal`, `health` |
//! | graceful shutdown | `drain` |

mod admission;
mod answers;
mod calls;
mod events;
mod reporting;
mod runs;
mod settings;

pub use events::EventSink;

use crate::api::{
    CallDemand, CallerSettings, Decisions, Dependency, JobClass, JobId, Machine, ServiceLimits, Tenant,
};
use crate::call_limiter::CallLimiter;
use crate::deadline;
use crate::deduplication::IdempotencyRecords;
use crate::drain::Drain;
use crate::health::Health;
use crate::host_load;
use crate::job_table::{JobTable, Stage, TrackedJob};
use crate::load_signal::LoadSignalController;
use crate::random::MultiplyWithCarry;
use crate::rejection::RetryRate;
use crate::run_limiter::RunLimiter;
use crate::run_queue::TenantQuotas;
use crate::service_times::ServiceTimes;
use crate::time::{Span, Time};
use crate::timescales::Timescales;
use std::rc::Rc;

/// A timer that the host was asked to set.
#[derive(Clone, Copy)]
struct Timer {
    at: Time,
    token: u64,
}

/// Decides for one server which jobs it admits, runs and rejects.
///
/// It reads no clock and does no input or output: the same settings, seed and events give the same decisions.
pub struct Controller {
    job_classes: Vec<Rc<JobClass>>,
    machine: Machine,
    limits: ServiceLimits,
    callers: CallerSettings,
    timescales: Timescales,
    random: MultiplyWithCarry,
    /// Numbers jobs and timers.
    sequence: u64,
    /// When the first round began.
    started_at: Option<Time>,

    jobs: JobTable,
    /// Jobs with an event in this round that are still to be decided on.
    undecided: Vec<JobId>,
    records: IdempotencyRecords,
    call_limiter: CallLimiter,
    run_limiter: RunLimiter,
    quotas: TenantQuotas,
    service_times: ServiceTimes,
    retry_rate: RetryRate,
    load_signal: LoadSignalController,
    health: Health,
    drain: Option<Drain>,
    timer: Option<Timer>,
}

impl Controller {
    /// The controller of a server that has just started. `random` is seeded for this server.
    pub fn new(
        job_classes: Vec<JobClass>,
        tenants: Vec<Tenant>,
        machine: Machine,
        limits: ServiceLimits,
        dependency: Dependency,
        callers: CallerSettings,
        random: MultiplyWithCarry,
    ) -> Controller {
        let timescales = Timescales::new(job_classes.iter());
        let window = timescales.learning_window;
        Controller {
            service_times: ServiceTimes::new(job_classes.len(), window),
            call_limiter: CallLimiter::new(dependency, window),
            run_limiter: RunLimiter::new(machine.cores, window, timescales.target_wait),
            quotas: TenantQuotas::new(&tenants, window),
            retry_rate: RetryRate::new(window, callers.mark_retries),
            load_signal: LoadSignalController::new(),
            health: Health::default(),
            jobs: JobTable::default(),
            undecided: Vec::new(),
            records: IdempotencyRecords::default(),
            job_classes: job_classes.into_iter().map(Rc::new).collect(),
            machine,
            limits,
            callers: CallerSettings { count: callers.count.max(1.0), ..callers },
            timescales,
            random,
            sequence: 0,
            started_at: None,
            drain: None,
            timer: None,
        }
    }

    /// One round: takes in all events, then writes the decisions.
    pub fn round(&mut self, now: Time, events: impl FnOnce(&mut EventSink), decisions: &mut dyn Decisions) {
        self.started_at.get_or_insert(now);
        events(&mut EventSink::new(self, now));
        self.publish_load(now, decisions);
        self.decide_on_events(now, decisions);
        self.skip_late_calls(now, decisions);
        self.give_up_worthless(now, decisions);
        self.start_calls(now, decisions);
        self.start_runs(now, decisions);
        self.shed_memory(now, decisions);
        self.set_timer(now, decisions);
    }

    /// Decides on the jobs that had an event since the last round.
    fn decide_on_events(&mut self, now: Time, decisions: &mut dyn Decisions) {
        for id in std::mem::take(&mut self.undecided) {
            match self.jobs.get(&id).map(|tracked| tracked.stage) {
                Some(Stage::Queued) => self.admit(now, &id, decisions),
                Some(Stage::AwaitingCallPermit) => self.queue_call(now, &id, decisions),
                Some(Stage::Running) => self.cancel_if_unwanted(&id, decisions),
                Some(Stage::CallInFlight | Stage::AwaitingOriginal) | None => {}
            }
        }
    }

    /// Calls that this server has in flight at the dependency, and would have with a larger lease.
    pub fn call_demand(&mut self, now: Time) -> CallDemand {
        self.call_limiter.demand(now, self.timescales.learning_window)
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Until when answers may be given in a drain.
    fn drain_deadline(&self) -> Option<Time> {
        self.drain.map(|drain| drain.answer_deadline(&self.limits, self.machine.tick))
    }

    /// When a job's answer must be given at the latest, also in a drain.
    fn latest_answer(&self, tracked: &TrackedJob) -> Time {
        deadline::latest_answer(tracked, self.drain_deadline())
    }

    /// When a job's answer stops being worth anything.
    fn worthless_from(&self, tracked: &TrackedJob) -> Time {
        deadline::worthless_from(tracked, self.drain_deadline())
    }

    /// How long a call of this job may take in all.
    fn call_time_budget(&self, now: Time, tracked: &TrackedJob) -> Span {
        deadline::call_time_budget(tracked, now, self.worthless_from(tracked))
    }

    /// Jobs that the cores withstand now, at the slowest warm-up allowed for.
    fn max_jobs_on_cores(&self, now: Time) -> f64 {
        let uptime = self.started_at.map_or(Span::ZERO, |started_at| now.since(started_at));
        host_load::max_jobs_on_cores(&self.machine, &self.limits, uptime)
    }

    /// Jobs on the cores, and those that may come back to them from a call.
    fn jobs_on_cores_or_calling(&self) -> f64 {
        self.jobs.count_in(&[Stage::Running, Stage::CallInFlight])
    }

    /// How many times slower the current runs are than completed ones.
    fn slowdown(&mut self, now: Time) -> f64 {
        let mean_core_time = self.service_times.overall_core_time(now);
        host_load::slowdown(&self.jobs, mean_core_time, self.machine.cores, now)
    }

    /// How long it takes until all jobs that are queued now have started.
    fn run_queue_drains_in(&mut self, now: Time) -> Span {
        let queued = self.jobs.count_in(&[Stage::Queued]);
        let mean_core_time = self.service_times.overall_core_time(now).unwrap_or(Span::ZERO);
        mean_core_time * (self.slowdown(now) * queued / self.run_limiter.limit())
    }
}
