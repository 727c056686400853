//! The callers' HTTP interface.

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
use rosemarypitch_upstream::End;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::bounded::{self, AnyBody, BodyError, ReadError};
use crate::completion::{Completion, CompletionRequest, Output, Usage};
use crate::host::Host;
use crate::leak;
use crate::openai::{self, Answer, Form};
use crate::problem::{self, Problem, ProblemKind};
use crate::service_call::ServiceCall;

/// Field with the request's identifier.
const REQUEST_FIELD: &str = "x-request-id";

/// Answers one request of a caller.
pub async fn handle(
    host: Arc<Host>,
    request: Request<Incoming>,
) -> Result<Response<AnyBody>, Infallible> {
    let id = host.first_attempt().to_string();
    let path = request.uri().path().to_owned();
    let result = route(&host, &id, request).await;
    let mut response = result.unwrap_or_else(|problem| {
        log::info!("callers: {id} {path}: {problem}");
        refusal(&problem, &id)
    });
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_FIELD, value);
    }
    Ok(response)
}

async fn route(
    host: &Arc<Host>,
    id: &str,
    request: Request<Incoming>,
) -> Result<Response<AnyBody>, Problem> {
    check_framing(request.headers())?;
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/healthz" => return Ok(json_response(&json!({ "status": "ok" }))),
        "/readyz" => return ready(host),
        _ => {}
    }
    if !host.config.borrow().is_ready() {
        let detail = "the host has no configuration as new as its peers' yet";
        return Err(Problem::new(ProblemKind::Unavailable, detail));
    }
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/v1/chat/completions") => complete(host, id, Form::Chat, request).await,
        (Method::POST, "/v1/completions") => complete(host, id, Form::Text, request).await,
        (Method::GET, "/v1/models") => models(host, &request),
        (_, "/v1/chat/completions" | "/v1/completions" | "/v1/models") => {
            let detail = format!("{} is not served here", request.method());
            Err(Problem::new(ProblemKind::BadMethod, detail))
        }
        _ => call_service(host, id, &path, request).await,
    }
}

/// Refuses requests whose length can be read in two ways.
fn check_framing(fields: &HeaderMap) -> Result<(), Problem> {
    let lengths = fields.get_all(header::CONTENT_LENGTH).iter().count();
    let chunked = fields.contains_key(header::TRANSFER_ENCODING);
    if lengths > 1 || lengths == 1 && chunked {
        let detail = "the body's length is given in two ways";
        return Err(Problem::new(ProblemKind::BadRequest, detail));
    }
    if fields.get_all(header::AUTHORIZATION).iter().count() > 1 {
        return Err(Problem::new(ProblemKind::BadRequest, "two Authorization fields"));
    }
    Ok(())
}

fn ready(host: &Arc<Host>) -> Result<Response<AnyBody>, Problem> {
    if host.is_ready() {
        return Ok(json_response(&json!({ "status": "ready" })));
    }
    Err(Problem::new(ProblemKind::Unavailable, "not ready, or stopping"))
}

fn models(host: &Arc<Host>, request: &Request<Incoming>) -> Result<Response<AnyBody>, Problem> {
    authenticate(host, request.headers())?;
    let snapshot = host.snapshot();
    let names = snapshot.document.models.keys();
    let data: Vec<Value> = names
        .map(|name| json!({ "id": name, "object": "model", "created": 0, "owned_by": "site" }))
        .collect();
    Ok(json_response(&json!({ "object": "list", "data": data })))
}

async fn complete(
    host: &Arc<Host>,
    id: &str,
    form: Form,
    request: Request<Incoming>,
) -> Result<Response<AnyBody>, Problem> {
    let (caller, key) = authenticate(host, request.headers())?;
    let bounds = host.settings.bounds;
    let deadline = Instant::now() + bounds.body_time;
    let body = bounded::read(request.into_body(), bounds.body_bytes as u64, deadline, Some(&key));
    let body = body.await?;
    let parsed = openai::Request::parse(&body)?;
    let prompt = parsed.text(form)?;
    // JSON escapes could hide the key from the scan of the body.
    if leak::contains(prompt.as_bytes(), key.as_bytes()) {
        return Err(ReadError::Leak.into());
    }
    let ask = CompletionRequest {
        caller,
        model: parsed.model.clone(),
        prompt,
        max_output: parsed.max_output(),
    };
    let answer = Answer {
        form,
        id: format!("cmpl-{}", id.replace('/', "-")),
        model: parsed.model.clone(),
        created: unix_seconds(),
    };
    let completion = Completion::start(host.clone(), ask);
    if parsed.stream {
        stream(completion, answer, parsed.wants_usage(), id).await
    } else {
        whole(completion, &answer).await
    }
}

async fn whole(mut completion: Completion, answer: &Answer) -> Result<Response<AnyBody>, Problem> {
    let mut text = String::new();
    while let Some(output) = completion.next().await {
        match output {
            Output::Token(token) => text.push_str(&token),
            Output::End(end, usage) => return Ok(json_response(&answer.whole(&text, end, usage))),
            Output::Failed(problem) => return Err(problem),
        }
    }
    Err(Problem::new(ProblemKind::UpstreamFailed, "the request broke off"))
}

/// Waits for the first token, so that a refusal before it has its own status.
async fn stream(
    mut completion: Completion,
    answer: Answer,
    wants_usage: bool,
    id: &str,
) -> Result<Response<AnyBody>, Problem> {
    let first = match completion.next().await {
        Some(Output::Failed(problem)) => return Err(problem),
        Some(output) => output,
        None => return Err(Problem::new(ProblemKind::UpstreamFailed, "the request broke off")),
    };
    let request = id.to_owned();
    let events = Events {
        completion,
        answer,
        wants_usage,
        request,
        first: Some(first),
        begun: false,
        ended: false,
    };
    let mut response = Response::new(events.boxed_unsync());
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    fields.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(response)
}

/// A completion as server-sent events.
struct Events {
    completion: Completion,
    answer: Answer,
    wants_usage: bool,
    request: String,
    first: Option<Output>,
    begun: bool,
    ended: bool,
}

impl Events {
    fn event(&mut self, output: Option<Output>) -> String {
        match output {
            Some(Output::Token(text)) => {
                let first = !std::mem::replace(&mut self.begun, true);
                data(&self.answer.token(&text, first))
            }
            Some(Output::End(end, usage)) => {
                self.ended = true;
                self.last_events(end, usage)
            }
            Some(Output::Failed(problem)) => self.failure(&problem),
            None => {
                let detail = "the answer broke off";
                self.failure(&Problem::new(ProblemKind::UpstreamFailed, detail))
            }
        }
    }

    fn last_events(&self, end: End, usage: Usage) -> String {
        let mut text = data(&self.answer.end(end));
        if self.wants_usage {
            text.push_str(&data(&self.answer.usage(usage)));
        }
        text.push_str("data: [DONE]\n\n");
        text
    }

    /// An error event; the stream ends without its `[DONE]`.
    fn failure(&mut self, problem: &Problem) -> String {
        self.ended = true;
        format!("event: error\n{}", data(&problem.json(&self.request)))
    }
}

impl Body for Events {
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
        let text = self.event(output);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(text)))))
    }
}

async fn call_service(
    host: &Arc<Host>,
    id: &str,
    path: &str,
    request: Request<Incoming>,
) -> Result<Response<AnyBody>, Problem> {
    let snapshot = host.snapshot();
    let Some((name, service)) = snapshot.service(path) else {
        return Err(Problem::new(ProblemKind::NotFound, format!("nothing is served at {path}")));
    };
    // A key sent to an open route is not needed, but must not be passed on either.
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

fn authenticate(host: &Arc<Host>, fields: &HeaderMap) -> Result<(Caller, String), Problem> {
    let missing = || Problem::new(ProblemKind::BadKey, "a bearer key is needed");
    let key = bearer(fields).ok_or_else(missing)?;
    let caller = host.authenticate(key)?;
    Ok((caller, key.to_owned()))
}

fn bearer(fields: &HeaderMap) -> Option<&str> {
    let value = fields.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// The response for a problem.
pub fn refusal(problem: &Problem, id: &str) -> Response<AnyBody> {
    let body = problem.json(id).to_string();
    let mut response = Response::new(bounded::full(body));
    *response.status_mut() = problem.kind.status();
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static(problem::MEDIA));
    if let Some(seconds) = problem.retry_seconds() {
        fields.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if problem.kind == ProblemKind::BadKey {
        fields.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if problem.kind == ProblemKind::SlowRequest {
        fields.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn json_response(value: &Value) -> Response<AnyBody> {
    let mut response = Response::new(bounded::full(value.to_string()));
    let media = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    response
}

fn data(value: &Value) -> String {
    format!("data: {value}\n\n")
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
