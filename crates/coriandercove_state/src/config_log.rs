//! The configuration: an ordered log of changes in the store, spread among the nodes.

mod change;
mod event;
mod snapshot;

pub use change::{Change, Difference, Edit, KeyChange, Objects};
pub use event::{
    AcceptError, ConfigAction, ConfigCounters, ConfigEvent, OpId, PullConfig, PullReply,
    StoreAnswer, StoreCall,
};
pub use snapshot::{Manifest, SnapshotPart};

use coriandercove_base::{ConfigVersion, NodeId, Time};
use std::time::Duration;

/// Prefix of the log's objects in the store.
pub const LOG_PREFIX: &str = "config/log/";
/// Prefix of the snapshots' objects in the store.
pub const SNAPSHOT_PREFIX: &str = "config/snapshot/";

/// Settings of one node's [`ConfigLog`].
#[derive(Debug, Clone)]
pub struct ConfigLogSettings {
    /// Name of this node.
    pub node: NodeId,
    /// Whether this node may use the store. Agents learn from peers only.
    pub uses_store: bool,
    /// Nodes to learn from before any member is known.
    pub seeds: Vec<NodeId>,
    /// Time after which an unanswered pull is repeated with another peer.
    pub pull_timeout: Duration,
    /// Time between attempts while the store does not answer.
    pub store_retry: Duration,
    /// Time after which an accept that the store leaves unsettled is reported as such.
    pub accept_deadline: Duration,
}

impl ConfigLogSettings {
    /// Default settings of a node.
    #[must_use]
    pub fn new(node: NodeId, uses_store: bool, seeds: Vec<NodeId>) -> Self {
        Self {
            node,
            uses_store,
            seeds,
            pull_timeout: Duration::from_secs(2),
            store_retry: Duration::from_secs(1),
            accept_deadline: Duration::from_secs(30),
        }
    }
}

/// The configuration as one node holds it.
///
/// Invariants: the version in force never falls, and versions are applied one by one or by a
/// verified snapshot.
#[derive(Debug)]
pub struct ConfigLog {
    cfg: ConfigLogSettings,
    objects: Objects,
    version: ConfigVersion,
    counters: ConfigCounters,
}

impl ConfigLog {
    /// A node that knows no version yet. Send [`ConfigEvent::Tick`] to start it.
    #[must_use]
    pub fn new(cfg: ConfigLogSettings) -> Self {
        Self {
            cfg,
            objects: Objects::default(),
            version: 0,
            counters: ConfigCounters::default(),
        }
    }

    /// Version in force; 0 while none is known.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Whether some version is in force. A node that is not ready serves no requests.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.version > 0
    }

    /// Objects in force, key `kind/name` to JSON text.
    #[must_use]
    pub const fn objects(&self) -> &Objects {
        &self.objects
    }

    /// Counters for the metrics endpoint.
    #[must_use]
    pub const fn counters(&self) -> &ConfigCounters {
        &self.counters
    }

    /// Takes one event at time `now`. Ticks are expected about every 200 ms.
    pub fn on_event(&mut self, now: Time, event: ConfigEvent) -> Vec<ConfigAction> {
        let _ = (now, event, &self.cfg);
        Vec::new()
    }
}

/// The three entries that watch the log, chosen among `entries` by rendezvous hash, best first.
#[must_use]
pub fn watchers(entries: &[NodeId]) -> Vec<NodeId> {
    let key = coriandercove_base::hash::hash64(&[LOG_PREFIX.as_bytes()]);
    coriandercove_base::hash::rendezvous(key, entries, 3)
        .into_iter()
        .map(|i| entries[i].clone())
        .collect()
}
