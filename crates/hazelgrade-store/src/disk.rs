//! A disk in memory that fails by plan. What was written but not synced is at the mercy of a crash: each such write may
//! be whole, torn, or lost, in any order, as chance has it.

use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, PoisonError};

/// What goes wrong, and when. Writes, changes of length and syncs are counted together, from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Plan {
    /// The power goes before this one is done.
    pub dies_at: Option<u64>,
    /// This one fails with an error, and nothing of it is done; the next ones work.
    pub fails_at: Option<u64>,
    /// From this one on the disk is full: nothing that needs more room is done.
    pub full_at: Option<u64>,
    /// The disk says that it synced, but has not.
    pub lies: bool,
}

#[derive(Debug)]
enum Pending {
    Write { offset: usize, data: Vec<u8> },
    Length(usize),
}

#[derive(Debug, Default)]
struct State {
    /// What a crash can't touch.
    durable: Vec<u8>,
    /// What reads see.
    seen: Vec<u8>,
    pending: Vec<Pending>,
    plan: Plan,
    count: u64,
    dead: bool,
}

/// The disk; clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<State>>);

fn apply(bytes: &mut Vec<u8>, pending: &Pending, part: usize) {
    match pending {
        Pending::Write { offset, data } => {
            let part = part.min(data.len());
            if bytes.len() < offset + part {
                bytes.resize(offset + part, 0);
            }
            bytes[*offset..offset + part].copy_from_slice(&data[..part]);
        }
        Pending::Length(length) => bytes.resize(*length, 0),
    }
}

impl Disk {
    /// A disk on which this was synced.
    pub fn holding(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(State { seen: bytes.clone(), durable: bytes, ..State::default() })))
    }

    fn with<T>(&self, what: impl FnOnce(&mut State) -> T) -> T {
        what(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Starts counting anew, under this plan.
    pub fn plan(&self, plan: Plan) {
        self.with(|state| (state.plan, state.count, state.dead) = (plan, 0, false));
    }

    /// How many writes, changes of length and syncs there were since the plan was made.
    pub fn count(&self) -> u64 {
        self.with(|state| state.count)
    }

    pub fn is_dead(&self) -> bool {
        self.with(|state| state.dead)
    }

    /// What is found after the power went: all that was synced, and of the rest what `chance` leaves. It is asked
    /// once for each write that was not synced and gives the part of it that is there, from 0 to 1.
    pub fn after_crash(&self, mut chance: impl FnMut() -> f64) -> Disk {
        self.with(|state| {
            let mut bytes = state.durable.clone();
            for pending in &state.pending {
                let part = chance();
                match pending {
                    Pending::Write { data, .. } => {
                        apply(&mut bytes, pending, (data.len() as f64 * part).round() as usize);
                    }
                    Pending::Length(_) if part >= 0.5 => apply(&mut bytes, pending, 0),
                    Pending::Length(_) => {}
                }
            }
            Disk::holding(bytes)
        })
    }

    /// A change of the disk, unless the plan has it fail.
    fn change(&self, needs_room: bool, what: impl FnOnce(&mut State)) -> Result<(), Error> {
        self.with(|state| {
            let (at, plan) = (state.count, state.plan);
            state.count += 1;
            if state.dead || plan.dies_at.is_some_and(|dies| at >= dies) {
                state.dead = true;
                return Err(Error::other("the power is gone"));
            }
            if plan.fails_at == Some(at) {
                return Err(Error::other("the disk failed"));
            }
            if needs_room && plan.full_at.is_some_and(|full| at >= full) {
                return Err(ErrorKind::StorageFull.into());
            }
            what(state);
            Ok(())
        })
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.with(|state| state.seen.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let (offset, length) = (offset as usize, out.len());
        self.with(|state| {
            if state.dead {
                return Err(Error::other("the power is gone"));
            }
            let bytes = state.seen.get(offset..offset + length);
            out.copy_from_slice(bytes.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?);
            Ok(())
        })
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        let length = length as usize;
        let grows = self.with(|state| length > state.seen.len());
        self.change(grows, |state| {
            let pending = Pending::Length(length);
            apply(&mut state.seen, &pending, 0);
            state.pending.push(pending);
        })
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.change(false, |state| {
            if !state.plan.lies {
                state.durable.clone_from(&state.seen);
                state.pending.clear();
            }
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let offset = offset as usize;
        let grows = self.with(|state| offset + data.len() > state.seen.len());
        // A write that kills has gone through in part: it is among those that chance decides about.
        let dies = self.with(|state| state.plan.dies_at == Some(state.count) && !state.dead);
        if dies {
            self.with(|state| state.pending.push(Pending::Write { offset, data: data.to_vec() }));
        }
        self.change(grows, |state| {
            let pending = Pending::Write { offset, data: data.to_vec() };
            apply(&mut state.seen, &pending, data.len());
            state.pending.push(pending);
        })
    }
}
