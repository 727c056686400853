//! Requests engines for an attempt from the pool's owner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{Class, OverloadPolicy, UpstreamKind};
use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{PeerReply, PeerRequest, PlaceReply, PlaceRequest, PoolKey};
use rosemarypitch_route::block_hashes;
use rosemarypitch_upstream::{Endpoint, ErrorKind, UpstreamError};

use super::{CompletionTask, EnginePair};
use crate::guards::AttemptGuard;
use crate::host::Host;
use crate::pools;
use crate::problem::Problem;

/// Timeout for the owner's reply, in addition to the maximum time in its queue.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of placement requests in a row; each may go to another owner.
const MAX_PLACE_REQUESTS: u32 = 4;
/// Delay before the next placement request.
const PLACE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Weight of the short class relative to the long one under [`Policy::Goodput`].
const SHORT_CLASS_WEIGHT: f64 = 4.0;

impl CompletionTask {
    /// Requests engines from the pool's owner, and from its successor if the owner is lost.
    pub async fn place(
        &mut self,
        prompt_tokens: u32,
        output_tokens: u32,
    ) -> Result<(AttemptGuard, EnginePair), Problem> {
        let pool = self.pool();
        let wait = Duration::from_millis(self.target.wait_ms);
        let mut unreachable: Vec<HostId> = Vec::new();
        for _ in 0..MAX_PLACE_REQUESTS {
            let chosen = self.owner(&pool, &unreachable);
            let owner = chosen.as_ref().map(|(_, address)| *address);
            let guard =
                AttemptGuard::new(self.host.clone(), self.attempt.clone(), pool.clone(), owner);
            let request = self.place_request(&pool, prompt_tokens, output_tokens);
            let reply = tokio::select! {
                reply = request_place(&self.host, owner, request, wait + REPLY_TIMEOUT) => reply,
                () = until_owner_lost(&self.host, chosen.as_ref()) => None,
                () = self.host.until_revoked(&self.request.caller.digest) => {
                    return Err(self.key_revoked());
                }
            };
            match reply {
                Some(PlaceReply::Placed { prefill, decode }) => {
                    let (Some(prefill), Some(decode)) =
                        (self.engine(&prefill), self.engine(&decode))
                    else {
                        // The engine was removed from the configuration meanwhile. The guard's
                        // drop reports this attempt as finished; the next one needs its own
                        // number so that the report does not release it too.
                        self.attempt = self.attempt.next();
                        continue;
                    };
                    self.host.running.set_decode(&self.attempt, &decode.name);
                    return Ok((guard, EnginePair { prefill, decode }));
                }
                Some(PlaceReply::Full) => {
                    let detail = "no engine came free in time";
                    return Err(self.unavailable(detail));
                }
                Some(PlaceReply::NoEngine) => {
                    return Err(self.unavailable("no engine serves the model here"));
                }
                // The owner is lost or is stopping; the host next in rank now owns the pool.
                None => {
                    drop(guard);
                    unreachable.extend(chosen.map(|(id, _)| id));
                    tokio::time::sleep(PLACE_RETRY_DELAY).await;
                    self.attempt = self.attempt.next();
                }
            }
        }
        Err(self.unavailable("no owner of the model's pool can be reached"))
    }

    fn pool(&self) -> PoolKey {
        let snapshot = self.host.snapshot();
        let region = &self.host.settings.region;
        let parts = pools::part_count(&snapshot.document, region, &self.request.model);
        let blocks = block_hashes(&self.request.prompt);
        // Requests that share their first block go to the same part, which caches it.
        let key = blocks.first().copied().unwrap_or(self.attempt.request);
        PoolKey {
            region: region.clone(),
            model: self.request.model.clone(),
            part: (key % u64::from(parts)) as u32,
        }
    }

    /// Returns the pool's owner, ignoring the unreachable hosts; `None` means this host.
    fn owner(&self, pool: &PoolKey, unreachable: &[HostId]) -> Option<(HostId, SocketAddr)> {
        let view = self.host.view.borrow();
        let owner = view.region_owner_except(&pool.text(), unreachable)?;
        (!view.is_own(owner)).then(|| (owner.id.clone(), owner.address))
    }

    fn place_request(
        &self,
        pool: &PoolKey,
        prompt_tokens: u32,
        output_tokens: u32,
    ) -> PlaceRequest {
        let caller = &self.request.caller;
        let class_weight = match (self.host.settings.policy, caller.class) {
            (OverloadPolicy::Goodput, Class::Short) => SHORT_CLASS_WEIGHT,
            (OverloadPolicy::Goodput, Class::Long) | (OverloadPolicy::WorstServed, _) => 1.0,
        };
        let resumed = u8::from(self.sent_tokens > 0);
        let elapsed = self.started_at.elapsed().as_millis() as u64;
        PlaceRequest {
            pool: pool.clone(),
            attempt: self.attempt.clone(),
            customer: caller.customer.clone(),
            priority: u8::from(caller.class == Class::Short) + 2 * resumed,
            weight: caller.limit.rate as f64 * class_weight,
            prompt: prompt_tokens + self.sent_tokens,
            output: output_tokens - self.sent_tokens,
            blocks: block_hashes(&self.request.prompt),
            data_centre: self.host.settings.data_centre.clone(),
            due_ms: self.target.first_ms.saturating_sub(elapsed),
            wait_ms: self.target.wait_ms,
        }
    }

    fn engine(&self, name: &Arc<str>) -> Option<Endpoint> {
        let snapshot = self.host.snapshot();
        let upstream = snapshot.document.upstreams.get(name)?;
        let is_engine = !matches!(upstream.kind, UpstreamKind::Service { .. });
        let endpoint =
            Endpoint { name: name.clone(), address: upstream.address, tls: upstream.tls };
        is_engine.then_some(endpoint)
    }

    /// Requests another decode engine from the pool's owner.
    pub async fn replace_decode(
        &self,
        guard: &AttemptGuard,
        error: &UpstreamError,
    ) -> Option<Endpoint> {
        // The prefill engine no longer holds the result, so no transfer can succeed.
        if error.kind == ErrorKind::NotHeld {
            return None;
        }
        let pool = self.pool();
        let attempt = guard.attempt().clone();
        let reply = match guard.owner() {
            None => self.host.pools.replace_decode(pool, attempt).await,
            Some(owner) => {
                let request = PeerRequest::Replace(pool, attempt);
                self.host.transport.call(owner, &request, REPLY_TIMEOUT).await.ok()?
            }
        };
        match reply {
            PeerReply::Place(PlaceReply::Placed { decode, .. }) => {
                self.host.running.set_decode(&self.attempt, &decode);
                self.engine(&decode)
            }
            _ => None,
        }
    }
}

/// Waits until a pool's owner is no longer live; never returns for this host.
async fn until_owner_lost(host: &Host, owner: Option<&(HostId, SocketAddr)>) {
    let mut view = host.view.clone();
    let Some((id, _)) = owner else { return std::future::pending().await };
    while view.borrow_and_update().is_live(id) {
        if view.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Sends a placement request; `None` means no usable reply.
async fn request_place(
    host: &Host,
    owner: Option<SocketAddr>,
    request: PlaceRequest,
    timeout: Duration,
) -> Option<PlaceReply> {
    let reply = match owner {
        None => host.pools.place(request).await,
        Some(owner) => {
            match host.transport.call(owner, &PeerRequest::Place(request), timeout).await {
                Ok(reply) => reply,
                Err(error) => {
                    log::info!("request: {error}");
                    return None;
                }
            }
        }
    };
    match reply {
        PeerReply::Place(reply) => Some(reply),
        _ => None,
    }
}
