//! Table of the attempts that this host runs for its callers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rosemarypitch_peer::PoolKey;
use rosemarypitch_route::AttemptId;

/// Table of this host's running attempts and their placements.
#[derive(Debug, Default)]
pub struct RunningAttempts {
    attempts: Mutex<HashMap<AttemptId, RunningAttempt>>,
}

/// Pool and decode engine of a running attempt.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// Pool to which the attempt belongs.
    pub pool: PoolKey,
    /// Name of the decode engine; `None` until the pool's owner has chosen one.
    pub decode: Option<Arc<str>>,
}

impl RunningAttempts {
    /// Adds an attempt, before its placement is requested.
    pub fn insert(&self, attempt: AttemptId, pool: PoolKey) {
        self.lock().insert(attempt, RunningAttempt { pool, decode: None });
    }

    /// Sets the decode engine of an attempt; ignored if the attempt has ended.
    pub fn set_decode(&self, attempt: &AttemptId, decode: &Arc<str>) {
        if let Some(entry) = self.lock().get_mut(attempt) {
            entry.decode = Some(decode.clone());
        }
    }

    /// Removes an attempt that has ended.
    pub fn remove(&self, attempt: &AttemptId) {
        self.lock().remove(attempt);
    }

    /// Returns whether an attempt is running.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.lock().contains_key(attempt)
    }

    /// Returns all attempts that have a decode engine, with their placements.
    pub fn placed(&self) -> Vec<(AttemptId, RunningAttempt)> {
        let attempts = self.lock();
        let placed = attempts.iter().filter(|(_, entry)| entry.decode.is_some());
        placed.map(|(attempt, entry)| (attempt.clone(), entry.clone())).collect()
    }

    /// Returns all running attempts.
    pub fn all(&self) -> Vec<AttemptId> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, RunningAttempt>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
