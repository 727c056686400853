//! Invalid requests: each gets an error response or a clean close, and engine memory is released.

mod support;

use std::io;
use std::time::Duration;

use reqwest::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use support::{CLUBS_KEY, Cluster, HostSpec, chat_request};

async fn start_cluster() -> Cluster {
    let mut spec = HostSpec::new("a-1", "a");
    spec.overrides = vec![
        "bounds.head_ms=500".to_owned(),
        "bounds.body_ms=500".to_owned(),
        "bounds.stall_ms=500".to_owned(),
        "bounds.body_bytes=100000".to_owned(),
    ];
    Cluster::start(1, &[spec]).await
}

/// Sends bytes on a new connection and returns everything that the host sends until it closes.
async fn exchange(cluster: &Cluster, bytes: &[u8]) -> io::Result<String> {
    let mut stream = TcpStream::connect(cluster.hosts[0].callers).await?;
    // The write fails if the host closes early, but its response can still be read.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    match tokio::time::timeout(Duration::from_secs(10), read).await {
        Ok(Ok(_)) | Ok(Err(_)) => Ok(String::from_utf8_lossy(&response).into_owned()),
        Err(_) => Err(io::Error::other("the host did not close the connection")),
    }
}

/// Builds a completion request with additional header lines.
fn post(headers: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CLUBS_KEY}\r\n\
         connection: close\r\n{headers}\r\n{body}"
    )
}

#[rstest]
#[case::truncated_json("{\"model\":", 400)]
#[case::wrong_type("{\"model\":7}", 422)]
#[case::no_messages("{\"model\":\"verdict\"}", 422)]
#[case::empty_prompt(
    "{\"model\":\"verdict\",\"messages\":[{\"role\":\"user\",\"content\":\"\"}]}",
    422
)]
#[case::unknown_model(
    "{\"model\":\"none\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
    404
)]
#[case::too_many_tokens(
    "{\"model\":\"verdict\",\"max_tokens\":99999,\
     \"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
    422
)]
#[case::image(
    "{\"model\":\"verdict\",\"messages\":[{\"role\":\"user\",\
     \"content\":[{\"type\":\"image_url\"}]}]}",
    422
)]
#[case::two_choices(
    "{\"model\":\"verdict\",\"n\":2,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
    422
)]
#[case::key_in_body(
    "{\"model\":\"verdict\",\"messages\":[{\"role\":\"user\",\"content\":\"key-of-the-clubs\"}]}",
    400
)]
#[case::escaped_key_in_body(
    "{\"model\":\"verdict\",\"messages\":[{\"role\":\"user\",\
     \"content\":\"key-of-the-\\u0063lubs\"}]}",
    400
)]
#[tokio::test]
async fn an_invalid_body_gets_a_problem_response(#[case] body: &str, #[case] status: u16) {
    let cluster = start_cluster().await;
    let url = cluster.url(0, "/v1/chat/completions");
    let request = cluster.client.post(url).bearer_auth(CLUBS_KEY).body(body.to_owned());
    let response = request.send().await.expect("a response");
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(response.headers()["content-type"], "application/problem+json");
    let problem: Value = response.json().await.expect("JSON");
    assert_eq!(problem["ran"], "no");
    assert!(problem["type"].as_str().is_some_and(|kind| kind.starts_with("urn:rosemarypitch:")));
    cluster.wait_until_idle().await;
}

#[tokio::test]
async fn malformed_requests_get_an_error_or_a_clean_close() {
    let cluster = start_cluster().await;
    let large_head =
        post(&format!("x-large: {}\r\ncontent-length: 2\r\n", "x".repeat(40_000)), "{}");
    let large_body = post("content-length: 200000\r\n", &"x".repeat(200_000));
    let cases: Vec<(&str, String, &[&str])> = vec![
        ("oversized head", large_head, &["431", "400", ""]),
        ("oversized body", large_body, &["413", ""]),
        ("two lengths", post("content-length: 2\r\ncontent-length: 3\r\n", "{}"), &["400"]),
        (
            "length and chunks",
            post("content-length: 5\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n"),
            &["400"],
        ),
        (
            "smuggled chunk size",
            post("transfer-encoding: chunked\r\n", "zz\r\n{}\r\n0\r\n\r\n"),
            &["400", ""],
        ),
        ("unknown coding", post("transfer-encoding: gzip\r\n", "{}"), &["400", "501", ""]),
        ("bad utf-8", post("content-length: 0\r\nx-a: b\r\n\u{ff}\r\n", ""), &["400", ""]),
        ("no version", "POST /v1/completions\r\n\r\n".to_owned(), &["400", ""]),
        ("slow head", "POST /v1/completions HTTP/1.1\r\nhost".to_owned(), &["408", ""]),
        ("slow body", post("content-length: 100\r\n", "{"), &["408"]),
        ("two keys", post("authorization: Bearer other\r\ncontent-length: 2\r\n", "{}"), &["400"]),
    ];
    for (name, bytes, statuses) in cases {
        let response =
            exchange(&cluster, bytes.as_bytes()).await.unwrap_or_else(|e| panic!("{name}: {e}"));
        let status = response.split(' ').nth(1).unwrap_or_default();
        assert!(statuses.contains(&status), "{name}: {response}");
    }
    let response = cluster.send_chat(0, CLUBS_KEY, &chat_request("still served", 3, false)).await;
    assert_eq!(response.status(), StatusCode::OK);
}

#[tokio::test]
async fn disconnected_clients_release_engine_memory() {
    let cluster = start_cluster().await;
    for delay in [0, 5, 20, 60, 200] {
        let body = chat_request("a file whose caller goes away", 2_000, true).to_string();
        let length = format!("content-length: {}\r\n", body.len());
        let mut stream = TcpStream::connect(cluster.hosts[0].callers).await.expect("connected");
        stream.write_all(post(&length, &body).as_bytes()).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(delay)).await;
        drop(stream);
    }
    tokio::time::timeout(Duration::from_secs(10), cluster.wait_until_idle())
        .await
        .expect("released");
}

#[tokio::test]
async fn api_keys_never_reach_upstreams() {
    let cluster = start_cluster().await;
    let send = |path: &'static str, body: String| {
        let request = cluster.client.post(cluster.url(0, path)).bearer_auth(CLUBS_KEY);
        let request =
            request.header("x-api-key", CLUBS_KEY).header("cookie", format!("key={CLUBS_KEY}"));
        request.header("referer", format!("http://x/?key={CLUBS_KEY}")).body(body).send()
    };
    let response = send("/entry-desk/teams", "team".to_owned()).await.expect("a response");
    assert_eq!(response.status(), StatusCode::OK);
    for (path, body) in [
        ("/entry-desk/teams?key=key-of-the-clubs", "team".to_owned()),
        ("/entry-desk/teams?key=key%2Dof-the-clubs", "team".to_owned()),
        ("/entry-desk/key-of-the-clubs", "team".to_owned()),
        ("/entry-desk/teams", format!("team {CLUBS_KEY}")),
        ("/entry-desk/teams", format!("{}{CLUBS_KEY}", "x".repeat(90_000))),
        ("/notices/all", format!("team {CLUBS_KEY}")),
    ] {
        let response = send(path, body).await.expect("a response");
        assert!(response.status().is_client_error() || response.status().is_server_error());
    }
    let calls = serde_json::to_string(&cluster.service_calls().await).expect("JSON");
    assert!(!calls.contains(CLUBS_KEY), "{calls}");
    assert!(calls.contains("team"));
}

#[rstest]
#[case::no_key(None, "/v1/models", 401)]
#[case::unknown_key(Some("other"), "/v1/models", 401)]
#[case::operators_key(Some(support::OPERATOR_KEY), "/v1/models", 401)]
#[case::key(Some(CLUBS_KEY), "/v1/models", 200)]
#[case::no_route(Some(CLUBS_KEY), "/nothing", 404)]
#[case::wrong_method(Some(CLUBS_KEY), "/v1/completions", 405)]
#[case::service_without_key(None, "/entry-desk/teams", 401)]
#[case::prefix_only(Some(CLUBS_KEY), "/entry-desks", 404)]
#[case::open_route_without_server(None, "/notices/all", 503)]
#[tokio::test]
async fn routes_require_a_valid_key(
    #[case] key: Option<&str>,
    #[case] path: &str,
    #[case] status: u16,
) {
    let cluster = start_cluster().await;
    let request = cluster.client.get(cluster.url(0, path));
    let request = match key {
        Some(key) => request.bearer_auth(key),
        None => request,
    };
    let response = request.send().await.expect("a response");
    assert_eq!(response.status().as_u16(), status);
}

#[tokio::test]
async fn the_operators_interface_requires_an_operator_key() {
    let cluster = start_cluster().await;
    for key in [CLUBS_KEY, "other"] {
        let url = format!("http://{}/admin/config", cluster.hosts[0].operators);
        let response = cluster.client.get(url).bearer_auth(key).send().await.expect("a response");
        assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    }
    let rejected =
        cluster.patch(0, 1, &json!({ "customers": { "Bad Name": null }, "no": 1 })).await;
    assert_eq!(rejected.status(), StatusCode::UNPROCESSABLE_ENTITY);
}
