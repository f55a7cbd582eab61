//! Placement of model layers on targets: decides which target holds which layers, and sends the
//! orders that bring the targets there. Runs at the node that holds the placement lease.

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

/// A target, with the state of this lease holder's orders to it.
#[derive(Debug)]
struct Target {
    view: TargetView,
    /// Whether the target has stored this holder's fencing token, so that no order of an earlier
    /// holder can change it any more.
    confirmed: bool,
    /// Time of the last [`PlacementOrder::Confirm`] sent.
    confirm_sent_at: Option<Time>,
    /// The last order, while no report shows its effect, and the time at which it was last sent.
    pending: Option<(PlacementOrder, Time)>,
    /// Time until which the target gets no order, after a failed one.
    paused_until: Time,
    /// Since when the target is not available; `None` while it is.
    unavailable_since: Option<Time>,
}

/// State machine of the placement job at a node that may hold the placement lease.
///
/// Invariant: no order removes the last replica of a range that the configuration still needs, as
/// far as the reports of confirmed targets show. Targets that have not confirmed do not count as
/// replicas.
#[derive(Debug)]
pub struct Placement {
    cfg: PlacementSettings,
    /// Fencing token of this holder; `None` while the node does not hold the lease.
    fence: Option<Fence>,
    /// Time at which this node got the lease.
    holder_since: Time,
    /// Number of the last order sent under `fence`.
    seq: u64,
    desired: Vec<DesiredRange>,
    /// A hash map, because there are thousands of targets at the planned size.
    targets: HashMap<TargetId, Target>,
    /// Time from which the weight store's rate allows another load.
    next_load: Time,
    /// Ranges under high load, and since when.
    high_load_since: SortedMap<RangeId, Time>,
    /// Ranges that were reported as blocked, and the reason.
    blocked: SortedMap<RangeId, String>,
    counters: PlacementCounters,
    faults: Faults,
    out: Vec<PlacementAction>,
}

impl Placement {
    /// Creates a state machine that sends no order until it has a fencing token.
    #[must_use]
    pub fn new(cfg: PlacementSettings) -> Self {
        Self {
            cfg,
            fence: None,
            holder_since: Time::ZERO,
            seq: 0,
            desired: Vec::new(),
            targets: HashMap::new(),
            next_load: Time::ZERO,
            high_load_since: SortedMap::new(),
            blocked: SortedMap::new(),
            counters: PlacementCounters::default(),
            faults: Faults::default(),
            out: Vec::new(),
        }
    }

    /// Switches a deliberate fault on.
    #[cfg(feature = "faults")]
    #[must_use]
    pub const fn with_fault(mut self, fault: PlacementFault) -> Self {
        self.faults = Faults::only(fault);
        self
    }

    /// Handles one event at time `now` and returns the actions that follow from it. Ticks are
    /// expected about every second.
    pub fn on_event(&mut self, now: Time, event: PlacementEvent) -> Vec<PlacementAction> {
        match event {
            PlacementEvent::Tick => self.tick(now),
            PlacementEvent::Holder(fence) => self.become_holder(now, fence),
            PlacementEvent::NotHolder => self.step_down(),
            PlacementEvent::Desired(desired) => self.desired = desired,
            PlacementEvent::Targets(views) => self.set_targets(now, views),
            PlacementEvent::Confirmed { fence, view } => self.handle_confirmation(fence, view),
            PlacementEvent::OrderResult {
                target,
                fence,
                outcome,
            } => self.handle_order_result(now, &target, fence, outcome),
        }
        std::mem::take(&mut self.out)
    }

    /// Returns the counters for the metrics endpoint.
    #[must_use]
    pub const fn counters(&self) -> &PlacementCounters {
        &self.counters
    }

    /// Begins to act as the holder of the lease, unless `fence` is not above the known token.
    fn become_holder(&mut self, now: Time, fence: Fence) {
        if self.fence.is_some_and(|known| known >= fence) {
            return;
        }
        self.step_down();
        self.fence = Some(fence);
        self.next_load = now;
        self.holder_since = now;
        self.seq = 0;
        self.tick(now);
    }

    /// Stops acting as the holder, and forgets what the targets confirmed and were ordered.
    fn step_down(&mut self) {
        self.fence = None;
        self.blocked = SortedMap::new();
        for target in self.targets.values_mut() {
            target.confirmed = false;
            target.confirm_sent_at = None;
            target.pending = None;
        }
    }

    fn set_targets(&mut self, now: Time, views: Vec<TargetView>) {
        let mut old = std::mem::take(&mut self.targets);
        for view in views {
            let target = old.remove(&view.target).unwrap_or_else(|| Target {
                view: view.clone(),
                confirmed: false,
                confirm_sent_at: None,
                pending: None,
                paused_until: Time::ZERO,
                unavailable_since: None,
            });
            let entry = self.targets.entry(view.target.clone()).or_insert(target);
            entry.update(view);
            entry.unavailable_since = match entry.view.available {
                true => None,
                false => entry.unavailable_since.or(Some(now)),
            };
        }
    }

    fn handle_confirmation(&mut self, fence: Fence, view: TargetView) {
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

    fn handle_order_result(
        &mut self,
        now: Time,
        target: &TargetId,
        fence: Fence,
        outcome: Outcome,
    ) {
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
                self.step_down();
            }
        }
    }

    fn tick(&mut self, now: Time) {
        let Some(fence) = self.fence else {
            return;
        };
        self.confirm_targets(now, fence);
        self.resend_orders(now, fence);
        self.plan(now, fence);
    }

    /// Sends `Confirm` to available targets that have not confirmed, and again after a timeout.
    fn confirm_targets(&mut self, now: Time, fence: Fence) {
        let skip = self.faults.has(PlacementFault::ConfirmSkipped);
        let timeout = self.cfg.confirm_timeout;
        let mut due: Vec<TargetId> = Vec::new();
        for (name, target) in &mut self.targets {
            target.confirmed |= skip;
            let is_due = target.confirm_sent_at.is_none_or(|at| at + timeout <= now);
            if !target.confirmed && target.view.available && is_due {
                target.confirm_sent_at = Some(now);
                due.push(name.clone());
            }
        }
        due.sort();
        for target in due {
            self.send_order(target, fence, PlacementOrder::Confirm);
        }
    }

    /// Sends orders again whose effect no report shows, if they are still allowed. Repeating an
    /// order that took effect changes nothing.
    fn resend_orders(&mut self, now: Time, fence: Fence) {
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
            if !replaces || self.may_replace(&self.desired, known) {
                self.send_order(target, fence, order);
            }
        }
    }

    /// Sends an order with the next order number.
    fn send_order(&mut self, target: TargetId, fence: Fence, order: PlacementOrder) {
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
    /// Stores a report. If a newer one is known, only its availability is used.
    fn update(&mut self, view: TargetView) {
        let known = (self.view.incarnation, self.view.revision);
        if (view.incarnation, view.revision) < known {
            self.view.available = view.available;
            return;
        }
        if view.incarnation > self.view.incarnation {
            // The new run has not stored this holder's fencing token yet.
            self.confirmed = false;
            self.confirm_sent_at = None;
            self.pending = None;
        }
        self.view = view;
        if self
            .pending
            .as_ref()
            .is_some_and(|(o, _)| self.shows_effect(o))
        {
            self.pending = None;
        }
    }

    /// Whether the last report shows the effect of an order.
    fn shows_effect(&self, order: &PlacementOrder) -> bool {
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

    /// Whether the target can get an order now.
    fn is_free(&self, now: Time) -> bool {
        self.confirmed
            && self.view.available
            && self.pending.is_none()
            && self.view.loading.is_none()
            && self.paused_until <= now
    }

    /// Whether the target certainly serves `assignment` and has no order that ends it.
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

    /// Returns what the target loads or was ordered to load.
    fn loading(&self) -> Option<&Assignment> {
        match &self.pending {
            Some((PlacementOrder::Load(a), _)) => Some(a),
            _ => self.view.loading.as_ref(),
        }
    }
}

#[cfg(test)]
mod tests;
