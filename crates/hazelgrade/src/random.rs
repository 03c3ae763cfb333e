//! Chance from a multiply-with-carry generator: the same seed gives the same sequence.

/// Numbers left out at the start.
const MIXING: u32 = 4;

#[derive(Clone, Debug)]
pub struct MultiplyWithCarry {
    value: u32,
    carry: u32,
}

impl MultiplyWithCarry {
    /// Seeds that lie close together, as those of a fleet that numbers its instances, give sequences that don't.
    pub fn new(seed: u64) -> MultiplyWithCarry {
        let mut chance = MultiplyWithCarry {
            value: seed as u32 ^ 0x5bd1_e995,
            carry: ((seed >> 32) as u32 & 0x3fff_ffff) | 1,
        };
        // A difference of one grows some ten thousand times with each number, and fills all bits by the third.
        for _ in 0..MIXING {
            chance.draw();
        }
        chance
    }

    /// The next number, from 0 up to less than 1.
    pub fn draw(&mut self) -> f64 {
        let next = u64::from(self.value) * 4_294_957_665 + u64::from(self.carry);
        self.value = next as u32;
        self.carry = (next >> 32) as u32;
        f64::from(self.value) / 4_294_967_296.0
    }
}
