//! The recorded files, and how they are put back on a disk.

use redb::TableDefinition;
use serde_json::Value;
use std::path::Path;

/// The bytes of a redb file are the library's matter, its tables, names and values are this program's.
const ABOUT: TableDefinition<&str, &[u8]> = TableDefinition::new("about");
const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

/// A recording by its file name in this folder.
pub fn recording(name: &str) -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name);
    let text = std::fs::read_to_string(path).expect("a recording");
    serde_json::from_str(&text).expect("JSON")
}

/// A text of a recording, by its place.
pub fn text<'a>(recording: &'a Value, pointer: &str) -> &'a str {
    recording.pointer(pointer).and_then(Value::as_str).unwrap_or_else(|| panic!("no text at {pointer}"))
}

/// Puts a recorded store back into a file, as it was but for its owner.
pub fn restore(path: &Path, recorded: &Value, owner: &str) {
    let database = redb::Database::create(path).expect("a file");
    let writing = database.begin_write().expect("a transaction");
    {
        let mut about = writing.open_table(ABOUT).expect("a table");
        let form = recorded["about"]["form"].as_u64().expect("a form").to_le_bytes();
        about.insert("form", form.as_slice()).expect("it is written");
        about.insert("owner", owner.as_bytes()).expect("it is written");
        let mut kept = writing.open_table(KEPT).expect("a table");
        for (name, value) in recorded["kept"].as_object().expect("values") {
            let value = value.as_str().expect("a text").as_bytes();
            kept.insert(name.as_str(), value).expect("it is written");
        }
    }
    writing.commit().expect("it is on the disk");
}
