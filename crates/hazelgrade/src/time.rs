//! Points in time and time spans, in whole microseconds, as two distinct types.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

/// A point in time on the clock of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(i64);

/// A length of time, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(i64);

/// Converts milliseconds to microseconds, rounded to the nearest integer.
fn micros(ms: f64) -> i64 {
    (ms * 1000.0).round() as i64
}

impl Time {
    /// Returns the point `ms` milliseconds after the zero of the clock, rounded to the microsecond.
    pub fn from_ms(ms: f64) -> Time {
        Time(micros(ms))
    }

    /// Returns the milliseconds since the zero of the clock.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns the span from `earlier` to this point, or zero if `earlier` is the later point.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0).max(0))
    }
}

impl Span {
    /// The span of length zero.
    pub const ZERO: Span = Span(0);

    /// Returns a span of `ms` milliseconds, rounded to the microsecond, or zero if `ms` is negative.
    pub fn from_ms(ms: f64) -> Span {
        Span(micros(ms).max(0))
    }

    /// Returns the length in milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns this span minus `other`, or zero if `other` is longer.
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

/// Rounds down to the microsecond and returns zero for a negative factor.
impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).max(0.0) as i64)
    }
}

/// Returns the ratio of two spans. A divisor of zero counts as one microsecond.
impl Div for Span {
    type Output = f64;
    fn div(self, other: Span) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}
