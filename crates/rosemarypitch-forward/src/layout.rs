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
use std::fmt;
use std::sync::Arc;

use rosemarypitch_limit::rank;

use crate::registry::Upstream;

/// Maximum number of hosts that form a single row; a full mesh of this size still carries the
/// load.
const MAX_MESH_HOSTS: usize = 48;
/// Largest mean size of the rows of a data centre if there are several.
const MAX_ROW_SIZE: usize = 32;

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

impl RowId {
    /// Digest of the row's identity.
    pub fn digest(&self) -> u64 {
        rank("row id", &self.to_string())
    }
}

impl fmt::Display for RowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let zone = self.zone.as_deref().unwrap_or("all");
        write!(f, "{zone}/{}of{}", self.number, self.rows)
    }
}

/// The rows, and one host's position in them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    own: RowId,
    /// Index of this host in its row.
    position: usize,
    rows: BTreeMap<RowId, Vec<Arc<str>>>,
    row_of: HashMap<Arc<str>, RowId>,
    /// Digest of the numbers of rows in each data centre.
    division: u64,
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
        let mut division = 0;
        for (zone, members) in zones {
            let count = if zone.is_some() { row_count(members.len()) } else { 1 };
            let zone_name = zone.as_deref().unwrap_or_default();
            division ^= rank("division", &format!("{zone_name}/{count}"));
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
        Self { own: row, position: position.unwrap_or(0), rows, row_of, division }
    }

    /// Whether a host is in this host's row.
    pub fn in_own_row(&self, host: &str) -> bool {
        self.row_of.get(host) == Some(&self.own)
    }

    /// Digest of the division into rows. Hosts with the same one agree on the row of every host
    /// that both know.
    pub fn division(&self) -> u64 {
        self.division
    }

    /// This host's row.
    pub fn own_row(&self) -> &RowId {
        &self.own
    }

    /// Number of hosts in a row.
    pub fn size_of(&self, row: &RowId) -> usize {
        self.rows.get(row).map_or(0, Vec::len)
    }

    /// Number of hosts in this host's row, itself included.
    pub fn row_size(&self) -> usize {
        self.rows.get(&self.own).map_or(1, Vec::len)
    }

    /// All hosts, this one included.
    pub fn hosts(&self) -> impl Iterator<Item = &Arc<str>> {
        self.row_of.keys()
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

/// Number of rows of a data centre with so many hosts.
///
/// A change of this number moves half of the hosts to other rows. Powers of two make that
/// rare, so that a few hosts that join or leave seldom change it.
fn row_count(hosts: usize) -> usize {
    hosts.div_ceil(MAX_ROW_SIZE).next_power_of_two()
}

/// Digest of a host's name.
pub fn digest(host: &str) -> u64 {
    rank("view", host)
}
