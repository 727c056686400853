//! Files and commands that ship with the program: examples, the OpenAPI document and the
//! command line.

mod support;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use rosemarypitch_config::{Document, Settings};
use rosemarypitch_experiment::Plan;
use rstest::rstest;
use serde_json::Value;

/// Root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Paths of the files in a folder of the repository, sorted.
fn files(folder: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(root().join(folder)).expect("the folder exists");
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.expect("an entry").path()).collect();
    paths.sort();
    paths
}

fn run(arguments: &[&str]) -> Output {
    Command::new(support::PROGRAM).args(arguments).output().expect("the program runs")
}

#[rstest]
#[case("examples/board", 5)]
#[case("examples/guild", 4)]
fn example_settings_are_valid(#[case] folder: &str, #[case] hosts: usize) {
    let mut settings = 0;
    for path in files(folder) {
        let text = fs::read_to_string(&path).expect("readable");
        if path.ends_with("configuration.json") {
            let document: Document = serde_json::from_str(&text).expect("a document");
            assert_eq!(rosemarypitch_config::check(&document), Ok(()));
        } else {
            Settings::parse(&text, &[]).unwrap_or_else(|faults| panic!("{path:?}: {faults}"));
            settings += 1;
        }
    }
    assert_eq!(settings, hosts);
}

#[test]
fn example_experiments_are_valid() {
    for path in files("examples/experiments") {
        let text = fs::read_to_string(&path).expect("readable");
        let value: Value = serde_json::from_str(&text).expect("JSON");
        for (name, change) in value["cells"].as_object().expect("cells") {
            let mut plan = value["base"].as_object().cloned().expect("a base");
            plan.extend(change.as_object().cloned().expect("changes"));
            let parsed = Plan::parse(&Value::Object(plan).to_string());
            assert!(parsed.is_ok(), "{name}: {:?}", parsed.err());
        }
    }
}

#[test]
fn the_committed_openapi_document_is_current() {
    let committed = fs::read_to_string(root().join("docs/openapi.json")).expect("committed");
    let committed: Value = serde_json::from_str(&committed).expect("JSON");
    assert!(
        committed == rosemarypitch_gateway::openapi(),
        "docs/openapi.json is outdated; regenerate it with `rosemarypitch openapi`"
    );
}

#[test]
fn check_reports_all_faults_of_a_settings_file_with_their_paths() {
    let path = std::env::temp_dir().join(format!("rosemarypitch-{}-bad.json", std::process::id()));
    let text = r#"{ "host": "", "data_centre": 7, "region": "r", "colour": 1,
        "callers": { "listen": "localhost:80" }, "operators": { "listen": "127.0.0.1:0" },
        "peers": { "listen": "127.0.0.1:0", "secret": "short", "heartbeat_ms": 0 },
        "platform": { "address": "127.0.0.1:1" } }"#;
    fs::write(&path, text).expect("written");
    let output = run(&["check", path.to_str().expect("text")]);
    fs::remove_file(&path).expect("removed");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    for fault in [
        "host:",
        "data_centre:",
        "colour:",
        "callers.listen:",
        "peers.secret:",
        "peers.heartbeat_ms:",
    ] {
        assert!(stderr.contains(fault), "{fault} is not in {stderr}");
    }
}

#[test]
fn overrides_replace_fields() {
    let path = root().join("examples/board/howrah-1.json");
    let path = path.to_str().expect("text");
    assert!(run(&["check", path, "--set", "log.level=debug"]).status.success());
    assert_eq!(run(&["check", path, "--set", "log.level=loud"]).status.code(), Some(2));
    assert_eq!(run(&["check", "/no/such/file"]).status.code(), Some(1));
}

#[test]
fn completions_and_help_are_printed() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completions", shell]);
        assert!(output.status.success() && !output.stdout.is_empty());
    }
    assert!(run(&["--help"]).status.success());
}

#[test]
fn an_unreachable_host_is_reported_by_the_exit_code() {
    let mut command = Command::new(support::PROGRAM);
    let command = command.env("ROSEMARYPITCH_KEY", "key");
    let output = command.args(["status", "--admin", "127.0.0.1:1"]).output().expect("runs");
    assert_eq!(output.status.code(), Some(4));
}
