//! Ownership of the limit shares of a data centre.
//!
//! One value in the platform's store per data centre maps shares to host runs. Only hosts
//! of that data centre claim shares, by compare-and-swap. An owner renews its shares by
//! incrementing a counter, the beat, in the value. If it cannot, its shares expire one tenure
//! after the start of its last successful write. A host may claim a share that is free, that
//! an earlier run of the same host owns, or whose beat it has observed unchanged for longer
//! than a tenure.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::host_id::HostId;

/// Owner of a share, as stored on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShareOwner {
    /// The host run.
    pub id: HostId,
    /// Heartbeat counter, incremented by each renewal.
    pub beat: u64,
}

/// Owners of a data centre's shares, as stored on the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRecord {
    /// Owner of each share; none for a free share.
    pub owners: Vec<Option<ShareOwner>>,
}

/// Action that follows from reading the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipStep {
    /// Write this record, by compare-and-swap with the one that was read.
    Write(ShareRecord),
    /// Nothing to write.
    Wait,
}

/// Claims and renews shares of a data centre for one host run.
#[derive(Debug)]
pub struct ShareOwnership {
    id: HostId,
    tenure: Duration,
    first_seen: HashMap<(usize, ShareOwner), Instant>,
    owned: u32,
    until: Option<Instant>,
    last_renewal: Option<Instant>,
    inherited: bool,
    leaving: bool,
}

impl ShareOwnership {
    /// Creates the state of a host run without shares; `tenure` is how long a write keeps shares.
    pub fn new(id: HostId, tenure: Duration) -> Self {
        Self {
            id,
            tenure,
            first_seen: HashMap::new(),
            owned: 0,
            until: None,
            last_renewal: None,
            inherited: false,
            leaving: false,
        }
    }

    /// Interval between renewals: an eighth of the tenure.
    pub fn renewal_interval(&self) -> Duration {
        self.tenure / 8
    }

    /// Releases all shares from the next step on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the update of a record that was read at `now`.
    ///
    /// `shares` is the number of shares of the data centre, and `hosts` the number of hosts
    /// among which they are divided evenly.
    pub fn step(
        &mut self,
        now: Instant,
        record: &ShareRecord,
        shares: u32,
        hosts: u32,
    ) -> OwnershipStep {
        self.record_owners(now, record);
        let is_due =
            self.last_renewal.is_none_or(|renewed| now - renewed >= self.renewal_interval());
        let quota = shares.div_ceil(hosts.max(1)) as usize;
        let mut new = ShareRecord { owners: record.owners.clone() };
        new.owners.resize(shares as usize, None);
        let mut owned_count = new.owners.iter().filter(|owner| self.is_own(owner.as_ref())).count();
        for (share, owner) in new.owners.iter_mut().enumerate() {
            let own = self.is_own(owner.as_ref());
            if self.leaving {
                if own {
                    *owner = None;
                }
            } else if own {
                if let Some(owner) = owner
                    && is_due
                {
                    owner.beat += 1;
                }
            } else if owned_count < quota && self.may_claim(now, share, owner.as_ref()) {
                self.inherited |= owner.is_some();
                *owner = Some(ShareOwner { id: self.id.clone(), beat: 1 });
                owned_count += 1;
            }
        }
        if new == *record { OwnershipStep::Wait } else { OwnershipStep::Write(new) }
    }

    /// Records that a write of `record`, begun at `started`, took effect.
    pub fn confirm_write(&mut self, started: Instant, record: &ShareRecord) {
        let owners = record.owners.iter();
        self.owned = owners.filter(|owner| self.is_own(owner.as_ref())).count() as u32;
        self.until = Some(started + self.tenure);
        self.last_renewal = Some(started);
    }

    /// Returns the number of owned shares and when they expire; none before the first write.
    pub fn owned(&self) -> Option<(u32, Instant)> {
        self.until.map(|until| (self.owned, until))
    }

    /// Whether any share was taken over from an earlier owner, whose loans may still run.
    pub fn is_inherited(&self) -> bool {
        self.inherited
    }

    /// Records when each current owner and beat of a share was first seen.
    fn record_owners(&mut self, now: Instant, record: &ShareRecord) {
        let mut seen = HashMap::new();
        for (share, owner) in record.owners.iter().enumerate() {
            if let Some(owner) = owner {
                let key = (share, owner.clone());
                let first = self.first_seen.get(&key).copied().unwrap_or(now);
                seen.insert(key, first);
            }
        }
        self.first_seen = seen;
    }

    fn is_own(&self, owner: Option<&ShareOwner>) -> bool {
        owner.is_some_and(|owner| owner.id == self.id)
    }

    fn may_claim(&self, now: Instant, share: usize, owner: Option<&ShareOwner>) -> bool {
        let Some(owner) = owner else { return true };
        if owner.id.host == self.id.host {
            return owner.id.incarnation < self.id.incarnation;
        }
        let first = self.first_seen.get(&(share, owner.clone()));
        // The extra quarter of a tenure covers clock drift and the owner's last write.
        first.is_some_and(|first| now - *first > self.tenure * 5 / 4)
    }
}
