//! HTTP interface for operators: configuration, health, metrics and status.

use std::sync::Arc;

use dropshot::{
    ApiDescription, Body, ErrorStatusCode, HttpError, HttpResponseDeleted, HttpResponseOk, Path,
    RequestContext, TypedBody, UntypedBody, endpoint,
};
use http::{Response, StatusCode, header};
use rosemarypitch_config::{
    Customer, Digest, Document, Limit, Model, Patch, PatchError, PatchMark, Secret, Service,
    Upstream, UpstreamState,
};
use serde_json::{Value, json};

use crate::admin_types::{
    Accepted, AdminError, HostStatus, KeyPath, Keys, MadeKey, NamePath, NewKey, Status,
    UpstreamStatus,
};
use crate::config_sync::PatchOutcome;
use crate::host::Host;

/// Maximum number of attempts at a change that conflicts with other operators' patches.
const MAX_ATTEMPTS: u32 = 5;
/// Request header with the identifier that makes a patch idempotent.
const PATCH_ID_HEADER: &str = "patch-id";

type Context = RequestContext<Arc<Host>>;
type JsonResult<T> = Result<HttpResponseOk<T>, AdminError>;

/// Returns the description of all endpoints.
///
/// # Panics
///
/// Panics if two endpoints conflict, which no input can cause.
pub fn api() -> ApiDescription<Arc<Host>> {
    let mut api = ApiDescription::new();
    let register = |api: &mut ApiDescription<Arc<Host>>| {
        api.register(healthz)?;
        api.register(readyz)?;
        api.register(read_metrics)?;
        api.register(read_config)?;
        api.register(patch_config)?;
        api.register(read_history)?;
        api.register(list_customers)?;
        api.register(put_customer)?;
        api.register(put_limit)?;
        api.register(list_keys)?;
        api.register(make_key)?;
        api.register(withdraw_key)?;
        api.register(list_services)?;
        api.register(list_models)?;
        api.register(list_upstreams)?;
        api.register(put_upstream_state)?;
        api.register(read_status)
    };
    register(&mut api).expect("endpoints do not clash");
    api
}

/// Returns the OpenAPI document of the operators' interface.
///
/// # Panics
///
/// Panics if the document cannot be generated, which no input can cause.
pub fn openapi() -> Value {
    let api = api();
    let mut definition = api.openapi("rosemarypitch operators' interface", version());
    definition.description("Configuration, customers, keys, limits and status.");
    definition.json().expect("the interface can be described")
}

fn version() -> semver::Version {
    semver::Version::new(1, 0, 0)
}

/// Reports that the process is running.
#[endpoint { method = GET, path = "/healthz" }]
async fn healthz(_context: Context) -> JsonResult<String> {
    Ok(HttpResponseOk("ok".to_owned()))
}

/// Reports whether callers are served.
#[endpoint { method = GET, path = "/readyz" }]
async fn readyz(context: Context) -> JsonResult<String> {
    if context.context().is_ready() {
        return Ok(HttpResponseOk("ready".to_owned()));
    }
    let status = ErrorStatusCode::SERVICE_UNAVAILABLE;
    Err(AdminError::new(status, "unavailable", "not ready, or stopping"))
}

/// Returns the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn read_metrics(context: Context) -> Result<Response<Body>, HttpError> {
    let text = context.context().metrics.text();
    let response = Response::builder()
        .header(header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(text.into())?;
    Ok(response)
}

/// Returns the configuration document; the ETag is its number.
#[endpoint { method = GET, path = "/admin/config" }]
async fn read_config(context: Context) -> Result<Response<Body>, AdminError> {
    authenticate_operator(&context)?;
    let document = context.context().snapshot().document.clone();
    document_response(&document)
}

/// Applies a JSON Merge Patch or a JSON Patch to the document.
///
/// If-Match must be the number of the document on which the patch is based. `Patch-Id` makes
/// the patch idempotent.
#[endpoint { method = PATCH, path = "/admin/config", request_body_max_bytes = 1048576 }]
async fn patch_config(context: Context, body: UntypedBody) -> Result<Response<Body>, AdminError> {
    authenticate_operator(&context)?;
    let headers = context.request.headers();
    let base = header_text(headers, header::IF_MATCH.as_str()).and_then(|text| parse_number(&text));
    let Some(base) = base else {
        let detail = "If-Match must give the number that the patch is against";
        return Err(AdminError::new(
            ErrorStatusCode::PRECONDITION_REQUIRED,
            "number-missing",
            detail,
        ));
    };
    let media_type = header_text(headers, header::CONTENT_TYPE.as_str()).unwrap_or_default();
    let patch = match Patch::parse(&media_type, body.as_bytes()) {
        Some(Ok(patch)) => patch,
        Some(Err(faults)) => return Err(validation_error(faults.0)),
        None => {
            let detail = "Content-Type must be application/merge-patch+json or \
                          application/json-patch+json";
            let status = ErrorStatusCode::UNSUPPORTED_MEDIA_TYPE;
            return Err(AdminError::new(status, "media-type", detail));
        }
    };
    let id = header_text(headers, PATCH_ID_HEADER).unwrap_or_else(|| context.request_id.clone());
    match context.context().config_sync.patch(patch, base, Arc::from(id)).await {
        PatchOutcome::Accepted(document) => document_response(&document),
        PatchOutcome::Repeated(number) => {
            let body = json!({ "number": number, "repeated": true });
            json_response(StatusCode::OK, number, &body)
        }
        other => Err(outcome_error(other)),
    }
}

/// Lists the most recently accepted patches, oldest first.
#[endpoint { method = GET, path = "/admin/config/history" }]
async fn read_history(context: Context) -> JsonResult<Vec<PatchMark>> {
    authenticate_operator(&context)?;
    Ok(HttpResponseOk(context.context().snapshot().document.patches.clone()))
}

/// Returns all customers by name.
#[endpoint { method = GET, path = "/admin/customers" }]
async fn list_customers(
    context: Context,
) -> JsonResult<std::collections::BTreeMap<Arc<str>, Customer>> {
    authenticate_operator(&context)?;
    Ok(HttpResponseOk(context.context().snapshot().document.customers.clone()))
}

/// Creates or updates a customer; existing keys that the body does not name are kept.
#[endpoint { method = PUT, path = "/admin/customers/{name}" }]
async fn put_customer(
    context: Context,
    path: Path<NamePath>,
    body: TypedBody<Customer>,
) -> JsonResult<Accepted> {
    authenticate_operator(&context)?;
    let name = path.into_inner().name;
    let customer = body.into_inner();
    apply_change(&context, |_| Ok(json!({ "customers": { &name: customer } }))).await
}

/// Raises a customer's limit; a lower rate or burst is rejected.
#[endpoint { method = PUT, path = "/admin/customers/{name}/limit" }]
async fn put_limit(
    context: Context,
    path: Path<NamePath>,
    body: TypedBody<Limit>,
) -> JsonResult<Accepted> {
    authenticate_operator(&context)?;
    let name = path.into_inner().name;
    let limit = body.into_inner();
    apply_change(&context, |document| {
        find_customer(document, &name)?;
        Ok(json!({ "customers": { &name: { "limit": limit } } }))
    })
    .await
}

/// Lists a customer's keys by digest.
#[endpoint { method = GET, path = "/admin/customers/{name}/keys" }]
async fn list_keys(context: Context, path: Path<NamePath>) -> JsonResult<Keys> {
    authenticate_operator(&context)?;
    let snapshot = context.context().snapshot();
    let customer = find_customer(&snapshot.document, &path.into_inner().name)?;
    let keys = customer.keys.iter();
    let keys = keys.map(|(digest, key)| (digest.text().to_owned(), key.clone())).collect();
    Ok(HttpResponseOk(Keys { keys }))
}

/// Creates a key; its secret is returned only once.
#[endpoint { method = POST, path = "/admin/customers/{name}/keys" }]
async fn make_key(
    context: Context,
    path: Path<NamePath>,
    body: TypedBody<NewKey>,
) -> JsonResult<MadeKey> {
    authenticate_operator(&context)?;
    let name = path.into_inner().name;
    let label = body.into_inner().label;
    let secret = Secret::random();
    let digest = secret.digest();
    let accepted = apply_change(&context, |document| {
        find_customer(document, &name)?;
        let keys = json!({ digest.text(): { "label": label } });
        Ok(json!({ "customers": { &name: { "keys": keys } } }))
    })
    .await?;
    Ok(HttpResponseOk(MadeKey {
        secret: secret.text().to_owned(),
        digest: digest.text().to_owned(),
        number: accepted.0.number,
    }))
}

/// Revokes a key; all hosts reject it within seconds.
#[endpoint { method = DELETE, path = "/admin/customers/{name}/keys/{digest}" }]
async fn withdraw_key(
    context: Context,
    path: Path<KeyPath>,
) -> Result<HttpResponseDeleted, AdminError> {
    authenticate_operator(&context)?;
    let KeyPath { name, digest } = path.into_inner();
    apply_change(&context, |document| {
        let customer = find_customer(document, &name)?;
        if !customer.keys.contains_key(&Digest::from(digest.as_str())) {
            return Err(not_found(format!("customer {name} has no key {digest}")));
        }
        Ok(json!({ "customers": { &name: { "keys": { &digest: null } } } }))
    })
    .await?;
    Ok(HttpResponseDeleted())
}

/// Returns all plain services by name.
#[endpoint { method = GET, path = "/admin/services" }]
async fn list_services(
    context: Context,
) -> JsonResult<std::collections::BTreeMap<Arc<str>, Service>> {
    authenticate_operator(&context)?;
    Ok(HttpResponseOk(context.context().snapshot().document.services.clone()))
}

/// Returns all models by name.
#[endpoint { method = GET, path = "/admin/models" }]
async fn list_models(context: Context) -> JsonResult<std::collections::BTreeMap<Arc<str>, Model>> {
    authenticate_operator(&context)?;
    Ok(HttpResponseOk(context.context().snapshot().document.models.clone()))
}

/// Returns all upstreams by name.
#[endpoint { method = GET, path = "/admin/upstreams" }]
async fn list_upstreams(
    context: Context,
) -> JsonResult<std::collections::BTreeMap<Arc<str>, Upstream>> {
    authenticate_operator(&context)?;
    Ok(HttpResponseOk(context.context().snapshot().document.upstreams.clone()))
}

/// Sets whether an upstream receives new requests.
#[endpoint { method = PUT, path = "/admin/upstreams/{name}/state" }]
async fn put_upstream_state(
    context: Context,
    path: Path<NamePath>,
    body: TypedBody<UpstreamState>,
) -> JsonResult<Accepted> {
    authenticate_operator(&context)?;
    let name = path.into_inner().name;
    let state = body.into_inner();
    apply_change(&context, |document| {
        if !document.upstreams.contains_key(name.as_str()) {
            return Err(not_found(format!("there is no upstream {name}")));
        }
        Ok(json!({ "upstreams": { &name: { "state": state } } }))
    })
    .await
}

/// Returns this host's view of hosts, upstreams and configuration numbers.
#[endpoint { method = GET, path = "/admin/status" }]
async fn read_status(context: Context) -> JsonResult<Status> {
    authenticate_operator(&context)?;
    let host = context.context();
    let view = host.view.borrow().clone();
    let document = host.snapshot().document.clone();
    let upstreams = document.upstreams.iter().map(|(name, upstream)| {
        let status = UpstreamStatus {
            address: upstream.address.to_string(),
            data_centre: upstream.data_centre.clone(),
            leaving: upstream.state == UpstreamState::Leaving,
        };
        (name.clone(), status)
    });
    let mut own = host_status(&view.own);
    own.number = document.number;
    Ok(HttpResponseOk(Status {
        host: own,
        peers: view.peers.iter().map(host_status).collect(),
        upstreams: upstreams.collect(),
        open: host.metrics.open_requests.get(),
        ready: host.is_ready(),
    }))
}

fn host_status(info: &rosemarypitch_peer::HostInfo) -> HostStatus {
    HostStatus {
        host: info.id.host.clone(),
        incarnation: info.id.incarnation,
        data_centre: info.data_centre.clone(),
        number: info.config_number,
        config_age_ms: info.config_age_ms,
        shares: info.shares,
        leaving: info.leaving,
    }
}

/// Applies a change to the active document, and retries if the document has changed meanwhile.
async fn apply_change(
    context: &Context,
    patch: impl Fn(&Document) -> Result<Value, AdminError>,
) -> JsonResult<Accepted> {
    let host = context.context();
    let mut outcome = None;
    for attempt in 0..MAX_ATTEMPTS {
        let document = host.snapshot().document.clone();
        let value = patch(&document)?;
        let id = format!("{}-{attempt}", context.request_id);
        let patch = Patch::Merge(value);
        match host.config_sync.patch(patch, document.number, Arc::from(id.as_str())).await {
            PatchOutcome::Accepted(new) => {
                return Ok(HttpResponseOk(Accepted { number: new.number, patch: id }));
            }
            PatchOutcome::Repeated(number) => {
                return Ok(HttpResponseOk(Accepted { number, patch: id }));
            }
            PatchOutcome::Rejected(PatchError::Stale { base, current }) => {
                let error = PatchError::Stale { base, current };
                outcome = Some(PatchOutcome::Rejected(error));
            }
            other => return Err(outcome_error(other)),
        }
    }
    let no_attempt = PatchOutcome::NotStored("no try was made".to_owned());
    Err(outcome_error(outcome.unwrap_or(no_attempt)))
}

fn authenticate_operator(context: &Context) -> Result<(), AdminError> {
    let headers = context.request.headers();
    let value = header_text(headers, header::AUTHORIZATION.as_str()).unwrap_or_default();
    let key = value.strip_prefix("Bearer ").unwrap_or_default();
    let digest = Digest::of(key);
    let operator_keys = &context.context().settings.operator_keys;
    if !key.is_empty() && operator_keys.iter().any(|operator_key| operator_key.matches(&digest)) {
        return Ok(());
    }
    Err(AdminError::new(ErrorStatusCode::UNAUTHORIZED, "bad-key", "an operator's key is needed"))
}

fn find_customer<'a>(document: &'a Document, name: &str) -> Result<&'a Customer, AdminError> {
    let unknown = || not_found(format!("there is no customer {name}"));
    document.customers.get(name).ok_or_else(unknown)
}

fn not_found(detail: String) -> AdminError {
    AdminError::new(ErrorStatusCode::NOT_FOUND, "not-found", detail)
}

fn validation_error(faults: Vec<rosemarypitch_config::Fault>) -> AdminError {
    let status = ErrorStatusCode::UNPROCESSABLE_ENTITY;
    AdminError { faults, ..AdminError::new(status, "invalid", "the patch is rejected whole") }
}

fn outcome_error(outcome: PatchOutcome) -> AdminError {
    match outcome {
        PatchOutcome::Rejected(PatchError::Invalid(faults)) => validation_error(faults.0),
        PatchOutcome::Rejected(PatchError::Stale { base, current }) => {
            let detail = format!("the patch is against {base}; {current} is in force");
            let status = ErrorStatusCode::PRECONDITION_FAILED;
            let error = AdminError::new(status, "stale-number", detail);
            AdminError { current: Some(current), ..error }
        }
        PatchOutcome::NotStored(reason) => {
            let detail = format!("the patch was not stored: {reason}");
            AdminError::new(ErrorStatusCode::SERVICE_UNAVAILABLE, "not-stored", detail)
        }
        PatchOutcome::Unknown(reason) => {
            let detail = format!("the outcome is unknown; repeat with the same Patch-Id: {reason}");
            AdminError::new(ErrorStatusCode::GATEWAY_TIMEOUT, "outcome-unknown", detail)
        }
        PatchOutcome::Accepted(_) | PatchOutcome::Repeated(_) => {
            AdminError::new(ErrorStatusCode::INTERNAL_SERVER_ERROR, "internal", "accepted")
        }
    }
}

fn document_response(document: &Document) -> Result<Response<Body>, AdminError> {
    let value = serde_json::to_value(document).unwrap_or_default();
    json_response(StatusCode::OK, document.number, &value)
}

fn json_response(
    status: StatusCode,
    number: u64,
    body: &Value,
) -> Result<Response<Body>, AdminError> {
    let response = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::ETAG, format!("\"{number}\""))
        .body(body.to_string().into());
    response.map_err(|error| {
        AdminError::new(ErrorStatusCode::INTERNAL_SERVER_ERROR, "internal", error.to_string())
    })
}

fn header_text(headers: &http::HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn parse_number(text: &str) -> Option<u64> {
    text.trim_matches('"').parse().ok()
}
