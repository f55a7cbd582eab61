//! What membership says of targets.

use coriandercove_base::{NodeId, Time};
use coriandercove_policy::chain::{LoadReport, TargetState};

use super::Core;

impl Core {
    /// A target is available: new, restarted, or silent before and heard again.
    pub fn member_up(&mut self, node: &NodeId) {
        self.router.member_up(node);
        self.update_slots();
    }

    /// A target leaves: it gets no new work in this incarnation and finishes what it has.
    pub fn member_leaving(&mut self, node: &NodeId) {
        self.router.member_away(node, TargetState::Leaving);
        self.update_slots();
    }

    /// The zone of a target is silent. The own connections to the target decide whether it gets
    /// work, so nothing changes here.
    pub const fn member_unreachable(&mut self, _node: &NodeId) {}

    /// A target is dead. Streams through it are moved when their links close or they stall.
    pub fn member_dead(&mut self, node: &NodeId) {
        self.router.member_away(node, TargetState::Down);
        self.update_slots();
    }

    /// The load of a target, which lags.
    pub fn report_load(&mut self, now: Time, node: &NodeId, load: LoadReport) {
        self.router.report_load(node, now, load);
    }
}
