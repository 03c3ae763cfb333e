//! A writer that records, and an instance with settings to change, for all tests.

use hazelgrade::api::*;
use hazelgrade::controller::{Controller, EventSink};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Run(JobId),
    Reject(JobId, Span, bool),
    Fail(JobId),
    Call(JobId, Span),
    Skip(JobId),
    Stop(JobId),
    Share(JobId),
    Remember(JobId, Span),
    Forget(JobId),
    Say(f64),
    Health(bool),
    Wake(Time, u64),
    Limited(JobId),
}

#[derive(Default)]
pub struct Record(pub Vec<Act>);

macro_rules! record {
    ($($name:ident => $act:ident,)*) => {
        $(fn $name(&mut self, id: &JobId) { self.0.push(Act::$act(id.clone())); })*
    };
}

impl Decisions for Record {
    record!(start_run => Run, fail => Fail, skip_call => Skip, cancel_run => Stop, await_original => Share, remove_record => Forget,);
    fn reject(&mut self, id: &JobId, not_elsewhere: bool, retry_after: Span) {
        self.0.push(Act::Reject(id.clone(), retry_after, not_elsewhere));
    }
    fn start_call(&mut self, id: &JobId, within: Span) {
        self.0.push(Act::Call(id.clone(), within));
    }
    fn store_record(&mut self, id: &JobId, span: Span) {
        self.0.push(Act::Remember(id.clone(), span));
    }
    fn publish_load_signal(&mut self, value: f64) {
        self.0.push(Act::Say(value));
    }
    fn publish_health(&mut self, good: bool, _: bool) {
        self.0.push(Act::Health(good));
    }
    fn set_timer(&mut self, at: Time, token: u64) {
        self.0.push(Act::Wake(at, token));
    }
    fn log(&mut self, _: &str) {}
    fn limited_by_lease(&mut self, id: &JobId) {
        self.0.push(Act::Limited(id.clone()));
    }
}

/// Settings of a plain deployment; tests change what they are about.
#[derive(Clone)]
pub struct Setup {
    pub job_classes: Vec<JobClass>,
    pub machine: Machine,
    pub promises: ServiceLimits,
    pub below: Dependency,
    pub callers: CallerSettings,
}

pub fn ms(ms: f64) -> Span {
    Span::from_ms(ms)
}

pub fn at(ms: f64) -> Time {
    Time::from_ms(ms)
}

pub fn setup() -> Setup {
    let (goal, objective_per_work, deadline, window) = (ms(2000.0), 0.0, ms(6000.0), ms(3000.0));
    let (priority_weight, late_weight_ratio, weight_ratio_without_call) = (1.0, 0.0, 0.0);
    let (repeats, calls) = (Idempotency::Idempotent, true);
    let (cores, memory_kb, running_memory_ratio, record_kb) = (4.0, 20_000.0, 8.0, 10.0);
    let (cold, stopping, tick) = (false, Cancellation::Discards, ms(10.0));
    let (answer_slack, cold_speed_ratio, warm_up) = (ms(60.0), 0.2, ms(8000.0));
    let (drain_grace, max_jobs_per_core) = (ms(1000.0), 4.0);
    let (count, signal, signal_lifetime, max_retry_after) = (4.0, LoadSignal::Weight, ms(1000.0), ms(1000.0));
    let (mark_retries, fleet, over_quota_weight_ratio) = (true, 5.0, 0.1);
    Setup {
        job_classes: vec![JobClass {
            latency_objective: goal,
            objective_per_work,
            deadline,
            priority_weight,
            late_weight_ratio,
            idempotency: repeats,
            retry_window: window,
            calls_dependency: calls,
            weight_ratio_without_call,
        }],
        machine: Machine {
            cores,
            memory_kb,
            running_memory_ratio,
            record_kb,
            cold,
            cancellation: stopping,
            tick,
        },
        promises: ServiceLimits { answer_slack, cold_speed_ratio, warm_up, drain_grace, max_jobs_per_core },
        below: Dependency { max_calls: None, max_calls_window: ms(5000.0), linger: ms(200.0) },
        callers: CallerSettings {
            count,
            signal,
            signal_lifetime,
            max_retry_after,
            mark_retries,
            fleet_size: fleet,
            over_quota_weight_ratio,
        },
    }
}

impl Setup {
    #[allow(dead_code)] // not every test that includes this file makes one by it
    pub fn control(&self) -> Controller {
        let Setup { job_classes, machine, promises, below, callers } = self.clone();
        Controller::new(job_classes, vec![], machine, promises, below, callers, MultiplyWithCarry::new(7))
    }
}

#[allow(dead_code)] // as above
pub fn job(id: &str, reached: Time) -> Job {
    Job {
        id: id.into(),
        job_class: 0,
        tenant: 0,
        received_at: reached,
        caller_deadline: None,
        expected_work: None,
        queued_kb: 20.0,
        priority_rank: 0.5,
        is_retry: false,
        retry_of: None,
        from_known_caller: true,
        over_caller_limit: false,
        lease_retry_after: None,
    }
}

/// One round; what was decided in it.
pub fn round(control: &mut Controller, now: Time, feed: impl FnOnce(&mut EventSink)) -> Vec<Act> {
    let mut record = Record::default();
    control.round(now, feed, &mut record);
    record.0
}
