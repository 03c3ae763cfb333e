//! The texts of errors, which operators see.

use hazelgrade_store::StoreError;

#[test]
fn each_error_has_its_recorded_text() {
    let texts = [
        (
            StoreError::NewerFormat { found: 7 },
            "a newer program wrote it: its form is 7, this program knows 1",
        ),
        (StoreError::OtherOwner { found: "n1".into() }, "it belongs to n1"),
        (StoreError::InUse, "another process has it open"),
        (StoreError::DiskFull, "the disk is full"),
        (StoreError::Corrupt("short".into()), "it can't be read as a store: short"),
        (StoreError::Io("no such file".into()), "no such file"),
        (StoreError::ValueTooLong { bytes: 8_388_609 }, "8388609 bytes are more than 8388608"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
