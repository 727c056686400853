//! Dispatches requests of peers to the host's actors.

use std::sync::Arc;

use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{Handler, HandlerFuture, PeerReply, PeerRequest};

use crate::host::Host;

/// Handles requests of peers on behalf of a host.
pub struct HostHandler(pub Arc<Host>);

impl Handler for HostHandler {
    fn handle<'a>(&'a self, from: &'a HostId, request: PeerRequest) -> HandlerFuture<'a> {
        Box::pin(dispatch(&self.0, from, request))
    }
}

async fn dispatch(host: &Host, from: &HostId, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Heartbeat(heartbeat) => host
            .membership
            .receive_heartbeat(heartbeat)
            .await
            .map_or(PeerReply::NotOwner, PeerReply::Heartbeat),
        PeerRequest::Document(current) => {
            let document = host.config.borrow().snapshot.document.clone();
            let newer = document.number > current;
            PeerReply::Document(newer.then(|| serde_json::to_vec(&document).unwrap_or_default()))
        }
        PeerRequest::Place(request) => host.pools.place(request).await,
        PeerRequest::Replace(pool, attempt) => host.pools.replace_decode(pool, attempt).await,
        PeerRequest::PoolEvents(pool, events) => {
            host.pools.apply_pool_events(pool, events).await;
            PeerReply::Done
        }
        PeerRequest::Borrow(request) => {
            PeerReply::Loans(host.limits.borrow(from.clone(), request).await)
        }
        PeerRequest::ReturnLoans(items) => {
            host.limits.return_loans(from.clone(), items).await;
            PeerReply::Done
        }
        PeerRequest::Debit(request) => PeerReply::Debit(host.limits.debit_locally(request).await),
        PeerRequest::Refund(customer, number, unused) => {
            host.limits.refund_locally(customer, number, unused).await;
            PeerReply::Done
        }
        PeerRequest::Claim(request) => PeerReply::Claim(host.claims.submit_locally(request).await),
        // Only forwarding hosts handle these; an entry host has no such state.
        PeerRequest::Report { .. }
        | PeerRequest::Row(_)
        | PeerRequest::Snapshot { .. }
        | PeerRequest::Updates { .. }
        | PeerRequest::Crashes(_)
        | PeerRequest::Departures(_)
        | PeerRequest::Streams(_)
        | PeerRequest::StreamVersion { .. } => PeerReply::NotOwner,
        PeerRequest::Verify(attempts) => {
            let mut not_running = attempts;
            not_running.retain(|attempt| !host.running.contains(attempt));
            PeerReply::NotRunning(not_running)
        }
    }
}
