//! Which hosts tell each other what, so that no host has to talk to all.
//!
//! A few hosts form one row, and each of them exchanges reports with every other. More hosts
//! are divided into rows within their data centres. A host then exchanges reports with its
//! own row, and with one partner in each other row, which tells what its whole row admits
//! and uses. With rows of some dozens, a host of hundreds exchanges with some dozens.
//!
//! Engines are divided among the rows in the same way: each row has engines that it tries
//! first, so that the hosts that compete for an engine hear of each other at once.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use rosemarypitch_limit::rank;

use crate::registry::Upstream;

/// Most hosts that form one row; at this size a full mesh was measured to carry the load.
const MESH_HOSTS: usize = 48;
/// Hosts in a row where there are several: about the square root of the hosts to come.
const ROW_HOSTS: usize = 20;

/// Names a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowId {
    /// Its data centre; none if it is the only row.
    pub zone: Option<Arc<str>>,
    /// Its number within the data centre.
    pub number: usize,
    /// Rows of the data centre.
    pub rows: usize,
}

/// The rows, as one host sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    own: RowId,
    /// Place of this host in its row.
    place: usize,
    rows: BTreeMap<RowId, Vec<Arc<str>>>,
    row_of: HashMap<Arc<str>, RowId>,
}

impl Layout {
    /// Divides hosts, of which `own` is one, by name and data centre.
    pub fn new(own: &str, hosts: &BTreeMap<Arc<str>, Arc<str>>) -> Self {
        let mut zones: BTreeMap<Option<Arc<str>>, Vec<Arc<str>>> = BTreeMap::new();
        for (host, zone) in hosts {
            let zone = (hosts.len() > MESH_HOSTS).then(|| zone.clone());
            zones.entry(zone).or_default().push(host.clone());
        }
        let mut rows: BTreeMap<RowId, Vec<Arc<str>>> = BTreeMap::new();
        let mut row_of = HashMap::new();
        for (zone, members) in zones {
            let count = if zone.is_some() { members.len().div_ceil(ROW_HOSTS) } else { 1 };
            for host in members {
                // By hash, so that a host that comes or goes moves no other.
                let number = rank("row", &host) as usize % count;
                let row = RowId { zone: zone.clone(), number, rows: count };
                row_of.insert(host.clone(), row.clone());
                rows.entry(row).or_default().push(host);
            }
        }
        let alone = RowId { zone: None, number: 0, rows: 1 };
        let row = row_of.get(own).cloned().unwrap_or(alone);
        let place = rows.get(&row).and_then(|hosts| hosts.iter().position(|host| **host == *own));
        Self { own: row, place: place.unwrap_or(0), rows, row_of }
    }

    /// Whether a host is in this host's row.
    pub fn is_near(&self, host: &str) -> bool {
        self.row_of.get(host) == Some(&self.own)
    }

    /// Hosts of this host's row, itself included.
    pub fn near_count(&self) -> usize {
        self.rows.get(&self.own).map_or(1, Vec::len)
    }

    /// The row of a host.
    pub fn row_of(&self, host: &str) -> Option<&RowId> {
        self.row_of.get(host)
    }

    /// The other rows.
    pub fn others(&self) -> impl Iterator<Item = &RowId> {
        self.rows.keys().filter(|row| **row != self.own)
    }

    /// Whether this host begins the exchanges with its partner in another row: it is the
    /// partner's own partner unless the other row is shorter.
    pub fn begins(&self, row: &RowId) -> bool {
        *row > self.own || self.rows.get(row).is_some_and(|hosts| self.place >= hosts.len())
    }

    /// Hosts of this host's row, itself included.
    pub fn near(&self) -> &[Arc<str>] {
        self.rows.get(&self.own).map_or(&[], Vec::as_slice)
    }

    /// The host of another row with which this one exchanges; the next one for each `turn`.
    pub fn partner(&self, row: &RowId, turn: usize) -> Option<&Arc<str>> {
        let hosts = self.rows.get(row)?;
        hosts.get((self.place + turn) % hosts.len())
    }

    /// The engines that this host's row tries first; none if they are not divided.
    pub fn homes(&self, engines: &[Arc<Upstream>]) -> Option<HashSet<Arc<str>>> {
        if self.rows.len() < 2 {
            return None;
        }
        let mut sorted: Vec<&Arc<Upstream>> = engines.iter().collect();
        sorted.sort_by(|a, b| (&a.zone, a.stage, &a.id).cmp(&(&b.zone, b.stage, &b.id)));
        let mut dealt: HashMap<&Arc<str>, usize> = HashMap::new();
        let mut homes = HashSet::new();
        for engine in sorted {
            let turn = dealt.entry(&engine.zone).or_default();
            let in_zone: Vec<&RowId> =
                self.rows.keys().filter(|row| row.zone.as_ref() == Some(&engine.zone)).collect();
            // Engines of a data centre without hosts are dealt to all rows.
            let row = match in_zone.len() {
                0 => self.rows.keys().nth(*turn % self.rows.len()),
                count => in_zone.get(*turn % count).copied(),
            };
            if row == Some(&self.own) {
                homes.insert(engine.id.clone());
            }
            *turn += 1;
        }
        Some(homes)
    }
}

/// Digest of a host's name; digests of sets are sums of these by exclusive or.
pub fn digest(host: &str) -> u64 {
    rank("view", host)
}
