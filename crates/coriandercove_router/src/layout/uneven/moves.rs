//! Moves of single targets to other layers after losses.

use coriandercove_base::{SortedMap, TargetId, Time};

use super::super::{Assignment, Coverage, Holder, chain_tokens, layers_for, room};
use super::{
    Capacity, DEMAND_SHARE, MAX_COMPARED, MIN_COPIES, MIN_GAIN, MIN_SAMPLE, MeanDemand,
    PEAK_LIFETIME, TARGET_PAUSE, capacity, copies, holds_a_layer, kv_tokens,
};
use crate::fleet::LayerRange;
use crate::path::KV_SHARE;
use crate::routes::EngineModel;

/// Why a target is moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// A layer has no holder.
    Uncovered,
    /// A layer has fewer copies than a loss requires.
    Copies,
    /// The layout sustains more requests per second after the move.
    Capacity,
}

impl Cause {
    /// Name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Uncovered => "uncovered",
            Self::Copies => "copies",
            Self::Capacity => "capacity",
        }
    }
}

/// A move of one target to other layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The target and its new layers.
    pub assignment: Assignment,
    /// Why it is moved.
    pub cause: Cause,
    /// What the layout sustains before the move.
    pub before: Capacity,
    /// What it sustains after the move.
    pub after: Capacity,
}

/// Requests in flight of all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct InFlight {
    /// Number of requests.
    pub requests: f64,
    /// KV cache that they reserve at all targets together, in tokens x layers.
    pub kv: f64,
}

/// Targets of a service as the leader sees them.
#[derive(Debug, Clone, Copy)]
pub struct Situation<'a> {
    /// Targets with the layers that they hold or are loading.
    pub holders: &'a [Holder],
    /// Ranges of layers that targets are loading.
    pub loading: &'a [LayerRange],
    /// Requests in flight.
    pub in_flight: InFlight,
}

/// What a leader remembers of its service between checks; a new leader begins without it.
#[derive(Debug, Default)]
pub struct MoveHistory {
    /// Time of the last move or load that this entry saw, by target.
    moved: SortedMap<TargetId, Time>,
    /// Time of the first check of this entry as the leader.
    first_check: Option<Time>,
    /// Highest number of requests in flight lately, with its time.
    peak: (f64, Time),
}

impl MoveHistory {
    /// Records the requests in flight at a check.
    pub fn observe(&mut self, in_flight: InFlight, now: Time) {
        self.first_check.get_or_insert(now);
        let is_old = now.saturating_sub(self.peak.1) >= PEAK_LIFETIME;
        if in_flight.requests >= self.peak.0 || is_old {
            self.peak = (in_flight.requests, now);
        }
        self.moved
            .retain(|_, at| now.saturating_sub(*at) < TARGET_PAUSE);
    }

    /// Records an order to a target.
    pub fn record(&mut self, target: &TargetId, now: Time) {
        self.moved.insert(target.clone(), now);
    }

    fn may_move(&self, target: &TargetId) -> bool {
        self.moved.get(target).is_none()
    }

    /// Whether an earlier leader's moves are so old that targets may be moved again.
    fn is_known(&self, now: Time) -> bool {
        self.first_check
            .is_some_and(|at| now.saturating_sub(at) >= TARGET_PAUSE)
    }
}

/// Mean size of the requests in flight; the usual one if they are few.
fn mean_demand(engine: &EngineModel, in_flight: InFlight) -> MeanDemand {
    let usual = MeanDemand::usual(engine);
    if in_flight.requests < MIN_SAMPLE {
        return usual;
    }
    let tokens = in_flight.kv / in_flight.requests / f64::from(engine.layers.max(1));
    let scale = (tokens / usual.tokens()).clamp(0.5, 2.0);
    MeanDemand {
        prompt: usual.prompt * scale,
        answer: usual.answer * scale,
    }
}

/// What the layout sustains, for requests of the size of those in flight.
#[must_use]
pub fn sustained(engine: &EngineModel, situation: Situation<'_>) -> Capacity {
    let demand = mean_demand(engine, situation.in_flight);
    capacity(engine, situation.holders, demand)
}

/// Returns the move of one target that helps most, if it is worth its cost.
///
/// Layers without a holder come first, then layers with fewer copies than a loss requires. Otherwise
/// a move must raise the capacity by `MIN_GAIN` while the requests in flight use a good part of
/// it. A target without layers may still fill the gap, so that no other is moved before.
#[must_use]
pub fn next_move(
    engine: &EngineModel,
    situation: Situation<'_>,
    history: &MoveHistory,
    now: Time,
) -> Option<Move> {
    let before = sustained(engine, situation);
    next_move_from(engine, situation, history, now, before)
}

/// Same as [`next_move`], for a layout of which [`sustained`] has returned `before`.
#[must_use]
pub fn next_move_from(
    engine: &EngineModel,
    situation: Situation<'_>,
    history: &MoveHistory,
    now: Time,
    before: Capacity,
) -> Option<Move> {
    let holders = situation.holders;
    // A target whose memory holds no layer never fills a gap.
    let is_free = |h: &Holder| h.layers.is_none() && holds_a_layer(engine, &h.accelerator);
    if holders.iter().any(is_free) {
        return None;
    }
    let copies = copies(engine, holders);
    let fewest = copies.iter().copied().min()?;
    let demand = mean_demand(engine, situation.in_flight);
    let cause = match fewest {
        0 => Cause::Uncovered,
        n if n < MIN_COPIES => Cause::Copies,
        _ => Cause::Capacity,
    };
    let is_needed = history.peak.0 >= before.in_flight * DEMAND_SHARE;
    // A layer without a holder stops all requests, so that the pause of a new leader is not worth
    // its cost.
    let is_damped = cause != Cause::Uncovered && !history.is_known(now);
    if is_damped || (cause == Cause::Capacity && !is_needed) {
        return None;
    }
    let mut options = options(engine, situation, &copies, history);
    if cause != Cause::Capacity {
        // Only a move that leaves fewer layers short of copies helps.
        options.retain(|o| o.short < shortage(&copies));
    }
    keep_best(&mut options);
    let (option, after) = take_best(engine, holders, options, demand)?;
    // Where nothing is sustained before and after, the ratio alone would allow every move.
    let is_worth = after.per_second > before.per_second
        && after.per_second >= before.per_second * (1.0 + MIN_GAIN);
    if cause == Cause::Capacity && !is_worth {
        return None;
    }
    Some(Move {
        assignment: Assignment {
            id: holders[option.holder].id.clone(),
            layers: option.layers,
        },
        cause,
        before,
        after,
    })
}

/// A possible move.
struct MoveOption {
    /// Index of the holder.
    holder: usize,
    layers: LayerRange,
    /// Copies that the layers lack after the move.
    short: u32,
    /// Scarcity of all layers after the move.
    scarcity: f64,
}

/// Copies that the layers lack together. A layer without a holder counts more than all others, and a
/// second copy more than a third.
fn shortage(copies: &[u16]) -> u32 {
    let weight = |n: &u16| match n {
        0 => 10_000,
        1 => 100,
        2 => 1,
        _ => 0,
    };
    copies.iter().map(weight).sum()
}

/// Moves that take no layer below the copies that it must keep, and that touch no layers that a
/// target is loading.
fn options(
    engine: &EngineModel,
    situation: Situation<'_>,
    copies: &[u16],
    history: &MoveHistory,
) -> Vec<MoveOption> {
    let holders = situation.holders;
    let fewest = copies.iter().copied().min().unwrap_or(0);
    // Where some layer has less than the copies that a loss requires, others keep at least one copy
    // more than it has, so that the moves come to an end.
    let kept = MIN_COPIES.min(fewest + 1);
    let tokens = chain_tokens(engine, holders);
    let mut coverage = Coverage::of(engine, holders, tokens);
    let mut out = Vec::new();
    let is_loading = |layers: &LayerRange| {
        let mut loading = situation.loading.iter();
        loading.any(|l| l.first < layers.end && layers.first < l.end)
    };
    for (i, h) in holders.iter().enumerate() {
        let Some(held) = h.layers.filter(|_| history.may_move(&h.id)) else {
            continue;
        };
        // Copies that are still loading do not replace those that a move would take away.
        if is_loading(&held) {
            continue;
        }
        let mut left = copies.to_vec();
        // A peer or an earlier configuration may name layers that the model does not have.
        let end = held.end.min(engine.layers);
        let range = usize::from(held.first.min(end))..usize::from(end);
        for n in &mut left[range.clone()] {
            *n -= 1;
        }
        // The target gives up its layers before it loads others, also those that it will hold again.
        if left[range].iter().any(|n| *n < kept) {
            continue;
        }
        let held_room = room(engine, &h.accelerator, held.len(), tokens);
        coverage.add(h, held, -held_room);
        let places = places(engine, holders, i, &mut coverage, &left);
        out.extend(
            places
                .into_iter()
                .filter(|p| !is_loading(&p.layers) && p.layers != held),
        );
        coverage.add(h, held, held_room);
    }
    out
}

/// Ranges of layers that the holder with this index may take; `coverage` and `copies` are without
/// it.
fn places(
    engine: &EngineModel,
    holders: &[Holder],
    index: usize,
    coverage: &mut Coverage,
    copies: &[u16],
) -> Vec<MoveOption> {
    let h = &holders[index];
    let tokens = coverage.chain_room;
    let mut out = Vec::new();
    for layers in windows(engine, holders, h, tokens) {
        let mut after = copies.to_vec();
        for n in &mut after[usize::from(layers.first)..usize::from(layers.end)] {
            *n += 1;
        }
        let new_room = room(engine, &h.accelerator, layers.len(), tokens);
        coverage.add(h, layers, new_room);
        out.push(MoveOption {
            holder: index,
            layers,
            short: shortage(&after),
            scarcity: coverage.scarcity(),
        });
        coverage.add(h, layers, -new_room);
    }
    out
}

/// Keeps the options that lack the fewest copies and among those the least scarce layers.
fn keep_best(options: &mut Vec<MoveOption>) {
    options.sort_by(|a, b| {
        let by_short = a.short.cmp(&b.short);
        by_short.then(a.scarcity.total_cmp(&b.scarcity))
    });
    options.truncate(MAX_COMPARED);
}

/// Takes the option that lacks the fewest copies and among those the one with the most capacity.
fn take_best(
    engine: &EngineModel,
    holders: &[Holder],
    options: Vec<MoveOption>,
    demand: MeanDemand,
) -> Option<(MoveOption, Capacity)> {
    let mut best: Option<(MoveOption, Capacity)> = None;
    for option in options {
        let mut moved = holders.to_vec();
        moved[option.holder].layers = Some(option.layers);
        let after = capacity(engine, &moved, demand);
        let is_better = best.as_ref().is_none_or(|(o, most)| {
            option.short < o.short
                || (option.short == o.short && after.per_second > most.per_second)
        });
        if is_better {
            best = Some((option, after));
        }
    }
    best
}

/// Assigns layers to the targets that have none, the fastest first, each where it helps most.
pub(super) fn fill(
    engine: &EngineModel,
    holders: &[Holder],
    demand: MeanDemand,
) -> Vec<Assignment> {
    let mut held = holders.to_vec();
    let mut free: Vec<usize> = (0..held.len())
        .filter(|i| held[*i].layers.is_none())
        .collect();
    free.sort_by(|a, b| {
        let (a, b) = (&holders[*a], &holders[*b]);
        let by_speed = a
            .accelerator
            .decode_factor
            .total_cmp(&b.accelerator.decode_factor);
        by_speed.then_with(|| a.id.cmp(&b.id))
    });
    let tokens = chain_tokens(engine, holders);
    let mut out = Vec::new();
    for i in free {
        let mut coverage = Coverage::of(engine, &held, tokens);
        let copies = copies(engine, &held);
        let mut options = places(engine, &held, i, &mut coverage, &copies);
        keep_best(&mut options);
        if let Some((option, _)) = take_best(engine, &held, options, demand) {
            held[i].layers = Some(option.layers);
            out.push(Assignment {
                id: held[i].id.clone(),
                layers: option.layers,
            });
        }
    }
    out
}

/// Ranges of layers that the target may take: as many layers as targets of its kind hold, beginning
/// or ending where another range of its zone does.
pub(super) fn windows(
    engine: &EngineModel,
    holders: &[Holder],
    holder: &Holder,
    tokens: f64,
) -> Vec<LayerRange> {
    let usual = MeanDemand::usual(engine).tokens();
    let mut bounds = vec![0, engine.layers];
    let mut sizes = vec![layers_for(engine, &holder.accelerator, tokens)];
    for h in holders {
        let Some(held) = h.layers else { continue };
        if h.zone == holder.zone {
            bounds.extend([held.first, held.end].map(|l| l.min(engine.layers)));
        }
        // The other target may have more memory, or layers of another configuration.
        let has_room = kv_tokens(engine, &holder.accelerator, held.len()) * KV_SHARE >= usual;
        if h.accelerator.kind == holder.accelerator.kind && has_room {
            sizes.push(held.len());
        }
    }
    bounds.sort_unstable();
    bounds.dedup();
    sizes.sort_unstable();
    sizes.dedup();
    let mut out = Vec::new();
    for size in sizes
        .into_iter()
        .filter(|s| (1..=engine.layers).contains(s))
    {
        for bound in &bounds {
            if bound + size <= engine.layers {
                out.push(LayerRange::new(*bound, bound + size));
            }
            if *bound >= size {
                out.push(LayerRange::new(bound - size, *bound));
            }
        }
    }
    out.sort_unstable();
    out.dedup();
    out
}
