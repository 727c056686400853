//! History check of the configuration: exactly one patch wins each number, no host goes
//! back, accepted numbers come into force everywhere within seconds.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{Document, Patch, PatchError};
use rosemarypitch_experiment::{Deployment, Fleet, FleetSpec};
use rosemarypitch_gateway::{ConfigSync, PatchOutcome};
use rosemarypitch_standin::{EngineShape, PortFaults};
use rstest::rstest;
use serde_json::json;
use tokio::runtime;
use tokio::time::Instant;

/// Time within which an accepted number is in force on all hosts that a path leads to.
const IN_FORCE: Duration = Duration::from_secs(10);

struct Random(u64);

impl Random {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % below
    }
}

/// What an operator was told.
#[derive(Clone, Debug)]
struct Told {
    id: Arc<str>,
    number: Option<u64>,
    unknown: bool,
}

/// What a host had in force at an instant.
#[derive(Clone, Debug)]
struct Seen {
    host: usize,
    run: u64,
    number: u64,
    mark: Option<Arc<str>>,
}

#[derive(Debug, Default)]
struct History {
    told: Vec<Told>,
    seen: Vec<Seen>,
    last: Document,
}

fn spec(deployment: Deployment) -> FleetSpec {
    let shape = EngineShape::default();
    FleetSpec {
        hosts: deployment.hosts(),
        engines: deployment.engines(&shape),
        document: deployment.document(&shape, &deployment.customers()),
        near: Duration::from_micros(100),
        far: deployment.far(),
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

/// Patches through one host until it learns an outcome, as an operator's script would.
async fn operate(keeper: ConfigSync, id: Arc<str>, mut base: u64) -> Told {
    let mut unknown = false;
    for _ in 0..4 {
        match keeper.patch(patch(&id), base, id.clone()).await {
            PatchOutcome::Accepted(document) => {
                return Told { id, number: Some(document.number), unknown };
            }
            PatchOutcome::Repeated(number) => return Told { id, number: Some(number), unknown },
            PatchOutcome::Rejected(PatchError::Stale { current, .. }) => base = current,
            PatchOutcome::Rejected(PatchError::Invalid(faults)) => panic!("{faults}"),
            PatchOutcome::NotStored(_) => {}
            PatchOutcome::Unknown(_) => unknown = true,
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    Told { id, number: None, unknown }
}

fn look(fleet: &Fleet, history: &mut History) {
    for (host, member) in fleet.members.iter().enumerate().filter(|(_, m)| !m.is_dead()) {
        let document = member.host.snapshot().document.clone();
        history.seen.push(Seen {
            host,
            run: member.host.id.incarnation,
            number: document.number,
            mark: document.patches.last().map(|mark| mark.id.clone()),
        });
    }
}

async fn run(seed: u64) -> History {
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let deployment = if seed.is_multiple_of(2) { Deployment::Board } else { Deployment::Guild };
    let mut fleet = Fleet::start(spec(deployment)).await;
    let hosts = fleet.members.len() as u64;
    let mut history = History::default();
    let mut operators = tokio::task::JoinSet::new();
    for round in 0..12 {
        for _ in 0..=random.next(2) {
            let host = random.next(hosts) as usize;
            let host = &fleet.members[host].host;
            let id = Arc::from(format!("{seed}-{round}-{}", operators.len()));
            operators.spawn(operate(host.config_sync.clone(), id, host.snapshot().number()));
        }
        let victim = random.next(hosts) as usize;
        let data_centre = fleet.members[victim].host.settings.data_centre.clone();
        match random.next(8) {
            0 => fleet.members[victim]
                .port
                .set_faults(PortFaults { lose_answers: true, ..PortFaults::default() }),
            1 => fleet.set_platform(PortFaults { down: true, ..PortFaults::default() }),
            2 => fleet.set_platform(PortFaults { slow_ms: 400, ..PortFaults::default() }),
            3 => fleet.set_cut(&data_centre, true),
            4 => {
                fleet.kill(victim);
                fleet.restart(victim);
            }
            5 => fleet.set_paused(victim, true),
            _ => heal(&fleet),
        }
        for _ in 0..10 {
            tokio::time::sleep(Duration::from_millis(random.next(400))).await;
            look(&fleet, &mut history);
        }
    }
    heal(&fleet);
    history.told = operators.join_all().await;
    let accepted = history.told.iter().filter_map(|told| told.number).max().unwrap_or(1);
    let begun = Instant::now();
    fleet.until_number(accepted).await;
    assert!(begun.elapsed() < IN_FORCE, "seed {seed}: in force after {:?}", begun.elapsed());
    look(&fleet, &mut history);
    history.last = fleet.members[0].host.snapshot().document.as_ref().clone();
    history
}

fn heal(fleet: &Fleet) {
    for index in 0..fleet.members.len() {
        fleet.set_paused(index, false);
        let name = fleet.members[index].host.settings.data_centre.clone();
        fleet.set_cut(&name, false);
    }
    fleet.set_platform(PortFaults::default());
}

/// What is wrong with a history, if anything.
fn fault(history: &History) -> Option<String> {
    let mut winners: BTreeMap<u64, &Arc<str>> = BTreeMap::new();
    for told in &history.told {
        let Some(number) = told.number else { continue };
        if let Some(other) = winners.insert(number, &told.id) {
            return Some(format!("{number} was won by {other} and {}", told.id));
        }
    }
    let mut greatest: HashMap<(usize, u64), u64> = HashMap::new();
    for seen in &history.seen {
        let before = greatest.insert((seen.host, seen.run), seen.number).unwrap_or(0);
        if seen.number < before {
            return Some(format!("host {} went from {before} to {}", seen.host, seen.number));
        }
        if let (Some(winner), Some(mark)) = (winners.get(&seen.number), &seen.mark)
            && *winner != mark
        {
            return Some(format!("{} is {mark} on host {}, not {winner}", seen.number, seen.host));
        }
    }
    // An operator that was told a number finds it in the document, and one that was told
    // of no effect does not.
    for told in &history.told {
        let mark = history.last.patches.iter().find(|mark| mark.id == told.id);
        let found = mark.map(|mark| mark.number);
        if found != told.number && !(told.unknown && told.number.is_none()) {
            return Some(format!("{} was told {:?} and stands as {found:?}", told.id, told.number));
        }
    }
    None
}

fn seeds() -> u64 {
    std::env::var("HISTORY_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(200)
}

#[test]
fn one_patch_wins_each_number_and_no_host_goes_back() {
    let mut accepted = 0;
    for seed in 0..seeds() {
        let runtime =
            runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        let history = runtime.expect("a runtime").block_on(run(seed));
        assert_eq!(fault(&history), None, "seed {seed}");
        accepted += history.told.iter().filter(|told| told.number.is_some()).count() as u64;
    }
    assert!(accepted > seeds() * 4, "only {accepted} patches were accepted");
}

#[rstest]
#[case::won_twice(|history: &mut History| {
    let told = history.told.iter().find(|told| told.number.is_some()).cloned();
    history.told.extend(told.map(|told| Told { id: Arc::from("other"), ..told }));
})]
#[case::gone_back(|history: &mut History| {
    let last = history.seen.last().cloned();
    history.seen.extend(last.map(|seen| Seen { number: seen.number - 1, ..seen }));
})]
#[case::another_document(|history: &mut History| {
    let won = history.told.iter().filter_map(|told| told.number).max().unwrap_or(0);
    let seen = history.seen.iter_mut().find(|seen| seen.number == won).expect("in force");
    seen.mark = Some(Arc::from("other"));
})]
#[case::lost(|history: &mut History| history.last.patches.clear())]
fn the_check_finds_planted_faults(#[case] plant: impl Fn(&mut History)) {
    let runtime = runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let mut history = runtime.expect("a runtime").block_on(run(4));
    assert_eq!(fault(&history), None);
    plant(&mut history);
    assert!(fault(&history).is_some());
}

#[tokio::test(start_paused = true)]
async fn a_change_reaches_a_cut_off_host_through_its_peers() {
    let fleet = Fleet::start(spec(Deployment::Board)).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    // Two hosts cannot reach the platform but reach their peers.
    for member in &fleet.members[3..] {
        member.port.set_faults(PortFaults { down: true, ..PortFaults::default() });
    }
    let keeper = fleet.members[0].host.config_sync.clone();
    let told = operate(keeper, Arc::from("change"), 1).await;
    assert_eq!(told.number, Some(2));
    let begun = Instant::now();
    fleet.until_number(2).await;
    assert!(begun.elapsed() < IN_FORCE, "{:?}", begun.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_new_host_serves_nothing_before_it_has_its_peers_number() {
    let mut fleet = Fleet::start(spec(Deployment::Board)).await;
    let keeper = fleet.members[0].host.config_sync.clone();
    operate(keeper, Arc::from("change"), 1).await;
    fleet.until_number(2).await;
    fleet.set_platform(PortFaults { down: true, ..PortFaults::default() });
    fleet.kill(4);
    fleet.restart(4);
    fleet.members[4].port.set_faults(PortFaults { down: true, ..PortFaults::default() });
    for _ in 0..200 {
        let host = &fleet.members[4].host;
        assert!(!host.is_ready() || host.snapshot().number() == 2);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
