//! Choice of the chain of stages for a request.
//!
//! The choice minimises the expected time of the whole request: a shortest path over layer
//! boundaries through a seeded sample of the usable targets. The compute time of a target grows
//! with its queue, so that stages are loaded evenly.

mod build;
mod fleet;
mod links;
mod path;
mod refuse;
mod sample;
mod types;
mod view;

use std::time::Duration;

use coriandercove_base::{Time, ZoneId, rng::Rng};

use crate::explain::ChainExplanation;
use build::{chain, node, nodes};
use fleet::{Fleet, Usable};
use links::{RequestLinks, ZoneLinks};
use path::Solver;
use refuse::refusal;

pub use types::{
    Candidate, Chain, ChainHop, ChainRequest, LinkCost, LoadReport, NoChain, PlannerConfig,
    TargetState,
};

/// Gain from which a running stream moves. Smaller gains do not pay for the risk that the
/// estimates are wrong and the stream moves back.
const MOVE_FACTOR: f64 = 1.5;

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
    /// An ejected target gets [`TargetState::Ejected`] instead.
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

    /// Expected time between tokens of a running chain under the present load and links;
    /// `None` if one of its targets is unknown. With [`is_move_worthwhile`] it decides on a
    /// replacement after a link has degraded.
    #[must_use]
    pub fn per_token(&self, chain: &Chain, req: &ChainRequest<'_>, now: Time) -> Option<Duration> {
        let at = self.fleet.moment(now, &self.cfg);
        let links = RequestLinks::new(&self.links, req, self.cfg.default_link);
        let nodes = chain.hops.iter().map(|hop| {
            let i = self.fleet.index(&hop.target)?;
            Some(node(&self.fleet, i, hop.end_layer, req, at))
        });
        let nodes: Vec<_> = nodes.collect::<Option<_>>()?;
        let order: Vec<usize> = (0..nodes.len()).collect();
        let key = (&chain.model, &chain.version);
        let again = build::chain(&self.fleet, &nodes, &order, req, &links, key);
        Some(again.per_token)
    }

    /// Requests of a model that this entry may have in progress, limited by the scarcest layer:
    /// what other entries leave free, and at least an even part among `entries` live ones.
    #[must_use]
    pub fn own_slots(&self, model: &str, entries: usize, now: Time) -> u32 {
        let at = self.fleet.moment(now, &self.cfg);
        let versions = self.fleet.versions(model, None);
        versions
            .map(|(_, groups)| self.fleet.own_slots(groups, entries, at))
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
                let key = (model, version);
                let chain = chain(&self.fleet, &nodes, &path.nodes, req, &links, key);
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

/// Whether a running stream should move to a new chain: the rest of its answer comes sooner by
/// the hysteresis factor of links, the prefill on the new chain included.
#[must_use]
pub fn is_move_worthwhile(per_token: Duration, new: &Chain, tokens_left: u32) -> bool {
    let stay = per_token.as_secs_f64() * f64::from(tokens_left);
    let go = new.first_token.as_secs_f64() + new.per_token.as_secs_f64() * f64::from(tokens_left);
    stay > MOVE_FACTOR * go
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

#[cfg(test)]
mod tests;
