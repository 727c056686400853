//! HTTP interface for callers: model requests, plain services and health checks.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use rosemarypitch_config::Caller;
use rosemarypitch_upstream::FinishReason;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::completion::{Completion, CompletionRequest, Output, Usage};
use crate::host::Host;
use crate::key_scan;
use crate::limited_body::{self, BodyError, BoxBody, ReadError};
use crate::openai::{self, ApiEndpoint, ResponseEncoder};
use crate::problem::{self, Problem, ProblemKind};
use crate::service_call::ServiceCall;

/// Response header with the request's identifier.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Handles one HTTP request of a caller.
pub async fn handle(
    host: Arc<Host>,
    request: Request<Incoming>,
) -> Result<Response<BoxBody>, Infallible> {
    let id = host.first_attempt().to_string();
    let path = request.uri().path().to_owned();
    let result = route(&host, &id, request).await;
    let mut response = result.unwrap_or_else(|problem| {
        log::info!("callers: {id} {path}: {problem}");
        problem_response(&problem, &id)
    });
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    Ok(response)
}

async fn route(
    host: &Arc<Host>,
    id: &str,
    request: Request<Incoming>,
) -> Result<Response<BoxBody>, Problem> {
    check_framing(request.headers())?;
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/healthz" => return Ok(json_response(&json!({ "status": "ok" }))),
        "/readyz" => return readiness(host),
        _ => {}
    }
    if !host.config.borrow().is_ready() {
        let detail = "the host has no configuration as new as its peers' yet";
        return Err(Problem::new(ProblemKind::Unavailable, detail));
    }
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/v1/chat/completions") => {
            create_completion(host, id, ApiEndpoint::Chat, request).await
        }
        (Method::POST, "/v1/completions") => {
            create_completion(host, id, ApiEndpoint::Text, request).await
        }
        (Method::GET, "/v1/models") => list_models(host, &request),
        (_, "/v1/chat/completions" | "/v1/completions" | "/v1/models") => {
            let detail = format!("{} is not served here", request.method());
            Err(Problem::new(ProblemKind::BadMethod, detail))
        }
        _ => call_service(host, id, &path, request).await,
    }
}

/// Rejects requests with an ambiguous body length or several keys.
fn check_framing(headers: &HeaderMap) -> Result<(), Problem> {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    if lengths > 1 || lengths == 1 && chunked {
        let detail = "the body's length is given in two ways";
        return Err(Problem::new(ProblemKind::BadRequest, detail));
    }
    if headers.get_all(header::AUTHORIZATION).iter().count() > 1 {
        return Err(Problem::new(ProblemKind::BadRequest, "two Authorization fields"));
    }
    Ok(())
}

fn readiness(host: &Arc<Host>) -> Result<Response<BoxBody>, Problem> {
    if host.is_ready() {
        return Ok(json_response(&json!({ "status": "ready" })));
    }
    Err(Problem::new(ProblemKind::Unavailable, "not ready, or stopping"))
}

fn list_models(
    host: &Arc<Host>,
    request: &Request<Incoming>,
) -> Result<Response<BoxBody>, Problem> {
    authenticate(host, request.headers())?;
    let snapshot = host.snapshot();
    let names = snapshot.document.models.keys();
    let data: Vec<Value> = names
        .map(|name| json!({ "id": name, "object": "model", "created": 0, "owned_by": "site" }))
        .collect();
    Ok(json_response(&json!({ "object": "list", "data": data })))
}

async fn create_completion(
    host: &Arc<Host>,
    id: &str,
    endpoint: ApiEndpoint,
    request: Request<Incoming>,
) -> Result<Response<BoxBody>, Problem> {
    let (caller, key) = authenticate(host, request.headers())?;
    let bounds = host.settings.bounds;
    let deadline = Instant::now() + bounds.body_time;
    let body =
        limited_body::read(request.into_body(), bounds.body_bytes as u64, deadline, Some(&key));
    let body = body.await?;
    let parsed = openai::Request::parse(&body)?;
    let prompt = parsed.prompt_text(endpoint)?;
    // JSON escapes can hide the key from the scan of the raw body.
    if key_scan::contains(prompt.as_bytes(), key.as_bytes()) {
        return Err(ReadError::ContainsKey.into());
    }
    let completion_request = CompletionRequest {
        caller,
        model: parsed.model.clone(),
        prompt,
        max_output: parsed.max_output(),
    };
    let encoder = ResponseEncoder {
        endpoint,
        id: format!("cmpl-{}", id.replace('/', "-")),
        model: parsed.model.clone(),
        created: unix_seconds(),
    };
    let completion = Completion::start(host.clone(), completion_request);
    if parsed.stream {
        streamed_response(completion, encoder, parsed.includes_usage(), id).await
    } else {
        buffered_response(completion, &encoder).await
    }
}

async fn buffered_response(
    mut completion: Completion,
    encoder: &ResponseEncoder,
) -> Result<Response<BoxBody>, Problem> {
    let mut text = String::new();
    while let Some(output) = completion.next().await {
        match output {
            Output::Token(token) => text.push_str(&token),
            Output::End(reason, usage) => {
                return Ok(json_response(&encoder.completion(&text, reason, usage)));
            }
            Output::Failed(problem) => return Err(problem),
        }
    }
    Err(Problem::new(ProblemKind::UpstreamFailed, "the request broke off"))
}

/// Streams a completion. It waits for the first token, so that an earlier failure still
/// determines the HTTP status.
async fn streamed_response(
    mut completion: Completion,
    encoder: ResponseEncoder,
    include_usage: bool,
    id: &str,
) -> Result<Response<BoxBody>, Problem> {
    let first = match completion.next().await {
        Some(Output::Failed(problem)) => return Err(problem),
        Some(output) => output,
        None => return Err(Problem::new(ProblemKind::UpstreamFailed, "the request broke off")),
    };
    let request = id.to_owned();
    let events = EventStream {
        completion,
        encoder,
        include_usage,
        request,
        first: Some(first),
        started: false,
        ended: false,
    };
    let mut response = Response::new(events.boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(response)
}

/// Response body that encodes a completion as server-sent events.
struct EventStream {
    completion: Completion,
    encoder: ResponseEncoder,
    include_usage: bool,
    request: String,
    first: Option<Output>,
    started: bool,
    ended: bool,
}

impl EventStream {
    fn encode_event(&mut self, output: Option<Output>) -> String {
        match output {
            Some(Output::Token(text)) => {
                let first = !std::mem::replace(&mut self.started, true);
                data_event(&self.encoder.token_chunk(&text, first))
            }
            Some(Output::End(reason, usage)) => {
                self.ended = true;
                self.final_events(reason, usage)
            }
            Some(Output::Failed(problem)) => self.error_event(&problem),
            None => {
                let detail = "the answer broke off";
                self.error_event(&Problem::new(ProblemKind::UpstreamFailed, detail))
            }
        }
    }

    fn final_events(&self, reason: FinishReason, usage: Usage) -> String {
        let mut text = data_event(&self.encoder.end_chunk(reason));
        if self.include_usage {
            text.push_str(&data_event(&self.encoder.usage_chunk(usage)));
        }
        text.push_str("data: [DONE]\n\n");
        text
    }

    /// Encodes an error event; the stream ends without `[DONE]`.
    fn error_event(&mut self, problem: &Problem) -> String {
        self.ended = true;
        format!("event: error\n{}", data_event(&problem.json(&self.request)))
    }
}

impl Body for EventStream {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let output = match self.first.take() {
            Some(first) => Some(first),
            None => std::task::ready!(self.completion.poll_next(context)),
        };
        let text = self.encode_event(output);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(text)))))
    }
}

async fn call_service(
    host: &Arc<Host>,
    id: &str,
    path: &str,
    request: Request<Incoming>,
) -> Result<Response<BoxBody>, Problem> {
    let snapshot = host.snapshot();
    let Some((name, service)) = snapshot.service(path) else {
        return Err(Problem::new(ProblemKind::NotFound, format!("nothing is served at {path}")));
    };
    // An open route requires no key, but one that was sent must not be forwarded either.
    let bearer = bearer(request.headers()).map(str::to_owned);
    let (caller, key) = if service.open {
        (None, bearer)
    } else {
        let (caller, key) = authenticate(host, request.headers())?;
        (Some(caller), Some(key))
    };
    let call = ServiceCall {
        name: name.clone(),
        service: service.clone(),
        caller,
        key,
        request: id.to_owned(),
    };
    call.run(host, request).await
}

fn authenticate(host: &Arc<Host>, headers: &HeaderMap) -> Result<(Caller, String), Problem> {
    let missing = || Problem::new(ProblemKind::BadKey, "a bearer key is needed");
    let key = bearer(headers).ok_or_else(missing)?;
    let caller = host.authenticate(key)?;
    Ok((caller, key.to_owned()))
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Returns the HTTP response for a problem.
pub fn problem_response(problem: &Problem, id: &str) -> Response<BoxBody> {
    let body = problem.json(id).to_string();
    let mut response = Response::new(limited_body::full(body));
    *response.status_mut() = problem.kind.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(problem::MEDIA_TYPE));
    if let Some(seconds) = problem.retry_seconds() {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if problem.kind == ProblemKind::BadKey {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if problem.kind == ProblemKind::SlowRequest {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn json_response(value: &Value) -> Response<BoxBody> {
    let mut response = Response::new(limited_body::full(value.to_string()));
    let media_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response
}

fn data_event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
