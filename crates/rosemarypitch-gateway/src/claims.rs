//! Finds the writer of a claim's shard.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rosemarypitch_limit::HostId;
use rosemarypitch_once::{ClaimAsk, ClaimReply, Shard, shard_of};
use rosemarypitch_peer::{Ask, Link, Reply};
use rosemarypitch_store::Store;
use tokio::runtime;
use tokio::sync::watch;

use crate::view::View;

/// Longest wait for another host's writer.
const CLAIM_TIME: Duration = Duration::from_secs(3);

/// Claims idempotency keys through the shards' writers.
#[derive(Clone)]
pub struct Claims {
    id: HostId,
    store: Arc<dyn Store>,
    link: Arc<dyn Link>,
    view: watch::Receiver<Arc<View>>,
    shards: Arc<Mutex<HashMap<u64, Shard>>>,
    runtime: runtime::Handle,
}

impl Claims {
    /// Claims through this host and its peers, with writers on the present runtime.
    pub fn new(
        id: HostId,
        store: Arc<dyn Store>,
        link: Arc<dyn Link>,
        view: watch::Receiver<Arc<View>>,
    ) -> Self {
        let runtime = runtime::Handle::current();
        Self { id, store, link, view, shards: Arc::default(), runtime }
    }

    /// Makes a change at the shard's writer.
    ///
    /// When the writer cannot be reached, this host writes: its compare-and-swap fails if
    /// the other still does.
    pub async fn submit(&self, ask: ClaimAsk) -> ClaimReply {
        let shard = shard_of(ask.key());
        let writer = {
            let view = self.view.borrow();
            let owner = view.owner_anywhere(&format!("once/{shard}"));
            owner.filter(|owner| !view.is_own(owner)).map(|owner| owner.address)
        };
        if let Some(writer) = writer {
            match self.link.call_idempotent(writer, &Ask::Claim(ask.clone()), CLAIM_TIME).await {
                Ok(Reply::Claim(reply)) => return reply,
                Ok(_) => log::warn!("claims: writer {writer} answered with nonsense"),
                Err(error) => log::warn!("claims: {error}"),
            }
        }
        self.submit_locally(ask).await
    }

    /// Makes a change at this host's writer.
    pub async fn submit_locally(&self, ask: ClaimAsk) -> ClaimReply {
        let index = shard_of(ask.key());
        let shard = {
            let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
            let start = || {
                let _guard = self.runtime.enter();
                Shard::start(self.store.clone(), index, Arc::from(self.id.to_string()))
            };
            shards.entry(index).or_insert_with(start).clone()
        };
        shard.ask(ask).await
    }
}
