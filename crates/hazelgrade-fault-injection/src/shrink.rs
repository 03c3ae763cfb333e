//! Reduces a plan that fails: leaves out runs of steps, then shorter ones, as long as the failure stays.

use crate::plan::FaultPlan;

/// The smallest plan found that still fails. `fails` runs a plan and is called at most `max_runs` times.
pub fn shrink(plan: &FaultPlan, max_runs: usize, mut fails: impl FnMut(&FaultPlan) -> bool) -> FaultPlan {
    let (mut smallest, mut runs) = (plan.clone(), 0);
    let mut length = smallest.steps.len().div_ceil(2);
    while length > 0 {
        let (mut from, mut smaller) = (0, false);
        while from < smallest.steps.len() {
            if runs >= max_runs {
                return smallest;
            }
            let mut without = smallest.clone();
            without.steps.drain(from..(from + length).min(smallest.steps.len()));
            runs += 1;
            if fails(&without) {
                (smallest, smaller) = (without, true);
            } else {
                from += length;
            }
        }
        length = if length == 1 && smaller { 1 } else { length / 2 };
    }
    smallest
}
