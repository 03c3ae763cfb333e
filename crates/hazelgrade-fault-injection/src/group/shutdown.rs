//! The end of a group: heals every fault, checks that the group recovers, and drains it.

use super::{Group, RECOVERY_TIMEOUT};
use crate::history::{History, Job};
use crate::plan::{Disk, Fault, Link};
use crate::proxy::{at, ms};
use hazelgrade_fakes::callers::CallersReport;
use hazelgrade_fakes::control_process::ControlServiceProcess;

const LINKS: [Link; 5] = [Link::Callers, Link::Executor, Link::Database, Link::Registry, Link::Control];

impl Group {
    /// Ends every fault, checks that the group recovers, drains all nodes, and returns the history.
    pub fn finish(mut self) -> History {
        (0..self.nodes.len()).for_each(|node| self.heal_node(node));
        self.heal_control_service();
        self.heal_shared_budget();
        // A node may have gone back from what was published during faults; all take a fresh document.
        if let Err(error) = self.publish(false) {
            self.expected(format!("nothing can be published: {error}"));
        }
        if !self.recovers() {
            let standings = self.describe_nodes();
            self.expected(format!("{} expected: {standings}", self.published_digest));
        }
        self.check_served_documents();
        self.stop_callers();
        for member in &mut self.nodes {
            member.draining = member.node.signal("TERM");
        }
        if !self.wait_until(RECOVERY_TIMEOUT, |group| group.nodes.iter().all(|member| !member.running)) {
            self.expected("a node does not leave".into());
        }
        self.history.budget_overloads =
            self.shared_budget.as_ref().map(|shared| shared.dependency.overloads());
        self.history.worst_budget_overload =
            self.shared_budget.as_ref().and_then(|shared| shared.dependency.worst_overload());
        self.history.runs = self.nodes.iter().map(|member| member.executor.runs()).collect();
        self.history
    }

    /// Notes an expectation that was not met.
    fn expected(&mut self, what: String) {
        self.history.unmet_expectations.push(what);
    }

    fn heal_node(&mut self, node: usize) {
        for link in LINKS {
            let _ = self.inject(Fault::Heal { node, link });
        }
        if self.nodes[node].suspended {
            let _ = self.inject(Fault::Wake { node });
        }
        self.observe();
        if (!self.nodes[node].running || self.nodes[node].draining)
            && let Err(error) = self.inject(Fault::Start { node, disk: Disk::Own })
        {
            self.expected(format!("node {node} can't be started: {error}"));
        }
    }

    fn heal_control_service(&mut self) {
        if self.control_service_suspended {
            let _ = self.inject(Fault::WakeControl);
        }
        if !self.control_service.is_running()
            && let Err(error) = self.start_control(Disk::Own)
        {
            self.expected(format!("the control service can't be started: {error}"));
        }
    }

    fn heal_shared_budget(&mut self) {
        let Some(shared) = &self.shared_budget else { return };
        shared.heal();
        let running = shared.second_control.as_ref().is_none_or(ControlServiceProcess::is_running);
        let recovery = if !running {
            Fault::StartOther { disk: Disk::Own }
        } else if shared.second_control_suspended {
            Fault::WakeOther
        } else {
            return;
        };
        if let Err(error) = self.inject(recovery) {
            self.expected(format!("the other control service can't be started: {error}"));
        }
    }

    /// How each node stands, for a message.
    fn describe_nodes(&self) -> String {
        let nodes = self.nodes.iter().zip(&self.standings).enumerate();
        let described = nodes.map(|(number, (member, standing))| {
            format!(
                "n{number} running {} stopped {} ready {} {} {}, {} jobs",
                member.running,
                member.suspended,
                member.is_ready(),
                standing.version,
                standing.standing,
                member.job_count()
            )
        });
        described.collect::<Vec<String>>().join("; ")
    }

    /// Checks that each node serves jobs of the latest document's own job class.
    fn check_served_documents(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].running && !self.serves_latest(node, RECOVERY_TIMEOUT) {
                self.expected(format!("node {node} does not serve by the latest document"));
            }
        }
    }

    /// Stops all callers and notes what became of their jobs.
    fn stop_callers(&mut self) {
        for (number, member) in self.nodes.iter_mut().enumerate() {
            member.idle_clients = None;
            let Some(callers) = member.callers.take() else { continue };
            let CallersReport { results, unmatched_answers } = callers.stop();
            self.history.unmatched_answers += unmatched_answers;
            self.history.jobs.extend(results.into_iter().map(|result| Job {
                node: number,
                id: result.id,
                sent: at(result.sent),
                latency: ms(result.latency.as_secs_f64() * 1000.0),
                outcome: result.outcome,
            }));
        }
    }
}
