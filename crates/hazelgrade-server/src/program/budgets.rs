//! Budgets that all nodes share: the node's side on the stream, and the operator's words to a keeper.

use super::configuration::Deployment;
use super::streaming::Kit;
use crate::routing::budgets::Seat;
use crate::routing::job::Parts;
use crate::routing::rounds::Event;
use futures_lite::future::{BoxedLocal, FutureExt};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Time;
use hazelgrade_budget::lease_holder::LeaseHolder;
use hazelgrade_budget::lessor::BudgetReport;
use hazelgrade_budget::protocol::OperatorCommand;
use hazelgrade_budget::terms;
use hazelgrade_config::operator::{Budgeted, Streamed};
use hazelgrade_config::{Document, Kind, fault};
use hazelgrade_net::bell::Bell;
use hazelgrade_store::Store;
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::follow::{Follow, Host};
use hazelgrade_stream::keeping::{self, Metrics};
use hazelgrade_stream::kept::{self, Kept};
use hazelgrade_stream::protocol::{Published, Said};
use hazelgrade_stream::service;
use hazelgrade_stream::subscriber::{Action, Start, Subscriber};
use hazelgrade_stream::trial::Sample;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use pico_args::Arguments;
use serde_json::Value;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

const FAULTS_NAMED: usize = 5;
const WORD_WITHIN: Duration = Duration::from_secs(5);

/// Reads a document of budgets from a file.
pub fn read_document(path: &Path) -> Result<Document, String> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{shown}: {error}"))?;
    let read = Document::read_as(Kind::Budgets, &text, &shown);
    read.map_err(|faults| fault::lines(&faults, FAULTS_NAMED))
}

pub type Following = (Follow<Node>, Subscriber, Vec<Action>);

/// Switches budgets on. Until a keeper grants some, calls below are bounded by what the node may use alone.
pub fn start(
    budgeted: &Budgeted,
    streamed: &Streamed,
    kit: &Kit,
    deployment: &Deployment,
    parts: &Rc<Parts>,
    rate: f64,
) -> Result<Following, String> {
    let file = budgeted.document.as_deref().map(read_document).transpose()?;
    // Two processes under one name are two holders, so it can't be made from the name or the seed.
    let run = RandomState::new().hash_one((SystemTime::now(), std::process::id()));
    let start = Time::from_ms(0.0);
    let holder = LeaseHolder::new(start, &deployment.name, run, &budgeted.alone, MultiplyWithCarry::new(run));
    let linger = parts.site.borrow().linger;
    let seat = Rc::new(Seat::new(holder, budgeted.in_hand.clone(), linger, rate));
    seat.bind(&BTreeMap::new());
    parts.rounds.by_budgets(seat.clone());
    let store = kit.store.clone();
    let kept = store.as_ref().ok().and_then(|store| {
        let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
        store.get(kept::name(Kind::Budgets)).ok().flatten()
    });
    let kept = match kept.as_deref().map(|kept| Kept::decode(Kind::Budgets, kept)).transpose() {
        Ok(kept) => kept.unwrap_or_default(),
        Err(why) => {
            tracing::error!(why, "the budgets that were kept can't be read");
            Kept::default()
        }
    };
    let start = Start {
        kind: Kind::Budgets,
        node: deployment.name.clone(),
        program: env!("CARGO_PKG_VERSION").into(),
        lineage: streamed.lineage.clone(),
        rules: budgeted.trial,
        controls: streamed.control.len(),
        chance: MultiplyWithCarry::new(deployment.seed.rotate_left(8)),
        backoff: Backoff::default(),
        kept,
        file,
    };
    let mut first = Vec::new();
    let subscriber = Subscriber::start(parts.rounds.clock.now(), start, &mut first);
    let host = Rc::new(Node { parts: parts.clone(), seat, store, told: Cell::default() });
    let (controls, tasks) = (streamed.control.clone(), Rc::default());
    Ok((Follow { host, controls, tasks, leaving: Rc::new(Bell::default()) }, subscriber, first))
}

/// What budgets reach of a node.
pub struct Node {
    parts: Rc<Parts>,
    seat: Rc<Seat>,
    store: Result<Arc<Mutex<Store>>, String>,
    told: Cell<(u64, u64)>,
}

impl Node {
    /// The module goes by what is allowed now.
    fn allow(&self) {
        let rounds = &self.parts.rounds;
        if let Some(allowance) = self.seat.allowance(rounds.clock.now()) {
            rounds.tell(Event::Allowed(allowance));
        }
    }
}

impl Host for Node {
    fn now(&self) -> Time {
        self.parts.rounds.clock.now()
    }

    fn keep(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>> {
        let store = self.store.clone();
        async move {
            let store = store?;
            blocking::unblock(move || {
                let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
                let kept = store.keep(&[(kept::name(Kind::Budgets), Some(&bytes))]);
                kept.map_err(|fault| fault.to_string())
            })
            .await
        }
        .boxed_local()
    }

    fn take_effect(&self, document: Option<&Document>, _back: bool) -> Result<(), String> {
        self.seat.bind(&document.map(terms::read_all).unwrap_or_default());
        self.allow();
        Ok(())
    }

    fn sample(&self) -> Sample {
        let tally = *self.parts.tally.borrow();
        let answered = tally.succeeded + tally.rejected + tally.failed;
        let (answered_before, satisfied_before) = self.told.replace((answered, tally.succeeded));
        Sample {
            answered: answered.saturating_sub(answered_before) as f64,
            succeeded: tally.succeeded.saturating_sub(satisfied_before) as f64,
            linked: self.parts.link.is_up(),
        }
    }

    fn say(&self) -> Option<Said> {
        let ask = self.seat.ask()?;
        // Whoever leaves has given up something by saying so.
        if ask.draining {
            self.allow();
        }
        Some(Said::Ask(ask))
    }

    fn says_at(&self) -> Option<Time> {
        Some(self.seat.asks_at(self.parts.rounds.clock.now()))
    }

    fn stirred(&self) -> BoxedLocal<()> {
        let seat = self.seat.clone();
        async move { seat.stirred().await }.boxed_local()
    }

    fn connected(&self) {
        self.seat.connected();
    }

    fn heard(&self, published: &Published) {
        match published {
            Published::Grant(grant) => {
                if self.seat.granted(grant) {
                    self.allow();
                } else {
                    tracing::debug!(count = grant.sequence, "an answer about budgets that is not the latest");
                }
            }
            Published::Nudge => self.seat.nudged(),
            _ => {}
        }
    }
}

// The operator's side.

pub const USAGE: &str = "  hazelgrade budget found --documents DIR --keeper SITE --listen ADDRESS [--lost]
                                     make the store of a site's keeper, once; --lost if there was one before
  hazelgrade budget show|history|metrics|open --control ADDRESS
                                     who holds what; what happened; figures as text; take up granting again
  hazelgrade budget move --control ADDRESS --to SITE --budget NAME --units N [--id ID]
  hazelgrade budget retire --control ADDRESS --site SITE [--id ID]
                                     move units to another site; declare a site lost for good
";

/// What was asked for on the command line.
pub enum Asked {
    Found { documents: PathBuf, site: String, listen: SocketAddr, lost: bool },
    Word(SocketAddr, OperatorCommand, String),
}

impl Asked {
    pub fn of(words: &mut Arguments) -> Result<Asked, pico_args::Error> {
        let what = words.subcommand()?.unwrap_or_default();
        if what == "found" {
            return Ok(Asked::Found {
                documents: words.value_from_str("--documents")?,
                site: words.value_from_str("--keeper")?,
                listen: words.value_from_str("--listen")?,
                lost: words.contains("--lost"),
            });
        }
        let control = words.value_from_str("--control")?;
        let made_up = || format!("w{:016x}", RandomState::new().hash_one(SystemTime::now()));
        let word = match what.as_str() {
            "show" | "metrics" => OperatorCommand::Show,
            "history" => OperatorCommand::History,
            "open" => OperatorCommand::Open,
            "move" => OperatorCommand::Move {
                to: words.value_from_str("--to")?,
                budget: words.value_from_str("--budget")?,
                units: words.value_from_str("--units")?,
                id: words.opt_value_from_str("--id")?.unwrap_or_else(made_up),
            },
            "retire" => OperatorCommand::Retire {
                site: words.value_from_str("--site")?,
                id: words.opt_value_from_str("--id")?.unwrap_or_else(made_up),
            },
            _ => {
                let expected = "found, show, history, metrics, move, retire or open";
                return Err(pico_args::Error::ArgumentParsingFailed {
                    cause: format!("budget: expected one of {expected}"),
                });
            }
        };
        Ok(Asked::Word(control, word, what))
    }

    /// Carries it out; gives what to show.
    pub fn run(self) -> Result<String, String> {
        let (control, word, what) = match self {
            Asked::Found { documents, site, listen, lost } => {
                return keeping::found(&documents, &site, listen, lost).map(|told| format!("{told}\n"));
            }
            Asked::Word(control, word, what) => (control, word, what),
        };
        let answer = service::word(control, word, WORD_WITHIN)?;
        Ok(match what.as_str() {
            "show" => shown(&answer),
            "metrics" => rendered(&answer),
            "history" => {
                let line = |event: &Value| {
                    let ago = event[0].as_f64().unwrap_or(0.0) / 1000.0;
                    format!("{ago:>10.1} s ago  {}\n", event[1].as_str().unwrap_or_default())
                };
                answer.as_array().into_iter().flatten().map(line).collect()
            }
            _ => format!("{}\n", answer.as_str().unwrap_or_default()),
        })
    }
}

/// A report as tables.
fn shown(report: &Value) -> String {
    let word = |value: &Value| match value {
        Value::String(word) => word.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    };
    let seconds = |value: &Value| format!("{:.1} s", value.as_f64().unwrap_or(0.0) / 1000.0);
    let mut text = format!("keeper of {}, start {}\n", word(&report["site"]), word(&report["generation"]));
    if let Some(why) = report["held_up"].as_str() {
        text.push_str(&format!("nothing new is granted: {why}\n"));
    }
    for site in report["sites"].as_array().into_iter().flatten() {
        let heard = match &site["heard_ms_ago"] {
            Value::Null => "not heard of since the start".into(),
            ago => format!("heard {} ago", seconds(ago)),
        };
        let lost = if site["lost"] == true { ", declared lost" } else { "" };
        let safe = seconds(&site["safe_in_ms"]);
        text.push_str(&format!(
            "site {}: {heard}{lost}; if it is gone, nothing of it is in use in {safe}\n",
            word(&site["site"])
        ));
    }
    for (name, budget) in report["budgets"].as_object().into_iter().flatten() {
        text.push_str(&format!(
            "\n{name}: whole {}, owned here {}, set aside {}, granted {}, used {}, wanted {}, in doubt {}, free {}\n",
            budget["whole"], budget["owned"], budget["set_aside"], budget["granted"], budget["used"],
            budget["wanted"], budget["in_doubt"], budget["free"]
        ));
        let mut rows = vec![
            [
                "holder", "run", "granted", "at most", "used", "wants", "to have", "alone", "heard",
                "back in", "here for",
            ]
            .map(str::to_owned),
        ];
        for holder in budget["holders"].as_array().into_iter().flatten() {
            let heard = seconds(&holder["heard_ms_ago"]);
            rows.push([
                word(&holder["holder"]),
                word(&holder["run"]).chars().take(8).collect(),
                word(&holder["granted"]),
                word(&holder["most"]),
                word(&holder["used"]),
                word(&holder["wants"]),
                word(&holder["target"]),
                word(&holder["alone"]),
                if holder["connected"] == true { heard } else { format!("{heard}, gone") },
                seconds(&holder["back_in_ms"]),
                seconds(&holder["since_ms"]),
            ]);
        }
        let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
        let widths: Vec<usize> = (0..11).map(width).collect();
        for row in &rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
            text.push_str(&format!("  {}\n", cells.join("  ").trim_end()));
        }
    }
    text
}

/// A recorder that renders text; its gauges are set by `figures`.
fn recorder() -> (metrics_exporter_prometheus::PrometheusRecorder, PrometheusHandle) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    (recorder, handle)
}

fn set(budgets: &BTreeMap<String, BudgetReport>) {
    for (name, figures) in budgets {
        let gauge = |what: &'static str, units: u32| {
            metrics::gauge!(what, "budget" => name.clone()).set(f64::from(units));
        };
        gauge("hazelgrade_budget_whole", figures.total);
        gauge("hazelgrade_budget_owned", figures.owned);
        gauge("hazelgrade_budget_granted", figures.granted);
        gauge("hazelgrade_budget_used", figures.in_use);
        gauge("hazelgrade_budget_wanted", figures.wanted);
        gauge("hazelgrade_budget_in_doubt", figures.unreturned);
        gauge("hazelgrade_budget_free", figures.free);
        for holder in &figures.leases {
            let labels = [("budget", name.clone()), ("holder", holder.holder.clone())];
            metrics::gauge!("hazelgrade_budget_holder_granted", &labels).set(f64::from(holder.granted));
            metrics::gauge!("hazelgrade_budget_holder_used", &labels).set(f64::from(holder.in_use));
        }
    }
}

/// What a keeper reports, in the text form that collectors read.
fn rendered(report: &Value) -> String {
    let (recorder, handle) = recorder();
    let budgets = report["budgets"].as_object().into_iter().flatten().filter_map(|(name, figures)| {
        let figures: BudgetReport = serde_json::from_value(figures.clone()).ok()?;
        Some((name.clone(), figures))
    });
    let budgets = budgets.collect();
    metrics::with_local_recorder(&recorder, || set(&budgets));
    handle.render()
}

/// Logs a line when what is granted has changed much; metrics are asked for by `budget metrics`.
pub fn watch() -> Metrics {
    let before: Cell<Option<(u32, u32)>> = Cell::new(None);
    Box::new(move |budgets| {
        let sum = |of: fn(&BudgetReport) -> u32| budgets.values().map(of).fold(0, u32::saturating_add);
        let now = (sum(|figures| figures.granted), sum(|figures| figures.unreturned));
        if before.replace(Some(now)) != Some(now) {
            tracing::debug!(granted = now.0, in_doubt = now.1, "budgets");
        }
    })
}
