//! What a budget is, as its document says.

use crate::Units;
use hazelgrade::time::Span;
use hazelgrade_config::Document;
use std::collections::BTreeMap;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Calls below that are in hand at once.
    InHand,
    /// A tenant's jobs a second, so many together after some quiet.
    Rate { burst: Units },
    /// Retries that may come together; each first try earns a thousandth part of one, times `per_mille`.
    Tries { per_mille: Units },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub measure: Measure,
    /// What all nodes of all sites may use together.
    pub whole: Units,
    /// What each site's keeper owns, before anything was moved.
    pub sites: BTreeMap<String, Units>,
    /// Never granted, by site: what nodes may use for themselves without any keeper is within it.
    pub set_aside: Units,
    /// What each member gets before anybody gets more, as far as it goes.
    pub floor: Units,
    pub lease: Span,
    /// How long what was begun under a lease may go on after it: the longest call, and its linger.
    pub longest_use: Span,
    /// Whose jobs are meant, for a rate.
    pub tenant: Option<String>,
}

/// A lease, where the document names none: a death costs it and the longest use; some ten asks a lease get through any
/// but a lasting trouble.
const LEASE_MS: f64 = 2000.0;
/// A call that takes longer is given up in any case.
const LONGEST_USE_MS: f64 = 2000.0;

/// The budgets of a document of this kind, by name.
pub fn read(document: &Document) -> BTreeMap<String, Terms> {
    let fields = document.fields();
    let one = |name: &str| {
        let at = |field: &str| format!("budget/{name}/{field}");
        let number = |field: &str, absent: f64| fields.number(&at(field)).unwrap_or(absent);
        let units = |field: &str, absent: Units| fields.number(&at(field)).map_or(absent, |of| of as Units);
        let whole = units("whole", 0);
        let site = at("site/");
        let sites = fields.0.keys().filter_map(|path| path.strip_prefix(&site)).map(str::to_owned);
        Terms {
            measure: match fields.text(&at("measure")) {
                Some("rate") => Measure::Rate { burst: units("burst", whole) },
                Some("tries") => {
                    Measure::Tries { per_mille: (number("part", 0.1) * 1000.0).round() as Units }
                }
                _ => Measure::InHand,
            },
            whole,
            sites: sites.map(|name| (name.clone(), units(&format!("site/{name}"), 0))).collect(),
            set_aside: units("set_aside", 0),
            floor: units("floor", 1),
            lease: Span::from_ms(number("lease_ms", LEASE_MS)),
            longest_use: Span::from_ms(number("longest_use_ms", LONGEST_USE_MS)),
            tenant: fields.text(&at("customer")).map(str::to_owned),
        }
    };
    fields.names("budget").into_iter().map(|name| (name.to_owned(), one(name))).collect()
}
