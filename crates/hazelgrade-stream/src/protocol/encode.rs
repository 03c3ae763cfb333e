//! Encoding of messages as lines of JSON. The keys of an object are written in alphabetical order.

use super::limits::truncate_reason;
use super::message::{Content, Offer, PublisherMessage, SubscriberMessage};
use super::rejection::Rejection;
use hazelgrade_config::Version;
use serde_json::{Value, json};

/// The JSON-RPC error code of a rejected version.
const REJECTED_CODE: i64 = -32010;

fn version_to_json(version: &Version) -> Value {
    json!({"number": version.number, "digest": version.digest.to_string()})
}

fn optional_version_to_json(version: &Option<Version>) -> Value {
    version.as_ref().map_or(Value::Null, version_to_json)
}

fn notification(method: &str, params: Value) -> Value {
    json!({"jsonrpc": "2.0", "method": method, "params": params})
}

fn notification_without_params(method: &str) -> Value {
    json!({"jsonrpc": "2.0", "method": method})
}

impl PublisherMessage {
    /// Encodes the message as one line, including the newline.
    pub fn encode(&self) -> String {
        let message = match self {
            PublisherMessage::Offer(offer) => offer_to_json(offer),
            PublisherMessage::Ping => notification_without_params("ping"),
            PublisherMessage::RetryAfter(delay) => notification("retry", json!({"after_ms": delay.as_ms()})),
            PublisherMessage::LeaseGrant(grant) => notification("grant", json!(grant)),
            PublisherMessage::RequestLeases => notification_without_params("nudge"),
            PublisherMessage::SiteReport(report) => notification("parts", json!(report)),
        };
        format!("{message}\n")
    }
}

fn offer_to_json(offer: &Offer) -> Value {
    let Offer { nonce, lineage, version, content } = offer;
    let mut params = json!({"lineage": lineage, "version": version_to_json(version)});
    match content {
        Content::Full(text) => params["whole"] = json!(text),
        Content::Delta { base, difference } => {
            params["base"] = version_to_json(base);
            params["difference"] = difference.to_json();
        }
    }
    json!({"jsonrpc": "2.0", "id": nonce, "method": "offer", "params": params})
}

impl SubscriberMessage {
    /// Encodes the message as one line, including the newline.
    pub fn encode(&self) -> String {
        let message = match self {
            SubscriberMessage::Subscribe {
                node,
                program,
                kind,
                lineage,
                in_effect,
                on_trial,
                latest_known,
            } => {
                let params = json!({
                    "node": node,
                    "program": program,
                    "kind": kind.name(),
                    "lineage": lineage,
                    "have": optional_version_to_json(in_effect),
                    "trial": on_trial,
                    "known": optional_version_to_json(latest_known),
                });
                notification("subscribe", params)
            }
            SubscriberMessage::Acknowledged { nonce, version, on_trial, staged } => {
                let result =
                    json!({"version": version_to_json(version), "trial": on_trial, "staged": staged});
                json!({"jsonrpc": "2.0", "id": nonce, "result": result})
            }
            SubscriberMessage::Rejected { nonce, version, rejection } => {
                json!({"jsonrpc": "2.0", "id": nonce, "error": rejection_to_json(version, rejection)})
            }
            SubscriberMessage::TrialEnded { version, failure } => {
                let failure = failure.as_deref().map(truncate_reason);
                notification("settled", json!({"version": version_to_json(version), "failed": failure}))
            }
            SubscriberMessage::Pong => notification_without_params("pong"),
            SubscriberMessage::Status { request_id } => {
                json!({"jsonrpc": "2.0", "id": request_id, "method": "status"})
            }
            SubscriberMessage::LeaseRequest(request) => notification("ask", json!(request)),
            SubscriberMessage::SiteReport(report) => notification("parts", json!(report)),
            SubscriberMessage::BudgetCommand { request_id, command } => {
                json!({"jsonrpc": "2.0", "id": request_id, "method": "budget", "params": command})
            }
        };
        format!("{message}\n")
    }
}

/// The code that identifies the reason of a rejection on the wire.
fn rejection_code(rejection: &Rejection) -> &'static str {
    match rejection {
        Rejection::Draining => "leaving",
        Rejection::OtherLineage { .. } => "other-lineage",
        Rejection::Outdated { .. } => "behind",
        Rejection::Conflict { .. } => "conflict",
        Rejection::UnknownBase => "unknown-base",
        Rejection::DigestMismatch => "wrong-digest",
        Rejection::Invalid(_) => "malformed",
        Rejection::CrashedOnTrial => "suspect",
        Rejection::FailedTrial(_) => "failed",
        Rejection::NotStored(_) => "not-kept",
        Rejection::NotApplicable(_) => "not-here",
        Rejection::Superseded { .. } => "superseded",
    }
}

fn rejection_to_json(version: &Version, rejection: &Rejection) -> Value {
    let mut data = json!({"version": version_to_json(version), "why": rejection_code(rejection)});
    match rejection {
        Rejection::Outdated { known } | Rejection::Conflict { known } => {
            data["known"] = version_to_json(known);
        }
        Rejection::Superseded { by } => data["known"] = version_to_json(by),
        Rejection::OtherLineage { own } => data["own"] = json!(own),
        _ => {}
    }
    let reason = rejection.to_string();
    json!({"code": REJECTED_CODE, "message": truncate_reason(&reason), "data": data})
}
