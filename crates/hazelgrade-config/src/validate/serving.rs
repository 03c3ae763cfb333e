//! Rules of a serving document.

use super::Validator;
use crate::document::{MAX_JOB_CLASSES, MAX_NODES, MAX_TENANTS};
use crate::schema::SERVING_FIELDS;

impl Validator<'_> {
    pub(super) fn check_serving(&mut self) {
        let fields = self.fields;
        let job_classes = fields.names("use_case");
        if job_classes.is_empty() {
            self.violation("use_case", "expected at least one use case, like [use_case.slot-search]");
        }
        for (section, max) in [("use_case", MAX_JOB_CLASSES), ("customer", MAX_TENANTS), ("node", MAX_NODES)]
        {
            let count = fields.names(section).len();
            if count > max {
                self.violation(section, format!("expected {max} at most, not {count}"));
            }
        }
        for name in &job_classes {
            self.check_job_class(name);
        }
        let has_weight =
            |name: &&str| fields.number(&format!("use_case/{name}/earnings")).unwrap_or(1.0) > 0.0;
        if !job_classes.is_empty() && !job_classes.iter().any(has_weight) {
            self.violation("use_case", "expected at least one use case that earns something");
        }
    }

    fn check_job_class(&mut self, name: &str) {
        let fields = self.fields;
        let path_of = |field: &str| format!("use_case/{name}/{field}");
        for field in SERVING_FIELDS.iter().filter(|field| field.required) {
            self.require(&field.path.replace('*', name));
        }
        let latency_objective = fields.number(&path_of("goal_ms"));
        let deadline = fields.number(&path_of("cut_off_ms"));
        if latency_objective.zip(deadline).is_some_and(|(objective, deadline)| objective > deadline) {
            self.violation(&path_of("goal_ms"), "expected the goal time to be within the cut-off");
        }
        let is_keyed = fields.text(&path_of("repeats")) == Some("numbered");
        if is_keyed && fields.number(&path_of("window_ms")).unwrap_or(0.0) <= 0.0 {
            self.violation(
                &path_of("window_ms"),
                "expected more than 0: by it the repeats of a numbered job are known",
            );
        }
    }
}
