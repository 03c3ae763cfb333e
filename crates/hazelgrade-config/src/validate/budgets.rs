//! Rules of a document of budgets: the sites' shares add up to the total, fields belong to the measure, and no two
//! budgets limit the same thing.

use super::Validator;
use crate::document::MAX_BUDGETS;
use std::collections::BTreeMap;

/// Fields that belong to one measure only, and that measure.
const MEASURE_OF_FIELD: [(&str, &str); 3] = [("burst", "rate"), ("customer", "rate"), ("part", "tries")];

impl Validator<'_> {
    pub(super) fn check_budgets(&mut self) {
        let fields = self.fields;
        let names = fields.names("budget");
        if names.is_empty() {
            self.violation("budget", "expected at least one budget, like [budget.calls]");
        }
        if names.len() > MAX_BUDGETS {
            self.violation("budget", format!("expected {MAX_BUDGETS} at most, not {}", names.len()));
        }
        let mut call_budgets = Vec::new();
        let mut retry_budgets = Vec::new();
        let mut budget_of_tenant = BTreeMap::new();
        for name in names {
            let path_of = |field: &str| format!("budget/{name}/{field}");
            self.require(&path_of("measure"));
            self.require(&path_of("whole"));
            self.check_sites(name);
            let measure = fields.text(&path_of("measure")).unwrap_or_default();
            self.check_fields_of_measure(name, measure);
            match measure {
                "in-hand" => call_budgets.push(name),
                "tries" => retry_budgets.push(name),
                "rate" => {
                    self.require(&path_of("customer"));
                    let tenant = fields.text(&path_of("customer")).unwrap_or_default();
                    if let Some(other) = budget_of_tenant.insert(tenant, name) {
                        self.conflict(&path_of("customer"), other);
                    }
                }
                _ => {}
            }
        }
        for same_measure in [call_budgets, retry_budgets] {
            if let [first, second, ..] = same_measure[..] {
                self.conflict(&format!("budget/{second}/measure"), first);
            }
        }
    }

    fn conflict(&mut self, path: &str, other: &str) {
        self.violation(path, format!("is that of budget {other} too: one of them would not count"));
    }

    fn check_sites(&mut self, name: &str) {
        let fields = self.fields;
        let path_of = |field: &str| format!("budget/{name}/{field}");
        let total = fields.number(&path_of("whole")).unwrap_or(0.0);
        let site_prefix = path_of("site/");
        let sites: Vec<(&String, f64)> = fields
            .0
            .keys()
            .filter(|path| path.starts_with(&site_prefix))
            .map(|path| (path, fields.number(path).unwrap_or(0.0)))
            .collect();
        let sum: f64 = sites.iter().map(|(_, units)| units).sum();
        match sites.first() {
            None => {
                self.violation(&path_of("site"), "is missing: each keeper's part, like site = { a = 40 }");
            }
            Some((path, _)) if sum != total => {
                let message = format!("expected the parts of all sites to be {total} together, not {sum}");
                self.violation(path, message);
            }
            Some(_) => {}
        }
        let set_aside = fields.number(&path_of("set_aside")).unwrap_or(0.0);
        if sites.iter().any(|(_, units)| *units > 0.0 && *units < set_aside) {
            self.violation(
                &path_of("set_aside"),
                "expected no more than the least part of a site: it is set aside at each",
            );
        }
    }

    fn check_fields_of_measure(&mut self, name: &str, measure: &str) {
        for (field, measure_of_field) in MEASURE_OF_FIELD {
            let path = format!("budget/{name}/{field}");
            if self.fields.get(&path).is_some() && measure != measure_of_field && !measure.is_empty() {
                let message = format!("belongs to a budget with measure = \"{measure_of_field}\" only");
                self.violation(&path, message);
            }
        }
    }
}
