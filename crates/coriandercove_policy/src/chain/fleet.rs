//! The targets known to a planner, with their load and outstanding work.

use std::collections::HashMap;
use std::time::Duration;

use coriandercove_base::{Layer, ModelId, SortedMap, TargetId, Time};

use super::links::ZoneLinks;
use super::types::{Candidate, Chain, ChainRequest, LoadReport, PlannerConfig, TargetState};

/// A target with its reported load and this entry's own work at it.
#[derive(Debug)]
pub(super) struct TargetSlot {
    pub(super) candidate: Candidate,
    pub(super) zone: u16,
    /// Slow-start weight; above 0, at most 1.
    pub(super) weight: f64,
    /// False once the target is removed; the slot is kept until the own work at it has finished.
    is_present: bool,
    own_sequences: u32,
    own_kv_tokens: u64,
    /// Sequences of other entries, averaged over the load reports.
    other_sequences: f64,
    /// Own sequences at the times of the load reports, averaged like `other_sequences`.
    own_sequences_at_reports: f64,
    other_kv_tokens: u64,
    reported_at: Option<Time>,
}

/// Whether a target can take a request, or why it cannot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Usable {
    Yes,
    NotReady,
    Excluded,
    AtLimit,
    NoKvMemory,
}

impl TargetSlot {
    fn new(candidate: Candidate, zone: u16) -> Self {
        Self {
            candidate,
            zone,
            weight: 1.0,
            is_present: true,
            own_sequences: 0,
            own_kv_tokens: 0,
            other_sequences: 0.0,
            own_sequences_at_reports: 0.0,
            other_kv_tokens: 0,
            reported_at: None,
        }
    }

    fn is_report_fresh(&self, cx: LoadContext) -> bool {
        self.reported_at.is_some_and(|t| cx.now < t + cx.ttl)
    }

    /// Returns the sequences in progress: the exact number of own ones, plus those of other entries
    /// according to the load reports.
    pub(super) fn outstanding(&self, cx: LoadContext) -> u32 {
        let other_sequences = if self.is_report_fresh(cx) {
            self.other_sequences
        } else {
            0.0
        };
        self.own_sequences + other_sequences.round() as u32
    }

    fn kv_in_use(&self, cx: LoadContext) -> u64 {
        let other_kv_tokens = if self.is_report_fresh(cx) {
            self.other_kv_tokens
        } else {
            0
        };
        self.own_kv_tokens + other_kv_tokens
    }

    /// Returns the outstanding work in units of full batches, on which the time of an iteration
    /// depends. Slow start makes the batch appear smaller.
    ///
    /// Other entries get the same load reports and react in the same way. The change of this
    /// entry's own work since the reports is therefore added `peer_work_ratio` times on their
    /// behalf. Without this term, all entries move their work to the same target at once and
    /// overload it.
    pub(super) fn queue(&self, cx: LoadContext) -> f64 {
        let mut work = f64::from(self.own_sequences);
        if self.is_report_fresh(cx) {
            let change = f64::from(self.own_sequences) - self.own_sequences_at_reports;
            work += (self.other_sequences + cx.peer_work_ratio * change).max(0.0);
        }
        work / (f64::from(self.candidate.batch_slots.max(1)) * self.weight)
    }

    /// Returns the relative capacity, used as the sampling weight.
    pub(super) fn speed(&self) -> f64 {
        let nanos = self.candidate.decode_per_layer.as_nanos().max(1) as f64;
        f64::from(self.candidate.batch_slots.max(1)) / nanos
    }

    fn limit(&self) -> u32 {
        let limit = f64::from(self.candidate.concurrency_limit) * self.weight;
        (limit.ceil() as u32).max(1)
    }

    pub(super) fn usable(&self, req: &ChainRequest<'_>, cx: LoadContext) -> Usable {
        let c = &self.candidate;
        let kv = self.kv_in_use(cx) + req.kv_tokens();
        if !self.is_present || c.state != TargetState::Ready {
            Usable::NotReady
        } else if req.exclude.contains(&c.target) {
            Usable::Excluded
        } else if self.outstanding(cx) >= self.limit() {
            Usable::AtLimit
        } else if kv > c.kv_capacity_tokens {
            Usable::NoKvMemory
        } else {
            Usable::Yes
        }
    }

    fn report(&mut self, now: Time, load: LoadReport, smoothing: Duration) {
        let other_sequences = load.sequences.saturating_sub(self.own_sequences);
        // The report does not say which entry the tokens belong to, so they are divided in
        // proportion to the sequences.
        let share = f64::from(other_sequences) / f64::from(load.sequences.max(1));
        self.other_kv_tokens = (load.kv_tokens as f64 * share) as u64;
        let weight_of_report = self.reported_at.map_or(1.0, |before| {
            let step = now.saturating_sub(before).as_secs_f64();
            1.0 - (-step / smoothing.as_secs_f64().max(1e-3)).exp()
        });
        self.other_sequences +=
            weight_of_report * (f64::from(other_sequences) - self.other_sequences);
        self.own_sequences_at_reports +=
            weight_of_report * (f64::from(self.own_sequences) - self.own_sequences_at_reports);
        self.reported_at = Some(now);
    }
}

/// Targets of one model version that hold the same layers in the same zone.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) first_layer: Layer,
    pub(super) end_layer: Layer,
    pub(super) zone: u16,
    pub(super) members: Vec<u32>,
    /// Upper bound of the members' speeds, for rejection sampling.
    pub(super) max_speed: f64,
}

/// All known targets, indexed by model version and group.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    slots: Vec<TargetSlot>,
    /// Indices of unused slots.
    free: Vec<u32>,
    by_name: HashMap<TargetId, u32>,
    /// Groups by model and version.
    models: SortedMap<(ModelId, String), Vec<Group>>,
    /// Sum of the own sequences over all targets.
    own_sequences: u32,
    /// Sum of the reported sequences of other entries over all targets.
    other_sequences: f64,
}

/// Upper bound of the extrapolation from own work to that of other entries. Above it, an entry has
/// only about one sequence per target, and a change of that says little about other entries.
const MAX_PEER_WORK_RATIO: f64 = 16.0;

impl Fleet {
    pub(super) fn slot(&self, i: u32) -> &TargetSlot {
        &self.slots[i as usize]
    }

    pub(super) fn index(&self, target: &str) -> Option<u32> {
        self.by_name.get(target).copied()
    }

    fn slot_mut(&mut self, target: &str) -> Option<&mut TargetSlot> {
        let i = self.index(target)?;
        Some(&mut self.slots[i as usize])
    }

    pub(super) fn candidate(&self, target: &str) -> Option<&Candidate> {
        let slot = self.slot(self.index(target)?);
        slot.is_present.then_some(&slot.candidate)
    }

    pub(super) fn upsert(&mut self, candidate: Candidate, links: &mut ZoneLinks) {
        let zone = links.intern(&candidate.zone);
        let i = match self.index(&candidate.target) {
            Some(i) => {
                self.remove_from_group(i);
                let slot = &mut self.slots[i as usize];
                slot.candidate = candidate;
                slot.zone = zone;
                slot.is_present = true;
                i
            }
            None => self.add_slot(TargetSlot::new(candidate, zone)),
        };
        self.add_to_group(i);
    }

    fn add_slot(&mut self, slot: TargetSlot) -> u32 {
        let name = slot.candidate.target.clone();
        let i = if let Some(i) = self.free.pop() {
            self.slots[i as usize] = slot;
            i
        } else {
            self.slots.push(slot);
            (self.slots.len() - 1) as u32
        };
        self.by_name.insert(name, i);
        i
    }

    fn add_to_group(&mut self, i: u32) {
        let slot = &self.slots[i as usize];
        let c = &slot.candidate;
        let (first, end, zone) = (c.first_layer, c.end_layer, slot.zone);
        let speed = slot.speed();
        let key = (c.model.clone(), c.version.clone());
        let groups = self.models.get_or_insert_with(key, Vec::new);
        let same = |g: &&mut Group| (g.first_layer, g.end_layer, g.zone) == (first, end, zone);
        if let Some(group) = groups.iter_mut().find(same) {
            group.members.push(i);
            group.max_speed = group.max_speed.max(speed);
        } else {
            groups.push(Group {
                first_layer: first,
                end_layer: end,
                zone,
                members: vec![i],
                max_speed: speed,
            });
        }
    }

    fn remove_from_group(&mut self, i: u32) {
        let c = &self.slots[i as usize].candidate;
        let key = (c.model.clone(), c.version.clone());
        let Some(groups) = self.models.get_mut(&key) else {
            return;
        };
        for group in groups.iter_mut() {
            group.members.retain(|m| *m != i);
        }
        groups.retain(|g| !g.members.is_empty());
        if groups.is_empty() {
            self.models.remove(&key);
        }
    }

    pub(super) fn remove(&mut self, target: &str) {
        if let Some(i) = self.index(target) {
            self.remove_from_group(i);
            self.slots[i as usize].is_present = false;
            self.free_if_idle(i);
        }
    }

    fn free_if_idle(&mut self, i: u32) {
        let slot = &self.slots[i as usize];
        if !slot.is_present && slot.own_sequences == 0 {
            self.other_sequences -= slot.other_sequences;
            self.by_name.remove(&slot.candidate.target);
            self.free.push(i);
        }
    }

    pub(super) fn set_state(&mut self, target: &str, state: TargetState) {
        if let Some(slot) = self.slot_mut(target) {
            slot.candidate.state = state;
        }
    }

    pub(super) fn set_weight(&mut self, target: &str, weight: f64) {
        if let Some(slot) = self.slot_mut(target) {
            slot.weight = weight.clamp(0.01, 1.0);
        }
    }

    pub(super) fn report(
        &mut self,
        target: &str,
        now: Time,
        load: LoadReport,
        cfg: &PlannerConfig,
    ) {
        let Some(slot) = self.slot_mut(target) else {
            return;
        };
        let before = slot.other_sequences;
        slot.report(now, load, cfg.report_smoothing);
        let change = slot.other_sequences - before;
        self.other_sequences += change;
    }

    /// Returns the number of sequences of other entries per own sequence, at most
    /// [`MAX_PEER_WORK_RATIO`].
    fn peer_work_ratio(&self) -> f64 {
        (self.other_sequences / f64::from(self.own_sequences.max(1)))
            .clamp(0.0, MAX_PEER_WORK_RATIO)
    }

    /// Returns the inputs of the load estimates at `now`.
    pub(super) fn load_context(&self, now: Time, cfg: &PlannerConfig) -> LoadContext {
        LoadContext {
            now,
            ttl: cfg.report_ttl,
            peer_work_ratio: self.peer_work_ratio(),
        }
    }

    pub(super) fn begin(&mut self, chain: &Chain) {
        for hop in &chain.hops {
            if let Some(i) = self.index(&hop.target) {
                let slot = &mut self.slots[i as usize];
                slot.own_sequences += 1;
                slot.own_kv_tokens += chain.kv_tokens;
                self.own_sequences += 1;
            }
        }
    }

    pub(super) fn finish(&mut self, chain: &Chain) {
        for hop in &chain.hops {
            let Some(i) = self.index(&hop.target) else {
                continue;
            };
            let slot = &mut self.slots[i as usize];
            if slot.own_sequences > 0 {
                slot.own_sequences -= 1;
                self.own_sequences -= 1;
            }
            slot.own_kv_tokens = slot.own_kv_tokens.saturating_sub(chain.kv_tokens);
            self.free_if_idle(i);
        }
    }

    /// Returns the groups of each version of a model, or only those of `version`.
    pub(super) fn versions<'a>(
        &'a self,
        model: &'a str,
        version: Option<&'a str>,
    ) -> impl Iterator<Item = (&'a (ModelId, String), &'a [Group])> {
        self.models
            .iter()
            .filter(move |((m, v), _)| &**m == model && version.is_none_or(|want| want == v))
            .map(|(key, groups)| (key, groups.as_slice()))
    }

    /// Returns how many sequences this entry may have in progress on one version: the minimum over
    /// all layers.
    pub(super) fn own_slots(&self, groups: &[Group], entries: usize, cx: LoadContext) -> u32 {
        let mut boundaries: Vec<Layer> = groups
            .iter()
            .flat_map(|g| [g.first_layer, g.end_layer])
            .collect();
        boundaries.sort_unstable();
        boundaries.dedup();
        let starts = &boundaries[..boundaries.len().saturating_sub(1)];
        let at_layer = |layer: &Layer| {
            let holding = groups
                .iter()
                .filter(|g| g.first_layer <= *layer && *layer < g.end_layer);
            let slots = holding.flat_map(|g| &g.members).map(|i| self.slot(*i));
            let ready = slots.filter(|s| s.candidate.state == TargetState::Ready);
            let (limit, other_sequences) = ready.fold((0, 0), |(limit, other_sequences), s| {
                (
                    limit + s.limit(),
                    other_sequences + s.outstanding(cx) - s.own_sequences,
                )
            });
            let even = limit.div_ceil(entries.max(1) as u32);
            even.max(limit.saturating_sub(other_sequences))
        };
        starts.iter().map(at_layer).min().unwrap_or(0)
    }
}

/// Time and parameters for which load estimates are computed.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadContext {
    now: Time,
    /// Age from which a load report is ignored.
    ttl: Time,
    /// Sequences of other entries per own sequence.
    peer_work_ratio: f64,
}
