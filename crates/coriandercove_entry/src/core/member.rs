//! What membership and agents tell of targets.

use coriandercove_base::{NodeId, Time};
use coriandercove_policy::chain::LoadReport;
use coriandercove_target::EngineInfo;

use super::Core;
use super::router::Member;

impl Core {
    /// A target is alive and takes work: new, restarted, or silent before and heard again.
    pub fn member_up(&mut self, now: Time, node: &NodeId) {
        self.router.set_member(node, Member::Ready);
        self.update_slots(now);
    }

    /// What a target offers, as its agent describes it; ignored if it describes no engine.
    pub fn member_detail(&mut self, now: Time, node: &NodeId, detail: &str) {
        if let Ok(info) = serde_json::from_str::<EngineInfo>(detail) {
            self.router.set_engine(node, &info);
            self.update_slots(now);
        }
    }

    /// A target leaves: streams that it has go on, and it gets no new one.
    pub fn member_leaving(&mut self, now: Time, node: &NodeId) {
        self.router.set_member(node, Member::Leaving);
        self.update_slots(now);
    }

    /// The zone of a target is silent. The own connections to the target decide whether it gets
    /// work, so nothing changes here.
    pub const fn member_unreachable(&mut self, _node: &NodeId) {}

    /// A target is dead and gets no new work. Its streams move when their links close or when no
    /// token comes.
    pub fn member_dead(&mut self, now: Time, node: &NodeId) {
        self.router.set_member(node, Member::Down);
        self.update_slots(now);
    }

    /// The load of a target, which lags.
    pub fn report_load(&mut self, now: Time, node: &NodeId, load: LoadReport) {
        self.router.report_load(node, now, load);
    }
}
