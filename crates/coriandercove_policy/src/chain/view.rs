//! Explains a choice to operators.

use std::time::Duration;

use coriandercove_base::Layer;

use super::build::build_node;
use super::fleet::{Fleet, LoadContext, Usable};
use super::types::{Chain, ChainRequest, NoChain};
use crate::explain::{CandidateVerdict, CandidateView, ChainExplanation};

/// Builds the explanation of a choice with the verdict on every target of the model.
pub(super) fn explanation(
    fleet: &Fleet,
    req: &ChainRequest<'_>,
    result: Result<Chain, NoChain>,
    sampled: &[u32],
    cx: LoadContext,
) -> ChainExplanation {
    let (chain, refusal, uncovered) = match result {
        Ok(chain) => (Some(chain), None, None),
        Err(e) => (None, Some(e.reason), e.uncovered),
    };
    let mut candidates: Vec<CandidateView> = fleet
        .versions(req.model, req.version)
        .flat_map(|(_, groups)| groups)
        .flat_map(|g| g.members.iter().copied())
        .map(|i| candidate_view(fleet, i, req, chain.as_ref(), sampled, cx))
        .collect();
    candidates.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    ChainExplanation {
        chain,
        refusal,
        uncovered,
        candidates,
    }
}

fn sort_key(c: &CandidateView) -> (Layer, Layer, &str, &str) {
    (c.first_layer, c.end_layer, &c.zone, &c.target)
}

fn candidate_view(
    fleet: &Fleet,
    i: u32,
    req: &ChainRequest<'_>,
    chain: Option<&Chain>,
    sampled: &[u32],
    cx: LoadContext,
) -> CandidateView {
    let slot = fleet.slot(i);
    let c = &slot.candidate;
    let layers = c.end_layer.min(req.end_layer).saturating_sub(c.first_layer);
    let total = f64::from(layers) * build_node(fleet, i, c.end_layer, req, cx).total_per_layer;
    let is_chosen = chain.is_some_and(|ch| ch.hops.iter().any(|h| h.target == c.target));
    let verdict = match slot.usable(req, cx) {
        _ if is_chosen => CandidateVerdict::Chosen,
        Usable::NotReady => CandidateVerdict::NotReady,
        Usable::Excluded => CandidateVerdict::Excluded,
        Usable::AtLimit => CandidateVerdict::AtLimit,
        Usable::NoKvMemory => CandidateVerdict::NoKvMemory,
        Usable::Yes if sampled.contains(&i) => CandidateVerdict::Slower,
        Usable::Yes => CandidateVerdict::NotSampled,
    };
    CandidateView {
        target: c.target.clone(),
        zone: c.zone.clone(),
        first_layer: c.first_layer,
        end_layer: c.end_layer,
        outstanding: slot.outstanding(cx),
        weight: slot.weight,
        cached_tokens: req.cached_tokens(&c.target),
        compute: Duration::from_nanos(total as u64),
        verdict,
    }
}
