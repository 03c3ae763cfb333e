//! The operator's own file: what of the program beyond the platform's side is switched on, and how. One table a part.

use crate::fault::Fault;
use crate::fields::{Holds, Scalar};
use crate::read::{Found, Reading};
use hazelgrade::time::Span;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Control services that a node may know.
const MOST_CONTROLS: usize = 8;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// Streamed configuration; off without it.
    pub stream: Option<Streamed>,
    /// Who callers are and what they may ask for; without it nobody is asked.
    pub identity: Option<Identified>,
    /// Limits that hold for all nodes together; without it none are followed.
    pub budgets: Option<Budgeted>,
    /// TLS on the client front; without it connections are plain.
    pub tls: Option<Encrypted>,
    /// What makes a node fail, for tests of groups of them; refused where the platform starts it.
    pub for_tests: Option<ForTests>,
}

/// Failures that only the program itself can bring about, for tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForTests {
    /// The process is killed at this write, change of length or sync of its store, counted from 0; of a write half is done.
    pub store_dies_at: Option<u64>,
    /// How far its clock is off, in milliseconds, and how fast it runs.
    pub clock_off_ms: f64,
    pub clock_rate: f64,
}

/// How a node takes its parts of budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct Budgeted {
    /// The budgets that a node goes by that has kept none yet.
    pub document: Option<PathBuf>,
    /// The budget of calls below. Without any word of a keeper there are none but what is named in `alone`.
    pub in_hand: Option<String>,
    /// What this node may use of a budget without any keeper. The operator sees to it that these stay, over all nodes that
    /// may run at a site, within what the document sets aside there.
    pub alone: BTreeMap<String, u32>,
    pub trial: Trial,
}

/// The files of TLS, in PEM; read again on SIGHUP.
#[derive(Clone, Debug, PartialEq)]
pub struct Encrypted {
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// Whose certificates clients may show; without it they are not asked for any.
    pub clients: Option<PathBuf>,
    /// A list of revoked ones of these.
    pub revoked: Option<PathBuf>,
}

/// Where keys, callers and rights come from.
#[derive(Clone, Debug, PartialEq)]
pub struct Identified {
    /// The identity document of a node that follows no control service for it, or has kept nothing yet.
    pub document: Option<PathBuf>,
    /// Follow the control services of `[stream]` for it too.
    pub streamed: bool,
    /// How an identity document is tried out: short, for a revocation waits for the trial before it.
    pub trial: Trial,
}

/// An identity document shows within a second whether callers' tokens are still known.
const IDENTITY_TRIAL_MS: f64 = 1000.0;

/// How a node takes its configuration from a control service.
#[derive(Clone, Debug, PartialEq)]
pub struct Streamed {
    /// Where control services listen; one at a time is used.
    pub control: Vec<SocketAddr>,
    /// The file that keeps the last good version.
    pub store: PathBuf,
    /// What a node starts by that has kept nothing yet; without it such a node waits, not ready.
    pub document: Option<PathBuf>,
    /// Only versions of this lineage are taken; without it, of the first that is heard of.
    pub lineage: Option<String>,
    pub trial: Trial,
}

/// How a version is tried out before it counts as good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// How long it serves on trial, and how long before it is compared with.
    pub span: Span,
    /// It fails if the part of jobs that were succeeded falls by more than this part of what it was before.
    pub fall: f64,
    /// Fewer jobs on either side prove nothing.
    pub least_jobs: f64,
}

impl Default for Trial {
    /// Ten seconds see a few of the longest latency objectives; a fall by a fifth is past what days differ by from one ten
    /// seconds to the next; in fifty jobs, ten more failures are past chance.
    fn default() -> Trial {
        Trial { span: Span::from_ms(10_000.0), fall: 0.2, least_jobs: 50.0 }
    }
}

struct Parts {
    reading: Reading,
    found: BTreeMap<String, (Found, usize)>,
}

impl Parts {
    fn one(&mut self, path: &str, holds: Option<Holds>) -> Option<Scalar> {
        let (found, at) = self.found.remove(path)?;
        let Found::One(value) = found else {
            self.reading.fault(at, path, "expected one value");
            return None;
        };
        if let Some(expected) = holds.and_then(|holds| holds.misfit(&value)) {
            self.reading.fault(at, path, expected);
            return None;
        }
        Some(value)
    }

    fn number(&mut self, path: &str, holds: Holds) -> Option<f64> {
        match self.one(path, Some(holds)) {
            Some(Scalar::Number(number)) => Some(number),
            _ => None,
        }
    }

    fn word(&mut self, path: &str) -> Option<String> {
        let at = self.found.get(path).map_or(0, |(_, at)| *at);
        match self.one(path, None)? {
            Scalar::Word(word) if !word.is_empty() => Some(word),
            _ => {
                self.reading.fault(at, path, "expected a word");
                None
            }
        }
    }

    fn addresses(&mut self, path: &str) -> Vec<SocketAddr> {
        let Some((found, at)) = self.found.remove(path) else {
            self.reading.fault(0, path, "is missing");
            return Vec::new();
        };
        let list = match found {
            Found::Many(list) => list,
            Found::One(one) => vec![one],
            Found::Nothing => Vec::new(),
        };
        let parsed: Option<Vec<SocketAddr>> = list
            .iter()
            .map(|one| match one {
                Scalar::Word(word) => word.parse().ok(),
                _ => None,
            })
            .collect();
        match parsed.filter(|list| (1..=MOST_CONTROLS).contains(&list.len())) {
            Some(list) => list,
            None => {
                let expected = format!("expected 1 to {MOST_CONTROLS} addresses like \"127.0.0.1:7400\"");
                self.reading.fault(at, path, expected);
                Vec::new()
            }
        }
    }
}

impl Parts {
    fn tls(&mut self) -> Option<Encrypted> {
        if !self.found.keys().any(|path| path.starts_with("tls/")) {
            return None;
        }
        self.found.remove("tls/");
        let mut needed = |field: &str| {
            let word = self.word(field);
            if word.is_none() {
                self.reading.fault(0, field, "is missing");
            }
            PathBuf::from(word.unwrap_or_default())
        };
        let (certificate, key) = (needed("tls/certificate"), needed("tls/key"));
        let clients = self.word("tls/clients").map(PathBuf::from);
        let at = self.found.get("tls/revoked").map_or(0, |(_, at)| *at);
        let revoked = self.word("tls/revoked").map(PathBuf::from);
        if revoked.is_some() && clients.is_none() {
            self.reading.fault(
                at,
                "tls/revoked",
                "expected tls.clients too: it says whose certificates are meant",
            );
        }
        Some(Encrypted { certificate, key, clients, revoked })
    }

    fn for_tests(&mut self) -> Option<ForTests> {
        if !self.found.keys().any(|path| path.starts_with("for_tests_only/")) {
            return None;
        }
        self.found.remove("for_tests_only/");
        let dies_at = self.number("for_tests_only/store_dies_at", Holds::Whole(0.0, 1e9));
        let off = self.number("for_tests_only/clock_off_ms", Holds::Number(-1e9, 1e9));
        let rate = self.number("for_tests_only/clock_rate", Holds::Number(0.1, 10.0));
        Some(ForTests {
            store_dies_at: dies_at.map(|at| at as u64),
            clock_off_ms: off.unwrap_or(0.0),
            clock_rate: rate.unwrap_or(1.0),
        })
    }

    fn budgets(&mut self, stream: bool) -> Option<Budgeted> {
        if !self.found.keys().any(|path| path.starts_with("budgets/")) {
            return None;
        }
        self.found.remove("budgets/");
        self.found.remove("budgets/alone/");
        let document = self.word("budgets/document").map(PathBuf::from);
        let in_hand = self.word("budgets/in_hand");
        if !stream {
            let expected = "expected a table [stream] too: it names the control services, where keepers are";
            self.reading.fault(0, "budgets", expected);
        }
        let named: Vec<String> = self
            .found
            .keys()
            .filter_map(|path| path.strip_prefix("budgets/alone/"))
            .map(str::to_owned)
            .collect();
        let mut alone = BTreeMap::new();
        for name in named {
            let units = self.number(&format!("budgets/alone/{name}"), Holds::Whole(0.0, 1e6));
            alone.extend(units.map(|units| (name, units as u32)));
        }
        let span = self.number("budgets/trial_ms", Holds::Number(100.0, 3_600_000.0));
        let usual = Trial::default();
        let trial = Trial { span: span.map_or(usual.span, Span::from_ms), ..usual };
        Some(Budgeted { document, in_hand, alone, trial })
    }

    fn identity(&mut self, stream: bool) -> Option<Identified> {
        if !self.found.keys().any(|path| path.starts_with("identity/")) {
            return None;
        }
        self.found.remove("identity/");
        let document = self.word("identity/document").map(PathBuf::from);
        let at = self.found.get("identity/streamed").map_or(0, |(_, at)| *at);
        let streamed = self.one("identity/streamed", Some(Holds::Truth)) == Some(Scalar::Truth(true));
        if streamed && !stream {
            self.reading.fault(
                at,
                "identity/streamed",
                "expected a table [stream] too: it names the control services",
            );
        }
        if !streamed && document.is_none() {
            self.reading.fault(
                0,
                "identity/document",
                "is missing: with streamed = false there is no other source",
            );
        }
        let span = self.number("identity/trial_ms", Holds::Number(100.0, 3_600_000.0));
        let trial = Trial { span: Span::from_ms(span.unwrap_or(IDENTITY_TRIAL_MS)), ..Trial::default() };
        Some(Identified { document, streamed, trial })
    }
}

impl Operator {
    /// Reads the operator's file; on failure gives all faults, each with its line.
    pub fn read(text: &str, file: &str) -> Result<Operator, Vec<Fault>> {
        let mut reading = Reading::of(text, file);
        let found = std::mem::take(&mut reading.found);
        let mut parts = Parts { reading, found };
        let mut stream = None;
        if parts.found.keys().any(|path| path.starts_with("stream/")) {
            parts.found.remove("stream/");
            parts.found.remove("stream/trial/");
            let control = parts.addresses("stream/control");
            let store = parts.word("stream/store");
            if store.is_none() && !parts.reading.faults.iter().any(|fault| fault.field == "stream.store") {
                parts.reading.fault(0, "stream/store", "is missing");
            }
            let document = parts.word("stream/document").map(PathBuf::from);
            let lineage = parts.word("stream/lineage");
            let usual = Trial::default();
            let span = parts.number("stream/trial/span_ms", Holds::Number(100.0, 3_600_000.0));
            let fall = parts.number("stream/trial/fall", Holds::Number(0.01, 1.0));
            let least_jobs = parts.number("stream/trial/least_jobs", Holds::Whole(1.0, 1e6));
            let trial = Trial {
                span: span.map_or(usual.span, Span::from_ms),
                fall: fall.unwrap_or(usual.fall),
                least_jobs: least_jobs.unwrap_or(usual.least_jobs),
            };
            let store = PathBuf::from(store.unwrap_or_default());
            stream = Some(Streamed { control, store, document, lineage, trial });
        }
        let identity = parts.identity(stream.is_some());
        let budgets = parts.budgets(stream.is_some());
        let tls = parts.tls();
        let for_tests = parts.for_tests();
        for (path, (_, at)) in std::mem::take(&mut parts.found) {
            parts.reading.fault(at, &path, "there is no such field");
        }
        match parts.reading.faults {
            faults if faults.is_empty() => Ok(Operator { stream, identity, budgets, tls, for_tests }),
            faults => Err(faults),
        }
    }
}
