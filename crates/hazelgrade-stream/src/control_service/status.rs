//! The report on which version is in effect on which node. Operators' tools read the report by its field names and
//! status names, so this module maps the internal names to those.

use crate::publisher::{Node, NodeStatus, Publisher};
use hazelgrade_config::Kind;
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// The report on one kind of document.
#[derive(Serialize)]
struct KindReport<'a> {
    lineage: &'a str,
    /// The current version.
    #[serde(rename = "version")]
    current_version: Option<String>,
    /// The errors of the document in the folder, if it can't be published.
    #[serde(rename = "folder")]
    document_error: Option<&'a String>,
    nodes: Vec<NodeReport<'a>>,
}

/// The report on one node and its version.
#[derive(Serialize)]
struct NodeReport<'a> {
    name: &'a str,
    program: &'a str,
    connected: bool,
    /// The version in effect on the node.
    #[serde(rename = "has")]
    in_effect: Option<String>,
    /// The offered version that the status is about.
    #[serde(rename = "of")]
    offered: Option<String>,
    #[serde(rename = "standing")]
    status: &'static str,
    #[serde(rename = "why")]
    failure: Option<String>,
    staged: Option<&'a [String]>,
}

/// Returns the name of a status in the report.
fn status_name(status: &NodeStatus) -> &'static str {
    match status {
        NodeStatus::Pending => "open",
        NodeStatus::OnTrial { .. } => "on trial",
        NodeStatus::Good { .. } => "good",
        NodeStatus::RolledBack(_) => "went back",
        NodeStatus::Rejected(_) => "turned down",
    }
}

impl<'a> From<&'a Node> for NodeReport<'a> {
    fn from(node: &'a Node) -> NodeReport<'a> {
        let failure = match &node.status {
            NodeStatus::RolledBack(reason) => Some(reason.clone()),
            NodeStatus::Rejected(rejection) => Some(rejection.to_string()),
            NodeStatus::Pending | NodeStatus::OnTrial { .. } | NodeStatus::Good { .. } => None,
        };
        let staged = match &node.status {
            NodeStatus::OnTrial { staged } | NodeStatus::Good { staged } => Some(staged.as_slice()),
            NodeStatus::Pending | NodeStatus::RolledBack(_) | NodeStatus::Rejected(_) => None,
        };
        NodeReport {
            name: &node.name,
            program: &node.program,
            connected: node.connection.is_some(),
            in_effect: node.in_effect.map(|version| version.to_string()),
            offered: node.offered.map(|version| version.to_string()),
            status: status_name(&node.status),
            failure,
            staged,
        }
    }
}

/// Builds the report: the report on the serving document, with those on the other kinds nested under the kinds' names.
pub(super) fn report(
    publishers: &BTreeMap<Kind, RefCell<Publisher>>,
    document_errors: &BTreeMap<Kind, String>,
) -> Value {
    let report_kind = |kind: Kind| {
        let Some(publisher) = publishers.get(&kind).map(RefCell::borrow) else { return Value::Null };
        json!(KindReport {
            lineage: publisher.lineage(),
            current_version: publisher.current_version().map(|version| version.to_string()),
            document_error: document_errors.get(&kind),
            nodes: publisher.nodes().map(NodeReport::from).collect(),
        })
    };
    let mut report = report_kind(Kind::Serving);
    for kind in [Kind::Identity, Kind::Budgets] {
        report[kind.name()] = report_kind(kind);
    }
    report
}
