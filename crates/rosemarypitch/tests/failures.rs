//! Failures of processes: kills, pauses, graceful shutdowns and platform outages.

mod support;

use std::time::Duration;

use reqwest::StatusCode;
use serde_json::{Value, json};

use support::{
    CLUBS_KEY, Cluster, GUESTS_KEY, Host, HostSpec, chat_request, digest, expected_text,
};

/// Longest wait for a recovery that the requirements demand within seconds.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Output length, in tokens, that takes longer than any pause of a graceful shutdown.
const LONG_OUTPUT: u32 = 1_000;

fn specs() -> Vec<HostSpec> {
    vec![HostSpec::new("a-1", "a"), HostSpec::new("a-2", "a"), HostSpec::new("b-1", "b")]
}

#[tokio::test]
async fn engine_memory_of_a_killed_host_is_freed() {
    let mut cluster = Cluster::start(2, &specs()).await;
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let request = cluster.client.post(cluster.url(0, "/v1/chat/completions"));
            let body = chat_request(&format!("long file {number}"), 2_000, true);
            tokio::spawn(request.bearer_auth(CLUBS_KEY).json(&body).send())
        })
        .collect();
    // The clients keep their connections open, so only the kill can end these streams.
    let mut open = Vec::new();
    for stream in streams {
        let response = stream.await.expect("sent").expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
        open.push(response);
    }
    assert!(!cluster.engine_work(1).await.is_empty() || !cluster.engine_work(2).await.is_empty());
    cluster.hosts[0].process.kill();
    // Without the kill, the streams would last 2,000 tokens at 4 ms or more each.
    tokio::time::timeout(TIMEOUT, cluster.wait_until_idle())
        .await
        .expect("engine memory is freed in time");
    let prompt = "the next packet";
    let response = cluster.send_chat(1, CLUBS_KEY, &chat_request(prompt, 5, false)).await;
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["choices"][0]["message"]["content"], expected_text(prompt, 5));
}

#[tokio::test]
async fn a_paused_host_is_fenced_and_holds_no_engine_memory_after_resuming() {
    let cluster = Cluster::start(2, &specs()).await;
    let request = cluster.client.post(cluster.url(0, "/v1/chat/completions"));
    let body = chat_request("a file read by a host that freezes", 2_000, true);
    let response = request.bearer_auth(CLUBS_KEY).json(&body).send().await.expect("a response");
    cluster.hosts[0].process.signal("-STOP");
    tokio::time::timeout(TIMEOUT, cluster.wait_until_idle())
        .await
        .expect("engine memory is freed in time");
    cluster.hosts[0].process.signal("-CONT");
    // The stream is resumed or ends with an error; it must not end like a complete one.
    let text = response.text().await.unwrap_or_default();
    let tokens = text.matches("\"content\"").count();
    assert!(tokens == 2_000 || !text.contains("[DONE]"), "[DONE] after {tokens} of 2000 tokens");
    cluster.wait_until_idle().await;
}

#[tokio::test]
async fn a_completion_survives_the_crash_of_its_decode_engine() {
    let mut cluster = Cluster::start(2, &specs()).await;
    let prompt = "a file whose engine dies";
    let request = cluster.client.post(cluster.url(0, "/v1/chat/completions"));
    let body = chat_request(prompt, 400, false);
    let sent = tokio::spawn(request.bearer_auth(CLUBS_KEY).json(&body).send());
    let busy = loop {
        let (one, two) = (cluster.engine_work(1).await.len(), cluster.engine_work(2).await.len());
        if one + two > 0 {
            break if one > 0 { 1 } else { 2 };
        }
    };
    cluster.engines[busy].kill();
    let response = sent.await.expect("sent").expect("a response");
    assert_eq!(response.status(), StatusCode::OK);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["choices"][0]["message"]["content"], expected_text(prompt, 400));
}

#[tokio::test]
async fn a_graceful_shutdown_completes_open_requests() {
    let mut cluster = Cluster::start(2, &specs()).await;
    let mut sent = Vec::new();
    for number in 0..8 {
        let prompt = format!("file {number}");
        let request = cluster.client.post(cluster.url(0, "/v1/chat/completions"));
        // Lasts longer than the time for which a stopping host keeps its listener open.
        let body = chat_request(&prompt, LONG_OUTPUT, false);
        sent.push((prompt, tokio::spawn(request.bearer_auth(CLUBS_KEY).json(&body).send())));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.hosts[0].process.signal("-TERM");
    for (prompt, task) in sent {
        let response = task.await.expect("sent").expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
        let body: Value = response.json().await.expect("JSON");
        assert_eq!(body["choices"][0]["message"]["content"], expected_text(&prompt, LONG_OUTPUT));
    }
    assert!(cluster.hosts[0].process.exits_within(Duration::from_secs(20)).await);
    let response = cluster.send_chat(1, CLUBS_KEY, &chat_request("after the stop", 5, false)).await;
    assert_eq!(response.status(), StatusCode::OK);
}

#[tokio::test]
async fn a_second_signal_ends_a_graceful_shutdown() {
    let mut cluster = Cluster::start(1, &specs()).await;
    let request = cluster.client.post(cluster.url(0, "/v1/chat/completions"));
    let body = chat_request("a file that takes long", 2_000, true);
    let response = request.bearer_auth(CLUBS_KEY).json(&body).send().await.expect("a response");
    cluster.hosts[0].process.signal("-TERM");
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.hosts[0].process.signal("-TERM");
    assert!(cluster.hosts[0].process.exits_within(Duration::from_secs(3)).await);
    let text = response.text().await.unwrap_or_default();
    assert!(!text.contains("[DONE]"));
}

#[tokio::test]
async fn a_revoked_key_is_rejected_by_all_hosts_and_on_open_connections() {
    let cluster = Cluster::start(1, &specs()).await;
    for host in 0..3 {
        let response = cluster.send_chat(host, GUESTS_KEY, &chat_request("hello", 1, false)).await;
        assert_eq!(response.status(), StatusCode::OK);
    }
    let withdrawn = json!({ "customers": { "guests": { "keys": { digest(GUESTS_KEY): null } } } });
    let response = cluster.patch(1, 1, &withdrawn).await;
    assert_eq!(response.status(), StatusCode::OK);
    cluster.wait_for_version(2).await;
    for host in 0..3 {
        let response = cluster.send_chat(host, GUESTS_KEY, &chat_request("hello", 1, false)).await;
        assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
        let body: Value = response.json().await.expect("JSON");
        assert_eq!(body["ran"], "no");
    }
}

#[tokio::test]
async fn requests_are_served_during_a_platform_outage() {
    let cluster = Cluster::start(1, &specs()).await;
    cluster.set_platform_faults(json!({ "down": true })).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for host in 0..3 {
        let response = cluster.send_chat(host, CLUBS_KEY, &chat_request("file", 5, false)).await;
        assert_eq!(response.status(), StatusCode::OK);
    }
    // The idempotency key cannot be claimed, so the call must not be executed.
    let request = cluster.client.post(cluster.url(0, "/entry-desk/teams")).bearer_auth(CLUBS_KEY);
    let response = request.header("idempotency-key", "k").body("team").send().await;
    let response = response.expect("a response");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["ran"], "no");
    assert_eq!(cluster.service_calls().await.len(), 0);
    let rejected = cluster.patch(0, 1, &json!({ "classes": {} })).await;
    assert!(rejected.status().is_server_error());
    cluster.set_platform_faults(json!({})).await;
    let response = cluster.patch(0, 1, &json!({ "services": { "notices": { "cost": 0 } } })).await;
    assert_eq!(response.status(), StatusCode::OK);
}

#[tokio::test]
async fn a_patch_with_a_stale_version_or_a_lower_limit_is_rejected_entirely() {
    let cluster = Cluster::start(1, &specs()).await;
    let stale = cluster.patch(0, 0, &json!({ "services": { "notices": { "cost": 1 } } })).await;
    assert_eq!(stale.status(), StatusCode::PRECONDITION_FAILED);
    let lower = json!({
        "services": { "notices": { "cost": 1 } },
        "customers": { "clubs": { "limit": { "rate": 1 } } },
    });
    let lowered = cluster.patch(0, 1, &lower).await;
    assert_eq!(lowered.status(), StatusCode::UNPROCESSABLE_ENTITY);
    let body: Value = lowered.json().await.expect("JSON");
    assert_eq!(body["faults"][0]["path"], "customers.clubs.limit.rate");
    assert_eq!(cluster.status(0).await["host"]["number"], 1);
}

#[tokio::test]
async fn a_service_call_is_executed_at_most_once() {
    let cluster = Cluster::start(1, &specs()).await;
    // Without an idempotency key: the service executes the call and drops the connection.
    let request = cluster.client.post(cluster.url(0, "/entry-desk/teams?fail=after"));
    let response = request.bearer_auth(CLUBS_KEY).body("one").send().await.expect("a response");
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["ran"], "maybe");
    assert_eq!(cluster.service_calls().await.len(), 1);
    // With a key: repeats through every host get the response of the only execution.
    for host in 0..3 {
        let request =
            cluster.client.post(cluster.url(host, "/entry-desk/teams")).bearer_auth(CLUBS_KEY);
        let response = request.header("idempotency-key", "team-7").body("seven").send().await;
        let response = response.expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
        let replayed = response.headers().contains_key("idempotent-replayed");
        assert_eq!(replayed, host > 0);
    }
    // With a key whose first call failed: the repeat reports that it may have been executed.
    for host in 0..2 {
        let url = cluster.url(host, "/entry-desk/teams?fail=after");
        let request = cluster.client.post(url).bearer_auth(CLUBS_KEY);
        let response = request.header("idempotency-key", "team-8").body("eight").send().await;
        let body: Value = response.expect("a response").json().await.expect("JSON");
        assert_eq!(body["ran"], "maybe");
    }
    let calls = cluster.service_calls().await;
    let count = |text: &str| calls.iter().filter(|call| call["body"] == text).count();
    assert_eq!((count("one"), count("seven"), count("eight")), (1, 1, 1));
}

#[tokio::test]
async fn a_failed_call_is_retried_on_another_server_only_if_idempotent() {
    let cluster = Cluster::start(1, &specs()).await;
    let other = support::Process::start(&["standin", "service"]);
    let kind = json!({ "service": { "service": "entry-desk" } });
    let upstream = json!({ "kind": kind, "address": other.first_line, "data_centre": "a" });
    let response = cluster.patch(0, 1, &json!({ "upstreams": { "desk-1": upstream } })).await;
    assert_eq!(response.status(), StatusCode::OK);
    cluster.wait_for_version(2).await;
    let url = cluster.url(0, "/entry-desk/teams?fail=after");
    for (method, count) in [(reqwest::Method::POST, 1), (reqwest::Method::GET, 2)] {
        let request = cluster.client.request(method.clone(), &url).bearer_auth(CLUBS_KEY);
        let response = request.body("x").send().await.expect("a response");
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
        let calls = |address: &str| reqwest::get(format!("http://{address}/_calls"));
        let mut executions = 0;
        for address in [&cluster.service.first_line, &other.first_line] {
            let all: Vec<Value> = calls(address).await.expect("sent").json().await.expect("JSON");
            executions += all.iter().filter(|call| call["method"] == method.as_str()).count();
        }
        assert_eq!(executions, count, "{method}");
    }
    // A draining server gets no calls, even if the other one fails.
    let leaving = json!({ "upstreams": { "desk-0": { "state": "leaving" } } });
    let before = cluster.service_calls().await.len();
    assert_eq!(cluster.patch(0, 2, &leaving).await.status(), StatusCode::OK);
    cluster.wait_for_version(3).await;
    for host in [0, 1, 2, 0, 1, 2] {
        let request =
            cluster.client.post(cluster.url(host, "/entry-desk/teams")).bearer_auth(CLUBS_KEY);
        assert_eq!(request.body("y").send().await.expect("sent").status(), StatusCode::OK);
    }
    assert_eq!(cluster.service_calls().await.len(), before);
}

#[tokio::test]
async fn a_rate_limit_holds_across_hosts_during_a_restart() {
    let mut cluster = Cluster::start(2, &specs()).await;
    let start = tokio::time::Instant::now();
    let mut admitted = 0_u64;
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..120 {
        if number == 60 {
            cluster.hosts[2].process.kill();
            let platform = cluster.platform.address();
            cluster.hosts[2] = Host::start(&specs()[2], platform);
        }
        let host = number % 3;
        let request = cluster.client.post(cluster.url(host, "/v1/chat/completions"));
        // 40 prompt tokens and 10 output tokens; the limit is 1,000 per second, burst 1,000.
        let body = chat_request(&"word".repeat(40), 10, false);
        let sent = request.bearer_auth(GUESTS_KEY).json(&body).send();
        tasks.spawn(tokio::time::timeout(TIMEOUT, sent));
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    while let Some(result) = tasks.join_next().await {
        if let Ok(Ok(Ok(response))) = result
            && response.status() == StatusCode::OK
        {
            admitted += 50;
        }
    }
    let allowed = 1_000.0 + 1_000.0 * start.elapsed().as_secs_f64();
    assert!(admitted as f64 <= allowed, "{admitted} tokens admitted, {allowed} allowed");
    assert!(admitted >= 1_000, "only {admitted} tokens were admitted");
}
