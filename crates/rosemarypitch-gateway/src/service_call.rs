//! The life of one call to a plain service.
//!
//! A call that may not be repeated goes out once, over a connection of its own, and is
//! not sent again after its first byte may have left. With an `Idempotency-Key` the key
//! is claimed before the call is sent and the outcome recorded after it.

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
use rosemarypitch_upstream::{EngineAddress, ErrorKind, Reuse, UpstreamError};
use tokio::time::Instant;

use crate::bounded::{self, AnyBody, Bound, Bounded, ReadError};
use crate::guards::DebitGuard;
use crate::host::Host;
use crate::leak;
use crate::problem::{Problem, ProblemKind};

/// Head fields of a request that reach the service.
const REQUEST_FIELDS: [HeaderName; 8] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::CONTENT_TYPE,
    header::IF_MATCH,
    header::IF_NONE_MATCH,
    header::RANGE,
];
/// Head fields of a response that reach the caller.
const RESPONSE_FIELDS: [HeaderName; 12] = [
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
/// The idempotency key's field.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Largest body that is read whole before it is sent, in bytes.
const BUFFERED_BYTES: u64 = 64 << 10;
/// Largest answer that is recorded for repeats, in bytes.
const RECORDED_BYTES: usize = 2 << 10;
/// Time after a claim within which its call must be sent.
const CLAIM_VALID: Duration = Duration::from_secs(600);
/// Time for which a server that failed gets calls only if no other is left.
const PENALTY: Duration = Duration::from_secs(2);
/// Servers tried for a call that surely has not run.
const MAX_TRIES: usize = 3;
/// Longest wait for a customer's limit.
const LIMIT_WAIT: Duration = Duration::from_secs(2);

/// A call to a plain service.
pub struct ServiceCall {
    /// Name of the service.
    pub name: Arc<str>,
    /// The service.
    pub service: Service,
    /// Who calls, unless the route is open.
    pub caller: Option<Caller>,
    /// The caller's key in clear, which must not be passed on.
    pub key: Option<String>,
    /// Identifier of the request.
    pub request: String,
}

/// What is known of plain services' servers.
#[derive(Debug, Default)]
pub struct Servers {
    states: Mutex<HashMap<Arc<str>, ServerState>>,
}

#[derive(Debug, Default)]
struct ServerState {
    open: u32,
    shunned: Option<Instant>,
}

impl ServiceCall {
    /// Makes the call.
    pub async fn run(
        self,
        host: &Arc<Host>,
        request: Request<Incoming>,
    ) -> Result<Response<AnyBody>, Problem> {
        let deadline = Instant::now() + Duration::from_millis(self.service.deadline_ms);
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
        if self.key.as_deref().is_some_and(|key| leak::target_contains(target, key)) {
            return Err(ReadError::Leak.into());
        }
        let debited = self.debit(host).await?;
        let safe = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
        let repeatable = safe || self.service.idempotent;
        let claim_key = match head.headers.get(IDEMPOTENCY_KEY) {
            Some(value) if !repeatable => Some(self.claim_key(value.as_bytes())?),
            _ => None,
        };
        let outgoing = Outgoing {
            method: head.method,
            target: self.rest(target),
            fields: allowed(&head.headers, &REQUEST_FIELDS),
            reuse: if repeatable { Reuse::Pooled } else { Reuse::Fresh },
            repeatable,
        };
        let result = match claim_key {
            Some(key) => self.run_claimed(host, outgoing, body, deadline, key).await,
            None => self.run_plain(host, outgoing, body, deadline).await,
        };
        if let Some(mut debited) = debited
            && result.as_ref().err().is_none_or(|problem| problem.ran != Executed::No)
        {
            debited.set_used(self.service.cost);
        }
        result
    }

    async fn debit(&self, host: &Arc<Host>) -> Result<Option<DebitGuard>, Problem> {
        let (Some(caller), 1..) = (&self.caller, self.service.cost) else { return Ok(None) };
        let debit = host.limits.debit(&caller.customer, self.service.cost, LIMIT_WAIT);
        let result = tokio::select! {
            result = debit => result,
            () = host.until_withdrawn(&caller.digest) => {
                let detail = "the key was withdrawn while the request waited";
                return Err(Problem::new(ProblemKind::BadKey, detail));
            }
        };
        match result {
            Ok(ticket) => Ok(Some(DebitGuard::new(host.clone(), ticket))),
            Err(after) => {
                let detail = format!("the limit of {} is spent", caller.customer);
                Err(Problem::new(ProblemKind::LimitSpent, detail).retry(after))
            }
        }
    }

    async fn run_plain(
        &self,
        host: &Arc<Host>,
        outgoing: Outgoing,
        body: Incoming,
        deadline: Instant,
    ) -> Result<Response<AnyBody>, Problem> {
        let size = body.size_hint().exact();
        if size.is_some_and(|size| size > self.service.max_body) {
            return Err(ReadError::Bound(Bound::Size).into());
        }
        let key = self.key.as_deref();
        if size.is_some_and(|size| size <= BUFFERED_BYTES) {
            let bytes = bounded::read(body, self.service.max_body, deadline, key).await?;
            let response = self.send_whole(host, &outgoing, bytes, deadline).await?;
            return Ok(answer(response, deadline));
        }
        let body = Bounded::new(body, self.service.max_body, deadline, key);
        let server = self.choose(host, &[])?;
        let sent =
            self.send(host, &server, outgoing.request(body.boxed_unsync()), &outgoing, deadline);
        let response = sent.await.map_err(|error| failed(&error))?;
        Ok(answer(response, deadline))
    }

    /// Sends a call whose body is at hand, again to another server while it surely has not
    /// run, or when it may be repeated.
    async fn send_whole(
        &self,
        host: &Arc<Host>,
        outgoing: &Outgoing,
        bytes: Bytes,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Problem> {
        let mut tried: Vec<Arc<str>> = Vec::new();
        let mut last = None;
        while tried.len() < MAX_TRIES {
            let server = match self.choose(host, &tried) {
                Ok(server) => server,
                Err(problem) => return Err(last.unwrap_or(problem)),
            };
            tried.push(server.name.clone());
            let request = outgoing.request(bounded::full(bytes.clone()));
            match self.send(host, &server, request, outgoing, deadline).await {
                Ok(response) => return Ok(response),
                Err(error) => {
                    log::info!("service: {}: {error}", self.request);
                    host.metrics.attempt("service", error.ran().as_str());
                    let again = error.ran() == Executed::No || outgoing.repeatable;
                    let problem = failed(&error);
                    if !again || error.kind == ErrorKind::Timeout {
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
        server: &EngineAddress,
        request: Request<AnyBody>,
        outgoing: &Outgoing,
        deadline: Instant,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let _open = host.servers.open(&server.name);
        let limit = deadline.saturating_duration_since(Instant::now());
        let result = host.services.send(server, request, outgoing.reuse, limit).await;
        if result.is_err() {
            host.servers.shun(&server.name);
        }
        result
    }

    /// Makes a call under an idempotency key.
    async fn run_claimed(
        &self,
        host: &Arc<Host>,
        outgoing: Outgoing,
        body: Incoming,
        deadline: Instant,
        key: Arc<str>,
    ) -> Result<Response<AnyBody>, Problem> {
        let key_text = self.key.as_deref();
        let bytes = bounded::read(body, self.service.max_body, deadline, key_text).await?;
        let print = outgoing.print(&bytes);
        let by: Arc<str> = Arc::from(self.request.as_str());
        let claimed = Instant::now();
        let ask = ClaimRequest::Claim { key: key.clone(), by: by.clone(), fingerprint: print };
        match host.claims.submit(ask).await {
            ClaimReply::Claimed => {}
            ClaimReply::Done(answer) => return replayed(answer),
            reply => return Err(not_claimed(reply)),
        }
        // A host that was paused here must not send a call whose claim may have expired.
        if claimed.elapsed() > CLAIM_VALID {
            let detail = "the idempotency key's claim is too old to send the call";
            return Err(Problem::new(ProblemKind::Unavailable, detail));
        }
        // The call and its record go on when the caller is gone.
        let (call, host) = (self.again(), host.clone());
        let run = tokio::spawn(async move {
            call.send_claimed(&host, outgoing, bytes, deadline, key, by).await
        });
        let lost = || Problem::new(ProblemKind::UpstreamFailed, "the call broke off");
        run.await.unwrap_or_else(|_| Err(lost().ran(Executed::Maybe)))
    }

    async fn send_claimed(
        &self,
        host: &Arc<Host>,
        outgoing: Outgoing,
        bytes: Bytes,
        deadline: Instant,
        key: Arc<str>,
        by: Arc<str>,
    ) -> Result<Response<AnyBody>, Problem> {
        let response = match self.send_whole(host, &outgoing, bytes, deadline).await {
            Ok(response) => response,
            Err(problem) => {
                if problem.ran == Executed::No {
                    host.claims.submit(ClaimRequest::Release { key, by }).await;
                }
                return Err(problem);
            }
        };
        let (head, body) = response.into_parts();
        let lost = |_| {
            let detail = "the service's answer broke off";
            Problem::new(ProblemKind::UpstreamFailed, detail).ran(Executed::Yes)
        };
        let time = deadline.saturating_duration_since(Instant::now());
        let body = tokio::time::timeout(time, body.collect()).await.map_err(|_| {
            let detail = "the service's answer took too long";
            Problem::new(ProblemKind::UpstreamSlow, detail).ran(Executed::Yes)
        })?;
        let body = body.map_err(lost)?.to_bytes();
        let answer = record(&head, &body);
        host.claims.submit(ClaimRequest::Finish { key, by, response: answer }).await;
        let mut response = Response::new(bounded::full(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = allowed(&head.headers, &RESPONSE_FIELDS);
        Ok(response)
    }

    /// The server with the fewest open calls, in the host's own data centre if one is
    /// well there.
    fn choose(&self, host: &Arc<Host>, except: &[Arc<str>]) -> Result<EngineAddress, Problem> {
        let snapshot = host.snapshot();
        let now = Instant::now();
        let states = host.servers.lock();
        let servers = servers(&snapshot.document, &self.name);
        let open = servers.filter(|(address, _)| !except.contains(&address.name));
        let chosen = open.min_by_key(|(address, data_centre)| {
            let state = states.get(&address.name);
            let shunned = state.and_then(|state| state.shunned).is_some_and(|until| now < until);
            let far = *data_centre != host.settings.data_centre;
            (shunned, far, state.map_or(0, |state| state.open))
        });
        let none = || {
            let detail = format!("no server of {} takes calls", self.name);
            Problem::new(ProblemKind::Unavailable, detail).retry(Duration::from_secs(1))
        };
        chosen.map(|(address, _)| address).ok_or_else(none)
    }

    /// The path and query below the service's prefix.
    fn rest(&self, target: &str) -> String {
        let rest = target.strip_prefix(self.service.prefix.as_ref()).unwrap_or(target);
        if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") }
    }

    fn claim_key(&self, value: &[u8]) -> Result<Arc<str>, Problem> {
        let text = std::str::from_utf8(value)
            .ok()
            .filter(|text| !text.is_empty() && text.len() <= MAX_KEY_BYTES);
        let bad = || Problem::new(ProblemKind::BadRequest, "Idempotency-Key needs 1 to 255 bytes");
        let text = text.ok_or_else(bad)?;
        let customer = self.caller.as_ref().map_or("", |caller| caller.customer.as_ref());
        let digest = Digest::of(&format!("{customer}\n{}\n{text}", self.name));
        Ok(Arc::from(digest.text()))
    }

    fn again(&self) -> Self {
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
    fn open(&self, name: &Arc<str>) -> OpenCall<'_> {
        self.lock().entry(name.clone()).or_default().open += 1;
        OpenCall { servers: self, name: name.clone() }
    }

    fn shun(&self, name: &Arc<str>) {
        let until = Instant::now() + PENALTY;
        self.lock().entry(name.clone()).or_default().shunned = Some(until);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, ServerState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call under way, counted until it is dropped.
struct OpenCall<'a> {
    servers: &'a Servers,
    name: Arc<str>,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.servers.lock().get_mut(&self.name) {
            state.open = state.open.saturating_sub(1);
        }
    }
}

/// What goes out, but for the body.
struct Outgoing {
    method: Method,
    target: String,
    fields: HeaderMap,
    reuse: Reuse,
    repeatable: bool,
}

impl Outgoing {
    fn request(&self, body: AnyBody) -> Request<AnyBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.parse().unwrap_or_default();
        *request.headers_mut() = self.fields.clone();
        request
    }

    /// Digest of the request, by which a key used for another request is noticed.
    fn print(&self, body: &[u8]) -> Arc<str> {
        let body = Digest::of_bytes(body);
        let text = format!("{}\n{}\n{}", self.method, self.target, body.text());
        Arc::from(Digest::of(&text).text())
    }
}

fn servers<'a>(
    document: &'a Document,
    service: &'a Arc<str>,
) -> impl Iterator<Item = (EngineAddress, Arc<str>)> + 'a {
    document.upstreams.iter().filter_map(move |(name, upstream)| {
        let serves =
            matches!(&upstream.kind, UpstreamKind::Service { service: of } if of == service);
        let address =
            EngineAddress { name: name.clone(), address: upstream.address, tls: upstream.tls };
        let open = serves && upstream.state == UpstreamState::Serving;
        open.then(|| (address, upstream.data_centre.clone()))
    })
}

fn allowed(fields: &HeaderMap, names: &[HeaderName]) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for name in names {
        for value in fields.get_all(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

fn answer(response: Response<Incoming>, deadline: Instant) -> Response<AnyBody> {
    let (head, body) = response.into_parts();
    let body = Bounded::new(body, u64::MAX, deadline, None).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = allowed(&head.headers, &RESPONSE_FIELDS);
    response
}

fn record(head: &http::response::Parts, body: &Bytes) -> RecordedResponse {
    let media = head.headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let text = std::str::from_utf8(body).ok().filter(|text| text.len() <= RECORDED_BYTES);
    RecordedResponse {
        status: head.status.as_u16(),
        media_type: media.map(Arc::from),
        body: text.map(Arc::from),
    }
}

/// The recorded answer, for a repeat.
fn replayed(answer: RecordedResponse) -> Result<Response<AnyBody>, Problem> {
    let Some(body) = answer.body else {
        let detail =
            format!("the call has run with status {}; its answer was not kept", answer.status);
        return Err(Problem::new(ProblemKind::Conflict, detail).ran(Executed::Yes));
    };
    let builder = Response::builder()
        .status(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK))
        .header("idempotent-replayed", "true");
    let builder = match &answer.media_type {
        Some(media) => builder.header(header::CONTENT_TYPE, media.as_ref()),
        None => builder,
    };
    builder.body(bounded::full(Bytes::copy_from_slice(body.as_bytes()))).map_err(|_| {
        let detail = "the recorded answer cannot be given";
        Problem::new(ProblemKind::Conflict, detail).ran(Executed::Yes)
    })
}

fn not_claimed(reply: ClaimReply) -> Problem {
    match reply {
        ClaimReply::Mismatch => {
            let detail = "the idempotency key was used for another request";
            Problem::new(ProblemKind::Invalid, detail)
        }
        ClaimReply::Taken(_) => {
            let detail = "a call with this idempotency key runs, or may have run";
            Problem::new(ProblemKind::Conflict, detail).ran(Executed::Maybe)
        }
        _ => {
            let detail = "the idempotency key cannot be claimed: the platform does not answer";
            Problem::new(ProblemKind::Unavailable, detail).retry(Duration::from_secs(1))
        }
    }
}

fn failed(error: &UpstreamError) -> Problem {
    let mut progress = Progress::Queued;
    if error.ran() != Executed::No {
        progress.advance(Progress::Sent);
    }
    let kind = match error.kind {
        ErrorKind::Timeout => ProblemKind::UpstreamSlow,
        _ => ProblemKind::UpstreamFailed,
    };
    Problem::new(kind, error.to_string()).ran(progress.executed())
}
