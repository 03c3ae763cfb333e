//! Seeded histories are played against the controller and every decision it writes, in order, goes into a digest. The
//! digests stand in `recorded/decisions.txt`: a change of names or of shape leaves them as they are, a change of what is
//! decided does not. `RECORD=1 cargo test -p hazelgrade --test decisions` writes the file anew.

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
const RECORDED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/decisions.txt");

/// What one history is about; everything else is drawn from its seed.
#[derive(Clone)]
struct History {
    name: &'static str,
    seed: u64,
    setup: Setup,
    tenants: Vec<Tenant>,
    lasts_ms: f64,
    /// Jobs a second at a load factor of one.
    rate: f64,
    /// Part of the calls that never come back.
    silent_calls: f64,
    /// The controller is given a lease of calls, renewed four times a second.
    leased: bool,
    /// When the drain begins, and how long it lasts.
    drain_ms: Option<(f64, f64)>,
    /// When new settings take effect.
    updates_ms: Vec<f64>,
    /// When the process stands still, and for how long.
    stalls_ms: Vec<(f64, f64)>,
    /// Jobs lie unread for up to this long.
    unread_ms: f64,
    job_kb: f64,
    /// Probability that a rejected request is sent again.
    retried: f64,
    /// Load factor at all times, in place of quiet spells and bursts.
    steady_load: Option<f64>,
    /// Least and most part of the cores that is found busy.
    cores_busy: (f64, f64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Queued,
    Running { left_ms: f64 },
    AwaitingCall,
    Calling { made: Time, ends: Time, outcome: Outcome },
    AwaitingOriginal,
}

struct Tracked {
    job: Job,
    at: Stage,
    answered: bool,
    calls_left: u32,
    began: Time,
    cancelled: bool,
}

/// A rejected request that its caller sends again.
struct Retry {
    due: Time,
    job: Job,
}

struct World<'a> {
    history: &'a History,
    random: MultiplyWithCarry,
    jobs: BTreeMap<JobId, Tracked>,
    retries: Vec<Retry>,
    timers: Vec<(Time, u64)>,
    made: u64,
    events: u64,
    decisions: u64,
    digest: Sha256,
}

impl<'a> World<'a> {
    fn new(history: &'a History) -> World<'a> {
        World {
            history,
            random: MultiplyWithCarry::new(history.seed),
            jobs: BTreeMap::new(),
            retries: Vec::new(),
            timers: Vec::new(),
            made: 0,
            events: 0,
            decisions: 0,
            digest: Sha256::new(),
        }
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.random.next_f64()
    }

    fn happens(&mut self, probability: f64) -> bool {
        self.random.next_f64() < probability
    }

    /// A quiet start, a long overload, a quiet spell, a burst, and so on.
    fn load(&self, now_ms: f64) -> f64 {
        if let Some(load) = self.history.steady_load {
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
        self.made += 1;
        let classes = self.history.setup.job_classes.len() as f64;
        let tenants = self.history.tenants.len().max(1) as f64;
        let unread = self.history.unread_ms * self.random.next_f64() * self.random.next_f64();
        let received_at = now - ms(unread);
        let skew = self.random.next_f64();
        Job {
            id: format!("j{}", self.made).into(),
            job_class: (self.random.next_f64() * classes) as usize,
            tenant: (skew * skew * tenants) as usize,
            received_at,
            caller_deadline: self.happens(0.3).then(|| received_at + ms(self.history.lasts_ms.min(2500.0))),
            expected_work: self.happens(0.4).then(|| ms(80.0)),
            queued_kb: self.history.job_kb * (0.5 + self.random.next_f64()),
            priority_rank: self.random.next_f64(),
            is_retry: false,
            retry_of: None,
            from_known_caller: !self.happens(0.05),
            over_caller_limit: self.happens(0.05),
            lease_retry_after: self.happens(0.02).then(|| ms(150.0)),
        }
    }

    /// The same request again; its caller may say so, and the host may find the job of which it is a retry.
    fn retry_of(&mut self, job: &Job, now: Time) -> Job {
        self.made += 1;
        let linked = self.happens(0.6);
        Job {
            id: format!("r{}", self.made).into(),
            received_at: now,
            is_retry: self.history.setup.callers.mark_retries && self.happens(0.9),
            retry_of: linked.then(|| job.id.clone()),
            caller_deadline: None,
            lease_retry_after: None,
            ..job.clone()
        }
    }

    fn arrivals(&mut self, now: Time) -> Vec<Job> {
        let expected = self.history.rate * self.load(now.as_ms()) * TICK_MS / 1000.0;
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
        if self.happens(0.02) && !jobs.is_empty() {
            // Two of the same in one batch name each other.
            let mut twin = self.retry_of(&jobs[0].clone(), now);
            twin.retry_of = Some(jobs[0].id.clone());
            jobs[0].retry_of = Some(twin.id.clone());
            jobs.push(twin);
        }
        jobs
    }

    /// Tells the controller all that happens in this tick.
    fn feed(&mut self, now: Time, sink: &mut EventSink) {
        for job in self.arrivals(now) {
            let calls_left = (self.random.next_f64() * 3.0) as u32;
            sink.job_arrived(job.clone());
            self.events += 1;
            let tracked =
                Tracked { job, at: Stage::Queued, answered: false, calls_left, began: now, cancelled: false };
            self.jobs.insert(tracked.job.id.clone(), tracked);
        }
        self.progress(now, sink);
        self.disconnects(sink);
        let timers = std::mem::take(&mut self.timers);
        for (at, token) in timers {
            if at > now {
                self.timers.push((at, token));
                continue;
            }
            let (least, most) = self.history.cores_busy;
            let busy = self.between(least, most);
            let used = self.happens(0.8).then_some(busy);
            sink.timer_fired(token, used);
            self.events += 1;
        }
        let quarter = ((now.as_ms() / TICK_MS) as u64).is_multiple_of(25);
        if self.history.leased && quarter {
            let calls = self.between(0.0, 6.0).floor();
            let until = now + ms(self.between(100.0, 600.0));
            let retry_ms = self.between(100.0, 6000.0);
            let longest = ms(self.between(300.0, 2000.0));
            sink.call_lease_updated(CallLease {
                calls,
                expires: until,
                calls_after_expiry: 1.0,
                max_call_time: longest,
                retry_after: ms(retry_ms),
            });
            self.events += 1;
        }
        if let Some((at, lasts)) = self.history.drain_ms
            && now.as_ms() >= at
            && now.as_ms() < at + TICK_MS
        {
            sink.drain_started(now + ms(lasts));
            self.events += 1;
        }
    }

    /// Runs and calls go on, and end.
    fn progress(&mut self, now: Time, sink: &mut EventSink) {
        let running = self.jobs.values().filter(|job| matches!(job.at, Stage::Running { .. })).count() as f64;
        let step = TICK_MS * (self.history.setup.machine.cores / running.max(1.0)).min(1.0);
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(tracked) = self.jobs.get(&id) else { continue };
            let class = self.history.setup.job_classes[tracked.job.job_class].clone();
            match tracked.at {
                Stage::Running { left_ms } if left_ms > step && !tracked.cancelled => {
                    self.jobs.get_mut(&id).expect("tracked").at = Stage::Running { left_ms: left_ms - step };
                }
                Stage::Running { .. } => self.run_step_over(&id, now, class.calls_dependency, sink),
                Stage::Calling { made, ends, outcome } if ends <= now => {
                    sink.call_ended(&id, outcome, now.since(made));
                    self.events += 1;
                    let left_ms = self.between(5.0, 60.0);
                    let tracked = self.jobs.get_mut(&id).expect("tracked");
                    tracked.at = match outcome {
                        Outcome::Completed => Stage::Running { left_ms },
                        _ => Stage::AwaitingCall,
                    };
                }
                _ => {}
            }
        }
    }

    fn run_step_over(&mut self, id: &JobId, now: Time, calls: bool, sink: &mut EventSink) {
        let ends = self.happens(0.03);
        let preempted = self.happens(0.01);
        let tracked = self.jobs.get_mut(id).expect("tracked");
        self.events += 1;
        if tracked.cancelled || preempted {
            sink.run_ended(id, Outcome::Cancelled, now.since(tracked.began));
            let pauses = !tracked.answered;
            tracked.at = Stage::Queued;
            tracked.cancelled = false;
            if !pauses {
                self.jobs.remove(id);
            }
        } else if calls && tracked.calls_left > 0 {
            tracked.calls_left -= 1;
            tracked.at = Stage::AwaitingCall;
            sink.call_requested(id);
        } else {
            let outcome = if ends { Outcome::Failed } else { Outcome::Completed };
            sink.run_ended(id, outcome, now.since(tracked.began));
            self.jobs.remove(id);
        }
    }

    fn disconnects(&mut self, sink: &mut EventSink) {
        if !self.happens(0.05) || self.jobs.is_empty() {
            return;
        }
        let place = (self.random.next_f64() * self.jobs.len() as f64) as usize;
        let Some(id) = self.jobs.keys().nth(place).cloned() else { return };
        let Some(tracked) = self.jobs.get_mut(&id).filter(|tracked| !tracked.answered) else { return };
        tracked.answered = true;
        let waits = matches!(tracked.at, Stage::Queued | Stage::AwaitingOriginal);
        sink.caller_disconnected(&id);
        self.events += 1;
        if waits {
            self.jobs.remove(&id);
        }
    }

    fn call_outcome(&mut self, now: Time, within: Span) -> (Time, Outcome) {
        let over = now + within;
        let took = ms(self.between(20.0, 120.0) * if self.happens(0.1) { 6.0 } else { 1.0 });
        let fate = self.random.next_f64();
        let (ends, outcome) = match fate {
            fate if fate < self.history.silent_calls => (over, Outcome::TimedOut),
            fate if fate > 0.99 => (now + ms(10.0), Outcome::Rejected),
            fate if fate > 0.98 => (now + ms(10.0), Outcome::Unreachable),
            fate if fate > 0.96 => (now + took, Outcome::ConnectionLost),
            fate if fate > 0.94 => (now + took, Outcome::Failed),
            fate if fate > 0.93 => (now + took, Outcome::Superseded),
            _ => (now + took, Outcome::Completed),
        };
        if ends >= over { (over, Outcome::TimedOut) } else { (ends, outcome) }
    }

    fn answered(&mut self, id: &JobId, retry_after: Option<Span>, now: Time) {
        let retries = self.happens(self.history.retried);
        let Some(tracked) = self.jobs.get_mut(id) else { return };
        tracked.answered = true;
        if let Some(retry_after) = retry_after.filter(|_| retries) {
            self.retries.push(Retry { due: now + retry_after + ms(20.0), job: tracked.job.clone() });
        }
        if matches!(tracked.at, Stage::Queued | Stage::AwaitingOriginal) {
            self.jobs.remove(id);
        }
    }

    fn apply(&mut self, decision: &Decision, now: Time) {
        self.decisions += 1;
        let line = written(decision);
        self.digest.update(line.as_bytes());
        let left_ms = self.between(10.0, 140.0);
        match decision {
            Decision::StartRun(id) => {
                let Some(tracked) = self.jobs.get_mut(id) else { return };
                (tracked.at, tracked.began) = (Stage::Running { left_ms }, now);
            }
            Decision::Reject(id, retry_after, _) => self.answered(id, Some(*retry_after), now),
            Decision::Fail(id) => self.answered(id, None, now),
            Decision::StartCall(id, within) => {
                let (ends, outcome) = self.call_outcome(now, *within);
                let Some(tracked) = self.jobs.get_mut(id) else { return };
                tracked.at = Stage::Calling { made: now, ends, outcome };
            }
            Decision::SkipCall(id) => {
                let Some(tracked) = self.jobs.get_mut(id) else { return };
                tracked.at = Stage::Running { left_ms };
            }
            Decision::CancelRun(id) => {
                let Some(tracked) = self.jobs.get_mut(id) else { return };
                tracked.cancelled = true;
            }
            Decision::AwaitOriginal(id) => {
                let Some(tracked) = self.jobs.get_mut(id) else { return };
                tracked.at = Stage::AwaitingOriginal;
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

/// A decision as one line, in words of this file alone.
fn written(decision: &Decision) -> String {
    match decision {
        Decision::StartRun(id) => format!("run {id}\n"),
        Decision::Reject(id, retry_after, not_elsewhere) => {
            format!("reject {id} {} {not_elsewhere}\n", retry_after.as_ms())
        }
        Decision::Fail(id) => format!("fail {id}\n"),
        Decision::StartCall(id, within) => format!("call {id} {}\n", within.as_ms()),
        Decision::SkipCall(id) => format!("skip {id}\n"),
        Decision::CancelRun(id) => format!("cancel {id}\n"),
        Decision::AwaitOriginal(id) => format!("original {id}\n"),
        Decision::StoreRecord(id, span) => format!("record {id} {}\n", span.as_ms()),
        Decision::RemoveRecord(id) => format!("forget {id}\n"),
        Decision::LoadSignal(value) => format!("signal {value}\n"),
        Decision::Health(good) => format!("health {good}\n"),
        Decision::SetTimer(at, token) => format!("timer {} {token}\n", at.as_ms()),
        Decision::LimitedByLease(id) => format!("limited {id}\n"),
    }
}

/// New figures for the classes that stand, and one more class each time.
fn update(history: &History, number: usize) -> SettingsUpdate {
    let classes = history.setup.job_classes.iter().cycle().take(history.setup.job_classes.len() + number + 1);
    let faster = 1.0 - 0.2 * number as f64;
    let placed = classes.enumerate().map(|(index, class)| ClassSlot {
        class: JobClass {
            latency_objective: class.latency_objective * faster,
            priority_weight: class.priority_weight + 0.5,
            ..class.clone()
        },
        in_use: index != number,
    });
    let mut tenants = history.tenants.clone();
    tenants.iter_mut().for_each(|tenant| tenant.quota_per_s *= 0.3);
    tenants.push(Tenant { quota_per_s: 5.0 });
    SettingsUpdate {
        job_classes: placed.collect(),
        tenants,
        limits: history.setup.limits.clone(),
        reset_classes: vec![0],
        reset_tenants: vec![0],
    }
}

fn play(history: &History) -> String {
    let Setup { job_classes, machine, limits, dependency, callers } = history.setup.clone();
    let tenants = history.tenants.clone();
    let random = MultiplyWithCarry::new(history.seed + 1);
    let mut controller = Controller::new(job_classes, tenants, machine, limits, dependency, callers, random);
    let mut world = World::new(history);
    let (mut now_ms, mut updates) = (0.0, 0);
    while now_ms < history.lasts_ms {
        let now = at(now_ms);
        let decided = round(&mut controller, now, |sink| world.feed(now, sink));
        for decision in &decided {
            world.apply(decision, now);
        }
        let need = controller.call_demand(now);
        world.digest.update(format!("need {} {}\n", need.in_flight, need.wanted).as_bytes());
        if history.updates_ms.get(updates).is_some_and(|due| *due <= now_ms) {
            // No place may go: a job in flight may name it.
            let mut fewer = update(history, updates);
            fewer.job_classes.truncate(1);
            let taken = controller.update_settings(now, fewer);
            world.digest.update(format!("fewer {taken}\n").as_bytes());
            let taken = controller.update_settings(now, update(history, updates));
            world.digest.update(format!("update {taken}\n").as_bytes());
            updates += 1;
        }
        let stall = history.stalls_ms.iter().find(|(from, _)| *from <= now_ms && now_ms < *from + TICK_MS);
        now_ms += stall.map_or(TICK_MS, |(_, lasts)| *lasts);
    }
    let digest = world.digest.finalize().iter().take(8).fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    });
    format!("{} events {} decisions {} {digest}", history.name, world.events, world.decisions)
}

fn class(repeats: Idempotency, priority_weight: f64) -> JobClass {
    JobClass { idempotency: repeats, priority_weight, ..setup().job_classes[0].clone() }
}

/// One class of each kind: idempotent, keyed, run at most once, one whose call may be left out, one that never calls.
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

fn plain(name: &'static str, seed: u64) -> History {
    let mut setup = setup();
    setup.job_classes = classes();
    History {
        name,
        seed,
        setup,
        tenants: vec![
            Tenant { quota_per_s: 20.0 },
            Tenant { quota_per_s: 4.0 },
            Tenant { quota_per_s: f64::INFINITY },
        ],
        lasts_ms: 40_000.0,
        rate: 35.0,
        silent_calls: 0.02,
        leased: false,
        drain_ms: None,
        updates_ms: vec![],
        stalls_ms: vec![],
        unread_ms: 30.0,
        job_kb: 20.0,
        retried: 0.5,
        steady_load: None,
        cores_busy: (0.5, 1.0),
    }
}

fn histories() -> Vec<History> {
    let mut all = Vec::new();

    let mut overload = plain("overload", 11);
    overload.drain_ms = Some((36_000.0, 3_500.0));
    all.push(overload);

    let mut limited = plain("call-limit", 12);
    limited.setup.dependency.max_calls = Some(6.0);
    limited.setup.callers.signal = LoadSignal::Credit;
    limited.silent_calls = 0.1;
    limited.drain_ms = Some((30_000.0, 6_000.0));
    all.push(limited);

    let mut fraction = plain("call-limit-below-one", 13);
    fraction.setup.dependency.max_calls = Some(0.7);
    fraction.setup.callers.signal = LoadSignal::Level;
    all.push(fraction);

    let mut leased = plain("leased-calls", 14);
    leased.leased = true;
    leased.setup.callers.signal = LoadSignal::Silent;
    leased.updates_ms = vec![15_000.0];
    leased.setup.callers.max_retry_after = ms(8_000.0);
    all.push(leased);

    let mut memory = plain("memory", 15);
    memory.job_kb = 300.0;
    memory.setup.machine.memory_kb = 12_000.0;
    memory.setup.machine.cancellation = Cancellation::Requeues;
    memory.drain_ms = Some((38_000.0, 900.0));
    all.push(memory);

    let mut cold = plain("cold-start", 16);
    cold.setup.machine.cold = true;
    cold.setup.limits.max_jobs_per_core = 2.0;
    cold.setup.machine.cancellation = Cancellation::Unsupported;
    all.push(cold);

    let mut unmarked = plain("unmarked-retries", 17);
    unmarked.setup.callers.mark_retries = false;
    unmarked.setup.callers.max_retry_after = ms(4_000.0);
    unmarked.setup.job_classes = vec![classes()[1].clone(), classes()[2].clone(), classes()[0].clone()];
    unmarked.unread_ms = 900.0;
    all.push(unmarked);

    let mut stalls = plain("stalls-and-many-callers", 18);
    stalls.setup.callers.count = 500.0;
    stalls.setup.callers.max_retry_after = ms(10_000.0);
    stalls.unread_ms = 4_000.0;
    stalls.rate = 30.0;
    stalls.stalls_ms = vec![(9_000.0, 2_500.0), (20_000.0, 700.0)];
    all.push(stalls);

    let mut updates = plain("settings-updates", 19);
    updates.updates_ms = vec![8_000.0, 16_000.0, 24_000.0];
    updates.drain_ms = Some((38_000.0, 1_800.0));
    all.push(updates);

    let mut slow = plain("slow-dependency", 20);
    slow.silent_calls = 0.5;
    slow.setup.job_classes = vec![classes()[3].clone(), classes()[0].clone(), classes()[3].clone()];
    all.push(slow);

    let mut busy = plain("busy-cores", 21);
    busy.cores_busy = (0.94, 1.0);
    busy.steady_load = Some(1.3);
    all.push(busy);

    let mut crowd = plain("few-jobs-a-core", 22);
    crowd.setup.limits.max_jobs_per_core = 1.2;
    crowd.silent_calls = 0.3;
    crowd.setup.job_classes = vec![classes()[3].clone(), classes()[4].clone()];
    all.push(crowd);

    let mut drain = plain("long-drain", 23);
    drain.steady_load = Some(0.9);
    drain.retried = 0.0;
    drain.silent_calls = 0.4;
    drain.drain_ms = Some((20_000.0, 9_000.0));
    drain.setup.limits.drain_grace = ms(5_000.0);
    all.push(drain);

    let mut small = plain("little-memory", 24);
    small.job_kb = 120.0;
    small.setup.machine.memory_kb = 9_000.0;
    small.setup.machine.running_memory_ratio = 2.0;
    small.setup.job_classes = vec![classes()[4].clone(), classes()[1].clone()];
    small.unread_ms = 600.0;
    all.push(small);

    all
}

#[test]
fn the_same_events_give_the_same_decisions_as_recorded() {
    let played: Vec<String> = histories().iter().map(play).collect();
    let text = played.join("\n") + "\n";
    if std::env::var_os("RECORD").is_some() {
        std::fs::write(RECORDED, &text).expect("the recorded digests can be written");
    }
    let recorded = std::fs::read_to_string(RECORDED).expect("recorded digests");
    assert_eq!(text, recorded, "a decision differs from the recorded one");
}
