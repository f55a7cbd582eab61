//! Builders of settings, for processes that are started without a file.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::telemetry::LogFormat;
use coriandercove_base::{NodeId, TargetId, ZoneId};

use super::{
    AgentLimits, AgentSettings, DRAIN_DEADLINE, EntryLimits, EntrySettings, TargetRole,
    TargetSettings,
};

/// Builds [`EntrySettings`]. The result is not checked; [`super::Loader`] checks files.
#[derive(Debug, Clone)]
pub struct EntrySettingsBuilder {
    settings: EntrySettings,
}

/// Builds [`AgentSettings`]. The result is not checked; [`super::Loader`] checks files.
#[derive(Debug, Clone)]
pub struct AgentSettingsBuilder {
    settings: AgentSettings,
}

/// Setters that both builders have.
macro_rules! common_setters {
    ($limits:ty) => {
        /// Sets the region; the name of the zone is used if it is not called.
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

        /// Sets the address under which other processes reach the peer address.
        #[must_use]
        pub fn advertise(mut self, address: SocketAddr) -> Self {
            self.settings.advertise = Some(address);
            self
        }

        /// Sets the form of log lines.
        #[must_use]
        pub fn log(mut self, log: LogFormat) -> Self {
            self.settings.log = log;
            self
        }

        /// Sets the time for work in flight.
        #[must_use]
        pub fn drain_deadline(mut self, deadline: Duration) -> Self {
            self.settings.drain_deadline = deadline;
            self
        }

        /// Sets the limits.
        #[must_use]
        pub fn limits(mut self, limits: $limits) -> Self {
            self.settings.limits = limits;
            self
        }
    };
}

impl EntrySettings {
    /// Builds settings that listen on `callers`, `operations` and `peer`.
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

    /// The settings.
    #[must_use]
    pub fn build(self) -> EntrySettings {
        self.settings
    }
}

impl AgentSettings {
    /// Builds settings that listen on `operations` and `peer`, for the engine `target` at `url`.
    /// The process has the name of its target.
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
                kind: TargetRole::Engine,
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

    /// Says that the target is a replica of a plain service instead of an engine.
    #[must_use]
    pub fn service(mut self, name: &str) -> Self {
        self.settings.target.kind = TargetRole::Service;
        self.settings.target.service = Some(name.to_owned());
        self
    }

    /// Sets whether the target itself refuses orders with an old fencing number.
    #[must_use]
    pub const fn checks_orders(mut self, checks: bool) -> Self {
        self.settings.target.checks_orders = checks;
        self
    }

    /// The settings.
    #[must_use]
    pub fn build(self) -> AgentSettings {
        self.settings
    }
}
