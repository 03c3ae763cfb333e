//! The stages of a candidate after it is stored: taking effect, the trial, and the end as the last good version or by a
//! rollback.

use super::Subscriber;
use super::event::Action;
use super::state::{Candidate, Stage, VersionedDocument};
use crate::protocol::{Rejection, SubscriberMessage};
use crate::stored::{FailedVersion, MAX_CRASHES_ON_TRIAL, StoredVersion};
use crate::trial::{Sample, Trial, Verdict};
use hazelgrade::time::Time;
use hazelgrade_config::{Document, Version};

impl Subscriber {
    /// Records that the node crashed while this version was on trial.
    pub(super) fn record_crash(&mut self, version: Version, actions: &mut Vec<Action>) {
        let crashes = self.stored.record_crash(version.digest);
        let reason = format!("the node died with it on trial, {crashes} of {MAX_CRASHES_ON_TRIAL} times");
        actions.push(Action::Log(format!("rolled back from version {version}: {reason}")));
        self.unreported_trial_end = Some(SubscriberMessage::TrialEnded { version, failure: Some(reason) });
        self.store(actions);
    }

    /// Starts the candidate's trial once the candidate is in effect, or rejects a candidate that can't be applied on
    /// this node. A document that is applied at a start or by a rollback is not a candidate and needs no answer.
    pub(super) fn on_applied(&mut self, now: Time, result: Result<(), String>, actions: &mut Vec<Action>) {
        let Some(Candidate { stage: Stage::Applying, .. }) = &self.candidate else { return };
        if let Err(reason) = result {
            self.reject_candidate(Rejection::NotApplicable(reason), actions);
            self.handle_waiting_offer(actions);
            return;
        }
        let trial = Trial::start(self.trial_rules, now, &self.baseline);
        let fallback = self.fallback_document();
        let Some(candidate) = &mut self.candidate else { return };
        candidate.stage = Stage::OnTrial(Box::new(trial));
        let staged = staged_fields(fallback.as_deref(), &candidate.document);
        let version = candidate.version;
        let reply_to = candidate.reply_to.take();
        actions.push(Action::Log(format!("version {version} took effect; its trial has started")));
        if let Some(reply_to) = reply_to {
            let nonce = reply_to.nonce;
            let message = SubscriberMessage::Acknowledged { nonce, version, on_trial: true, staged };
            self.send_on(reply_to.connection, message, actions);
        }
    }

    /// Rejects a candidate that has not taken effect. The candidate's version stays the latest known version.
    pub(super) fn reject_candidate(&mut self, rejection: Rejection, actions: &mut Vec<Action>) {
        let Some(Candidate { version, reply_to, .. }) = self.candidate.take() else { return };
        self.stored.on_trial = None;
        if let Rejection::NotApplicable(reason) = &rejection {
            self.stored.last_failed = Some(FailedVersion { version, reason: reason.clone() });
        }
        self.store(actions);
        actions.push(Action::Log(format!("rejected version {version}: {rejection}")));
        if let Some(reply_to) = reply_to {
            let message = SubscriberMessage::Rejected { nonce: reply_to.nonce, version, rejection };
            self.send_on(reply_to.connection, message, actions);
        }
    }

    pub(super) fn on_sample(&mut self, now: Time, sample: Sample, actions: &mut Vec<Action>) {
        if self.draining {
            return; // Jobs that are rejected because of a drain say nothing about the version on trial.
        }
        let Some(Candidate { stage: Stage::OnTrial(trial), .. }) = &mut self.candidate else {
            self.baseline.record(now, sample);
            return;
        };
        match trial.record(now, &sample) {
            Verdict::Undecided => {}
            Verdict::Passed => self.store_as_good(actions),
            Verdict::Failed(reason) => {
                self.roll_back(reason, actions);
                self.handle_waiting_offer(actions);
            }
        }
    }

    /// Stores a candidate that passed its trial as the last good version. The candidate counts as good once the write
    /// has ended.
    fn store_as_good(&mut self, actions: &mut Vec<Action>) {
        let Some(candidate) = &self.candidate else { return };
        let document = (*candidate.document).clone();
        self.stored.last_good = Some(StoredVersion { version: candidate.version, document });
        self.stored.on_trial = None;
        let ticket = self.store(actions);
        if let Some(candidate) = &mut self.candidate {
            candidate.stage = Stage::StoringAsGood(ticket);
        }
    }

    /// Applies the document that was in effect before the candidate, and reports why the trial failed.
    pub(super) fn roll_back(&mut self, reason: String, actions: &mut Vec<Action>) {
        let Some(Candidate { version, .. }) = self.candidate.take() else { return };
        actions.push(Action::Apply { document: self.fallback_document(), is_rollback: true });
        actions.push(Action::Log(format!("rolled back from version {version}: {reason}")));
        self.stored.on_trial = None;
        self.stored.last_failed = Some(FailedVersion { version, reason: reason.clone() });
        self.store(actions);
        let message = SubscriberMessage::TrialEnded { version, failure: Some(reason) };
        self.send_on(self.connection_count, message, actions);
    }

    /// Moves the candidate to its next stage if the candidate waits for the write with this ticket. The write is on the
    /// disk now.
    pub(super) fn on_candidate_stored(&mut self, ticket: u64, actions: &mut Vec<Action>) {
        let Some(candidate) = &mut self.candidate else { return };
        match candidate.stage {
            Stage::Storing(awaited) if ticket >= awaited => {
                self.unstored_version.stored();
                candidate.stage = Stage::Applying;
                let document = Some(candidate.document.clone());
                actions.push(Action::Apply { document, is_rollback: false });
            }
            Stage::StoringAsGood(awaited) if ticket >= awaited => self.end_trial_as_good(actions),
            _ => {}
        }
    }

    fn end_trial_as_good(&mut self, actions: &mut Vec<Action>) {
        let Some(Candidate { version, document, .. }) = self.candidate.take() else { return };
        self.last_good = Some(VersionedDocument { version, document });
        actions.push(Action::Log(format!(
            "version {version} passed its trial and is stored as the last good version"
        )));
        let message = SubscriberMessage::TrialEnded { version, failure: None };
        self.send_on(self.connection_count, message, actions);
        self.handle_waiting_offer(actions);
    }
}

/// The fields that differ from the previous document and take effect only at the node's next start.
fn staged_fields(previous: Option<&Document>, document: &Document) -> Vec<String> {
    let Some(previous) = previous else { return Vec::new() };
    previous.fields().difference(document.fields()).staged()
}
