//! Regression test of the controller's decisions. Seeded scenarios are simulated, and all decisions of each scenario
//! are hashed in order into a digest, which must equal the digest in `recorded/decisions.txt`. Refactoring leaves the
//! digests unchanged; a change of any decision alters them. `RECORD=1 cargo test -p hazelgrade --test decisions`
//! rewrites the file.

#![allow(clippy::expect_used, clippy::too_many_lines)]

mod common;

use common::*;
use hazelgrade::api::*;
use hazelgrade::controller::{Controller, EventSink};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;

const TICK_MS: f64 = 10.0;
const DIGESTS_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/decisions.txt");

/// The parameters of a scenario. All other values are drawn from the seed.
#[derive(Clone)]
struct Scenario {
    name: &'static str,
    seed: u64,
    setup: Setup,
    tenants: Vec<Tenant>,
    duration_ms: f64,
    /// Jobs per second at a load factor of 1.
    jobs_per_s: f64,
    /// Ratio of the calls that get no reply.
    unanswered_call_ratio: f64,
    /// Whether the controller holds a call lease, which is renewed four times per second.
    has_call_lease: bool,
    /// Start and duration of the drain.
    drain_ms: Option<(f64, f64)>,
    /// Times at which new settings take effect.
    updates_ms: Vec<f64>,
    /// Start and duration of each pause of the process.
    stalls_ms: Vec<(f64, f64)>,
    /// Longest time that jobs wait unread.
    max_unread_ms: f64,
    job_kb: f64,
    /// Probability that the caller retries a rejected job.
    retry_probability: f64,
    /// Constant load factor that replaces the varying load.
    constant_load: Option<f64>,
    /// Range of the measured ratio of cores in use.
    core_use_range: (f64, f64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Queued,
    Running { left_ms: f64 },
    AwaitingCallPermit,
    CallInFlight { started_at: Time, ends_at: Time, outcome: Outcome },
    AwaitingOriginal,
}

struct SimulatedJob {
    job: Job,
    stage: Stage,
    answered: bool,
    remaining_calls: u32,
    started_at: Time,
    cancelled: bool,
}

/// A rejected job that the caller will send again.
struct Retry {
    due: Time,
    job: Job,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    random: MultiplyWithCarry,
    jobs: BTreeMap<JobId, SimulatedJob>,
    retries: Vec<Retry>,
    timers: Vec<(Time, u64)>,
    jobs_created: u64,
    events: u64,
    decisions: u64,
    digest: Sha256,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Simulation<'a> {
        Simulation {
            scenario,
            random: MultiplyWithCarry::new(scenario.seed),
            jobs: BTreeMap::new(),
            retries: Vec::new(),
            timers: Vec::new(),
            jobs_created: 0,
            events: 0,
            decisions: 0,
            digest: Sha256::new(),
        }
    }

    fn uniform(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * self.random.next_f64()
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.random.next_f64() < probability
    }

    /// Returns the load factor: by default a cycle of low load, a long overload, moderate load and a burst.
    fn load(&self, now_ms: f64) -> f64 {
        if let Some(load) = self.scenario.constant_load {
            return load;
        }
        match (now_ms / 3000.0) as u64 % 5 {
            0 => 0.4,
            1 | 2 => 2.2,
            3 => 0.7,
            _ => 4.0,
        }
    }

    fn new_job(&mut self, now: Time) -> Job {
        self.jobs_created += 1;
        let classes = self.scenario.setup.job_classes.len() as f64;
        let tenants = self.scenario.tenants.len().max(1) as f64;
        let unread = self.scenario.max_unread_ms * self.random.next_f64() * self.random.next_f64();
        let received_at = now - ms(unread);
        let skew = self.random.next_f64();
        Job {
            id: format!("j{}", self.jobs_created).into(),
            job_class: (self.random.next_f64() * classes) as usize,
            tenant: (skew * skew * tenants) as usize,
            received_at,
            caller_deadline: self
                .chance(0.3)
                .then(|| received_at + ms(self.scenario.duration_ms.min(2500.0))),
            expected_work: self.chance(0.4).then(|| ms(80.0)),
            queued_kb: self.scenario.job_kb * (0.5 + self.random.next_f64()),
            priority_rank: self.random.next_f64(),
            is_retry: false,
            retry_of: None,
            from_known_caller: !self.chance(0.05),
            over_caller_limit: self.chance(0.05),
            lease_retry_after: self.chance(0.02).then(|| ms(150.0)),
        }
    }

    /// Creates a retry of a job. The caller may mark the retry as such, and the host may know the original job.
    fn retry_of(&mut self, job: &Job, now: Time) -> Job {
        self.jobs_created += 1;
        let linked = self.chance(0.6);
        Job {
            id: format!("r{}", self.jobs_created).into(),
            received_at: now,
            is_retry: self.scenario.setup.callers.mark_retries && self.chance(0.9),
            retry_of: linked.then(|| job.id.clone()),
            caller_deadline: None,
            lease_retry_after: None,
            ..job.clone()
        }
    }

    fn arrivals(&mut self, now: Time) -> Vec<Job> {
        let expected = self.scenario.jobs_per_s * self.load(now.as_ms()) * TICK_MS / 1000.0;
        let mut jobs = Vec::new();
        let mut left = expected + self.random.next_f64();
        while left >= 1.0 {
            jobs.push(self.new_job(now));
            left -= 1.0;
        }
        let (due, later) = std::mem::take(&mut self.retries).into_iter().partition(|retry| retry.due <= now);
        self.retries = later;
        let due: Vec<Retry> = due;
        jobs.extend(due.iter().map(|retry| self.retry_of(&retry.job, now)).collect::<Vec<_>>());
        if self.chance(0.02) && !jobs.is_empty() {
            // Two attempts of one request that are read in one batch name each other as the original.
            let mut duplicate = self.retry_of(&jobs[0].clone(), now);
            duplicate.retry_of = Some(jobs[0].id.clone());
            jobs[0].retry_of = Some(duplicate.id.clone());
            jobs.push(duplicate);
        }
        jobs
    }

    /// Reports all events of this tick to the controller.
    fn report_events(&mut self, now: Time, sink: &mut EventSink) {
        for job in self.arrivals(now) {
            let remaining_calls = (self.random.next_f64() * 3.0) as u32;
            sink.job_arrived(job.clone());
            self.events += 1;
            let tracked = SimulatedJob {
                job,
                stage: Stage::Queued,
                answered: false,
                remaining_calls,
                started_at: now,
                cancelled: false,
            };
            self.jobs.insert(tracked.job.id.clone(), tracked);
        }
        self.advance_jobs(now, sink);
        self.disconnect_caller(sink);
        let timers = std::mem::take(&mut self.timers);
        for (at, token) in timers {
            if at > now {
                self.timers.push((at, token));
                continue;
            }
            let (min, max) = self.scenario.core_use_range;
            let busy = self.uniform(min, max);
            let used = self.chance(0.8).then_some(busy);
            sink.timer_fired(token, used);
            self.events += 1;
        }
        let is_lease_renewal = ((now.as_ms() / TICK_MS) as u64).is_multiple_of(25);
        if self.scenario.has_call_lease && is_lease_renewal {
            let calls = self.uniform(0.0, 6.0).floor();
            let expires = now + ms(self.uniform(100.0, 600.0));
            let retry_ms = self.uniform(100.0, 6000.0);
            let max_call_time = ms(self.uniform(300.0, 2000.0));
            sink.call_lease_updated(CallLease {
                calls,
                expires,
                calls_after_expiry: 1.0,
                max_call_time,
                retry_after: ms(retry_ms),
            });
            self.events += 1;
        }
        if let Some((at, duration)) = self.scenario.drain_ms
            && now.as_ms() >= at
            && now.as_ms() < at + TICK_MS
        {
            sink.drain_started(now + ms(duration));
            self.events += 1;
        }
    }

    /// Advances all runs and calls by one tick and reports those that end.
    fn advance_jobs(&mut self, now: Time, sink: &mut EventSink) {
        let running =
            self.jobs.values().filter(|job| matches!(job.stage, Stage::Running { .. })).count() as f64;
        let step = TICK_MS * (self.scenario.setup.machine.cores / running.max(1.0)).min(1.0);
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(tracked) = self.jobs.get(&id) else { continue };
            let class = self.scenario.setup.job_classes[tracked.job.job_class].clone();
            match tracked.stage {
                Stage::Running { left_ms } if left_ms > step && !tracked.cancelled => {
                    self.jobs.get_mut(&id).expect("the id was read from the job table").stage =
                        Stage::Running { left_ms: left_ms - step };
                }
                Stage::Running { .. } => self.end_run_step(&id, now, class.calls_dependency, sink),
                Stage::CallInFlight { started_at, ends_at, outcome } if ends_at <= now => {
                    sink.call_ended(&id, outcome, now.since(started_at));
                    self.events += 1;
                    let left_ms = self.uniform(5.0, 60.0);
                    let tracked = self.jobs.get_mut(&id).expect("the id was read from the job table");
                    tracked.stage = match outcome {
                        Outcome::Completed => Stage::Running { left_ms },
                        _ => Stage::AwaitingCallPermit,
                    };
                }
                _ => {}
            }
        }
    }

    fn end_run_step(&mut self, id: &JobId, now: Time, calls: bool, sink: &mut EventSink) {
        let fails = self.chance(0.03);
        let preempted = self.chance(0.01);
        let tracked = self.jobs.get_mut(id).expect("the id was read from the job table");
        self.events += 1;
        if tracked.cancelled || preempted {
            sink.run_ended(id, Outcome::Cancelled, now.since(tracked.started_at));
            let is_requeued = !tracked.answered;
            tracked.stage = Stage::Queued;
            tracked.cancelled = false;
            if !is_requeued {
                self.jobs.remove(id);
            }
        } else if calls && tracked.remaining_calls > 0 {
            tracked.remaining_calls -= 1;
            tracked.stage = Stage::AwaitingCallPermit;
            sink.call_requested(id);
        } else {
            let outcome = if fails { Outcome::Failed } else { Outcome::Completed };
            sink.run_ended(id, outcome, now.since(tracked.started_at));
            self.jobs.remove(id);
        }
    }

    fn disconnect_caller(&mut self, sink: &mut EventSink) {
        if !self.chance(0.05) || self.jobs.is_empty() {
            return;
        }
        let index = (self.random.next_f64() * self.jobs.len() as f64) as usize;
        let Some(id) = self.jobs.keys().nth(index).cloned() else { return };
        let Some(tracked) = self.jobs.get_mut(&id).filter(|tracked| !tracked.answered) else { return };
        tracked.answered = true;
        let is_waiting = matches!(tracked.stage, Stage::Queued | Stage::AwaitingOriginal);
        sink.caller_disconnected(&id);
        self.events += 1;
        if is_waiting {
            self.jobs.remove(&id);
        }
    }

    fn call_outcome(&mut self, now: Time, timeout: Span) -> (Time, Outcome) {
        let timeout_at = now + timeout;
        let took = ms(self.uniform(20.0, 120.0) * if self.chance(0.1) { 6.0 } else { 1.0 });
        let draw = self.random.next_f64();
        let (ends_at, outcome) = match draw {
            draw if draw < self.scenario.unanswered_call_ratio => (timeout_at, Outcome::TimedOut),
            draw if draw > 0.99 => (now + ms(10.0), Outcome::Rejected),
            draw if draw > 0.98 => (now + ms(10.0), Outcome::Unreachable),
            draw if draw > 0.96 => (now + took, Outcome::ConnectionLost),
            draw if draw > 0.94 => (now + took, Outcome::Failed),
            draw if draw > 0.93 => (now + took, Outcome::Superseded),
            _ => (now + took, Outcome::Completed),
        };
        if ends_at >= timeout_at { (timeout_at, Outcome::TimedOut) } else { (ends_at, outcome) }
    }

    fn answered(&mut self, id: &JobId, retry_after: Option<Span>, now: Time) {
        let retries = self.chance(self.scenario.retry_probability);
        let Some(tracked) = self.jobs.get_mut(id) else { return };
        tracked.answered = true;
        if let Some(retry_after) = retry_after.filter(|_| retries) {
            self.retries.push(Retry { due: now + retry_after + ms(20.0), job: tracked.job.clone() });
        }
        if matches!(tracked.stage, Stage::Queued | Stage::AwaitingOriginal) {
            self.jobs.remove(id);
        }
    }

    fn apply(&mut self, decision: &Decision, now: Time) {
        self.decisions += 1;
        let line = format_decision(decision);
        self.digest.update(line.as_bytes());
        let left_ms = self.uniform(10.0, 140.0);
        match decision {
            Decision::StartRun(id) => {
                let Some(tracked) = self.jobs.get_mut(id) else { return };
                (tracked.stage, tracked.started_at) = (Stage::Running { left_ms }, now);
            }
            Decision::Reject(id, retry_after, _) => self.answered(id, Some(*retry_after), now),
            Decision::Fail(id) => self.answered(id, None, now),
            Decision::StartCall(id, timeout) => {
                let (ends_at, outcome) = self.call_outcome(now, *timeout);
                let Some(tracked) = self.jobs.get_mut(id) else { return };
                tracked.stage = Stage::CallInFlight { started_at: now, ends_at, outcome };
            }
            Decision::SkipCall(id) => {
                let Some(tracked) = self.jobs.get_mut(id) else { return };
                tracked.stage = Stage::Running { left_ms };
            }
            Decision::CancelRun(id) => {
                let Some(tracked) = self.jobs.get_mut(id) else { return };
                tracked.cancelled = true;
            }
            Decision::AwaitOriginal(id) => {
                let Some(tracked) = self.jobs.get_mut(id) else { return };
                tracked.stage = Stage::AwaitingOriginal;
            }
            Decision::SetTimer(at, token) => self.timers.push((*at, *token)),
            Decision::StoreRecord(..)
            | Decision::RemoveRecord(_)
            | Decision::LoadSignal(_)
            | Decision::Health(_)
            | Decision::LimitedByLease(_) => {}
        }
    }
}

/// Formats a decision as one line. The words are independent of the names in the code, so that renaming does not change
/// the digests.
fn format_decision(decision: &Decision) -> String {
    match decision {
        Decision::StartRun(id) => format!("run {id}\n"),
        Decision::Reject(id, retry_after, not_elsewhere) => {
            format!("reject {id} {} {not_elsewhere}\n", retry_after.as_ms())
        }
        Decision::Fail(id) => format!("fail {id}\n"),
        Decision::StartCall(id, timeout) => format!("call {id} {}\n", timeout.as_ms()),
        Decision::SkipCall(id) => format!("skip {id}\n"),
        Decision::CancelRun(id) => format!("cancel {id}\n"),
        Decision::AwaitOriginal(id) => format!("original {id}\n"),
        Decision::StoreRecord(id, lifetime) => format!("record {id} {}\n", lifetime.as_ms()),
        Decision::RemoveRecord(id) => format!("forget {id}\n"),
        Decision::LoadSignal(value) => format!("signal {value}\n"),
        Decision::Health(healthy) => format!("health {healthy}\n"),
        Decision::SetTimer(at, token) => format!("timer {} {token}\n", at.as_ms()),
        Decision::LimitedByLease(id) => format!("limited {id}\n"),
    }
}

/// Returns settings with changed objectives and weights of the existing classes, and one more class per update.
fn settings_update(scenario: &Scenario, update_number: usize) -> SettingsUpdate {
    let classes =
        scenario.setup.job_classes.iter().cycle().take(scenario.setup.job_classes.len() + update_number + 1);
    let objective_ratio = 1.0 - 0.2 * update_number as f64;
    let slots = classes.enumerate().map(|(index, class)| ClassSlot {
        class: JobClass {
            latency_objective: class.latency_objective * objective_ratio,
            priority_weight: class.priority_weight + 0.5,
            ..class.clone()
        },
        in_use: index != update_number,
    });
    let mut tenants = scenario.tenants.clone();
    tenants.iter_mut().for_each(|tenant| tenant.quota_per_s *= 0.3);
    tenants.push(Tenant { quota_per_s: 5.0 });
    SettingsUpdate {
        job_classes: slots.collect(),
        tenants,
        limits: scenario.setup.limits.clone(),
        reset_classes: vec![0],
        reset_tenants: vec![0],
    }
}

fn simulate(scenario: &Scenario) -> String {
    let Setup { job_classes, machine, limits, dependency, callers } = scenario.setup.clone();
    let tenants = scenario.tenants.clone();
    let random = MultiplyWithCarry::new(scenario.seed + 1);
    let mut controller = Controller::new(job_classes, tenants, machine, limits, dependency, callers, random);
    let mut simulation = Simulation::new(scenario);
    let (mut now_ms, mut updates) = (0.0, 0);
    while now_ms < scenario.duration_ms {
        let now = at(now_ms);
        let decisions = round(&mut controller, now, |sink| simulation.report_events(now, sink));
        for decision in &decisions {
            simulation.apply(decision, now);
        }
        let demand = controller.call_demand(now);
        simulation.digest.update(format!("need {} {}\n", demand.in_flight, demand.wanted).as_bytes());
        if scenario.updates_ms.get(updates).is_some_and(|due| *due <= now_ms) {
            // An update with fewer classes must be refused, as a job in flight may refer to a removed class.
            let mut too_few = settings_update(scenario, updates);
            too_few.job_classes.truncate(1);
            let accepted = controller.update_settings(now, too_few);
            simulation.digest.update(format!("fewer {accepted}\n").as_bytes());
            let accepted = controller.update_settings(now, settings_update(scenario, updates));
            simulation.digest.update(format!("update {accepted}\n").as_bytes());
            updates += 1;
        }
        let stall = scenario.stalls_ms.iter().find(|(from, _)| *from <= now_ms && now_ms < *from + TICK_MS);
        now_ms += stall.map_or(TICK_MS, |(_, duration)| *duration);
    }
    let digest = simulation.digest.finalize().iter().take(8).fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    });
    format!("{} events {} decisions {} {digest}", scenario.name, simulation.events, simulation.decisions)
}

fn class(idempotency: Idempotency, priority_weight: f64) -> JobClass {
    JobClass { idempotency, priority_weight, ..setup().job_classes[0].clone() }
}

/// One class of each kind: idempotent, keyed, at most once, with an optional call, without calls.
fn classes() -> Vec<JobClass> {
    vec![
        JobClass { late_weight_ratio: 0.3, objective_per_work: 1.0, ..class(Idempotency::Idempotent, 1.0) },
        JobClass { retry_window: ms(4000.0), ..class(Idempotency::Keyed, 3.0) },
        class(Idempotency::AtMostOnce, 2.0),
        JobClass {
            weight_ratio_without_call: 0.6,
            latency_objective: ms(1200.0),
            ..class(Idempotency::Idempotent, 0.5)
        },
        JobClass { calls_dependency: false, ..class(Idempotency::Idempotent, 1.5) },
    ]
}

fn base_scenario(name: &'static str, seed: u64) -> Scenario {
    let mut setup = setup();
    setup.job_classes = classes();
    Scenario {
        name,
        seed,
        setup,
        tenants: vec![
            Tenant { quota_per_s: 20.0 },
            Tenant { quota_per_s: 4.0 },
            Tenant { quota_per_s: f64::INFINITY },
        ],
        duration_ms: 40_000.0,
        jobs_per_s: 35.0,
        unanswered_call_ratio: 0.02,
        has_call_lease: false,
        drain_ms: None,
        updates_ms: vec![],
        stalls_ms: vec![],
        max_unread_ms: 30.0,
        job_kb: 20.0,
        retry_probability: 0.5,
        constant_load: None,
        core_use_range: (0.5, 1.0),
    }
}

fn scenarios() -> Vec<Scenario> {
    let mut all = Vec::new();

    let mut overload = base_scenario("overload", 11);
    overload.drain_ms = Some((36_000.0, 3_500.0));
    all.push(overload);

    let mut limited = base_scenario("call-limit", 12);
    limited.setup.dependency.max_calls = Some(6.0);
    limited.setup.callers.signal = LoadSignal::Credit;
    limited.unanswered_call_ratio = 0.1;
    limited.drain_ms = Some((30_000.0, 6_000.0));
    all.push(limited);

    let mut fraction = base_scenario("call-limit-below-one", 13);
    fraction.setup.dependency.max_calls = Some(0.7);
    fraction.setup.callers.signal = LoadSignal::Level;
    all.push(fraction);

    let mut lease = base_scenario("leased-calls", 14);
    lease.has_call_lease = true;
    lease.setup.callers.signal = LoadSignal::Silent;
    lease.updates_ms = vec![15_000.0];
    lease.setup.callers.max_retry_after = ms(8_000.0);
    all.push(lease);

    let mut memory = base_scenario("memory", 15);
    memory.job_kb = 300.0;
    memory.setup.machine.memory_kb = 12_000.0;
    memory.setup.machine.cancellation = Cancellation::Requeues;
    memory.drain_ms = Some((38_000.0, 900.0));
    all.push(memory);

    let mut cold = base_scenario("cold-start", 16);
    cold.setup.machine.cold = true;
    cold.setup.limits.max_jobs_per_core = 2.0;
    cold.setup.machine.cancellation = Cancellation::Unsupported;
    all.push(cold);

    let mut unmarked = base_scenario("unmarked-retries", 17);
    unmarked.setup.callers.mark_retries = false;
    unmarked.setup.callers.max_retry_after = ms(4_000.0);
    unmarked.setup.job_classes = vec![classes()[1].clone(), classes()[2].clone(), classes()[0].clone()];
    unmarked.max_unread_ms = 900.0;
    all.push(unmarked);

    let mut stalls = base_scenario("stalls-and-many-callers", 18);
    stalls.setup.callers.count = 500.0;
    stalls.setup.callers.max_retry_after = ms(10_000.0);
    stalls.max_unread_ms = 4_000.0;
    stalls.jobs_per_s = 30.0;
    stalls.stalls_ms = vec![(9_000.0, 2_500.0), (20_000.0, 700.0)];
    all.push(stalls);

    let mut updates = base_scenario("settings-updates", 19);
    updates.updates_ms = vec![8_000.0, 16_000.0, 24_000.0];
    updates.drain_ms = Some((38_000.0, 1_800.0));
    all.push(updates);

    let mut slow = base_scenario("slow-dependency", 20);
    slow.unanswered_call_ratio = 0.5;
    slow.setup.job_classes = vec![classes()[3].clone(), classes()[0].clone(), classes()[3].clone()];
    all.push(slow);

    let mut busy = base_scenario("busy-cores", 21);
    busy.core_use_range = (0.94, 1.0);
    busy.constant_load = Some(1.3);
    all.push(busy);

    let mut few_jobs = base_scenario("few-jobs-a-core", 22);
    few_jobs.setup.limits.max_jobs_per_core = 1.2;
    few_jobs.unanswered_call_ratio = 0.3;
    few_jobs.setup.job_classes = vec![classes()[3].clone(), classes()[4].clone()];
    all.push(few_jobs);

    let mut drain = base_scenario("long-drain", 23);
    drain.constant_load = Some(0.9);
    drain.retry_probability = 0.0;
    drain.unanswered_call_ratio = 0.4;
    drain.drain_ms = Some((20_000.0, 9_000.0));
    drain.setup.limits.drain_grace = ms(5_000.0);
    all.push(drain);

    let mut small = base_scenario("little-memory", 24);
    small.job_kb = 120.0;
    small.setup.machine.memory_kb = 9_000.0;
    small.setup.machine.running_memory_ratio = 2.0;
    small.setup.job_classes = vec![classes()[4].clone(), classes()[1].clone()];
    small.max_unread_ms = 600.0;
    all.push(small);

    all
}

#[test]
fn the_same_events_give_the_same_decisions_as_recorded() {
    let simulated: Vec<String> = scenarios().iter().map(simulate).collect();
    let text = simulated.join("\n") + "\n";
    if std::env::var_os("RECORD").is_some() {
        std::fs::write(DIGESTS_PATH, &text).expect("the file of recorded digests is writable");
    }
    let recorded = std::fs::read_to_string(DIGESTS_PATH).expect("the file of recorded digests is readable");
    assert_eq!(text, recorded, "the decisions differ from the recorded decisions");
}
