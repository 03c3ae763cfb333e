//! Writes of the node's state.

use super::Subscriber;
use super::event::Action;
use super::state::{Candidate, Stage};
use crate::protocol::Rejection;
use hazelgrade::time::Time;

impl Subscriber {
    /// Writes the state now, or after the write in progress or the delay. Returns a ticket: every write with this
    /// ticket or a later one contains the state.
    pub(super) fn store(&mut self, actions: &mut Vec<Action>) -> u64 {
        let write = self.writes.request();
        if write.begins_now {
            actions.push(Action::Store { ticket: write.ticket, state: self.stored.clone() });
        }
        write.ticket
    }

    pub(super) fn on_stored(
        &mut self,
        now: Time,
        ticket: u64,
        result: Result<(), String>,
        actions: &mut Vec<Action>,
    ) {
        if !self.writes.end(ticket) {
            return;
        }
        match result {
            Ok(()) => {
                self.writes.reset_delay();
                self.on_candidate_stored(ticket, actions);
            }
            Err(reason) => self.on_store_failed(now, reason, actions),
        }
        if self.writes.take_change() {
            self.store(actions);
        }
    }

    fn on_store_failed(&mut self, now: Time, reason: String, actions: &mut Vec<Action>) {
        actions.push(Action::Log(format!("the configuration can't be stored: {reason}")));
        self.writes.delay_retry(now);
        if let Some(Candidate { stage: Stage::Storing(_), .. }) = &self.candidate {
            // It is not known to be stored as on trial, so a crash with it might not be recognized: it doesn't take
            // effect.
            self.reject_candidate(Rejection::NotStored(reason), actions);
            self.handle_waiting_offer(actions);
        }
    }

    /// Writes again once the delay after a failure is over.
    pub(super) fn retry_storing(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.writes.retry_at().is_some_and(|at| at <= now) {
            self.writes.cancel_delay();
            self.store(actions);
        }
    }
}
