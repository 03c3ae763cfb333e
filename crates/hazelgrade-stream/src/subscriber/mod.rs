//! The node's side of streamed configuration, as a state machine: the input is events with the current time, the output
//! is actions.
//!
//! At every step the configuration in effect is the local document, a version that passed its trial, or a version that
//! the node acknowledged and has on trial. After a crash the node starts with the local document or with the last good
//! version. To ensure this, one version at a time goes through these stages:
//!
//! 1. *checked* (`offers`): lineage, number, digest and document; a version that is rejected here changes nothing;
//! 2. *stored* (`storage`): the version is stored as on trial before it takes effect, so that the next start recognizes
//!    a crash during the trial;
//! 3. *on trial* (`candidate`): in effect and acknowledged; [`trial`](crate::trial) decides whether the version passes;
//! 4. *ended* (`candidate`): stored as the last good version, or rolled back and reported with the reason.
//!
//! If versions are offered meanwhile, only the latest of them waits; the others are rejected as superseded.

mod candidate;
mod connection;
mod event;
mod offers;
mod state;
mod storage;
mod unstored_version;
mod write_schedule;

pub use event::{Action, Event, InEffect};
pub use state::SILENCE_TIMEOUT_MS;

use crate::backoff::Backoff;
use crate::protocol::{Offer, SubscriberMessage};
use crate::stored::StoredState;
use crate::trial::{Baseline, SAMPLES_PER_SPAN};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::{Document, Kind, operator};
use state::{Candidate, Connection, Stage, VersionedDocument};
use std::sync::Arc;
use unstored_version::UnstoredVersion;
use write_schedule::WriteSchedule;

/// The configuration and the stored state that a subscriber starts with.
pub struct SubscriberConfig {
    /// The kind of document that the node subscribes to.
    pub kind: Kind,
    /// The node's name.
    pub node: String,
    /// The version of the node's program.
    pub program: String,
    /// The only lineage whose versions the node applies. With `None` the node follows the lineage of the first version
    /// that it applies.
    pub lineage: Option<String>,
    /// The rules by which a version passes or fails its trial.
    pub trial_rules: operator::Trial,
    /// The number of control services. Their indexes start at 0.
    pub control_services: usize,
    /// The source of the jitter in the delays between attempts to connect.
    pub random: MultiplyWithCarry,
    /// The delays between attempts to connect.
    pub backoff: Backoff,
    /// The state that the node stored before this start.
    pub stored: StoredState,
    /// The document in effect while no streamed version is good or on trial.
    pub local_document: Option<Document>,
}

/// A node's subscription to one kind of document.
#[derive(Clone, Debug)]
pub struct Subscriber {
    kind: Kind,
    node: String,
    program: String,
    /// The lineage that the operator configured, if any.
    configured_lineage: Option<String>,
    trial_rules: operator::Trial,
    control_service_count: usize,
    random: MultiplyWithCarry,
    backoff: Backoff,
    stored: StoredState,
    writes: WriteSchedule,
    local_document: Option<Arc<Document>>,
    last_good: Option<VersionedDocument>,
    /// The version that is being applied or is on trial.
    candidate: Option<Candidate>,
    /// The latest offer that was received during the candidate's stages; handled once the candidate is done.
    waiting_offer: Option<Offer>,
    baseline: Baseline,
    connection: Connection,
    /// The number of connections so far, which identifies the current one. An offer is answered only on the connection
    /// that carried the offer.
    connection_count: u64,
    /// The index of the control service to connect to.
    control_service_index: usize,
    /// The delay that the control service requested before the connection was closed.
    retry_after: Option<Span>,
    draining: bool,
    /// When to request a version again that could not be stored.
    unstored_version: UnstoredVersion,
    /// The report that a trial ended in a crash; sent on the first connection after the start.
    unreported_trial_end: Option<SubscriberMessage>,
}

impl Subscriber {
    /// Creates the subscriber of a node that has just started. The first action applies the document that is in effect
    /// from the start.
    pub fn start(now: Time, config: SubscriberConfig, actions: &mut Vec<Action>) -> Subscriber {
        let mut stored = config.stored;
        if config.lineage.is_some() && config.lineage != stored.lineage {
            // Version numbers of different lineages can't be compared.
            stored.lineage = config.lineage.clone();
            stored.latest_known = None;
            stored.last_failed = None;
        }
        let last_good = stored.last_good.as_ref().map(VersionedDocument::from);
        let crashed_with = stored.on_trial.take();
        let mut subscriber = Subscriber {
            kind: config.kind,
            node: config.node,
            program: config.program,
            configured_lineage: config.lineage,
            trial_rules: config.trial_rules,
            control_service_count: config.control_services.max(1),
            random: config.random,
            backoff: config.backoff,
            stored,
            writes: WriteSchedule::default(),
            local_document: config.local_document.map(Arc::new),
            last_good,
            candidate: None,
            waiting_offer: None,
            baseline: Baseline::new(config.trial_rules.span),
            connection: Connection::Closed,
            connection_count: 0,
            control_service_index: 0,
            retry_after: None,
            draining: false,
            unstored_version: UnstoredVersion::default(),
            unreported_trial_end: None,
        };
        actions.push(Action::Apply { document: subscriber.fallback_document(), is_rollback: false });
        if let Some(on_trial) = crashed_with {
            subscriber.record_crash(on_trial.version, actions);
        }
        subscriber.connect(now, actions);
        subscriber
    }

    /// The configuration that is in effect on the node.
    pub fn in_effect(&self) -> InEffect {
        if let Some(candidate) = self.candidate.as_ref().filter(|candidate| candidate.is_in_effect()) {
            return InEffect::OnTrial(candidate.version);
        }
        match (&self.last_good, &self.local_document) {
            (Some(good), _) => InEffect::Good(good.version),
            (None, Some(_)) => InEffect::LocalDocument,
            (None, None) => InEffect::Nothing,
        }
    }

    /// The time between two [`Event::Sampled`].
    pub fn sample_interval(&self) -> Span {
        self.trial_rules.span * (1.0 / SAMPLES_PER_SPAN)
    }

    /// The latest time at which [`Event::TimerFired`] is due.
    pub fn next_timer(&self) -> Option<Time> {
        let requests = self.unstored_version.request_at();
        self.silence_deadline().into_iter().chain(self.writes.retry_at()).chain(requests).min()
    }

    /// Handles an event and appends the resulting actions to `actions`, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Connected => self.on_connected(now, actions),
            Event::Disconnected => self.on_disconnected(now, actions),
            Event::Received(message) => self.on_message(now, message, actions),
            Event::Undecodable(reason) => {
                actions.push(Action::Log(format!(
                    "closing the connection: the control service sent a malformed message: {reason}"
                )));
                actions.push(Action::Disconnect);
            }
            Event::Stored { ticket, result } => self.on_stored(now, ticket, result, actions),
            Event::Applied(result) => self.on_applied(now, result, actions),
            Event::Sampled(sample) => self.on_sample(now, sample, actions),
            Event::DrainStarted => self.on_drain_started(actions),
            Event::TimerFired => {}
        }
        self.check_silence(now, actions);
        self.retry_storing(now, actions);
        self.request_unstored_version(now, actions);
    }

    /// Stops applying versions. The version in effect stays in effect. A version on trial neither passes nor fails, and
    /// is no longer stored as on trial, so that the node's stop after the drain does not count as a crash.
    fn on_drain_started(&mut self, actions: &mut Vec<Action>) {
        self.draining = true;
        self.reject_waiting_as_draining(actions);
        match self.candidate.as_ref().map(|candidate| &candidate.stage) {
            Some(Stage::OnTrial(_)) => {
                self.stored.on_trial = None;
                self.store(actions);
            }
            Some(Stage::Storing(_) | Stage::Applying) => self.reject_candidate_as_draining(actions),
            Some(Stage::StoringAsGood(_)) | None => {}
        }
    }

    /// The document that is in effect without the candidate: the last good version's or the local one.
    fn fallback_document(&self) -> Option<Arc<Document>> {
        let last_good = self.last_good.as_ref().map(|good| good.document.clone());
        last_good.or_else(|| self.local_document.clone())
    }

    /// The version in effect with its document; `None` while the local document or no document is in effect.
    fn version_in_effect(&self) -> Option<VersionedDocument> {
        match &self.candidate {
            Some(candidate) if candidate.is_in_effect() => Some(candidate.versioned_document()),
            _ => self.last_good.clone(),
        }
    }
}
