//! Events of membership and load reports, applied to the targets of the router.

use coriandercove_base::{NodeId, Time};
use coriandercove_policy::chain::LoadReport;
use coriandercove_target::EngineInfo;

use super::Core;
use super::router::MemberState;

impl Core {
    /// Handles that a target is alive and accepts work: it is new, was restarted, or responds again
    /// after a silence.
    pub fn member_up(&mut self, now: Time, node: &NodeId) {
        self.router.set_member(node, MemberState::Ready);
        self.update_slots(now);
    }

    /// Sets the capacity of a target's engine from the JSON that its agent publishes in membership;
    /// ignores any text that does not describe an engine.
    pub fn member_detail(&mut self, now: Time, node: &NodeId, detail: &str) {
        if let Ok(info) = serde_json::from_str::<EngineInfo>(detail) {
            self.router.set_engine(node, &info);
            self.update_slots(now);
        }
    }

    /// Handles that a target is leaving: it keeps its streams and gets no new ones.
    pub fn member_leaving(&mut self, now: Time, node: &NodeId) {
        self.router.set_member(node, MemberState::Leaving);
        self.update_slots(now);
    }

    /// Handles that the zone of a target is silent in membership. This changes nothing: the entry's
    /// own links to the target decide whether it gets work.
    pub const fn member_unreachable(&mut self, _node: &NodeId) {}

    /// Handles that a target is dead: it gets no new work. Its streams move when the link closes or
    /// when their chains stall.
    pub fn member_dead(&mut self, now: Time, node: &NodeId) {
        self.router.set_member(node, MemberState::Down);
        self.update_slots(now);
    }

    /// Sets the load that a target reported; the report lags behind the actual load.
    pub fn report_load(&mut self, now: Time, node: &NodeId, load: LoadReport) {
        self.router.report_load(node, now, load);
    }
}
