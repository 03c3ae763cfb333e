//! JSON-RPC 2.0, one message a line: what client stubs send, and what is answered.

use super::{Body, is_body};
use hazelgrade::api::{Idempotency, Job, JobId};
use hazelgrade::time::{Span, Time};
use hazelgrade_identity::token::MAX_TOKEN_BYTES;
use hazelgrade_settings::Site;
use serde_json::{Map, Value, json};

/// The longest line of a client: a body of 2 KiB in base64, every character of it escaped, and room for the rest.
pub const LONGEST_LINE: usize = 24 * 1024;
const LONGEST_BODY: usize = 2048;
const LONGEST_NAME: usize = 256;

const UNREADABLE: i64 = -32700;
const NOT_A_CALL: i64 = -32600;
const UNKNOWN_METHOD: i64 = -32601;
const WRONG_PARAMS: i64 = -32602;
const BOUNCED: i64 = -32066;
const WRITTEN_OFF: i64 = -32000;

pub const DRAINING: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"draining\"}\n";

/// A message from a client.
#[derive(Debug)]
pub enum Incoming {
    Job(Box<Asked>),
    /// A caller no longer waits: for the call with this number on its connection, or for this job.
    Abort(Option<u64>, Option<JobId>),
    Check(u64),
    /// Says who speaks on this connection, by a token.
    Hello(u64, String),
}

/// A job as it was asked for, with the number of its call on its connection.
#[derive(Debug)]
pub struct Asked {
    pub call: u64,
    pub job: Job,
    pub body: Body,
    /// By which retries of a keyed job, or reads of the same thing, are known.
    pub mark: Option<String>,
    /// Who asks, if it is said with the job.
    pub token: Option<String>,
    /// The tenant is named; else it is the caller's only one.
    pub for_customer: bool,
}

/// What is wrong with a message, as the answer to it tells.
#[derive(Debug)]
pub struct Wrong {
    pub call: Option<u64>,
    /// It asks for what this node doesn't serve, or no longer: elsewhere it may be served, and asking is no misuse.
    pub not_here: bool,
    code: i64,
    message: String,
}

/// The final answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Succeeded(Body),
    Rejected {
        not_elsewhere: bool,
        retry_after: Span,
    },
    /// Who asks may not: it never ran, and would run nowhere.
    Denied(&'static str),
    Failed,
}

impl Answer {
    /// For the log.
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Succeeded(_) => "satisfied",
            Answer::Rejected { not_elsewhere: true, .. } => "bounced, not elsewhere",
            Answer::Rejected { .. } => "bounced",
            Answer::Denied(_) => "denied",
            Answer::Failed => "written off",
        }
    }
}

struct Params(Map<String, Value>);

impl Params {
    fn text(&mut self, field: &str, expected: &str) -> Result<String, String> {
        match self.0.remove(field) {
            Some(Value::String(text)) if !text.is_empty() && text.len() <= LONGEST_NAME => Ok(text),
            _ => Err(format!("field {field}: expected {expected}")),
        }
    }

    fn text_or_none(&mut self, field: &str, expected: &str) -> Result<Option<String>, String> {
        match self.0.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(_) => self.text(field, expected).map(Some),
        }
    }

    fn number(&self, field: &str, fits: impl Fn(f64) -> bool, expected: &str) -> Result<f64, String> {
        let number = self.0.get(field).and_then(Value::as_f64);
        number.filter(|number| fits(*number)).ok_or_else(|| format!("field {field}: expected {expected}"))
    }
}

/// Decodes a line. `site` gives the job classes and tenants that a job may name.
pub fn decode(line: &[u8], site: &Site) -> Result<Incoming, Wrong> {
    let wrong = |call, code, message: &str| Wrong { call, not_here: false, code, message: message.into() };
    let value: Value = serde_json::from_slice(line)
        .map_err(|_| wrong(None, UNREADABLE, "the line is not a JSON value in UTF-8"))?;
    let Value::Object(mut message) = value else {
        return Err(wrong(None, NOT_A_CALL, "expected one JSON object; batches are not taken"));
    };
    let call = message.get("id").and_then(Value::as_u64);
    if message.get("jsonrpc").and_then(Value::as_str) != Some("2.0") {
        return Err(wrong(call, NOT_A_CALL, "field jsonrpc: expected \"2.0\""));
    }
    let Some(Value::String(method)) = message.remove("method") else {
        return Err(wrong(call, NOT_A_CALL, "field method: expected a word"));
    };
    let mut params = match message.remove("params") {
        Some(Value::Object(params)) => Params(params),
        None => Params(Map::new()),
        Some(_) => return Err(wrong(call, WRONG_PARAMS, "field params: expected an object")),
    };
    if method == "abort" {
        let id = params.text_or_none("req", "a job's id").unwrap_or_default();
        let named = params.0.get("id").and_then(Value::as_u64).or(call.filter(|_| id.is_none()));
        return Ok(Incoming::Abort(named, id.map(JobId::from)));
    }
    let Some(number) = call else {
        return Err(wrong(None, NOT_A_CALL, "field id: expected a whole number"));
    };
    if method == "ping" {
        return Ok(Incoming::Check(number));
    }
    if method == "hello" && site.callers_known {
        let token = token(&mut params).map_err(|message| wrong(call, WRONG_PARAMS, &message))?;
        let token = token.ok_or_else(|| wrong(call, WRONG_PARAMS, "field token: expected a token"))?;
        return Ok(Incoming::Hello(number, token));
    }
    let job_class = match site.job_class(&method) {
        Some((job_class, true)) => job_class,
        known => {
            let not_here = known.is_some() || !site.serves();
            let unknown = wrong(call, UNKNOWN_METHOD, "field method: expected a use case of this site");
            return Err(Wrong { not_here, ..unknown });
        }
    };
    match asked(number, job_class, &mut params, site) {
        Ok(asked) => Ok(Incoming::Job(Box::new(asked))),
        Err(message) => Err(wrong(call, WRONG_PARAMS, &message)),
    }
}

fn token(params: &mut Params) -> Result<Option<String>, String> {
    match params.0.remove("token") {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(token)) if (1..=MAX_TOKEN_BYTES).contains(&token.len()) => Ok(Some(token)),
        Some(_) => Err(format!("field token: expected a token of {MAX_TOKEN_BYTES} bytes at most")),
    }
}

fn asked(call: u64, job_class: usize, params: &mut Params, site: &Site) -> Result<Asked, String> {
    let id = params.text("req", "a job's id")?;
    if !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("field req: expected a job's id without spaces".into());
    }
    let reached = params.number("ts", |ts| ts > 0.0 && ts < 1e15, "Unix milliseconds")?;
    params.number("via", |via| via >= 0.0 && via.fract() == 0.0, "a whole number")?;
    let owner = params.text_or_none("owner", "a customer of this site")?;
    let for_customer = owner.is_some();
    let tenant = match owner {
        Some(owner) => site.tenants.iter().position(|name| name.as_ref() == Some(&owner)),
        None => None,
    };
    let tenant = match tenant {
        Some(tenant) => tenant,
        None if site.tenants.iter().all(Option::is_none) || (!for_customer && site.callers_known) => 0,
        None => return Err("field owner: expected a customer of this site".into()),
    };
    let again = match params.0.get("resent") {
        None | Some(Value::Null) => false,
        Some(_) => params.number("resent", |mark| mark == 0.0 || mark == 1.0, "1, or no such field")? > 0.0,
    };
    let queued_kb =
        params.number("need", |kb| kb > 0.0 && kb < 2000.0, "kilobytes, above 0 and under 2000")?;
    let rank = params.number("level", |rank| (0.0..1.0).contains(&rank), "from 0 to under 1")?;
    // The page of the protocol names no mark for keyed jobs; the site's list of names calls it `opkey`.
    let (name, shown) = match site.job_classes[job_class].repeats {
        Idempotency::Idempotent => ("subject", "what a read is about"),
        _ => ("opkey", "the mark of a numbered job"),
    };
    let mark = params.text_or_none(name, shown)?;
    let body = match params.0.remove("body") {
        Some(Value::String(body)) if is_body(&body, LONGEST_BODY) => body.into(),
        _ => return Err("field body: expected base64 for 2048 bytes at most".into()),
    };
    let job = Job {
        id: id.into(),
        job_class,
        tenant,
        received_at: Time::from_ms(reached),
        caller_deadline: None,
        expected_work: None,
        queued_kb,
        priority_rank: rank,
        is_retry: again,
        retry_of: None,
        from_known_caller: false,
        over_caller_limit: false,
        lease_retry_after: None,
    };
    let token = if site.callers_known { token(params)? } else { None };
    Ok(Asked { call, job, body, mark, token, for_customer })
}

fn line(value: &Value) -> String {
    format!("{value}\n")
}

/// The line that answers a call; `said` is the value that callers are told with it.
pub fn encode(call: u64, answer: &Answer, said: Option<f64>) -> String {
    let error = |code, message, data: Map<String, Value>| {
        line(
            &json!({"jsonrpc": "2.0", "id": call, "error": {"code": code, "message": message, "data": data}}),
        )
    };
    let mut fields = Map::new();
    if let Some(said) = said {
        fields.insert("signal".into(), json!(said));
    }
    match answer {
        Answer::Succeeded(body) => {
            fields.insert("body".into(), json!(**body));
            line(&json!({"jsonrpc": "2.0", "id": call, "result": fields}))
        }
        Answer::Rejected { not_elsewhere, retry_after } => {
            if *retry_after > Span::ZERO {
                fields.insert("holdoff".into(), json!(retry_after.as_ms()));
            }
            if *not_elsewhere {
                fields.insert("nomore".into(), json!(1));
            }
            error(BOUNCED, "bounced: this try never ran", fields)
        }
        Answer::Denied(why) => {
            fields.insert("nomore".into(), json!(1));
            fields.insert("denied".into(), json!(1));
            error(BOUNCED, why, fields)
        }
        Answer::Failed => error(WRITTEN_OFF, "written off", fields),
    }
}

/// The answer to a `hello`: who the caller is taken for.
pub fn encode_hello(call: u64, caller: Result<&str, &str>) -> String {
    match caller {
        Ok(caller) => line(&json!({"jsonrpc": "2.0", "id": call, "result": {"caller": caller}})),
        Err(why) => {
            line(&json!({"jsonrpc": "2.0", "id": call, "error": {"code": WRONG_PARAMS, "message": why}}))
        }
    }
}

pub fn encode_check(call: u64, good: bool, said: Option<f64>) -> String {
    let mut result = json!({"up": good});
    if let Some(said) = said {
        result["signal"] = json!(said);
    }
    line(&json!({"jsonrpc": "2.0", "id": call, "result": result}))
}

pub fn encode_wrong(wrong: &Wrong) -> String {
    let error = json!({"code": wrong.code, "message": wrong.message});
    line(&json!({"jsonrpc": "2.0", "id": wrong.call, "error": error}))
}

/// What a peer is told whose connection is ended for a message past the longest, or one wrong message too many.
pub fn last_words(too_long: bool) -> String {
    let message = if too_long { "the line is longer than any message" } else { "too many wrong messages" };
    encode_wrong(&Wrong { call: None, not_here: false, code: NOT_A_CALL, message: message.into() })
}

pub fn wrong_time(call: u64) -> Wrong {
    let message = "field ts: expected a time in the past, and within the cut-off".into();
    Wrong { call: Some(call), not_here: false, code: WRONG_PARAMS, message }
}

/// The answer to a call whose number is still open on its connection; under that number it would pass for the
/// answer to the open one.
pub fn still_open() -> Wrong {
    Wrong {
        call: None,
        not_here: false,
        code: NOT_A_CALL,
        message: "field id: a call with this id is still open".into(),
    }
}
