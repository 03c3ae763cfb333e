//! Other figures between rounds: what is in hand keeps its own, what was learned stays with its place.

mod common;

use common::*;
use hazelgrade::api::*;

fn revision(setup: &Setup, job_classes: &[(JobClass, bool)], anew: Vec<usize>) -> SettingsUpdate {
    let placed =
        job_classes.iter().map(|(figures, in_use)| ClassSlot { class: figures.clone(), in_use: *in_use });
    SettingsUpdate {
        job_classes: placed.collect(),
        tenants: vec![],
        limits: setup.promises.clone(),
        reset_classes: anew,
        reset_tenants: vec![],
    }
}

fn of_case(id: &str, reached: hazelgrade::time::Time, job_class: usize) -> Job {
    Job { job_class, ..job(id, reached) }
}

#[test]
fn a_job_in_hand_keeps_its_cut_off_and_one_that_comes_after_has_the_new_one() {
    let setup = setup();
    let mut control = setup.control();
    // More than may run: the last ones are held.
    let first = round(&mut control, at(0.0), |sink| {
        (0..12).for_each(|n| sink.job_arrived(job(&format!("a{n}"), at(0.0))));
    });
    let held = 12 - first.iter().filter(|act| matches!(act, Act::Run(_))).count();
    assert!(held > 0);
    let hasty = JobClass { latency_objective: ms(50.0), deadline: ms(100.0), ..setup.job_classes[0].clone() };
    assert!(control.update_settings(at(10.0), revision(&setup, &[(hasty, true)], vec![])));
    round(&mut control, at(20.0), |sink| sink.job_arrived(job("b", at(20.0))));
    // Long past the new deadline, well within the old latency objective.
    let later = round(&mut control, at(300.0), |sink| sink.timer_fired(0, None));
    let given_up = later.iter().filter_map(|act| match act {
        Act::Reject(id, ..) | Act::Fail(id) => Some(&**id),
        _ => None,
    });
    assert_eq!(given_up.collect::<Vec<_>>(), ["b"], "only what came after has the new goal time");
    let all = round(&mut control, at(2500.0), |sink| sink.timer_fired(1, None));
    let rejected = all.iter().filter(|act| matches!(act, Act::Reject(..))).count();
    assert!(rejected > 0, "at the goal time that they arrived under they are given up");
}

#[test]
fn a_use_case_that_went_lets_its_jobs_end_and_places_are_never_taken_away() {
    let setup = setup();
    let mut control = setup.control();
    round(&mut control, at(0.0), |sink| sink.job_arrived(job("a", at(0.0))));
    let other = JobClass { priority_weight: 2.0, ..setup.job_classes[0].clone() };
    let gone = [(setup.job_classes[0].clone(), false), (other, true)];
    assert!(control.update_settings(at(10.0), revision(&setup, &gone, vec![])));
    assert!(
        !control.update_settings(at(11.0), revision(&setup, &gone[..1], vec![])),
        "a job in hand may name it"
    );
    let acts = round(&mut control, at(20.0), |sink| {
        sink.run_ended(&"a".into(), Outcome::Completed, ms(20.0));
        sink.job_arrived(of_case("b", at(20.0), 1));
    });
    assert!(acts.contains(&Act::Run("b".into())), "{acts:?}");
}

#[test]
fn what_was_learned_of_calls_stays_with_the_place_unless_it_stands_for_something_else() {
    // Calls of 400 ms are learned; the wait budget of a later job then allows for them.
    let learned = |anew: Vec<usize>| {
        let setup = setup();
        let mut control = setup.control();
        for n in 0..20 {
            let (id, now) = (format!("a{n}"), f64::from(n) * 500.0);
            round(&mut control, at(now), |sink| sink.job_arrived(job(&id, at(now))));
            let done = at(now + 400.0);
            round(&mut control, done, |sink| {
                sink.run_ended(&id.as_str().into(), Outcome::Completed, ms(400.0))
            });
        }
        let now = at(10_000.0);
        let same = [(setup.job_classes[0].clone(), true)];
        assert!(control.update_settings(now, revision(&setup, &same, anew)));
        round(&mut control, now, |sink| {
            (0..60).for_each(|n| sink.job_arrived(job(&format!("b{n}"), now)));
        })
    };
    let rejected = |acts: &[Act]| acts.iter().filter(|act| matches!(act, Act::Reject(..))).count();
    let (kept, anew) = (rejected(&learned(vec![])), rejected(&learned(vec![0])));
    assert!(kept > 20, "{kept} of 60: it knows how long runs take");
    assert!(anew > 0 && anew <= kept, "{anew} of 60");
}

#[test]
fn a_module_without_use_cases_serves_by_a_first_revision() {
    let setup = Setup { job_classes: vec![], ..setup() };
    let mut control = setup.control();
    assert!(round(&mut control, at(0.0), |_| {}).iter().all(|act| !matches!(act, Act::Run(_))));
    let case = common::setup().job_classes[0].clone();
    assert!(control.update_settings(at(10.0), revision(&setup, &[(case, true)], vec![])));
    let acts = round(&mut control, at(20.0), |sink| sink.job_arrived(job("a", at(20.0))));
    assert!(acts.contains(&Act::Run("a".into())), "{acts:?}");
}

#[test]
fn a_job_beyond_its_callers_ceiling_waits_behind_one_that_is_not() {
    let setup = setup();
    let mut control = setup.control();
    let first = round(&mut control, at(0.0), |sink| {
        (0..8).for_each(|n| sink.job_arrived(job(&format!("a{n}"), at(0.0))));
    });
    let running = first.iter().filter(|act| matches!(act, Act::Run(_))).count();
    round(&mut control, at(10.0), |sink| {
        sink.job_arrived(Job { over_caller_limit: true, ..job("beyond", at(10.0)) });
        sink.job_arrived(job("within", at(10.0)));
    });
    let mut order = Vec::new();
    for n in 0..running {
        let id = format!("a{n}");
        let acts = round(&mut control, at(20.0 + n as f64), |sink| {
            sink.run_ended(&id.as_str().into(), Outcome::Completed, ms(20.0));
        });
        order.extend(acts.into_iter().filter_map(|act| match act {
            Act::Run(id) => Some(id),
            _ => None,
        }));
    }
    let place = |id: &str| order.iter().position(|run| &**run == id);
    assert!(place("within").is_some() && place("within") < place("beyond").or(Some(usize::MAX)), "{order:?}");
}
