//! Which host owns which shares of its data centre.
//!
//! One platform value per data centre maps shares to host runs. Only hosts of that data
//! centre claim them, by compare-and-swap. An owner writes a beat into the value now and
//! then; an owner that cannot keeps its shares for one tenure after the start of its last
//! write. A claimant takes a share that is free, that an earlier run under its own host
//! name owns, or whose beat it has itself seen unchanged for longer than a tenure.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::host_id::HostId;

/// The owner of a share, as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShareOwner {
    /// The host run.
    pub id: HostId,
    /// Grows with each renewal.
    pub beat: u64,
}

/// Owners of a data centre's shares, by share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRecord {
    /// Owner of each share; absent for a free one.
    pub owners: Vec<Option<ShareOwner>>,
}

/// What a host does next about its shares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipStep {
    /// Store this record if the value has not changed.
    Write(ShareRecord),
    /// Nothing for now.
    Wait,
}

/// A host's view of its data centre's shares.
#[derive(Debug)]
pub struct ShareOwnership {
    id: HostId,
    length: Duration,
    seen: HashMap<(usize, ShareOwner), Instant>,
    owned: u32,
    until: Option<Instant>,
    renewed: Option<Instant>,
    inherited: bool,
    leaving: bool,
}

impl ShareOwnership {
    /// A host that owns nothing yet.
    pub fn new(id: HostId, length: Duration) -> Self {
        Self {
            id,
            length,
            seen: HashMap::new(),
            owned: 0,
            until: None,
            renewed: None,
            inherited: false,
            leaving: false,
        }
    }

    /// Time between renewals.
    pub fn renewal_interval(&self) -> Duration {
        self.length / 8
    }

    /// Gives up all shares from the next step on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Decides on the record as read at `now`, with `shares` of the data centre and
    /// `hosts` that want a part of them.
    pub fn step(
        &mut self,
        now: Instant,
        record: &ShareRecord,
        shares: u32,
        hosts: u32,
    ) -> OwnershipStep {
        self.note(now, record);
        let is_due = self.renewed.is_none_or(|renewed| now - renewed >= self.renewal_interval());
        let part = shares.div_ceil(hosts.max(1)) as usize;
        let mut new = ShareRecord { owners: record.owners.clone() };
        new.owners.resize(shares as usize, None);
        let mut mine = new.owners.iter().filter(|owner| self.is_own(owner.as_ref())).count();
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
            } else if mine < part && self.may_claim(now, share, owner.as_ref()) {
                self.inherited |= owner.is_some();
                *owner = Some(ShareOwner { id: self.id.clone(), beat: 1 });
                mine += 1;
            }
        }
        if new == *record { OwnershipStep::Wait } else { OwnershipStep::Write(new) }
    }

    /// A write of `record`, begun at `begun`, surely took effect.
    pub fn confirm_write(&mut self, begun: Instant, record: &ShareRecord) {
        let owners = record.owners.iter();
        self.owned = owners.filter(|owner| self.is_own(owner.as_ref())).count() as u32;
        self.until = Some(begun + self.length);
        self.renewed = Some(begun);
    }

    /// Shares owned, and until when, unless renewed.
    pub fn owned(&self) -> Option<(u32, Instant)> {
        self.until.map(|until| (self.owned, until))
    }

    /// Whether a share was taken over from an earlier owner, whose loans may last a while.
    pub fn is_inherited(&self) -> bool {
        self.inherited
    }

    fn note(&mut self, now: Instant, record: &ShareRecord) {
        let mut seen = HashMap::new();
        for (share, owner) in record.owners.iter().enumerate() {
            if let Some(owner) = owner {
                let key = (share, owner.clone());
                let first = self.seen.get(&key).copied().unwrap_or(now);
                seen.insert(key, first);
            }
        }
        self.seen = seen;
    }

    fn is_own(&self, owner: Option<&ShareOwner>) -> bool {
        owner.is_some_and(|owner| owner.id == self.id)
    }

    fn may_claim(&self, now: Instant, share: usize, owner: Option<&ShareOwner>) -> bool {
        let Some(owner) = owner else { return true };
        if owner.id.host == self.id.host {
            return owner.id.incarnation < self.id.incarnation;
        }
        let first = self.seen.get(&(share, owner.clone()));
        // A quarter more than a tenure covers the clocks' drift and the owner's last write.
        first.is_some_and(|first| now - *first > self.length * 5 / 4)
    }
}
