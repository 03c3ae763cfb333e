//! A disk in memory with planned faults, for tests. At a crash, each write that was not synced may be complete, torn or
//! lost, independently of the others.

use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, PoisonError};

/// The faults of a disk. Writes, changes of length and syncs are counted together, from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultPlan {
    /// Power fails before this operation is done; all further ones fail.
    pub crash_at: Option<u64>,
    /// This operation fails with an error and does nothing; the next ones work.
    pub fail_at: Option<u64>,
    /// From this operation on the disk is full: operations that need more room fail.
    pub full_at: Option<u64>,
    /// Syncs report success and do nothing.
    pub ignore_syncs: bool,
}

#[derive(Debug)]
enum PendingChange {
    Write { offset: usize, data: Vec<u8> },
    SetLength(usize),
}

#[derive(Debug, Default)]
struct State {
    /// The synced bytes, which survive a crash.
    durable: Vec<u8>,
    /// The bytes that reads return.
    visible: Vec<u8>,
    /// Changes since the last sync, in order.
    pending: Vec<PendingChange>,
    plan: FaultPlan,
    /// Operations since the plan was set.
    operations: u64,
    crashed: bool,
}

/// A disk in memory; clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Arc<Mutex<State>>);

impl SimulatedDisk {
    /// A disk with these bytes, all synced.
    pub fn with_contents(bytes: Vec<u8>) -> SimulatedDisk {
        let state = State { visible: bytes.clone(), durable: bytes, ..State::default() };
        SimulatedDisk(Arc::new(Mutex::new(state)))
    }

    fn with_state<T>(&self, use_state: impl FnOnce(&mut State) -> T) -> T {
        use_state(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets the plan, counts operations from 0 again and powers the disk on.
    pub fn set_plan(&self, plan: FaultPlan) {
        self.with_state(|state| {
            state.plan = plan;
            state.operations = 0;
            state.crashed = false;
        });
    }

    /// Writes, changes of length and syncs since the plan was set.
    pub fn operations(&self) -> u64 {
        self.with_state(|state| state.operations)
    }

    /// Whether power failed.
    pub fn has_crashed(&self) -> bool {
        self.with_state(|state| state.crashed)
    }

    /// The disk as it is after a crash: all synced bytes, and of each unsynced change the part that survived.
    /// `surviving_ratio` is called once for each of these changes, in order, and returns that part, from 0 to 1.
    pub fn after_crash(&self, mut surviving_ratio: impl FnMut() -> f64) -> SimulatedDisk {
        self.with_state(|state| {
            let mut bytes = state.durable.clone();
            for change in &state.pending {
                let ratio = surviving_ratio();
                match change {
                    PendingChange::Write { data, .. } => {
                        apply(&mut bytes, change, (data.len() as f64 * ratio).round() as usize);
                    }
                    PendingChange::SetLength(_) if ratio >= 0.5 => apply(&mut bytes, change, 0),
                    PendingChange::SetLength(_) => {}
                }
            }
            SimulatedDisk::with_contents(bytes)
        })
    }

    /// Makes a change, unless it fails by the plan.
    fn change(&self, needs_room: bool, make: impl FnOnce(&mut State)) -> Result<(), Error> {
        self.with_state(|state| {
            let operation = state.operations;
            let plan = state.plan;
            state.operations += 1;
            if state.crashed || plan.crash_at.is_some_and(|crash_at| operation >= crash_at) {
                state.crashed = true;
                return Err(Error::other("the power is gone"));
            }
            if plan.fail_at == Some(operation) {
                return Err(Error::other("the disk failed"));
            }
            if needs_room && plan.full_at.is_some_and(|full_at| operation >= full_at) {
                return Err(ErrorKind::StorageFull.into());
            }
            make(state);
            Ok(())
        })
    }
}

/// Applies a change to bytes; of a write, the first `written` bytes.
fn apply(bytes: &mut Vec<u8>, change: &PendingChange, written: usize) {
    match change {
        PendingChange::Write { offset, data } => {
            let written = written.min(data.len());
            if bytes.len() < offset + written {
                bytes.resize(offset + written, 0);
            }
            bytes[*offset..offset + written].copy_from_slice(&data[..written]);
        }
        PendingChange::SetLength(length) => bytes.resize(*length, 0),
    }
}

impl StorageBackend for SimulatedDisk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.with_state(|state| state.visible.len() as u64))
    }

    fn read(&self, offset: u64, buffer: &mut [u8]) -> Result<(), Error> {
        let offset = offset as usize;
        let length = buffer.len();
        self.with_state(|state| {
            if state.crashed {
                return Err(Error::other("the power is gone"));
            }
            let bytes = state.visible.get(offset..offset + length);
            buffer.copy_from_slice(bytes.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?);
            Ok(())
        })
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        let length = length as usize;
        let grows = self.with_state(|state| length > state.visible.len());
        self.change(grows, |state| {
            let change = PendingChange::SetLength(length);
            apply(&mut state.visible, &change, 0);
            state.pending.push(change);
        })
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.change(false, |state| {
            if !state.plan.ignore_syncs {
                state.durable.clone_from(&state.visible);
                state.pending.clear();
            }
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let offset = offset as usize;
        let grows = self.with_state(|state| offset + data.len() > state.visible.len());
        // The write at which power fails may survive in part, like unsynced writes before it.
        let crashes =
            self.with_state(|state| state.plan.crash_at == Some(state.operations) && !state.crashed);
        if crashes {
            self.with_state(|state| state.pending.push(PendingChange::Write { offset, data: data.to_vec() }));
        }
        self.change(grows, |state| {
            let change = PendingChange::Write { offset, data: data.to_vec() };
            apply(&mut state.visible, &change, data.len());
            state.pending.push(change);
        })
    }
}
