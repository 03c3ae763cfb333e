//! Points in time and spans between them, in whole microseconds, as two types that can't be mixed up.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point on the clock that the caller of the library supplies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(i64);

/// A length of time; never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(i64);

/// Milliseconds in microseconds, rounded.
fn micros(ms: f64) -> i64 {
    (ms * 1000.0).round() as i64
}

impl Time {
    /// The point that is `ms` milliseconds after the clock's zero, to the microsecond.
    pub fn from_ms(ms: f64) -> Time {
        Time(micros(ms))
    }

    /// Milliseconds since the clock's zero.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// The span from `earlier` to this point; zero if `earlier` is in fact later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0).max(0))
    }
}

impl Span {
    /// No time.
    pub const ZERO: Span = Span(0);

    /// A span of `ms` milliseconds, to the microsecond; zero if `ms` is negative.
    pub fn from_ms(ms: f64) -> Span {
        Span(micros(ms).max(0))
    }

    /// Its milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// This span less `other`, or zero if `other` is longer.
    pub fn saturating_sub(self, other: Span) -> Span {
        Span((self.0 - other.0).max(0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        *self = *self + other;
    }
}

/// Rounds down to the microsecond; zero for a negative factor.
impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).max(0.0) as i64)
    }
}

/// The ratio of two spans; a divisor of zero counts as one microsecond.
impl Div for Span {
    type Output = f64;
    fn div(self, other: Span) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}
