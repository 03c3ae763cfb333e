//! Reads the recorded files and restores recorded stores to disk.

use redb::TableDefinition;
use serde_json::Value;
use std::path::Path;

/// Recordings hold the tables, keys and values of a store rather than the bytes of its file, because the redb library
/// defines the file format.
const ABOUT: TableDefinition<&str, &[u8]> = TableDefinition::new("about");
const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

/// Reads the recording with this file name from the folder of recordings.
pub fn recording(name: &str) -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name);
    let text = std::fs::read_to_string(path).expect("a recording");
    serde_json::from_str(&text).expect("JSON")
}

/// Returns the text at a JSON pointer of a recording.
pub fn text<'a>(recording: &'a Value, pointer: &str) -> &'a str {
    recording.pointer(pointer).and_then(Value::as_str).unwrap_or_else(|| panic!("no text at {pointer}"))
}

/// Writes a recorded store to a file, unchanged except for the owner.
pub fn restore(path: &Path, recorded: &Value, owner: &str) {
    let database = redb::Database::create(path).expect("a file");
    let transaction = database.begin_write().expect("a transaction");
    {
        let mut about = transaction.open_table(ABOUT).expect("a table");
        let form = recorded["about"]["form"].as_u64().expect("a form").to_le_bytes();
        about.insert("form", form.as_slice()).expect("it is written");
        about.insert("owner", owner.as_bytes()).expect("it is written");
        let mut kept = transaction.open_table(KEPT).expect("a table");
        for (name, value) in recorded["kept"].as_object().expect("values") {
            let value = value.as_str().expect("a text").as_bytes();
            kept.insert(name.as_str(), value).expect("it is written");
        }
    }
    transaction.commit().expect("it is on the disk");
}
