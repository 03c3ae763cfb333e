//! The service instance as a process, with fakes on loopback for all that it talks to.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const TIMEOUT: Duration = Duration::from_secs(5);

pub fn settings() -> Value {
    json!({
        "classes": [
            {"name": "read", "aim": 3000, "giveUp": 6000, "idempotency": "safe", "gain": 1, "window": 5000},
            {"name": "book", "aim": 3000, "giveUp": 6000, "idempotency": "keyed", "gain": 2, "window": 5000}
        ],
        "customers": [{"name": "acme", "quotaPerS": 1000}],
        "ceilings": {"retryAfter": true, "maxRetryAfter": 1000},
        "guarantees": {"answerSlack": 60, "coldFrom": 0.5, "warmUp": 1000, "drainGrace": 200, "tipMultiple": 8},
        "quantum": 2, "fleetSize": 1, "clients": {"marksRetry": true},
        "specifics": {"cores": 2, "memoryKb": 30000, "blowup": 4, "keyKb": 1, "below": "tier", "halt": "drop",
            "classSkipWorth": [0.5, 0], "readiness": true, "callers": 1, "signal": "weight", "saidFor": 1000,
            "linger": 100, "ownStats": ["links", "core_use"]}
    })
}

/// A process and its configuration. The fakes listen before it starts.
pub struct Instance {
    child: Child,
    file: PathBuf,
    pub listen: SocketAddr,
    pub executor: TcpListener,
    pub registry: UdpSocket,
    pub database: TcpListener,
    configuration: Value,
}

/// An address that nothing else of these tests uses: each has a loopback host of its own. It isn't bound to check that:
/// a process that is being started in another thread would hold it for a moment longer.
pub fn free_address() -> SocketAddr {
    static HOSTS: AtomicU32 = AtomicU32::new(2);
    let host = HOSTS.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = std::process::id().to_be_bytes();
    SocketAddr::from(([127, process[2], process[3], host[3]], 9090))
}

/// Writes a configuration and gives the path to it.
pub fn write(text: &str) -> PathBuf {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let name = format!("hazelgrade-{}-{}.json", std::process::id(), FILES.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

pub fn command(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hazelgrade"));
    command.args(words).env_remove("PROXY_CONFIG").stdin(Stdio::null());
    command
}

pub fn run(words: &[&str]) -> Output {
    command(words).output().expect("it starts")
}

impl Instance {
    pub fn start() -> Instance {
        Instance::start_with(|_| {})
    }

    pub fn start_with(change: impl FnOnce(&mut Value)) -> Instance {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
        let (executor, database) = (bind(), bind());
        let registry = UdpSocket::bind("127.0.0.1:0").expect("a port");
        registry.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        let listen = free_address();
        let mut configuration = json!({
            "name": "n1", "listen": listen.to_string(), "seed": "00000000000000ff", "stop_ms": 1500,
            "executor": executor.local_addr().expect("bound").to_string(),
            "registry": registry.local_addr().expect("bound").to_string(),
            "db": database.local_addr().expect("bound").to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings()
        });
        change(&mut configuration);
        let file = write(&configuration.to_string());
        let child = Instance::spawn(&file);
        Instance { child, file, listen, executor, registry, database, configuration }
    }

    fn spawn(file: &PathBuf) -> Child {
        command(&["serve", "--log", "warn"]).env("PROXY_CONFIG", file).spawn().expect("it starts")
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn configuration(&self) -> String {
        self.configuration.to_string()
    }

    /// Kills it, and starts it again under its name and address.
    pub fn start_again(&mut self) {
        self.kill();
        self.child = Instance::spawn(&self.file);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Changes the configuration file and has it read again.
    pub fn reload(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.configuration);
        self.reload_text(&self.configuration.to_string());
    }

    pub fn reload_text(&self, text: &str) {
        let next = self.file.with_extension("next");
        std::fs::write(&next, text).expect("a file");
        std::fs::rename(&next, &self.file).expect("a file");
        self.signal("HUP");
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &id]).status().expect("kill runs").success());
    }

    /// The exit code, once it has ended by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        let by = Instant::now() + TIMEOUT;
        while Instant::now() < by {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    pub fn client(&self) -> Peer {
        let by = Instant::now() + TIMEOUT;
        loop {
            match TcpStream::connect(self.listen) {
                Ok(stream) => return Peer::of(stream),
                Err(error) if Instant::now() >= by => panic!("{error}"),
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Accepts the link: gives it, and the cursor that the process sent.
    pub fn link(&self) -> (Peer, u64) {
        let mut link = Peer::accept(&self.executor);
        let join = link.receive();
        assert_eq!(join["event"], "JOIN");
        (link, join["cursor"].as_u64().expect("a number"))
    }

    /// Started, its executor up: the link and a client.
    pub fn ready(&self) -> (Peer, Peer) {
        let (mut link, cursor) = self.link();
        assert_eq!(cursor, 0);
        link.send(&json!({"event": "WELCOME", "fate": "old", "lasted": 5}));
        (link, self.client())
    }
}

/// The run of a job makes its first call, the reply to it is confirmed, and the link ends.
pub fn replied_before_the_link_ends<'a>(
    instance: &'a Instance,
    mut link: Peer,
    id: &str,
) -> DatabaseConnections<'a> {
    link.send(&json!({"event": "CALLOUT", "cursor": 1, "handle": id, "arg": "cXVlcnk="}));
    let mut database_connections = DatabaseConnections::of(&instance.database);
    let place = database_connections.call(id);
    database_connections.reply(place, &format!("{id} ROWS 0\r\n\r\n"));
    assert_eq!(link.command()["event"], "RETURN");
    // Two requests for gauges, answered after it, confirm that it arrived.
    link.answer_gauges(2);
    std::thread::sleep(Duration::from_millis(20));
    database_connections
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// The connections to the database, at its end.
pub struct DatabaseConnections<'a> {
    listener: &'a TcpListener,
    pub peers: Vec<Peer>,
}

impl DatabaseConnections<'_> {
    pub fn of(listener: &TcpListener) -> DatabaseConnections<'_> {
        DatabaseConnections { listener, peers: Vec::new() }
    }

    /// Receives the call of this job on any connection: gives the index of that.
    pub fn call(&mut self, id: &str) -> usize {
        self.listener.set_nonblocking(true).expect("a socket");
        let by = Instant::now() + TIMEOUT;
        loop {
            while let Ok((stream, _)) = self.listener.accept() {
                self.peers.push(Peer::of(stream));
            }
            for (place, peer) in self.peers.iter_mut().enumerate() {
                peer.stream().set_nonblocking(true).expect("a socket");
                let some = matches!(peer.reader.fill_buf(), Ok(bytes) if !bytes.is_empty());
                peer.stream().set_nonblocking(false).expect("a socket");
                if some {
                    let line = peer.receive_line();
                    let words: Vec<&str> = line.trim_end().split(' ').collect();
                    if words[0] == "Q" {
                        assert_eq!((words[1], words[3]), (id, "5"), "{line}");
                        assert_eq!(peer.bytes(7), b"query\r\n");
                        return place;
                    }
                }
            }
            assert!(Instant::now() < by, "no call in time");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn reply(&mut self, place: usize, text: &str) {
        self.peers[place].write(text);
    }
}

/// One end of a connection, line by line.
pub struct Peer {
    reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn of(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        Peer { reader: BufReader::new(stream) }
    }

    pub fn accept(listener: &TcpListener) -> Peer {
        listener.set_nonblocking(true).expect("a socket");
        let by = Instant::now() + TIMEOUT;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("a socket");
                    return Peer::of(stream);
                }
                Err(error) if Instant::now() >= by => panic!("no connection in time: {error}"),
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }

    pub fn write(&mut self, text: &str) {
        self.stream().write_all(text.as_bytes()).expect("it takes bytes");
    }

    pub fn send(&mut self, message: &Value) {
        self.write(&format!("{message}\n"));
    }

    pub fn receive_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line in time");
        line
    }

    pub fn receive(&mut self) -> Value {
        let line = self.receive_line();
        serde_json::from_str(&line).unwrap_or_else(|_| panic!("not JSON: {line:?}"))
    }

    /// Receives the command to cancel a run, well before the deadline of its job.
    pub fn receives_cancel(&mut self, id: &str) -> bool {
        let began = Instant::now();
        self.command() == json!({"event": "KILL", "handle": id}) && began.elapsed() < Duration::from_secs(1)
    }

    /// The next command that is no request for gauges; these are answered.
    pub fn command(&mut self) -> Value {
        let by = Instant::now() + TIMEOUT;
        loop {
            let received = self.receive();
            if received["event"] != "METER" {
                return received;
            }
            assert!(Instant::now() < by, "nothing but requests for gauges");
            self.gauges(&received);
        }
    }

    fn gauges(&mut self, asked: &Value) {
        self.send(&json!({"event": "METERS", "ticket": asked["ticket"], "figures": [3, 0.5]}));
    }

    /// Answers so many requests for gauges; nothing else may come before.
    pub fn answer_gauges(&mut self, count: usize) {
        for _ in 0..count {
            let received = self.receive();
            assert_eq!(received["event"], "METER", "{received}");
            self.gauges(&received);
        }
    }

    pub fn bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.reader.read_exact(&mut bytes).expect("bytes in time");
        bytes
    }

    /// Nothing comes for a while.
    pub fn is_silent(&mut self) -> bool {
        self.stream().set_read_timeout(Some(Duration::from_millis(150))).expect("a time-out");
        let silent = self.reader.fill_buf().is_err();
        self.stream().set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        silent
    }

    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.fill_buf(), Ok([]))
    }

    /// Sends a health check and gives its answer.
    pub fn check(&mut self, call: u64) -> Value {
        self.send(&json!({"jsonrpc": "2.0", "id": call, "method": "ping"}));
        self.receive()
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

pub fn job(call: u64, job_class: &str, id: &str) -> Value {
    json!({"jsonrpc": "2.0", "id": call, "method": job_class, "params": {"req": id, "ts": unix_ms(), "via": 1,
        "owner": "acme", "need": 12.5, "level": 0.5, "body": "aGVsbG8="}})
}
