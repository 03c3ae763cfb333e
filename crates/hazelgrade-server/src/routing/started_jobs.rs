//! The ids of the jobs that were started, also after they have ended. An id is new with every try, so a request under an
//! id that was started before is a copy of a request whose caller has left, and must not run.

use hazelgrade::api::JobId;
use hazelgrade::time::{Span, Time};
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

/// How long the id of a started job is known, in milliseconds: longer than any deadline, after which no caller waits.
const RETENTION_MS: f64 = 60_000.0;
/// Number of ids that are known at most; beyond it the oldest ones are forgotten. They take 1.5 MB.
const MAX_IDS: usize = 32_768;

/// The ids of jobs that were started within the retention time.
#[derive(Default)]
pub struct StartedJobs {
    /// Keyed hashes of the ids, as ids may be long. Clients can't construct collisions.
    digests: HashSet<u64>,
    /// The same, in the order of their start.
    by_start: VecDeque<(Time, u64)>,
    hasher: RandomState,
}

impl StartedJobs {
    /// Records the start of a job.
    pub fn record(&mut self, now: Time, id: &JobId) {
        self.remove_oldest(now);
        let digest = self.hasher.hash_one(id);
        if self.digests.insert(digest) {
            self.by_start.push_back((now, digest));
        }
    }

    /// Returns whether a job with this id was started.
    pub fn contains(&self, id: &JobId) -> bool {
        self.digests.contains(&self.hasher.hash_one(id))
    }

    /// Returns the number of ids that are known.
    pub fn count(&self) -> usize {
        self.digests.len()
    }

    /// Forgets the ids whose retention time has passed, and makes room for another one.
    fn remove_oldest(&mut self, now: Time) {
        let expired = |started_at: Time| now.since(started_at) > Span::from_ms(RETENTION_MS);
        while let Some((started_at, digest)) = self.by_start.front().copied() {
            if !expired(started_at) && self.by_start.len() < MAX_IDS {
                break;
            }
            self.by_start.pop_front();
            self.digests.remove(&digest);
        }
    }
}
