//! Answers peers' messages.

use std::sync::Arc;

use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{Handler, HandlerCall, PeerRequest, Reply};

use crate::host::Host;

/// Answers peers' messages with a host's parts.
pub struct HostHandler(pub Arc<Host>);

impl Handler for HostHandler {
    fn handle<'a>(&'a self, from: &'a HostId, ask: PeerRequest) -> HandlerCall<'a> {
        Box::pin(answer(&self.0, from, ask))
    }
}

async fn answer(host: &Host, from: &HostId, ask: PeerRequest) -> Reply {
    match ask {
        PeerRequest::Beat(beat) => {
            host.membership.receive_heartbeat(beat).await.map_or(Reply::NotOwner, Reply::Beat)
        }
        PeerRequest::Document(have) => {
            let document = host.config.borrow().snapshot.document.clone();
            let newer = document.number > have;
            Reply::Document(newer.then(|| serde_json::to_vec(&document).unwrap_or_default()))
        }
        PeerRequest::Place(ask) => host.pools.place(ask).await,
        PeerRequest::Replace(pool, attempt) => host.pools.replace_decode(pool, attempt).await,
        PeerRequest::Notes(pool, notes) => {
            host.pools.apply_notes(pool, notes).await;
            Reply::Done
        }
        PeerRequest::Borrow(ask) => Reply::Loans(host.limits.borrow(from.clone(), ask).await),
        PeerRequest::GiveBack(items) => {
            host.limits.give_back(from.clone(), items).await;
            Reply::Done
        }
        PeerRequest::Debit(ask) => Reply::Debit(host.limits.debit_locally(ask).await),
        PeerRequest::Refund(customer, number, unused) => {
            host.limits.refund_locally(customer, number, unused).await;
            Reply::Done
        }
        PeerRequest::Claim(ask) => Reply::Claim(host.claims.submit_locally(ask).await),
        // Forwarding hosts only; a host of this kind has nothing of the sort.
        PeerRequest::Report { .. } | PeerRequest::Row(_) | PeerRequest::Known { .. } => {
            Reply::NotOwner
        }
        PeerRequest::Verify(attempts) => {
            let mut denied = attempts;
            denied.retain(|attempt| !host.running.contains(attempt));
            Reply::Denied(denied)
        }
    }
}
