//! Settings of a process, read from a JSON file at startup.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::fault::{Fault, Faults};
use crate::reader::ObjectReader;
use crate::secret::Digest;

/// Minimum length of the secret that the hosts share, in bytes.
const MIN_FLEET_SECRET_BYTES: usize = 16;

/// All settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, unique among all hosts.
    pub host: Arc<str>,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Region of the data centre; the hosts of a region share engine pools and limit shares.
    pub region: Arc<str>,
    /// Listener for callers.
    pub callers: Listener,
    /// Listener for operators.
    pub operators: Listener,
    /// Digests of the operators' keys.
    pub operator_keys: Vec<Digest>,
    /// Connections between hosts and failure detection.
    pub peers: PeerSettings,
    /// Client of the platform's key-value service.
    pub platform: PlatformSettings,
    /// Level and format of the log.
    pub log: LogSettings,
    /// Size and time bounds on callers' connections and requests.
    pub bounds: Bounds,
    /// What to optimize for when the engines are at capacity.
    pub policy: OverloadPolicy,
    /// Whether keys are accepted while configuration updates do not arrive.
    pub cut_off: StaleConfigPolicy,
    /// Grace period of a shutdown.
    pub grace: Duration,
    /// How long a limit share stays valid if its ownership cannot be renewed in the platform.
    pub tenure: Duration,
    /// Worker threads for traffic.
    pub threads: usize,
    /// PEM file of the CA certificates that TLS upstreams must chain to.
    pub upstream_ca: Option<Arc<str>>,
}

/// A listening address with optional TLS.
#[derive(Clone, Debug)]
pub struct Listener {
    /// IP address and port; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Certificate and key files, if connections use TLS.
    pub tls: Option<TlsFiles>,
}

/// PEM files of a certificate chain and its private key.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// File of the certificate chain.
    pub certificate: Arc<str>,
    /// File of the private key.
    pub key: Arc<str>,
}

/// Settings of connections between hosts and of failure detection.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Address at which peers connect.
    pub listen: SocketAddr,
    /// Secret by which hosts authenticate to each other.
    pub secret: Arc<str>,
    /// Addresses of peers to contact before any are listed in the platform.
    pub seeds: Vec<SocketAddr>,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Time without a heartbeat after which a peer is considered failed.
    pub silence: Duration,
}

/// Settings of the client of the platform's key-value service.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address of the service.
    pub address: SocketAddr,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Most calls per second from this host.
    pub calls: u32,
}

/// Level and format of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// Lowest severity that is logged.
    pub level: &'static str,
    /// Format of the lines.
    pub format: LogFormat,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Size and time bounds on callers' connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest body of a model request, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    pub head_time: Duration,
    /// Timeout for receiving a request body.
    pub body_time: Duration,
    /// Longest time that a caller may stop reading a streamed response.
    pub stall_time: Duration,
    /// Most concurrent connections.
    pub connections: usize,
}

/// What to optimize for when the engines are at capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverloadPolicy {
    /// Goodput, the rate of requests that meet their latency targets.
    #[default]
    Goodput,
    /// The customer with the worst service, and few refusals of requests within their limits.
    WorstServed,
}

/// Whether keys are accepted while configuration updates do not arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleConfigPolicy {
    /// Keys stay accepted by the last known configuration.
    Serve,
    /// Keys are refused once the configuration is older than this.
    Refuse(Duration),
}

impl Settings {
    /// Parses settings from JSON text and applies `path=value` overrides.
    ///
    /// # Errors
    ///
    /// Returns all faults found, not only the first.
    pub fn parse(text: &str, overrides: &[String]) -> Result<Self, Faults> {
        let parsed = serde_json::from_str(text);
        let mut value: Value =
            parsed.map_err(|error| Faults(vec![Fault::new("", error.to_string())]))?;
        let faults = RefCell::new(Faults::default());
        for change in overrides {
            if let Err(fault) = apply_override(&mut value, change) {
                faults.borrow_mut().0.push(fault);
            }
        }
        let settings = read(&value, &faults);
        faults.into_inner().or(settings)
    }
}

fn apply_override(value: &mut Value, change: &str) -> Result<(), Fault> {
    let Some((path, text)) = change.split_once('=') else {
        return Err(Fault::new(change, "an override must have the form path=value"));
    };
    let new = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()));
    let mut target = value;
    for name in path.split('.') {
        if target.is_null() {
            *target = Value::Object(serde_json::Map::new());
        }
        let Some(fields) = target.as_object_mut() else {
            return Err(Fault::new(path, "a parent of this field is not an object"));
        };
        target = fields.entry(name).or_insert(Value::Null);
    }
    *target = new;
    Ok(())
}

fn read(value: &Value, faults: &RefCell<Faults>) -> Settings {
    let top = ObjectReader::new(value, faults);
    let settings = Settings {
        host: top.string("host"),
        data_centre: top.string("data_centre"),
        region: top.string("region"),
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
        upstream_ca: top.optional_string("upstream_ca"),
    };
    top.finish();
    settings
}

fn listener(section: ObjectReader<'_>) -> Listener {
    let listen = section.address("listen");
    let tls = section.optional_section("tls").map(|tls| {
        let files = TlsFiles { certificate: tls.string("certificate"), key: tls.string("key") };
        tls.finish();
        files
    });
    section.finish();
    Listener { listen, tls }
}

fn operator_keys(top: &ObjectReader<'_>) -> Vec<Digest> {
    let digests: Vec<Digest> =
        top.strings("operator_keys").iter().map(|text| Digest::from(text.as_ref())).collect();
    if digests.iter().any(|digest| !digest.is_valid()) {
        top.add_fault(
            "operator_keys",
            "must be SHA-256 digests of 64 lowercase hexadecimal digits",
        );
    }
    digests
}

fn peers(section: ObjectReader<'_>) -> PeerSettings {
    let secret = section.string("secret");
    if !secret.is_empty() && secret.len() < MIN_FLEET_SECRET_BYTES {
        section.add_fault("secret", "must have at least 16 bytes");
    }
    let mut seeds = Vec::new();
    for text in section.strings("seeds") {
        match text.parse() {
            Ok(address) => seeds.push(address),
            Err(_) => section.add_fault("seeds", "must be IP addresses with ports"),
        }
    }
    let heartbeat = section.number("heartbeat_ms", 500, 20..=10_000);
    let silence = section.number("silence_ms", 2_500, 100..=60_000);
    if silence < 2 * heartbeat {
        section.add_fault("silence_ms", "must be at least twice heartbeat_ms");
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

fn platform(section: ObjectReader<'_>) -> PlatformSettings {
    let settings = PlatformSettings {
        address: section.address("address"),
        timeout: Duration::from_millis(section.number("timeout_ms", 1_000, 10..=60_000)),
        calls: section.number("calls_per_s", 50, 1..=2_000) as u32,
    };
    section.finish();
    settings
}

fn log(section: ObjectReader<'_>) -> LogSettings {
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

fn bounds(section: ObjectReader<'_>) -> Bounds {
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

fn cut_off(section: ObjectReader<'_>) -> StaleConfigPolicy {
    let serve = section.choice("keys", &[("serve", true), ("refuse", false)]);
    let after = Duration::from_secs(section.number("after_s", 60, 1..=86_400));
    section.finish();
    if serve { StaleConfigPolicy::Serve } else { StaleConfigPolicy::Refuse(after) }
}
