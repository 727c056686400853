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

/// A fleet, and clients of its first machine.
struct Fleet {
    store: Arc<Store>,
    servers: Vec<Arc<Server>>,
    hosts: [Host; 3],
    sent: Arc<Mutex<HashMap<String, (Instant, u16)>>>,
    clients: Vec<thread::JoinHandle<()>>,
}

fn start(case: &Case) -> Option<Fleet> {
    let record = case.record.clone();
    let store = Store::start(move |text| record.note(text));
    store.put("op/config", CONFIG);
    let servers = [
        ("i-desk-1", "arima"),
        ("i-desk-2", "tunapuna"),
        ("i-desk-3", "chaguanas"),
        ("i-desk-4", "tunapuna"),
        ("i-desk-5", "chaguanas"),
        ("i-desk-6", "tunapuna"),
        ("i-desk-7", "chaguanas"),
        ("i-desk-8", "tunapuna"),
    ];
    let servers = servers.map(|(id, zone)| {
        let server =
            Server::start(id, Kind { service: "horn-store", stage: None, version: "5.1", zone });
        server.register(&store);
        server
    });
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
        return None;
    }
    thread::sleep(Duration::from_secs(5));
    let end = Instant::now() + Duration::from_secs(14);
    let sent: Arc<Mutex<HashMap<String, (Instant, u16)>>> = Arc::default();
    let clients = (0..4).map(|index| {
        let (sent, callers) = (sent.clone(), hosts[0].callers);
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
    });
    let clients = clients.collect();
    thread::sleep(Duration::from_millis(2_500));
    Some(Fleet { store, servers: servers.to_vec(), hosts, sent, clients })
}

/// The first server leaves: its entry is removed, and it serves on.
fn leave(case: &Case, fleet: &Fleet) -> Instant {
    let id = &fleet.servers[0].id;
    fleet.store.remove(&format!("servers/{id}"));
    case.note(format!("{id} leaves: its entry is removed, and it serves on"));
    Instant::now()
}

/// After a drill and a compaction of the store, the server is used again.
pub fn drill(case: &Case) -> Verdict {
    let Some(fleet) = start(case) else { return Verdict::NotRun };
    let store = &fleet.store;
    let copy = store.copy();
    thread::sleep(Duration::from_millis(300));
    let removed = leave(case, &fleet);
    thread::sleep(DRAIN);
    if case.trouble {
        store.drill(&copy, AWAY);
        case.note("drill: the store comes back from a copy of 2.3 s before");
        thread::sleep(AWAY);
        store.put("op/config", CONFIG);
        let (again, key) = (store.clone(), format!("servers/{}", fleet.servers[0].id));
        thread::spawn(move || {
            thread::sleep(LAPSE);
            again.remove(&key);
        });
        thread::sleep(Duration::from_millis(500));
        store.compact("op/config", &CONFIG.replace(r#""version":7"#, r#""version":8"#));
        case.note("watches hear nothing for a second, then the history is dropped");
    }
    let Some(reached) = judge(case, fleet, removed) else { return Verdict::NotRun };
    // Requests that were on their way aside, the machine has stopped to use the server by itself.
    if reached.between.iter().any(|after| *after >= 1_000) {
        return Verdict::NotRun;
    }
    if reached.late.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// When requests reached the server that left, in ms after that.
struct Reached {
    between: Vec<u128>,
    late: Vec<u128>,
}

/// Which requests reached the server that left at `removed`; late are those after `drainMs`.
fn judge(case: &Case, fleet: Fleet, removed: Instant) -> Option<Reached> {
    let Fleet { servers, hosts, sent, clients, .. } = fleet;
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let (judged, leaver) = (&hosts[0], &servers[0]);
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
    let (mut before, mut between, mut late) = (0, Vec::new(), Vec::new());
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
    (before > 0).then_some(Reached { between, late })
}
