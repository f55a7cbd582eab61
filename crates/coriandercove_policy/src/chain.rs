//! Choice of the chain of stages for a request.
//!
//! The choice minimises the expected time of the whole request. It is a shortest-path search over
//! layer boundaries on a seeded random sample of the usable targets. The expected compute time of a
//! target grows with its queue, so that load spreads evenly over the targets of a stage.

mod build;
mod fleet;
mod links;
mod path;
mod refusal;
mod sample;
mod types;
mod view;

use std::time::Duration;

use coriandercove_base::{Time, ZoneId, rng::Rng};

use crate::explain::ChainExplanation;
use build::{build_chain, build_node, build_nodes};
use fleet::{Fleet, Usable};
use links::{RequestLinks, ZoneLinks};
use path::Solver;
use refusal::refusal;

pub use types::{
    Candidate, Chain, ChainHop, ChainRequest, LinkCost, LoadReport, NoChain, PlannerConfig,
    TargetState,
};

/// Factor by which a new chain must be faster before a running stream moves to it. Smaller gains do
/// not justify the risk that the estimates are wrong and the stream moves back.
const MOVE_FACTOR: f64 = 1.5;

/// Chooses chains for one entry from the known targets, their load, the link costs and the entry's
/// own outstanding work.
#[derive(Debug, Default)]
pub struct Planner {
    cfg: PlannerConfig,
    fleet: Fleet,
    links: ZoneLinks,
    solver: Solver,
}

impl Planner {
    /// Creates a planner without targets.
    #[must_use]
    pub fn new(cfg: PlannerConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Adds a target or replaces its description. Its outstanding work, reported load and
    /// slow-start weight are kept.
    pub fn upsert(&mut self, candidate: Candidate) {
        self.fleet.upsert(candidate, &mut self.links);
    }

    /// Removes a target. Its outstanding work is still counted until it has finished.
    pub fn remove(&mut self, target: &str) {
        if let Some(i) = self.fleet.index(target) {
            self.links
                .overrides
                .retain(|(from, to), _| *from != i && *to != i);
        }
        self.fleet.remove(target);
    }

    /// Returns the description of a target as last given to [`Planner::upsert`], with its current
    /// state.
    #[must_use]
    pub fn candidate(&self, target: &str) -> Option<&Candidate> {
        self.fleet.candidate(target)
    }

    /// Returns the sequences in progress at a target: this entry's own, and those of other entries
    /// as last reported.
    #[must_use]
    pub fn outstanding(&self, target: &str, now: Time) -> u32 {
        self.fleet.index(target).map_or(0, |i| {
            self.fleet
                .slot(i)
                .outstanding(self.fleet.load_context(now, &self.cfg))
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

    /// Applies a load report of a target.
    pub fn report_load(&mut self, target: &str, now: Time, load: LoadReport) {
        self.fleet.report(target, now, load, &self.cfg);
    }

    /// Sets the cost of the links from one zone to another, in this direction only.
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

    /// Runs [`Planner::choose`] and explains the result: the targets considered, and why the others
    /// were not chosen.
    pub fn explain(
        &mut self,
        req: &ChainRequest<'_>,
        now: Time,
        rng: &mut Rng,
    ) -> ChainExplanation {
        let (result, sampled) = self.plan(req, now, rng);
        let cx = self.fleet.load_context(now, &self.cfg);
        view::explanation(&self.fleet, req, result, &sampled, cx)
    }

    /// Adds the chain to the entry's own outstanding work.
    pub fn begin(&mut self, chain: &Chain) {
        self.fleet.begin(chain);
    }

    /// Removes the chain from the entry's own outstanding work. Called once for each chain passed
    /// to [`Planner::begin`].
    pub fn finish(&mut self, chain: &Chain) {
        self.fleet.finish(chain);
    }

    /// Returns the expected time between tokens of a running chain under the current load and link
    /// costs, or `None` if one of its targets is unknown. [`is_move_worthwhile`] takes it to decide
    /// whether to replace the chain after a link has degraded.
    #[must_use]
    pub fn per_token(&self, chain: &Chain, req: &ChainRequest<'_>, now: Time) -> Option<Duration> {
        let cx = self.fleet.load_context(now, &self.cfg);
        let links = RequestLinks::new(&self.links, req, self.cfg.default_link);
        let nodes = chain.hops.iter().map(|hop| {
            let i = self.fleet.index(&hop.target)?;
            Some(build_node(&self.fleet, i, hop.end_layer, req, cx))
        });
        let nodes: Vec<_> = nodes.collect::<Option<_>>()?;
        let order: Vec<usize> = (0..nodes.len()).collect();
        let key = (&chain.model, &chain.version);
        let current = build_chain(&self.fleet, &nodes, &order, req, &links, key);
        Some(current.per_token)
    }

    /// Returns how many requests of a model this entry may have in progress. The layer with the
    /// least capacity decides: this entry may use what other entries leave free there, and at least
    /// an even share among the `entries` live entries.
    #[must_use]
    pub fn own_slots(&self, model: &str, entries: usize, now: Time) -> u32 {
        let cx = self.fleet.load_context(now, &self.cfg);
        let versions = self.fleet.versions(model, None);
        versions
            .map(|(_, groups)| self.fleet.own_slots(groups, entries, cx))
            .sum()
    }

    /// Returns the chosen chain, and the numbers of the targets that were considered.
    fn plan(
        &mut self,
        req: &ChainRequest<'_>,
        now: Time,
        rng: &mut Rng,
    ) -> (Result<Chain, NoChain>, Vec<u32>) {
        let cx = self.fleet.load_context(now, &self.cfg);
        let links = RequestLinks::new(&self.links, req, self.cfg.default_link);
        let mut best: Option<(f64, Chain)> = None;
        let mut sampled = Vec::new();
        for ((model, version), groups) in self.fleet.versions(req.model, req.version) {
            let picked =
                sample::sample_targets(&self.fleet, groups, req, &links, &self.cfg, cx, rng);
            let mut attempt = |picked: &[u32]| {
                let nodes = build_nodes(&self.fleet, picked, req, cx);
                let path =
                    self.solver
                        .solve(&nodes, req.first_layer, req.end_layer, req.ring, &links)?;
                let key = (model, version);
                let chain = build_chain(&self.fleet, &nodes, &path.nodes, req, &links, key);
                Some((path.total, chain))
            };
            let mut found = attempt(&picked);
            sampled.extend(picked);
            if found.is_none()
                && sample::first_uncovered_layer(&self.fleet, groups, req, |u| u == Usable::Yes, cx)
                    .is_none()
            {
                let usable = sample::all_usable(&self.fleet, groups, req, cx);
                found = attempt(&usable);
                sampled.extend(usable);
            }
            if let Some(found) = found
                && best.as_ref().is_none_or(|b| found.0 < b.0)
            {
                best = Some(found);
            }
        }
        let result = best
            .map(|(_, chain)| chain)
            .ok_or_else(|| refusal(&self.fleet, req, cx));
        (result, sampled)
    }
}

/// Whether a running stream should move to a new chain: staying takes over 1.5 times as long for
/// the remaining tokens as the new chain, whose prefill is included. `per_token` is the expected
/// time between tokens of the present chain.
#[must_use]
pub fn is_move_worthwhile(per_token: Duration, new: &Chain, tokens_left: u32) -> bool {
    let time_on_current = per_token.as_secs_f64() * f64::from(tokens_left);
    let time_on_new =
        new.first_token.as_secs_f64() + new.per_token.as_secs_f64() * f64::from(tokens_left);
    time_on_current > MOVE_FACTOR * time_on_new
}

impl ChainRequest<'_> {
    /// Returns the number of tokens for which the request reserves KV memory at every stage.
    #[must_use]
    pub fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_tokens)
    }

    /// Returns the number of prompt tokens expected in the prefix cache of a target.
    #[must_use]
    pub fn cached_tokens(&self, target: &str) -> u32 {
        let found = self.cached.binary_search_by(|(t, _)| (**t).cmp(target));
        found.map_or(0, |i| self.cached[i].1.min(self.prompt_tokens))
    }
}

#[cfg(test)]
mod tests;
