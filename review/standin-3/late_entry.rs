//! A late write takes a machine's entry away, and machines that start then count too few.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Request};
use crate::host::{Figures, Host};
use crate::server::{Kind, Server};
use crate::store::Store;
use crate::util::wait_until;
use crate::{Case, Verdict};

const KEY: &str = "9wu3fe3d3zji9n73hh2b";
const PATH: &str = "/reserve/7a";
const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"blank-reserve","host":"guild.example","prefix":"/reserve/","service":"horn-store","routeType":"non_idempotent","timeoutMs":1500,"targetLatencyMs":100,"maxAttempts":2,"priority":2}],
"services":[{"name":"horn-store","healthPath":"/healthz","maxConnections":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":["9wu3fe3d3zji9n73hh2b"],"ratePerS":60000,"burst":60000,"uncachedTokens":800}]}"#;
/// The tenant's limit and what a request without token counts takes, as in the configuration.
const RATE: f64 = 60_000.0;
const BURST: f64 = 60_000.0;
const TOKENS: f64 = 800.0;
/// Bounds of the rule, as in the settings.
const WINDOW: Duration = Duration::from_secs(8);
const OVERRUN: f64 = 0.1;
const ALLOWANCE: f64 = 120_000.0;
/// Requests a second at each machine in the burst: 7.2 times the usual of a tenant whose limit is
/// 1.8 times that.
const BURST_RATE: f64 = 75.0;
/// Requests a second at each machine before, the tenant's usual.
const USUAL_RATE: f64 = 10.0;
const USUAL_TIME: Duration = Duration::from_secs(15);
const BURST_TIME: Duration = Duration::from_millis(6_500);
const AFTER_TIME: Duration = Duration::from_secs(3);
const WORKERS: u32 = 10;

struct Sent {
    host: String,
    attempt: String,
    at: Instant,
    status: u16,
}

/// Sends requests to a machine at a rate, until `end`.
fn load(
    host: &Host,
    rate: f64,
    end: Instant,
    sent: &Arc<Mutex<Vec<Sent>>>,
) -> Vec<thread::JoinHandle<()>> {
    let pause = Duration::from_secs_f64(f64::from(WORKERS) / rate);
    let callers = host.callers;
    (0..WORKERS)
        .map(|index| {
            let (sent, name) = (sent.clone(), host.name.clone());
            thread::spawn(move || {
                let mut next =
                    Instant::now() + pause.mul_f64(f64::from(index) / f64::from(WORKERS));
                while next < end {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += pause;
                    let request = Request::new("POST", PATH, KEY, 1_500);
                    let at = Instant::now();
                    let answer = client::send(callers, &request, None);
                    let (host, attempt) = (name.clone(), request.attempt);
                    let entry = Sent { host, attempt, at, status: answer.status };
                    sent.lock().expect("sent").push(entry);
                }
            })
        })
        .collect()
}

pub fn run(case: &Case) -> Verdict {
    let record = case.record.clone();
    let store = Store::start(move |text| record.note(text));
    store.put("op/config", CONFIG);
    let kind = |zone| Kind { service: "horn-store", stage: None, version: "5.1", zone };
    let servers = [
        Server::start("i-desk-1", kind("arima")),
        Server::start("i-desk-2", kind("tunapuna")),
        Server::start("i-desk-3", kind("chaguanas")),
    ];
    servers.iter().for_each(|server| server.register(&store));
    let host = |name: &str, zone: &str| {
        Host::new(&case.folder, name, zone, store.address, Figures::default())
    };
    let hosts = [
        host("edge-arima-1", "arima"),
        host("edge-arima-2", "arima"),
        host("edge-chaguanas-1", "chaguanas"),
        host("edge-tunapuna-1", "tunapuna"),
    ];
    hosts.iter().for_each(|host| host.start(true));
    if !hosts.iter().all(Host::wait_ready) {
        case.note("the hosts are not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(5));
    let [others @ .., last] = &hosts;

    case.note(format!("planned restart of {}", last.name));
    // Answers of the store are lost while the process starts again.
    last.stop();
    if case.trouble {
        store.lose_writes(Duration::from_millis(4_500), Duration::from_secs(2));
        case.note("answers of the store are lost for 4.5 s");
    }
    last.start(false);
    last.wait_ready();
    thread::sleep(Duration::from_secs(20));
    case.note(format!("entries of machines: {:?}", store.keys("hosts/")));
    for host in others {
        case.note(format!("planned restart of {}", host.name));
        host.restart(Duration::from_millis(500));
        if !host.wait_ready() {
            case.note("not ready again");
            return Verdict::NotRun;
        }
    }
    if !wait_until(Duration::from_secs(5), || hosts.iter().all(Host::is_ready)) {
        return Verdict::NotRun;
    }
    let sent = Arc::new(Mutex::new(Vec::new()));
    for (name, rate, time) in [
        ("its usual", USUAL_RATE, USUAL_TIME),
        ("many times its usual", BURST_RATE, BURST_TIME),
        ("its usual again", USUAL_RATE, AFTER_TIME),
    ] {
        case.note(format!("the tenant sends {name}"));
        let end = Instant::now() + time;
        let threads: Vec<_> = hosts.iter().flat_map(|host| load(host, rate, end, &sent)).collect();
        threads.into_iter().for_each(|thread| thread.join().expect("a client"));
    }

    let mut arrived = HashMap::new();
    for server in &servers {
        for run in server.runs.lock().expect("runs").iter() {
            arrived.insert(run.attempt.clone(), run.at);
        }
    }
    let mut sent = sent.lock().expect("sent");
    sent.sort_by_key(|entry| entry.at);
    if let Some(first) = sent.first().map(|entry| entry.at) {
        for Sent { host, attempt, at, status } in sent.iter() {
            let ms = |time: &Instant| time.saturating_duration_since(first).as_millis();
            let run = arrived
                .get(attempt)
                .map_or("not run".to_owned(), |at| format!("run at {}", ms(at)));
            case.note(format!("ms {}: {attempt} to {host}, {status}, {run}", ms(at)));
        }
    }
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    sent.iter().for_each(|entry| *statuses.entry(entry.status).or_default() += 1);
    case.note(format!("sent {} answers by status {statuses:?}", sent.len()));
    let mut runs: Vec<(Instant, Instant)> =
        sent.iter().filter_map(|entry| Some((entry.at, *arrived.get(&entry.attempt)?))).collect();
    runs.sort();
    let most = runs.iter().map(|(start, _)| {
        let inside = runs.iter().filter(|(at, arrived)| at >= start && *arrived <= *start + WINDOW);
        inside.count() as f64 * TOKENS
    });
    let most = most.fold(0.0, f64::max);
    let limit = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERRUN) + ALLOWANCE;
    case.note(format!("most tokens run in 8 s: {most:.0}, the rule's bound: {limit:.0}"));
    if runs.is_empty() {
        return Verdict::NotRun;
    }
    if most > limit { Verdict::Broken } else { Verdict::Held }
}
