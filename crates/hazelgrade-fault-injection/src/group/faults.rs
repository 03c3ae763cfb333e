//! Injects faults into a group.

use super::Group;
use crate::direction::LinkConditions;
use crate::history::FaultKind;
use crate::plan::{Directions, Fault, Link};
use crate::proxy::{Direction, ms, now};
use crate::shared_budget::SharedBudget;
use rustix::process::Signal;
use std::io;
use std::time::Duration;

impl Group {
    /// Injects a fault. One whose process is not there is left out.
    ///
    /// # Errors
    ///
    /// If a process cannot be started, or a file cannot be written.
    pub fn inject(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Cut { .. }
            | Fault::Delay { .. }
            | Fault::Rate { .. }
            | Fault::Reset { .. }
            | Fault::ResetAfter { .. }
            | Fault::Refuse { .. }
            | Fault::DegradeDatagrams { .. }
            | Fault::Heal { .. } => self.inject_link_fault(fault),
            Fault::Stop { .. }
            | Fault::Wake { .. }
            | Fault::Kill { .. }
            | Fault::Term { .. }
            | Fault::TermThenKill { .. }
            | Fault::Hup { .. } => self.inject_node_fault(fault),
            Fault::Start { node, disk } => self.start_node(node, disk)?,
            Fault::KillControl => {
                self.control_service.kill();
                self.lessor_is_out(0);
            }
            Fault::StopControl => {
                self.control_service_suspended = self.control_service.signal(Signal::STOP);
                self.lessor_is_out(0);
            }
            Fault::WakeControl => {
                self.control_service.signal(Signal::CONT);
                self.control_service_suspended = false;
            }
            Fault::StartControl { disk } => self.start_control(disk)?,
            Fault::KillOther | Fault::StopOther => {
                self.inject_second_control_fault(fault)?;
                self.lessor_is_out(1);
            }
            Fault::WakeOther | Fault::StartOther { .. } => self.inject_second_control_fault(fault)?,
            Fault::CutKeepers { directions } => {
                self.shared_budget.iter().for_each(|shared| shared.cut_lessors(directions));
            }
            Fault::HealKeepers => self.shared_budget.iter().for_each(SharedBudget::heal),
            Fault::SetBudgetTotal { units } => {
                if let Some(shared) = &mut self.shared_budget {
                    shared.set_total(&self.control_service, units)?;
                }
            }
            Fault::Publish { harmful } => self.publish(harmful)?,
            Fault::Stall { ms } => self.stall(Duration::from_millis(u64::from(ms))),
        }
        Ok(())
    }

    /// Notes a fault of a link that excuses something.
    fn record_link_fault(&mut self, node: usize, link: Link, callers_fault: FaultKind) {
        match link {
            Link::Callers => self.history.fault_begins(node, callers_fault, now()),
            Link::Executor | Link::Database => self.history.fault_begins(node, FaultKind::Hampered, now()),
            Link::Registry | Link::Control => {}
        }
    }

    /// Holds the callers of a link, or hampers the node, by these conditions in both directions.
    fn hold_link(&mut self, node: usize, link: Link, change: impl Fn(&mut LinkConditions)) {
        self.record_link_fault(node, link, FaultKind::CallersHeld);
        self.nodes[node].proxy(link).set_both_conditions(change);
    }

    fn inject_link_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Cut { node, link, directions } => self.cut_link(node, link, directions),
            Fault::Delay { node, link, ms: delay } => {
                self.hold_link(node, link, |conditions| conditions.delay = ms(f64::from(delay)));
            }
            Fault::Rate { node, link, bytes_per_s } => {
                let rate = Some(f64::from(bytes_per_s));
                self.hold_link(node, link, |conditions| conditions.bytes_per_s = rate);
            }
            Fault::Reset { node, link } => self.reset_link(node, link),
            Fault::ResetAfter { node, link, bytes } => {
                self.record_link_fault(node, link, FaultKind::CallersReset);
                let proxy = self.nodes[node].proxy(link);
                proxy.set_conditions(Direction::Back, |conditions| {
                    conditions.reset_after = Some(u64::from(bytes));
                });
            }
            Fault::Refuse { node, link } => {
                self.record_link_fault(node, link, FaultKind::CallersReset);
                self.nodes[node].proxy(link).set_refusing(true);
            }
            Fault::DegradeDatagrams { node, lost, duplicated, reordered } => {
                let ratio = |percent: u32| f64::from(percent) / 100.0;
                self.nodes[node].proxy(Link::Registry).set_conditions(Direction::To, |conditions| {
                    conditions.lost = ratio(lost);
                    conditions.duplicated = ratio(duplicated);
                    conditions.reordered = ratio(reordered);
                });
            }
            Fault::Heal { node, link } => self.heal_link(node, link),
            _ => {}
        }
    }

    fn cut_link(&mut self, node: usize, link: Link, directions: Directions) {
        self.record_link_fault(node, link, FaultKind::CallersHeld);
        let directions: &[Direction] = match directions {
            Directions::Both => &[Direction::To, Direction::Back],
            Directions::To => &[Direction::To],
            Directions::Back => &[Direction::Back],
        };
        let proxy = self.nodes[node].proxy(link);
        for direction in directions {
            proxy.set_conditions(*direction, |conditions| conditions.held = true);
        }
    }

    fn reset_link(&mut self, node: usize, link: Link) {
        self.record_link_fault(node, link, FaultKind::CallersReset);
        self.nodes[node].proxy(link).reset();
        // A fault that lasts beside it goes on to excuse what it does.
        if self.nodes[node].proxy(link).is_faulty() {
            return;
        }
        let ended = if link == Link::Callers { FaultKind::CallersReset } else { FaultKind::Hampered };
        self.history.fault_ends(node, ended, now());
    }

    fn heal_link(&mut self, node: usize, link: Link) {
        self.nodes[node].proxy(link).heal();
        if link == Link::Callers {
            self.history.fault_ends(node, FaultKind::CallersHeld, now());
            self.history.fault_ends(node, FaultKind::CallersReset, now());
        }
        let dependencies = [Link::Executor, Link::Database];
        if !dependencies.iter().any(|link| self.nodes[node].proxy(*link).is_faulty()) {
            self.history.fault_ends(node, FaultKind::Hampered, now());
        }
    }

    fn inject_node_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Stop { node } => {
                self.history.fault_begins(node, FaultKind::Stopped, now());
                self.nodes[node].set_suspended(true);
            }
            Fault::Wake { node } => {
                self.nodes[node].set_suspended(false);
                self.history.fault_ends(node, FaultKind::Stopped, now());
            }
            Fault::Kill { node } => {
                self.history.fault_begins(node, FaultKind::Killed, now());
                let member = &mut self.nodes[node];
                member.node.kill();
                member.running = false;
                member.suspended = false;
                self.history.fault_ends(node, FaultKind::Stopped, now());
            }
            Fault::Term { node } => {
                let member = &mut self.nodes[node];
                member.draining = member.running && member.node.signal("TERM");
            }
            Fault::TermThenKill { node } => {
                let member = &mut self.nodes[node];
                member.draining = member.running && member.node.terminate_then_kill();
            }
            Fault::Hup { node } => {
                self.nodes[node].node.signal("HUP");
            }
            _ => {}
        }
    }

    fn inject_second_control_fault(&mut self, fault: Fault) -> io::Result<()> {
        let Some(shared) = &mut self.shared_budget else { return Ok(()) };
        let Some(mut second) = shared.second_control.take() else { return Ok(()) };
        match fault {
            Fault::KillOther => second.kill(),
            Fault::StopOther => shared.second_control_suspended = second.signal(Signal::STOP),
            Fault::WakeOther => {
                second.signal(Signal::CONT);
                shared.second_control_suspended = false;
            }
            Fault::StartOther { disk } => {
                second.kill();
                shared.prepare_store(1, &second, disk)?;
                shared.second_control_suspended = false;
                second.restart()?;
            }
            _ => {}
        }
        shared.second_control = Some(second);
        Ok(())
    }

    /// Suspends all processes for this long, as on a machine that stalls.
    fn stall(&mut self, duration: Duration) {
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].running && !self.nodes[*node].suspended)
            .collect();
        for node in &running {
            self.history.fault_begins(*node, FaultKind::Stopped, now());
            self.nodes[*node].set_suspended(true);
        }
        let service = !self.control_service_suspended && self.control_service.signal(Signal::STOP);
        let other = self.shared_budget.as_ref().filter(|shared| !shared.second_control_suspended);
        let other = other
            .and_then(|shared| shared.second_control.as_ref())
            .filter(|other| other.signal(Signal::STOP));
        std::thread::sleep(duration);
        if service {
            self.control_service.signal(Signal::CONT);
        }
        if let Some(other) = other {
            other.signal(Signal::CONT);
        }
        for node in &running {
            self.nodes[*node].set_suspended(false);
            self.history.fault_ends(*node, FaultKind::Stopped, now());
        }
    }
}
