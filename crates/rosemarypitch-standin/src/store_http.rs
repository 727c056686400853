//! HTTP server of the stand-in key-value store.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rosemarypitch_store::{Entry, ErrorKind, Store, StoreError, SwapOutcome, wire};
use tokio::net::TcpListener;

use crate::http::{self as http_server, Dropped, Reply};
use crate::store::{MemoryStore, StoreClient, StoreFaults};

/// Serves the store over HTTP, until accepting a connection fails or the task is dropped.
///
/// A request to `/faults` sets the faults of all its calls, and `/counts` returns their
/// numbers.
///
/// # Errors
///
/// When accepting a connection fails.
pub async fn serve_store(listener: TcpListener, store: MemoryStore) -> io::Result<()> {
    let client = store.client("http");
    http_server::serve(listener, Arc::new(StoreServer { store, client }), handle).await
}

struct StoreServer {
    store: MemoryStore,
    client: Arc<StoreClient>,
}

async fn handle(server: Arc<StoreServer>, request: Request<Incoming>) -> Result<Reply, Dropped> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Dropped)?.to_bytes();
    let path = head.uri.path();
    if path == "/faults" {
        let faults: StoreFaults = serde_json::from_slice(&body).map_err(|_| Dropped)?;
        server.client.set_faults(faults);
        return http_server::json(StatusCode::OK, &());
    }
    if path == "/counts" {
        return http_server::json(StatusCode::OK, &server.store.counts());
    }
    let Some((route, key)) = path.trim_start_matches('/').split_once('/') else {
        return http_server::json(StatusCode::NOT_FOUND, &"no such route");
    };
    let query = head.uri.query().unwrap_or_default();
    let client = &server.client;
    match (head.method, route) {
        (Method::GET, "kv") => {
            let entry = client.read(key).await.map_err(drop_connection)?;
            Ok(entry.map_or_else(
                || empty_response(StatusCode::NOT_FOUND),
                |e| entry_response(StatusCode::OK, e),
            ))
        }
        (Method::PUT, "kv") if body.len() > wire::MAX_VALUE_BYTES => {
            Ok(empty_response(StatusCode::PAYLOAD_TOO_LARGE))
        }
        (Method::PUT, "kv") => {
            let write_id =
                head.headers.get(wire::WRITE_ID_HEADER).and_then(|value| value.to_str().ok());
            let expected = query_parameter(query, "expected").unwrap_or(0);
            let swap =
                client.compare_and_swap(key, expected, write_id.unwrap_or_default(), body).await;
            Ok(swap_response(swap.map_err(drop_connection)?))
        }
        (Method::GET, "watch") => {
            let after = query_parameter(query, "after").unwrap_or(0);
            let wait = Duration::from_millis(query_parameter(query, "wait_ms").unwrap_or(0));
            let entry = client.watch(key, after, wait).await.map_err(drop_connection)?;
            Ok(entry.map_or_else(
                || empty_response(StatusCode::NOT_MODIFIED),
                |e| entry_response(StatusCode::OK, e),
            ))
        }
        (Method::PUT, "lease") => {
            let ttl = Duration::from_millis(query_parameter(query, "ttl_ms").unwrap_or(0));
            client.put_lease(key, body, ttl).await.map_err(drop_connection)?;
            Ok(empty_response(StatusCode::OK))
        }
        (Method::GET, "list") => {
            let values = client.list_leases(key).await.map_err(drop_connection)?;
            let texts: Vec<_> = values.iter().map(|v| String::from_utf8_lossy(v)).collect();
            http_server::json(StatusCode::OK, &texts)
        }
        _ => Ok(empty_response(StatusCode::NOT_FOUND)),
    }
}

fn drop_connection(error: StoreError) -> Dropped {
    debug_assert!(matches!(error.kind, ErrorKind::Unreachable | ErrorKind::OutcomeUnknown));
    Dropped
}

fn swap_response(swap: SwapOutcome) -> Reply {
    match swap {
        SwapOutcome::Stored(version) => with_version(empty_response(StatusCode::OK), version),
        SwapOutcome::Conflict(Some(entry)) => entry_response(StatusCode::CONFLICT, entry),
        SwapOutcome::Conflict(None) => with_version(empty_response(StatusCode::CONFLICT), 0),
    }
}

fn entry_response(status: StatusCode, entry: Entry) -> Reply {
    let mut reply = with_version(http_server::reply(status, entry.value), entry.version);
    if let Ok(write_id) = HeaderValue::from_str(&entry.write_id) {
        reply.headers_mut().insert(wire::WRITE_ID_HEADER, write_id);
    }
    reply
}

fn with_version(mut reply: Reply, version: u64) -> Reply {
    reply.headers_mut().insert(wire::VERSION_HEADER, HeaderValue::from(version));
    reply
}

fn empty_response(status: StatusCode) -> Reply {
    http_server::reply(status, Bytes::new())
}

fn query_parameter(query: &str, name: &str) -> Option<u64> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}
