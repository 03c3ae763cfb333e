//! Model-based test. A simple model simulates machine, callers and dependency with generated inputs, and checks every
//! decision of the controller against the rules. Every job must get exactly one final answer.

#![allow(clippy::too_many_lines)]

mod common;

use common::*;
use hazelgrade::api::*;
use hazelgrade::controller::Controller;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Unread,
    Queued,
    Running(Time),
    AwaitingCallPermit,
    CallInFlight { started_at: Time, ends_at: Time, timeout_at: Time },
    AwaitingOriginal,
    Ended,
}

struct ModelJob {
    job: Job,
    /// Number of the request; all attempts of one request have the same number.
    request: usize,
    read_at: Time,
    stage: Stage,
    due: Time,
    awaits_answer: bool,
    remaining_calls: u32,
    call_in_doubt: bool,
    has_run: bool,
    started_at: Time,
}

struct Simulation {
    setup: Setup,
    random: MultiplyWithCarry,
    jobs: BTreeMap<JobId, ModelJob>,
    /// Idempotency records by request number: the recorded job and the expiry.
    records: BTreeMap<usize, (JobId, Time)>,
    /// Time at which the first attempt that ran reached the machine, by request number.
    first_runs: BTreeMap<usize, Time>,
    lingering: Vec<Time>,
    timers: Vec<(Time, u64)>,
    cores_history: Vec<(Time, f64)>,
    calls_history: Vec<(Time, f64)>,
    drain: Option<(Time, Time)>,
    violation: Option<String>,
    now: Time,
}

impl Simulation {
    fn record_violation_if(&mut self, violated: bool, what: &str, id: &JobId) {
        if violated && self.violation.is_none() {
            self.violation = Some(format!("{what}: job {id} at {} ms", self.now.as_ms()));
        }
    }

    fn uniform(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * self.random.next_f64()
    }

    fn apply(&mut self, decision: &Decision, now: Time) {
        let (Decision::StartRun(id)
        | Decision::Reject(id, ..)
        | Decision::Fail(id)
        | Decision::StartCall(id, _)
        | Decision::SkipCall(id)
        | Decision::CancelRun(id)
        | Decision::AwaitOriginal(id)
        | Decision::StoreRecord(id, _)
        | Decision::RemoveRecord(id)) = decision
        else {
            match decision {
                Decision::SetTimer(at, token) => self.timers.push((*at, *token)),
                Decision::LoadSignal(_) => self.record_violation_if(
                    self.setup.callers.signal == LoadSignal::Silent,
                    "published a load signal although the kind is silent",
                    &"-".into(),
                ),
                _ => {}
            }
            return;
        };
        let (work, draw, latency) =
            (self.uniform(50.0, 900.0), self.random.next_f64(), self.uniform(20.0, 1500.0));
        let Some(model_job) = self.jobs.get(id) else {
            return self.record_violation_if(true, "unknown job", id);
        };
        let class = self.setup.job_classes[model_job.job.job_class].clone();
        let (stage, request, received_at, call_in_doubt) =
            (model_job.stage, model_job.request, model_job.job.received_at, model_job.call_in_doubt);
        let (has_run, has_original) = (model_job.has_run, model_job.job.retry_of.is_some());
        let ran_before = match class.idempotency {
            Idempotency::Keyed => self
                .first_runs
                .get(&request)
                .is_some_and(|first_run| received_at.since(*first_run) < class.retry_window),
            Idempotency::AtMostOnce => has_run,
            Idempotency::Idempotent => false,
        };
        match decision {
            Decision::StartRun(_) => {
                self.record_violation_if(stage != Stage::Queued, "started a job that was not queued", id);
                self.record_violation_if(ran_before, "started a job twice", id);
                let grace = self.setup.limits.drain_grace;
                let is_after_grace =
                    self.drain.is_some_and(|(notified_at, _)| received_at > notified_at + grace);
                self.record_violation_if(is_after_grace, "started a job received after the drain grace", id);
                self.first_runs.entry(request).or_insert(received_at);
            }
            Decision::Reject(..) | Decision::Fail(_) => {
                self.record_violation_if(!self.jobs[id].awaits_answer, "answered twice", id);
                let had_effect = ran_before || has_run && class.idempotency != Idempotency::Idempotent;
                self.record_violation_if(
                    matches!(decision, Decision::Reject(..)) && had_effect,
                    "rejected a job that had run",
                    id,
                );
                let last = self.jobs[id].due + self.setup.limits.answer_slack;
                self.record_violation_if(now > last, "answered after the deadline", id);
            }
            Decision::StartCall(..) => {
                self.record_violation_if(
                    call_in_doubt && class.idempotency != Idempotency::Idempotent,
                    "repeated a call that may have had its effect",
                    id,
                );
                self.record_violation_if(
                    !class.calls_dependency || stage != Stage::AwaitingCallPermit,
                    "started a call that was not requested",
                    id,
                );
            }
            Decision::SkipCall(_) => self.record_violation_if(
                class.weight_ratio_without_call <= 0.0,
                "skipped a call that must not be skipped",
                id,
            ),
            Decision::CancelRun(_) => self.record_violation_if(
                self.setup.machine.cancellation == Cancellation::Unsupported,
                "cancelled a run although cancelling is unsupported",
                id,
            ),
            Decision::AwaitOriginal(_) => self.record_violation_if(
                !has_original,
                "waits for an original although the job is no retry",
                id,
            ),
            _ => {}
        }
        let Some(model_job) = self.jobs.get_mut(id) else { return };
        match decision {
            Decision::StartRun(_) if model_job.stage == Stage::Queued => {
                (model_job.stage, model_job.has_run, model_job.started_at) =
                    (Stage::Running(now + ms(work)), true, now);
            }
            Decision::Reject(..) | Decision::Fail(_) => {
                model_job.awaits_answer = false;
                model_job.stage = if matches!(model_job.stage, Stage::Queued | Stage::AwaitingOriginal) {
                    Stage::Ended
                } else {
                    model_job.stage
                };
            }
            Decision::StartCall(_, timeout) if model_job.stage == Stage::AwaitingCallPermit => {
                let timeout_at = now + *timeout;
                let ends_at = now + ms(if draw < 0.1 { latency * 20.0 } else { latency });
                model_job.stage = Stage::CallInFlight { started_at: now, ends_at, timeout_at };
            }
            Decision::SkipCall(_) if model_job.stage == Stage::AwaitingCallPermit => {
                model_job.stage = Stage::Running(now + ms(work))
            }
            Decision::CancelRun(_) if matches!(model_job.stage, Stage::Running(_)) => {
                model_job.stage = Stage::Running(now)
            }
            Decision::AwaitOriginal(_) => model_job.stage = Stage::AwaitingOriginal,
            Decision::StoreRecord(_, lifetime) if class.idempotency == Idempotency::Keyed => {
                self.records.insert(request, (id.clone(), now + *lifetime));
            }
            Decision::RemoveRecord(_) => {
                self.records.remove(&request);
            }
            _ => {}
        }
    }

    fn mean(steps: &[(Time, f64)], now: Time, window: Span) -> f64 {
        let from = now - window;
        let ends = steps.iter().skip(1).map(|(at, _)| *at).chain([now]);
        let area =
            steps.iter().zip(ends).map(|((at, value), end)| value * end.since((*at).max(from)).as_ms());
        area.sum::<f64>() / window.as_ms()
    }

    /// Checks the invariants that must hold after each round.
    fn check_invariants(&mut self, now: Time, started_at: Time) {
        let machine = &self.setup.machine;
        let is_started = |model_job: &&ModelJob| {
            matches!(
                model_job.stage,
                Stage::Running(_) | Stage::AwaitingCallPermit | Stage::CallInFlight { .. }
            )
        };
        let is_queued =
            |model_job: &&ModelJob| matches!(model_job.stage, Stage::Queued | Stage::AwaitingOriginal);
        let running_kb: f64 =
            self.jobs.values().filter(is_started).map(|model_job| model_job.job.queued_kb).sum();
        let queued_kb: f64 =
            self.jobs.values().filter(is_queued).map(|model_job| model_job.job.queued_kb).sum();
        let records = self.records.values().filter(|(_, until)| *until > now).count() as f64;
        let needed = running_kb * machine.running_memory_ratio + queued_kb + records * machine.record_kb;
        let exceeds_memory = needed > machine.memory_kb;
        let running_jobs =
            self.jobs.values().filter(|model_job| matches!(model_job.stage, Stage::Running(_))).count()
                as f64;
        let calls_in_flight = self
            .jobs
            .values()
            .filter(|model_job| matches!(model_job.stage, Stage::CallInFlight { .. }))
            .count();
        self.lingering.retain(|until| *until > now);
        for steps in [&mut self.cores_history, &mut self.calls_history] {
            let outdated = steps.iter().take_while(|(at, _)| now.since(*at) > ms(6000.0)).count();
            steps.drain(..outdated.saturating_sub(1));
        }
        self.jobs.retain(|_, model_job| {
            model_job.stage != Stage::Ended || now.since(model_job.job.received_at) < ms(4000.0)
        });
        self.cores_history.push((now, running_jobs));
        self.calls_history.push((now, (calls_in_flight + self.lingering.len()) as f64));
        let limits = &self.setup.limits;
        let initial_speed = if machine.cold { limits.cold_speed_ratio } else { 1.0 };
        let speed =
            (initial_speed + (1.0 - initial_speed) * (now.since(started_at) / limits.warm_up)).min(1.0);
        let max_jobs = machine.cores * (1.0 + (limits.max_jobs_per_core - 1.0) * speed);
        let overloads_cores = Self::mean(&self.cores_history, now, ms(2000.0)) > max_jobs + 1e-6;
        let dependency = &self.setup.dependency;
        // The simulation ends calls only at a tick or after a pause, which accounts for up to 200 ms of the 5 s window.
        let exceeds_call_limit = dependency.max_calls.is_some_and(|limit| {
            Self::mean(&self.calls_history, now, dependency.max_calls_window) > limit + 0.04
        });
        let overdue = self.jobs.values().find(|model_job| {
            let due = self.drain.map_or(model_job.due, |(_, stop)| model_job.due.min(stop));
            model_job.awaits_answer
                && !matches!(model_job.stage, Stage::Unread)
                && now > due + limits.answer_slack
        });
        let overdue = overdue.map(|model_job| model_job.job.id.clone());
        let none: JobId = "-".into();
        self.record_violation_if(exceeds_memory, "memory limit exceeded", &none);
        self.record_violation_if(overloads_cores, "too many jobs on the cores", &none);
        self.record_violation_if(exceeds_call_limit, "call limit exceeded", &none);
        self.record_violation_if(
            overdue.is_some(),
            "no answer before the deadline",
            overdue.as_ref().unwrap_or(&none),
        );
    }
}

fn one_of<T: Copy>(random: &mut MultiplyWithCarry, from: &[T]) -> T {
    from[(random.next_f64() * from.len() as f64) as usize]
}

fn new_simulation(seed: u64) -> Simulation {
    let mut random = MultiplyWithCarry::new(seed);
    let mut setup = setup();
    let base = setup.job_classes[0].clone();
    setup.job_classes = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::AtMostOnce]
        .map(|idempotency| JobClass {
            idempotency,
            late_weight_ratio: if random.next_f64() < 0.5 { 0.0 } else { 0.3 },
            weight_ratio_without_call: if random.next_f64() < 0.5 { 0.0 } else { 0.4 },
            calls_dependency: random.next_f64() < 0.7,
            ..base.clone()
        })
        .to_vec();
    setup.machine.cores = one_of(&mut random, &[1.0, 2.0, 4.0]);
    (setup.machine.memory_kb, setup.machine.record_kb) =
        one_of(&mut random, &[(3_000.0, 10.0), (3_000.0, 300.0), (20_000.0, 10.0)]);
    setup.machine.cancellation =
        one_of(&mut random, &[Cancellation::Unsupported, Cancellation::Discards, Cancellation::Requeues]);
    setup.dependency.max_calls = one_of(&mut random, &[None, Some(0.04), Some(0.4), Some(3.5)]);
    use LoadSignal::*;
    setup.callers.signal = one_of(&mut random, &[Silent, Level, Credit, Weight]);
    (setup.machine.cold, setup.callers.mark_retries) = (random.next_f64() < 0.5, random.next_f64() < 0.7);
    let caller_counts = [(1.0, 1.0), (4.0, 5.0), (3_000.0, 400.0)];
    (setup.callers.count, setup.callers.fleet_size) = one_of(&mut random, &caller_counts);
    Simulation {
        setup,
        random,
        jobs: BTreeMap::new(),
        records: BTreeMap::new(),
        first_runs: BTreeMap::new(),
        lingering: vec![],
        timers: vec![],
        cores_history: vec![],
        calls_history: vec![],
        drain: None,
        violation: None,
        now: at(0.0),
    }
}

/// Simulates one generated scenario and returns the first violation of a rule.
fn simulate(seed: u64) -> Option<String> {
    let mut simulation = new_simulation(seed);
    let mut controller = simulation.setup.controller();
    let started_at = at(simulation.uniform(-5000.0, 5000.0));
    let drain_at = started_at + ms(simulation.uniform(1000.0, 25_000.0));
    let rate = simulation.uniform(0.02, 0.6);
    let (mut now, mut paused_until, mut count) = (started_at, started_at, 0);
    while now.since(started_at) < ms(24_000.0) && simulation.violation.is_none() {
        now = now + simulation.setup.machine.tick;
        if simulation.drain.is_some_and(|(_, stop)| now >= stop) {
            let has_unanswered = simulation
                .jobs
                .values()
                .any(|model_job| model_job.awaits_answer && model_job.stage != Stage::Unread);
            simulation.record_violation_if(
                has_unanswered,
                "unanswered when the process stopped",
                &"-".into(),
            );
            break;
        }
        // New jobs and retries of earlier requests reach the machine. Some of the jobs wait unread for a long time.
        while simulation.random.next_f64() < rate && now.since(started_at) < ms(17_000.0) {
            count += 1;
            let job_class = (simulation.random.next_f64() * 3.0) as usize;
            let known_jobs: Vec<(usize, JobId)> =
                simulation.jobs.values().map(|k| (k.request, k.job.id.clone())).collect();
            let is_retry_attempt =
                job_class == 1 && !known_jobs.is_empty() && simulation.random.next_f64() < 0.4;
            let (mut request, mut original) = (count, None);
            if is_retry_attempt {
                let (number, id) =
                    known_jobs[(simulation.random.next_f64() * known_jobs.len() as f64) as usize].clone();
                // A caller waits at least 400 ms between two attempts.
                let last =
                    simulation.jobs.values().filter(|k| k.request == number).map(|k| k.job.received_at).max();
                let waited = last.is_some_and(|last| now.since(last) > ms(400.0));
                if simulation.jobs[&id].job.job_class == 1 && waited {
                    (request, original) = (number, Some(id));
                }
            }
            let id: JobId = format!("j{count}").into();
            let linked =
                simulation.records.get(&request).filter(|(_, until)| *until > now).map(|(id, _)| id.clone());
            let wait = if simulation.random.next_f64() < 0.1 {
                simulation.uniform(0.0, 3000.0)
            } else {
                simulation.uniform(0.0, 20.0)
            };
            let mut job = job(&id, now);
            (job.job_class, job.is_retry) =
                (job_class, original.is_some() && simulation.setup.callers.mark_retries);
            (job.retry_of, job.queued_kb) = (linked, simulation.uniform(5.0, 40.0));
            let due = now + simulation.setup.job_classes[job_class].deadline;
            let model_job = ModelJob {
                job,
                request,
                read_at: now + ms(wait),
                stage: Stage::Unread,
                due,
                awaits_answer: true,
                remaining_calls: (simulation.random.next_f64() * 3.0) as u32,
                call_in_doubt: false,
                has_run: false,
                started_at: now,
            };
            simulation.jobs.insert(id, model_job);
        }
        if now < paused_until {
            continue;
        }
        if simulation.random.next_f64() < 0.001 {
            paused_until = now + ms(simulation.uniform(50.0, 150.0));
            // The time during which the process is paused does not count as a delay of the controller.
            let unanswered = simulation.jobs.values_mut().filter(|model_job| model_job.awaits_answer);
            unanswered.for_each(|model_job| model_job.due = model_job.due.max(paused_until));
        }
        simulation.now = now;
        for decision in &report_events(&mut simulation, &mut controller, now, drain_at).unwrap_or_default() {
            simulation.apply(decision, now);
        }
        simulation.check_invariants(now, started_at);
    }
    simulation.violation
}

/// Reports all events of a tick to the controller. Returns the decisions, or `None` if there was no event.
fn report_events(
    simulation: &mut Simulation,
    controller: &mut Controller,
    now: Time,
    drain_at: Time,
) -> Option<Vec<Decision>> {
    let (mut arrived_jobs, mut ended_runs, mut requested_calls, mut ended_calls, mut disconnected) =
        (vec![], vec![], vec![], vec![], vec![]);
    let ids: Vec<JobId> = simulation.jobs.keys().cloned().collect();
    for id in ids {
        let (draw, disconnects, work) = (
            simulation.random.next_f64(),
            simulation.random.next_f64() < 0.0005,
            simulation.uniform(20.0, 1500.0),
        );
        let calls = simulation.setup.job_classes[simulation.jobs[&id].job.job_class].calls_dependency;
        let linger = simulation.setup.dependency.linger;
        let Some(model_job) = simulation.jobs.get_mut(&id) else { continue };
        match model_job.stage {
            Stage::Unread if model_job.read_at <= now => {
                (model_job.stage, model_job.due) = (Stage::Queued, model_job.due.max(now));
                arrived_jobs.push(model_job.job.clone());
            }
            Stage::Running(end) if end <= now => {
                if model_job.awaits_answer && calls && model_job.remaining_calls > 0 {
                    (model_job.stage, model_job.remaining_calls) =
                        (Stage::AwaitingCallPermit, model_job.remaining_calls - 1);
                    requested_calls.push(id.clone());
                } else {
                    (model_job.stage, model_job.awaits_answer) = (Stage::Ended, false);
                    let outcome = if draw < 0.1 { Outcome::Failed } else { Outcome::Completed };
                    ended_runs.push((id.clone(), outcome, now.since(model_job.started_at)));
                }
            }
            Stage::AwaitingCallPermit if !model_job.awaits_answer => {
                model_job.stage = Stage::Ended;
                ended_runs.push((id.clone(), Outcome::Cancelled, now.since(model_job.started_at)));
            }
            Stage::CallInFlight { started_at: call_started_at, .. } if !model_job.awaits_answer => {
                model_job.stage = Stage::Ended;
                simulation.lingering.push(now + linger);
                ended_runs.push((id.clone(), Outcome::Cancelled, now.since(call_started_at)));
            }
            Stage::CallInFlight { started_at: call_started_at, ends_at, timeout_at }
                if ends_at <= now || timeout_at <= now =>
            {
                let outcome = match draw {
                    _ if timeout_at < ends_at => Outcome::TimedOut,
                    _ if draw < 0.1 => Outcome::Failed,
                    _ if draw < 0.2 => Outcome::Rejected,
                    _ if draw < 0.3 => Outcome::ConnectionLost,
                    _ => Outcome::Completed,
                };
                simulation.lingering.extend((outcome == Outcome::TimedOut).then_some(now + linger));
                model_job.call_in_doubt = outcome != Outcome::Completed && !outcome.never_ran();
                model_job.stage = if outcome == Outcome::Completed {
                    Stage::Running(now + ms(work))
                } else {
                    Stage::AwaitingCallPermit
                };
                ended_calls.push((id.clone(), outcome, now.since(call_started_at)));
            }
            Stage::Queued | Stage::Running(_) | Stage::AwaitingOriginal
                if disconnects && model_job.awaits_answer =>
            {
                model_job.awaits_answer = false;
                model_job.stage =
                    if matches!(model_job.stage, Stage::Running(_)) { model_job.stage } else { Stage::Ended };
                disconnected.push(id.clone());
            }
            _ => {}
        }
    }
    // Attempts of one request that are read in one batch name each other as the original, whether or not a record
    // exists.
    let requests: Vec<usize> = arrived_jobs.iter().map(|job| simulation.jobs[&job.id].request).collect();
    for index in 0..arrived_jobs.len() {
        let other =
            (0..arrived_jobs.len()).find(|other| *other != index && requests[*other] == requests[index]);
        if let Some(other) =
            other.filter(|_| arrived_jobs[index].retry_of.is_none() && arrived_jobs[index].job_class == 1)
        {
            arrived_jobs[index].retry_of = Some(arrived_jobs[other].id.clone());
            let (id, original) = (arrived_jobs[index].id.clone(), arrived_jobs[index].retry_of.clone());
            if let Some(model_job) = simulation.jobs.get_mut(&id) {
                model_job.job.retry_of = original;
            }
        }
    }
    let fired_timers: Vec<u64> =
        simulation.timers.iter().filter(|(at, _)| *at <= now).map(|(_, token)| *token).collect();
    simulation.timers.retain(|(at, _)| *at > now);
    let drain_stop = (now >= drain_at && simulation.drain.is_none()).then(|| now + ms(4000.0));
    simulation.drain = simulation.drain.or(drain_stop.map(|stop| (now, stop)));
    let busy = simulation.random.next_f64();
    let event_counts = [
        arrived_jobs.len(),
        ended_runs.len(),
        requested_calls.len(),
        ended_calls.len(),
        disconnected.len(),
        fired_timers.len(),
    ];
    if event_counts.iter().sum::<usize>() == 0 && drain_stop.is_none() {
        return None;
    }
    Some(round(controller, now, |sink| {
        // The host may report an unknown job or an unknown timer.
        sink.run_ended(&"unknown-job".into(), Outcome::Superseded, Span::ZERO);
        sink.timer_fired(u64::MAX, None);
        arrived_jobs.into_iter().for_each(|job| sink.job_arrived(job));
        ended_runs.iter().for_each(|(id, outcome, took)| sink.run_ended(id, *outcome, *took));
        requested_calls.iter().for_each(|id| sink.call_requested(id));
        ended_calls.iter().for_each(|(id, outcome, took)| sink.call_ended(id, *outcome, *took));
        disconnected.iter().for_each(|id| sink.caller_disconnected(id));
        fired_timers.iter().for_each(|token| sink.timer_fired(*token, Some(busy)));
        if let Some(stop) = drain_stop {
            sink.drain_started(stop);
        }
    }))
}

/// The seed of a generated scenario. A smaller seed does not give a simpler scenario, so there is nothing to shrink.
#[derive(Clone, Debug)]
struct GeneratedScenario(u64);

impl Arbitrary for GeneratedScenario {
    fn arbitrary(gen_: &mut Gen) -> GeneratedScenario {
        GeneratedScenario(u64::arbitrary(gen_))
    }
}

#[test]
fn controller_and_model_agree() {
    fn satisfies_rules(scenario: GeneratedScenario) -> Result<(), String> {
        simulate(scenario.0).map_or(Ok(()), |violation| Err(format!("{scenario:?}: {violation}")))
    }
    let fixed = Gen::from_size_and_seed(100, 20_261_201);
    QuickCheck::new()
        .rng(fixed)
        .tests(400)
        .quickcheck(satisfies_rules as fn(GeneratedScenario) -> Result<(), String>);
}
