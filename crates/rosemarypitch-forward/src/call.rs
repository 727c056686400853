//! Handling of one forwarded request, from its head to its response.
//!
//! [`handle`] authenticates the request, routes it and reads its body. Requests to plain
//! services continue in [`crate::plain`], those to model engines in [`crate::generate`].
//! Both keep track of whether the request may have run, which decides the status of a
//! refusal.

use std::convert::Infallible;
use std::panic::{self, AssertUnwindSafe};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, header, request};
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use crate::body;
use crate::config::{CallerBounds, ConfigSnapshot, Customer, Route, Service};
use crate::deployment::{RequestMeta, Tokens};
use crate::generate;
use crate::homes::RegionSet;
use crate::plain;
use crate::refusal::{Cause, Ran, Refusal};
use crate::relay::{self, ResponseBody};
use crate::router::{Router, StopPhase};

/// `Retry-After` of refusals for which there is no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Interval between attempts to take tokens that were set aside.
const TOKEN_POLL: Duration = Duration::from_millis(20);
/// Longest wait for such tokens, as a fraction of the time that the caller still has.
const MAX_WAIT_PART: f64 = 0.3;

/// An authorized request, ready to be forwarded.
pub struct Call {
    /// Request head as received.
    pub head: request::Parts,
    /// Complete request body.
    pub body: Bytes,
    /// Metadata parsed from the head.
    pub meta: RequestMeta,
    /// Route that matched the request.
    pub route: Arc<Route>,
    /// Service drawn from the route's traffic split.
    pub service: Arc<Service>,
    /// Customer that owns the API key; none on public routes and without configured customers.
    pub customer: Option<Arc<Customer>>,
    /// Regions in which the request may be served.
    pub regions: RegionSet,
    /// Time of arrival.
    pub start: Instant,
    /// Time by which the caller must have its complete response.
    pub deadline: Instant,
    /// Whether an upstream may have run the request.
    may_have_run: AtomicBool,
}

impl Call {
    /// Records whether an upstream may have run the request.
    pub fn set_ran(&self, ran: Ran) {
        self.may_have_run.store(ran == Ran::Maybe, Ordering::Relaxed);
    }

    /// Whether an upstream may have run the request.
    pub fn ran(&self) -> Ran {
        if self.may_have_run.load(Ordering::Relaxed) { Ran::Maybe } else { Ran::No }
    }

    /// Time left until the deadline; zero once it has passed.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Customer name for logs and metrics, `-` if there is none.
    pub fn customer_name(&self) -> &str {
        self.customer.as_ref().map_or("-", |customer| customer.name.as_ref())
    }

    /// Token counts of a model request; zero for other requests.
    pub fn tokens(&self) -> Tokens {
        self.meta.tokens.unwrap_or_default()
    }

    /// Parts of a model request's prompt that other requests may share, in order.
    pub fn parts(&self) -> &[Arc<str>] {
        &self.meta.parts
    }

    /// The shared parts of the prompt for logs, `-` if there are none.
    pub fn parts_text(&self) -> String {
        if self.parts().is_empty() { "-".to_owned() } else { self.parts().join(",") }
    }
}

/// Handles one request of a caller; `on_admitted` is called once it has been read completely and is
/// going to be served.
pub async fn handle(
    router: Arc<Router>,
    request: Request<Incoming>,
    on_admitted: impl FnOnce(),
) -> Result<Response<ResponseBody>, Infallible> {
    let start = Instant::now();
    let (head, mut body) = request.into_parts();
    let expects = head.headers.contains_key(header::EXPECT);
    let (attempt, admitted) = match router.dialect.parse_request(&head) {
        Ok(meta) => {
            let attempt = meta.attempt.clone();
            let admitted = tokio::select! {
                // No request starts to run once the others are refused.
                biased;
                () = router.reached(StopPhase::Cutting) => Err(stopping(Ran::No)),
                admitted = catch_panic(admit(&router, start, head, &mut body, meta)) => {
                    admitted.unwrap_or(Err(Refusal::not_run(Cause::Internal)))
                }
            };
            (attempt, admitted)
        }
        Err(error) => {
            log::info!("call: malformed path={} fault=\"{error}\"", head.uri.path());
            (Arc::from(""), Err(Refusal::not_run(Cause::Malformed)))
        }
    };
    Ok(match admitted {
        Ok(call) => {
            on_admitted();
            let open = router.open_calls.open(attempt, start);
            respond(&router, call).await.map(|body| open.attach(body))
        }
        Err(refusal) => refuse_unadmitted(&router, start, &attempt, &refusal, body, expects).await,
    })
}

/// Refuses a request whose body may be unread.
///
/// The body of a caller that expects `100 Continue` is not asked for.
async fn refuse_unadmitted(
    router: &Router,
    start: Instant,
    attempt: &str,
    refusal: &Refusal,
    mut body: Incoming,
    expects: bool,
) -> Response<ResponseBody> {
    let config = router.config();
    let limit = config.as_ref().map_or(CallerBounds::default(), |config| config.bounds).body_bytes;
    let read = body.is_end_stream()
        || !ends_connection(refusal.cause)
            && !expects
            && tokio::select! {
                read = body::discard(&mut body, limit) => read,
                () = router.reached(StopPhase::Cutting) => false,
            };
    let state_age = router.state_age(Instant::now());
    log::info!(
        "call: refused attempt={attempt} cause={} ran=no version={} body={} age_ms={} position={} \
         state_age_ms={}",
        refusal.cause.name(),
        config.map_or(0, |config| config.version),
        if read { "read" } else { "unread" },
        start.elapsed().as_millis(),
        router.store_position().position,
        state_age.map_or(-1, |age| age.as_millis() as i64),
    );
    router.metrics.record_response("-", "-", refusal.cause.name(), start.elapsed());
    let mut response = refusal_response(router, attempt, refusal);
    if !read {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        *response.body_mut() = body::empty_then_drain(body);
    }
    response
}

/// Whether no further request is read from the connection of a refused one.
fn ends_connection(cause: Cause) -> bool {
    matches!(
        cause,
        Cause::SlowCaller | Cause::TooLarge | Cause::Malformed | Cause::Stopping | Cause::Crowded
    )
}

async fn respond(router: &Arc<Router>, call: Call) -> Response<ResponseBody> {
    let call = Arc::new(call);
    let served = async {
        charge_quota(router, &call).await?;
        run(router, &call).await
    };
    let result = tokio::select! {
        biased;
        served = catch_panic(served) => {
            served.unwrap_or_else(|| Err(Refusal::new(Cause::Internal, call.ran())))
        }
        () = router.reached(StopPhase::Cutting) => Err(stopping(call.ran())),
    };
    let now = Instant::now();
    let (service, customer) = (call.service.name.as_ref(), call.customer_name());
    match result {
        Ok(response) => {
            let outcome = if response.status().is_success() { "ok" } else { "upstream_error" };
            router.metrics.record_response(service, customer, outcome, now - call.start);
            response
        }
        Err(refusal) => {
            log::info!(
                "call: refused attempt={} route={} customer={customer} cause={} ran={} \
                 status={} retry_ms={} waited_ms={} takeup={}",
                call.meta.attempt,
                call.route.name,
                refusal.cause.name(),
                if refusal.ran == Ran::No { "no" } else { "maybe" },
                refusal.status().as_u16(),
                refusal.retry_after.map_or(0, |retry| retry.as_millis()),
                (now - call.start).as_millis(),
                call.meta.takeup.is_some(),
            );
            router.metrics.record_response(
                service,
                customer,
                refusal.cause.name(),
                now - call.start,
            );
            if refusal.ran == Ran::No && refusal.cause != Cause::OverLimit {
                refund_quota(router, &call);
            }
            refusal_response(router, &call.meta.attempt, &refusal)
        }
    }
}

async fn run(router: &Arc<Router>, call: &Arc<Call>) -> Result<Response<ResponseBody>, Refusal> {
    router.count_request(Instant::now(), &call.service.name);
    if call.service.engine.is_some() {
        generate::run(router, call).await
    } else {
        plain::run(router, call).await
    }
}

/// Runs a part of a request's task; none if it panics, so that the caller still gets a refusal.
async fn catch_panic<T>(task: impl Future<Output = T>) -> Option<T> {
    let mut task = pin!(task);
    let poll = std::future::poll_fn(|context| {
        let poll = panic::catch_unwind(AssertUnwindSafe(|| task.as_mut().poll(context)));
        poll.map_or(Poll::Ready(None), |poll| poll.map(Some))
    });
    let result = poll.await;
    if result.is_none() {
        log::error!("call: the task of a request panicked");
    }
    result
}

/// Routes and authorizes a request, and reads its body.
async fn admit(
    router: &Arc<Router>,
    start: Instant,
    head: request::Parts,
    body: &mut Incoming,
    meta: RequestMeta,
) -> Result<Call, Refusal> {
    check_framing(&head)?;
    let config = router.config().ok_or_else(not_configured)?;
    authorize(router, &config, &head, &meta)?;
    let body = body::read(body, config.bounds.body_bytes, &router.bodies).await?;
    // The configuration may have changed while the body was read.
    let config = router.config().unwrap_or(config);
    let (route, customer) = authorize(router, &config, &head, &meta)?;
    let service = choose_service(&config, &route).ok_or_else(not_configured)?;
    let timeout = meta.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = start + timeout;
    let customer_homes = customer.as_ref().map_or(&[][..], |customer| &customer.homes);
    let regions = router.settings.regions.allowed(&route.homes, customer_homes);
    let may_have_run = AtomicBool::new(false);
    Ok(Call { head, body, meta, route, service, customer, regions, start, deadline, may_have_run })
}

/// Authorizes a request again after it has waited in a queue.
pub fn reauthorize(router: &Router, call: &Call) -> Result<(), Refusal> {
    let Some(config) = router.config() else { return Ok(()) };
    authorize(router, &config, &call.head, &call.meta).map(|_| ())
}

type Authorized = (Arc<Route>, Option<Arc<Customer>>);

fn authorize(
    router: &Router,
    config: &ConfigSnapshot,
    head: &request::Parts,
    meta: &RequestMeta,
) -> Result<Authorized, Refusal> {
    // With a configuration that may be stale, a missing route or key proves nothing.
    let denied = |cause| {
        let proven = router.can_deny(Instant::now());
        if proven { Refusal::not_run(cause) } else { not_configured() }
    };
    let host = host_name(head).ok_or(Refusal::not_run(Cause::Malformed))?;
    let route = config.route(host, head.uri.path()).ok_or_else(|| denied(Cause::NoRoute))?;
    if route.public || config.customers.is_empty() {
        return Ok((route.clone(), None));
    }
    let key = meta.key.as_deref().ok_or_else(|| denied(Cause::BadKey))?;
    let customer = config.keys.get(key).ok_or_else(|| denied(Cause::BadKey))?;
    Ok((route.clone(), Some(customer.clone())))
}

fn not_configured() -> Refusal {
    Refusal::not_run(Cause::NotConfigured).with_retry_after(DEFAULT_RETRY_AFTER)
}

/// Refusal of a request that has no response when the process ends.
fn stopping(ran: Ran) -> Refusal {
    match ran {
        Ran::No => Refusal::not_run(Cause::Stopping).with_retry_after(DEFAULT_RETRY_AFTER),
        Ran::Maybe => Refusal::new(Cause::Stopping, ran),
    }
}

/// Refuses requests whose body length or host is ambiguous.
fn check_framing(head: &request::Parts) -> Result<(), Refusal> {
    let headers = &head.headers;
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let hosts = headers.get_all(header::HOST).iter().count();
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

/// Draws one of a route's services at random, by weight.
fn choose_service(config: &ConfigSnapshot, route: &Route) -> Option<Arc<Service>> {
    let candidates = route.split.iter().filter(|(name, _)| config.services.contains_key(name));
    let total: u64 = candidates.clone().map(|(_, weight)| u64::from(*weight)).sum();
    let mut point = if total == 0 { 0 } else { rand::random_range(0..total) };
    for (name, weight) in candidates {
        let weight = u64::from(*weight);
        if point < weight || total == 0 {
            return config.services.get(name).cloned();
        }
        point -= weight;
    }
    None
}

/// Number of tokens charged to the customer's rate limit.
fn charged_tokens(call: &Call, customer: &Customer) -> u64 {
    call.meta.tokens.map_or(customer.flat_tokens, Tokens::total)
}

async fn charge_quota(router: &Router, call: &Call) -> Result<(), Refusal> {
    let Some(customer) = &call.customer else { return Ok(()) };
    let tokens = charged_tokens(call, customer);
    let share = router.share();
    let draw = rand::random_range(0.0..1.0);
    let charged =
        router.with_quota(|quota| quota.take(Instant::now(), customer, share, tokens, draw));
    if charged.is_ok() && call.meta.tokens.is_some() {
        // Large requests can exhaust a limit between two periodic reports to other hosts.
        router.notify_usage();
    }
    let Err(retry) = charged else { return Ok(()) };
    let refusal = Refusal::not_run(Cause::OverLimit).with_retry_after(retry);
    if call.meta.takeup.is_none() || !call.route.kind.may_run_again() {
        return Err(refusal);
    }
    await_tokens(router, call, customer, tokens).await.ok_or(refusal)
}

/// Waits for the tokens of a request that takes a stream up; none if they are not there before its
/// caller gives up.
async fn await_tokens(
    router: &Router,
    call: &Call,
    customer: &Arc<Customer>,
    tokens: u64,
) -> Option<()> {
    let start = Instant::now();
    let wait = relay::idle_timeout(&call.route).min(call.remaining(start).mul_f64(MAX_WAIT_PART));
    router.with_quota(|quota| quota.await_tokens(customer, tokens));
    let _guard = TokenWait { router, customer, tokens };
    while start.elapsed() < wait {
        tokio::time::sleep(TOKEN_POLL).await;
        let (now, share) = (Instant::now(), router.share());
        let draw = rand::random_range(0.0..1.0);
        if router.with_quota(|quota| quota.take_awaited(now, customer, share, tokens, draw)) {
            router.notify_usage();
            return Some(());
        }
    }
    None
}

/// A request that waits for tokens; they are no longer set aside on drop.
struct TokenWait<'a> {
    router: &'a Router,
    customer: &'a Customer,
    tokens: u64,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        self.router.with_quota(|quota| quota.end_wait(self.customer, self.tokens));
    }
}

fn refund_quota(router: &Router, call: &Call) {
    let Some(customer) = &call.customer else { return };
    let tokens = charged_tokens(call, customer);
    router.with_quota(|quota| quota.refund(&customer.name, tokens));
}

fn refusal_response(router: &Router, attempt: &str, refusal: &Refusal) -> Response<ResponseBody> {
    let mut response = Response::new(relay::full_body(Bytes::new()));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    if let Some(retry) = refusal.retry_after {
        set_retry_after(headers, retry);
    }
    if ends_connection(refusal.cause) {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    router.dialect.mark_refusal(headers, attempt);
    response
}

fn set_retry_after(headers: &mut HeaderMap, retry: Duration) {
    let text = format!("{:.2}", retry.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(header::RETRY_AFTER, value);
    }
}
