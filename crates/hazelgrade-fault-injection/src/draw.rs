//! Draws fault plans by seed: the same seed always gives the same plan.

use crate::plan::{Directions, Disk, Fault, FaultPlan, Link, SharedBudgetPlan, Step, Trigger};
use hazelgrade::random::MultiplyWithCarry;

const LINKS: [Link; 5] = [Link::Callers, Link::Executor, Link::Database, Link::Registry, Link::Control];
const DIRECTIONS: [Directions; 3] = [Directions::Both, Directions::To, Directions::Back];
/// Jobs a second to each node of a drawn plan.
const RATE: f64 = 40.0;
/// Makes the faults of a shared budget independent of the others.
const SHARED_SEED: u64 = 0x5eed;

/// Draws numbers evenly.
pub(crate) struct Picker(MultiplyWithCarry);

impl Picker {
    pub(crate) fn new(seed: u64) -> Picker {
        Picker(MultiplyWithCarry::new(seed))
    }

    /// A number below `count`.
    pub(crate) fn pick(&mut self, count: usize) -> usize {
        ((self.0.next_f64() * count as f64) as usize).min(count.saturating_sub(1))
    }
}

/// Faults that were drawn so far and have not ended.
#[derive(Default)]
struct Ongoing {
    /// What ends each of them.
    ends: Vec<Fault>,
    /// Nodes that drain, are killed or suspended: left alone until they are started or woken.
    nodes_out: Vec<usize>,
    /// The control service is killed or suspended.
    control_out: bool,
}

impl Ongoing {
    /// Takes one of the faults, and returns what ends it.
    fn end_one(&mut self, picker: &mut Picker) -> Fault {
        let end = self.ends.remove(picker.pick(self.ends.len()));
        self.nodes_out.retain(|node| {
            !(matches!(end, Fault::Wake { .. } | Fault::Start { .. }) && end.node() == Some(*node))
        });
        self.control_out &= !matches!(end, Fault::WakeControl | Fault::StartControl { .. });
        end
    }

    fn add(&mut self, fault: Fault, end: Option<Fault>) {
        match fault {
            Fault::Stop { node } | Fault::Kill { node } | Fault::Term { node } => self.nodes_out.push(node),
            Fault::KillControl | Fault::StopControl => self.control_out = true,
            _ => {}
        }
        self.ends.extend(end);
    }

    /// A fault that is possible now, and what ends it, if it lasts.
    fn draw_fault(&self, picker: &mut Picker, nodes: usize) -> (Fault, Option<Fault>) {
        let node = picker.pick(nodes);
        let link = LINKS[picker.pick(5)];
        let directions = DIRECTIONS[picker.pick(3)];
        let disk = [Disk::Own, Disk::Own, Disk::Old, Disk::Empty][picker.pick(4)];
        let heal = Some(Fault::Heal { node, link });
        let is_out = self.nodes_out.contains(&node);
        match picker.pick(16) {
            0 | 1 => (Fault::Cut { node, link, directions }, heal),
            2 => (Fault::Delay { node, link, ms: 1 + picker.pick(80) as u32 }, heal),
            3 => (Fault::Rate { node, link, bytes_per_s: 20_000 + 1000 * picker.pick(100) as u32 }, heal),
            4 => (Fault::Reset { node, link }, None),
            5 => (Fault::ResetAfter { node, link, bytes: 1 + picker.pick(4000) as u32 }, heal),
            6 => (Fault::Refuse { node, link }, heal),
            7 => {
                let lost = picker.pick(60) as u32;
                let duplicated = picker.pick(30) as u32;
                let reordered = picker.pick(30) as u32;
                let heal = Some(Fault::Heal { node, link: Link::Registry });
                (Fault::DegradeDatagrams { node, lost, duplicated, reordered }, heal)
            }
            8 if !is_out => (Fault::Stop { node }, Some(Fault::Wake { node })),
            9 if !is_out => (Fault::Kill { node }, Some(Fault::Start { node, disk })),
            10 if !is_out => (Fault::Term { node }, Some(Fault::Start { node, disk: Disk::Own })),
            11 => (Fault::Hup { node }, None),
            12 if !self.control_out => (Fault::KillControl, Some(Fault::StartControl { disk })),
            13 if !self.control_out => (Fault::StopControl, Some(Fault::WakeControl)),
            14 => (Fault::Stall { ms: 200 + picker.pick(600) as u32 }, None),
            _ => (Fault::Publish { harmful: picker.pick(4) == 0 }, None),
        }
    }

    fn draw_trigger(&self, picker: &mut Picker, nodes: usize) -> Trigger {
        match picker.pick(6) {
            0 => Trigger::Now,
            1 if !self.control_out => Trigger::Acknowledged(1 + picker.pick(nodes)),
            _ => Trigger::Answers(5 + picker.pick(80) as u64),
        }
    }
}

/// Faults of a shared budget that were drawn so far and have not ended.
#[derive(Default)]
struct OngoingBudgetFaults {
    lessors_cut: bool,
    /// How the second control service was taken out.
    second_control_out: Option<Fault>,
    total_lowered: bool,
}

impl OngoingBudgetFaults {
    fn draw(&self, picker: &mut Picker, sites: usize, total: u32) -> Option<Fault> {
        match picker.pick(8) {
            0 if sites > 1 && !self.lessors_cut => {
                Some(Fault::CutKeepers { directions: DIRECTIONS[picker.pick(3)] })
            }
            1 if self.lessors_cut => Some(Fault::HealKeepers),
            2 if sites > 1 && self.second_control_out.is_none() => {
                Some([Fault::KillOther, Fault::StopOther][picker.pick(2)])
            }
            3 | 4 if self.second_control_out.is_some() => match self.second_control_out {
                Some(Fault::StopOther) => Some(Fault::WakeOther),
                _ => {
                    let disk = [Disk::Own, Disk::Own, Disk::Own, Disk::Old][picker.pick(4)];
                    Some(Fault::StartOther { disk })
                }
            },
            5 if !self.total_lowered => Some(Fault::SetBudgetTotal { units: total / 2 }),
            6 if self.total_lowered => Some(Fault::SetBudgetTotal { units: total }),
            _ => None,
        }
    }

    fn add(&mut self, fault: Fault, total: u32) {
        match fault {
            Fault::CutKeepers { .. } => self.lessors_cut = true,
            Fault::HealKeepers => self.lessors_cut = false,
            Fault::KillOther | Fault::StopOther => self.second_control_out = Some(fault),
            Fault::WakeOther | Fault::StartOther { .. } => self.second_control_out = None,
            Fault::SetBudgetTotal { units } => self.total_lowered = units < total,
            _ => {}
        }
    }
}

impl FaultPlan {
    /// A plan of about so many faults, drawn by `seed`; what ends each of them follows somewhere after it.
    pub fn draw(seed: u64, nodes: usize, faults: usize) -> FaultPlan {
        let mut picker = Picker::new(seed);
        let mut ongoing = Ongoing::default();
        let mut steps: Vec<Step> = Vec::new();
        for _ in 0..faults {
            if !ongoing.ends.is_empty() && picker.pick(3) == 0 {
                let fault = ongoing.end_one(&mut picker);
                let trigger = Trigger::Answers(10 + picker.pick(60) as u64);
                steps.push(Step { trigger, fault });
            }
            let (fault, end) = ongoing.draw_fault(&mut picker, nodes);
            ongoing.add(fault, end);
            let trigger = ongoing.draw_trigger(&mut picker, nodes);
            steps.push(Step { trigger, fault });
        }
        FaultPlan { seed, nodes, rate: RATE, shared: None, soak: None, steps }
    }

    /// A plan of faults between nodes that share a budget of `total` units. Bytes on the way to the dependency are not
    /// held: what a network holds back past the longest use and delivers all the same is counted by nobody.
    pub fn draw_shared(seed: u64, nodes: usize, faults: usize, sites: usize, total: u32) -> FaultPlan {
        let mut plan = FaultPlan::draw(seed, nodes, faults);
        let mut picker = Picker::new(seed ^ SHARED_SEED);
        let mut ongoing = OngoingBudgetFaults::default();
        let mut steps = Vec::new();
        for step in plan.steps {
            let fault = match step.fault {
                Fault::Cut { link: Link::Database, node, .. }
                | Fault::Rate { link: Link::Database, node, .. } => {
                    Fault::Refuse { node, link: Link::Database }
                }
                other => other,
            };
            steps.push(Step { fault, ..step });
            let trigger = Trigger::Answers(5 + picker.pick(60) as u64);
            if let Some(fault) = ongoing.draw(&mut picker, sites, total) {
                ongoing.add(fault, total);
                steps.push(Step { trigger, fault });
            }
        }
        plan.steps = steps;
        plan.shared = Some(SharedBudgetPlan { sites, total });
        plan
    }
}
