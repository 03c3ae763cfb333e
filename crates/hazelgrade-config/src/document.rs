//! The document: what a node serves by. Read from text or made from fields, and checked as a whole either way.

use crate::LONGEST_DOCUMENT;
use crate::fault::Fault;
use crate::fields::{self, Fields, Kind, Scalar};
use crate::read::{Found, Reading};
use crate::version::Digest;
use hazelgrade::api::{Idempotency, JobClass, ServiceLimits, Tenant};
use hazelgrade::time::Span;
use ipnet::IpNet;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Job classes in a document: those of a large site several times over, and few enough to go through at each job.
pub const MAX_JOB_CLASSES: usize = 64;
/// Tenants in a document.
pub const MAX_TENANTS: usize = 4096;
/// Budgets in a document: a node is bound by all of them at each job.
pub const MOST_BUDGETS: usize = 64;
/// Nodes that have addresses of their own in a document.
pub const MOST_NODES: usize = 4096;

/// A document that was checked: what it says can be served.
#[derive(Clone, PartialEq)]
pub struct Document {
    kind: Kind,
    fields: Fields,
    digest: Digest,
}

impl std::fmt::Debug for Document {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "Document({:?})", self.digest)
    }
}

/// What a node's own parts of a document are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Places {
    pub executor: Option<SocketAddr>,
    pub registry: Option<SocketAddr>,
    pub database: Option<SocketAddr>,
}

/// What the decision module takes of a document, with the names that go with it.
#[derive(Clone, Debug)]
pub struct Serving {
    pub job_classes: Vec<(String, JobClass)>,
    pub tenants: Vec<(String, Tenant)>,
    pub promises: ServiceLimits,
}

/// Notes faults by path.
struct Check<'a> {
    kind: Kind,
    fields: &'a Fields,
    faults: Vec<(String, String)>,
}

impl Check<'_> {
    fn fault(&mut self, path: &str, message: impl Into<String>) {
        self.faults.push((path.to_owned(), message.into()));
    }

    /// Each field by itself: is there such a one, and does its value fit?
    fn each(&mut self) {
        for (path, value) in &self.fields.0 {
            match self.kind.known(path) {
                None => self.fault(path, "there is no such field"),
                Some(field) => {
                    if let Some(expected) = field.holds.misfit(value) {
                        self.fault(path, expected);
                    }
                }
            }
        }
    }

    /// The document as a whole.
    fn whole(&mut self) {
        let fields = self.fields;
        let job_classes = fields.names("use_case");
        if job_classes.is_empty() {
            self.fault("use_case", "expected at least one use case, like [use_case.slot-search]");
        }
        for (section, most) in
            [("use_case", MAX_JOB_CLASSES), ("customer", MAX_TENANTS), ("node", MOST_NODES)]
        {
            let count = fields.names(section).len();
            if count > most {
                self.fault(section, format!("expected {most} at most, not {count}"));
            }
        }
        for name in &job_classes {
            let at = |field: &str| format!("use_case/{name}/{field}");
            for field in fields::FIELDS.iter().filter(|field| field.needed) {
                let path = field.path.replace('*', name);
                if fields.get(&path).is_none() {
                    self.fault(&path, "is missing");
                }
            }
            let (goal, deadline) = (fields.number(&at("goal_ms")), fields.number(&at("cut_off_ms")));
            if goal.zip(deadline).is_some_and(|(goal, deadline)| goal > deadline) {
                self.fault(&at("goal_ms"), "expected the goal time to be within the cut-off");
            }
            let numbered = fields.word(&at("repeats")) == Some("numbered");
            if numbered && fields.number(&at("window_ms")).unwrap_or(0.0) <= 0.0 {
                self.fault(
                    &at("window_ms"),
                    "expected more than 0: by it the repeats of a numbered job are known",
                );
            }
        }
        let earns = |name: &&str| fields.number(&format!("use_case/{name}/earnings")).unwrap_or(1.0) > 0.0;
        if !job_classes.is_empty() && !job_classes.iter().any(earns) {
            self.fault("use_case", "expected at least one use case that earns something");
        }
    }

    /// Keys that follow each other without a gap, callers that may ask for something.
    fn identity(&mut self) {
        let fields = self.fields;
        self.needed("audience");
        let longest = fields.number("longest_token_s").unwrap_or(LONGEST_TOKEN_S);
        let mut keys = Vec::new();
        for kid in fields.names("key") {
            let at = |field: &str| format!("key/{kid}/{field}");
            for field in ["algorithm", "x", "active_from_s", "valid_until_s"] {
                self.needed(&at(field));
            }
            let curve = fields.word(&at("algorithm")) == Some("ES256");
            if curve != fields.word(&at("y")).is_some() {
                let expected = if curve { "is missing: ES256 has x and y" } else { "EdDSA has no y" };
                self.fault(&at("y"), expected);
            }
            let from = fields.number(&at("active_from_s")).unwrap_or(0.0);
            let until = fields.number(&at("valid_until_s")).unwrap_or(0.0);
            let signs = fields.number(&at("signs_until_s")).unwrap_or(until - longest);
            if from >= signs {
                self.fault(
                    &at("active_from_s"),
                    "expected it before signs_until_s: the key would sign nothing",
                );
            } else if signs + longest > until {
                let expected = "expected it at least longest_token_s after signs_until_s: tokens would outlive their key";
                self.fault(&at("valid_until_s"), expected);
            }
            let listed = fields.words("revoked/keys").iter().any(|revoked| revoked == kid);
            if !listed && fields.truth(&at("revoked")) != Some(true) {
                keys.push((from, signs, kid));
            }
        }
        if keys.is_empty() {
            self.fault("key", "expected at least one key that is not revoked");
        }
        keys.sort_by(|a, b| a.0.total_cmp(&b.0));
        for pair in keys.windows(2) {
            if pair[1].0 > pair[0].1 {
                let gap = format!(
                    "expected it no later than signs_until_s of {}: nobody could sign between",
                    pair[0].2
                );
                self.fault(&format!("key/{}/active_from_s", pair[1].2), gap);
            }
        }
        for caller in fields.names("caller") {
            let at = |field: &str| format!("caller/{caller}/{field}");
            for field in ["use_cases", "customers"] {
                self.needed(&at(field));
            }
            if fields.words(&at("networks")).iter().any(|network| network.parse::<IpNet>().is_err()) {
                self.fault(&at("networks"), "expected networks like 10.0.0.0/8");
            }
        }
    }

    /// Parts of the sites that add up to the whole, and figures that belong to what is counted.
    fn budgets(&mut self) {
        let fields = self.fields;
        let names = fields.names("budget");
        if names.is_empty() {
            self.fault("budget", "expected at least one budget, like [budget.calls]");
        }
        if names.len() > MOST_BUDGETS {
            self.fault("budget", format!("expected {MOST_BUDGETS} at most, not {}", names.len()));
        }
        let (mut in_hand, mut tries) = (Vec::new(), Vec::new());
        let mut tenants = BTreeMap::new();
        for name in names {
            let at = |field: &str| format!("budget/{name}/{field}");
            for field in ["measure", "whole"] {
                self.needed(&at(field));
            }
            let whole = fields.number(&at("whole")).unwrap_or(0.0);
            let (of_site, own) = (at("site/"), at("set_aside"));
            let sites: Vec<(&String, f64)> = fields
                .0
                .keys()
                .filter(|path| path.starts_with(&of_site))
                .map(|path| (path, fields.number(path).unwrap_or(0.0)))
                .collect();
            let sum: f64 = sites.iter().map(|(_, part)| part).sum();
            if sites.is_empty() {
                self.fault(&at("site"), "is missing: each keeper's part, like site = { a = 40 }");
            } else if sum != whole {
                self.fault(
                    sites[0].0,
                    format!("expected the parts of all sites to be {whole} together, not {sum}"),
                );
            }
            let set_aside = fields.number(&own).unwrap_or(0.0);
            if sites.iter().any(|(_, part)| *part > 0.0 && *part < set_aside) {
                self.fault(&own, "expected no more than the least part of a site: it is set aside at each");
            }
            let measure = fields.word(&at("measure")).unwrap_or_default();
            match measure {
                "in-hand" => in_hand.push(name),
                "tries" => tries.push(name),
                _ => {}
            }
            for (field, of) in [("burst", "rate"), ("customer", "rate"), ("part", "tries")] {
                if fields.get(&at(field)).is_some() && measure != of && !measure.is_empty() {
                    self.fault(&at(field), format!("belongs to a budget with measure = \"{of}\" only"));
                }
            }
            if measure == "rate" {
                self.needed(&at("customer"));
                let tenant = fields.word(&at("customer")).unwrap_or_default();
                if let Some(other) = tenants.insert(tenant, name) {
                    self.fault(
                        &at("customer"),
                        format!("is that of budget {other} too: one of them would not count"),
                    );
                }
            }
        }
        for several in [in_hand, tries] {
            if let [_, second, ..] = several[..] {
                let path = format!("budget/{second}/measure");
                self.fault(
                    &path,
                    format!("is that of budget {} too: one of them would not count", several[0]),
                );
            }
        }
    }

    fn needed(&mut self, path: &str) {
        if self.fields.get(path).is_none() {
            self.fault(path, "is missing");
        }
    }
}

/// How long a token lives at most, where a document does not say.
pub const LONGEST_TOKEN_S: f64 = 3600.0;

fn check(kind: Kind, fields: &Fields) -> Vec<(String, String)> {
    let mut check = Check { kind, fields, faults: Vec::new() };
    check.each();
    match kind {
        Kind::Serving => check.whole(),
        Kind::Identity => check.identity(),
        Kind::Budgets => check.budgets(),
    }
    check.faults
}

impl Document {
    /// Reads a document; on failure gives all faults, each with its line. `file` is how they name the text.
    pub fn read(text: &str, file: &str) -> Result<Document, Vec<Fault>> {
        Document::read_as(Kind::Serving, text, file)
    }

    /// The same for a document of any kind.
    pub fn read_as(kind: Kind, text: &str, file: &str) -> Result<Document, Vec<Fault>> {
        if text.len() > LONGEST_DOCUMENT {
            let message = format!("expected {LONGEST_DOCUMENT} bytes at most, not {}", text.len());
            let file = file.to_owned();
            return Err(vec![Fault { file, line: 1, column: 1, field: String::new(), message }]);
        }
        let mut reading = Reading::of(text, file);
        let (mut fields, mut places) = (Fields::default(), BTreeMap::new());
        for (path, (found, at)) in std::mem::take(&mut reading.found) {
            let tenant = path.strip_prefix("customer/").and_then(|rest| rest.split('/').next());
            if let Some(name) = tenant.filter(|name| !name.is_empty()) {
                fields.0.insert(format!("customer/{name}/"), Scalar::Truth(true));
                places.entry(format!("customer/{name}/")).or_insert(at);
            }
            places.insert(path.clone(), at);
            match found {
                Found::One(value) => {
                    fields.0.insert(path, value);
                }
                Found::Many(list) => {
                    let word = |one: Scalar| match one {
                        Scalar::Word(word) => Some(word),
                        _ => None,
                    };
                    match list.into_iter().map(word).collect() {
                        Some(words) => {
                            fields.0.insert(path, Scalar::Words(words));
                        }
                        None => reading.fault(at, &path, "expected one value, or a list of words"),
                    }
                }
                Found::Nothing if fields.0.contains_key(&path) => {}
                // A job class with nothing in it lacks what it needs; another empty table says nothing.
                Found::Nothing if path.starts_with("use_case/") && path.len() > "use_case/".len() => {
                    reading.fault(at, &path, "expected at least goal_ms and cut_off_ms");
                }
                Found::Nothing if is_section(kind, &path) => {}
                Found::Nothing => reading.fault(at, &path, "there is no such table"),
            }
        }
        // What isn't TOML at all has no fields that could be missed.
        let faults =
            if fields.0.is_empty() && !reading.faults.is_empty() { Vec::new() } else { check(kind, &fields) };
        for (path, message) in faults {
            // What is missing is told at the first field beside it, and what has no place at the first line.
            let above = path.rsplit_once('/').map(|(above, _)| format!("{above}/"));
            let beside = above.and_then(|above| {
                let beside = places.range(above.clone()..).next();
                beside.filter(|(path, _)| path.starts_with(&above)).map(|(_, at)| *at)
            });
            reading.fault(places.get(&path).copied().or(beside).unwrap_or(0), &path, message);
        }
        if !reading.faults.is_empty() {
            reading.faults.sort_by_key(|fault| (fault.line, fault.column));
            return Err(reading.faults);
        }
        Ok(Document::of_checked(kind, fields))
    }

    /// A document from fields, as after a difference was made; `file` is how faults name it.
    pub fn of_fields(kind: Kind, fields: Fields, file: &str) -> Result<Document, Vec<Fault>> {
        let faults = check(kind, &fields);
        if faults.is_empty() {
            return Ok(Document::of_checked(kind, fields));
        }
        let fault = |(path, message): (String, String)| Fault {
            file: file.to_owned(),
            line: 0,
            column: 0,
            field: fields::shown(&path),
            message,
        };
        Err(faults.into_iter().map(fault).collect())
    }

    fn of_checked(kind: Kind, fields: Fields) -> Document {
        let digest = fields.digest();
        Document { kind, fields, digest }
    }

    pub fn kind(&self) -> Kind {
        self.kind
    }

    pub fn fields(&self) -> &Fields {
        &self.fields
    }

    pub fn digest(&self) -> Digest {
        self.digest
    }

    pub fn to_toml(&self) -> String {
        self.fields.to_toml()
    }

    /// The log level, if it is told.
    pub fn log(&self) -> Option<&str> {
        self.fields.word("log")
    }

    /// Descriptors, and memory in MB; taken in at a start.
    pub fn limits(&self) -> (Option<f64>, Option<f64>) {
        (self.fields.number("limits/sockets"), self.fields.number("limits/memory_mb"))
    }

    /// The addresses for a node: its own where there are such, else those for all.
    pub fn places(&self, node: &str) -> Places {
        let at = |what: &str| {
            let own = self.fields.word(&format!("node/{node}/{what}"));
            own.or_else(|| self.fields.word(&format!("addresses/{what}"))).and_then(|word| word.parse().ok())
        };
        Places { executor: at("executor"), registry: at("registry"), database: at("database") }
    }

    /// What the module takes. What the document leaves open in the promises is as in `usual`.
    pub fn serving(&self, usual: &ServiceLimits) -> Serving {
        let fields = &self.fields;
        let job_class = |name: &&str| {
            let number = |field: &str, absent: f64| {
                fields.number(&format!("use_case/{name}/{field}")).unwrap_or(absent)
            };
            let span = |field: &str| Span::from_ms(number(field, 0.0));
            let repeats = match fields.word(&format!("use_case/{name}/repeats")) {
                Some("numbered") => Idempotency::Keyed,
                Some("at-most-once") => Idempotency::AtMostOnce,
                _ => Idempotency::Idempotent,
            };
            let case = JobClass {
                latency_objective: span("goal_ms"),
                objective_per_work: number("goal_per_work", 0.0),
                deadline: span("cut_off_ms"),
                priority_weight: number("earnings", 1.0),
                late_weight_ratio: number("late_part", 0.0),
                idempotency: repeats,
                retry_window: span("window_ms"),
                calls_dependency: fields.truth(&format!("use_case/{name}/calls")).unwrap_or(true),
                weight_ratio_without_call: number("part_without_call", 0.0),
            };
            ((*name).to_owned(), case)
        };
        let tenant = |name: &&str| {
            let quota = fields.number(&format!("customer/{name}/quota_per_s")).unwrap_or(f64::INFINITY);
            ((*name).to_owned(), Tenant { quota_per_s: quota })
        };
        let span = |path: &str, usual: Span| fields.number(path).map_or(usual, Span::from_ms);
        Serving {
            job_classes: fields.names("use_case").iter().map(job_class).collect(),
            tenants: fields.names("customer").iter().map(tenant).collect(),
            promises: ServiceLimits {
                answer_slack: span("promises/answer_slack_ms", usual.answer_slack),
                cold_speed_ratio: fields.number("promises/cold_from").unwrap_or(usual.cold_speed_ratio),
                warm_up: span("promises/warm_up_ms", usual.warm_up),
                drain_grace: span("promises/drain_grace_ms", usual.drain_grace),
                max_jobs_per_core: fields
                    .number("promises/crowd_per_core")
                    .unwrap_or(usual.max_jobs_per_core),
            },
        }
    }
}

fn is_section(kind: Kind, path: &str) -> bool {
    kind.fields().iter().any(|field| {
        field.path.starts_with(path) || path.strip_prefix("node/").is_some_and(|rest| rest.len() > 1)
    })
}
