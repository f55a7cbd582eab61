//! Chooses the next orders from the desired ranges and the state of the targets.

use super::faults::PlacementFault;
use super::{
    Assignment, DesiredRange, Placement, PlacementAction, PlacementOrder, RangeId, Target,
};
use coriandercove_base::{Fence, TargetId, Time};

/// Why a target may get a new assignment, in order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReassignReason {
    /// The target holds nothing.
    Empty,
    /// The target holds an assignment that the configuration no longer contains.
    Unwanted,
    /// The target holds a range that has more replicas than its minimum.
    Surplus,
}

impl Placement {
    /// Sends the orders that are possible now. The choice depends only on the configuration and the
    /// targets' confirmed state, so a new holder continues where the earlier one stopped.
    pub(super) fn plan(&mut self, now: Time, fence: Fence) {
        let desired = std::mem::take(&mut self.desired);
        for range in &desired {
            self.plan_range(now, fence, &desired, range);
            self.plan_adapters_and_roles(now, fence, range);
        }
        self.unload_unwanted(now, fence, &desired);
        self.desired = desired;
    }

    /// Orders at most one load of `range`, if it has too few replicas.
    fn plan_range(&mut self, now: Time, fence: Fence, all: &[DesiredRange], range: &DesiredRange) {
        let have = self.replicas(&range.assignment);
        let want = self.wanted_replicas(now, range, have);
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
                self.report_blocked(id, "no target is free to load it");
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
        self.send_new_order(now, fence, target, order);
    }

    /// Whether some target loads the range. A target that became unavailable a short time ago still
    /// counts, because it may continue to load and return.
    fn is_loading(&self, now: Time, id: &RangeId) -> bool {
        let grace = self.cfg.order_timeout;
        self.targets
            .values()
            .filter(|t| t.unavailable_since.is_none_or(|since| now < since + grace))
            .any(|t| t.loading().is_some_and(|a| a.range == *id))
    }

    /// Whether a target that has not confirmed may still be loading on an order of an earlier
    /// holder.
    fn is_confirming(&self, now: Time) -> bool {
        now < self.holder_since + self.cfg.confirm_grace && self.available().any(|t| !t.confirmed)
    }

    fn available(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(|t| t.view.available)
    }

    /// Returns the number of targets that certainly serve `assignment`.
    fn replicas(&self, assignment: &Assignment) -> usize {
        self.targets
            .values()
            .filter(|t| t.serves(assignment))
            .count()
    }

    /// Returns the number of replicas wanted now: the minimum, or one more than there are once the
    /// load has been high for `rebalance_after`.
    fn wanted_replicas(&mut self, now: Time, range: &DesiredRange, have: usize) -> usize {
        let min = range.min_replicas as usize;
        let id = &range.assignment.range;
        let load = self.mean_load(&range.assignment);
        if have < min || have >= range.max_replicas as usize || load < self.cfg.high_load {
            self.high_load_since.remove(id);
            return min;
        }
        let since = *self.high_load_since.get_or_insert_with(id.clone(), || now);
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

    /// Returns the target that should load `range`: the one with the most preferred
    /// [`ReassignReason`], then in the zone with the fewest replicas, then with the lowest load,
    /// then the first by name.
    fn candidate(
        &mut self,
        now: Time,
        all: &[DesiredRange],
        range: &DesiredRange,
        have: usize,
    ) -> Option<TargetId> {
        let below_min = have < range.min_replicas as usize;
        let mut protected = 0;
        let mut found: Vec<_> = self
            .targets
            .values()
            .filter(|t| t.is_free(now) && has_allowed_accelerator(t, range))
            .filter(|t| t.view.holds.as_ref() != Some(&range.assignment))
            .filter_map(|t| Some((t, self.reassign_reason(all, t, below_min)?)))
            .filter(|(t, _)| {
                let may_replace = self.may_replace(all, t);
                protected += u64::from(!may_replace);
                may_replace
            })
            .map(|(t, reason)| {
                let zone = self.replicas_in_zone(&range.assignment, &t.view.zone);
                (reason, zone, t.view.load, t.view.target.clone())
            })
            .collect();
        self.counters.last_replica_kept += protected;
        found.sort();
        found.into_iter().next().map(|(.., target)| target)
    }

    fn replicas_in_zone(&self, assignment: &Assignment, zone: &str) -> usize {
        self.targets
            .values()
            .filter(|t| &*t.view.zone == zone && t.serves(assignment))
            .count()
    }

    /// Returns why `target` may get a new assignment, or `None` if it must keep what it holds.
    fn reassign_reason(
        &self,
        all: &[DesiredRange],
        target: &Target,
        below_min: bool,
    ) -> Option<ReassignReason> {
        let Some(held) = &target.view.holds else {
            return Some(ReassignReason::Empty);
        };
        let Some(other) = all.iter().find(|d| d.assignment == *held) else {
            return Some(ReassignReason::Unwanted);
        };
        let is_spare = self.replicas(held) > other.min_replicas as usize;
        let may_move = below_min || self.mean_load(held) < self.cfg.low_load;
        (is_spare && may_move).then_some(ReassignReason::Surplus)
    }

    /// Whether the target may lose what it holds, because another target serves the same or because
    /// it is no longer needed. An old version is needed until all ranges of the new one are served.
    pub(super) fn may_replace(&self, all: &[DesiredRange], target: &Target) -> bool {
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

    /// Orders the adapters and roles of the range's replicas, one order at a time for each target.
    fn plan_adapters_and_roles(&mut self, now: Time, fence: Fence, range: &DesiredRange) {
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
                self.send_new_order(now, fence, target, order);
            }
        }
    }

    /// Returns the number of replicas in each of the range's roles. Replicas that were ordered to
    /// change count in their new role.
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

    /// Unloads targets that hold what the configuration no longer contains, so that no old version
    /// continues to serve.
    fn unload_unwanted(&mut self, now: Time, fence: Fence, all: &[DesiredRange]) {
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
                && !self.lacks_replicas(all)
                && self.may_replace(all, target)
            {
                self.send_new_order(now, fence, name, PlacementOrder::Unload);
            }
        }
    }

    /// Whether some range has too few replicas. Its own planning then uses the unwanted targets.
    fn lacks_replicas(&self, all: &[DesiredRange]) -> bool {
        all.iter()
            .any(|d| self.replicas(&d.assignment) < d.min_replicas as usize)
    }

    /// Sends a new order and remembers it until a report shows its effect.
    fn send_new_order(&mut self, now: Time, fence: Fence, target: TargetId, order: PlacementOrder) {
        self.counters.orders += 1;
        if let Some(known) = self.targets.get_mut(&target) {
            known.pending = Some((order.clone(), now));
        }
        self.send_order(target, fence, order);
    }

    /// Reports that a range cannot get its replicas, once for each reason until that changes.
    fn report_blocked(&mut self, range: &RangeId, reason: &str) {
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
    /// Returns the role that the target has or was ordered to change to.
    fn role(&self) -> &str {
        match &self.pending {
            Some((PlacementOrder::ChangeRole(role), _)) => role,
            _ => &self.view.role,
        }
    }
}

/// Whether the target has one of the accelerator kinds that can hold the range.
fn has_allowed_accelerator(target: &Target, range: &DesiredRange) -> bool {
    range.accelerators.is_empty() || range.accelerators.contains(&target.view.accelerator)
}

/// Returns the role that a replica should change to, if its current role has enough replicas
/// without it and another has too few. Replicas beyond all wanted numbers get the last role.
/// Updates `counts`, the number of replicas in each role.
fn change_role(range: &DesiredRange, counts: &mut [usize], current: &str) -> Option<String> {
    let own = range.roles.iter().position(|(role, _)| role == current);
    if own.is_some_and(|i| counts[i] <= range.roles[i].1 as usize) {
        return None;
    }
    let short_of_replicas = (0..counts.len()).find(|i| counts[*i] < range.roles[*i].1 as usize);
    let to = short_of_replicas.or(counts.len().checked_sub(1))?;
    if own == Some(to) {
        return None;
    }
    if let Some(own) = own {
        counts[own] -= 1;
    }
    counts[to] += 1;
    Some(range.roles[to].0.clone())
}
