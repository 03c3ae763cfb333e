//! What a group's nodes share: one dependency that all of them call, budgets of it, and a keeper at each of one or two sites.

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

/// How a budget of calls in hand is divided in a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudgetConfig {
    pub total: u32,
    pub sites: usize,
    /// Set aside at each site, and what each of its nodes may use alone.
    pub set_aside: u32,
    pub unleased: u32,
    pub lease_ms: u32,
    pub max_use_ms: u32,
    /// How long a call takes.
    pub call_duration: Duration,
}

impl Default for SharedBudgetConfig {
    /// Leases short enough for tests; some of the whole for each of five nodes alone.
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

pub const SITES: [&str; 2] = ["a", "b"];

impl SharedBudgetConfig {
    /// The document with this whole, divided among the sites as evenly as may be.
    pub fn document(&self, whole: u32) -> String {
        let of =
            |site: usize| whole / self.sites as u32 + u32::from((site as u32) < whole % self.sites as u32);
        let sites: Vec<String> =
            (0..self.sites).map(|site| format!("{} = {}", SITES[site], of(site))).collect();
        format!(
            "[budget.calls]\nmeasure = \"in-hand\"\nwhole = {whole}\nset_aside = {}\nlease_ms = {}\n\
             longest_use_ms = {}\n[budget.calls.site]\n{}\n",
            self.set_aside,
            self.lease_ms,
            self.max_use_ms,
            sites.join("\n")
        )
    }

    /// What a node's operator's file has of it.
    pub fn operator_settings(&self) -> String {
        format!(
            "[budgets]\nin_hand = \"calls\"\ntrial_ms = 300\n[budgets.alone]\ncalls = {}\n",
            self.unleased
        )
    }
}

pub struct SharedBudget {
    pub config: SharedBudgetConfig,
    pub dependency: Dependency,
    /// The second site's control service, if there is one.
    pub second_control: Option<ControlServiceProcess>,
    pub second_control_suspended: bool,
    /// From each keeper to the other.
    pub lessor_links: Vec<FaultProxy>,
    pub total: u32,
    /// The whole was made smaller: what the dependency lives through follows once that is in effect.
    pending_total: Option<u32>,
    old_stores: [Option<Vec<u8>>; 2],
}

impl SharedBudget {
    /// Founds the keepers and gives the control services their words; does not start them.
    pub fn prepare(
        setting: SharedBudgetConfig,
        program: &Path,
        words: &[&str],
        first: &mut ControlServiceProcess,
        document: &Document,
    ) -> io::Result<SharedBudget> {
        let dependency = Dependency::start(setting.call_duration, setting.total as usize)?;
        let mut other = match setting.sites {
            2 => Some(ControlServiceProcess::prepare(program, words, "test", document)?),
            _ => None,
        };
        let mut between = Vec::new();
        first.extra_arguments = vec!["--keeper".into(), "a".into()];
        if let Some(other) = &mut other {
            between = vec![FaultProxy::tcp(other.address)?, FaultProxy::tcp(first.address)?];
            first.extra_arguments.extend(["--peer".into(), format!("b={}", between[0].address)]);
            other.extra_arguments =
                vec!["--keeper".into(), "b".into(), "--peer".into(), format!("a={}", between[1].address)];
            other.initialize_lessor("b", false)?;
        }
        first.initialize_lessor("a", false)?;
        let shared = SharedBudget {
            config: setting,
            dependency,
            second_control: other,
            second_control_suspended: false,
            lessor_links: between,
            total: setting.total,
            pending_total: None,
            old_stores: [None, None],
        };
        shared.publish(first, &setting.document(setting.total))?;
        Ok(shared)
    }

    fn publish(&self, first: &ControlServiceProcess, text: &str) -> io::Result<()> {
        for service in std::iter::once(first).chain(&self.second_control) {
            publish_file(service.documents.path(), "budgets.toml", text)?;
        }
        Ok(())
    }

    /// Publishes another whole.
    pub fn set_total(&mut self, first: &ControlServiceProcess, whole: u32) -> io::Result<()> {
        if whole >= self.total {
            self.dependency.set_capacity(whole.max(self.pending_total.map_or(0, |_| self.total)) as usize);
            self.pending_total = None;
        } else {
            self.pending_total = Some(whole);
        }
        self.total = whole;
        self.publish(first, &self.config.document(whole))
    }

    /// Once every keeper knows its holders and none has more in its books than it owns, a whole that was made smaller is what counts.
    pub fn apply_pending_total(&mut self, reports: &[Value]) {
        let Some(whole) = self.pending_total else { return };
        let in_effect = reports.iter().all(|report| {
            let calls = &report["budgets"]["calls"];
            let (owned, most) =
                (calls["owned"].as_u64(), calls["granted"].as_u64().zip(calls["in_doubt"].as_u64()));
            // A keeper that started anew does not know yet who holds what.
            calls["whole"] == whole
                && report["held_up"].is_null()
                && owned.zip(most).is_some_and(|(owned, (granted, doubt))| granted + doubt <= owned)
        });
        if in_effect
            && reports
                .iter()
                .map(|report| report["budgets"]["calls"]["owned"].as_u64().unwrap_or(u64::MAX))
                .sum::<u64>()
                <= u64::from(whole)
        {
            self.dependency.set_capacity(whole as usize);
            self.pending_total = None;
        }
    }

    /// Keeps what keepers' disks hold as yesterday's. As a crash would leave it: they stand still meanwhile.
    pub fn snapshot_stores(&mut self, first: &ControlServiceProcess) {
        for (place, service) in std::iter::once(first).chain(&self.second_control).enumerate() {
            service.signal(Signal::STOP);
            self.old_stores[place] =
                std::fs::read(service.lessor_store()).ok().or(self.old_stores[place].take());
            service.signal(Signal::CONT);
        }
    }

    /// Gives a keeper's store another past; `place` 0 for the first site.
    pub fn prepare_store(&self, place: usize, service: &ControlServiceProcess, disk: Disk) -> io::Result<()> {
        match disk {
            Disk::Own => Ok(()),
            Disk::Old => match &self.old_stores[place] {
                Some(old) => std::fs::write(service.lessor_store(), old),
                None => Ok(()),
            },
            Disk::Empty => {
                std::fs::remove_file(service.lessor_store())?;
                service.initialize_lessor(SITES[place], true)
            }
        }
    }

    pub fn cut_lessors(&self, directions: Directions) {
        let (to, back) = (
            matches!(directions, Directions::Both | Directions::To),
            matches!(directions, Directions::Both | Directions::Back),
        );
        // What the first says to the second goes over both links, each in one of its ways.
        for (proxy, first) in self.lessor_links.iter().zip([true, false]) {
            proxy.set_conditions(Direction::To, |rules| rules.held |= if first { to } else { back });
            proxy.set_conditions(Direction::Back, |rules| rules.held |= if first { back } else { to });
        }
    }

    pub fn heal(&self) {
        self.lessor_links.iter().for_each(FaultProxy::heal);
    }
}
