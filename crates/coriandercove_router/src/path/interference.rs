//! Keeps long prompts from holding up short ones at the same hops, for contended services.
//!
//! Load pattern: an engine prefills its prompts one after the other, in chunks beside the decode
//! steps of its streams. A long prompt holds up every prompt that reaches the engine after it. Two
//! decisions keep that delay within the objectives, without targets that are set aside:
//!
//! - The cost of a path contains the delay that the request's prefill imposes on others at each hop.
//! - A long prompt is led around hops where long prompts in progress already take more than a third
//!   of the objective, unless it has waited for half its objective or there is no other path in
//!   time.
//!
//! `docs/design/long-prompts.md` gives the reasons.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::SortedMap;

use super::search::{HopTimes, search};
use super::{Candidate, Demand, Path, SearchContext};
use crate::load::Work;
use crate::routes::EngineModel;

/// Tokens of a long prompt, in multiples of the usual prompt, that it exceeds.
const LONG_FACTOR: f64 = 2.0;
/// Share of the objective that the prefill of long prompts in progress may take at a hop. A short
/// prompt behind it has the rest for its own prefill and for the other hops.
const LONG_PREFILL_SHARE: f64 = 1.0 / 3.0;
/// Share of the objective after which a waiting long prompt is no longer led around hops. The other
/// half is left for its prefill.
const AGEING_SHARE: f64 = 0.5;
/// Prompts that the request delays for each one that waits now, those that arrive until the queue is
/// empty included: three at an engine that prefills for two thirds of the time.
const DELAYED_PER_WAITING: f64 = 3.0;
/// Weight of the delay of a stream that decodes, compared with that of a waiting prompt. The delay
/// is spread over one pause for each chunk, and each is much shorter than a gap objective.
const STREAM_WEIGHT: f64 = 0.1;

/// Limits of a request's time to the first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstEventTiming {
    /// Maximum expected time to the first event from now on.
    pub limit: Duration,
    /// Objective of the request's route for the time to the first event.
    pub objective: Duration,
    /// Time since the request arrived.
    pub waited: Duration,
}

/// Inputs of the decisions on long prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interference {
    /// Objective of the request's route for the time to the first event.
    pub objective: Duration,
    /// Time since the request arrived.
    pub waited: Duration,
}

impl From<FirstEventTiming> for Interference {
    fn from(timing: FirstEventTiming) -> Self {
        Self {
            objective: timing.objective,
            waited: timing.waited,
        }
    }
}

/// What the bound on long prompts in progress meant for a path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LongPromptOutcome {
    /// The prompt is not long, or the best path has no hop beyond the bound.
    #[default]
    Unaffected,
    /// The path avoids hops beyond the bound.
    Steered,
    /// The path has a hop beyond the bound, as the request has waited long enough.
    Aged,
    /// The path has a hop beyond the bound, as no other path is in time.
    NoOtherPath,
}

/// Whether a prompt of this many tokens is long for the model.
#[must_use]
pub fn is_long(engine: &EngineModel, prompt: u32) -> bool {
    f64::from(prompt) > LONG_FACTOR * engine.usual_prompt
}

/// Delay that the request's prefill imposes on others at a hop, in ms for each layer that it runs.
pub(super) fn imposed_per_layer(
    engine: &EngineModel,
    candidate: &Candidate,
    work: Work,
    demand: Demand,
    times: &HopTimes,
) -> f64 {
    let usual = engine.usual_prompt * f64::from(candidate.layers.len());
    let requests = f64::from(work.requests);
    let waiting = (work.pending_prefill as f64 / usual.max(1.0)).min(requests);
    // A stream loses the time of the prefill alone; its steps take place in any case.
    let alone = f64::from(demand.prompt) * candidate.prefill_factor
        / (engine.prefill_per_ms * f64::from(engine.layers));
    let of_prompts = waiting * DELAYED_PER_WAITING * times.own_prefill(1);
    of_prompts + (requests - waiting) * STREAM_WEIGHT * alone
}

/// Applies the bound on long prompts in progress to the best path of a request: returns a path that
/// avoids hops beyond the bound if it is in time and does not begin at a tried hop, and the best path
/// otherwise.
pub(super) fn within_bound(
    context: SearchContext<'_>,
    works: &[Work],
    demand: Demand,
    best: Path,
) -> Path {
    let Some(interference) = context.interference else {
        return best;
    };
    // The new hops of a running request replace lost ones and must not be delayed further.
    if context.running.is_some() || !is_long(context.engine, demand.prompt) {
        return best;
    }
    let long = long_prefill(context);
    if long.iter().next().is_none() {
        return best;
    }
    let limit = interference.objective.as_secs_f64() * 1e3 * LONG_PREFILL_SHARE;
    let is_beyond = |(candidate, work): &(&Candidate, &Work)| {
        long.get(&candidate.address).is_some_and(|pending| {
            let long_work = Work {
                pending_prefill: *pending,
                ..**work
            };
            HopTimes::new(context.engine, candidate, long_work, demand).pending_prefill > limit
        })
    };
    let all = context.candidates.iter().zip(works);
    let beyond: Vec<SocketAddr> = all.clone().filter(is_beyond).map(|c| c.0.address).collect();
    if !best.hops.iter().any(|h| beyond.contains(&h.address)) {
        return best;
    }
    if interference.waited >= interference.objective.mul_f64(AGEING_SHARE) {
        return best.with_outcome(LongPromptOutcome::Aged);
    }
    let (candidates, works): (Vec<Candidate>, Vec<Work>) = all
        .filter(|(c, _)| !beyond.contains(&c.address))
        .map(|(c, w)| (c.clone(), *w))
        .unzip();
    let left = SearchContext {
        candidates: &candidates,
        ..context
    };
    // A retry must not return to a first hop at which the request failed.
    let is_retried = |path: &Path| {
        let mut tried = candidates.iter().filter(|c| c.is_tried);
        path.hops
            .first()
            .is_some_and(|first| tried.any(|c| c.address == first.address))
    };
    let latest = context.first_event_limit.max(best.first_event);
    match search(left, &works, demand, true) {
        Some(other) if other.first_event <= latest && !is_retried(&other) => {
            other.with_outcome(LongPromptOutcome::Steered)
        }
        _ => best.with_outcome(LongPromptOutcome::NoOtherPath),
    }
}

impl Path {
    fn with_outcome(self, long_prompt: LongPromptOutcome) -> Self {
        Self {
            long_prompt,
            ..self
        }
    }
}

/// Long prompts in progress at each candidate, in tokens x layers.
fn long_prefill(context: SearchContext<'_>) -> SortedMap<SocketAddr, u64> {
    let limit = LONG_FACTOR * context.engine.usual_prompt;
    let layers = |target| {
        let mut candidates = context.candidates.iter();
        candidates
            .find(|c| c.address == target)
            .map_or(0, |c| c.layers.len())
    };
    let mut sums = SortedMap::default();
    for (target, pending) in context.load.pending_over(limit, layers) {
        *sums.get_or_insert_with(target, || 0) += pending;
    }
    sums
}

#[cfg(test)]
mod tests;
