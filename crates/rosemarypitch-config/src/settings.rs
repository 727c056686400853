//! Settings of one process, read from a JSON file at its start.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::fault::{Fault, Faults};
use crate::reader::Reader;
use crate::secret::Digest;

/// Shortest fleet secret, in bytes.
const MIN_FLEET_SECRET_BYTES: usize = 16;

/// All settings of an entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Region of the data centre; hosts of a region share pools and limit holders.
    pub region: Arc<str>,
    /// Where callers connect.
    pub callers: Listener,
    /// Where operators connect.
    pub operators: Listener,
    /// Digests of operators' keys.
    pub operator_keys: Vec<Digest>,
    /// How hosts reach each other.
    pub peers: PeerSettings,
    /// How the platform's key-value service is reached.
    pub platform: PlatformSettings,
    /// What is logged, and how.
    pub log: LogSettings,
    /// Bounds on callers' connections and requests.
    pub bounds: Bounds,
    /// Which measure goes first when engines are full.
    pub policy: OverloadPolicy,
    /// What keys do in a data centre cut off from configuration changes.
    pub cut_off: StaleConfigPolicy,
    /// Longest graceful shutdown.
    pub grace: Duration,
    /// How long a limit share is held without the platform.
    pub tenure: Duration,
    /// Threads for traffic.
    pub threads: usize,
    /// File of certificates, in PEM, that upstreams reached by TLS must chain to.
    pub upstream_ca: Option<Arc<str>>,
}

/// A listening address.
#[derive(Clone, Debug)]
pub struct Listener {
    /// IP number and port; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Certificate and key, when connections are encrypted.
    pub tls: Option<TlsFiles>,
}

/// Files of a certificate and its key, in PEM.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// Certificate chain file.
    pub certificate: Arc<str>,
    /// Private key file.
    pub key: Arc<str>,
}

/// How hosts reach each other.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Where peers connect.
    pub listen: SocketAddr,
    /// Secret that all hosts of the fleet share.
    pub secret: Arc<str>,
    /// Peers to try before the platform names any.
    pub seeds: Vec<SocketAddr>,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Silence after which a peer counts as gone.
    pub silence: Duration,
}

/// How the platform's key-value service is reached.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Longest wait for one answer.
    pub timeout: Duration,
    /// Most calls of this host in a second.
    pub calls: u32,
}

/// What is logged, and how.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: &'static str,
    /// Text or JSON lines.
    pub format: LogFormat,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text.
    Text,
    /// One JSON object a line.
    Json,
}

/// Bounds on callers' connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest body of a model request, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a request head.
    pub head_time: Duration,
    /// Longest time to send a request body.
    pub body_time: Duration,
    /// Longest time that a caller may leave a stream unread.
    pub stall_time: Duration,
    /// Most connections at once.
    pub connections: usize,
}

/// Which measure goes first when engines are full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverloadPolicy {
    /// Requests that meet their targets.
    #[default]
    Goodput,
    /// The worst-served customer and wrongful refusals.
    WorstServed,
}

/// What keys do in a data centre cut off from configuration changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleConfigPolicy {
    /// They go on working.
    Serve,
    /// They stop after a time.
    Refuse(Duration),
}

impl Settings {
    /// Reads settings from JSON text, with `path=value` overrides.
    ///
    /// All faults are reported together.
    pub fn parse(text: &str, overrides: &[String]) -> Result<Self, Faults> {
        let parsed = serde_json::from_str(text);
        let mut value: Value =
            parsed.map_err(|error| Faults(vec![Fault::new("", error.to_string())]))?;
        let faults = RefCell::new(Faults::default());
        for change in overrides {
            if let Err(fault) = replace(&mut value, change) {
                faults.borrow_mut().0.push(fault);
            }
        }
        let settings = read(&value, &faults);
        faults.into_inner().or(settings)
    }
}

fn replace(value: &mut Value, change: &str) -> Result<(), Fault> {
    let Some((path, text)) = change.split_once('=') else {
        return Err(Fault::new(change, "an override has the form path=value"));
    };
    let new = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()));
    let mut place = value;
    for step in path.split('.') {
        if place.is_null() {
            *place = Value::Object(serde_json::Map::new());
        }
        let Some(fields) = place.as_object_mut() else {
            return Err(Fault::new(path, "does not lead through objects"));
        };
        place = fields.entry(step).or_insert(Value::Null);
    }
    *place = new;
    Ok(())
}

fn read(value: &Value, faults: &RefCell<Faults>) -> Settings {
    let top = Reader::new(value, faults);
    let settings = Settings {
        host: top.text("host"),
        data_centre: top.text("data_centre"),
        region: top.text("region"),
        callers: listener(top.section("callers")),
        operators: listener(top.section("operators")),
        operator_keys: operator_keys(&top),
        peers: peers(top.section("peers")),
        platform: platform(top.section("platform")),
        log: log(top.section("log")),
        bounds: bounds(top.section("bounds")),
        policy: top.choice(
            "policy",
            &[("goodput", OverloadPolicy::Goodput), ("worst_served", OverloadPolicy::WorstServed)],
        ),
        cut_off: cut_off(top.section("cut_off")),
        grace: Duration::from_millis(top.number("grace_ms", 30_000, 0..=600_000)),
        tenure: Duration::from_secs(top.number("tenure_s", 7_200, 10..=86_400)),
        threads: top.number("threads", 2, 1..=64) as usize,
        upstream_ca: top.optional_text("upstream_ca"),
    };
    top.finish();
    settings
}

fn listener(section: Reader<'_>) -> Listener {
    let listen = section.address("listen");
    let tls = section.optional_section("tls").map(|tls| {
        let files = TlsFiles { certificate: tls.text("certificate"), key: tls.text("key") };
        tls.finish();
        files
    });
    section.finish();
    Listener { listen, tls }
}

fn operator_keys(top: &Reader<'_>) -> Vec<Digest> {
    let digests: Vec<Digest> =
        top.texts("operator_keys").iter().map(|text| Digest::from(text.as_ref())).collect();
    if digests.iter().any(|digest| !digest.is_valid()) {
        top.fault("operator_keys", "must be SHA-256 digests in hexadecimal");
    }
    digests
}

fn peers(section: Reader<'_>) -> PeerSettings {
    let secret = section.text("secret");
    if !secret.is_empty() && secret.len() < MIN_FLEET_SECRET_BYTES {
        section.fault("secret", "must have 16 bytes or more");
    }
    let mut seeds = Vec::new();
    for text in section.texts("seeds") {
        match text.parse() {
            Ok(address) => seeds.push(address),
            Err(_) => section.fault("seeds", "must be IP numbers with ports"),
        }
    }
    let heartbeat = section.number("heartbeat_ms", 500, 20..=10_000);
    let silence = section.number("silence_ms", 2_500, 100..=60_000);
    if silence < 2 * heartbeat {
        section.fault("silence_ms", "must be twice heartbeat_ms or more");
    }
    let listen = section.address("listen");
    section.finish();
    PeerSettings {
        listen,
        secret,
        seeds,
        heartbeat: Duration::from_millis(heartbeat),
        silence: Duration::from_millis(silence),
    }
}

fn platform(section: Reader<'_>) -> PlatformSettings {
    let settings = PlatformSettings {
        address: section.address("address"),
        timeout: Duration::from_millis(section.number("timeout_ms", 1_000, 10..=60_000)),
        calls: section.number("calls_per_s", 50, 1..=2_000) as u32,
    };
    section.finish();
    settings
}

fn log(section: Reader<'_>) -> LogSettings {
    let levels = [
        ("info", "info"),
        ("off", "off"),
        ("error", "error"),
        ("warn", "warn"),
        ("debug", "debug"),
        ("trace", "trace"),
    ];
    let settings = LogSettings {
        level: section.choice("level", &levels),
        format: section.choice("format", &[("text", LogFormat::Text), ("json", LogFormat::Json)]),
    };
    section.finish();
    settings
}

fn bounds(section: Reader<'_>) -> Bounds {
    let millis = |name, default| Duration::from_millis(section.number(name, default, 10..=600_000));
    let bounds = Bounds {
        head_bytes: section.number("head_bytes", 16_384, 8_192..=1_048_576) as usize,
        body_bytes: section.number("body_bytes", 4 << 20, 1_024..=64 << 20) as usize,
        head_time: millis("head_ms", 10_000),
        body_time: millis("body_ms", 30_000),
        stall_time: millis("stall_ms", 30_000),
        connections: section.number("connections", 10_000, 1..=1_000_000) as usize,
    };
    section.finish();
    bounds
}

fn cut_off(section: Reader<'_>) -> StaleConfigPolicy {
    let serve = section.choice("keys", &[("serve", true), ("refuse", false)]);
    let after = Duration::from_secs(section.number("after_s", 60, 1..=86_400));
    section.finish();
    if serve { StaleConfigPolicy::Serve } else { StaleConfigPolicy::Refuse(after) }
}
