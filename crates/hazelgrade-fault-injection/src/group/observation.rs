//! What a group does and says of itself, written to the history.

use super::{Group, GroupNode, NodeStanding, RECOVERY_TIMEOUT, documents};
use crate::history::{FaultKind, NodeObservation};
use crate::plan::Link;
use crate::proxy::{at, now};
use hazelgrade_fakes::callers::JobOutcome;
use hazelgrade_fakes::{test_environment, wait_until};
use serde_json::Value;
use std::time::{Duration, Instant};

/// How often the control services are asked.
const STATUS_INTERVAL: Duration = Duration::from_millis(40);
/// Jobs that have to succeed at each node for it to be seen as recovered.
const RECOVERY_SUCCESSES: usize = 10;

/// Whether a lessor grants what is free, by its report; `None` if it has not answered.
fn may_grant(report: &Value) -> Option<bool> {
    report.is_object().then(|| report["held_up"].is_null())
}

impl Group {
    /// Waits until each node is ready, has the latest version as its good one, and goes on serving its callers.
    pub(super) fn recovers(&mut self) -> bool {
        let digest = self.published_digest.clone();
        let good = self.wait_until(RECOVERY_TIMEOUT, |group| {
            group.standings.iter().all(|node| node.version.ends_with(&digest) && node.standing == "good")
                && group.nodes.iter().all(GroupNode::is_ready)
        });
        if good {
            (0..self.nodes.len()).for_each(|node| self.history.fault_ends(node, FaultKind::Gone, now()));
        }
        let before: Vec<usize> = self.nodes.iter().map(GroupNode::success_count).collect();
        good && self.wait_until(RECOVERY_TIMEOUT, |group| {
            group
                .nodes
                .iter()
                .zip(&before)
                .all(|(node, before)| node.success_count() >= before + RECOVERY_SUCCESSES)
        })
    }

    /// Observes the group until a condition holds; `false` if it does not hold in time.
    pub fn wait_until(&mut self, timeout: Duration, mut condition: impl FnMut(&mut Group) -> bool) -> bool {
        wait_until(timeout, || {
            self.observe();
            condition(self)
        })
    }

    /// Notes which processes run and which node serves by which version.
    pub fn observe(&mut self) {
        self.observe_processes();
        if self.last_status_poll.elapsed() < STATUS_INTERVAL
            || !self.control_service.is_running()
            || self.control_service_suspended
        {
            return;
        }
        self.last_status_poll = Instant::now();
        let statuses = self.poll_control_services();
        for number in 0..self.nodes.len() {
            let sites = self.shared_budget.as_ref().map_or(1, |shared| shared.config.sites);
            if let Some(status) = statuses.get(number % sites) {
                self.observe_version(number, status);
            }
        }
    }

    /// Notes which processes have exited, and whether they should have.
    fn observe_processes(&mut self) {
        for (number, member) in self.nodes.iter_mut().enumerate() {
            if !member.running {
                continue;
            }
            let Some(status) = member.node.exit_status() else {
                member.last_seen_running = Instant::now();
                continue;
            };
            member.running = false;
            self.history.fault_begins(number, FaultKind::Gone, at(member.last_seen_running));
            if member.may_exit {
                continue;
            }
            if !member.draining {
                self.history.unexpected_exits.push((number, format!("ended by itself: {status}")));
            } else if !status.success() {
                self.history.unexpected_exits.push((number, format!("left, but {status}")));
            }
        }
    }

    /// The status of each control service that runs; tells the shared budget what the lessors report.
    fn poll_control_services(&mut self) -> Vec<Value> {
        let mut statuses = vec![self.control_service.status()];
        let Some(shared) = &mut self.shared_budget else { return statuses };
        let mut reports = vec![self.control_service.budget_status()];
        let second = shared.second_control.as_ref();
        if let Some(second) = second.filter(|second| second.is_running() && !shared.second_control_suspended)
        {
            statuses.push(second.status());
            reports.push(second.budget_status());
        }
        let may_grant: Vec<Option<bool>> = reports.iter().map(may_grant).collect();
        // A new total is in effect once every lessor says so.
        if reports.len() == shared.config.sites {
            shared.apply_pending_total(&reports);
        }
        for (site, may_grant) in may_grant.into_iter().enumerate() {
            match may_grant {
                Some(true) => self.lessor_is_back(site),
                Some(false) => self.lessor_is_out(site),
                None => {}
            }
        }
        statuses
    }

    fn nodes_of_site(&self, site: usize) -> Vec<usize> {
        let sites = self.shared_budget.as_ref().map_or(0, |shared| shared.config.sites);
        (0..self.nodes.len()).filter(|node| sites > 0 && node % sites == site).collect()
    }

    /// Notes that the lessor of a site does not run, or grants nothing new.
    pub(super) fn lessor_is_out(&mut self, site: usize) {
        for node in self.nodes_of_site(site) {
            self.history.fault_begins(node, FaultKind::LessorOut, now());
        }
    }

    fn lessor_is_back(&mut self, site: usize) {
        for node in self.nodes_of_site(site) {
            self.history.fault_ends(node, FaultKind::LessorOut, now());
        }
    }

    /// Notes by which version a node serves, by its control service's status.
    fn observe_version(&mut self, number: usize, status: &Value) {
        let member = &self.nodes[number];
        let mut nodes = status["nodes"].as_array().into_iter().flatten();
        let Some(node) = nodes.find(|node| node["name"] == member.node.config.name) else { return };
        let text = |field: &str| node[field].as_str().unwrap_or_default().to_owned();
        let (offered, has) = (text("of"), text("has"));
        let standing = text("standing");
        self.standings[number] = NodeStanding { version: offered.clone(), standing: standing.clone() };
        let Some((version, digest)) = has.split_once(' ') else { return };
        let Ok(version) = version.parse() else { return };
        let at = now();
        self.history.record_observation(NodeObservation {
            node: number,
            at,
            since: at,
            disk: member.disk,
            number: version,
            digest: digest.to_owned(),
            standing: if offered == has { standing } else { String::new() },
        });
    }

    /// Whether callers of this node are served by the latest document, seen by a job class of its own.
    pub fn serves_latest(&self, node: usize, timeout: Duration) -> bool {
        let latest = documents::own_job_class(self.published_documents);
        let address = self.nodes[node].proxy(Link::Callers).address;
        let callers = test_environment::start_callers(address, 50.0, &[&latest]);
        let served = wait_until(timeout, || {
            callers.results().iter().any(|result| result.outcome == JobOutcome::Succeeded)
        });
        callers.stop();
        served
    }

    /// The digest of the document that the group was started with, complete.
    pub fn first_digest(&self) -> String {
        documents::numbered_document(1, false)
            .map(|document| document.digest().to_string())
            .unwrap_or_default()
    }

    /// The status of the first control service; null while it cannot be asked.
    pub fn status(&self) -> Value {
        self.control_service.status()
    }
}
