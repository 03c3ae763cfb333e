//! A slow, plain model of the four rules plays the world beside the controller on generated inputs. Every decision is
//! checked against what the rules allow, and every job against the one final answer it is owed.

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
enum At {
    Unread,
    Held,
    Cores(Time),
    Call,
    Below { since: Time, ends: Time, given_up: Time },
    Shared,
    Over,
}

struct Known {
    job: Job,
    /// Tries of one request have one number.
    request: usize,
    read: Time,
    at: At,
    due: Time,
    owed: bool,
    calls_left: u32,
    call_doubt: bool,
    ran_ever: bool,
    started: Time,
}

struct World {
    setup: Setup,
    random: MultiplyWithCarry,
    jobs: BTreeMap<JobId, Known>,
    /// Records: who holds it, and until when it lives.
    entries: BTreeMap<usize, (JobId, Time)>,
    /// When the first try that ran of a numbered request reached the machine.
    ran: BTreeMap<usize, Time>,
    lingering: Vec<Time>,
    timers: Vec<(Time, u64)>,
    crowd: Vec<(Time, f64)>,
    calls: Vec<(Time, f64)>,
    notice: Option<(Time, Time)>,
    fault: Option<String>,
    now: Time,
}

impl World {
    fn flag(&mut self, broken: bool, what: &str, id: &JobId) {
        if broken && self.fault.is_none() {
            self.fault = Some(format!("{what}: job {id} at {} ms", self.now.as_ms()));
        }
    }

    fn pick(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.random.next_f64()
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
                Decision::LoadSignal(_) => {
                    self.flag(self.setup.callers.signal == LoadSignal::Silent, "bad say", &"-".into())
                }
                _ => {}
            }
            return;
        };
        let (work, fate, dependency) =
            (self.pick(50.0, 900.0), self.random.next_f64(), self.pick(20.0, 1500.0));
        let Some(known) = self.jobs.get(id) else { return self.flag(true, "unknown job", id) };
        let case = self.setup.job_classes[known.job.job_class].clone();
        let (stage, request, received_at, doubt) =
            (known.at, known.request, known.job.received_at, known.call_doubt);
        let (ran_ever, repeats) = (known.ran_ever, known.job.retry_of.is_some());
        let ran_before = match case.idempotency {
            Idempotency::Keyed => {
                self.ran.get(&request).is_some_and(|ran| received_at.since(*ran) < case.retry_window)
            }
            Idempotency::AtMostOnce => ran_ever,
            Idempotency::Idempotent => false,
        };
        match decision {
            Decision::StartRun(_) => {
                self.flag(stage != At::Held, "ran what is not held", id);
                self.flag(ran_before, "ran twice", id);
                let grace = self.setup.limits.drain_grace;
                let late = self.notice.is_some_and(|(notice, _)| received_at > notice + grace);
                self.flag(late, "ran what came past the grace", id);
                self.ran.entry(request).or_insert(received_at);
            }
            Decision::Reject(..) | Decision::Fail(_) => {
                self.flag(!self.jobs[id].owed, "answered twice", id);
                let once_ran = ran_before || ran_ever && case.idempotency != Idempotency::Idempotent;
                self.flag(matches!(decision, Decision::Reject(..)) && once_ran, "bounced what ran", id);
                let last = self.jobs[id].due + self.setup.limits.answer_slack;
                self.flag(now > last, "answered late", id);
            }
            Decision::StartCall(..) => {
                self.flag(doubt && case.idempotency != Idempotency::Idempotent, "called again in doubt", id);
                self.flag(!case.calls_dependency || stage != At::Call, "called when not at a call", id);
            }
            Decision::SkipCall(_) => self.flag(case.weight_ratio_without_call <= 0.0, "bad skip", id),
            Decision::CancelRun(_) => {
                self.flag(self.setup.machine.cancellation == Cancellation::Unsupported, "bad stop", id)
            }
            Decision::AwaitOriginal(_) => self.flag(!repeats, "shared without a job to share", id),
            _ => {}
        }
        let Some(known) = self.jobs.get_mut(id) else { return };
        match decision {
            Decision::StartRun(_) if known.at == At::Held => {
                (known.at, known.ran_ever, known.started) = (At::Cores(now + ms(work)), true, now);
            }
            Decision::Reject(..) | Decision::Fail(_) => {
                known.owed = false;
                known.at = if matches!(known.at, At::Held | At::Shared) { At::Over } else { known.at };
            }
            Decision::StartCall(_, within) if known.at == At::Call => {
                let given_up = now + *within;
                let ends = now + ms(if fate < 0.1 { dependency * 20.0 } else { dependency });
                known.at = At::Below { since: now, ends, given_up };
            }
            Decision::SkipCall(_) if known.at == At::Call => known.at = At::Cores(now + ms(work)),
            Decision::CancelRun(_) if matches!(known.at, At::Cores(_)) => known.at = At::Cores(now),
            Decision::AwaitOriginal(_) => known.at = At::Shared,
            Decision::StoreRecord(_, span) if case.idempotency == Idempotency::Keyed => {
                self.entries.insert(request, (id.clone(), now + *span));
            }
            Decision::RemoveRecord(_) => {
                self.entries.remove(&request);
            }
            _ => {}
        }
    }

    fn mean(steps: &[(Time, f64)], now: Time, span: Span) -> f64 {
        let from = now - span;
        let ends = steps.iter().skip(1).map(|(at, _)| *at).chain([now]);
        let area =
            steps.iter().zip(ends).map(|((at, value), end)| value * end.since((*at).max(from)).as_ms());
        area.sum::<f64>() / span.as_ms()
    }

    /// What must hold right after a batch.
    fn check(&mut self, now: Time, begun: Time) {
        let machine = &self.setup.machine;
        let running = |known: &&Known| matches!(known.at, At::Cores(_) | At::Call | At::Below { .. });
        let held = |known: &&Known| matches!(known.at, At::Held | At::Shared);
        let run_kb: f64 = self.jobs.values().filter(running).map(|known| known.job.queued_kb).sum();
        let queued_kb: f64 = self.jobs.values().filter(held).map(|known| known.job.queued_kb).sum();
        let entries = self.entries.values().filter(|(_, until)| *until > now).count() as f64;
        let needed = run_kb * machine.running_memory_ratio + queued_kb + entries * machine.record_kb;
        let memory_gone = needed > machine.memory_kb;
        let on_cores = self.jobs.values().filter(|known| matches!(known.at, At::Cores(_))).count() as f64;
        let out = self.jobs.values().filter(|known| matches!(known.at, At::Below { .. })).count();
        self.lingering.retain(|until| *until > now);
        for steps in [&mut self.crowd, &mut self.calls] {
            let old = steps.iter().take_while(|(at, _)| now.since(*at) > ms(6000.0)).count();
            steps.drain(..old.saturating_sub(1));
        }
        self.jobs.retain(|_, known| known.at != At::Over || now.since(known.job.received_at) < ms(4000.0));
        self.crowd.push((now, on_cores));
        self.calls.push((now, (out + self.lingering.len()) as f64));
        let limits = &self.setup.limits;
        let warm = if machine.cold { limits.cold_speed_ratio } else { 1.0 };
        let speed = (warm + (1.0 - warm) * (now.since(begun) / limits.warm_up)).min(1.0);
        let cap = machine.cores * (1.0 + (limits.max_jobs_per_core - 1.0) * speed);
        let crowded = Self::mean(&self.crowd, now, ms(2000.0)) > cap + 1e-6;
        let dependency = &self.setup.dependency;
        // Calls end at a tick or after a pause: up to 200 ms in the 5 s are the world's doing.
        let flooded = dependency
            .max_calls
            .is_some_and(|share| Self::mean(&self.calls, now, dependency.max_calls_window) > share + 0.04);
        let lost = self.jobs.values().find(|known| {
            let due = self.notice.map_or(known.due, |(_, stop)| known.due.min(stop));
            known.owed && !matches!(known.at, At::Unread) && now > due + limits.answer_slack
        });
        let lost = lost.map(|known| known.job.id.clone());
        let none: JobId = "-".into();
        self.flag(memory_gone, "memory", &none);
        self.flag(crowded, "crowd", &none);
        self.flag(flooded, "calls in hand", &none);
        self.flag(lost.is_some(), "no answer in time", lost.as_ref().unwrap_or(&none));
    }
}

fn one_of<T: Copy>(random: &mut MultiplyWithCarry, from: &[T]) -> T {
    from[(random.next_f64() * from.len() as f64) as usize]
}

fn world(seed: u64) -> World {
    let mut random = MultiplyWithCarry::new(seed);
    let mut setup = setup();
    let base = setup.job_classes[0].clone();
    setup.job_classes = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::AtMostOnce]
        .map(|repeats| JobClass {
            idempotency: repeats,
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
    let sizes = [(1.0, 1.0), (4.0, 5.0), (3_000.0, 400.0)];
    (setup.callers.count, setup.callers.fleet_size) = one_of(&mut random, &sizes);
    World {
        setup,
        random,
        jobs: BTreeMap::new(),
        entries: BTreeMap::new(),
        ran: BTreeMap::new(),
        lingering: vec![],
        timers: vec![],
        crowd: vec![],
        calls: vec![],
        notice: None,
        fault: None,
        now: at(0.0),
    }
}

/// Plays one generated day and returns the first rule broken.
fn play(seed: u64) -> Option<String> {
    let mut world = world(seed);
    let mut controller = world.setup.controller();
    let begun = at(world.pick(-5000.0, 5000.0));
    let leaves = begun + ms(world.pick(1000.0, 25_000.0));
    let rate = world.pick(0.02, 0.6);
    let (mut now, mut paused_until, mut count) = (begun, begun, 0);
    while now.since(begun) < ms(24_000.0) && world.fault.is_none() {
        now = now + world.setup.machine.tick;
        if world.notice.is_some_and(|(_, stop)| now >= stop) {
            let open = world.jobs.values().any(|known| known.owed && known.at != At::Unread);
            world.flag(open, "unanswered at the stop", &"-".into());
            break;
        }
        // New jobs, and retries of numbered ones, reach the machine; some wait long unread.
        while world.random.next_f64() < rate && now.since(begun) < ms(17_000.0) {
            count += 1;
            let job_class = (world.random.next_f64() * 3.0) as usize;
            let old: Vec<(usize, JobId)> =
                world.jobs.values().map(|k| (k.request, k.job.id.clone())).collect();
            let again = job_class == 1 && !old.is_empty() && world.random.next_f64() < 0.4;
            let (mut request, mut id_before) = (count, None);
            if again {
                let (number, id) = old[(world.random.next_f64() * old.len() as f64) as usize].clone();
                // A caller waits a while for one try before it sends the next.
                let last =
                    world.jobs.values().filter(|k| k.request == number).map(|k| k.job.received_at).max();
                let waited = last.is_some_and(|last| now.since(last) > ms(400.0));
                if world.jobs[&id].job.job_class == 1 && waited {
                    (request, id_before) = (number, Some(id));
                }
            }
            let id: JobId = format!("j{count}").into();
            let linked =
                world.entries.get(&request).filter(|(_, until)| *until > now).map(|(id, _)| id.clone());
            let wait =
                if world.random.next_f64() < 0.1 { world.pick(0.0, 3000.0) } else { world.pick(0.0, 20.0) };
            let mut job = job(&id, now);
            (job.job_class, job.is_retry) =
                (job_class, id_before.is_some() && world.setup.callers.mark_retries);
            (job.retry_of, job.queued_kb) = (linked, world.pick(5.0, 40.0));
            let due = now + world.setup.job_classes[job_class].deadline;
            let known = Known {
                job,
                request,
                read: now + ms(wait),
                at: At::Unread,
                due,
                owed: true,
                calls_left: (world.random.next_f64() * 3.0) as u32,
                call_doubt: false,
                ran_ever: false,
                started: now,
            };
            world.jobs.insert(id, known);
        }
        if now < paused_until {
            continue;
        }
        if world.random.next_f64() < 0.001 {
            paused_until = now + ms(world.pick(50.0, 150.0));
            // A delay of a frozen process is not counted against it.
            let owed = world.jobs.values_mut().filter(|known| known.owed);
            owed.for_each(|known| known.due = known.due.max(paused_until));
        }
        world.now = now;
        for decision in &events(&mut world, &mut controller, now, leaves).unwrap_or_default() {
            world.apply(decision, now);
        }
        world.check(now, begun);
    }
    world.fault
}

/// All that happens in the world at a tick, told to the controller; its decisions, if anything happened.
fn events(world: &mut World, controller: &mut Controller, now: Time, leaves: Time) -> Option<Vec<Decision>> {
    let (mut arrived, mut ended, mut at_call, mut returned, mut gone) =
        (vec![], vec![], vec![], vec![], vec![]);
    let ids: Vec<JobId> = world.jobs.keys().cloned().collect();
    for id in ids {
        let (luck, leaving, work) =
            (world.random.next_f64(), world.random.next_f64() < 0.0005, world.pick(20.0, 1500.0));
        let calls = world.setup.job_classes[world.jobs[&id].job.job_class].calls_dependency;
        let linger = world.setup.dependency.linger;
        let Some(known) = world.jobs.get_mut(&id) else { continue };
        match known.at {
            At::Unread if known.read <= now => {
                (known.at, known.due) = (At::Held, known.due.max(now));
                arrived.push(known.job.clone());
            }
            At::Cores(end) if end <= now => {
                if known.owed && calls && known.calls_left > 0 {
                    (known.at, known.calls_left) = (At::Call, known.calls_left - 1);
                    at_call.push(id.clone());
                } else {
                    (known.at, known.owed) = (At::Over, false);
                    let outcome = if luck < 0.1 { Outcome::Failed } else { Outcome::Completed };
                    ended.push((id.clone(), outcome, now.since(known.started)));
                }
            }
            At::Call if !known.owed => {
                known.at = At::Over;
                ended.push((id.clone(), Outcome::Cancelled, now.since(known.started)));
            }
            At::Below { since, .. } if !known.owed => {
                known.at = At::Over;
                world.lingering.push(now + linger);
                ended.push((id.clone(), Outcome::Cancelled, now.since(since)));
            }
            At::Below { since, ends, given_up } if ends <= now || given_up <= now => {
                let outcome = match luck {
                    _ if given_up < ends => Outcome::TimedOut,
                    _ if luck < 0.1 => Outcome::Failed,
                    _ if luck < 0.2 => Outcome::Rejected,
                    _ if luck < 0.3 => Outcome::ConnectionLost,
                    _ => Outcome::Completed,
                };
                world.lingering.extend((outcome == Outcome::TimedOut).then_some(now + linger));
                known.call_doubt = outcome != Outcome::Completed && !outcome.never_ran();
                known.at = if outcome == Outcome::Completed { At::Cores(now + ms(work)) } else { At::Call };
                returned.push((id.clone(), outcome, now.since(since)));
            }
            At::Held | At::Cores(_) | At::Shared if leaving && known.owed => {
                known.owed = false;
                known.at = if matches!(known.at, At::Cores(_)) { known.at } else { At::Over };
                gone.push(id.clone());
            }
            _ => {}
        }
    }
    // Tries of one request that are read in one batch name each other, kept or not.
    let requests: Vec<usize> = arrived.iter().map(|job| world.jobs[&job.id].request).collect();
    for mine in 0..arrived.len() {
        let other = (0..arrived.len()).find(|other| *other != mine && requests[*other] == requests[mine]);
        if let Some(other) =
            other.filter(|_| arrived[mine].retry_of.is_none() && arrived[mine].job_class == 1)
        {
            arrived[mine].retry_of = Some(arrived[other].id.clone());
            let (id, named) = (arrived[mine].id.clone(), arrived[mine].retry_of.clone());
            if let Some(known) = world.jobs.get_mut(&id) {
                known.job.retry_of = named;
            }
        }
    }
    let fired: Vec<u64> = world.timers.iter().filter(|(at, _)| *at <= now).map(|(_, token)| *token).collect();
    world.timers.retain(|(at, _)| *at > now);
    let leaving = (now >= leaves && world.notice.is_none()).then(|| now + ms(4000.0));
    world.notice = world.notice.or(leaving.map(|stop| (now, stop)));
    let busy = world.random.next_f64();
    let lists = [arrived.len(), ended.len(), at_call.len(), returned.len(), gone.len(), fired.len()];
    if lists.iter().sum::<usize>() == 0 && leaving.is_none() {
        return None;
    }
    Some(round(controller, now, |sink| {
        sink.run_ended(&"stranger".into(), Outcome::Superseded, Span::ZERO); // odd but legal, as is the next
        sink.timer_fired(u64::MAX, None);
        arrived.into_iter().for_each(|job| sink.job_arrived(job));
        ended.iter().for_each(|(id, outcome, took)| sink.run_ended(id, *outcome, *took));
        at_call.iter().for_each(|id| sink.call_requested(id));
        returned.iter().for_each(|(id, outcome, took)| sink.call_ended(id, *outcome, *took));
        gone.iter().for_each(|id| sink.caller_disconnected(id));
        fired.iter().for_each(|token| sink.timer_fired(*token, Some(busy)));
        if let Some(stop) = leaving {
            sink.drain_started(stop);
        }
    }))
}

/// Names a generated day. A smaller number is no simpler day, so there is nothing to shrink.
#[derive(Clone, Debug)]
struct Day(u64);

impl Arbitrary for Day {
    fn arbitrary(gen_: &mut Gen) -> Day {
        Day(u64::arbitrary(gen_))
    }
}

#[test]
fn controller_and_model_agree() {
    fn keeps_the_rules(day: Day) -> Result<(), String> {
        play(day.0).map_or(Ok(()), |fault| Err(format!("{day:?}: {fault}")))
    }
    let fixed = Gen::from_size_and_seed(100, 20_261_201);
    QuickCheck::new().rng(fixed).tests(400).quickcheck(keeps_the_rules as fn(Day) -> Result<(), String>);
}
