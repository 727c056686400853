//! Ways to choose among engines; all but one are baselines for comparison.

use std::sync::Arc;

use crate::engine::EngineView;

/// How engines are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LbPolicy {
    /// By estimated time, from own grants and learnt speeds.
    #[default]
    Score,
    /// One after the other.
    RoundRobin,
    /// By the engines' own, lagging reports.
    LeastReported,
    /// By the longest cached prefix.
    PrefixOnly,
}

/// An engine that may be chosen; the smallest cost wins.
pub struct Candidate<'a> {
    /// The engine.
    pub engine: &'a EngineView,
    /// Cost, and whether it is far, which breaks ties.
    pub cost: (f64, bool),
}

impl LbPolicy {
    /// Chooses a decode engine.
    pub fn decode<'a>(
        self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        turn: usize,
    ) -> Option<Arc<str>> {
        match self {
            Self::Score | Self::PrefixOnly => cheapest(candidates),
            Self::RoundRobin => in_turn(candidates, turn),
            Self::LeastReported => least_reported(candidates),
        }
    }

    /// Chooses a prefill engine; `depth` counts the pieces that an engine has cached.
    pub fn prefill<'a>(
        self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        depth: impl Fn(&EngineView) -> usize,
        turn: usize,
    ) -> Option<Arc<str>> {
        match self {
            Self::Score => cheapest(candidates),
            Self::RoundRobin => in_turn(candidates, turn),
            Self::LeastReported => least_reported(candidates),
            Self::PrefixOnly => cheapest(candidates.map(|candidate| {
                let pieces = depth(candidate.engine) as f64;
                Candidate { cost: (-pieces, candidate.cost.1), ..candidate }
            })),
        }
    }
}

fn cheapest<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> Option<Arc<str>> {
    let order = |a: &Candidate<'_>, b: &Candidate<'_>| {
        a.cost.0.total_cmp(&b.cost.0).then(a.cost.1.cmp(&b.cost.1))
    };
    candidates.min_by(order).map(|candidate| candidate.engine.info.name.clone())
}

fn in_turn<'a>(candidates: impl Iterator<Item = Candidate<'a>>, turn: usize) -> Option<Arc<str>> {
    let engines: Vec<&EngineView> = candidates.map(|candidate| candidate.engine).collect();
    let engine = engines.get(turn.checked_rem(engines.len())?)?;
    Some(engine.info.name.clone())
}

fn least_reported<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> Option<Arc<str>> {
    let engine = candidates.map(|c| c.engine).min_by_key(|engine| engine.load.running)?;
    Some(engine.info.name.clone())
}
