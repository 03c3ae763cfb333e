//! A node as a process, with its configuration, operator's file and store.

use crate::{EVENT_TIMEOUT, wait_until};
use rustix::process::{Pid, PidfdFlags, Signal, kill_process, pidfd_open, pidfd_send_signal};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// How a node is started.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The program.
    pub program: PathBuf,
    /// Arguments before the sub-command `serve`.
    pub arguments: Vec<String>,
    /// Where its files go.
    pub directory: PathBuf,
    /// Its name, also of its files.
    pub name: String,
    /// Where it listens for callers.
    pub listen: SocketAddr,
    /// Its executor.
    pub executor: SocketAddr,
    /// Where its heartbeats go.
    pub registry: SocketAddr,
    /// What its jobs call; none if they make no calls.
    pub database: Option<SocketAddr>,
    /// The control services it follows, in order.
    pub control: Vec<SocketAddr>,
    /// The rest of the operator's table `stream`, in TOML.
    pub stream: String,
    /// Its time to drain, in ms.
    pub stop_ms: u64,
    /// Its log level; `off` also drops its standard error.
    pub log: String,
    /// Variables added to its environment, such as those of [`crate::system_faults::SystemFaults::environment`].
    pub environment: Vec<(&'static str, PathBuf)>,
}

/// Sends a signal to a child that was not waited for, so that its id is still its own; `false` if it fails.
pub fn send_signal(child: &Child, signal: Signal) -> bool {
    let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    id.is_some_and(|id| kill_process(id, signal).is_ok())
}

/// A running node. It is killed when dropped.
pub struct NodeProcess {
    /// What it was started with.
    pub config: NodeConfig,
    child: Child,
}

/// The settings without job classes, which are streamed.
pub fn settings() -> Value {
    json!({
        "classes": [], "customers": [],
        "ceilings": {"retryAfter": true, "maxRetryAfter": 1000},
        "guarantees": {"answerSlack": 60, "coldFrom": 0.5, "warmUp": 100, "drainGrace": 200, "tipMultiple": 8},
        "quantum": 2, "fleetSize": 1, "clients": {"marksRetry": true},
        "specifics": {"cores": 4, "memoryKb": 60000, "blowup": 4, "keyKb": 1, "below": "tier", "halt": "drop",
            "readiness": true, "callers": 4, "signal": "weight", "saidFor": 1000,
            "linger": 100, "ownStats": ["links", "core_use"]}
    })
}

impl NodeConfig {
    /// Where its store is.
    pub fn store_file(&self) -> PathBuf {
        self.directory.join(format!("{}.store", self.name))
    }

    /// Where its operator's file is.
    pub fn operator_file(&self) -> PathBuf {
        self.directory.join(format!("{}.operator.toml", self.name))
    }

    fn config_file(&self) -> PathBuf {
        self.directory.join(format!("{}.json", self.name))
    }

    /// Writes its configuration and its operator's file.
    ///
    /// # Errors
    ///
    /// If a file cannot be written.
    pub fn write(&self) -> std::io::Result<()> {
        let configuration = json!({
            "name": self.name, "listen": self.listen.to_string(), "seed": "00000000000000ff",
            "stop_ms": self.stop_ms, "executor": self.executor.to_string(),
            "registry": self.registry.to_string(),
            "db": self.database.map(|database| database.to_string()),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings()
        });
        std::fs::write(self.config_file(), configuration.to_string())?;
        let control: Vec<String> = self.control.iter().map(ToString::to_string).collect();
        let operator =
            format!("[stream]\ncontrol = {control:?}\nstore = {:?}\n{}\n", self.store_file(), self.stream);
        std::fs::write(self.operator_file(), operator)
    }

    /// Writes its files and starts it.
    ///
    /// # Errors
    ///
    /// If a file cannot be written or the program cannot be started.
    pub fn start(&self) -> std::io::Result<NodeProcess> {
        self.write()?;
        let child = self.spawn(&self.config_file())?;
        Ok(NodeProcess { config: self.clone(), child })
    }

    fn spawn(&self, configuration: &Path) -> std::io::Result<Child> {
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).arg("serve").arg("--config").arg(configuration);
        command.arg("--operator").arg(self.operator_file()).args(["--log", &self.log]);
        command.env_remove("PROXY_CONFIG").envs(self.environment.iter().cloned()).stdin(Stdio::null());
        if self.log == "off" {
            command.stderr(Stdio::null());
        }
        command.spawn()
    }
}

impl NodeProcess {
    /// Sends `TERM`, `HUP`, `STOP` or `CONT`, or `KILL` for any other name; `false` if it fails.
    pub fn signal(&self, name: &str) -> bool {
        let signal = match name {
            "TERM" => Signal::TERM,
            "HUP" => Signal::HUP,
            "STOP" => Signal::STOP,
            "CONT" => Signal::CONT,
            _ => Signal::KILL,
        };
        send_signal(&self.child, signal)
    }

    /// Tells it to drain, and kills it once its time to drain is over, if it still runs then. `false` if it does not
    /// run.
    pub fn terminate_then_kill(&self) -> bool {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        // By a descriptor: its id may be another process's by the time of the kill.
        let Some(process) = id.and_then(|id| pidfd_open(id, PidfdFlags::empty()).ok()) else { return false };
        let kill_at = Instant::now() + Duration::from_millis(self.config.stop_ms);
        if !self.signal("TERM") {
            return false;
        }
        std::thread::spawn(move || {
            std::thread::sleep(kill_at.saturating_duration_since(Instant::now()));
            // It has left already, or this ends it.
            let _ = pidfd_send_signal(&process, Signal::KILL);
        });
        true
    }

    /// How it ended, if it has; does not wait.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills it if it runs, and starts it with the files it has.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.kill();
        self.child = self.config.spawn(&self.config.config_file())?;
        Ok(())
    }

    /// Its process.
    pub fn process(&self) -> &Child {
        &self.child
    }

    /// Whether it has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until it has ended by itself; none if it does not in time.
    pub fn wait_for_exit(&mut self) -> Option<ExitStatus> {
        let mut status = None;
        wait_until(EVENT_TIMEOUT, || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        });
        status
    }

    /// What it answers to a health check; none if it cannot be reached in time.
    pub fn health_check(&self) -> Option<bool> {
        use std::io::{BufRead, BufReader, Write};
        let mut stream = None;
        wait_until(EVENT_TIMEOUT, || {
            stream = TcpStream::connect(self.config.listen).ok();
            stream.is_some()
        });
        let stream = stream?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        (&stream).write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}\n").ok()?;
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).ok()?;
        serde_json::from_str::<Value>(&line).ok()?["result"]["up"].as_bool()
    }

    /// Waits until its health check answers `ready`; `false` if it does not in time.
    pub fn wait_until_ready(&self, ready: bool) -> bool {
        wait_until(EVENT_TIMEOUT, || self.health_check() == Some(ready))
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
