//! Assigns the names of job classes or tenants to slots of the controller, and holds the last settings of each slot.

use hazelgrade::time::{Span, Time};
use hazelgrade_settings::slots::{NameRequest, Slots, SlotsExhausted};

/// The number of slots for each name that a document may have. A removed name occupies its slot for a while, so the
/// table needs more slots than names.
const SLOTS_PER_NAME: usize = 4;

/// The slots of all names, and the settings by slot.
pub struct SlotTable<T> {
    /// The slots, with their names.
    pub slots: Slots,
    /// The settings by slot. The slot of a removed name has the last settings of that name.
    pub settings: Vec<T>,
}

/// A table after a change of names or settings.
pub struct RevisedTable<T> {
    /// The revised table.
    pub table: SlotTable<T>,
    /// The slots that were assigned to another name than before.
    pub reused: Vec<usize>,
}

impl<T> Default for SlotTable<T> {
    fn default() -> SlotTable<T> {
        SlotTable { slots: Slots::default(), settings: Vec::new() }
    }
}

impl<T: Clone> SlotTable<T> {
    /// Returns the table for new names and settings. `quarantine` returns how long a name's slot is not reused after
    /// the name is removed, and `is_busy` returns whether a job in flight refers to a slot.
    pub fn revised(
        &self,
        now: Time,
        named: &[(String, T)],
        quarantine: impl Fn(&T) -> Span,
        max_names: usize,
        is_busy: impl Fn(usize) -> bool,
    ) -> Result<RevisedTable<T>, SlotsExhausted> {
        let requests: Vec<NameRequest> = named
            .iter()
            .map(|(name, settings)| NameRequest { name, quarantine: quarantine(settings) })
            .collect();
        let assignment = self.slots.assign(now, &requests, max_names * SLOTS_PER_NAME, is_busy)?;
        let mut settings = self.settings.clone();
        // New slots are at the end, in the order of the names that they were assigned to.
        for (slot, (_, new_settings)) in assignment.slot_of_name.iter().zip(named) {
            match settings.get_mut(*slot) {
                Some(settings) => *settings = new_settings.clone(),
                None => settings.push(new_settings.clone()),
            }
        }
        let table = SlotTable { slots: assignment.slots, settings };
        Ok(RevisedTable { table, reused: assignment.reused })
    }

    /// Returns whether the name of a slot is in use.
    pub fn is_in_use(&self, slot: usize) -> bool {
        self.slots.name(slot).is_some_and(|name| name.in_use)
    }

    /// Returns the name of a slot, whether in use or removed, or an empty string if there is no such slot.
    pub fn name(&self, slot: usize) -> String {
        self.slots.name(slot).map(|slot| slot.name.to_owned()).unwrap_or_default()
    }
}
