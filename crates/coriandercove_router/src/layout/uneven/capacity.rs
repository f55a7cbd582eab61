//! Estimates how many requests per second a layout sustains.
//!
//! Memory for requests and processor time limit a layout. A request holds its tokens at every hop
//! until its answer ends, so that a hop on a slow path serves fewer requests with the same memory.
//! The estimate fills the layout with requests of usual size, each group of them on the fastest path
//! that has room, and divides the requests of each path by the time for which they hold their memory.

use coriandercove_base::{SortedMap, ZoneId};

use super::super::{Holder, kv_capacity};
use crate::path::KV_SHARE;
use crate::routes::EngineModel;

/// Number of requests that are placed together; bounds the processor time of an estimate.
const GROUP: f64 = 16.0;
/// Least number of requests for which a hop counts as having room.
const MIN_GROUP: f64 = 1.0;
/// Number of requests of which a target may be the first hop at the same time; the engines queue
/// more, and the path search leaves some free.
const MAX_FIRST_HOPS: f64 = 170.0;
/// Expected overhead of each hop for a token, in ms, as in the path search.
const HOP_OVERHEAD_MS: f64 = 0.2;
/// Number of streams that a prompt delays while it crosses between two zones, as in the path search.
const LINK_SHARING_STREAMS: f64 = 40.0;
/// Share of a link between two zones that prompts may take. The tokens of streams need the rest,
/// prompts arrive unevenly, and the path search closes a link that 150 ms of prompts wait for. With
/// a larger share, layouts whose chains end in other zones are preferred, which refuse more after a
/// loss.
const LINK_SHARE: f64 = 0.25;
/// Share of an engine's time that prefill may take. Beyond it prompts queue for longer than the
/// usual objectives allow.
const PREFILL_SHARE: f64 = 0.7;
/// Rounds in which the rates of the paths and the load of the hops are brought into agreement.
const ROUNDS: usize = 8;

/// Mean size of the requests that a layout serves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeanDemand {
    /// Prompt tokens.
    pub prompt: f64,
    /// Tokens of the answer.
    pub answer: f64,
}

impl MeanDemand {
    /// The usual demand that the configuration states.
    #[must_use]
    pub const fn usual(engine: &EngineModel) -> Self {
        Self {
            prompt: engine.usual_prompt,
            answer: engine.usual_answer,
        }
    }

    /// Tokens of a request, at least one: the estimate ends only if each request takes memory.
    #[must_use]
    pub fn tokens(self) -> f64 {
        (self.prompt + self.answer).max(1.0)
    }
}

/// What a layout sustains.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Requests per second.
    pub per_second: f64,
    /// Requests in flight at that rate.
    pub in_flight: f64,
}

/// Estimates what a layout sustains; nothing if a layer has no holder.
#[must_use]
pub fn capacity(engine: &EngineModel, holders: &[Holder], demand: MeanDemand) -> Capacity {
    let mut flow = Flow::new(engine, holders, demand);
    while let Some(route) = flow.fastest_route() {
        flow.fill(route);
    }
    flow.settle()
}

/// A target as the estimate uses it.
struct Hop {
    zone: usize,
    /// Free memory for requests, in tokens x layers.
    room: f64,
    decode_factor: f64,
    prefill_factor: f64,
    /// Requests that pass through the hop.
    running: f64,
    /// Requests of which it is the first hop.
    first_hops: f64,
    /// Share of the hop's time that prefill takes.
    prefill_share: f64,
}

/// Consecutive layers that one hop runs.
#[derive(Clone, Copy)]
struct Segment {
    hop: usize,
    layers: f64,
}

/// Requests on one path.
struct Route {
    /// Hops from the last to the first.
    segments: Vec<Segment>,
    /// Changes of zone, by pair of zones.
    crossings: Vec<usize>,
    requests: f64,
}

/// The best way to reach a layer at a hop.
#[derive(Clone, Copy)]
struct Step {
    cost: f64,
    /// Hop at the layer before; none at the first layer.
    previous: Option<usize>,
}

/// State of an estimate.
struct Flow<'a> {
    engine: &'a EngineModel,
    demand: MeanDemand,
    hops: Vec<Hop>,
    /// Hops that hold each layer.
    by_layer: Vec<Vec<usize>>,
    zones: usize,
    /// Prompts per second on the link between each pair of zones.
    links: Vec<f64>,
    /// Maximum of the same.
    link_limit: f64,
    /// One-way delay between each pair of zones, in ms.
    delays: Vec<f64>,
    routes: Vec<Route>,
}

impl<'a> Flow<'a> {
    fn new(engine: &'a EngineModel, holders: &[Holder], demand: MeanDemand) -> Self {
        let mut names: Vec<&ZoneId> = holders.iter().map(|h| &h.zone).collect();
        names.sort_unstable();
        names.dedup();
        let zones: SortedMap<&ZoneId, usize> =
            names.iter().enumerate().map(|(i, z)| (*z, i)).collect();
        let layers = usize::from(engine.layers);
        let mut by_layer = vec![Vec::new(); layers];
        let mut hops = Vec::with_capacity(holders.len());
        for h in holders {
            let Some(range) = h.layers else { continue };
            let end = usize::from(range.end).min(layers);
            let first = usize::from(range.first).min(end);
            for at in &mut by_layer[first..end] {
                at.push(hops.len());
            }
            hops.push(Hop {
                zone: zones.get(&h.zone).copied().unwrap_or_default(),
                room: kv_capacity(engine, &h.accelerator, range.len()) as f64 * KV_SHARE,
                decode_factor: h.accelerator.decode_factor,
                prefill_factor: h.accelerator.prefill_factor,
                running: 0.0,
                first_hops: 0.0,
                prefill_share: 0.0,
            });
        }
        let count = names.len();
        let mut delays = vec![0.0; count * count];
        for (a, b, delay) in &engine.zone_delays {
            if let (Some(a), Some(b)) = (zones.get(a), zones.get(b)) {
                let ms = delay.as_secs_f64() * 1e3;
                delays[a * count + b] = ms;
                delays[b * count + a] = ms;
            }
        }
        let crossing_ms = demand.prompt * token_transfer_ms(engine);
        Self {
            engine,
            demand,
            hops,
            by_layer,
            zones: count,
            links: vec![0.0; count * count],
            link_limit: LINK_SHARE * 1e3 / crossing_ms.max(1e-6),
            delays,
            routes: Vec::new(),
        }
    }

    /// Index of the link between two zones, the same for both directions.
    fn link(&self, a: usize, b: usize) -> usize {
        a.min(b) * self.zones + a.max(b)
    }

    /// Time of a request at one layer of a hop, in ms.
    fn layer_ms(&self, hop: &Hop) -> f64 {
        let engine = self.engine;
        let context = (self.demand.prompt + self.demand.answer / 2.0) / 1e3;
        let per_sequence = engine.step_per_sequence_ms + engine.step_per_context_ms * context;
        let step = engine.step.as_secs_f64() * 1e3 + per_sequence * (hop.running + 1.0);
        // An engine prefills beside decoding: both share its time.
        let left = (1.0 - hop.prefill_share).max(1.0 - PREFILL_SHARE);
        let chunks = self.demand.prompt / engine.prefill_chunk;
        let decode = step * hop.decode_factor / left * (self.demand.answer + chunks);
        (decode + self.prefill_ms(hop)) / f64::from(engine.layers)
    }

    /// Time to prefill a prompt at all layers with the hop's accelerator, in ms.
    fn prefill_ms(&self, hop: &Hop) -> f64 {
        self.demand.prompt * hop.prefill_factor / self.engine.prefill_per_ms
    }

    /// Time that a change of zone adds to a request, in ms.
    fn crossing_ms(&self, link: usize) -> f64 {
        let token = token_transfer_ms(self.engine);
        self.demand.prompt * token + self.demand.answer * (token + self.delays[link])
    }

    fn has_room(&self, hop: &Hop) -> bool {
        hop.room >= MIN_GROUP * self.demand.tokens() && hop.prefill_share < PREFILL_SHARE
    }

    /// The path with the least time among the hops and links that have room.
    fn fastest_route(&self) -> Option<Route> {
        let times: Vec<Option<f64>> = self
            .hops
            .iter()
            .map(|h| self.has_room(h).then(|| self.layer_ms(h)))
            .collect();
        let overhead = HOP_OVERHEAD_MS * self.demand.answer;
        let prompt_ms = self.demand.prompt * token_transfer_ms(self.engine);
        let mut steps: Vec<Vec<Option<Step>>> = Vec::with_capacity(self.by_layer.len());
        // Cheapest hop of each zone at the layer before.
        let mut best: Vec<Option<(f64, usize)>> = vec![None; self.zones];
        for (layer, holders) in self.by_layer.iter().enumerate() {
            let mut at: Vec<Option<Step>> = vec![None; self.hops.len()];
            let mut next_best = vec![None; self.zones];
            for i in holders {
                let hop = &self.hops[*i];
                let Some(time) = times[*i] else { continue };
                if layer == 0 && hop.first_hops + MIN_GROUP > MAX_FIRST_HOPS {
                    continue;
                }
                let mut step: Option<Step> = (layer == 0).then_some(Step {
                    cost: overhead,
                    previous: None,
                });
                let mut offer = |cost: f64, previous| {
                    if step.is_none_or(|s| cost < s.cost) {
                        step = Some(Step { cost, previous });
                    }
                };
                if layer > 0 {
                    if let Some(stay) = steps[layer - 1][*i] {
                        offer(stay.cost, Some(*i));
                    }
                    for (zone, from) in best.iter().enumerate() {
                        let Some((cost, from)) = from else { continue };
                        if zone == hop.zone {
                            offer(cost + overhead, Some(*from));
                            continue;
                        }
                        let link = self.link(zone, hop.zone);
                        if self.links[link] < self.link_limit {
                            let sharing = prompt_ms * LINK_SHARING_STREAMS;
                            let crossing = sharing + self.crossing_ms(link);
                            offer(cost + overhead + crossing, Some(*from));
                        }
                    }
                }
                let Some(mut step) = step else { continue };
                step.cost += time;
                at[*i] = Some(step);
                let zone_best: &mut Option<(f64, usize)> = &mut next_best[hop.zone];
                if zone_best.is_none_or(|(cost, _)| step.cost < cost) {
                    *zone_best = Some((step.cost, *i));
                }
            }
            best = next_best;
            steps.push(at);
        }
        let ends = best.iter().flatten();
        let (_, last) = ends.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(self.trace(&steps, *last))
    }

    /// Builds the route that ends at the hop `last`.
    fn trace(&self, steps: &[Vec<Option<Step>>], last: usize) -> Route {
        let mut segments: Vec<Segment> = Vec::new();
        let mut crossings = Vec::new();
        let mut at = Some(last);
        for layer in steps.iter().rev() {
            let Some(hop) = at else { break };
            match segments.last_mut() {
                Some(s) if s.hop == hop => s.layers += 1.0,
                before => {
                    let (from, to) = (self.hops[hop].zone, before.map(|s| self.hops[s.hop].zone));
                    if let Some(to) = to.filter(|to| *to != from) {
                        crossings.push(self.link(from, to));
                    }
                    segments.push(Segment { hop, layers: 1.0 });
                }
            }
            at = layer[hop].and_then(|s| s.previous);
        }
        Route {
            segments,
            crossings,
            requests: 0.0,
        }
    }

    /// Time for which a request on the route holds its memory, in ms.
    fn hold_ms(&self, route: &Route) -> f64 {
        let overhead = HOP_OVERHEAD_MS * self.demand.answer;
        let hops = route.segments.iter();
        let hops: f64 = hops
            .map(|s| self.layer_ms(&self.hops[s.hop]) * s.layers + overhead)
            .sum();
        let links: f64 = route.crossings.iter().map(|l| self.crossing_ms(*l)).sum();
        hops + links
    }

    /// Share of a hop's time that prefill takes for a request per second at so many layers.
    fn prefill_share(&self, segment: Segment) -> f64 {
        let hop = &self.hops[segment.hop];
        self.prefill_ms(hop) * segment.layers / f64::from(self.engine.layers) / 1e3
    }

    /// Places a group of requests on the route, as many as have room.
    fn fill(&mut self, mut route: Route) {
        let tokens = self.demand.tokens();
        let mut requests = GROUP;
        for s in &route.segments {
            let hop = &self.hops[s.hop];
            requests = requests.min(hop.room / (tokens * s.layers));
        }
        // Segments are in reverse order.
        let first = route.segments.last().map(|s| s.hop);
        if let Some(first) = first {
            requests = requests.min(MAX_FIRST_HOPS - self.hops[first].first_hops);
        }
        if requests < MIN_GROUP {
            // The hop that lacks room for a whole segment is closed, so that each call makes
            // progress.
            for s in &route.segments {
                let hop = &mut self.hops[s.hop];
                if hop.room < tokens * s.layers * MIN_GROUP {
                    hop.room = 0.0;
                }
            }
            return;
        }
        let rate = requests * 1e3 / self.hold_ms(&route).max(1e-6);
        for s in &route.segments {
            let share = self.prefill_share(*s) * rate;
            let hop = &mut self.hops[s.hop];
            hop.room -= requests * tokens * s.layers;
            hop.running += requests;
            hop.prefill_share += share;
        }
        if let Some(first) = first {
            self.hops[first].first_hops += requests;
        }
        for link in &route.crossings {
            self.links[*link] += rate;
        }
        route.requests = requests;
        self.routes.push(route);
    }

    /// Brings the rates of the routes into agreement with the load that they cause.
    fn settle(&mut self) -> Capacity {
        let mut per_second = 0.0;
        for _ in 0..ROUNDS {
            let routes = self.routes.iter();
            let rates: Vec<f64> = routes
                .map(|r| r.requests * 1e3 / self.hold_ms(r).max(1e-6))
                .collect();
            per_second = rates.iter().sum();
            let mut shares = vec![0.0; self.hops.len()];
            for (route, rate) in self.routes.iter().zip(&rates) {
                for s in &route.segments {
                    shares[s.hop] += self.prefill_share(*s) * rate;
                }
            }
            for (hop, share) in self.hops.iter_mut().zip(shares) {
                // The mean of the old and the new share keeps the rounds from swinging.
                hop.prefill_share = f64::midpoint(hop.prefill_share, share);
            }
        }
        Capacity {
            per_second,
            in_flight: self.routes.iter().map(|r| r.requests).sum(),
        }
    }
}

/// Time to send the activations of one token between two zones, in ms.
fn token_transfer_ms(engine: &EngineModel) -> f64 {
    engine.activation_bytes * 8.0 / (engine.zone_link_mbps.max(1.0) * 1e3)
}
