//! Test support: a sink that records decisions, typical settings and jobs, and a function that executes one round.

use hazelgrade::api::*;
use hazelgrade::controller::{Controller, EventSink};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};

#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    StartRun(JobId),
    Reject(JobId, Span, bool),
    Fail(JobId),
    StartCall(JobId, Span),
    SkipCall(JobId),
    CancelRun(JobId),
    AwaitOriginal(JobId),
    StoreRecord(JobId, Span),
    RemoveRecord(JobId),
    LoadSignal(f64),
    Health(bool),
    SetTimer(Time, u64),
    LimitedByLease(JobId),
}

#[derive(Default)]
pub struct DecisionRecorder(pub Vec<Decision>);

macro_rules! record_job_decisions {
    ($($name:ident => $decision:ident,)*) => {
        $(fn $name(&mut self, id: &JobId) { self.0.push(Decision::$decision(id.clone())); })*
    };
}

impl Decisions for DecisionRecorder {
    record_job_decisions!(
        start_run => StartRun,
        fail => Fail,
        skip_call => SkipCall,
        cancel_run => CancelRun,
        await_original => AwaitOriginal,
        remove_record => RemoveRecord,
    );
    fn reject(&mut self, id: &JobId, not_elsewhere: bool, retry_after: Span) {
        self.0.push(Decision::Reject(id.clone(), retry_after, not_elsewhere));
    }
    fn start_call(&mut self, id: &JobId, timeout: Span) {
        self.0.push(Decision::StartCall(id.clone(), timeout));
    }
    fn store_record(&mut self, id: &JobId, lifetime: Span) {
        self.0.push(Decision::StoreRecord(id.clone(), lifetime));
    }
    fn publish_load_signal(&mut self, value: f64) {
        self.0.push(Decision::LoadSignal(value));
    }
    fn publish_health(&mut self, healthy: bool, _: bool) {
        self.0.push(Decision::Health(healthy));
    }
    fn set_timer(&mut self, at: Time, token: u64) {
        self.0.push(Decision::SetTimer(at, token));
    }
    fn log(&mut self, _: &str) {}
    fn limited_by_lease(&mut self, id: &JobId) {
        self.0.push(Decision::LimitedByLease(id.clone()));
    }
}

/// The settings of a controller, which tests adjust as needed.
#[derive(Clone)]
pub struct Setup {
    pub job_classes: Vec<JobClass>,
    pub machine: Machine,
    pub limits: ServiceLimits,
    pub dependency: Dependency,
    pub callers: CallerSettings,
}

pub fn ms(ms: f64) -> Span {
    Span::from_ms(ms)
}

pub fn at(ms: f64) -> Time {
    Time::from_ms(ms)
}

pub fn setup() -> Setup {
    let (latency_objective, objective_per_work, deadline, retry_window) =
        (ms(2000.0), 0.0, ms(6000.0), ms(3000.0));
    let (priority_weight, late_weight_ratio, weight_ratio_without_call) = (1.0, 0.0, 0.0);
    let (idempotency, calls_dependency) = (Idempotency::Idempotent, true);
    let (cores, memory_kb, running_memory_ratio, record_kb) = (4.0, 20_000.0, 8.0, 10.0);
    let (cold, cancellation, tick) = (false, Cancellation::Discards, ms(10.0));
    let (answer_slack, cold_speed_ratio, warm_up) = (ms(60.0), 0.2, ms(8000.0));
    let (drain_grace, max_jobs_per_core) = (ms(1000.0), 4.0);
    let (count, signal, signal_lifetime, max_retry_after) = (4.0, LoadSignal::Weight, ms(1000.0), ms(1000.0));
    let (mark_retries, fleet_size, over_quota_weight_ratio) = (true, 5.0, 0.1);
    Setup {
        job_classes: vec![JobClass {
            latency_objective,
            objective_per_work,
            deadline,
            priority_weight,
            late_weight_ratio,
            idempotency,
            retry_window,
            calls_dependency,
            weight_ratio_without_call,
        }],
        machine: Machine { cores, memory_kb, running_memory_ratio, record_kb, cold, cancellation, tick },
        limits: ServiceLimits { answer_slack, cold_speed_ratio, warm_up, drain_grace, max_jobs_per_core },
        dependency: Dependency { max_calls: None, max_calls_window: ms(5000.0), linger: ms(200.0) },
        callers: CallerSettings {
            count,
            signal,
            signal_lifetime,
            max_retry_after,
            mark_retries,
            fleet_size,
            over_quota_weight_ratio,
        },
    }
}

impl Setup {
    #[allow(dead_code)] // Not every test binary that includes this module uses the function.
    pub fn controller(&self) -> Controller {
        let Setup { job_classes, machine, limits, dependency, callers } = self.clone();
        Controller::new(job_classes, vec![], machine, limits, dependency, callers, MultiplyWithCarry::new(7))
    }
}

#[allow(dead_code)] // Not every test binary that includes this module uses the function.
pub fn job(id: &str, received_at: Time) -> Job {
    Job {
        id: id.into(),
        job_class: 0,
        tenant: 0,
        received_at,
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

/// Executes one round and returns the decisions.
pub fn round(
    controller: &mut Controller,
    now: Time,
    report_events: impl FnOnce(&mut EventSink),
) -> Vec<Decision> {
    let mut recorder = DecisionRecorder::default();
    controller.round(now, report_events, &mut recorder);
    recorder.0
}
