//! Load-balancing policies: the default and the baselines for comparison.

use std::sync::Arc;

use crate::engine::EngineView;

/// Policy by which engines are selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LbPolicy {
    /// By estimated cost, from the pool's own reservations and measured rates.
    #[default]
    Score,
    /// In rotation over the available engines.
    RoundRobin,
    /// Fewest running requests by the load reports, which lag.
    LeastReported,
    /// Longest cached prefix for prefill, and estimated cost for decode.
    PrefixOnly,
}

/// An available engine and its cost; the smallest cost is selected.
pub struct Candidate<'a> {
    /// State of the engine.
    pub engine: &'a EngineView,
    /// Cost, with ties broken in favour of the local data centre (`false`).
    pub cost: (f64, bool),
}

impl LbPolicy {
    /// Selects a decode engine; `placed_count` is the position in the rotation.
    pub fn decode<'a>(
        self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        placed_count: usize,
    ) -> Option<Arc<str>> {
        match self {
            Self::Score | Self::PrefixOnly => cheapest(candidates),
            Self::RoundRobin => round_robin(candidates, placed_count),
            Self::LeastReported => least_reported(candidates),
        }
    }

    /// Selects a prefill engine.
    ///
    /// `match_len` returns the length of the longest prefix that an engine has cached, in blocks.
    /// `placed_count` is the position in the rotation.
    pub fn prefill<'a>(
        self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        match_len: impl Fn(&EngineView) -> usize,
        placed_count: usize,
    ) -> Option<Arc<str>> {
        match self {
            Self::Score => cheapest(candidates),
            Self::RoundRobin => round_robin(candidates, placed_count),
            Self::LeastReported => least_reported(candidates),
            Self::PrefixOnly => cheapest(candidates.map(|candidate| {
                let blocks = match_len(candidate.engine) as f64;
                Candidate { cost: (-blocks, candidate.cost.1), ..candidate }
            })),
        }
    }
}

fn cheapest<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> Option<Arc<str>> {
    let by_cost = |a: &Candidate<'_>, b: &Candidate<'_>| {
        a.cost.0.total_cmp(&b.cost.0).then(a.cost.1.cmp(&b.cost.1))
    };
    candidates.min_by(by_cost).map(|candidate| candidate.engine.info.name.clone())
}

fn round_robin<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    placed_count: usize,
) -> Option<Arc<str>> {
    let engines: Vec<&EngineView> = candidates.map(|candidate| candidate.engine).collect();
    let engine = engines.get(placed_count.checked_rem(engines.len())?)?;
    Some(engine.info.name.clone())
}

fn least_reported<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> Option<Arc<str>> {
    let engine = candidates.map(|c| c.engine).min_by_key(|engine| engine.load.running)?;
    Some(engine.info.name.clone())
}
