//! A group: nodes as processes, each with an executor and a database of its own, one registry, one control service, and
//! callers; with an edge on every way between two of them.

use crate::history::{FaultKind, History, Job, NodeObservation};
use crate::plan::{Directions, Disk, Fault, Link};
use crate::proxy::{Direction, FaultProxy, at, ms, now};
use crate::shared_budget::{Setting, Shared};
use hazelgrade_config::{Document, Version};
use hazelgrade_fakes::callers::{Callers, Fate};
use hazelgrade_fakes::documents::{BOOK, Case, DocumentError, READ, document};
use hazelgrade_fakes::executor::{Executor, Work};
use hazelgrade_fakes::node::{Node, Plan};
use hazelgrade_fakes::registry::Registry;
use hazelgrade_fakes::service::Service;
use hazelgrade_fakes::{comes_true, database, free_address, world};
use rustix::process::Signal;
use serde_json::Value;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const WORK: Work = Work { cores: 4, takes: Duration::from_millis(16), calls: true };
const CALL: Duration = Duration::from_millis(2);
const TRIAL: &str = "lineage = \"test\"\n[stream.trial]\nspan_ms = 300\nleast_jobs = 8\n";
const CUT_OFF_MS: f64 = 3000.0;
/// By how much later than given an answer may be read on a crowded machine.
const GRACE_MS: f64 = 1000.0;
/// What must come in the end has come by then, however crowded the machine is.
const AT_LAST: Duration = Duration::from_secs(40);
const LOOK_EVERY: Duration = Duration::from_millis(40);

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

pub struct Member {
    pub node: Node,
    pub executor: Executor,
    pub proxies: [FaultProxy; 5],
    /// A copy of its store, as it was when the version before the last one was published.
    old: Option<Vec<u8>>,
    disk: u32,
    stopped: bool,
    /// Last seen to run.
    ran: Instant,
    running: bool,
    leaving: bool,
    /// By its own store, for a test.
    may_die: bool,
    callers: Option<Callers>,
    /// What the operator's file has of the stream and what goes with it.
    stream: String,
}

pub struct Group {
    pub folder: TempDir,
    pub members: Vec<Member>,
    pub service: Service,
    pub registry: Registry,
    pub history: History,
    /// What all nodes share, where they share something.
    pub shared: Option<Shared>,
    service_stopped: bool,
    old_counter: Option<Vec<u8>>,
    /// Documents that were published so far, and the digest of the last.
    pub published: u64,
    pub digest: String,
    looked: Instant,
    /// Which nodes stand how, of which digest, when the control service was last asked.
    pub standings: Vec<(String, String)>,
}

/// A digest as the control service shows it.
fn shown(document: &Document) -> String {
    let version = Version { number: 0, digest: document.digest() }.to_string();
    version.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// A document that differs from all others by a job class of its own.
fn numbered(count: u64, harmful: bool) -> Result<Document, DocumentError> {
    let mark = format!("v{count}");
    let own: Case = (&mark, 1000, 3000, 1);
    let read = if harmful { ("read", 2, 10, 1) } else { READ };
    document(&[read, BOOK, own], 1, "")
}

impl Member {
    pub fn proxy(&self, link: Link) -> &FaultProxy {
        &self.proxies[link as usize]
    }

    pub fn is_ready(&self) -> bool {
        self.running && !self.stopped && self.node.check() == Some(true)
    }

    pub fn jobs(&self) -> usize {
        self.callers.as_ref().map_or(0, Callers::count)
    }

    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Adds this to the operator's file from the next start on, in place of what was added before.
    pub fn with_operator(&mut self, text: &str) -> io::Result<()> {
        self.node.plan.stream = format!("{}{text}", self.stream);
        self.node.plan.write()
    }

    fn stopped(&mut self, stop: bool) {
        if self.running && self.node.signal(if stop { "STOP" } else { "CONT" }) {
            self.stopped = stop;
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
        setting: Option<Setting>,
    ) -> Result<Group, GroupError> {
        Group::begin(program, words, nodes, rate, setting)?.set_out()
    }

    fn begin(
        program: &Path,
        words: &[&str],
        nodes: usize,
        rate: f64,
        setting: Option<Setting>,
    ) -> io::Result<Group> {
        let first = numbered(1, false).map_err(io::Error::other)?;
        let mut service = Service::prepare(program, words, "test", &first)?;
        let mut shared = match setting {
            Some(setting) => Some(Shared::prepare(setting, program, words, &mut service, &first)?),
            None => None,
        };
        service.start_again()?;
        let other = shared.as_mut().and_then(|shared| shared.other.as_mut());
        let mut controls = vec![service.address];
        if let Some(other) = other {
            other.start_again()?;
            controls.push(other.address);
        }
        let trial = match &shared {
            Some(shared) => format!("{TRIAL}{}", shared.setting.operator()),
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
            let plan = Plan {
                program: program.into(),
                words: words.iter().map(|word| (*word).to_owned()).collect(),
                folder: folder.path().into(),
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
            let callers = Some(world::callers(proxies[Link::Callers as usize].address, rate, &["read"]));
            members.push(Member {
                node: plan.start()?,
                executor,
                proxies,
                old: None,
                disk: 0,
                stopped: false,
                ran: Instant::now(),
                running: true,
                leaving: false,
                may_die: false,
                callers,
                stream: trial.clone(),
            });
        }
        let numbers_anew = controls.len() > 1;
        let mut history =
            History { numbers_anew, deadline: ms(CUT_OFF_MS), grace: ms(GRACE_MS), ..History::default() };
        // Until it listens, what callers send is refused.
        (0..nodes).for_each(|node| history.begins(node, FaultKind::Gone, now()));
        Ok(Group {
            folder,
            members,
            service,
            registry,
            history,
            shared,
            service_stopped: false,
            old_counter: None,
            published: 1,
            digest: shown(&first),
            looked: Instant::now(),
            standings: vec![Default::default(); nodes],
        })
    }

    fn set_out(mut self) -> Result<Group, GroupError> {
        if !self.all_well() {
            return Err(GroupError::NotReady { status: self.service.status() });
        }
        Ok(self)
    }

    /// Waits until each node is ready, has the latest version as its good one, and goes on answering its callers.
    fn all_well(&mut self) -> bool {
        let digest = self.digest.clone();
        let good = self.wait_until(AT_LAST, |group| {
            group.standings.iter().all(|(of, standing)| of.ends_with(&digest) && standing == "good")
                && group.members.iter().all(Member::is_ready)
        });
        if good {
            (0..self.members.len()).for_each(|node| self.history.ends(node, FaultKind::Gone, now()));
        }
        let before: Vec<usize> = self.members.iter().map(Member::jobs).collect();
        good && self.wait_until(AT_LAST, |group| {
            group.members.iter().zip(&before).all(|(member, before)| member.jobs() >= before + 10)
        })
    }

    /// Waits for something, and keeps the account meanwhile; `false` if it doesn't come in time.
    pub fn wait_until(&mut self, within: Duration, mut so: impl FnMut(&mut Group) -> bool) -> bool {
        comes_true(within, || {
            self.observe();
            so(self)
        })
    }

    /// Notes which processes run and who serves by what.
    pub fn observe(&mut self) {
        for (number, member) in self.members.iter_mut().enumerate() {
            if !member.running {
                continue;
            }
            let Some(status) = member.node.has_ended() else {
                member.ran = Instant::now();
                continue;
            };
            member.running = false;
            self.history.begins(number, FaultKind::Gone, at(member.ran));
            if member.may_die {
                continue;
            }
            if !member.leaving {
                self.history.ends.push((number, format!("ended by itself: {status}")));
            } else if !status.success() {
                self.history.ends.push((number, format!("left, but {status}")));
            }
        }
        if self.looked.elapsed() < LOOK_EVERY || !self.service.is_running() || self.service_stopped {
            return;
        }
        self.looked = Instant::now();
        let mut statuses = vec![self.service.status()];
        if let Some(shared) = &mut self.shared {
            let mut reports = vec![self.service.budgets()];
            if let Some(other) =
                shared.other.as_ref().filter(|other| other.is_running() && !shared.other_stopped)
            {
                statuses.push(other.status());
                reports.push(other.budgets());
            }
            // Both have to say so.
            if reports.len() == shared.setting.sites {
                shared.look(&reports);
            }
        }
        for (number, member) in self.members.iter().enumerate() {
            let sites = self.shared.as_ref().map_or(1, |shared| shared.setting.sites);
            let Some(status) = statuses.get(number % sites) else { continue };
            let nodes = status["nodes"].as_array();
            let Some(node) =
                nodes.and_then(|nodes| nodes.iter().find(|node| node["name"] == member.node.plan.name))
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

    fn held(&mut self, node: usize, link: Link, fault_kind: FaultKind) {
        match link {
            Link::Callers => self.history.begins(node, fault_kind, now()),
            Link::Executor | Link::Database => self.history.begins(node, FaultKind::Hampered, now()),
            Link::Registry | Link::Control => {}
        }
    }

    /// Brings a fault about. What can't be, as its process is not there, is left out.
    pub fn inject(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Cut { node, link, directions } => {
                self.held(node, link, FaultKind::CallersHeld);
                let proxy = self.members[node].proxy(link);
                let directions: &[Direction] = match directions {
                    Directions::Both => &[Direction::To, Direction::Back],
                    Directions::To => &[Direction::To],
                    Directions::Back => &[Direction::Back],
                };
                directions.iter().for_each(|way| proxy.set(*way, |rules| rules.held = true));
            }
            Fault::Delay { node, link, ms: late } => {
                self.held(node, link, FaultKind::CallersHeld);
                let proxy = self.members[node].proxy(link);
                proxy.set_both(|rules| rules.delay = ms(f64::from(late)));
            }
            Fault::Rate { node, link, bytes_per_s } => {
                self.held(node, link, FaultKind::CallersHeld);
                let proxy = self.members[node].proxy(link);
                proxy.set_both(|rules| rules.rate = Some(f64::from(bytes_per_s)));
            }
            Fault::Reset { node, link } => {
                self.held(node, link, FaultKind::CallersReset);
                self.members[node].proxy(link).reset();
                // A fault that lasts beside it goes on to excuse what it does.
                let lasts = self.members[node].proxy(link).is_faulty();
                match link {
                    _ if lasts => {}
                    Link::Callers => self.history.ends(node, FaultKind::CallersReset, now()),
                    _ => self.history.ends(node, FaultKind::Hampered, now()),
                }
            }
            Fault::ResetAfter { node, link, bytes } => {
                self.held(node, link, FaultKind::CallersReset);
                let proxy = self.members[node].proxy(link);
                proxy.set(Direction::Back, |rules| rules.reset_after = Some(u64::from(bytes)));
            }
            Fault::Refuse { node, link } => {
                self.held(node, link, FaultKind::CallersReset);
                self.members[node].proxy(link).refuse(true);
            }
            Fault::Garble { node, lost, doubled, overtaken } => {
                let part = |of: u32| f64::from(of) / 100.0;
                self.members[node].proxy(Link::Registry).set(Direction::To, |rules| {
                    (rules.lost, rules.doubled, rules.overtaken) =
                        (part(lost), part(doubled), part(overtaken));
                });
            }
            Fault::Heal { node, link } => {
                self.members[node].proxy(link).heal();
                if link == Link::Callers {
                    self.history.ends(node, FaultKind::CallersHeld, now());
                    self.history.ends(node, FaultKind::CallersReset, now());
                }
                let below = [Link::Executor, Link::Database];
                if !below.iter().any(|link| self.members[node].proxy(*link).is_faulty()) {
                    self.history.ends(node, FaultKind::Hampered, now());
                }
            }
            Fault::Stop { node } => {
                self.history.begins(node, FaultKind::Stopped, now());
                self.members[node].stopped(true);
            }
            Fault::Wake { node } => {
                self.members[node].stopped(false);
                self.history.ends(node, FaultKind::Stopped, now());
            }
            Fault::Kill { node } => {
                self.history.begins(node, FaultKind::Killed, now());
                let member = &mut self.members[node];
                member.node.kill();
                (member.running, member.stopped) = (false, false);
                self.history.ends(node, FaultKind::Stopped, now());
            }
            Fault::Term { node } => {
                let member = &mut self.members[node];
                member.leaving = member.running && member.node.signal("TERM");
            }
            Fault::Hup { node } => {
                self.members[node].node.signal("HUP");
            }
            Fault::Start { node, disk } => self.start_node(node, disk)?,
            Fault::KillControl => self.service.kill(),
            Fault::StopControl => self.service_stopped = self.service.signal(Signal::STOP),
            Fault::WakeControl => {
                self.service.signal(Signal::CONT);
                self.service_stopped = false;
            }
            Fault::StartControl { disk } => self.start_control(disk)?,
            Fault::KillOther | Fault::StopOther | Fault::WakeOther | Fault::StartOther { .. } => {
                self.inject_other(fault)?;
            }
            Fault::CutKeepers { directions } => self.shared.iter().for_each(|shared| shared.cut(directions)),
            Fault::HealKeepers => self.shared.iter().for_each(Shared::heal),
            Fault::Whole { units } => {
                if let Some(shared) = &mut self.shared {
                    shared.whole(&self.service, units)?;
                }
            }
            Fault::Publish { harmful } => self.publish(harmful)?,
            Fault::Stall { ms } => self.stall(Duration::from_millis(u64::from(ms))),
        }
        Ok(())
    }

    fn inject_other(&mut self, fault: Fault) -> io::Result<()> {
        let Some(shared) = &mut self.shared else { return Ok(()) };
        let Some(mut other) = shared.other.take() else { return Ok(()) };
        match fault {
            Fault::KillOther => other.kill(),
            Fault::StopOther => shared.other_stopped = other.signal(Signal::STOP),
            Fault::WakeOther => {
                other.signal(Signal::CONT);
                shared.other_stopped = false;
            }
            Fault::StartOther { disk } => {
                other.kill();
                shared.disk(1, &other, disk)?;
                shared.other_stopped = false;
                other.start_again()?;
            }
            _ => {}
        }
        shared.other = Some(other);
        Ok(())
    }

    fn start_node(&mut self, node: usize, disk: Disk) -> io::Result<()> {
        self.observe();
        let member = &mut self.members[node];
        if member.running {
            if !member.leaving {
                return Ok(());
            }
            // It is to take its own place once it has left.
            let _ = comes_true(AT_LAST, || member.node.has_ended().is_some());
            self.observe();
        }
        let member = &mut self.members[node];
        let store = member.node.plan.store();
        match disk {
            Disk::Own => {}
            Disk::Old if member.old.is_none() => {}
            Disk::Old => {
                std::fs::write(&store, member.old.as_deref().unwrap_or_default())?;
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
        self.history.begins(node, FaultKind::Gone, now());
        member.node.start_again()?;
        (member.running, member.leaving, member.stopped, member.ran) = (true, false, false, Instant::now());
        member.may_die = false;
        self.history.ends(node, FaultKind::Killed, now());
        let began = Instant::now();
        let member = &self.members[node];
        if comes_true(AT_LAST, || member.node.check().is_some()) {
            self.history.ends(node, FaultKind::Gone, now());
        } else {
            self.history.missing.push(format!("node {node} does not listen after {:?}", began.elapsed()));
        }
        Ok(())
    }

    /// Starts a node that may die by its own store at any moment from now on.
    pub fn starts_and_may_die(&mut self, node: usize) -> io::Result<()> {
        self.history.begins(node, FaultKind::Killed, now());
        let member = &mut self.members[node];
        member.executor.restart();
        member.node.start_again()?;
        (member.running, member.leaving, member.may_die, member.ran) = (true, false, true, Instant::now());
        Ok(())
    }

    /// It did not die: from now on it may not.
    pub fn survived(&mut self, node: usize) {
        self.members[node].may_die = false;
        self.history.ends(node, FaultKind::Killed, now());
        self.history.ends(node, FaultKind::Gone, now());
    }

    /// Whether callers of this node are served by the latest document, seen by a job class of its own.
    pub fn serves_latest(&self, node: usize, within: Duration) -> bool {
        let latest = format!("v{}", self.published);
        let callers = world::callers(self.members[node].proxy(Link::Callers).address, 50.0, &[&latest]);
        let served = comes_true(within, || callers.told().iter().any(|told| told.fate == Fate::Succeeded));
        callers.stop();
        served
    }

    fn start_control(&mut self, disk: Disk) -> io::Result<()> {
        let counter = self.service.counter();
        self.service.kill();
        match disk {
            Disk::Own => {}
            Disk::Old => {
                if let Some(old) = &self.old_counter {
                    std::fs::write(&counter, old)?;
                    self.history.numbers_anew = true;
                }
            }
            Disk::Empty => {
                std::fs::remove_file(&counter)
                    .or_else(|error| if counter.exists() { Err(error) } else { Ok(()) })?;
                self.history.numbers_anew = true;
            }
        }
        if let Some(shared) = &self.shared {
            shared.disk(0, &self.service, disk)?;
        }
        self.service_stopped = false;
        self.service.start_again()
    }

    /// Publishes another document, and keeps what disks hold as yesterday's.
    pub fn publish(&mut self, harmful: bool) -> io::Result<()> {
        for member in &mut self.members {
            // As a crash would leave it: not while it is being written.
            let stop = member.running && !member.stopped;
            if stop {
                member.stopped(true);
            }
            member.old = std::fs::read(member.node.plan.store()).ok().or(member.old.take());
            if stop {
                member.stopped(false);
            }
        }
        if let Some(shared) = &mut self.shared
            && !self.service_stopped
            && !shared.other_stopped
        {
            shared.remember(&self.service);
        }
        self.old_counter = std::fs::read(self.service.counter()).ok().or(self.old_counter.take());
        self.published += 1;
        let document = numbered(self.published, harmful).map_err(io::Error::other)?;
        self.digest = shown(&document);
        if harmful {
            self.history.harmful.push(self.digest.clone());
        }
        if let Some(other) = self.shared.as_ref().and_then(|shared| shared.other.as_ref()) {
            other.publish(&document.to_toml())?;
        }
        self.service.publish(&document.to_toml())
    }

    /// All processes stand still, as on a machine that stalls.
    fn stall(&mut self, lasting: Duration) {
        let running: Vec<usize> = (0..self.members.len())
            .filter(|node| self.members[*node].running && !self.members[*node].stopped)
            .collect();
        for node in &running {
            self.history.begins(*node, FaultKind::Stopped, now());
            self.members[*node].stopped(true);
        }
        let service = !self.service_stopped && self.service.signal(Signal::STOP);
        let other = self.shared.as_ref().filter(|shared| !shared.other_stopped);
        let other = other.and_then(|shared| shared.other.as_ref()).filter(|other| other.signal(Signal::STOP));
        std::thread::sleep(lasting);
        if service {
            self.service.signal(Signal::CONT);
        }
        if let Some(other) = other {
            other.signal(Signal::CONT);
        }
        for node in &running {
            self.members[*node].stopped(false);
            self.history.ends(*node, FaultKind::Stopped, now());
        }
    }

    /// Ends every fault, sees that all is well again, and has all leave; gives the account.
    pub fn finish(mut self) -> History {
        let failed = |error: io::Error| error.to_string();
        for node in 0..self.members.len() {
            for link in [Link::Callers, Link::Executor, Link::Database, Link::Registry, Link::Control] {
                let _ = self.inject(Fault::Heal { node, link });
            }
            if self.members[node].stopped {
                let _ = self.inject(Fault::Wake { node });
            }
            self.observe();
            if (!self.members[node].running || self.members[node].leaving)
                && let Err(why) = self.inject(Fault::Start { node, disk: Disk::Own }).map_err(failed)
            {
                self.history.missing.push(format!("node {node} can't be started: {why}"));
            }
        }
        if self.service_stopped {
            let _ = self.inject(Fault::WakeControl);
        }
        if !self.service.is_running()
            && let Err(why) = self.start_control(Disk::Own).map_err(failed)
        {
            self.history.missing.push(format!("the control service can't be started: {why}"));
        }
        if let Some(shared) = &self.shared {
            shared.heal();
            let (stopped, running) =
                (shared.other_stopped, shared.other.as_ref().is_none_or(Service::is_running));
            let again = if stopped { Some(Fault::WakeOther) } else { None };
            let again = if running { again } else { Some(Fault::StartOther { disk: Disk::Own }) };
            if let Some(Err(why)) = again.map(|fault| self.inject(fault).map_err(failed)) {
                self.history.missing.push(format!("the other control service can't be started: {why}"));
            }
        }
        // Of what was published while things failed a node may have gone back; a fresh one is taken by all.
        if let Err(why) = self.publish(false).map_err(failed) {
            self.history.missing.push(format!("nothing can be published: {why}"));
        }
        if !self.all_well() {
            let stand: Vec<String> = (0..self.members.len())
                .map(|node| {
                    let member = &self.members[node];
                    let (of, standing) = &self.standings[node];
                    format!(
                        "n{node} running {} stopped {} ready {} {of} {standing}, {} jobs",
                        member.running,
                        member.stopped,
                        member.is_ready(),
                        member.jobs()
                    )
                })
                .collect();
            self.history.missing.push(format!("{} expected: {}", self.digest, stand.join("; ")));
        }
        self.probe();
        for (number, member) in self.members.iter_mut().enumerate() {
            let Some(callers) = member.callers.take() else { continue };
            let (told, twice) = callers.stop();
            self.history.answered_twice += twice;
            self.history.jobs.extend(told.into_iter().map(|told| Job {
                node: number,
                id: told.id,
                sent: at(told.sent),
                after: ms(told.after.as_secs_f64() * 1000.0),
                fate: told.fate,
            }));
        }
        for member in &mut self.members {
            member.leaving = member.node.signal("TERM");
        }
        if !self.wait_until(AT_LAST, |group| group.members.iter().all(|member| !member.running)) {
            self.history.missing.push("a node does not leave".into());
        }
        self.history.passed = self.shared.as_ref().map(|shared| shared.dependency.passed());
        self.history.runs = self.members.iter().map(|member| member.executor.runs()).collect();
        self.history
    }

    /// What a node serves by is seen where it takes effect: jobs of the latest document's own job class are served.
    fn probe(&mut self) {
        for node in 0..self.members.len() {
            if self.members[node].running && !self.serves_latest(node, AT_LAST) {
                self.history.missing.push(format!("node {node} does not serve by the latest document"));
            }
        }
    }

    /// The digest of the document that the group was started with, whole.
    pub fn first_digest(&self) -> String {
        numbered(1, false).map(|document| document.digest().to_string()).unwrap_or_default()
    }

    /// What the control service says of all.
    pub fn status(&self) -> Value {
        self.service.status()
    }
}
