//! Division of the hosts into rows, which limits the number of peers per host.
//!
//! A row is a group of hosts that form a full mesh: each of them exchanges reports with every
//! other. A small fleet is a single row; a larger one is divided into several rows in each
//! data centre. A host then exchanges reports with the hosts of its own row, and with one
//! partner in each other row, which reports the tokens admitted and the engines used by its
//! whole row. In a fleet of hundreds of hosts with a few dozen per row, each host has a few
//! dozen peers.
//!
//! Engines are divided among the rows, too. Each row prefers the engines that are assigned
//! to it, so that the hosts that compete for an engine exchange reports directly.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use rosemarypitch_limit::rank;

use crate::registry::Upstream;

/// Maximum number of hosts that form a single row; a full mesh of this size still carries the
/// load.
const MAX_MESH_HOSTS: usize = 48;
/// Mean size of a row if there are several; about the square root of the largest fleet
/// expected.
const TARGET_ROW_SIZE: usize = 20;

/// Identifies a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowId {
    /// Its data centre; none if there is only one row.
    pub zone: Option<Arc<str>>,
    /// Its number within the data centre.
    pub number: usize,
    /// Number of rows in the data centre.
    pub rows: usize,
}

/// The rows, and one host's position in them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    own: RowId,
    /// Index of this host in its row.
    position: usize,
    rows: BTreeMap<RowId, Vec<Arc<str>>>,
    row_of: HashMap<Arc<str>, RowId>,
}

impl Layout {
    /// Divides `hosts`, a map of names to data centres that includes the host `own`, into rows.
    pub fn new(own: &str, hosts: &BTreeMap<Arc<str>, Arc<str>>) -> Self {
        let mut zones: BTreeMap<Option<Arc<str>>, Vec<Arc<str>>> = BTreeMap::new();
        for (host, zone) in hosts {
            let zone = (hosts.len() > MAX_MESH_HOSTS).then(|| zone.clone());
            zones.entry(zone).or_default().push(host.clone());
        }
        let mut rows: BTreeMap<RowId, Vec<Arc<str>>> = BTreeMap::new();
        let mut row_of = HashMap::new();
        for (zone, members) in zones {
            let count = if zone.is_some() { members.len().div_ceil(TARGET_ROW_SIZE) } else { 1 };
            for host in members {
                // Hashing keeps the other hosts in place when a host joins or leaves.
                let number = rank("row", &host) as usize % count;
                let row = RowId { zone: zone.clone(), number, rows: count };
                row_of.insert(host.clone(), row.clone());
                rows.entry(row).or_default().push(host);
            }
        }
        let alone = RowId { zone: None, number: 0, rows: 1 };
        let row = row_of.get(own).cloned().unwrap_or(alone);
        let position =
            rows.get(&row).and_then(|hosts| hosts.iter().position(|host| **host == *own));
        Self { own: row, position: position.unwrap_or(0), rows, row_of }
    }

    /// Whether a host is in this host's row.
    pub fn in_own_row(&self, host: &str) -> bool {
        self.row_of.get(host) == Some(&self.own)
    }

    /// Number of hosts in this host's row, itself included.
    pub fn row_size(&self) -> usize {
        self.rows.get(&self.own).map_or(1, Vec::len)
    }

    /// The row of a host.
    pub fn row_of(&self, host: &str) -> Option<&RowId> {
        self.row_of.get(host)
    }

    /// The other rows.
    pub fn other_rows(&self) -> impl Iterator<Item = &RowId> {
        self.rows.keys().filter(|row| **row != self.own)
    }

    /// Whether this host initiates the exchanges with its partner in another row.
    ///
    /// Of two hosts that are each other's partners, the one in the lower row initiates. A host
    /// with a position beyond the length of the other row always does, since no host there has
    /// it as its partner.
    pub fn initiates(&self, row: &RowId) -> bool {
        *row > self.own || self.rows.get(row).is_some_and(|hosts| self.position >= hosts.len())
    }

    /// Hosts of this host's row, itself included.
    pub fn row_hosts(&self) -> &[Arc<str>] {
        self.rows.get(&self.own).map_or(&[], Vec::as_slice)
    }

    /// This host's partner in another row after a number of failovers, each of which selects
    /// the next host of that row.
    pub fn partner(&self, row: &RowId, failovers: usize) -> Option<&Arc<str>> {
        let hosts = self.rows.get(row)?;
        hosts.get((self.position + failovers) % hosts.len())
    }

    /// Engines assigned to this host's row, which it prefers; none if there is only one row.
    pub fn preferred_engines(&self, engines: &[Arc<Upstream>]) -> Option<HashSet<Arc<str>>> {
        if self.rows.len() < 2 {
            return None;
        }
        let mut sorted: Vec<&Arc<Upstream>> = engines.iter().collect();
        sorted.sort_by(|a, b| (&a.zone, a.stage, &a.id).cmp(&(&b.zone, b.stage, &b.id)));
        let mut assigned: HashMap<&Arc<str>, usize> = HashMap::new();
        let mut preferred = HashSet::new();
        for engine in sorted {
            let index = assigned.entry(&engine.zone).or_default();
            let zone_rows: Vec<&RowId> =
                self.rows.keys().filter(|row| row.zone.as_ref() == Some(&engine.zone)).collect();
            // Engines of a data centre without hosts are divided among all rows.
            let row = match zone_rows.len() {
                0 => self.rows.keys().nth(*index % self.rows.len()),
                count => zone_rows.get(*index % count).copied(),
            };
            if row == Some(&self.own) {
                preferred.insert(engine.id.clone());
            }
            *index += 1;
        }
        Some(preferred)
    }
}

/// Digest of a host's name; the digest of a set of hosts is the exclusive or of theirs.
pub fn digest(host: &str) -> u64 {
    rank("view", host)
}
