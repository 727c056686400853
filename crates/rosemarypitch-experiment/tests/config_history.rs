//! History checks of the configuration under faults, on a paused clock.
//!
//! Concurrent operators patch through random hosts while hosts, the store and the network
//! fail. At most one patch may win each number, no host may go back to an earlier number, and
//! accepted numbers must come into force on all hosts within seconds.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{Document, Patch, PatchError};
use rosemarypitch_experiment::{Deployment, Fleet, FleetSpec};
use rosemarypitch_gateway::{ConfigSync, PatchOutcome};
use rosemarypitch_standin::{EngineShape, StoreFaults};
use rstest::rstest;
use serde_json::json;
use tokio::runtime;
use tokio::time::Instant;

/// Maximum time until an accepted number is in force on all reachable hosts.
const CONVERGENCE_TIME: Duration = Duration::from_secs(10);

/// Xorshift generator, seeded per run.
struct Random(u64);

impl Random {
    /// Next number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

/// Result of a patch as reported to its operator.
///
/// `unknown` is set when an attempt ended with an unknown outcome.
#[derive(Clone, Debug)]
struct OperatorResult {
    id: Arc<str>,
    number: Option<u64>,
    unknown: bool,
}

/// Configuration that a host had in force at some time.
#[derive(Clone, Debug)]
struct Observation {
    host: usize,
    incarnation: u64,
    number: u64,
    patch_id: Option<Arc<str>>,
}

#[derive(Debug, Default)]
struct History {
    results: Vec<OperatorResult>,
    observations: Vec<Observation>,
    final_document: Document,
}

fn fleet_spec(deployment: Deployment) -> FleetSpec {
    let shape = EngineShape::default();
    FleetSpec {
        hosts: deployment.hosts(),
        engines: deployment.engines(&shape),
        document: deployment.document(&shape, &deployment.customers()),
        local_delay: Duration::from_micros(100),
        remote_delay: deployment.remote_delay(),
        overrides: Vec::new(),
        rules: None,
    }
}

fn patch(label: &str) -> Patch {
    let digest = rosemarypitch_config::Digest::of("large-long");
    Patch::Merge(json!({
        "customers": { "large-long": { "keys": { digest.text(): { "label": label } } } }
    }))
}

/// Retries a patch through one host until its outcome is known, as an operator's script would.
async fn patch_until_known(config_sync: ConfigSync, id: Arc<str>, mut base: u64) -> OperatorResult {
    let mut unknown = false;
    for _ in 0..4 {
        match config_sync.patch(patch(&id), base, id.clone()).await {
            PatchOutcome::Accepted(document) => {
                return OperatorResult { id, number: Some(document.number), unknown };
            }
            PatchOutcome::Repeated(number) => {
                return OperatorResult { id, number: Some(number), unknown };
            }
            PatchOutcome::Rejected(PatchError::Stale { current, .. }) => base = current,
            PatchOutcome::Rejected(PatchError::Invalid(faults)) => panic!("{faults}"),
            PatchOutcome::NotStored(_) => {}
            PatchOutcome::Unknown(_) => unknown = true,
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    OperatorResult { id, number: None, unknown }
}

/// Records the configuration in force on each live host.
fn observe(fleet: &Fleet, history: &mut History) {
    for (host, member) in fleet.members.iter().enumerate().filter(|(_, m)| !m.is_dead()) {
        let document = member.host.snapshot().document.clone();
        history.observations.push(Observation {
            host,
            incarnation: member.host.id.incarnation,
            number: document.number,
            patch_id: document.patches.last().map(|mark| mark.id.clone()),
        });
    }
}

/// Runs one seed and records its history.
async fn run(seed: u64) -> History {
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let deployment = if seed.is_multiple_of(2) { Deployment::Board } else { Deployment::Guild };
    let mut fleet = Fleet::start(fleet_spec(deployment)).await;
    let hosts = fleet.members.len() as u64;
    let mut history = History::default();
    let mut operators = tokio::task::JoinSet::new();
    for round in 0..12 {
        for _ in 0..=random.below(2) {
            let host = random.below(hosts) as usize;
            let host = &fleet.members[host].host;
            let id = Arc::from(format!("{seed}-{round}-{}", operators.len()));
            operators.spawn(patch_until_known(
                host.config_sync.clone(),
                id,
                host.snapshot().number(),
            ));
        }
        let victim = random.below(hosts) as usize;
        let data_centre = fleet.members[victim].host.settings.data_centre.clone();
        match random.below(8) {
            0 => fleet.members[victim]
                .store_client
                .set_faults(StoreFaults { lose_responses: true, ..StoreFaults::default() }),
            1 => fleet.set_platform_faults(StoreFaults { down: true, ..StoreFaults::default() }),
            2 => fleet.set_platform_faults(StoreFaults { slow_ms: 400, ..StoreFaults::default() }),
            3 => fleet.set_partitioned(&data_centre, true),
            4 => {
                fleet.kill(victim);
                fleet.restart(victim);
            }
            5 => fleet.set_paused(victim, true),
            _ => heal_all(&fleet),
        }
        for _ in 0..10 {
            tokio::time::sleep(Duration::from_millis(random.below(400))).await;
            observe(&fleet, &mut history);
        }
    }
    heal_all(&fleet);
    history.results = operators.join_all().await;
    let accepted = history.results.iter().filter_map(|result| result.number).max().unwrap_or(1);
    let start = Instant::now();
    fleet.wait_for_config(accepted).await;
    assert!(
        start.elapsed() < CONVERGENCE_TIME,
        "seed {seed}: in force after {:?}",
        start.elapsed()
    );
    observe(&fleet, &mut history);
    history.final_document = fleet.members[0].host.snapshot().document.as_ref().clone();
    history
}

fn heal_all(fleet: &Fleet) {
    for index in 0..fleet.members.len() {
        fleet.set_paused(index, false);
        let name = fleet.members[index].host.settings.data_centre.clone();
        fleet.set_partitioned(&name, false);
    }
    fleet.set_platform_faults(StoreFaults::default());
}

/// Describes the first violation in a history, if there is one.
fn find_violation(history: &History) -> Option<String> {
    let mut winners: BTreeMap<u64, &Arc<str>> = BTreeMap::new();
    for result in &history.results {
        let Some(number) = result.number else { continue };
        if let Some(other) = winners.insert(number, &result.id) {
            return Some(format!("{number} was won by both {other} and {}", result.id));
        }
    }
    let mut latest: HashMap<(usize, u64), u64> = HashMap::new();
    for observation in &history.observations {
        let before = latest
            .insert((observation.host, observation.incarnation), observation.number)
            .unwrap_or(0);
        if observation.number < before {
            return Some(format!(
                "host {} went from {before} to {}",
                observation.host, observation.number
            ));
        }
        if let (Some(winner), Some(patch_id)) =
            (winners.get(&observation.number), &observation.patch_id)
            && *winner != patch_id
        {
            return Some(format!(
                "{} is {patch_id} on host {}, not {winner}",
                observation.number, observation.host
            ));
        }
    }
    // A patch reported as accepted is in the final document, and one reported without effect
    // isn't. Without a number and with an unknown outcome, both are right.
    for result in &history.results {
        let mark = history.final_document.patches.iter().find(|mark| mark.id == result.id);
        let found = mark.map(|mark| mark.number);
        if found != result.number && !(result.unknown && result.number.is_none()) {
            return Some(format!(
                "{} was reported as {:?}, but the document has {found:?}",
                result.id, result.number
            ));
        }
    }
    None
}

fn seeds() -> u64 {
    std::env::var("HISTORY_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(200)
}

#[test]
fn each_number_has_one_winner_and_no_host_goes_back() {
    let mut accepted = 0;
    for seed in 0..seeds() {
        let runtime =
            runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        let history = runtime.expect("a runtime").block_on(run(seed));
        assert_eq!(find_violation(&history), None, "seed {seed}");
        accepted += history.results.iter().filter(|result| result.number.is_some()).count() as u64;
    }
    assert!(accepted > seeds() * 4, "only {accepted} patches were accepted");
}

#[rstest]
#[case::number_won_twice(|history: &mut History| {
    let result = history.results.iter().find(|result| result.number.is_some()).cloned();
    history
        .results
        .extend(result.map(|result| OperatorResult { id: Arc::from("other"), ..result }));
})]
#[case::host_went_back(|history: &mut History| {
    let last = history.observations.last().cloned();
    history.observations.extend(
        last.map(|observation| Observation { number: observation.number - 1, ..observation }),
    );
})]
#[case::different_document(|history: &mut History| {
    let accepted = history.results.iter().filter_map(|result| result.number).max().unwrap_or(0);
    let observation = history
        .observations
        .iter_mut()
        .find(|observation| observation.number == accepted)
        .expect("in force");
    observation.patch_id = Some(Arc::from("other"));
})]
#[case::accepted_patch_lost(|history: &mut History| history.final_document.patches.clear())]
fn the_checker_finds_injected_violations(#[case] inject: impl Fn(&mut History)) {
    let runtime = runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let mut history = runtime.expect("a runtime").block_on(run(4));
    assert_eq!(find_violation(&history), None);
    inject(&mut history);
    assert!(find_violation(&history).is_some());
}

#[tokio::test(start_paused = true)]
async fn a_change_reaches_hosts_without_the_store_through_peers() {
    let fleet = Fleet::start(fleet_spec(Deployment::Board)).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    // Hosts 3 and 4 can't reach the store, but they reach their peers.
    for member in &fleet.members[3..] {
        member.store_client.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    }
    let config_sync = fleet.members[0].host.config_sync.clone();
    let result = patch_until_known(config_sync, Arc::from("change"), 1).await;
    assert_eq!(result.number, Some(2));
    let start = Instant::now();
    fleet.wait_for_config(2).await;
    assert!(start.elapsed() < CONVERGENCE_TIME, "{:?}", start.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_restarted_host_is_not_ready_before_it_has_its_peers_configuration() {
    let mut fleet = Fleet::start(fleet_spec(Deployment::Board)).await;
    let config_sync = fleet.members[0].host.config_sync.clone();
    patch_until_known(config_sync, Arc::from("change"), 1).await;
    fleet.wait_for_config(2).await;
    fleet.set_platform_faults(StoreFaults { down: true, ..StoreFaults::default() });
    fleet.kill(4);
    fleet.restart(4);
    fleet.members[4].store_client.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    for _ in 0..200 {
        let host = &fleet.members[4].host;
        assert!(!host.is_ready() || host.snapshot().number() == 2);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
