//! Dispatches requests of peers to the host's actors.

use std::sync::Arc;

use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{Ask, Handler, HandlerCall, Reply};

use crate::host::Host;

/// Handles requests of peers on behalf of a host.
pub struct HostHandler(pub Arc<Host>);

impl Handler for HostHandler {
    fn handle<'a>(&'a self, from: &'a HostId, ask: Ask) -> HandlerCall<'a> {
        Box::pin(dispatch(&self.0, from, ask))
    }
}

async fn dispatch(host: &Host, from: &HostId, ask: Ask) -> Reply {
    match ask {
        Ask::Beat(beat) => {
            host.membership.receive_heartbeat(beat).await.map_or(Reply::NotOwner, Reply::Beat)
        }
        Ask::Document(have) => {
            let document = host.config.borrow().snapshot.document.clone();
            let newer = document.number > have;
            Reply::Document(newer.then(|| serde_json::to_vec(&document).unwrap_or_default()))
        }
        Ask::Place(ask) => host.pools.place(ask).await,
        Ask::Replace(pool, attempt) => host.pools.replace_decode(pool, attempt).await,
        Ask::Notes(pool, notes) => {
            host.pools.apply_notes(pool, notes).await;
            Reply::Done
        }
        Ask::Borrow(ask) => Reply::Loans(host.limits.borrow(from.clone(), ask).await),
        Ask::GiveBack(items) => {
            host.limits.give_back(from.clone(), items).await;
            Reply::Done
        }
        Ask::Debit(ask) => Reply::Debit(host.limits.debit_locally(ask).await),
        Ask::Refund(customer, number, unused) => {
            host.limits.refund_locally(customer, number, unused).await;
            Reply::Done
        }
        Ask::Claim(ask) => Reply::Claim(host.claims.submit_locally(ask).await),
        // Only forwarding hosts handle these; an entry host has no such state.
        Ask::Report { .. } | Ask::Row(_) | Ask::Known { .. } => Reply::NotOwner,
        Ask::Verify(attempts) => {
            let mut denied = attempts;
            denied.retain(|attempt| !host.running.contains(attempt));
            Reply::Denied(denied)
        }
    }
}
