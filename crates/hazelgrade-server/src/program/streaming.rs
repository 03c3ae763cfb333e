//! Streamed configuration in a serving node: what it was kept from, how a document takes effect, how service is told.

use super::configuration::Deployment;
use super::logging::Level;
use super::reload::Reload;
use crate::routing::context::RequestContext;
use futures_lite::future::{BoxedLocal, FutureExt};
use hazelgrade::api::{ClassSlot, JobClass, ServiceLimits, SettingsUpdate, Tenant};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::document::{MAX_JOB_CLASSES, MAX_TENANTS};
use hazelgrade_config::operator::Streamed;
use hazelgrade_config::{Document, Kind, fault};
use hazelgrade_settings::places::Places;
use hazelgrade_settings::{Named, Site};
use hazelgrade_store::{Fault, Store};
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::follow::Host;
use hazelgrade_stream::kept::{self, Kept};
use hazelgrade_stream::subscriber::{Action, Start, Subscriber};
use hazelgrade_stream::trial::Sample;
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use tracing::level_filters::LevelFilter;

/// Under this name what was kept and can't be read is put aside, before anything is kept in its place.
const UNREAD: &str = "configuration.unread";
/// Names that were taken away keep their places for a while; there are so many places for each that a document may use.
const PLACES_A_NAME: usize = 4;
/// A name that was taken away rests for so many times the longest time in which a job or a repeat may name it.
const REST: f64 = 2.0;
const FAULTS_NAMED: usize = 5;

/// What a node has to start from.
pub struct Kit {
    pub store: Result<Arc<Mutex<Store>>, String>,
    kept: Kept,
    /// What was kept, if it can't be read.
    unread: Option<Vec<u8>>,
    file: Option<Document>,
}

/// Reads a document from a file.
pub fn read_document(path: &Path) -> Result<Document, String> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{shown}: {error}"))?;
    Document::read(&text, &shown).map_err(|faults| fault::lines(&faults, FAULTS_NAMED))
}

impl Kit {
    /// Opens the store and reads the file. A store that is another's, or in use, is the operator's slip and ends the
    /// start. One that can't be used otherwise is left as it is, and the node starts by its file.
    /// `dies_at` is for tests.
    pub fn open(streamed: &Streamed, owner: &str, dies_at: Option<u64>) -> Result<Kit, String> {
        let shown = streamed.store.display();
        let file = streamed.document.as_deref().map(read_document).transpose()?;
        let mut kit = Kit { store: Err(String::new()), kept: Kept::default(), unread: None, file };
        let opened = match dies_at {
            None => Store::open(&streamed.store, owner),
            Some(dies_at) => Store::open_dying(&streamed.store, owner, dies_at),
        };
        let opened = opened.and_then(|mut store| {
            let kept = store.get(kept::name(Kind::Serving))?;
            Ok((store, kept))
        });
        match opened {
            Ok((store, kept)) => {
                match kept.as_deref().map(|kept| Kept::decode(Kind::Serving, kept)).transpose() {
                    Ok(kept) => kit.kept = kept.unwrap_or_default(),
                    Err(why) => {
                        tracing::error!("field stream.store: {shown}: what was kept can't be read, {why}");
                        kit.unread = kept;
                    }
                }
                kit.store = Ok(Arc::new(Mutex::new(store)));
            }
            Err(fault @ (Fault::Other { .. } | Fault::InUse)) => {
                return Err(format!("field stream.store: {shown}: {fault}"));
            }
            Err(fault) => {
                tracing::error!("field stream.store: {shown}: {fault}; nothing can be kept");
                kit.store = Err(format!("{shown}: {fault}"));
            }
        }
        Ok(kit)
    }

    /// What a start takes in of the document that it serves by: descriptors, and memory in MB.
    pub fn limits(&self) -> (Option<f64>, Option<f64>) {
        let good = self.kept.good.as_ref().map(|good| &good.document);
        good.or(self.file.as_ref()).map_or((None, None), Document::limits)
    }

    /// The subscriber and its first actions, and the node around it.
    pub fn start(
        self,
        streamed: &Streamed,
        deployment: &Deployment,
        surroundings: Surroundings,
    ) -> (Subscriber, Vec<Action>, Node) {
        let Kit { store, kept, unread, file } = self;
        let start = Start {
            kind: Kind::Serving,
            node: deployment.name.clone(),
            program: env!("CARGO_PKG_VERSION").into(),
            lineage: streamed.lineage.clone(),
            rules: streamed.trial,
            controls: streamed.control.len(),
            chance: MultiplyWithCarry::new(deployment.seed.rotate_left(32)),
            backoff: Backoff::default(),
            kept,
            file,
        };
        // Until what there is to serve by has taken effect.
        surroundings.parts.driver.set_ready(false);
        let mut first = Vec::new();
        let now = surroundings.parts.driver.clock.now();
        let subscriber = Subscriber::start(now, start, &mut first);
        let node = Node {
            surroundings,
            store,
            unread: Rc::new(RefCell::new(unread)),
            job_classes: RefCell::new(Table::empty()),
            tenants: RefCell::new(Table::empty()),
            told: Cell::default(),
        };
        (subscriber, first, node)
    }
}

/// What of the program a document reaches.
pub struct Surroundings {
    pub name: String,
    pub parts: Rc<RequestContext>,
    pub reload: Rc<Reload>,
    pub level: Level,
    /// The level that the command line named.
    pub usual_level: LevelFilter,
    /// As the settings say, for what a document leaves open.
    pub promises: ServiceLimits,
    pub calls_below: bool,
}

/// Names at their places, with the figures that each had last.
struct Table<T> {
    places: Places,
    figures: Vec<T>,
}

pub struct Node {
    surroundings: Surroundings,
    store: Result<Arc<Mutex<Store>>, String>,
    unread: Rc<RefCell<Option<Vec<u8>>>>,
    job_classes: RefCell<Table<JobClass>>,
    tenants: RefCell<Table<Tenant>>,
    /// Answered and succeeded, as told last.
    told: Cell<(u64, u64)>,
}

impl<T: Clone> Table<T> {
    fn empty() -> Table<T> {
        Table { places: Places::default(), figures: Vec::new() }
    }

    /// The table for other names, with their figures, and the places that stand for something else.
    fn revised(
        &self,
        now: Time,
        named: &[(String, T)],
        rest: impl Fn(&T) -> Span,
        most: usize,
        busy: impl Fn(usize) -> bool,
    ) -> Result<(Table<T>, Vec<usize>), String> {
        let names: Vec<(&str, Span)> = named.iter().map(|(name, of)| (name.as_str(), rest(of))).collect();
        let assigned = self.places.assign(now, &names, most * PLACES_A_NAME, busy)?;
        let mut figures = self.figures.clone();
        // New places are at the end, in the order of their names.
        for (place, (_, of)) in assigned.at.iter().zip(named) {
            match figures.get_mut(*place) {
                Some(figure) => *figure = of.clone(),
                None => figures.push(of.clone()),
            }
        }
        Ok((Table { places: assigned.places, figures }, assigned.anew))
    }
}

impl Node {
    /// What the module and the fronts go by from now on.
    fn serve_by(&self, document: Option<&Document>) -> Result<(), String> {
        let around = &self.surroundings;
        let (parts, now) = (&around.parts, around.parts.driver.clock.now());
        let serving = document.map(|document| document.serving(&around.promises));
        let (mut cases, tenants, promises) = match serving {
            Some(serving) => (serving.job_classes, serving.tenants, serving.promises),
            None => (Vec::new(), Vec::new(), around.promises.clone()),
        };
        cases.iter_mut().for_each(|(_, case)| case.calls_dependency &= around.calls_below);
        let rest = |case: &JobClass| (case.deadline + case.retry_window) * REST;
        let longest = cases.iter().map(|(_, case)| rest(case)).max().unwrap_or(Span::ZERO);
        let (job_classes, reset_classes) =
            self.job_classes.borrow().revised(now, &cases, rest, MAX_JOB_CLASSES, |place| {
                parts.in_flight.any(|job_class, _| job_class == place)
            })?;
        let (tenants, reset_tenants) = self.tenants.borrow().revised(
            now,
            &tenants,
            |_| longest,
            MAX_TENANTS,
            |place| parts.in_flight.any(|_, tenant| tenant == place),
        )?;
        // The last that may fail goes first: after it all of the document takes effect.
        let places = document.map(|document| document.places(&around.name)).unwrap_or_default();
        around.reload.stream(places)?;
        let in_use = |place: usize| job_classes.places.name(place).is_some_and(|(_, in_use)| in_use);
        let placed = |(place, figures): (usize, &JobClass)| ClassSlot {
            class: figures.clone(),
            in_use: in_use(place),
        };
        let revision = SettingsUpdate {
            job_classes: job_classes.figures.iter().enumerate().map(placed).collect(),
            tenants: tenants.figures.clone(),
            limits: promises,
            reset_classes,
            reset_tenants,
        };
        if !parts.driver.update_settings(revision) {
            return Err("a place was taken away that jobs in hand may name".into());
        }
        let named = |(place, case): (usize, &JobClass)| Named {
            name: job_classes.places.name(place).map(|(name, _)| name.to_owned()).unwrap_or_default(),
            repeats: case.idempotency,
            deadline: case.deadline,
            in_use: in_use(place),
        };
        let tenant = |place| tenants.places.name(place).filter(|(_, in_use)| *in_use);
        let before = parts.site.borrow().clone();
        parts.site.replace(Rc::new(Site {
            job_classes: job_classes.figures.iter().enumerate().map(named).collect(),
            tenants: (0..tenants.places.count())
                .map(|place| tenant(place).map(|(name, _)| name.to_owned()))
                .collect(),
            ..(*before).clone()
        }));
        parts.callers.site_changed(&parts.site.borrow());
        self.job_classes.replace(job_classes);
        self.tenants.replace(tenants);
        parts.driver.set_ready(document.is_some());
        let level = document.and_then(Document::log).and_then(|level| level.parse().ok());
        if around.level.modify(|now| *now = level.unwrap_or(around.usual_level)).is_err() {
            tracing::debug!("the log level can't be changed");
        }
        Ok(())
    }
}

impl Host for Node {
    fn now(&self) -> Time {
        self.surroundings.parts.driver.clock.now()
    }

    fn keep(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>> {
        let (store, aside) = (self.store.clone(), self.unread.clone());
        async move {
            let (store, unread) = (store?, aside.borrow().clone());
            let kept = blocking::unblock(move || {
                let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
                let mut changes = vec![(kept::name(Kind::Serving), Some(bytes.as_slice()))];
                changes.extend(unread.as_deref().map(|unread| (UNREAD, Some(unread))));
                store.keep(&changes).map_err(|fault| fault.to_string())
            })
            .await;
            if kept.is_ok() {
                aside.replace(None);
            }
            kept
        }
        .boxed_local()
    }

    fn take_effect(&self, document: Option<&Document>, _back: bool) -> Result<(), String> {
        self.serve_by(document)
    }

    fn sample(&self) -> Sample {
        let parts = &self.surroundings.parts;
        let tally = *parts.counters.borrow();
        let answered = tally.succeeded + tally.rejected + tally.failed + tally.not_served + tally.unverified;
        let (answered_before, satisfied_before) = self.told.replace((answered, tally.succeeded));
        Sample {
            answered: answered.saturating_sub(answered_before) as f64,
            succeeded: tally.succeeded.saturating_sub(satisfied_before) as f64,
            linked: parts.executor.is_up(),
        }
    }
}
