//! Commands that read or change a running host through the operators' interface.

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use http::Method;
use rosemarypitch_config::{Digest, Document, Fault, Faults};
use serde_json::{Value, json};

use crate::admin_client::{AdminRequest, send};
use crate::cli::{
    AdminOptions, ConfigCommand, CustomerCommand, KeyCommand, LimitCommand, UpstreamCommand,
};
use crate::failure::Failure;

/// Runs a `config` command.
pub fn config(options: &AdminOptions, command: ConfigCommand) -> Result<(), Failure> {
    match command {
        ConfigCommand::Show => print_json(&send(options, AdminRequest::get("/admin/config"))?),
        ConfigCommand::Check { file } => check_document(&file),
        ConfigCommand::Patch { file, number, id } => apply_patch(options, &file, number, id),
        ConfigCommand::History => {
            let history = send(options, AdminRequest::get("/admin/config/history"))?;
            if options.json {
                return print_json(&history);
            }
            for patch in history.as_array().into_iter().flatten() {
                println!("{:>8}  {}", patch["number"], str_or_empty(&patch["id"]));
            }
            Ok(())
        }
    }
}

/// Runs a `customer` command.
pub fn customer(options: &AdminOptions, command: CustomerCommand) -> Result<(), Failure> {
    match command {
        CustomerCommand::List => {
            let customers = send(options, AdminRequest::get("/admin/customers"))?;
            if options.json {
                return print_json(&customers);
            }
            println!(
                "{:<24} {:<6} {:>12} {:>12} {:>5}",
                "customer", "class", "rate", "burst", "keys"
            );
            for (name, customer) in customers.as_object().into_iter().flatten() {
                let limit = &customer["limit"];
                let keys = customer["keys"].as_object().map_or(0, serde_json::Map::len);
                let (rate, burst) = (&limit["rate"], &limit["burst"]);
                let class = str_or_empty(&customer["class"]);
                println!("{name:<24} {class:<6} {rate:>12} {burst:>12} {keys:>5}");
            }
            Ok(())
        }
        CustomerCommand::Put { name, rate, burst, class } => {
            let body = json!({ "class": class, "limit": { "rate": rate, "burst": burst } });
            let path = format!("/admin/customers/{name}");
            print_version(options, &send(options, AdminRequest::json(Method::PUT, path, &body))?)
        }
    }
}

/// Runs a `key` command.
pub fn key(options: &AdminOptions, command: KeyCommand) -> Result<(), Failure> {
    match command {
        KeyCommand::Create { customer, label } => {
            let path = format!("/admin/customers/{customer}/keys");
            let created =
                send(options, AdminRequest::json(Method::POST, path, &json!({ "label": label })))?;
            if options.json {
                return print_json(&created);
            }
            println!("{}", str_or_empty(&created["secret"]));
            eprintln!("digest {}; the key is not shown again", str_or_empty(&created["digest"]));
            Ok(())
        }
        KeyCommand::List { customer } => {
            let keys =
                send(options, AdminRequest::get(format!("/admin/customers/{customer}/keys")))?;
            if options.json {
                return print_json(&keys);
            }
            for (digest, key) in keys["keys"].as_object().into_iter().flatten() {
                println!("{digest}  {}", str_or_empty(&key["label"]));
            }
            Ok(())
        }
        KeyCommand::Withdraw { customer, digest } => {
            let path = format!("/admin/customers/{customer}/keys/{digest}");
            let request = AdminRequest { method: Method::DELETE, ..AdminRequest::get(path) };
            send(options, request)?;
            println!("withdrawn");
            Ok(())
        }
        KeyCommand::Digest => {
            let mut key = String::new();
            io::stdin().read_to_string(&mut key)?;
            println!("{}", Digest::of(key.trim()).text());
            Ok(())
        }
    }
}

/// Runs a `limit` command.
pub fn limit(options: &AdminOptions, command: LimitCommand) -> Result<(), Failure> {
    let LimitCommand::Raise { customer, rate, burst } = command;
    let body = json!({ "rate": rate, "burst": burst });
    let path = format!("/admin/customers/{customer}/limit");
    print_version(options, &send(options, AdminRequest::json(Method::PUT, path, &body))?)
}

/// Runs an `upstream` command.
pub fn upstream(options: &AdminOptions, command: UpstreamCommand) -> Result<(), Failure> {
    let (name, state) = match command {
        UpstreamCommand::Leave { name } => (name, "leaving"),
        UpstreamCommand::Return { name } => (name, "serving"),
    };
    let path = format!("/admin/upstreams/{name}/state");
    print_version(options, &send(options, AdminRequest::json(Method::PUT, path, &json!(state)))?)
}

/// Prints the state of the host and its peers; the JSON form also lists the upstreams.
pub fn status(options: &AdminOptions) -> Result<(), Failure> {
    let status = send(options, AdminRequest::get("/admin/status"))?;
    if options.json {
        return print_json(&status);
    }
    println!("{:<20} {:<16} {:>8} {:>7} {:<8}", "host", "data centre", "config", "shares", "state");
    let peers = status["peers"].as_array().into_iter().flatten();
    for host in std::iter::once(&status["host"]).chain(peers) {
        let state = if host["leaving"] == json!(true) { "leaving" } else { "live" };
        let (name, data_centre) = (str_or_empty(&host["host"]), str_or_empty(&host["data_centre"]));
        let (number, shares) = (&host["number"], &host["shares"]);
        println!("{name:<20} {data_centre:<16} {number:>8} {shares:>7} {state:<8}");
    }
    println!("ready: {}, requests in flight on this host: {}", status["ready"], status["open"]);
    Ok(())
}

/// Sends a patch against `number`, or against the version in force if none is given.
fn apply_patch(
    options: &AdminOptions,
    file: &Path,
    number: Option<u64>,
    id: Option<String>,
) -> Result<(), Failure> {
    let body = read_input(file)?;
    let value: Value = serde_json::from_str(&body).map_err(|error| json_failure(file, &error))?;
    let media_type = match value {
        Value::Array(_) => "application/json-patch+json",
        _ => "application/merge-patch+json",
    };
    let number = match number {
        Some(number) => number,
        None => send(options, AdminRequest::get("/admin/config"))?["number"].as_u64().unwrap_or(0),
    };
    let mut headers = vec![("if-match", format!("\"{number}\""))];
    headers.extend(id.map(|id| ("patch-id", id)));
    let request = AdminRequest {
        method: Method::PATCH,
        path: "/admin/config".to_owned(),
        body: Some((media_type, body.into_bytes())),
        headers,
    };
    print_version(options, &send(options, request)?)
}

fn check_document(file: &Path) -> Result<(), Failure> {
    let text = read_input(file)?;
    let document: Document =
        serde_json::from_str(&text).map_err(|error| json_failure(file, &error))?;
    let invalid = |faults| Failure::Invalid(file.to_owned(), faults);
    rosemarypitch_config::check(&document).map_err(invalid)?;
    println!("{}: valid", file.display());
    Ok(())
}

/// Reads a file, or standard input if the path is `-`.
fn read_input(file: &Path) -> Result<String, Failure> {
    if file == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    fs::read_to_string(file).map_err(|error| Failure::File(PathBuf::from(file), error))
}

fn json_failure(file: &Path, error: &serde_json::Error) -> Failure {
    Failure::Invalid(file.to_owned(), Faults(vec![Fault::new("", error.to_string())]))
}

/// Prints the version of the configuration that a change produced.
fn print_version(options: &AdminOptions, response: &Value) -> Result<(), Failure> {
    if options.json {
        return print_json(&json!({ "number": response["number"] }));
    }
    println!("configuration version {} is in force", response["number"]);
    Ok(())
}

fn print_json(value: &Value) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value);
    println!("{}", text.map_err(|error| Failure::System(error.to_string()))?);
    Ok(())
}

fn str_or_empty(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
