//! One small test for each failure of the controller that was observed or anticipated.

mod common;

use common::*;
use hazelgrade::api::*;
use hazelgrade::controller::{Controller, EventSink};
use hazelgrade::time::{Span, Time};

fn run_count(decisions: &[Decision]) -> usize {
    decisions.iter().filter(|decision| matches!(decision, Decision::StartRun(_))).count()
}

fn is_rejected(decisions: &[Decision], id: &str) -> bool {
    decisions.iter().any(|decision| matches!(decision, Decision::Reject(job, ..) if **job == *id))
}

/// Makes `count` jobs arrive and request a call at `now`. Returns all decisions.
fn bring_to_call(controller: &mut Controller, now: f64, from: usize, count: usize) -> Vec<Decision> {
    let mut decisions = vec![];
    for number in from..from + count {
        let id = format!("c{number}");
        decisions.extend(round(controller, at(now), |sink| sink.job_arrived(job(&id, at(now)))));
        decisions.extend(round(controller, at(now), |sink| sink.call_requested(&id.as_str().into())));
    }
    decisions
}

/// Completes at `now` the call of job `id` that was started at 0.
fn complete_call(controller: &mut Controller, id: &str, now: f64) -> Vec<Decision> {
    round(controller, at(now), |sink| sink.call_ended(&id.into(), Outcome::Completed, ms(now)))
}

fn started_calls(decisions: &[Decision]) -> Vec<JobId> {
    decisions
        .iter()
        .filter_map(
            |decision| if let Decision::StartCall(id, _) = decision { Some(id.clone()) } else { None },
        )
        .collect()
}

#[test]
fn calls_beyond_the_permits_wait_and_jobs_beyond_the_queue_capacity_are_rejected() {
    let mut controller = setup().controller();
    let decisions = bring_to_call(&mut controller, 0.0, 0, 16);
    assert_eq!(started_calls(&decisions).len(), 8, "there are eight permits at the start");
    let decisions = round(&mut controller, at(1.0), |sink| sink.job_arrived(job("late", at(1.0))));
    let retry_after = decisions.iter().find_map(|decision| {
        if let Decision::Reject(_, retry_after, _) = decision { Some(*retry_after) } else { None }
    });
    assert!(
        retry_after.is_some_and(|retry_after| retry_after > Span::ZERO),
        "the call queue of eight is full, so the job is rejected with a retry-after: {decisions:?}"
    );
}

/// Guards against retries that count as new arrivals in the queue capacity, which must depend on call latency alone.
#[test]
fn retries_do_not_change_the_queue_capacity() {
    let mut controller = setup().controller();
    bring_to_call(&mut controller, 0.0, 0, 16);
    for number in 0..50 {
        let mut retry = job(&format!("r{number}"), at(5.0));
        retry.is_retry = true;
        let decisions = round(&mut controller, at(5.0), |sink| sink.job_arrived(retry));
        assert!(is_rejected(&decisions, &format!("r{number}")), "the call queue is still full");
    }
    let decisions = complete_call(&mut controller, "c0", 100.0);
    assert_eq!(started_calls(&decisions).len(), 1, "one permit was released");
    let decisions = round(&mut controller, at(101.0), |sink| sink.job_arrived(job("new", at(101.0))));
    assert!(!is_rejected(&decisions, "new"), "the capacity learned from the latency admits the job");
}

/// Guards against a throughput that is counted per unit of time: after a pause of the process, such a throughput would
/// shrink the queue capacity.
#[test]
fn a_pause_does_not_shrink_the_queue_capacity() {
    let mut controller = setup().controller();
    bring_to_call(&mut controller, 0.0, 0, 8);
    for number in 0..8 {
        let id = format!("c{number}");
        complete_call(&mut controller, &id, 100.0);
        round(&mut controller, at(110.0), |sink| {
            sink.run_ended(&id.as_str().into(), Outcome::Completed, ms(110.0))
        });
    }
    let decisions = bring_to_call(&mut controller, 60_000.0, 100, 20);
    assert!(
        !decisions.iter().any(|decision| matches!(decision, Decision::Reject(..) | Decision::Fail(_))),
        "{decisions:?}"
    );
}

/// Guards against calls that are started too late: long calls hold the permits, so that the calls queued behind them
/// exceed their wait budget.
#[test]
fn a_queued_call_past_its_wait_budget_or_without_its_caller_is_not_started() {
    let mut controller = setup().controller();
    bring_to_call(&mut controller, 0.0, 0, 9);
    let decisions = round(&mut controller, at(2100.0), |sink| sink.timer_fired(1, None));
    assert!(is_rejected(&decisions, "c8"), "{decisions:?}");
    let decisions = complete_call(&mut controller, "c0", 2200.0);
    assert!(started_calls(&decisions).is_empty(), "{decisions:?}");
    // A queued call is not started either after its caller has disconnected.
    let mut controller = setup().controller();
    bring_to_call(&mut controller, 0.0, 0, 10);
    let decisions = round(&mut controller, at(50.0), |sink| {
        sink.caller_disconnected(&"c8".into());
        sink.call_ended(&"c0".into(), Outcome::Completed, ms(50.0));
    });
    assert_eq!(started_calls(&decisions), vec!["c9".into()]);
}

/// Guards against a keyed job that runs twice: the retry waited unread on the machine at the same time as the original,
/// and so was linked to no idempotency record. Found with generated scenarios.
#[test]
fn an_unlinked_retry_of_a_keyed_job_that_ran_fails() {
    let mut setup = setup();
    setup.job_classes[0].idempotency = Idempotency::Keyed;
    let mut controller = setup.controller();
    assert_eq!(
        run_count(&round(&mut controller, at(500.0), |sink| sink.job_arrived(job("first", at(0.0))))),
        1
    );
    let mut retry = job("again", at(400.0));
    retry.is_retry = true;
    let decisions = round(&mut controller, at(600.0), |sink| sink.job_arrived(retry));
    assert!(
        decisions.contains(&Decision::Fail("again".into())) && run_count(&decisions) == 0,
        "{decisions:?}"
    );
}

/// Guards against permits that do not grow: fast servers queued dozens of calls behind eight permits while the
/// dependency was idle.
#[test]
fn permits_grow_while_calls_wait_and_are_fast() {
    let mut controller = setup().controller();
    let mut in_flight = started_calls(&bring_to_call(&mut controller, 0.0, 0, 8));
    let mut max_in_flight = 0;
    for step in 1..60 {
        let now = 100.0 * f64::from(step);
        let mut decisions = bring_to_call(&mut controller, now, 100 * step as usize, 12);
        for id in std::mem::take(&mut in_flight) {
            decisions.extend(round(&mut controller, at(now), |sink| {
                sink.call_ended(&id, Outcome::Completed, ms(100.0));
                sink.run_ended(&id, Outcome::Completed, ms(120.0));
            }));
        }
        in_flight = started_calls(&decisions);
        in_flight.dedup();
        max_in_flight = max_in_flight.max(in_flight.len());
    }
    assert!(max_in_flight > 8, "{max_in_flight} calls in flight at most");
}

/// Guards against permits that grow too slowly: during the first seconds of high load, sixty calls were queued while
/// the permits grew by one per round trip, and half of the jobs continued without their call.
#[test]
fn permits_double_in_a_round_trip_at_the_start() {
    let mut setup = setup();
    setup.limits.max_jobs_per_core = 20.0;
    let mut controller = setup.controller();
    bring_to_call(&mut controller, 0.0, 0, 16);
    for number in 0..8 {
        let id = format!("c{number}");
        complete_call(&mut controller, &id, 100.0);
        round(&mut controller, at(100.0), |sink| {
            sink.run_ended(&id.as_str().into(), Outcome::Completed, ms(110.0));
        });
    }
    // The first eight calls only establish the mean latency. Each later call that completes adds a permit.
    bring_to_call(&mut controller, 100.0, 50, 40);
    let mut calls = 0;
    for number in 8..16 {
        let id: JobId = format!("c{number}").as_str().into();
        let ended = |sink: &mut EventSink| sink.call_ended(&id, Outcome::Completed, ms(100.0));
        calls += started_calls(&round(&mut controller, at(200.0), ended)).len();
    }
    assert!(calls >= 12, "{calls} calls started, 8 of them on permits of completed calls");
}

/// Guards against a call deadline that is too early: with calls at twice their best latency, jobs reserved twice the
/// core time of a whole run for the rest of the run, and continued without a call whose reply would have arrived in
/// time.
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
    let decisions = bring_to_call(&mut controller, 20_000.0, 500, 1);
    let timeout = decisions.iter().find_map(|decision| {
        if let Decision::StartCall(_, timeout) = decision { Some(*timeout) } else { None }
    });
    // The latency objective is 2000 ms and the mean core time 200 ms.
    assert!(timeout.is_some_and(|timeout| timeout > ms(1780.0) && timeout < ms(1820.0)), "{timeout:?}");
}

/// Guards against calls that cannot succeed: one call in twelve was started with no time left for the reply, and used a
/// permit that another call could have used.
#[test]
fn an_optional_call_is_skipped_when_too_little_time_remains() {
    let mut setup = setup();
    setup.job_classes[0].weight_ratio_without_call = 0.5;
    let mut controller = setup.controller();
    bring_to_call(&mut controller, 0.0, 0, 4);
    (0..4).for_each(|number| drop(complete_call(&mut controller, &format!("c{number}"), 400.0)));
    let request_call_late = |controller: &mut Controller, id: &str, start: f64, age: f64| {
        round(controller, at(start), |sink| sink.job_arrived(job(id, at(start))));
        round(controller, at(start + age), |sink| sink.call_requested(&id.into()))
    };
    assert_eq!(
        started_calls(&request_call_late(&mut controller, "some", 2000.0, 1750.0)),
        vec!["some".into()]
    );
    let decisions = request_call_late(&mut controller, "none", 6000.0, 1850.0);
    assert!(
        decisions.contains(&Decision::SkipCall("none".into())) && started_calls(&decisions).is_empty(),
        "{decisions:?}"
    );
}

/// Guards against a server that stops calling for good: a process that was paused for two latency objectives with calls
/// in flight measured a latency above the objective, and then skipped every call because none seemed able to succeed.
#[test]
fn after_calls_longer_than_the_objective_one_call_at_a_time_is_tried() {
    let mut setup = setup();
    setup.job_classes[0].weight_ratio_without_call = 0.5;
    let mut controller = setup.controller();
    bring_to_call(&mut controller, 0.0, 0, 1);
    complete_call(&mut controller, "c0", 5000.0);
    let decisions = bring_to_call(&mut controller, 60_000.0, 1, 3);
    assert_eq!(started_calls(&decisions), ["c1".into()], "{decisions:?}");
    assert!(
        decisions.contains(&Decision::SkipCall("c2".into()))
            && decisions.contains(&Decision::SkipCall("c3".into())),
        "{decisions:?}"
    );
    // The tried call was fast, and the mean latency is low again once the slow sample has decayed.
    round(&mut controller, at(60_050.0), |sink| {
        sink.call_ended(&"c1".into(), Outcome::Completed, ms(50.0));
    });
    assert_eq!(started_calls(&bring_to_call(&mut controller, 60_100.0, 4, 3)).len(), 3);
}

/// Guards against a call queue that is too long: its capacity followed the deadline, which is three latency objectives.
/// Under more load than the dependency could serve, each job reached its call with less time left than the call
/// latency, and nearly all calls were given up.
#[test]
fn the_call_queue_holds_no_more_than_gets_through_within_the_objective() {
    let mut setup = setup();
    setup.machine.memory_kb = 1e6;
    let mut controller = setup.controller();
    bring_to_call(&mut controller, 0.0, 0, 1);
    complete_call(&mut controller, "c0", 100.0);
    // Eight permits and 100 ms per call allow 80 calls per second, during the 1900 ms that the latency objective
    // leaves.
    let decisions = bring_to_call(&mut controller, 200.0, 1, 300);
    assert_eq!((started_calls(&decisions).len(), run_count(&decisions)), (8, 8 + 152));
}

/// Guards against permits that are held by unanswered calls: such calls kept their permits until the deadline, and
/// after 25 of them hundreds of calls were queued while the dependency was idle.
#[test]
fn a_call_times_out_after_a_multiple_of_the_mean_latency() {
    let mut controller = setup().controller();
    let call_timeout = |decisions: &[Decision]| {
        decisions.iter().find_map(|decision| {
            if let Decision::StartCall(_, timeout) = decision { Some(*timeout) } else { None }
        })
    };
    assert!(
        call_timeout(&bring_to_call(&mut controller, 0.0, 0, 1)).is_some_and(|timeout| timeout > ms(1900.0))
    );
    complete_call(&mut controller, "c0", 50.0);
    assert_eq!(call_timeout(&bring_to_call(&mut controller, 100.0, 1, 1)), Some(ms(800.0)));
    // The timeout is at least a fixed ratio of the latency objective, however fast the calls are.
    complete_call(&mut controller, "c1", 101.0);
    (2..40).for_each(|number| {
        bring_to_call(&mut controller, 200.0, number, 1);
        let id: JobId = format!("c{number}").as_str().into();
        round(&mut controller, at(201.0), |sink| sink.call_ended(&id, Outcome::Completed, ms(1.0)));
        round(&mut controller, at(201.0), |sink| sink.run_ended(&id, Outcome::Completed, ms(2.0)));
    });
    assert_eq!(call_timeout(&bring_to_call(&mut controller, 300.0, 90, 1)), Some(ms(300.0)));
}

/// Guards against a mean latency that is too low: a call on a connection that the peer no longer knew ended at once and
/// was recorded as a fast call.
#[test]
fn a_lost_connection_does_not_count_in_the_latency() {
    let mut controller = setup().controller();
    bring_to_call(&mut controller, 0.0, 0, 2);
    complete_call(&mut controller, "c0", 100.0);
    round(&mut controller, at(100.0), |sink| sink.call_ended(&"c1".into(), Outcome::ConnectionLost, ms(1.0)));
    let decisions = bring_to_call(&mut controller, 100.0, 5, 1);
    assert!(decisions.contains(&Decision::StartCall("c5".into(), ms(1600.0))), "{decisions:?}");
}

/// Guards against runs that starve reading: while jobs waited unread for seconds, the number of concurrent runs was not
/// reduced, and the runs kept the cores from reading.
#[test]
fn fewer_jobs_run_while_jobs_wait_unread() {
    let decisions_with_unread = |unread: f64, known: bool| {
        let mut controller = setup().controller();
        round(&mut controller, at(5000.0), |sink| {
            for number in 0..12 {
                let job = job(&format!("j{number}"), at(5000.0 - unread));
                sink.job_arrived(Job { from_known_caller: known, ..job });
            }
        })
    };
    assert_eq!(
        (run_count(&decisions_with_unread(0.0, true)), run_count(&decisions_with_unread(1500.0, true))),
        (6, 2)
    );
    // Jobs of callers that flood the server are read late on purpose. When such jobs counted in the unread time, the
    // server ran only a third of the jobs that it had capacity for.
    assert_eq!(run_count(&decisions_with_unread(1500.0, false)), 6);
}

/// Guards against a run limit that drifts at random on small machines: too many concurrent runs shared the cores, and
/// all of them ended late.
#[test]
fn the_run_limit_rises_while_cores_are_idle_and_falls_while_cores_are_busy() {
    let run_count_with_core_use = |used: f64| {
        let mut setup = setup();
        setup.job_classes[0].calls_dependency = false;
        let (mut controller, mut running) = (setup.controller(), vec![]);
        for step in 1..60 {
            let now = at(100.0 * f64::from(step));
            let decisions = round(&mut controller, now, |sink| {
                sink.timer_fired(0, Some(used));
                running.iter().for_each(|id| sink.run_ended(id, Outcome::Completed, ms(100.0)));
                (0..12).for_each(|number| sink.job_arrived(job(&format!("j{step}-{number}"), now)));
            });
            running = decisions
                .iter()
                .filter_map(
                    |decision| if let Decision::StartRun(id) = decision { Some(id.clone()) } else { None },
                )
                .collect();
        }
        running.len()
    };
    assert!(
        run_count_with_core_use(0.5) > run_count_with_core_use(1.0),
        "{} {}",
        run_count_with_core_use(0.5),
        run_count_with_core_use(1.0)
    );
}

/// Simulates a server whose jobs waited unread for about two seconds, in steps of 10 ms up to `last_step`. Returns the
/// published health values.
fn health_when_lagging(callers: f64, last_step: u32) -> Vec<bool> {
    let mut setup = setup();
    (setup.callers.count, setup.job_classes[0].calls_dependency) = (callers, false);
    let (mut controller, mut published, mut timers, mut running) =
        (setup.controller(), vec![], vec![], vec![]);
    for step in 0..2000 {
        let now = at(5000.0 + 10.0 * f64::from(step));
        let due: Vec<(Time, u64)> = timers.iter().copied().filter(|(at, _)| *at <= now).collect();
        timers.retain(|timer| !due.contains(timer));
        let job_arrives = step <= last_step && step % 7 == 0;
        if due.is_empty() && !job_arrives && running.is_empty() {
            continue;
        }
        let decisions = round(&mut controller, now, |sink| {
            due.iter().for_each(|(_, token)| sink.timer_fired(*token, None));
            running.drain(..).for_each(|id| sink.run_ended(&id, Outcome::Completed, ms(10.0)));
            (0..u32::from(job_arrives))
                .for_each(|_| sink.job_arrived(job(&format!("j{step}"), now - ms(1900.0))));
        });
        for decision in decisions {
            match decision {
                Decision::Health(healthy) => published.push(healthy),
                Decision::SetTimer(at, token) => timers.push((at, token)),
                Decision::StartRun(id) => running.push(id),
                _ => {}
            }
        }
    }
    published
}

/// Guards against a lagging server that stays listed: callers that send one request per minute never received the load
/// signal of the server.
#[test]
fn a_lagging_server_is_unlisted_temporarily_where_callers_miss_its_load_signal() {
    assert_eq!(health_when_lagging(4.0, 1000), [true], "callers that send often follow the load signal");
    for last_step in 100..300 {
        let published = health_when_lagging(400.0, last_step);
        assert!(
            published.len() >= 3 && published.last() == Some(&true),
            "the server must be listed again, {last_step}: {published:?}"
        );
    }
}

/// Returns the controller of a server without calls, trained on jobs of 350 ms until before `at(2200.0)`.
fn trained_controller(cores: f64, mark_retries: bool) -> Controller {
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

/// Guards against a wait estimate that includes the job itself: with a low run limit, the job of highest priority at
/// the head of an otherwise empty run queue was rejected because of the duration of its own run.
#[test]
fn a_job_is_not_rejected_for_the_time_of_its_own_run() {
    let mut controller = trained_controller(1.0, true);
    let decisions = round(&mut controller, at(2200.0), |sink| {
        ["runs", "head"].iter().for_each(|id| sink.job_arrived(job(id, at(1500.0))));
    });
    assert!(run_count(&decisions) == 1 && !is_rejected(&decisions, "head"), "{decisions:?}");
}

/// Guards against a slowdown estimate that depends on single runs: one long run among a few on two cores made all
/// queued jobs appear too late.
#[test]
fn one_long_run_does_not_reject_the_run_queue() {
    let mut controller = trained_controller(2.0, true);
    round(&mut controller, at(2200.0), |sink| sink.job_arrived(job("long", at(2200.0))));
    let decisions = round(&mut controller, at(4100.0), |sink| {
        ["a", "b", "c", "d"].iter().for_each(|id| sink.job_arrived(job(id, at(4100.0))));
    });
    assert!(["a", "b", "c", "d"].iter().all(|id| !is_rejected(&decisions, id)), "{decisions:?}");
}

/// Guards against retries that move from server to server in an overload: where retries were not marked, each rejection
/// sent the job on to the next server without capacity.
#[test]
fn rejections_count_as_retries_where_retries_are_not_marked() {
    let decisions = round(&mut trained_controller(2.0, false), at(2200.0), |sink| {
        (0..40).for_each(|number| sink.job_arrived(job(&format!("j{number}"), at(2200.0))));
    });
    let mut not_elsewhere = decisions
        .iter()
        .filter_map(|decision| if let Decision::Reject(.., flag) = decision { Some(*flag) } else { None });
    assert!(not_elsewhere.next() == Some(false) && not_elsewhere.next_back() == Some(true), "{decisions:?}");
}

/// Guards against more calls in flight than all servers together may have: calls whose connection was lost were no
/// longer counted although the dependency still executed them.
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
    let decisions = bring_to_call(&mut controller, 0.0, 0, 4);
    assert_eq!(started_calls(&decisions).len(), 2, "the lease allows two calls");
    let timeout = decisions
        .iter()
        .find_map(
            |decision| if let Decision::StartCall(_, timeout) = decision { Some(*timeout) } else { None },
        )
        .expect("a call");
    let lost_at = at(50.0);
    let lose_connection =
        |sink: &mut EventSink| sink.call_ended(&"c0".into(), Outcome::ConnectionLost, ms(50.0));
    assert_eq!(
        started_calls(&round(&mut controller, lost_at, lose_connection)).len(),
        0,
        "the dependency may still execute the lost call"
    );
    let released_at = lost_at + timeout + setup().dependency.linger;
    let mut started_at = |now: Time| started_calls(&round(&mut controller, now, |_| {})).len();
    assert_eq!(started_at(released_at - ms(1.0)), 0, "the dependency may still execute the lost call");
    assert_eq!(started_at(released_at), 1, "the dependency has given up the lost call");
}

/// Guards against a server without a lease that never requests one: a server that had made no call yet knew no latency
/// from which to derive its demand. At a site that owned no units, such a server rejected all jobs forever.
#[test]
fn a_server_that_never_called_requests_a_lease_while_it_rejects_jobs_for_lack_of_one() {
    let mut controller = setup().controller();
    let lease = CallLease {
        calls: 0.0,
        expires: at(60_000.0),
        calls_after_expiry: 0.0,
        max_call_time: ms(700.0),
        retry_after: ms(100.0),
    };
    round(&mut controller, at(0.0), |sink| sink.call_lease_updated(lease));
    assert_eq!(controller.call_demand(at(0.0)).wanted, 0.0, "no job has arrived");
    let decisions = round(&mut controller, at(10.0), |sink| sink.job_arrived(job("a", at(10.0))));
    assert!(is_rejected(&decisions, "a"), "{decisions:?}");
    assert!(controller.call_demand(at(10.0)).wanted >= 1.0);
    assert_eq!(controller.call_demand(at(120_000.0)).wanted, 0.0, "long after the last job");
}

/// Guards against a second run of a keyed job whose run requests its call and is cut within one round, as after a pause
/// of the process: the job was taken for one that had just been read, and its record for one of a job that never ran.
#[test]
fn a_keyed_job_whose_run_is_cut_in_the_round_of_its_call_keeps_its_record() {
    let mut settings = setup();
    settings.job_classes[0].idempotency = Idempotency::Keyed;
    settings.job_classes[0].retry_window = ms(17_000.0);
    for ends_call in [false, true] {
        let mut controller = settings.controller();
        let started = round(&mut controller, at(0.0), |sink| sink.job_arrived(job("first", at(0.0))));
        assert_eq!(run_count(&started), 1);
        if ends_call {
            round(&mut controller, at(100.0), |sink| sink.call_requested(&"first".into()));
        }
        let mut decisions = round(&mut controller, at(5900.0), |sink| {
            if ends_call {
                sink.call_ended(&"first".into(), Outcome::Failed, ms(5800.0));
            } else {
                sink.call_requested(&"first".into());
            }
            sink.run_ended(&"first".into(), Outcome::Cancelled, ms(5900.0));
        });
        decisions.extend(round(&mut controller, at(6100.0), |sink| sink.timer_fired(1, None)));
        assert!(decisions.contains(&Decision::Fail("first".into())), "{decisions:?}");
        assert!(!decisions.contains(&Decision::RemoveRecord("first".into())), "{decisions:?}");
        let retry = Job { retry_of: Some("first".into()), ..job("second", at(6300.0)) };
        let decisions = round(&mut controller, at(6300.0), |sink| sink.job_arrived(retry));
        assert!(decisions.contains(&Decision::AwaitOriginal("second".into())), "{decisions:?}");
        assert_eq!(run_count(&decisions), 0, "{decisions:?}");
    }
}
