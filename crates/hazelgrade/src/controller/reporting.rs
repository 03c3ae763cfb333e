//! Publication of load signal and health to callers, and the timer for the next round.

use super::{Controller, Timer};
use crate::api::Decisions;
use crate::health::{self, Health};
use crate::time::Time;

/// Jobs in flight that a load signal of the kind [`LoadSignal::Credit`](crate::api::LoadSignal::Credit) grants to all
/// callers together, per job that may run.
const CREDIT_PER_RUNNING_JOB: f64 = 4.0;

impl Controller {
    /// Publishes health and load signal when an update is due. The load signal depends on how long jobs wait at this
    /// server before they run, both unread and queued.
    pub(super) fn publish_load(&mut self, now: Time, decisions: &mut dyn Decisions) {
        if !self.load_signal.begin_update(now, self.callers.signal_lifetime) {
            return;
        }
        self.publish_health(now, decisions);
        let mean_wait = self.run_queue_clear_time(now) + self.run_limiter.mean_unread(now);
        let wait_ratio =
            if self.drain.is_some() { f64::INFINITY } else { mean_wait / self.timescales.target_wait };
        let credit = CREDIT_PER_RUNNING_JOB * self.run_limiter.limit() / self.callers.count;
        if let Some(value) = self.load_signal.update(wait_ratio, self.callers.signal, credit) {
            decisions.publish_load_signal(value);
        }
    }

    /// Publishes the health if it has changed. Unlists the server if it lags and its callers send requests too rarely
    /// to follow the load signal, unless retries indicate that other servers have no capacity either.
    fn publish_health(&mut self, now: Time, decisions: &mut dyn Decisions) {
        let unread = self.run_limiter.mean_unread(now);
        let requests_per_signal = self.requests_per_signal(now);
        let timescales = self.timescales;
        let is_lagging = self.health.is_lagging(now, unread, &timescales);
        if Health::is_signal_ineffective(requests_per_signal)
            && is_lagging
            && !self.retry_rate.exceeds(now, health::MAX_RETRY_RATIO)
        {
            self.health.unlist(now, timescales.shortest_objective, self.random.next_f64());
        }
        if let Some(healthy) = self.health.update(now, self.drain.is_some()) {
            decisions.publish_health(healthy, true);
        }
    }

    /// Returns the mean number of requests that each caller sends during the lifetime of a load signal.
    fn requests_per_signal(&mut self, now: Time) -> f64 {
        let window = self.timescales.learning_window;
        let observed_time = self.started_at.map_or(window, |started_at| now.since(started_at).min(window));
        let signals = self.callers.signal_lifetime / observed_time;
        self.retry_rate.requests(now) * signals / self.callers.count
    }

    /// Sets a timer for the next action that is due without an event: a job expires, a permit may become free, or the
    /// load signal must be updated.
    pub(super) fn set_timer(&mut self, now: Time, decisions: &mut dyn Decisions) {
        let unanswered = self.jobs.iter().filter(|tracked| !tracked.answered);
        let next_expiry = unanswered.map(|tracked| self.expires_at(tracked)).min();
        let needs_signal = !self.jobs.is_empty() || self.health.is_published_bad();
        let signal_update = self.load_signal.next_update().filter(|_| needs_signal);
        let release = self.call_limiter.next_release(now).filter(|_| self.call_limiter.has_queued());
        let due = [next_expiry, signal_update, release].into_iter().flatten().min();
        let Some(due) = due else { return };
        let at = due.max(now + self.machine.tick);
        if self.timer.is_none_or(|timer| at < timer.at) {
            let token = self.next_sequence();
            self.timer = Some(Timer { at, token });
            decisions.set_timer(at, token);
        }
    }
}
