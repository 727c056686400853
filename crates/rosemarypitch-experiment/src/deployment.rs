//! The users' two deployments at their present sizes, with hosts, engines and customers.

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

/// Name of the model that all experiments use.
pub const MODEL: &str = "model";
/// Port of the first engine's address; used only as a name, nothing listens there.
const FIRST_ENGINE_PORT: u16 = 2_000;
/// Number of rate-limit shares per data centre.
const SHARES: u32 = 4;
/// Ratio of a customer's rate limit to its load at full capacity.
const LIMIT_FACTOR: f64 = 1.5;
/// Seconds for which a customer's burst lasts at its rate limit.
const BURST_SECONDS: f64 = 10.0;

/// One of the users' deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Four data centres, eight engines.
    Board,
    /// Three data centres, nine engines.
    Guild,
}

/// Ranges of prompt and output lengths of a class of requests, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct TokenRanges {
    /// Minimum and maximum length of a prompt.
    pub prompt: [u32; 2],
    /// Minimum and maximum length of an output.
    pub output: [u32; 2],
}

impl TokenRanges {
    /// Returns the ranges of the long or the short class.
    pub fn for_class(long: bool) -> Self {
        if long {
            Self { prompt: [2_000, 8_000], output: [80, 240] }
        } else {
            Self { prompt: [60, 600], output: [20, 100] }
        }
    }

    fn mean(range: [u32; 2]) -> f64 {
        f64::from(range[0] + range[1]) / 2.0
    }

    /// Mean lengths of prompt and output.
    pub fn mean_tokens(self) -> (f64, f64) {
        (Self::mean(self.prompt), Self::mean(self.output))
    }
}

impl Deployment {
    /// Names of the data centres.
    pub fn data_centres(self) -> &'static [&'static str] {
        match self {
            Self::Board => &["howrah", "salt-lake", "barrackpore", "behala"],
            Self::Guild => &["arima", "tunapuna", "chaguanas"],
        }
    }

    /// Entry hosts, assigned to the data centres in rotation.
    pub fn hosts(self) -> Vec<HostSpec> {
        let count = match self {
            Self::Board => 5,
            Self::Guild => 4,
        };
        let data_centres = self.data_centres();
        let host = |index: usize| HostSpec {
            name: Arc::from(format!("host-{index}")),
            data_centre: Arc::from(data_centres[index % data_centres.len()]),
            region: Arc::from("one"),
        };
        (0..count).map(host).collect()
    }

    /// Numbers of prefill and of decode engines.
    pub fn engine_counts(self) -> (usize, usize) {
        match self {
            Self::Board => (3, 5),
            Self::Guild => (3, 6),
        }
    }

    /// One-way network delay between data centres.
    pub fn remote_delay(self) -> Duration {
        match self {
            Self::Board => Duration::from_micros(500),
            Self::Guild => Duration::from_millis(1),
        }
    }

    /// Default customers, with two large ones among them.
    pub fn customers(self) -> Vec<CustomerPlan> {
        let customer = |name: &str, weight, long| CustomerPlan {
            name: name.to_owned(),
            weight,
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

    /// Engines of one shape, named after their roles.
    pub fn engines(self, shape: &EngineShape) -> Vec<EngineSpec> {
        let (prefills, decodes) = self.engine_counts();
        let names = (0..prefills)
            .map(|index| format!("prefill-{index}"))
            .chain((0..decodes).map(|index| format!("decode-{index}")));
        names.map(|name| EngineSpec { name: Arc::from(name), shape: shape.clone() }).collect()
    }

    /// Builds the configuration, with rate limits in proportion to each customer's load.
    pub fn document(self, shape: &EngineShape, customers: &[CustomerPlan]) -> Document {
        let capacity = capacity(self, shape, customers);
        let total_weight: f64 = customers.iter().map(|customer| customer.weight).sum();
        let customers = customers.iter().map(|plan| {
            let (prompt, output) = TokenRanges::for_class(plan.long).mean_tokens();
            let requests = capacity * plan.weight / total_weight;
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
        let data_centres = self.data_centres();
        let model: Arc<str> = Arc::from(MODEL);
        let engines = self.engines(shape);
        let upstream = |(index, spec): (usize, &EngineSpec)| {
            let kind = if spec.name.starts_with("prefill") {
                UpstreamKind::Prefill { model: model.clone() }
            } else {
                UpstreamKind::Decode { model: model.clone(), slots: shape.slots }
            };
            let port = FIRST_ENGINE_PORT + index as u16;
            let upstream = Upstream {
                kind,
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                data_centre: Arc::from(data_centres[index % data_centres.len()]),
                state: UpstreamState::Serving,
                tls: false,
            };
            (spec.name.clone(), upstream)
        };
        engines.iter().enumerate().map(upstream).collect()
    }
}

/// Requests per second that the engines can serve with full batches, from their speeds.
///
/// The smaller of the prefill throughput and the decode throughput.
pub fn capacity(deployment: Deployment, shape: &EngineShape, customers: &[CustomerPlan]) -> f64 {
    let (prefills, decodes) = deployment.engine_counts();
    let total_weight: f64 = customers.iter().map(|customer| customer.weight).sum();
    let mean = |tokens: fn((f64, f64)) -> f64| -> f64 {
        customers
            .iter()
            .map(|customer| {
                tokens(TokenRanges::for_class(customer.long).mean_tokens()) * customer.weight
                    / total_weight
            })
            .sum()
    };
    let (prompt, output) = (mean(|tokens| tokens.0), mean(|tokens| tokens.1));
    let prefill_limit = prefills as f64 * f64::from(shape.prefill_rate) / prompt;
    let step_seconds = shape.step_time(shape.slots).as_secs_f64();
    let decode_limit = decodes as f64 * f64::from(shape.slots) / (output * step_seconds);
    prefill_limit.min(decode_limit)
}
