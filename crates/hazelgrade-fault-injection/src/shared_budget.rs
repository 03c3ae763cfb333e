//! What a group's nodes share: one dependency that all of them call, budgets of it, and a keeper at each of one or two sites.

use crate::plan::{Directions, Disk};
use crate::proxy::{Direction, FaultProxy};
use hazelgrade_config::Document;
use hazelgrade_fakes::dependency::Dependency;
use hazelgrade_fakes::service::{Service, publish_as};
use rustix::process::Signal;
use serde_json::Value;
use std::io;
use std::path::Path;
use std::time::Duration;

/// How a budget of calls in hand is divided in a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Setting {
    pub whole: u32,
    pub sites: usize,
    /// Set aside at each site, and what each of its nodes may use alone.
    pub set_aside: u32,
    pub alone: u32,
    pub lease_ms: u32,
    pub longest_use_ms: u32,
    /// How long a call takes.
    pub call: Duration,
}

impl Default for Setting {
    /// Leases short enough for tests; some of the whole for each of five nodes alone.
    fn default() -> Setting {
        Setting {
            whole: 10,
            sites: 1,
            set_aside: 0,
            alone: 0,
            lease_ms: 600,
            longest_use_ms: 600,
            call: Duration::from_millis(60),
        }
    }
}

pub const SITES: [&str; 2] = ["a", "b"];

impl Setting {
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
            self.longest_use_ms,
            sites.join("\n")
        )
    }

    /// What a node's operator's file has of it.
    pub fn operator(&self) -> String {
        format!("[budgets]\nin_hand = \"calls\"\ntrial_ms = 300\n[budgets.alone]\ncalls = {}\n", self.alone)
    }
}

pub struct Shared {
    pub setting: Setting,
    pub dependency: Dependency,
    /// The second site's control service, if there is one.
    pub other: Option<Service>,
    pub other_stopped: bool,
    /// From each keeper to the other.
    pub between: Vec<FaultProxy>,
    pub whole: u32,
    /// The whole was made smaller: what the dependency lives through follows once that is in effect.
    lowered: Option<u32>,
    old: [Option<Vec<u8>>; 2],
}

impl Shared {
    /// Founds the keepers and gives the control services their words; does not start them.
    pub fn prepare(
        setting: Setting,
        program: &Path,
        words: &[&str],
        first: &mut Service,
        document: &Document,
    ) -> io::Result<Shared> {
        let dependency = Dependency::start(setting.call, setting.whole as usize)?;
        let mut other = match setting.sites {
            2 => Some(Service::prepare(program, words, "test", document)?),
            _ => None,
        };
        let mut between = Vec::new();
        first.extra = vec!["--keeper".into(), "a".into()];
        if let Some(other) = &mut other {
            between = vec![FaultProxy::tcp(other.address)?, FaultProxy::tcp(first.address)?];
            first.extra.extend(["--peer".into(), format!("b={}", between[0].address)]);
            other.extra =
                vec!["--keeper".into(), "b".into(), "--peer".into(), format!("a={}", between[1].address)];
            other.found("b", false)?;
        }
        first.found("a", false)?;
        let shared = Shared {
            setting,
            dependency,
            other,
            other_stopped: false,
            between,
            whole: setting.whole,
            lowered: None,
            old: [None, None],
        };
        shared.publish(first, &setting.document(setting.whole))?;
        Ok(shared)
    }

    fn publish(&self, first: &Service, text: &str) -> io::Result<()> {
        for service in std::iter::once(first).chain(&self.other) {
            publish_as(service.documents.path(), "budgets.toml", text)?;
        }
        Ok(())
    }

    /// Publishes another whole.
    pub fn whole(&mut self, first: &Service, whole: u32) -> io::Result<()> {
        if whole >= self.whole {
            self.dependency.lives_through(whole.max(self.lowered.map_or(0, |_| self.whole)) as usize);
            self.lowered = None;
        } else {
            self.lowered = Some(whole);
        }
        self.whole = whole;
        self.publish(first, &self.setting.document(whole))
    }

    /// Once every keeper knows its holders and none has more in its books than it owns, a whole that was made smaller is what counts.
    pub fn look(&mut self, reports: &[Value]) {
        let Some(whole) = self.lowered else { return };
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
            self.dependency.lives_through(whole as usize);
            self.lowered = None;
        }
    }

    /// Keeps what keepers' disks hold as yesterday's. As a crash would leave it: they stand still meanwhile.
    pub fn remember(&mut self, first: &Service) {
        for (place, service) in std::iter::once(first).chain(&self.other).enumerate() {
            service.signal(Signal::STOP);
            self.old[place] = std::fs::read(service.keeper_store()).ok().or(self.old[place].take());
            service.signal(Signal::CONT);
        }
    }

    /// Gives a keeper's store another past; `place` 0 for the first site.
    pub fn disk(&self, place: usize, service: &Service, disk: Disk) -> io::Result<()> {
        match disk {
            Disk::Own => Ok(()),
            Disk::Old => match &self.old[place] {
                Some(old) => std::fs::write(service.keeper_store(), old),
                None => Ok(()),
            },
            Disk::Empty => {
                std::fs::remove_file(service.keeper_store())?;
                service.found(SITES[place], true)
            }
        }
    }

    pub fn cut(&self, directions: Directions) {
        let (to, back) = (
            matches!(directions, Directions::Both | Directions::To),
            matches!(directions, Directions::Both | Directions::Back),
        );
        // What the first says to the second goes over both links, each in one of its ways.
        for (proxy, first) in self.between.iter().zip([true, false]) {
            proxy.set(Direction::To, |rules| rules.held |= if first { to } else { back });
            proxy.set(Direction::Back, |rules| rules.held |= if first { back } else { to });
        }
    }

    pub fn heal(&self) {
        self.between.iter().for_each(FaultProxy::heal);
    }
}
