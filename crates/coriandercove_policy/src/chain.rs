//! Choice of the chain of stages for a request.

mod types;

use coriandercove_base::{Time, ZoneId, rng::Rng};

use crate::explain::ChainExplanation;

pub use types::{
    Candidate, Chain, ChainHop, ChainRequest, LinkCost, LoadReport, NoChain, PlannerConfig,
    TargetState,
};

/// Known targets and links, and the own outstanding work, of one entry.
#[derive(Debug, Default)]
pub struct Planner {}

impl Planner {
    /// A planner without targets.
    #[must_use]
    pub fn new(cfg: PlannerConfig) -> Self {
        unimplemented!()
    }

    /// Adds a target or replaces what is known of it; outstanding work and load stay.
    pub fn upsert(&mut self, candidate: Candidate) {
        unimplemented!()
    }

    /// Forgets a target.
    pub fn remove(&mut self, target: &str) {
        unimplemented!()
    }

    /// The candidate as last given.
    #[must_use]
    pub fn candidate(&self, target: &str) -> Option<&Candidate> {
        unimplemented!()
    }

    /// Sets whether a target takes new work.
    pub fn set_state(&mut self, target: &str, state: TargetState) {
        unimplemented!()
    }

    /// Sets the share of its usual load that a target gets, above 0 and at most 1 (slow start).
    pub fn set_weight(&mut self, target: &str, weight: f64) {
        unimplemented!()
    }

    /// Takes a load report in.
    pub fn report_load(&mut self, target: &str, now: Time, load: LoadReport) {
        unimplemented!()
    }

    /// Sets the cost of the links between two zones in one direction.
    pub fn set_zone_link(&mut self, from: &ZoneId, to: &ZoneId, cost: LinkCost) {
        unimplemented!()
    }

    /// Sets or clears the cost of the link between two targets, which overrides that of their zones.
    pub fn set_target_link(&mut self, from: &str, to: &str, cost: Option<LinkCost>) {
        unimplemented!()
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
        unimplemented!()
    }

    /// Like [`Planner::choose`], and says what was considered and why others lost.
    pub fn explain(
        &mut self,
        req: &ChainRequest<'_>,
        now: Time,
        rng: &mut Rng,
    ) -> ChainExplanation {
        unimplemented!()
    }

    /// Counts the chain as own outstanding work.
    pub fn begin(&mut self, chain: &Chain) {
        unimplemented!()
    }

    /// Ends what [`Planner::begin`] counted; called once for each begun chain.
    pub fn finish(&mut self, chain: &Chain) {
        unimplemented!()
    }

    /// Requests that the targets can take at once, limited by the scarcest layer.
    #[must_use]
    pub fn concurrency(&self, model: &str) -> u32 {
        unimplemented!()
    }
}
