//! A writer that records, and an instance with settings to change, for all tests.

use hazelgrade::chance::Chance;
use hazelgrade::control::{Control, Inflow};
use hazelgrade::desk::*;
use hazelgrade::time::{Span, Time};

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Run(JobId),
    Bounce(JobId, Span),
    WriteOff(JobId),
    Call(JobId, Span),
    Skip(JobId),
    Stop(JobId),
    Share(JobId),
    Remember(JobId, Span),
    Forget(JobId),
    Say(f64),
    Health(bool),
    Wake(Time, u64),
}

#[derive(Default)]
pub struct Record(pub Vec<Act>);

macro_rules! record {
    ($($name:ident => $act:ident,)*) => {
        $(fn $name(&mut self, id: &JobId) { self.0.push(Act::$act(id.clone())); })*
    };
}

impl Decisions for Record {
    record!(run => Run, write_off => WriteOff, skip_call => Skip, stop => Stop, share => Share, forget => Forget,);
    fn bounce(&mut self, id: &JobId, _: bool, back_in: Span) {
        self.0.push(Act::Bounce(id.clone(), back_in));
    }
    fn call(&mut self, id: &JobId, within: Span) {
        self.0.push(Act::Call(id.clone(), within));
    }
    fn remember(&mut self, id: &JobId, span: Span) {
        self.0.push(Act::Remember(id.clone(), span));
    }
    fn say(&mut self, value: f64) {
        self.0.push(Act::Say(value));
    }
    fn health(&mut self, good: bool, _: bool) {
        self.0.push(Act::Health(good));
    }
    fn wake_at(&mut self, at: Time, token: u64) {
        self.0.push(Act::Wake(at, token));
    }
    fn note(&mut self, _: &str) {}
}

/// Settings of a plain deployment; tests change what they are about.
pub struct Setup {
    pub use_cases: Vec<UseCase>,
    pub machine: Machine,
    pub promises: Promises,
    pub below: Below,
    pub callers: Callers,
}

pub fn ms(ms: f64) -> Span {
    Span::from_ms(ms)
}

pub fn at(ms: f64) -> Time {
    Time::from_ms(ms)
}

pub fn setup() -> Setup {
    let case = UseCase {
        goal: ms(2000.0),
        goal_per_work: 0.0,
        cut_off: ms(6000.0),
        earnings: 1.0,
        late_part: 0.0,
        repeats: Repeats::Reissuable,
        window: ms(3000.0),
        calls: true,
        part_without_call: 0.0,
    };
    Setup {
        use_cases: vec![case],
        machine: Machine {
            cores: 4.0,
            memory_kb: 20_000.0,
            running_factor: 8.0,
            entry_kb: 10.0,
            cold: false,
            stopping: Stopping::Drops,
            tick: ms(10.0),
        },
        promises: Promises {
            answer_slack: ms(60.0),
            cold_from: 0.2,
            warm_up: ms(8000.0),
            drain_grace: ms(1000.0),
            crowd_per_core: 4.0,
        },
        below: Below { share: None, share_over: ms(5000.0), linger: ms(200.0) },
        callers: Callers {
            count: 4.0,
            signal: Signal::Weight,
            heeded_for: ms(1000.0),
            longest_back_in: ms(1000.0),
            mark_again: true,
            fleet: 5.0,
            over_quota_part: 0.1,
        },
    }
}

impl Setup {
    pub fn control(&self) -> Control {
        let (machine, promises) = (self.machine.clone(), self.promises.clone());
        let (below, callers) = (self.below.clone(), self.callers.clone());
        Control::new(self.use_cases.clone(), vec![], machine, promises, below, callers, Chance::new(7))
    }
}

pub fn job(id: &str, reached: Time) -> Job {
    Job {
        id: id.into(),
        use_case: 0,
        customer: 0,
        reached,
        waits_until: None,
        work: None,
        held_kb: 20.0,
        rank: 0.5,
        again: false,
        repeats: None,
    }
}

/// One round; what was decided in it.
pub fn round(control: &mut Control, now: Time, feed: impl FnOnce(&mut Inflow)) -> Vec<Act> {
    let mut record = Record::default();
    control.round(now, feed, &mut record);
    record.0
}
