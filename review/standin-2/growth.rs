//! Many versions of a large configuration, beside ordinary callers, at a host of 96 MB.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::desk::{self, CALLERS, DESKS, Platform, Runs};
use crate::host::{Host, MEMORY_MB};
use crate::util::{Report, Store, spawn};

/// Routes that were added: by four `big_config`, of at most 1,400 each.
const ADDED_ROUTES: usize = 4_580;
const TENANTS: usize = 16;
const KEYS: usize = 2;
/// Largest value of the store, `platform.valueBytes`.
const VALUE_BYTES: usize = 1_048_576;
const CHANGES: u64 = 72;
/// A version takes 1.1 s on the machine's link of 10 Mbit/s.
const CHANGE_GAP: Duration = Duration::from_millis(1_500);

fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, timeout: u64| {
        format!(
            r#"{{"name":"{name}","host":"a.example","prefix":"/{prefix}/","routeType":"non_idempotent","timeoutMs":{timeout},"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"public":true,"sticky":false,"resumable":false}}"#
        )
    };
    let mut routes = vec![route("book", "book", 1_500)];
    // Each version changes the time-out of some routes.
    routes.extend((0..ADDED_ROUTES).map(|number| {
        let changed = number as u64 % 10 == version % 10;
        route(
            &format!("r-{number:07x}"),
            &format!("p{number:06x}"),
            1_000 + 500 * u64::from(changed),
        )
    }));
    let tenants: Vec<String> = (0..TENANTS)
        .map(|tenant| {
            let keys: Vec<String> =
                (0..KEYS).map(|key| format!(r#""{tenant:08x}{key:012x}""#)).collect();
            format!(
                r#"{{"name":"t{tenant:05}","apiKeys":[{}],"uncachedTokens":200}}"#,
                keys.join(",")
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"desk","healthPath":"/healthz","maxConnections":420}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        tenants.join(","),
    )
}

pub fn run(scratch: &Path, trouble: bool) -> Report {
    let start = Instant::now();
    let (store, runs) = (Store::start(), Runs::default());
    let first = config(1);
    let mut lines = vec![format!(
        "memory of the machine: {MEMORY_MB} MB; configuration: {} routes, {} bytes of {VALUE_BYTES}; changes: {}",
        ADDED_ROUTES + 1,
        first.len(),
        if trouble { CHANGES } else { 0 },
    )];
    if first.len() > VALUE_BYTES {
        lines.push("the configuration is too large".to_owned());
        return Report { lines, broken: None };
    }
    store.put("op/config", &first);
    (0..DESKS).for_each(|number| desk::start_desk(&store, number, start, runs.clone()));
    let mut host = Host::new(scratch, "edge-dokki-1", &store.address, true);
    host.start();
    if !host.wait_open(Duration::from_secs(10)) {
        return Report { lines: vec!["the router does not start".to_owned()], broken: None };
    }
    std::thread::sleep(Duration::from_secs(2));
    let (port, stop) = (host.port, Arc::new(AtomicBool::new(false)));
    let calls = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (stop, calls) = (stop.clone(), calls.clone());
            spawn(move || desk::ordinary_caller(port, number, start, &stop, &calls))
        })
        .collect();
    lines.push("time s | anonymous memory kB | descriptors".to_owned());
    let mut platform = Platform::new();
    for change in 1..=CHANGES {
        if trouble {
            store.put("op/config", &config(1 + 3 * change));
            if change % 5 == 0 {
                lines.push(format!(
                    "{:.1} version {} sent",
                    start.elapsed().as_secs_f64(),
                    1 + 3 * change
                ));
            }
        }
        let next = Instant::now() + CHANGE_GAP;
        while Instant::now() < next {
            std::thread::sleep(Duration::from_millis(10));
            platform.look(start, &mut host, &mut lines);
        }
        // One end of the process is enough.
        if !platform.kills.is_empty() {
            break;
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    host.kill();
    let broken = platform.judge(&calls.lock().unwrap(), &runs, &mut lines);
    Report { lines, broken: Some(broken) }
}
