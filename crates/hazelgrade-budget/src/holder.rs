//! A node's side of budgets, as a state machine: the time, answers and what is in use come in; asks go out, and what may be
//! used at any moment is told.
//!
//! A lease counts from when it was asked for, on a monotonic clock. Only the answer to the latest ask is taken: what came
//! late, twice or from a keeper's earlier start changes nothing. Past the lease there is only what this node may use for
//! itself; what is in hand then goes on, and counts until it is over.

use crate::message::{Ask, Given, Grant, Line, MOST_LINES};
use crate::{DRIFT, Units};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use std::collections::BTreeMap;

/// Until a keeper has said how often to ask.
const FIRST_AGAIN_MS: f64 = 300.0;
/// No more asks than this, however often a keeper asks to be asked.
const LEAST_GAP_MS: f64 = 5.0;
/// An ask that is not answered is given up after the usual time between asks, the next after twice that, up to so many
/// times: half a lease. Whoever asks again before an answer can come never takes one.
const MOST_PATIENCE: f64 = 2.5;
/// By which part more must be wanted than was said, to say so at once.
const WORTH_SAYING: f64 = 0.25;
/// By how much times between asks differ by chance, as a part: so that a fleet doesn't ask in step.
const SPREAD: f64 = 0.2;

/// What is going on in one budget, as the node sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// In hand, those that linger below counted in.
    pub used: Units,
    /// Used, and rejected for want of more.
    pub wants: Units,
}

#[derive(Clone, Debug, Default)]
struct Own {
    /// Of its own, whatever keepers say.
    alone: Units,
    units: Units,
    /// Until when the units may be used.
    until: Option<Time>,
    longest_use: Span,
    more_at: Option<Time>,
    use_now: Use,
    /// As the latest ask said.
    said: Units,
    /// What was wanted since then, over time, and since when it was what it is: at the moments of asks it is above its mean.
    area: f64,
    from: Option<Time>,
    since: Option<Time>,
    /// It got fewer than it had: the keeper waits to hear that it knows.
    shrunk: bool,
}

impl Own {
    fn pass(&mut self, now: Time) {
        let since = self.since.replace(now).unwrap_or(now);
        self.from.get_or_insert(since);
        self.area += now.since(since).as_ms() * f64::from(self.use_now.wants);
    }

    /// What was wanted in the mean since this was asked last.
    fn mean(&mut self, now: Time) -> Units {
        self.pass(now);
        let over = now.since(self.from.replace(now).unwrap_or(now)).as_ms();
        let area = std::mem::take(&mut self.area);
        if over > 0.0 { (area / over).round() as Units } else { self.use_now.wants }
    }
}

/// What may be used now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowed {
    /// Under the lease and alone, together.
    pub units: Units,
    /// Until when; after it only `alone`.
    pub until: Option<Time>,
    pub alone: Units,
    /// How long what is begun now may take.
    pub longest_use: Span,
    pub more_at: Option<Time>,
}

#[derive(Clone, Debug)]
pub struct Holder {
    name: String,
    run: u64,
    count: u64,
    taken: u64,
    /// When the latest ask went out, if it was not answered; how often that went on.
    asked: Option<Time>,
    unanswered: i32,
    /// There is something to say as soon as the answer is there.
    more_to_say: bool,
    latest: Option<Time>,
    known: Option<(String, u64)>,
    again: Span,
    next: Time,
    leaving: bool,
    own: BTreeMap<String, Own>,
    chance: MultiplyWithCarry,
    /// Answers that were not taken: late, doubled, or of an earlier start.
    pub refused: u64,
}

impl Holder {
    /// `alone`: what this node may use for itself, by budget.
    pub fn new(
        now: Time,
        name: &str,
        run: u64,
        alone: &BTreeMap<String, Units>,
        chance: MultiplyWithCarry,
    ) -> Holder {
        let own = alone.iter().map(|(name, units)| {
            (
                name.clone(),
                Own { alone: *units, longest_use: Span::from_ms(f64::MAX.min(1e9)), ..Own::default() },
            )
        });
        Holder {
            name: name.to_owned(),
            run,
            count: 0,
            taken: 0,
            asked: None,
            unanswered: 0,
            more_to_say: false,
            latest: None,
            known: None,
            again: Span::from_ms(FIRST_AGAIN_MS),
            next: now,
            leaving: false,
            own: own.collect(),
            chance,
            refused: 0,
        }
    }

    /// From now on bound by these budgets, and by what it has in hand of others.
    pub fn bind(&mut self, now: Time, budgets: &[String]) {
        for name in budgets.iter().take(MOST_LINES) {
            self.own.entry(name.clone()).or_default();
        }
        let stays = |name: &String, own: &mut Own| {
            budgets.contains(name)
                || own.alone > 0
                || own.use_now.used > 0
                || own.until.is_some_and(|at| at > now)
        };
        self.own.retain(stays);
        self.next = now;
    }

    /// What may be used of a budget.
    pub fn allowed(&self, now: Time, budget: &str) -> Allowed {
        let Some(own) = self.own.get(budget) else {
            return Allowed { units: 0, until: None, alone: 0, longest_use: Span::ZERO, more_at: None };
        };
        let leased = own.until.filter(|until| now < *until);
        let units = own.alone + leased.map_or(0, |_| own.units);
        Allowed { units, until: leased, alone: own.alone, longest_use: own.longest_use, more_at: own.more_at }
    }

    /// Notes what is in use; asks at once where more is wanted than there is, or something is free that was wanted back.
    pub fn uses(&mut self, now: Time, budget: &str, use_now: Use) {
        let Some(own) = self.own.get_mut(budget) else { return };
        own.pass(now);
        let before = std::mem::replace(&mut own.use_now, use_now);
        let has = own.alone + own.until.filter(|until| now < *until).map_or(0, |_| own.units);
        let worth = f64::from(use_now.wants) > f64::from(own.said) * (1.0 + WORTH_SAYING);
        let short = use_now.wants > has && worth;
        let freed = before.used > has && use_now.used < before.used;
        if short || freed {
            self.soon(now);
        }
    }

    fn soon(&mut self, now: Time) {
        if self.asked.is_some() {
            self.more_to_say = true;
            return;
        }
        let least = self.latest.map_or(now, |latest| latest + Span::from_ms(LEAST_GAP_MS));
        self.next = self.next.min(least.max(now));
    }

    /// The keeper wants to be asked.
    pub fn nudged(&mut self, now: Time) {
        self.soon(now);
    }

    /// A connection stands: what was asked on the one before is not answered any more.
    pub fn connected(&mut self, now: Time) {
        (self.next, self.asked, self.unanswered) = (now, None, 0);
    }

    /// It wants nothing any more.
    pub fn leave(&mut self, now: Time) {
        // What was granted meanwhile is of no use: it is asked once more at once.
        (self.leaving, self.asked, self.next) = (true, None, now);
    }

    pub fn next(&self) -> Time {
        self.next
    }

    /// The ask that is due, if one is.
    pub fn ask(&mut self, now: Time) -> Option<Ask> {
        if now < self.next || self.own.is_empty() {
            return None;
        }
        self.count += 1;
        self.unanswered = if self.asked.is_some() { self.unanswered + 1 } else { 0 };
        (self.asked, self.latest, self.more_to_say) = (Some(now), Some(now), false);
        // Lost answers are made up for by the next ask.
        let spread = 1.0 + SPREAD * (self.chance.next_f64() - 0.5);
        let patience = 2f64.powi(self.unanswered.min(8)).min(MOST_PATIENCE);
        self.next = now + self.again * (spread * patience);
        let leaving = self.leaving;
        let of = self.own.iter_mut().map(|(budget, own)| {
            // Whoever leaves gives back at once what it does not use.
            if leaving {
                own.units = own.units.min(own.use_now.used.saturating_sub(own.alone));
            }
            own.shrunk = false;
            own.said = own.use_now.wants;
            let mean = own.mean(now);
            let leased = own.until.filter(|until| now < *until).map_or(0, |_| own.units);
            let beyond = own.use_now.used.saturating_sub(own.alone);
            Line {
                budget: budget.clone(),
                holds: leased.max(beyond),
                used: own.use_now.used,
                wants: if leaving { own.use_now.used } else { mean },
                alone: own.alone,
            }
        });
        Some(Ask {
            holder: self.name.clone(),
            run: self.run,
            count: self.count,
            taken: self.taken,
            known: self.known.clone(),
            leaving,
            of: of.collect(),
        })
    }

    /// An answer; `false` if it is not taken.
    pub fn granted(&mut self, now: Time, grant: &Grant) -> bool {
        let older = self
            .known
            .as_ref()
            .is_some_and(|(keeper, start)| *keeper == grant.keeper && grant.generation < *start);
        // The lease counts from the ask: an answer to any other is of no use.
        let Some(asked) = self.asked.filter(|_| grant.count == self.count && !older) else {
            self.refused += 1;
            return false;
        };
        (self.asked, self.unanswered, self.taken) = (None, 0, grant.count);
        self.known = Some((grant.keeper.clone(), grant.generation));
        let sane = |ms: f64, most: f64| if ms.is_finite() { ms.clamp(0.0, most) } else { 0.0 };
        self.again = Span::from_ms(sane(grant.again_ms, 60_000.0).max(LEAST_GAP_MS));
        let spread = 1.0 + SPREAD * (self.chance.next_f64() - 0.5);
        self.next = now.max(asked + self.again * spread);
        for Given { budget, units, lease_ms, longest_use_ms, more_in_ms } in &grant.of {
            let Some(own) = self.own.get_mut(budget) else { continue };
            let had = own.until.filter(|until| now < *until).map_or(0, |_| own.units);
            let used = own.use_now.used.saturating_sub(own.alone);
            own.units = if self.leaving { (*units).min(used) } else { *units };
            own.until = Some(asked + Span::from_ms(sane(*lease_ms, 3_600_000.0)) * (1.0 - DRIFT));
            own.longest_use = Span::from_ms(sane(*longest_use_ms, 3_600_000.0)) * (1.0 - DRIFT);
            own.more_at = more_in_ms.map(|ms| now + Span::from_ms(sane(ms, 3_600_000.0)));
            own.shrunk = own.units < had.max(used);
        }
        if self.more_to_say || self.own.values().any(|own| own.shrunk) {
            self.soon(now);
        }
        true
    }

    /// Everything was given back.
    pub fn is_free(&self, now: Time) -> bool {
        self.own
            .values()
            .all(|own| own.use_now.used == 0 && own.until.is_none_or(|at| at <= now || own.units == 0))
    }

    pub fn run(&self) -> u64 {
        self.run
    }

    pub fn budgets(&self) -> impl Iterator<Item = &String> {
        self.own.keys()
    }
}
