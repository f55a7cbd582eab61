//! Shortest-path search over the layer boundaries of a fleet, from the first layer to the last.
//!
//! A large fleet has some ten thousand combinations of a hop, its layers and the zone before it, and
//! small entries choose several times for each request. Everything that does not depend on the
//! combination is therefore computed once for each hop or pair of zones.

use std::time::Duration;

use coriandercove_base::ZoneId;

use super::interference::{LongPromptOutcome, imposed_per_layer};
use super::{Candidate, Demand, Hop, KV_SHARE, Path, SearchContext};
use crate::fleet::LayerRange;
use crate::load::{Work, zone_pair};
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
/// Share of [`LINK_LIMIT_MS`] that a request leaves free if it yields to all others. Links fill and
/// empty within a second, and the prompts that other entries sent lately are not known.
const YIELDED_LINK: f64 = 0.5;
/// Cost of a first hop in another zone than the entry's, in ms, because every event then crosses
/// zones.
const REMOTE_FIRST_HOP_MS: f64 = 100.0;
/// Cost of a first hop at which the request failed before, in ms. It exceeds the time of a usual
/// answer, so that the hop is tried again only if there is no other.
const TRIED_FIRST_HOP_MS: f64 = 20_000.0;
/// Weight of the squared occupancy of the KV cache in the decode time, so that a chain is filled up
/// only when no other one has room.
const OCCUPANCY_WEIGHT: f64 = 1.5;
/// Share of a first hop's slots that the entries fill together. The rest covers requests that they
/// do not know of each other yet.
const SLOT_SHARE: f64 = 0.9;

/// A hop at the end of a partial path that begins at the first layer.
#[derive(Clone, Copy)]
struct Node {
    /// Expected time of the whole answer over the partial path, with added costs, in ms.
    cost: f64,
    /// Expected time to the first event over the partial path if no prompts waited, in ms.
    first_event: f64,
    /// Longest time for which prompts wait already at a hop of the partial path, in ms. The same
    /// prompts wait at the hops of a chain one after the other, so that the times do not add up.
    longest_wait: f64,
    /// Index of the candidate.
    candidate: usize,
    /// First layer that the hop runs.
    start: u16,
    /// Layer after the last one that the hop runs.
    end: u16,
    /// Index of the node before; none for a first hop.
    previous: Option<usize>,
}

/// Finds the path with the least cost. `works` is the work in flight at each candidate. If
/// `needs_room` is set, hops and links without room are left out.
pub(super) fn search(
    context: SearchContext<'_>,
    works: &[Work],
    demand: Demand,
    needs_room: bool,
) -> Option<Path> {
    let mut search = Search::new(context, works, demand, needs_room);
    for b in 0..search.bounds.len().saturating_sub(1) {
        search.extend_from(b);
    }
    search.cheapest()
}

/// Times of one hop in ms, as linear functions of the number of layers that it runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct HopTimes {
    /// Prefill of the prompts that wait already.
    pub(super) pending_prefill: f64,
    /// Prefill of the request's prompt, for each layer.
    prefill_per_layer: f64,
    /// Decoding of the whole answer, for each layer.
    decode_per_layer: f64,
    /// Overhead of the hop over the whole answer.
    overhead: f64,
}

impl HopTimes {
    pub(super) fn new(
        engine: &EngineModel,
        candidate: &Candidate,
        work: Work,
        demand: Demand,
    ) -> Self {
        let all = f64::from(engine.layers);
        let running = f64::from(work.requests + 1);
        let context = (engine.usual_prompt + engine.usual_answer / 2.0) / 1000.0;
        let per_sequence = engine.step_per_sequence_ms + engine.step_per_context_ms * context;
        let step = engine.step.as_secs_f64() * 1e3 + per_sequence * running;
        // While the target decodes for other requests, each of its steps processes a bounded chunk
        // of the waiting prompts. Times are for one token and one layer.
        let beside_decoding = if work.requests > 0 {
            step * candidate.decode_factor / (engine.prefill_chunk * all)
        } else {
            0.0
        };
        let prefill = candidate.prefill_factor / (engine.prefill_per_ms * all) + beside_decoding;
        let occupancy = work.kv as f64 / (candidate.kv_capacity as f64).max(1.0);
        let pressure = 1.0 + OCCUPANCY_WEIGHT * occupancy * occupancy;
        let token = candidate.decode_factor * step * pressure / all;
        Self {
            pending_prefill: work.pending_prefill as f64 * prefill,
            prefill_per_layer: f64::from(demand.prompt) * prefill,
            decode_per_layer: token * f64::from(demand.answer),
            overhead: HOP_OVERHEAD_MS * f64::from(demand.answer),
        }
    }

    /// Time to prefill the request's own prompt.
    pub(super) fn own_prefill(&self, layers: u16) -> f64 {
        self.prefill_per_layer * f64::from(layers)
    }

    /// Time to decode the whole answer.
    fn decode(&self, layers: u16) -> f64 {
        self.decode_per_layer * f64::from(layers) + self.overhead
    }
}

/// A candidate as the search uses it.
struct HopOption {
    times: HopTimes,
    /// Delay that the request's prefill imposes on others, in ms for each layer.
    imposed_per_layer: f64,
    /// Index of its zone.
    zone: usize,
    /// Maximum number of layers for which it has room.
    max_layers: u16,
    /// Whether it has a free slot as the first hop.
    has_slot: bool,
}

/// Cost of changing from one zone to another, in ms.
#[derive(Clone, Copy)]
struct Link {
    /// Cost over the whole answer; infinite if the link accepts no more prompts.
    cost: f64,
    /// Share of it that delays the first event.
    first_event: f64,
}

const NO_LINK: Link = Link {
    cost: 0.0,
    first_event: 0.0,
};

/// State of a search.
struct Search<'a> {
    context: SearchContext<'a>,
    needs_room: bool,
    /// Layers at which a hop may begin or end, sorted.
    bounds: Vec<u16>,
    zones: usize,
    /// One for each candidate.
    options: Vec<HopOption>,
    /// Links into hops that are new to the request, and into those that are kept, for each pair of
    /// zones.
    links: Vec<(Link, Link)>,
    nodes: Vec<Node>,
    /// Indexes of the best nodes for each boundary and zone of the last hop.
    best: Vec<Option<usize>>,
}

impl<'a> Search<'a> {
    fn new(context: SearchContext<'a>, works: &[Work], demand: Demand, needs_room: bool) -> Self {
        let mut bounds = boundaries(context.engine, context.candidates);
        for hop in context.running.unwrap_or_default() {
            if let Err(i) = bounds.binary_search(&hop.layers.end) {
                bounds.insert(i, hop.layers.end);
            }
        }
        let mut zones: Vec<&ZoneId> = context.candidates.iter().map(|c| &c.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let options = context.candidates.iter().zip(works).map(|(c, work)| {
            let times = HopTimes::new(context.engine, c, *work, demand);
            HopOption {
                times,
                imposed_per_layer: context.interference.map_or(0.0, |_| {
                    imposed_per_layer(context.engine, c, *work, demand, &times)
                }),
                // Every candidate's zone is in the list.
                zone: zones.binary_search(&&c.zone).unwrap_or_default(),
                max_layers: max_layers(context, c, *work, demand),
                has_slot: f64::from(work.first_hops)
                    < f64::from(c.slots) * SLOT_SHARE * context.room_share(),
            }
        });
        let options = options.collect();
        let mut links = Vec::with_capacity(zones.len() * zones.len());
        for from in &zones {
            for to in &zones {
                let link = |is_kept| link_cost(context, from, to, demand, is_kept);
                let to_new = link(false);
                let to_kept = context.running.map_or(to_new, |_| link(true));
                links.push((to_new, to_kept));
            }
        }
        Self {
            context,
            needs_room,
            options,
            links,
            nodes: Vec::new(),
            best: vec![None; bounds.len() * zones.len()],
            zones: zones.len(),
            bounds,
        }
    }

    /// Extends the best nodes that end at boundary `b` by every candidate that holds the next
    /// layer.
    fn extend_from(&mut self, b: usize) {
        let starts: Vec<Option<usize>> = if b == 0 {
            vec![None]
        } else {
            let best = &self.best[b * self.zones..(b + 1) * self.zones];
            best.iter().filter(|n| n.is_some()).copied().collect()
        };
        if starts.is_empty() {
            return;
        }
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
        let (to_new, to_kept) = self.links_into(before, i);
        let (cost_before, first_event_before, wait_before) =
            before.map_or((0.0, 0.0, 0.0), |n| (n.cost, n.first_event, n.longest_wait));
        let at = self.bounds[b];
        for e in b + 1..self.bounds.len() {
            let end = self.bounds[e];
            if end > candidate.layers.end {
                return;
            }
            if self.needs_room && b == 0 && !self.may_be_first_hop(i, end) {
                continue;
            }
            let option = &self.options[i];
            let layers = end - at;
            let is_kept = context.running.is_some() && context.is_kept(candidate, (at, end));
            if self.needs_room && !is_kept && layers > option.max_layers {
                if context.running.is_none() {
                    // A hop with more layers needs more room.
                    return;
                }
                continue;
            }
            let link = if is_kept { to_kept } else { to_new };
            if self.needs_room && link.cost.is_infinite() {
                continue;
            }
            let (wait, own_prefill, imposed) = if is_kept {
                (0.0, 0.0, 0.0)
            } else {
                let times = &option.times;
                let imposed = option.imposed_per_layer * f64::from(layers);
                (times.pending_prefill, times.own_prefill(layers), imposed)
            };
            let prefill = wait + own_prefill + imposed;
            let factor = if is_kept { 1.0 } else { candidate.jitter };
            let time = (prefill + option.times.decode(layers)) * factor;
            let node = Node {
                cost: cost_before + link.cost + time,
                first_event: first_event_before + link.first_event + own_prefill,
                longest_wait: wait_before.max(wait),
                candidate: i,
                start: at,
                end,
                previous,
            };
            let zone = option.zone;
            self.keep_if_best(e, zone, node);
        }
    }

    /// Links into candidate `i` if it is new to the request, and if it is kept.
    fn links_into(&self, before: Option<Node>, i: usize) -> (Link, Link) {
        match before {
            Some(before) => {
                let from = self.options[before.candidate].zone;
                self.links[from * self.zones + self.options[i].zone]
            }
            None => {
                let link = Link {
                    cost: first_hop_cost(self.context, &self.context.candidates[i]),
                    first_event: 0.0,
                };
                (link, link)
            }
        }
    }

    /// Whether a path may begin with a hop of candidate `i` that ends at the layer `end`. A running
    /// request keeps its first hop; a new one needs a free slot.
    fn may_be_first_hop(&self, i: usize, end: u16) -> bool {
        let candidate = &self.context.candidates[i];
        match self.context.running.and_then(<[Hop]>::first) {
            Some(f) => f.address == candidate.address && f.layers.end == end,
            None => self.options[i].has_slot,
        }
    }

    /// Stores a node at boundary `e` if its cost is the lowest of those whose last hop is in the
    /// zone.
    fn keep_if_best(&mut self, e: usize, zone: usize, node: Node) {
        let best = &mut self.best[e * self.zones + zone];
        if best.is_none_or(|n| node.cost < self.nodes[n].cost) {
            *best = Some(self.nodes.len());
            self.nodes.push(node);
        }
    }

    fn cheapest(&self) -> Option<Path> {
        let last = self.bounds.len().checked_sub(1)?;
        let best = &self.best[last * self.zones..];
        let mut ends: Vec<usize> = best.iter().filter_map(|n| *n).collect();
        ends.sort_by(|a, b| self.nodes[*a].cost.total_cmp(&self.nodes[*b].cost));
        ends.into_iter()
            .find_map(|end| assemble(&self.nodes, self.context.candidates, end))
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

/// Maximum number of layers for which the candidate has room for the request.
pub(super) fn max_layers(
    context: SearchContext<'_>,
    candidate: &Candidate,
    work: Work,
    demand: Demand,
) -> u16 {
    let limit = candidate.kv_capacity as f64 * KV_SHARE * context.room_share();
    let left = limit - work.kv as f64;
    let per_layer = demand.kv(1).max(1) as f64;
    (left / per_layer).max(0.0) as u16
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

/// Link from one zone into a hop in another. A kept hop holds the tokens already, so that no prompt
/// crosses the link into it.
fn link_cost(
    context: SearchContext<'_>,
    from: &ZoneId,
    to: &ZoneId,
    demand: Demand,
    is_kept: bool,
) -> Link {
    if from == to {
        return NO_LINK;
    }
    let engine = context.engine;
    let delay = engine
        .zone_delays
        .iter()
        .find(|(a, b, _)| (a == from && b == to) || (b == from && a == to))
        .map_or(0.0, |(_, _, d)| d.as_secs_f64() * 1e3);
    let token = engine.activation_bytes * 8.0 / (engine.zone_link_mbps.max(1.0) * 1e3);
    let under_way = context.load.transfers(&zone_pair(from, to)) as f64 * token;
    let answer = f64::from(demand.answer);
    let per_token = delay + token + under_way * LINK_WAIT_SHARE;
    if is_kept {
        return Link {
            cost: per_token * answer,
            first_event: delay,
        };
    }
    let prompt = f64::from(demand.prompt) * token;
    let wait = under_way + prompt + delay;
    let limit = LINK_LIMIT_MS * (1.0 - YIELDED_LINK * context.yields_to);
    let cost = if under_way > limit {
        f64::INFINITY
    } else {
        prompt * LINK_SHARING_STREAMS + wait + per_token * answer
    };
    Link {
        cost,
        first_event: wait,
    }
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
        first_event: millis(nodes[end].first_event + nodes[end].longest_wait),
        unloaded_first_event: millis(nodes[end].first_event),
        long_prompt: LongPromptOutcome::default(),
    })
}
