//! Operators' commands.

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use http::Method;
use rosemarypitch_config::{Digest, Document, Fault, Faults};
use serde_json::{Value, json};

use crate::admin_client::{Ask, send};
use crate::cli::{
    AdminOptions, ConfigCommand, CustomerCommand, KeyCommand, LimitCommand, UpstreamCommand,
};
use crate::failure::Failure;

/// Reads and patches the configuration.
pub fn config(options: &AdminOptions, command: ConfigCommand) -> Result<(), Failure> {
    match command {
        ConfigCommand::Show => print_json(&send(options, Ask::read("/admin/config"))?),
        ConfigCommand::Check { file } => check_document(&file),
        ConfigCommand::Patch { file, number, id } => patch(options, &file, number, id),
        ConfigCommand::History => {
            let history = send(options, Ask::read("/admin/config/history"))?;
            if options.json {
                return print_json(&history);
            }
            for mark in history.as_array().into_iter().flatten() {
                println!("{:>8}  {}", mark["number"], text(&mark["id"]));
            }
            Ok(())
        }
    }
}

/// Lists and creates customers.
pub fn customer(options: &AdminOptions, command: CustomerCommand) -> Result<(), Failure> {
    match command {
        CustomerCommand::List => {
            let customers = send(options, Ask::read("/admin/customers"))?;
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
                let class = text(&customer["class"]);
                println!("{name:<24} {class:<6} {rate:>12} {burst:>12} {keys:>5}");
            }
            Ok(())
        }
        CustomerCommand::Put { name, rate, burst, class } => {
            let body = json!({ "class": class, "limit": { "rate": rate, "burst": burst } });
            let path = format!("/admin/customers/{name}");
            accepted(options, &send(options, Ask::json(Method::PUT, path, &body))?)
        }
    }
}

/// Creates, lists and withdraws keys.
pub fn key(options: &AdminOptions, command: KeyCommand) -> Result<(), Failure> {
    match command {
        KeyCommand::Create { customer, label } => {
            let path = format!("/admin/customers/{customer}/keys");
            let made = send(options, Ask::json(Method::POST, path, &json!({ "label": label })))?;
            if options.json {
                return print_json(&made);
            }
            println!("{}", text(&made["secret"]));
            eprintln!("digest {}; the key is not shown again", text(&made["digest"]));
            Ok(())
        }
        KeyCommand::List { customer } => {
            let keys = send(options, Ask::read(format!("/admin/customers/{customer}/keys")))?;
            if options.json {
                return print_json(&keys);
            }
            for (digest, key) in keys["keys"].as_object().into_iter().flatten() {
                println!("{digest}  {}", text(&key["label"]));
            }
            Ok(())
        }
        KeyCommand::Withdraw { customer, digest } => {
            let path = format!("/admin/customers/{customer}/keys/{digest}");
            let ask = Ask { method: Method::DELETE, ..Ask::read(path) };
            send(options, ask)?;
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

/// Raises limits.
pub fn limit(options: &AdminOptions, command: LimitCommand) -> Result<(), Failure> {
    let LimitCommand::Raise { customer, rate, burst } = command;
    let body = json!({ "rate": rate, "burst": burst });
    let path = format!("/admin/customers/{customer}/limit");
    accepted(options, &send(options, Ask::json(Method::PUT, path, &body))?)
}

/// Lets upstreams leave and come back.
pub fn upstream(options: &AdminOptions, command: UpstreamCommand) -> Result<(), Failure> {
    let (name, state) = match command {
        UpstreamCommand::Leave { name } => (name, "leaving"),
        UpstreamCommand::Return { name } => (name, "serving"),
    };
    let path = format!("/admin/upstreams/{name}/state");
    accepted(options, &send(options, Ask::json(Method::PUT, path, &json!(state)))?)
}

/// Shows hosts, upstreams and configuration numbers.
pub fn status(options: &AdminOptions) -> Result<(), Failure> {
    let status = send(options, Ask::read("/admin/status"))?;
    if options.json {
        return print_json(&status);
    }
    println!("{:<20} {:<16} {:>8} {:>7} {:<8}", "host", "data centre", "config", "shares", "state");
    let peers = status["peers"].as_array().into_iter().flatten();
    for host in std::iter::once(&status["host"]).chain(peers) {
        let state = if host["leaving"] == json!(true) { "leaving" } else { "live" };
        let (name, data_centre) = (text(&host["host"]), text(&host["data_centre"]));
        let (number, shares) = (&host["number"], &host["shares"]);
        println!("{name:<20} {data_centre:<16} {number:>8} {shares:>7} {state:<8}");
    }
    println!("ready: {}, requests open here: {}", status["ready"], status["open"]);
    Ok(())
}

fn patch(
    options: &AdminOptions,
    file: &Path,
    number: Option<u64>,
    id: Option<String>,
) -> Result<(), Failure> {
    let body = read(file)?;
    let value: Value = serde_json::from_str(&body).map_err(|error| invalid(file, &error))?;
    let media = match value {
        Value::Array(_) => "application/json-patch+json",
        _ => "application/merge-patch+json",
    };
    let number = match number {
        Some(number) => number,
        None => send(options, Ask::read("/admin/config"))?["number"].as_u64().unwrap_or(0),
    };
    let mut fields = vec![("if-match", format!("\"{number}\""))];
    fields.extend(id.map(|id| ("patch-id", id)));
    let ask = Ask {
        method: Method::PATCH,
        path: "/admin/config".to_owned(),
        body: Some((media, body.into_bytes())),
        fields,
    };
    accepted(options, &send(options, ask)?)
}

fn check_document(file: &Path) -> Result<(), Failure> {
    let text = read(file)?;
    let document: Document = serde_json::from_str(&text).map_err(|error| invalid(file, &error))?;
    let faulty = |faults| Failure::Invalid(file.to_owned(), faults);
    rosemarypitch_config::check(&document).map_err(faulty)?;
    println!("{}: good", file.display());
    Ok(())
}

fn read(file: &Path) -> Result<String, Failure> {
    if file == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    fs::read_to_string(file).map_err(|error| Failure::File(PathBuf::from(file), error))
}

fn invalid(file: &Path, error: &serde_json::Error) -> Failure {
    Failure::Invalid(file.to_owned(), Faults(vec![Fault::new("", error.to_string())]))
}

fn accepted(options: &AdminOptions, answer: &Value) -> Result<(), Failure> {
    if options.json {
        return print_json(&json!({ "number": answer["number"] }));
    }
    println!("number {} in force", answer["number"]);
    Ok(())
}

fn print_json(value: &Value) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value);
    println!("{}", text.map_err(|error| Failure::System(error.to_string()))?);
    Ok(())
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
