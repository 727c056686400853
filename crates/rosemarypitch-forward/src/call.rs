//! The life of a forwarded request, from its head to its answer.
//!
//! [`handle`] finds out whose request it is and where it goes, and reads its body. A
//! request to a plain service goes on in [`crate::plain`], one to engines in
//! [`crate::generate`]. Both tell at each moment whether the request has run; a refusal's
//! status follows from that.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use crate::edge::{CallHead, Tokens};
use crate::generate;
use crate::plain;
use crate::refusal::{Cause, Ran, Refusal};
use crate::relay::{self, AnswerBody};
use crate::router::Router;
use crate::config::{Customer, Route, Service, ConfigSnapshot};

/// Longest time for a body; callers of these sites send theirs with the head.
const BODY_TIME: Duration = Duration::from_secs(5);
/// Time after which a caller is told to come back when nothing better is known.
const DEFAULT_RETRY: Duration = Duration::from_millis(500);

/// A request that may be sent on.
pub struct Call {
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// What the head says.
    pub facts: CallHead,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Arc<Service>,
    /// Its customer.
    pub customer: Option<Arc<Customer>>,
    /// When it came.
    pub start: Instant,
    /// When the caller must have an answer.
    pub deadline: Instant,
}

impl Call {
    /// Time that is left.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Name of the customer in logs and metrics.
    pub fn customer_name(&self) -> &str {
        self.customer.as_ref().map_or("-", |customer| customer.name.as_ref())
    }

    /// Tokens of a model request; none are known of others.
    pub fn tokens(&self) -> Tokens {
        self.facts.tokens.unwrap_or_default()
    }
}

/// Answers one request of a caller.
pub async fn handle(
    router: Arc<Router>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let start = Instant::now();
    let (head, body) = request.into_parts();
    let facts = match router.dialect.call_head(&head) {
        Ok(facts) => facts,
        Err(fault) => {
            log::info!("call: refused path={} cause=malformed fault=\"{fault}\"", head.uri.path());
            return Ok(refuse(&router, "", &Refusal::not_run(Cause::Malformed)));
        }
    };
    let attempt = facts.attempt.clone();
    let response = match admit(&router, start, head, body, facts).await {
        Ok(call) => answer(&router, call).await,
        Err(refusal) => {
            log::info!(
                "call: refused attempt={attempt} cause={} ran=no version={} age_ms={}",
                refusal.cause.name(),
                router.site().map_or(0, |site| site.version),
                start.elapsed().as_millis(),
            );
            router.metrics.answer("-", "-", refusal.cause.name(), start.elapsed());
            refuse(&router, &attempt, &refusal)
        }
    };
    Ok(response)
}

async fn answer(router: &Arc<Router>, call: Call) -> Response<AnswerBody> {
    let call = Arc::new(call);
    let result = match take_quota(router, &call) {
        Ok(()) => run(router, &call).await,
        Err(refusal) => Err(refusal),
    };
    let now = Instant::now();
    let (service, customer) = (call.service.name.as_ref(), call.customer_name());
    match result {
        Ok(response) => {
            let outcome = if response.status().is_success() { "ok" } else { "upstream_error" };
            router.metrics.answer(service, customer, outcome, now - call.start);
            response
        }
        Err(refusal) => {
            log::info!(
                "call: refused attempt={} route={} customer={customer} cause={} ran={} \
                 status={} retry_ms={} waited_ms={}",
                call.facts.attempt,
                call.route.name,
                refusal.cause.name(),
                if refusal.ran == Ran::No { "no" } else { "maybe" },
                refusal.status().as_u16(),
                refusal.retry_after.map_or(0, |retry| retry.as_millis()),
                (now - call.start).as_millis(),
            );
            router.metrics.answer(service, customer, refusal.cause.name(), now - call.start);
            if refusal.ran == Ran::No && refusal.cause != Cause::OverLimit {
                give_back_quota(router, &call);
            }
            refuse(router, &call.facts.attempt, &refusal)
        }
    }
}

async fn run(router: &Arc<Router>, call: &Arc<Call>) -> Result<Response<AnswerBody>, Refusal> {
    router.count_request(Instant::now(), &call.service.name);
    if call.service.engine.is_some() {
        generate::run(router, call).await
    } else {
        plain::run(router, call).await
    }
}

/// Finds route and customer, and reads the body.
async fn admit(
    router: &Arc<Router>,
    start: Instant,
    head: request::Parts,
    body: Incoming,
    facts: CallHead,
) -> Result<Call, Refusal> {
    check_framing(&head)?;
    let site = router.site().ok_or_else(not_configured)?;
    authorize(router, &site, &head, &facts)?;
    let limit = site.bounds.body_bytes;
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::not_run(Cause::TooLarge));
    }
    let body = read_body(body, limit).await?;
    // The configuration may have changed while the body came.
    let site = router.site().unwrap_or(site);
    let (route, customer) = authorize(router, &site, &head, &facts)?;
    let service = choose_service(&site, &route).ok_or_else(not_configured)?;
    let patience = facts.patience.unwrap_or(route.timeout).min(route.timeout);
    let deadline = start + patience;
    Ok(Call { head, body, facts, route, service, customer, start, deadline })
}

/// Checks again whether a request that has waited may run.
pub fn check_again(router: &Router, call: &Call) -> Result<(), Refusal> {
    let Some(site) = router.site() else { return Ok(()) };
    authorize(router, &site, &call.head, &call.facts).map(|_| ())
}

type Found = (Arc<Route>, Option<Arc<Customer>>);

fn authorize(
    router: &Router,
    site: &ConfigSnapshot,
    head: &request::Parts,
    facts: &CallHead,
) -> Result<Found, Refusal> {
    // A host that may be behind does not know that a route or a key does not exist.
    let denied = |cause| {
        let known = router.is_current(Instant::now());
        if known { Refusal::not_run(cause) } else { not_configured() }
    };
    let host = host_name(head).ok_or(Refusal::not_run(Cause::Malformed))?;
    let route = site.route(host, head.uri.path()).ok_or_else(|| denied(Cause::NoRoute))?;
    if route.public || site.customers.is_empty() {
        return Ok((route.clone(), None));
    }
    let key = facts.key.as_deref().ok_or_else(|| denied(Cause::BadKey))?;
    let customer = site.keys.get(key).ok_or_else(|| denied(Cause::BadKey))?;
    Ok((route.clone(), Some(customer.clone())))
}

fn not_configured() -> Refusal {
    Refusal::not_run(Cause::NotConfigured).with_retry_after(DEFAULT_RETRY)
}

/// Refuses requests whose length or host can be read in two ways.
fn check_framing(head: &request::Parts) -> Result<(), Refusal> {
    let fields = &head.headers;
    let lengths = fields.get_all(header::CONTENT_LENGTH).iter().count();
    let chunked = fields.contains_key(header::TRANSFER_ENCODING);
    let hosts = fields.get_all(header::HOST).iter().count();
    let absolute = head.uri.authority().is_some();
    if lengths > 1 || lengths == 1 && chunked || hosts != 1 || absolute {
        return Err(Refusal::not_run(Cause::Malformed));
    }
    Ok(())
}

fn host_name(head: &request::Parts) -> Option<&str> {
    let host = head.headers.get(header::HOST)?.to_str().ok()?;
    Some(host.split_once(':').map_or(host, |(name, _)| name))
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let read = tokio::time::timeout(BODY_TIME, Limited::new(body, limit).collect()).await;
    match read {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::not_run(Cause::TooLarge)),
        Ok(Err(_)) => Err(Refusal::not_run(Cause::Malformed)),
        Err(_) => Err(Refusal::not_run(Cause::SlowCaller)),
    }
}

/// Draws one of a route's services by weight.
fn choose_service(site: &ConfigSnapshot, route: &Route) -> Option<Arc<Service>> {
    let known = route.split.iter().filter(|(name, _)| site.services.contains_key(name));
    let total: u32 = known.clone().map(|(_, weight)| weight).sum();
    let mut drawn = if total == 0 { 0 } else { rand::random_range(0..total) };
    for (name, weight) in known {
        if drawn < *weight || total == 0 {
            return site.services.get(name).cloned();
        }
        drawn -= weight;
    }
    None
}

/// Tokens by which a request counts against its customer's limit.
fn counted_tokens(call: &Call, customer: &Customer) -> u64 {
    call.facts.tokens.map_or(customer.flat_tokens, Tokens::total)
}

fn take_quota(router: &Router, call: &Call) -> Result<(), Refusal> {
    let Some(customer) = &call.customer else { return Ok(()) };
    let tokens = counted_tokens(call, customer);
    let share = router.share();
    let draw = rand::random_range(0.0..1.0);
    let taken =
        router.with_quota(|quota| quota.take(Instant::now(), customer, share, tokens, draw));
    if taken.is_ok() && call.facts.tokens.is_some() {
        // Large requests use up a limit within the time between reports.
        router.notify_usage();
    }
    taken.map_err(|retry| Refusal::not_run(Cause::OverLimit).with_retry_after(retry))
}

fn give_back_quota(router: &Router, call: &Call) {
    let Some(customer) = &call.customer else { return };
    let tokens = counted_tokens(call, customer);
    router.with_quota(|quota| quota.refund(&customer.name, tokens));
}

fn refuse(router: &Router, attempt: &str, refusal: &Refusal) -> Response<AnswerBody> {
    let mut response = Response::new(relay::whole(Bytes::new()));
    *response.status_mut() = refusal.status();
    let fields = response.headers_mut();
    if let Some(retry) = refusal.retry_after {
        set_retry(fields, retry);
    }
    if matches!(refusal.cause, Cause::SlowCaller | Cause::TooLarge | Cause::Malformed) {
        fields.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    router.dialect.mark_refusal(fields, attempt);
    response
}

fn set_retry(fields: &mut HeaderMap, retry: Duration) {
    let text = format!("{:.2}", retry.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&text) {
        fields.insert(header::RETRY_AFTER, value);
    }
}
