//! Operators' commands against a running host.

mod support;

use std::fs;
use std::process::{Command, Output};

use reqwest::StatusCode;
use serde_json::{Value, json};

use support::{HostPlan, OPERATOR, PROGRAM, Site, chat};

fn run(site: &Site, arguments: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.env("ROSEMARYPITCH_KEY", OPERATOR);
    command.env("ROSEMARYPITCH_ADMIN", site.hosts[0].operators.to_string());
    command.args(arguments).output().expect("the program runs")
}

fn said(output: &Output) -> Value {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[tokio::test]
async fn a_customer_is_made_given_a_key_raised_and_its_key_withdrawn() {
    let site = Site::start(1, &[HostPlan::new("a-1", "a")]).await;
    let limit = ["--rate", "5000", "--burst", "5000"];
    let made = run(&site, &[&["--json", "customer", "put", "press"], &limit[..]].concat());
    assert_eq!(said(&made)["number"], 2);
    let key = said(&run(&site, &["--json", "key", "create", "press", "--label", "desk"]));
    let (secret, digest) = (key["secret"].as_str(), key["digest"].as_str());
    let (secret, digest) = (secret.expect("a secret"), digest.expect("a digest"));
    let keys = run(&site, &["--json", "key", "list", "press"]);
    assert_eq!(said(&keys)["keys"][digest]["label"], "desk");
    assert!(!String::from_utf8_lossy(&keys.stdout).contains(secret));
    let response = site.complete(0, secret, &chat("hello", 1, false)).await;
    assert_eq!(response.status(), StatusCode::OK);

    let raise = ["limit", "raise", "press", "--rate", "6000", "--burst", "6000"];
    assert!(run(&site, &raise).status.success());
    let lower = run(&site, &["limit", "raise", "press", "--rate", "1", "--burst", "6000"]);
    assert_eq!(lower.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&lower.stderr).contains("customers.press.limit.rate"));

    assert!(run(&site, &["key", "withdraw", "press", digest]).status.success());
    assert_eq!(run(&site, &["key", "withdraw", "press", digest]).status.code(), Some(3));
    let response = site.complete(0, secret, &chat("hello", 1, false)).await;
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(run(&site, &["key", "create", "nobody"]).status.code(), Some(3));
}

#[tokio::test]
async fn the_configuration_is_shown_patched_and_its_patches_listed() {
    let site = Site::start(1, &[HostPlan::new("a-1", "a")]).await;
    let path = std::env::temp_dir().join(format!("rosemarypitch-{}-p.json", std::process::id()));
    let file = path.to_str().expect("text");
    fs::write(&path, json!({ "services": { "notices": { "cost": 1 } } }).to_string())
        .expect("written");
    let patch = ["config", "patch", file, "--number", "1", "--id", "notices"];
    assert!(run(&site, &patch).status.success());
    // The same patch again is the same patch; another one is stale.
    assert!(run(&site, &patch).status.success());
    let stale = run(&site, &["config", "patch", file, "--number", "1", "--id", "other"]);
    assert_eq!(stale.status.code(), Some(5));
    fs::write(&path, r#"[{"op":"replace","path":"/services/notices/cost","value":2}]"#)
        .expect("written");
    assert!(run(&site, &["config", "patch", file]).status.success());
    fs::remove_file(&path).expect("removed");
    let document = said(&run(&site, &["config", "show"]));
    assert_eq!(
        (&document["number"], &document["services"]["notices"]["cost"]),
        (&json!(3), &json!(2))
    );
    let history = said(&run(&site, &["--json", "config", "history"]));
    assert_eq!(history[1], json!({ "id": "notices", "number": 2 }));

    assert!(run(&site, &["upstream", "leave", "engine-1"]).status.success());
    let status = said(&run(&site, &["--json", "status"]));
    assert_eq!(status["upstreams"]["engine-1"]["leaving"], true);
    assert!(run(&site, &["upstream", "return", "engine-1"]).status.success());
    assert_eq!(run(&site, &["upstream", "leave", "nothing"]).status.code(), Some(3));
    assert!(run(&site, &["status"]).status.success());
    assert!(run(&site, &["customer", "list"]).status.success());
}
