//! The least plan that still fails: whole runs of steps are left out, then smaller ones, as long as the failure stays.

use crate::plan::FaultPlan;

/// `fails` plays a plan; it is asked at most `most` times. What comes back has failed, if `plan` has.
pub fn shrink(plan: &FaultPlan, most: usize, mut fails: impl FnMut(&FaultPlan) -> bool) -> FaultPlan {
    let (mut least, mut asked) = (plan.clone(), 0);
    let mut length = least.steps.len().div_ceil(2);
    while length > 0 {
        let (mut from, mut smaller) = (0, false);
        while from < least.steps.len() {
            if asked >= most {
                return least;
            }
            let mut without = least.clone();
            without.steps.drain(from..(from + length).min(least.steps.len()));
            asked += 1;
            if fails(&without) {
                (least, smaller) = (without, true);
            } else {
                from += length;
            }
        }
        length = if length == 1 && smaller { 1 } else { length / 2 };
    }
    least
}
