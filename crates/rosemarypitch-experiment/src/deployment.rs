//! The users' two sites, at the sizes of today.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{
    Class, Customer, Document, Limit, Model, Target, Upstream, UpstreamKind, UpstreamState,
};
use rosemarypitch_standin::EngineShape;
use serde::{Deserialize, Serialize};

use crate::fleet::{EngineSpec, HostSpec};
use crate::plan::CustomerPlan;

/// Model of all experiments.
pub const MODEL: &str = "model";
/// First port of engines' addresses; nothing listens there.
const ENGINE_PORTS: u16 = 2_000;
/// Shares of each data centre.
const SHARES: u32 = 4;
/// Factor of a customer's limit over its load at full capacity.
const LIMIT_FACTOR: f64 = 1.5;
/// Seconds of a customer's rate that its burst holds.
const BURST_SECONDS: f64 = 10.0;

/// Which of the users' sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Four data centres, eight model servers.
    Board,
    /// Three data centres, nine model servers.
    Guild,
}

/// Sizes of a class of requests, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Fewest and most tokens of a prompt.
    pub prompt: [u32; 2],
    /// Fewest and most tokens of an output.
    pub output: [u32; 2],
}

impl Sizes {
    /// Sizes of a class.
    pub fn of(long: bool) -> Self {
        if long {
            Self { prompt: [2_000, 8_000], output: [80, 240] }
        } else {
            Self { prompt: [60, 600], output: [20, 100] }
        }
    }

    fn mean(range: [u32; 2]) -> f64 {
        f64::from(range[0] + range[1]) / 2.0
    }

    /// Mean tokens of a request, prompt and output.
    pub fn mean_tokens(self) -> (f64, f64) {
        (Self::mean(self.prompt), Self::mean(self.output))
    }
}

impl Deployment {
    /// Data centres.
    pub fn data_centres(self) -> &'static [&'static str] {
        match self {
            Self::Board => &["howrah", "salt-lake", "barrackpore", "behala"],
            Self::Guild => &["arima", "tunapuna", "chaguanas"],
        }
    }

    /// Entry hosts, dealt over the data centres.
    pub fn hosts(self) -> Vec<HostSpec> {
        let count = match self {
            Self::Board => 5,
            Self::Guild => 4,
        };
        let centres = self.data_centres();
        let host = |index: usize| HostSpec {
            name: Arc::from(format!("host-{index}")),
            data_centre: Arc::from(centres[index % centres.len()]),
            region: Arc::from("one"),
        };
        (0..count).map(host).collect()
    }

    /// Prefill and decode engines.
    pub fn engine_counts(self) -> (usize, usize) {
        match self {
            Self::Board => (3, 5),
            Self::Guild => (3, 6),
        }
    }

    /// One-way delay between data centres.
    pub fn remote_delay(self) -> Duration {
        match self {
            Self::Board => Duration::from_micros(500),
            Self::Guild => Duration::from_millis(1),
        }
    }

    /// Customers, a few of them large.
    pub fn customers(self) -> Vec<CustomerPlan> {
        let customer = |name: &str, part, long| CustomerPlan {
            name: name.to_owned(),
            part,
            long,
            factor: 1.0,
        };
        vec![
            customer("large-long", 4.0, true),
            customer("large-short", 4.0, false),
            customer("mid-long", 2.0, true),
            customer("mid-short", 1.0, false),
            customer("small-short", 0.5, false),
        ]
    }

    /// Engines with a shape, named for their roles.
    pub fn engines(self, shape: &EngineShape) -> Vec<EngineSpec> {
        let (prefills, decodes) = self.engine_counts();
        let names = (0..prefills)
            .map(|index| format!("prefill-{index}"))
            .chain((0..decodes).map(|index| format!("decode-{index}")));
        names.map(|name| EngineSpec { name: Arc::from(name), shape: shape.clone() }).collect()
    }

    /// The configuration for a load.
    pub fn document(self, shape: &EngineShape, customers: &[CustomerPlan]) -> Document {
        let per_second = capacity(self, shape, customers);
        let parts: f64 = customers.iter().map(|customer| customer.part).sum();
        let customers = customers.iter().map(|plan| {
            let (prompt, output) = Sizes::of(plan.long).mean_tokens();
            let requests = per_second * plan.part / parts;
            let rate = requests * (prompt + output) * LIMIT_FACTOR;
            let burst = (rate * BURST_SECONDS).max(40_000.0);
            let class = if plan.long { Class::Long } else { Class::Short };
            let limit = Limit { rate: rate as u64, burst: burst as u64 };
            let key = rosemarypitch_config::Digest::of(&plan.name);
            let keys = BTreeMap::from([(key, Default::default())]);
            let customer = Customer { class, limit, keys, active: true };
            (Arc::from(plan.name.as_str()), customer)
        });
        Document {
            customers: customers.collect(),
            models: BTreeMap::from([(
                Arc::from(MODEL),
                Model {
                    token_bytes: 4,
                    max_prompt: 64_000,
                    max_output: 4_000,
                    default_output: 200,
                },
            )]),
            classes: BTreeMap::from([
                (Class::Short, Target { first_ms: 380, pace_ms: 79, wait_ms: 3_000 }),
                (Class::Long, Target { first_ms: 380, pace_ms: 79, wait_ms: 3_000 }),
            ]),
            upstreams: self.upstreams(shape),
            shares: self.data_centres().iter().map(|name| (Arc::from(*name), SHARES)).collect(),
            ..Document::default()
        }
    }

    fn upstreams(self, shape: &EngineShape) -> BTreeMap<Arc<str>, Upstream> {
        let centres = self.data_centres();
        let model: Arc<str> = Arc::from(MODEL);
        let engines = self.engines(shape);
        let upstream = |(index, spec): (usize, &EngineSpec)| {
            let kind = if spec.name.starts_with("prefill") {
                UpstreamKind::Prefill { model: model.clone() }
            } else {
                UpstreamKind::Decode { model: model.clone(), slots: shape.slots }
            };
            let port = ENGINE_PORTS + index as u16;
            let upstream = Upstream {
                kind,
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                data_centre: Arc::from(centres[index % centres.len()]),
                state: UpstreamState::Serving,
                tls: false,
            };
            (spec.name.clone(), upstream)
        };
        engines.iter().enumerate().map(upstream).collect()
    }
}

/// Requests a second that the engines can serve at full batches, from their own speeds.
///
/// The smaller of what the prefill engines can read and what the decode engines can write.
pub fn capacity(deployment: Deployment, shape: &EngineShape, customers: &[CustomerPlan]) -> f64 {
    let (prefills, decodes) = deployment.engine_counts();
    let parts: f64 = customers.iter().map(|customer| customer.part).sum();
    let mean = |tokens: fn((f64, f64)) -> f64| -> f64 {
        customers
            .iter()
            .map(|customer| tokens(Sizes::of(customer.long).mean_tokens()) * customer.part / parts)
            .sum()
    };
    let (prompt, output) = (mean(|tokens| tokens.0), mean(|tokens| tokens.1));
    let read = prefills as f64 * f64::from(shape.prefill_rate) / prompt;
    let step = shape.step_time(shape.slots).as_secs_f64();
    let write = decodes as f64 * f64::from(shape.slots) / (output * step);
    read.min(write)
}
