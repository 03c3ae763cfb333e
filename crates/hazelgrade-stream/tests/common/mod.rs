//! Documents and a subscriber to start from, for all tests.
#![allow(dead_code)]

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::operator::Trial;
use hazelgrade_config::{Document, Kind, Version};
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::kept::Kept;
use hazelgrade_stream::protocol::{Content, Offer, Published};
use hazelgrade_stream::subscriber::{Action, Event, Start, Subscriber};
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

pub fn whole(nonce: u64, number: u64, says: u64) -> Event {
    let content = Content::Whole(document(says).to_toml());
    Event::Heard(Published::Offer(Offer {
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

pub fn start(now: Time, kept: Kept, file: Option<Document>) -> (Subscriber, Vec<Action>) {
    let mut out = Vec::new();
    let start = Start {
        kind: Kind::Serving,
        node: "n".into(),
        program: "p".into(),
        lineage: None,
        rules: rules(),
        controls: 2,
        chance: MultiplyWithCarry::new(7),
        backoff: Backoff::default(),
        kept,
        file,
    };
    let subscriber = Subscriber::start(now, start, &mut out);
    (subscriber, out)
}

pub fn take(subscriber: &mut Subscriber, now: Time, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    subscriber.take(now, event, &mut out);
    out
}

/// So many jobs of which this part was succeeded.
pub fn served(answered: f64, part: f64) -> Event {
    Event::Served(Sample { answered, succeeded: answered * part, linked: true })
}
