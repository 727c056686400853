//! Operators' commands, run as processes against a running host.

mod support;

use std::fs;
use std::process::{Command, Output};

use reqwest::StatusCode;
use serde_json::{Value, json};

use support::{Cluster, HostSpec, OPERATOR_KEY, PROGRAM, chat_request};

/// Runs an operators' command against the first host.
fn run(cluster: &Cluster, arguments: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.env("ROSEMARYPITCH_KEY", OPERATOR_KEY);
    command.env("ROSEMARYPITCH_ADMIN", cluster.hosts[0].operators.to_string());
    command.args(arguments).output().expect("the program runs")
}

/// Parses the standard output of a successful command.
fn json_output(output: &Output) -> Value {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[tokio::test]
async fn customers_keys_and_limits_can_be_managed() {
    let cluster = Cluster::start(1, &[HostSpec::new("a-1", "a")]).await;
    let limit = ["--rate", "5000", "--burst", "5000"];
    let created = run(&cluster, &[&["--json", "customer", "put", "press"], &limit[..]].concat());
    assert_eq!(json_output(&created)["number"], 2);
    let key = json_output(&run(&cluster, &["--json", "key", "create", "press", "--label", "desk"]));
    let (secret, digest) = (key["secret"].as_str(), key["digest"].as_str());
    let (secret, digest) = (secret.expect("a secret"), digest.expect("a digest"));
    let keys = run(&cluster, &["--json", "key", "list", "press"]);
    assert_eq!(json_output(&keys)["keys"][digest]["label"], "desk");
    assert!(!String::from_utf8_lossy(&keys.stdout).contains(secret));
    let response = cluster.send_chat(0, secret, &chat_request("hello", 1, false)).await;
    assert_eq!(response.status(), StatusCode::OK);

    let raise = ["limit", "raise", "press", "--rate", "6000", "--burst", "6000"];
    assert!(run(&cluster, &raise).status.success());
    let lower = run(&cluster, &["limit", "raise", "press", "--rate", "1", "--burst", "6000"]);
    assert_eq!(lower.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&lower.stderr).contains("customers.press.limit.rate"));

    assert!(run(&cluster, &["key", "withdraw", "press", digest]).status.success());
    assert_eq!(run(&cluster, &["key", "withdraw", "press", digest]).status.code(), Some(3));
    let response = cluster.send_chat(0, secret, &chat_request("hello", 1, false)).await;
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(run(&cluster, &["key", "create", "nobody"]).status.code(), Some(3));
}

#[tokio::test]
async fn the_configuration_can_be_shown_and_patched() {
    let cluster = Cluster::start(1, &[HostSpec::new("a-1", "a")]).await;
    let path = std::env::temp_dir().join(format!("rosemarypitch-{}-p.json", std::process::id()));
    let file = path.to_str().expect("text");
    fs::write(&path, json!({ "services": { "notices": { "cost": 1 } } }).to_string())
        .expect("written");
    let patch = ["config", "patch", file, "--number", "1", "--id", "notices"];
    assert!(run(&cluster, &patch).status.success());
    // A repeat with the same identifier succeeds; another patch against version 1 is stale.
    assert!(run(&cluster, &patch).status.success());
    let stale = run(&cluster, &["config", "patch", file, "--number", "1", "--id", "other"]);
    assert_eq!(stale.status.code(), Some(5));
    fs::write(&path, r#"[{"op":"replace","path":"/services/notices/cost","value":2}]"#)
        .expect("written");
    assert!(run(&cluster, &["config", "patch", file]).status.success());
    fs::remove_file(&path).expect("removed");
    let document = json_output(&run(&cluster, &["config", "show"]));
    assert_eq!(
        (&document["number"], &document["services"]["notices"]["cost"]),
        (&json!(3), &json!(2))
    );
    let history = json_output(&run(&cluster, &["--json", "config", "history"]));
    assert_eq!(history[1], json!({ "id": "notices", "number": 2 }));

    assert!(run(&cluster, &["upstream", "leave", "engine-1"]).status.success());
    let status = json_output(&run(&cluster, &["--json", "status"]));
    assert_eq!(status["upstreams"]["engine-1"]["leaving"], true);
    assert!(run(&cluster, &["upstream", "return", "engine-1"]).status.success());
    assert_eq!(run(&cluster, &["upstream", "leave", "nothing"]).status.code(), Some(3));
    assert!(run(&cluster, &["status"]).status.success());
    assert!(run(&cluster, &["customer", "list"]).status.success());
}
