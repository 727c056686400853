//! Streams that clients take up while servers of two software versions serve.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Answer, End, Request};
use crate::host::{Figures, Host};
use crate::server::{Kind, Server};
use crate::store::Store;
use crate::util::wait_until;
use crate::{Case, Verdict};

const KEY: &str = "3d3zji9n73hh2b9wu3fe";
const PATH: &str = "/draft/2f";
const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"appraisal-draft","host":"guild.example","prefix":"/draft/","service":"guild-scribe","routeType":"streaming","resumable":true,"sticky":true,"timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"maxAttempts":2,"priority":1}],
"services":[{"name":"guild-scribe","healthPath":"/healthz","maxConnections":156,"engine":{"slots":12,"kvTokens":106421,"holdMs":4000,"stride":1}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":["3d3zji9n73hh2b9wu3fe"],"ratePerS":0,"burst":0,"uncachedTokens":200}]}"#;
/// Streams that begin while both versions serve.
const STREAMS: usize = 36;
/// Of these, those whose connection is reset: 0.75; the site file has up to 0.776 of the connections.
const RESETS: usize = 27;
/// Length of the cut; the sheets' site files have cuts of 4 to 8 seconds.
const CUT: Duration = Duration::from_millis(5_500);
/// The rule is broken by more joined streams than this.
const TOLERATED: usize = 2;
/// Streams taken up from which on their share counts.
const MIN_TAKEN_UP: usize = 12;
/// Time for which a client waits for the next event of its stream: four times the target.
const PATIENCE: Duration = Duration::from_millis(3_600);

fn request() -> Request {
    Request { tokens: Some((5_200, 70)), ..Request::new("POST", PATH, KEY, 14_000) }
}

fn engine(id: &str, version: &'static str, stage: &'static str, zone: &'static str) -> Arc<Server> {
    Server::start(id, Kind { service: "guild-scribe", stage: Some(stage), version, zone })
}

/// A stream over a client's tries.
struct Story {
    first: Request,
    begun: Answer,
    second: Option<Answer>,
}

impl Story {
    fn versions(&self) -> BTreeSet<String> {
        let events = self.begun.events.iter().chain(self.second.iter().flat_map(|a| &a.events));
        events.filter_map(|event| event.data.split(' ').next().map(str::to_owned)).collect()
    }
}

/// The fleet: engines of version 5.1, and three machines that serve streams.
struct Fleet {
    store: Arc<Store>,
    hosts: [Host; 3],
}

fn start(case: &Case) -> Option<Fleet> {
    let record = case.record.clone();
    let store = Store::start(move |text| record.note(text));
    store.put("op/config", CONFIG);
    for zone in ["arima", "tunapuna", "chaguanas"] {
        for (name, stage) in [("p1", "prefill"), ("d1", "decode"), ("d2", "decode")] {
            let id = format!("i-{}-{name}", &zone[..2]);
            engine(&id, "5.1", stage, zone).register(&store);
        }
    }
    let host = |name: &str, zone: &str| {
        Host::new(&case.folder, name, zone, store.address, Figures::default())
    };
    let hosts = [
        host("edge-arima-1", "arima"),
        host("edge-tunapuna-1", "tunapuna"),
        host("edge-chaguanas-1", "chaguanas"),
    ];
    hosts.iter().for_each(|host| host.start(true));
    if !hosts.iter().all(Host::wait_ready) {
        case.note("the hosts are not ready");
        return None;
    }
    // Time in which the fleet settles; the platform has its machines run 10 s before traffic.
    thread::sleep(Duration::from_secs(6));
    for host in &hosts {
        let answer = client::send(host.callers, &request(), None);
        if answer.end != End::Complete || answer.status != 200 {
            case.note(format!("{}: no stream before the release: {answer:?}", host.name));
            return None;
        }
    }
    case.note("each machine serves streams");
    Some(Fleet { store, hosts })
}

/// Servers of a new version start beside the others.
fn release(case: &Case, store: &Arc<Store>) {
    engine("i-new-d1", "5.2", "decode", "arima").register(store);
    case.note("release: servers of version 5.2 start beside those of 5.1, one a second");
    let store = store.clone();
    thread::spawn(move || {
        for (id, stage) in [("i-new-p1", "prefill"), ("i-new-d2", "decode")] {
            thread::sleep(Duration::from_secs(1));
            engine(id, "5.2", stage, "tunapuna").register(&store);
        }
    });
}

/// Cuts a machine off from the store for [`CUT`], beginning just after it has started a watch.
fn cut_off(case: &Case, host: &Host) -> Option<thread::JoinHandle<()>> {
    let watches = host.link.watches();
    if !wait_until(Duration::from_secs(4), || host.link.watches() > watches) {
        case.note("no watch");
        return None;
    }
    if case.trouble {
        host.link.silent.store(true, Ordering::SeqCst);
        case.note(format!("{} is cut off from the store", host.name));
    }
    let silent = host.link.silent.clone();
    Some(thread::spawn(move || {
        thread::sleep(CUT);
        silent.store(false, Ordering::SeqCst);
    }))
}

type Client<T> = thread::JoinHandle<T>;

/// Clients begin streams at a machine, and their connections are reset `time` later.
fn begin(case: &Case, host: &Host, time: Duration) -> Vec<Client<Story>> {
    let cut = Arc::new(AtomicBool::new(false));
    let callers = host.callers;
    let streams = (0..STREAMS)
        .map(|index| {
            let cut = cut.clone();
            thread::spawn(move || {
                let first = request();
                let begun = client::send(callers, &first, (index < RESETS).then_some(&*cut));
                Story { first, begun, second: None }
            })
        })
        .collect();
    thread::sleep(time);
    cut.store(true, Ordering::SeqCst);
    case.note(format!("connections of clients to {} are reset", host.name));
    streams
}

/// Each client takes its stream up at another machine. It comes back when a refusal says so.
fn take_up(host: &Host, streams: Vec<Client<Story>>) -> Vec<Client<Story>> {
    let callers = host.callers;
    let takeup = move |stream: Client<Story>| {
        thread::spawn(move || {
            let mut story = stream.join().expect("a client");
            if story.begun.end != End::Reset {
                return story;
            }
            let Some(last) = story.begun.events.last().map(|event| event.id) else { return story };
            let takeup = Some((last, story.first.attempt.clone()));
            let start = Instant::now();
            loop {
                let request = Request { takeup: takeup.clone(), ..request() };
                let answer = client::send(callers, &request, None);
                let wait = Duration::from_secs_f64(answer.retry_after.unwrap_or(0.5));
                let again = answer.status == 503 && start.elapsed() + wait < PATIENCE;
                story.second = Some(answer);
                if !again {
                    return story;
                }
                thread::sleep(wait);
            }
        })
    };
    streams.into_iter().map(takeup).collect()
}

fn join<T>(clients: Vec<Client<T>>) -> Vec<T> {
    clients.into_iter().map(|client| client.join().expect("a client")).collect()
}

fn note(case: &Case, story: &Story) {
    let of = |answer: &Answer| {
        let ids: Vec<u64> = answer.events.iter().map(|event| event.id).collect();
        let servers: BTreeSet<&str> =
            answer.events.iter().map(|event| event.data.as_str()).collect();
        let (first, last) = (ids.first().unwrap_or(&0), ids.last().unwrap_or(&0));
        format!(
            "status={} events={first}..{last} from {servers:?} end={:?}",
            answer.status, answer.end
        )
    };
    case.note(format!(
        "stream {} first: {}; taken up: {}{}",
        story.first.attempt,
        of(&story.begun),
        story.second.as_ref().map_or("-".to_owned(), of),
        if story.versions().len() > 1 { "; TWO VERSIONS" } else { "" },
    ));
}

/// Streams that began at the new version go on at the old one, at a machine that is cut off.
pub fn mixed(case: &Case) -> Verdict {
    let Some(Fleet { store, hosts }) = start(case) else { return Verdict::NotRun };
    let [serving, cut, _] = &hosts;
    let Some(healing) = cut_off(case, cut) else { return Verdict::NotRun };
    release(case, &store);
    thread::sleep(Duration::from_millis(250));
    let stories = join(take_up(cut, begin(case, serving, Duration::from_millis(400))));
    healing.join().expect("the end of the cut");
    stories.iter().for_each(|story| note(case, story));
    let joined = stories.iter().filter(|story| story.versions().len() > 1).count();
    let new = stories.iter().filter(|story| {
        story.second.is_some()
            && story.begun.events.first().is_some_and(|event| event.data.starts_with("5.2"))
    });
    let new = new.count();
    case.note(format!(
        "streams={STREAMS} begun at 5.2: {new}, with events of two versions: {joined}, at most {TOLERATED} may have"
    ));
    if new <= TOLERATED {
        return Verdict::NotRun;
    }
    if joined > TOLERATED { Verdict::Broken } else { Verdict::Held }
}

/// Streams that began at a machine that is cut off go on at no other one.
pub fn unknown(case: &Case) -> Verdict {
    let Some(Fleet { store, hosts }) = start(case) else { return Verdict::NotRun };
    let [in_touch, cut, other] = &hosts;
    let Some(healing) = cut_off(case, cut) else { return Verdict::NotRun };
    release(case, &store);
    thread::sleep(Duration::from_millis(250));
    let takeups = take_up(in_touch, begin(case, cut, Duration::from_millis(1_000)));
    // New streams at the machines in touch, in the same time.
    let mut fresh = Vec::new();
    for index in 0..STREAMS {
        let callers = if index % 2 == 0 { in_touch.callers } else { other.callers };
        fresh.push(thread::spawn(move || client::send(callers, &request(), None)));
        thread::sleep(Duration::from_millis(100));
    }
    let stories = join(takeups);
    let fresh = join(fresh);
    healing.join().expect("the end of the cut");
    stories.iter().for_each(|story| note(case, story));
    let taken: Vec<&Story> = stories.iter().filter(|story| story.second.is_some()).collect();
    let went_on = |story: &&&Story| story.second.as_ref().is_some_and(|a| !a.events.is_empty());
    let on = taken.iter().filter(went_on).count();
    let began = fresh.iter().filter(|answer| !answer.events.is_empty()).count();
    let shares = (on as f64 / taken.len().max(1) as f64, began as f64 / fresh.len() as f64);
    case.note(format!(
        "taken up: {}, of these went on: {on} ({:.2}); new: {}, of these began: {began} ({:.2})",
        taken.len(),
        shares.0,
        fresh.len(),
        shares.1,
    ));
    if taken.len() < MIN_TAKEN_UP {
        return Verdict::NotRun;
    }
    if shares.0 < shares.1 / 2.0 { Verdict::Broken } else { Verdict::Held }
}
