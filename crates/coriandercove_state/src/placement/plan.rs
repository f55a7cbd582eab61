//! Choosing the next orders from what is wanted and what is there.

use super::faults::PlacementFault;
use super::{
    Assignment, DesiredRange, Placement, PlacementAction, PlacementOrder, RangeId, Target,
};
use coriandercove_base::{Fence, TargetId, Time};

/// Why a target may be given a new assignment, best reason first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    /// It holds nothing.
    Empty,
    /// It holds something that the configuration does not want any more.
    Unwanted,
    /// It holds a range that has more replicas than it needs.
    Surplus,
}

impl Placement {
    /// Gives the orders that can be given now. The choice depends only on the configuration and
    /// the targets' confirmed state, so a new holder goes on where the earlier one stopped.
    pub(super) fn plan(&mut self, now: Time, fence: Fence) {
        let desired = std::mem::take(&mut self.desired);
        for range in &desired {
            self.plan_range(now, fence, &desired, range);
            self.plan_details(now, fence, range);
        }
        self.free_unwanted(now, fence, &desired);
        self.desired = desired;
    }

    fn plan_range(&mut self, now: Time, fence: Fence, all: &[DesiredRange], range: &DesiredRange) {
        let have = self.replicas(&range.assignment);
        let want = self.wanted(now, range, have);
        let id = &range.assignment.range;
        if have >= want {
            self.blocked.remove(id);
            return;
        }
        let loading = self.is_loading(now, id);
        if (loading || self.is_confirming(now)) && !self.faults.has(PlacementFault::LoadsTogether) {
            return;
        }
        let Some(target) = self.candidate(now, all, range, have) else {
            if have < range.min_replicas as usize {
                self.block(id, "no target is free to load it");
            }
            return;
        };
        if self.next_load > now {
            return;
        }
        self.blocked.remove(id);
        let rate = self.cfg.weight_bytes_per_s.max(1);
        let ms = range.weight_bytes.saturating_mul(1000) / rate;
        self.next_load = now + Time::from_millis(ms);
        self.counters.loads += 1;
        let order = PlacementOrder::Load(range.assignment.clone());
        self.order(now, fence, target, order);
    }

    /// Whether some target loads the range. One that is silent for a short time only counts too,
    /// because it goes on loading when it is heard again.
    fn is_loading(&self, now: Time, id: &RangeId) -> bool {
        let grace = self.cfg.order_timeout;
        self.targets
            .values()
            .filter(|t| t.gone_since.is_none_or(|since| now < since + grace))
            .any(|t| t.loads().is_some_and(|a| a.range == *id))
    }

    /// Whether a target that has not confirmed may be loading by an order of an earlier holder.
    fn is_confirming(&self, now: Time) -> bool {
        now < self.since + self.cfg.confirm_grace && self.available().any(|t| !t.confirmed)
    }

    fn available(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(|t| t.view.available)
    }

    /// Targets that certainly serve `assignment`.
    fn replicas(&self, assignment: &Assignment) -> usize {
        self.targets
            .values()
            .filter(|t| t.serves(assignment))
            .count()
    }

    /// Replicas wanted now: one more than there are after a time of high load.
    fn wanted(&mut self, now: Time, range: &DesiredRange, have: usize) -> usize {
        let min = range.min_replicas as usize;
        let id = &range.assignment.range;
        let load = self.mean_load(&range.assignment);
        if have < min || have >= range.max_replicas as usize || load < self.cfg.high_load {
            self.busy.remove(id);
            return min;
        }
        let since = *self.busy.get_or_insert_with(id.clone(), || now);
        if since + self.cfg.rebalance_after <= now {
            have + 1
        } else {
            min
        }
    }

    fn mean_load(&self, assignment: &Assignment) -> u8 {
        let loads: Vec<u32> = self
            .targets
            .values()
            .filter(|t| t.serves(assignment))
            .map(|t| u32::from(t.view.load))
            .collect();
        let count = u32::try_from(loads.len()).unwrap_or(u32::MAX).max(1);
        u8::try_from(loads.iter().sum::<u32>() / count).unwrap_or(u8::MAX)
    }

    /// The target that should load `range`: with the best source, in the zone with the fewest
    /// replicas, with the lowest load, first by name.
    fn candidate(
        &mut self,
        now: Time,
        all: &[DesiredRange],
        range: &DesiredRange,
        have: usize,
    ) -> Option<TargetId> {
        let below_min = have < range.min_replicas as usize;
        let mut kept = 0;
        let mut found: Vec<_> = self
            .targets
            .values()
            .filter(|t| t.is_free(now) && fits(t, range))
            .filter(|t| t.view.holds.as_ref() != Some(&range.assignment))
            .filter_map(|t| Some((t, self.source(all, t, below_min)?)))
            .filter(|(t, _)| {
                let may = self.may_take(all, t);
                kept += u64::from(!may);
                may
            })
            .map(|(t, source)| {
                let zone = self.replicas_in_zone(&range.assignment, &t.view.zone);
                (source, zone, t.view.load, t.view.target.clone())
            })
            .collect();
        self.counters.last_replica_kept += kept;
        found.sort();
        found.into_iter().next().map(|(.., target)| target)
    }

    fn replicas_in_zone(&self, assignment: &Assignment, zone: &str) -> usize {
        self.targets
            .values()
            .filter(|t| &*t.view.zone == zone && t.serves(assignment))
            .count()
    }

    fn source(&self, all: &[DesiredRange], target: &Target, below_min: bool) -> Option<Source> {
        let Some(held) = &target.view.holds else {
            return Some(Source::Empty);
        };
        let Some(other) = all.iter().find(|d| d.assignment == *held) else {
            return Some(Source::Unwanted);
        };
        let spare = self.replicas(held) > other.min_replicas as usize;
        let idle = below_min || self.mean_load(held) < self.cfg.low_load;
        (spare && idle).then_some(Source::Surplus)
    }

    /// Whether the target may lose what it holds: another target serves the same, or nothing
    /// needs it any more. An old version is needed until all ranges of the new one are served.
    pub(super) fn may_take(&self, all: &[DesiredRange], target: &Target) -> bool {
        let Some(held) = &target.view.holds else {
            return true;
        };
        let others = self.replicas(held) - usize::from(target.serves(held));
        if self.faults.has(PlacementFault::LastReplicaTaken) || others > 0 {
            return true;
        }
        let wanted = all.iter().any(|d| d.assignment == *held);
        !wanted
            && all
                .iter()
                .filter(|d| d.assignment.range.model == held.range.model)
                .all(|d| self.replicas(&d.assignment) > 0)
    }

    /// Adapters and roles, one order at a time for each target.
    fn plan_details(&mut self, now: Time, fence: Fence, range: &DesiredRange) {
        let mut roles = self.count_roles(range);
        let mut holders: Vec<TargetId> = self
            .targets
            .values()
            .filter(|t| t.serves(&range.assignment) && t.is_free(now))
            .map(|t| t.view.target.clone())
            .collect();
        holders.sort();
        for target in holders {
            let view = &self.targets[&target].view;
            let adapter = range.adapters.iter().find(|a| !view.adapters.contains(a));
            let order = match adapter {
                Some(adapter) => Some(PlacementOrder::LoadAdapter(adapter.clone())),
                None => change_role(range, &mut roles, &view.role).map(PlacementOrder::ChangeRole),
            };
            if let Some(order) = order {
                self.order(now, fence, target, order);
            }
        }
    }

    /// Replicas in each of the range's roles, those included that were told to change to it.
    fn count_roles(&self, range: &DesiredRange) -> Vec<usize> {
        let mut counts = vec![0; range.roles.len()];
        for target in self.targets.values() {
            let role = range.roles.iter().position(|(r, _)| r == target.role());
            if let Some(i) = role.filter(|_| target.serves(&range.assignment)) {
                counts[i] += 1;
            }
        }
        counts
    }

    /// Frees targets that hold what nothing wants, so that no old version goes on serving.
    fn free_unwanted(&mut self, now: Time, fence: Fence, all: &[DesiredRange]) {
        let mut names: Vec<TargetId> = self.targets.keys().cloned().collect();
        names.sort();
        for name in names {
            let target = &self.targets[&name];
            let unwanted = target
                .view
                .holds
                .as_ref()
                .is_some_and(|held| all.iter().all(|d| d.assignment != *held));
            if unwanted
                && target.is_free(now)
                && !self.some_range_short(all)
                && self.may_take(all, target)
            {
                self.order(now, fence, name, PlacementOrder::Unload);
            }
        }
    }

    /// Whether some range lacks replicas; then its own planning takes what is unwanted.
    fn some_range_short(&self, all: &[DesiredRange]) -> bool {
        all.iter()
            .any(|d| self.replicas(&d.assignment) < d.min_replicas as usize)
    }

    fn order(&mut self, now: Time, fence: Fence, target: TargetId, order: PlacementOrder) {
        self.counters.orders += 1;
        if let Some(known) = self.targets.get_mut(&target) {
            known.pending = Some((order.clone(), now));
        }
        self.give(target, fence, order);
    }

    /// Reports a range that cannot get its replicas, once until that changes.
    fn block(&mut self, range: &RangeId, reason: &str) {
        if self.blocked.get(range).is_none_or(|known| known != reason) {
            self.blocked.insert(range.clone(), reason.to_owned());
            self.out.push(PlacementAction::Blocked {
                range: range.clone(),
                reason: reason.to_owned(),
            });
        }
    }
}

impl Target {
    /// The role it has or has been told to take.
    fn role(&self) -> &str {
        match &self.pending {
            Some((PlacementOrder::ChangeRole(role), _)) => role,
            _ => &self.view.role,
        }
    }
}

fn fits(target: &Target, range: &DesiredRange) -> bool {
    range.accelerators.is_empty() || range.accelerators.contains(&target.view.accelerator)
}

/// The role that a replica should change to, if its own has enough replicas without it and
/// another one too few. Replicas above all wanted numbers take the last role.
fn change_role(range: &DesiredRange, counts: &mut [usize], current: &str) -> Option<String> {
    let own = range.roles.iter().position(|(role, _)| role == current);
    if own.is_some_and(|i| counts[i] <= range.roles[i].1 as usize) {
        return None;
    }
    let short = (0..counts.len()).find(|i| counts[*i] < range.roles[*i].1 as usize);
    let to = short.or(counts.len().checked_sub(1))?;
    if own == Some(to) {
        return None;
    }
    if let Some(own) = own {
        counts[own] -= 1;
    }
    counts[to] += 1;
    Some(range.roles[to].0.clone())
}
