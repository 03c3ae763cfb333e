//! Tests the properties of the process that the whole-fleet trial relies on, as the kernel reports them in `/proc`
//! while the instance serves. The trial redirects the sockets and clocks of the instance. The redirection works only
//! for a single, dynamically linked process that uses plain sockets.

use crate::common::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::fs::{read_dir, read_link, read_to_string};
use std::path::PathBuf;

/// Returns the path of an entry of a process in `/proc`.
fn proc_path(process: u32, entry: &str) -> PathBuf {
    format!("/proc/{process}/{entry}").into()
}

/// Returns the sorted names of the threads of a process.
fn thread_names(process: u32) -> Vec<String> {
    let tasks = read_dir(proc_path(process, "task")).expect("list the threads of the process").flatten();
    let mut names: Vec<String> =
        tasks.filter_map(|task| read_to_string(task.path().join("comm")).ok()).collect();
    names.iter_mut().for_each(|name| name.truncate(name.trim_end().len()));
    names.sort();
    names
}

/// Returns whether any process has `process` as its parent. In `stat`, the id of the parent is the second word after
/// the process name, which is in parentheses.
fn has_children(process: u32) -> bool {
    read_dir("/proc").expect("list the processes").flatten().any(|entry| {
        let stat = read_to_string(entry.path().join("stat")).unwrap_or_default();
        let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        after_name.split(' ').nth(1) == Some(&process.to_string())
    })
}

/// Returns the descriptors of a process that the whole-fleet trial does not support: sockets that the kernel does not
/// list as TCP or UDP over IPv4, io_uring instances and memory files. Unnamed Unix socket pairs are allowed: they pass
/// signals on inside the process, and no other process can connect to them.
fn unsupported_descriptors(process: u32) -> Vec<String> {
    let mut allowed_inodes = BTreeSet::new();
    for table in ["net/tcp", "net/udp"] {
        let table = read_to_string(proc_path(process, table)).expect("read a socket table");
        allowed_inodes
            .extend(table.lines().filter_map(|line| line.split_whitespace().nth(9).map(str::to_owned)));
    }
    let unix_sockets =
        read_to_string(proc_path(process, "net/unix")).expect("read the table of Unix sockets");
    let unnamed = unix_sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    allowed_inodes.extend(unnamed.filter(|words| words.len() == 7).map(|words| words[6].to_owned()));
    let open = read_dir(proc_path(process, "fd")).expect("list the descriptors of the process").flatten();
    let links =
        open.filter_map(|entry| read_link(entry.path()).ok()).map(|target| target.display().to_string());
    let is_unsupported =
        |link: &String| match link.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')) {
            Some(inode) => !allowed_inodes.contains(inode),
            None => link.contains("io_uring") || link.starts_with("/memfd"),
        };
    links.filter(is_unsupported).collect()
}

#[test]
fn the_instance_is_one_process_linked_to_the_c_library_on_plain_sockets_at_start_and_under_load() {
    let instance = Instance::start();
    let process = instance.process();
    let (mut link, mut client) = instance.ready();
    client.check(1);
    let threads_at_start = thread_names(process);
    let mut clients: Vec<Peer> = (0..20).map(|_| instance.client()).collect();
    for round in 0..5 {
        for (index, client) in clients.iter_mut().enumerate() {
            client.send(&job(round + 1, "read", &format!("{index}-{round}")));
        }
        for number in 0..clients.len() as u64 {
            let run = link.command();
            let cursor = round * clients.len() as u64 + number + 1;
            link.send(&json!({"event": "EXIT", "cursor": cursor, "handle": run["handle"], "fate": "good",
                "lasted": 1, "arg": "b25l"}));
        }
        clients.iter_mut().for_each(|client| assert!(client.receive()["result"]["body"].is_string()));
    }
    instance.reload_text(&instance.configuration());
    client.check(2);
    let maps = read_to_string(proc_path(process, "maps")).expect("read the memory maps of the process");
    assert!(maps.contains("/libc.so.6"), "the process is not dynamically linked to the C library");
    assert!(maps.contains("/ld-linux"), "the process was started without the dynamic linker");
    assert!(!has_children(process), "the process has a child process");
    assert_eq!(unsupported_descriptors(process), Vec::<String>::new());
    // The process has at most three threads, which serve requests, run async-io and write the log. Load adds none.
    // The numbers of threads are compared instead of their names, because a thread has the name of the process until
    // it sets its own.
    assert_eq!(thread_names(process).len(), threads_at_start.len());
    assert!(threads_at_start.len() <= 3, "{threads_at_start:?}");
}
