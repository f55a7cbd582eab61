//! An agent with the stand-in of its target.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::SystemTime;

use coriandercove_agent::{Agent, AgentConfig, Backend};
use coriandercove_base::Incarnation;
use coriandercove_base::http::{HttpClient, HttpLimits};
use coriandercove_base::telemetry::discard;
use coriandercove_peer::{ClusterKey, PeerInfo};
use coriandercove_standin::engine::EngineHandle;
use coriandercove_standin::service::ServiceHandle;
use coriandercove_target::{HttpEngine, HttpService};

use crate::network::Network;
use crate::role::{Lifecycle, RoleError, RoleThread};

/// The stand-in beside an agent.
pub enum Standin {
    /// A model engine.
    Engine(EngineHandle),
    /// A plain service.
    Service(ServiceHandle),
}

impl Standin {
    fn url(&self) -> String {
        match self {
            Self::Engine(engine) => engine.url(),
            Self::Service(service) => service.url(),
        }
    }

    const fn is_engine(&self) -> bool {
        matches!(self, Self::Engine(_))
    }

    /// Ends the stand-in as a crash would.
    pub fn kill(self) {
        match self {
            Self::Engine(engine) => engine.kill(),
            Self::Service(service) => service.kill(),
        }
    }
}

/// A VM with a target: the agent and the stand-in beside it.
pub struct TargetVm {
    /// The agent.
    pub role: RoleThread<Agent>,
    /// The stand-in.
    pub standin: Standin,
    /// What the agent tells its peers.
    pub info: PeerInfo,
}

impl Lifecycle for Agent {
    async fn drain(self) {
        Self::drain(self).await;
    }

    fn kill(self) {
        self.stop();
    }
}

impl TargetVm {
    /// Starts the agent of a target, which learns from the entries at `seeds`.
    ///
    /// # Errors
    /// [`RoleError`] if it does not start.
    pub fn start(
        own: PeerInfo,
        key: &ClusterKey,
        seeds: Vec<SocketAddr>,
        standin: Standin,
        network: Option<&Network>,
    ) -> Result<Self, RoleError> {
        let shaper = network.map(|n| n.shaper(&own.node, &own.zone));
        let (url, is_engine, key) = (standin.url(), standin.is_engine(), key.clone());
        let name = own.node.to_string();
        let start = move || async move {
            let client = HttpClient::new(HttpLimits::default());
            let backend = if is_engine {
                Backend::Engine(Rc::new(HttpEngine::new(client, &url)))
            } else {
                Backend::Service(Rc::new(HttpService::new(client, &url)))
            };
            let mut cfg = AgentConfig::new(own, key, backend, discard()).with_seeds(seeds);
            if let Some(shaper) = shaper {
                cfg = cfg.with_shaper(Rc::new(shaper));
            }
            Agent::start(cfg).await
        };
        let (role, info) = RoleThread::start(&name, start, Agent::own)?;
        Ok(Self {
            role,
            standin,
            info,
        })
    }

    /// Ends the VM as a crash would: agent and target.
    pub fn kill(self) {
        self.role.kill();
        self.standin.kill();
    }
}

/// An incarnation for a process that starts now.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_nanos()).unwrap_or(u64::MAX))
}
