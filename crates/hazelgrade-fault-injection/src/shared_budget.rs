//! A budget that the nodes of a group share: one dependency that all of them call, and a lessor at each of one or two
//! sites.

use crate::plan::{Directions, Disk};
use crate::proxy::{Direction, FaultProxy};
use hazelgrade_config::Document;
use hazelgrade_fakes::control_process::{ControlServiceProcess, publish_file};
use hazelgrade_fakes::dependency::Dependency;
use rustix::process::Signal;
use serde_json::Value;
use std::io;
use std::path::Path;
use std::time::Duration;

/// How a budget of calls in flight is divided in a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudgetConfig {
    /// Units over all sites.
    pub total: u32,
    /// How many sites there are, 1 or 2.
    pub sites: usize,
    /// Units set aside at each site.
    pub set_aside: u32,
    /// Units that each node may use without a lease.
    pub unleased: u32,
    /// How long a lease lasts, in ms.
    pub lease_ms: u32,
    /// How long a unit may be used at most, in ms.
    pub max_use_ms: u32,
    /// How long a call takes.
    pub call_duration: Duration,
}

impl Default for SharedBudgetConfig {
    /// Leases short enough for tests.
    fn default() -> SharedBudgetConfig {
        SharedBudgetConfig {
            total: 10,
            sites: 1,
            set_aside: 0,
            unleased: 0,
            lease_ms: 600,
            max_use_ms: 600,
            call_duration: Duration::from_millis(60),
        }
    }
}

/// Names of the sites.
pub const SITES: [&str; 2] = ["a", "b"];

impl SharedBudgetConfig {
    /// The budgets document with this total, divided among the sites as evenly as possible.
    pub fn document(&self, total: u32) -> String {
        let units =
            |site: usize| total / self.sites as u32 + u32::from((site as u32) < total % self.sites as u32);
        let sites: Vec<String> =
            (0..self.sites).map(|site| format!("{} = {}", SITES[site], units(site))).collect();
        format!(
            "[budget.calls]\nmeasure = \"in-hand\"\nwhole = {total}\nset_aside = {}\nlease_ms = {}\n\
             longest_use_ms = {}\n[budget.calls.site]\n{}\n",
            self.set_aside,
            self.lease_ms,
            self.max_use_ms,
            sites.join("\n")
        )
    }

    /// The longest that units of a lease may be in use by its documents.
    fn max_lease_and_use(&self) -> Duration {
        Duration::from_millis(u64::from(self.lease_ms) + u64::from(self.max_use_ms))
    }

    /// The budget's tables of a node's operator's file.
    pub fn operator_settings(&self) -> String {
        format!(
            "[budgets]\nin_hand = \"calls\"\ntrial_ms = 300\n[budgets.alone]\ncalls = {}\n",
            self.unleased
        )
    }
}

/// A shared budget with its dependency.
pub struct SharedBudget {
    /// How it is divided.
    pub config: SharedBudgetConfig,
    /// What all nodes call.
    pub dependency: Dependency,
    /// The second site's control service, if there is one.
    pub second_control: Option<ControlServiceProcess>,
    /// Whether that was suspended by a signal.
    pub second_control_suspended: bool,
    /// The proxy from each lessor to the other.
    pub lessor_links: Vec<FaultProxy>,
    /// The total that was published last.
    pub total: u32,
    /// A lower total that is published and not in effect: the dependency's capacity follows once it is.
    pending_total: Option<u32>,
    old_stores: [Option<Vec<u8>>; 2],
}

impl SharedBudget {
    /// Creates the lessors' stores and gives the control services their arguments; does not start them.
    ///
    /// # Errors
    ///
    /// If a file, port or store cannot be made.
    pub fn prepare(
        config: SharedBudgetConfig,
        program: &Path,
        arguments: &[&str],
        first: &mut ControlServiceProcess,
        document: &Document,
    ) -> io::Result<SharedBudget> {
        let dependency = Dependency::start(config.call_duration, config.total as usize)?;
        let mut second = match config.sites {
            2 => Some(ControlServiceProcess::prepare(program, arguments, "test", document)?),
            _ => None,
        };
        let mut lessor_links = Vec::new();
        first.extra_arguments = vec!["--keeper".into(), "a".into()];
        if let Some(second) = &mut second {
            lessor_links = vec![FaultProxy::tcp(second.address)?, FaultProxy::tcp(first.address)?];
            first.extra_arguments.extend(["--peer".into(), format!("b={}", lessor_links[0].address)]);
            second.extra_arguments = vec![
                "--keeper".into(),
                "b".into(),
                "--peer".into(),
                format!("a={}", lessor_links[1].address),
            ];
            second.initialize_lessor("b", None)?;
        }
        first.initialize_lessor("a", None)?;
        let shared = SharedBudget {
            config,
            dependency,
            second_control: second,
            second_control_suspended: false,
            lessor_links,
            total: config.total,
            pending_total: None,
            old_stores: [None, None],
        };
        shared.publish(first, &config.document(config.total))?;
        Ok(shared)
    }

    fn publish(&self, first: &ControlServiceProcess, text: &str) -> io::Result<()> {
        for service in std::iter::once(first).chain(&self.second_control) {
            publish_file(service.documents.path(), "budgets.toml", text)?;
        }
        Ok(())
    }

    /// Publishes another total.
    ///
    /// # Errors
    ///
    /// If it cannot be written.
    pub fn set_total(&mut self, first: &ControlServiceProcess, total: u32) -> io::Result<()> {
        if total >= self.total {
            self.dependency.set_capacity(total.max(self.pending_total.map_or(0, |_| self.total)) as usize);
            self.pending_total = None;
        } else {
            self.pending_total = Some(total);
        }
        self.total = total;
        self.publish(first, &self.config.document(total))
    }

    /// Lowers the dependency's capacity to a lower total once it is in effect: every lessor knows its holders and none
    /// has leased more than it owns.
    pub fn apply_pending_total(&mut self, reports: &[Value]) {
        let Some(total) = self.pending_total else { return };
        let in_effect = reports.iter().all(|report| {
            let calls = &report["budgets"]["calls"];
            let (owned, leased) =
                (calls["owned"].as_u64(), calls["granted"].as_u64().zip(calls["in_doubt"].as_u64()));
            // A lessor that started anew does not know yet who holds what.
            calls["whole"] == total
                && report["held_up"].is_null()
                && owned.zip(leased).is_some_and(|(owned, (granted, doubt))| granted + doubt <= owned)
        });
        if in_effect
            && reports
                .iter()
                .map(|report| report["budgets"]["calls"]["owned"].as_u64().unwrap_or(u64::MAX))
                .sum::<u64>()
                <= u64::from(total)
        {
            self.dependency.set_capacity(total as usize);
            self.pending_total = None;
        }
    }

    /// Copies the lessors' stores as a crash would leave them: their processes are suspended meanwhile.
    pub fn snapshot_stores(&mut self, first: &ControlServiceProcess) {
        for (site, service) in std::iter::once(first).chain(&self.second_control).enumerate() {
            service.signal(Signal::STOP);
            self.old_stores[site] =
                std::fs::read(service.lessor_store()).ok().or(self.old_stores[site].take());
            service.signal(Signal::CONT);
        }
    }

    /// Replaces the store of the lessor at this site, counted from 0, for its next start.
    ///
    /// # Errors
    ///
    /// If the store cannot be written.
    pub fn prepare_store(&self, site: usize, service: &ControlServiceProcess, disk: Disk) -> io::Result<()> {
        match disk {
            Disk::Own => Ok(()),
            Disk::Old => match &self.old_stores[site] {
                Some(old) => std::fs::write(service.lessor_store(), old),
                None => Ok(()),
            },
            Disk::Empty => {
                std::fs::remove_file(service.lessor_store())?;
                service.initialize_lessor(SITES[site], Some(self.config.max_lease_and_use()))
            }
        }
    }

    /// Holds what the lessors send to each other.
    pub fn cut_lessors(&self, directions: Directions) {
        let (to, back) = (
            matches!(directions, Directions::Both | Directions::To),
            matches!(directions, Directions::Both | Directions::Back),
        );
        // What the first sends to the second passes both links, each in one of its directions.
        for (proxy, first) in self.lessor_links.iter().zip([true, false]) {
            proxy
                .set_conditions(Direction::To, |conditions| conditions.held |= if first { to } else { back });
            proxy.set_conditions(Direction::Back, |conditions| {
                conditions.held |= if first { back } else { to }
            });
        }
    }

    /// Ends every fault between the lessors.
    pub fn heal(&self) {
        self.lessor_links.iter().for_each(FaultProxy::heal);
    }
}
