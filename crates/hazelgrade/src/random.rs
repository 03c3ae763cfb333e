//! The seeded pseudo-random number generator for all random choices in decisions. The same seed gives the same
//! sequence.

/// Number of values discarded at the start, so that similar seeds give sequences that differ in all bits.
const DISCARDED_NUMBERS: u32 = 4;

/// The multiplier of the generator, 2^32 - 9631.
const MULTIPLIER: u64 = 4_294_957_665;

/// 2^32, the number of distinct values that one step can produce.
const RANGE: f64 = 4_294_967_296.0;

/// A multiply-with-carry generator of 32-bit numbers.
#[derive(Clone, Debug)]
pub struct MultiplyWithCarry {
    value: u32,
    carry: u32,
}

impl MultiplyWithCarry {
    /// Creates a generator for this seed. Similar seeds give unrelated sequences.
    pub fn new(seed: u64) -> MultiplyWithCarry {
        let value = seed as u32 ^ 0x5bd1_e995;
        // The generator requires a carry above 0 and below the multiplier.
        let carry = ((seed >> 32) as u32 & 0x3fff_ffff) | 1;
        let mut generator = MultiplyWithCarry { value, carry };
        for _ in 0..DISCARDED_NUMBERS {
            generator.next_f64();
        }
        generator
    }

    /// Returns the next number, from 0 (inclusive) to 1 (exclusive).
    pub fn next_f64(&mut self) -> f64 {
        let next = u64::from(self.value) * MULTIPLIER + u64::from(self.carry);
        self.value = next as u32;
        self.carry = (next >> 32) as u32;
        f64::from(self.value) / RANGE
    }
}
