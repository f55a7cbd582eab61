//! What membership says of targets.

use coriandercove_base::{NodeId, Time};
use coriandercove_policy::chain::{LoadReport, TargetState};

use super::Router;

impl Router {
    /// A target is available.
    pub fn member_up(&mut self, node: &NodeId) {
        self.away.remove(node);
        if !self.down.contains(node) {
            self.planner.set_state(node, TargetState::Ready);
        }
    }

    /// A target gets no new work until [`Router::member_up`].
    pub fn member_away(&mut self, node: &NodeId, state: TargetState) {
        self.planner.set_state(node, state);
        self.away.insert(node.clone(), state);
    }

    /// The load of a target, which lags.
    pub fn report_load(&mut self, node: &NodeId, now: Time, load: LoadReport) {
        self.planner.report_load(node, now, load);
    }

    /// Whether a target gets new work.
    #[must_use]
    pub fn is_usable(&self, node: &NodeId) -> bool {
        !self.down.contains(node) && !self.away.contains(node)
    }

    /// Repeats to the planner, which has taken a configuration, which targets are away.
    pub(super) fn keep_members_away(&mut self) {
        for (node, state) in self.away.iter() {
            self.planner.set_state(node, *state);
        }
    }
}
