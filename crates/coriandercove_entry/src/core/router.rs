//! Known targets and their addresses, on top of the chain planner.

use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::rng::Rng;
use coriandercove_base::{ModelId, NodeId, SortedMap, TargetId, Time, ZoneId};
use coriandercove_config::{Config, Pipeline, Target, TargetKind};
use coriandercove_peer::Address;
use coriandercove_policy::RefusalReason;
use coriandercove_policy::chain::{
    Candidate, Chain, ChainRequest, LinkCost, LoadReport, NoChain, Planner, PlannerConfig,
    TargetState,
};
use coriandercove_target::EngineInfo;

use super::fault::{self, Fault};
use super::stream::ChainNeed;

/// Compute time of a layer on an accelerator for which the configuration gives none.
const DEFAULT_DECODE_PER_LAYER: Duration = Duration::from_micros(500);
const DEFAULT_PREFILL_PER_LAYER: Duration = Duration::from_micros(10);
/// Sequences that one iteration serves together.
const DEFAULT_BATCH_SLOTS: u32 = 32;

/// What membership says of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Member {
    /// It takes work.
    Ready,
    /// It takes no new work.
    Leaving,
    /// It is unreachable or dead.
    Down,
}

/// What an engine reports of itself, as far as the choice of chains needs it.
#[derive(Debug, Clone, Copy)]
struct EngineOffer {
    /// Sequences that one iteration takes; at least 1.
    max_batch: u32,
    /// Tokens for which KV state fits in memory.
    kv_capacity_tokens: u64,
}

/// Targets by what they serve.
pub struct Router {
    zone: ZoneId,
    planner: Planner,
    models: SortedMap<ModelId, Pipeline>,
    addresses: SortedMap<TargetId, Address>,
    /// Targets of each plain service.
    services: SortedMap<String, Vec<TargetId>>,
    /// Targets that get no new work until the time given.
    down: SortedMap<TargetId, Time>,
    /// Targets that membership does not call ready.
    members: SortedMap<TargetId, Member>,
    /// What engines report of themselves.
    engines: SortedMap<TargetId, EngineOffer>,
    /// Live entries, this one included.
    entries: usize,
    /// Turns through the replicas of a service.
    turn: usize,
}

impl Router {
    /// A router without targets, for an entry in `zone`.
    #[must_use]
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            planner: Planner::new(PlannerConfig::default()),
            models: SortedMap::new(),
            addresses: SortedMap::new(),
            services: SortedMap::new(),
            down: SortedMap::new(),
            members: SortedMap::new(),
            engines: SortedMap::new(),
            entries: 1,
            turn: 0,
        }
    }

    /// Replaces models, targets and links by those of a configuration.
    pub fn set_config(&mut self, config: &Config) {
        let old: Vec<TargetId> = self.addresses.keys().cloned().collect();
        for target in old.iter().filter(|t| config.target(t).is_none()) {
            self.planner.remove(target);
            self.addresses.remove(target);
            self.engines.remove(target);
        }
        self.models = config
            .pipelines
            .iter()
            .map(|p| (p.model.clone(), p.clone()))
            .collect();
        self.services = SortedMap::new();
        for target in &config.targets {
            self.add_target(config, target);
        }
        let targets: Vec<TargetId> = self.addresses.keys().cloned().collect();
        for target in &targets {
            // A candidate that was replaced is ready by default.
            self.refresh(target);
        }
        for link in &config.links {
            let cost = LinkCost {
                delay: link.delay,
                bandwidth: link.bytes_per_second,
            };
            self.planner.set_zone_link(&link.a, &link.b, cost);
            self.planner.set_zone_link(&link.b, &link.a, cost);
        }
    }

    fn add_target(&mut self, config: &Config, target: &Target) {
        let address = Address {
            node: target.id.clone(),
            addr: target.peer,
        };
        self.addresses.insert(target.id.clone(), address);
        match &target.kind {
            TargetKind::Service { service } => {
                let targets = self.services.get_or_insert_with(service.clone(), Vec::new);
                targets.push(target.id.clone());
            }
            TargetKind::Engine { accelerator } => {
                if let Some(candidate) = candidate(config, target, accelerator) {
                    self.planner.upsert(self.with_engine(candidate));
                    // What is known of the target outlives a new configuration.
                    self.refresh(&target.id);
                }
            }
        }
    }

    /// Takes in what an engine reports of itself. Without the right batch size, the planner
    /// misjudges how much a queue slows a target down.
    pub fn set_engine(&mut self, target: &TargetId, info: &EngineInfo) {
        let offer = EngineOffer {
            max_batch: info.max_batch.max(1),
            kv_capacity_tokens: info.kv_capacity_tokens,
        };
        self.engines.insert(target.clone(), offer);
        if let Some(candidate) = self.planner.candidate(target).cloned() {
            self.planner.upsert(self.with_engine(candidate));
            self.refresh(target);
        }
    }

    fn with_engine(&self, mut candidate: Candidate) -> Candidate {
        if let Some(offer) = self.engines.get(&candidate.target) {
            candidate.batch_slots = offer.max_batch.min(candidate.concurrency_limit);
            candidate.kv_capacity_tokens = offer.kv_capacity_tokens;
        }
        candidate
    }

    /// Sets the number of live entries, this one included.
    pub const fn set_entries(&mut self, entries: usize) {
        self.entries = if entries == 0 { 1 } else { entries };
    }

    /// Whether the model is configured.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        self.models.contains(model)
    }

    /// Requests of each model that this entry may have in progress.
    #[must_use]
    pub fn slots(&self, now: Time) -> Vec<(ModelId, u32)> {
        let share = |model: &ModelId| self.planner.own_slots(model, self.entries, now);
        self.models.keys().map(|m| (m.clone(), share(m))).collect()
    }

    /// Expected time until the first token of a prompt on an idle chain.
    #[must_use]
    pub fn first_token_estimate(&self, model: &str, prompt_tokens: usize) -> Duration {
        let Some(pipeline) = self.models.get(model) else {
            return Duration::ZERO;
        };
        let prefill = pipeline
            .compute
            .iter()
            .map(|c| u64::from(c.prefill_ns))
            .min()
            .unwrap_or(0);
        Duration::from_nanos(prefill * u64::from(pipeline.layers) * prompt_tokens as u64)
    }

    /// Chooses a chain for all layers.
    ///
    /// # Errors
    /// [`NoChain`] if no usable targets cover all layers.
    pub fn choose(&mut self, need: &ChainNeed, now: Time, rng: &mut Rng) -> Result<Chain, NoChain> {
        let zone = self.zone.clone();
        let layers = self.models.get(&need.model).map_or(0, |p| p.layers);
        self.choose_range(need, (0, layers), (&zone, &zone), true, now, rng)
    }

    /// Chooses replacements for the stage at index `lost` of a chain.
    ///
    /// # Errors
    /// [`NoChain`] if no usable targets cover its layers.
    pub fn choose_part(
        &mut self,
        need: &ChainNeed,
        old: &Chain,
        lost: usize,
        now: Time,
        rng: &mut Rng,
    ) -> Result<Chain, NoChain> {
        let hop = &old.hops[lost];
        let n = old.hops.len();
        let from = old.hops[(lost + n - 1) % n].zone.clone();
        let to = old.hops[(lost + 1) % n].zone.clone();
        self.choose_range(
            need,
            (hop.first_layer, hop.end_layer),
            (&from, &to),
            false,
            now,
            rng,
        )
    }

    fn choose_range(
        &mut self,
        need: &ChainNeed,
        (first_layer, end_layer): (u16, u16),
        (from, to): (&ZoneId, &ZoneId),
        ring: bool,
        now: Time,
        rng: &mut Rng,
    ) -> Result<Chain, NoChain> {
        let Some(pipeline) = self.models.get(&need.model) else {
            return Err(NoChain {
                reason: RefusalReason::UnknownModel,
                uncovered: None,
            });
        };
        let req = ChainRequest {
            model: &need.model,
            version: Some(&pipeline.version),
            first_layer,
            end_layer,
            from,
            to,
            ring,
            prompt_tokens: need.prompt_tokens,
            output_tokens: need.max_tokens,
            max_tokens: need.max_tokens,
            activation_bytes: u32::try_from(pipeline.activation_bytes()).unwrap_or(u32::MAX),
            exclude: &need.exclude,
            cached: &[],
        };
        self.planner.choose(&req, now, rng)
    }

    /// The next replica of a plain service, in turn, other than `exclude`.
    pub fn choose_replica(&mut self, service: &str, exclude: &[TargetId]) -> Option<Address> {
        let targets = self.services.get(service)?;
        self.turn = self.turn.wrapping_add(1);
        let usable = |t: &&TargetId| !exclude.contains(t) && self.state(t) == TargetState::Ready;
        let n = targets.len();
        let in_turn = (0..n).map(|i| &targets[(self.turn + i) % n]);
        in_turn
            .into_iter()
            .find(usable)
            .and_then(|t| self.addresses.get(t))
            .cloned()
    }

    /// Counts a chain as own outstanding work.
    pub fn begin(&mut self, chain: &Chain) {
        self.planner.begin(chain);
    }

    /// Ends what [`Router::begin`] counted.
    pub fn finish(&mut self, chain: &Chain) {
        self.planner.finish(chain);
    }

    /// Where the agent of a target listens.
    #[must_use]
    pub fn address(&self, target: &str) -> Option<Address> {
        self.addresses.get(target).cloned()
    }

    /// Gives a target no new work until `until`.
    pub fn mark_down(&mut self, node: &NodeId, until: Time) {
        if self.addresses.contains(node) {
            self.down.insert(node.clone(), until);
            self.refresh(node);
        }
    }

    /// Whether a target is out of reach as far as this entry knows.
    #[must_use]
    pub fn is_down(&self, target: &TargetId) -> bool {
        self.state(target) == TargetState::Down
    }

    /// Takes in what membership says of a target.
    pub fn set_member(&mut self, node: &NodeId, member: Member) {
        if member == Member::Ready {
            self.members.remove(node);
            self.down.remove(node);
        } else {
            self.members.insert(node.clone(), member);
        }
        self.refresh(node);
    }

    fn state(&self, target: &TargetId) -> TargetState {
        let member = self.members.get(target);
        if self.down.contains(target) || member == Some(&Member::Down) {
            TargetState::Down
        } else if member == Some(&Member::Leaving) && !fault::is_on(Fault::UseLeaving) {
            TargetState::Leaving
        } else {
            TargetState::Ready
        }
    }

    /// Whether a target gets new work.
    #[must_use]
    pub fn is_ready(&self, target: &TargetId) -> bool {
        self.state(target) == TargetState::Ready
    }

    /// Takes a lagging load report in.
    pub fn report_load(&mut self, target: &str, now: Time, load: LoadReport) {
        self.planner.report_load(target, now, load);
    }

    fn refresh(&mut self, target: &TargetId) {
        let state = self.state(target);
        self.planner.set_state(target, state);
    }

    /// Gives targets work again whose time has passed.
    pub fn tick(&mut self, now: Time) {
        let mut back = Vec::new();
        self.down.retain(|target, until| {
            let still_down = now < *until;
            if !still_down {
                back.push(target.clone());
            }
            still_down
        });
        for target in back {
            self.refresh(&target);
        }
    }
}

/// The target as the planner sees it, from the placement that names it.
fn candidate(config: &Config, target: &Target, accelerator: &str) -> Option<Candidate> {
    let placement = config
        .placements
        .iter()
        .find(|p| p.targets.contains(&target.id))?;
    let compute = config
        .pipeline(&placement.model)
        .and_then(|p| p.compute_on(accelerator));
    let limit = config.limits.replica_concurrency;
    Some(Candidate {
        target: target.id.clone(),
        zone: target.zone.clone(),
        model: Arc::clone(&placement.model),
        version: placement.version.clone(),
        first_layer: placement.first_layer,
        end_layer: placement.end_layer,
        stops_early: false,
        prefill_per_layer: compute.map_or(DEFAULT_PREFILL_PER_LAYER, |c| {
            Duration::from_nanos(c.prefill_ns.into())
        }),
        decode_per_layer: compute.map_or(DEFAULT_DECODE_PER_LAYER, |c| {
            Duration::from_micros(c.decode_us.into())
        }),
        batch_slots: DEFAULT_BATCH_SLOTS.min(limit),
        concurrency_limit: limit,
        kv_capacity_tokens: u64::MAX,
        state: TargetState::Ready,
    })
}
