//! Documents, offers and a subscriber for the tests of this package.
#![allow(dead_code)]

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::operator::Trial;
use hazelgrade_config::{Document, Kind, Version};
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::protocol::{Content, Offer, PublisherMessage};
use hazelgrade_stream::stored::StoredState;
use hazelgrade_stream::subscriber::{Action, Event, Subscriber, SubscriberConfig};
use hazelgrade_stream::trial::Sample;

pub const LINEAGE: &str = "l";

pub fn at(ms: f64) -> Time {
    Time::from_ms(ms)
}

/// Returns a valid document; different numbers give documents with different digests.
pub fn document(number: u64) -> Document {
    let text = format!("[use_case.a]\ngoal_ms = {}\ncut_off_ms = 9000\n", 100 + number);
    Document::read(&text, "a test").expect("it is right")
}

/// Returns the version with this number and the digest of the document with `document_number`.
pub fn version(number: u64, document_number: u64) -> Version {
    Version { number, digest: document(document_number).digest() }
}

/// Returns the event of an offer that contains the full document with `document_number`.
pub fn full_offer(nonce: u64, number: u64, document_number: u64) -> Event {
    let content = Content::Full(document(document_number).to_toml());
    Event::Received(PublisherMessage::Offer(Offer {
        nonce,
        lineage: LINEAGE.into(),
        version: version(number, document_number),
        content,
    }))
}

pub const RULES: Trial = Trial { span: Span::ZERO, max_success_drop_ratio: 0.2, min_jobs: 10.0 };

pub fn rules() -> Trial {
    Trial { span: Span::from_ms(1000.0), ..RULES }
}

/// Starts a subscriber that has two control services. Returns the actions of its start, too.
pub fn start(now: Time, stored: StoredState, local_document: Option<Document>) -> (Subscriber, Vec<Action>) {
    let mut actions = Vec::new();
    let config = SubscriberConfig {
        kind: Kind::Serving,
        node: "n".into(),
        program: "p".into(),
        lineage: None,
        trial_rules: rules(),
        control_services: 2,
        random: MultiplyWithCarry::new(7),
        backoff: Backoff::default(),
        stored,
        local_document,
    };
    let subscriber = Subscriber::start(now, config, &mut actions);
    (subscriber, actions)
}

/// Handles an event and returns the resulting actions.
pub fn handle(subscriber: &mut Subscriber, now: Time, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    subscriber.handle(now, event, &mut actions);
    actions
}

/// Returns the event of a sample in which this ratio of the answered jobs succeeded.
pub fn sampled(answered: f64, success_ratio: f64) -> Event {
    Event::Sampled(Sample { answered, succeeded: answered * success_ratio, executor_connected: true })
}
