//! Decodes the platform's settings object. Only this module uses its JSON names. Times in it are in milliseconds.

use crate::error::SettingsError;
use crate::host::{HostSettings, JobClassEntry};
use crate::section::Section;
use hazelgrade::api::*;
use hazelgrade::controller::Controller;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Span;
use serde_json::Value;

/// The shortest time between two rounds, in milliseconds.
const MIN_TICK_MS: f64 = 0.001;

/// Default lifetime of a load signal, in milliseconds.
const SIGNAL_LIFETIME_MS: f64 = 1000.0;

/// The controller and the host's settings of a new instance.
pub struct DecodedSettings {
    /// The controller.
    pub controller: Controller,
    /// The settings of its host.
    pub host: HostSettings,
}

/// Decodes the settings into a new controller, whose random numbers come from `seed`, and the settings of its host.
///
/// # Errors
/// The first field that is of another type or out of range.
pub fn decode(settings: &Value, seed: u64) -> Result<DecodedSettings, SettingsError> {
    if !settings.is_object() {
        return Err(SettingsError::new("settings", "a JSON object"));
    }
    let root = Section::root(settings);
    let specifics = Section::of(settings, "specifics");
    let dependency_kind = specifics.text("below", "none")?;
    let calls_dependency = !matches!(dependency_kind, "none" | "silent" | "");
    let job_classes = job_classes(root, specifics, calls_dependency)?;
    let tenants = tenants(root)?;
    let machine = machine(root, specifics)?;
    let limits = service_limits(Section::of(settings, "guarantees"))?;
    let dependency = dependency(specifics)?;
    let callers = caller_settings(settings, root, specifics)?;
    let gauges = specifics.list("ownStats")?;
    let host = HostSettings {
        job_classes: job_classes.entries,
        tenants: tenants.names,
        limits: limits.clone(),
        calls_dependency,
        authenticates_callers: false,
        gauge_names: gauges.iter().filter_map(Value::as_str).map(String::from).collect(),
        tick: machine.tick,
        readiness_follows_health: specifics.boolean("readiness")?,
        result_sharing: span(specifics, "shareFor", 0.0)?,
        linger: dependency.linger,
        cancellation: machine.cancellation,
    };
    let controller = Controller::new(
        job_classes.classes,
        tenants.tenants,
        machine,
        limits,
        dependency,
        callers,
        MultiplyWithCarry::new(seed),
    );
    Ok(DecodedSettings { controller, host })
}

fn span(section: Section, key: &str, default_ms: f64) -> Result<Span, SettingsError> {
    section.number(key, default_ms).map(Span::from_ms)
}

/// The job classes for the controller and for the host, in the same order.
struct JobClasses {
    classes: Vec<JobClass>,
    entries: Vec<JobClassEntry>,
}

fn job_classes(
    root: Section,
    specifics: Section,
    calls_dependency: bool,
) -> Result<JobClasses, SettingsError> {
    let calls_by_class = specifics.list_or_empty("callsByClass");
    let weights_without_call = specifics.list_or_empty("classSkipWorth");
    let mut job_classes = JobClasses { classes: Vec::new(), entries: Vec::new() };
    for (index, element) in root.list("classes")?.iter().enumerate() {
        let section = Section::element(element, "classes");
        let calls = calls_by_class.get(index).and_then(Value::as_bool).unwrap_or(true);
        let class = JobClass {
            calls_dependency: calls_dependency && calls,
            weight_ratio_without_call: weights_without_call.get(index).and_then(Value::as_f64).unwrap_or(0.0),
            ..job_class(section)?
        };
        job_classes.entries.push(JobClassEntry {
            name: section.text("name", "")?.into(),
            idempotency: class.idempotency,
            deadline: class.deadline,
            may_skip_calls: class.allows_answers_without_call(),
            in_use: true,
        });
        job_classes.classes.push(class);
    }
    Ok(job_classes)
}

/// A job class from its own object; the caller sets what is decoded from `specifics`: its calls, and its weight without
/// them.
fn job_class(section: Section) -> Result<JobClass, SettingsError> {
    let deadline_ms = section.number("giveUp", 0.0)?;
    Ok(JobClass {
        latency_objective: span(section, "aim", deadline_ms)?,
        objective_per_work: section.number("aimStretch", 0.0)?,
        deadline: Span::from_ms(deadline_ms),
        priority_weight: section.number("gain", 1.0)?,
        late_weight_ratio: section.number("lateWorth", 0.0)?,
        idempotency: match section.text("idempotency", "safe")? {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::Keyed,
            "unsafe" => Idempotency::AtMostOnce,
            _ => return Err(SettingsError::new("settings.classes.idempotency", "safe, keyed or unsafe")),
        },
        retry_window: span(section, "window", 0.0)?,
        calls_dependency: true,
        weight_ratio_without_call: 0.0,
    })
}

/// The tenants for the controller and their names, in the same order.
struct Tenants {
    tenants: Vec<Tenant>,
    names: Vec<Option<String>>,
}

fn tenants(root: Section) -> Result<Tenants, SettingsError> {
    let mut tenants = Tenants { tenants: Vec::new(), names: Vec::new() };
    for element in root.list("customers")? {
        let section = Section::element(element, "customers");
        tenants.tenants.push(Tenant { quota_per_s: section.number("quotaPerS", f64::INFINITY)? });
        tenants.names.push(Some(section.text("name", "")?.into()));
    }
    Ok(tenants)
}

fn machine(root: Section, specifics: Section) -> Result<Machine, SettingsError> {
    Ok(Machine {
        cores: specifics.number("cores", 1.0)?.max(1.0),
        memory_kb: specifics.number("memoryKb", f64::INFINITY)?,
        running_memory_ratio: specifics.number("blowup", 1.0)?,
        record_kb: specifics.number("keyKb", 0.0)?,
        cold: specifics.boolean("cold")?,
        cancellation: match specifics.text("halt", "silent")? {
            "silent" | "none" => Cancellation::Unsupported,
            "drop" => Cancellation::Discards,
            "pause" => Cancellation::Requeues,
            _ => return Err(SettingsError::new("settings.specifics.halt", "silent, drop or pause")),
        },
        tick: Span::from_ms(root.number("quantum", 1.0)?.max(MIN_TICK_MS)),
    })
}

fn service_limits(guarantees: Section) -> Result<ServiceLimits, SettingsError> {
    Ok(ServiceLimits {
        answer_slack: span(guarantees, "answerSlack", 0.0)?,
        cold_speed_ratio: guarantees.number("coldFrom", 1.0)?,
        warm_up: span(guarantees, "warmUp", 0.0)?,
        drain_grace: span(guarantees, "drainGrace", 0.0)?,
        max_jobs_per_core: guarantees.number("tipMultiple", f64::INFINITY)?.max(1.0),
    })
}

fn dependency(specifics: Section) -> Result<Dependency, SettingsError> {
    let max_calls = specifics.number("callsOut", 0.0)?;
    Ok(Dependency {
        // 0 means that no limit is set.
        max_calls: (max_calls > 0.0).then_some(max_calls),
        max_calls_window: span(specifics, "callsOver", 0.0)?,
        linger: span(specifics, "linger", 0.0)?,
    })
}

fn caller_settings(
    settings: &Value,
    root: Section,
    specifics: Section,
) -> Result<CallerSettings, SettingsError> {
    let ceilings = Section::of(settings, "ceilings");
    let gives_retry_after = ceilings.boolean("retryAfter")?;
    Ok(CallerSettings {
        count: specifics.number("callers", 1.0)?,
        signal: match specifics.text("signal", "silent")? {
            "silent" | "none" => LoadSignal::Silent,
            "level" => LoadSignal::Level,
            "credit" => LoadSignal::Credit,
            "weight" => LoadSignal::Weight,
            _ => {
                let expected = "silent, level, credit or weight";
                return Err(SettingsError::new("settings.specifics.signal", expected));
            }
        },
        signal_lifetime: span(specifics, "saidFor", SIGNAL_LIFETIME_MS)?,
        max_retry_after: if gives_retry_after { span(ceilings, "maxRetryAfter", 0.0)? } else { Span::ZERO },
        mark_retries: Section::of(settings, "clients").boolean("marksRetry")?,
        fleet_size: root.number("fleetSize", 1.0)?,
        over_quota_weight_ratio: root.number("overShareWorth", 1.0)?,
    })
}
