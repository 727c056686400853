//! The attempts that this host runs.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rosemarypitch_peer::PoolKey;
use rosemarypitch_route::AttemptId;

/// The attempts that this host runs, with their places.
#[derive(Debug, Default)]
pub struct RunningAttempts {
    attempts: Mutex<HashMap<AttemptId, Place>>,
}

/// Where an attempt runs.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its pool.
    pub pool: PoolKey,
    /// Its decode engine, once it has one.
    pub decode: Option<Arc<str>>,
}

impl RunningAttempts {
    /// Notes an attempt before it asks for a place.
    pub fn insert(&self, attempt: AttemptId, pool: PoolKey) {
        self.lock().insert(attempt, Place { pool, decode: None });
    }

    /// Notes the decode engine of an attempt.
    pub fn set_decode(&self, attempt: &AttemptId, decode: &Arc<str>) {
        if let Some(place) = self.lock().get_mut(attempt) {
            place.decode = Some(decode.clone());
        }
    }

    /// Forgets an attempt.
    pub fn remove(&self, attempt: &AttemptId) {
        self.lock().remove(attempt);
    }

    /// Whether an attempt runs.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.lock().contains_key(attempt)
    }

    /// All attempts that have a place.
    pub fn placed(&self) -> Vec<(AttemptId, Place)> {
        let attempts = self.lock();
        let placed = attempts.iter().filter(|(_, place)| place.decode.is_some());
        placed.map(|(attempt, place)| (attempt.clone(), place.clone())).collect()
    }

    /// All attempts.
    pub fn all(&self) -> Vec<AttemptId> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, Place>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
