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
use crate::load::{Load, Work};
use crate::routes::EngineModel;

pub mod interference;
mod search;

use interference::{Interference, LongPromptOutcome, within_bound};
use search::{HopTimes, max_layers, search};

/// Share of the KV cache that requests may reserve; the rest absorbs answers that are longer than
/// expected.
pub const KV_SHARE: f64 = 0.92;
/// Share of the KV cache and of the slots that a request leaves free if it yields to all others. It
/// covers the changes of what the others use, whose answers make room at the rate at which they
/// come.
const YIELDED_ROOM: f64 = 0.16;

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
    /// Size in requests of usual size.
    #[must_use]
    pub fn usual_sizes(self, engine: &EngineModel) -> f64 {
        let usual = engine.usual_prompt + engine.usual_answer;
        f64::from(self.prompt + self.answer) / usual.max(1.0)
    }

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
    /// Share of the requests in flight for which the request must leave some room, from 0 to 1.
    pub yields_to: f64,
    /// Path of the request if it is running already; its first hop is kept.
    pub running: Option<&'a [Hop]>,
    /// Inputs of the decisions on long prompts; none for services that are not contended.
    pub interference: Option<Interference>,
}

impl SearchContext<'_> {
    /// Share of a limit that the request may fill.
    fn room_share(&self) -> f64 {
        1.0 - YIELDED_ROOM * self.yields_to
    }

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
    /// The same if no prompts waited at the hops.
    pub unloaded_first_event: Duration,
    /// What the bound on long prompts in progress meant for the path.
    pub long_prompt: LongPromptOutcome,
}

/// Factor by which waiting prompts may extend the time to the first event of a request that is late
/// even without them. Such a request is served late rather than never.
const MAX_LATE_FACTOR: u32 = 2;

impl Path {
    fn is_in_time(&self, limit: Duration) -> bool {
        self.first_event <= limit.max(self.unloaded_first_event * MAX_LATE_FACTOR)
    }
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
            with_room: holders
                .filter(|c| max_layers(context, c, c.work, demand) > 0)
                .count(),
        }
    });
    layers
        .min_by_key(|n| (n.with_room, n.holders))
        .unwrap_or_default()
}

/// Finds the path with the least expected time of the whole answer.
///
/// # Errors
/// [`NoPath`] if no path has room or the first event would come too late.
pub fn choose(context: SearchContext<'_>, demand: Demand) -> Result<Path, NoPath> {
    let works: Vec<Work> = context.candidates.iter().map(|c| c.work).collect();
    choose_with(context, &works, demand)
}

fn choose_with(context: SearchContext<'_>, works: &[Work], demand: Demand) -> Result<Path, NoPath> {
    match search(context, works, demand, true) {
        Some(path) if path.is_in_time(context.first_event_limit) => {
            Ok(within_bound(context, works, demand, path))
        }
        // Regard for others must not cost the request its path.
        Some(_) if context.interference.is_some() => {
            let context = SearchContext {
                interference: None,
                ..context
            };
            choose_with(context, works, demand)
        }
        Some(_) => Err(NoPath::Slow),
        None if search(context, works, demand, false).is_some() => Err(NoPath::Full),
        None => Err(NoPath::Incomplete),
    }
}

/// Requests that are placed together in [`choose_after`].
const BATCH_REQUESTS: f64 = 8.0;
/// Maximum number of batches; bounds the processor time of a choice.
const MAX_BATCHES: f64 = 16.0;

/// Finds the path as [`choose`] does, after `ahead` requests of usual size that no digest shows yet
/// have taken the paths that are best for them.
///
/// It is meant for many entries that choose by equally outdated digests. A different `ahead` for
/// each request leads them to different paths, and to a refusal once those ahead fill the fleet.
///
/// # Errors
/// As for [`choose`].
pub fn choose_after(
    context: SearchContext<'_>,
    demand: Demand,
    ahead: f64,
) -> Result<Path, NoPath> {
    choose_with(context, &works_after(context, ahead), demand)
}

/// Share of the wait that its objective allows a request at a hop of a path around a queue. Other
/// entries choose the same hops by the same outdated digests; with the whole wait, many answers of
/// an overloaded fleet come late.
const WAIT_SHARE_AROUND: f64 = 0.3;

/// Finds the path as [`choose_after`] does. If too many prompts wait on the path with the least
/// expected time of the whole answer, it finds one around the hops at which they wait.
///
/// It is meant for services whose callers compete. The requests with the shortest objective and the
/// fewest others ahead of them would otherwise be refused for the queue at the fastest hops, which
/// the others avoid.
///
/// # Errors
/// As for [`choose`].
pub fn choose_in_time(
    context: SearchContext<'_>,
    demand: Demand,
    ahead: f64,
) -> Result<Path, NoPath> {
    let works = works_after(context, ahead);
    let chosen = choose_with(context, &works, demand);
    if chosen != Err(NoPath::Slow) {
        return chosen;
    }
    // The request is late without regard for others too, which must not cost it the path around the
    // queue.
    let alone = SearchContext {
        interference: None,
        ..context
    };
    let Some(late) = search(alone, &works, demand, true) else {
        return chosen;
    };
    let unloaded = late.unloaded_first_event;
    let limit = context.first_event_limit.max(unloaded * MAX_LATE_FACTOR);
    let max_wait_ms = limit.saturating_sub(unloaded).as_secs_f64() * 1e3 * WAIT_SHARE_AROUND;
    let (candidates, works): (Vec<Candidate>, Vec<Work>) = context
        .candidates
        .iter()
        .zip(&works)
        .filter(|(c, work)| {
            HopTimes::new(context.engine, c, **work, demand).pending_prefill <= max_wait_ms
        })
        .map(|(c, work)| (c.clone(), *work))
        .unzip();
    let context = SearchContext {
        candidates: &candidates,
        ..context
    };
    let alone = SearchContext {
        candidates: &candidates,
        ..alone
    };
    match search(alone, &works, demand, true) {
        Some(around) if around.is_in_time(context.first_event_limit) => {
            Ok(within_bound(context, &works, demand, around))
        }
        _ => Err(NoPath::Slow),
    }
}

/// Work at each candidate after `ahead` requests of usual size.
fn works_after(context: SearchContext<'_>, ahead: f64) -> Vec<Work> {
    let mut works: Vec<Work> = context.candidates.iter().map(|c| c.work).collect();
    let batches = (ahead / BATCH_REQUESTS).round().min(MAX_BATCHES);
    if batches >= 1.0 {
        let size = (ahead / batches).round() as u32;
        place_ahead(context, &mut works, batches as u32, size);
    }
    works
}

/// Adds the work of `batches` times `size` requests of usual size. Those for which there is no path
/// are left out.
fn place_ahead(context: SearchContext<'_>, works: &mut [Work], batches: u32, size: u32) {
    let usual = Demand {
        prompt: context.engine.usual_prompt as u32,
        answer: context.engine.usual_answer as u32,
    };
    let context = SearchContext {
        yields_to: 0.0,
        ..context
    };
    for _ in 0..batches {
        let Some(path) = search(context, works, usual, true) else {
            return;
        };
        for (i, hop) in path.hops.iter().enumerate() {
            let mut candidates = context.candidates.iter();
            if let Some(used) = candidates.position(|c| c.address == hop.address) {
                works[used].add(Work::of_hop(usual, hop.layers, i == 0).times(size));
            }
        }
    }
}

#[cfg(test)]
mod tests;
