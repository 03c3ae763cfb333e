//! Size of an identity document and of what is made of it.

use super::environment::{compiled, identity_document};
use crate::ALLOCATIONS;
use crate::measure::report::table;
use crate::processes::to_message;
use comfy_table::Table;
use hazelgrade_identity::signer::Signer;
use stats_alloc::Region;
use std::hint::black_box;
use std::time::Instant;

pub fn sizes() -> Result<Table, String> {
    let mut table = table(["callers", "document, KB", "made ready in ms", "memory, KB"]);
    let signer = Signer::generate("EdDSA").map_err(to_message)?;
    for callers in [100, 1000, 10_000, 100_000] {
        let document = identity_document(&signer, callers, 600.0)?;
        let kb = document.to_toml().len() / 1024;
        let region = Region::new(ALLOCATIONS);
        let began = Instant::now();
        let identity = compiled(&document)?;
        let lasted = began.elapsed();
        let change = region.change();
        let held = change.bytes_allocated.saturating_sub(change.bytes_deallocated) / 1024;
        black_box(&identity);
        table.add_row([
            callers.to_string(),
            kb.to_string(),
            format!("{:.1}", lasted.as_secs_f64() * 1000.0),
            held.to_string(),
        ]);
    }
    Ok(table)
}
