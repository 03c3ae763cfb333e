//! What the program is to the system that runs it, read from the kernel's own account while it serves: the whole-fleet
//! trial leads its sockets and clocks elsewhere, which works for one process, linked dynamically, on plain sockets.

use crate::common::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::fs::{read_dir, read_link, read_to_string};
use std::path::PathBuf;

fn of(process: u32, what: &str) -> PathBuf {
    format!("/proc/{process}/{what}").into()
}

/// The names of its threads, in order.
fn threads(process: u32) -> Vec<String> {
    let tasks = read_dir(of(process, "task")).expect("it runs").flatten();
    let mut names: Vec<String> =
        tasks.filter_map(|task| read_to_string(task.path().join("comm")).ok()).collect();
    names.iter_mut().for_each(|name| name.truncate(name.trim_end().len()));
    names.sort();
    names
}

/// Whether a process has it as its parent: the second word after the name, which is in brackets.
fn has_children(process: u32) -> bool {
    read_dir("/proc").expect("a list").flatten().any(|entry| {
        let stat = read_to_string(entry.path().join("stat")).unwrap_or_default();
        let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        after_name.split(' ').nth(1) == Some(&process.to_string())
    })
}

/// Its sockets that the kernel doesn't list as TCP or UDP over IPv4, and what else of its descriptors is of a kind
/// that the trial's page refuses. A pair without a name, over which signals are handed on inside the process, is
/// nothing that anyone could come to.
fn odd_descriptors(process: u32) -> Vec<String> {
    let mut known = BTreeSet::new();
    for table in ["net/tcp", "net/udp"] {
        let table = read_to_string(of(process, table)).expect("a table");
        known.extend(table.lines().filter_map(|line| line.split_whitespace().nth(9).map(str::to_owned)));
    }
    let pairs = read_to_string(of(process, "net/unix")).expect("a table");
    let nameless = pairs.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    known.extend(nameless.filter(|words| words.len() == 7).map(|words| words[6].to_owned()));
    let open = read_dir(of(process, "fd")).expect("a list").flatten();
    let links = open.filter_map(|entry| read_link(entry.path()).ok()).map(|to| to.display().to_string());
    let odd = |link: &String| match link.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')) {
        Some(inode) => !known.contains(inode),
        None => link.contains("io_uring") || link.starts_with("/memfd"),
    };
    links.filter(odd).collect()
}

#[test]
fn it_is_one_process_linked_to_the_c_library_on_plain_sockets_at_start_and_under_load() {
    let instance = Instance::start();
    let process = instance.process();
    let (mut link, mut client) = instance.ready();
    client.check(1);
    let at_start = threads(process);
    let mut others: Vec<Peer> = (0..20).map(|_| instance.client()).collect();
    for round in 0..5 {
        for (place, other) in others.iter_mut().enumerate() {
            other.send(&job(round + 1, "read", &format!("{place}-{round}")));
        }
        for number in 0..others.len() as u64 {
            let run = link.command();
            let cursor = round * others.len() as u64 + number + 1;
            link.send(&json!({"event": "EXIT", "cursor": cursor, "handle": run["handle"], "fate": "good",
                "lasted": 1, "arg": "b25l"}));
        }
        others.iter_mut().for_each(|other| assert!(other.receive()["result"]["body"].is_string()));
    }
    instance.reload_text(&instance.configuration());
    client.check(2);
    let maps = read_to_string(of(process, "maps")).expect("it runs");
    assert!(maps.contains("/libc.so.6"), "not linked to the C library dynamically");
    assert!(maps.contains("/ld-linux"), "started without the dynamic linker");
    assert!(!has_children(process), "it has started another program");
    assert_eq!(odd_descriptors(process), Vec::<String>::new());
    // Serving, async-io's own, the log's: none more under load.
    // A thread has its process's name until it has set its own, so they are counted.
    assert_eq!(threads(process).len(), at_start.len());
    assert!(at_start.len() <= 3, "{at_start:?}");
}
