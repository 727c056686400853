//! Helpers shared by several tests.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_forward::registry::{Upstream, UpstreamState};

/// A ready server of the service `desk` in the data centre `howrah`.
pub fn upstream(id: &str) -> Upstream {
    Upstream {
        id: Arc::from(id),
        incarnation: 1,
        service: Arc::from("desk"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        zone: Arc::from("howrah"),
        slots: 6,
        state: UpstreamState::Ready,
        stage: None,
        cold: Duration::ZERO,
        version: Arc::from("v1"),
    }
}
