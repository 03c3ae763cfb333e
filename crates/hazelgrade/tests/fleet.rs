//! Simulation of a fleet with hundreds of controllers and one set of callers, for failures that only appear when many
//! controllers do the same. The controllers are real; machines, endpoint lists and callers are simulated
//! deterministically from a seed. The tests check the rules for each controller, and for the fleet that the load stays
//! balanced, that servers don't become unhealthy all at once, and that service recovers in time after a fault.

mod common;

use common::*;
use hazelgrade::api::*;
use hazelgrade::controller::Controller;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

const TICK_MS: f64 = 10.0;
const ZONES: usize = 3;
const CORES: f64 = 2.0;
/// Mean core time of a job.
const WORK_MS: f64 = 300.0;
/// Core time for reading a job.
const READ_MS: f64 = 5.0;
/// Core time for accepting a new connection.
const CONNECT_MS: f64 = 3.0;
/// Time until a caller notices that a server is unreachable.
const UNREACHABLE_AFTER_MS: f64 = 300.0;
const COLD_SPEED_RATIO: f64 = 0.3;
const WARM_UP_MS: f64 = 8000.0;

/// How far a caller follows load signals and retry-after.
#[derive(Clone, Copy, PartialEq)]
enum Compliance {
    Full,
    /// The caller follows half of the instructions, at random.
    Half,
    None,
}

struct Caller {
    compliance: Compliance,
    /// Age of the endpoint list that the caller uses.
    list_age_ms: f64,
    signals: BTreeMap<usize, (f64, f64)>,
    avoided_until: BTreeMap<usize, f64>,
    connected: Vec<bool>,
    reconnects_at: f64,
}

struct Server {
    controller: Controller,
    zone: usize,
    started_at_ms: f64,
    speed: f64,
    /// The server is paused until this time.
    paused_until_ms: f64,
    unread: VecDeque<(Job, f64)>,
    read_ms: f64,
    running: Vec<(JobId, f64, Time)>,
    unanswered: BTreeMap<JobId, Request>,
    timers: Vec<(Time, u64)>,
    healthy: bool,
    load_signal: f64,
    arrivals: u32,
    busy: f64,
}

/// One attempt of a request.
#[derive(Clone)]
struct Request {
    caller: usize,
    created_at_ms: f64,
    attempts: u32,
    job_class: usize,
    received_at: f64,
    has_run: bool,
}

enum Event {
    Send(Request),
    RestartCallers,
    ReplaceServers(Vec<usize>),
    LoseZone(usize),
    RestoreZone(usize),
    PauseServers(Vec<usize>, f64),
    SlowServers(Vec<usize>, f64),
}

#[derive(Default)]
struct Measurements {
    /// Requests by the second in which they were created.
    requests: Vec<u32>,
    /// Requests served within the latency objective, by the second in which they were created.
    served: Vec<u32>,
    rejections: Vec<u32>,
    /// Ratio of the live servers with bad health, by tick.
    unhealthy_ratios: Vec<f64>,
    /// Mean and mean square of the arrivals per server, by second.
    arrival_moments: Vec<(f64, f64)>,
    busy: Vec<f64>,
    /// Highest number of jobs on the cores of a cold server, as a ratio of what the server can sustain at that time.
    cold_load: f64,
    violation: Option<String>,
}

struct Fleet {
    setup: Setup,
    size: usize,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    random: MultiplyWithCarry,
    now: f64,
    events: BTreeMap<(i64, u64), Event>,
    last_number: u64,
    /// Endpoint lists of the past, one per tenth of a second, newest first. The list says of each server whether it is
    /// listed.
    endpoint_lists: Vec<Vec<bool>>,
    lost_zones: [bool; ZONES],
    results: Measurements,
    requests_per_ms: f64,
    duration_ms: f64,
}

fn server(setup: &Setup, number: usize, seed: u64, now: f64, cold: bool) -> Server {
    let mut setup = setup.clone();
    setup.machine.cold = cold;
    let Setup { job_classes, machine, limits, dependency, callers } = setup;
    let random = MultiplyWithCarry::new(seed);
    Server {
        controller: Controller::new(job_classes, vec![], machine, limits, dependency, callers, random),
        zone: number % ZONES,
        started_at_ms: if cold { now } else { now - WARM_UP_MS },
        speed: 1.0,
        paused_until_ms: now,
        unread: VecDeque::new(),
        read_ms: 0.0,
        running: vec![],
        unanswered: BTreeMap::new(),
        timers: vec![],
        healthy: true,
        load_signal: 1.0,
        arrivals: 0,
        busy: 0.0,
    }
}

impl Fleet {
    fn new(seed: u64, (size, callers): (usize, usize), load: f64, seconds: f64) -> Fleet {
        let mut setup = setup();
        let base = setup.job_classes[0].clone();
        setup.job_classes = [(Idempotency::Idempotent, 1.0), (Idempotency::AtMostOnce, 3.0)]
            .map(|(idempotency, priority_weight)| JobClass {
                idempotency,
                priority_weight,
                calls_dependency: false,
                ..base.clone()
            })
            .to_vec();
        setup.machine.cores = CORES;
        setup.limits.warm_up = ms(WARM_UP_MS);
        setup.limits.cold_speed_ratio = COLD_SPEED_RATIO;
        setup.callers.count = callers as f64;
        setup.callers.fleet_size = size as f64;
        let mut random = MultiplyWithCarry::new(seed);
        let servers = (0..size).map(|n| server(&setup, n, seed * 1000 + n as u64, 0.0, false)).collect();
        let callers = (0..callers).map(|number| Caller {
            compliance: [Compliance::Full, Compliance::Full, Compliance::Half, Compliance::None][number % 4],
            list_age_ms: 1000.0 + 4000.0 * random.next_f64(),
            signals: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
            connected: vec![true; size],
            reconnects_at: 0.0,
        });
        let callers = callers.collect();
        Fleet {
            setup,
            size,
            servers,
            callers,
            random,
            now: 0.0,
            events: BTreeMap::new(),
            last_number: 0,
            endpoint_lists: vec![],
            lost_zones: [false; ZONES],
            results: Measurements::default(),
            requests_per_ms: load * size as f64 * CORES / (WORK_MS + READ_MS),
            duration_ms: seconds * 1000.0,
        }
    }

    fn schedule(&mut self, at_ms: f64, event: Event) {
        self.last_number += 1;
        self.events.insert(((at_ms * 1000.0) as i64, self.last_number), event);
    }

    fn record_violation(&mut self, what: &str, id: &str) {
        let now = self.now;
        self.results.violation.get_or_insert_with(|| format!("{what}: job {id} at {now} ms"));
    }

    fn count(of: &mut Vec<u32>, ms: f64) {
        let second = (ms / 1000.0) as usize;
        if of.len() <= second {
            of.resize(second + 1, 0);
        }
        of[second] += 1;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(request) => self.send(request),
            Event::RestartCallers => {
                for number in 0..self.callers.len() * 7 / 10 {
                    let caller = &mut self.callers[number];
                    caller.signals.clear();
                    caller.avoided_until.clear();
                    caller.connected.fill(false);
                    caller.reconnects_at = self.now + 500.0;
                }
            }
            Event::ReplaceServers(affected) => {
                for number in affected {
                    let left: Vec<Request> =
                        std::mem::take(&mut self.servers[number].unanswered).into_values().collect();
                    let seed = (self.random.next_f64() * 1e9) as u64;
                    self.servers[number] = server(&self.setup, number, seed, self.now, true);
                    self.callers.iter_mut().for_each(|caller| caller.connected[number] = false);
                    left.into_iter().for_each(|request| self.retry(request, UNREACHABLE_AFTER_MS));
                }
            }
            Event::LoseZone(zone) => self.lost_zones[zone] = true,
            Event::RestoreZone(zone) => {
                self.lost_zones[zone] = false;
                let affected = (0..self.size).filter(|number| number % ZONES == zone).collect();
                self.handle(Event::ReplaceServers(affected));
            }
            Event::PauseServers(affected, until) => {
                affected.into_iter().for_each(|number| self.servers[number].paused_until_ms = until);
            }
            Event::SlowServers(affected, speed) => {
                affected.into_iter().for_each(|number| self.servers[number].speed = speed)
            }
        }
    }

    /// Sends a request or a retry to a server that the caller chooses.
    fn send(&mut self, mut request: Request) {
        let now = self.now;
        if now < self.callers[request.caller].reconnects_at {
            let at = self.callers[request.caller].reconnects_at + 200.0 * self.random.next_f64();
            return self.schedule(at, Event::Send(request));
        }
        let caller = &mut self.callers[request.caller];
        let age = ((now - caller.list_age_ms).max(0.0) / 100.0) as usize;
        let list = &self.endpoint_lists[age.min(self.endpoint_lists.len() - 1)];
        let complies = match caller.compliance {
            Compliance::Full => true,
            Compliance::Half => self.random.next_f64() < 0.5,
            Compliance::None => false,
        };
        let mut chosen = None;
        for _ in 0..20 {
            let number = (self.random.next_f64() * self.size as f64) as usize;
            if !list[number] {
                continue;
            }
            chosen = Some(number);
            let is_avoided = caller.avoided_until.get(&number).is_some_and(|until| now < *until);
            let load_signal = caller
                .signals
                .get(&number)
                .filter(|(_, at)| now - at < 1000.0)
                .map_or(1.0, |(load_signal, _)| *load_signal);
            if !complies || !is_avoided && self.random.next_f64() < load_signal {
                break;
            }
        }
        let Some(number) = chosen else { return self.retry(request, 100.0) };
        if self.lost_zones[self.servers[number].zone] {
            caller.avoided_until.insert(number, now + 2000.0);
            return self.retry(request, UNREACHABLE_AFTER_MS);
        }
        let connecting_ms =
            if std::mem::replace(&mut caller.connected[number], true) { 0.0 } else { CONNECT_MS };
        self.last_number += 1;
        let id: JobId = format!("{}", self.last_number).into();
        let mut sent = job(&id, at(now));
        (sent.job_class, sent.is_retry, request.received_at) = (request.job_class, request.attempts > 0, now);
        let server = &mut self.servers[number];
        server.arrivals += 1;
        server.unread.push_back((sent, READ_MS + connecting_ms));
        server.unanswered.insert(id, request);
    }

    /// Schedules a retry of a request, if the caller has attempts left and the request may be repeated.
    fn retry(&mut self, request: Request, after: f64) {
        let max_attempts = if self.callers[request.caller].compliance == Compliance::None { 6 } else { 3 };
        let (at, attempts) = (self.now + after, request.attempts + 1);
        let must_not_repeat = request.has_run && request.job_class == 1;
        if attempts < max_attempts && at < request.created_at_ms + 2000.0 && !must_not_repeat {
            self.schedule(at, Event::Send(Request { attempts, has_run: false, ..request }));
        }
    }

    fn speed(&self, server: &Server) -> f64 {
        server.speed
            * (COLD_SPEED_RATIO + (1.0 - COLD_SPEED_RATIO) * (self.now - server.started_at_ms) / WARM_UP_MS)
                .min(1.0)
    }

    /// Advances one server by a tick, reports the events to its controller and applies the decisions.
    fn advance_server(&mut self, number: usize) {
        let now = self.now;
        if now < self.servers[number].paused_until_ms {
            return;
        }
        let speed = self.speed(&self.servers[number]);
        let server = &mut self.servers[number];
        // Reading shares the cores with the runs like one additional run.
        let is_reading = !server.unread.is_empty();
        let jobs_on_cores = server.running.len() as f64 + f64::from(u8::from(is_reading));
        let progress_ms = TICK_MS * speed * (CORES / jobs_on_cores.max(CORES));
        server.busy += (jobs_on_cores / CORES).min(1.0);
        server.running.iter_mut().for_each(|(_, left, _)| *left -= progress_ms);
        let (finished, running) =
            std::mem::take(&mut server.running).into_iter().partition(|(_, left, _)| *left <= 0.0);
        server.running = running;
        let finished: Vec<(JobId, f64, Time)> = finished;
        server.read_ms = if is_reading { server.read_ms + progress_ms } else { 0.0 };
        let mut arrived = vec![];
        while let Some((_, cost)) = server.unread.front().filter(|(_, cost)| *cost <= server.read_ms) {
            server.read_ms -= cost;
            arrived.extend(server.unread.pop_front());
        }
        let fired_timers: Vec<u64> =
            server.timers.iter().filter(|(due, _)| *due <= at(now)).map(|(_, token)| *token).collect();
        server.timers.retain(|(due, _)| *due > at(now));
        let mut completed = vec![];
        if arrived.is_empty() && finished.is_empty() && fired_timers.is_empty() {
            return;
        }
        let busy = (jobs_on_cores / CORES).min(1.0);
        let decisions = round(&mut server.controller, at(now), |sink| {
            arrived.into_iter().for_each(|(job, _)| sink.job_arrived(job));
            for (id, _, since) in finished {
                sink.run_ended(&id, Outcome::Completed, at(now).since(since));
                completed.push(id);
            }
            fired_timers.iter().for_each(|token| sink.timer_fired(*token, Some(busy)));
        });
        for id in completed {
            self.answered(number, &id, true, None);
        }
        for decision in decisions {
            self.apply(number, decision);
        }
        let server = &self.servers[number];
        // The number of jobs that the server can sustain is lower during the warm-up.
        let warm = (COLD_SPEED_RATIO + (1.0 - COLD_SPEED_RATIO) * (now - server.started_at_ms) / WARM_UP_MS)
            .min(1.0);
        let max_jobs = CORES * (1.0 + (self.setup.limits.max_jobs_per_core - 1.0) * warm);
        if warm < 1.0 {
            self.results.cold_load = self.results.cold_load.max(server.running.len() as f64 / max_jobs);
        }
        let overloaded = server.running.len() as f64 > max_jobs;
        let late = server.unanswered.iter().find(|(_, request)| now > request.received_at + 6000.0 + 60.0);
        let late = late.map(|(id, _)| id.clone());
        if overloaded {
            self.record_violation("too many jobs on the cores", "-");
        }
        if let Some(id) = late {
            self.record_violation("no answer before the deadline", &id);
        }
    }

    fn apply(&mut self, number: usize, decision: Decision) {
        let now = at(self.now);
        let work = WORK_MS * (0.2 + 1.6 * self.random.next_f64());
        let server = &mut self.servers[number];
        match decision {
            Decision::StartRun(id) => {
                if let Some(request) = server.unanswered.get_mut(&id) {
                    request.has_run = true;
                }
                server.running.push((id, work, now));
            }
            Decision::Reject(id, retry_after, not_elsewhere) => {
                self.answered(number, &id, false, Some((retry_after, not_elsewhere)));
            }
            Decision::Fail(id) => self.answered(number, &id, false, None),
            Decision::CancelRun(id) => {
                let since =
                    server.running.iter().find(|(run, ..)| *run == id).map_or(now, |(.., since)| *since);
                server.running.retain(|(run, ..)| *run != id);
                let decisions = round(&mut server.controller, now, |sink| {
                    sink.run_ended(&id, Outcome::Cancelled, now.since(since));
                });
                decisions.into_iter().for_each(|decision| self.apply(number, decision));
            }
            Decision::SetTimer(due, token) => server.timers.push((due, token)),
            Decision::Health(healthy) => server.healthy = healthy,
            Decision::LoadSignal(load_signal) => server.load_signal = load_signal,
            other => self.record_violation(&format!("unexpected decision: {other:?}"), "-"),
        }
    }

    /// Delivers the answer of an attempt to its caller.
    fn answered(&mut self, number: usize, id: &JobId, served: bool, rejected: Option<(Span, bool)>) {
        let now = self.now;
        let Some(request) = self.servers[number].unanswered.remove(id) else {
            // The run of a job that was already given up also ends, without a second answer.
            if !served {
                self.record_violation("answered twice", id);
            }
            return;
        };
        let random = self.random.next_f64();
        if rejected.is_some() && request.has_run && request.job_class == 1 {
            self.record_violation("rejected a job that had run", id);
        }
        let caller = &mut self.callers[request.caller];
        let complies =
            caller.compliance == Compliance::Full || caller.compliance == Compliance::Half && random < 0.5;
        caller.signals.insert(number, (self.servers[number].load_signal, now));
        if served {
            if now <= request.created_at_ms + 2000.0 {
                Self::count(&mut self.results.served, request.created_at_ms);
            }
        } else if let Some((retry_after, not_elsewhere)) = rejected {
            Self::count(&mut self.results.rejections, now);
            caller.avoided_until.insert(number, now + retry_after.as_ms());
            if !(complies && not_elsewhere) {
                self.retry(
                    Request { has_run: false, ..request },
                    if complies { 20.0 + 80.0 * random } else { 5.0 },
                );
            } else if retry_after > Span::ZERO {
                self.retry(Request { has_run: false, ..request }, retry_after.as_ms());
            }
        }
    }
}

impl Fleet {
    fn simulate(mut self) -> Measurements {
        let mut due_requests = 0.0;
        while self.now < self.duration_ms {
            self.now += TICK_MS;
            if self.endpoint_lists.is_empty() || (self.now / 100.0) as usize > self.endpoint_lists.len() {
                // Newest first. The servers of a lost zone disappear from the endpoint list of a caller with the usual
                // delay.
                let healthy = self
                    .servers
                    .iter()
                    .map(|server| server.healthy && !self.lost_zones[server.zone])
                    .collect();
                self.endpoint_lists.insert(0, healthy);
                self.endpoint_lists.truncate(60);
            }
            due_requests += self.requests_per_ms * TICK_MS;
            while due_requests >= 1.0 {
                due_requests -= 1.0;
                let (caller, job_class) =
                    ((self.random.next_f64() * self.callers.len() as f64) as usize, self.random.next_f64());
                let job_class = usize::from(job_class < 0.2);
                let (created_at_ms, at) = (self.now, self.now + 1.0 + TICK_MS * self.random.next_f64());
                Self::count(&mut self.results.requests, created_at_ms);
                let request = Request {
                    caller,
                    created_at_ms,
                    attempts: 0,
                    job_class,
                    received_at: created_at_ms,
                    has_run: false,
                };
                self.schedule(at, Event::Send(request));
            }
            while let Some(first) =
                self.events.first_entry().filter(|first| first.key().0 <= (self.now * 1000.0) as i64)
            {
                let event = first.remove();
                self.handle(event);
            }
            (0..self.size).for_each(|number| self.advance_server(number));
            let live: Vec<&Server> =
                self.servers.iter().filter(|server| !self.lost_zones[server.zone]).collect();
            let unhealthy = live.iter().filter(|server| !server.healthy).count();
            self.results.unhealthy_ratios.push(unhealthy as f64 / live.len() as f64);
            if ((self.now / TICK_MS).round() as u64).is_multiple_of(100) {
                let count = live.len() as f64;
                let (mut sum, mut squares, mut busy) = (0.0, 0.0, 0.0);
                for server in &mut self.servers {
                    let arrivals = f64::from(std::mem::take(&mut server.arrivals));
                    (sum, squares) = (sum + arrivals, squares + arrivals * arrivals);
                    busy += std::mem::take(&mut server.busy) * TICK_MS / 1000.0;
                }
                self.results.arrival_moments.push((sum / count, squares / count));
                self.results.busy.push(busy / count);
            }
        }
        self.results
    }
}

impl Measurements {
    /// Returns the ratio of the requests created in these seconds that were served within the latency objective.
    fn served_ratio(&self, from: usize, to: usize) -> f64 {
        let sum = |of: &[u32]| f64::from(of[from..to.min(of.len())].iter().sum::<u32>());
        sum(&self.served) / sum(&self.requests).max(1.0)
    }

    /// Asserts that at least `min_ratio` of the requests created in these seconds were served within the latency
    /// objective.
    fn assert_served(&self, from: usize, to: usize, min_ratio: f64) {
        let served_ratio = self.served_ratio(from, to);
        assert!(
            served_ratio >= min_ratio,
            "{served_ratio} of the requests from {from} to {to} s were served, expected at least {min_ratio}"
        );
    }

    /// Returns the highest imbalance of arrivals over the servers from second `from` on: the standard deviation as a
    /// ratio of the one that a random choice of servers gives.
    fn arrival_imbalance(&self, from: usize) -> f64 {
        let imbalance =
            |(mean, squares): &(f64, f64)| ((squares - mean * mean) / mean.max(0.001)).max(0.0).sqrt();
        self.arrival_moments.iter().skip(from).map(imbalance).fold(0.0, f64::max)
    }

    fn max_unhealthy_ratio(&self) -> f64 {
        self.unhealthy_ratios.iter().copied().fold(0.0, f64::max)
    }

    fn mean_unhealthy_ratio(&self, from: usize) -> f64 {
        let unhealthy = &self.unhealthy_ratios[from * 100..];
        unhealthy.iter().sum::<f64>() / unhealthy.len() as f64
    }
}

const FLEET_AND_CALLERS: (usize, usize) = (300, 150);

/// Simulates a scenario with two seeds and checks each. No controller may violate a rule. Faults occur at 8 s.
fn run_scenario(size: (usize, usize), load: f64, fault: impl Fn(&mut Fleet), check: impl Fn(&Measurements)) {
    for seed in 1..=2 {
        let mut fleet = Fleet::new(seed, size, load, 30.0);
        fault(&mut fleet);
        let measurements = fleet.simulate();
        println!(
            "seed {seed}: 3-8 s {:.3}, 8-12 {:.3}, 12-18 {:.3}, 18-27 {:.3}; \
             {} rejections; unhealthy {:.2} max, {:.3} mean; imbalance {:.2}",
            measurements.served_ratio(3, 8),
            measurements.served_ratio(8, 12),
            measurements.served_ratio(12, 18),
            measurements.served_ratio(18, 27),
            measurements.rejections.iter().sum::<u32>(),
            measurements.max_unhealthy_ratio(),
            measurements.mean_unhealthy_ratio(9),
            measurements.arrival_imbalance(2),
        );
        assert_eq!(measurements.violation, None);
        check(&measurements);
    }
}

fn every_nth(fleet: &Fleet, nth: usize) -> Vec<usize> {
    (0..fleet.size).filter(|number| number % nth == 0).collect()
}

#[test]
fn a_calm_fleet_is_loaded_evenly_and_a_restart_of_callers_changes_nothing() {
    let restart = |fleet: &mut Fleet| fleet.schedule(8000.0, Event::RestartCallers);
    run_scenario(FLEET_AND_CALLERS, 0.7, restart, |measurements| {
        measurements.assert_served(1, 27, 0.99);
        assert!(measurements.arrival_imbalance(2) < 1.25, "{}", measurements.arrival_imbalance(2));
        assert_eq!(measurements.max_unhealthy_ratio(), 0.0);
    });
}

/// Guards against unlisting a whole fleet after a pause. All servers were paused for 2 s, were late with the waiting
/// jobs and were unlisted at the same time. The endpoint lists without servers reached the callers after the servers
/// had recovered: callers found no server for 3 s, and only a tenth of the jobs were served although the cores were
/// idle.
#[test]
fn a_fleet_that_was_paused_is_not_unlisted_all_at_once() {
    let pause =
        |fleet: &mut Fleet| fleet.schedule(8000.0, Event::PauseServers(every_nth(fleet, 1), 10_000.0));
    run_scenario(FLEET_AND_CALLERS, 0.7, pause, |measurements| {
        assert!(
            measurements.max_unhealthy_ratio() < 0.1,
            "{} of the servers are unhealthy at once",
            measurements.max_unhealthy_ratio()
        );
        measurements.assert_served(10, 12, 0.9);
        measurements.assert_served(12, 27, 0.99);
    });
}

#[test]
fn a_partitioned_zone_is_in_use_again_at_once() {
    let partition =
        |fleet: &mut Fleet| fleet.schedule(8000.0, Event::PauseServers(every_nth(fleet, 3), 12_000.0));
    run_scenario(FLEET_AND_CALLERS, 0.7, partition, |measurements| {
        assert!(
            measurements.max_unhealthy_ratio() < 0.1,
            "{} of the servers are unhealthy at once",
            measurements.max_unhealthy_ratio()
        );
        measurements.assert_served(12, 18, 0.985);
    });
}

#[test]
fn after_the_loss_of_a_zone_that_returns_cold_all_is_served_within_its_warm_up() {
    let loss = |fleet: &mut Fleet| {
        fleet.schedule(8000.0, Event::LoseZone(1));
        fleet.schedule(13_000.0, Event::RestoreZone(1));
    };
    run_scenario(FLEET_AND_CALLERS, 0.7, loss, |measurements| {
        // Two thirds of the fleet have 0.95 of the needed capacity. A cold zone initially has a third of its usual
        // speed.
        measurements.assert_served(8, 13, 0.9);
        measurements.assert_served(13, 18, 0.9);
        measurements.assert_served(21, 27, 0.99);
    });
}

#[test]
fn half_the_fleet_replaced_by_cold_ones_is_served_as_it_warms() {
    let replace_half = |fleet: &mut Fleet| fleet.schedule(8000.0, Event::ReplaceServers(every_nth(fleet, 2)));
    run_scenario(FLEET_AND_CALLERS, 0.7, replace_half, |measurements| {
        measurements.assert_served(8, 12, 0.88);
        measurements.assert_served(16, 27, 0.99);
    });
}

/// A cold server must limit the jobs on its cores by itself, for any number of callers at 1.5 times the capacity of the
/// fleet, both among warm servers and in a fleet of cold servers.
#[test]
fn a_cold_server_is_not_overloaded_by_twenty_thirty_or_three_hundred_callers() {
    for callers in [20, 30, 300] {
        for (what, nth) in [("one of 21 cold", 21), ("all cold", 1)] {
            let replace =
                |fleet: &mut Fleet| fleet.schedule(8000.0, Event::ReplaceServers(every_nth(fleet, nth)));
            run_scenario((21, callers), 1.5, replace, |measurements| {
                println!("{callers} callers, {what}: {:.2} of the sustainable jobs", measurements.cold_load);
                assert!(
                    measurements.cold_load > 0.3 && measurements.cold_load <= 1.0,
                    "{callers} callers, {what}: {}",
                    measurements.cold_load
                );
                measurements.assert_served(17, 27, 0.45);
            });
        }
    }
}

#[test]
fn lagging_servers_are_unlisted_temporarily_and_listed_again() {
    let slow = |fleet: &mut Fleet| fleet.schedule(8000.0, Event::SlowServers(every_nth(fleet, 8), 0.04));
    run_scenario(FLEET_AND_CALLERS, 0.7, slow, |measurements| {
        assert!(measurements.max_unhealthy_ratio() > 0.02, "no server was unlisted");
        // An eighth of the servers lag, and each of them may be unlisted for at most a third of the time.
        assert!(
            measurements.mean_unhealthy_ratio(9) < 0.125 / 3.0,
            "unlisted for too long: {}",
            measurements.mean_unhealthy_ratio(9)
        );
        measurements.assert_served(9, 27, 0.93);
    });
}

/// If all servers lag together, no other server has capacity, and unlisting servers would only reduce the capacity
/// further.
#[test]
fn a_fleet_that_is_slow_as_a_whole_stays_listed() {
    let slow = |fleet: &mut Fleet| {
        fleet.schedule(8000.0, Event::SlowServers(every_nth(fleet, 1), 0.08));
        fleet.schedule(12_000.0, Event::SlowServers(every_nth(fleet, 1), 1.0));
    };
    run_scenario(FLEET_AND_CALLERS, 0.7, slow, |measurements| {
        assert!(
            measurements.max_unhealthy_ratio() < 0.1,
            "{} of the servers are unhealthy at once",
            measurements.max_unhealthy_ratio()
        );
        measurements.assert_served(14, 27, 0.97);
    });
}

#[test]
fn past_capacity_rejected_jobs_do_not_overwhelm_the_fleet() {
    run_scenario(
        FLEET_AND_CALLERS,
        1.3,
        |_| {},
        |measurements| {
            // At most 1 in 1.3 requests can be served, and reading the rejected attempts costs core time too.
            measurements.assert_served(8, 27, 0.64);
            let (rejections, requests): (u32, u32) =
                (measurements.rejections.iter().sum(), measurements.requests.iter().sum());
            assert!(
                f64::from(rejections) < 1.25 * f64::from(requests),
                "{rejections} rejections for {requests} requests"
            );
        },
    );
}

/// Callers that send often enough follow the load signal, so that slow servers get only as much load as they can serve.
#[test]
fn where_callers_follow_load_signals_slow_servers_get_less_load() {
    let slow = |fleet: &mut Fleet| fleet.schedule(8000.0, Event::SlowServers(every_nth(fleet, 3), 0.25));
    run_scenario((12, 3), 0.7, slow, |measurements| {
        assert_eq!(measurements.max_unhealthy_ratio(), 0.0, "no server may be unlisted");
        measurements.assert_served(12, 18, 0.9);
    });
}

/// The same events happen to all controllers at the same time. The retry-after and unlisted times that the controllers
/// then choose must not all end at the same time.
#[test]
fn controllers_in_the_same_state_do_not_synchronise() {
    let mut setup = setup();
    (setup.callers.count, setup.callers.fleet_size) = (150.0, 300.0);
    setup.job_classes[0].calls_dependency = false;
    let (mut unlisted_ms, mut retry_afters) = (vec![], vec![]);
    for seed in 0..300 {
        let Setup { job_classes, machine, limits, dependency, callers } = setup.clone();
        let mut controller = Controller::new(
            job_classes,
            vec![],
            machine,
            limits,
            dependency,
            callers,
            MultiplyWithCarry::new(seed),
        );
        let (mut unlisted_at, mut first_retry_after, mut runs) = (None, None, VecDeque::new());
        for step in 0..600 {
            let now = at(f64::from(step) * 10.0);
            // One job per 50 ms for one second, each read 1.5 s late, and 40 more jobs at the end of that second.
            let count = if step == 100 { 40 } else { u32::from(step % 5 == 0 && step < 100) };
            let ended = runs.iter().take_while(|(_, since)| now.since(*since) >= ms(300.0)).count();
            let ended: Vec<(JobId, Time)> = runs.drain(..ended).collect();
            let decisions = round(&mut controller, now, |sink| {
                for number in 0..count {
                    let late = if step == 100 { 0.0 } else { 1500.0 };
                    sink.job_arrived(job(&format!("{step}-{number}"), now - ms(late)));
                }
                ended.iter().for_each(|(id, _)| sink.run_ended(id, Outcome::Completed, ms(300.0)));
                sink.timer_fired(u64::MAX, Some(0.5));
            });
            for decision in decisions {
                match decision {
                    Decision::StartRun(id) => runs.push_back((id, now)),
                    Decision::Health(false) => unlisted_at = unlisted_at.or(Some(now)),
                    Decision::Health(true) => unlisted_ms
                        .extend(unlisted_at.take().map(|unlisted_at| now.since(unlisted_at).as_ms())),
                    Decision::Reject(_, retry_after, _) => {
                        first_retry_after = first_retry_after.or(Some(retry_after.as_ms()))
                    }
                    _ => {}
                }
            }
        }
        retry_afters.extend(first_retry_after);
    }
    for (what, mut durations) in [("unlisted", unlisted_ms), ("retry-after", retry_afters)] {
        durations.sort_by(f64::total_cmp);
        assert!(durations.len() >= 200, "{what}: only {} durations were observed", durations.len());
        let (low, median, high) = (
            durations[durations.len() / 10],
            durations[durations.len() / 2],
            durations[durations.len() * 9 / 10],
        );
        println!("{what}: {low:.0} {median:.0} {high:.0}");
        assert!(high - low > 0.3 * median, "{what}: {low} to {high} ms, median {median} ms");
    }
}
