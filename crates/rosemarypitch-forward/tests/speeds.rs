//! Choice among engines of unlike speed, without a network.
//!
//! The load is that of a fleet whose servers stand on unlike machines: a quarter of the engines is
//! twice as fast as the others, and many hosts send them prompts without asking each other.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarypitch_forward::config::EngineSize;
use rosemarypitch_forward::deployment::Tokens;
use rosemarypitch_forward::homes::RegionSet;
use rosemarypitch_forward::pool::{
    Decision, DecodeEnd, Pool, PrefillEnd, PromptsByEngine, SentPrompts, SlotRequest, Ticket,
};
use rosemarypitch_forward::registry::{Stage, Upstream};
use rosemarypitch_forward::tuning::PoolTuning;
use rstest::rstest;
use tokio::time::Instant;

const SIZE: EngineSize =
    EngineSize { slots: 64, tokens: 64_783, hold: Duration::from_secs(2), event_tokens: 50 };
/// Prompt tokens that fast and slow engines read in a millisecond.
const SPEEDS: (f64, f64) = (80.0, 40.0);
/// Time until the first event after which callers are served late.
const TARGET: Duration = Duration::from_millis(900);

fn engines(count: usize, stage: Stage) -> Vec<Arc<Upstream>> {
    let engine =
        |number| Upstream { stage: Some(stage), ..support::upstream(&format!("e-{number}")) };
    (0..count).map(|number| Arc::new(engine(number))).collect()
}

fn speed(id: &str) -> f64 {
    let number: usize = id.trim_start_matches("e-").parse().expect("a number");
    if number.is_multiple_of(4) { SPEEDS.0 } else { SPEEDS.1 }
}

fn pool(list: &[Arc<Upstream>]) -> Pool {
    let mut pool = Pool::new(SIZE, Arc::from("howrah"), PoolTuning::default());
    pool.set_engines(list, SIZE, 1);
    pool
}

/// What hosts know when they choose an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Knowledge {
    /// Only what they have sent themselves.
    Own,
    /// Also the speed of each engine, and what the others have reported.
    Learned,
}

/// Times from the choice of an engine to the end of the prefill, while `hosts` hosts send
/// `rate` prompts a second to eight engines.
fn play(knowledge: Knowledge, hosts: usize, rate: f64, seed: u64) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(seed);
    let list = engines(8, Stage::Prefill);
    let named = |host| pool(&list).with_host(Arc::from(format!("edge-{host}")));
    let mut pools: Vec<Pool> = (0..hosts).map(named).collect();
    let start = Instant::now();
    let mut free: HashMap<Arc<str>, Instant> = HashMap::new();
    let mut running: Vec<(Instant, usize, Arc<str>, Ticket, Duration)> = Vec::new();
    let mut reports: Vec<(Instant, HashMap<Arc<str>, u64>)> = vec![(start, HashMap::new()); hosts];
    let mut times = Vec::new();
    let mut now = start;
    for ticket in 0..2_000 {
        now += Duration::from_secs_f64(-random.random_range(f64::EPSILON..1.0).ln() / rate);
        let ended: Vec<_> = running.extract_if(.., |(end, ..)| *end <= now).collect();
        for (end, host, id, ticket, time) in ended {
            if knowledge == Knowledge::Own {
                // Nothing was learned: the pool of the time before knew one speed for all.
                pools[host].finish_prefill(end, &id, ticket, PrefillEnd::Cancelled);
            } else {
                pools[host].finish_prefill(end, &id, ticket, PrefillEnd::Finished(time));
            }
        }
        let host = random.random_range(0..hosts);
        if knowledge == Knowledge::Learned {
            let mut prompts = PromptsByEngine::new();
            for (other, (reported, sent)) in reports.iter().enumerate() {
                for (id, tokens) in sent.iter().filter(|_| other != host) {
                    let sent = SentPrompts { tokens: *tokens, reported: *reported };
                    prompts.entry(id.clone()).or_default().push(sent);
                }
            }
            pools[host].set_row_prompts(&prompts);
        }
        let prompt = random.random_range(1_000..9_000);
        let chosen = pools[host].start_prefill(now, ticket, prompt, RegionSet::ALL, "v1", &[]);
        let id = chosen.expect("an engine").id.clone();
        // A report goes out with each request; nothing says when a prompt has been read.
        reports[host] =
            (now, pools[host].own_prompts().map(|(id, sum)| (id.clone(), sum)).collect());
        let begin = free.get(&id).copied().unwrap_or(now).max(now);
        let end = begin + Duration::from_secs_f64(prompt as f64 / speed(&id) / 1_000.0);
        free.insert(id.clone(), end);
        running.push((end, host, id, ticket, end - now));
        times.push(end - now);
    }
    times.split_off(500)
}

fn late(times: &[Duration]) -> usize {
    times.iter().filter(|time| **time > TARGET / 2).count()
}

fn mean(times: &[Duration]) -> f64 {
    times.iter().map(Duration::as_secs_f64).sum::<f64>() / times.len() as f64
}

/// Hosts sent prompts to engines by their own backlog alone, and so behind those of other hosts and
/// to slow engines while fast ones were idle.
#[rstest]
#[case::calm(15, 30.0)]
#[case::busy(15, 60.0)]
#[case::one_host(1, 60.0)]
fn callers_wait_less_for_prompts_at_engines_whose_speed_and_backlog_are_known(
    #[case] hosts: usize,
    #[case] rate: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let before = play(Knowledge::Own, hosts, rate, seed);
    let after = play(Knowledge::Learned, hosts, rate, seed);
    assert!(mean(&after) < mean(&before), "{} {}", mean(&after), mean(&before));
    assert!(late(&after) <= late(&before), "{} {}", late(&after), late(&before));
}

/// A prompt of a host that has nothing new to report would count for ever.
#[test]
fn reported_prompts_count_less_the_older_the_report_is() {
    let now = Instant::now();
    let mut pool = pool(&engines(2, Stage::Prefill));
    let sent = |tokens| vec![SentPrompts { tokens, reported: now }];
    pool.set_row_prompts(&HashMap::from([(Arc::from("e-0"), sent(8_000))]));
    let mut choose = |now, ticket| {
        let chosen = pool.start_prefill(now, ticket, 1_000, RegionSet::ALL, "v1", &[]);
        let id = chosen.expect("an engine").id.clone();
        pool.finish_prefill(now, &id, ticket, PrefillEnd::Cancelled);
        id
    };
    assert_eq!(&*choose(now, 1), "e-1");
    let later = now + Duration::from_secs(1);
    let chosen: Vec<_> = (2..6).map(|ticket| choose(later, ticket)).collect();
    assert!(chosen.iter().all(|id| *id == chosen[0]) || chosen.contains(&Arc::from("e-0")));
    let backlog = |at| pool.backlog_time(at, "e-0");
    assert!(backlog(now) > Duration::from_millis(100));
    assert_eq!(backlog(later), Duration::ZERO);
}

fn slot_request(ticket: Ticket, now: Instant) -> SlotRequest {
    SlotRequest {
        ticket,
        prompt: 5_000,
        output: 3_500,
        required: 3_500,
        cost: 1.0,
        retried: false,
        regions: RegionSet::ALL,
        due: now + TARGET,
        expires: now + TARGET * 3,
        begun: false,
        version: None,
    }
}

/// Runs one stream at an engine, with `millis` for each token.
fn run_stream(pool: &mut Pool, now: Instant, id: &Arc<str>, ticket: Ticket, millis: u64) {
    assert!(pool.place_at(now, id, &slot_request(ticket, now)).is_some());
    let mut end = now;
    for generated in (50..3_500).step_by(50) {
        end = now + Duration::from_millis(generated * millis);
        pool.record_output(end, id, ticket, generated);
    }
    pool.release(end, id, ticket, DecodeEnd::Finished(end - now));
}

/// A stream occupies a slow engine for longer, so fewer of them run there at a time.
#[test]
fn fewer_streams_run_at_a_slow_engine() {
    let start = Instant::now();
    let list = engines(2, Stage::Decode);
    let mut pool = pool(&list);
    pool.estimate(Tokens { prompt: 5_000, output: 3_500, guess: None });
    for ticket in 0..8 {
        run_stream(&mut pool, start, &list[0].id, 100 + ticket, 1);
        run_stream(&mut pool, start, &list[1].id, 200 + ticket, 2);
    }
    let now = start + Duration::from_secs(60);
    (0..6).for_each(|ticket| pool.push(now, slot_request(ticket, now)));
    let decisions = pool.decide(now);
    let at = |wanted: &str| {
        let placed = decisions.iter();
        placed.filter(|d| matches!(d, Decision::Place(_, engine) if &*engine.id == wanted)).count()
    };
    assert_eq!(at("e-0") + at("e-1"), 6);
    assert!(at("e-0") > at("e-1"), "{} {}", at("e-0"), at("e-1"));
}

/// Another process under the same identifier may stand on another machine.
#[test]
fn what_is_known_of_an_engine_is_forgotten_with_its_process() {
    let start = Instant::now();
    let mut list = engines(2, Stage::Prefill);
    let mut pool = pool(&list);
    let mut ticket = 0;
    let mut read = |pool: &mut Pool, id: &Arc<str>, millis| {
        ticket += 1;
        let others: Vec<Arc<str>> =
            ["e-0", "e-1"].into_iter().filter(|other| **other != **id).map(Arc::from).collect();
        pool.start_prefill(start, ticket, 5_000, RegionSet::ALL, "v1", &others).expect("an engine");
        let end = PrefillEnd::Finished(Duration::from_millis(millis));
        pool.finish_prefill(start, id, ticket, end);
    };
    read(&mut pool, &list[0].id.clone(), 50);
    read(&mut pool, &list[1].id.clone(), 100);
    let best = |pool: &mut Pool, ticket| {
        pool.start_prefill(start, ticket, 5_000, RegionSet::ALL, "v1", &[])
            .expect("an engine")
            .id
            .clone()
    };
    assert_eq!(&*best(&mut pool, 90), "e-0");
    pool.finish_prefill(start, "e-0", 90, PrefillEnd::Cancelled);
    list[0] = Arc::new(Upstream { incarnation: 2, ..(*list[0]).clone() });
    pool.set_engines(&list, SIZE, 1);
    read(&mut pool, &list[0].id.clone(), 200);
    assert_eq!(&*best(&mut pool, 91), "e-1");
}

/// Engines that are alike seemed faster or slower by what they happened to have waited for.
#[test]
fn engines_of_nearly_the_same_speed_are_chosen_by_backlog_alone() {
    let now = Instant::now();
    let list = engines(3, Stage::Prefill);
    let mut pool = pool(&list);
    for (ticket, millis) in [(0, 100), (1, 110), (2, 90)] {
        let tried: Vec<Arc<str>> =
            list.iter().map(|e| e.id.clone()).filter(|id| **id != *format!("e-{ticket}")).collect();
        pool.start_prefill(now, ticket, 5_000, RegionSet::ALL, "v1", &tried).expect("an engine");
        let end = PrefillEnd::Finished(Duration::from_millis(millis));
        pool.finish_prefill(now, &format!("e-{ticket}"), ticket, end);
    }
    let mut order: Vec<String> = (10..13)
        .filter_map(|ticket| pool.start_prefill(now, ticket, 5_000, RegionSet::ALL, "v1", &[]))
        .map(|engine| engine.id.to_string())
        .collect();
    order.sort();
    assert_eq!(order, ["e-0", "e-1", "e-2"]);
}
