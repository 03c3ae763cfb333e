//! Streamed configuration in figures, as tables in Markdown; `docs/capacity.md` has them with what they were taken on.

mod bytes;
mod latency;
mod publication;
mod reconnection;
mod startup;

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Span;
use hazelgrade_config::Kind;
use hazelgrade_config::operator::Trial;
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::stored::StoredState;
use hazelgrade_stream::subscriber::SubscriberConfig;

/// Takes all measurements of streaming.
pub fn all() -> Result<bool, String> {
    for what in ["effect", "bytes", "reconnects", "start", "latency"] {
        one(what)?;
    }
    Ok(true)
}

/// Takes the measurement of this name.
pub fn one(what: &str) -> Result<bool, String> {
    let table = match what {
        "effect" => publication::effect()?,
        "bytes" => bytes::bytes()?,
        "reconnects" => reconnection::reconnects(),
        "start" => startup::start()?,
        "latency" => latency::latency()?,
        _ => return Err(format!("nothing to measure is called {what}")),
    };
    println!("{table}\n");
    Ok(true)
}

/// A subscriber with nothing stored and short trials.
fn subscriber_config(name: String, controls: usize, seed: u64, backoff: Backoff) -> SubscriberConfig {
    SubscriberConfig {
        kind: Kind::Serving,
        node: name,
        program: "measure".into(),
        lineage: None,
        trial_rules: Trial { span: Span::from_ms(100.0), ..Trial::default() },
        control_services: controls,
        random: MultiplyWithCarry::new(seed),
        backoff,
        stored: StoredState::default(),
        local_document: None,
    }
}
