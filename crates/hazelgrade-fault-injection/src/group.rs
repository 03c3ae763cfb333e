//! A group: nodes as processes, each with an executor and a database of its own, one registry, one control service, and
//! callers; with an edge on every way between two of them.

use crate::history::{FaultKind, History, Job, NodeObservation};
use crate::plan::{Directions, Disk, Fault, Link};
use crate::proxy::{Direction, FaultProxy, at, ms, now};
use crate::shared_budget::{SharedBudget, SharedBudgetConfig};
use hazelgrade_config::{Document, Version};
use hazelgrade_fakes::callers::{Callers, JobOutcome};
use hazelgrade_fakes::control_process::ControlServiceProcess;
use hazelgrade_fakes::documents::{BOOK, DocumentError, JobClassEntry, READ, document};
use hazelgrade_fakes::executor::{Executor, Workload};
use hazelgrade_fakes::node_process::{NodeConfig, NodeProcess};
use hazelgrade_fakes::registry::Registry;
use hazelgrade_fakes::{database, free_address, test_environment, wait_until};
use rustix::process::Signal;
use serde_json::Value;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const WORK: Workload = Workload { cores: 4, job_duration: Duration::from_millis(16), makes_call: true };
const CALL: Duration = Duration::from_millis(2);
const TRIAL: &str = "lineage = \"test\"\n[stream.trial]\nspan_ms = 300\nleast_jobs = 8\n";
const CUT_OFF_MS: f64 = 3000.0;
/// By how much later than given an answer may be read on a crowded machine.
const GRACE_MS: f64 = 1000.0;
/// What must come in the end has come by then, however crowded the machine is.
const AT_LAST: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Why a group does not start.
#[derive(Debug, thiserror::Error)]
pub enum GroupError {
    /// A process, file or socket could not be made.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A node did not become ready in time.
    #[error("the group doesn't start: {status}")]
    NotReady {
        /// The control service's status at that time.
        status: Value,
    },
}

pub struct GroupNode {
    pub node: NodeProcess,
    pub executor: Executor,
    pub proxies: [FaultProxy; 5],
    /// A copy of its store, as it was when the version before the last one was published.
    old_store: Option<Vec<u8>>,
    disk: u32,
    suspended: bool,
    /// Last seen to run.
    last_seen_running: Instant,
    running: bool,
    draining: bool,
    /// By its own store, for a test.
    may_exit: bool,
    callers: Option<Callers>,
    /// What the operator's file has of the stream and what goes with it.
    stream_settings: String,
}

pub struct Group {
    pub folder: TempDir,
    pub nodes: Vec<GroupNode>,
    pub control_service: ControlServiceProcess,
    pub registry: Registry,
    pub history: History,
    /// What all nodes share, where they share something.
    pub shared_budget: Option<SharedBudget>,
    control_service_suspended: bool,
    old_counter_file: Option<Vec<u8>>,
    /// Documents that were published so far, and the digest of the last.
    pub published_documents: u64,
    pub published_digest: String,
    last_status_poll: Instant,
    /// Which nodes stand how, of which digest, when the control service was last asked.
    pub standings: Vec<(String, String)>,
}

/// A digest as the control service shows it.
fn shown_digest(document: &Document) -> String {
    let version = Version { number: 0, digest: document.digest() }.to_string();
    version.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// A document that differs from all others by a job class of its own.
fn numbered_document(count: u64, harmful: bool) -> Result<Document, DocumentError> {
    let mark = format!("v{count}");
    let own: JobClassEntry = (&mark, 1000, 3000, 1);
    let read = if harmful { ("read", 2, 10, 1) } else { READ };
    document(&[read, BOOK, own], 1, "")
}

impl GroupNode {
    pub fn proxy(&self, link: Link) -> &FaultProxy {
        &self.proxies[link as usize]
    }

    pub fn is_ready(&self) -> bool {
        self.running && !self.suspended && self.node.health_check() == Some(true)
    }

    pub fn job_count(&self) -> usize {
        self.callers.as_ref().map_or(0, Callers::count)
    }

    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Adds this to the operator's file from the next start on, in place of what was added before.
    pub fn set_operator_settings(&mut self, text: &str) -> io::Result<()> {
        self.node.config.stream = format!("{}{text}", self.stream_settings);
        self.node.config.write()
    }

    fn set_suspended(&mut self, stop: bool) {
        if self.running && self.node.signal(if stop { "STOP" } else { "CONT" }) {
            self.suspended = stop;
        }
    }
}

impl Group {
    /// Starts all processes and waits until each node has the first version as its good one and callers are answered.
    pub fn start(program: &Path, words: &[&str], nodes: usize, rate: f64) -> Result<Group, GroupError> {
        Group::start_with(program, words, nodes, rate, None)
    }

    /// The same for nodes that share a budget of calls below.
    pub fn start_with(
        program: &Path,
        words: &[&str],
        nodes: usize,
        rate: f64,
        setting: Option<SharedBudgetConfig>,
    ) -> Result<Group, GroupError> {
        Group::begin(program, words, nodes, rate, setting)?.await_start()
    }

    fn begin(
        program: &Path,
        words: &[&str],
        nodes: usize,
        rate: f64,
        setting: Option<SharedBudgetConfig>,
    ) -> io::Result<Group> {
        let first = numbered_document(1, false).map_err(io::Error::other)?;
        let mut service = ControlServiceProcess::prepare(program, words, "test", &first)?;
        let mut shared = match setting {
            Some(setting) => Some(SharedBudget::prepare(setting, program, words, &mut service, &first)?),
            None => None,
        };
        service.restart()?;
        let other = shared.as_mut().and_then(|shared| shared.second_control.as_mut());
        let mut controls = vec![service.address];
        if let Some(other) = other {
            other.restart()?;
            controls.push(other.address);
        }
        let trial = match &shared {
            Some(shared) => format!("{TRIAL}{}", shared.config.operator_settings()),
            None => TRIAL.to_owned(),
        };
        let (folder, registry) = (tempfile::tempdir()?, Registry::start()?);
        let mut members = Vec::new();
        for number in 0..nodes {
            let executor = Executor::start(WORK)?;
            let listen = free_address();
            let proxies = [
                FaultProxy::tcp(listen)?,
                FaultProxy::tcp(executor.address)?,
                FaultProxy::tcp(match &shared {
                    Some(shared) => shared.dependency.address,
                    None => database::start(CALL)?,
                })?,
                FaultProxy::udp(registry.address, number as u64)?,
                FaultProxy::tcp(controls[number % controls.len()])?,
            ];
            let plan = NodeConfig {
                program: program.into(),
                arguments: words.iter().map(|word| (*word).to_owned()).collect(),
                directory: folder.path().into(),
                name: format!("n{number}"),
                listen,
                executor: proxies[Link::Executor as usize].address,
                registry: proxies[Link::Registry as usize].address,
                database: Some(proxies[Link::Database as usize].address),
                control: vec![proxies[Link::Control as usize].address],
                stream: trial.clone(),
                stop_ms: 5000,
                log: std::env::var("RIG_LOG").unwrap_or_else(|_| "off".into()),
            };
            let callers = Some(test_environment::start_callers(
                proxies[Link::Callers as usize].address,
                rate,
                &["read"],
            ));
            members.push(GroupNode {
                node: plan.start()?,
                executor,
                proxies,
                old_store: None,
                disk: 0,
                suspended: false,
                last_seen_running: Instant::now(),
                running: true,
                draining: false,
                may_exit: false,
                callers,
                stream_settings: trial.clone(),
            });
        }
        let numbers_anew = controls.len() > 1;
        let mut history = History {
            version_numbers_reused: numbers_anew,
            deadline: ms(CUT_OFF_MS),
            grace: ms(GRACE_MS),
            ..History::default()
        };
        // Until it listens, what callers send is refused.
        (0..nodes).for_each(|node| history.fault_begins(node, FaultKind::Gone, now()));
        Ok(Group {
            folder,
            nodes: members,
            control_service: service,
            registry,
            history,
            shared_budget: shared,
            control_service_suspended: false,
            old_counter_file: None,
            published_documents: 1,
            published_digest: shown_digest(&first),
            last_status_poll: Instant::now(),
            standings: vec![Default::default(); nodes],
        })
    }

    fn await_start(mut self) -> Result<Group, GroupError> {
        if !self.recovers() {
            return Err(GroupError::NotReady { status: self.control_service.status() });
        }
        Ok(self)
    }

    /// Waits until each node is ready, has the latest version as its good one, and goes on answering its callers.
    fn recovers(&mut self) -> bool {
        let digest = self.published_digest.clone();
        let good = self.wait_until(AT_LAST, |group| {
            group.standings.iter().all(|(of, standing)| of.ends_with(&digest) && standing == "good")
                && group.nodes.iter().all(GroupNode::is_ready)
        });
        if good {
            (0..self.nodes.len()).for_each(|node| self.history.fault_ends(node, FaultKind::Gone, now()));
        }
        let before: Vec<usize> = self.nodes.iter().map(GroupNode::job_count).collect();
        good && self.wait_until(AT_LAST, |group| {
            group.nodes.iter().zip(&before).all(|(member, before)| member.job_count() >= before + 10)
        })
    }

    /// Waits for something, and keeps the account meanwhile; `false` if it doesn't come in time.
    pub fn wait_until(&mut self, within: Duration, mut so: impl FnMut(&mut Group) -> bool) -> bool {
        wait_until(within, || {
            self.observe();
            so(self)
        })
    }

    /// Notes which processes run and who serves by what.
    pub fn observe(&mut self) {
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
        if self.last_status_poll.elapsed() < POLL_INTERVAL
            || !self.control_service.is_running()
            || self.control_service_suspended
        {
            return;
        }
        self.last_status_poll = Instant::now();
        let mut statuses = vec![self.control_service.status()];
        if let Some(shared) = &mut self.shared_budget {
            let mut reports = vec![self.control_service.budget_status()];
            if let Some(other) = shared
                .second_control
                .as_ref()
                .filter(|other| other.is_running() && !shared.second_control_suspended)
            {
                statuses.push(other.status());
                reports.push(other.budget_status());
            }
            // Both have to say so.
            if reports.len() == shared.config.sites {
                shared.apply_pending_total(&reports);
            }
        }
        for (number, member) in self.nodes.iter().enumerate() {
            let sites = self.shared_budget.as_ref().map_or(1, |shared| shared.config.sites);
            let Some(status) = statuses.get(number % sites) else { continue };
            let nodes = status["nodes"].as_array();
            let Some(node) =
                nodes.and_then(|nodes| nodes.iter().find(|node| node["name"] == member.node.config.name))
            else {
                continue;
            };
            let word = |field: &str| node[field].as_str().unwrap_or_default().to_owned();
            self.standings[number] = (word("of"), word("standing"));
            let has = word("has");
            if let Some((version, digest)) = has.split_once(' ')
                && let Ok(version) = version.parse()
            {
                let standing = if word("of") == has { word("standing") } else { String::new() };
                let (digest, at) = (digest.to_owned(), now());
                self.history.record_observation(NodeObservation {
                    node: number,
                    at,
                    since: at,
                    disk: member.disk,
                    number: version,
                    digest,
                    standing,
                });
            }
        }
    }

    fn record_held_link(&mut self, node: usize, link: Link, fault_kind: FaultKind) {
        match link {
            Link::Callers => self.history.fault_begins(node, fault_kind, now()),
            Link::Executor | Link::Database => self.history.fault_begins(node, FaultKind::Hampered, now()),
            Link::Registry | Link::Control => {}
        }
    }

    /// Brings a fault about. What can't be, as its process is not there, is left out.
    pub fn inject(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Cut { node, link, directions } => {
                self.record_held_link(node, link, FaultKind::CallersHeld);
                let proxy = self.nodes[node].proxy(link);
                let directions: &[Direction] = match directions {
                    Directions::Both => &[Direction::To, Direction::Back],
                    Directions::To => &[Direction::To],
                    Directions::Back => &[Direction::Back],
                };
                directions.iter().for_each(|way| proxy.set_conditions(*way, |rules| rules.held = true));
            }
            Fault::Delay { node, link, ms: late } => {
                self.record_held_link(node, link, FaultKind::CallersHeld);
                let proxy = self.nodes[node].proxy(link);
                proxy.set_both_conditions(|rules| rules.delay = ms(f64::from(late)));
            }
            Fault::Rate { node, link, bytes_per_s } => {
                self.record_held_link(node, link, FaultKind::CallersHeld);
                let proxy = self.nodes[node].proxy(link);
                proxy.set_both_conditions(|rules| rules.bytes_per_s = Some(f64::from(bytes_per_s)));
            }
            Fault::Reset { node, link } => {
                self.record_held_link(node, link, FaultKind::CallersReset);
                self.nodes[node].proxy(link).reset();
                // A fault that lasts beside it goes on to excuse what it does.
                let lasts = self.nodes[node].proxy(link).is_faulty();
                match link {
                    _ if lasts => {}
                    Link::Callers => self.history.fault_ends(node, FaultKind::CallersReset, now()),
                    _ => self.history.fault_ends(node, FaultKind::Hampered, now()),
                }
            }
            Fault::ResetAfter { node, link, bytes } => {
                self.record_held_link(node, link, FaultKind::CallersReset);
                let proxy = self.nodes[node].proxy(link);
                proxy.set_conditions(Direction::Back, |rules| rules.reset_after = Some(u64::from(bytes)));
            }
            Fault::Refuse { node, link } => {
                self.record_held_link(node, link, FaultKind::CallersReset);
                self.nodes[node].proxy(link).set_refusing(true);
            }
            Fault::DegradeDatagrams { node, lost, duplicated: doubled, reordered: overtaken } => {
                let part = |of: u32| f64::from(of) / 100.0;
                self.nodes[node].proxy(Link::Registry).set_conditions(Direction::To, |rules| {
                    (rules.lost, rules.duplicated, rules.reordered) =
                        (part(lost), part(doubled), part(overtaken));
                });
            }
            Fault::Heal { node, link } => {
                self.nodes[node].proxy(link).heal();
                if link == Link::Callers {
                    self.history.fault_ends(node, FaultKind::CallersHeld, now());
                    self.history.fault_ends(node, FaultKind::CallersReset, now());
                }
                let below = [Link::Executor, Link::Database];
                if !below.iter().any(|link| self.nodes[node].proxy(*link).is_faulty()) {
                    self.history.fault_ends(node, FaultKind::Hampered, now());
                }
            }
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
                (member.running, member.suspended) = (false, false);
                self.history.fault_ends(node, FaultKind::Stopped, now());
            }
            Fault::Term { node } => {
                let member = &mut self.nodes[node];
                member.draining = member.running && member.node.signal("TERM");
            }
            Fault::Hup { node } => {
                self.nodes[node].node.signal("HUP");
            }
            Fault::Start { node, disk } => self.start_node(node, disk)?,
            Fault::KillControl => self.control_service.kill(),
            Fault::StopControl => self.control_service_suspended = self.control_service.signal(Signal::STOP),
            Fault::WakeControl => {
                self.control_service.signal(Signal::CONT);
                self.control_service_suspended = false;
            }
            Fault::StartControl { disk } => self.start_control(disk)?,
            Fault::KillOther | Fault::StopOther | Fault::WakeOther | Fault::StartOther { .. } => {
                self.inject_other(fault)?;
            }
            Fault::CutKeepers { directions } => {
                self.shared_budget.iter().for_each(|shared| shared.cut_lessors(directions))
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

    fn inject_other(&mut self, fault: Fault) -> io::Result<()> {
        let Some(shared) = &mut self.shared_budget else { return Ok(()) };
        let Some(mut other) = shared.second_control.take() else { return Ok(()) };
        match fault {
            Fault::KillOther => other.kill(),
            Fault::StopOther => shared.second_control_suspended = other.signal(Signal::STOP),
            Fault::WakeOther => {
                other.signal(Signal::CONT);
                shared.second_control_suspended = false;
            }
            Fault::StartOther { disk } => {
                other.kill();
                shared.prepare_store(1, &other, disk)?;
                shared.second_control_suspended = false;
                other.restart()?;
            }
            _ => {}
        }
        shared.second_control = Some(other);
        Ok(())
    }

    fn start_node(&mut self, node: usize, disk: Disk) -> io::Result<()> {
        self.observe();
        let member = &mut self.nodes[node];
        if member.running {
            if !member.draining {
                return Ok(());
            }
            // It is to take its own place once it has left.
            let _ = wait_until(AT_LAST, || member.node.exit_status().is_some());
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
        (member.running, member.draining, member.suspended, member.last_seen_running) =
            (true, false, false, Instant::now());
        member.may_exit = false;
        self.history.fault_ends(node, FaultKind::Killed, now());
        let began = Instant::now();
        let member = &self.nodes[node];
        if wait_until(AT_LAST, || member.node.health_check().is_some()) {
            self.history.fault_ends(node, FaultKind::Gone, now());
        } else {
            self.history
                .unmet_expectations
                .push(format!("node {node} does not listen after {:?}", began.elapsed()));
        }
        Ok(())
    }

    /// Starts a node that may die by its own store at any moment from now on.
    pub fn starts_and_may_die(&mut self, node: usize) -> io::Result<()> {
        self.history.fault_begins(node, FaultKind::Killed, now());
        let member = &mut self.nodes[node];
        member.executor.restart();
        member.node.restart()?;
        (member.running, member.draining, member.may_exit, member.last_seen_running) =
            (true, false, true, Instant::now());
        Ok(())
    }

    /// It did not die: from now on it may not.
    pub fn survived(&mut self, node: usize) {
        self.nodes[node].may_exit = false;
        self.history.fault_ends(node, FaultKind::Killed, now());
        self.history.fault_ends(node, FaultKind::Gone, now());
    }

    /// Whether callers of this node are served by the latest document, seen by a job class of its own.
    pub fn serves_latest(&self, node: usize, within: Duration) -> bool {
        let latest = format!("v{}", self.published_documents);
        let callers =
            test_environment::start_callers(self.nodes[node].proxy(Link::Callers).address, 50.0, &[&latest]);
        let served =
            wait_until(within, || callers.results().iter().any(|told| told.outcome == JobOutcome::Succeeded));
        callers.stop();
        served
    }

    fn start_control(&mut self, disk: Disk) -> io::Result<()> {
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

    /// Publishes another document, and keeps what disks hold as yesterday's.
    pub fn publish(&mut self, harmful: bool) -> io::Result<()> {
        for member in &mut self.nodes {
            // As a crash would leave it: not while it is being written.
            let stop = member.running && !member.suspended;
            if stop {
                member.set_suspended(true);
            }
            member.old_store =
                std::fs::read(member.node.config.store_file()).ok().or(member.old_store.take());
            if stop {
                member.set_suspended(false);
            }
        }
        if let Some(shared) = &mut self.shared_budget
            && !self.control_service_suspended
            && !shared.second_control_suspended
        {
            shared.snapshot_stores(&self.control_service);
        }
        self.old_counter_file =
            std::fs::read(self.control_service.counter_file()).ok().or(self.old_counter_file.take());
        self.published_documents += 1;
        let document = numbered_document(self.published_documents, harmful).map_err(io::Error::other)?;
        self.published_digest = shown_digest(&document);
        if harmful {
            self.history.harmful.push(self.published_digest.clone());
        }
        if let Some(other) = self.shared_budget.as_ref().and_then(|shared| shared.second_control.as_ref()) {
            other.publish(&document.to_toml())?;
        }
        self.control_service.publish(&document.to_toml())
    }

    /// All processes stand still, as on a machine that stalls.
    fn stall(&mut self, lasting: Duration) {
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
        std::thread::sleep(lasting);
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

    /// Ends every fault, sees that all is well again, and has all leave; gives the account.
    pub fn finish(mut self) -> History {
        let failed = |error: io::Error| error.to_string();
        for node in 0..self.nodes.len() {
            for link in [Link::Callers, Link::Executor, Link::Database, Link::Registry, Link::Control] {
                let _ = self.inject(Fault::Heal { node, link });
            }
            if self.nodes[node].suspended {
                let _ = self.inject(Fault::Wake { node });
            }
            self.observe();
            if (!self.nodes[node].running || self.nodes[node].draining)
                && let Err(why) = self.inject(Fault::Start { node, disk: Disk::Own }).map_err(failed)
            {
                self.history.unmet_expectations.push(format!("node {node} can't be started: {why}"));
            }
        }
        if self.control_service_suspended {
            let _ = self.inject(Fault::WakeControl);
        }
        if !self.control_service.is_running()
            && let Err(why) = self.start_control(Disk::Own).map_err(failed)
        {
            self.history.unmet_expectations.push(format!("the control service can't be started: {why}"));
        }
        if let Some(shared) = &self.shared_budget {
            shared.heal();
            let (stopped, running) = (
                shared.second_control_suspended,
                shared.second_control.as_ref().is_none_or(ControlServiceProcess::is_running),
            );
            let again = if stopped { Some(Fault::WakeOther) } else { None };
            let again = if running { again } else { Some(Fault::StartOther { disk: Disk::Own }) };
            if let Some(Err(why)) = again.map(|fault| self.inject(fault).map_err(failed)) {
                self.history
                    .unmet_expectations
                    .push(format!("the other control service can't be started: {why}"));
            }
        }
        // Of what was published while things failed a node may have gone back; a fresh one is taken by all.
        if let Err(why) = self.publish(false).map_err(failed) {
            self.history.unmet_expectations.push(format!("nothing can be published: {why}"));
        }
        if !self.recovers() {
            let stand: Vec<String> = (0..self.nodes.len())
                .map(|node| {
                    let member = &self.nodes[node];
                    let (of, standing) = &self.standings[node];
                    format!(
                        "n{node} running {} stopped {} ready {} {of} {standing}, {} jobs",
                        member.running,
                        member.suspended,
                        member.is_ready(),
                        member.job_count()
                    )
                })
                .collect();
            self.history.unmet_expectations.push(format!(
                "{} expected: {}",
                self.published_digest,
                stand.join("; ")
            ));
        }
        self.check_served_documents();
        for (number, member) in self.nodes.iter_mut().enumerate() {
            let Some(callers) = member.callers.take() else { continue };
            let (told, twice) = callers.stop();
            self.history.unmatched_answers += twice;
            self.history.jobs.extend(told.into_iter().map(|told| Job {
                node: number,
                id: told.id,
                sent: at(told.sent),
                latency: ms(told.latency.as_secs_f64() * 1000.0),
                outcome: told.outcome,
            }));
        }
        for member in &mut self.nodes {
            member.draining = member.node.signal("TERM");
        }
        if !self.wait_until(AT_LAST, |group| group.nodes.iter().all(|member| !member.running)) {
            self.history.unmet_expectations.push("a node does not leave".into());
        }
        self.history.budget_overloads =
            self.shared_budget.as_ref().map(|shared| shared.dependency.overloads());
        self.history.runs = self.nodes.iter().map(|member| member.executor.runs()).collect();
        self.history
    }

    /// What a node serves by is seen where it takes effect: jobs of the latest document's own job class are served.
    fn check_served_documents(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].running && !self.serves_latest(node, AT_LAST) {
                self.history
                    .unmet_expectations
                    .push(format!("node {node} does not serve by the latest document"));
            }
        }
    }

    /// The digest of the document that the group was started with, whole.
    pub fn first_digest(&self) -> String {
        numbered_document(1, false).map(|document| document.digest().to_string()).unwrap_or_default()
    }

    /// What the control service says of all.
    pub fn status(&self) -> Value {
        self.control_service.status()
    }
}
