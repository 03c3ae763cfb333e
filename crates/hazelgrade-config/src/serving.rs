//! The contents of a serving document in the types of the controller and of the program.

use crate::document::Document;
use hazelgrade::api::{Idempotency, JobClass, ServiceLimits, Tenant};
use hazelgrade::time::Span;
use std::net::SocketAddr;

/// The addresses that a document states for a node; `None` where it states none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeAddresses {
    /// The executor, which runs jobs.
    pub executor: Option<SocketAddr>,
    /// The registry, which takes heartbeats.
    pub registry: Option<SocketAddr>,
    /// The database, which takes calls.
    pub database: Option<SocketAddr>,
}

/// Limits of the process, applied at its start; `None` where the document states none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceLimits {
    /// Open file descriptors.
    pub sockets: Option<f64>,
    /// Memory in MiB.
    pub memory_mb: Option<f64>,
}

/// The settings of the controller in a document.
#[derive(Clone, Debug)]
pub struct ServingSettings {
    /// Job classes with their names, in the order of the names.
    pub job_classes: Vec<(String, JobClass)>,
    /// Tenants with their names, in the order of the names.
    pub tenants: Vec<(String, Tenant)>,
    /// Limits of the service.
    pub limits: ServiceLimits,
}

impl Document {
    /// The log level, if the document states one.
    pub fn log_level(&self) -> Option<&str> {
        self.fields().text("log")
    }

    /// Limits of the process.
    pub fn resource_limits(&self) -> ResourceLimits {
        ResourceLimits {
            sockets: self.fields().number("limits/sockets"),
            memory_mb: self.fields().number("limits/memory_mb"),
        }
    }

    /// The addresses for a node: its own where the document states them, else those for all nodes.
    pub fn addresses_for(&self, node: &str) -> NodeAddresses {
        let address = |peer: &str| {
            let own = self.fields().text(&format!("node/{node}/{peer}"));
            let text = own.or_else(|| self.fields().text(&format!("addresses/{peer}")));
            text.and_then(|text| text.parse().ok())
        };
        NodeAddresses {
            executor: address("executor"),
            registry: address("registry"),
            database: address("database"),
        }
    }

    /// The settings of the controller. Limits that the document doesn't state are those of `defaults`.
    pub fn serving_settings(&self, defaults: &ServiceLimits) -> ServingSettings {
        let fields = self.fields();
        let job_class = |name: &&str| ((*name).to_owned(), self.job_class(name));
        let tenant = |name: &&str| {
            let quota = fields.number(&format!("customer/{name}/quota_per_s"));
            ((*name).to_owned(), Tenant { quota_per_s: quota.unwrap_or(f64::INFINITY) })
        };
        ServingSettings {
            job_classes: fields.names("use_case").iter().map(job_class).collect(),
            tenants: fields.names("customer").iter().map(tenant).collect(),
            limits: self.service_limits(defaults),
        }
    }

    fn job_class(&self, name: &str) -> JobClass {
        let fields = self.fields();
        let path_of = |field: &str| format!("use_case/{name}/{field}");
        let number = |field: &str, default: f64| fields.number(&path_of(field)).unwrap_or(default);
        let span = |field: &str| Span::from_ms(number(field, 0.0));
        JobClass {
            latency_objective: span("goal_ms"),
            objective_per_work: number("goal_per_work", 0.0),
            deadline: span("cut_off_ms"),
            priority_weight: number("earnings", 1.0),
            late_weight_ratio: number("late_part", 0.0),
            idempotency: match fields.text(&path_of("repeats")) {
                Some("numbered") => Idempotency::Keyed,
                Some("at-most-once") => Idempotency::AtMostOnce,
                _ => Idempotency::Idempotent,
            },
            retry_window: span("window_ms"),
            calls_dependency: fields.boolean(&path_of("calls")).unwrap_or(true),
            weight_ratio_without_call: number("part_without_call", 0.0),
        }
    }

    fn service_limits(&self, defaults: &ServiceLimits) -> ServiceLimits {
        let number = |field: &str| self.fields().number(&format!("promises/{field}"));
        let span = |field: &str, default: Span| number(field).map_or(default, Span::from_ms);
        ServiceLimits {
            answer_slack: span("answer_slack_ms", defaults.answer_slack),
            cold_speed_ratio: number("cold_from").unwrap_or(defaults.cold_speed_ratio),
            warm_up: span("warm_up_ms", defaults.warm_up),
            drain_grace: span("drain_grace_ms", defaults.drain_grace),
            max_jobs_per_core: number("crowd_per_core").unwrap_or(defaults.max_jobs_per_core),
        }
    }
}
