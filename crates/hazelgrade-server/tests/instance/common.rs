//! Runs the service instance as a process, with fakes on loopback addresses for the executor, the registry, the
//! database and the clients.

use hazelgrade_fakes::system_faults::SystemFaults;
use hazelgrade_server::routing::result_cache::JobOwner;
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

/// An instance process, its configuration and its fakes. The fakes listen before the process starts.
pub struct Instance {
    child: Child,
    file: PathBuf,
    pub listen: SocketAddr,
    pub executor: TcpListener,
    pub registry: UdpSocket,
    pub database: TcpListener,
    configuration: Value,
}

/// Returns an address that no other test uses, with a loopback host of its own. The address isn't bound here to check
/// that it is free: a process that another thread is starting would inherit the socket and keep it open for a moment
/// longer.
pub fn free_address() -> SocketAddr {
    static HOSTS: AtomicU32 = AtomicU32::new(2);
    let host = HOSTS.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = std::process::id().to_be_bytes();
    SocketAddr::from(([127, process[2], process[3], host[3]], 9090))
}

/// Writes a configuration file and returns its path.
pub fn write(text: &str) -> PathBuf {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let name = format!("hazelgrade-{}-{}.json", std::process::id(), FILES.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("write the configuration file");
    path
}

pub fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hazelgrade"));
    command.args(args).env_remove("PROXY_CONFIG").stdin(Stdio::null());
    command
}

pub fn run(args: &[&str]) -> Output {
    command(args).output().expect("start the hazelgrade process")
}

impl Instance {
    pub fn start() -> Instance {
        Instance::start_with(|_| {})
    }

    pub fn start_with(change: impl FnOnce(&mut Value)) -> Instance {
        Instance::start_with_options(change, "warn", Stdio::inherit(), |_| {})
    }

    /// Starts an instance whose system calls may fail.
    pub fn start_with_faults(faults: &SystemFaults) -> Instance {
        Instance::start_with_options(|_| {}, "warn", Stdio::inherit(), |command| faults.apply_to(command))
    }

    /// Starts an instance that logs at `level` to `log`.
    pub fn start_with_log(level: &str, log: Stdio) -> Instance {
        Instance::start_with_options(|_| {}, level, log, |_| {})
    }

    fn start_with_options(
        change: impl FnOnce(&mut Value),
        level: &str,
        log: Stdio,
        prepare: impl FnOnce(&mut Command),
    ) -> Instance {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let (executor, database) = (bind(), bind());
        let registry = UdpSocket::bind("127.0.0.1:0").expect("bind to a free port");
        registry.set_read_timeout(Some(TIMEOUT)).expect("set the read timeout");
        let listen = free_address();
        let mut configuration = json!({
            "name": "n1", "listen": listen.to_string(), "seed": "00000000000000ff", "stop_ms": 1500,
            "executor": executor.local_addr().expect("read the local address").to_string(),
            "registry": registry.local_addr().expect("read the local address").to_string(),
            "db": database.local_addr().expect("read the local address").to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings()
        });
        change(&mut configuration);
        let file = write(&configuration.to_string());
        let child = Instance::spawn(&file, level, log, prepare);
        Instance { child, file, listen, executor, registry, database, configuration }
    }

    fn spawn(file: &PathBuf, level: &str, log: Stdio, prepare: impl FnOnce(&mut Command)) -> Child {
        let mut command = command(&["serve", "--log", level]);
        prepare(&mut command);
        command.env("PROXY_CONFIG", file).stderr(log).spawn().expect("start the hazelgrade process")
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn configuration(&self) -> String {
        self.configuration.to_string()
    }

    /// Kills the process and starts another one with the same name and address.
    pub fn start_again(&mut self) {
        self.kill();
        self.child = Instance::spawn(&self.file, "warn", Stdio::inherit(), |_| {});
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Changes the configuration file and makes the process read the file again.
    pub fn reload(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.configuration);
        self.reload_text(&self.configuration.to_string());
    }

    pub fn reload_text(&self, text: &str) {
        let next = self.file.with_extension("next");
        std::fs::write(&next, text).expect("write the new configuration file");
        std::fs::rename(&next, &self.file).expect("replace the configuration file");
        self.signal("HUP");
    }

    /// Returns the log of an instance that was started with a piped log, up to the first line that contains `text`.
    pub fn log_until(&mut self, text: &str) -> String {
        let reader = BufReader::new(self.child.stderr.take().expect("the log is piped"));
        let mut log = String::new();
        for line in reader.lines() {
            let line = line.expect("the log is text");
            log.push_str(&line);
            log.push('\n');
            if line.contains(text) {
                return log;
            }
        }
        panic!("the log ended without {text:?}: {log}")
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &id]).status().expect("run kill").success());
    }

    /// Waits for the process to exit by itself and returns its exit code; `None` if the process is still running after
    /// [`TIMEOUT`].
    pub fn exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("query the child process") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    pub fn client(&self) -> Peer {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            match TcpStream::connect(self.listen) {
                Ok(stream) => return Peer::of(stream),
                Err(error) if Instant::now() >= deadline => panic!("{error}"),
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Accepts the link to the executor. Returns the link and the cursor that the process sent.
    pub fn link(&self) -> (Peer, u64) {
        let mut link = Peer::accept(&self.executor);
        let join = link.receive();
        assert_eq!(join["event"], "JOIN");
        (link, join["cursor"].as_u64().expect("the cursor is a number"))
    }

    /// Accepts the link, reports the executor as up, and connects a client. Returns the link and the client.
    pub fn ready(&self) -> (Peer, Peer) {
        let (mut link, cursor) = self.link();
        assert_eq!(cursor, 0);
        link.send(&json!({"event": "WELCOME", "fate": "old", "lasted": 5}));
        (link, self.client())
    }
}

/// Lets the run of a job make its first call and receive the reply, waits until the instance has processed the
/// confirmation of the reply, and ends the link.
pub fn replied_before_the_link_ends<'a>(
    instance: &'a Instance,
    mut link: Peer,
    id: &str,
) -> DatabaseConnections<'a> {
    link.send(&json!({"event": "CALLOUT", "cursor": 1, "handle": id, "arg": "cXVlcnk="}));
    let mut database_connections = DatabaseConnections::of(&instance.database);
    let index = database_connections.call(id);
    database_connections.reply(index, &format!("{id} ROWS 0\r\n\r\n"));
    assert_eq!(link.command()["event"], "RETURN");
    // The answers to two later requests for gauges confirm to the instance that the reply arrived.
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

/// The database's ends of the connections from the instance.
pub struct DatabaseConnections<'a> {
    listener: &'a TcpListener,
    pub peers: Vec<Peer>,
}

impl DatabaseConnections<'_> {
    pub fn of(listener: &TcpListener) -> DatabaseConnections<'_> {
        DatabaseConnections { listener, peers: Vec::new() }
    }

    /// Receives the call of this job on any connection. Returns the index of the connection.
    pub fn call(&mut self, id: &str) -> usize {
        self.listener.set_nonblocking(true).expect("set the blocking mode of the socket");
        let deadline = Instant::now() + TIMEOUT;
        loop {
            while let Ok((stream, _)) = self.listener.accept() {
                self.peers.push(Peer::of(stream));
            }
            for (index, peer) in self.peers.iter_mut().enumerate() {
                peer.stream().set_nonblocking(true).expect("set the blocking mode of the socket");
                let has_data = matches!(peer.reader.fill_buf(), Ok(bytes) if !bytes.is_empty());
                peer.stream().set_nonblocking(false).expect("set the blocking mode of the socket");
                if has_data {
                    let line = peer.receive_line();
                    let words: Vec<&str> = line.trim_end().split(' ').collect();
                    if words[0] == "Q" {
                        assert_eq!((words[1], words[3]), (id, "5"), "{line}");
                        assert_eq!(peer.bytes(7), b"query\r\n");
                        return index;
                    }
                }
            }
            assert!(
                Instant::now() < deadline,
                "the database received no call of job {id} within {TIMEOUT:?}"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn reply(&mut self, index: usize, text: &str) {
        self.peers[index].write(text);
    }
}

/// The test's end of a connection, which sends and receives lines.
pub struct Peer {
    reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn of(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(TIMEOUT)).expect("set the read timeout");
        Peer { reader: BufReader::new(stream) }
    }

    pub fn accept(listener: &TcpListener) -> Peer {
        listener.set_nonblocking(true).expect("set the blocking mode of the socket");
        let deadline = Instant::now() + TIMEOUT;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("set the blocking mode of the socket");
                    return Peer::of(stream);
                }
                Err(error) if Instant::now() >= deadline => {
                    panic!("no connection within {TIMEOUT:?}: {error}")
                }
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
        self.stream().write_all(text.as_bytes()).expect("write to the connection");
    }

    pub fn send(&mut self, message: &Value) {
        self.write(&format!("{message}\n"));
    }

    pub fn receive_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("receive a line within the timeout");
        line
    }

    pub fn receive(&mut self) -> Value {
        let line = self.receive_line();
        serde_json::from_str(&line).unwrap_or_else(|_| panic!("not JSON: {line:?}"))
    }

    /// Returns whether the next command cancels the run of this job and arrives within 1 s, well before the deadline of
    /// the job.
    pub fn receives_cancel(&mut self, id: &str) -> bool {
        let started_at = Instant::now();
        self.command() == json!({"event": "KILL", "handle": id})
            && started_at.elapsed() < Duration::from_secs(1)
    }

    /// Returns the next command that is not a request for gauges. Requests for gauges are answered.
    pub fn command(&mut self) -> Value {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let received = self.receive();
            if received["event"] != "METER" {
                return received;
            }
            assert!(Instant::now() < deadline, "received only requests for gauges within {TIMEOUT:?}");
            self.answer_gauge_request(&received);
        }
    }

    fn answer_gauge_request(&mut self, request: &Value) {
        self.send(&json!({"event": "METERS", "ticket": request["ticket"], "figures": [3, 0.5]}));
    }

    /// Answers `count` requests for gauges, and returns the ticket of the last of them. Panics if another command
    /// arrives before that one.
    pub fn answer_gauges(&mut self, count: usize) -> String {
        let mut ticket = String::new();
        for _ in 0..count {
            let received = self.receive();
            assert_eq!(received["event"], "METER", "{received}");
            self.answer_gauge_request(&received);
            ticket = received["ticket"].as_str().unwrap_or_default().to_owned();
        }
        ticket
    }

    pub fn bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.reader.read_exact(&mut bytes).expect("receive all bytes within the timeout");
        bytes
    }

    /// Returns whether no byte arrives within 150 ms.
    pub fn is_silent(&mut self) -> bool {
        self.stream().set_read_timeout(Some(Duration::from_millis(150))).expect("set the read timeout");
        let silent = self.reader.fill_buf().is_err();
        self.stream().set_read_timeout(Some(TIMEOUT)).expect("set the read timeout");
        silent
    }

    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.fill_buf(), Ok([]))
    }

    /// Sends a health check and returns the answer.
    pub fn check(&mut self, call: u64) -> Value {
        self.send(&json!({"jsonrpc": "2.0", "id": call, "method": "ping"}));
        self.receive()
    }
}

/// Returns the names under which jobs of the class "book" and the tenant "acme" are known.
pub fn job_owner() -> JobOwner {
    JobOwner { job_class: "book".into(), tenant: Some("acme".into()), caller: None }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the system time is after 1970").as_millis() as u64
}

pub fn job(call: u64, job_class: &str, id: &str) -> Value {
    json!({"jsonrpc": "2.0", "id": call, "method": job_class, "params": {"req": id, "ts": unix_ms(), "via": 1,
        "owner": "acme", "need": 12.5, "level": 0.5, "body": "aGVsbG8="}})
}
