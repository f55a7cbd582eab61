//! The targets that a planner knows, with their load and outstanding work.

use std::collections::HashMap;
use std::time::Duration;

use coriandercove_base::{Layer, ModelId, SortedMap, TargetId, Time};

use super::links::ZoneLinks;
use super::types::{Candidate, Chain, ChainRequest, LoadReport, PlannerConfig, TargetState};

/// A target with its load.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) candidate: Candidate,
    pub(super) zone: u16,
    /// From slow start; above 0, at most 1.
    pub(super) weight: f64,
    /// False once removed; the slot stays until its outstanding work has ended.
    present: bool,
    own: u32,
    own_kv: u64,
    /// Reported sequences of other entries, averaged over reports.
    others: f64,
    /// Own sequences, averaged like `others`.
    own_at_reports: f64,
    others_kv: u64,
    reported_at: Option<Time>,
}

/// Whether a target can take a request, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Usable {
    Yes,
    NotReady,
    Excluded,
    AtLimit,
    NoKvMemory,
}

impl Slot {
    fn new(candidate: Candidate, zone: u16) -> Self {
        Self {
            candidate,
            zone,
            weight: 1.0,
            present: true,
            own: 0,
            own_kv: 0,
            others: 0.0,
            own_at_reports: 0.0,
            others_kv: 0,
            reported_at: None,
        }
    }

    fn is_report_fresh(&self, at: Moment) -> bool {
        self.reported_at.is_some_and(|t| at.now < t + at.ttl)
    }

    /// Sequences in progress: own ones exactly, those of other entries as last reported.
    pub(super) fn outstanding(&self, at: Moment) -> u32 {
        let others = if self.is_report_fresh(at) {
            self.others
        } else {
            0.0
        };
        self.own + others.round() as u32
    }

    fn kv_in_use(&self, at: Moment) -> u64 {
        let others = if self.is_report_fresh(at) {
            self.others_kv
        } else {
            0
        };
        self.own_kv + others
    }

    /// Queue in units of full batches, which is what lengthens an iteration. Slow start makes
    /// the batch appear smaller.
    ///
    /// Other entries see the same reports and react alike, so the change of the own work since
    /// the reports is taken `peers` times for them. Without this term all entries move their
    /// work to the same target at once and overshoot.
    pub(super) fn queue(&self, at: Moment) -> f64 {
        let mut work = f64::from(self.own);
        if self.is_report_fresh(at) {
            let change = f64::from(self.own) - self.own_at_reports;
            work += (self.others + at.peers * change).max(0.0);
        }
        work / (f64::from(self.candidate.batch_slots.max(1)) * self.weight)
    }

    /// Relative capacity, used as the sampling weight.
    pub(super) fn speed(&self) -> f64 {
        let nanos = self.candidate.decode_per_layer.as_nanos().max(1) as f64;
        f64::from(self.candidate.batch_slots.max(1)) / nanos
    }

    fn limit(&self) -> u32 {
        let limit = f64::from(self.candidate.concurrency_limit) * self.weight;
        (limit.ceil() as u32).max(1)
    }

    pub(super) fn usable(&self, req: &ChainRequest<'_>, at: Moment) -> Usable {
        let c = &self.candidate;
        let kv = self.kv_in_use(at) + req.kv_tokens();
        if !self.present || c.state != TargetState::Ready {
            Usable::NotReady
        } else if req.exclude.contains(&c.target) {
            Usable::Excluded
        } else if self.outstanding(at) >= self.limit() {
            Usable::AtLimit
        } else if kv > c.kv_capacity_tokens {
            Usable::NoKvMemory
        } else {
            Usable::Yes
        }
    }

    fn report(&mut self, now: Time, load: LoadReport, smoothing: Duration) {
        let others = load.sequences.saturating_sub(self.own);
        // The report does not say whose tokens it counts, so they are split by sequences.
        let share = f64::from(others) / f64::from(load.sequences.max(1));
        self.others_kv = (load.kv_tokens as f64 * share) as u64;
        let part = self.reported_at.map_or(1.0, |before| {
            let step = now.saturating_sub(before).as_secs_f64();
            1.0 - (-step / smoothing.as_secs_f64().max(1e-3)).exp()
        });
        self.others += part * (f64::from(others) - self.others);
        self.own_at_reports += part * (f64::from(self.own) - self.own_at_reports);
        self.reported_at = Some(now);
    }
}

/// Targets of one model version with the same layers in the same zone.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) first_layer: Layer,
    pub(super) end_layer: Layer,
    pub(super) zone: u16,
    pub(super) members: Vec<u32>,
    /// Highest speed among the members, for sampling by rejection.
    pub(super) max_speed: f64,
}

/// All known targets, indexed by model version and group.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    slots: Vec<Slot>,
    free: Vec<u32>,
    by_name: HashMap<TargetId, u32>,
    models: SortedMap<(ModelId, String), Vec<Group>>,
    /// Sum of the own sequences over all targets.
    own: u32,
    /// Sum of the reported sequences of other entries over all targets.
    others: f64,
}

/// Bound of the extrapolation to other entries. Above it, an entry has about one sequence for
/// each target, whose change says little about the others.
const MAX_PEERS: f64 = 16.0;

impl Fleet {
    pub(super) fn slot(&self, i: u32) -> &Slot {
        &self.slots[i as usize]
    }

    pub(super) fn index(&self, target: &str) -> Option<u32> {
        self.by_name.get(target).copied()
    }

    fn slot_mut(&mut self, target: &str) -> Option<&mut Slot> {
        let i = self.index(target)?;
        Some(&mut self.slots[i as usize])
    }

    pub(super) fn candidate(&self, target: &str) -> Option<&Candidate> {
        let slot = self.slot(self.index(target)?);
        slot.present.then_some(&slot.candidate)
    }

    pub(super) fn upsert(&mut self, candidate: Candidate, links: &mut ZoneLinks) {
        let zone = links.intern(&candidate.zone);
        let i = match self.index(&candidate.target) {
            Some(i) => {
                self.unlink(i);
                let slot = &mut self.slots[i as usize];
                slot.candidate = candidate;
                slot.zone = zone;
                slot.present = true;
                i
            }
            None => self.add(Slot::new(candidate, zone)),
        };
        self.link(i);
    }

    fn add(&mut self, slot: Slot) -> u32 {
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

    fn link(&mut self, i: u32) {
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

    fn unlink(&mut self, i: u32) {
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
            self.unlink(i);
            self.slots[i as usize].present = false;
            self.drop_if_idle(i);
        }
    }

    fn drop_if_idle(&mut self, i: u32) {
        let slot = &self.slots[i as usize];
        if !slot.present && slot.own == 0 {
            self.others -= slot.others;
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
        let before = slot.others;
        slot.report(now, load, cfg.report_smoothing);
        let change = slot.others - before;
        self.others += change;
    }

    /// Work of the other entries for each own sequence.
    fn peers(&self) -> f64 {
        (self.others / f64::from(self.own.max(1))).clamp(0.0, MAX_PEERS)
    }

    /// The time with what the load estimates need.
    pub(super) fn moment(&self, now: Time, cfg: &PlannerConfig) -> Moment {
        Moment {
            now,
            ttl: cfg.report_ttl,
            peers: self.peers(),
        }
    }

    pub(super) fn begin(&mut self, chain: &Chain) {
        for hop in &chain.hops {
            if let Some(i) = self.index(&hop.target) {
                let slot = &mut self.slots[i as usize];
                slot.own += 1;
                slot.own_kv += chain.kv_tokens;
                self.own += 1;
            }
        }
    }

    pub(super) fn finish(&mut self, chain: &Chain) {
        for hop in &chain.hops {
            let Some(i) = self.index(&hop.target) else {
                continue;
            };
            let slot = &mut self.slots[i as usize];
            if slot.own > 0 {
                slot.own -= 1;
                self.own -= 1;
            }
            slot.own_kv = slot.own_kv.saturating_sub(chain.kv_tokens);
            self.drop_if_idle(i);
        }
    }

    /// Groups of each version of a model, or of one version.
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

    /// Sequences that this entry may have in progress on one version, at the scarcest layer.
    pub(super) fn own_slots(&self, groups: &[Group], entries: usize, at: Moment) -> u32 {
        let mut edges: Vec<Layer> = groups
            .iter()
            .flat_map(|g| [g.first_layer, g.end_layer])
            .collect();
        edges.sort_unstable();
        edges.dedup();
        let starts = &edges[..edges.len().saturating_sub(1)];
        let at_layer = |layer: &Layer| {
            let held = groups
                .iter()
                .filter(|g| g.first_layer <= *layer && *layer < g.end_layer);
            let slots = held.flat_map(|g| &g.members).map(|i| self.slot(*i));
            let ready = slots.filter(|s| s.candidate.state == TargetState::Ready);
            let (limit, others) = ready.fold((0, 0), |(limit, others), s| {
                (limit + s.limit(), others + s.outstanding(at) - s.own)
            });
            let even = limit.div_ceil(entries.max(1) as u32);
            even.max(limit.saturating_sub(others))
        };
        starts.iter().map(at_layer).min().unwrap_or(0)
    }
}

/// The time now, with what the load estimates need.
#[derive(Debug, Clone, Copy)]
pub(super) struct Moment {
    now: Time,
    /// Time to live of load reports.
    ttl: Time,
    /// Work of the other entries for each own sequence.
    peers: f64,
}
