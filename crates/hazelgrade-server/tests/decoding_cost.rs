//! What it costs to decode a line from a client, whatever the line holds. In a test program of its own, because the
//! allocations of all threads are counted.

#![allow(clippy::expect_used)]

use hazelgrade_server::protocol::jsonrpc;
use serde_json::json;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Returns a line that is nearly as long as the longest one that is read: `start`, then `part` for as often as it fits,
/// then `end`.
fn long_line(start: &str, part: &str, end: &str) -> String {
    let count = (jsonrpc::MAX_LINE_BYTES - start.len() - end.len()) / part.len();
    format!("{start}{}{end}", part.repeat(count))
}

/// Guards against lines of very many short members or values that take many times their length in memory, and as much
/// time as hundreds of ordinary requests: 200 clients that sent them took the processor from an honest one.
#[test]
fn a_line_of_very_many_short_values_allocates_less_than_its_length() {
    let settings = json!({"classes": [{"name": "read", "idempotency": "safe", "aim": 2400, "giveUp": 6000, "gain": 1,
        "lateWorth": 0.2, "window": 0}], "customers": [{"name": "acme", "quotaPerS": 100}]});
    let settings = hazelgrade_settings::decode(&settings, 1).expect("the settings are valid").host;
    let lines = [
        ("members", long_line(r#"{"jsonrpc":"2.0","id":7,"#, r#""a":1,"#, r#""method":"ping"}"#)),
        (
            "parameters",
            long_line(r#"{"jsonrpc":"2.0","id":7,"method":"read","params":{"#, r#""a":1,"#, r#""b":1}}"#),
        ),
        ("id", long_line(r#"{"jsonrpc":"2.0","method":"ping","id":["#, "1,", "1]}")),
        ("job id", long_line(r#"{"jsonrpc":"2.0","id":7,"method":"read","params":{"req":["#, "{},", "1]}}")),
        ("array", long_line("[", "[],", "1]")),
        ("params", long_line(r#"{"jsonrpc":"2.0","id":7,"method":"read","params":["#, "{},", "1]}")),
    ];
    for (name, line) in lines {
        let region = Region::new(ALLOCATOR);
        let decoded = jsonrpc::decode(line.as_bytes(), &settings);
        let allocated = region.change().bytes_allocated;
        drop(decoded);
        assert!(allocated < line.len(), "{name}: {allocated} bytes for {}", line.len());
    }
}
