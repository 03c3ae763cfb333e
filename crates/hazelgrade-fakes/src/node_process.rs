//! A node as a process, with its files.

use crate::{EVENT_TIMEOUT, wait_until};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// How a node is started.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The program, and the words before `serve`, if any.
    pub program: PathBuf,
    pub arguments: Vec<String>,
    /// Where its files go.
    pub directory: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub executor: SocketAddr,
    pub registry: SocketAddr,
    pub database: Option<SocketAddr>,
    pub control: Vec<SocketAddr>,
    /// The rest of the operator's table `stream`, in TOML.
    pub stream: String,
    pub stop_ms: u64,
    pub log: String,
}

/// Sends a signal to a child of ours that was not waited for, so its id is still its own.
pub fn send_signal(child: &Child, signal: Signal) -> bool {
    let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    id.is_some_and(|id| kill_process(id, signal).is_ok())
}

pub struct NodeProcess {
    pub config: NodeConfig,
    child: Child,
}

/// The settings without job classes: these are streamed.
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
    pub fn store_file(&self) -> PathBuf {
        self.directory.join(format!("{}.store", self.name))
    }

    pub fn operator_file(&self) -> PathBuf {
        self.directory.join(format!("{}.operator.toml", self.name))
    }

    fn config_file(&self) -> PathBuf {
        self.directory.join(format!("{}.json", self.name))
    }

    /// Writes its files.
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
    pub fn start(&self) -> std::io::Result<NodeProcess> {
        self.write()?;
        let child = self.spawn(&self.config_file())?;
        Ok(NodeProcess { config: self.clone(), child })
    }

    fn spawn(&self, configuration: &Path) -> std::io::Result<Child> {
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).arg("serve").arg("--config").arg(configuration);
        command.arg("--operator").arg(self.operator_file()).args(["--log", &self.log]);
        command.env_remove("PROXY_CONFIG").stdin(Stdio::null());
        if self.log == "off" {
            command.stderr(Stdio::null());
        }
        command.spawn()
    }
}

impl NodeProcess {
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

    /// How it ended, if it has; without waiting.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Killed outright.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Started again with the files it had.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.kill();
        self.child = self.config.spawn(&self.config.config_file())?;
        Ok(())
    }

    pub fn process(&self) -> &Child {
        &self.child
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// How it ended, once it has ended by itself.
    pub fn wait_for_exit(&mut self) -> Option<ExitStatus> {
        let mut status = None;
        wait_until(EVENT_TIMEOUT, || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        });
        status
    }

    /// What it says to a health check; none if it can't be reached in time.
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

    /// Waits until it is ready, or not.
    pub fn wait_until_ready(&self, ready: bool) -> bool {
        wait_until(EVENT_TIMEOUT, || self.health_check() == Some(ready))
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
