//! `control` and `status`: a small control service, and who runs what.

use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::or;
use hazelgrade_stream::control_service::{self, ControlServiceConfig};
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const STATUS_WITHIN: Duration = Duration::from_secs(5);

/// Serves until SIGTERM. Nodes go on by what they have when it ends.
pub fn serve(setup: ControlServiceConfig) -> Result<(), String> {
    let signals = Signals::new([Signal::Term, Signal::Int]);
    let mut signals = signals.map_err(|error| format!("signals: {error}"))?;
    let tasks = Rc::new(LocalExecutor::new());
    let serving = control_service::serve(tasks.clone(), setup, super::budgets::watch());
    let serving = async { serving.await.map_err(|error| error.to_string()) };
    let ended = async {
        signals.next().await;
        Ok(())
    };
    async_io::block_on(tasks.run(or(serving, ended)))
}

/// A table of the nodes that a control service knows.
pub fn status(control: SocketAddr) -> Result<String, String> {
    let report =
        control_service::request_status(control, STATUS_WITHIN).map_err(|error| error.to_string())?;
    let word = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let mut text = format!("lineage {}, version {}\n", word(&report["lineage"]), word(&report["version"]));
    if let Some(fault) = report["folder"].as_str() {
        text.push_str(&format!("not published: {fault}\n"));
    }
    let mut rows = vec![["node", "connected", "serves by", "offered", "standing", ""].map(str::to_owned)];
    for node in report["nodes"].as_array().into_iter().flatten() {
        let staged: Vec<&str> =
            node["staged"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        let staged =
            if staged.is_empty() { String::new() } else { format!("at a start: {}", staged.join(", ")) };
        rows.push([
            word(&node["name"]),
            if node["connected"] == true { "yes" } else { "no" }.to_owned(),
            word(&node["has"]),
            word(&node["of"]),
            word(&node["standing"]),
            node["why"].as_str().map_or(staged, str::to_owned).replace('\n', "; "),
        ]);
    }
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..6).map(width).collect();
    for row in &rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    Ok(text)
}
