//! The VM of a target: an agent, and the stand-in that it runs work on.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;

use coriandercove_agent::{Agent, AgentConfig, Backend};
use coriandercove_base::Incarnation;
use coriandercove_base::byte_budget::ByteBudget;
use coriandercove_base::http::{HttpClient, HttpLimits};
use coriandercove_base::telemetry::{Metrics, discard};
use coriandercove_peer::{ClusterKey, MAX_BODY_BYTES, PeerInfo};
use coriandercove_standin::engine::EngineHandle;
use coriandercove_standin::service::ServiceHandle;
use coriandercove_target::{HttpEngine, HttpService};

use crate::network::Network;
use crate::role::{Lifecycle, RoleError, RoleThread};

/// Memory of an agent, in MB.
const MEMORY_MB: usize = 1024;

/// The stand-in that takes the place of an agent's target.
pub enum Standin {
    /// Stand-in for a model engine.
    Engine(EngineHandle),
    /// Stand-in for a plain service.
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

    /// Stops the stand-in at once, as a crash would.
    pub fn kill(self) {
        match self {
            Self::Engine(engine) => engine.kill(),
            Self::Service(service) => service.kill(),
        }
    }
}

/// The VM of a target: its agent and the stand-in of the target.
pub struct TargetVm {
    /// The agent, on a thread of its own.
    pub role: RoleThread<Agent>,
    /// The stand-in of the target.
    pub standin: Standin,
    /// The agent's identity as peers receive it, with the port that it listens on.
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
    /// Starts the agent for a running stand-in. It learns the other members from the entries whose
    /// peer addresses are `seeds`, and sends through `network` if there is one.
    ///
    /// # Errors
    /// [`RoleError`] if the agent does not start.
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
            let metrics = Metrics::default();
            let bytes = ByteBudget::registered(MEMORY_MB, &metrics);
            let http = HttpLimits {
                max_body: MAX_BODY_BYTES,
                ..HttpLimits::default()
            };
            let client = HttpClient::new(http).with_budget(Arc::clone(&bytes));
            let backend = if is_engine {
                Backend::Engine(Rc::new(HttpEngine::new(client, &url)))
            } else {
                Backend::Service(Rc::new(HttpService::new(client, &url)))
            };
            let mut cfg = AgentConfig::new(own, key, backend, discard())
                .with_budget(metrics, bytes)
                .with_seeds(seeds);
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

    /// Stops agent and stand-in at once, as a crash of the VM would.
    pub fn kill(self) {
        self.role.kill();
        self.standin.kill();
    }
}

/// Returns an incarnation for a role that starts now: nanoseconds since the Unix epoch, so that
/// later runs have higher ones.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_nanos()).unwrap_or(u64::MAX))
}
