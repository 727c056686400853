//! After a drill of the store, a machine uses a server again whose leaving it has seen.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Request};
use crate::host::{Figures, Host};
use crate::server::{Kind, Server};
use crate::store::Store;
use crate::{Case, Verdict};

const KEY: &str = "9wu3fe3d3zji9n73hh2b";
const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"shelf-check","host":"guild.example","prefix":"/shelf/","service":"horn-store","routeType":"idempotent","timeoutMs":1500,"targetLatencyMs":100,"maxAttempts":2,"priority":2}],
"services":[{"name":"horn-store","healthPath":"/healthz","maxConnections":110},{"name":"guild-scribe","healthPath":"/healthz","maxConnections":156}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":["9wu3fe3d3zji9n73hh2b"],"ratePerS":0,"burst":0,"uncachedTokens":200}]}"#;
/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time between two requests to a machine.
const PAUSE: Duration = Duration::from_millis(25);
/// Time that the store is away in the drill.
const AWAY: Duration = Duration::from_millis(300);
/// Silence after which the store removes a server's entry: three heartbeats.
const LAPSE: Duration = Duration::from_millis(3_600);

pub fn run(case: &Case) -> Verdict {
    let record = case.record.clone();
    let store = Store::start(move |text| record.note(text));
    store.put("op/config", CONFIG);
    let mut servers = Vec::new();
    for (id, zone) in [
        ("i-desk-1", "arima"),
        ("i-desk-2", "tunapuna"),
        ("i-desk-3", "chaguanas"),
        ("i-desk-4", "tunapuna"),
    ] {
        let server =
            Server::start(id, Kind { service: "horn-store", stage: None, version: "5.1", zone });
        server.register(&store);
        servers.push(server);
        thread::sleep(Duration::from_millis(100));
    }
    // Servers of another service, which only send heartbeats here.
    for index in 0..8 {
        let kind = Kind { service: "guild-scribe", stage: None, version: "5.1", zone: "arima" };
        Server::start(&format!("i-scribe-{index}"), kind).register(&store);
        thread::sleep(Duration::from_millis(100));
    }
    let host = |name: &str, zone: &str| {
        Host::new(&case.folder, name, zone, store.address, Figures::default())
    };
    let hosts = [
        host("edge-arima-1", "arima"),
        host("edge-chaguanas-1", "chaguanas"),
        host("edge-tunapuna-1", "tunapuna"),
    ];
    hosts.iter().for_each(|host| host.start(true));
    if !hosts.iter().all(Host::wait_ready) {
        case.note("the hosts are not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(5));
    let judged = &hosts[0];
    let leaver = servers[0].clone();

    // Clients of one machine, until the end of the case.
    let end = Instant::now() + Duration::from_secs(14);
    let sent: Arc<Mutex<HashMap<String, (Instant, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..4)
        .map(|index| {
            let (sent, callers) = (sent.clone(), judged.callers);
            thread::spawn(move || {
                thread::sleep(PAUSE * index);
                while Instant::now() < end {
                    let request = Request::new("GET", "/shelf/1", KEY, 1_500);
                    let attempt = request.attempt.clone();
                    let at = Instant::now();
                    let answer = client::send(callers, &request, None);
                    sent.lock().expect("sent").insert(attempt, (at, answer.status));
                    thread::sleep(PAUSE * 4);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(2_500));

    let copy = store.copy();
    thread::sleep(Duration::from_millis(300));
    leaver.fall_silent();
    store.remove(&format!("servers/{}", leaver.id));
    let removed = Instant::now();
    case.note(format!("{} leaves: its entry is removed, and it serves on", leaver.id));
    thread::sleep(DRAIN);
    if case.trouble {
        store.drill(&copy, AWAY);
        case.note("drill: the store comes back from a copy of 2.3 s before");
        thread::sleep(AWAY);
        store.put("op/config", CONFIG);
        let (again, key) = (store.clone(), format!("servers/{}", leaver.id));
        thread::spawn(move || {
            thread::sleep(LAPSE);
            again.remove(&key);
        });
        thread::sleep(Duration::from_millis(500));
        store.compact();
        case.note("watches hear nothing for a second, then the history is dropped");
    }
    clients.into_iter().for_each(|client| client.join().expect("a client"));

    let sent = sent.lock().expect("sent");
    let since = |at: Instant| match at.checked_duration_since(removed) {
        Some(time) => time.as_millis() as i128,
        None => -((removed - at).as_millis() as i128),
    };
    let mut lines: Vec<(i128, String)> = Vec::new();
    for server in &servers {
        for run in server.runs.lock().expect("runs").iter() {
            let Some((at, status)) = sent.get(&run.attempt) else { continue };
            let (sent_at, run_at) = (since(*at), since(run.at));
            let line = format!(
                "ms {sent_at}: {} to {}, {status}, run at {run_at} by {}",
                run.attempt, judged.name, server.id
            );
            lines.push((run_at, line));
        }
    }
    lines.sort();
    lines.iter().for_each(|(_, line)| case.note(line));
    let mut late = Vec::new();
    let (mut before, mut between) = (0, Vec::new());
    for run in leaver.runs.lock().expect("runs").iter() {
        if !sent.contains_key(&run.attempt) {
            continue;
        }
        let after = run.at.saturating_duration_since(removed);
        if run.at < removed {
            before += 1;
        } else if after <= DRAIN {
            between.push(after.as_millis());
        } else {
            late.push(after.as_millis());
        }
    }
    case.note(format!(
        "sent to {}: {}; reached {} before it left: {before}, in drainMs after it: {}, later: {}",
        judged.name,
        sent.len(),
        leaver.id,
        between.len(),
        late.len(),
    ));
    case.note(format!("ms after the removal: {between:?} {late:?}"));
    // Requests that were on their way aside, the machine has stopped to use the server by itself.
    let acknowledged = between.iter().all(|after| *after < 1_000);
    if before == 0 || !acknowledged {
        return Verdict::NotRun;
    }
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
