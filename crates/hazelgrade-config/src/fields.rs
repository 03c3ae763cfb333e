//! What fields there are: the one table. A document is a map from paths to plain values; the digest, differences and
//! checks of type and range follow from it.

use crate::version::Digest;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// When a field takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Takes {
    /// Between two rounds, while jobs are in hand.
    Live,
    /// When the program starts the next time; until then it is staged.
    AtStart,
}

/// A plain value.
#[derive(Clone, Debug, PartialEq)]
pub enum Scalar {
    Truth(bool),
    Number(f64),
    Word(String),
    /// A list of words, in its order.
    Words(Vec<String>),
}

impl Scalar {
    fn to_json(&self) -> Value {
        match self {
            Scalar::Truth(truth) => json!(truth),
            Scalar::Number(number) => json!(number),
            Scalar::Word(word) => json!(word),
            Scalar::Words(words) => json!(words),
        }
    }

    fn of_json(value: &Value) -> Option<Scalar> {
        match value {
            Value::Bool(truth) => Some(Scalar::Truth(*truth)),
            Value::Number(number) => number.as_f64().map(Scalar::Number),
            Value::String(word) => Some(Scalar::Word(word.clone())),
            Value::Array(list) => {
                let words: Option<Vec<String>> =
                    list.iter().map(|word| word.as_str().map(str::to_owned)).collect();
                words.map(Scalar::Words)
            }
            _ => None,
        }
    }

    /// The one way in which a value is written: 60 and 60.0 are the same.
    fn canonical(&self) -> String {
        match self {
            Scalar::Truth(truth) => format!("t{truth}"),
            Scalar::Number(number) => format!("n{}", if *number == 0.0 { 0.0 } else { *number }),
            Scalar::Word(word) => format!("w{word}"),
            // JSON, so that no two lists are written alike.
            Scalar::Words(words) => format!("l{}", json!(words)),
        }
    }
}

/// What a field may hold.
#[derive(Clone, Copy, Debug)]
pub enum Holds {
    Truth,
    /// A number in this range, both ends included.
    Number(f64, f64),
    Whole(f64, f64),
    Word(&'static [&'static str]),
    /// Any word without spaces, so long at most.
    Text(usize),
    /// A list of such words, so many at most; one word may stand for a list of one.
    Words(usize),
    Address,
}

/// The longest word in a list.
const LONGEST_WORD: usize = 256;

fn is_text(word: &str, longest: usize) -> bool {
    (1..=longest).contains(&word.len()) && word.bytes().all(|byte| byte.is_ascii_graphic())
}

impl Holds {
    /// What was expected, if the value is not that.
    pub fn misfit(&self, value: &Scalar) -> Option<String> {
        let fits = match (self, value) {
            (Holds::Truth, Scalar::Truth(_)) => true,
            (Holds::Number(least, most), Scalar::Number(number)) => (*least..=*most).contains(number),
            (Holds::Whole(least, most), Scalar::Number(number)) => {
                (*least..=*most).contains(number) && number.fract() == 0.0
            }
            (Holds::Word(words), Scalar::Word(word)) => words.contains(&word.as_str()),
            (Holds::Text(longest), Scalar::Word(word)) => is_text(word, *longest),
            (Holds::Words(most), Scalar::Words(words)) => {
                words.len() <= *most && words.iter().all(|word| is_text(word, LONGEST_WORD))
            }
            (Holds::Address, Scalar::Word(word)) => word.parse::<SocketAddr>().is_ok(),
            _ => false,
        };
        (!fits).then(|| match self {
            Holds::Truth => "expected true or false".into(),
            Holds::Number(least, most) => format!("expected a number from {least} to {most}"),
            Holds::Whole(least, most) => format!("expected a whole number from {least} to {most}"),
            Holds::Word(words) => format!("expected one of {}", words.join(", ")),
            Holds::Text(longest) => format!("expected a word without spaces of {longest} characters at most"),
            Holds::Words(most) => format!("expected a list of {most} words at most, without spaces"),
            Holds::Address => "expected an address like 127.0.0.1:9090".into(),
        })
    }
}

/// One line of the table. In `path`, `*` stands for the name of a job class, a tenant or a node.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    pub path: &'static str,
    pub holds: Holds,
    pub takes: Takes,
    pub needed: bool,
}

const fn field(path: &'static str, holds: Holds, takes: Takes) -> Field {
    Field { path, holds, takes, needed: false }
}

const fn needed(path: &'static str, holds: Holds) -> Field {
    Field { path, holds, takes: Takes::Live, needed: true }
}

use Holds::{Address, Number, Text, Truth, Whole, Word, Words};
use Takes::{AtStart, Live};

/// Times up to a day: longer ones are slips of units.
const DAY_MS: f64 = 86_400_000.0;

pub const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
pub const REPEATS: [&str; 3] = ["reissuable", "numbered", "at-most-once"];

pub const FIELDS: [Field; 25] = [
    field("log", Word(&LEVELS), Live),
    field("addresses/executor", Address, Live),
    field("addresses/registry", Address, Live),
    field("addresses/database", Address, Live),
    field("node/*/executor", Address, Live),
    field("node/*/registry", Address, Live),
    field("node/*/database", Address, Live),
    field("limits/sockets", Whole(32.0, 1e6), AtStart),
    field("limits/memory_mb", Number(1.0, 1e6), AtStart),
    field("promises/answer_slack_ms", Number(0.0, DAY_MS), Live),
    field("promises/cold_from", Number(0.001, 1.0), Live),
    field("promises/warm_up_ms", Number(0.0, DAY_MS), Live),
    field("promises/drain_grace_ms", Number(0.0, DAY_MS), Live),
    field("promises/crowd_per_core", Number(1.0, 1e6), Live),
    needed("use_case/*/goal_ms", Number(0.001, DAY_MS)),
    needed("use_case/*/cut_off_ms", Number(0.001, DAY_MS)),
    field("use_case/*/goal_per_work", Number(0.0, 1e6), Live),
    field("use_case/*/earnings", Number(0.0, 1e9), Live),
    field("use_case/*/late_part", Number(0.0, 1.0), Live),
    field("use_case/*/repeats", Word(&REPEATS), Live),
    field("use_case/*/window_ms", Number(0.0, DAY_MS), Live),
    field("use_case/*/calls", Truth, Live),
    field("use_case/*/part_without_call", Number(0.0, 1.0), Live),
    field("customer/*/quota_per_s", Number(0.0, 1e9), Live),
    // Says that a tenant exists, of which nothing else need be said.
    field("customer/*/", Truth, Live),
];

pub const ALGORITHMS: [&str; 2] = ["EdDSA", "ES256"];

/// Seconds since 1970, up to the year 5000.
const MOMENT: Holds = Number(0.0, 1e11);

const fn needed_text(path: &'static str, longest: usize) -> Field {
    needed(path, Text(longest))
}

/// Who callers are and what they may ask for: a kind of document of its own, all of it live.
pub const IDENTITY_FIELDS: [Field; 19] = [
    needed_text("audience", 256),
    field("skew_s", Number(0.0, 600.0), Live),
    field("longest_token_s", Number(1.0, 31_536_000.0), Live),
    needed("key/*/algorithm", Word(&ALGORITHMS)),
    needed_text("key/*/x", 64),
    field("key/*/y", Text(64), Live),
    needed("key/*/active_from_s", MOMENT),
    field("key/*/signs_until_s", MOMENT, Live),
    needed("key/*/valid_until_s", MOMENT),
    field("key/*/revoked", Truth, Live),
    needed("caller/*/use_cases", Words(64)),
    needed("caller/*/customers", Words(4096)),
    field("caller/*/networks", Words(64), Live),
    field("caller/*/certificates", Words(16), Live),
    field("caller/*/jobs_per_s", Number(0.0, 1e9), Live),
    field("caller/*/revoked", Truth, Live),
    field("revoked/tokens", Words(4096), Live),
    field("revoked/certificates", Words(4096), Live),
    field("revoked/keys", Words(64), Live),
];

pub const MEASURES: [&str; 3] = ["in-hand", "rate", "tries"];

/// Limits that hold for all nodes together: a kind of document of its own, all of it live.
pub const BUDGET_FIELDS: [Field; 10] = [
    needed("budget/*/measure", Word(&MEASURES)),
    needed("budget/*/whole", Whole(1.0, 1e6)),
    field("budget/*/site/*", Whole(0.0, 1e6), Live),
    field("budget/*/set_aside", Whole(0.0, 1e6), Live),
    field("budget/*/floor", Whole(0.0, 1e6), Live),
    field("budget/*/burst", Whole(1.0, 1e6), Live),
    field("budget/*/part", Number(0.001, 10.0), Live),
    // A death costs a lease; below the shortest, asking for it would be most of what is said.
    field("budget/*/lease_ms", Number(200.0, 10_000.0), Live),
    field("budget/*/longest_use_ms", Number(10.0, 60_000.0), Live),
    field("budget/*/customer", Text(LONGEST_NAME), Live),
];

/// What a document is about. Each kind is versioned, tried and kept by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Job classes, tenants, promises, limits, addresses.
    #[default]
    Serving,
    /// Keys, callers, rights.
    Identity,
    /// Limits that hold for all nodes together.
    Budgets,
}

impl Kind {
    pub const ALL: [Kind; 3] = [Kind::Serving, Kind::Identity, Kind::Budgets];

    /// As on the wire.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Serving => "serving",
            Kind::Identity => "identity",
            Kind::Budgets => "budgets",
        }
    }

    pub fn of_word(word: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.word() == word)
    }

    pub fn fields(self) -> &'static [Field] {
        match self {
            Kind::Serving => &FIELDS,
            Kind::Identity => &IDENTITY_FIELDS,
            Kind::Budgets => &BUDGET_FIELDS,
        }
    }

    /// The line of the table that a path belongs to.
    pub fn known(self, path: &str) -> Option<&'static Field> {
        self.fields().iter().find(|field| matches(path, field.path))
    }
}

/// The longest name of a job class, tenant or node, in bytes.
pub const LONGEST_NAME: usize = 64;

pub fn is_name(name: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
    (1..=LONGEST_NAME).contains(&name.len()) && name.bytes().all(fits)
}

fn matches(path: &str, of_table: &str) -> bool {
    let (mut parts, mut of_table) = (path.split('/'), of_table.split('/'));
    loop {
        match (parts.next(), of_table.next()) {
            (None, None) => return true,
            (Some(part), Some("*")) if is_name(part) => {}
            (Some(part), Some(same)) if part == same => {}
            _ => return false,
        }
    }
}

/// A path as people read it.
pub fn shown(path: &str) -> String {
    path.trim_end_matches('/').replace('/', ".")
}

/// The fields of a document, in the order of their paths.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields(pub BTreeMap<String, Scalar>);

/// What turns one document into another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Difference {
    pub set: BTreeMap<String, Scalar>,
    pub gone: Vec<String>,
}

impl Fields {
    pub fn get(&self, path: &str) -> Option<&Scalar> {
        self.0.get(path)
    }

    pub fn number(&self, path: &str) -> Option<f64> {
        match self.get(path) {
            Some(Scalar::Number(number)) => Some(*number),
            _ => None,
        }
    }

    pub fn word(&self, path: &str) -> Option<&str> {
        match self.get(path) {
            Some(Scalar::Word(word)) => Some(word),
            _ => None,
        }
    }

    pub fn words(&self, path: &str) -> &[String] {
        match self.get(path) {
            Some(Scalar::Words(words)) => words,
            _ => &[],
        }
    }

    pub fn truth(&self, path: &str) -> Option<bool> {
        match self.get(path) {
            Some(Scalar::Truth(truth)) => Some(*truth),
            _ => None,
        }
    }

    /// The names under `job_class`, `tenant` or `node`, in order.
    pub fn names(&self, section: &str) -> Vec<&str> {
        let from = format!("{section}/");
        let under = self.0.range(from.clone()..).take_while(|(path, _)| path.starts_with(&from));
        let mut names: Vec<&str> = under.filter_map(|(path, _)| path.split('/').nth(1)).collect();
        // Names sort as parts of paths, where a name and one that goes on after it may be mixed.
        names.sort_unstable();
        names.dedup();
        names
    }

    pub fn digest(&self) -> Digest {
        Digest::of(self.0.iter().flat_map(|(path, value)| [path.clone(), value.canonical()]))
    }

    /// What has to be done to `self` for it to be `next`.
    pub fn difference(&self, next: &Fields) -> Difference {
        let set = next.0.iter().filter(|(path, value)| self.get(path) != Some(value));
        let gone = self.0.keys().filter(|path| !next.0.contains_key(*path));
        Difference {
            set: set.map(|(path, value)| (path.clone(), value.clone())).collect(),
            gone: gone.cloned().collect(),
        }
    }

    /// The fields with a difference made; `None` if it takes away what is not there.
    pub fn with(&self, difference: &Difference) -> Option<Fields> {
        let mut fields = self.clone();
        for path in &difference.gone {
            fields.0.remove(path)?;
        }
        fields.0.extend(difference.set.iter().map(|(path, value)| (path.clone(), value.clone())));
        Some(fields)
    }

    /// The fields as a document in TOML; reading it gives the same fields.
    pub fn to_toml(&self) -> String {
        let mut text = String::new();
        let mut section = String::new();
        // Fields of no section come first, as TOML wants it.
        let plain = self.0.iter().filter(|(path, _)| !path.contains('/'));
        for (path, value) in plain.chain(self.0.iter().filter(|(path, _)| path.contains('/'))) {
            let (of, name) = path.rsplit_once('/').unwrap_or(("", path));
            if of != section {
                let quoted: Vec<String> = of.split('/').map(key).collect();
                text.push_str(&format!("\n[{}]\n", quoted.join(".")));
                section = of.to_owned();
            }
            match value {
                _ if name.is_empty() => {}
                Scalar::Truth(truth) => text.push_str(&format!("{name} = {truth}\n")),
                Scalar::Number(number) => text.push_str(&format!("{name} = {}\n", written(*number))),
                Scalar::Word(word) => text.push_str(&format!("{name} = {}\n", json!(word))),
                Scalar::Words(words) => text.push_str(&format!("{name} = {}\n", json!(words))),
            }
        }
        text
    }
}

fn key(part: &str) -> String {
    let plain = part.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-');
    if plain { part.to_owned() } else { json!(part).to_string() }
}

fn written(number: f64) -> String {
    if number.fract() == 0.0 && number.abs() < 1e15 { format!("{number:.0}") } else { format!("{number:?}") }
}

impl Difference {
    /// How many fields it touches.
    pub fn count(&self) -> usize {
        self.set.len() + self.gone.len()
    }

    /// The fields that it touches, and what only a start takes in of them.
    pub fn staged(&self) -> Vec<String> {
        let touched = self.set.keys().chain(&self.gone);
        let at_start = touched
            .filter(|path| Kind::Serving.known(path).is_some_and(|field| field.takes == Takes::AtStart));
        at_start.map(|path| shown(path)).collect()
    }

    pub fn to_json(&self) -> Value {
        let set: Map<String, Value> =
            self.set.iter().map(|(path, value)| (path.clone(), value.to_json())).collect();
        json!({"set": set, "gone": self.gone})
    }

    pub fn of_json(value: &Value) -> Result<Difference, String> {
        let set = value.get("set").and_then(Value::as_object).ok_or("field set: expected an object")?;
        let gone = value.get("gone").and_then(Value::as_array).ok_or("field gone: expected a list")?;
        let mut difference = Difference::default();
        for (path, value) in set {
            let value = Scalar::of_json(value)
                .ok_or_else(|| format!("field set.{}: expected a plain value", shown(path)))?;
            difference.set.insert(path.clone(), value);
        }
        for path in gone {
            difference.gone.push(path.as_str().ok_or("field gone: expected a list of paths")?.to_owned());
        }
        Ok(difference)
    }
}
