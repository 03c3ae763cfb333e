//! The bound on TLS handshakes in progress.

use hazelgrade::time::{Span, Time};
use hazelgrade_identity::handshake_limiter::{HandshakeLimiter, StartedHandshake};

#[test]
fn past_the_bound_the_oldest_handshake_is_evicted() {
    let at = |ms: f64| Time::from_ms(ms);
    let mut handshakes = HandshakeLimiter::new(3, Span::from_ms(2000.0));
    let ids: Vec<u64> = (0..3).map(|count| handshakes.begin(at(f64::from(count))).id).collect();
    let StartedHandshake { id: fourth, deadline, evicted } = handshakes.begin(at(10.0));
    assert_eq!((deadline, evicted), (at(2010.0), Some(ids[0])));
    assert!(!handshakes.finish(ids[0], false), "it was evicted already");
    assert!(handshakes.finish(fourth, true));
    let evicted = handshakes.begin(at(20.0)).evicted;
    assert_eq!((evicted, handshakes.in_progress(), handshakes.ended_early()), (None, 3, 1));
    // However many begin, no more are in progress.
    for _ in 0..1000 {
        let _ = handshakes.begin(at(30.0));
    }
    assert_eq!((handshakes.in_progress(), handshakes.ended_early()), (3, 1001));
}
