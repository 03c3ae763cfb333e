//! The controller, which decides for one server which jobs to admit, run and reject.
//!
//! The host calls [`Controller::round`] once per batch of events. A closure reports the events in order to the
//! [`EventSink`]; then the controller writes its decisions to a [`Decisions`] sink. [`Controller::round`] defines the
//! order in which the rules apply; each rule has its own module:
//!
//! | rule | module |
//! | --- | --- |
//! | limit on calls to the dependency: permits, bounded queue, wait budget | `call_limiter` |
//! | limit on concurrent runs | `run_limiter` |
//! | order of the queued jobs; quotas | `run_queue` |
//! | deadlines of answers and calls | `deadline` |
//! | rejection or failure; retry-after; whether other servers have capacity | `rejection` |
//! | deduplication of keyed jobs | `deduplication` |
//! | memory in use; limits for starting and shedding jobs | `memory` |
//! | number of jobs that the cores can sustain; warm-up | `host_load` |
//! | load signal; health | `load_signal`, `health` |
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

/// A timer that the host has been asked to set.
#[derive(Clone, Copy)]
struct Timer {
    at: Time,
    token: u64,
}

/// Decides for one server which jobs to admit, run and reject.
///
/// The controller reads no clock and performs no I/O: the same settings, seed and events give the same decisions.
pub struct Controller {
    job_classes: Vec<Rc<JobClass>>,
    machine: Machine,
    limits: ServiceLimits,
    callers: CallerSettings,
    timescales: Timescales,
    random: MultiplyWithCarry,
    /// The last number given to a job or a timer.
    sequence: u64,
    /// Time of the first round.
    started_at: Option<Time>,

    jobs: JobTable,
    /// Jobs with an event in this round that still need a decision.
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
    /// Creates the controller of a server that has just started. The seed of `random` must be specific to this server.
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

    /// Executes one round: accepts all events, then writes the decisions.
    pub fn round(&mut self, now: Time, events: impl FnOnce(&mut EventSink), decisions: &mut dyn Decisions) {
        self.started_at.get_or_insert(now);
        events(&mut EventSink::new(self, now));
        self.publish_load(now, decisions);
        self.decide_on_events(now, decisions);
        self.skip_late_calls(now, decisions);
        self.give_up_expired(now, decisions);
        self.start_calls(now, decisions);
        self.start_runs(now, decisions);
        self.shed_memory(now, decisions);
        self.set_timer(now, decisions);
    }

    /// Decides on each job that had an event since the last round.
    fn decide_on_events(&mut self, now: Time, decisions: &mut dyn Decisions) {
        for id in std::mem::take(&mut self.undecided) {
            let Some(tracked) = self.jobs.get(&id) else { continue };
            match tracked.stage {
                // A job that has run was admitted before: its run was cancelled since its event, and it is queued again.
                Stage::Queued if tracked.has_run => {}
                Stage::Queued => self.admit(now, &id, decisions),
                Stage::AwaitingCallPermit => self.queue_call(now, &id, decisions),
                Stage::Running => self.cancel_if_unwanted(&id, decisions),
                Stage::CallInFlight | Stage::AwaitingOriginal => {}
            }
        }
    }

    /// Returns the calls that this server has in flight at the dependency, and those that it would have with a larger
    /// lease.
    pub fn call_demand(&mut self, now: Time) -> CallDemand {
        self.call_limiter.demand(now, self.timescales.learning_window)
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns until when answers may be sent in a drain; `None` without a drain.
    fn drain_deadline(&self) -> Option<Time> {
        self.drain.map(|drain| drain.answer_deadline(&self.limits, self.machine.tick))
    }

    /// Returns the latest time for the answer of a job, taking a drain into account.
    fn latest_answer(&self, tracked: &TrackedJob) -> Time {
        deadline::latest_answer(tracked, self.drain_deadline())
    }

    /// Returns when the answer of a job loses all its value.
    fn expires_at(&self, tracked: &TrackedJob) -> Time {
        deadline::expires_at(tracked, self.drain_deadline())
    }

    /// Returns the total time that a call of this job may take, including the wait in the call queue.
    fn call_time_budget(&self, now: Time, tracked: &TrackedJob) -> Span {
        deadline::call_time_budget(tracked, now, self.expires_at(tracked))
    }

    /// Returns the number of jobs that the cores can sustain now, assuming the slowest warm-up that the limits allow.
    fn max_jobs_on_cores(&self, now: Time) -> f64 {
        let uptime = self.started_at.map_or(Span::ZERO, |started_at| now.since(started_at));
        host_load::max_jobs_on_cores(&self.machine, &self.limits, uptime)
    }

    /// Returns the number of jobs that use the cores or may use them again after the reply to their call.
    fn jobs_on_cores_or_calling(&self) -> f64 {
        self.jobs.count_in(&[Stage::Running, Stage::CallInFlight])
    }

    /// Returns how many times slower the current runs are than completed runs.
    fn slowdown(&mut self, now: Time) -> f64 {
        let mean_core_time = self.service_times.overall_core_time(now);
        host_load::slowdown(&self.jobs, mean_core_time, self.machine.cores, now)
    }

    /// Returns the expected time until all jobs that are queued now have started.
    fn run_queue_clear_time(&mut self, now: Time) -> Span {
        let queued = self.jobs.count_in(&[Stage::Queued]);
        let mean_core_time = self.service_times.overall_core_time(now).unwrap_or(Span::ZERO);
        mean_core_time * (self.slowdown(now) * queued / self.run_limiter.limit())
    }
}
