//! Chooses the path of a model request: the targets that it passes through.
//!
//! The choice minimises the expected time of the whole answer over every series of targets that
//! covers the layers. It is meant for many streams that share few chains, where the hop with the
//! least free capacity limits a chain: it counts the prompts that wait to be prefilled at each hop,
//! and leaves out hops whose KV cache has no room for the request.
//!
//! It also handles the failure of a hop under many streams, all of which must be led around it at
//! the same moment. Hops that already hold a stream's tokens are kept, as only new hops have to
//! prefill them, and the choice of new hops is spread by random jitter, because the entries do not
//! know each other's latest choices yet.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{TargetId, ZoneId};

use crate::fleet::LayerRange;
use crate::load::{Load, Work, zone_pair};
use crate::routes::EngineModel;

/// Maximum number of hops in a path, as the engines limit it.
const MAX_HOPS: usize = 32;
/// Expected overhead of each hop for a token, in ms.
const HOP_OVERHEAD_MS: f64 = 0.2;
/// Number of streams whose tokens wait while a prompt crosses between two zones. The transfer
/// delays each of them as much as the request itself.
const LINK_SHARING_STREAMS: f64 = 40.0;
/// Mean share of the transfers in progress that a token waits for on a link between zones.
const LINK_WAIT_SHARE: f64 = 0.5;
/// Transfer time of the prompts in progress on a link between zones, in ms, beyond which no more
/// are added: every stream over the link pauses for that long.
const LINK_LIMIT_MS: f64 = 150.0;
/// Cost of a first hop in another zone than the entry's, in ms, because every event then crosses
/// zones.
const REMOTE_FIRST_HOP_MS: f64 = 100.0;
/// Cost of a first hop at which the request failed before, in ms. It exceeds the time of a usual
/// answer, so that the hop is tried again only if there is no other.
const TRIED_FIRST_HOP_MS: f64 = 20_000.0;
/// Weight of the squared occupancy of the KV cache in the decode time, so that a chain is filled up
/// only when no other one has room.
const OCCUPANCY_WEIGHT: f64 = 1.5;
/// Share of the KV cache that requests may reserve; the rest absorbs answers that are longer than
/// expected.
pub const KV_SHARE: f64 = 0.92;

/// A target that holds layers and accepts new work.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Id of the target.
    pub id: TargetId,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Layers that the target holds.
    pub layers: LayerRange,
    /// Number of requests of which the target may be the first hop at the same time; more would
    /// queue at it.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens x layers.
    pub kv_capacity: u64,
    /// Factor on the time of a decode step, including the target's slowness.
    pub decode_factor: f64,
    /// Factor on the time of prefill, including the target's slowness.
    pub prefill_factor: f64,
    /// Work in flight of all entries at the target.
    pub work: Work,
    /// Random factor of at least 1 on the expected time of work that is new to the target; spreads
    /// the choices of several entries.
    pub jitter: f64,
    /// Whether an earlier attempt of the request was sent to the target.
    pub is_tried: bool,
}

/// Size of a model request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected tokens of the answer.
    pub answer: u32,
}

impl Demand {
    /// KV cache that a hop with this many layers reserves for the request, in tokens x layers.
    #[must_use]
    pub fn kv(self, layers: u16) -> u64 {
        u64::from(self.prompt + self.answer) * u64::from(layers)
    }
}

/// Inputs of the path search, apart from the size of the request.
#[derive(Debug, Clone, Copy)]
pub struct SearchContext<'a> {
    /// Model and accelerators of the service.
    pub engine: &'a EngineModel,
    /// Targets that hold layers and accept new work.
    pub candidates: &'a [Candidate],
    /// Work in flight, for the transfers between zones.
    pub load: &'a Load,
    /// Availability zone of this entry.
    pub entry_zone: &'a str,
    /// Maximum expected time to the first event.
    pub first_event_limit: Duration,
    /// Path of the request if it is running already; its first hop is kept.
    pub running: Option<&'a [Hop]>,
}

impl SearchContext<'_> {
    /// Whether the candidate runs exactly these layers for the request already, so that it holds
    /// the request's tokens.
    fn is_kept(&self, candidate: &Candidate, (start, end): (u16, u16)) -> bool {
        self.running.is_some_and(|hops| {
            let mut hops = hops.iter();
            hops.any(|h| h.address == candidate.address && h.layers == LayerRange::new(start, end))
        })
    }
}

/// One hop of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hop {
    /// Id of the target.
    pub id: TargetId,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Layers that the target runs for the request.
    pub layers: LayerRange,
}

/// A path that runs every layer once, in order.
#[derive(Debug, Clone, PartialEq)]
pub struct Path {
    /// Hops with adjacent ranges of layers, from layer 0 to the last; each target appears once.
    pub hops: Vec<Hop>,
    /// Expected time to the first event.
    pub first_event: Duration,
}

/// Why no path is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPath {
    /// The targets that accept work do not hold all layers.
    Incomplete,
    /// All layers are held, but every path has a hop or link without room for the request.
    Full,
    /// A path has room, but so many prompts wait that the first event would come too late.
    Slow,
}

/// The layer with the fewest targets that have room for a request; explains a refusal in the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bottleneck {
    /// Index of the layer.
    pub layer: u16,
    /// Targets that hold the layer and accept work.
    pub holders: usize,
    /// Targets among the holders that have room for the request at this layer.
    pub with_room: usize,
}

/// Finds the layer with the fewest targets that have room for the request, and among those the one
/// with the fewest holders.
#[must_use]
pub fn find_bottleneck(context: SearchContext<'_>, demand: Demand) -> Bottleneck {
    let layers = (0..context.engine.layers).map(|layer| {
        let holds = |c: &&Candidate| c.layers.first <= layer && layer < c.layers.end;
        let holders = context.candidates.iter().filter(holds);
        Bottleneck {
            layer,
            holders: holders.clone().count(),
            with_room: holders.filter(|c| has_room(c, demand, 1)).count(),
        }
    });
    layers
        .min_by_key(|n| (n.with_room, n.holders))
        .unwrap_or_default()
}

/// A hop at the end of a partial path that begins at the first layer.
#[derive(Clone, Copy)]
struct Node {
    /// Expected time of the whole answer over the partial path, with added costs, in ms.
    cost: f64,
    /// Expected time to the first event over the partial path, in ms.
    first_event: f64,
    /// Index of the candidate.
    candidate: usize,
    /// First layer that the hop runs.
    start: u16,
    /// Layer after the last one that the hop runs.
    end: u16,
    /// Index of the node before; none for a first hop.
    previous: Option<usize>,
}

/// Finds the path with the least expected time of the whole answer.
///
/// # Errors
/// [`NoPath`] if no path has room or the first event would come too late.
pub fn choose(context: SearchContext<'_>, demand: Demand) -> Result<Path, NoPath> {
    match search(context, demand, true) {
        Some(path) if path.first_event <= context.first_event_limit => Ok(path),
        Some(_) => Err(NoPath::Slow),
        None if search(context, demand, false).is_some() => Err(NoPath::Full),
        None => Err(NoPath::Incomplete),
    }
}

/// Finds the path with the least cost. If `needs_room` is set, hops and links without room are left
/// out.
fn search(context: SearchContext<'_>, demand: Demand, needs_room: bool) -> Option<Path> {
    let mut search = Search::new(context, demand, needs_room);
    for b in 0..search.bounds.len().saturating_sub(1) {
        search.extend_from(b);
    }
    search.cheapest()
}

/// Shortest-path search over the layer boundaries, from the first layer to the last.
struct Search<'a> {
    context: SearchContext<'a>,
    demand: Demand,
    needs_room: bool,
    /// Layers at which a hop may begin or end, sorted.
    bounds: Vec<u16>,
    nodes: Vec<Node>,
    /// Indexes of the best nodes for each boundary, one for each zone of the last hop.
    best: Vec<Vec<usize>>,
}

impl<'a> Search<'a> {
    fn new(context: SearchContext<'a>, demand: Demand, needs_room: bool) -> Self {
        let mut bounds = boundaries(context.engine, context.candidates);
        for hop in context.running.unwrap_or_default() {
            if let Err(i) = bounds.binary_search(&hop.layers.end) {
                bounds.insert(i, hop.layers.end);
            }
        }
        Self {
            context,
            demand,
            needs_room,
            nodes: Vec::new(),
            best: vec![Vec::new(); bounds.len()],
            bounds,
        }
    }

    /// Extends the best nodes that end at boundary `b` by every candidate that holds the next
    /// layer.
    fn extend_from(&mut self, b: usize) {
        let starts: Vec<Option<usize>> = if b == 0 {
            vec![None]
        } else {
            self.best[b].iter().copied().map(Some).collect()
        };
        let at = self.bounds[b];
        for (i, candidate) in self.context.candidates.iter().enumerate() {
            if candidate.layers.first > at || candidate.layers.end <= at {
                continue;
            }
            for previous in &starts {
                if previous.is_none_or(|p| self.nodes[p].candidate != i) {
                    self.add_hops(b, i, *previous);
                }
            }
        }
    }

    /// Adds the hops that candidate `i` may run from boundary `b` on, after the node `previous`.
    fn add_hops(&mut self, b: usize, i: usize, previous: Option<usize>) {
        let context = self.context;
        let candidate = &context.candidates[i];
        let before = previous.map(|p| self.nodes[p]);
        let (to_new, to_kept) = self.links(before, candidate);
        let at = self.bounds[b];
        for e in b + 1..self.bounds.len() {
            let end = self.bounds[e];
            if end > candidate.layers.end {
                return;
            }
            if self.needs_room && b == 0 && !may_be_first_hop(context, candidate, end) {
                continue;
            }
            let is_kept = context.is_kept(candidate, (at, end));
            if self.needs_room && !is_kept && !has_room(candidate, self.demand, end - at) {
                if context.running.is_none() {
                    // A hop with more layers needs more room.
                    return;
                }
                continue;
            }
            let (link, wait) = if is_kept { to_kept } else { to_new };
            if self.needs_room && link.is_infinite() {
                continue;
            }
            let (prefill, decode) = hop_cost(context.engine, candidate, self.demand, end - at);
            let prefill = if is_kept { 0.0 } else { prefill };
            let factor = if is_kept { 1.0 } else { candidate.jitter };
            let node = Node {
                cost: before.map_or(0.0, |n| n.cost) + link + (prefill + decode) * factor,
                first_event: before.map_or(0.0, |n| n.first_event) + wait + prefill,
                candidate: i,
                start: at,
                end,
                previous,
            };
            keep_if_best(&mut self.nodes, &mut self.best[e], context.candidates, node);
        }
    }

    /// Link cost and first-event delay into a hop that is new to the request, and into one that is
    /// kept.
    fn links(&self, before: Option<Node>, candidate: &Candidate) -> ((f64, f64), (f64, f64)) {
        let Some(before) = before else {
            let cost = (first_hop_cost(self.context, candidate), 0.0);
            return (cost, cost);
        };
        let from = &self.context.candidates[before.candidate].zone;
        let to_new = link_cost(self.context, from, candidate, self.demand, false);
        let to_kept = match self.context.running {
            Some(_) => link_cost(self.context, from, candidate, self.demand, true),
            None => to_new,
        };
        (to_new, to_kept)
    }

    fn cheapest(&self) -> Option<Path> {
        let mut ends: Vec<usize> = self.best.last()?.clone();
        ends.sort_by(|a, b| self.nodes[*a].cost.total_cmp(&self.nodes[*b].cost));
        ends.into_iter()
            .find_map(|end| assemble(&self.nodes, self.context.candidates, end))
    }
}

/// Share of a first hop's slots that the entries fill together. The rest covers requests that they
/// do not know of each other yet.
const SLOT_SHARE: f64 = 0.9;

/// Whether a path may begin with a hop of this candidate that ends at the layer `end`. A running
/// request keeps its first hop; a new one needs a free slot.
fn may_be_first_hop(context: SearchContext<'_>, candidate: &Candidate, end: u16) -> bool {
    match context.running.and_then(<[Hop]>::first) {
        Some(f) => f.address == candidate.address && f.layers.end == end,
        None => {
            let limit = f64::from(candidate.slots) * SLOT_SHARE;
            f64::from(candidate.work.first_hops) < limit
        }
    }
}

/// Layers at which a candidate's range begins or ends, sorted, with the model's first and last
/// boundary.
fn boundaries(engine: &EngineModel, candidates: &[Candidate]) -> Vec<u16> {
    let mut bounds = vec![0, engine.layers];
    for c in candidates {
        bounds.push(c.layers.first);
        bounds.push(c.layers.end.min(engine.layers));
    }
    bounds.sort_unstable();
    bounds.dedup();
    bounds
}

/// Stores a node at a boundary if its cost is the lowest of those whose last hop is in its zone.
fn keep_if_best(
    nodes: &mut Vec<Node>,
    best: &mut Vec<usize>,
    candidates: &[Candidate],
    node: Node,
) {
    let zone = &candidates[node.candidate].zone;
    let same_zone = best
        .iter()
        .position(|n| candidates[nodes[*n].candidate].zone == *zone);
    match same_zone {
        Some(i) if nodes[best[i]].cost <= node.cost => {}
        Some(i) => {
            best[i] = nodes.len();
            nodes.push(node);
        }
        None => {
            best.push(nodes.len());
            nodes.push(node);
        }
    }
}

fn has_room(candidate: &Candidate, demand: Demand, layers: u16) -> bool {
    let limit = candidate.kv_capacity as f64 * KV_SHARE;
    (candidate.work.kv + demand.kv(layers)) as f64 <= limit
}

/// Expected time of prefill and of decoding the whole answer at one hop, in ms.
fn hop_cost(
    engine: &EngineModel,
    candidate: &Candidate,
    demand: Demand,
    layers: u16,
) -> (f64, f64) {
    let all = f64::from(engine.layers);
    let own_prefill = f64::from(demand.prompt) * f64::from(layers);
    let pending_prefill = candidate.work.pending_prefill as f64 + own_prefill;
    let running = f64::from(candidate.work.requests + 1);
    let context = (engine.usual_prompt + engine.usual_answer / 2.0) / 1000.0;
    let per_sequence = engine.step_per_sequence_ms + engine.step_per_context_ms * context;
    let step = engine.step.as_secs_f64() * 1e3 + per_sequence * running;
    let share = f64::from(layers) / all;
    // While the target decodes for other requests, each of its steps processes a bounded chunk of
    // the waiting prompts.
    let chunks = pending_prefill / f64::from(layers) / engine.prefill_chunk;
    let decode_steps = if candidate.work.requests > 0 {
        chunks * step * share * candidate.decode_factor
    } else {
        0.0
    };
    let prefill =
        pending_prefill * candidate.prefill_factor / (engine.prefill_per_ms * all) + decode_steps;
    let occupancy = candidate.work.kv as f64 / (candidate.kv_capacity as f64).max(1.0);
    let pressure = 1.0 + OCCUPANCY_WEIGHT * occupancy * occupancy;
    let token = share * candidate.decode_factor * step * pressure + HOP_OVERHEAD_MS;
    (prefill, token * f64::from(demand.answer))
}

/// Cost of using a candidate as the first hop, in ms.
fn first_hop_cost(context: SearchContext<'_>, candidate: &Candidate) -> f64 {
    let is_remote = *candidate.zone != *context.entry_zone;
    let remote = if is_remote { REMOTE_FIRST_HOP_MS } else { 0.0 };
    let tried = if candidate.is_tried {
        TRIED_FIRST_HOP_MS
    } else {
        0.0
    };
    remote + tried
}

/// Cost of the link from a zone into a hop, and the share of it that delays the first event, both
/// in ms. The cost is infinite if the link accepts no more prompts. A kept hop holds the tokens
/// already, so that no prompt crosses the link into it.
fn link_cost(
    context: SearchContext<'_>,
    from: &ZoneId,
    candidate: &Candidate,
    demand: Demand,
    is_kept: bool,
) -> (f64, f64) {
    if *from == candidate.zone {
        return (0.0, 0.0);
    }
    let engine = context.engine;
    let delay = engine
        .zone_delays
        .iter()
        .find(|(a, b, _)| {
            (a == from && *b == candidate.zone) || (b == from && *a == candidate.zone)
        })
        .map_or(0.0, |(_, _, d)| d.as_secs_f64() * 1e3);
    let token = engine.activation_bytes * 8.0 / (engine.zone_link_mbps.max(1.0) * 1e3);
    let under_way = context.load.transfers(&zone_pair(from, &candidate.zone)) as f64 * token;
    let answer = f64::from(demand.answer);
    let per_token = delay + token + under_way * LINK_WAIT_SHARE;
    if is_kept {
        return (per_token * answer, delay);
    }
    let prompt = f64::from(demand.prompt) * token;
    let wait = under_way + prompt + delay;
    if under_way > LINK_LIMIT_MS {
        return (f64::INFINITY, wait);
    }
    (
        prompt * LINK_SHARING_STREAMS + wait + per_token * answer,
        wait,
    )
}

/// Converts a time in ms; an infinite time, as over a link that accepts no more prompts, becomes
/// the longest duration.
fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX)
}

/// Builds the path that ends with node `end`; none if a target would appear twice or there are more
/// than [`MAX_HOPS`] hops.
fn assemble(nodes: &[Node], candidates: &[Candidate], end: usize) -> Option<Path> {
    let mut hops = Vec::new();
    let mut used = Vec::new();
    let mut at = Some(end);
    while let Some(i) = at {
        let node = nodes[i];
        if used.contains(&node.candidate) {
            return None;
        }
        used.push(node.candidate);
        let candidate = &candidates[node.candidate];
        hops.push(Hop {
            id: candidate.id.clone(),
            zone: candidate.zone.clone(),
            address: candidate.address,
            layers: LayerRange::new(node.start, node.end),
        });
        at = node.previous;
    }
    if hops.len() > MAX_HOPS {
        return None;
    }
    hops.reverse();
    Some(Path {
        hops,
        first_event: millis(nodes[end].first_event),
    })
}

#[cfg(test)]
mod tests;
