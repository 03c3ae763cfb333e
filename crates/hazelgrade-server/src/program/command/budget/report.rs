//! The report of a lessor, as tables, as a history and as metrics.

use crate::program::command::table;
use hazelgrade_budget::lessor::BudgetReport;
use metrics_exporter_prometheus::PrometheusBuilder;
use serde_json::Value;
use std::collections::BTreeMap;

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// Milliseconds in JSON as seconds; 0 if it is no number.
fn seconds(value: &Value) -> String {
    format!("{:.1} s", value.as_f64().unwrap_or(0.0) / 1000.0)
}

/// The report as tables: sites, then each budget with its holders.
pub fn tables(report: &Value) -> String {
    let mut tables = format!("keeper of {}, start {}\n", text(&report["site"]), text(&report["generation"]));
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
        heard_ms_ago => format!("heard {} ago", seconds(heard_ms_ago)),
    };
    let lost = if site["lost"] == true { ", declared lost" } else { "" };
    let safe = seconds(&site["safe_in_ms"]);
    let name = text(&site["site"]);
    format!("site {name}: {last_report}{lost}; if it is gone, nothing of it is in use in {safe}\n")
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

/// The columns of the table of holders, as [`holder_row`] fills them.
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
    let last_report = seconds(&holder["heard_ms_ago"]);
    [
        text(&holder["holder"]),
        text(&holder["run"]).chars().take(8).collect(),
        text(&holder["granted"]),
        text(&holder["most"]),
        text(&holder["used"]),
        text(&holder["wants"]),
        text(&holder["target"]),
        text(&holder["alone"]),
        if holder["connected"] == true { last_report } else { format!("{last_report}, gone") },
        seconds(&holder["back_in_ms"]),
        seconds(&holder["since_ms"]),
    ]
}

/// The history of a lessor, one event a line.
pub fn history(events: &Value) -> String {
    let line = |event: &Value| {
        let seconds_ago = event[0].as_f64().unwrap_or(0.0) / 1000.0;
        format!("{seconds_ago:>10.1} s ago  {}\n", event[1].as_str().unwrap_or_default())
    };
    events.as_array().into_iter().flatten().map(line).collect()
}

/// The report in the text format of Prometheus.
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
