//! Decoding of messages from lines of JSON.

use super::limits::{MAX_NAME_BYTES, truncate_reason};
use super::message::{Content, Offer, PublisherMessage, SubscriberMessage};
use super::rejection::Rejection;
use hazelgrade::time::Span;
use hazelgrade_config::{Difference, Kind, Version};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// The upper bound of a retry-after, in milliseconds; a retry-after must be less.
const MAX_RETRY_AFTER_MS: f64 = 1e9;

/// The reason why a line can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The line is not a JSON object.
    #[error("expected a JSON object")]
    NotAnObject,
    /// A field is missing or has an unexpected value.
    #[error("field {field}: expected {expected}")]
    Field {
        /// The field's name.
        field: &'static str,
        /// The value that was expected in the field.
        expected: &'static str,
    },
    /// The parameters are not valid for the method.
    #[error("field params: expected {expected}: {reason}")]
    Params {
        /// The message that was expected.
        expected: &'static str,
        /// The error in the parameters.
        reason: String,
    },
    /// The difference of an offer can't be decoded; the text names the field.
    #[error("{0}")]
    Difference(String),
}

fn expected(field: &'static str, expected: &'static str) -> DecodeError {
    DecodeError::Field { field, expected }
}

/// Returns a field's value, or `None` if the field is missing or null.
fn non_null_field<'a>(object: &'a Value, field: &str) -> Option<&'a Value> {
    object.get(field).filter(|value| !value.is_null())
}

fn parse_line(line: &[u8]) -> Result<Map<String, Value>, DecodeError> {
    let Ok(Value::Object(message)) = serde_json::from_slice(line) else {
        return Err(DecodeError::NotAnObject);
    };
    match message.get("jsonrpc").and_then(Value::as_str) {
        Some("2.0") => Ok(message),
        _ => Err(expected("jsonrpc", "\"2.0\"")),
    }
}

fn parse_params<T: DeserializeOwned>(params: &Value, expected: &'static str) -> Result<T, DecodeError> {
    let parsed = T::deserialize(params);
    parsed.map_err(|error| DecodeError::Params { expected, reason: error.to_string() })
}

fn parse_version(object: &Value, field: &'static str) -> Result<Version, DecodeError> {
    let value = object.get(field);
    let number = value.and_then(|value| value.get("number")).and_then(Value::as_u64);
    let digest = value.and_then(|value| value.get("digest")).and_then(Value::as_str);
    let digest = digest.and_then(|digest| digest.parse().ok());
    match number.zip(digest) {
        Some((number, digest)) => Ok(Version { number, digest }),
        None => Err(expected(field, "a number and a digest")),
    }
}

fn parse_optional_version(object: &Value, field: &'static str) -> Result<Option<Version>, DecodeError> {
    match non_null_field(object, field) {
        None => Ok(None),
        Some(_) => parse_version(object, field).map(Some),
    }
}

fn parse_name(object: &Value, field: &'static str) -> Result<String, DecodeError> {
    let name = object.get(field).and_then(Value::as_str);
    let is_valid = |name: &&str| {
        (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(|char| !char.is_control())
    };
    name.filter(is_valid).map(str::to_owned).ok_or(expected(field, "a word"))
}

fn parse_kind(params: &Value) -> Result<Kind, DecodeError> {
    match non_null_field(params, "kind") {
        None => Ok(Kind::Serving),
        Some(kind) => kind.as_str().and_then(Kind::from_name).ok_or(expected("kind", "a kind of document")),
    }
}

fn parse_id(message: &Map<String, Value>) -> Result<u64, DecodeError> {
    message.get("id").and_then(Value::as_u64).ok_or(expected("id", "a whole number"))
}

impl PublisherMessage {
    /// Decodes a line as a message, or returns the reason why the line is not one.
    pub fn decode(line: &[u8]) -> Result<PublisherMessage, DecodeError> {
        let mut message = parse_line(line)?;
        let params = message.remove("params").unwrap_or_default();
        match message.get("method").and_then(Value::as_str) {
            Some("offer") => parse_offer(&message, params).map(PublisherMessage::Offer),
            Some("ping") => Ok(PublisherMessage::Ping),
            Some("retry") => parse_retry_after(&params).map(PublisherMessage::RetryAfter),
            Some("grant") => parse_params(&params, "a grant").map(PublisherMessage::LeaseGrant),
            Some("nudge") => Ok(PublisherMessage::RequestLeases),
            Some("parts") => parse_params(&params, "parts").map(PublisherMessage::SiteReport),
            _ => Err(expected("method", "offer, ping, retry, grant, nudge or parts")),
        }
    }
}

fn parse_retry_after(params: &Value) -> Result<Span, DecodeError> {
    let delay_ms = params.get("after_ms").and_then(Value::as_f64);
    let delay_ms = delay_ms.filter(|ms| (0.0..MAX_RETRY_AFTER_MS).contains(ms));
    delay_ms.map(Span::from_ms).ok_or(expected("after_ms", "milliseconds"))
}

fn parse_offer(message: &Map<String, Value>, mut params: Value) -> Result<Offer, DecodeError> {
    let content = match params.get_mut("whole").map(Value::take) {
        Some(Value::String(text)) => Content::Full(text),
        Some(_) => return Err(expected("whole", "a document")),
        None => Content::Delta {
            base: parse_version(&params, "base")?,
            difference: Difference::from_json(params.get("difference").unwrap_or(&Value::Null))
                .map_err(|error| DecodeError::Difference(error.to_string()))?,
        },
    };
    Ok(Offer {
        nonce: parse_id(message)?,
        lineage: parse_name(&params, "lineage")?,
        version: parse_version(&params, "version")?,
        content,
    })
}

impl SubscriberMessage {
    /// Decodes a line as a message, or returns the reason why the line is not one.
    pub fn decode(line: &[u8]) -> Result<SubscriberMessage, DecodeError> {
        let message = parse_line(line)?;
        if let Some(result) = message.get("result") {
            return parse_acknowledgement(&message, result);
        }
        if let Some(error) = message.get("error") {
            return parse_rejected(&message, error);
        }
        let params = message.get("params").unwrap_or(&Value::Null);
        match message.get("method").and_then(Value::as_str) {
            Some("subscribe") => parse_subscribe(params),
            Some("settled") => parse_trial_ended(params),
            Some("pong") => Ok(SubscriberMessage::Pong),
            Some("status") => Ok(SubscriberMessage::Status { request_id: parse_id(&message)? }),
            Some("ask") => parse_params(params, "an ask").map(SubscriberMessage::LeaseRequest),
            Some("parts") => parse_params(params, "parts").map(SubscriberMessage::SiteReport),
            Some("budget") => Ok(SubscriberMessage::BudgetCommand {
                request_id: parse_id(&message)?,
                command: parse_params(params, "a word on budgets")?,
            }),
            _ => Err(expected("method", "subscribe, settled, pong, status, ask, parts or budget")),
        }
    }
}

fn parse_subscribe(params: &Value) -> Result<SubscriberMessage, DecodeError> {
    Ok(SubscriberMessage::Subscribe {
        node: parse_name(params, "node")?,
        program: parse_name(params, "program")?,
        kind: parse_kind(params)?,
        lineage: match non_null_field(params, "lineage") {
            None => None,
            Some(_) => Some(parse_name(params, "lineage")?),
        },
        in_effect: parse_optional_version(params, "have")?,
        on_trial: params.get("trial").and_then(Value::as_bool).unwrap_or(false),
        latest_known: parse_optional_version(params, "known")?,
    })
}

fn parse_acknowledgement(
    message: &Map<String, Value>,
    result: &Value,
) -> Result<SubscriberMessage, DecodeError> {
    let version = parse_version(result, "version")?;
    let staged = result.get("staged").and_then(Value::as_array).into_iter().flatten();
    Ok(SubscriberMessage::Acknowledged {
        nonce: parse_id(message)?,
        version,
        on_trial: result.get("trial").and_then(Value::as_bool).unwrap_or(false),
        staged: staged.filter_map(Value::as_str).map(str::to_owned).collect(),
    })
}

fn parse_trial_ended(params: &Value) -> Result<SubscriberMessage, DecodeError> {
    let failure = params.get("failed").and_then(Value::as_str);
    Ok(SubscriberMessage::TrialEnded {
        version: parse_version(params, "version")?,
        failure: failure.map(|reason| truncate_reason(reason).to_owned()),
    })
}

fn parse_rejected(message: &Map<String, Value>, error: &Value) -> Result<SubscriberMessage, DecodeError> {
    let nonce = parse_id(message)?;
    let data = error.get("data").unwrap_or(&Value::Null);
    let reason = error.get("message").and_then(Value::as_str).unwrap_or("no reason");
    let rejection = parse_rejection(data, truncate_reason(reason).to_owned())?;
    Ok(SubscriberMessage::Rejected { nonce, version: parse_version(data, "version")?, rejection })
}

fn parse_rejection(data: &Value, reason: String) -> Result<Rejection, DecodeError> {
    let known = || parse_version(data, "known");
    let rejection = match data.get("why").and_then(Value::as_str) {
        Some("leaving") => Rejection::Draining,
        Some("other-lineage") => Rejection::OtherLineage { own: parse_name(data, "own")? },
        Some("behind") => Rejection::Outdated { known: known()? },
        Some("conflict") => Rejection::Conflict { known: known()? },
        Some("unknown-base") => Rejection::UnknownBase,
        Some("wrong-digest") => Rejection::DigestMismatch,
        Some("malformed") => Rejection::Invalid(reason),
        Some("suspect") => Rejection::CrashedOnTrial,
        Some("failed") => Rejection::FailedTrial(reason),
        Some("not-kept") => Rejection::NotStored(reason),
        Some("not-here") => Rejection::NotApplicable(reason),
        Some("superseded") => Rejection::Superseded { by: known()? },
        _ => return Err(expected("why", "a reason's word")),
    };
    Ok(rejection)
}
