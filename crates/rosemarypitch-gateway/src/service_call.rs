//! Runs one call to a plain service.
//!
//! A call that is not idempotent uses a new connection and is never retried after its first
//! byte may have been sent. If it has an `Idempotency-Key`, the key is claimed before the
//! call is sent, and the answer is recorded afterwards.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use rosemarypitch_config::{Caller, Digest, Document, Service, UpstreamKind, UpstreamState};
use rosemarypitch_once::{ClaimReply, ClaimRequest, RecordedResponse};
use rosemarypitch_route::{Executed, Progress};
use rosemarypitch_upstream::{Endpoint, ErrorKind, Reuse, UpstreamError};
use tokio::time::Instant;

use crate::guards::DebitGuard;
use crate::host::Host;
use crate::key_scan;
use crate::limited_body::{self, BodyLimit, BoxBody, LimitedBody, ReadError};
use crate::problem::{Problem, ProblemKind};

/// Request headers that are forwarded to the service.
const FORWARDED_REQUEST_HEADERS: [HeaderName; 8] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::CONTENT_TYPE,
    header::IF_MATCH,
    header::IF_NONE_MATCH,
    header::RANGE,
];
/// Response headers that are forwarded to the caller.
const FORWARDED_RESPONSE_HEADERS: [HeaderName; 12] = [
    header::ACCEPT_RANGES,
    header::ALLOW,
    header::CACHE_CONTROL,
    header::CONTENT_DISPOSITION,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::CONTENT_RANGE,
    header::CONTENT_TYPE,
    header::ETAG,
    header::LAST_MODIFIED,
    header::LOCATION,
    header::RETRY_AFTER,
];
/// Request header with the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Maximum size of a body that is buffered before it is sent, in bytes.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;
/// Maximum size of an answer body that is recorded for replay, in bytes.
const MAX_RECORDED_BYTES: usize = 2 << 10;
/// How long after its claim a call may still be sent.
const CLAIM_VALIDITY: Duration = Duration::from_secs(600);
/// How long a failed server is chosen only if no other is available.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(2);
/// Maximum number of servers tried for a call that may be retried.
const MAX_SERVERS_TRIED: usize = 3;
/// Maximum wait for tokens of the customer's limit.
const MAX_LIMIT_WAIT: Duration = Duration::from_secs(2);

/// Call to a plain service.
pub struct ServiceCall {
    /// Name of the service in the configuration.
    pub name: Arc<str>,
    /// Configuration of the service.
    pub service: Service,
    /// Authenticated caller; `None` on routes that require no key.
    pub caller: Option<Caller>,
    /// Caller's key in plain text, which must not be forwarded.
    pub key: Option<String>,
    /// Identifier of the request, which also identifies the holder of its claim.
    pub request: String,
}

/// Load and recent failures of the servers of plain services.
#[derive(Debug, Default)]
pub struct Servers {
    states: Mutex<HashMap<Arc<str>, ServerState>>,
}

#[derive(Debug, Default)]
struct ServerState {
    open_calls: u32,
    avoid_until: Option<Instant>,
}

impl ServiceCall {
    /// Runs the call and returns the response for the caller.
    pub async fn run(
        self,
        host: &Arc<Host>,
        request: Request<Incoming>,
    ) -> Result<Response<BoxBody>, Problem> {
        let deadline = Instant::now() + Duration::from_millis(self.service.deadline_ms);
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
        if self.key.as_deref().is_some_and(|key| key_scan::target_contains(target, key)) {
            return Err(ReadError::ContainsKey.into());
        }
        let debit_guard = self.debit(host).await?;
        let safe = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
        let retryable = safe || self.service.idempotent;
        let claim_key = match head.headers.get(IDEMPOTENCY_KEY) {
            Some(value) if !retryable => Some(self.claim_key(value.as_bytes())?),
            _ => None,
        };
        let outgoing = OutgoingRequest {
            method: head.method,
            target: self.service_target(target),
            headers: filter_headers(&head.headers, &FORWARDED_REQUEST_HEADERS),
            reuse: if retryable { Reuse::Pooled } else { Reuse::Fresh },
            retryable,
        };
        let result = match claim_key {
            Some(key) => self.run_claimed(host, outgoing, body, deadline, key).await,
            None => self.run_unclaimed(host, outgoing, body, deadline).await,
        };
        if let Some(mut debit_guard) = debit_guard
            && result.as_ref().err().is_none_or(|problem| problem.executed != Executed::No)
        {
            debit_guard.set_used(self.service.cost);
        }
        result
    }

    async fn debit(&self, host: &Arc<Host>) -> Result<Option<DebitGuard>, Problem> {
        let (Some(caller), 1..) = (&self.caller, self.service.cost) else { return Ok(None) };
        let debit = host.limits.debit(&caller.customer, self.service.cost, MAX_LIMIT_WAIT);
        let result = tokio::select! {
            result = debit => result,
            () = host.until_revoked(&caller.digest) => {
                let detail = "the key was withdrawn while the request waited";
                return Err(Problem::new(ProblemKind::BadKey, detail));
            }
        };
        match result {
            Ok(granted) => Ok(Some(DebitGuard::new(host.clone(), granted))),
            Err(after) => {
                let detail = format!("the limit of {} is spent", caller.customer);
                Err(Problem::new(ProblemKind::LimitSpent, detail).with_retry_after(after))
            }
        }
    }

    async fn run_unclaimed(
        &self,
        host: &Arc<Host>,
        outgoing: OutgoingRequest,
        body: Incoming,
        deadline: Instant,
    ) -> Result<Response<BoxBody>, Problem> {
        let size = body.size_hint().exact();
        if size.is_some_and(|size| size > self.service.max_body) {
            return Err(ReadError::Limit(BodyLimit::Size).into());
        }
        let key = self.key.as_deref();
        if size.is_some_and(|size| size <= MAX_BUFFERED_BYTES) {
            let bytes = limited_body::read(body, self.service.max_body, deadline, key).await?;
            let response = self.send_buffered(host, &outgoing, bytes, deadline).await?;
            return Ok(forward_response(response, deadline));
        }
        let body = LimitedBody::new(body, self.service.max_body, deadline, key);
        let server = self.choose_server(host, &[])?;
        let sent =
            self.send(host, &server, outgoing.request(body.boxed_unsync()), &outgoing, deadline);
        let response = sent.await.map_err(|error| upstream_problem(&error))?;
        Ok(forward_response(response, deadline))
    }

    /// Sends a call with a buffered body, and retries it on other servers if it certainly was
    /// not executed or is retryable.
    async fn send_buffered(
        &self,
        host: &Arc<Host>,
        outgoing: &OutgoingRequest,
        bytes: Bytes,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Problem> {
        let mut tried: Vec<Arc<str>> = Vec::new();
        let mut last = None;
        while tried.len() < MAX_SERVERS_TRIED {
            let server = match self.choose_server(host, &tried) {
                Ok(server) => server,
                Err(problem) => return Err(last.unwrap_or(problem)),
            };
            tried.push(server.name.clone());
            let request = outgoing.request(limited_body::full(bytes.clone()));
            match self.send(host, &server, request, outgoing, deadline).await {
                Ok(response) => return Ok(response),
                Err(error) => {
                    log::info!("service: {}: {error}", self.request);
                    host.metrics.count_attempt("service", error.executed().as_str());
                    let may_retry = error.executed() == Executed::No || outgoing.retryable;
                    let problem = upstream_problem(&error);
                    if !may_retry || error.kind == ErrorKind::Timeout {
                        return Err(problem);
                    }
                    last = Some(problem);
                }
            }
        }
        Err(last.unwrap_or_else(|| Problem::new(ProblemKind::Unavailable, "no server is left")))
    }

    async fn send(
        &self,
        host: &Arc<Host>,
        server: &Endpoint,
        request: Request<BoxBody>,
        outgoing: &OutgoingRequest,
        deadline: Instant,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let _open_call = host.servers.track_call(&server.name);
        let timeout = deadline.saturating_duration_since(Instant::now());
        let result = host.services.send(server, request, outgoing.reuse, timeout).await;
        if result.is_err() {
            host.servers.mark_failed(&server.name);
        }
        result
    }

    /// Runs a call under an idempotency key.
    async fn run_claimed(
        &self,
        host: &Arc<Host>,
        outgoing: OutgoingRequest,
        body: Incoming,
        deadline: Instant,
        key: Arc<str>,
    ) -> Result<Response<BoxBody>, Problem> {
        let caller_key = self.key.as_deref();
        let bytes = limited_body::read(body, self.service.max_body, deadline, caller_key).await?;
        let print = outgoing.fingerprint(&bytes);
        let by: Arc<str> = Arc::from(self.request.as_str());
        let claimed = Instant::now();
        let claim_request =
            ClaimRequest::Claim { key: key.clone(), by: by.clone(), fingerprint: print };
        match host.claims.submit(claim_request).await {
            ClaimReply::Claimed => {}
            ClaimReply::Done(answer) => return replay(answer),
            reply => return Err(claim_problem(reply)),
        }
        // The process may have been paused here for so long that the claim has expired.
        if claimed.elapsed() > CLAIM_VALIDITY {
            let detail = "the idempotency key's claim is too old to send the call";
            return Err(Problem::new(ProblemKind::Unavailable, detail));
        }
        // The call and its recording continue if the caller disconnects.
        let (call, host) = (self.duplicate(), host.clone());
        let run = tokio::spawn(async move {
            call.send_claimed(&host, outgoing, bytes, deadline, key, by).await
        });
        let lost = || Problem::new(ProblemKind::UpstreamFailed, "the call broke off");
        run.await.unwrap_or_else(|_| Err(lost().with_executed(Executed::Maybe)))
    }

    async fn send_claimed(
        &self,
        host: &Arc<Host>,
        outgoing: OutgoingRequest,
        bytes: Bytes,
        deadline: Instant,
        key: Arc<str>,
        by: Arc<str>,
    ) -> Result<Response<BoxBody>, Problem> {
        let response = match self.send_buffered(host, &outgoing, bytes, deadline).await {
            Ok(response) => response,
            Err(problem) => {
                if problem.executed == Executed::No {
                    host.claims.submit(ClaimRequest::Release { key, by }).await;
                }
                return Err(problem);
            }
        };
        let (head, body) = response.into_parts();
        let lost = |_| {
            let detail = "the service's answer broke off";
            Problem::new(ProblemKind::UpstreamFailed, detail).with_executed(Executed::Yes)
        };
        let time = deadline.saturating_duration_since(Instant::now());
        let body = tokio::time::timeout(time, body.collect()).await.map_err(|_| {
            let detail = "the service's answer took too long";
            Problem::new(ProblemKind::UpstreamSlow, detail).with_executed(Executed::Yes)
        })?;
        let body = body.map_err(lost)?.to_bytes();
        let answer = record_answer(&head, &body);
        host.claims.submit(ClaimRequest::Finish { key, by, response: answer }).await;
        let mut response = Response::new(limited_body::full(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = filter_headers(&head.headers, &FORWARDED_RESPONSE_HEADERS);
        Ok(response)
    }

    /// Chooses the server with the fewest open calls, preferring servers without a recent
    /// failure and then those in this host's data centre.
    fn choose_server(&self, host: &Arc<Host>, except: &[Arc<str>]) -> Result<Endpoint, Problem> {
        let snapshot = host.snapshot();
        let now = Instant::now();
        let states = host.servers.lock();
        let servers = servers(&snapshot.document, &self.name);
        let candidates = servers.filter(|(endpoint, _)| !except.contains(&endpoint.name));
        let chosen = candidates.min_by_key(|(endpoint, data_centre)| {
            let state = states.get(&endpoint.name);
            let avoided =
                state.and_then(|state| state.avoid_until).is_some_and(|until| now < until);
            let remote = *data_centre != host.settings.data_centre;
            (avoided, remote, state.map_or(0, |state| state.open_calls))
        });
        let unavailable = || {
            let detail = format!("no server of {} takes calls", self.name);
            Problem::new(ProblemKind::Unavailable, detail).with_retry_after(Duration::from_secs(1))
        };
        chosen.map(|(endpoint, _)| endpoint).ok_or_else(unavailable)
    }

    /// Strips the service's prefix from the path and query.
    fn service_target(&self, target: &str) -> String {
        let rest = target.strip_prefix(self.service.prefix.as_ref()).unwrap_or(target);
        if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") }
    }

    fn claim_key(&self, value: &[u8]) -> Result<Arc<str>, Problem> {
        let text = std::str::from_utf8(value)
            .ok()
            .filter(|text| !text.is_empty() && text.len() <= MAX_KEY_BYTES);
        let invalid =
            || Problem::new(ProblemKind::BadRequest, "Idempotency-Key needs 1 to 255 bytes");
        let text = text.ok_or_else(invalid)?;
        let customer = self.caller.as_ref().map_or("", |caller| caller.customer.as_ref());
        let digest = Digest::of(&format!("{customer}\n{}\n{text}", self.name));
        Ok(Arc::from(digest.text()))
    }

    fn duplicate(&self) -> Self {
        Self {
            name: self.name.clone(),
            service: self.service.clone(),
            caller: self.caller.clone(),
            key: self.key.clone(),
            request: self.request.clone(),
        }
    }
}

impl Servers {
    fn track_call(&self, name: &Arc<str>) -> OpenCall<'_> {
        self.lock().entry(name.clone()).or_default().open_calls += 1;
        OpenCall { servers: self, name: name.clone() }
    }

    fn mark_failed(&self, name: &Arc<str>) {
        let until = Instant::now() + FAILURE_COOLDOWN;
        self.lock().entry(name.clone()).or_default().avoid_until = Some(until);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, ServerState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard of one open call, which counts until it is dropped.
struct OpenCall<'a> {
    servers: &'a Servers,
    name: Arc<str>,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.servers.lock().get_mut(&self.name) {
            state.open_calls = state.open_calls.saturating_sub(1);
        }
    }
}

/// Request to the service, without its body.
struct OutgoingRequest {
    method: Method,
    target: String,
    headers: HeaderMap,
    reuse: Reuse,
    retryable: bool,
}

impl OutgoingRequest {
    fn request(&self, body: BoxBody) -> Request<BoxBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        request
    }

    /// Returns a digest of the request, to detect a key that is reused for another one.
    fn fingerprint(&self, body: &[u8]) -> Arc<str> {
        let body = Digest::of_bytes(body);
        let text = format!("{}\n{}\n{}", self.method, self.target, body.text());
        Arc::from(Digest::of(&text).text())
    }
}

fn servers<'a>(
    document: &'a Document,
    service: &'a Arc<str>,
) -> impl Iterator<Item = (Endpoint, Arc<str>)> + 'a {
    document.upstreams.iter().filter_map(move |(name, upstream)| {
        let serves =
            matches!(&upstream.kind, UpstreamKind::Service { service: of } if of == service);
        let endpoint =
            Endpoint { name: name.clone(), address: upstream.address, tls: upstream.tls };
        let available = serves && upstream.state == UpstreamState::Serving;
        available.then(|| (endpoint, upstream.data_centre.clone()))
    })
}

fn filter_headers(headers: &HeaderMap, names: &[HeaderName]) -> HeaderMap {
    let mut filtered = HeaderMap::new();
    for name in names {
        for value in headers.get_all(name) {
            filtered.append(name.clone(), value.clone());
        }
    }
    filtered
}

fn forward_response(response: Response<Incoming>, deadline: Instant) -> Response<BoxBody> {
    let (head, body) = response.into_parts();
    let body = LimitedBody::new(body, u64::MAX, deadline, None).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = filter_headers(&head.headers, &FORWARDED_RESPONSE_HEADERS);
    response
}

fn record_answer(head: &http::response::Parts, body: &Bytes) -> RecordedResponse {
    let media_type = head.headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let text = std::str::from_utf8(body).ok().filter(|text| text.len() <= MAX_RECORDED_BYTES);
    RecordedResponse {
        status: head.status.as_u16(),
        media_type: media_type.map(Arc::from),
        body: text.map(Arc::from),
    }
}

/// Replays the recorded answer of an earlier call.
fn replay(answer: RecordedResponse) -> Result<Response<BoxBody>, Problem> {
    let Some(body) = answer.body else {
        let detail =
            format!("the call has run with status {}; its answer was not kept", answer.status);
        return Err(Problem::new(ProblemKind::Conflict, detail).with_executed(Executed::Yes));
    };
    let builder = Response::builder()
        .status(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK))
        .header("idempotent-replayed", "true");
    let builder = match &answer.media_type {
        Some(media_type) => builder.header(header::CONTENT_TYPE, media_type.as_ref()),
        None => builder,
    };
    builder.body(limited_body::full(Bytes::copy_from_slice(body.as_bytes()))).map_err(|_| {
        let detail = "the recorded answer cannot be given";
        Problem::new(ProblemKind::Conflict, detail).with_executed(Executed::Yes)
    })
}

fn claim_problem(reply: ClaimReply) -> Problem {
    match reply {
        ClaimReply::Mismatch => {
            let detail = "the idempotency key was used for another request";
            Problem::new(ProblemKind::Invalid, detail)
        }
        ClaimReply::Taken(_) => {
            let detail = "a call with this idempotency key runs, or may have run";
            Problem::new(ProblemKind::Conflict, detail).with_executed(Executed::Maybe)
        }
        _ => {
            let detail = "the idempotency key cannot be claimed: the platform does not answer";
            Problem::new(ProblemKind::Unavailable, detail).with_retry_after(Duration::from_secs(1))
        }
    }
}

fn upstream_problem(error: &UpstreamError) -> Problem {
    let mut progress = Progress::Queued;
    if error.executed() != Executed::No {
        progress.advance(Progress::Sent);
    }
    let kind = match error.kind {
        ErrorKind::Timeout => ProblemKind::UpstreamSlow,
        _ => ProblemKind::UpstreamFailed,
    };
    Problem::new(kind, error.to_string()).with_executed(progress.executed())
}
