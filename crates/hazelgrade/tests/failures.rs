//! One small test for each failure found or foreseen.

mod common;

use common::*;
use hazelgrade::api::*;
use hazelgrade::controller::{Controller, EventSink};
use hazelgrade::time::{Span, Time};

fn runs(decisions: &[Decision]) -> usize {
    decisions.iter().filter(|decision| matches!(decision, Decision::StartRun(_))).count()
}

fn rejected(decisions: &[Decision], id: &str) -> bool {
    decisions.iter().any(|decision| matches!(decision, Decision::Reject(job, ..) if **job == *id))
}

/// Brings `count` jobs to their call at `now`, each after a run of 10 ms.
fn at_calls(controller: &mut Controller, now: f64, from: usize, count: usize) -> Vec<Decision> {
    let mut decisions = vec![];
    for number in from..from + count {
        let id = format!("c{number}");
        decisions.extend(round(controller, at(now), |sink| sink.job_arrived(job(&id, at(now)))));
        decisions.extend(round(controller, at(now), |sink| sink.call_requested(&id.as_str().into())));
    }
    decisions
}

/// The call of job `id`, made at 0, comes back at `now`.
fn call_done(controller: &mut Controller, id: &str, now: f64) -> Vec<Decision> {
    round(controller, at(now), |sink| sink.call_ended(&id.into(), Outcome::Completed, ms(now)))
}

fn made(decisions: &[Decision]) -> Vec<JobId> {
    decisions
        .iter()
        .filter_map(
            |decision| if let Decision::StartCall(id, _) = decision { Some(id.clone()) } else { None },
        )
        .collect()
}

#[test]
fn past_the_permits_calls_wait_and_past_the_queue_capacity_new_jobs_are_rejected() {
    let mut controller = setup().controller();
    let decisions = at_calls(&mut controller, 0.0, 0, 16);
    assert_eq!(made(&decisions).len(), 8, "eight permits at the start");
    let decisions = round(&mut controller, at(1.0), |sink| sink.job_arrived(job("late", at(1.0))));
    let retry_after = decisions.iter().find_map(|decision| {
        if let Decision::Reject(_, retry_after, _) = decision { Some(*retry_after) } else { None }
    });
    assert!(
        retry_after.is_some_and(|retry_after| retry_after > Span::ZERO),
        "the queue of eight is full: {decisions:?}"
    );
}

/// Foreseen: retries that the queue capacity counts as fresh arrivals. Queue capacity goes by time in calls alone.
#[test]
fn retries_do_not_change_the_queue_capacity() {
    let mut controller = setup().controller();
    at_calls(&mut controller, 0.0, 0, 16);
    for number in 0..50 {
        let mut retry = job(&format!("r{number}"), at(5.0));
        retry.is_retry = true;
        let decisions = round(&mut controller, at(5.0), |sink| sink.job_arrived(retry));
        assert!(rejected(&decisions, &format!("r{number}")), "the queue is as full as before");
    }
    let decisions = call_done(&mut controller, "c0", 100.0);
    assert_eq!(made(&decisions).len(), 1, "one permit came back");
    let decisions = round(&mut controller, at(101.0), |sink| sink.job_arrived(job("new", at(101.0))));
    assert!(!rejected(&decisions, "new"), "the learned depth takes it");
}

/// Foreseen: a process pause, after which a throughput counted over the clock would have shrunk the queue.
#[test]
fn a_pause_does_not_shrink_the_queue_capacity() {
    let mut controller = setup().controller();
    at_calls(&mut controller, 0.0, 0, 8);
    for number in 0..8 {
        let id = format!("c{number}");
        call_done(&mut controller, &id, 100.0);
        round(&mut controller, at(110.0), |sink| {
            sink.run_ended(&id.as_str().into(), Outcome::Completed, ms(110.0))
        });
    }
    let decisions = at_calls(&mut controller, 60_000.0, 100, 20);
    assert!(
        !decisions.iter().any(|decision| matches!(decision, Decision::Reject(..) | Decision::Fail(_))),
        "{decisions:?}"
    );
}

/// Foreseen: long calls hold the permits, so that what queues behind them can't clear within its budget.
#[test]
fn a_call_queued_past_its_budget_or_whose_caller_left_is_never_made() {
    let mut controller = setup().controller();
    at_calls(&mut controller, 0.0, 0, 9);
    let decisions = round(&mut controller, at(2100.0), |sink| sink.timer_fired(1, None));
    assert!(rejected(&decisions, "c8"), "{decisions:?}");
    let decisions = call_done(&mut controller, "c0", 2200.0);
    assert!(made(&decisions).is_empty(), "{decisions:?}");
    // Nor one whose caller left.
    let mut controller = setup().controller();
    at_calls(&mut controller, 0.0, 0, 10);
    let decisions = round(&mut controller, at(50.0), |sink| {
        sink.caller_disconnected(&"c8".into());
        sink.call_ended(&"c0".into(), Outcome::Completed, ms(50.0));
    });
    assert_eq!(made(&decisions), vec!["c9".into()]);
}

/// Found on generated days: a keyed job that was on the machine unread together with one that ran.
#[test]
fn an_unlinked_retry_of_a_keyed_job_that_ran_fails() {
    let mut setup = setup();
    setup.job_classes[0].idempotency = Idempotency::Keyed;
    let mut controller = setup.controller();
    assert_eq!(runs(&round(&mut controller, at(500.0), |sink| sink.job_arrived(job("first", at(0.0))))), 1);
    let mut retry = job("again", at(400.0));
    retry.is_retry = true;
    let decisions = round(&mut controller, at(600.0), |sink| sink.job_arrived(retry));
    assert!(decisions.contains(&Decision::Fail("again".into())) && runs(&decisions) == 0, "{decisions:?}");
}

/// Found: fast servers queued dozens of calls behind eight permits while the dependency was idle.
#[test]
fn permits_grow_while_calls_wait_and_are_fast() {
    let mut controller = setup().controller();
    let mut out = made(&at_calls(&mut controller, 0.0, 0, 8));
    let mut most = 0;
    for step in 1..60 {
        let now = 100.0 * f64::from(step);
        let mut decisions = at_calls(&mut controller, now, 100 * step as usize, 12);
        for id in std::mem::take(&mut out) {
            decisions.extend(round(&mut controller, at(now), |sink| {
                sink.call_ended(&id, Outcome::Completed, ms(100.0));
                sink.run_ended(&id, Outcome::Completed, ms(120.0));
            }));
        }
        out = made(&decisions);
        out.dedup();
        most = most.max(out.len());
    }
    assert!(most > 8, "{most} calls in hand at the most");
}

/// Found on sockets: in the first seconds of a busy day sixty calls queued while the permits grew by one a round trip,
/// and half of the jobs went on without theirs.
#[test]
fn permits_double_in_a_round_trip_at_the_start() {
    let mut setup = setup();
    setup.limits.max_jobs_per_core = 20.0;
    let mut controller = setup.controller();
    at_calls(&mut controller, 0.0, 0, 16);
    for number in 0..8 {
        let id = format!("c{number}");
        call_done(&mut controller, &id, 100.0);
        round(&mut controller, at(100.0), |sink| {
            sink.run_ended(&id.as_str().into(), Outcome::Completed, ms(110.0));
        });
    }
    // The first eight calls only show how long calls take; from then on each that comes back adds a permit.
    at_calls(&mut controller, 100.0, 50, 40);
    let mut calls = 0;
    for number in 8..16 {
        let id: JobId = format!("c{number}").as_str().into();
        let ended = |sink: &mut EventSink| sink.call_ended(&id, Outcome::Completed, ms(100.0));
        calls += made(&round(&mut controller, at(200.0), ended)).len();
    }
    assert!(calls >= 12, "{calls} calls, 8 of them for those that came back");
}

/// Found on sockets: with calls at twice their best, jobs went on without a call that would have come in time, for they
/// kept twice the core time of a whole run for what was left of one.
#[test]
fn a_job_whose_call_is_slow_keeps_one_mean_core_time_to_finish() {
    let mut setup = setup();
    setup.job_classes[0].weight_ratio_without_call = 0.5;
    let mut controller = setup.controller();
    for step in 0..40 {
        let (id, start) = (format!("t{step}"), 400.0 * f64::from(step));
        let took = if step < 20 { 60.0 } else { 180.0 };
        round(&mut controller, at(start), |sink| sink.job_arrived(job(&id, at(start))));
        round(&mut controller, at(start + 100.0), |sink| sink.call_requested(&id.as_str().into()));
        round(&mut controller, at(start + 100.0 + took), |sink| {
            sink.call_ended(&id.as_str().into(), Outcome::Completed, ms(took));
        });
        round(&mut controller, at(start + 200.0 + took), |sink| {
            sink.run_ended(&id.as_str().into(), Outcome::Completed, ms(200.0 + took));
        });
    }
    let decisions = at_calls(&mut controller, 20_000.0, 500, 1);
    let within = decisions.iter().find_map(|decision| {
        if let Decision::StartCall(_, within) = decision { Some(*within) } else { None }
    });
    // The latency objective is 2000 ms, the core time 200 ms.
    assert!(within.is_some_and(|within| within > ms(1780.0) && within < ms(1820.0)), "{within:?}");
}

/// Found on sockets: one call in twelve was made with no time left for its reply, and took from those that had some.
#[test]
fn a_call_that_may_be_left_out_is_not_tried_when_it_would_be_in_vain() {
    let mut setup = setup();
    setup.job_classes[0].weight_ratio_without_call = 0.5;
    let mut controller = setup.controller();
    at_calls(&mut controller, 0.0, 0, 4);
    (0..4).for_each(|number| drop(call_done(&mut controller, &format!("c{number}"), 400.0)));
    let late = |controller: &mut Controller, id: &str, start: f64, age: f64| {
        round(controller, at(start), |sink| sink.job_arrived(job(id, at(start))));
        round(controller, at(start + age), |sink| sink.call_requested(&id.into()))
    };
    assert_eq!(made(&late(&mut controller, "some", 2000.0, 1750.0)), vec!["some".into()]);
    let decisions = late(&mut controller, "none", 6000.0, 1850.0);
    assert!(
        decisions.contains(&Decision::SkipCall("none".into())) && made(&decisions).is_empty(),
        "{decisions:?}"
    );
}

/// Found by a group of processes: one that had stood still for two latency objectives with calls in flight learned that calls take so long, and
/// made none ever again, as each would have been in vain by what was learned.
#[test]
fn after_calls_that_took_longer_than_objectives_one_at_a_time_is_tried() {
    let mut setup = setup();
    setup.job_classes[0].weight_ratio_without_call = 0.5;
    let mut controller = setup.controller();
    at_calls(&mut controller, 0.0, 0, 1);
    call_done(&mut controller, "c0", 5000.0);
    let decisions = at_calls(&mut controller, 60_000.0, 1, 3);
    assert_eq!(made(&decisions), ["c1".into()], "{decisions:?}");
    assert!(
        decisions.contains(&Decision::SkipCall("c2".into()))
            && decisions.contains(&Decision::SkipCall("c3".into())),
        "{decisions:?}"
    );
    // It was quick, and so is what is learned once the slow one has faded.
    round(&mut controller, at(60_050.0), |sink| {
        sink.call_ended(&"c1".into(), Outcome::Completed, ms(50.0));
    });
    assert_eq!(made(&at_calls(&mut controller, 60_100.0, 4, 3)).len(), 3);
}

/// Found by a group of processes past what calls carry: the queue went by the deadline, three latency objectives, so that each job came to its call
/// with less time left than calls take, and nearly all calls were given up.
#[test]
fn the_call_queue_holds_no_more_than_gets_through_within_the_objective() {
    let mut setup = setup();
    setup.machine.memory_kb = 1e6;
    let mut controller = setup.controller();
    at_calls(&mut controller, 0.0, 0, 1);
    call_done(&mut controller, "c0", 100.0);
    // Eight permits and 100 ms a call: 80 in a second, for the 1900 ms that the latency objective leaves.
    let decisions = at_calls(&mut controller, 200.0, 1, 300);
    assert_eq!((made(&decisions).len(), runs(&decisions)), (8, 8 + 152));
}

/// Found on sockets: calls that were never answered held their permits until the deadline, and after 25 of them calls
/// queued by the hundred while the dependency was idle.
#[test]
fn a_call_takes_no_longer_than_some_times_the_mean() {
    let mut controller = setup().controller();
    let within = |decisions: &[Decision]| {
        decisions
            .iter()
            .find_map(|decision| if let Decision::StartCall(_, w) = decision { Some(*w) } else { None })
    };
    assert!(within(&at_calls(&mut controller, 0.0, 0, 1)).is_some_and(|within| within > ms(1900.0)));
    call_done(&mut controller, "c0", 50.0);
    assert_eq!(within(&at_calls(&mut controller, 100.0, 1, 1)), Some(ms(800.0)));
    // However fast calls are, they get a part of the latency objective.
    call_done(&mut controller, "c1", 101.0);
    (2..40).for_each(|number| {
        at_calls(&mut controller, 200.0, number, 1);
        let id: JobId = format!("c{number}").as_str().into();
        round(&mut controller, at(201.0), |sink| sink.call_ended(&id, Outcome::Completed, ms(1.0)));
        round(&mut controller, at(201.0), |sink| sink.run_ended(&id, Outcome::Completed, ms(2.0)));
    });
    assert_eq!(within(&at_calls(&mut controller, 300.0, 90, 1)), Some(ms(300.0)));
}

/// Found by reading: a call on a connection that the other side had forgotten ends at once, and was learned as fast.
#[test]
fn a_lost_connection_tells_nothing_of_the_latency() {
    let mut controller = setup().controller();
    at_calls(&mut controller, 0.0, 0, 2);
    call_done(&mut controller, "c0", 100.0);
    round(&mut controller, at(100.0), |sink| sink.call_ended(&"c1".into(), Outcome::ConnectionLost, ms(1.0)));
    let decisions = at_calls(&mut controller, 100.0, 5, 1);
    assert!(decisions.contains(&Decision::StartCall("c5".into(), ms(1600.0))), "{decisions:?}");
}

/// Found: while jobs lay unread for seconds, as many ran as ever and kept the cores from reading.
#[test]
fn fewer_run_while_jobs_wait_unread() {
    let fresh = |unread: f64, known: bool| {
        let mut controller = setup().controller();
        round(&mut controller, at(5000.0), |sink| {
            for number in 0..12 {
                let job = job(&format!("j{number}"), at(5000.0 - unread));
                sink.job_arrived(Job { from_known_caller: known, ..job });
            }
        })
    };
    assert_eq!((runs(&fresh(0.0, true)), runs(&fresh(1500.0, true))), (6, 2));
    // Found on sockets: callers that flood the server are read late on purpose, and their jobs, which nobody has, made
    // it run a third of what it could.
    assert_eq!(runs(&fresh(1500.0, false)), 6);
}

/// Found: on small machines the trial of runs wandered by chance; jobs that only shared the cores ended late.
#[test]
fn runs_go_up_while_cores_idle_and_down_while_they_are_busy() {
    let run_at_last = |used: f64| {
        let mut setup = setup();
        setup.job_classes[0].calls_dependency = false;
        let (mut controller, mut last) = (setup.controller(), vec![]);
        for step in 1..60 {
            let now = at(100.0 * f64::from(step));
            let decisions = round(&mut controller, now, |sink| {
                sink.timer_fired(0, Some(used));
                last.iter().for_each(|id| sink.run_ended(id, Outcome::Completed, ms(100.0)));
                (0..12).for_each(|number| sink.job_arrived(job(&format!("j{step}-{number}"), now)));
            });
            last = decisions
                .iter()
                .filter_map(|a| if let Decision::StartRun(id) = a { Some(id.clone()) } else { None })
                .collect();
        }
        last.len()
    };
    assert!(run_at_last(0.5) > run_at_last(1.0), "{} {}", run_at_last(0.5), run_at_last(1.0));
}

/// A server whose jobs, up to step `last` of 10 ms, lay unread for two seconds; what it said of its health.
fn health_when_lagging(callers: f64, last: u32) -> Vec<bool> {
    let mut setup = setup();
    (setup.callers.count, setup.job_classes[0].calls_dependency) = (callers, false);
    let (mut controller, mut said, mut wakes, mut ran) = (setup.controller(), vec![], vec![], vec![]);
    for step in 0..2000 {
        let now = at(5000.0 + 10.0 * f64::from(step));
        let due: Vec<(Time, u64)> = wakes.iter().copied().filter(|(at, _)| *at <= now).collect();
        wakes.retain(|wake| !due.contains(wake));
        let comes = step <= last && step % 7 == 0;
        if due.is_empty() && !comes && ran.is_empty() {
            continue;
        }
        let decisions = round(&mut controller, now, |sink| {
            due.iter().for_each(|(_, token)| sink.timer_fired(*token, None));
            ran.drain(..).for_each(|id| sink.run_ended(&id, Outcome::Completed, ms(10.0)));
            (0..u32::from(comes)).for_each(|_| sink.job_arrived(job(&format!("j{step}"), now - ms(1900.0))));
        });
        for decision in decisions {
            match decision {
                Decision::Health(good) => said.push(good),
                Decision::SetTimer(at, token) => wakes.push((at, token)),
                Decision::StartRun(id) => ran.push(id),
                _ => {}
            }
        }
    }
    said
}

/// Found at full size: callers that come once a minute never heard the value of a server that lagged.
#[test]
fn a_server_that_lags_is_unlisted_for_a_while_where_its_load_signal_is_unheeded() {
    assert_eq!(health_when_lagging(4.0, 1000), [true], "often heard: the value does it");
    for last in 100..300 {
        let seldom = health_when_lagging(400.0, last);
        assert!(seldom.len() >= 3 && seldom.last() == Some(&true), "on again by itself, {last}: {seldom:?}");
    }
}

/// A server of `cores` cores without calls that has learned that jobs take 350 ms, by `at(2200.0)`.
fn taught(cores: f64, mark_retries: bool) -> Controller {
    let mut setup = setup();
    (setup.machine.cores, setup.job_classes[0].calls_dependency, setup.callers.mark_retries) =
        (cores, false, mark_retries);
    let mut controller = setup.controller();
    for step in 0..6 {
        let (id, now) = (format!("t{step}"), 350.0 * f64::from(step));
        round(&mut controller, at(now), |sink| sink.job_arrived(job(&id, at(now))));
        round(&mut controller, at(now + 350.0), |sink| {
            sink.run_ended(&id.as_str().into(), Outcome::Completed, ms(350.0));
        });
    }
    controller
}

/// Found: with few runs allowed, the best earner at the head of an empty hold was rejected for its own run.
#[test]
fn a_job_is_not_rejected_for_the_time_of_its_own_run() {
    let mut controller = taught(1.0, true);
    let decisions = round(&mut controller, at(2200.0), |sink| {
        ["runs", "head"].iter().for_each(|id| sink.job_arrived(job(id, at(1500.0))));
    });
    assert!(runs(&decisions) == 1 && !rejected(&decisions, "head"), "{decisions:?}");
}

/// Found: one long run among a few on two cores made every queued job look too late.
#[test]
fn one_long_run_does_not_reject_the_run_queue() {
    let mut controller = taught(2.0, true);
    round(&mut controller, at(2200.0), |sink| sink.job_arrived(job("long", at(2200.0))));
    let decisions = round(&mut controller, at(4100.0), |sink| {
        ["a", "b", "c", "d"].iter().for_each(|id| sink.job_arrived(job(id, at(4100.0))));
    });
    assert!(["a", "b", "c", "d"].iter().all(|id| !rejected(&decisions, id)), "{decisions:?}");
}

/// Found: where retries are not marked, each reject in overload sent the job on to the next full server.
#[test]
fn own_rejections_tell_of_retries_where_those_are_not_marked() {
    let decisions = round(&mut taught(2.0, false), at(2200.0), |sink| {
        (0..40).for_each(|number| sink.job_arrived(job(&format!("j{number}"), at(2200.0))));
    });
    let mut last =
        decisions.iter().filter_map(|a| if let Decision::Reject(.., last) = a { Some(*last) } else { None });
    assert!(last.next() == Some(false) && last.next_back() == Some(true), "{decisions:?}");
}

/// Calls of all servers together exceeded their total: those lost with a connection were forgotten while the dependency
/// still ran them.
#[test]
fn a_call_lost_with_its_connection_counts_against_the_lease_until_the_dependency_gives_it_up() {
    let mut controller = setup().controller();
    let lease = CallLease {
        calls: 2.0,
        expires: at(60_000.0),
        calls_after_expiry: 0.0,
        max_call_time: ms(700.0),
        retry_after: ms(100.0),
    };
    round(&mut controller, at(0.0), |sink| sink.call_lease_updated(lease));
    let decisions = at_calls(&mut controller, 0.0, 0, 4);
    assert_eq!(made(&decisions).len(), 2, "the lease is of two calls");
    let timeout = decisions
        .iter()
        .find_map(|decision| if let Decision::StartCall(_, within) = decision { Some(*within) } else { None })
        .expect("a call");
    let lost_at = at(50.0);
    let lose = |sink: &mut EventSink| sink.call_ended(&"c0".into(), Outcome::ConnectionLost, ms(50.0));
    assert_eq!(made(&round(&mut controller, lost_at, lose)).len(), 0, "it may still run");
    let gone_at = lost_at + timeout + setup().dependency.linger;
    let mut made_at = |now: Time| made(&round(&mut controller, now, |_| {})).len();
    assert_eq!(made_at(gone_at - ms(1.0)), 0, "it may still run");
    assert_eq!(made_at(gone_at), 1, "it is over");
}

/// A server that had made no call yet, and was given no lease, wanted none: it knew no latency to work its demand out
/// from. At a site that owned nothing it rejected all jobs for ever.
#[test]
fn a_server_that_never_called_wants_a_lease_while_it_rejects_jobs_for_lack_of_one() {
    let mut controller = setup().controller();
    let lease = CallLease {
        calls: 0.0,
        expires: at(60_000.0),
        calls_after_expiry: 0.0,
        max_call_time: ms(700.0),
        retry_after: ms(100.0),
    };
    round(&mut controller, at(0.0), |sink| sink.call_lease_updated(lease));
    assert_eq!(controller.call_demand(at(0.0)).wanted, 0.0, "no job came");
    let decisions = round(&mut controller, at(10.0), |sink| sink.job_arrived(job("a", at(10.0))));
    assert!(rejected(&decisions, "a"), "{decisions:?}");
    assert!(controller.call_demand(at(10.0)).wanted >= 1.0);
    assert_eq!(controller.call_demand(at(120_000.0)).wanted, 0.0, "long after the last job");
}
