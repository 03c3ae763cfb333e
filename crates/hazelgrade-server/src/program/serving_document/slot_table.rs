//! Names with their slots in the controller, and the settings that each had last.

use hazelgrade::time::{Span, Time};
use hazelgrade_settings::slots::{NameRequest, Slots, SlotsExhausted};

/// A removed name keeps its slot for a while; there are this many slots for each name that a document may have.
const SLOTS_PER_NAME: usize = 4;

/// Names, their slots, and the settings by slot.
pub struct SlotTable<T> {
    pub slots: Slots,
    /// By slot; those of a removed name are as they were.
    pub settings: Vec<T>,
}

/// A table after a change of names or settings.
pub struct RevisedTable<T> {
    pub table: SlotTable<T>,
    /// Slots that have another name than before.
    pub reused: Vec<usize>,
}

impl<T> Default for SlotTable<T> {
    fn default() -> SlotTable<T> {
        SlotTable { slots: Slots::default(), settings: Vec::new() }
    }
}

impl<T: Clone> SlotTable<T> {
    /// The table for other names with their settings. `quarantine` is how long a name's slot is not reused after its
    /// removal, `is_busy` whether a job in flight refers to a slot.
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
        // New slots are at the end, in the order of their names.
        for (slot, (_, of_name)) in assignment.slot_of_name.iter().zip(named) {
            match settings.get_mut(*slot) {
                Some(settings) => *settings = of_name.clone(),
                None => settings.push(of_name.clone()),
            }
        }
        let table = SlotTable { slots: assignment.slots, settings };
        Ok(RevisedTable { table, reused: assignment.reused })
    }

    /// Whether the name of a slot is in use.
    pub fn is_in_use(&self, slot: usize) -> bool {
        self.slots.name(slot).is_some_and(|name| name.in_use)
    }

    /// The name of a slot, in use or removed; empty if there is no such slot.
    pub fn name(&self, slot: usize) -> String {
        self.slots.name(slot).map(|slot| slot.name.to_owned()).unwrap_or_default()
    }
}
