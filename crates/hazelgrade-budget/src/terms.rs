//! The terms of budgets, as stated in the budget document.

use crate::Units;
use hazelgrade::time::Span;
use hazelgrade_config::{Document, Fields};
use std::collections::BTreeMap;
use std::fmt;

/// The quantity that a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Calls in flight to a dependency.
    ConcurrentCalls,
    /// A tenant's jobs per second.
    Rate {
        /// Jobs that are admitted at once after an idle time; the budget's total if the document states none.
        burst: Units,
    },
    /// Retries that are admitted at once.
    Retries {
        /// Thousandths of a retry that each first attempt earns; 100 if the document states none.
        per_mille: Units,
    },
}

/// The text that operators see in reports.
impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Measure::ConcurrentCalls => f.write_str("InHand"),
            Measure::Rate { burst } => write!(f, "Rate {{ burst: {burst} }}"),
            Measure::Retries { per_mille } => write!(f, "Tries {{ per_mille: {per_mille} }}"),
        }
    }
}

/// The terms of one budget.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetTerms {
    /// The quantity that the budget limits.
    pub measure: Measure,
    /// Units that the nodes of all sites may use together.
    pub total: Units,
    /// Units that each site owns before any transfer, by site name; they add up to the total.
    pub site_shares: BTreeMap<String, Units>,
    /// Units of each site that are never leased. They cover the units that the site's nodes may use without a lease.
    /// 0 by default.
    pub set_aside: Units,
    /// Units that each node gets before any node gets more than this number, as far as the total allows. 1 by
    /// default.
    pub min_share: Units,
    /// Length of a lease: 200 to 10,000 ms, 2,000 by default.
    pub lease: Span,
    /// Longest time that work which starts under a lease may take, including its linger: 10 to 60,000 ms, 2,000 by
    /// default.
    pub max_use_time: Span,
    /// The tenant whose jobs a budget with [`Measure::Rate`] limits.
    pub tenant: Option<String>,
}

impl BudgetTerms {
    /// Returns the units that a site owns before any transfer; 0 for a site that the document does not name.
    pub fn site_share(&self, site: &str) -> Units {
        self.site_shares.get(site).copied().unwrap_or(0)
    }
}

/// Length of a lease if the document states none, in milliseconds. The units of a node that dies are unavailable for
/// the length of a lease plus the longest use time. A lease is renewed several times before its end, so only a
/// lasting fault lets a lease expire.
const DEFAULT_LEASE_MS: f64 = 2000.0;
/// Longest use time if the document states none, in milliseconds. A call that takes longer is abandoned in any case.
const DEFAULT_MAX_USE_MS: f64 = 2000.0;
/// Retries that each first attempt earns if the document states none.
const DEFAULT_RETRY_RATIO: f64 = 0.1;

/// Reads the terms of all budgets of a budget document, by budget name.
pub fn read_all(document: &Document) -> BTreeMap<String, BudgetTerms> {
    let fields = document.fields();
    let names = fields.names("budget");
    names.into_iter().map(|name| (name.to_owned(), Reader { fields, name }.terms())).collect()
}

/// Reads the fields of one budget.
struct Reader<'a> {
    fields: &'a Fields,
    name: &'a str,
}

impl Reader<'_> {
    fn path(&self, field: &str) -> String {
        format!("budget/{}/{field}", self.name)
    }

    fn number(&self, field: &str, default: f64) -> f64 {
        self.fields.number(&self.path(field)).unwrap_or(default)
    }

    fn units(&self, field: &str, default: Units) -> Units {
        self.fields.number(&self.path(field)).map_or(default, |number| number as Units)
    }

    fn terms(&self) -> BudgetTerms {
        let total = self.units("whole", 0);
        BudgetTerms {
            measure: self.measure(total),
            total,
            site_shares: self.site_shares(),
            set_aside: self.units("set_aside", 0),
            min_share: self.units("floor", 1),
            lease: Span::from_ms(self.number("lease_ms", DEFAULT_LEASE_MS)),
            max_use_time: Span::from_ms(self.number("longest_use_ms", DEFAULT_MAX_USE_MS)),
            tenant: self.fields.text(&self.path("customer")).map(str::to_owned),
        }
    }

    fn measure(&self, total: Units) -> Measure {
        match self.fields.text(&self.path("measure")) {
            Some("rate") => Measure::Rate { burst: self.units("burst", total) },
            Some("tries") => {
                let ratio = self.number("part", DEFAULT_RETRY_RATIO);
                Measure::Retries { per_mille: (ratio * 1000.0).round() as Units }
            }
            _ => Measure::ConcurrentCalls,
        }
    }

    fn site_shares(&self) -> BTreeMap<String, Units> {
        let prefix = self.path("site/");
        let sites = self.fields.0.keys().filter_map(|path| path.strip_prefix(&prefix));
        sites.map(|site| (site.to_owned(), self.units(&format!("site/{site}"), 0))).collect()
    }
}
