//! The operators' API of the entry: status, configuration, explanations and drain.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::Clock;
use coriandercove_base::telemetry::Metrics;
use coriandercove_node::process::StopRequest;
use coriandercove_operator::{
    ConfigView, DrainReply, DrainRequest, ExplainQuery, ExplainStep, Explanation, MemberStatus,
    NodeState, NodeStatus, OperationsError, OperationsHandler, Readiness,
};
use coriandercove_state::membership::{EntryMembership, Role};
use futures_util::future::LocalBoxFuture;

use super::Inner;

/// Handler of the operators' API of an entry; see [`Entry::operations`](super::Entry::operations).
pub struct EntryOperations {
    pub(super) inner: Rc<Inner>,
    pub(super) metrics: Metrics,
    pub(super) region: String,
    pub(super) stop: Rc<StopRequest>,
    pub(super) drain_deadline: Duration,
}

impl EntryOperations {
    fn state(&self) -> NodeState {
        match (self.inner.is_leaving(), self.inner.active_config()) {
            (true, _) => NodeState::Leaving,
            (false, None) => NodeState::Starting,
            (false, Some(_)) => NodeState::Ready,
        }
    }

    fn members(&self) -> Vec<MemberStatus> {
        let control = self.inner.control.get();
        let mut members = control
            .and_then(|control| control.members.with_entry(member_list))
            .unwrap_or_default();
        members.sort_by(|a, b| a.node.cmp(&b.node));
        members
    }

    fn explain_target(&self, target: &str) -> Result<Explanation, OperationsError> {
        let active = self.active_config()?;
        if active.config.target(target).is_none() {
            let message = format!("target `{target}` is not configured");
            return Err(OperationsError::NotFound { message });
        }
        let is_ready = {
            let mut core = self.inner.core.borrow_mut();
            core.router_mut().is_ready(&target.into())
        };
        let step = |part: &str, outcome: String| ExplainStep {
            part: part.to_owned(),
            outcome,
            reason: String::new(),
        };
        let members = self.members();
        let member = members.iter().find(|m| &*m.node == target);
        let state = member.map_or_else(|| "not heard".to_owned(), |m| m.state.clone());
        let verb = if is_ready { "gets" } else { "gets no" };
        Ok(Explanation {
            summary: format!("target `{target}` {verb} new work from this entry"),
            steps: vec![
                step("membership", state),
                step(
                    "router",
                    if is_ready { "ready" } else { "not used" }.to_owned(),
                ),
            ],
        })
    }

    fn active_config(&self) -> Result<Rc<crate::active_config::ActiveConfig>, OperationsError> {
        self.inner
            .active_config()
            .ok_or_else(|| OperationsError::NotReady {
                message: "no configuration is in force".to_owned(),
            })
    }
}

fn member_list(machine: &EntryMembership) -> Vec<MemberStatus> {
    let status = |record: &coriandercove_state::membership::MemberRecord| MemberStatus {
        node: record.info.node.clone(),
        role: match record.info.role {
            Role::Entry => "entry".to_owned(),
            Role::Agent => "agent".to_owned(),
        },
        zone: record.info.zone.clone(),
        state: format!("{:?}", record.state()).to_lowercase(),
        // Membership does not store the configuration versions that members report.
        config_version: 0,
    };
    machine.records().map(status).collect()
}

impl OperationsHandler for EntryOperations {
    fn metrics(&self) -> String {
        self.metrics.encode()
    }

    fn readiness(&self) -> Readiness {
        let reason = match self.state() {
            NodeState::Ready => "",
            NodeState::Starting => "no configuration is in force",
            NodeState::Leaving => "the entry is leaving",
        };
        Readiness {
            ready: reason.is_empty(),
            reason: reason.to_owned(),
        }
    }

    fn status(&self) -> NodeStatus {
        let own = self.inner.links.get().map(|links| links.own().clone());
        let config = self.inner.control.get().map(|c| &c.config);
        let version = self
            .inner
            .active_config()
            .map_or(0, |active| active.version);
        let digest = config.filter(|_| version > 0).map(|c| c.digest());
        NodeStatus {
            node: own.as_ref().map_or_else(|| "".into(), |o| o.node.clone()),
            role: "entry".to_owned(),
            zone: own.as_ref().map_or_else(|| "".into(), |o| o.zone.clone()),
            region: self.region.clone(),
            incarnation: own.as_ref().map_or(0, |o| o.incarnation),
            program_version: env!("CARGO_PKG_VERSION").to_owned(),
            state: self.state(),
            config_version: version,
            config_digest: digest.map(|d| format!("{d:032x}")).unwrap_or_default(),
            uptime_ms: self.inner.clock.now().as_millis() as u64,
            in_flight: self.inner.in_progress() as u64,
            store_reachable: config.is_some_and(|c| c.store_reachable()),
            members: self.members(),
            figures: BTreeMap::new(),
        }
    }

    fn config(&self) -> Result<ConfigView, OperationsError> {
        let active = self.active_config()?;
        let objects = active.config.to_objects();
        Ok(ConfigView {
            version: active.version,
            digest: objects.digest(),
            objects,
        })
    }

    fn explain(&self, query: ExplainQuery) -> Result<Explanation, OperationsError> {
        match query.target {
            Some(target) => self.explain_target(&target),
            None => Err(OperationsError::Invalid {
                message: "this entry explains `target` only".to_owned(),
            }),
        }
    }

    fn drain(
        &self,
        req: DrainRequest,
    ) -> LocalBoxFuture<'static, Result<DrainReply, OperationsError>> {
        let deadline = req.deadline();
        self.stop.request(deadline);
        let left = deadline.unwrap_or(self.drain_deadline);
        let reply = DrainReply {
            state: NodeState::Leaving,
            in_flight: self.inner.in_progress() as u64,
            deadline_ms: left.as_millis() as u64,
        };
        Box::pin(std::future::ready(Ok(reply)))
    }
}
