//! Records of streams in the store, and the version at which a caller's stream goes on.
//!
//! See [`crate::versions`] for what is recorded, and when. A host that does not reach the store asks
//! other hosts for the version of a stream.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::call::Call;
use crate::config::RouteKind;
use crate::deployment::{DirectoryError, TakeUp};
use crate::refusal::{Cause, Refusal};
use crate::registry::Upstream;
use crate::router::Router;
use crate::versions::{StreamRecord, VersionChange};

/// Longest time for which the start of a stream waits for its record.
const RECORD_WAIT: Duration = Duration::from_millis(250);
/// TTL of the lease of records.
const LEASE_TTL: Duration = Duration::from_secs(60);
/// Time for which a lease gets new records; the rest of its TTL is how long they last at least.
const LEASE_USE: Duration = Duration::from_secs(30);
/// Interval between checks whether a version has become the sole one.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// `Retry-After` of a take-up whose version may be known later.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Keeps the entries of the services' sole versions until the process ends.
pub async fn keep_versions(router: Arc<Router>) {
    loop {
        // The timeout leads to the check.
        let _ = tokio::time::timeout(CHECK_INTERVAL, router.versions_changed()).await;
        for change in router.version_changes(Instant::now()) {
            if let Err(error) = change_version(&router, &change).await {
                log::info!("control: version of service={} not changed: {error}", change.service);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn change_version(router: &Router, change: &VersionChange) -> Result<(), DirectoryError> {
    let stored = router.directory.change_version(change).await?;
    log::info!(
        "control: sole version service={} version={} era={} revision={}",
        change.service,
        stored.sole.version.as_deref().unwrap_or("-"),
        stored.sole.era,
        stored.revision,
    );
    router.set_version(&change.service, stored);
    Ok(())
}

/// Records the streams that begin while their service has no sole version, until the process ends.
pub async fn record_streams(router: Arc<Router>) {
    let mut lease = None;
    loop {
        let pending = router.pending_streams(Instant::now());
        if pending.is_empty() {
            router.streams_changed().await;
            continue;
        }
        let result = match router.is_store_lost() {
            true => Ok(false),
            false => record(&router, &mut lease, &pending).await,
        };
        match result {
            Ok(true) => {}
            Ok(false) => tokio::time::sleep(RETRY_DELAY).await,
            Err(error) => {
                log::info!("call: streams not recorded count={}: {error}", pending.len());
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Records streams; false if the lease has expired.
async fn record(
    router: &Router,
    lease: &mut Option<(u64, Instant)>,
    records: &[StreamRecord],
) -> Result<bool, DirectoryError> {
    let era = router.store_position().position.era;
    let now = Instant::now();
    let id = match *lease {
        Some((id, granted)) if now.saturating_duration_since(granted) < LEASE_USE => id,
        _ => {
            let id = router.directory.grant_lease(LEASE_TTL).await?;
            *lease = Some((id, now));
            id
        }
    };
    let recorded = router.directory.record_streams(records, id).await?;
    if recorded {
        router.mark_recorded(records, era);
    } else {
        *lease = None;
    }
    Ok(recorded)
}

/// Notes the version at which a new stream begins, and waits until it is recorded if it has to be.
///
/// The stream is served all the same if the store does not answer in time; callers cannot take it
/// up then.
pub async fn begin(router: &Router, call: &Call, upstream: &Upstream) {
    let resumable = call.route.kind == RouteKind::Stream { resumable: true };
    if !resumable || call.meta.takeup.is_some() {
        return;
    }
    let attempt = call.meta.attempt.clone();
    let record = StreamRecord { attempt: attempt.clone(), version: upstream.version.clone() };
    if !router.begin_stream(Instant::now(), &call.service.name, record) {
        return;
    }
    if router.is_store_lost() {
        log::info!("call: stream not recorded attempt={attempt} reason=store_lost");
        return;
    }
    let recorded = tokio::time::timeout(RECORD_WAIT, router.stream_recorded(&attempt)).await;
    if recorded.is_err() {
        log::info!("call: stream not recorded attempt={attempt} reason=late");
    }
}

/// Version at which the stream of a request goes on; none if the request begins one.
///
/// Fails if several versions are possible.
pub async fn version(router: &Router, call: &Call) -> Result<Option<Arc<str>>, Refusal> {
    let resumable = call.route.kind == RouteKind::Stream { resumable: true };
    let Some(TakeUp { first }) = call.meta.takeup.as_ref().filter(|_| resumable) else {
        return Ok(None);
    };
    let (attempt, service) = (&call.meta.attempt, &call.service.name);
    let (found, source) = find_version(router, service, first.as_ref()).await;
    log::info!(
        "call: stream taken up attempt={attempt} first={} version={} source={source} copy={}",
        first.as_deref().unwrap_or("-"),
        found.as_deref().unwrap_or("-"),
        router.sole_version(service).as_deref().unwrap_or("-"),
    );
    let Some(version) = found else {
        let refusal = Refusal::not_run(Cause::UnknownVersion);
        return Err(refusal.with_retry_after(UNKNOWN_RETRY_AFTER));
    };
    Ok(Some(version))
}

/// Version that began a stream, and who told it; none if several versions are possible.
async fn find_version(
    router: &Router,
    service: &Arc<str>,
    first: Option<&Arc<str>>,
) -> (Option<Arc<str>>, &'static str) {
    if let Some(version) = first.and_then(|first| router.known_stream(first)) {
        return (Some(version), "host");
    }
    let lost = router.is_store_lost();
    // A store that is lost may still answer, but probably only after a timeout.
    if lost && let Some(version) = router.query_stream(service, first, true).await {
        return (Some(version), "peers");
    }
    let read = match stored_version(router, service, first).await {
        Ok(Some(version)) => return (Some(version), "store"),
        Ok(None) => false,
        Err(error) => {
            log::info!("call: version not read service={service}: {error}");
            true
        }
    };
    let asked = lost && read;
    let found = if asked { None } else { router.query_stream(service, first, read).await };
    (found, "peers")
}

/// Version that began a stream as the store says now; none if several versions are possible.
///
/// The stream began before the store is read. A copy of the service's sole version may be older
/// than a stream of another version.
pub async fn stored_version(
    router: &Router,
    service: &str,
    first: Option<&Arc<str>>,
) -> Result<Option<Arc<str>>, DirectoryError> {
    let stored = router.directory.stream_version(service, first.map(AsRef::as_ref)).await?;
    Ok(router.resolve_stream(service, stored))
}
