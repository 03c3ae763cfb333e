//! Settings updates between rounds: jobs in flight keep their class, and statistics stay with their index.

mod common;

use common::*;
use hazelgrade::api::*;

fn settings_update(setup: &Setup, job_classes: &[(JobClass, bool)], reset: Vec<usize>) -> SettingsUpdate {
    let slots = job_classes.iter().map(|(class, in_use)| ClassSlot { class: class.clone(), in_use: *in_use });
    SettingsUpdate {
        job_classes: slots.collect(),
        tenants: vec![],
        limits: setup.limits.clone(),
        reset_classes: reset,
        reset_tenants: vec![],
    }
}

fn job_of_class(id: &str, received_at: hazelgrade::time::Time, job_class: usize) -> Job {
    Job { job_class, ..job(id, received_at) }
}

#[test]
fn a_job_in_flight_keeps_its_deadline_and_one_that_arrives_later_has_the_new_one() {
    let setup = setup();
    let mut controller = setup.controller();
    // More jobs than may run at once, so that some are queued.
    let first = round(&mut controller, at(0.0), |sink| {
        (0..12).for_each(|n| sink.job_arrived(job(&format!("a{n}"), at(0.0))));
    });
    let queued = 12 - first.iter().filter(|decision| matches!(decision, Decision::StartRun(_))).count();
    assert!(queued > 0);
    let shorter =
        JobClass { latency_objective: ms(50.0), deadline: ms(100.0), ..setup.job_classes[0].clone() };
    assert!(controller.update_settings(at(10.0), settings_update(&setup, &[(shorter, true)], vec![])));
    round(&mut controller, at(20.0), |sink| sink.job_arrived(job("b", at(20.0))));
    // After the new deadline, but well before the old latency objective.
    let later = round(&mut controller, at(300.0), |sink| sink.timer_fired(0, None));
    let given_up = later.iter().filter_map(|decision| match decision {
        Decision::Reject(id, ..) | Decision::Fail(id) => Some(&**id),
        _ => None,
    });
    assert_eq!(
        given_up.collect::<Vec<_>>(),
        ["b"],
        "only the job that arrived after the update has the new deadline"
    );
    let all = round(&mut controller, at(2500.0), |sink| sink.timer_fired(1, None));
    let rejected = all.iter().filter(|decision| matches!(decision, Decision::Reject(..))).count();
    assert!(rejected > 0, "queued jobs are given up at the latency objective that they had on arrival");
}

#[test]
fn jobs_of_a_class_out_of_use_finish_and_indexes_cannot_be_removed() {
    let setup = setup();
    let mut controller = setup.controller();
    round(&mut controller, at(0.0), |sink| sink.job_arrived(job("a", at(0.0))));
    let other = JobClass { priority_weight: 2.0, ..setup.job_classes[0].clone() };
    let replaced = [(setup.job_classes[0].clone(), false), (other, true)];
    assert!(controller.update_settings(at(10.0), settings_update(&setup, &replaced, vec![])));
    assert!(
        !controller.update_settings(at(11.0), settings_update(&setup, &replaced[..1], vec![])),
        "a job in flight may refer to the removed class"
    );
    let decisions = round(&mut controller, at(20.0), |sink| {
        sink.run_ended(&"a".into(), Outcome::Completed, ms(20.0));
        sink.job_arrived(job_of_class("b", at(20.0), 1));
    });
    assert!(decisions.contains(&Decision::StartRun("b".into())), "{decisions:?}");
}

#[test]
fn statistics_stay_with_their_index_unless_the_index_is_reset() {
    // The run time of 400 ms is known from earlier jobs and is then used to reject jobs that would end too late.
    let decisions_after_update = |reset: Vec<usize>| {
        let setup = setup();
        let mut controller = setup.controller();
        for n in 0..20 {
            let (id, now) = (format!("a{n}"), f64::from(n) * 500.0);
            round(&mut controller, at(now), |sink| sink.job_arrived(job(&id, at(now))));
            let done = at(now + 400.0);
            round(&mut controller, done, |sink| {
                sink.run_ended(&id.as_str().into(), Outcome::Completed, ms(400.0))
            });
        }
        let now = at(10_000.0);
        let same = [(setup.job_classes[0].clone(), true)];
        assert!(controller.update_settings(now, settings_update(&setup, &same, reset)));
        round(&mut controller, now, |sink| {
            (0..60).for_each(|n| sink.job_arrived(job(&format!("b{n}"), now)));
        })
    };
    let rejected = |decisions: &[Decision]| {
        decisions.iter().filter(|decision| matches!(decision, Decision::Reject(..))).count()
    };
    let (rejected_with_statistics, rejected_after_reset) =
        (rejected(&decisions_after_update(vec![])), rejected(&decisions_after_update(vec![0])));
    assert!(
        rejected_with_statistics > 20,
        "{rejected_with_statistics} of 60 jobs were rejected: the run time is known"
    );
    assert!(
        rejected_after_reset > 0 && rejected_after_reset <= rejected_with_statistics,
        "{rejected_after_reset} of 60 jobs were rejected after the reset"
    );
}

#[test]
fn a_controller_without_classes_starts_jobs_after_the_first_settings_update() {
    let setup = Setup { job_classes: vec![], ..setup() };
    let mut controller = setup.controller();
    assert!(
        round(&mut controller, at(0.0), |_| {})
            .iter()
            .all(|decision| !matches!(decision, Decision::StartRun(_)))
    );
    let class = common::setup().job_classes[0].clone();
    assert!(controller.update_settings(at(10.0), settings_update(&setup, &[(class, true)], vec![])));
    let decisions = round(&mut controller, at(20.0), |sink| sink.job_arrived(job("a", at(20.0))));
    assert!(decisions.contains(&Decision::StartRun("a".into())), "{decisions:?}");
}

#[test]
fn a_job_over_its_callers_limit_waits_behind_one_that_is_not() {
    let setup = setup();
    let mut controller = setup.controller();
    let first = round(&mut controller, at(0.0), |sink| {
        (0..8).for_each(|n| sink.job_arrived(job(&format!("a{n}"), at(0.0))));
    });
    let running = first.iter().filter(|decision| matches!(decision, Decision::StartRun(_))).count();
    round(&mut controller, at(10.0), |sink| {
        sink.job_arrived(Job { over_caller_limit: true, ..job("beyond", at(10.0)) });
        sink.job_arrived(job("within", at(10.0)));
    });
    let mut order = Vec::new();
    for n in 0..running {
        let id = format!("a{n}");
        let decisions = round(&mut controller, at(20.0 + n as f64), |sink| {
            sink.run_ended(&id.as_str().into(), Outcome::Completed, ms(20.0));
        });
        order.extend(decisions.into_iter().filter_map(|decision| match decision {
            Decision::StartRun(id) => Some(id),
            _ => None,
        }));
    }
    let position = |id: &str| order.iter().position(|run| &**run == id);
    assert!(
        position("within").is_some() && position("within") < position("beyond").or(Some(usize::MAX)),
        "{order:?}"
    );
}
