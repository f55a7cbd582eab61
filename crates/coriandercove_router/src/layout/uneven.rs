//! Divides the layers of a model among accelerators of which the fast ones have little memory.
//!
//! Load pattern: at peak demand requests were refused because the layers with the least memory for
//! requests were full, while slow chains held that memory several times longer than fast ones. The
//! number of layers is therefore chosen for each kind of accelerator such that the layout sustains
//! the most requests per second, by the estimate in [`capacity()`].
//!
//! `docs/design/uneven-placement.md` describes the decisions and their failures.

use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{SortedMap, TargetId, ZoneId};

use super::{
    Assignment, Coverage, Holder, STREAMS_PER_CHAIN, chain_tokens, kv_capacity, layers_for, room,
    zone_boundaries,
};
use crate::fleet::LayerRange;
use crate::routes::{Accelerator, EngineModel};

mod capacity;
mod metrics;
mod moves;

pub use capacity::{Capacity, MeanDemand, capacity};
pub use metrics::PlacementMetrics;
pub use moves::{
    Cause, InFlight, Move, MoveHistory, Situation, next_move, next_move_from, sustained,
};

/// Copies of each layer that a layout keeps where the memory allows, so that the loss of two targets
/// of one path leaves one.
const MIN_COPIES: u16 = 3;
/// Minimum share by which a move must raise the capacity to be worth the loading and the
/// interruption.
const MIN_GAIN: f64 = 0.05;
/// Minimum time between two moves of one target.
const TARGET_PAUSE: Duration = Duration::from_secs(10);
/// Time for which the highest number of requests in flight counts. It is longer than the usual
/// swings of demand, so that a trough does not delay a move that the next peak needs.
const PEAK_LIFETIME: Duration = Duration::from_secs(20);
/// Share of the requests that a layout holds at most, from which on more capacity is worth a move.
const DEMAND_SHARE: f64 = 0.5;
/// Number of requests in flight from which on their sizes count instead of the usual ones.
const MIN_SAMPLE: f64 = 50.0;
/// Number of combinations of layers that are compared; bounds the processor time of a layout.
const MAX_COMBINATIONS: usize = 256;
/// Number of targets up to which layers are divided by the estimate. Its time grows with the square of
/// the number; a larger fleet gets the general layout and its moves.
pub const MAX_TARGETS: usize = 128;
/// Number of layouts that are compared after losses; bounds the processor time of a layout.
const MAX_SCORED: usize = 3;
/// Number of losses for which layouts are compared; bounds the processor time.
const MAX_LOSSES: usize = 6;
/// Number of targets for which a move is compared by the capacity; bounds the processor time.
const MAX_COMPARED: usize = 8;

/// Layers of each kind of accelerator, by kind.
type Sizes = SortedMap<Arc<str>, u16>;

/// Assigns layers to every target that has none; targets that hold layers keep them.
///
/// If no target holds layers, several layouts are compared: that of [`super::plan`] and those with
/// other numbers of layers for each kind of accelerator. The one that sustains the most requests per
/// second, on average over the whole fleet and likely losses, is taken. Otherwise the free targets
/// take the layers where they help most.
#[must_use]
pub fn plan(engine: &EngineModel, holders: &[Holder]) -> Vec<Assignment> {
    let demand = MeanDemand::usual(engine);
    if holders.iter().any(|h| h.layers.is_some()) {
        return moves::fill(engine, holders, demand);
    }
    // Targets whose memory holds no layer take no part, so that a chain does not count on them.
    let usable: Vec<Holder> = holders
        .iter()
        .filter(|h| holds_a_layer(engine, &h.accelerator))
        .cloned()
        .collect();
    let holders = &usable;
    let tokens = chain_tokens(engine, holders);
    let mut layouts = vec![super::plan(engine, holders)];
    for sizes in size_combinations(engine, &present_kinds(holders)) {
        let layout = lay_out(engine, holders, &sizes, tokens);
        // Numbers that give the same chains give the same layout.
        if !layouts.contains(&layout) {
            layouts.push(layout);
        }
    }
    let rank = |layout: &[Assignment]| {
        let held = apply(holders, layout);
        let copies = fewest_copies(engine, &held).min(MIN_COPIES);
        (copies, capacity(engine, &held, demand).per_second)
    };
    let mut by_rate: Vec<((u16, f64), Vec<Assignment>)> =
        layouts.into_iter().map(|l| (rank(&l), l)).collect();
    // The copies come first here as in the score; otherwise the layouts with enough of them could
    // be cut off.
    by_rate.sort_by(|(a, _), (b, _)| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
    by_rate.truncate(MAX_SCORED);
    let mut best: Option<((u16, f64), Vec<Assignment>)> = None;
    for (_, layout) in by_rate {
        let value = score(engine, holders, &layout, demand);
        if best.as_ref().is_none_or(|(most, _)| value > *most) {
            best = Some((value, layout));
        }
    }
    best.map(|(_, layout)| layout).unwrap_or_default()
}

/// Whether the memory of the accelerator holds at least one layer.
fn holds_a_layer(engine: &EngineModel, accelerator: &Accelerator) -> bool {
    accelerator.memory_mb >= engine.layer_mb
}

/// Combinations of the numbers of layers of each kind.
fn size_combinations(engine: &EngineModel, kinds: &[&Accelerator]) -> Vec<Sizes> {
    let mut out = vec![Sizes::default()];
    for kind in kinds {
        let options = size_options(engine, kind);
        if options.is_empty() {
            // The memory of this kind holds no layer.
            continue;
        }
        if out.len() * options.len() > MAX_COMBINATIONS {
            // Kinds beyond those that may be combined have their largest number.
            let largest = options.last().copied().unwrap_or(1);
            for sizes in &mut out {
                sizes.insert(Arc::clone(&kind.kind), largest);
            }
            continue;
        }
        let combine = |sizes: &Sizes| {
            let with = |size: &u16| {
                let mut sizes = sizes.clone();
                sizes.insert(Arc::clone(&kind.kind), *size);
                sizes
            };
            options.iter().map(with).collect::<Vec<Sizes>>()
        };
        out = out.iter().flat_map(combine).collect();
    }
    out
}

/// Kinds of accelerators among the holders, the fastest first.
fn present_kinds(holders: &[Holder]) -> Vec<&Accelerator> {
    let mut kinds: Vec<&Accelerator> = holders.iter().map(|h| &h.accelerator).collect();
    kinds.sort_by(|a, b| {
        let by_speed = a.decode_factor.total_cmp(&b.decode_factor);
        by_speed.then_with(|| a.kind.cmp(&b.kind))
    });
    kinds.dedup_by(|a, b| a.kind == b.kind);
    kinds
}

/// Numbers of layers beside which a target of this kind has memory for as many requests as a chain
/// is laid out for.
fn size_options(engine: &EngineModel, kind: &Accelerator) -> Vec<u16> {
    let usual = engine.usual_prompt + engine.usual_answer;
    let most = layers_for(engine, kind, f64::from(STREAMS_PER_CHAIN.0) * usual);
    let least = layers_for(engine, kind, f64::from(STREAMS_PER_CHAIN.1) * usual);
    let least = least.saturating_sub(1).max(1);
    // Large accelerators have many options that hardly differ.
    let step = usize::from(((most.saturating_sub(least)) / 6).max(1));
    (least..=most).step_by(step).collect()
}

/// Value of a layout: the copies that it has, up to [`MIN_COPIES`], then the requests per second
/// that it sustains, on average of the whole fleet and of the fleet after each loss of
/// [`likely_losses`].
fn score(
    engine: &EngineModel,
    holders: &[Holder],
    layout: &[Assignment],
    demand: MeanDemand,
) -> (u16, f64) {
    let held = apply(holders, layout);
    let copies = fewest_copies(engine, &held).min(MIN_COPIES);
    let whole = capacity(engine, &held, demand).per_second;
    let losses = likely_losses(&held);
    let after: f64 = losses
        .iter()
        .map(|lost| {
            let left: Vec<Holder> = held
                .iter()
                .filter(|h| !lost.contains(&&h.id))
                .cloned()
                .collect();
            capacity(engine, &left, demand).per_second
        })
        .sum();
    let count = losses.len() as f64;
    (copies, (whole + after) / (1.0 + count))
}

/// Losses of two targets of one path: each target of the fastest kind with the target of its zone
/// that holds the layers after its own.
fn likely_losses(held: &[Holder]) -> Vec<[&TargetId; 2]> {
    let factors = held.iter().map(|h| h.accelerator.decode_factor);
    let fastest = factors.fold(f64::INFINITY, f64::min);
    let fast = held
        .iter()
        .filter(|h| h.accelerator.decode_factor <= fastest)
        .take(MAX_LOSSES);
    fast.map(|lost| {
        let end = lost.layers.map_or(0, |l| l.end);
        let next = held
            .iter()
            .filter(|h| h.zone == lost.zone && h.id != lost.id)
            .filter(|h| h.accelerator.decode_factor > fastest)
            .min_by_key(|h| h.layers.map_or(u16::MAX, |l| l.first.abs_diff(end)));
        [&lost.id, next.map_or(&lost.id, |h| &h.id)]
    })
    .collect()
}

/// The holders with the layers of a layout.
fn apply(holders: &[Holder], layout: &[Assignment]) -> Vec<Holder> {
    let layers: SortedMap<&TargetId, LayerRange> =
        layout.iter().map(|a| (&a.id, a.layers)).collect();
    let mut out = holders.to_vec();
    for h in &mut out {
        h.layers = layers.get(&h.id).copied().or(h.layers);
    }
    out
}

/// Number of holders of each layer.
fn copies(engine: &EngineModel, holders: &[Holder]) -> Vec<u16> {
    let mut out = vec![0; usize::from(engine.layers)];
    for range in holders.iter().filter_map(|h| h.layers) {
        for layer in range.first..range.end.min(engine.layers) {
            out[usize::from(layer)] += 1;
        }
    }
    out
}

fn fewest_copies(engine: &EngineModel, holders: &[Holder]) -> u16 {
    copies(engine, holders).into_iter().min().unwrap_or(0)
}

/// Lays out chains of targets of similar speed, first inside zones and then across them. Targets
/// that are left over take the layers with the least memory for requests.
fn lay_out(
    engine: &EngineModel,
    holders: &[Holder],
    sizes: &Sizes,
    tokens: f64,
) -> Vec<Assignment> {
    let mut free: Vec<&Holder> = holders.iter().collect();
    free.sort_by(|a, b| {
        let by_speed = a
            .accelerator
            .decode_factor
            .total_cmp(&b.accelerator.decode_factor);
        by_speed.then_with(|| a.id.cmp(&b.id))
    });
    let mut zones: Vec<&ZoneId> = free.iter().map(|h| &h.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut out = Vec::new();
    let mut left = Vec::new();
    for zone in zones {
        let mut members: Vec<&Holder> = free.iter().filter(|h| h.zone == *zone).copied().collect();
        while let Some(n) = chain_length(engine, &members, sizes) {
            assign_chain(engine, &members[..n], &mut out);
            members.drain(..n);
        }
        left.extend(members);
    }
    let held = apply(holders, &out);
    let mut coverage = Coverage::of(engine, &held, tokens);
    for h in left {
        let size = sizes.get(&h.accelerator.kind).copied().unwrap_or(1);
        let room = room(engine, &h.accelerator, size, tokens);
        let boundaries = zone_boundaries(h, &held, &out);
        let layers = coverage.best_window(h, size, room, &boundaries);
        coverage.add(h, layers, room);
        let id = h.id.clone();
        out.push(Assignment { id, layers });
    }
    out
}

/// Number of members, counted from the first, that hold all layers together; none if all of them do
/// not.
fn chain_length(engine: &EngineModel, members: &[&Holder], sizes: &Sizes) -> Option<usize> {
    let mut sum = 0;
    let reaches = |h: &&Holder| {
        sum += sizes.get(&h.accelerator.kind).copied().unwrap_or(0);
        sum >= engine.layers
    };
    members.iter().position(reaches).map(|i| i + 1)
}

/// Assigns adjacent ranges of layers to the targets of a chain, such that the target with the least
/// memory for requests at a layer has as much as possible.
fn assign_chain(engine: &EngineModel, chain: &[&Holder], out: &mut Vec<Assignment>) {
    let mut sizes = vec![1_u16; chain.len()];
    for _ in chain.len()..usize::from(engine.layers) {
        // The next layer goes where it leaves the most room.
        let room_after = |i: usize| kv_tokens(engine, &chain[i].accelerator, sizes[i] + 1);
        let most = (0..chain.len()).max_by(|a, b| {
            let by_room = room_after(*a).total_cmp(&room_after(*b));
            by_room.then(b.cmp(a))
        });
        if let Some(i) = most {
            sizes[i] += 1;
        }
    }
    let mut first = 0;
    for (h, size) in chain.iter().zip(sizes) {
        out.push(Assignment {
            id: h.id.clone(),
            layers: LayerRange::new(first, first + size),
        });
        first += size;
    }
}

/// Tokens of requests that fit beside so many layers, at each of them.
fn kv_tokens(engine: &EngineModel, accelerator: &Accelerator, layers: u16) -> f64 {
    kv_capacity(engine, accelerator, layers) as f64 / f64::from(layers.max(1))
}

#[cfg(test)]
mod tests;
