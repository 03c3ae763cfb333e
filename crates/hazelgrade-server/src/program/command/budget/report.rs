//! Formats the report of a lessor as tables, as a history and as metrics.

use crate::program::command::table;
use hazelgrade_budget::lessor::BudgetReport;
use metrics_exporter_prometheus::PrometheusBuilder;
use serde_json::Value;
use std::collections::BTreeMap;

/// Formats a JSON value as a table cell: strings without quotes, and `-` for null.
fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// Formats a JSON number of milliseconds as seconds. A value that is not a number counts as 0.
fn format_seconds(value: &Value) -> String {
    format!("{:.1} s", value.as_f64().unwrap_or(0.0) / 1000.0)
}

/// Formats the report as text: one line per site, then each budget with a table of its lease holders.
pub fn tables(report: &Value) -> String {
    let mut tables =
        format!("keeper of {}, start {}\n", cell_text(&report["site"]), cell_text(&report["generation"]));
    if let Some(reason) = report["held_up"].as_str() {
        tables.push_str(&format!("nothing new is granted: {reason}\n"));
    }
    for site in report["sites"].as_array().into_iter().flatten() {
        tables.push_str(&site_line(site));
    }
    for (name, budget) in report["budgets"].as_object().into_iter().flatten() {
        tables.push_str(&budget_line(name, budget));
        tables.push_str(&holder_table(budget));
    }
    tables
}

fn site_line(site: &Value) -> String {
    let last_report = match &site["heard_ms_ago"] {
        Value::Null => "not heard of since the start".into(),
        heard_ms_ago => format!("heard {} ago", format_seconds(heard_ms_ago)),
    };
    let lost = if site["lost"] == true { ", declared lost" } else { "" };
    let safe_in = format_seconds(&site["safe_in_ms"]);
    let name = cell_text(&site["site"]);
    format!("site {name}: {last_report}{lost}; if it is gone, nothing of it is in use in {safe_in}\n")
}

fn budget_line(name: &str, budget: &Value) -> String {
    format!(
        "\n{name}: whole {}, owned here {}, set aside {}, granted {}, used {}, wanted {}, in doubt {}, free {}\n",
        budget["whole"],
        budget["owned"],
        budget["set_aside"],
        budget["granted"],
        budget["used"],
        budget["wanted"],
        budget["in_doubt"],
        budget["free"]
    )
}

/// The header of the table of lease holders, in the order of the cells that [`holder_row`] returns.
const HOLDER_COLUMNS: [&str; 11] = [
    "holder", "run", "granted", "at most", "used", "wants", "to have", "alone", "heard", "back in",
    "here for",
];

fn holder_table(budget: &Value) -> String {
    let mut rows = vec![HOLDER_COLUMNS.map(str::to_owned)];
    rows.extend(budget["holders"].as_array().into_iter().flatten().map(holder_row));
    table::format(&rows, "  ")
}

fn holder_row(holder: &Value) -> [String; HOLDER_COLUMNS.len()] {
    let last_report = format_seconds(&holder["heard_ms_ago"]);
    [
        cell_text(&holder["holder"]),
        cell_text(&holder["run"]).chars().take(8).collect(),
        cell_text(&holder["granted"]),
        cell_text(&holder["most"]),
        cell_text(&holder["used"]),
        cell_text(&holder["wants"]),
        cell_text(&holder["target"]),
        cell_text(&holder["alone"]),
        if holder["connected"] == true { last_report } else { format!("{last_report}, gone") },
        format_seconds(&holder["back_in_ms"]),
        format_seconds(&holder["since_ms"]),
    ]
}

/// Formats the history of a lessor, one event per line.
pub fn history(events: &Value) -> String {
    let line = |event: &Value| {
        let seconds_ago = event[0].as_f64().unwrap_or(0.0) / 1000.0;
        format!("{seconds_ago:>10.1} s ago  {}\n", event[1].as_str().unwrap_or_default())
    };
    events.as_array().into_iter().flatten().map(line).collect()
}

/// Formats the budgets of the report as gauges in the text format of Prometheus. Budgets that cannot be decoded are
/// left out.
pub fn metrics_text(report: &Value) -> String {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    let budgets = report["budgets"].as_object().into_iter().flatten().filter_map(|(name, figures)| {
        let figures: BudgetReport = serde_json::from_value(figures.clone()).ok()?;
        Some((name.clone(), figures))
    });
    let budgets = budgets.collect();
    metrics::with_local_recorder(&recorder, || set_gauges(&budgets));
    handle.render()
}

fn set_gauges(budgets: &BTreeMap<String, BudgetReport>) {
    for (name, figures) in budgets {
        let gauge = |metric: &'static str, units: u32| {
            metrics::gauge!(metric, "budget" => name.clone()).set(f64::from(units));
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
