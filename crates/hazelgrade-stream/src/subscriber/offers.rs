//! The checks of offers: which versions a node begins to apply, and how it answers the other offers.

use super::Subscriber;
use super::event::Action;
use super::state::{Candidate, ReplyTo, Stage};
use crate::protocol::{Content, Offer, Rejection, SubscriberMessage};
use crate::stored::{MAX_CRASHES_ON_TRIAL, StoredVersion, VersionOnTrial};
use hazelgrade_config::{ConfigError, Document, Version, error_summary};
use std::sync::Arc;

/// The maximum number of errors that a rejection of an invalid document names.
const MAX_ERRORS_NAMED: usize = 5;

/// The reason that is reported for a rollback when the last good document is published again during a trial.
const ROLLED_BACK_BY_PUBLISHER: &str = "a later version takes it back";

impl Subscriber {
    /// The only lineage whose versions the node applies; `None` if none is configured and no version was applied yet.
    pub(super) fn followed_lineage(&self) -> Option<String> {
        self.configured_lineage.clone().or_else(|| self.stored.lineage.clone())
    }

    pub(super) fn on_offer(&mut self, offer: Offer, actions: &mut Vec<Action>) {
        let Offer { nonce, version, .. } = offer;
        match self.check(&offer) {
            Ok(Some(document)) => self.start_candidate(offer, document, actions),
            // The version is in effect already: the offer was received twice, or the answer to it was lost.
            Ok(None) => {
                let on_trial = self.candidate.is_some();
                let staged = Vec::new();
                let message = SubscriberMessage::Acknowledged { nonce, version, on_trial, staged };
                actions.push(Action::Send(message));
            }
            Err(rejection) => self.reject(nonce, version, rejection, actions),
        }
    }

    fn reject(&self, nonce: u64, version: Version, rejection: Rejection, actions: &mut Vec<Action>) {
        actions.push(Action::Log(format!("rejected version {version}: {rejection}")));
        let message = SubscriberMessage::Rejected { nonce, version, rejection };
        self.send_on(self.connection_count, message, actions);
    }

    /// Checks an offer. Returns the document to apply, or `None` if the version is in effect already.
    fn check(&self, offer: &Offer) -> Result<Option<Document>, Rejection> {
        if self.draining {
            return Err(Rejection::Draining);
        }
        if let Some(own) = self.followed_lineage().filter(|own| *own != offer.lineage) {
            return Err(Rejection::OtherLineage { own });
        }
        if self.version_in_effect().is_some_and(|in_effect| in_effect.version == offer.version) {
            return Ok(None);
        }
        self.check_history(offer.version)?;
        self.read_document(offer).map(Some)
    }

    /// Checks a version against the crashes, failed trials and version numbers that the node knows of.
    fn check_history(&self, version: Version) -> Result<(), Rejection> {
        if self.stored.crashes_of(version.digest) >= MAX_CRASHES_ON_TRIAL {
            return Err(Rejection::CrashedOnTrial);
        }
        if let Some(failed) = self.stored.last_failed.as_ref().filter(|failed| failed.version == version) {
            return Err(Rejection::FailedTrial(failed.reason.clone()));
        }
        let Some(known) = self.stored.latest_known else { return Ok(()) };
        if version.number < known.number {
            return Err(Rejection::Outdated { known });
        }
        if version.number == known.number && version.digest != known.digest {
            return Err(Rejection::Conflict { known });
        }
        Ok(())
    }

    /// Reads the document of an offer, from its full text or from a difference, and checks its digest.
    fn read_document(&self, offer: &Offer) -> Result<Document, Rejection> {
        let version = offer.version;
        let name = format!("version {version}");
        let invalid = |errors: Vec<ConfigError>| Rejection::Invalid(error_summary(&errors, MAX_ERRORS_NAMED));
        match &offer.content {
            Content::Full(text) => {
                let document = Document::read_as(self.kind, text, &name).map_err(invalid)?;
                if document.digest() != version.digest {
                    return Err(Rejection::DigestMismatch);
                }
                Ok(document)
            }
            Content::Delta { base, difference } => {
                let in_effect = self.version_in_effect().filter(|in_effect| in_effect.version == *base);
                let base = in_effect.ok_or(Rejection::UnknownBase)?.document;
                let fields = base.fields().apply(difference).ok_or(Rejection::UnknownBase)?;
                if fields.digest() != version.digest {
                    return Err(Rejection::DigestMismatch);
                }
                Document::from_fields(self.kind, fields, &name).map_err(invalid)
            }
        }
    }

    /// Makes the version of an offer the candidate, or queues the offer if there is a candidate already.
    fn start_candidate(&mut self, offer: Offer, document: Document, actions: &mut Vec<Action>) {
        if let Some(candidate) = &self.candidate {
            // An operator who publishes the last good document again wants the version on trial rolled back at once.
            if matches!(candidate.stage, Stage::OnTrial(_)) && self.is_last_good(offer.version) {
                self.roll_back(ROLLED_BACK_BY_PUBLISHER.into(), actions);
            } else {
                self.queue_offer(offer, actions);
                return;
            }
        }
        let Offer { nonce, lineage, version, .. } = offer;
        self.stored.lineage.get_or_insert(lineage);
        self.stored.latest_known = Some(version);
        if self.is_last_good(version) {
            self.renumber_last_good(nonce, version, document, actions);
            self.handle_waiting_offer(actions);
            return;
        }
        self.stored.on_trial = Some(VersionOnTrial { version, text: document.to_toml() });
        // The write begins without the delay after a failed write, because the control service waits for the answer.
        self.writes.cancel_delay();
        let ticket = self.store(actions);
        self.candidate = Some(Candidate {
            version,
            document: Arc::new(document),
            reply_to: Some(ReplyTo { nonce, connection: self.connection_count }),
            stage: Stage::Storing(ticket),
        });
    }

    fn is_last_good(&self, version: Version) -> bool {
        self.last_good.as_ref().is_some_and(|good| good.version.digest == version.digest)
    }

    /// Gives the last good document a new version number. The document needs no trial, as it passed one before.
    fn renumber_last_good(
        &mut self,
        nonce: u64,
        version: Version,
        document: Document,
        actions: &mut Vec<Action>,
    ) {
        if let Some(good) = &mut self.last_good {
            good.version = version;
        }
        self.stored.last_good = Some(StoredVersion { version, document });
        self.store(actions);
        let message = SubscriberMessage::Acknowledged { nonce, version, on_trial: false, staged: Vec::new() };
        self.send_on(self.connection_count, message, actions);
    }

    /// Queues an offer, and rejects the one that waited before as superseded.
    fn queue_offer(&mut self, offer: Offer, actions: &mut Vec<Action>) {
        let by = offer.version;
        let replaced = self.waiting_offer.replace(offer).filter(|replaced| replaced.version != by);
        if let Some(replaced) = replaced {
            self.reject(replaced.nonce, replaced.version, Rejection::Superseded { by }, actions);
        }
    }

    /// Handles the waiting offer if there is no candidate.
    pub(super) fn handle_waiting_offer(&mut self, actions: &mut Vec<Action>) {
        if self.candidate.is_none()
            && let Some(offer) = self.waiting_offer.take()
        {
            self.on_offer(offer, actions);
        }
    }

    pub(super) fn reject_waiting_as_draining(&mut self, actions: &mut Vec<Action>) {
        if let Some(offer) = self.waiting_offer.take() {
            self.reject(offer.nonce, offer.version, Rejection::Draining, actions);
        }
    }

    pub(super) fn reject_candidate_as_draining(&mut self, actions: &mut Vec<Action>) {
        self.reject_candidate(Rejection::Draining, actions);
    }
}
