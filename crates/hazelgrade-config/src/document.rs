//! The document: what a node serves by. Read from text or made from fields, and checked as a whole either way.

use crate::LONGEST_DOCUMENT;
use crate::fault::Fault;
use crate::fields::{self, Fields, Scalar};
use crate::read::{Found, Reading};
use crate::version::Digest;
use hazelgrade::desk::{Customer, Promises, Repeats, UseCase};
use hazelgrade::time::Span;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Use cases in a document: those of a large site several times over, and few enough to go through at each job.
pub const MOST_USE_CASES: usize = 64;
/// Customers in a document.
pub const MOST_CUSTOMERS: usize = 4096;
/// Nodes that have addresses of their own in a document.
pub const MOST_NODES: usize = 4096;

/// A document that was checked: what it says can be served.
#[derive(Clone, PartialEq)]
pub struct Document {
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
    pub use_cases: Vec<(String, UseCase)>,
    pub customers: Vec<(String, Customer)>,
    pub promises: Promises,
}

/// Notes faults by path.
struct Check<'a> {
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
            match fields::known(path) {
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
        let use_cases = fields.names("use_case");
        if use_cases.is_empty() {
            self.fault("use_case", "expected at least one use case, like [use_case.slot-search]");
        }
        for (section, most) in
            [("use_case", MOST_USE_CASES), ("customer", MOST_CUSTOMERS), ("node", MOST_NODES)]
        {
            let count = fields.names(section).len();
            if count > most {
                self.fault(section, format!("expected {most} at most, not {count}"));
            }
        }
        for name in &use_cases {
            let at = |field: &str| format!("use_case/{name}/{field}");
            for field in fields::FIELDS.iter().filter(|field| field.needed) {
                let path = field.path.replace('*', name);
                if fields.get(&path).is_none() {
                    self.fault(&path, "is missing");
                }
            }
            let (goal, cut_off) = (fields.number(&at("goal_ms")), fields.number(&at("cut_off_ms")));
            if goal.zip(cut_off).is_some_and(|(goal, cut_off)| goal > cut_off) {
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
        if !use_cases.is_empty() && !use_cases.iter().any(earns) {
            self.fault("use_case", "expected at least one use case that earns something");
        }
    }
}

fn check(fields: &Fields) -> Vec<(String, String)> {
    let mut check = Check { fields, faults: Vec::new() };
    check.each();
    check.whole();
    check.faults
}

impl Document {
    /// Reads a document; on failure gives all faults, each with its line. `file` is how they name the text.
    pub fn read(text: &str, file: &str) -> Result<Document, Vec<Fault>> {
        if text.len() > LONGEST_DOCUMENT {
            let message = format!("expected {LONGEST_DOCUMENT} bytes at most, not {}", text.len());
            let file = file.to_owned();
            return Err(vec![Fault { file, line: 1, column: 1, field: String::new(), message }]);
        }
        let mut reading = Reading::of(text, file);
        let (mut fields, mut places) = (Fields::default(), BTreeMap::new());
        for (path, (found, at)) in std::mem::take(&mut reading.found) {
            let customer = path.strip_prefix("customer/").and_then(|rest| rest.split('/').next());
            if let Some(name) = customer.filter(|name| !name.is_empty()) {
                fields.0.insert(format!("customer/{name}/"), Scalar::Truth(true));
                places.entry(format!("customer/{name}/")).or_insert(at);
            }
            places.insert(path.clone(), at);
            match found {
                Found::One(value) => {
                    fields.0.insert(path, value);
                }
                Found::Many(_) => reading.fault(at, &path, "expected one value, not a list"),
                Found::Nothing if fields.0.contains_key(&path) => {}
                // A use case with nothing in it lacks what it needs; another empty table says nothing.
                Found::Nothing if path.starts_with("use_case/") && path.len() > "use_case/".len() => {
                    reading.fault(at, &path, "expected at least goal_ms and cut_off_ms");
                }
                Found::Nothing if is_section(&path) => {}
                Found::Nothing => reading.fault(at, &path, "there is no such table"),
            }
        }
        // What isn't TOML at all has no fields that could be missed.
        let faults =
            if fields.0.is_empty() && !reading.faults.is_empty() { Vec::new() } else { check(&fields) };
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
        Ok(Document::of_checked(fields))
    }

    /// A document from fields, as after a difference was made; `file` is how faults name it.
    pub fn of_fields(fields: Fields, file: &str) -> Result<Document, Vec<Fault>> {
        let faults = check(&fields);
        if faults.is_empty() {
            return Ok(Document::of_checked(fields));
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

    fn of_checked(fields: Fields) -> Document {
        let digest = fields.digest();
        Document { fields, digest }
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
    pub fn serving(&self, usual: &Promises) -> Serving {
        let fields = &self.fields;
        let use_case = |name: &&str| {
            let number = |field: &str, absent: f64| {
                fields.number(&format!("use_case/{name}/{field}")).unwrap_or(absent)
            };
            let span = |field: &str| Span::from_ms(number(field, 0.0));
            let repeats = match fields.word(&format!("use_case/{name}/repeats")) {
                Some("numbered") => Repeats::Numbered,
                Some("at-most-once") => Repeats::AtMostOnce,
                _ => Repeats::Reissuable,
            };
            let case = UseCase {
                goal: span("goal_ms"),
                goal_per_work: number("goal_per_work", 0.0),
                cut_off: span("cut_off_ms"),
                earnings: number("earnings", 1.0),
                late_part: number("late_part", 0.0),
                repeats,
                window: span("window_ms"),
                calls: fields.truth(&format!("use_case/{name}/calls")).unwrap_or(true),
                part_without_call: number("part_without_call", 0.0),
            };
            ((*name).to_owned(), case)
        };
        let customer = |name: &&str| {
            let quota = fields.number(&format!("customer/{name}/quota_per_s")).unwrap_or(f64::INFINITY);
            ((*name).to_owned(), Customer { quota })
        };
        let span = |path: &str, usual: Span| fields.number(path).map_or(usual, Span::from_ms);
        Serving {
            use_cases: fields.names("use_case").iter().map(use_case).collect(),
            customers: fields.names("customer").iter().map(customer).collect(),
            promises: Promises {
                answer_slack: span("promises/answer_slack_ms", usual.answer_slack),
                cold_from: fields.number("promises/cold_from").unwrap_or(usual.cold_from),
                warm_up: span("promises/warm_up_ms", usual.warm_up),
                drain_grace: span("promises/drain_grace_ms", usual.drain_grace),
                crowd_per_core: fields.number("promises/crowd_per_core").unwrap_or(usual.crowd_per_core),
            },
        }
    }
}

fn is_section(path: &str) -> bool {
    fields::FIELDS.iter().any(|field| {
        field.path.starts_with(path) || path.strip_prefix("node/").is_some_and(|rest| rest.len() > 1)
    })
}
