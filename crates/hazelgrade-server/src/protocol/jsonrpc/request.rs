//! Decodes messages from clients.

use super::error::{InvalidField, Reason, RequestError};
use super::message::{Message, Object};
use crate::protocol::{Body, is_body};
use hazelgrade::api::{Idempotency, Job, JobId};
use hazelgrade::time::Time;
use hazelgrade_identity::token::MAX_TOKEN_BYTES;
use hazelgrade_settings::HostSettings;
use serde_json::{Map, Value};

/// Maximum length of a line from a client, in bytes. A body of 2 KiB in base64 fits even if every character is escaped,
/// with space left for the other fields.
pub const MAX_LINE_BYTES: usize = 24 * 1024;
/// Maximum length of the body of a job, in bytes before base64 encoding.
const MAX_BODY_BYTES: usize = 2048;
/// Maximum length of a name, id or key, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A message from a client.
#[derive(Debug)]
pub enum ClientMessage {
    /// Requests the execution of a job.
    Job(Box<JobRequest>),
    /// Reports that the caller has stopped waiting for a call on the same connection, or for a job.
    Abort {
        /// The id of the call, if the message names one.
        call_id: Option<u64>,
        /// The id of the job, if the message names one.
        job_id: Option<JobId>,
    },
    /// Requests the health of the instance.
    HealthCheck {
        /// The id of the call.
        call_id: u64,
    },
    /// Identifies the caller of the connection.
    Hello {
        /// The id of the call.
        call_id: u64,
        /// The token that identifies the caller.
        token: String,
    },
}

/// A client's request to execute a job.
#[derive(Debug)]
pub struct JobRequest {
    /// The id of the call, which is unique among the open calls of the connection.
    pub call_id: u64,
    /// The job, as the controller decides on it.
    pub job: Job,
    /// The input of the run, in base64.
    pub body: Body,
    /// Identifies a keyed job across retries. A request of an idempotent class may have one too, as the class may have
    /// been another one when the job was first requested.
    pub idempotency_key: Option<String>,
    /// The token that identifies the caller, if the request contains one.
    pub token: Option<String>,
    /// The tenant that the request names, whether or not it is a configured one. If the request names none, the
    /// caller's rights determine the tenant.
    pub tenant_name: Option<String>,
    /// The name of the caller, if the request names no tenant and its caller has been identified.
    pub caller_name: Option<String>,
}

/// A decoded job, and why this instance does not admit it under its names, if it doesn't.
struct DecodedJob {
    request: JobRequest,
    unserved: Option<RequestError>,
}

/// The undecoded parameters of a message.
struct Params(Map<String, Value>);

impl Params {
    fn text(&mut self, field: &'static str, expected: &'static str) -> Result<String, InvalidField> {
        match self.0.remove(field) {
            Some(Value::String(text)) if !text.is_empty() && text.len() <= MAX_NAME_BYTES => Ok(text),
            _ => Err(InvalidField::new(field, expected)),
        }
    }

    fn optional_text(
        &mut self,
        field: &'static str,
        expected: &'static str,
    ) -> Result<Option<String>, InvalidField> {
        match self.0.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(_) => self.text(field, expected).map(Some),
        }
    }

    fn number(
        &self,
        field: &'static str,
        is_valid: impl Fn(f64) -> bool,
        expected: &'static str,
    ) -> Result<f64, InvalidField> {
        let number = self.0.get(field).and_then(Value::as_f64);
        number.filter(|number| is_valid(*number)).ok_or_else(|| InvalidField::new(field, expected))
    }

    fn job_id(&mut self) -> Result<String, InvalidField> {
        let id = self.text("req", "a job's id")?;
        let is_valid = id.bytes().all(|byte| byte.is_ascii_graphic());
        if is_valid { Ok(id) } else { Err(InvalidField::new("req", "a job's id without spaces")) }
    }

    fn is_retry(&self) -> Result<bool, InvalidField> {
        match self.0.get("resent") {
            None | Some(Value::Null) => Ok(false),
            Some(_) => {
                let is_flag = |number| number == 0.0 || number == 1.0;
                Ok(self.number("resent", is_flag, "1, or no such field")? > 0.0)
            }
        }
    }

    /// Returns the idempotency key, if there is one. The protocol documentation names no field for it; the field name
    /// `opkey` comes from the site's list of names. An idempotent job need not have a valid one.
    fn idempotency_key(&mut self, idempotency: Idempotency) -> Result<Option<String>, InvalidField> {
        let key = self.optional_text("opkey", "the mark of a numbered job");
        if idempotency != Idempotency::Idempotent {
            return key;
        }
        self.optional_text("subject", "what a read is about")?;
        Ok(key.unwrap_or_default())
    }

    fn body(&mut self) -> Result<Body, InvalidField> {
        match self.0.remove("body") {
            Some(Value::String(body)) if is_body(&body, MAX_BODY_BYTES) => Ok(body.into()),
            _ => Err(InvalidField::new("body", "base64 for 2048 bytes at most")),
        }
    }

    fn token(&mut self) -> Result<Option<String>, InvalidField> {
        match self.0.remove("token") {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(token)) if (1..=MAX_TOKEN_BYTES).contains(&token.len()) => Ok(Some(token)),
            Some(_) => Err(InvalidField::new("token", format!("a token of {MAX_TOKEN_BYTES} bytes at most"))),
        }
    }
}

/// A request whose method and parameters are not decoded yet.
struct Request {
    call_id: Option<u64>,
    method: String,
    params: Params,
}

/// Decodes a line from a client. `settings` lists the job classes and tenants that a job may name.
pub fn decode(line: &[u8], settings: &HostSettings) -> Result<ClientMessage, RequestError> {
    let Request { call_id, method, mut params } = decode_request(line)?;
    if method == "abort" {
        return Ok(decode_abort(call_id, &mut params));
    }
    let Some(call_id) = call_id else {
        let field = InvalidField::new("id", "a whole number");
        return Err(RequestError::new(None, Reason::InvalidRequest(field)));
    };
    let invalid_param = |field: InvalidField| RequestError::new(Some(call_id), Reason::InvalidParam(field));
    if method == "ping" {
        return Ok(ClientMessage::HealthCheck { call_id });
    }
    if method == "hello" && settings.authenticates_callers {
        let token = params.token().map_err(invalid_param)?;
        let token = token.ok_or_else(|| invalid_param(InvalidField::new("token", "a token")))?;
        return Ok(ClientMessage::Hello { call_id, token });
    }
    let request = decode_job(call_id, &method, &mut params, settings)?;
    Ok(ClientMessage::Job(Box::new(request)))
}

fn decode_request(line: &[u8]) -> Result<Request, RequestError> {
    let message: Object<Message> =
        serde_json::from_slice(line).map_err(|_| RequestError::new(None, Reason::NotJson))?;
    let Object(Some(message)) = message else {
        return Err(RequestError::new(None, Reason::NotAnObject));
    };
    let call_id = message.id.as_u64();
    let invalid = |field, expected: &'static str| {
        RequestError::new(call_id, Reason::InvalidRequest(InvalidField::new(field, expected)))
    };
    if message.jsonrpc.as_str() != Some("2.0") {
        return Err(invalid("jsonrpc", "\"2.0\""));
    }
    let Value::String(method) = message.method else {
        return Err(invalid("method", "a word"));
    };
    let params = match message.params {
        Some(Object(Some(params))) => Params(params.0),
        None => Params(Map::new()),
        Some(Object(None)) => {
            let field = InvalidField::new("params", "an object");
            return Err(RequestError::new(call_id, Reason::InvalidParam(field)));
        }
    };
    Ok(Request { call_id, method, params })
}

/// Decodes an abort. The id of the call is the `id` parameter or, if the parameters name no job either, the id of the
/// message itself.
fn decode_abort(message_id: Option<u64>, params: &mut Params) -> ClientMessage {
    let job_id = params.optional_text("req", "a job's id").unwrap_or_default();
    let id_param = params.0.get("id").and_then(Value::as_u64);
    let call_id = id_param.or(message_id.filter(|_| job_id.is_none()));
    ClientMessage::Abort { call_id, job_id: job_id.map(JobId::from) }
}

/// The slot that a name refers to, and why no new job is admitted under the name, if none is.
struct NamedSlot {
    slot: usize,
    unserved: Option<RequestError>,
}

impl NamedSlot {
    fn in_use(slot: usize) -> NamedSlot {
        NamedSlot { slot, unserved: None }
    }
}

/// Finds the job class that a method names. A class that is not in use on this instance any more is found too, as a
/// retry of a job that ran before may name it. Other instances may serve such a class, or any class while this instance
/// serves none.
fn find_job_class(call_id: u64, method: &str, settings: &HostSettings) -> Result<NamedSlot, RequestError> {
    let error = |not_served| {
        let error = RequestError::new(Some(call_id), Reason::UnknownMethod);
        RequestError { not_served, ..error }
    };
    match settings.job_class(method) {
        Some(job_class) if job_class.in_use => Ok(NamedSlot::in_use(job_class.slot)),
        Some(job_class) => Ok(NamedSlot { slot: job_class.slot, unserved: Some(error(true)) }),
        None => Err(error(!settings.serves())),
    }
}

/// Decodes a job. The error names the first invalid field, so the order of the checks determines the reported field.
fn decode_job(
    call_id: u64,
    method: &str,
    params: &mut Params,
    settings: &HostSettings,
) -> Result<JobRequest, RequestError> {
    let job_class = find_job_class(call_id, method, settings)?;
    match decode_job_params(call_id, job_class.slot, params, settings) {
        Ok(DecodedJob { request, unserved }) => match job_class.unserved.or(unserved) {
            None => Ok(request),
            Some(error) => Err(RequestError { unserved_job: Some(Box::new(request)), ..error }),
        },
        Err(field) => Err(job_class
            .unserved
            .unwrap_or_else(|| RequestError::new(Some(call_id), Reason::InvalidParam(field)))),
    }
}

/// Decodes the parameters of a job of this class.
fn decode_job_params(
    call_id: u64,
    job_class: usize,
    params: &mut Params,
    settings: &HostSettings,
) -> Result<DecodedJob, InvalidField> {
    let id = params.job_id()?;
    let received_at = params.number("ts", |ts| ts > 0.0 && ts < 1e15, "Unix milliseconds")?;
    params.number("via", |via| via >= 0.0 && via.fract() == 0.0, "a whole number")?;
    let tenant_name = params.optional_text("owner", "a customer of this site")?;
    let tenant = find_tenant(call_id, tenant_name.as_deref(), settings)?;
    let is_retry = params.is_retry()?;
    let queued_kb =
        params.number("need", |kb| kb > 0.0 && kb < 2000.0, "kilobytes, above 0 and under 2000")?;
    let priority_rank = params.number("level", |rank| (0.0..1.0).contains(&rank), "from 0 to under 1")?;
    let idempotency_key = params.idempotency_key(settings.job_classes[job_class].idempotency)?;
    let body = params.body()?;
    let token = if settings.authenticates_callers { params.token()? } else { None };
    let job = Job {
        id: id.into(),
        job_class,
        tenant: tenant.slot,
        received_at: Time::from_ms(received_at),
        caller_deadline: None,
        expected_work: None,
        queued_kb,
        priority_rank,
        is_retry,
        retry_of: None,
        from_known_caller: false,
        over_caller_limit: false,
        lease_retry_after: None,
    };
    let request = JobRequest { call_id, job, body, idempotency_key, token, tenant_name, caller_name: None };
    Ok(DecodedJob { request, unserved: tenant.unserved })
}

/// Finds a tenant. The name may be absent if no configured tenant has a name or if the caller's rights determine the
/// tenant. A name that is not configured may be that of a tenant for whom a job ran before.
fn find_tenant(call_id: u64, name: Option<&str>, settings: &HostSettings) -> Result<NamedSlot, InvalidField> {
    let named =
        name.and_then(|name| settings.tenants.iter().position(|tenant| tenant.as_deref() == Some(name)));
    match (named, name) {
        (Some(tenant), _) => Ok(NamedSlot::in_use(tenant)),
        (None, _) if settings.tenants.iter().all(Option::is_none) => Ok(NamedSlot::in_use(0)),
        (None, None) if settings.authenticates_callers => Ok(NamedSlot::in_use(0)),
        (None, Some(_)) => {
            let error = RequestError::new(Some(call_id), Reason::UnknownTenant);
            Ok(NamedSlot { slot: 0, unserved: Some(error) })
        }
        (None, None) => Err(InvalidField::new("owner", "a customer of this site")),
    }
}
