//! Planned stops and changes, with clients that keep their connections and servers that pause.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::clients::{self, KeptCall};
use super::process::Process;
use super::standin::{Behavior, Server};
use super::{Cluster, HOSTS, configuration, seeds};

/// Settings with a grace period that streams with a pause outlast.
const SETTINGS: &str = "bootstrapEnabled=false\nbounds.graceS=2\n";
/// Time after a SIGTERM in which a host still accepts connections and reads what has been sent.
const NOTICE: Duration = Duration::from_millis(1_150);
/// Time after a SIGTERM at which the process ends.
const END: Duration = Duration::from_millis(1_600);
/// Longest pause of a server; a sound one may fall silent for about a second.
const MAX_PAUSE_MS: u64 = 1_000;
/// Number of planned events per seed.
const EVENTS: usize = 12;
/// Number of clients.
const CLIENTS: u64 = 8;

async fn run(seed: u64) {
    let folder = std::env::temp_dir().join(format!("stops-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut random = StdRng::seed_from_u64(seed);
    let mut cluster = Cluster::start(&folder, HOSTS).await;
    for host in &cluster.hosts {
        host.write_settings(SETTINGS);
        host.signal("-HUP");
    }
    cluster.servers.iter().for_each(|server| server.set_behavior(Behavior::Paced));
    let hosts: Vec<_> = cluster.hosts.iter().map(|host| host.callers).collect();
    let time = Duration::from_millis(600 * EVENTS as u64);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let prefix = format!("k{number}-");
            tokio::spawn(clients::keep_connections(hosts.clone(), seed + number, prefix, time))
        })
        .collect();
    let mut stops = Vec::new();
    for _ in 0..EVENTS {
        plan_event(&mut cluster, &mut random, &mut stops).await;
    }
    let mut calls = Vec::new();
    for client in clients {
        calls.extend(client.await.unwrap());
    }
    let served = calls.iter().filter(|call| call.complete).count();
    assert!(served * 2 > calls.len(), "seed {seed}: {served} of {} served", calls.len());
    let lost = find_lost(&calls, &cluster.servers, &stops);
    assert!(lost.is_empty(), "seed {seed}, logs in {}: {lost:#?}", folder.display());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A stop or a change, at times beside another one, and a pause of a server.
async fn plan_event(
    cluster: &mut Cluster,
    random: &mut StdRng,
    stops: &mut Vec<(SocketAddr, Instant)>,
) {
    let server = random.random_range(0..cluster.servers.len());
    cluster.servers[server].pause(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS)));
    let index = random.random_range(0..cluster.hosts.len());
    let host = &mut cluster.hosts[index];
    match random.random_range(0..6) {
        0 => {
            let version = cluster.version.fetch_add(1, Ordering::Relaxed) + 1;
            cluster.store.put("op/config", &configuration(version));
        }
        1 => cluster.store.cut.notify_waiters(),
        2 => host.signal("-HUP"),
        _ => {
            // One that is stopping gets no second signal.
            let recent = |(callers, at): &(SocketAddr, Instant)| {
                *callers == host.callers && at.elapsed() < END * 2
            };
            if !stops.iter().any(recent) {
                stops.push((host.callers, Instant::now()));
                host.signal("-TERM");
                // Streams that have begun end once the host accepts no more connections.
                cluster.servers.iter().for_each(|server| server.pause(NOTICE));
            }
        }
    }
    tokio::time::sleep(Duration::from_millis(random.random_range(200..800))).await;
    cluster.hosts.iter_mut().filter_map(restart).for_each(drop);
}

/// Starts a process again that has ended after its SIGTERM.
fn restart(host: &mut Process) -> Option<()> {
    host.has_exited().then(|| host.start())
}

/// Requests that a stopping host passed on although it accepted no more connections, and cut.
fn find_lost<'a>(
    calls: &'a [KeptCall],
    servers: &[Server],
    stops: &[(SocketAddr, Instant)],
) -> Vec<&'a KeptCall> {
    let ran = servers.iter().flat_map(Server::ran);
    let ran: HashSet<String> = ran
        .filter_map(|request| request.header("rosemarypitch-attempt-id").map(str::to_owned))
        .collect();
    let is_late = |call: &&KeptCall| {
        stops.iter().any(|(host, at)| {
            *host == call.host && call.sent > *at + NOTICE && call.sent < *at + END
        })
    };
    let cut = calls.iter().filter(|call| !call.complete && ran.contains(&call.attempt));
    cut.filter(is_late).collect()
}

/// A stopping host passed on requests of kept connections and cut them.
#[test]
fn planned_stops_cut_no_request_that_came_late() {
    let (from, count) = seeds();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for seed in from..from + count {
        runtime.block_on(run(seed));
    }
}
