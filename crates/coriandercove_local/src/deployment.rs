//! Starts, changes and stops a local deployment.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coriandercove_base::{ConfigVersion, NodeId, ZoneId};
use coriandercove_config::keys::generate_key;
use coriandercove_config::{Account, Config, Objects, Placement, Site, Target, TargetKind, Zone};
use coriandercove_entry::Entry;
use coriandercove_node::config::{accept_change, edit_between};
use coriandercove_node::store::http_store;
use coriandercove_peer::{ClusterKey, PeerInfo, Role};
use coriandercove_standin::engine;
use coriandercove_standin::service::{self, Effects, ServiceSettings};
use coriandercove_standin::store::{self, StoreHandle, StoreSettings};
use coriandercove_state::config_log::{AcceptError, Edit};
use rand::SeedableRng;
use rand::rngs::StdRng;
use snafu::{ResultExt, Snafu};

use crate::entry::EntryRole;
use crate::plan::{EnginePlan, Plan};
use crate::role::RoleError;
use crate::target_vm::{Standin, TargetVm, incarnation};

/// Loopback address with a port that the operating system chooses.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Longest wait until a configuration is in force at all entries. It is the goal for a deployment
/// of the planned size.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two checks of the entries while waiting.
const READY_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Error of starting or changing a deployment.
#[derive(Debug, Snafu)]
pub enum DeploymentError {
    /// A stand-in did not start.
    #[snafu(display("cannot start the stand-in {name}: {source}"))]
    StartStandin {
        /// Name of the stand-in.
        name: String,
        /// Cause.
        source: std::io::Error,
    },
    /// An entry or an agent did not start.
    #[snafu(display("{source}"))]
    StartRole {
        /// Cause.
        source: RoleError,
    },
    /// The store did not accept a configuration.
    #[snafu(display("the configuration is not accepted: {source}"))]
    Accept {
        /// Cause.
        source: AcceptError,
    },
    /// Within the timeout, an entry did not get the configuration or did not learn all other
    /// entries.
    #[snafu(display("the entries are not ready with version {version} after {READY_TIMEOUT:?}"))]
    NotReady {
        /// Version of the configuration that the entries should have.
        version: ConfigVersion,
    },
}

/// A running deployment. Dropping it stops all roles at once, as a crash would.
pub struct Deployment {
    plan: Plan,
    key: ClusterKey,
    /// The running entries.
    pub entries: Vec<EntryRole>,
    /// The running agents with their targets, in the order of their start until one is removed.
    pub agents: Vec<TargetVm>,
    /// Effects that the calls had on the plain service, shared by all of its replicas.
    pub effects: Effects,
    /// Stand-in of the object store.
    pub store: StoreHandle,
    config: Config,
    version: ConfigVersion,
    /// The objects of `version`, the configuration accepted last.
    published: Objects,
    caller_key: String,
    /// Number of agents started so far, for the names of new ones.
    agents_started: usize,
}

impl Deployment {
    /// Starts the store, entries, agents and stand-ins of a plan, and waits until the configuration
    /// is in force at all entries.
    ///
    /// # Errors
    /// [`DeploymentError`] if a role or stand-in does not start, or the configuration is not in
    /// force in time.
    pub fn start(plan: Plan) -> Result<Self, DeploymentError> {
        let mut rng = StdRng::from_os_rng();
        // Random, not from the plan's seed: another deployment of the same plan on this machine may
        // get the port of a dead node of this one. With the same key, its node would be accepted as
        // the dead one.
        let key = ClusterKey::new(rand::Rng::random(&mut rng));
        let new_key = generate_key(&mut rng);
        let mut config = base_config(&plan);
        let mut account = account("workshop");
        account.keys.push(new_key.hash);
        config.accounts.push(account);
        let store = store::start(StoreSettings {
            seed: plan.seed,
            ..StoreSettings::default()
        });
        let mut deployment = Self {
            key,
            store: store.context(StartStandinSnafu { name: "store" })?,
            entries: Vec::new(),
            agents: Vec::new(),
            effects: Effects::default(),
            config,
            version: 0,
            published: Objects::new(),
            caller_key: new_key.key,
            agents_started: 0,
            plan,
        };
        for i in 0..deployment.plan.entries {
            deployment.add_entry(i)?;
        }
        for engine in deployment.plan.engines.clone() {
            deployment.add_engine(&engine)?;
        }
        for _ in 0..deployment.plan.service_replicas {
            deployment.add_service()?;
        }
        deployment.publish()?;
        Ok(deployment)
    }

    /// Starts an engine with its agent and adds it to the configuration, which takes effect with
    /// [`Deployment::publish`]. Returns the id of the target.
    ///
    /// # Errors
    /// [`DeploymentError`] if the stand-in or the agent does not start.
    pub fn add_engine(&mut self, engine: &EnginePlan) -> Result<NodeId, DeploymentError> {
        let name = self.next_name("engine");
        let settings = self
            .plan
            .engine_settings(engine, self.agents_started as u64);
        let handle = engine::start(settings).context(StartStandinSnafu { name: &*name })?;
        let info = self.start_agent(&name, &engine.zone, Standin::Engine(handle))?;
        let kind = TargetKind::Engine {
            accelerator: engine.accelerator.clone(),
        };
        self.add_target(&info, kind);
        self.add_to_placements(&name, engine);
        Ok(name)
    }

    /// Starts a replica of the plain service with its agent, in the next zone in turn.
    fn add_service(&mut self) -> Result<NodeId, DeploymentError> {
        let name = self.next_name("service");
        let settings = ServiceSettings {
            seed: self.agents_started as u64,
            ..ServiceSettings::default()
        };
        let handle = service::start_replica(settings, self.effects.clone())
            .context(StartStandinSnafu { name: &*name })?;
        let zone = self.config.zones[self.agents_started % self.config.zones.len()]
            .name
            .clone();
        let info = self.start_agent(&name, &zone, Standin::Service(handle))?;
        self.add_target(
            &info,
            TargetKind::Service {
                service: self.plan.service.clone(),
            },
        );
        Ok(name)
    }

    fn next_name(&mut self, kind: &str) -> NodeId {
        self.agents_started += 1;
        format!("{kind}-{:03}", self.agents_started).into()
    }

    fn start_agent(
        &mut self,
        name: &NodeId,
        zone: &ZoneId,
        standin: Standin,
    ) -> Result<PeerInfo, DeploymentError> {
        let own = peer_info(name, zone, Role::Agent);
        let network = self.plan.network.as_ref();
        let agent = TargetVm::start(own, &self.key, self.seeds(), standin, network)
            .context(StartRoleSnafu)?;
        let info = agent.info.clone();
        self.agents.push(agent);
        Ok(info)
    }

    /// Starts another entry, which learns the other members from the running entries.
    ///
    /// # Errors
    /// [`DeploymentError`] if it does not start.
    pub fn join_entry(&mut self) -> Result<(), DeploymentError> {
        self.add_entry(self.entries.len())
    }

    /// Version of the configuration accepted last.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    fn add_entry(&mut self, i: usize) -> Result<(), DeploymentError> {
        let name: NodeId = format!("entry-{}", i + 1).into();
        let zone = self.config.zones[i % self.config.zones.len()].name.clone();
        let own = peer_info(&name, &zone, Role::Entry);
        let mut callers = ANY_PORT;
        if self.plan.first_port > 0 {
            callers.set_port(self.plan.first_port + i as u16);
        }
        let seed = self.plan.seed.wrapping_mul(1000).wrapping_add(i as u64);
        let entry = EntryRole::start(
            own,
            self.key.clone(),
            callers,
            self.store.url(),
            self.seeds(),
            Some(seed),
            self.plan.network.as_ref(),
        );
        self.entries.push(entry.context(StartRoleSnafu)?);
        Ok(())
    }

    fn add_target(&mut self, info: &PeerInfo, kind: TargetKind) {
        self.config.targets.push(Target {
            id: info.node.clone(),
            zone: info.zone.clone(),
            peer: info.listen,
            operations: info.listen,
            kind,
            checks_orders: true,
        });
    }

    /// Adds a target to the placement of its layer range.
    fn add_to_placements(&mut self, target: &NodeId, engine: &EnginePlan) {
        let has_same_layers = |p: &&mut Placement| {
            (p.first_layer, p.end_layer) == (engine.first_layer, engine.end_layer)
        };
        match self.config.placements.iter_mut().find(has_same_layers) {
            Some(placement) => placement.targets.push(target.clone()),
            None => self.config.placements.push(Placement {
                model: self.plan.model.clone(),
                version: "1".to_owned(),
                first_layer: engine.first_layer,
                end_layer: engine.end_layer,
                targets: vec![target.clone()],
            }),
        }
    }

    /// Writes the changes of the configuration to the store, if there are any, and waits until it
    /// is in force at all entries.
    ///
    /// # Errors
    /// [`DeploymentError`] if it is not accepted or not in force in time.
    pub fn publish(&mut self) -> Result<(), DeploymentError> {
        self.config.sort();
        let objects = self.config.to_objects();
        let edit = edit_between(&self.published, &objects);
        if edit != Edit::default() {
            let accepted = accept_blocking(self.store.url(), self.version, edit);
            self.version = accepted.context(AcceptSnafu)?;
            self.published = objects;
        }
        self.wait_ready()
    }

    /// Waits until all entries have the current version in force and know each other.
    fn wait_ready(&self) -> Result<(), DeploymentError> {
        let (version, entries) = (self.version, self.entries.len());
        let is_ready = move |entry: &Entry| {
            entry.config_version() >= version && entry.live_entries().len() >= entries
        };
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if self
                .entries
                .iter()
                .all(|e| e.role.query(is_ready) != Some(false))
            {
                return Ok(());
            }
            std::thread::sleep(READY_POLL_PERIOD);
        }
        NotReadySnafu { version }.fail()
    }

    /// Peer addresses of the entries, for new members.
    fn seeds(&self) -> Vec<SocketAddr> {
        let addresses = self.entries.iter().filter_map(|e| e.peer_address.as_ref());
        addresses.map(|a| a.addr).collect()
    }

    /// Stops the VM of a target at once, as a crash would. The target stays in the configuration.
    pub fn kill_target(&mut self, target: &str) {
        if let Some(i) = self.agents.iter().position(|a| &*a.info.node == target) {
            self.agents.swap_remove(i).kill();
        }
    }

    /// The configuration; changes take effect with [`Deployment::publish`].
    pub const fn config_mut(&mut self) -> &mut Config {
        &mut self.config
    }

    /// The plan that the deployment was started with.
    #[must_use]
    pub const fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The key with which the members authenticate their links and datagrams.
    #[must_use]
    pub const fn key(&self) -> &ClusterKey {
        &self.key
    }

    /// The API key of the client account `workshop`.
    #[must_use]
    pub fn caller_key(&self) -> &str {
        &self.caller_key
    }

    /// Drains the entries, so that no request in flight is cut off, and then stops the agents.
    pub fn drain(mut self) {
        let entries: Vec<_> = self
            .entries
            .drain(..)
            .filter_map(|e| e.role.start_drain())
            .collect();
        for thread in entries {
            // The panic of a thread has already been printed by it.
            let _ = thread.join();
        }
        for agent in self.agents.drain(..) {
            agent.kill();
        }
    }
}

/// Writes a change to the store and blocks until it is accepted. It runs on a thread of its own,
/// because a runtime cannot be started on the caller's thread if that has one.
fn accept_blocking(
    url: String,
    expected: ConfigVersion,
    edit: Edit,
) -> Result<ConfigVersion, AcceptError> {
    let accept_edit = move || {
        let write_id = rand::Rng::random(&mut StdRng::from_os_rng());
        actix_rt::System::new().block_on(async move {
            accept_change(http_store(&url), expected, write_id, "local", edit).await
        })
    };
    let version = expected + 1;
    let on_panic = |_| Err(AcceptError::Unsettled { version });
    std::thread::spawn(accept_edit)
        .join()
        .unwrap_or_else(on_panic)
}

fn peer_info(name: &NodeId, zone: &ZoneId, role: Role) -> PeerInfo {
    PeerInfo {
        node: name.clone(),
        incarnation: incarnation(),
        zone: zone.clone(),
        role,
        listen: ANY_PORT,
    }
}

/// Returns the configuration of a plan without accounts and targets.
fn base_config(plan: &Plan) -> Config {
    let mut zones: Vec<ZoneId> = plan.engines.iter().map(|e| e.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let mut config = Config {
        sites: vec![Site {
            name: "local".to_owned(),
            region: "local".to_owned(),
        }],
        zones: zones
            .into_iter()
            .map(|name| Zone {
                name,
                site: "local".to_owned(),
            })
            .collect(),
        pipelines: vec![plan.pipeline()],
        services: vec![plan.service_rules()],
        ..Config::default()
    };
    config.limits.replica_concurrency = plan.concurrency;
    config
}

/// Returns an account without keys and with high limits.
fn account(name: &str) -> Account {
    Account {
        name: name.into(),
        weight: 1,
        quota_tokens_per_second: 1_000_000,
        burst_tokens: 10_000_000,
        concurrency: 4096,
        priority: 4,
        keys: Vec::new(),
    }
}
