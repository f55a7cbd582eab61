//! Configured targets with their addresses and states, and the choice among them: chains for
//! streams by the chain planner, replicas of plain services in turn.

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
use super::stream::ChainRequirements;

/// Decode time per layer and token on accelerators for which the configuration has no figures.
const DEFAULT_DECODE_PER_LAYER: Duration = Duration::from_micros(500);
/// Prefill time per layer and token on accelerators for which the configuration has no figures.
const DEFAULT_PREFILL_PER_LAYER: Duration = Duration::from_micros(10);
/// Sequences that one iteration of an engine serves together, while the engine has not reported it.
const DEFAULT_BATCH_SLOTS: u32 = 32;

/// State of a target in membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The target accepts work.
    Ready,
    /// The target keeps its streams and accepts no new work.
    Leaving,
    /// The target is dead.
    Down,
}

/// The part of an engine's self-description that the choice of chains needs.
#[derive(Debug, Clone, Copy)]
struct EngineCapacity {
    /// Sequences that one iteration serves together; at least 1.
    max_batch: u32,
    /// Number of tokens whose KV state fits into the engine's memory.
    kv_capacity_tokens: u64,
}

/// Configured targets by what they serve, with their states.
pub struct Router {
    zone: ZoneId,
    planner: Planner,
    /// Pipelines by model.
    models: SortedMap<ModelId, Pipeline>,
    /// Link addresses of the agents of all configured targets.
    addresses: SortedMap<TargetId, Address>,
    /// Targets by plain service.
    services: SortedMap<String, Vec<TargetId>>,
    /// Targets whose link failed, with the time until which they get no new work.
    down: SortedMap<TargetId, Time>,
    /// Targets that are not ready in membership.
    members: SortedMap<TargetId, MemberState>,
    /// Capacities that engines reported.
    engines: SortedMap<TargetId, EngineCapacity>,
    /// Number of live entries, including this one; at least 1.
    entries: usize,
    /// Counter for the round robin over the replicas of all services.
    replica_cursor: usize,
}

impl Router {
    /// Returns a router without targets, for an entry in `zone`.
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
            replica_cursor: 0,
        }
    }

    /// Replaces models, targets, services and links by those of a configuration. The states and the
    /// capacities of targets that remain are kept.
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
            // `add_target` replaced the candidate by one in state `Ready`.
            self.update_state(target);
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
                    self.planner.upsert(self.with_engine_capacity(candidate));
                    // The new candidate must get the state that the target already has.
                    self.update_state(&target.id);
                }
            }
        }
    }

    /// Sets the capacity of a target from its engine's self-description. With a wrong batch size,
    /// the planner would misjudge how much a queue slows the target down.
    pub fn set_engine(&mut self, target: &TargetId, info: &EngineInfo) {
        let capacity = EngineCapacity {
            max_batch: info.max_batch.max(1),
            kv_capacity_tokens: info.kv_capacity_tokens,
        };
        self.engines.insert(target.clone(), capacity);
        if let Some(candidate) = self.planner.candidate(target).cloned() {
            self.planner.upsert(self.with_engine_capacity(candidate));
            self.update_state(target);
        }
    }

    /// Applies the capacity that the engine reported, if any, to a candidate.
    fn with_engine_capacity(&self, mut candidate: Candidate) -> Candidate {
        if let Some(capacity) = self.engines.get(&candidate.target) {
            candidate.batch_slots = capacity.max_batch.min(candidate.concurrency_limit);
            candidate.kv_capacity_tokens = capacity.kv_capacity_tokens;
        }
        candidate
    }

    /// Sets the number of live entries, including this one; 0 counts as 1.
    pub const fn set_entries(&mut self, entries: usize) {
        self.entries = if entries == 0 { 1 } else { entries };
    }

    /// Returns whether a model is configured.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        self.models.contains(model)
    }

    /// Returns for each model how many requests this entry may have in progress.
    #[must_use]
    pub fn slots(&self, now: Time) -> Vec<(ModelId, u32)> {
        let share = |model: &ModelId| self.planner.own_slots(model, self.entries, now);
        self.models.keys().map(|m| (m.clone(), share(m))).collect()
    }

    /// Estimates the time until the first token of a prompt on an idle chain, on the accelerator
    /// with the fastest prefill. Zero if the model or its compute times are not configured.
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

    /// Chooses a chain for all layers of the model, from this entry's zone and back.
    ///
    /// # Errors
    /// [`NoChain`] if no usable targets cover all layers.
    pub fn choose_chain(
        &mut self,
        requirements: &ChainRequirements,
        now: Time,
        rng: &mut Rng,
    ) -> Result<Chain, NoChain> {
        let zone = self.zone.clone();
        let layers = self.models.get(&requirements.model).map_or(0, |p| p.layers);
        self.choose_range(requirements, (0, layers), (&zone, &zone), true, now, rng)
    }

    /// Chooses one or more stages that replace the stage at index `lost` of a chain.
    ///
    /// # Errors
    /// [`NoChain`] if no usable targets cover its layers.
    pub fn choose_replacement(
        &mut self,
        requirements: &ChainRequirements,
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
            requirements,
            (hop.first_layer, hop.end_layer),
            (&from, &to),
            false,
            now,
            rng,
        )
    }

    /// Chooses stages for a range of layers between the zones `from` and `to`. `ring` is set if
    /// they form a whole chain.
    fn choose_range(
        &mut self,
        requirements: &ChainRequirements,
        (first_layer, end_layer): (u16, u16),
        (from, to): (&ZoneId, &ZoneId),
        ring: bool,
        now: Time,
        rng: &mut Rng,
    ) -> Result<Chain, NoChain> {
        let Some(pipeline) = self.models.get(&requirements.model) else {
            return Err(NoChain {
                reason: RefusalReason::UnknownModel,
                uncovered: None,
            });
        };
        let req = ChainRequest {
            model: &requirements.model,
            version: Some(&pipeline.version),
            first_layer,
            end_layer,
            from,
            to,
            ring,
            prompt_tokens: requirements.prompt_tokens,
            output_tokens: requirements.max_tokens,
            max_tokens: requirements.max_tokens,
            activation_bytes: u32::try_from(pipeline.activation_bytes()).unwrap_or(u32::MAX),
            exclude: &requirements.exclude,
            cached: &[],
        };
        self.planner.choose(&req, now, rng)
    }

    /// Returns the next ready replica of a plain service that is not in `exclude`, by round robin.
    pub fn choose_replica(&mut self, service: &str, exclude: &[TargetId]) -> Option<Address> {
        let targets = self.services.get(service)?;
        self.replica_cursor = self.replica_cursor.wrapping_add(1);
        let usable = |t: &&TargetId| !exclude.contains(t) && self.state(t) == TargetState::Ready;
        let n = targets.len();
        let in_turn = (0..n).map(|i| &targets[(self.replica_cursor + i) % n]);
        in_turn
            .into_iter()
            .find(usable)
            .and_then(|t| self.addresses.get(t))
            .cloned()
    }

    /// Counts a chain as outstanding work of this entry on its targets.
    pub fn begin(&mut self, chain: &Chain) {
        self.planner.begin(chain);
    }

    /// Removes a chain that [`Router::begin`] counted.
    pub fn finish(&mut self, chain: &Chain) {
        self.planner.finish(chain);
    }

    /// Returns the link address of a target's agent; `None` if the target is not configured.
    #[must_use]
    pub fn address(&self, target: &str) -> Option<Address> {
        self.addresses.get(target).cloned()
    }

    /// Marks a target as down until `until`, because its link failed. Ignores other nodes.
    pub fn mark_down(&mut self, node: &NodeId, until: Time) {
        if self.addresses.contains(node) {
            self.down.insert(node.clone(), until);
            self.update_state(node);
        }
    }

    /// Returns whether a target is down: its link failed recently or membership says that it is
    /// dead.
    #[must_use]
    pub fn is_down(&self, target: &TargetId) -> bool {
        self.state(target) == TargetState::Down
    }

    /// Sets the state of a target in membership. `Ready` also ends the effect of a failed link.
    pub fn set_member(&mut self, node: &NodeId, member: MemberState) {
        if member == MemberState::Ready {
            self.members.remove(node);
            self.down.remove(node);
        } else {
            self.members.insert(node.clone(), member);
        }
        self.update_state(node);
    }

    fn state(&self, target: &TargetId) -> TargetState {
        let member = self.members.get(target);
        if self.down.contains(target) || member == Some(&MemberState::Down) {
            TargetState::Down
        } else if member == Some(&MemberState::Leaving) && !fault::is_on(Fault::UseLeaving) {
            TargetState::Leaving
        } else {
            TargetState::Ready
        }
    }

    /// Returns whether a target gets new work.
    #[must_use]
    pub fn is_ready(&self, target: &TargetId) -> bool {
        self.state(target) == TargetState::Ready
    }

    /// Sets the load that a target reported, which lags behind the actual load.
    pub fn report_load(&mut self, target: &str, now: Time, load: LoadReport) {
        self.planner.report_load(target, now, load);
    }

    /// Passes the state of a target to the planner.
    fn update_state(&mut self, target: &TargetId) {
        let state = self.state(target);
        self.planner.set_state(target, state);
    }

    /// Makes targets usable again whose time from [`Router::mark_down`] has passed.
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
            self.update_state(&target);
        }
    }
}

/// Builds the planner's candidate for a target from the placement that contains it; `None` if there
/// is none.
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
