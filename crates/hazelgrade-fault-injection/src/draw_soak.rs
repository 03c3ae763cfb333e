//! Draws the fault plans of a soak: drains that end by a kill, signals in series, callers that hear of a drain late, a
//! crowd of idle clients, and a long quiet time.

use crate::draw::Picker;
use crate::plan::{Fault, FaultPlan, SoakPlan, Step, Trigger};

/// Makes what a soak adds independent of the plan that it adds to.
const SOAK_SEED: u64 = 0x50a4;
/// The shortest and longest time to drain that deployments give, in ms.
const STOP_MS: (u32, u32) = (1000, 4900);
/// How late callers hear of a drain, in ms: at once, within it, or not before the node has left.
const DRAIN_NOTICE_DELAYS_MS: [u32; 4] = [0, 300, 1500, 10_000];
/// Idle clients of each node.
const IDLE_CLIENTS: [u32; 4] = [0, 0, 0, 300];
/// Quiet times before the first fault, in ms.
const QUIET_MS: [u32; 4] = [0, 0, 0, 12_000];

impl FaultPlan {
    /// The plan of a soak: [`FaultPlan::draw`], or [`FaultPlan::draw_shared`] where nodes share a budget of so many
    /// units over so many sites, with drains that end by a kill and signals in series.
    pub fn draw_soak(seed: u64, nodes: usize, faults: usize, shared: Option<(usize, u32)>) -> FaultPlan {
        let plan = match shared {
            Some((sites, total)) => FaultPlan::draw_shared(seed, nodes, faults, sites, total),
            None => FaultPlan::draw(seed, nodes, faults),
        };
        let mut picker = Picker::new(seed ^ SOAK_SEED);
        let soak = draw_surroundings(&mut picker);
        let mut steps = Vec::new();
        let mut draining = Vec::new();
        for step in plan.steps {
            match step.fault {
                Fault::Term { node } | Fault::TermThenKill { node } => draining.push(node),
                Fault::Start { node, .. } => draining.retain(|other| *other != node),
                // A node that stands still can't leave before its kill.
                Fault::Stall { .. } if !draining.is_empty() => continue,
                _ => {}
            }
            add_step(&mut steps, step, &mut picker);
        }
        FaultPlan { soak: Some(soak), steps, ..plan }
    }
}

fn draw_surroundings(picker: &mut Picker) -> SoakPlan {
    let (shortest, longest) = STOP_MS;
    SoakPlan {
        stop_ms: shortest + picker.pick((longest - shortest) as usize + 1) as u32,
        drain_notice_delay_ms: DRAIN_NOTICE_DELAYS_MS[picker.pick(DRAIN_NOTICE_DELAYS_MS.len())],
        idle_clients: IDLE_CLIENTS[picker.pick(IDLE_CLIENTS.len())],
        quiet_ms: QUIET_MS[picker.pick(QUIET_MS.len())],
    }
}

/// Adds a step, with signals in series where it sends one.
fn add_step(steps: &mut Vec<Step>, step: Step, picker: &mut Picker) {
    let at_once = |fault: Fault| Step { trigger: Trigger::Now, fault };
    match step.fault {
        Fault::Term { node } => {
            let mut signals = Vec::new();
            // In the middle of a reload.
            signals.extend((picker.pick(2) == 0).then_some(Fault::Hup { node }));
            signals.push(Fault::TermThenKill { node });
            for _ in 0..picker.pick(3) {
                signals.push([Fault::Hup { node }, Fault::Term { node }][picker.pick(2)]);
            }
            let first = steps.len();
            steps.extend(signals.into_iter().map(at_once));
            steps[first].trigger = step.trigger;
        }
        Fault::Hup { node } => {
            steps.push(step);
            steps.extend((0..picker.pick(3)).map(|_| at_once(Fault::Hup { node })));
        }
        Fault::Start { node, .. } => {
            steps.push(step);
            steps.extend((picker.pick(3) == 0).then(|| at_once(Fault::Hup { node })));
        }
        _ => steps.push(step),
    }
}
