//! The messages between a control service and its subscribers: JSON-RPC 2.0, one message a line.
//!
//! The meaning is the one that the xDS protocol published: a subscriber says what it has, an offer carries a nonce, and the
//! answer to that nonce either acknowledges the version or turns it down with a reason; the node goes on with what it had.

use hazelgrade::time::Span;
use hazelgrade_budget::protocol::{LeaseGrant, LeaseRequest, OperatorCommand, SiteReport};
use hazelgrade_config::{Difference, Kind, Version};
use serde_json::{Map, Value, json};

/// The longest line: a document of the longest kind, each of its characters escaped, and room for the rest.
pub const LONGEST_LINE: usize = 2 * hazelgrade_config::LONGEST_DOCUMENT + 16 * 1024;
/// What a subscriber says is short; a reason is cut to fit.
pub const LONGEST_SAID: usize = 16 * 1024;
const LONGEST_REASON: usize = 2000;
const LONGEST_WORD: usize = 128;

const TURNED_DOWN: i64 = -32010;

/// What an offer carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The document in TOML.
    Whole(String),
    /// What turns the document of a version that the subscriber said it has into this one.
    Change { base: Version, difference: Difference },
}

/// From the control service.
#[derive(Clone, Debug, PartialEq)]
pub enum Published {
    Offer(Offer),
    Ping,
    /// Come back after this long; the connection is closed then.
    Retry(Span),
    /// The answer to an ask for parts of budgets.
    Grant(LeaseGrant),
    /// Ask for them now.
    Nudge,
    /// How another site's keeper stands.
    Parts(SiteReport),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    pub nonce: u64,
    pub lineage: String,
    pub version: Version,
    pub content: Content,
}

/// Why a version is turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The node is leaving and takes nothing in any more.
    Leaving,
    /// The node follows another lineage.
    OtherLineage { own: String },
    /// The node knows a later version.
    Behind { known: Version },
    /// The node knows this number with other contents.
    Conflict { known: Version },
    /// The node doesn't have the version that the difference is against.
    UnknownBase,
    /// The contents don't have the digest that they were announced with.
    WrongDigest,
    /// The document is wrong; the faults are named.
    Malformed(String),
    /// The node died twice with it on trial.
    Suspect,
    /// It failed its trial here.
    Failed(String),
    /// The node could not keep it.
    NotKept(String),
    /// This node can't serve by it.
    NotHere(String),
    /// A later one came before its turn.
    Superseded { by: Version },
}

impl Refusal {
    /// A word for it, as on the wire.
    pub fn word(&self) -> &'static str {
        match self {
            Refusal::Leaving => "leaving",
            Refusal::OtherLineage { .. } => "other-lineage",
            Refusal::Behind { .. } => "behind",
            Refusal::Conflict { .. } => "conflict",
            Refusal::UnknownBase => "unknown-base",
            Refusal::WrongDigest => "wrong-digest",
            Refusal::Malformed(_) => "malformed",
            Refusal::Suspect => "suspect",
            Refusal::Failed(_) => "failed",
            Refusal::NotKept(_) => "not-kept",
            Refusal::NotHere(_) => "not-here",
            Refusal::Superseded { .. } => "superseded",
        }
    }

    /// The reason in words.
    pub fn reason(&self) -> String {
        match self {
            Refusal::Leaving => "the node is leaving".into(),
            Refusal::OtherLineage { own } => format!("the node follows the lineage {own}"),
            Refusal::Behind { known } => format!("the node knows version {known}, which is later"),
            Refusal::Conflict { known } => format!("the node knows this number as {known}"),
            Refusal::UnknownBase => "the node doesn't have the base of the difference".into(),
            Refusal::WrongDigest => "the contents don't have the digest that was announced".into(),
            Refusal::Suspect => "the node died twice with it on trial".into(),
            Refusal::Malformed(why)
            | Refusal::Failed(why)
            | Refusal::NotKept(why)
            | Refusal::NotHere(why) => why.clone(),
            Refusal::Superseded { by } => format!("version {by} came before its turn"),
        }
    }
}

/// From a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Subscribe {
        node: String,
        program: String,
        /// The kind of document that it follows on this connection.
        kind: Kind,
        lineage: Option<String>,
        /// The version in effect, of which the node has the contents.
        have: Option<Version>,
        /// It is on trial.
        trial: bool,
        /// The latest version that the node ever took up.
        known: Option<Version>,
    },
    /// It is in effect, on trial unless it was good before; these fields wait for the next start.
    Acknowledged {
        nonce: u64,
        version: Version,
        trial: bool,
        staged: Vec<String>,
    },
    TurnedDown {
        nonce: u64,
        version: Version,
        refusal: Refusal,
    },
    /// The trial is over: it stays, or the node went back to the version before, for this reason.
    Settled {
        version: Version,
        failed: Option<String>,
    },
    Pong,
    /// Asks who runs what; not from a node.
    Status {
        call: u64,
    },
    /// Asks for parts of budgets, and says what is held.
    Ask(LeaseRequest),
    /// How a keeper of another site stands.
    Parts(SiteReport),
    /// An operator's word on budgets.
    Word {
        call: u64,
        word: OperatorCommand,
    },
}

fn part<T: serde::de::DeserializeOwned>(params: &Value, what: &str) -> Result<T, String> {
    T::deserialize(params).map_err(|error| format!("field params: expected {what}: {error}"))
}

fn version_json(version: &Version) -> Value {
    json!({"number": version.number, "digest": version.digest.to_string()})
}

fn optional(version: &Option<Version>) -> Value {
    version.as_ref().map_or(Value::Null, version_json)
}

fn version_of(value: Option<&Value>, field: &str) -> Result<Version, String> {
    let number = value.and_then(|value| value.get("number")).and_then(Value::as_u64);
    let digest = value.and_then(|value| value.get("digest")).and_then(Value::as_str);
    let digest = digest.and_then(|digest| digest.parse().ok());
    match number.zip(digest) {
        Some((number, digest)) => Ok(Version { number, digest }),
        None => Err(format!("field {field}: expected a number and a digest")),
    }
}

fn version_or_none(value: Option<&Value>, field: &str) -> Result<Option<Version>, String> {
    match value {
        None | Some(Value::Null) => Ok(None),
        some => version_of(some, field).map(Some),
    }
}

fn word_of(value: Option<&Value>, field: &str) -> Result<String, String> {
    let word = value.and_then(Value::as_str).filter(|word| (1..=LONGEST_WORD).contains(&word.len()));
    let word = word.filter(|word| word.chars().all(|char| !char.is_control()));
    word.map(str::to_owned).ok_or_else(|| format!("field {field}: expected a word"))
}

fn cut(text: &str) -> &str {
    let mut most = text.len().min(LONGEST_REASON);
    while !text.is_char_boundary(most) {
        most -= 1;
    }
    &text[..most]
}

fn line(value: &Value) -> String {
    format!("{value}\n")
}

fn message(text: &[u8]) -> Result<Map<String, Value>, String> {
    let Ok(Value::Object(message)) = serde_json::from_slice(text) else {
        return Err("expected a JSON object".into());
    };
    match message.get("jsonrpc").and_then(Value::as_str) {
        Some("2.0") => Ok(message),
        _ => Err("field jsonrpc: expected \"2.0\"".into()),
    }
}

impl Published {
    pub fn encode(&self) -> String {
        match self {
            Published::Grant(grant) => line(&json!({"jsonrpc": "2.0", "method": "grant", "params": grant})),
            Published::Nudge => line(&json!({"jsonrpc": "2.0", "method": "nudge"})),
            Published::Parts(parts) => line(&json!({"jsonrpc": "2.0", "method": "parts", "params": parts})),
            Published::Ping => line(&json!({"jsonrpc": "2.0", "method": "ping"})),
            Published::Retry(after) => {
                line(&json!({"jsonrpc": "2.0", "method": "retry", "params": {"after_ms": after.as_ms()}}))
            }
            Published::Offer(Offer { nonce, lineage, version, content }) => {
                let mut params = json!({"lineage": lineage, "version": version_json(version)});
                match content {
                    Content::Whole(text) => params["whole"] = json!(text),
                    Content::Change { base, difference } => {
                        params["base"] = version_json(base);
                        params["difference"] = difference.to_json();
                    }
                }
                line(&json!({"jsonrpc": "2.0", "id": nonce, "method": "offer", "params": params}))
            }
        }
    }

    pub fn decode(text: &[u8]) -> Result<Published, String> {
        let mut message = message(text)?;
        let mut params = message.remove("params").unwrap_or_default();
        match message.get("method").and_then(Value::as_str) {
            Some("ping") => Ok(Published::Ping),
            Some("grant") => part(&params, "a grant").map(Published::Grant),
            Some("nudge") => Ok(Published::Nudge),
            Some("parts") => part(&params, "parts").map(Published::Parts),
            Some("retry") => {
                let after =
                    params.get("after_ms").and_then(Value::as_f64).filter(|ms| (0.0..1e9).contains(ms));
                let after = after.ok_or("field after_ms: expected milliseconds")?;
                Ok(Published::Retry(Span::from_ms(after)))
            }
            Some("offer") => {
                let nonce = message.get("id").and_then(Value::as_u64);
                let content = match params.get_mut("whole").map(Value::take) {
                    Some(Value::String(text)) => Content::Whole(text),
                    Some(_) => return Err("field whole: expected a document".into()),
                    None => Content::Change {
                        base: version_of(params.get("base"), "base")?,
                        difference: Difference::of_json(params.get("difference").unwrap_or(&Value::Null))?,
                    },
                };
                Ok(Published::Offer(Offer {
                    nonce: nonce.ok_or("field id: expected a whole number")?,
                    lineage: word_of(params.get("lineage"), "lineage")?,
                    version: version_of(params.get("version"), "version")?,
                    content,
                }))
            }
            _ => Err("field method: expected offer, ping, retry, grant, nudge or parts".into()),
        }
    }
}

impl Said {
    pub fn encode(&self) -> String {
        match self {
            Said::Subscribe { node, program, kind, lineage, have, trial, known } => line(&json!({
                "jsonrpc": "2.0", "method": "subscribe",
                "params": {"node": node, "program": program, "kind": kind.word(), "lineage": lineage,
                    "have": optional(have), "trial": trial, "known": optional(known)}
            })),
            Said::Acknowledged { nonce, version, trial, staged } => line(&json!({
                "jsonrpc": "2.0", "id": nonce,
                "result": {"version": version_json(version), "trial": trial, "staged": staged}
            })),
            Said::TurnedDown { nonce, version, refusal } => {
                let mut data = json!({"version": version_json(version), "why": refusal.word()});
                match refusal {
                    Refusal::Behind { known } | Refusal::Conflict { known } => {
                        data["known"] = version_json(known)
                    }
                    Refusal::Superseded { by } => data["known"] = version_json(by),
                    Refusal::OtherLineage { own } => data["own"] = json!(own),
                    _ => {}
                }
                let reason = refusal.reason();
                let error = json!({"code": TURNED_DOWN, "message": cut(&reason), "data": data});
                line(&json!({"jsonrpc": "2.0", "id": nonce, "error": error}))
            }
            Said::Settled { version, failed } => line(&json!({
                "jsonrpc": "2.0", "method": "settled",
                "params": {"version": version_json(version), "failed": failed.as_deref().map(cut)}
            })),
            Said::Ask(ask) => line(&json!({"jsonrpc": "2.0", "method": "ask", "params": ask})),
            Said::Parts(parts) => line(&json!({"jsonrpc": "2.0", "method": "parts", "params": parts})),
            Said::Word { call, word } => {
                line(&json!({"jsonrpc": "2.0", "id": call, "method": "budget", "params": word}))
            }
            Said::Pong => line(&json!({"jsonrpc": "2.0", "method": "pong"})),
            Said::Status { call } => line(&json!({"jsonrpc": "2.0", "id": call, "method": "status"})),
        }
    }

    pub fn decode(text: &[u8]) -> Result<Said, String> {
        let message = message(text)?;
        let id = message.get("id").and_then(Value::as_u64);
        let nonce = || id.ok_or_else(|| "field id: expected a whole number".to_string());
        if let Some(result) = message.get("result") {
            let staged = result.get("staged").and_then(Value::as_array);
            let staged = staged.into_iter().flatten().filter_map(Value::as_str).map(str::to_owned).collect();
            let version = version_of(result.get("version"), "version")?;
            let trial = result.get("trial").and_then(Value::as_bool).unwrap_or(false);
            return Ok(Said::Acknowledged { nonce: nonce()?, version, trial, staged });
        }
        if let Some(error) = message.get("error") {
            return turned_down(nonce()?, error);
        }
        let params = message.get("params").unwrap_or(&Value::Null);
        match message.get("method").and_then(Value::as_str) {
            Some("subscribe") => Ok(Said::Subscribe {
                node: word_of(params.get("node"), "node")?,
                program: word_of(params.get("program"), "program")?,
                kind: match params.get("kind") {
                    None | Some(Value::Null) => Kind::Serving,
                    some => some
                        .and_then(Value::as_str)
                        .and_then(Kind::of_word)
                        .ok_or("field kind: expected a kind of document")?,
                },
                lineage: match params.get("lineage") {
                    None | Some(Value::Null) => None,
                    some => Some(word_of(some, "lineage")?),
                },
                have: version_or_none(params.get("have"), "have")?,
                trial: params.get("trial").and_then(Value::as_bool).unwrap_or(false),
                known: version_or_none(params.get("known"), "known")?,
            }),
            Some("settled") => {
                let failed = params.get("failed").and_then(Value::as_str).map(|why| cut(why).to_owned());
                Ok(Said::Settled { version: version_of(params.get("version"), "version")?, failed })
            }
            Some("pong") => Ok(Said::Pong),
            Some("status") => Ok(Said::Status { call: nonce()? }),
            Some("ask") => part(params, "an ask").map(Said::Ask),
            Some("parts") => part(params, "parts").map(Said::Parts),
            Some("budget") => Ok(Said::Word { call: nonce()?, word: part(params, "a word on budgets")? }),
            _ => Err("field method: expected subscribe, settled, pong, status, ask, parts or budget".into()),
        }
    }
}

fn turned_down(nonce: u64, error: &Value) -> Result<Said, String> {
    let data = error.get("data").unwrap_or(&Value::Null);
    let why = cut(error.get("message").and_then(Value::as_str).unwrap_or("no reason")).to_owned();
    let known = || version_of(data.get("known"), "known");
    let refusal = match data.get("why").and_then(Value::as_str) {
        Some("leaving") => Refusal::Leaving,
        Some("other-lineage") => Refusal::OtherLineage { own: word_of(data.get("own"), "own")? },
        Some("behind") => Refusal::Behind { known: known()? },
        Some("conflict") => Refusal::Conflict { known: known()? },
        Some("unknown-base") => Refusal::UnknownBase,
        Some("wrong-digest") => Refusal::WrongDigest,
        Some("malformed") => Refusal::Malformed(why),
        Some("suspect") => Refusal::Suspect,
        Some("failed") => Refusal::Failed(why),
        Some("not-kept") => Refusal::NotKept(why),
        Some("not-here") => Refusal::NotHere(why),
        Some("superseded") => Refusal::Superseded { by: known()? },
        _ => return Err("field why: expected a reason's word".into()),
    };
    Ok(Said::TurnedDown { nonce, version: version_of(data.get("version"), "version")?, refusal })
}
