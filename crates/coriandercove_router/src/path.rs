//! Chooses the targets that a model request passes through.
//!
//! Answers the load pattern in which many streams share few chains whose narrowest part limits
//! them: the choice minimises the expected time of the whole answer over every cover of the layers,
//! counts the prompts that wait to be read at each part, and leaves out parts whose KV cache has no
//! room for the request.
//!
//! Also answers the one in which a part dies under many streams, and all of them must be led around
//! it at the same moment: parts that hold a stream's tokens already are kept, as only the new parts
//! have to read them, and the new ones are spread by a random handicap, because the entries that
//! choose do not know of each other's choice yet.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{TargetId, ZoneId};

use crate::fleet::LayerRange;
use crate::load::{Load, Work, zone_pair};
use crate::routes::EngineModel;

/// Most parts in one path; the engines' own limit.
const MAX_PARTS: usize = 32;
/// Expected overhead of one more part for a token, in ms.
const PART_OVERHEAD_MS: f64 = 0.2;
/// Streams whose tokens wait while a prompt crosses between two zones: its transfer costs them as
/// much as it costs the request itself.
const LINK_SHARERS: f64 = 40.0;
/// Share of the transfers under way that a token waits for at a link between zones, on average.
const LINK_WAIT: f64 = 0.5;
/// Time of the prompts under way on a link between zones beyond which no more are added, in ms:
/// every stream over that link then pauses for so long.
const LINK_LIMIT_MS: f64 = 150.0;
/// Cost of a first part in another zone than the entry's, in ms; events then cross zones.
const REMOTE_FIRST_PART_MS: f64 = 100.0;
/// Cost of a first part at which the request failed before, in ms: more than the usual answer takes,
/// so that it is tried again only if there is no other.
const TRIED_FIRST_PART_MS: f64 = 20_000.0;
/// Weight of the squared KV cache occupancy on the decode time, so that a chain fills up last
/// where another one has room.
const OCCUPANCY_WEIGHT: f64 = 1.5;
/// Share of the KV cache that may be reserved; the rest absorbs answers longer than expected.
pub const KV_SHARE: f64 = 0.92;

/// A target that holds layers and takes new work.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The target.
    pub id: TargetId,
    /// Where it is called.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Requests of which it may be the first part at once; more would wait at it.
    pub slots: u32,
    /// KV cache, in tokens x layers.
    pub kv_capacity: u64,
    /// Factor on the time of a decode step, slowness included.
    pub decode_factor: f64,
    /// Factor on the time of prefill, slowness included.
    pub prefill_factor: f64,
    /// Work in flight.
    pub work: Work,
    /// Factor on the expected time of work that is new to it; 1 without a handicap.
    pub handicap: f64,
    /// Whether the request was sent to it before and failed.
    pub is_tried: bool,
}

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected tokens of the answer.
    pub answer: u32,
}

impl Demand {
    /// KV cache that a part with this many layers reserves, in tokens x layers.
    #[must_use]
    pub fn kv(self, layers: u16) -> u64 {
        u64::from(self.prompt + self.answer) * u64::from(layers)
    }
}

/// What the choice is based on.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The engines.
    pub engine: &'a EngineModel,
    /// Targets that take new work.
    pub candidates: &'a [Candidate],
    /// Work in flight, for the links between zones.
    pub load: &'a Load,
    /// Zone of the entry.
    pub entry_zone: &'a str,
    /// Longest expected time to the first event.
    pub first_event_limit: Duration,
    /// The path of a request that runs already; its first part stays.
    pub running: Option<&'a [Hop]>,
}

impl View<'_> {
    /// Whether a part runs these layers for the request already, so that it holds its tokens.
    fn is_kept(&self, candidate: &Candidate, (start, end): (u16, u16)) -> bool {
        self.running.is_some_and(|hops| {
            let mut hops = hops.iter();
            hops.any(|h| h.address == candidate.address && h.layers == LayerRange::new(start, end))
        })
    }
}

/// One part of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hop {
    /// The target.
    pub id: TargetId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it is called.
    pub address: SocketAddr,
    /// Layers that it runs for the request.
    pub layers: LayerRange,
}

/// A path over every layer, in order.
#[derive(Debug, Clone, PartialEq)]
pub struct Path {
    /// Parts; adjacent ranges, from layer 0 to the last, each target once.
    pub hops: Vec<Hop>,
    /// Expected time to the first event.
    pub first_event: Duration,
}

/// Why there is no path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPath {
    /// The targets that take work do not hold all layers.
    Incomplete,
    /// All layers are held, but some part has no room on every path.
    Full,
    /// There is room, but so many prompts wait that the first event would come too late.
    Slow,
}

/// The layer that fewest targets can take a request at, for explaining a refusal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Narrowest {
    /// The layer.
    pub layer: u16,
    /// Targets that hold it and take work.
    pub holders: usize,
    /// Those of them that have room for the request at this layer.
    pub with_room: usize,
}

/// Finds the layer that fewest targets can take a request at.
#[must_use]
pub fn narrowest(view: View<'_>, demand: Demand) -> Narrowest {
    let layers = (0..view.engine.layers).map(|layer| {
        let holds = |c: &&Candidate| c.layers.first <= layer && layer < c.layers.end;
        let holders = view.candidates.iter().filter(holds);
        Narrowest {
            layer,
            holders: holders.clone().count(),
            with_room: holders.filter(|c| has_room(c, demand, 1)).count(),
        }
    });
    layers
        .min_by_key(|n| (n.with_room, n.holders))
        .unwrap_or_default()
}

#[derive(Clone, Copy)]
struct Node {
    cost: f64,
    first_event: f64,
    candidate: usize,
    start: u16,
    end: u16,
    previous: Option<usize>,
}

/// Finds the path with the least expected time.
///
/// # Errors
/// [`NoPath`] if no path has room.
pub fn choose(view: View<'_>, demand: Demand) -> Result<Path, NoPath> {
    match search(view, demand, true) {
        Some(path) if path.first_event <= view.first_event_limit => Ok(path),
        Some(_) => Err(NoPath::Slow),
        None if search(view, demand, false).is_some() => Err(NoPath::Full),
        None => Err(NoPath::Incomplete),
    }
}

/// Finds the path with the least cost; `needs_room` leaves out what is full.
fn search(view: View<'_>, demand: Demand, needs_room: bool) -> Option<Path> {
    let mut search = Search::new(view, demand, needs_room);
    for b in 0..search.bounds.len().saturating_sub(1) {
        search.extend_from(b);
    }
    search.cheapest()
}

/// A search over the layer boundaries, from the first layer to the last.
struct Search<'a> {
    view: View<'a>,
    demand: Demand,
    needs_room: bool,
    /// Layers at which a part may begin or end; sorted.
    bounds: Vec<u16>,
    nodes: Vec<Node>,
    /// The best node for each boundary and zone of the last part.
    best: Vec<Vec<usize>>,
}

impl<'a> Search<'a> {
    fn new(view: View<'a>, demand: Demand, needs_room: bool) -> Self {
        let mut bounds = boundaries(view.engine, view.candidates);
        for hop in view.running.unwrap_or_default() {
            if let Err(i) = bounds.binary_search(&hop.layers.end) {
                bounds.insert(i, hop.layers.end);
            }
        }
        Self {
            view,
            demand,
            needs_room,
            nodes: Vec::new(),
            best: vec![Vec::new(); bounds.len()],
            bounds,
        }
    }

    /// Extends the best nodes that end at boundary `b` by every part that holds the next layer.
    fn extend_from(&mut self, b: usize) {
        let starts: Vec<Option<usize>> = if b == 0 {
            vec![None]
        } else {
            self.best[b].iter().copied().map(Some).collect()
        };
        let at = self.bounds[b];
        for (i, candidate) in self.view.candidates.iter().enumerate() {
            if candidate.layers.first > at || candidate.layers.end <= at {
                continue;
            }
            for previous in &starts {
                if previous.is_none_or(|p| self.nodes[p].candidate != i) {
                    self.add_parts(b, i, *previous);
                }
            }
        }
    }

    /// Adds the parts that the candidate may run from boundary `b` on, after the node `previous`.
    fn add_parts(&mut self, b: usize, i: usize, previous: Option<usize>) {
        let view = self.view;
        let candidate = &view.candidates[i];
        let before = previous.map(|p| self.nodes[p]);
        let (to_new, to_kept) = self.links(before, candidate);
        let at = self.bounds[b];
        for e in b + 1..self.bounds.len() {
            let end = self.bounds[e];
            if end > candidate.layers.end {
                return;
            }
            if self.needs_room && b == 0 && !may_begin(view, candidate, end) {
                continue;
            }
            let is_kept = view.is_kept(candidate, (at, end));
            if self.needs_room && !is_kept && !has_room(candidate, self.demand, end - at) {
                if view.running.is_none() {
                    // More layers need more room.
                    return;
                }
                continue;
            }
            let (link, wait) = if is_kept { to_kept } else { to_new };
            if self.needs_room && link.is_infinite() {
                continue;
            }
            let (read, decode) = part_cost(view.engine, candidate, self.demand, end - at);
            let read = if is_kept { 0.0 } else { read };
            let factor = if is_kept { 1.0 } else { candidate.handicap };
            let node = Node {
                cost: before.map_or(0.0, |n| n.cost) + link + (read + decode) * factor,
                first_event: before.map_or(0.0, |n| n.first_event) + wait + read,
                candidate: i,
                start: at,
                end,
                previous,
            };
            relax(&mut self.nodes, &mut self.best[e], view.candidates, node);
        }
    }

    /// Cost of the way into a part that is new to the request, and into one that is kept.
    fn links(&self, before: Option<Node>, part: &Candidate) -> ((f64, f64), (f64, f64)) {
        let Some(before) = before else {
            let cost = (first_part_cost(self.view, part), 0.0);
            return (cost, cost);
        };
        let from = &self.view.candidates[before.candidate].zone;
        let to_new = link_cost(self.view, from, part, self.demand, false);
        let to_kept = match self.view.running {
            Some(_) => link_cost(self.view, from, part, self.demand, true),
            None => to_new,
        };
        (to_new, to_kept)
    }

    fn cheapest(&self) -> Option<Path> {
        let mut ends: Vec<usize> = self.best.last()?.clone();
        ends.sort_by(|a, b| self.nodes[*a].cost.total_cmp(&self.nodes[*b].cost));
        ends.into_iter()
            .find_map(|end| assemble(&self.nodes, self.view.candidates, end))
    }
}

/// Share of the slots of a first part that entries fill together; the rest covers what they do not
/// know of each other yet.
const SLOT_SHARE: f64 = 0.9;

/// Whether a path may begin with this part up to the layer `end`.
fn may_begin(view: View<'_>, candidate: &Candidate, end: u16) -> bool {
    match view.running.and_then(<[Hop]>::first) {
        Some(f) => f.address == candidate.address && f.layers.end == end,
        None => {
            let limit = f64::from(candidate.slots) * SLOT_SHARE;
            f64::from(candidate.work.first_parts) < limit
        }
    }
}

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

fn relax(nodes: &mut Vec<Node>, best: &mut Vec<usize>, candidates: &[Candidate], node: Node) {
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

/// Expected time of prefill and of decoding at one part, in ms.
fn part_cost(engine: &EngineModel, part: &Candidate, demand: Demand, layers: u16) -> (f64, f64) {
    let all = f64::from(engine.layers);
    let own_read = f64::from(demand.prompt) * f64::from(layers);
    let unread = part.work.unread as f64 + own_read;
    let running = f64::from(part.work.requests + 1);
    let context = (engine.usual_prompt + engine.usual_answer / 2.0) / 1000.0;
    let per_sequence = engine.step_per_sequence_ms + engine.step_per_context_ms * context;
    let step = engine.step.as_secs_f64() * 1e3 + per_sequence * running;
    let share = f64::from(layers) / all;
    // While others decode, each of their steps takes a bounded piece of the prompts along.
    let pieces = unread / f64::from(layers) / engine.prefill_chunk;
    let between = if part.work.requests > 0 {
        pieces * step * share * part.decode_factor
    } else {
        0.0
    };
    let read = unread * part.prefill_factor / (engine.prefill_per_ms * all) + between;
    let occupancy = part.work.kv as f64 / (part.kv_capacity as f64).max(1.0);
    let pressure = 1.0 + OCCUPANCY_WEIGHT * occupancy * occupancy;
    let token = share * part.decode_factor * step * pressure + PART_OVERHEAD_MS;
    (read, token * f64::from(demand.answer))
}

/// Cost of beginning a path at a part, in ms.
fn first_part_cost(view: View<'_>, part: &Candidate) -> f64 {
    let is_remote = *part.zone != *view.entry_zone;
    let remote = if is_remote { REMOTE_FIRST_PART_MS } else { 0.0 };
    let tried = if part.is_tried {
        TRIED_FIRST_PART_MS
    } else {
        0.0
    };
    remote + tried
}

/// Cost of the link from a zone into a part, and the part of it that delays the first event, in ms.
/// The cost is infinite if the link takes no more prompts. No prompt crosses into a part that holds
/// the tokens.
fn link_cost(
    view: View<'_>,
    from: &ZoneId,
    part: &Candidate,
    demand: Demand,
    is_kept: bool,
) -> (f64, f64) {
    if *from == part.zone {
        return (0.0, 0.0);
    }
    let engine = view.engine;
    let delay = engine
        .zone_delays
        .iter()
        .find(|(a, b, _)| (a == from && *b == part.zone) || (b == from && *a == part.zone))
        .map_or(0.0, |(_, _, d)| d.as_secs_f64() * 1e3);
    let token = engine.activation_bytes * 8.0 / (engine.zone_link_mbps.max(1.0) * 1e3);
    let under_way = view.load.transfers(&zone_pair(from, &part.zone)) as f64 * token;
    let answer = f64::from(demand.answer);
    let per_token = delay + token + under_way * LINK_WAIT;
    if is_kept {
        return (per_token * answer, delay);
    }
    let prompt = f64::from(demand.prompt) * token;
    let wait = under_way + prompt + delay;
    if under_way > LINK_LIMIT_MS {
        return (f64::INFINITY, wait);
    }
    (prompt * LINK_SHARERS + wait + per_token * answer, wait)
}

/// A time in ms; the longest one if it is infinite, as over a link that takes no more prompts.
fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX)
}

/// The path that ends with node `end`, unless a target would appear twice or it has too many parts.
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
        let part = &candidates[node.candidate];
        hops.push(Hop {
            id: part.id.clone(),
            zone: part.zone.clone(),
            address: part.address,
            layers: LayerRange::new(node.start, node.end),
        });
        at = node.previous;
    }
    if hops.len() > MAX_PARTS {
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
