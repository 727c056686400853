//! Asking a pool's owner for engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{Class, OverloadPolicy, UpstreamKind};
use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{Ask, PlaceAsk, PlaceReply, PoolKey, Reply};
use rosemarypitch_route::block_hashes;
use rosemarypitch_upstream::{EngineAddress, ErrorKind, UpstreamError};

use super::{Places, Run};
use crate::guards::AttemptGuard;
use crate::host::Host;
use crate::pools;
use crate::problem::Problem;

/// Longest wait for an owner's answer beyond the request's own wait.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Tries of asking for a place while owners change.
const PLACE_TRIES: u32 = 4;
/// Pause between tries of asking for a place.
const PLACE_PAUSE: Duration = Duration::from_millis(100);
/// Part of the pool of short jobs against long ones, when goodput goes first.
const SHORT_SHARE: f64 = 4.0;

impl Run {
    /// Asks the pool's owner for engines.
    pub async fn place(
        &mut self,
        prompt: u32,
        output: u32,
    ) -> Result<(AttemptGuard, Places), Problem> {
        let pool = self.pool();
        let wait = Duration::from_millis(self.target.wait_ms);
        let mut lost: Vec<HostId> = Vec::new();
        for _ in 0..PLACE_TRIES {
            let chosen = self.owner(&pool, &lost);
            let owner = chosen.as_ref().map(|(_, address)| *address);
            let holding =
                AttemptGuard::new(self.host.clone(), self.attempt.clone(), pool.clone(), owner);
            let ask = self.place_ask(&pool, prompt, output);
            let reply = tokio::select! {
                reply = ask_place(&self.host, owner, ask, wait + ANSWER_TIME) => reply,
                () = until_gone(&self.host, chosen.as_ref()) => None,
                () = self.host.until_withdrawn(&self.ask.caller.digest) => {
                    return Err(self.withdrawn());
                }
            };
            match reply {
                Some(PlaceReply::Placed { prefill, decode }) => {
                    let (Some(prefill), Some(decode)) =
                        (self.engine(&prefill), self.engine(&decode))
                    else {
                        // The engine was taken out of the configuration meanwhile. The end of
                        // this attempt must not be taken for that of the next.
                        self.attempt = self.attempt.next();
                        continue;
                    };
                    self.host.running.set_decode(&self.attempt, &decode.name);
                    return Ok((holding, Places { prefill, decode }));
                }
                Some(PlaceReply::Full) => {
                    let detail = "no engine came free in time";
                    return Err(self.unavailable(detail));
                }
                Some(PlaceReply::NoEngine) => {
                    return Err(self.unavailable("no engine serves the model here"));
                }
                // The owner is gone or handed over: the next in rank takes its place.
                None => {
                    drop(holding);
                    lost.extend(chosen.map(|(id, _)| id));
                    tokio::time::sleep(PLACE_PAUSE).await;
                    self.attempt = self.attempt.next();
                }
            }
        }
        Err(self.unavailable("no owner of the model's pool can be reached"))
    }

    fn pool(&self) -> PoolKey {
        let snapshot = self.host.snapshot();
        let region = &self.host.settings.region;
        let parts = pools::part_count(&snapshot.document, region, &self.ask.model);
        let names = block_hashes(&self.ask.prompt);
        // Requests with a common first piece meet in one part, where it is cached.
        let key = names.first().copied().unwrap_or(self.attempt.request);
        PoolKey {
            region: region.clone(),
            model: self.ask.model.clone(),
            part: (key % u64::from(parts)) as u32,
        }
    }

    /// The pool's owner, none for this host, but for those that were lost.
    fn owner(&self, pool: &PoolKey, lost: &[HostId]) -> Option<(HostId, SocketAddr)> {
        let view = self.host.view.borrow();
        let owner = view.owner_near_except(&pool.text(), lost)?;
        (!view.is_own(owner)).then(|| (owner.id.clone(), owner.address))
    }

    fn place_ask(&self, pool: &PoolKey, prompt: u32, output: u32) -> PlaceAsk {
        let caller = &self.ask.caller;
        let share = match (self.host.settings.policy, caller.class) {
            (OverloadPolicy::Goodput, Class::Short) => SHORT_SHARE,
            (OverloadPolicy::Goodput, Class::Long) | (OverloadPolicy::WorstServed, _) => 1.0,
        };
        let resumed = u8::from(self.sent > 0);
        let spent = self.begun.elapsed().as_millis() as u64;
        PlaceAsk {
            pool: pool.clone(),
            attempt: self.attempt.clone(),
            customer: caller.customer.clone(),
            priority: u8::from(caller.class == Class::Short) + 2 * resumed,
            weight: caller.limit.rate as f64 * share,
            prompt: prompt + self.sent,
            output: output - self.sent,
            pieces: block_hashes(&self.ask.prompt),
            data_centre: self.host.settings.data_centre.clone(),
            due_ms: self.target.first_ms.saturating_sub(spent),
            wait_ms: self.target.wait_ms,
        }
    }

    fn engine(&self, name: &Arc<str>) -> Option<EngineAddress> {
        let snapshot = self.host.snapshot();
        let upstream = snapshot.document.upstreams.get(name)?;
        let is_engine = !matches!(upstream.kind, UpstreamKind::Service { .. });
        let address =
            EngineAddress { name: name.clone(), address: upstream.address, tls: upstream.tls };
        is_engine.then_some(address)
    }

    /// Asks the pool's owner for another decode engine.
    pub async fn replace(
        &self,
        holding: &AttemptGuard,
        error: &UpstreamError,
    ) -> Option<EngineAddress> {
        // The result is lost with the prefill engine; another destination is no help.
        if error.kind == ErrorKind::NotHeld {
            return None;
        }
        let pool = self.pool();
        let attempt = holding.attempt().clone();
        let reply = match holding.owner() {
            None => self.host.pools.replace_decode(pool, attempt).await,
            Some(owner) => {
                let ask = Ask::Replace(pool, attempt);
                self.host.link.call(owner, &ask, ANSWER_TIME).await.ok()?
            }
        };
        match reply {
            Reply::Place(PlaceReply::Placed { decode, .. }) => {
                self.host.running.set_decode(&self.attempt, &decode);
                self.engine(&decode)
            }
            _ => None,
        }
    }
}

/// Waits until a pool's owner is not there any more; for ever when it is this host.
async fn until_gone(host: &Host, owner: Option<&(HostId, SocketAddr)>) {
    let mut view = host.view.clone();
    let Some((id, _)) = owner else { return std::future::pending().await };
    while view.borrow_and_update().is_live(id) {
        if view.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// The owner's answer; none when it gave none.
async fn ask_place(
    host: &Host,
    owner: Option<SocketAddr>,
    ask: PlaceAsk,
    limit: Duration,
) -> Option<PlaceReply> {
    let reply = match owner {
        None => host.pools.place(ask).await,
        Some(owner) => match host.link.call(owner, &Ask::Place(ask), limit).await {
            Ok(reply) => reply,
            Err(error) => {
                log::info!("request: {error}");
                return None;
            }
        },
    };
    match reply {
        Reply::Place(reply) => Some(reply),
        _ => None,
    }
}
