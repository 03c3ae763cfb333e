//! Denials in the audit log.

use hazelgrade::time::Time;
use hazelgrade_identity::DenyReason;
use hazelgrade_identity::audit::AuditLog;

const NOW_S: f64 = 1_800_000_000.0;

fn at(seconds: f64) -> Time {
    Time::from_ms(seconds * 1000.0)
}

#[test]
fn audit_records_are_bounded_and_lose_no_denial() {
    let mut audit = AuditLog::default();
    for caller in 0..1000 {
        audit.record(at(NOW_S), Some(&format!("c{caller}")), DenyReason::JobClassNotAllowed);
    }
    assert!(audit.take_due(at(NOW_S + 0.5)).is_empty());
    let lines = audit.take_due(at(NOW_S + 1.0));
    assert!(lines.len() <= 257, "{}", lines.len());
    assert_eq!(lines.iter().map(|line| line.count).sum::<u64>(), 1000, "none is left out of the count");
}
