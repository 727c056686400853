//! The key-value service's HTTP protocol.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rosemarypitch_store::{Entry, ErrorKind, Store, StoreError, SwapOutcome, wire};
use tokio::net::TcpListener;

use crate::http::{self as server, Dropped, Reply};
use crate::store::{MemoryStore, Port, PortFaults};

/// Serves the key-value service until the task ends; `PUT /faults` sets its faults.
pub async fn serve_store(listener: TcpListener, store: MemoryStore) -> io::Result<()> {
    let port = store.port("http");
    server::serve(listener, Arc::new(Served { store, port }), handle).await
}

struct Served {
    store: MemoryStore,
    port: Arc<Port>,
}

async fn handle(served: Arc<Served>, request: Request<Incoming>) -> Result<Reply, Dropped> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Dropped)?.to_bytes();
    let path = head.uri.path();
    if path == "/faults" {
        let faults: PortFaults = serde_json::from_slice(&body).map_err(|_| Dropped)?;
        served.port.set_faults(faults);
        return server::json(StatusCode::OK, &());
    }
    if path == "/counts" {
        return server::json(StatusCode::OK, &served.store.counts());
    }
    let Some((route, key)) = path.trim_start_matches('/').split_once('/') else {
        return server::json(StatusCode::NOT_FOUND, &"no such route");
    };
    let query = head.uri.query().unwrap_or_default();
    let port = &served.port;
    match (head.method, route) {
        (Method::GET, "kv") => {
            let entry = port.read(key).await.map_err(dropped)?;
            Ok(entry.map_or_else(|| status(StatusCode::NOT_FOUND), |e| found(StatusCode::OK, e)))
        }
        (Method::PUT, "kv") if body.len() > wire::MAX_VALUE_BYTES => {
            Ok(status(StatusCode::PAYLOAD_TOO_LARGE))
        }
        (Method::PUT, "kv") => {
            let writer =
                head.headers.get(wire::WRITE_ID_HEADER).and_then(|value| value.to_str().ok());
            let expected = parameter(query, "expected").unwrap_or(0);
            let swap = port.compare_and_swap(key, expected, writer.unwrap_or_default(), body).await;
            Ok(swapped(swap.map_err(dropped)?))
        }
        (Method::GET, "watch") => {
            let after = parameter(query, "after").unwrap_or(0);
            let wait = Duration::from_millis(parameter(query, "wait_ms").unwrap_or(0));
            let entry = port.watch(key, after, wait).await.map_err(dropped)?;
            Ok(entry.map_or_else(|| status(StatusCode::NOT_MODIFIED), |e| found(StatusCode::OK, e)))
        }
        (Method::PUT, "lease") => {
            let ttl = Duration::from_millis(parameter(query, "ttl_ms").unwrap_or(0));
            port.put_lease(key, body, ttl).await.map_err(dropped)?;
            Ok(status(StatusCode::OK))
        }
        (Method::GET, "list") => {
            let values = port.list_leases(key).await.map_err(dropped)?;
            let texts: Vec<_> = values.iter().map(|v| String::from_utf8_lossy(v)).collect();
            server::json(StatusCode::OK, &texts)
        }
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

fn dropped(error: StoreError) -> Dropped {
    debug_assert!(matches!(error.kind, ErrorKind::Unreachable | ErrorKind::OutcomeUnknown));
    Dropped
}

fn swapped(swap: SwapOutcome) -> Reply {
    match swap {
        SwapOutcome::Stored(version) => with_version(status(StatusCode::OK), version),
        SwapOutcome::Conflict(Some(entry)) => found(StatusCode::CONFLICT, entry),
        SwapOutcome::Conflict(None) => with_version(status(StatusCode::CONFLICT), 0),
    }
}

fn found(status: StatusCode, entry: Entry) -> Reply {
    let mut reply = with_version(server::reply(status, entry.value), entry.version);
    if let Ok(writer) = HeaderValue::from_str(&entry.write_id) {
        reply.headers_mut().insert(wire::WRITE_ID_HEADER, writer);
    }
    reply
}

fn with_version(mut reply: Reply, version: u64) -> Reply {
    reply.headers_mut().insert(wire::VERSION_HEADER, HeaderValue::from(version));
    reply
}

fn status(status: StatusCode) -> Reply {
    server::reply(status, Bytes::new())
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}
