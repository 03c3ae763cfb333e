//! The settings object that an instance is started with, decoded once for every host: into a `Controller`, and
//! into what the host itself goes by. `places.rs` says which place a name has when job classes and tenants come and go.

pub mod places;

use hazelgrade::api::*;
use hazelgrade::controller::Controller;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Span;
use serde_json::Value;

/// What is wrong with a message or the settings: the field, and what was expected.
#[derive(Debug)]
pub struct Fault(pub String);

pub fn fault<T>(field: &str, expected: &str) -> Result<T, Fault> {
    Err(Fault(format!("field {field}: expected {expected}")))
}

/// What a host needs of the settings: names in the order of the places that the module goes by.
#[derive(Clone, Debug)]
pub struct Site {
    pub job_classes: Vec<Named>,
    /// By place; none where the tenant is gone.
    pub tenants: Vec<Option<String>>,
    /// What the settings promise, for documents that leave it open.
    pub promises: ServiceLimits,
    /// Callers are known: the tenant of a job need not be named.
    pub callers_known: bool,
    /// There is something below to call.
    pub calls_below: bool,
    /// The names of the gauges, in order.
    pub gauges: Vec<String>,
    /// The shortest time between rounds.
    pub tick: Span,
    /// The list that callers go by follows health.
    pub list_follows_health: bool,
    /// How long the answer to a read may be handed to others.
    pub shared_for: Span,
    /// How long a call that was given up may stay below.
    pub linger: Span,
}

#[derive(Clone, Debug)]
pub struct Named {
    pub name: String,
    pub repeats: Idempotency,
    pub deadline: Span,
    /// Jobs may ask for it; one that is gone keeps its place for those in hand.
    pub in_use: bool,
}

impl Site {
    /// The place of a job class, and whether it is in use.
    pub fn job_class(&self, name: &str) -> Option<(usize, bool)> {
        let place = self.job_classes.iter().position(|case| case.name == name)?;
        Some((place, self.job_classes[place].in_use))
    }

    /// Something can be asked for.
    pub fn serves(&self) -> bool {
        self.job_classes.iter().any(|case| case.in_use)
    }
}

/// A part of the settings, with the path to it for messages.
struct Part<'a> {
    value: Option<&'a Value>,
    path: &'a str,
}

impl<'a> Part<'a> {
    fn of(settings: &'a Value, path: &'a str) -> Part<'a> {
        Part { value: settings.get(path), path }
    }

    fn number(&self, key: &str, absent: f64) -> Result<f64, Fault> {
        match self.value.and_then(|value| value.get(key)) {
            None | Some(Value::Null) => Ok(absent),
            Some(value) => match value.as_f64().filter(|number| number.is_finite() && *number >= 0.0) {
                Some(number) => Ok(number),
                None => fault(&format!("settings.{}.{key}", self.path), "a number from 0 up"),
            },
        }
    }

    fn span(&self, key: &str, absent: f64) -> Result<Span, Fault> {
        self.number(key, absent).map(Span::from_ms)
    }

    fn word(&self, key: &str, absent: &'a str) -> Result<&'a str, Fault> {
        match self.value.and_then(|value| value.get(key)) {
            None | Some(Value::Null) => Ok(absent),
            Some(Value::String(word)) => Ok(word),
            _ => fault(&format!("settings.{}.{key}", self.path), "a word"),
        }
    }

    fn truth(&self, key: &str) -> Result<bool, Fault> {
        match self.value.and_then(|value| value.get(key)) {
            None | Some(Value::Null) => Ok(false),
            Some(value) => match value.as_bool() {
                Some(truth) => Ok(truth),
                None => fault(&format!("settings.{}.{key}", self.path), "true or false"),
            },
        }
    }
}

fn list<'a>(settings: &'a Value, key: &str) -> Result<&'a [Value], Fault> {
    match settings.get(key) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(list)) => Ok(list),
        _ => fault(&format!("settings.{key}"), "a list"),
    }
}

/// Decodes the settings into a new instance of the module.
pub fn instance(settings: &Value, seed: u64) -> Result<(Controller, Site), Fault> {
    if !settings.is_object() {
        return fault("settings", "a JSON object");
    }
    let specifics = Part::of(settings, "specifics");
    let by_class = |key: &str| specifics.value.and_then(|value| value.get(key)).and_then(Value::as_array);
    let (calls, skips) = (by_class("callsByClass"), by_class("classSkipWorth"));
    let below = specifics.word("below", "none")?;
    let calls_below = !matches!(below, "none" | "silent" | "");
    let (mut job_classes, mut named) = (Vec::new(), Vec::new());
    for (place, class) in list(settings, "classes")?.iter().enumerate() {
        let part = Part { value: Some(class), path: "classes" };
        let at = |list: Option<&Vec<Value>>| list.and_then(|list| list.get(place)).cloned();
        let deadline = part.number("giveUp", 0.0)?;
        job_classes.push(JobClass {
            latency_objective: part.span("aim", deadline)?,
            objective_per_work: part.number("aimStretch", 0.0)?,
            deadline: Span::from_ms(deadline),
            priority_weight: part.number("gain", 1.0)?,
            late_weight_ratio: part.number("lateWorth", 0.0)?,
            idempotency: match part.word("idempotency", "safe")? {
                "safe" => Idempotency::Idempotent,
                "keyed" => Idempotency::Keyed,
                "unsafe" => Idempotency::AtMostOnce,
                _ => return fault("settings.classes.idempotency", "safe, keyed or unsafe"),
            },
            retry_window: part.span("window", 0.0)?,
            calls_dependency: calls_below && at(calls).and_then(|value| value.as_bool()).unwrap_or(true),
            weight_ratio_without_call: at(skips).and_then(|value| value.as_f64()).unwrap_or(0.0),
        });
        named.push(Named {
            name: part.word("name", "")?.into(),
            repeats: job_classes[place].idempotency,
            deadline: Span::from_ms(deadline),
            in_use: true,
        });
    }
    let (mut tenants, mut names) = (Vec::new(), Vec::new());
    for tenant in list(settings, "customers")? {
        let part = Part { value: Some(tenant), path: "customers" };
        tenants.push(Tenant { quota_per_s: part.number("quotaPerS", f64::INFINITY)? });
        names.push(Some(part.word("name", "")?.into()));
    }
    let guarantees = Part::of(settings, "guarantees");
    let machine = Machine {
        cores: specifics.number("cores", 1.0)?.max(1.0),
        memory_kb: specifics.number("memoryKb", f64::INFINITY)?,
        running_memory_ratio: specifics.number("blowup", 1.0)?,
        record_kb: specifics.number("keyKb", 0.0)?,
        cold: specifics.truth("cold")?,
        cancellation: match specifics.word("halt", "silent")? {
            "silent" | "none" => Cancellation::Unsupported,
            "drop" => Cancellation::Discards,
            "pause" => Cancellation::Requeues,
            _ => return fault("settings.specifics.halt", "silent, drop or pause"),
        },
        tick: Span::from_ms(Part { value: Some(settings), path: "" }.number("quantum", 1.0)?.max(0.001)),
    };
    let promises = ServiceLimits {
        answer_slack: guarantees.span("answerSlack", 0.0)?,
        cold_speed_ratio: guarantees.number("coldFrom", 1.0)?,
        warm_up: guarantees.span("warmUp", 0.0)?,
        drain_grace: guarantees.span("drainGrace", 0.0)?,
        max_jobs_per_core: guarantees.number("tipMultiple", f64::INFINITY)?.max(1.0),
    };
    let told = specifics.number("callsOut", 0.0)?;
    let below = Dependency {
        max_calls: (told > 0.0).then_some(told),
        max_calls_window: specifics.span("callsOver", 0.0)?,
        linger: specifics.span("linger", 0.0)?,
    };
    let ceilings = Part::of(settings, "ceilings");
    let advice = ceilings.truth("retryAfter")?;
    let callers = CallerSettings {
        count: specifics.number("callers", 1.0)?,
        signal: match specifics.word("signal", "silent")? {
            "silent" | "none" => LoadSignal::Silent,
            "level" => LoadSignal::Level,
            "credit" => LoadSignal::Credit,
            "weight" => LoadSignal::Weight,
            _ => return fault("settings.specifics.signal", "silent, level, credit or weight"),
        },
        signal_lifetime: specifics.span("saidFor", 1000.0)?,
        max_retry_after: if advice { ceilings.span("maxRetryAfter", 0.0)? } else { Span::ZERO },
        mark_retries: Part::of(settings, "clients").truth("marksRetry")?,
        fleet_size: Part { value: Some(settings), path: "" }.number("fleetSize", 1.0)?,
        over_quota_weight_ratio: Part { value: Some(settings), path: "" }.number("overShareWorth", 1.0)?,
    };
    let gauges = list(specifics.value.unwrap_or(&Value::Null), "ownStats")?;
    let site = Site {
        job_classes: named,
        tenants: names,
        promises: promises.clone(),
        calls_below,
        callers_known: false,
        gauges: gauges.iter().filter_map(Value::as_str).map(String::from).collect(),
        tick: machine.tick,
        list_follows_health: specifics.truth("readiness")?,
        shared_for: specifics.span("shareFor", 0.0)?,
        linger: below.linger,
    };
    Ok((
        Controller::new(
            job_classes,
            tenants,
            machine,
            promises,
            below,
            callers,
            MultiplyWithCarry::new(seed),
        ),
        site,
    ))
}
