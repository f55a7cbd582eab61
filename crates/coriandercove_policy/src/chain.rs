//! Choice of the chain of stages for a request.
//!
//! The choice minimises the expected time of the whole request: a shortest path over layer
//! boundaries through a seeded sample of the usable targets. The compute time of a target grows
//! with its queue, so that stages are loaded evenly.

mod fleet;
mod links;
mod path;
mod sample;
mod types;
mod view;

use std::time::Duration;

use coriandercove_base::{ModelId, Time, ZoneId, rng::Rng};

use crate::explain::{ChainExplanation, RefusalReason};
use fleet::{Fleet, Group, Moment, Usable};
use links::{LinkTime, RequestLinks, ZoneLinks};
use path::{Node, Path, Solver};

pub use types::{
    Candidate, Chain, ChainHop, ChainRequest, LinkCost, LoadReport, NoChain, PlannerConfig,
    TargetState,
};

/// Known targets and links, and the own outstanding work, of one entry.
#[derive(Debug, Default)]
pub struct Planner {
    cfg: PlannerConfig,
    fleet: Fleet,
    links: ZoneLinks,
    solver: Solver,
}

impl Planner {
    /// A planner without targets.
    #[must_use]
    pub fn new(cfg: PlannerConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Adds a target or replaces what is known of it; outstanding work and load stay.
    pub fn upsert(&mut self, candidate: Candidate) {
        self.fleet.upsert(candidate, &mut self.links);
    }

    /// Forgets a target.
    pub fn remove(&mut self, target: &str) {
        if let Some(i) = self.fleet.index(target) {
            self.links
                .overrides
                .retain(|(from, to), _| *from != i && *to != i);
        }
        self.fleet.remove(target);
    }

    /// The candidate as last given.
    #[must_use]
    pub fn candidate(&self, target: &str) -> Option<&Candidate> {
        self.fleet.candidate(target)
    }

    /// Sequences in progress at a target: own ones and those last reported for other entries.
    #[must_use]
    pub fn outstanding(&self, target: &str, now: Time) -> u32 {
        self.fleet.index(target).map_or(0, |i| {
            self.fleet
                .slot(i)
                .outstanding(self.fleet.moment(now, &self.cfg))
        })
    }

    /// Sets whether a target takes new work.
    pub fn set_state(&mut self, target: &str, state: TargetState) {
        self.fleet.set_state(target, state);
    }

    /// Sets the share of its usual load that a target gets, above 0 and at most 1 (slow start).
    pub fn set_weight(&mut self, target: &str, weight: f64) {
        self.fleet.set_weight(target, weight);
    }

    /// Takes a load report in.
    pub fn report_load(&mut self, target: &str, now: Time, load: LoadReport) {
        self.fleet.report(target, now, load, &self.cfg);
    }

    /// Sets the cost of the links between two zones in one direction.
    pub fn set_zone_link(&mut self, from: &ZoneId, to: &ZoneId, cost: LinkCost) {
        self.links.set(from, to, cost);
    }

    /// Sets or clears the cost of the link between two targets, which overrides that of their
    /// zones. Unknown targets are ignored.
    pub fn set_target_link(&mut self, from: &str, to: &str, cost: Option<LinkCost>) {
        let (Some(from), Some(to)) = (self.fleet.index(from), self.fleet.index(to)) else {
            return;
        };
        match cost {
            Some(cost) => self.links.overrides.insert((from, to), cost),
            None => self.links.overrides.remove(&(from, to)),
        };
    }

    /// Chooses a chain. The caller follows with [`Planner::begin`] if it uses the chain.
    ///
    /// # Errors
    /// [`NoChain`] if no usable targets cover all layers.
    pub fn choose(
        &mut self,
        req: &ChainRequest<'_>,
        now: Time,
        rng: &mut Rng,
    ) -> Result<Chain, NoChain> {
        self.plan(req, now, rng).0
    }

    /// Like [`Planner::choose`], and says what was considered and why others lost.
    pub fn explain(
        &mut self,
        req: &ChainRequest<'_>,
        now: Time,
        rng: &mut Rng,
    ) -> ChainExplanation {
        let (result, sampled) = self.plan(req, now, rng);
        let at = self.fleet.moment(now, &self.cfg);
        view::explanation(&self.fleet, req, result, &sampled, at)
    }

    /// Counts the chain as own outstanding work.
    pub fn begin(&mut self, chain: &Chain) {
        self.fleet.begin(chain);
    }

    /// Ends what [`Planner::begin`] counted; called once for each begun chain.
    pub fn finish(&mut self, chain: &Chain) {
        self.fleet.finish(chain);
    }

    /// Requests that the targets can take at once, limited by the scarcest layer.
    #[must_use]
    pub fn concurrency(&self, model: &str) -> u32 {
        self.fleet
            .versions(model, None)
            .map(|(_, groups)| self.fleet.concurrency(groups))
            .sum()
    }

    /// The choice, and the targets that took part in it.
    fn plan(
        &mut self,
        req: &ChainRequest<'_>,
        now: Time,
        rng: &mut Rng,
    ) -> (Result<Chain, NoChain>, Vec<u32>) {
        let at = self.fleet.moment(now, &self.cfg);
        let links = RequestLinks::new(&self.links, req, self.cfg.default_link);
        let mut best: Option<(f64, Chain)> = None;
        let mut sampled = Vec::new();
        for ((model, version), groups) in self.fleet.versions(req.model, req.version) {
            let picked = sample::sample(&self.fleet, groups, req, &links, &self.cfg, at, rng);
            let mut attempt = |picked: &[u32]| {
                let nodes = nodes(&self.fleet, picked, req, at);
                let path =
                    self.solver
                        .solve(&nodes, req.first_layer, req.end_layer, req.ring, &links)?;
                let chain = chain(&self.fleet, &nodes, &path, req, &links, (model, version));
                Some((path.total, chain))
            };
            let mut found = attempt(&picked);
            sampled.extend(picked);
            if found.is_none()
                && sample::gap(&self.fleet, groups, req, |u| u == Usable::Yes, at).is_none()
            {
                let everyone = sample::all(&self.fleet, groups, req, at);
                found = attempt(&everyone);
                sampled.extend(everyone);
            }
            if let Some(found) = found
                && best.as_ref().is_none_or(|b| found.0 < b.0)
            {
                best = Some(found);
            }
        }
        let result = best
            .map(|(_, chain)| chain)
            .ok_or_else(|| refusal(&self.fleet, req, at));
        (result, sampled)
    }
}

impl ChainRequest<'_> {
    /// KV tokens that the request reserves at every stage.
    #[must_use]
    pub fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_tokens)
    }

    /// Prompt tokens expected in the prefix cache of a target.
    #[must_use]
    pub fn cached_tokens(&self, target: &str) -> u32 {
        let found = self.cached.binary_search_by(|(t, _)| (**t).cmp(target));
        found.map_or(0, |i| self.cached[i].1.min(self.prompt_tokens))
    }
}

fn nodes(fleet: &Fleet, picked: &[u32], req: &ChainRequest<'_>, at: Moment) -> Vec<Node> {
    let mut nodes = Vec::with_capacity(picked.len());
    for i in picked {
        let c = &fleet.slot(*i).candidate;
        if c.stops_early {
            let exits = exits(fleet, picked, c.first_layer, c.end_layer.min(req.end_layer));
            nodes.extend(exits.map(|exit| node(fleet, *i, exit, req, at)));
        }
        if c.end_layer <= req.end_layer || c.stops_early {
            nodes.push(node(fleet, *i, c.end_layer.min(req.end_layer), req, at));
        }
    }
    nodes.sort_by_key(|n| n.exit);
    nodes
}

/// Layers strictly inside a range where another candidate can take over.
fn exits<'a>(
    fleet: &'a Fleet,
    picked: &'a [u32],
    first: u16,
    end: u16,
) -> impl Iterator<Item = u16> + use<'a> {
    let mut starts: Vec<u16> = picked
        .iter()
        .map(|i| fleet.slot(*i).candidate.first_layer)
        .filter(|s| first < *s && *s < end)
        .collect();
    starts.sort_unstable();
    starts.dedup();
    starts.into_iter()
}

fn node(fleet: &Fleet, i: u32, exit: u16, req: &ChainRequest<'_>, at: Moment) -> Node {
    let slot = fleet.slot(i);
    let c = &slot.candidate;
    let busy = 1.0 + slot.queue(at);
    let prefill = c.prefill_per_layer.as_nanos() as f64;
    let saved = f64::from(req.cached_tokens(&c.target)) * prefill;
    let prompt = f64::from(req.prompt_tokens) * prefill * busy - saved;
    let token = c.decode_per_layer.as_nanos() as f64 * busy;
    Node {
        slot: i,
        zone: slot.zone,
        first: c.first_layer,
        exit,
        prompt,
        token,
        total: (prompt + f64::from(req.output_tokens) * token).max(f64::MIN_POSITIVE),
    }
}

fn chain(
    fleet: &Fleet,
    nodes: &[Node],
    path: &Path,
    req: &ChainRequest<'_>,
    links: &RequestLinks<'_>,
    (model, version): (&ModelId, &String),
) -> Chain {
    let mut time = LinkTime::default();
    let mut add = |link: LinkTime| {
        time.prompt += link.prompt;
        time.token += link.token;
    };
    let picked: Vec<&Node> = path.nodes.iter().map(|i| &nodes[*i]).collect();
    let (head, last) = (picked[0], picked[picked.len() - 1]);
    add(links.enter(head.zone));
    add(links.leave(last.zone, head.zone));
    let mut hops = Vec::with_capacity(picked.len());
    let mut layer = req.first_layer;
    for (k, node) in picked.iter().enumerate() {
        if k > 0 {
            add(links.between(picked[k - 1], node));
        }
        let layers = f64::from(node.exit - layer);
        add(LinkTime {
            prompt: layers * node.prompt,
            token: layers * node.token,
            delay: 0.0,
        });
        let c = &fleet.slot(node.slot).candidate;
        hops.push(ChainHop {
            target: c.target.clone(),
            zone: c.zone.clone(),
            first_layer: layer,
            end_layer: node.exit,
        });
        layer = node.exit;
    }
    Chain {
        model: model.clone(),
        version: version.clone(),
        hops,
        first_token: Duration::from_nanos(time.prompt as u64),
        per_token: Duration::from_nanos(time.token as u64),
        kv_tokens: req.kv_tokens(),
    }
}

/// Why there is no cover: the mildest cause over all versions.
fn refusal(fleet: &Fleet, req: &ChainRequest<'_>, at: Moment) -> NoChain {
    let mut known = false;
    let mut worst = NoChain {
        reason: RefusalReason::NoTarget,
        uncovered: None,
    };
    for (_, groups) in fleet.versions(req.model, req.version) {
        known = true;
        let no_chain = cause(fleet, groups, req, at);
        if worst.uncovered.is_none() || no_chain.reason != RefusalReason::NoTarget {
            worst = no_chain;
        }
    }
    if !known {
        worst.reason = RefusalReason::UnknownModel;
    }
    worst
}

fn cause(fleet: &Fleet, groups: &[Group], req: &ChainRequest<'_>, at: Moment) -> NoChain {
    let ready = |u| !matches!(u, Usable::NotReady | Usable::Excluded);
    let below_limit = |u| matches!(u, Usable::Yes | Usable::NoKvMemory);
    if let Some(layer) = sample::gap(fleet, groups, req, ready, at) {
        return NoChain {
            reason: RefusalReason::NoTarget,
            uncovered: Some(layer),
        };
    }
    let full = sample::gap(fleet, groups, req, below_limit, at);
    let short = sample::gap(fleet, groups, req, |u| u == Usable::Yes, at);
    NoChain {
        reason: if full.is_some() {
            RefusalReason::NoCapacity
        } else {
            RefusalReason::KvExhausted
        },
        uncovered: full.or(short),
    }
}

#[cfg(test)]
mod tests;
