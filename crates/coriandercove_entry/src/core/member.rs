//! What membership and agents tell of targets.

use coriandercove_base::{NodeId, Time};
use coriandercove_policy::chain::LoadReport;

use super::Core;
use super::router::Member;

impl Core {
    /// A target is alive and takes work.
    pub fn member_joined(&mut self, now: Time, node: &NodeId) {
        self.router.set_member(node, Member::Ready);
        self.update_slots(now);
    }

    /// A target leaves: streams that it has go on, and it gets no new one.
    pub fn member_leaving(&mut self, now: Time, node: &NodeId) {
        self.router.set_member(node, Member::Leaving);
        self.update_slots(now);
    }

    /// A target is unreachable or dead and gets no new work. Its streams move when their links
    /// close or when no token comes.
    pub fn member_down(&mut self, now: Time, node: &NodeId) {
        self.router.set_member(node, Member::Down);
        self.update_slots(now);
    }

    /// The load of a target, which lags.
    pub fn report_load(&mut self, now: Time, node: &NodeId, load: LoadReport) {
        self.router.report_load(now, node, load);
    }
}
