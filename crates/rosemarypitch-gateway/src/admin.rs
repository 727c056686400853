//! The operators' HTTP interface.

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

/// Tries of a change that meets other operators' patches.
const MAX_TRIES: u32 = 5;
/// Field that makes a patch idempotent.
const PATCH_ID_FIELD: &str = "patch-id";

type Context = RequestContext<Arc<Host>>;
type Answer<T> = Result<HttpResponseOk<T>, AdminError>;

/// All endpoints.
///
/// # Panics
///
/// When two endpoints clash, which no input can cause.
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

/// The OpenAPI document of the operators' interface.
///
/// # Panics
///
/// When the interface cannot be described, which no input can cause.
pub fn openapi() -> Value {
    let api = api();
    let mut definition = api.openapi("rosemarypitch operators' interface", version());
    definition.description("Configuration, customers, keys, limits and status.");
    definition.json().expect("the interface can be described")
}

fn version() -> semver::Version {
    semver::Version::new(1, 0, 0)
}

/// Whether the process runs.
#[endpoint { method = GET, path = "/healthz" }]
async fn healthz(_context: Context) -> Answer<String> {
    Ok(HttpResponseOk("ok".to_owned()))
}

/// Whether callers are served.
#[endpoint { method = GET, path = "/readyz" }]
async fn readyz(context: Context) -> Answer<String> {
    if context.context().is_ready() {
        return Ok(HttpResponseOk("ready".to_owned()));
    }
    let status = ErrorStatusCode::SERVICE_UNAVAILABLE;
    Err(AdminError::new(status, "unavailable", "not ready, or stopping"))
}

/// Metrics in prometheus' text form.
#[endpoint { method = GET, path = "/metrics" }]
async fn read_metrics(context: Context) -> Result<Response<Body>, HttpError> {
    let text = context.context().metrics.text();
    let response = Response::builder()
        .header(header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(text.into())?;
    Ok(response)
}

/// The configuration document; the ETag is its number.
#[endpoint { method = GET, path = "/admin/config" }]
async fn read_config(context: Context) -> Result<Response<Body>, AdminError> {
    check_operator(&context)?;
    let document = context.context().snapshot().document.clone();
    document_response(&document)
}

/// Patches the document: merge patch or JSON patch, with If-Match as the number it is
/// against. `Patch-Id` makes the patch idempotent.
#[endpoint { method = PATCH, path = "/admin/config", request_body_max_bytes = 1048576 }]
async fn patch_config(context: Context, body: UntypedBody) -> Result<Response<Body>, AdminError> {
    check_operator(&context)?;
    let fields = context.request.headers();
    let base = field(fields, header::IF_MATCH.as_str()).and_then(|text| number(&text));
    let Some(base) = base else {
        let detail = "If-Match must give the number that the patch is against";
        return Err(AdminError::new(
            ErrorStatusCode::PRECONDITION_REQUIRED,
            "number-missing",
            detail,
        ));
    };
    let media = field(fields, header::CONTENT_TYPE.as_str()).unwrap_or_default();
    let patch = match Patch::parse(&media, body.as_bytes()) {
        Some(Ok(patch)) => patch,
        Some(Err(faults)) => return Err(invalid(faults.0)),
        None => {
            let detail = "Content-Type must be application/merge-patch+json or \
                          application/json-patch+json";
            let status = ErrorStatusCode::UNSUPPORTED_MEDIA_TYPE;
            return Err(AdminError::new(status, "media-type", detail));
        }
    };
    let id = field(fields, PATCH_ID_FIELD).unwrap_or_else(|| context.request_id.clone());
    match context.context().config_sync.patch(patch, base, Arc::from(id)).await {
        PatchOutcome::Accepted(document) => document_response(&document),
        PatchOutcome::Repeated(number) => {
            let body = json!({ "number": number, "repeated": true });
            json_response(StatusCode::OK, number, &body)
        }
        other => Err(refused(other)),
    }
}

/// The last accepted patches, newest last.
#[endpoint { method = GET, path = "/admin/config/history" }]
async fn read_history(context: Context) -> Answer<Vec<PatchMark>> {
    check_operator(&context)?;
    Ok(HttpResponseOk(context.context().snapshot().document.patches.clone()))
}

/// All customers.
#[endpoint { method = GET, path = "/admin/customers" }]
async fn list_customers(
    context: Context,
) -> Answer<std::collections::BTreeMap<Arc<str>, Customer>> {
    check_operator(&context)?;
    Ok(HttpResponseOk(context.context().snapshot().document.customers.clone()))
}

/// Creates or replaces a customer; keys that it has are kept unless the body names some.
#[endpoint { method = PUT, path = "/admin/customers/{name}" }]
async fn put_customer(
    context: Context,
    path: Path<NamePath>,
    body: TypedBody<Customer>,
) -> Answer<Accepted> {
    check_operator(&context)?;
    let name = path.into_inner().name;
    let customer = body.into_inner();
    change(&context, |_| Ok(json!({ "customers": { &name: customer } }))).await
}

/// Raises a customer's limit.
#[endpoint { method = PUT, path = "/admin/customers/{name}/limit" }]
async fn put_limit(
    context: Context,
    path: Path<NamePath>,
    body: TypedBody<Limit>,
) -> Answer<Accepted> {
    check_operator(&context)?;
    let name = path.into_inner().name;
    let limit = body.into_inner();
    change(&context, |document| {
        known_customer(document, &name)?;
        Ok(json!({ "customers": { &name: { "limit": limit } } }))
    })
    .await
}

/// Digests of a customer's keys.
#[endpoint { method = GET, path = "/admin/customers/{name}/keys" }]
async fn list_keys(context: Context, path: Path<NamePath>) -> Answer<Keys> {
    check_operator(&context)?;
    let snapshot = context.context().snapshot();
    let customer = known_customer(&snapshot.document, &path.into_inner().name)?;
    let keys = customer.keys.iter();
    let keys = keys.map(|(digest, key)| (digest.text().to_owned(), key.clone())).collect();
    Ok(HttpResponseOk(Keys { keys }))
}

/// Makes a key; its secret is shown this once.
#[endpoint { method = POST, path = "/admin/customers/{name}/keys" }]
async fn make_key(
    context: Context,
    path: Path<NamePath>,
    body: TypedBody<NewKey>,
) -> Answer<MadeKey> {
    check_operator(&context)?;
    let name = path.into_inner().name;
    let label = body.into_inner().label;
    let secret = Secret::random();
    let digest = secret.digest();
    let accepted = change(&context, |document| {
        known_customer(document, &name)?;
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

/// Withdraws a key; it stops working within seconds on all hosts.
#[endpoint { method = DELETE, path = "/admin/customers/{name}/keys/{digest}" }]
async fn withdraw_key(
    context: Context,
    path: Path<KeyPath>,
) -> Result<HttpResponseDeleted, AdminError> {
    check_operator(&context)?;
    let KeyPath { name, digest } = path.into_inner();
    change(&context, |document| {
        let customer = known_customer(document, &name)?;
        if !customer.keys.contains_key(&Digest::from(digest.as_str())) {
            return Err(not_found(format!("customer {name} has no key {digest}")));
        }
        Ok(json!({ "customers": { &name: { "keys": { &digest: null } } } }))
    })
    .await?;
    Ok(HttpResponseDeleted())
}

/// All plain services.
#[endpoint { method = GET, path = "/admin/services" }]
async fn list_services(context: Context) -> Answer<std::collections::BTreeMap<Arc<str>, Service>> {
    check_operator(&context)?;
    Ok(HttpResponseOk(context.context().snapshot().document.services.clone()))
}

/// All models.
#[endpoint { method = GET, path = "/admin/models" }]
async fn list_models(context: Context) -> Answer<std::collections::BTreeMap<Arc<str>, Model>> {
    check_operator(&context)?;
    Ok(HttpResponseOk(context.context().snapshot().document.models.clone()))
}

/// All upstreams.
#[endpoint { method = GET, path = "/admin/upstreams" }]
async fn list_upstreams(
    context: Context,
) -> Answer<std::collections::BTreeMap<Arc<str>, Upstream>> {
    check_operator(&context)?;
    Ok(HttpResponseOk(context.context().snapshot().document.upstreams.clone()))
}

/// Lets an upstream take new work, or none from now on.
#[endpoint { method = PUT, path = "/admin/upstreams/{name}/state" }]
async fn put_upstream_state(
    context: Context,
    path: Path<NamePath>,
    body: TypedBody<UpstreamState>,
) -> Answer<Accepted> {
    check_operator(&context)?;
    let name = path.into_inner().name;
    let state = body.into_inner();
    change(&context, |document| {
        if !document.upstreams.contains_key(name.as_str()) {
            return Err(not_found(format!("there is no upstream {name}")));
        }
        Ok(json!({ "upstreams": { &name: { "state": state } } }))
    })
    .await
}

/// Hosts, upstreams and configuration numbers as this host sees them.
#[endpoint { method = GET, path = "/admin/status" }]
async fn read_status(context: Context) -> Answer<Status> {
    check_operator(&context)?;
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

fn host_status(sighting: &rosemarypitch_peer::Sighting) -> HostStatus {
    HostStatus {
        host: sighting.id.host.clone(),
        incarnation: sighting.id.incarnation,
        data_centre: sighting.data_centre.clone(),
        number: sighting.number,
        config_age_ms: sighting.config_age_ms,
        shares: sighting.shares,
        leaving: sighting.leaving,
    }
}

/// Makes a small change against whatever number is in force, again if it was stale.
async fn change(
    context: &Context,
    patch: impl Fn(&Document) -> Result<Value, AdminError>,
) -> Answer<Accepted> {
    let host = context.context();
    let mut outcome = None;
    for attempt in 0..MAX_TRIES {
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
            other => return Err(refused(other)),
        }
    }
    let none = PatchOutcome::NotStored("no try was made".to_owned());
    Err(refused(outcome.unwrap_or(none)))
}

fn check_operator(context: &Context) -> Result<(), AdminError> {
    let fields = context.request.headers();
    let value = field(fields, header::AUTHORIZATION.as_str()).unwrap_or_default();
    let key = value.strip_prefix("Bearer ").unwrap_or_default();
    let digest = Digest::of(key);
    let known = &context.context().settings.operator_keys;
    if !key.is_empty() && known.iter().any(|known| known.matches(&digest)) {
        return Ok(());
    }
    Err(AdminError::new(ErrorStatusCode::UNAUTHORIZED, "bad-key", "an operator's key is needed"))
}

fn known_customer<'a>(document: &'a Document, name: &str) -> Result<&'a Customer, AdminError> {
    let unknown = || not_found(format!("there is no customer {name}"));
    document.customers.get(name).ok_or_else(unknown)
}

fn not_found(detail: String) -> AdminError {
    AdminError::new(ErrorStatusCode::NOT_FOUND, "not-found", detail)
}

fn invalid(faults: Vec<rosemarypitch_config::Fault>) -> AdminError {
    let status = ErrorStatusCode::UNPROCESSABLE_ENTITY;
    AdminError { faults, ..AdminError::new(status, "invalid", "the patch is rejected whole") }
}

fn refused(outcome: PatchOutcome) -> AdminError {
    match outcome {
        PatchOutcome::Rejected(PatchError::Invalid(faults)) => invalid(faults.0),
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

fn field(fields: &http::HeaderMap, name: &str) -> Option<String> {
    fields.get(name)?.to_str().ok().map(str::to_owned)
}

fn number(text: &str) -> Option<u64> {
    text.trim_matches('"').parse().ok()
}
