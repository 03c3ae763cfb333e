//! `status`: prints a table of the nodes that a control service knows.

use super::table;
use hazelgrade_stream::control_service;
use pico_args::Arguments;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Time-out of a request to the control service.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The parsed arguments of `status`.
pub struct StatusCommand {
    control_service: SocketAddr,
}

impl StatusCommand {
    /// Parses the arguments of the sub-command.
    pub fn parse(arguments: &mut Arguments) -> Result<StatusCommand, pico_args::Error> {
        Ok(StatusCommand { control_service: arguments.value_from_str("--control")? })
    }

    /// Requests the status from the control service and returns the table to print.
    pub fn run(self) -> Result<String, String> {
        let report = control_service::request_status(self.control_service, REQUEST_TIMEOUT)
            .map_err(|error| error.to_string())?;
        let mut text = format!(
            "lineage {}, version {}\n",
            text_or_dash(&report["lineage"]),
            text_or_dash(&report["version"])
        );
        if let Some(error) = report["folder"].as_str() {
            text.push_str(&format!("not published: {error}\n"));
        }
        let mut rows = vec![["node", "connected", "serves by", "offered", "standing", ""].map(str::to_owned)];
        rows.extend(report["nodes"].as_array().into_iter().flatten().map(node_row));
        text.push_str(&table::format(&rows, ""));
        Ok(text)
    }
}

fn text_or_dash(value: &Value) -> String {
    value.as_str().unwrap_or("-").to_owned()
}

fn node_row(node: &Value) -> [String; 6] {
    let staged: Vec<&str> =
        node["staged"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let staged = if staged.is_empty() { String::new() } else { format!("at a start: {}", staged.join(", ")) };
    [
        text_or_dash(&node["name"]),
        if node["connected"] == true { "yes" } else { "no" }.to_owned(),
        text_or_dash(&node["has"]),
        text_or_dash(&node["of"]),
        text_or_dash(&node["standing"]),
        node["why"].as_str().map_or(staged, str::to_owned).replace('\n', "; "),
    ]
}
