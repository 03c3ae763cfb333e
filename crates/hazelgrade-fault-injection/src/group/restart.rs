//! Starts processes of a group again, with their own, an old or an empty disk.

use super::{Group, RECOVERY_TIMEOUT};
use crate::history::FaultKind;
use crate::plan::Disk;
use crate::proxy::{ms, now};
use hazelgrade_fakes::wait_until;
use std::io;
use std::time::Instant;

impl Group {
    /// Starts a node that has exited, or drains, with this disk. Does nothing while it runs.
    pub(super) fn start_node(&mut self, node: usize, disk: Disk) -> io::Result<()> {
        self.observe();
        let member = &mut self.nodes[node];
        if member.running {
            if !member.draining {
                return Ok(());
            }
            // It is to take its own place once it has left.
            let _ = wait_until(RECOVERY_TIMEOUT, || member.node.exit_status().is_some());
            self.observe();
        }
        let member = &mut self.nodes[node];
        let store = member.node.config.store_file();
        match disk {
            Disk::Own => {}
            Disk::Old if member.old_store.is_none() => {}
            Disk::Old => {
                std::fs::write(&store, member.old_store.as_deref().unwrap_or_default())?;
                member.disk += 1;
            }
            Disk::Empty => {
                std::fs::remove_file(&store)
                    .or_else(|error| if store.exists() { Err(error) } else { Ok(()) })?;
                member.disk += 1;
            }
        }
        // Runs of the one before are gone with it.
        member.executor.restart();
        // Until it is seen to be ready what callers send it is refused.
        self.history.fault_begins(node, FaultKind::Gone, now());
        member.node.restart()?;
        member.mark_started();
        member.suspended = false;
        member.may_exit = false;
        self.history.fault_ends(node, FaultKind::Killed, now());
        let began = Instant::now();
        let member = &self.nodes[node];
        if wait_until(RECOVERY_TIMEOUT, || member.node.health_check().is_some()) {
            self.history.fault_ends(node, FaultKind::Gone, now());
            self.history.start_times.push(ms(began.elapsed().as_secs_f64() * 1000.0));
        } else {
            self.history
                .unmet_expectations
                .push(format!("node {node} does not listen after {:?}", began.elapsed()));
        }
        Ok(())
    }

    /// Starts a node that may exit by its own store at any moment from now on.
    ///
    /// # Errors
    ///
    /// If the process cannot be started.
    pub fn start_node_that_may_exit(&mut self, node: usize) -> io::Result<()> {
        self.history.fault_begins(node, FaultKind::Killed, now());
        let member = &mut self.nodes[node];
        member.executor.restart();
        member.node.restart()?;
        member.mark_started();
        member.may_exit = true;
        Ok(())
    }

    /// The node did not exit: from now on an exit is unexpected.
    pub fn confirm_survival(&mut self, node: usize) {
        self.nodes[node].may_exit = false;
        self.history.fault_ends(node, FaultKind::Killed, now());
        self.history.fault_ends(node, FaultKind::Gone, now());
    }

    /// Starts the first control service again with this disk.
    pub(super) fn start_control(&mut self, disk: Disk) -> io::Result<()> {
        let counter = self.control_service.counter_file();
        self.control_service.kill();
        match disk {
            Disk::Own => {}
            Disk::Old => {
                if let Some(old) = &self.old_counter_file {
                    std::fs::write(&counter, old)?;
                    self.history.version_numbers_reused = true;
                }
            }
            Disk::Empty => {
                std::fs::remove_file(&counter)
                    .or_else(|error| if counter.exists() { Err(error) } else { Ok(()) })?;
                self.history.version_numbers_reused = true;
            }
        }
        if let Some(shared) = &self.shared_budget {
            shared.prepare_store(0, &self.control_service, disk)?;
        }
        self.control_service_suspended = false;
        self.control_service.restart()
    }
}
