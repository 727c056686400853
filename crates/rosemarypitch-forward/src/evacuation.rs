//! Data centres that operators have taken out of service.
//!
//! Nothing is sent to the upstreams of an evacuated data centre, whatever their registrations
//! say, until the evacuation ends. The list lasts in the store, and each host keeps it beside its
//! copy of the registrations: it stays through outages of the store, and a host that the store
//! refuses gets it from its peers together with the other state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use tokio::time::Instant;

/// The data centres that are out of service, and when others were last.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeSet<Arc<str>>,
    /// When this host learned that an evacuation has ended, by data centre.
    ended: BTreeMap<Arc<str>, Instant>,
}

impl Evacuations {
    /// Replaces the list by the store's; true if it has changed.
    pub fn replace(&mut self, now: Instant, zones: impl IntoIterator<Item = Arc<str>>) -> bool {
        let zones: BTreeSet<Arc<str>> = zones.into_iter().collect();
        let ended: Vec<Arc<str>> = self.zones.difference(&zones).cloned().collect();
        let mut changed = false;
        for zone in ended {
            changed |= self.end(now, &zone);
        }
        for zone in zones {
            changed |= self.begin(zone);
        }
        changed
    }

    /// Takes a data centre out of service; true if it was in service.
    pub fn begin(&mut self, zone: Arc<str>) -> bool {
        let begun = self.zones.insert(zone.clone());
        if begun {
            log::warn!("control: data centre out of service zone={zone}");
        }
        begun
    }

    /// Returns a data centre to service; true if it was out of service.
    pub fn end(&mut self, now: Instant, zone: &Arc<str>) -> bool {
        let ended = self.zones.remove(zone);
        if ended {
            log::info!("control: data centre in service again zone={zone}");
            self.ended.insert(zone.clone(), now);
        }
        ended
    }

    /// Whether a data centre is out of service.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// The data centres that are out of service.
    pub fn zones(&self) -> impl ExactSizeIterator<Item = &Arc<str>> {
        self.zones.iter()
    }

    /// When a data centre was returned to service, if this host has seen that.
    pub fn ended_at(&self, zone: &str) -> Option<Instant> {
        self.ended.get(zone).copied()
    }
}
