//! Failures of real processes: kills, freezes, stops and platform outages.

mod support;

use std::time::Duration;

use reqwest::StatusCode;
use serde_json::{Value, json};

use support::{CLUBS, GUESTS, Host, HostPlan, Site, chat, digest, expected};

/// Longest wait for something that the brief wants within seconds.
const SECONDS: Duration = Duration::from_secs(10);

/// Tokens that take longer than any pause of a graceful shutdown.
const LONG: u32 = 1_000;

fn plans() -> Vec<HostPlan> {
    vec![HostPlan::new("a-1", "a"), HostPlan::new("a-2", "a"), HostPlan::new("b-1", "b")]
}

#[tokio::test]
async fn engine_memory_of_a_killed_host_is_freed() {
    let mut site = Site::start(2, &plans()).await;
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let request = site.client.post(site.url(0, "/v1/chat/completions"));
            let body = chat(&format!("long file {number}"), 2_000, true);
            tokio::spawn(request.bearer_auth(CLUBS).json(&body).send())
        })
        .collect();
    // The callers keep reading: nothing but the kill ends these streams.
    let mut open = Vec::new();
    for stream in streams {
        let response = stream.await.expect("sent").expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
        open.push(response);
    }
    assert!(!site.work(1).await.is_empty() || !site.work(2).await.is_empty());
    site.hosts[0].process.kill();
    // Undisturbed, the streams would run for 2,000 tokens of 4 ms or more.
    tokio::time::timeout(SECONDS, site.until_idle()).await.expect("freed within seconds");
    let prompt = "the next packet";
    let response = site.complete(1, CLUBS, &chat(prompt, 5, false)).await;
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["choices"][0]["message"]["content"], expected(prompt, 5));
}

#[tokio::test]
async fn a_frozen_host_is_fenced_and_leaves_nothing_when_it_wakes() {
    let site = Site::start(2, &plans()).await;
    let request = site.client.post(site.url(0, "/v1/chat/completions"));
    let body = chat("a file read by a host that freezes", 2_000, true);
    let response = request.bearer_auth(CLUBS).json(&body).send().await.expect("an answer");
    site.hosts[0].process.signal("-STOP");
    tokio::time::timeout(SECONDS, site.until_idle()).await.expect("freed within seconds");
    site.hosts[0].process.signal("-CONT");
    // The stream is resumed or ends with an error, never as if it were whole.
    let text = response.text().await.unwrap_or_default();
    let tokens = text.matches("\"content\"").count();
    assert!(tokens == 2_000 || !text.contains("[DONE]"), "{tokens} tokens, and DONE");
    site.until_idle().await;
}

#[tokio::test]
async fn a_decode_engine_that_dies_is_replaced_without_a_missing_token() {
    let mut site = Site::start(2, &plans()).await;
    let prompt = "a file whose engine dies";
    let request = site.client.post(site.url(0, "/v1/chat/completions"));
    let body = chat(prompt, 400, false);
    let sent = tokio::spawn(request.bearer_auth(CLUBS).json(&body).send());
    let busy = loop {
        let (one, two) = (site.work(1).await.len(), site.work(2).await.len());
        if one + two > 0 {
            break if one > 0 { 1 } else { 2 };
        }
    };
    site.engines[busy].kill();
    let response = sent.await.expect("sent").expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["choices"][0]["message"]["content"], expected(prompt, 400));
}

#[tokio::test]
async fn a_planned_stop_cuts_no_request() {
    let mut site = Site::start(2, &plans()).await;
    let mut sent = Vec::new();
    for number in 0..8 {
        let prompt = format!("file {number}");
        let request = site.client.post(site.url(0, "/v1/chat/completions"));
        // Longer than the notice that a stopping host gives before it closes its listener.
        let body = chat(&prompt, LONG, false);
        sent.push((prompt, tokio::spawn(request.bearer_auth(CLUBS).json(&body).send())));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.hosts[0].process.signal("-TERM");
    for (prompt, task) in sent {
        let response = task.await.expect("sent").expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
        let body: Value = response.json().await.expect("JSON");
        assert_eq!(body["choices"][0]["message"]["content"], expected(&prompt, LONG));
    }
    assert!(site.hosts[0].process.ended(Duration::from_secs(20)).await);
    let response = site.complete(1, CLUBS, &chat("after the stop", 5, false)).await;
    assert_eq!(response.status(), StatusCode::OK);
}

#[tokio::test]
async fn a_second_signal_ends_a_graceful_shutdown() {
    let mut site = Site::start(1, &plans()).await;
    let request = site.client.post(site.url(0, "/v1/chat/completions"));
    let body = chat("a file that takes long", 2_000, true);
    let response = request.bearer_auth(CLUBS).json(&body).send().await.expect("an answer");
    site.hosts[0].process.signal("-TERM");
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.hosts[0].process.signal("-TERM");
    assert!(site.hosts[0].process.ended(Duration::from_secs(3)).await);
    let text = response.text().await.unwrap_or_default();
    assert!(!text.contains("[DONE]"));
}

#[tokio::test]
async fn a_withdrawn_key_stops_on_all_hosts_and_open_connections() {
    let site = Site::start(1, &plans()).await;
    for host in 0..3 {
        let response = site.complete(host, GUESTS, &chat("hello", 1, false)).await;
        assert_eq!(response.status(), StatusCode::OK);
    }
    let withdrawn = json!({ "customers": { "guests": { "keys": { digest(GUESTS): null } } } });
    let response = site.patch(1, 1, &withdrawn).await;
    assert_eq!(response.status(), StatusCode::OK);
    site.until_number(2).await;
    for host in 0..3 {
        let response = site.complete(host, GUESTS, &chat("hello", 1, false)).await;
        assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
        let body: Value = response.json().await.expect("JSON");
        assert_eq!(body["ran"], "no");
    }
}

#[tokio::test]
async fn requests_go_on_while_the_platform_is_down() {
    let site = Site::start(1, &plans()).await;
    site.platform_faults(json!({ "down": true })).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for host in 0..3 {
        let response = site.complete(host, CLUBS, &chat("file", 5, false)).await;
        assert_eq!(response.status(), StatusCode::OK);
    }
    // A key cannot be claimed, so the call must not run.
    let request = site.client.post(site.url(0, "/entry-desk/teams")).bearer_auth(CLUBS);
    let response = request.header("idempotency-key", "k").body("team").send().await;
    let response = response.expect("an answer");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["ran"], "no");
    assert_eq!(site.desk_calls().await.len(), 0);
    let refused = site.patch(0, 1, &json!({ "classes": {} })).await;
    assert!(refused.status().is_server_error());
    site.platform_faults(json!({})).await;
    let response = site.patch(0, 1, &json!({ "services": { "notices": { "cost": 0 } } })).await;
    assert_eq!(response.status(), StatusCode::OK);
}

#[tokio::test]
async fn a_patch_against_a_stale_number_or_lower_limit_is_rejected_whole() {
    let site = Site::start(1, &plans()).await;
    let stale = site.patch(0, 0, &json!({ "services": { "notices": { "cost": 1 } } })).await;
    assert_eq!(stale.status(), StatusCode::PRECONDITION_FAILED);
    let lower = json!({
        "services": { "notices": { "cost": 1 } },
        "customers": { "clubs": { "limit": { "rate": 1 } } },
    });
    let lowered = site.patch(0, 1, &lower).await;
    assert_eq!(lowered.status(), StatusCode::UNPROCESSABLE_ENTITY);
    let body: Value = lowered.json().await.expect("JSON");
    assert_eq!(body["faults"][0]["path"], "customers.clubs.limit.rate");
    assert_eq!(site.status(0).await["host"]["number"], 1);
}

#[tokio::test]
async fn a_registration_runs_at_most_once() {
    let site = Site::start(1, &plans()).await;
    // Without a key: the service does the work and drops the connection.
    let request = site.client.post(site.url(0, "/entry-desk/teams?fail=after"));
    let response = request.bearer_auth(CLUBS).body("one").send().await.expect("an answer");
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["ran"], "maybe");
    assert_eq!(site.desk_calls().await.len(), 1);
    // With a key: repeats through every host learn the one outcome.
    for host in 0..3 {
        let request = site.client.post(site.url(host, "/entry-desk/teams")).bearer_auth(CLUBS);
        let response = request.header("idempotency-key", "team-7").body("seven").send().await;
        let response = response.expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
        let replayed = response.headers().contains_key("idempotent-replayed");
        assert_eq!(replayed, host > 0);
    }
    // With a key whose first call broke off: the repeat is told that it may have run.
    for host in 0..2 {
        let url = site.url(host, "/entry-desk/teams?fail=after");
        let request = site.client.post(url).bearer_auth(CLUBS);
        let response = request.header("idempotency-key", "team-8").body("eight").send().await;
        let body: Value = response.expect("an answer").json().await.expect("JSON");
        assert_eq!(body["ran"], "maybe");
    }
    let calls = site.desk_calls().await;
    let count = |text: &str| calls.iter().filter(|call| call["body"] == text).count();
    assert_eq!((count("one"), count("seven"), count("eight")), (1, 1, 1));
}

#[tokio::test]
async fn a_broken_call_goes_to_another_server_only_if_it_may_be_repeated() {
    let site = Site::start(1, &plans()).await;
    let other = support::Process::start(&["standin", "service"]);
    let kind = json!({ "service": { "service": "entry-desk" } });
    let upstream = json!({ "kind": kind, "address": other.line, "data_centre": "a" });
    let response = site.patch(0, 1, &json!({ "upstreams": { "desk-1": upstream } })).await;
    assert_eq!(response.status(), StatusCode::OK);
    site.until_number(2).await;
    let url = site.url(0, "/entry-desk/teams?fail=after");
    for (method, count) in [(reqwest::Method::POST, 1), (reqwest::Method::GET, 2)] {
        let request = site.client.request(method.clone(), &url).bearer_auth(CLUBS);
        let response = request.body("x").send().await.expect("an answer");
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
        let calls = |line: &str| reqwest::get(format!("http://{line}/_calls"));
        let mut seen = 0;
        for line in [&site.desk.line, &other.line] {
            let all: Vec<Value> = calls(line).await.expect("sent").json().await.expect("JSON");
            seen += all.iter().filter(|call| call["method"] == method.as_str()).count();
        }
        assert_eq!(seen, count, "{method}");
    }
    // A leaving server gets nothing, whatever the other answers.
    let leaving = json!({ "upstreams": { "desk-0": { "state": "leaving" } } });
    let before = site.desk_calls().await.len();
    assert_eq!(site.patch(0, 2, &leaving).await.status(), StatusCode::OK);
    site.until_number(3).await;
    for host in [0, 1, 2, 0, 1, 2] {
        let request = site.client.post(site.url(host, "/entry-desk/teams")).bearer_auth(CLUBS);
        assert_eq!(request.body("y").send().await.expect("sent").status(), StatusCode::OK);
    }
    assert_eq!(site.desk_calls().await.len(), before);
}

#[tokio::test]
async fn a_customer_gets_no_more_than_its_limit_over_all_hosts_while_one_restarts() {
    let mut site = Site::start(2, &plans()).await;
    let begun = tokio::time::Instant::now();
    let mut admitted = 0_u64;
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..120 {
        if number == 60 {
            site.hosts[2].process.kill();
            let platform = site.platform.address();
            site.hosts[2] = Host::start(&plans()[2], platform);
        }
        let host = number % 3;
        let request = site.client.post(site.url(host, "/v1/chat/completions"));
        // 40 tokens of prompt and 10 of output, against 1,000 a second and 1,000 at once.
        let body = chat(&"word".repeat(40), 10, false);
        let sent = request.bearer_auth(GUESTS).json(&body).send();
        tasks.spawn(tokio::time::timeout(SECONDS, sent));
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    while let Some(result) = tasks.join_next().await {
        if let Ok(Ok(Ok(response))) = result
            && response.status() == StatusCode::OK
        {
            admitted += 50;
        }
    }
    let allowed = 1_000.0 + 1_000.0 * begun.elapsed().as_secs_f64();
    assert!(admitted as f64 <= allowed, "{admitted} of {allowed}");
    assert!(admitted >= 1_000, "only {admitted} were admitted");
}
