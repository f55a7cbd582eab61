//! Divides the layers of a model among targets with different accelerators.
//!
//! It handles two situations. At the start of a deployment all targets are empty, and whole chains
//! are laid out at once. After losses, new targets take the layers with the least free capacity;
//! where that is not enough, one target at a time moves there from layers with much free capacity.

use std::sync::Arc;

use coriandercove_base::{SortedMap, TargetId, ZoneId};

use crate::fleet::LayerRange;
use crate::routes::{Accelerator, EngineModel};

pub mod uneven;

/// Number of copies of each layer that a layout should have, tried in this order. With five copies,
/// a lost target takes a fifth of the capacity of its layers.
const WANTED_COPIES: [u16; 4] = [5, 3, 2, 1];
/// Minimum and maximum number of requests of usual size that a chain may be laid out for. Fewer
/// would waste the speed of large batches; the engines run no more at the same time.
const STREAMS_PER_CHAIN: (u32, u32) = (40, 190);
/// Step between the numbers of requests that are compared.
const STREAMS_STEP: usize = 5;

/// Bytes of a MB, as the engines count it.
const MB: f64 = 1e6;

/// A target that can hold layers of the model.
#[derive(Debug, Clone, PartialEq)]
pub struct Holder {
    /// Id of the target.
    pub id: TargetId,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Accelerator of the target.
    pub accelerator: Accelerator,
    /// Layers that the target holds or is loading; none if it has none.
    pub layers: Option<LayerRange>,
}

/// Layers assigned to one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Id of the target.
    pub id: TargetId,
    /// Layers that the target should hold.
    pub layers: LayerRange,
}

/// Capacity of the KV cache that remains beside `layers` layers, in tokens x layers.
#[must_use]
pub fn kv_capacity(engine: &EngineModel, accelerator: &Accelerator, layers: u16) -> u64 {
    let left = accelerator.memory_mb - engine.layer_mb * f64::from(layers);
    let per_token_layer = engine.kv_token_bytes / f64::from(engine.layers.max(1));
    (left * MB / per_token_layer).max(0.0) as u64
}

/// Number of layers that a target can hold such that requests of `tokens` tokens in total fit
/// beside them; at least one if the memory holds one.
#[must_use]
pub fn layers_for(engine: &EngineModel, accelerator: &Accelerator, tokens: f64) -> u16 {
    let kv_mb = tokens * engine.kv_token_bytes / f64::from(engine.layers.max(1)) / MB;
    let fit = (accelerator.memory_mb / (engine.layer_mb + kv_mb)).floor();
    let max_layers = (accelerator.memory_mb / engine.layer_mb).floor();
    fit.max(1.0).min(max_layers).min(f64::from(engine.layers)) as u16
}

/// Total tokens of the requests that each chain is laid out for.
///
/// Fewer layers on each target leave more memory for requests, but give fewer chains. Only chains
/// inside a zone count, because links between zones carry few prompts. Among the layouts with
/// enough copies of each layer, the one with the most capacity in such chains is chosen.
#[must_use]
pub fn chain_tokens(engine: &EngineModel, holders: &[Holder]) -> f64 {
    let usual = engine.usual_prompt + engine.usual_answer;
    let sizes = (STREAMS_PER_CHAIN.0..=STREAMS_PER_CHAIN.1).step_by(STREAMS_STEP);
    let options: Vec<(f64, Chains)> = sizes
        .map(|streams| f64::from(streams) * usual)
        .map(|tokens| (tokens, Chains::count(engine, holders, tokens)))
        .collect();
    let most_room = |copies: u16| {
        let enough = options.iter().filter(|(_, c)| c.all >= copies);
        enough.max_by(|a, b| {
            let room = |o: &(f64, Chains)| o.0 * f64::from(o.1.in_zones.max(1));
            room(a).total_cmp(&room(b))
        })
    };
    WANTED_COPIES
        .iter()
        .find_map(|copies| most_room(*copies))
        .map_or(f64::from(STREAMS_PER_CHAIN.0) * usual, |(tokens, _)| {
            *tokens
        })
}

/// Number of chains that a layout has.
struct Chains {
    /// Copies of the whole model over all zones.
    all: u16,
    /// Chains whose hops are all in one zone.
    in_zones: u16,
}

impl Chains {
    fn count(engine: &EngineModel, holders: &[Holder], tokens: f64) -> Self {
        let mut layers: SortedMap<&ZoneId, u16> = SortedMap::default();
        for h in holders {
            let size = layers_for(engine, &h.accelerator, tokens);
            *layers.get_or_insert_with(&h.zone, || 0) += size;
        }
        let per_chain = engine.layers.max(1);
        Self {
            all: layers.values().sum::<u16>() / per_chain,
            in_zones: layers.values().map(|l| l / per_chain).sum(),
        }
    }
}

/// Assigns layers to every target that has none; targets that hold layers keep them.
///
/// If no target holds layers, whole chains are laid out, inside one zone where possible. Otherwise
/// the free targets take the ranges of layers with the least capacity.
#[must_use]
pub fn plan(engine: &EngineModel, holders: &[Holder]) -> Vec<Assignment> {
    let mut free: Vec<&Holder> = holders.iter().filter(|h| h.layers.is_none()).collect();
    if free.is_empty() {
        return Vec::new();
    }
    let tokens = chain_tokens(engine, holders);
    // All entries use the same order: fast accelerators first, then by id.
    free.sort_by(|a, b| {
        let by_speed = a
            .accelerator
            .decode_factor
            .total_cmp(&b.accelerator.decode_factor);
        by_speed.then(a.id.cmp(&b.id))
    });
    let mut out = Vec::new();
    if holders.iter().all(|h| h.layers.is_none()) {
        free = lay_out(engine, &free, tokens, &mut out);
    }
    fill(engine, holders, &free, tokens, &mut out);
    out
}

/// Lays out whole chains, first within zones and then across zones. Returns the targets left over.
fn lay_out<'a>(
    engine: &EngineModel,
    free: &[&'a Holder],
    tokens: f64,
    out: &mut Vec<Assignment>,
) -> Vec<&'a Holder> {
    let mut zones: Vec<&Arc<str>> = free.iter().map(|h| &h.zone).collect();
    zones.sort();
    zones.dedup();
    let mut left = Vec::new();
    for zone in zones {
        let mut members: Vec<&Holder> = free.iter().filter(|h| h.zone == *zone).copied().collect();
        while let Some(n) = chain_length(engine, &members, tokens) {
            let chain: Vec<&Holder> = members.drain(..n).collect();
            assign_chain(engine, &chain, tokens, out);
        }
        left.extend(members);
    }
    // Targets of one zone stay adjacent, so that a chain changes zones seldom.
    while let Some(n) = chain_length(engine, &left, tokens) {
        let chain: Vec<&Holder> = left.drain(..n).collect();
        assign_chain(engine, &chain, tokens, out);
    }
    left
}

/// Number of members, counted from the first, that hold all layers together; none if all of them do
/// not.
fn chain_length(engine: &EngineModel, members: &[&Holder], tokens: f64) -> Option<usize> {
    let mut sum = 0;
    for (i, h) in members.iter().enumerate() {
        sum += layers_for(engine, &h.accelerator, tokens);
        if sum >= engine.layers {
            return Some(i + 1);
        }
    }
    None
}

/// Assigns adjacent ranges of layers to the targets of a chain. Layers beyond the model's number
/// are taken off the slowest targets first.
fn assign_chain(engine: &EngineModel, chain: &[&Holder], tokens: f64, out: &mut Vec<Assignment>) {
    let mut sizes: Vec<u16> = chain
        .iter()
        .map(|h| layers_for(engine, &h.accelerator, tokens))
        .collect();
    let mut excess = sizes.iter().sum::<u16>() - engine.layers;
    let mut by_slowness: Vec<usize> = (0..chain.len()).collect();
    by_slowness.sort_by(|a, b| {
        let slowness = |i: &usize| chain[*i].accelerator.decode_factor;
        slowness(b).total_cmp(&slowness(a))
    });
    while excess > 0 {
        for i in &by_slowness {
            if excess > 0 && sizes[*i] > 1 {
                sizes[*i] -= 1;
                excess -= 1;
            }
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

/// Capacity for requests at each layer, in tokens, in each zone and overall.
///
/// A request reserves its tokens at every layer, and a path may change targets at any layer, so
/// that the layer with the least capacity limits what the chains of a zone carry together. What a
/// zone lacks comes from other zones, over links that carry few prompts.
struct Coverage {
    all: Vec<f64>,
    zones: SortedMap<ZoneId, Vec<f64>>,
    /// Capacity that one chain is laid out for, in tokens.
    chain_room: f64,
}

/// Cost of a layer with a capacity of `tokens`, where a chain is laid out for `chain_room` tokens;
/// grows steeply as the capacity shrinks.
fn scarcity(tokens: f64, chain_room: f64) -> f64 {
    (tokens / chain_room + SCARCITY_OFFSET).powi(-3)
}

impl Coverage {
    fn of(engine: &EngineModel, holders: &[Holder], chain_room: f64) -> Self {
        let layers = usize::from(engine.layers);
        let mut coverage = Self {
            all: vec![0.0; layers],
            zones: SortedMap::default(),
            chain_room,
        };
        for h in holders {
            let empty = || vec![0.0; layers];
            coverage.zones.get_or_insert_with(h.zone.clone(), empty);
            if let Some(range) = h.layers {
                coverage.add(
                    h,
                    range,
                    room(engine, &h.accelerator, range.len(), chain_room),
                );
            }
        }
        coverage
    }

    fn add(&mut self, holder: &Holder, range: LayerRange, tokens: f64) {
        let end = usize::from(range.end).min(self.all.len());
        let start = usize::from(range.first).min(end);
        let zone = self.zones.get_mut(&holder.zone);
        for layers in zone.into_iter().chain([&mut self.all]) {
            for c in &mut layers[start..end] {
                *c += tokens;
            }
        }
    }

    /// Sum of the scarcity of all layers, in each zone and overall; a lower sum is better.
    fn scarcity(&self) -> f64 {
        let sum = |layers: &[f64]| {
            layers
                .iter()
                .map(|c| scarcity(*c, self.chain_room))
                .sum::<f64>()
        };
        let zones: f64 = self.zones.values().map(|layers| sum(layers)).sum();
        zones + sum(&self.all)
    }

    /// Returns the range of `size` layers where `tokens` more tokens of capacity lower the scarcity
    /// most. A range that begins where another range of the zone ends is preferred at about equal
    /// gain.
    fn best_window(
        &self,
        holder: &Holder,
        size: u16,
        tokens: f64,
        boundaries: &[u16],
    ) -> LayerRange {
        let layers = self.all.len() as u16;
        let size = size.min(layers);
        let gain = |c: &f64| scarcity(*c, self.chain_room) - scarcity(c + tokens, self.chain_room);
        let zone = self.zones.get(&holder.zone);
        let mut best = (f64::NEG_INFINITY, 0);
        for first in 0..=(layers - size) {
            let window = usize::from(first)..usize::from(first + size);
            let everywhere: f64 = self.all[window.clone()].iter().map(gain).sum();
            let here: f64 = zone.map_or(0.0, |z| z[window].iter().map(gain).sum());
            let is_aligned = boundaries.binary_search(&first).is_ok();
            let preference = if is_aligned {
                1.0 + ALIGNMENT_BONUS
            } else {
                1.0
            };
            let total = (everywhere + here) * preference;
            if total > best.0 {
                best = (total, first);
            }
        }
        LayerRange::new(best.1, best.1 + size)
    }
}

/// Capacity that [`scarcity`] adds to that of each layer, in chains; keeps the scarcity of a layer
/// without a target finite.
const SCARCITY_OFFSET: f64 = 0.2;
/// Relative preference for a range that begins where another range of the zone ends.
const ALIGNMENT_BONUS: f64 = 0.05;
/// Minimum share by which a move must lower the scarcity to be worth the loading and the
/// interruption.
const MIN_MOVE_GAIN: f64 = 0.05;

/// Tokens of requests that fit beside `layers` layers, but at most the capacity of one chain: more
/// does not help, because the other hops of a path have no more.
fn room(engine: &EngineModel, accelerator: &Accelerator, layers: u16, chain: f64) -> f64 {
    let fit = kv_capacity(engine, accelerator, layers) as f64 / f64::from(layers.max(1));
    fit.min(chain)
}

/// Assigns to each free target the range of layers where it lowers the scarcity most.
fn fill(
    engine: &EngineModel,
    holders: &[Holder],
    free: &[&Holder],
    tokens: f64,
    out: &mut Vec<Assignment>,
) {
    let mut coverage = Coverage::of(engine, holders, tokens);
    for a in out.iter() {
        if let Some(h) = holders.iter().find(|h| h.id == a.id) {
            coverage.add(
                h,
                a.layers,
                room(engine, &h.accelerator, a.layers.len(), tokens),
            );
        }
    }
    for h in free {
        let size = layers_for(engine, &h.accelerator, tokens);
        let room = room(engine, &h.accelerator, size, tokens);
        let boundaries = zone_boundaries(h, holders, out);
        let layers = coverage.best_window(h, size, room, &boundaries);
        coverage.add(h, layers, room);
        out.push(Assignment {
            id: h.id.clone(),
            layers,
        });
    }
}

/// Returns the move of one target that helps most where layers have lost targets, if it is worth
/// its cost.
#[must_use]
pub fn rebalance(engine: &EngineModel, holders: &[Holder]) -> Option<Assignment> {
    let tokens = chain_tokens(engine, holders);
    let mut coverage = Coverage::of(engine, holders, tokens);
    let current = coverage.scarcity();
    let mut best: Option<((f64, f64), Assignment)> = None;
    for h in holders {
        let Some(held) = h.layers else {
            // A target without layers may still fill the gap.
            return None;
        };
        let held_room = room(engine, &h.accelerator, held.len(), tokens);
        let size = layers_for(engine, &h.accelerator, tokens);
        let new_room = room(engine, &h.accelerator, size, tokens);
        coverage.add(h, held, -held_room);
        let boundaries = zone_boundaries(h, holders, &[]);
        let layers = coverage.best_window(h, size, new_room, &boundaries);
        coverage.add(h, layers, new_room);
        let after = coverage.scarcity();
        coverage.add(h, layers, -new_room);
        coverage.add(h, held, held_room);
        if after >= current * (1.0 - MIN_MOVE_GAIN) {
            continue;
        }
        // Slow targets are moved first, which keeps the fast chains complete; among equally slow
        // ones the best move counts.
        let rank = (-h.accelerator.decode_factor, after);
        if best.as_ref().is_none_or(|(least, _)| rank < *least) {
            let id = h.id.clone();
            best = Some((rank, Assignment { id, layers }));
        }
    }
    best.map(|(_, assignment)| assignment)
}

/// Layers at which the ranges of the holder's zone begin or end, sorted; `out` has the ranges that
/// are assigned but not held yet.
fn zone_boundaries(holder: &Holder, holders: &[Holder], out: &[Assignment]) -> Vec<u16> {
    let mut ends = vec![0];
    for h in holders.iter().filter(|h| h.zone == holder.zone) {
        let assigned = out.iter().find(|a| a.id == h.id).map(|a| a.layers);
        ends.extend(h.layers.or(assigned).map(|l| l.end));
    }
    ends.sort_unstable();
    ends.dedup();
    ends
}

#[cfg(test)]
pub(crate) mod tests;
