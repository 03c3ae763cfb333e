//! Documents and a subscriber to start from, for all tests.
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

/// A document that differs from the others by its number.
pub fn document(number: u64) -> Document {
    let text = format!("[use_case.a]\ngoal_ms = {}\ncut_off_ms = 9000\n", 100 + number);
    Document::read(&text, "a test").expect("it is right")
}

pub fn version(number: u64, says: u64) -> Version {
    Version { number, digest: document(says).digest() }
}

pub fn full_offer(nonce: u64, number: u64, says: u64) -> Event {
    let content = Content::Full(document(says).to_toml());
    Event::Received(PublisherMessage::Offer(Offer {
        nonce,
        lineage: LINEAGE.into(),
        version: version(number, says),
        content,
    }))
}

pub const RULES: Trial = Trial { span: Span::ZERO, max_success_drop_ratio: 0.2, min_jobs: 10.0 };

pub fn rules() -> Trial {
    Trial { span: Span::from_ms(1000.0), ..RULES }
}

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

pub fn handle(subscriber: &mut Subscriber, now: Time, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    subscriber.handle(now, event, &mut actions);
    actions
}

/// So many jobs were answered, and this part of them succeeded.
pub fn sampled(answered: f64, part: f64) -> Event {
    Event::Sampled(Sample { answered, succeeded: answered * part, executor_connected: true })
}
