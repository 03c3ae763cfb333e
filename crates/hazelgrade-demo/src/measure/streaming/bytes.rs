//! Bytes of a complete document and of differences.

use crate::measure::report::table;
use crate::processes::to_message;
use comfy_table::Table;
use hazelgrade_config::{Document, Version};
use hazelgrade_fakes::documents::{BOOK, READ, document, text};
use hazelgrade_stream::protocol::{Content, Offer, PublisherMessage};

/// Measures it, as a table.
pub fn bytes() -> Result<Table, String> {
    let mut table =
        table(["customers", "whole, bytes", "one field changed", "a customer more", "all quotas changed"]);
    for tenants in [5, 50, 500] {
        let cases = [READ, BOOK];
        let before = document(&cases, tenants, "").map_err(to_message)?;
        let length = |content: Content| {
            let version = Version { number: 1000, digest: before.digest() };
            PublisherMessage::Offer(Offer { nonce: 1000, lineage: "measure".into(), version, content })
                .encode()
                .len()
        };
        let change = |after: &Document| {
            let base = Version { number: 999, digest: before.digest() };
            let difference = before.fields().difference(after.fields());
            length(Content::Delta { base, difference }).to_string()
        };
        let field = document(&[READ, ("book", 1500, 3000, 2)], tenants, "").map_err(to_message)?;
        let more = document(&cases, tenants + 1, "").map_err(to_message)?;
        let all = text(&cases, tenants, "").replace("quota_per_s = ", "quota_per_s = 1");
        let all = Document::read(&all, "all").map_err(|faults| faults[0].to_string())?;
        let whole = length(Content::Full(before.to_toml())).to_string();
        table.add_row([tenants.to_string(), whole, change(&field), change(&more), change(&all)]);
    }
    Ok(table)
}
