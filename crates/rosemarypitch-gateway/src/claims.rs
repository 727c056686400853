//! Routes claims of idempotency keys to the writers of their shards.
//!
//! Keys are divided into shards, and all hosts choose each shard's writer by the same
//! rendezvous hash over the whole fleet.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rosemarypitch_limit::HostId;
use rosemarypitch_once::{ClaimReply, ClaimRequest, Shard, shard_of};
use rosemarypitch_peer::{PeerReply, PeerRequest, PeerTransport};
use rosemarypitch_store::Store;
use tokio::runtime;
use tokio::sync::watch;

use crate::view::View;

/// Timeout for calls to a writer on another host.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Handle for claiming idempotency keys.
#[derive(Clone)]
pub struct Claims {
    id: HostId,
    store: Arc<dyn Store>,
    transport: Arc<dyn PeerTransport>,
    view: watch::Receiver<Arc<View>>,
    shards: Arc<Mutex<HashMap<u64, Shard>>>,
    runtime: runtime::Handle,
}

impl Claims {
    /// Creates the handle; local writers are spawned on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime.
    pub fn new(
        id: HostId,
        store: Arc<dyn Store>,
        transport: Arc<dyn PeerTransport>,
        view: watch::Receiver<Arc<View>>,
    ) -> Self {
        let runtime = runtime::Handle::current();
        Self { id, store, transport, view, shards: Arc::default(), runtime }
    }

    /// Submits a change of a claim to the writer of its shard.
    ///
    /// If that writer is unreachable, this host's own writer takes over. Its
    /// compare-and-swap fails if the other one is still writing.
    pub async fn submit(&self, request: ClaimRequest) -> ClaimReply {
        let shard = shard_of(request.key());
        let writer = {
            let view = self.view.borrow();
            let owner = view.fleet_owner(&format!("once/{shard}"));
            owner.filter(|owner| !view.is_own(owner)).map(|owner| owner.address)
        };
        if let Some(writer) = writer {
            match self
                .transport
                .call_idempotent(writer, &PeerRequest::Claim(request.clone()), CLAIM_TIMEOUT)
                .await
            {
                Ok(PeerReply::Claim(reply)) => return reply,
                Ok(_) => log::warn!("claims: unexpected reply from writer {writer}"),
                Err(error) => log::warn!("claims: {error}"),
            }
        }
        self.submit_locally(request).await
    }

    /// Submits a change of a claim to this host's writer of the shard, starting it if needed.
    pub async fn submit_locally(&self, request: ClaimRequest) -> ClaimReply {
        let index = shard_of(request.key());
        let shard = {
            let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
            let start = || {
                let _guard = self.runtime.enter();
                Shard::start(self.store.clone(), index, Arc::from(self.id.to_string()))
            };
            shards.entry(index).or_insert_with(start).clone()
        };
        shard.submit(request).await
    }
}
