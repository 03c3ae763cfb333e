//! Requests and results of the writes of the node's state.

use super::Subscriber;
use super::event::Action;
use super::state::{Candidate, Connection, Stage};
use crate::protocol::Rejection;
use hazelgrade::time::Time;

impl Subscriber {
    /// Requests a write of the state, which begins now, after the write in progress, or after the delay that follows a
    /// failed write. Returns a ticket: every write with this ticket or a greater one contains the state.
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
        actions.push(Action::Log(format!("can't store the state of the configuration: {reason}")));
        self.writes.delay_retry(now);
        if let Some(Candidate { stage: Stage::Storing(_), .. }) = &self.candidate {
            // The candidate might not be stored as on trial, so the next start might not recognize a crash during the
            // trial. The candidate therefore doesn't take effect.
            self.reject_candidate(Rejection::NotStored(reason), actions);
            self.unstored_version.rejected(now);
            self.handle_waiting_offer(actions);
        }
    }

    /// Closes the connection once it is time to request a version again that could not be stored: a control service
    /// offers its current version on each new connection.
    pub(super) fn request_unstored_version(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.unstored_version.take_due(now)
            && self.candidate.is_none()
            && matches!(self.connection, Connection::Open { .. })
        {
            actions.push(Action::Log("requesting the version again that could not be stored".into()));
            actions.push(Action::Disconnect);
        }
    }

    /// Begins another write once the delay after a failed write has passed.
    pub(super) fn retry_storing(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.writes.retry_at().is_some_and(|at| at <= now) {
            self.writes.cancel_delay();
            self.store(actions);
        }
    }
}
