//! A small control service: watches a folder, publishes what is in it, and says who runs what.

use crate::admission::Admission;
use crate::follow::bounded_line;
use crate::keeping::{self, Keeping, Metrics};
use crate::protocol::{LONGEST_LINE, LONGEST_SAID, Published, Said};
use crate::publisher::{Action, Connection, Counter, Event, Node, Publisher, Standing};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::BufReader;
use hazelgrade::time::Time;
use hazelgrade_budget::protocol::OperatorCommand;
use hazelgrade_config::{Document, Kind, Version, fault};
use hazelgrade_net::ending::ConnectionEnd;
use hazelgrade_net::outbox::Outbox;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, BufRead, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// The document in the folder, and the counter beside it.
pub const DOCUMENT: &str = "serving.toml";
pub const COUNTER: &str = ".published.json";

/// The document of a kind, and the counter beside it.
fn files(kind: Kind) -> (&'static str, &'static str) {
    match kind {
        Kind::Serving => (DOCUMENT, COUNTER),
        Kind::Identity => ("identity.toml", ".published-identity.json"),
        Kind::Budgets => ("budgets.toml", ".published-budgets.json"),
    }
}
/// One look at a file's length and time of change, which costs microseconds.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Longer than file systems' clocks go on by at a time.
const TICK: Duration = Duration::from_millis(50);
/// A subscriber's message is short; half of one for so long is none.
const MESSAGE_WITHIN: Duration = Duration::from_secs(5);
/// Connections at once; past that they are closed unheard, and come back with jitter.
const CONNECTIONS: usize = 8192;
/// Two offers of the longest kind.
const OUTBOX_BYTES: usize = 2 * LONGEST_LINE;
/// What is said last on a connection that is closed goes out within this.
const LAST_WORDS: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(5);
const BACKLOG: i32 = 4096;
const FAULTS_NAMED: usize = 20;
/// An operator's word that can't be carried out.
const REFUSED: i64 = -32011;

/// How a control service is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    pub documents: PathBuf,
    pub listen: SocketAddr,
    /// Named by the operator; else as in the folder, else made up and kept there.
    pub lineage: Option<String>,
    /// It keeps the budgets of a site.
    pub keeper: Option<keeping::Setup>,
    /// Subscribers that are taken on in a second for good, and at once after some quiet.
    pub admitted: (f64, f64),
}

struct Peer {
    outbox: Rc<Outbox>,
    reader: Task<()>,
    writer: Task<ConnectionEnd>,
}

pub struct Service {
    setup: Setup,
    tasks: Rc<LocalExecutor<'static>>,
    publishers: BTreeMap<Kind, RefCell<Publisher>>,
    /// What those follow that don't follow serving documents.
    follows: RefCell<BTreeMap<Connection, Kind>>,
    peers: RefCell<BTreeMap<Connection, Peer>>,
    connections: Cell<Connection>,
    /// What is wrong with the folder's document, if anything.
    folder: RefCell<BTreeMap<Kind, String>>,
    began: Instant,
    keeping: Option<Rc<Keeping>>,
}

/// The counter as it lies in the folder; none if there is none yet.
pub fn read_counter(documents: &Path, kind: Kind) -> Result<Option<Counter>, String> {
    let path = documents.join(files(kind).1);
    let text = match std::fs::read(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(format!("{}: {error}", path.display())),
    };
    let wrong =
        |field: &str| format!("{}: field {field}: expected it as this program writes it", path.display());
    let value: Value =
        serde_json::from_slice(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let lineage = value["lineage"].as_str().ok_or_else(|| wrong("lineage"))?.to_owned();
    let last = match &value["last"] {
        Value::Null => None,
        last => {
            let digest = last["digest"].as_str().and_then(|digest| digest.parse().ok());
            let both = last["number"].as_u64().zip(digest);
            let (number, digest) = both.ok_or_else(|| wrong("last"))?;
            Some(Version { number, digest })
        }
    };
    Ok(Some(Counter { lineage, last }))
}

/// Replaces the counter in one step.
fn write_counter(documents: &Path, kind: Kind, counter: &Counter) -> io::Result<()> {
    let last = counter.last.map(|last| json!({"number": last.number, "digest": last.digest.to_string()}));
    let mut file = tempfile::NamedTempFile::new_in(documents)?;
    file.write_all(json!({"lineage": counter.lineage, "last": last}).to_string().as_bytes())?;
    file.as_file().sync_all()?;
    file.persist(documents.join(files(kind).1))?;
    std::fs::File::open(documents)?.sync_all()
}

fn made_up_lineage() -> String {
    format!("l{:016x}", RandomState::new().hash_one(SystemTime::now()))
}

/// Binds with room for a fleet that connects at once.
fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// Serves until it is dropped; an error if it can't start.
///
/// `metrics` hears of the budgets now and then, if it keeps any.
pub async fn serve(tasks: Rc<LocalExecutor<'static>>, setup: Setup, metrics: Metrics) -> Result<(), String> {
    let listener = bind(setup.listen).map_err(|error| format!("--listen {}: {error}", setup.listen))?;
    let kept = read_counter(&setup.documents, Kind::Serving)?;
    let lineage = setup.lineage.clone().or_else(|| kept.as_ref().map(|kept| kept.lineage.clone()));
    let lineage = lineage.unwrap_or_else(made_up_lineage);
    let mut publishers = BTreeMap::new();
    for kind in Kind::ALL {
        // Numbers of another lineage say nothing about this one.
        let kept = read_counter(&setup.documents, kind)?.filter(|kept| kept.lineage == lineage);
        let last = kept.and_then(|kept| kept.last);
        let counter = Counter { lineage: lineage.clone(), last };
        write_counter(&setup.documents, kind, &counter)
            .map_err(|error| format!("--documents {}: {error}", setup.documents.display()))?;
        tracing::info!(listen = %setup.listen, lineage, kind = kind.word(), ?last, "control service");
        let admission = Admission::new(setup.admitted.0, setup.admitted.1);
        publishers.insert(kind, RefCell::new(Publisher::new(counter, admission)));
    }
    let keeping = match &setup.keeper {
        Some(keeper) => Some(Rc::new(Keeping::open(keeper, &setup.documents, setup.listen, metrics)?)),
        None => None,
    };
    let peers = setup.keeper.iter().flat_map(|keeper| keeper.peers.clone()).collect::<Vec<_>>();
    let service = Rc::new(Service {
        setup,
        tasks: tasks.clone(),
        publishers,
        follows: RefCell::default(),
        peers: RefCell::default(),
        connections: Cell::new(0),
        folder: RefCell::default(),
        began: Instant::now(),
        keeping: keeping.clone(),
    });
    if let Some(keeping) = keeping {
        let (keeper, telling) = (keeping.clone(), service.clone());
        tasks.spawn(async move { keeper.run(|to, what| telling.put(to, &what.encode())).await }).detach();
        for (site, address) in peers {
            let (telling, tasks_too) = (service.clone(), tasks.clone());
            let say = move |to, what: &Published| telling.put(to, &what.encode());
            tasks.spawn(keeping.clone().link(site, address, tasks_too, say)).detach();
        }
    }
    let watching = service.clone();
    let _watching = tasks.spawn(async move { watching.watch().await });
    service.accept(&listener).await;
    Ok(())
}

impl Service {
    fn now(&self) -> Time {
        Time::from_ms(self.began.elapsed().as_secs_f64() * 1000.0)
    }

    async fn accept(self: &Rc<Self>, listener: &Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.peers.borrow().len() < CONNECTIONS => self.start(stream),
                Ok(_) => {}
                Err(error) => {
                    tracing::debug!(%error, "a connection could not be accepted");
                    Timer::after(PAUSE).await;
                }
            }
        }
    }

    fn start(self: &Rc<Self>, stream: Async<TcpStream>) {
        if stream.get_ref().set_nodelay(true).is_err() {
            return;
        }
        self.connections.set(self.connections.get() + 1);
        let (connection, stream) = (self.connections.get(), Rc::new(stream));
        let outbox = Rc::new(Outbox::new(OUTBOX_BYTES));
        let writer = outbox.clone().writer(&self.tasks, stream.clone());
        let service = self.clone();
        let reader = self.tasks.spawn(async move {
            let end = service.read(connection, &stream).await;
            tracing::debug!(connection, ?end, "a subscriber's connection ended");
            service.tell(service.kind(connection), Event::Gone(connection));
            if let Some(keeping) = &service.keeping {
                keeping.gone(connection, &mut |to, what| service.put(to, &what.encode()));
            }
            service.follows.borrow_mut().remove(&connection);
            // This task is the one that is dropped with the entry, as its last step.
            if let Some(peer) = service.peers.borrow_mut().remove(&connection) {
                peer.reader.detach();
            }
        });
        self.peers.borrow_mut().insert(connection, Peer { outbox, reader, writer });
        self.tell(Kind::Serving, Event::Came(connection));
    }

    async fn read(&self, connection: Connection, stream: &Async<TcpStream>) -> ConnectionEnd {
        let mut reader = BufReader::new(stream);
        let mut line = Vec::new();
        loop {
            if let Err(end) = bounded_line(&mut reader, &mut line, LONGEST_SAID, MESSAGE_WITHIN).await {
                return end;
            }
            match Said::decode(&line) {
                Ok(said) => self.heard(connection, said),
                Err(why) => {
                    tracing::warn!(why, "a subscriber sent what can't be read");
                    return ConnectionEnd::Unreadable;
                }
            }
        }
    }

    fn kind(&self, connection: Connection) -> Kind {
        self.follows.borrow().get(&connection).copied().unwrap_or_default()
    }

    fn heard(&self, connection: Connection, said: Said) {
        let mut say = |to, what: &Published| self.put(to, &what.encode());
        match (said, &self.keeping) {
            (Said::Ask(ask), Some(keeping)) => keeping.asked(connection, ask, &mut say),
            (Said::Parts(parts), Some(keeping)) => {
                if let Some(answer) = keeping.heard(&parts, &mut say) {
                    say(connection, &Published::Parts(answer));
                }
            }
            (Said::Word { call, word }, keeping) => {
                let none = || Err("no budgets are kept here".to_owned());
                let done = keeping.as_ref().map_or_else(none, |keeping| keeping.word(&word, &mut say));
                let answer = match done {
                    Ok(result) => json!({"jsonrpc": "2.0", "id": call, "result": result}),
                    Err(why) => {
                        json!({"jsonrpc": "2.0", "id": call, "error": {"code": REFUSED, "message": why}})
                    }
                };
                self.put(connection, &format!("{answer}\n"));
            }
            // Without a keeper nothing is granted; nodes go on with what they may use alone.
            (Said::Ask(_) | Said::Parts(_), None) => {}
            (said, _) => self.heard_of_documents(connection, said),
        }
    }

    fn heard_of_documents(&self, connection: Connection, said: Said) {
        // Until it says what it follows, a connection is with the serving documents.
        if let Said::Subscribe { kind, .. } = &said
            && *kind != self.kind(connection)
        {
            self.tell(self.kind(connection), Event::Gone(connection));
            self.follows.borrow_mut().insert(connection, *kind);
            self.tell(*kind, Event::Came(connection));
        }
        self.tell(self.kind(connection), Event::Heard(connection, said));
    }

    fn tell(&self, kind: Kind, event: Event) {
        let Some(publisher) = self.publishers.get(&kind) else { return };
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut out = Vec::new();
            publisher.borrow_mut().take(self.now(), event, &mut out);
            out.into_iter().for_each(|action| self.carry_out(kind, action, &mut events));
        }
        if kind == Kind::Budgets
            && let Some(keeping) = &self.keeping
        {
            let publisher = publisher.borrow();
            if let Some(latest) = publisher.latest() {
                let say = &mut |to, what: &Published| self.put(to, &what.encode());
                keeping.document(latest, publisher.before(), publisher.verdicts(), say);
            }
        }
    }

    fn carry_out(&self, kind: Kind, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Say(connection, published) => self.put(connection, &published.encode()),
            Action::Close(connection) => self.close(connection),
            Action::Count(counter) => {
                // Small and seldom: publishing waits for the disk anyway.
                let done = write_counter(&self.setup.documents, kind, &counter);
                events.push_back(Event::Counted(done.map_err(|error| error.to_string())));
            }
            Action::Report(connection, call) => {
                let report = json!({"jsonrpc": "2.0", "id": call, "result": self.report()});
                self.put(connection, &format!("{report}\n"));
            }
            Action::Note(text) => tracing::info!("{text}"),
        }
    }

    fn put(&self, connection: Connection, line: &str) {
        if let Some(peer) = self.peers.borrow().get(&connection) {
            peer.outbox.put(line.as_bytes());
        }
    }

    /// Closes a connection when what was said last on it is out.
    fn close(&self, connection: Connection) {
        let Some(Peer { outbox, reader, writer }) = self.peers.borrow_mut().remove(&connection) else {
            return;
        };
        let closing = async move {
            let late = async {
                Timer::after(LAST_WORDS).await;
            };
            or(outbox.emptied(), late).await;
            drop((reader, writer));
        };
        self.tasks.spawn(closing).detach();
        if let Some(publisher) = self.publishers.get(&self.kind(connection)) {
            publisher.borrow_mut().take(self.now(), Event::Gone(connection), &mut Vec::new());
        }
        self.follows.borrow_mut().remove(&connection);
    }

    /// Looks at the folder now and then, and has pings sent.
    async fn watch(&self) {
        let mut before = BTreeMap::new();
        // A file that is replaced twice within a tick of the file system's clock may look the same: after a change it is
        // read once more when that tick is over.
        let mut again: BTreeMap<Kind, Instant> = BTreeMap::new();
        loop {
            for kind in Kind::ALL {
                let path = self.setup.documents.join(files(kind).0);
                let seen = std::fs::metadata(&path).ok();
                let seen = seen.map(|about| (about.modified().ok(), about.len(), about.ino()));
                // Identities may be of no concern here; without a serving document there is nothing to publish.
                let missing = seen.is_none() && kind == Kind::Serving;
                if before.insert(kind, seen) != Some(seen) && (seen.is_some() || missing) {
                    self.look(kind, &path);
                    again.insert(kind, Instant::now() + TICK);
                } else if again.get(&kind).is_some_and(|at| *at <= Instant::now()) {
                    again.remove(&kind);
                    self.look(kind, &path);
                }
                self.tell(kind, Event::Woke);
            }
            Timer::after(LOOK_EVERY).await;
        }
    }

    fn look(&self, kind: Kind, path: &Path) {
        let shown = path.display().to_string();
        let read = std::fs::read_to_string(path).map_err(|error| format!("{shown}: {error}"));
        let document = read.and_then(|text| {
            Document::read_as(kind, &text, &shown).map_err(|faults| fault::lines(&faults, FAULTS_NAMED))
        });
        match document {
            Ok(document) => {
                self.folder.borrow_mut().remove(&kind);
                self.tell(kind, Event::Changed(document));
            }
            Err(fault) => {
                if self.folder.borrow_mut().insert(kind, fault.clone()).as_ref() != Some(&fault) {
                    tracing::error!("not published: {fault}");
                }
            }
        }
    }

    fn report(&self) -> Value {
        let mut report = self.report_kind(Kind::Serving);
        for kind in [Kind::Identity, Kind::Budgets] {
            report[kind.word()] = self.report_kind(kind);
        }
        report
    }

    fn report_kind(&self, kind: Kind) -> Value {
        let Some(publisher) = self.publishers.get(&kind).map(|publisher| publisher.borrow()) else {
            return Value::Null;
        };
        let nodes: Vec<Value> = publisher.nodes().map(report_node).collect();
        json!({
            "lineage": publisher.lineage(),
            "version": publisher.current().map(|version| version.to_string()),
            "folder": self.folder.borrow().get(&kind),
            "nodes": nodes,
        })
    }
}

fn report_node(node: &Node) -> Value {
    let (why, staged) = match &node.standing {
        Standing::WentBack(why) => (Some(why.clone()), None),
        Standing::TurnedDown(refusal) => (Some(refusal.reason()), None),
        Standing::Good { staged } | Standing::OnTrial { staged } => (None, Some(staged)),
        Standing::Open => (None, None),
    };
    json!({
        "name": node.name,
        "program": node.program,
        "connected": node.connection.is_some(),
        "has": node.has.map(|version| version.to_string()),
        "of": node.of.map(|version| version.to_string()),
        "standing": node.standing.word(),
        "why": why,
        "staged": staged,
    })
}

/// Asks a control service who runs what.
pub fn status(control: SocketAddr, within: Duration) -> Result<Value, String> {
    call(control, &Said::Status { call: 1 }, within)
}

/// Says an operator's word on budgets to the keeper at a control service.
pub fn word(control: SocketAddr, word: OperatorCommand, within: Duration) -> Result<Value, String> {
    call(control, &Said::Word { call: 1, word }, within)
}

fn call(control: SocketAddr, said: &Said, within: Duration) -> Result<Value, String> {
    let failed = |error: io::Error| format!("{control}: {error}");
    let stream = TcpStream::connect_timeout(&control, within).map_err(failed)?;
    stream.set_read_timeout(Some(within)).map_err(failed)?;
    (&stream).write_all(said.encode().as_bytes()).map_err(failed)?;
    let mut reader = io::BufReader::new(&stream);
    // A ping may come first.
    for _ in 0..4 {
        let mut line = String::new();
        reader.read_line(&mut line).map_err(failed)?;
        let mut value: Value = serde_json::from_str(&line)
            .map_err(|_| format!("{control}: it does not answer as a control service"))?;
        if let Some(why) = value["error"]["message"].as_str() {
            return Err(why.to_owned());
        }
        if value.get("id").is_some() {
            return Ok(value["result"].take());
        }
        if value["method"] == "retry" {
            return Err(format!("{control}: it is busy, try again in {} ms", value["params"]["after_ms"]));
        }
    }
    Err(format!("{control}: no answer"))
}
