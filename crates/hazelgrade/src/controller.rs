//! The decision module: what one server takes, runs and rejects.
//!
//! How it is called: once a batch, `control.round(now, |sink| …, &mut writer)`. The closure tells
//! `EventSink` what came in, in order; then the module decides into the writer. The interface is `desk.rs`.
//!
//! The design (`docs/design.md`) is `CallGate`: permits, a bounded queue, a learned depth, a wait budget,
//! rejects at arrival. Beside it stand six mechanisms:
//! 1. `RunTrial`: how many jobs run at once is tried out; fewer while jobs lie unread.
//! 2. The hold goes by priority weight for time on the cores; what can't be in time any more is answered at once.
//! 3. `part_in_quota`: a tenant's jobs beyond its quota count for less in that order.
//! 4. `speak`: surplus is kept away by the value said, the list, retry-after and "not elsewhere".
//! 5. A job whose call can't be made goes on without it, where that still earns something.
//! 6. The rules' guards: deadline, drain, memory, crowd, and entries for keyed jobs.

use crate::api::*;
use crate::random::MultiplyWithCarry;
use crate::statistics::{DecayingSum, Mean, MeanDuration};
use crate::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

type Out<'a> = &'a mut dyn Decisions;

/// The post's permits, for a tier below that tells no share.
const UNTOLD_PERMITS: f64 = 8.0;
/// Part of a limit of the rules that is used at most: what is read or comes back meanwhile needs the rest.
const RULE_ROOM: f64 = 0.8;
/// Calls that take this many times what they took at best show that what lies below is crowded.
const CALLS_CROWDED: f64 = 4.0;
/// Times the mean latency: a call that takes longer never comes, and holds a permit.
const CALL_PATIENCE: f64 = 16.0;
/// Part of the mean latency that must be left for a call to be tried that may be left out: less is in vain.
const LEAST_TRY: f64 = 0.5;
/// What is learned fades over this many of the shortest latency objectives: some dozens of jobs, some seconds.
const MEMORY_IN_OBJECTIVES: f64 = 2.0;
/// Part of the shortest latency objective that jobs may wait on average before surplus is kept away.
const WAIT_PART: f64 = 0.15;
/// Part of the mean latency objective that jobs may wait unread before fewer run.
const UNREAD_PART: f64 = 0.07;
/// Part of its latency objective that a job may wait in the hold: one that would wait longer is better off elsewhere.
const HOLD_PART: f64 = 0.3;
/// Where a caller comes less than this often while it keeps a value in mind, the value steers little.
const SELDOM_HEARD: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Held,
    OnCores,
    Queued,
    Calling,
    Sharing,
}

/// A job in hand: until its answer, and if it runs, until its run has ended.
struct InHand {
    job: Job,
    case: Rc<JobClass>, // as when it arrived: a revision changes nothing for what is in hand
    quota: f64,
    order: u64,
    stage: Stage,
    since: Time, // when the stage began
    on_cores: Span,
    last: Time, // when its answer must go out at the latest
    goal: Time,
    answered: bool,
    ran: bool,
    call_tries: u32,
    call_unsure: bool, // a call of it may have had its effect
}

impl InHand {
    fn running(&self) -> bool {
        !matches!(self.stage, Stage::Held | Stage::Sharing)
    }
}

/// The design's semaphore and bounded queue before what lies below.
struct CallGate {
    below: Dependency,
    allowed: Option<CallLease>, // of calls that all servers share; none where each has its own
    short: DecayingSum,         // calls that were rejected for want of it
    permits: f64,               // calls that may be in hand; see `tune`
    best: Option<f64>, // the lowest mean latency, drifting up, so that a lasting change is taken as it is
    queue: VecDeque<JobId>,
    in_hand: usize,
    past: Vec<(Time, Span)>, // calls that are over: when they left what lies below, how long they were there
    latency: MeanDuration,
}

impl CallGate {
    fn permits(&self) -> f64 {
        self.permits.floor().max(1.0)
    }

    /// Calls that may be in hand by what all servers share.
    fn most(&self, now: Time) -> f64 {
        self.allowed.map_or(f64::INFINITY, |allowed| allowed.at(now))
    }

    fn lingering(&self, now: Time) -> usize {
        self.past.iter().filter(|(left, _)| *left > now).count()
    }

    /// The call lease, and not the permits, is what keeps a call waiting.
    fn is_short(&self, now: Time) -> bool {
        let most = self.most(now);
        most < self.permits() && (self.in_hand + self.lingering(now)) as f64 >= most
    }

    /// A call went through. While jobs wait and calls are about as fast as at best, permits grow, doubling in
    /// a round trip at first; while calls are much slower they shrink, to half the start, not to add to it.
    fn tune(&mut self, now: Time) {
        // A mean over fewer calls than the start of the permits is chance.
        let start = self.below.max_calls.unwrap_or(UNTOLD_PERMITS);
        let enough = self.latency.count(now) >= start.max(UNTOLD_PERMITS);
        let Some(mean) = self.latency.mean(now).map(Span::as_ms).filter(|_| enough) else { return };
        let best = self.best.map_or(mean, |best| (best * (1.0 + 0.002 / self.permits)).min(mean));
        self.best = Some(best);
        // Exception: where no share is told, permits may grow; under a told share they never go past it.
        let most = self.below.max_calls.unwrap_or(4.0 * UNTOLD_PERMITS);
        if mean > best * CALLS_CROWDED {
            self.permits -= 0.5 / self.permits;
        } else if !self.queue.is_empty() && mean < best * (1.0 + CALLS_CROWDED) / 2.0 {
            self.permits += start / self.permits;
        }
        self.permits = self.permits.clamp((start / 2.0).min(most), most);
    }

    /// Calls a second that leave what lies below, by the time that calls take: a pause doesn't shrink it.
    fn drain(&mut self, now: Time) -> Option<f64> {
        self.latency.mean(now).map(|mean| self.permits * 1000.0 / mean.as_ms().max(0.001))
    }

    /// The wait budget; as depth over drain rate it is the retry-after too.
    fn budget(&mut self, now: Time, wait: Span) -> Span {
        wait.less(self.latency.usual(now))
    }

    fn depth(&mut self, now: Time, wait: Span) -> f64 {
        let budget = self.budget(now, wait);
        let part = (self.most(now) / self.permits()).min(1.0);
        self.drain(now)
            .map_or(self.permits() * part, |rate| (rate * part * budget.as_ms() / 1000.0).max(part.ceil()))
    }

    fn full(&mut self, now: Time, wait: Span) -> bool {
        self.queue.len() as f64 >= self.depth(now, wait)
    }

    /// With a share under one call: how long the next may take, by what was used over the share's time.
    fn part_left(&self) -> Option<Span> {
        let share = self.below.max_calls.filter(|share| *share < 1.0)?;
        let used = self.past.iter().fold(self.below.linger, |used, (_, lasted)| used + *lasted);
        Some((self.below.max_calls_window * share).less(used))
    }

    fn may_call(&mut self, now: Time) -> bool {
        let kept = self
            .below
            .max_calls
            .filter(|share| *share < 1.0)
            .map_or(Span::ZERO, |_| self.below.max_calls_window);
        self.past.retain(|(left, _)| *left + kept > now);
        let in_hand = (self.in_hand + self.lingering(now)) as f64;
        let latency = self.latency.usual(now);
        self.part_left().is_none_or(|left| left > latency || self.past.is_empty())
            && in_hand < self.permits().min(self.most(now))
    }

    /// A call is over, or given up and lingering below.
    fn over(&mut self, now: Time, lasted: Span, given_up: bool) {
        self.in_hand = self.in_hand.saturating_sub(1);
        let linger = if given_up { self.below.linger } else { Span::ZERO };
        self.past.push((now + linger, lasted + linger));
    }
}

/// How many jobs run at once: a step up or down, undone if less gets done. While jobs wait and cores stand
/// idle it is a step up, else down: runs that only share the cores all end later. Guards against jobs that
/// wait for disks or are heavier than usual; it could hurt where work hangs without using the cores.
#[derive(Default)]
struct RunTrial {
    limit: f64,
    step: f64,
    before: Option<f64>,
    done: f64,
    busy: Span,
    checked: Option<Time>,
    jobs_wait: bool,
}

impl RunTrial {
    const LOSS_UP: f64 = 0.1; // less by this part and a step up is undone: smaller differences are chance
    const LOSS_DOWN: f64 = 0.3; // and a step down: while cores are busy it rarely costs anything
    const JUDGED_AFTER: f64 = 4.0; // a step is judged after this many jobs for each that may run
    const BUSY: f64 = 0.95; // cores used by this part or more are taken as busy

    fn settle(&mut self, now: Time, jobs_wait: bool, used: Option<f64>, cores: f64) {
        if self.jobs_wait {
            self.busy += self.checked.map_or(Span::ZERO, |checked| now.since(checked));
        }
        (self.checked, self.jobs_wait) = (Some(now), jobs_wait);
        if self.done >= Self::JUDGED_AFTER * self.limit {
            let rate = self.done / self.busy.as_ms().max(1.0);
            let loss = if self.step > 0.0 { Self::LOSS_UP } else { Self::LOSS_DOWN };
            let worse = self.before.is_some_and(|before| rate < before * (1.0 - loss));
            let towards = if used.is_none_or(|used| used < Self::BUSY) { 1.0 } else { -1.0 };
            self.step = if worse { -self.step } else { towards };
            self.limit += self.step;
            (self.before, self.done, self.busy) = ((!worse).then_some(rate), 0.0, Span::ZERO);
        }
        self.limit = self.limit.clamp(cores, cores * 4.0);
    }
}

/// The shortest latency objective, and the mean.
fn goals<'a>(job_classes: impl Iterator<Item = &'a JobClass>) -> (Span, Span) {
    let goals: Vec<Span> = job_classes.map(|case| case.latency_objective).collect();
    let sum = goals.iter().fold(Span::ZERO, |sum, goal| sum + *goal);
    (goals.iter().min().copied().unwrap_or(Span::from_ms(1000.0)), sum * (1.0 / goals.len().max(1) as f64))
}

/// What part of a tenant's jobs earns in full, by its rate over the fleet, as seen here, and its quota.
fn part_in_quota(rate: f64, quota: f64, beyond: f64) -> f64 {
    let within = (quota / rate.max(f64::MIN_POSITIVE)).min(1.0);
    within + (1.0 - within) * beyond
}

/// The value said to callers: closed fast when jobs wait too long, opened slowly when they don't.
struct Openness {
    open: f64,
    told: Option<f64>,
    next: Option<Time>,
}

impl Openness {
    fn steer(&mut self, wait: f64, signal: LoadSignal, outstanding: f64) -> Option<f64> {
        // Only a credit means anything above 1; the others would just be late to close.
        let most = if signal == LoadSignal::Credit { 5.0 } else { 1.0 };
        let factor = if wait > 1.0 { 1.0 - 0.01 * (wait - 1.0).min(1.0) } else { 1.0 + 0.06 * (1.0 - wait) };
        self.open = (self.open * factor).clamp(0.08, most);
        let open = self.open / wait.max(1.0).sqrt();
        match signal {
            LoadSignal::Silent => None,
            LoadSignal::Weight => Some(open),
            LoadSignal::Credit => Some(open * outstanding),
            LoadSignal::Level => Some(1.0 - open),
        }
    }
}

/// What is kept of a keyed job until its repeats can't come any more.
struct Entry {
    until: Time,
    named_until: Time, // read after `until`, a repeat may still name this job
    job_class: usize,
    reached: Time, // repeats that reach the machine from here until `kept` are blind
    kept: Time,
    again: bool,
    ran: bool,
}

impl Entry {
    /// A keyed job that no entry links may still repeat one that ran, if both were on the machine unread
    /// at a time. With marked repeats one of the two is marked; else they lie a wait of a caller apart.
    fn may_be(&self, job: &Job, read: Time, marked: bool, apart: Span) -> bool {
        let between = job.received_at.since(self.reached) + self.reached.since(job.received_at);
        let lie = if marked { self.again || job.is_retry } else { between >= apart };
        let unread_together = self.kept != read && job.received_at < self.kept && self.reached < read;
        self.ran && self.job_class == job.job_class && unread_together && lie
    }
}

pub struct Controller {
    job_classes: Vec<Rc<JobClass>>,
    machine: Machine,
    promises: ServiceLimits,
    callers: CallerSettings,
    jobs: BTreeMap<JobId, InHand>,
    fresh: Vec<JobId>,
    entries: BTreeMap<JobId, Entry>,
    gate: CallGate,
    trial: RunTrial,
    quotas: Vec<(DecayingSum, f64)>, // by tenant: first tries, and quota a second over the fleet
    openness: Openness,
    chance: MultiplyWithCarry,
    on_cores: Vec<MeanDuration>, // by job class: time on the cores
    whole: Vec<MeanDuration>,    // by job class: time from start to end
    any: MeanDuration,
    cores_used: Mean, // part of the cores that was busy while jobs waited
    unread: MeanDuration,
    tries: DecayingSum,
    tries_again: DecayingSum,
    shortest_objective: Span,
    unread_most: Span,        // before fewer run
    late_since: Option<Time>, // since when all that is read has waited long
    fade: Span,
    started: Option<Time>,
    told_good: Option<bool>,
    away: Option<Time>,            // until when health is bad
    leaving: Option<(Time, Time)>, // when the notice came, and when the process is stopped
    numbers: u64,                  // for jobs and timers
    alarm: Option<(Time, u64)>,
}

/// Tells the module what came in; the events of a round, in order.
pub struct EventSink<'a> {
    control: &'a mut Controller,
    now: Time,
}

impl EventSink<'_> {
    pub fn job_arrived(&mut self, job: Job) {
        let (now, control) = (self.now, &mut *self.control);
        let Some(case) = control.job_classes.get(job.job_class).cloned() else { return };
        let counts = f64::from(u8::from(job.from_known_caller)); // a stranger's may be made up, and are read late for it
        if job.from_known_caller {
            let waited = now.since(job.received_at);
            control.unread.learn(now, waited);
            let late = waited > control.shortest_objective * HOLD_PART;
            control.late_since = control.late_since.or(Some(now)).filter(|_| late);
        }
        control.tries.add(now, counts);
        if job.is_retry {
            control.tries_again.add(now, counts);
        } else if let Some((rate, _)) = control.quotas.get_mut(job.tenant) {
            rate.add(now, counts);
        }
        let quota = control.quotas.get(job.tenant).map_or(f64::INFINITY, |(_, quota)| *quota);
        let due = job.caller_deadline.unwrap_or(job.received_at + case.deadline);
        let stretched = job.expected_work.map_or(Span::ZERO, |work| work * case.objective_per_work);
        let goal = (job.received_at + case.latency_objective + stretched).min(due);
        let last = due - control.promises.answer_slack.min(due.since(job.received_at) * 0.1);
        control.numbers += 1;
        control.fresh.push(job.id.clone());
        let held = InHand {
            order: control.numbers,
            stage: Stage::Held,
            since: now,
            on_cores: Span::ZERO,
            last,
            goal,
            answered: false,
            ran: false,
            call_tries: 0,
            call_unsure: false,
            case,
            quota,
            job,
        };
        control.jobs.insert(held.job.id.clone(), held);
    }

    pub fn run_ended(&mut self, id: &JobId, outcome: Outcome, took: Span) {
        let (now, control) = (self.now, &mut *self.control);
        let Some(mut held) = control.jobs.remove(id) else { return };
        match held.stage {
            Stage::Queued => control.gate.queue.retain(|queued| queued != id),
            Stage::Calling => control.gate.over(now, now.since(held.since), true),
            Stage::OnCores => held.on_cores += now.since(held.since),
            Stage::Held | Stage::Sharing => return,
        }
        if outcome == Outcome::Cancelled && !held.answered {
            (held.stage, held.since) = (Stage::Held, now);
            control.jobs.insert(id.clone(), held);
        } else if outcome == Outcome::Completed {
            let case = held.job.job_class;
            control.trial.done += f64::from(u8::from(control.trial.jobs_wait));
            control.on_cores[case].learn(now, held.on_cores);
            control.whole[case].learn(now, took);
            control.any.learn(now, held.on_cores);
        }
    }

    pub fn call_requested(&mut self, id: &JobId) {
        let now = self.now;
        if let Some(held) = self.control.jobs.get_mut(id).filter(|held| held.stage == Stage::OnCores) {
            held.on_cores += now.since(held.since);
            (held.stage, held.since) = (Stage::Queued, now);
            self.control.fresh.push(id.clone());
        }
    }

    pub fn call_ended(&mut self, id: &JobId, outcome: Outcome, took: Span) {
        let (now, control) = (self.now, &mut *self.control);
        let Some(held) = control.jobs.get_mut(id).filter(|held| held.stage == Stage::Calling) else { return };
        control.gate.over(now, took, outcome == Outcome::TimedOut);
        if !outcome.never_ran() && outcome != Outcome::ConnectionLost {
            control.gate.latency.learn(now, took);
            control.gate.tune(now);
        }
        if outcome == Outcome::Completed {
            (held.stage, held.since, held.call_tries) = (Stage::OnCores, now, 0);
        } else {
            (held.stage, held.since) = (Stage::Queued, now);
            held.call_unsure |= !outcome.never_ran();
            control.fresh.push(id.clone());
        }
    }

    pub fn caller_disconnected(&mut self, id: &JobId) {
        let control = &mut *self.control;
        let Some(held) = control.jobs.get_mut(id) else { return };
        held.answered = true;
        control.gate.queue.retain(|queued| queued != id);
        if held.running() {
            control.fresh.push(id.clone());
        } else {
            control.jobs.remove(id);
        }
    }

    pub fn drain_started(&mut self, stopped_at: Time) {
        self.control.leaving.get_or_insert((self.now, stopped_at));
        self.control.openness.next = None;
    }

    /// This server's part of the calls that all may have below is this from now on.
    pub fn call_lease_updated(&mut self, allowed: CallLease) {
        self.control.gate.allowed = Some(allowed);
    }

    pub fn timer_fired(&mut self, token: u64, cores_used: Option<f64>) {
        if let Some(used) = cores_used.filter(|_| self.control.trial.jobs_wait) {
            self.control.cores_used.learn(self.now, used);
        }
        self.control.alarm = self.control.alarm.filter(|(_, set)| *set != token);
    }
}

impl Controller {
    /// A server that has just started; it knows nothing but this.
    pub fn new(
        job_classes: Vec<JobClass>,
        tenants: Vec<Tenant>,
        machine: Machine,
        promises: ServiceLimits,
        below: Dependency,
        callers: CallerSettings,
        chance: MultiplyWithCarry,
    ) -> Controller {
        let (shortest_objective, mean_objective) = goals(job_classes.iter());
        let fade = shortest_objective * MEMORY_IN_OBJECTIVES;
        let paces = || job_classes.iter().map(|_| MeanDuration::new(fade)).collect::<Vec<_>>();
        Controller {
            on_cores: paces(),
            whole: paces(),
            any: MeanDuration::new(fade),
            unread: MeanDuration::new(shortest_objective * WAIT_PART),
            tries: DecayingSum::new(fade),
            tries_again: DecayingSum::new(fade),
            jobs: BTreeMap::new(),
            fresh: Vec::new(),
            entries: BTreeMap::new(),
            gate: CallGate {
                permits: below.max_calls.unwrap_or(UNTOLD_PERMITS),
                below,
                allowed: None,
                short: DecayingSum::new(fade),
                best: None,
                queue: VecDeque::new(),
                in_hand: 0,
                past: Vec::new(),
                latency: MeanDuration::new(fade),
            },
            trial: RunTrial { limit: (machine.cores * 1.5).floor().max(1.0), ..RunTrial::default() },
            cores_used: Mean::new(fade),
            quotas: tenants.iter().map(|tenant| (DecayingSum::new(fade), tenant.quota_per_s)).collect(),
            openness: Openness { open: 1.0, told: None, next: None },
            chance,
            unread_most: mean_objective * UNREAD_PART,
            late_since: None,
            shortest_objective,
            fade,
            started: None,
            told_good: None,
            away: None,
            leaving: None,
            numbers: 0,
            alarm: None,
            job_classes: job_classes.into_iter().map(Rc::new).collect(),
            machine,
            promises,
            callers: CallerSettings { count: callers.count.max(1.0), ..callers },
        }
    }

    /// Between two rounds: other figures for job classes, tenants and promises, by place. What was learned
    /// stays with its place, but for places that stand for something else now; jobs in hand keep the figures
    /// that they arrived under. Places may be added at the end; `false`, and no change, if any is taken away.
    pub fn update_settings(&mut self, now: Time, to: SettingsUpdate) -> bool {
        let SettingsUpdate { job_classes, tenants, limits: promises, reset_classes, reset_tenants } = to;
        // A place that a job in hand may still name must stand.
        if job_classes.len() < self.job_classes.len() || tenants.len() < self.quotas.len() {
            return false;
        }
        let served =
            job_classes.iter().enumerate().filter(|(_, case)| case.in_use).map(|(_, case)| &case.class);
        let (shortest_objective, mean_objective) = goals(served);
        (self.shortest_objective, self.unread_most) = (shortest_objective, mean_objective * UNREAD_PART);
        self.fade = shortest_objective * MEMORY_IN_OBJECTIVES;
        self.on_cores.resize_with(job_classes.len(), || MeanDuration::new(self.fade));
        self.whole.resize_with(job_classes.len(), || MeanDuration::new(self.fade));
        self.quotas.resize_with(tenants.len(), || (DecayingSum::new(self.fade), 0.0));
        for place in reset_classes {
            let paces = [&mut self.on_cores, &mut self.whole].into_iter();
            paces
                .filter_map(|paces| paces.get_mut(place))
                .for_each(|pace| *pace = MeanDuration::new(self.fade));
        }
        for place in reset_tenants {
            let rate = self.quotas.get_mut(place).into_iter();
            rate.for_each(|(rate, _)| *rate = DecayingSum::new(self.fade));
        }
        let paces = self.on_cores.iter_mut().chain(&mut self.whole);
        paces
            .chain([&mut self.any, &mut self.gate.latency])
            .for_each(|pace| pace.set_time_constant(now, self.fade));
        self.gate.short.set_time_constant(now, self.fade);
        self.unread.set_time_constant(now, shortest_objective * WAIT_PART);
        self.cores_used.set_time_constant(now, self.fade);
        self.quotas.iter_mut().for_each(|(rate, _)| rate.set_time_constant(now, self.fade));
        [&mut self.tries, &mut self.tries_again]
            .into_iter()
            .for_each(|sum| sum.set_time_constant(now, self.fade));
        self.quotas.iter_mut().zip(tenants).for_each(|((_, quota), tenant)| *quota = tenant.quota_per_s);
        self.job_classes = job_classes.into_iter().map(|case| Rc::new(case.class)).collect();
        self.promises = promises;
        true
    }

    /// What is in hand below, and what would be: those that wait, and those rejected for want of a share.
    pub fn call_demand(&mut self, now: Time) -> CallDemand {
        let gate = &mut self.gate;
        let in_hand = (gate.in_hand + gate.lingering(now)) as f64;
        let turned_away = gate.short.read(now) * (gate.latency.usual(now) / self.fade);
        CallDemand {
            in_flight: in_hand,
            wanted: in_hand + (gate.queue.len() as f64 + turned_away).min(gate.permits()),
        }
    }

    /// One batch: hears all that came in, then writes the decisions.
    pub fn round(&mut self, now: Time, feed: impl FnOnce(&mut EventSink), out: Out) {
        self.started.get_or_insert(now);
        feed(&mut EventSink { control: self, now });
        self.speak(now, out);
        for id in std::mem::take(&mut self.fresh) {
            match self.jobs.get(&id).map(|held| held.stage) {
                Some(Stage::Held) => self.admit(now, &id, out),
                Some(Stage::Queued) => self.meet_call(now, &id, out),
                Some(Stage::OnCores) => self.stop_unwanted(&id, out),
                _ => {}
            }
        }
        let queued =
            self.pick(|held| held.stage == Stage::Queued && held.case.weight_ratio_without_call > 0.0);
        // With none in hand the newest is tried all the same: after one slow call none would be ever again.
        let judged = queued.len().saturating_sub(usize::from(self.gate.in_hand == 0));
        for id in &queued[..judged] {
            if self.call_until(now, id) <= now + self.gate.latency.usual(now) * LEAST_TRY {
                self.no_call(now, id, out);
            }
        }
        for id in self.pick(|held| self.useless_from(held) <= now) {
            let retry_after = self.hold_clears_in(now);
            self.give_up(now, &id, self.leaving.is_some(), Some(retry_after), out);
        }
        self.make_calls(now, out);
        self.run_held(now, out);
        self.shed_memory(now, out);
        self.set_alarm(now, out);
    }

    /// No entry links it, but it may repeat a keyed job that ran.
    fn blind(&self, held: &InHand) -> bool {
        let (marked, apart) = (self.callers.mark_retries, held.case.deadline * 0.05);
        self.entries.values().any(|entry| entry.may_be(&held.job, held.since, marked, apart))
    }

    fn enter(&mut self, now: Time, id: &JobId, stage: Stage) {
        let Some(held) = self.jobs.get_mut(id) else { return };
        (held.stage, held.since) = (stage, now);
        held.ran |= held.running();
        held.call_tries = if stage == Stage::Calling { held.call_tries + 1 } else { 0 };
    }

    /// When an answer must go out at the latest, safely before it is due and before the process is stopped.
    fn last_moment(&self, held: &InHand) -> Time {
        // Answers before a stop are out well before it: a pause of the process may fall there.
        let margin = (self.promises.drain_grace * 0.2).max(self.machine.tick * 4.0);
        self.leaving.map_or(held.last, |(_, stop)| held.last.min(stop - margin))
    }

    /// When an answer stops being worth anything.
    fn useless_from(&self, held: &InHand) -> Time {
        let last = self.last_moment(held);
        if held.case.late_weight_ratio > 0.0 { last } else { last.min(held.goal) }
    }

    /// Exception: while calls are slow, one that may be left out is waited for only as long as leaves time to
    /// finish, a mean core time at most. Guards against what makes calls late; hurts where they just made it.
    fn call_until(&mut self, now: Time, id: &JobId) -> Time {
        let Some(held) = self.jobs.get(id) else { return now };
        let (until, job_class, held_case) = (self.useless_from(held), held.job.job_class, held.case.clone());
        let slow = self.gate.best.zip(self.gate.latency.mean(now));
        let slow = slow.map_or(0.0, |(best, mean)| (mean.as_ms() / best.max(0.001) - 1.0).clamp(0.0, 1.0));
        let slow = if held_case.weight_ratio_without_call > 0.0 { slow } else { 0.0 };
        until - self.core_time(now, job_class) * slow
    }

    /// The wait that the call queue's budget and depth go by: no longer than an answer is worth anything.
    fn call_wait(&self, now: Time, held: &InHand) -> Span {
        let waits = held.job.caller_deadline.map_or(held.case.deadline, |until| until.since(now));
        waits.min(self.useless_from(held).since(now))
    }

    /// Gives the final answer at once: a reject with when to come back, or, without that and for a job that
    /// may have had an effect, an error.
    fn give_up(&mut self, now: Time, id: &JobId, elsewhere: bool, back: Option<Span>, out: Out) {
        let blind = self.jobs.get(id).is_some_and(|held| self.blind(held));
        let Some(held) = self.jobs.get_mut(id).filter(|held| !held.answered) else { return };
        held.answered = true;
        let may_have_run = held.ran || held.job.retry_of.is_some() || blind;
        let may_bounce = held.case.idempotency == Idempotency::Idempotent || !may_have_run;
        if let Some(retry_after) = back.filter(|_| may_bounce) {
            let not_elsewhere = !elsewhere || held.job.is_retry || self.crowded(now, 0.1);
            self.tries_again.add(now, if self.callers.mark_retries { 0.0 } else { 0.25 });
            // Spread by chance, so as not to come back together; longer the more there is to keep away.
            let retry_after = retry_after * ((0.75 + 0.5 * self.chance.draw()) / self.openness.open.min(1.0));
            let retry_after = retry_after.min(self.callers.max_retry_after);
            out.reject(id, not_elsewhere, retry_after);
        } else {
            out.fail(id);
        }
        self.gate.queue.retain(|queued| queued != id);
        self.stop_unwanted(id, out);
        if self.jobs.get(id).is_some_and(|held| !held.running()) {
            self.jobs.remove(id);
            if self.entries.get(id).is_some_and(|entry| !entry.ran && !blind) {
                self.entries.remove(id);
                out.remove_record(id);
            }
        }
    }

    fn stoppable(&self, held: &InHand) -> bool {
        let again = held.case.idempotency == Idempotency::Idempotent;
        self.machine.cancellation != Cancellation::Unsupported && again && held.stage == Stage::OnCores
    }

    /// A run that nobody waits for is stopped, where that is allowed and the job may run again.
    fn stop_unwanted(&self, id: &JobId, out: Out) {
        if self.jobs.get(id).is_some_and(|held| held.answered && self.stoppable(held)) {
            out.cancel_run(id);
        }
    }

    /// A job that was just read: linked to the one it repeats, rejected while the call queue is full, or held.
    fn admit(&mut self, now: Time, id: &JobId, out: Out) {
        let Some(held) = self.jobs.get(id) else { return };
        let (case, job) = (held.case.clone(), held.job.clone());
        if case.idempotency == Idempotency::Keyed {
            self.entries.retain(|_, entry| entry.named_until > now);
            // Two that came in one batch name each other: the first of them has no entry yet and stands.
            let stands = |prior: &JobId| self.entries.contains_key(prior) || !self.jobs.contains_key(prior);
            if job.retry_of.as_ref().is_some_and(stands) {
                out.await_original(id);
                return self.enter(now, id, Stage::Sharing);
            }
            if self.blind(held) {
                return self.give_up(now, id, true, Some(case.retry_window), out);
            }
            let until = job.received_at + case.retry_window + self.machine.tick;
            let span = until.since(now);
            if span > Span::ZERO {
                out.store_record(id, span);
            }
            let named_until = until.max(now) + case.deadline;
            let (job_class, reached, again) = (job.job_class, job.received_at, job.is_retry);
            let entry = Entry { until, named_until, job_class, reached, kept: now, again, ran: false };
            self.entries.insert(id.clone(), entry);
        }
        if let Some((notice, _)) = self.leaving
            && (job.received_at > notice + self.promises.drain_grace
                || now + self.whole[job.job_class].usual(now) > self.last_moment(&self.jobs[id]))
        {
            return self.give_up(now, id, true, Some(Span::ZERO), out);
        }
        if let Some(retry_after) = job.lease_retry_after {
            out.limited_by_lease(id);
            return self.give_up(now, id, false, Some(retry_after), out);
        }
        let wait = self.call_wait(now, &self.jobs[id]);
        if case.calls_dependency && self.gate.full(now, wait) {
            let short = self.gate.is_short(now); // exception: what is used up here may be free elsewhere
            let more_in =
                self.gate.allowed.filter(|_| short).map_or(Span::ZERO, |allowed| allowed.retry_after);
            if short {
                self.gate.short.add(now, 1.0);
                out.limited_by_lease(id);
            }
            let retry_after = self.gate.budget(now, wait).max(more_in);
            self.give_up(now, id, short, Some(retry_after), out);
        }
    }

    /// A running job that is at a call: it waits in the queue, or, when that is full, gets an error.
    fn meet_call(&mut self, now: Time, id: &JobId, out: Out) {
        let Some(held) = self.jobs.get(id).filter(|held| !held.answered) else { return };
        let wait = self.call_wait(now, held);
        let once =
            held.case.idempotency != Idempotency::Idempotent && held.call_unsure || held.call_tries > 1;
        if once || self.gate.full(now, wait) || self.call_until(now, id) <= now {
            self.no_call(now, id, out);
        } else {
            self.gate.queue.push_back(id.clone());
        }
    }

    /// No call: an error. Exception: where leaving it out still earns and cores have room, the job goes on.
    fn no_call(&mut self, now: Time, id: &JobId, out: Out) {
        self.gate.queue.retain(|queued| queued != id);
        let room = self.crowd(Stage::Calling) < self.crowd_cap(now);
        let Some(held) = self.jobs.get(id) else { return };
        if held.case.weight_ratio_without_call > 0.0 && room {
            self.enter(now, id, Stage::OnCores);
            out.skip_call(id);
        } else {
            self.give_up(now, id, false, None, out);
        }
    }

    /// The unanswered jobs that `which` picks, in the order they were read.
    fn pick(&self, which: impl Fn(&InHand) -> bool) -> Vec<JobId> {
        let picked = self.jobs.values().filter(|held| !held.answered && which(held));
        let mut picked: Vec<&InHand> = picked.collect();
        picked.sort_by_key(|held| held.order);
        picked.into_iter().map(|held| held.job.id.clone()).collect()
    }

    fn make_calls(&mut self, now: Time, out: Out) {
        while self.gate.may_call(now) && self.crowd(Stage::Calling) < self.crowd_cap(now) {
            let Some(id) = self.gate.queue.pop_front() else { break };
            let Some(held) = self.jobs.get(&id).filter(|held| !held.answered) else { continue };
            let (wait, waited) = (self.call_wait(now, held), now.since(held.since));
            if waited > self.gate.budget(now, wait) || self.call_until(now, &id) <= now {
                self.no_call(now, &id, out);
                continue;
            }
            let until = self.call_until(now, &id).since(now);
            let patience = self.gate.latency.mean(now).map_or(until, |mean| mean * CALL_PATIENCE);
            let within = self.gate.part_left().map_or(until, |left| until.min(left));
            // Of the longest use of a share the way there and the linger are part.
            let longest = |allowed: CallLease| allowed.max_call_time.less(self.gate.below.linger) * RULE_ROOM;
            let within = self.gate.allowed.map_or(within, |allowed| within.min(longest(allowed)));
            self.enter(now, &id, Stage::Calling);
            self.gate.in_hand += 1;
            out.start_call(
                &id,
                within.min(patience.max(self.shortest_objective * WAIT_PART)).max(self.machine.tick),
            );
        }
    }

    /// Jobs on the cores, and those in a stage from which they may come back to them.
    fn crowd(&self, or_in: Stage) -> f64 {
        let counts = |held: &&InHand| held.stage == Stage::OnCores || held.stage == or_in;
        self.jobs.values().filter(counts).count() as f64
    }

    /// The crowd that the cores are sure to live through, at the slowest warming that is promised.
    fn crowd_cap(&self, now: Time) -> f64 {
        let age = self.started.map_or(Span::ZERO, |start| now.since(start)) / self.promises.warm_up;
        let speed = if self.machine.cold { self.promises.cold_speed_ratio } else { 1.0 };
        let speed = (speed + (1.0 - speed) * age).min(1.0);
        self.machine.cores * (1.0 + (self.promises.max_jobs_per_core - 1.0) * speed) * RULE_ROOM
    }

    fn used_kb(&self, now: Time) -> f64 {
        let entries = self.entries.values().filter(|entry| entry.until > now).count() as f64;
        self.jobs.values().map(|held| self.kb(held)).sum::<f64>() + entries * self.machine.record_kb
    }

    fn kb(&self, held: &InHand) -> f64 {
        held.job.queued_kb * if held.running() { self.machine.running_memory_ratio } else { 1.0 }
    }

    /// How much slower the jobs on the cores are than those that ended: seen before any of them ends.
    fn stretch(&mut self, now: Time) -> f64 {
        let Some(mean) = self.any.mean(now) else { return 1.0 };
        let running = self.jobs.values().filter(|held| held.stage == Stage::OnCores);
        let ages = running.map(|held| (held.on_cores + now.since(held.since)).as_ms());
        let (count, total) = ages.fold((0.0, 0.0), |(n, sum), age| (n + 1.0, sum + age));
        // A few runs may be long by chance: as many again of the mean length are counted in.
        let few = 2.0 * self.machine.cores;
        ((total / mean.as_ms().max(0.001) + few) / (count + few)).max(1.0)
    }

    fn core_time(&mut self, now: Time, case: usize) -> Span {
        self.on_cores[case].mean(now).or_else(|| self.any.mean(now)).unwrap_or(Span::from_ms(1.0))
    }

    fn hold_clears_in(&mut self, now: Time) -> Span {
        let held = self.jobs.values().filter(|held| held.stage == Stage::Held).count() as f64;
        let mean = self.any.usual(now);
        mean * (self.stretch(now) * held / self.trial.limit)
    }

    /// Runs the hold in the order of what it earns for its time on the cores. What can't be done by then is
    /// given up now, so that its caller hears it while there is time to go elsewhere.
    fn run_held(&mut self, now: Time, out: Out) {
        let mut hold = Vec::new();
        for id in self.pick(|held| held.stage == Stage::Held) {
            let held = &self.jobs[&id];
            let late = if held.goal <= now { held.case.late_weight_ratio } else { 1.0 };
            let earns = held.case.priority_weight * late;
            let (job_class, beyond) = (held.job.job_class, self.callers.over_quota_weight_ratio);
            let scale = self.callers.fleet_size * 1000.0 / self.fade.as_ms();
            let (rate, quota) = (self.quotas.get_mut(held.job.tenant), held.quota);
            let part = rate.map_or(1.0, |(sum, _)| part_in_quota(sum.read(now) * scale, quota, beyond));
            // A caller beyond its ceiling counts as a tenant beyond its quota does.
            let part = if held.job.over_caller_limit { part * beyond } else { part };
            hold.push((earns * part / self.core_time(now, job_class).as_ms().max(0.001), job_class, id));
        }
        // Stable: among equals the one read first.
        hold.sort_by(|a, b| b.0.total_cmp(&a.0));
        let (stretch, cap) = (self.stretch(now), self.crowd_cap(now));
        // Reading shares the cores with the runs. Jobs that wait unread can be neither rejected nor put in
        // order, so the longer they wait the fewer run, down to half the cores. Guards against any cause of
        // slow reading; it could hurt where reading is slow for a reason that runs don't share.
        let unread = self.unread.usual(now) / self.unread_most;
        let limit = (self.trial.limit / unread.max(1.0)).max(self.machine.cores * 0.5).min(self.trial.limit);
        let (mut on_cores, mut crowd) = (self.crowd(Stage::OnCores), self.crowd(Stage::Calling));
        let (mut memory, mut ahead, mut waiting) = (self.used_kb(now), Span::ZERO, false);
        for (_, job_class, id) in hold {
            let held = &self.jobs[&id];
            let needs = held.job.queued_kb * (self.machine.running_memory_ratio - 1.0);
            let (case, wait) = (held.case.clone(), self.call_wait(now, held));
            let room = on_cores < limit
                && crowd < cap
                && memory + needs <= self.machine.memory_kb * RULE_ROOM
                && !(case.calls_dependency && self.gate.full(now, wait));
            if room {
                if self.blind(&self.jobs[&id]) {
                    self.give_up(now, &id, false, None, out);
                    continue;
                }
                out.start_run(&id);
                self.enter(now, &id, Stage::OnCores);
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.ran = true;
                    // A blind repeat may have taken the entry over meanwhile.
                    out.store_record(&id, entry.until.since(now));
                }
                on_cores += 1.0;
                crowd += 1.0;
                memory += needs;
                continue;
            }
            waiting = true;
            let core_time = self.core_time(now, job_class) * stretch;
            let starts_in = ahead * (1.0 / limit);
            let done = now + starts_in + self.whole[job_class].usual(now).max(core_time);
            let patience = case.latency_objective * HOLD_PART;
            if done > self.useless_from(&self.jobs[&id]) || starts_in > patience {
                let retry_after = self.hold_clears_in(now);
                self.give_up(now, &id, true, Some(retry_after), out);
            } else {
                ahead += core_time;
            }
        }
        self.trial.settle(now, waiting, self.cores_used.mean(now), self.machine.cores);
    }

    /// Right after each batch all must fit: what is held goes before what runs, the last read first.
    fn shed_memory(&mut self, now: Time, out: Out) {
        let limit = self.machine.memory_kb * (1.0 + RULE_ROOM) / 2.0;
        let mut over = self.used_kb(now) - limit;
        let mut ids = self.pick(|held| !held.running());
        ids.splice(0..0, self.pick(|held| self.stoppable(held)));
        while let Some(id) = ids.pop().filter(|_| over > 0.0) {
            over -= self.kb(&self.jobs[&id]);
            let retry_after = self.hold_clears_in(now);
            self.give_up(now, &id, true, Some(retry_after), out);
        }
    }

    /// Most tries that come are further ones (or, unmarked, most are rejected): others have no room either.
    fn crowded(&mut self, now: Time, part: f64) -> bool {
        self.tries_again.read(now) > part * self.tries.read(now)
    }

    /// Steers what is said to callers by how long a job waits here, unread and held, before it runs. A caller
    /// that comes less often than it forgets hears nothing of that. Where most do, a server that lags goes
    /// off the list for a latency objective, a third of the time at most, which all callers hear (it gets no jobs
    /// then and wakes by itself). Guards against all that makes it lag; could hurt where all servers do.
    fn speak(&mut self, now: Time, out: Out) {
        if self.openness.next.is_some_and(|next| now < next) {
            return;
        }
        self.openness.next = Some(now + self.callers.signal_lifetime * 0.1);
        let unread = self.unread.usual(now);
        let lived = self.started.map_or(self.fade, |start| now.since(start).min(self.fade));
        let heard = self.tries.read(now) * (self.callers.signal_lifetime / lived) / self.callers.count;
        let back = self.away.is_none_or(|until| now.since(until) > self.shortest_objective * 2.0);
        // What stood still reads all that waited in one go and is as quick as ever then: no lag, as it may
        // have happened to many at once, and callers that all go elsewhere at once find nobody.
        let lasts = self.shortest_objective * WAIT_PART;
        let late = self.late_since.is_some_and(|since| now.since(since) >= lasts);
        let lags = back && late && unread > self.shortest_objective * HOLD_PART;
        if heard < SELDOM_HEARD && lags && !self.crowded(now, 0.15) {
            self.away = Some(now + self.shortest_objective * (0.75 + 0.5 * self.chance.draw()));
        }
        let good = self.leaving.is_none() && self.away.is_none_or(|until| until <= now);
        if self.told_good.replace(good) != Some(good) {
            out.publish_health(good, true);
        }
        let wait = (self.hold_clears_in(now) + unread) / (self.shortest_objective * WAIT_PART);
        let wait = if self.leaving.is_some() { f64::INFINITY } else { wait };
        let outstanding = 4.0 * self.trial.limit / self.callers.count;
        let value = self.openness.steer(wait, self.callers.signal, outstanding);
        if let Some(value) = value.filter(|value| self.openness.told != Some(*value)) {
            self.openness.told = Some(value);
            out.publish_load_signal(value);
        }
    }

    fn set_alarm(&mut self, now: Time, out: Out) {
        let unanswered = self.jobs.values().filter(|held| !held.answered);
        let next = unanswered.map(|held| self.useless_from(held)).min().into_iter();
        let speak = self.openness.next.filter(|_| !self.jobs.is_empty() || self.told_good == Some(false));
        let mut next = next.chain(speak).min();
        if !self.gate.queue.is_empty() {
            let over = self.gate.below.max_calls_window;
            let gate = self.gate.past.iter().flat_map(|(left, _)| [*left, *left + over]);
            next = next.into_iter().chain(gate.filter(|at| *at > now)).min();
        }
        let Some(next) = next.map(|next| next.max(now + self.machine.tick)) else { return };
        if self.alarm.is_none_or(|(at, _)| next < at) {
            self.numbers += 1;
            self.alarm = Some((next, self.numbers));
            out.set_timer(next, self.numbers);
        }
    }
}
