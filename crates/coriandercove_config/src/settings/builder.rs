//! Builders of settings, for generated settings and processes that are started from code.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::telemetry::LogFormat;
use coriandercove_base::{NodeId, TargetId, ZoneId};

use super::{
    AgentLimits, AgentSettings, DRAIN_DEADLINE, EntryLimits, EntrySettings, TargetSettings,
    TargetSettingsKind,
};

/// Builds [`EntrySettings`]. The result is not validated, unlike that of [`super::Loader`].
#[derive(Debug, Clone)]
pub struct EntrySettingsBuilder {
    settings: EntrySettings,
}

/// Builds [`AgentSettings`]. The result is not validated, unlike that of [`super::Loader`].
#[derive(Debug, Clone)]
pub struct AgentSettingsBuilder {
    settings: AgentSettings,
}

/// Setters that both builders have.
macro_rules! common_setters {
    ($limits:ty) => {
        /// Sets the region. The default is the name of the zone.
        #[must_use]
        pub fn region(mut self, region: &str) -> Self {
            self.settings.region = region.to_owned();
            self
        }

        /// Sets the peer addresses of other processes.
        #[must_use]
        pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
            self.settings.seeds = seeds;
            self
        }

        /// Sets the URLs of the store.
        #[must_use]
        pub fn store(mut self, urls: Vec<String>) -> Self {
            self.settings.store = urls;
            self
        }

        /// Sets the URL of the VM list.
        #[must_use]
        pub fn vm_list(mut self, url: &str) -> Self {
            self.settings.vm_list = Some(url.to_owned());
            self
        }

        /// Sets the address at which other processes reach the peer address.
        #[must_use]
        pub fn advertise(mut self, address: SocketAddr) -> Self {
            self.settings.advertise = Some(address);
            self
        }

        /// Sets the format of log lines.
        #[must_use]
        pub fn log(mut self, log: LogFormat) -> Self {
            self.settings.log = log;
            self
        }

        /// Sets the time for work in flight to finish after a stop was requested.
        #[must_use]
        pub fn drain_deadline(mut self, deadline: Duration) -> Self {
            self.settings.drain_deadline = deadline;
            self
        }

        /// Sets the limits of the process.
        #[must_use]
        pub fn limits(mut self, limits: $limits) -> Self {
            self.settings.limits = limits;
            self
        }
    };
}

impl EntrySettings {
    /// Starts a builder with the listen addresses `callers`, `operations` and `peer`.
    #[must_use]
    pub fn builder(
        node: NodeId,
        zone: ZoneId,
        [callers, operations, peer]: [SocketAddr; 3],
    ) -> EntrySettingsBuilder {
        let settings = Self {
            node,
            region: zone.to_string(),
            zone,
            callers,
            operations,
            peer,
            advertise: None,
            seeds: Vec::new(),
            store: Vec::new(),
            vm_list: None,
            cluster_key_file: None,
            operator_token_file: None,
            log: LogFormat::default(),
            drain_deadline: DRAIN_DEADLINE,
            limits: EntryLimits::default(),
        };
        EntrySettingsBuilder { settings }
    }
}

impl EntrySettingsBuilder {
    common_setters!(EntryLimits);

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> EntrySettings {
        self.settings
    }
}

impl AgentSettings {
    /// Starts a builder with the listen addresses `operations` and `peer`, for the engine `target`
    /// at `url`. The node name is the id of the target.
    #[must_use]
    pub fn builder(
        target: TargetId,
        zone: ZoneId,
        [operations, peer]: [SocketAddr; 2],
        url: &str,
    ) -> AgentSettingsBuilder {
        let settings = Self {
            node: target.clone(),
            region: zone.to_string(),
            zone,
            peer,
            advertise: None,
            operations,
            target_id: target,
            target: TargetSettings {
                kind: TargetSettingsKind::Engine,
                url: url.to_owned(),
                service: None,
                checks_orders: false,
            },
            seeds: Vec::new(),
            store: Vec::new(),
            vm_list: None,
            cluster_key_file: None,
            operator_token_file: None,
            log: LogFormat::default(),
            drain_deadline: DRAIN_DEADLINE,
            limits: AgentLimits::default(),
        };
        AgentSettingsBuilder { settings }
    }
}

impl AgentSettingsBuilder {
    common_setters!(AgentLimits);

    /// Makes the target a replica of the plain service `name` in place of an engine.
    #[must_use]
    pub fn service(mut self, name: &str) -> Self {
        self.settings.target.kind = TargetSettingsKind::Service;
        self.settings.target.service = Some(name.to_owned());
        self
    }

    /// Sets whether the target itself rejects orders with a stale fencing token.
    #[must_use]
    pub const fn checks_orders(mut self, checks: bool) -> Self {
        self.settings.target.checks_orders = checks;
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> AgentSettings {
        self.settings
    }
}
