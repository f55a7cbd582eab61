//! Placement: which target holds which layers of which model, and the orders that get it there.

mod faults;
mod plan;
mod types;

#[cfg(feature = "faults")]
pub use faults::PlacementFault;
pub use types::{
    Assignment, DesiredRange, Outcome, PlacementAction, PlacementCounters, PlacementEvent,
    PlacementOrder, PlacementSettings, RangeId, TargetView,
};

use coriandercove_base::{Fence, SortedMap, TargetId, Time};
use faults::Faults;
#[cfg(not(feature = "faults"))]
use faults::PlacementFault;
use std::collections::HashMap;

/// A target with what this holder has done about it.
#[derive(Debug)]
struct Target {
    view: TargetView,
    /// Whether the target has noted this holder's fencing number, so that its state is final.
    confirmed: bool,
    /// Time at which it was asked to confirm.
    asked_at: Option<Time>,
    /// An order without visible effect so far, and the time of its last sending.
    pending: Option<(PlacementOrder, Time)>,
    /// Time until which it gets no order, after a failure.
    paused_until: Time,
    /// Since when it is not available.
    gone_since: Option<Time>,
}

/// The placement job of one holder of the placement lease.
///
/// Invariant: no order takes the last replica of a range that the configuration still needs, as
/// far as confirmed targets tell. Targets that have not confirmed do not count as replicas.
#[derive(Debug)]
pub struct Placement {
    cfg: PlacementSettings,
    fence: Option<Fence>,
    /// Time of taking over.
    since: Time,
    seq: u64,
    desired: Vec<DesiredRange>,
    /// Kept in a hash map, because there are thousands at the planned size.
    targets: HashMap<TargetId, Target>,
    /// Time from which the weight store's rate allows another load.
    next_load: Time,
    /// Ranges under high load, and since when.
    busy: SortedMap<RangeId, Time>,
    blocked: SortedMap<RangeId, String>,
    counters: PlacementCounters,
    faults: Faults,
    out: Vec<PlacementAction>,
}

impl Placement {
    /// A planner that gives no order until it has a fencing number.
    #[must_use]
    pub fn new(cfg: PlacementSettings) -> Self {
        Self {
            cfg,
            fence: None,
            since: Time::ZERO,
            seq: 0,
            desired: Vec::new(),
            targets: HashMap::new(),
            next_load: Time::ZERO,
            busy: SortedMap::new(),
            blocked: SortedMap::new(),
            counters: PlacementCounters::default(),
            faults: Faults::default(),
            out: Vec::new(),
        }
    }

    /// The same planner with a deliberate fault.
    #[cfg(feature = "faults")]
    #[must_use]
    pub const fn with_fault(mut self, fault: PlacementFault) -> Self {
        self.faults = Faults::only(fault);
        self
    }

    /// Takes one event at time `now`. Ticks are expected about every second.
    pub fn on_event(&mut self, now: Time, event: PlacementEvent) -> Vec<PlacementAction> {
        match event {
            PlacementEvent::Tick => self.tick(now),
            PlacementEvent::Holder(fence) => self.take_over(now, fence),
            PlacementEvent::NotHolder => self.stand_down(),
            PlacementEvent::Desired(desired) => self.desired = desired,
            PlacementEvent::Targets(views) => self.set_targets(now, views),
            PlacementEvent::Confirmed { fence, view } => self.confirmed(fence, view),
            PlacementEvent::OrderResult {
                target,
                fence,
                outcome,
            } => self.order_result(now, &target, fence, outcome),
        }
        std::mem::take(&mut self.out)
    }

    /// Counters for the metrics endpoint.
    #[must_use]
    pub const fn counters(&self) -> &PlacementCounters {
        &self.counters
    }

    fn take_over(&mut self, now: Time, fence: Fence) {
        if self.fence.is_some_and(|known| known >= fence) {
            return;
        }
        self.stand_down();
        self.fence = Some(fence);
        self.next_load = now;
        self.since = now;
        self.seq = 0;
        self.tick(now);
    }

    fn stand_down(&mut self) {
        self.fence = None;
        self.blocked = SortedMap::new();
        for target in self.targets.values_mut() {
            target.confirmed = false;
            target.asked_at = None;
            target.pending = None;
        }
    }

    fn set_targets(&mut self, now: Time, views: Vec<TargetView>) {
        let mut old = std::mem::take(&mut self.targets);
        for view in views {
            let target = old.remove(&view.target).unwrap_or_else(|| Target {
                view: view.clone(),
                confirmed: false,
                asked_at: None,
                pending: None,
                paused_until: Time::ZERO,
                gone_since: None,
            });
            let entry = self.targets.entry(view.target.clone()).or_insert(target);
            entry.update(view);
            entry.gone_since = match entry.view.available {
                true => None,
                false => entry.gone_since.or(Some(now)),
            };
        }
    }

    fn confirmed(&mut self, fence: Fence, view: TargetView) {
        if self.fence != Some(fence) {
            return;
        }
        if let Some(target) = self.targets.get_mut(&view.target) {
            let available = target.view.available;
            target.update(view);
            target.view.available = available;
            target.confirmed = true;
        }
    }

    fn order_result(&mut self, now: Time, target: &TargetId, fence: Fence, outcome: Outcome) {
        if self.fence != Some(fence) {
            return;
        }
        match outcome {
            Outcome::Done | Outcome::Unknown => {}
            Outcome::Failed => {
                self.counters.failed += 1;
                if let Some(target) = self.targets.get_mut(target) {
                    target.pending = None;
                    target.paused_until = now + self.cfg.failure_pause;
                }
            }
            Outcome::Fenced => {
                self.counters.fenced += 1;
                self.stand_down();
            }
        }
    }

    fn tick(&mut self, now: Time) {
        let Some(fence) = self.fence else {
            return;
        };
        self.confirm_targets(now, fence);
        self.repeat_orders(now, fence);
        self.plan(now, fence);
    }

    fn confirm_targets(&mut self, now: Time, fence: Fence) {
        let skip = self.faults.has(PlacementFault::ConfirmSkipped);
        let timeout = self.cfg.confirm_timeout;
        let mut due: Vec<TargetId> = Vec::new();
        for (name, target) in &mut self.targets {
            target.confirmed |= skip;
            let late = target.asked_at.is_none_or(|at| at + timeout <= now);
            if !target.confirmed && target.view.available && late {
                target.asked_at = Some(now);
                due.push(name.clone());
            }
        }
        due.sort();
        for target in due {
            self.give(target, fence, PlacementOrder::Confirm);
        }
    }

    /// Gives orders again whose effect does not show, if they are still allowed. Repeating one
    /// that took effect changes nothing.
    fn repeat_orders(&mut self, now: Time, fence: Fence) {
        let mut due: Vec<TargetId> = Vec::new();
        for (name, target) in &mut self.targets {
            if let Some((_, at)) = &mut target.pending
                && *at + self.cfg.order_timeout <= now
            {
                *at = now;
                due.push(name.clone());
            }
        }
        due.sort();
        for target in due {
            let known = &self.targets[&target];
            let Some((order, _)) = known.pending.clone() else {
                continue;
            };
            let replaces = matches!(order, PlacementOrder::Load(_) | PlacementOrder::Unload);
            if !replaces || self.may_take(&self.desired, known) {
                self.give(target, fence, order);
            }
        }
    }

    fn give(&mut self, target: TargetId, fence: Fence, order: PlacementOrder) {
        self.seq += 1;
        let incarnation = self.targets.get(&target).map_or(0, |t| t.view.incarnation);
        self.out.push(PlacementAction::Order {
            target,
            incarnation,
            fence,
            seq: self.seq,
            order,
        });
    }
}

impl Target {
    /// Takes a report unless a newer one is known.
    fn update(&mut self, view: TargetView) {
        let known = (self.view.incarnation, self.view.revision);
        if (view.incarnation, view.revision) < known {
            self.view.available = view.available;
            return;
        }
        if view.incarnation > self.view.incarnation {
            // The new run has not noted this holder's fencing number yet.
            self.confirmed = false;
            self.asked_at = None;
            self.pending = None;
        }
        self.view = view;
        if self.pending.as_ref().is_some_and(|(o, _)| self.shows(o)) {
            self.pending = None;
        }
    }

    /// Whether the report shows the effect of an order.
    fn shows(&self, order: &PlacementOrder) -> bool {
        match order {
            PlacementOrder::Confirm => true,
            PlacementOrder::Load(a) => {
                self.view.loading.as_ref() == Some(a)
                    || (self.view.loading.is_none() && self.view.holds.as_ref() == Some(a))
            }
            PlacementOrder::LoadAdapter(a) => self.view.adapters.contains(a),
            PlacementOrder::ChangeRole(r) => self.view.role == *r,
            PlacementOrder::Unload => self.view.holds.is_none() && self.view.loading.is_none(),
        }
    }

    /// Whether it can be given an order now.
    fn is_free(&self, now: Time) -> bool {
        self.confirmed
            && self.view.available
            && self.pending.is_none()
            && self.view.loading.is_none()
            && self.paused_until <= now
    }

    /// Whether it certainly serves `assignment` and goes on doing so.
    fn serves(&self, assignment: &Assignment) -> bool {
        let replaced = matches!(
            self.pending,
            Some((PlacementOrder::Load(_) | PlacementOrder::Unload, _))
        );
        self.confirmed
            && self.view.available
            && !replaced
            && self.view.loading.is_none()
            && self.view.holds.as_ref() == Some(assignment)
    }

    /// What it is loading or has been told to load.
    fn loads(&self) -> Option<&Assignment> {
        match &self.pending {
            Some((PlacementOrder::Load(a), _)) => Some(a),
            _ => self.view.loading.as_ref(),
        }
    }
}

#[cfg(test)]
mod tests;
