//! Operators' requests to the agent: status, configuration, readiness, metrics and drain.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::Clock;
use coriandercove_base::telemetry::Metrics;
use coriandercove_node::process::StopRequest;
use coriandercove_operator::{
    ConfigView, DrainReply, DrainRequest, ExplainQuery, Explanation, NodeState, NodeStatus,
    OperationsError, OperationsHandler, Readiness,
};
use futures_util::future::LocalBoxFuture;

use super::Inner;

/// Handler of operators' requests to an agent.
pub struct AgentOperations {
    pub(super) inner: Rc<Inner>,
    pub(super) metrics: Metrics,
    pub(super) region: String,
    pub(super) stop: Rc<StopRequest>,
    pub(super) drain_deadline: Duration,
}

impl AgentOperations {
    /// Version of the configuration in force; 0 before the first one arrives.
    fn version(&self) -> u64 {
        let control = self.inner.control.get();
        control.map_or(0, |c| c.config.version())
    }

    fn state(&self) -> NodeState {
        match (self.inner.leaving.get(), self.version()) {
            (true, _) => NodeState::Leaving,
            (false, 0) => NodeState::Starting,
            (false, _) => NodeState::Ready,
        }
    }
}

impl OperationsHandler for AgentOperations {
    fn metrics(&self) -> String {
        self.metrics.encode()
    }

    fn readiness(&self) -> Readiness {
        let reason = match self.state() {
            NodeState::Ready => "",
            NodeState::Starting => "no configuration is in force",
            NodeState::Leaving => "the agent is leaving",
        };
        Readiness {
            ready: reason.is_empty(),
            reason: reason.to_owned(),
        }
    }

    fn status(&self) -> NodeStatus {
        let links = self.inner.links.get();
        let own = links.map_or(&self.inner.own, |links| links.own());
        let version = self.version();
        let control = self.inner.control.get().filter(|_| version > 0);
        let digest = control.map(|c| c.config.digest());
        NodeStatus {
            node: own.node.clone(),
            role: "agent".to_owned(),
            zone: own.zone.clone(),
            region: self.region.clone(),
            incarnation: own.incarnation,
            program_version: env!("CARGO_PKG_VERSION").to_owned(),
            state: self.state(),
            config_version: version,
            config_digest: digest.map(|d| format!("{d:032x}")).unwrap_or_default(),
            uptime_ms: self.inner.clock.now().as_millis() as u64,
            in_flight: self.inner.in_progress() as u64,
            store_reachable: false,
            members: Vec::new(),
            figures: BTreeMap::new(),
        }
    }

    fn config(&self) -> Result<ConfigView, OperationsError> {
        let control = self.inner.control.get().filter(|_| self.version() > 0);
        let config = control.ok_or_else(|| OperationsError::NotReady {
            message: "no configuration is in force".to_owned(),
        })?;
        let objects = config.config.objects();
        Ok(ConfigView {
            version: self.version(),
            digest: objects.digest(),
            objects,
        })
    }

    fn explain(&self, _: ExplainQuery) -> Result<Explanation, OperationsError> {
        Err(OperationsError::Invalid {
            message: "agents choose no targets; ask an entry".to_owned(),
        })
    }

    fn drain(
        &self,
        req: DrainRequest,
    ) -> LocalBoxFuture<'static, Result<DrainReply, OperationsError>> {
        let deadline = req.deadline();
        self.stop.request(deadline);
        let limit = deadline.unwrap_or(self.drain_deadline);
        let reply = DrainReply {
            state: NodeState::Leaving,
            in_flight: self.inner.in_progress() as u64,
            deadline_ms: limit.as_millis() as u64,
        };
        Box::pin(std::future::ready(Ok(reply)))
    }
}
