//! Handshakes, bounded.

use hazelgrade::time::{Span, Time};
use hazelgrade_identity::handshakes::Handshakes;

#[test]
fn past_the_bound_the_one_that_has_been_at_it_longest_makes_room() {
    let at = |ms: f64| Time::from_ms(ms);
    let mut handshakes = Handshakes::new(3, Span::from_ms(2000.0));
    let numbers: Vec<u64> = (0..3).map(|count| handshakes.begin(at(f64::from(count))).0).collect();
    let (fourth, until, gone) = handshakes.begin(at(10.0));
    assert_eq!((until, gone), (at(2010.0), Some(numbers[0])));
    assert!(!handshakes.over(numbers[0], false), "it was ended already");
    assert!(handshakes.over(fourth, true));
    let (_, _, gone) = handshakes.begin(at(20.0));
    assert_eq!((gone, handshakes.count(), handshakes.ended), (None, 3, 1));
    // However many come, no more are under way.
    for _ in 0..1000 {
        let _ = handshakes.begin(at(30.0));
    }
    assert_eq!((handshakes.count(), handshakes.ended), (3, 1001));
}
