//! How many subscribers a control service takes on at once. Those past its pace are told when to come back: each gets a
//! place of its own in the time ahead, so that they don't come back together.

use hazelgrade::time::{Span, Time};

#[derive(Clone, Debug)]
pub struct Admission {
    /// Between two that are taken on.
    gap: Span,
    /// How far ahead of that pace some may come together.
    burst: Span,
    /// When the next one would be due at an even pace.
    next: Time,
    /// Until when the time ahead is given away.
    promised: Time,
    /// The furthest promise.
    longest: Span,
}

impl Admission {
    /// `a_second` are taken on for good, `together` at once after some quiet.
    pub fn new(a_second: f64, together: f64) -> Admission {
        let gap = Span::from_ms(1000.0 / a_second.max(0.1));
        let past = Time::from_ms(0.0);
        let longest = Span::from_ms(60_000.0);
        Admission { gap, burst: gap * together.max(1.0), next: past, promised: past, longest }
    }

    /// Takes one on, or says after how long it may come back.
    pub fn ask(&mut self, now: Time) -> Result<(), Span> {
        let next = self.next.max(now);
        if next.since(now) < self.burst {
            self.next = next + self.gap;
            return Ok(());
        }
        // Whoever is sent away comes back when the burst has been worked off, each a gap after the one before.
        let from = now + self.burst;
        self.promised = (self.promised.max(from) + self.gap).min(now + self.longest);
        Err(self.promised.since(now))
    }
}
