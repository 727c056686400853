//! Regions in which requests may be served.
//!
//! Operators can name the regions that are home to a route or to a customer. A request then goes
//! to no upstream of another region, and neither does the KV cache of its prompt. Where route and
//! customer both have homes, both bind.

use std::collections::HashMap;
use std::sync::Arc;

/// A set of regions of one deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionSet(u64);

impl RegionSet {
    /// All regions, also those of data centres whose region is not known.
    pub const ALL: Self = Self(u64::MAX);
    /// No region.
    pub const NONE: Self = Self(0);

    /// Whether a request with these homes may go to a data centre in the region `place`.
    pub fn allows(self, place: Self) -> bool {
        self == Self::ALL || self.0 & place.0 != 0
    }
}

/// The regions of a deployment and their data centres.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    /// Region by data centre.
    zones: HashMap<Arc<str>, RegionSet>,
    by_name: HashMap<Arc<str>, RegionSet>,
}

impl Regions {
    /// Regions that can be told apart; one bit is left for those that are not known.
    const MAX: usize = 63;

    /// Takes pairs of a data centre and its region.
    pub fn new(zones: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> Self {
        let mut regions = Self::default();
        for (zone, name) in zones {
            let number = regions.by_name.len();
            let next = if number < Self::MAX { RegionSet(1 << number) } else { RegionSet::NONE };
            let region = *regions.by_name.entry(name).or_insert(next);
            regions.zones.insert(zone, region);
        }
        regions
    }

    /// The region of a data centre; none if it is not known.
    pub fn of_zone(&self, zone: &str) -> RegionSet {
        self.zones.get(zone).copied().unwrap_or(RegionSet::NONE)
    }

    /// Regions in which a request may be served, given the homes of its route and of its
    /// customer. An empty list means that there are none to keep to.
    pub fn allowed(&self, route: &[Arc<str>], customer: &[Arc<str>]) -> RegionSet {
        let set = |names: &[Arc<str>]| {
            let known = names.iter().filter_map(|name| self.by_name.get(name));
            known.fold(RegionSet::NONE, |all, region| RegionSet(all.0 | region.0))
        };
        match (route, customer) {
            ([], []) => RegionSet::ALL,
            (names, []) | ([], names) => set(names),
            (route, customer) => RegionSet(set(route).0 & set(customer).0),
        }
    }
}
