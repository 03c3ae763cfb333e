//! Assigns slots to names. The controller and the jobs in flight refer to job classes and tenants by slot, so a name
//! keeps its slot while it is in use, and a removed name keeps it until nothing can refer to it any more: no job in
//! flight, and no retry that may still come.

use hazelgrade::time::{Span, Time};

#[derive(Clone, Debug, PartialEq)]
struct Slot {
    name: String,
    /// When the name was removed; `None` while it is in use.
    removed_at: Option<Time>,
    /// How long after its removal a retry may still refer to it.
    quarantine: Span,
}

/// The slots of all names; a slot is never removed, but it may be reused.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Slots(Vec<Slot>);

/// The name of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotName<'a> {
    /// The name.
    pub name: &'a str,
    /// Whether it is in use; a removed name keeps its slot for some time.
    pub in_use: bool,
}

/// A name that needs a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NameRequest<'a> {
    /// The name.
    pub name: &'a str,
    /// How long its slot is quarantined once it is removed.
    pub quarantine: Span,
}

/// The slots of the names of a new version.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// All slots, those of removed names included.
    pub slots: Slots,
    /// For each name requested, the index of its slot.
    pub slot_of_name: Vec<usize>,
    /// Indexes of slots that have another name than before.
    pub reused: Vec<usize>,
}

/// More slots are needed than are allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{needed} places are needed, there are {max}; names that were taken away and may still be named take up room: \
     try again later"
)]
pub struct SlotsExhausted {
    /// Slots that are needed, those in quarantine included.
    pub needed: usize,
    /// The most slots that are allowed.
    pub max: usize,
}

impl Slots {
    /// How many slots there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// The name of a slot; `None` if there is no such slot.
    pub fn name(&self, slot: usize) -> Option<SlotName<'_>> {
        let slot = self.0.get(slot)?;
        Some(SlotName { name: &slot.name, in_use: slot.removed_at.is_none() })
    }

    /// Assigns slots to these names and marks all other names as removed. `is_busy` tells whether a job in flight
    /// refers to a slot.
    ///
    /// # Errors
    /// [`SlotsExhausted`] if more than `max` slots are needed.
    pub fn assign(
        &self,
        now: Time,
        requests: &[NameRequest],
        max: usize,
        is_busy: impl Fn(usize) -> bool,
    ) -> Result<Assignment, SlotsExhausted> {
        let mut slots = self.0.clone();
        let mut slot_of_name = vec![None; requests.len()];
        for (index, slot) in slots.iter_mut().enumerate() {
            match requests.iter().position(|request| request.name == slot.name) {
                Some(request) => {
                    slot_of_name[request] = Some(index);
                    slot.removed_at = None;
                    slot.quarantine = slot.quarantine.max(requests[request].quarantine);
                }
                None => {
                    slot.removed_at.get_or_insert(now);
                }
            }
        }
        let is_free = |slot: &Slot| slot.removed_at.is_some_and(|at| now.since(at) > slot.quarantine);
        let free: Vec<usize> =
            (0..slots.len()).filter(|index| is_free(&slots[*index]) && !is_busy(*index)).collect();
        let mut free = free.into_iter();
        let mut reused = Vec::new();
        for (request, assigned) in requests.iter().zip(&mut slot_of_name) {
            if assigned.is_some() {
                continue;
            }
            let slot =
                Slot { name: request.name.to_owned(), removed_at: None, quarantine: request.quarantine };
            let index = match free.next() {
                Some(index) => {
                    slots[index] = slot;
                    reused.push(index);
                    index
                }
                None => {
                    slots.push(slot);
                    slots.len() - 1
                }
            };
            *assigned = Some(index);
        }
        if slots.len() > max {
            return Err(SlotsExhausted { needed: slots.len(), max });
        }
        let slot_of_name = slot_of_name.into_iter().flatten().collect();
        Ok(Assignment { slots: Slots(slots), slot_of_name, reused })
    }
}
