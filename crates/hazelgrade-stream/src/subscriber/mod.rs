//! A node's side of streamed configuration, as a state machine: events and the time come in, actions go out.
//!
//! At every step the node serves by its local document, by a version that passed its trial, or by one that it has
//! acknowledged and has on trial. After a crash it starts again with one of the first two. To ensure this, a version
//! goes through these stages, one version at a time:
//!
//! 1. *checked* (`offers`): lineage, number, digest and document; a version rejected here changes nothing;
//! 2. *stored* (`storage`): the store has it as on trial before it takes effect, so that a crash with it is recognized;
//! 3. *on trial* (`candidate`): in effect and acknowledged; [`trial`](crate::trial) decides whether it does well;
//! 4. *ended* (`candidate`): stored as the last good version, or rolled back and reported with the reason.
//!
//! If versions are offered meanwhile, the latest of them waits.

mod candidate;
mod connection;
mod event;
mod offers;
mod state;
mod storage;
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
use write_schedule::WriteSchedule;

/// What a subscriber starts with.
pub struct SubscriberConfig {
    /// The kind of document that it subscribes to.
    pub kind: Kind,
    /// The node's name.
    pub node: String,
    /// The version of the node's program.
    pub program: String,
    /// The only lineage whose versions it applies; by default the lineage of the first version that it applies.
    pub lineage: Option<String>,
    /// How a version is judged on trial.
    pub trial_rules: operator::Trial,
    /// How many control services there are; they are numbered from 0.
    pub control_services: usize,
    /// The source of jitter.
    pub random: MultiplyWithCarry,
    /// The delays between attempts to connect.
    pub backoff: Backoff,
    /// The state that was stored before the start.
    pub stored: StoredState,
    /// The document to serve by while no streamed version is good.
    pub local_document: Option<Document>,
}

/// A node's subscription to one kind of document.
#[derive(Clone, Debug)]
pub struct Subscriber {
    kind: Kind,
    node: String,
    program: String,
    /// The lineage that the operator configured, if any.
    lineage: Option<String>,
    trial_rules: operator::Trial,
    control_services: usize,
    random: MultiplyWithCarry,
    backoff: Backoff,
    stored: StoredState,
    writes: WriteSchedule,
    local_document: Option<Arc<Document>>,
    last_good: Option<VersionedDocument>,
    /// The version that is being applied.
    candidate: Option<Candidate>,
    /// The offer that is handled after the candidate.
    waiting_offer: Option<Offer>,
    baseline: Baseline,
    connection: Connection,
    /// Connections so far; an answer is sent only on the connection that its offer came on.
    connection_count: u64,
    /// The control service to connect to.
    control_service: usize,
    /// The delay that the control service asked for before the connection was closed.
    retry_after: Option<Span>,
    draining: bool,
    /// The report that a trial ended in a crash, sent once connected.
    unreported_trial_end: Option<SubscriberMessage>,
}

impl Subscriber {
    /// A subscriber of a node that has just started. The first action applies the document that the node serves by.
    pub fn start(now: Time, config: SubscriberConfig, actions: &mut Vec<Action>) -> Subscriber {
        let mut stored = config.stored;
        if config.lineage.is_some() && config.lineage != stored.lineage {
            // Version numbers of another lineage don't apply to this one.
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
            lineage: config.lineage,
            trial_rules: config.trial_rules,
            control_services: config.control_services.max(1),
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
            control_service: 0,
            retry_after: None,
            draining: false,
            unreported_trial_end: None,
        };
        actions.push(Action::Apply { document: subscriber.fallback_document(), is_rollback: false });
        if let Some(on_trial) = crashed_with {
            subscriber.record_crash(on_trial.version, actions);
        }
        subscriber.connect(now, actions);
        subscriber
    }

    /// What the node serves by.
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

    /// Time between samples.
    pub fn sample_interval(&self) -> Span {
        self.trial_rules.span * (1.0 / SAMPLES_PER_SPAN)
    }

    /// When [`Event::TimerFired`] is due at the latest.
    pub fn next_timer(&self) -> Option<Time> {
        self.silence_deadline().into_iter().chain(self.writes.retry_at()).min()
    }

    /// Handles an event; the resulting actions are added to `actions`, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Connected => self.on_connected(now, actions),
            Event::Disconnected => self.on_disconnected(now, actions),
            Event::Received(message) => self.on_message(now, message, actions),
            Event::Undecodable(reason) => {
                actions.push(Action::Log(format!("the control service sent a malformed message: {reason}")));
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
    }

    /// Stops applying versions. The version in effect stays. One on trial neither passes nor fails; it is no longer
    /// stored as on trial, so that the coming stop does not count as a crash.
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

    /// What the node serves by without the candidate.
    fn fallback_document(&self) -> Option<Arc<Document>> {
        let last_good = self.last_good.as_ref().map(|good| good.document.clone());
        last_good.or_else(|| self.local_document.clone())
    }

    /// The version in effect with its document; `None` while the node serves by its local document or not at all.
    fn version_in_effect(&self) -> Option<VersionedDocument> {
        match &self.candidate {
            Some(candidate) if candidate.is_in_effect() => Some(candidate.versioned_document()),
            _ => self.last_good.clone(),
        }
    }
}
