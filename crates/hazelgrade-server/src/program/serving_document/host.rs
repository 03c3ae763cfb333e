//! Applies serving documents to the node, and samples the job counters by which a version on trial is judged.

use super::slot_table::{RevisedTable, SlotTable};
use crate::program::logging::LevelHandle;
use crate::program::reload::Reload;
use crate::program::store::{NamedValue, SharedStore};
use crate::routing::context::RequestContext;
use futures_lite::future::{BoxedLocal, FutureExt};
use hazelgrade::api::{ClassSlot, JobClass, ServiceLimits, SettingsUpdate, Tenant};
use hazelgrade::time::{Span, Time};
use hazelgrade_config::document::{MAX_JOB_CLASSES, MAX_TENANTS};
use hazelgrade_config::serving::ServingSettings;
use hazelgrade_config::{Document, Kind};
use hazelgrade_settings::{HostSettings, JobClassEntry};
use hazelgrade_stream::client::Host;
use hazelgrade_stream::stored;
use hazelgrade_stream::trial::Sample;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tracing::level_filters::LevelFilter;

/// The store key under which stored state that can't be decoded is preserved when its original key is overwritten.
const UNREADABLE_KEY: &str = "configuration.unread";

/// A removed name's slot is quarantined for this multiple of the longest time in which a job or a retry may refer to
/// the slot.
const QUARANTINE_FACTOR: f64 = 2.0;

/// The components that a serving document changes.
pub struct ServingContext {
    /// The name of this node.
    pub node: String,
    /// The components and settings that all jobs and connections share.
    pub request_context: Rc<RequestContext>,
    /// Applies the peer addresses of a document.
    pub reload: Rc<Reload>,
    /// Changes the log level.
    pub log_level: LevelHandle,
    /// The log level of the command line, for documents that set none.
    pub default_log_level: LevelFilter,
    /// The limits of the settings, for the limits that a document doesn't set.
    pub default_limits: ServiceLimits,
    /// Whether the node has a dependency to call.
    pub calls_dependency: bool,
}

/// Applies serving documents to the node.
pub struct ServingHost {
    context: ServingContext,
    store: SharedStore,
    /// Stored state that can't be decoded, until the state is preserved under [`UNREADABLE_KEY`].
    unreadable: Rc<RefCell<Option<Vec<u8>>>>,
    job_classes: RefCell<SlotTable<JobClass>>,
    tenants: RefCell<SlotTable<Tenant>>,
    last_sampled: Cell<SampledCounters>,
}

/// Job counters at the time of the last sample.
#[derive(Clone, Copy, Default)]
struct SampledCounters {
    answered: u64,
    succeeded: u64,
}

impl ServingHost {
    /// Creates a host. `unreadable` is stored state that can't be decoded and must be preserved.
    pub fn new(context: ServingContext, store: SharedStore, unreadable: Option<Vec<u8>>) -> ServingHost {
        ServingHost {
            context,
            store,
            unreadable: Rc::new(RefCell::new(unreadable)),
            job_classes: RefCell::default(),
            tenants: RefCell::default(),
            last_sampled: Cell::default(),
        }
    }

    /// Applies a document to the controller, the settings and the peers' addresses. Without a document, no job class is
    /// served. On an error, the previous document stays in effect.
    fn apply(&self, document: Option<&Document>) -> Result<(), String> {
        let context = &self.context;
        let request_context = &context.request_context;
        let now = request_context.driver.clock.now();
        let settings = self.settings_of(document);
        let job_classes = self.revised_job_classes(now, &settings)?;
        let tenants = self.revised_tenants(now, &settings)?;
        // Setting the addresses is the last step that may fail: the controller accepts all settings that remove no
        // slot, and slots are never removed.
        let addresses = document.map(|document| document.addresses_for(&context.node)).unwrap_or_default();
        context.reload.set_streamed(addresses).map_err(|error| error.to_string())?;
        if !request_context.driver.update_settings(settings_update(settings.limits, &job_classes, &tenants)) {
            return Err("a place was taken away that jobs in hand may name".into());
        }
        let before = request_context.settings.borrow().clone();
        request_context.settings.replace(Rc::new(HostSettings {
            job_classes: job_class_entries(&job_classes.table),
            tenants: tenant_names(&tenants.table),
            ..(*before).clone()
        }));
        request_context.callers.settings_changed(&request_context.settings.borrow());
        self.job_classes.replace(job_classes.table);
        self.tenants.replace(tenants.table);
        request_context.driver.set_ready(document.is_some());
        self.set_log_level(document);
        Ok(())
    }

    fn settings_of(&self, document: Option<&Document>) -> ServingSettings {
        let default_limits = &self.context.default_limits;
        let settings = document.map(|document| document.serving_settings(default_limits));
        let mut settings = settings.unwrap_or_else(|| ServingSettings {
            job_classes: Vec::new(),
            tenants: Vec::new(),
            limits: default_limits.clone(),
        });
        for (_, class) in &mut settings.job_classes {
            class.calls_dependency &= self.context.calls_dependency;
        }
        settings
    }

    fn revised_job_classes(
        &self,
        now: Time,
        settings: &ServingSettings,
    ) -> Result<RevisedTable<JobClass>, String> {
        let request_context = &self.context.request_context;
        let is_busy = |slot| request_context.in_flight.any(|slots| slots.job_class == slot);
        let job_classes = self.job_classes.borrow();
        job_classes
            .revised(now, &settings.job_classes, quarantine, MAX_JOB_CLASSES, is_busy)
            .map_err(|error| error.to_string())
    }

    fn revised_tenants(&self, now: Time, settings: &ServingSettings) -> Result<RevisedTable<Tenant>, String> {
        let request_context = &self.context.request_context;
        let is_busy = |slot| request_context.in_flight.any(|slots| slots.tenant == slot);
        let classes = settings.job_classes.iter();
        let longest = classes.map(|(_, class)| quarantine(class)).max().unwrap_or(Span::ZERO);
        let tenants = self.tenants.borrow();
        tenants
            .revised(now, &settings.tenants, |_| longest, MAX_TENANTS, is_busy)
            .map_err(|error| error.to_string())
    }

    fn set_log_level(&self, document: Option<&Document>) {
        let level = document.and_then(Document::log_level).and_then(|level| level.parse().ok());
        let level = level.unwrap_or(self.context.default_log_level);
        if self.context.log_level.modify(|current| *current = level).is_err() {
            tracing::debug!(
                "log level of the serving document not applied: the log has ended or was never installed"
            );
        }
    }
}

/// Returns how long a retry may refer to a job class after the removal of the class, with a margin.
fn quarantine(class: &JobClass) -> Span {
    (class.deadline + class.retry_window) * QUARANTINE_FACTOR
}

fn settings_update(
    limits: ServiceLimits,
    job_classes: &RevisedTable<JobClass>,
    tenants: &RevisedTable<Tenant>,
) -> SettingsUpdate {
    let classes = job_classes.table.settings.iter().enumerate();
    let class_slot = |(slot, class): (usize, &JobClass)| ClassSlot {
        class: class.clone(),
        in_use: job_classes.table.is_in_use(slot),
    };
    SettingsUpdate {
        job_classes: classes.map(class_slot).collect(),
        tenants: tenants.table.settings.clone(),
        limits,
        reset_classes: job_classes.reused.clone(),
        reset_tenants: tenants.reused.clone(),
    }
}

fn job_class_entries(table: &SlotTable<JobClass>) -> Vec<JobClassEntry> {
    let entry = |(slot, class): (usize, &JobClass)| JobClassEntry {
        name: table.name(slot),
        idempotency: class.idempotency,
        deadline: class.deadline,
        may_skip_calls: class.allows_answers_without_call(),
        in_use: table.is_in_use(slot),
    };
    table.settings.iter().enumerate().map(entry).collect()
}

fn tenant_names(table: &SlotTable<Tenant>) -> Vec<Option<String>> {
    (0..table.slots.count()).map(|slot| table.is_in_use(slot).then(|| table.name(slot))).collect()
}

impl Host for ServingHost {
    fn now(&self) -> Time {
        self.context.request_context.driver.clock.now()
    }

    fn store(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>> {
        let store = self.store.clone();
        let unreadable = self.unreadable.clone();
        async move {
            let mut values = vec![NamedValue { name: stored::store_key(Kind::Serving), bytes }];
            let preserved = unreadable.borrow().clone();
            values.extend(preserved.map(|bytes| NamedValue { name: UNREADABLE_KEY, bytes }));
            let written = store.write(values).await;
            if written.is_ok() {
                unreadable.replace(None);
            }
            written
        }
        .boxed_local()
    }

    fn apply(&self, document: Option<&Document>, _is_rollback: bool) -> Result<(), String> {
        self.apply(document)
    }

    fn sample(&self) -> Sample {
        let request_context = &self.context.request_context;
        let counters = *request_context.counters.borrow();
        let sampled = SampledCounters {
            answered: counters.succeeded
                + counters.rejected
                + counters.failed
                + counters.not_served
                + counters.unverified,
            succeeded: counters.succeeded,
        };
        let before = self.last_sampled.replace(sampled);
        Sample {
            answered: sampled.answered.saturating_sub(before.answered) as f64,
            succeeded: sampled.succeeded.saturating_sub(before.succeeded) as f64,
            executor_connected: request_context.executor.is_up(),
        }
    }
}
